//! Grants that are lost, declined, or answered late or twice, and targets that take no flows.

mod support;

use support::asking::*;
use support::beside::{arrival, deliver, fill, new_agent, request};
use support::{OTHER, agent as balancer, flow, opening};
use weirhinge_fleet::{Millis, OpeningDemand, ReturnReason, ServiceId};
use weirhinge_steering::{Agent, AnswerStatus, Arrival, DeliveryDecision, Grant};

#[test]
fn a_balancer_that_went_silent_is_forgotten() {
    let mut beside = full_agent();
    ask(&mut beside, 101, others(1, 0), 100);
    assert!(beside.clone().next_grant(399).is_none(), "there is no room");
    free(&mut beside, 0, 399);
    assert_eq!(grant(&mut beside.clone(), 399), Some(101));
    assert_eq!(grant(&mut beside, 400), None);
    assert_eq!(beside.asking(), 0);
    // A balancer that nothing waits at any more does not ask.
    ask(&mut beside, 101, others(1, 0), 400);
    ask(&mut beside, 101, NOTHING, 401);
    assert_eq!(grant(&mut beside, 401), None);
}

#[test]
fn a_lost_grant_keeps_room_for_a_moment_only() {
    let mut beside = full_agent();
    free(&mut beside, 0, 100);
    ask(&mut beside, 101, others(9, 90), 100);
    assert_eq!(grants(&mut beside, 100), [101]);
    assert_eq!((grant(&mut beside, 119), beside.kept_room()), (None, 1));
    assert_eq!(grants(&mut beside, 120), [101]);
    assert_eq!(beside.next_lapsed(), Some(balancer(101)));
    assert_eq!(beside.next_lapsed(), None);
    // It let two pass in a row: others are granted the room, and it has to ask again.
    ask(&mut beside, 102, others(1, 0), 139);
    assert_eq!(grants(&mut beside, 140), [102]);
    assert_eq!(beside.next_lapsed(), Some(balancer(101)));
    assert_eq!(beside.asking(), 1);
    free(&mut beside, 1, 141);
    assert_eq!(grants(&mut beside, 141), Vec::<u8>::new());
    ask(&mut beside, 101, others(9, 90), 142);
    assert_eq!(grants(&mut beside, 142), [101]);
}

#[test]
fn lapses_count_only_in_a_row() {
    let mut beside = full_agent();
    free(&mut beside, 0, 100);
    ask(&mut beside, 101, others(9, 90), 100);
    assert_eq!(grants(&mut beside, 100), [101]);
    assert_eq!(grants(&mut beside, 120), [101]);
    assert!(is_taken(&answer_grant(&mut beside, 101, 50, others(8, 90), 125)));
    deliver(&mut beside, &request(50, 0), 126);
    free(&mut beside, 50, 130);
    assert_eq!(grants(&mut beside, 130), [101]);
    assert_eq!(grants(&mut beside, 150), [101], "one lapsed since its answer");
}

#[test]
fn declined_room_is_free_at_once_for_another() {
    let mut beside = full_agent();
    free(&mut beside, 0, 100);
    ask(&mut beside, 101, others(2, 90), 100);
    ask(&mut beside, 102, others(2, 50), 100);
    assert_eq!(grants(&mut beside, 100), [101]);
    assert!(beside.declined(balancer(101), 102));
    assert_eq!(beside.asking(), 1, "nothing waits there any more");
    assert_eq!(grants(&mut beside, 102), [102]);
    // Doubled, it frees no room of another.
    assert!(!beside.declined(balancer(101), 103));
    assert_eq!((beside.kept_room(), grant(&mut beside, 103)), (1, None));
}

#[test]
fn who_declines_room_for_urgent_openings_still_gets_room_for_others() {
    let mut beside = agent_with_urgent_room();
    let both = OpeningDemand { others: others(2, 90).others, ..urgent(2, 10) };
    ask(&mut beside, 101, both, 100);
    assert!(beside.next_grant(100).is_some_and(|grant| grant.urgent_only));
    assert!(beside.declined(balancer(101), 101));
    assert_eq!(grant(&mut beside, 101), None);
    for port in 0..3 {
        free(&mut beside, port, 102);
    }
    let expected = Grant { balancer: balancer(101), urgent_only: false };
    assert_eq!(beside.next_grant(102), Some(expected));
}

#[test]
fn a_doubled_answer_admits_its_flow_once() {
    let mut beside = full_agent();
    free(&mut beside, 0, 100);
    free(&mut beside, 1, 100);
    ask(&mut beside, 101, others(9, 90), 100);
    assert_eq!(grants(&mut beside, 100), [101, 101]);
    for now in [101, 102] {
        assert!(is_taken(&answer_grant(&mut beside, 101, 50, others(8, 80), now)));
        assert_eq!(beside.kept_room(), 1, "the second grant is another flow's");
    }
    assert_eq!(grant(&mut beside, 102), None);
    assert!(is_taken(&answer_grant(&mut beside, 101, 51, others(7, 80), 103)));
    assert_eq!((beside.kept_room(), grant(&mut beside, 103)), (0, None));
}

/// The client's copy came to another balancer, which does not know that the flow is open here.
#[test]
fn a_copy_that_waited_elsewhere_uses_the_grant_of_its_balancer() {
    let mut beside = full_agent();
    free(&mut beside, 0, 100);
    deliver(&mut beside, &opening(flow(50)), 100);
    free(&mut beside, 1, 200);
    ask(&mut beside, 101, others(1, 50), 200);
    assert_eq!(grants(&mut beside, 200), [101]);
    assert!(is_taken(&answer_grant(&mut beside, 101, 50, NOTHING, 201)));
    assert_eq!((beside.kept_room(), beside.asking()), (0, 0));
}

#[test]
fn an_answer_that_comes_late_is_an_opening_that_may_not_wait() {
    let mut beside = full_agent();
    free(&mut beside, 0, 100);
    ask(&mut beside, 101, others(3, 90), 100);
    assert_eq!(grants(&mut beside, 100), [101]);
    let mut without_room = beside.clone();
    assert!(is_taken(&answer_grant(&mut beside, 101, 50, others(2, 90), 120)));
    // Its room was given away.
    ask(&mut without_room, 102, others(3, 500), 119);
    assert_eq!(grants(&mut without_room, 120), [102]);
    let header = opening(flow(50));
    let granted = Some(others(2, 90));
    let late = Arrival { balancer: balancer(101), granted, may_wait: true, ..arrival(&header) };
    assert_eq!(without_room.delivery(&late, 121), BUSY);
    assert_eq!(without_room.kept_room(), 1, "that of the other balancer");
}

#[test]
fn demand_for_another_service_is_not_taken_in() {
    let mut beside = new_agent();
    assert!(!beside.demand(balancer(101), ServiceId::of(OTHER), others(1, 0), 0));
    assert_eq!((beside.asking(), beside.next_grant(0)), (0, None));
}

/// Fails requests until the breaker opens.
fn eject(beside: &mut Agent, now: Millis) {
    for port in 200..203 {
        beside.delivery(&arrival(&request(port, 0)), now);
        beside.answer_begins(&flow(port), AnswerStatus::Failed, now);
        free(beside, port, now);
    }
}

#[test]
fn a_target_that_takes_no_new_flows_grants_no_room() {
    let leave: fn(&mut Agent) = Agent::leave;
    let evacuate: fn(&mut Agent) = |beside| beside.set_evacuated(true);
    let fail: fn(&mut Agent) = |beside| eject(beside, 101);
    let cases = [
        (leave, ReturnReason::Leaving),
        (evacuate, ReturnReason::Evacuated),
        (fail, ReturnReason::Failing),
    ];
    for (stop, reason) in cases {
        let mut beside = new_agent();
        ask(&mut beside, 101, others(3, 50), 100);
        assert_eq!(grant(&mut beside, 100), Some(101));
        stop(&mut beside);
        assert_eq!(grant(&mut beside, 102), None);
        let refused = answer_grant(&mut beside, 101, 50, others(2, 50), 103);
        assert_eq!(refused, DeliveryDecision::Return(reason));
        assert_eq!(beside.kept_room(), 0);
    }
}

#[test]
fn a_grant_may_test_a_target_that_failed() {
    let mut beside = new_agent();
    eject(&mut beside, 0);
    ask(&mut beside, 101, others(3, 50), 1_000);
    assert_eq!(grants(&mut beside, 1_000), [101], "one flow at a time");
    assert!(is_taken(&answer_grant(&mut beside, 101, 50, others(2, 50), 1_010)));
    // Openings that nobody asked for test it as well, so that it never stays ejected.
    ask(&mut beside, 101, others(3, 50), 1_500);
    assert!(is_taken(&beside.delivery(&arrival(&opening(flow(60))), 1_500)));
}

#[test]
fn a_target_that_starts_again_has_no_room_kept_of_before() {
    let mut beside = new_agent();
    ask(&mut beside, 101, others(9, 50), 100);
    assert_eq!(grants(&mut beside, 100).len(), 5);
    beside.target_restarted();
    beside.set_slots(4);
    assert_eq!(beside.kept_room(), 0);
    assert_eq!(grants(&mut beside, 101).len(), 5, "the balancer still waits");
    let mut full = full_agent();
    free(&mut full, 0, 100);
    ask(&mut full, 101, others(9, 50), 100);
    assert_eq!(grant(&mut full, 100), Some(101));
    full.target_restarted();
    full.set_slots(4);
    fill(&mut full);
    let stale = answer_grant(&mut full, 101, 50, NOTHING, 101);
    assert_eq!(stale, BUSY, "granted in the life before");
}

/// A client may use its port for another flow while the agent still knows the earlier one.
#[test]
fn a_grant_is_used_by_a_flow_that_has_the_key_of_an_earlier_one() {
    let mut beside = full_agent();
    free(&mut beside, 0, 100);
    ask(&mut beside, 101, others(1, 0), 100);
    assert_eq!(grants(&mut beside, 100), [101]);
    assert!(is_taken(&answer_grant(&mut beside, 101, 50, NOTHING, 101)));
    let now = 10_000;
    ask(&mut beside, 101, others(1, 0), now);
    assert_eq!(grants(&mut beside, now), [101]);
    assert!(is_taken(&answer_grant(&mut beside, 101, 50, NOTHING, now + 1)));
    assert_eq!((beside.kept_room(), beside.asking()), (0, 0));
}
