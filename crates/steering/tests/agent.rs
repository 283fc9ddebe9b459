//! The agent's decisions: the check of the service, bounces, requests, notices.

mod support;

use support::beside::{answer, arrival, deliver, fill, new_agent, output, request};
use support::{OTHER, SERVICE, agent, data, flow, opening, packet};
use weirhinge_fleet::{ReturnReason, SearchPath, ServiceId};
use weirhinge_steering::{
    Agent, Arrival, DeliveryDecision, Flags, HoldsNotice, OutputDecision, OutputDrop, PacketHeader,
    WaitOutcome,
};

#[test]
fn an_opening_packet_for_another_service_goes_back() {
    let mut beside = new_agent();
    let header = opening(flow(1));
    let wrong = Arrival { service: ServiceId::of(OTHER), ..arrival(&header) };
    let returned = DeliveryDecision::Return(ReturnReason::OtherService);
    assert_eq!(beside.delivery(&wrong, 0), returned);
    // A later packet is the target's to judge.
    let header = data(flow(1));
    let later = Arrival { service: ServiceId::of(OTHER), ..arrival(&header) };
    assert!(matches!(beside.delivery(&later, 0), DeliveryDecision::Deliver { .. }));
}

#[test]
fn a_bounced_packet_finds_the_balancer_that_sent_it() {
    let mut beside = new_agent();
    let first = deliver(&mut beside, &data(flow(1)), 0);
    let header = data(flow(2));
    let second = Arrival { balancer: agent(101), ..arrival(&header) };
    let DeliveryDecision::Deliver { echo: second, .. } = beside.delivery(&second, 0) else {
        panic!("expected a delivery");
    };
    let bounced = |port, echo| {
        let flags = Flags { ack: true, bounced: true, ..Flags::default() };
        PacketHeader { echo, ..packet(flow(port), flags, 100) }
    };
    let back = |balancer| OutputDecision::Return { balancer, granted: false };
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
    let late = PacketHeader { echo: first, ..packet(flow(1), flags, 0) };
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
fn search(agent: &mut Agent, header: &PacketHeader, now: u64) -> Option<HoldsNotice> {
    match agent.delivery(&Arrival { search: Some(&[]), ..arrival(header) }, now) {
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
    beside.output(&PacketHeader { echo, ..packet(flow(3), bounced, 0) }, 6);
    assert_eq!(search(&mut beside, &request(3, 1), 7), None);
}

#[test]
fn a_searching_packet_goes_on_to_the_next_agent_and_back_from_the_last() {
    let mut beside = new_agent();
    let next = [agent(2).to_bits(), agent(3).to_bits()];
    let header = request(1, 1);
    let bounce = |echo| PacketHeader {
        echo,
        ..packet(flow(1), Flags { bounced: true, ..Flags::default() }, 0)
    };
    let arriving = Arrival { search: Some(&next), ..arrival(&header) };
    let DeliveryDecision::Deliver { echo, .. } = beside.delivery(&arriving, 0) else {
        panic!("expected a delivery");
    };
    let path = SearchPath { balancer: agent(100).to_bits(), next: vec![agent(3).to_bits()] };
    let passed_on = OutputDecision::PassOn { agent: agent(2), path };
    assert_eq!(beside.output(&bounce(echo), 1), passed_on);
    // A bounce that comes twice goes nowhere the second time.
    let unknown = OutputDecision::Drop(OutputDrop::UnknownDelivery);
    assert_eq!(beside.output(&bounce(echo), 2), unknown);
    let last = Arrival { search: Some(&[]), ..arrival(&header) };
    let DeliveryDecision::Deliver { echo, .. } = beside.delivery(&last, 3) else {
        panic!("expected a delivery");
    };
    let back = OutputDecision::Return { balancer: agent(100), granted: false };
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
    beside.output(&PacketHeader { echo: 1, ..packet(flow(1), bounced, 0) }, 110);
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
    let header = data(flow(1));
    beside.delivery(&Arrival { search: Some(&[]), ..arrival(&header) }, 0);
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
fn a_stopping_agent_takes_no_new_flow_and_keeps_its_own() {
    let mut beside = new_agent();
    fill(&mut beside);
    let header = opening(flow(50));
    beside.delivery(&Arrival { may_wait: true, ..arrival(&header) }, 0);
    beside.leave();
    let leaving = DeliveryDecision::Return(ReturnReason::Leaving);
    assert_eq!(beside.delivery(&arrival(&opening(flow(9))), 1), leaving);
    assert!(matches!(beside.next_outcome(1), Some(WaitOutcome::Return(_, ReturnReason::Leaving))));
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
