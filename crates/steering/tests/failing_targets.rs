//! Targets that fail get no new flows for a while, unless most of them do.

mod support;

use std::net::Ipv4Addr;

use support::beside::{answer, arrival, new_agent, output, request};
use support::{Fixture, LATER, Store, agent, data, flow, forwarded, opening};
use weirhinge_fleet::ReturnReason;
use weirhinge_steering::{
    Agent, AnswerStatus, Arrival, BreakerChange, Decision, DeliveryDecision, Flags, ForwardReason,
};

/// One request on a flow of its own that is answered like this at once.
fn serve(agent: &mut Agent, port: u16, status: AnswerStatus, now: u64) {
    agent.delivery(&arrival(&request(port, 0)), now);
    agent.answer_begins(&flow(port), status, now);
    agent.output(&answer(flow(port)), now);
}

fn fail(agent: &mut Agent, ports: std::ops::Range<u16>, now: u64) {
    for port in ports {
        serve(agent, port, AnswerStatus::Failed, now);
    }
}

fn is_turned_away(agent: &mut Agent, port: u16, now: u64) -> bool {
    let decision = agent.delivery(&arrival(&opening(flow(port))), now);
    decision == DeliveryDecision::Return(ReturnReason::Failing)
}

#[test]
fn a_target_that_fails_three_in_a_row_gets_no_new_flows() {
    let mut agent = new_agent();
    fail(&mut agent, 1..3, 100);
    assert_eq!(agent.take_breaker_change(), None);
    assert!(!is_turned_away(&mut agent, 50, 100), "two failures may be the requests' own");
    fail(&mut agent, 3..4, 100);
    let opened = BreakerChange::Opened { consecutive: 3, recent: 3, span_ms: 1_000 };
    assert_eq!(agent.take_breaker_change(), Some(opened));
    assert!(is_turned_away(&mut agent, 51, 101));
    // Flows that are open stay.
    let kept = agent.delivery(&arrival(&data(flow(50))), 102);
    assert!(matches!(kept, DeliveryDecision::Deliver { .. }));
}

#[test]
fn a_target_that_fails_now_and_then_is_found_out() {
    let mut agent = new_agent();
    for round in 0..4 {
        serve(&mut agent, 2 * round, AnswerStatus::Failed, 100);
        serve(&mut agent, 2 * round + 1, AnswerStatus::Good, 100);
    }
    assert!(!is_turned_away(&mut agent, 50, 100));
    fail(&mut agent, 20..21, 100);
    assert!(is_turned_away(&mut agent, 51, 101));
}

#[test]
fn resets_of_requests_count_as_failures() {
    let mut agent = new_agent();
    for port in 1..=3 {
        agent.delivery(&arrival(&request(port, 0)), 100);
        agent.output(&output(flow(port), Flags { rst: true, ..Flags::default() }, 0), 101);
    }
    assert!(is_turned_away(&mut agent, 50, 102));
    // A reset of a flow without a request says nothing about the target.
    let mut idle = new_agent();
    for port in 1..=9 {
        idle.delivery(&arrival(&opening(flow(port))), 100);
        idle.output(&output(flow(port), Flags { rst: true, ..Flags::default() }, 0), 101);
    }
    assert!(!is_turned_away(&mut idle, 50, 102));
}

#[test]
fn requests_turned_away_and_answers_nobody_waits_for_do_not_count() {
    let mut agent = new_agent();
    for port in 1..30 {
        serve(&mut agent, port, AnswerStatus::NotRun, 100);
        agent.answer_begins(&flow(port), AnswerStatus::Failed, 101);
    }
    assert!(!is_turned_away(&mut agent, 50, 102));
}

#[test]
fn a_target_that_recovered_is_tested_and_gets_flows_again() {
    let mut agent = new_agent();
    fail(&mut agent, 1..4, 100);
    assert!(is_turned_away(&mut agent, 50, 1_099));
    for (port, now) in [(51, 1_100), (52, 1_150), (53, 1_200)] {
        assert!(!is_turned_away(&mut agent, port, now), "one flow tests the target");
        assert!(is_turned_away(&mut agent, port + 100, now), "one at a time");
        serve(&mut agent, port, AnswerStatus::Good, now + 20);
    }
    assert_eq!(agent.take_breaker_change(), Some(BreakerChange::Closed));
    assert!(!is_turned_away(&mut agent, 54, 1_250));
    assert!(!is_turned_away(&mut agent, 55, 1_250));
}

#[test]
fn each_relapse_doubles_the_time() {
    let mut agent = new_agent();
    fail(&mut agent, 1..4, 0);
    let mut now = 0;
    for (port, span) in (50..).zip([1_000, 2_000, 4_000, 8_000, 16_000, 16_000]) {
        assert!(is_turned_away(&mut agent, port, now + span - 1));
        now += span;
        assert!(!is_turned_away(&mut agent, port, now));
        fail(&mut agent, port..port + 1, now);
    }
}

#[test]
fn a_test_whose_answer_never_comes_makes_room_for_another() {
    let mut agent = new_agent();
    fail(&mut agent, 1..4, 0);
    assert!(!is_turned_away(&mut agent, 50, 1_000));
    assert!(is_turned_away(&mut agent, 51, 1_499));
    assert!(!is_turned_away(&mut agent, 51, 1_500));
}

#[test]
fn a_flow_that_found_nothing_better_is_taken() {
    let mut agent = new_agent();
    fail(&mut agent, 1..4, 100);
    let header = opening(flow(50));
    let last_resort = Arrival { may_wait: true, ..arrival(&header) };
    let decision = agent.delivery(&last_resort, 101);
    assert!(matches!(decision, DeliveryDecision::Deliver { .. }));
}

/// Sends an opening packet; every target in `failing` turns it away.
fn place(fixture: &mut Fixture, port: u16, failing: &[Ipv4Addr]) -> (Decision, usize) {
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
fn a_flow_that_a_failing_target_turned_away_goes_elsewhere() {
    let mut fixture = Fixture::new(&Store::with_targets(6));
    let failing = [agent(1), agent(2)];
    let mut met = 0;
    for port in 1..60 {
        let (decision, returns) = place(&mut fixture, port, &failing);
        met += returns;
        assert!(!failing.contains(&forwarded(&decision).agent));
    }
    assert_eq!(met, 2, "each of them is met once and then passed over");
}

#[test]
fn where_all_targets_fail_flows_are_placed_after_two_returns() {
    for targets in [1, 2, 3, 40] {
        let mut fixture = Fixture::new(&Store::with_targets(targets));
        let failing: Vec<Ipv4Addr> = (1..=targets).map(agent).collect();
        for port in 1..60 {
            let (decision, returns) = place(&mut fixture, port, &failing);
            assert_eq!(forwarded(&decision).reason, ForwardReason::OpeningWaits);
            assert!(returns <= 2, "{returns} returns among {targets}");
        }
    }
}
