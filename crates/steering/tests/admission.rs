//! Which opening packets an agent admits, queues and returns.

mod support;

use support::agent_fixture::{answer, arrival, deliver, fill, new_agent, request};
use support::{SERVICE, agent as address, data, flow, opening};
use weirhinge_fleet::{ReturnReason, ServiceId};
use weirhinge_steering::{Agent, Arrival, DeliveryDecision, PacketHeader, WaitOutcome};

#[test]
fn busy_target_returns_openings_that_may_not_wait() {
    let mut agent = new_agent();
    fill(&mut agent);
    let header = opening(flow(50));
    let busy = DeliveryDecision::Return(ReturnReason::Busy);
    assert_eq!(agent.delivery(&arrival(&header), 1), busy);
    let may_wait = Arrival { may_wait: true, ..arrival(&header) };
    assert_eq!(agent.delivery(&may_wait, 1), DeliveryDecision::Wait { displaced: None });
    assert_eq!(agent.delivery(&arrival(&header), 2), DeliveryDecision::AlreadyWaiting);
    assert_eq!(agent.next_outcome(3), None);
    // Packets of open flows are never queued.
    deliver(&mut agent, &data(flow(51)), 3);
}

/// Guards against admission without a limit while the slot count is unknown. After all machines
/// failed at once, the targets' records arrived a second after their first requests; all requests
/// queued at the targets and none was answered in time.
#[test]
fn target_with_unknown_slots_admits_a_few_flows() {
    let mut agent = Agent::new(ServiceId::of(SERVICE));
    for port in 0..4 {
        deliver(&mut agent, &request(port, 0), 0);
    }
    let header = opening(flow(300));
    let busy = DeliveryDecision::Return(ReturnReason::Busy);
    assert_eq!(agent.delivery(&arrival(&header), 0), busy);
    // Urgent flows have a higher limit, and packets of open flows are never queued.
    let urgent = Arrival { urgent: true, ..arrival(&header) };
    assert!(matches!(agent.delivery(&urgent, 0), DeliveryDecision::Deliver { .. }));
    for port in 4..200 {
        deliver(&mut agent, &request(port, 0), 0);
    }
}

/// Lets a target with unknown slots answer requests, forty at a time, each after `took` ms. Returns
/// how many new flows it then has capacity for.
fn capacity_after_answers(took: u64) -> u32 {
    let mut agent = Agent::new(ServiceId::of(SERVICE));
    let mut now = 0;
    for round in 0..20 {
        for port in 0..40 {
            deliver(&mut agent, &request(port, round * 500), now);
        }
        now += took;
        for port in 0..40 {
            agent.output(&answer(flow(port)), now);
        }
    }
    let mut capacity = 0;
    for port in 1_000..1_100 {
        let header = opening(flow(port));
        let decision = agent.delivery(&arrival(&header), now);
        capacity += u32::from(matches!(decision, DeliveryDecision::Deliver { .. }));
    }
    capacity
}

#[test]
fn fast_answers_raise_limit_of_target_with_unknown_slots() {
    assert!(capacity_after_answers(60) >= 30, "{}", capacity_after_answers(60));
    assert_eq!(capacity_after_answers(160), 4, "neither fast nor slow");
    assert_eq!(capacity_after_answers(400), 4);
}

#[test]
fn slow_answers_lower_limit_of_target_with_unknown_slots() {
    let mut agent = Agent::new(ServiceId::of(SERVICE));
    for (round, took) in [(0, 50), (1, 50), (2, 300)] {
        for port in 0..8 {
            deliver(&mut agent, &request(port, round * 500), u64::from(round) * 1_000);
        }
        for port in 0..8 {
            agent.output(&answer(flow(port)), u64::from(round) * 1_000 + took);
        }
    }
    for port in 0..4 {
        deliver(&mut agent, &request(port, 5_000), 4_000);
    }
    let busy = DeliveryDecision::Return(ReturnReason::Busy);
    assert_eq!(agent.delivery(&arrival(&opening(flow(300))), 4_000), busy);
}

#[test]
fn newest_waiting_opening_is_admitted_first() {
    let mut agent = new_agent();
    fill(&mut agent);
    for port in [50, 51] {
        let header = opening(flow(port));
        agent.delivery(&Arrival { may_wait: true, ..arrival(&header) }, u64::from(port));
    }
    agent.output(&answer(flow(0)), 60);
    let Some(WaitOutcome::Deliver(first, _)) = agent.next_outcome(60) else {
        panic!("expected a delivery");
    };
    assert_eq!(first.header.client_flow(), flow(51));
    // The admitted flow's first request is expected and takes the capacity.
    assert_eq!(agent.next_outcome(61), None);
    // It never arrives, so the capacity is free again.
    let Some(WaitOutcome::Deliver(second, _)) = agent.next_outcome(130) else {
        panic!("expected a delivery");
    };
    assert_eq!(second.header.client_flow(), flow(50));
}

#[test]
fn opening_is_returned_after_longest_wait() {
    let mut agent = new_agent();
    fill(&mut agent);
    let header = opening(flow(50));
    agent.delivery(&Arrival { may_wait: true, ..arrival(&header) }, 0);
    assert_eq!(agent.next_outcome(1_000), None);
    let Some(WaitOutcome::Return(opening, ReturnReason::Busy)) = agent.next_outcome(1_100) else {
        panic!("expected a return");
    };
    assert_eq!(opening.balancer, address(100));
}

#[test]
fn copy_waits_behind_first_packets_without_delaying_their_return() {
    let mut agent = new_agent();
    fill(&mut agent);
    let first = opening(flow(50));
    agent.delivery(&Arrival { may_wait: true, ..arrival(&first) }, 0);
    let copy = PacketHeader { acknowledgment: 1, ..opening(flow(51)) };
    agent.delivery(&Arrival { may_wait: true, ..arrival(&copy) }, 500);
    // The first packet has reached its longest wait, although the copy is at the end from which
    // packets are taken.
    let Some(WaitOutcome::Return(returned, ReturnReason::Busy)) = agent.next_outcome(1_100) else {
        panic!("expected a return");
    };
    assert_eq!(returned.header.client_flow(), flow(50));
    agent.output(&answer(flow(0)), 1_200);
    let Some(WaitOutcome::Deliver(delivered, _)) = agent.next_outcome(1_200) else {
        panic!("expected a delivery");
    };
    assert_eq!(delivered.header.client_flow(), flow(51));
}

/// Guards against urgent openings that wait behind bulk traffic. Requests on open flows cannot be
/// held back, so in a burst approvals, which open a flow each, waited for feeds.
#[test]
fn urgent_openings_are_admitted_before_waiting_ones() {
    let mut agent = new_agent();
    fill(&mut agent);
    let urgent = |port| opening(flow(port));
    let header = urgent(60);
    let decision = agent.delivery(&Arrival { urgent: true, ..arrival(&header) }, 0);
    assert!(matches!(decision, DeliveryDecision::Deliver { .. }));
    // Eight requests in flight are the limit for urgent ones, too.
    for port in 61..63 {
        deliver(&mut agent, &request(port, 0), 0);
    }
    for (port, urgent) in [(70, true), (71, false)] {
        let header = opening(flow(port));
        agent.delivery(&Arrival { may_wait: true, urgent, ..arrival(&header) }, 1);
    }
    assert_eq!(agent.next_outcome(2), None);
    agent.output(&answer(flow(0)), 3);
    let Some(WaitOutcome::Deliver(first, _)) = agent.next_outcome(3) else {
        panic!("expected a delivery");
    };
    assert_eq!(first.header.client_flow(), flow(70));
    assert_eq!(agent.next_outcome(4), None);
}

/// Guards against returning the newest packet when the queue is full. Its client retried
/// immediately, without success, until it had no tries left.
#[test]
fn newest_opening_evicts_last_in_full_queue() {
    let mut agent = new_agent();
    fill(&mut agent);
    let wait = |agent: &mut Agent, port: u16, urgent: bool, now: u64| {
        let header = opening(flow(port));
        match agent.delivery(&Arrival { may_wait: true, urgent, ..arrival(&header) }, now) {
            DeliveryDecision::Wait { displaced } => displaced.map(|opening| opening.header),
            other => panic!("expected a wait, got {other:?}"),
        }
    };
    // Eight requests reach the limit for urgent ones as well.
    for port in 5..8 {
        deliver(&mut agent, &request(port, 0), 0);
    }
    assert_eq!(wait(&mut agent, 1_000, true, 1), None);
    for port in 1_001..1_128 {
        assert_eq!(wait(&mut agent, port, false, 2), None, "{port}");
    }
    for port in 2_000..2_010 {
        let displaced = wait(&mut agent, port, false, 3).expect("the queue is full");
        assert_eq!(displaced.source.port(), port - 999, "the oldest non-urgent opening");
    }
}

/// Guards against resetting an open flow. When a copy of a waiting packet was admitted, the first
/// packet stayed in the queue and was returned a second later; its balancer then reset the flow,
/// which was open by then.
#[test]
fn waiting_opening_is_dropped_when_its_copy_is_delivered() {
    let mut agent = new_agent();
    fill(&mut agent);
    let header = opening(flow(50));
    let waits = agent.delivery(&Arrival { may_wait: true, ..arrival(&header) }, 1);
    assert_eq!(waits, DeliveryDecision::Wait { displaced: None });
    // The target has more slots than first reported.
    agent.set_slots(8);
    let copy = PacketHeader { acknowledgment: 1, ..header };
    deliver(&mut agent, &copy, 201);
    for port in 60..70 {
        deliver(&mut agent, &request(port, 0), 202);
    }
    let outcomes = (203..3_000).step_by(60).find_map(|now| agent.next_outcome(now));
    assert_eq!(outcomes, None, "the flow is open at the target");
}

/// Opens flows whose first requests arrive `round_trip` ms later and are answered immediately.
fn measure_round_trips(agent: &mut Agent, round_trip: u64) -> u64 {
    let mut now = 0;
    for port in 1_000..1_100 {
        deliver(agent, &opening(flow(port)), now);
        now += round_trip;
        deliver(agent, &request(port, 0), now);
        agent.output(&answer(flow(port)), now);
    }
    now
}

/// Returns the milliseconds until admitted flows that never send a request free their capacity.
fn time_until_capacity_is_freed(agent: &mut Agent, now: u64) -> u64 {
    for port in 1..=5 {
        deliver(agent, &opening(flow(port)), now);
    }
    let waiting = opening(flow(60));
    agent.delivery(&Arrival { may_wait: true, ..arrival(&waiting) }, now);
    let has_capacity = |waited: &u64| agent.next_outcome(now + waited).is_some();
    (0..200).find(has_capacity).expect("capacity is freed")
}

/// Guards against flows without a request that hold capacity for a fixed time. In the second after
/// a power loss half of the admitted flows send no request, because their clients gave up. Each
/// held capacity for 60 ms on networks where requests arrive after 8 ms.
#[test]
fn admitted_flows_hold_capacity_for_measured_round_trip() {
    assert_eq!(time_until_capacity_is_freed(&mut new_agent(), 0), 60, "no round trip was measured");
    for (round_trip, expected) in [(8, 15), (30, 30), (200, 60)] {
        let mut agent = new_agent();
        let now = measure_round_trips(&mut agent, round_trip);
        let took = time_until_capacity_is_freed(&mut agent, now);
        assert!((expected..=expected + 3).contains(&took), "{round_trip}: {took}");
    }
}
