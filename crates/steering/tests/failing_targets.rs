//! Failing targets get no new flows for a while, unless most targets fail.

mod support;

use std::net::Ipv4Addr;

use support::agent_fixture::{answer, arrival, new_agent, output, request};
use support::{Fixture, LATER, Store, agent, data, flow, forwarded, opening};
use weirhinge_fleet::ReturnReason;
use weirhinge_steering::{
    Agent, AnswerStatus, Arrival, BreakerChange, Decision, DeliveryDecision, Flags, ForwardReason,
};

/// Delivers one request on a new flow and answers it immediately with `status`.
fn serve(agent: &mut Agent, port: u16, status: AnswerStatus, now: u64) {
    agent.delivery(&arrival(&request(port, 0)), now);
    agent.record_answer_status(&flow(port), status, now);
    agent.output(&answer(flow(port)), now);
}

fn fail(agent: &mut Agent, ports: std::ops::Range<u16>, now: u64) {
    for port in ports {
        serve(agent, port, AnswerStatus::Failed, now);
    }
}

fn is_rejected(agent: &mut Agent, port: u16, now: u64) -> bool {
    let decision = agent.delivery(&arrival(&opening(flow(port))), now);
    decision == DeliveryDecision::Return(ReturnReason::Failing)
}

#[test]
fn three_consecutive_failures_eject_the_target() {
    let mut agent = new_agent();
    fail(&mut agent, 1..3, 100);
    assert_eq!(agent.take_breaker_change(), None);
    assert!(!is_rejected(&mut agent, 50, 100), "two failures may be caused by the requests");
    fail(&mut agent, 3..4, 100);
    let opened = BreakerChange::Opened { consecutive: 3, recent: 3, span_ms: 1_000 };
    assert_eq!(agent.take_breaker_change(), Some(opened));
    assert!(is_rejected(&mut agent, 51, 101));
    // Open flows continue.
    let kept = agent.delivery(&arrival(&data(flow(50))), 102);
    assert!(matches!(kept, DeliveryDecision::Deliver { .. }));
}

#[test]
fn intermittent_failures_eject_the_target() {
    let mut agent = new_agent();
    for round in 0..4 {
        serve(&mut agent, 2 * round, AnswerStatus::Failed, 100);
        serve(&mut agent, 2 * round + 1, AnswerStatus::Good, 100);
    }
    assert!(!is_rejected(&mut agent, 50, 100));
    fail(&mut agent, 20..21, 100);
    assert!(is_rejected(&mut agent, 51, 101));
}

#[test]
fn resets_of_requests_count_as_failures() {
    let mut agent = new_agent();
    for port in 1..=3 {
        agent.delivery(&arrival(&request(port, 0)), 100);
        agent.output(&output(flow(port), Flags { rst: true, ..Flags::default() }, 0), 101);
    }
    assert!(is_rejected(&mut agent, 50, 102));
    // A reset of a flow without a request does not count as a failure.
    let mut idle = new_agent();
    for port in 1..=9 {
        idle.delivery(&arrival(&opening(flow(port))), 100);
        idle.output(&output(flow(port), Flags { rst: true, ..Flags::default() }, 0), 101);
    }
    assert!(!is_rejected(&mut idle, 50, 102));
}

#[test]
fn rejected_requests_and_unexpected_answers_are_not_failures() {
    let mut agent = new_agent();
    for port in 1..30 {
        serve(&mut agent, port, AnswerStatus::NotRun, 100);
        agent.record_answer_status(&flow(port), AnswerStatus::Failed, 101);
    }
    assert!(!is_rejected(&mut agent, 50, 102));
}

#[test]
fn recovered_target_is_readmitted_after_trials() {
    let mut agent = new_agent();
    fail(&mut agent, 1..4, 100);
    assert!(is_rejected(&mut agent, 50, 1_099));
    for (port, now) in [(51, 1_100), (52, 1_150), (53, 1_200)] {
        assert!(!is_rejected(&mut agent, port, now), "one trial flow is admitted");
        assert!(is_rejected(&mut agent, port + 100, now), "one trial at a time");
        serve(&mut agent, port, AnswerStatus::Good, now + 20);
    }
    assert_eq!(agent.take_breaker_change(), Some(BreakerChange::Closed));
    assert!(!is_rejected(&mut agent, 54, 1_250));
    assert!(!is_rejected(&mut agent, 55, 1_250));
}

#[test]
fn ejection_time_doubles_with_each_failed_trial() {
    let mut agent = new_agent();
    fail(&mut agent, 1..4, 0);
    let mut now = 0;
    for (port, span) in (50..).zip([1_000, 2_000, 4_000, 8_000, 16_000, 16_000]) {
        assert!(is_rejected(&mut agent, port, now + span - 1));
        now += span;
        assert!(!is_rejected(&mut agent, port, now));
        fail(&mut agent, port..port + 1, now);
    }
}

#[test]
fn unanswered_trial_times_out() {
    let mut agent = new_agent();
    fail(&mut agent, 1..4, 0);
    assert!(!is_rejected(&mut agent, 50, 1_000));
    assert!(is_rejected(&mut agent, 51, 1_499));
    assert!(!is_rejected(&mut agent, 51, 1_500));
}

#[test]
fn flow_without_better_target_is_admitted() {
    let mut agent = new_agent();
    fail(&mut agent, 1..4, 100);
    let header = opening(flow(50));
    let last_resort = Arrival { may_wait: true, ..arrival(&header) };
    let decision = agent.delivery(&last_resort, 101);
    assert!(matches!(decision, DeliveryDecision::Deliver { .. }));
}

/// Sends an opening packet, which every target in `failing` rejects. Returns the last decision and
/// the number of rejections.
fn send_opening(fixture: &mut Fixture, port: u16, failing: &[Ipv4Addr]) -> (Decision, usize) {
    let header = opening(flow(port));
    let mut decision = fixture.client(&header, LATER);
    let mut returns = 0;
    while let Decision::Forward(forward) = &decision {
        if forward.may_wait() || !failing.contains(&forward.agent) {
            break;
        }
        let from = forward.agent;
        returns += 1;
        decision = fixture.returned(&header, from, ReturnReason::Failing, LATER);
    }
    (decision, returns)
}

#[test]
fn flow_rejected_by_failing_target_goes_to_another() {
    let mut fixture = Fixture::new(&Store::with_targets(6));
    let failing = [agent(1), agent(2)];
    let mut rejections = 0;
    for port in 1..60 {
        let (decision, returns) = send_opening(&mut fixture, port, &failing);
        rejections += returns;
        assert!(!failing.contains(&forwarded(&decision).agent));
    }
    assert_eq!(rejections, 2, "each failing target rejects one flow and is skipped afterwards");
}

#[test]
fn flows_are_admitted_after_two_rejections_if_all_targets_fail() {
    for targets in [1, 2, 3, 40] {
        let mut fixture = Fixture::new(&Store::with_targets(targets));
        let failing: Vec<Ipv4Addr> = (1..=targets).map(agent).collect();
        for port in 1..60 {
            let (decision, returns) = send_opening(&mut fixture, port, &failing);
            assert_eq!(forwarded(&decision).reason, ForwardReason::OpeningWaits);
            assert!(returns <= 2, "{returns} returns among {targets}");
        }
    }
}
