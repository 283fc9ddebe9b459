//! Which opening packets an agent lets in, which wait, and which go back.

mod support;

use support::beside::{answer, arrival, deliver, fill, new_agent, request};
use support::{SERVICE, agent, data, flow, opening};
use weirhinge_fleet::{ReturnReason, ServiceId};
use weirhinge_steering::{Agent, Arrival, DeliveryDecision, PacketHeader, WaitOutcome};

#[test]
fn a_busy_target_sends_openings_back_unless_they_may_wait() {
    let mut beside = new_agent();
    fill(&mut beside);
    let header = opening(flow(50));
    let busy = DeliveryDecision::Return(ReturnReason::Busy);
    assert_eq!(beside.delivery(&arrival(&header), 1), busy);
    let may_wait = Arrival { may_wait: true, ..arrival(&header) };
    assert_eq!(beside.delivery(&may_wait, 1), DeliveryDecision::Wait { displaced: None });
    assert_eq!(beside.delivery(&arrival(&header), 2), DeliveryDecision::WaitsAlready);
    assert_eq!(beside.next_outcome(3), None);
    // Packets of open flows never wait.
    deliver(&mut beside, &data(flow(51)), 3);
}

/// After a loss of all machines the targets' records came a second after their first
/// requests. Without a limit until then, all requests waited in the targets' queues and
/// none was in time.
#[test]
fn a_target_of_unknown_size_has_room_for_a_few() {
    let mut beside = Agent::new(ServiceId::of(SERVICE));
    for port in 0..4 {
        deliver(&mut beside, &request(port, 0), 0);
    }
    let header = opening(flow(300));
    let busy = DeliveryDecision::Return(ReturnReason::Busy);
    assert_eq!(beside.delivery(&arrival(&header), 0), busy);
    // Urgent flows have more room, and packets of open flows never wait.
    let urgent = Arrival { urgent: true, ..arrival(&header) };
    assert!(matches!(beside.delivery(&urgent, 0), DeliveryDecision::Deliver { .. }));
    for port in 4..200 {
        deliver(&mut beside, &request(port, 0), 0);
    }
}

/// Lets a target of unknown size answer requests, forty at a time, each after `took` ms.
/// Returns how many requests it then has room for.
fn room_after_answers(took: u64) -> u32 {
    let mut beside = Agent::new(ServiceId::of(SERVICE));
    let mut now = 0;
    for round in 0..20 {
        for port in 0..40 {
            deliver(&mut beside, &request(port, round * 500), now);
        }
        now += took;
        for port in 0..40 {
            beside.output(&answer(flow(port)), now);
        }
    }
    let mut room = 0;
    for port in 1_000..1_100 {
        let header = opening(flow(port));
        let decision = beside.delivery(&arrival(&header), now);
        room += u32::from(matches!(decision, DeliveryDecision::Deliver { .. }));
    }
    room
}

#[test]
fn prompt_answers_give_a_target_of_unknown_size_more_room() {
    assert!(room_after_answers(60) >= 30, "{}", room_after_answers(60));
    assert_eq!(room_after_answers(160), 4, "neither prompt nor slow");
    assert_eq!(room_after_answers(400), 4);
}

#[test]
fn a_target_that_slows_down_loses_room_again() {
    let mut beside = Agent::new(ServiceId::of(SERVICE));
    for (round, took) in [(0, 50), (1, 50), (2, 300)] {
        for port in 0..8 {
            deliver(&mut beside, &request(port, round * 500), u64::from(round) * 1_000);
        }
        for port in 0..8 {
            beside.output(&answer(flow(port)), u64::from(round) * 1_000 + took);
        }
    }
    for port in 0..4 {
        deliver(&mut beside, &request(port, 5_000), 4_000);
    }
    let busy = DeliveryDecision::Return(ReturnReason::Busy);
    assert_eq!(beside.delivery(&arrival(&opening(flow(300))), 4_000), busy);
}

#[test]
fn the_newest_waiting_opening_goes_first_when_there_is_room() {
    let mut beside = new_agent();
    fill(&mut beside);
    for port in [50, 51] {
        let header = opening(flow(port));
        beside.delivery(&Arrival { may_wait: true, ..arrival(&header) }, u64::from(port));
    }
    beside.output(&answer(flow(0)), 60);
    let Some(WaitOutcome::Deliver(first, _)) = beside.next_outcome(60) else {
        panic!("expected a delivery");
    };
    assert_eq!(first.header.client_flow(), flow(51));
    // The admitted flow's request is expected and takes the room.
    assert_eq!(beside.next_outcome(61), None);
    // It never comes: the room is free again.
    let Some(WaitOutcome::Deliver(second, _)) = beside.next_outcome(130) else {
        panic!("expected a delivery");
    };
    assert_eq!(second.header.client_flow(), flow(50));
}

#[test]
fn an_opening_that_waited_too_long_goes_back() {
    let mut beside = new_agent();
    fill(&mut beside);
    let header = opening(flow(50));
    beside.delivery(&Arrival { may_wait: true, ..arrival(&header) }, 0);
    assert_eq!(beside.next_outcome(1_000), None);
    let Some(WaitOutcome::Return(opening, ReturnReason::Busy)) = beside.next_outcome(1_100) else {
        panic!("expected a return");
    };
    assert_eq!(opening.balancer, agent(100));
}

#[test]
fn a_copy_waits_behind_first_packets_and_still_goes_back_in_time() {
    let mut beside = new_agent();
    fill(&mut beside);
    let first = opening(flow(50));
    beside.delivery(&Arrival { may_wait: true, ..arrival(&first) }, 0);
    let copy = PacketHeader { acknowledgment: 1, ..opening(flow(51)) };
    beside.delivery(&Arrival { may_wait: true, ..arrival(&copy) }, 500);
    // The first packet is due although the copy stands at the end it leaves from.
    let Some(WaitOutcome::Return(returned, ReturnReason::Busy)) = beside.next_outcome(1_100) else {
        panic!("expected a return");
    };
    assert_eq!(returned.header.client_flow(), flow(50));
    beside.output(&answer(flow(0)), 1_200);
    let Some(WaitOutcome::Deliver(delivered, _)) = beside.next_outcome(1_200) else {
        panic!("expected a delivery");
    };
    assert_eq!(delivered.header.client_flow(), flow(51));
}

/// Requests on open flows cannot be kept back, so that in a burst approvals, which
/// open a flow each, waited for feeds.
#[test]
fn urgent_openings_find_room_where_others_wait_and_go_first() {
    let mut beside = new_agent();
    fill(&mut beside);
    let urgent = |port| opening(flow(port));
    let header = urgent(60);
    let decision = beside.delivery(&Arrival { urgent: true, ..arrival(&header) }, 0);
    assert!(matches!(decision, DeliveryDecision::Deliver { .. }));
    // Eight in hand are too many for urgent ones too.
    for port in 61..63 {
        deliver(&mut beside, &request(port, 0), 0);
    }
    for (port, urgent) in [(70, true), (71, false)] {
        let header = opening(flow(port));
        beside.delivery(&Arrival { may_wait: true, urgent, ..arrival(&header) }, 1);
    }
    assert_eq!(beside.next_outcome(2), None);
    beside.output(&answer(flow(0)), 3);
    let Some(WaitOutcome::Deliver(first, _)) = beside.next_outcome(3) else {
        panic!("expected a delivery");
    };
    assert_eq!(first.header.client_flow(), flow(70));
    assert_eq!(beside.next_outcome(4), None);
}

/// The newest packet once went back when the room was full, and its client asked again
/// at once and in vain until its tries were used up.
#[test]
fn the_opening_that_would_go_last_makes_room_for_the_newest() {
    let mut beside = new_agent();
    fill(&mut beside);
    let wait = |beside: &mut Agent, port: u16, urgent: bool, now: u64| {
        let header = opening(flow(port));
        match beside.delivery(&Arrival { may_wait: true, urgent, ..arrival(&header) }, now) {
            DeliveryDecision::Wait { displaced } => displaced.map(|opening| opening.header),
            other => panic!("expected a wait, got {other:?}"),
        }
    };
    // Eight requests fill the room of urgent ones as well.
    for port in 5..8 {
        deliver(&mut beside, &request(port, 0), 0);
    }
    assert_eq!(wait(&mut beside, 1_000, true, 1), None);
    for port in 1_001..1_128 {
        assert_eq!(wait(&mut beside, port, false, 2), None, "{port}");
    }
    for port in 2_000..2_010 {
        let displaced = wait(&mut beside, port, false, 3).expect("the room is full");
        assert_eq!(displaced.source.port(), port - 999, "the oldest that is not urgent");
    }
}

/// The first packet once stayed in the room when a copy of it found room, and went back
/// a second later: its balancer reset the flow, which was open by then.
#[test]
fn a_waiting_opening_ends_when_its_copy_is_handed_over() {
    let mut beside = new_agent();
    fill(&mut beside);
    let header = opening(flow(50));
    let waits = beside.delivery(&Arrival { may_wait: true, ..arrival(&header) }, 1);
    assert_eq!(waits, DeliveryDecision::Wait { displaced: None });
    // The target turns out to be larger than it was known to be.
    beside.set_slots(8);
    let copy = PacketHeader { acknowledgment: 1, ..header };
    deliver(&mut beside, &copy, 201);
    for port in 60..70 {
        deliver(&mut beside, &request(port, 0), 202);
    }
    let outcomes = (203..3_000).step_by(60).find_map(|now| beside.next_outcome(now));
    assert_eq!(outcomes, None, "the flow is the target's now");
}

/// Opens flows whose first requests come `round_trip` later and are answered at once.
fn measure_round_trips(beside: &mut Agent, round_trip: u64) -> u64 {
    let mut now = 0;
    for port in 1_000..1_100 {
        deliver(beside, &opening(flow(port)), now);
        now += round_trip;
        deliver(beside, &request(port, 0), now);
        beside.output(&answer(flow(port)), now);
    }
    now
}

/// Milliseconds until flows that were admitted and never brought a request make room.
fn room_after_silence(beside: &mut Agent, now: u64) -> u64 {
    for port in 1..=5 {
        deliver(beside, &opening(flow(port)), now);
    }
    let waiting = opening(flow(60));
    beside.delivery(&Arrival { may_wait: true, ..arrival(&waiting) }, now);
    let has_room = |waited: &u64| beside.next_outcome(now + waited).is_some();
    (0..200).find(has_room).expect("room")
}

/// Half of the flows admitted in the second after a loss of power bring no request: their
/// clients gave up. Each once held room for 60 ms, on networks where requests come after 8.
#[test]
fn admitted_flows_hold_room_for_as_long_as_requests_take_to_come() {
    assert_eq!(room_after_silence(&mut new_agent(), 0), 60, "nothing was measured yet");
    for (round_trip, expected) in [(8, 15), (30, 30), (200, 60)] {
        let mut beside = new_agent();
        let now = measure_round_trips(&mut beside, round_trip);
        let took = room_after_silence(&mut beside, now);
        assert!((expected..=expected + 3).contains(&took), "{round_trip}: {took}");
    }
}
