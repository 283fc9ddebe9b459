//! The agent's decisions: the check of the service, bounces, room, notices.

mod support;

use support::{OTHER, SERVICE, agent, data, flow, opening, packet};
use weirhinge_fleet::{ReturnReason, SearchPath, ServiceId};
use weirhinge_steering::{
    Agent, Arrival, DeliveryDecision, Flags, FlowKey, HoldsNotice, OutputDecision, OutputDrop,
    PacketHead, WaitOutcome,
};

fn new_agent() -> Agent {
    let mut agent = Agent::new(ServiceId::of(SERVICE));
    agent.set_slots(4);
    agent
}

fn arrival(head: &PacketHead) -> Arrival<'_> {
    Arrival {
        head,
        packet: b"packet",
        balancer: agent(100),
        service: ServiceId::of(SERVICE),
        search: None,
        may_wait: false,
        urgent: false,
    }
}

fn deliver(agent: &mut Agent, head: &PacketHead, now: u64) -> u32 {
    match agent.delivery(&arrival(head), now) {
        DeliveryDecision::Deliver { echo, .. } => echo,
        other => panic!("expected a delivery, got {other:?}"),
    }
}

/// A packet of the target on a flow.
fn output(flow: FlowKey, flags: Flags, length: u16) -> PacketHead {
    let head = packet(flow, flags, length);
    PacketHead { source: head.destination, destination: head.source, ..head }
}

fn answer(flow: FlowKey) -> PacketHead {
    output(flow, Flags { ack: true, ..Flags::default() }, 400)
}

fn request(port: u16, sequence: u32) -> PacketHead {
    PacketHead { sequence, ..data(flow(port)) }
}

/// Fills the room of six: four slots and half as many again.
fn fill(agent: &mut Agent) {
    for port in 0..6 {
        deliver(agent, &request(port, 0), 0);
    }
    assert_eq!(agent.waiting(), 6);
}

#[test]
fn an_opening_packet_for_another_service_goes_back() {
    let mut beside = new_agent();
    let head = opening(flow(1));
    let wrong = Arrival { service: ServiceId::of(OTHER), ..arrival(&head) };
    let returned = DeliveryDecision::Return(ReturnReason::OtherService);
    assert_eq!(beside.delivery(&wrong, 0), returned);
    // A later packet is the target's to judge.
    let head = data(flow(1));
    let later = Arrival { service: ServiceId::of(OTHER), ..arrival(&head) };
    assert!(matches!(beside.delivery(&later, 0), DeliveryDecision::Deliver { .. }));
}

#[test]
fn a_bounced_packet_finds_the_balancer_that_sent_it() {
    let mut beside = new_agent();
    let first = deliver(&mut beside, &data(flow(1)), 0);
    let head = data(flow(2));
    let second = Arrival { balancer: agent(101), ..arrival(&head) };
    let DeliveryDecision::Deliver { echo: second, .. } = beside.delivery(&second, 0) else {
        panic!("expected a delivery");
    };
    let bounced = |port, echo| {
        let flags = Flags { ack: true, bounced: true, ..Flags::default() };
        PacketHead { echo, ..packet(flow(port), flags, 100) }
    };
    let back = |balancer| OutputDecision::Return { balancer };
    assert_eq!(beside.output(&bounced(1, first), 1), back(agent(100)));
    assert_eq!(beside.output(&bounced(2, second), 1), back(agent(101)));
    let unknown = OutputDecision::Drop(OutputDrop::UnknownDelivery);
    assert_eq!(beside.output(&bounced(3, 999_999), 1), unknown);
    assert_eq!(beside.output(&bounced(3, 0), 1), unknown);
    assert_eq!(beside.waiting(), 0, "what bounced does not wait");
}

#[test]
fn labels_of_forgotten_deliveries_are_not_mixed_up() {
    let mut beside = new_agent();
    let first = deliver(&mut beside, &data(flow(1)), 0);
    for _ in 0..5_000 {
        deliver(&mut beside, &data(flow(2)), 0);
    }
    let flags = Flags { bounced: true, ..Flags::default() };
    let late = PacketHead { echo: first, ..packet(flow(1), flags, 0) };
    assert_eq!(beside.output(&late, 1), OutputDecision::Drop(OutputDrop::UnknownDelivery));
}

#[test]
fn the_answer_to_an_opening_packet_is_told_to_the_balancer() {
    let mut beside = new_agent();
    deliver(&mut beside, &opening(flow(1)), 0);
    let syn_ack = output(flow(1), Flags { syn: true, ack: true, ..Flags::default() }, 0);
    let notice = HoldsNotice { balancer: agent(100), flow: flow(1), confirmed: false };
    assert_eq!(beside.output(&syn_ack, 1), OutputDecision::ToClient { notice: Some(notice) });
    deliver(&mut beside, &data(flow(1)), 2);
    assert_eq!(beside.output(&answer(flow(1)), 3), OutputDecision::ToClient { notice: None });
}

/// What the agent tells a balancer that searches for the packet's flow.
fn search(agent: &mut Agent, head: &PacketHead, now: u64) -> Option<HoldsNotice> {
    match agent.delivery(&Arrival { search: Some(&[]), ..arrival(head) }, now) {
        DeliveryDecision::Deliver { notice, .. } => notice,
        other => panic!("expected a delivery, got {other:?}"),
    }
}

#[test]
fn a_search_for_a_held_flow_is_answered_before_the_target_answers() {
    let mut beside = new_agent();
    deliver(&mut beside, &opening(flow(1)), 0);
    deliver(&mut beside, &request(1, 1), 10);
    let notice = search(&mut beside, &request(1, 2), 20);
    assert_eq!(notice, Some(HoldsNotice { balancer: agent(100), flow: flow(1), confirmed: true }));
    // Known for what the target wrote, too; the flow was not seen to open here.
    let mut started_again = new_agent();
    assert_eq!(search(&mut started_again, &request(1, 2), 0), None);
    started_again.output(&answer(flow(1)), 5);
    assert!(search(&mut started_again, &request(1, 3), 10).is_some());
}

#[test]
fn a_search_for_a_flow_that_may_not_be_held_is_left_to_the_target() {
    let mut beside = new_agent();
    assert_eq!(search(&mut beside, &request(1, 1), 0), None);
    // The first packet's bounce may still be on its way.
    assert_eq!(search(&mut beside, &request(1, 1), 1), None);
    // An opened flow may have been taken by another target.
    deliver(&mut beside, &opening(flow(2)), 2);
    assert_eq!(search(&mut beside, &request(2, 1), 3), None);
    // A bounce shows that the target lost the flow.
    deliver(&mut beside, &opening(flow(3)), 4);
    let echo = deliver(&mut beside, &request(3, 1), 5);
    let bounced = Flags { bounced: true, ..Flags::default() };
    beside.output(&PacketHead { echo, ..packet(flow(3), bounced, 0) }, 6);
    assert_eq!(search(&mut beside, &request(3, 1), 7), None);
}

#[test]
fn a_searching_packet_goes_on_to_the_next_agent_and_back_from_the_last() {
    let mut beside = new_agent();
    let next = [agent(2).to_bits(), agent(3).to_bits()];
    let head = request(1, 1);
    let bounce = |echo| PacketHead {
        echo,
        ..packet(flow(1), Flags { bounced: true, ..Flags::default() }, 0)
    };
    let arriving = Arrival { search: Some(&next), ..arrival(&head) };
    let DeliveryDecision::Deliver { echo, .. } = beside.delivery(&arriving, 0) else {
        panic!("expected a delivery");
    };
    let path = SearchPath { balancer: agent(100).to_bits(), next: vec![agent(3).to_bits()] };
    let passed_on = OutputDecision::PassOn { agent: agent(2), path };
    assert_eq!(beside.output(&bounce(echo), 1), passed_on);
    // A bounce that comes twice goes nowhere the second time.
    let unknown = OutputDecision::Drop(OutputDrop::UnknownDelivery);
    assert_eq!(beside.output(&bounce(echo), 2), unknown);
    let last = Arrival { search: Some(&[]), ..arrival(&head) };
    let DeliveryDecision::Deliver { echo, .. } = beside.delivery(&last, 3) else {
        panic!("expected a delivery");
    };
    let back = OutputDecision::Return { balancer: agent(100) };
    assert_eq!(beside.not_taken(&flow(1), echo), back);
}

#[test]
fn a_searched_flow_is_found_when_the_target_wrote_and_did_not_bounce() {
    let mut beside = new_agent();
    search(&mut beside, &request(1, 1), 100);
    let found = HoldsNotice { balancer: agent(100), flow: flow(1), confirmed: true };
    // The target may not have seen the packet yet.
    beside.output(&answer(flow(9)), 101);
    assert_eq!(beside.next_found(135), None);
    beside.output(&answer(flow(9)), 136);
    assert_eq!(beside.next_found(137), Some(found));
    assert_eq!(beside.next_found(138), None);
}

#[test]
fn a_searched_flow_is_not_found_when_it_bounced_or_the_target_stands_still() {
    let mut beside = new_agent();
    search(&mut beside, &request(1, 1), 100);
    let bounced = Flags { bounced: true, ..Flags::default() };
    beside.output(&PacketHead { echo: 1, ..packet(flow(1), bounced, 0) }, 110);
    assert_eq!(beside.next_found(200), None);
    // Searched for again, its new packet has its own time to bounce.
    search(&mut beside, &request(1, 1), 200);
    beside.output(&answer(flow(9)), 210);
    assert_eq!(beside.next_found(229), None);
    let mut still = new_agent();
    search(&mut still, &request(1, 1), 100);
    assert_eq!(still.next_found(240), None);
    still.output(&answer(flow(9)), 241);
    assert_eq!(still.next_found(300), None);
}

#[test]
fn a_flow_that_was_searched_for_is_confirmed_once() {
    let mut beside = new_agent();
    let head = data(flow(1));
    beside.delivery(&Arrival { search: Some(&[]), ..arrival(&head) }, 0);
    let notice = HoldsNotice { balancer: agent(100), flow: flow(1), confirmed: true };
    let told = OutputDecision::ToClient { notice: Some(notice) };
    assert_eq!(beside.output(&answer(flow(1)), 1), told);
    assert_eq!(beside.output(&answer(flow(1)), 2), OutputDecision::ToClient { notice: None });
}

#[test]
fn requests_wait_until_their_first_answer() {
    let mut beside = new_agent();
    deliver(&mut beside, &request(1, 0), 0);
    deliver(&mut beside, &request(1, 100), 0);
    deliver(&mut beside, &request(2, 0), 0);
    assert_eq!(beside.waiting(), 2);
    beside.output(&answer(flow(1)), 10);
    assert_eq!(beside.waiting(), 1);
    beside.output(&output(flow(2), Flags { rst: true, ..Flags::default() }, 0), 10);
    assert_eq!(beside.waiting(), 0);
}

/// A client that did not hear of an acknowledgment sends data again; counting it
/// as a request made targets look busy for good.
#[test]
fn data_sent_again_after_its_answer_is_no_new_request() {
    let mut beside = new_agent();
    deliver(&mut beside, &request(1, 0), 0);
    beside.output(&answer(flow(1)), 10);
    deliver(&mut beside, &request(1, 0), 20);
    assert_eq!(beside.waiting(), 0);
    deliver(&mut beside, &request(1, 100), 30);
    assert_eq!(beside.waiting(), 1);
}

#[test]
fn sequence_numbers_wrap() {
    let mut beside = new_agent();
    deliver(&mut beside, &request(1, u32::MAX - 50), 0);
    beside.output(&answer(flow(1)), 10);
    deliver(&mut beside, &request(1, 49), 20);
    assert_eq!(beside.waiting(), 1);
}

#[test]
fn a_request_whose_answer_was_not_seen_stops_counting() {
    let mut beside = new_agent();
    deliver(&mut beside, &request(1, 0), 0);
    beside.expire(2_000);
    assert_eq!(beside.waiting(), 1);
    beside.expire(3_000);
    assert_eq!(beside.waiting(), 0);
    beside.expire(70_000);
    assert_eq!((beside.waiting(), beside.flow_count()), (0, 0));
}

#[test]
fn a_busy_target_sends_openings_back_unless_they_may_wait() {
    let mut beside = new_agent();
    fill(&mut beside);
    let head = opening(flow(50));
    let busy = DeliveryDecision::Return(ReturnReason::Busy);
    assert_eq!(beside.delivery(&arrival(&head), 1), busy);
    let may_wait = Arrival { may_wait: true, ..arrival(&head) };
    assert_eq!(beside.delivery(&may_wait, 1), DeliveryDecision::Wait);
    assert_eq!(beside.delivery(&arrival(&head), 2), DeliveryDecision::WaitsAlready);
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
    let head = opening(flow(300));
    let busy = DeliveryDecision::Return(ReturnReason::Busy);
    assert_eq!(beside.delivery(&arrival(&head), 0), busy);
    // Urgent flows have more room, and packets of open flows never wait.
    let urgent = Arrival { urgent: true, ..arrival(&head) };
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
        let head = opening(flow(port));
        let decision = beside.delivery(&arrival(&head), now);
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
        let head = opening(flow(port));
        beside.delivery(&Arrival { may_wait: true, ..arrival(&head) }, u64::from(port));
    }
    beside.output(&answer(flow(0)), 60);
    let Some(WaitOutcome::Deliver(first, _)) = beside.next_outcome(60) else {
        panic!("expected a delivery");
    };
    assert_eq!(first.head.client_flow(), flow(51));
    // The admitted flow's request is expected and takes the room.
    assert_eq!(beside.next_outcome(61), None);
    // It never comes: the room is free again.
    let Some(WaitOutcome::Deliver(second, _)) = beside.next_outcome(130) else {
        panic!("expected a delivery");
    };
    assert_eq!(second.head.client_flow(), flow(50));
}

#[test]
fn an_opening_that_waited_too_long_goes_back() {
    let mut beside = new_agent();
    fill(&mut beside);
    let head = opening(flow(50));
    beside.delivery(&Arrival { may_wait: true, ..arrival(&head) }, 0);
    assert_eq!(beside.next_outcome(1_000), None);
    let Some(WaitOutcome::Return(opening)) = beside.next_outcome(1_100) else {
        panic!("expected a return");
    };
    assert_eq!(opening.balancer, agent(100));
}

#[test]
fn a_stopping_agent_takes_no_new_flow_and_keeps_its_own() {
    let mut beside = new_agent();
    fill(&mut beside);
    let head = opening(flow(50));
    beside.delivery(&Arrival { may_wait: true, ..arrival(&head) }, 0);
    beside.leave();
    let leaving = DeliveryDecision::Return(ReturnReason::Leaving);
    assert_eq!(beside.delivery(&arrival(&opening(flow(9))), 1), leaving);
    assert!(matches!(beside.next_outcome(1), Some(WaitOutcome::Return(_))));
    deliver(&mut beside, &request(3, 100), 2);
}

#[test]
fn memory_for_flows_is_bounded() {
    let mut beside = Agent::new(ServiceId::of(SERVICE));
    beside.set_slots(1_000_000);
    for port in 0..20_000 {
        deliver(&mut beside, &opening(flow(port)), 0);
        deliver(&mut beside, &data(flow(port)), 0);
    }
    assert!(beside.flow_count() <= 8_192);
}

#[test]
fn a_copy_waits_behind_first_packets_and_still_goes_back_in_time() {
    let mut beside = new_agent();
    fill(&mut beside);
    let first = opening(flow(50));
    beside.delivery(&Arrival { may_wait: true, ..arrival(&first) }, 0);
    let copy = PacketHead { acknowledgment: 1, ..opening(flow(51)) };
    beside.delivery(&Arrival { may_wait: true, ..arrival(&copy) }, 500);
    // The first packet is due although the copy stands at the end it leaves from.
    let Some(WaitOutcome::Return(returned)) = beside.next_outcome(1_100) else {
        panic!("expected a return");
    };
    assert_eq!(returned.head.client_flow(), flow(50));
    beside.output(&answer(flow(0)), 1_200);
    let Some(WaitOutcome::Deliver(delivered, _)) = beside.next_outcome(1_200) else {
        panic!("expected a delivery");
    };
    assert_eq!(delivered.head.client_flow(), flow(51));
}

/// Requests on open flows cannot be kept back, so that in a burst approvals, which
/// open a flow each, waited for feeds.
#[test]
fn urgent_openings_find_room_where_others_wait_and_go_first() {
    let mut beside = new_agent();
    fill(&mut beside);
    let urgent = |port| opening(flow(port));
    let head = urgent(60);
    let decision = beside.delivery(&Arrival { urgent: true, ..arrival(&head) }, 0);
    assert!(matches!(decision, DeliveryDecision::Deliver { .. }));
    // Ten in hand are too many for urgent ones too.
    for port in 61..64 {
        deliver(&mut beside, &request(port, 0), 0);
    }
    for (port, urgent) in [(70, true), (71, false)] {
        let head = opening(flow(port));
        beside.delivery(&Arrival { may_wait: true, urgent, ..arrival(&head) }, 1);
    }
    assert_eq!(beside.next_outcome(2), None);
    beside.output(&answer(flow(0)), 3);
    let Some(WaitOutcome::Deliver(first, _)) = beside.next_outcome(3) else {
        panic!("expected a delivery");
    };
    assert_eq!(first.head.client_flow(), flow(70));
    assert_eq!(beside.next_outcome(4), None);
}
