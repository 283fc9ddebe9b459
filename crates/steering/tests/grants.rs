//! To which balancer an agent gives room, and how that goes with openings that come unasked.

mod support;

use support::asking::*;
use support::beside::{arrival, deliver, request};
use support::{agent as balancer, flow, opening, packet};
use weirhinge_fleet::{Millis, OpeningDemand};
use weirhinge_steering::{
    Agent, Arrival, DeliveryDecision, Flags, Grant, OutputDecision, PacketHeader, WaitOutcome,
};

#[test]
fn room_goes_to_the_balancer_whose_first_opening_has_waited_longest() {
    let mut beside = full_agent();
    ask(&mut beside, 101, others(3, 50), 100);
    ask(&mut beside, 102, others(3, 80), 100);
    ask(&mut beside, 103, others(1, 10), 10);
    assert_eq!(grant(&mut beside, 100), None, "there is no room");
    free(&mut beside, 0, 100);
    assert_eq!(grants(&mut beside, 100), [103], "it waits for 100 ms by now");
    free(&mut beside, 1, 101);
    assert_eq!(grants(&mut beside, 101), [102]);
}

#[test]
fn of_balancers_that_wait_equally_long_the_lowest_address_is_first() {
    for order in [[101, 102], [102, 101]] {
        let mut beside = full_agent();
        for number in order {
            ask(&mut beside, number, others(1, 50), 100);
        }
        free(&mut beside, 0, 100);
        assert_eq!(grants(&mut beside, 100), [101]);
    }
}

#[test]
fn each_unanswered_grant_counts_as_one_opening_less() {
    let mut beside = full_agent();
    ask(&mut beside, 101, others(4, 200), 100);
    ask(&mut beside, 102, others(1, 120), 100);
    for port in 0..5 {
        free(&mut beside, port, 100);
    }
    // Openings behind the first are taken to have waited for less: 200, 150, 100 and 50 ms.
    assert_eq!(grants(&mut beside, 100), [101, 101, 102, 101, 101]);
    let mut beside = full_agent();
    ask(&mut beside, 101, others(2, 200), 100);
    for port in 0..5 {
        free(&mut beside, port, 100);
    }
    assert_eq!(grants(&mut beside, 100), [101, 101], "no more than wait");
    // Said before it got the second grant: that opening does not wait any more.
    assert!(is_taken(&answer_grant(&mut beside, 101, 50, others(1, 90), 102)));
    assert_eq!(grants(&mut beside, 102), Vec::<u8>::new());
}

/// Gives out room one by one; whoever gets it uses it at once. Returns who got it and whether
/// for urgent openings alone.
fn serve(beside: &mut Agent, rounds: u16) -> Vec<(u8, bool)> {
    let serve_one = |port| {
        let now = 100 + Millis::from(port);
        let Grant { balancer, urgent_only } = beside.next_grant(now).expect("a grant");
        let number = balancer.octets()[3];
        let rest = if number == 101 { urgent(50, 50) } else { others(50, 200) };
        assert!(is_taken(&answer_grant(beside, number, port, rest, now)));
        deliver(beside, &request(port, 0), now);
        free(beside, port, now);
        (number, urgent_only)
    };
    (1_000..1_000 + rounds).map(serve_one).collect()
}

#[test]
fn urgent_openings_go_first_and_others_get_one_grant_in_eight() {
    // Also if urgent ones always keep the target above what is room for others.
    for (mut beside, only) in [(full_agent(), false), (agent_with_urgent_room(), true)] {
        if !only {
            free(&mut beside, 0, 100);
        }
        ask(&mut beside, 101, urgent(50, 50), 1_000);
        ask(&mut beside, 102, others(50, 200), 1_000);
        let served = serve(&mut beside, 80);
        let for_urgent = served.iter().filter(|(number, _)| *number == 101).count();
        assert_eq!(for_urgent, 70);
        for window in served.windows(8) {
            assert!(window.contains(&(102, false)), "{window:?}");
        }
        assert!(served.iter().all(|(number, alone)| *alone == (only && *number == 101)));
    }
}

/// A balancer at which both classes wait answers with either.
#[test]
fn others_are_still_due_if_an_urgent_opening_used_their_grant() {
    let mut beside = agent_with_urgent_room();
    let both = OpeningDemand { others: others(50, 90).others, ..urgent(50, 10) };
    ask(&mut beside, 101, both, 1_000);
    let mut open_to_all = Vec::new();
    for port in 1_000..1_030 {
        let Grant { urgent_only, .. } = beside.next_grant(1_000).expect("a grant");
        // It takes every second chance to serve others.
        let is_urgent = urgent_only || open_to_all.len() % 2 == 0;
        if !urgent_only {
            open_to_all.push(port - 1_000);
        }
        let header = opening(flow(port));
        let (balancer, granted) = (balancer(101), Some(both));
        let used = Arrival { balancer, granted, urgent: is_urgent, ..arrival(&header) };
        assert!(is_taken(&beside.delivery(&used, 1_000)));
        deliver(&mut beside, &request(port, 0), 1_000);
        free(&mut beside, port, 1_000);
    }
    assert_eq!(open_to_all, [7, 8, 16, 17, 25, 26]);
}

#[test]
fn room_for_urgent_openings_alone_is_granted_as_such() {
    let mut beside = agent_with_urgent_room();
    ask(&mut beside, 101, others(3, 500), 100);
    assert_eq!(beside.next_grant(100), None);
    ask(&mut beside, 102, urgent(3, 0), 100);
    let expected = Grant { balancer: balancer(102), urgent_only: true };
    assert_eq!(beside.next_grant(100), Some(expected));
    assert_eq!(beside.next_grant(100), None, "eight are in hand or granted");
}

#[test]
fn an_opening_that_nobody_asked_for_passes_over_none_that_waits() {
    let direct = |beside: &Agent, urgent| {
        let header = opening(flow(70));
        beside.clone().delivery(&Arrival { urgent, ..arrival(&header) }, 101)
    };
    let mut beside = full_agent();
    free(&mut beside, 0, 100);
    ask(&mut beside, 101, others(2, 50), 100);
    assert_eq!(direct(&beside, false), BUSY);
    assert!(is_taken(&direct(&beside, true)), "others do not go before it");
    ask(&mut beside, 101, urgent(2, 50), 100);
    assert_eq!(direct(&beside, false), BUSY);
    assert_eq!(direct(&beside, true), BUSY);
    // Room is kept for all that wait, and there is more.
    for port in 1..4 {
        free(&mut beside, port, 100);
    }
    assert_eq!(grants(&mut beside, 100), [101, 101]);
    assert!(is_taken(&direct(&beside, false)));
}

#[test]
fn openings_that_wait_at_the_agent_take_turns_with_balancers() {
    let mut beside = full_agent();
    for port in 50..54 {
        let header = opening(flow(port));
        let waits = beside.delivery(&Arrival { may_wait: true, ..arrival(&header) }, 90);
        assert_eq!(waits, DeliveryDecision::Wait { displaced: None });
    }
    ask(&mut beside, 101, others(9, 50), 90);
    let mut order = Vec::new();
    for port in 0..4 {
        free(&mut beside, port, 100);
        let delivered = beside.next_outcome(100);
        let granted = beside.next_grant(100);
        let delivered = delivered.or_else(|| beside.next_outcome(100));
        assert_ne!(delivered.is_some(), granted.is_some(), "room for one");
        assert!(!matches!(delivered, Some(WaitOutcome::Return(..))));
        order.push(granted.is_some());
    }
    assert_eq!(order, [true, false, true, false]);
}

#[test]
fn openings_that_wait_at_the_agent_do_not_hold_up_grants_that_they_cannot_use() {
    let mut beside = full_agent();
    let header = opening(flow(50));
    beside.delivery(&Arrival { may_wait: true, ..arrival(&header) }, 90);
    ask(&mut beside, 101, urgent(9, 50), 90);
    // Five are in hand: the room left is for urgent ones.
    assert_eq!(beside.next_outcome(90), None);
    assert_eq!(grants(&mut beside, 90), [101, 101, 101]);
}

/// The label of an opening that is handed to the target.
fn label(decision: DeliveryDecision) -> u32 {
    match decision {
        DeliveryDecision::Deliver { echo, .. } => echo,
        other => panic!("expected a delivery, got {other:?}"),
    }
}

#[test]
fn an_opening_that_the_target_sends_back_tells_whether_it_came_with_a_grant() {
    let mut beside = full_agent();
    let header = opening(flow(50));
    let waits = beside.delivery(&Arrival { may_wait: true, ..arrival(&header) }, 90);
    assert_eq!(waits, DeliveryDecision::Wait { displaced: None });
    for port in 0..5 {
        free(&mut beside, port, 100);
    }
    let Some(WaitOutcome::Deliver(_, waited)) = beside.next_outcome(100) else {
        panic!("there is room");
    };
    ask(&mut beside, 100, others(1, 50), 100);
    assert_eq!(grants(&mut beside, 100), [100]);
    let granted = label(answer_grant(&mut beside, 100, 51, NOTHING, 101));
    let direct = label(beside.delivery(&arrival(&opening(flow(52))), 101));
    let flags = Flags { bounced: true, ..Flags::default() };
    for (port, echo, granted) in [(50, waited, false), (51, granted, true), (52, direct, false)] {
        let bounced = PacketHeader { echo, ..packet(flow(port), flags, 0) };
        let back = OutputDecision::Return { balancer: balancer(100), granted };
        assert_eq!(beside.output(&bounced, 102), back);
    }
}
