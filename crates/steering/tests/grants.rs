//! Which balancer an agent grants capacity to, and how grants share capacity with openings that
//! arrive without one.

mod support;

use support::agent_fixture::{arrival, deliver, request};
use support::grant_requests::*;
use support::{agent as balancer, flow, opening, packet};
use weirhinge_fleet::{Millis, OpeningDemand};
use weirhinge_steering::{
    Agent, Arrival, DeliveryDecision, Flags, Grant, OutputDecision, PacketHeader, WaitOutcome,
};

#[test]
fn longest_waiting_balancer_gets_the_grant() {
    let mut agent = agent_at_limit();
    request_capacity(&mut agent, 101, non_urgent(3, 50), 100);
    request_capacity(&mut agent, 102, non_urgent(3, 80), 100);
    request_capacity(&mut agent, 103, non_urgent(1, 10), 10);
    assert_eq!(next_grantee(&mut agent, 100), None, "there is no capacity");
    answer_request(&mut agent, 0, 100);
    assert_eq!(grantees(&mut agent, 100), [103], "its opening has waited for 100 ms");
    answer_request(&mut agent, 1, 101);
    assert_eq!(grantees(&mut agent, 101), [102]);
}

#[test]
fn lowest_address_wins_ties() {
    for order in [[101, 102], [102, 101]] {
        let mut agent = agent_at_limit();
        for number in order {
            request_capacity(&mut agent, number, non_urgent(1, 50), 100);
        }
        answer_request(&mut agent, 0, 100);
        assert_eq!(grantees(&mut agent, 100), [101]);
    }
}

#[test]
fn outstanding_grants_reduce_the_demand() {
    let mut agent = agent_at_limit();
    request_capacity(&mut agent, 101, non_urgent(4, 200), 100);
    request_capacity(&mut agent, 102, non_urgent(1, 120), 100);
    for port in 0..5 {
        answer_request(&mut agent, port, 100);
    }
    // Openings behind the first are assumed to be evenly spaced: waits of 200, 150, 100 and 50 ms.
    assert_eq!(grantees(&mut agent, 100), [101, 101, 102, 101, 101]);
    let mut agent = agent_at_limit();
    request_capacity(&mut agent, 101, non_urgent(2, 200), 100);
    for port in 0..5 {
        answer_request(&mut agent, port, 100);
    }
    assert_eq!(grantees(&mut agent, 100), [101, 101], "no more grants than waiting openings");
    // The balancer reported this before it received the second grant, which covers the opening.
    assert!(is_delivered(&use_grant(&mut agent, 101, 50, non_urgent(1, 90), 102)));
    assert_eq!(grantees(&mut agent, 102), Vec::<u8>::new());
}

/// Grants capacity for one opening at a time, which its balancer uses immediately. Returns who got
/// each grant and whether it was for urgent openings only.
fn serve_grants(agent: &mut Agent, rounds: u16) -> Vec<(u8, bool)> {
    let serve_grant = |port| {
        let now = 100 + Millis::from(port);
        let Grant { balancer, urgent_only } = agent.next_grant(now).expect("a grant");
        let number = balancer.octets()[3];
        let remaining = if number == 101 { urgent(50, 50) } else { non_urgent(50, 200) };
        assert!(is_delivered(&use_grant(agent, number, port, remaining, now)));
        deliver(agent, &request(port, 0), now);
        answer_request(agent, port, now);
        (number, urgent_only)
    };
    (1_000..1_000 + rounds).map(serve_grant).collect()
}

#[test]
fn non_urgent_openings_get_one_grant_in_eight() {
    // Also holds if urgent openings keep the load above the limit for non-urgent ones.
    for (mut agent, urgent_capacity_only) in
        [(agent_at_limit(), false), (agent_with_urgent_capacity(), true)]
    {
        if !urgent_capacity_only {
            answer_request(&mut agent, 0, 100);
        }
        request_capacity(&mut agent, 101, urgent(50, 50), 1_000);
        request_capacity(&mut agent, 102, non_urgent(50, 200), 1_000);
        let served = serve_grants(&mut agent, 80);
        let for_urgent = served.iter().filter(|(number, _)| *number == 101).count();
        assert_eq!(for_urgent, 70);
        for window in served.windows(8) {
            assert!(window.contains(&(102, false)), "{window:?}");
        }
        assert!(
            served
                .iter()
                .all(|(number, urgent_only)| *urgent_only
                    == (urgent_capacity_only && *number == 101))
        );
    }
}

/// A balancer with waiting openings of both classes may use a grant for either.
#[test]
fn non_urgent_share_stays_due_if_an_urgent_opening_uses_its_grant() {
    let mut agent = agent_with_urgent_capacity();
    let both = OpeningDemand { others: non_urgent(50, 90).others, ..urgent(50, 10) };
    request_capacity(&mut agent, 101, both, 1_000);
    let mut open_to_all = Vec::new();
    for port in 1_000..1_030 {
        let Grant { urgent_only, .. } = agent.next_grant(1_000).expect("a grant");
        // The balancer uses every second grant that is open to both for a non-urgent opening.
        let is_urgent = urgent_only || open_to_all.len() % 2 == 0;
        if !urgent_only {
            open_to_all.push(port - 1_000);
        }
        let header = opening(flow(port));
        let (balancer, granted) = (balancer(101), Some(both));
        let used = Arrival { balancer, granted, urgent: is_urgent, ..arrival(&header) };
        assert!(is_delivered(&agent.delivery(&used, 1_000)));
        deliver(&mut agent, &request(port, 0), 1_000);
        answer_request(&mut agent, port, 1_000);
    }
    assert_eq!(open_to_all, [7, 8, 16, 17, 25, 26]);
}

#[test]
fn capacity_for_urgent_openings_is_granted_as_urgent_only() {
    let mut agent = agent_with_urgent_capacity();
    request_capacity(&mut agent, 101, non_urgent(3, 500), 100);
    assert_eq!(agent.next_grant(100), None);
    request_capacity(&mut agent, 102, urgent(3, 0), 100);
    let expected = Grant { balancer: balancer(102), urgent_only: true };
    assert_eq!(agent.next_grant(100), Some(expected));
    assert_eq!(agent.next_grant(100), None, "eight are in flight or granted");
}

#[test]
fn opening_without_grant_does_not_overtake_waiting_ones() {
    let direct = |agent: &Agent, urgent| {
        let header = opening(flow(70));
        agent.clone().delivery(&Arrival { urgent, ..arrival(&header) }, 101)
    };
    let mut agent = agent_at_limit();
    answer_request(&mut agent, 0, 100);
    request_capacity(&mut agent, 101, non_urgent(2, 50), 100);
    assert_eq!(direct(&agent, false), BUSY);
    assert!(is_delivered(&direct(&agent, true)), "non-urgent openings have no precedence over it");
    request_capacity(&mut agent, 101, urgent(2, 50), 100);
    assert_eq!(direct(&agent, false), BUSY);
    assert_eq!(direct(&agent, true), BUSY);
    // All waiting openings have grants, and there is capacity left.
    for port in 1..4 {
        answer_request(&mut agent, port, 100);
    }
    assert_eq!(grantees(&mut agent, 100), [101, 101]);
    assert!(is_delivered(&direct(&agent, false)));
}

#[test]
fn openings_at_the_agent_take_turns_with_grants() {
    let mut agent = agent_at_limit();
    for port in 50..54 {
        let header = opening(flow(port));
        let waits = agent.delivery(&Arrival { may_wait: true, ..arrival(&header) }, 90);
        assert_eq!(waits, DeliveryDecision::Wait { displaced: None });
    }
    request_capacity(&mut agent, 101, non_urgent(9, 50), 90);
    let mut order = Vec::new();
    for port in 0..4 {
        answer_request(&mut agent, port, 100);
        let delivered = agent.next_outcome(100);
        let granted = agent.next_grant(100);
        let delivered = delivered.or_else(|| agent.next_outcome(100));
        assert_ne!(delivered.is_some(), granted.is_some(), "capacity for one");
        assert!(!matches!(delivered, Some(WaitOutcome::Return(..))));
        order.push(granted.is_some());
    }
    assert_eq!(order, [true, false, true, false]);
}

#[test]
fn openings_at_the_agent_do_not_block_urgent_grants() {
    let mut agent = agent_at_limit();
    let header = opening(flow(50));
    agent.delivery(&Arrival { may_wait: true, ..arrival(&header) }, 90);
    request_capacity(&mut agent, 101, urgent(9, 50), 90);
    // Five requests are in flight: the remaining capacity is for urgent openings only.
    assert_eq!(agent.next_outcome(90), None);
    assert_eq!(grantees(&mut agent, 90), [101, 101, 101]);
}

/// Returns the echo label of a delivered opening.
fn echo_label(decision: DeliveryDecision) -> u32 {
    match decision {
        DeliveryDecision::Deliver { echo, .. } => echo,
        other => panic!("expected a delivery, got {other:?}"),
    }
}

#[test]
fn bounced_opening_reports_whether_it_had_a_grant() {
    let mut agent = agent_at_limit();
    let header = opening(flow(50));
    let waits = agent.delivery(&Arrival { may_wait: true, ..arrival(&header) }, 90);
    assert_eq!(waits, DeliveryDecision::Wait { displaced: None });
    for port in 0..5 {
        answer_request(&mut agent, port, 100);
    }
    let Some(WaitOutcome::Deliver(_, waited)) = agent.next_outcome(100) else {
        panic!("there is capacity");
    };
    request_capacity(&mut agent, 100, non_urgent(1, 50), 100);
    assert_eq!(grantees(&mut agent, 100), [100]);
    let granted = echo_label(use_grant(&mut agent, 100, 51, NO_DEMAND, 101));
    let direct = echo_label(agent.delivery(&arrival(&opening(flow(52))), 101));
    let flags = Flags { bounced: true, ..Flags::default() };
    for (port, echo, granted) in [(50, waited, false), (51, granted, true), (52, direct, false)] {
        let bounced = PacketHeader { echo, ..packet(flow(port), flags, 0) };
        let back = OutputDecision::Return { balancer: balancer(100), granted };
        assert_eq!(agent.output(&bounced, 102), back);
    }
}
