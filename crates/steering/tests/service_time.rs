//! How an agent measures the service time of its target.

mod support;

use support::agent_fixture::{answer, arrival, deliver, fill, new_agent, output, request};
use support::{flow, opening};
use weirhinge_fleet::{Millis, ReturnReason};
use weirhinge_steering::{Agent, AnswerStatus, DeliveryDecision, Flags};

/// Lets the target answer requests one at a time, each `service_ms` after its delivery. Returns the
/// time of the last answer.
fn serve(agent: &mut Agent, requests: u16, service_ms: Millis, from: Millis) -> Millis {
    let mut now = from;
    for port in 0..requests {
        deliver(agent, &request(1_000 + port, now as u32), now);
        now += service_ms;
        agent.output(&answer(flow(1_000 + port)), now);
    }
    now
}

fn service_ms(agent: &Agent, now: Millis) -> Option<u32> {
    agent.load(now).service_ms
}

#[test]
fn service_time_is_reported_after_a_few_answers() {
    let mut agent = new_agent();
    let now = serve(&mut agent, 1, 20, 0);
    assert_eq!(service_ms(&agent, now), None);
    let now = serve(&mut agent, 6, 20, now);
    assert_eq!(service_ms(&agent, now), Some(20));
}

#[test]
fn target_with_unknown_slots_reports_no_service_time() {
    let mut agent = Agent::new(weirhinge_fleet::ServiceId::of(support::SERVICE));
    let now = serve(&mut agent, 20, 20, 0);
    assert_eq!(agent.load(now), 0.into());
}

/// Sixteen concurrent requests take four rounds of four slots: the last ones wait for 60 ms.
#[test]
fn service_time_excludes_queueing_at_the_target() {
    let mut agent = new_agent();
    for port in 0..16 {
        deliver(&mut agent, &request(port, 0), 0);
    }
    let load = agent.load(0);
    assert_eq!((load.waiting, load.expected_ms), (16, None));
    for port in 0..16 {
        agent.output(&answer(flow(port)), 20 * (1 + Millis::from(port) / 4));
    }
    assert_eq!(service_ms(&agent, 80), Some(20));
}

#[test]
fn queued_requests_raise_the_expected_time() {
    let mut agent = new_agent();
    let now = serve(&mut agent, 8, 20, 0);
    for port in 0..11 {
        deliver(&mut agent, &request(port, 0), now);
    }
    // The twelfth request waits for two rounds.
    assert_eq!(agent.load(now).expected_ms, Some(60));
}

#[test]
fn slowdown_and_recovery_are_measured_within_a_few_answers() {
    let mut agent = new_agent();
    let now = serve(&mut agent, 20, 25, 0);
    let now = serve(&mut agent, 6, 100, now);
    assert!(service_ms(&agent, now) >= Some(60), "{:?}", agent.load(now));
    let now = serve(&mut agent, 16, 25, now);
    assert!(service_ms(&agent, now) <= Some(40), "{:?}", agent.load(now));
}

#[test]
fn single_long_request_has_limited_effect() {
    let mut agent = new_agent();
    let now = serve(&mut agent, 20, 25, 0);
    let now = serve(&mut agent, 1, 2_500, now);
    assert!(service_ms(&agent, now) <= Some(65), "{:?}", agent.load(now));
}

#[test]
fn stalled_target_is_detected_without_an_answer() {
    let mut agent = new_agent();
    let now = serve(&mut agent, 20, 25, 0);
    for port in 0..4 {
        deliver(&mut agent, &request(port, 0), now);
    }
    assert!(service_ms(&agent, now + 400) >= Some(100), "{:?}", agent.load(now + 400));
    let header = opening(flow(50));
    let busy = DeliveryDecision::Return(ReturnReason::Busy);
    assert_eq!(agent.delivery(&arrival(&header), now + 600), busy);
    // A flow that found no better target is admitted: some target has to take it.
    let mut may_wait = arrival(&header);
    may_wait.may_wait = true;
    assert!(matches!(agent.delivery(&may_wait, now + 600), DeliveryDecision::Deliver { .. }));
}

#[test]
fn target_stalled_from_first_request_is_detected() {
    let mut agent = new_agent();
    deliver(&mut agent, &request(1, 0), 0);
    assert_eq!(service_ms(&agent, 100), None);
    assert_eq!(service_ms(&agent, 900), Some(900));
}

#[test]
fn old_measurements_expire() {
    let mut agent = new_agent();
    let now = serve(&mut agent, 8, 400, 0);
    assert_eq!(service_ms(&agent, now + 1_000), Some(400));
    assert_eq!(agent.load(now + 3_000), 0.into());
    let now = serve(&mut agent, 4, 20, now + 4_000);
    assert_eq!(service_ms(&agent, now), Some(20));
}

#[test]
fn fast_refusals_failures_and_resets_are_not_measured() {
    let mut agent = new_agent();
    let mut now = serve(&mut agent, 8, 40, 0);
    for port in 0..12 {
        deliver(&mut agent, &request(port, 0), now);
        now += 1;
        let status = if port % 2 == 0 { AnswerStatus::NotRun } else { AnswerStatus::Failed };
        if port < 8 {
            agent.record_answer_status(&flow(port), status, now);
            agent.output(&answer(flow(port)), now);
        } else {
            let reset = Flags { rst: true, ..Flags::default() };
            agent.output(&output(flow(port), reset, 0), now);
        }
    }
    assert_eq!(agent.waiting(), 0);
    assert_eq!(service_ms(&agent, now), Some(40));
}

/// Open flows use 90% of the slots on average, but none at this instant.
#[test]
fn utilisation_by_open_flows_raises_the_expected_time() {
    let mut agent = new_agent();
    let mut now = 0;
    for round in 0..40 {
        for port in 0..4 {
            deliver(&mut agent, &request(port, round * 100), now);
        }
        for port in 0..4 {
            agent.output(&answer(flow(port)), now + 45);
        }
        now += 50;
    }
    let load = agent.load(now);
    assert_eq!((load.waiting, load.service_ms), (0, Some(45)));
    assert!(load.expected_ms >= Some(70), "{load:?}");
    // Once these flows are idle, so is the target.
    assert!(agent.load(now + 2_000).expected_ms <= Some(50));
}

#[test]
fn target_at_its_limit_returns_openings() {
    let mut agent = new_agent();
    fill(&mut agent);
    let header = opening(flow(50));
    let busy = DeliveryDecision::Return(ReturnReason::Busy);
    assert_eq!(agent.delivery(&arrival(&header), 1), busy);
}
