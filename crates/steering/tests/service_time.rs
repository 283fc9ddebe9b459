//! What an agent finds out about how long its target takes.

mod support;

use support::beside::{answer, arrival, deliver, fill, new_agent, output, request};
use support::{flow, opening};
use weirhinge_fleet::{Millis, ReturnReason};
use weirhinge_steering::{Agent, AnswerStatus, DeliveryDecision, Flags};

/// Lets the target answer requests one after another, each of them alone, `service_ms` after
/// it came. Returns when the last answer came.
fn serve(beside: &mut Agent, requests: u16, service_ms: Millis, from: Millis) -> Millis {
    let mut now = from;
    for port in 0..requests {
        deliver(beside, &request(1_000 + port, now as u32), now);
        now += service_ms;
        beside.output(&answer(flow(1_000 + port)), now);
    }
    now
}

fn service_ms(beside: &Agent, now: Millis) -> Option<u32> {
    beside.load(now).service_ms
}

#[test]
fn a_few_answers_tell_the_service_time_and_one_does_not() {
    let mut beside = new_agent();
    let now = serve(&mut beside, 1, 20, 0);
    assert_eq!(service_ms(&beside, now), None);
    let now = serve(&mut beside, 6, 20, now);
    assert_eq!(service_ms(&beside, now), Some(20));
}

#[test]
fn nothing_is_told_of_a_target_whose_size_is_not_known() {
    let mut beside = Agent::new(weirhinge_fleet::ServiceId::of(support::SERVICE));
    let now = serve(&mut beside, 20, 20, 0);
    assert_eq!(beside.load(now), 0.into());
}

/// Sixteen requests at once take four turns of four slots: the last ones waited for 60 ms.
#[test]
fn requests_that_queued_show_the_service_time_without_their_wait() {
    let mut beside = new_agent();
    for port in 0..16 {
        deliver(&mut beside, &request(port, 0), 0);
    }
    let load = beside.load(0);
    assert_eq!((load.waiting, load.expected_ms), (16, None));
    for port in 0..16 {
        beside.output(&answer(flow(port)), 20 * (1 + Millis::from(port) / 4));
    }
    assert_eq!(service_ms(&beside, 80), Some(20));
}

#[test]
fn requests_beyond_the_slots_raise_the_expected_time() {
    let mut beside = new_agent();
    let now = serve(&mut beside, 8, 20, 0);
    for port in 0..11 {
        deliver(&mut beside, &request(port, 0), now);
    }
    // The twelfth waits for two turns.
    assert_eq!(beside.load(now).expected_ms, Some(60));
}

#[test]
fn a_slow_target_is_seen_within_a_few_answers_and_so_is_its_recovery() {
    let mut beside = new_agent();
    let now = serve(&mut beside, 20, 25, 0);
    let now = serve(&mut beside, 6, 100, now);
    assert!(service_ms(&beside, now) >= Some(60), "{:?}", beside.load(now));
    let now = serve(&mut beside, 16, 25, now);
    assert!(service_ms(&beside, now) <= Some(40), "{:?}", beside.load(now));
}

#[test]
fn a_single_long_request_does_not_make_a_target_slow() {
    let mut beside = new_agent();
    let now = serve(&mut beside, 20, 25, 0);
    let now = serve(&mut beside, 1, 2_500, now);
    assert!(service_ms(&beside, now) <= Some(65), "{:?}", beside.load(now));
}

#[test]
fn a_hanging_target_is_seen_without_an_answer() {
    let mut beside = new_agent();
    let now = serve(&mut beside, 20, 25, 0);
    for port in 0..4 {
        deliver(&mut beside, &request(port, 0), now);
    }
    assert!(service_ms(&beside, now + 400) >= Some(100), "{:?}", beside.load(now + 400));
    let header = opening(flow(50));
    let busy = DeliveryDecision::Return(ReturnReason::Busy);
    assert_eq!(beside.delivery(&arrival(&header), now + 600), busy);
    // One that found no better target is taken: some target has to.
    let mut may_wait = arrival(&header);
    may_wait.may_wait = true;
    assert!(matches!(beside.delivery(&may_wait, now + 600), DeliveryDecision::Deliver { .. }));
}

#[test]
fn a_target_that_hangs_from_its_first_request_is_seen() {
    let mut beside = new_agent();
    deliver(&mut beside, &request(1, 0), 0);
    assert_eq!(service_ms(&beside, 100), None);
    assert_eq!(service_ms(&beside, 900), Some(900));
}

#[test]
fn what_was_measured_long_ago_is_forgotten() {
    let mut beside = new_agent();
    let now = serve(&mut beside, 8, 400, 0);
    assert_eq!(service_ms(&beside, now + 1_000), Some(400));
    assert_eq!(beside.load(now + 3_000), 0.into());
    let now = serve(&mut beside, 4, 20, now + 4_000);
    assert_eq!(service_ms(&beside, now), Some(20));
}

#[test]
fn quick_refusals_failures_and_resets_do_not_make_a_target_fast() {
    let mut beside = new_agent();
    let mut now = serve(&mut beside, 8, 40, 0);
    for port in 0..12 {
        deliver(&mut beside, &request(port, 0), now);
        now += 1;
        let status = if port % 2 == 0 { AnswerStatus::NotRun } else { AnswerStatus::Failed };
        if port < 8 {
            beside.answer_begins(&flow(port), status, now);
            beside.output(&answer(flow(port)), now);
        } else {
            let reset = Flags { rst: true, ..Flags::default() };
            beside.output(&output(flow(port), reset, 0), now);
        }
    }
    assert_eq!(beside.waiting(), 0);
    assert_eq!(service_ms(&beside, now), Some(40));
}

/// Open flows ask for 90% of the slots; at this instant none of them does.
#[test]
fn a_target_with_busy_open_flows_is_not_taken_for_idle() {
    let mut beside = new_agent();
    let mut now = 0;
    for turn in 0..40 {
        for port in 0..4 {
            deliver(&mut beside, &request(port, turn * 100), now);
        }
        for port in 0..4 {
            beside.output(&answer(flow(port)), now + 45);
        }
        now += 50;
    }
    let load = beside.load(now);
    assert_eq!((load.waiting, load.service_ms), (0, Some(45)));
    assert!(load.expected_ms >= Some(70), "{load:?}");
    // Once they rest it is idle.
    assert!(beside.load(now + 2_000).expected_ms <= Some(50));
}

#[test]
fn a_full_room_still_sends_openings_back() {
    let mut beside = new_agent();
    fill(&mut beside);
    let header = opening(flow(50));
    let busy = DeliveryDecision::Return(ReturnReason::Busy);
    assert_eq!(beside.delivery(&arrival(&header), 1), busy);
}
