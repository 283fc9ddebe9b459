//! The agent's decisions about service checks, bounces, requests and notices.

mod support;

use support::agent_fixture::{answer, arrival, deliver, fill, new_agent, output, request};
use support::{OTHER, SERVICE, agent as address, data, flow, opening, packet};
use weirhinge_fleet::{ReturnReason, SearchPath, ServiceId};
use weirhinge_steering::{
    Agent, Arrival, DeliveryDecision, Flags, HoldsNotice, OutputDecision, OutputDrop, PacketHeader,
    WaitOutcome,
};

#[test]
fn opening_for_another_service_is_returned() {
    let mut agent = new_agent();
    let header = opening(flow(1));
    let wrong = Arrival { service: ServiceId::of(OTHER), ..arrival(&header) };
    let returned = DeliveryDecision::Return(ReturnReason::OtherService);
    assert_eq!(agent.delivery(&wrong, 0), returned);
    // Whether to accept a later packet is up to the target.
    let header = data(flow(1));
    let later = Arrival { service: ServiceId::of(OTHER), ..arrival(&header) };
    assert!(matches!(agent.delivery(&later, 0), DeliveryDecision::Deliver { .. }));
}

#[test]
fn bounced_packet_is_returned_to_its_balancer() {
    let mut agent = new_agent();
    let first = deliver(&mut agent, &data(flow(1)), 0);
    let header = data(flow(2));
    let second = Arrival { balancer: address(101), ..arrival(&header) };
    let DeliveryDecision::Deliver { echo: second, .. } = agent.delivery(&second, 0) else {
        panic!("expected a delivery");
    };
    let bounced = |port, echo| {
        let flags = Flags { ack: true, bounced: true, ..Flags::default() };
        PacketHeader { echo, ..packet(flow(port), flags, 100) }
    };
    let back = |balancer| OutputDecision::Return { balancer, granted: false };
    assert_eq!(agent.output(&bounced(1, first), 1), back(address(100)));
    assert_eq!(agent.output(&bounced(2, second), 1), back(address(101)));
    let unknown = OutputDecision::Drop(OutputDrop::UnknownDelivery);
    assert_eq!(agent.output(&bounced(3, 999_999), 1), unknown);
    assert_eq!(agent.output(&bounced(3, 0), 1), unknown);
    assert_eq!(agent.waiting(), 0, "bounced packets are not counted");
}

#[test]
fn echo_label_of_evicted_delivery_is_unknown() {
    let mut agent = new_agent();
    let first = deliver(&mut agent, &data(flow(1)), 0);
    for _ in 0..5_000 {
        deliver(&mut agent, &data(flow(2)), 0);
    }
    let flags = Flags { bounced: true, ..Flags::default() };
    let late = PacketHeader { echo: first, ..packet(flow(1), flags, 0) };
    assert_eq!(agent.output(&late, 1), OutputDecision::Drop(OutputDrop::UnknownDelivery));
}

#[test]
fn balancer_is_notified_of_answer_to_opening() {
    let mut agent = new_agent();
    deliver(&mut agent, &opening(flow(1)), 0);
    let syn_ack = output(flow(1), Flags { syn: true, ack: true, ..Flags::default() }, 0);
    let notice = HoldsNotice { balancer: address(100), flow: flow(1), confirmed: false };
    assert_eq!(agent.output(&syn_ack, 1), OutputDecision::ToClient { notice: Some(notice) });
    deliver(&mut agent, &data(flow(1)), 2);
    assert_eq!(agent.output(&answer(flow(1)), 3), OutputDecision::ToClient { notice: None });
}

/// Returns the agent's immediate answer to a search for the packet's flow.
fn search(agent: &mut Agent, header: &PacketHeader, now: u64) -> Option<HoldsNotice> {
    match agent.delivery(&Arrival { search: Some(&[]), ..arrival(header) }, now) {
        DeliveryDecision::Deliver { notice, .. } => notice,
        other => panic!("expected a delivery, got {other:?}"),
    }
}

#[test]
fn search_for_held_flow_is_answered_immediately() {
    let mut agent = new_agent();
    deliver(&mut agent, &opening(flow(1)), 0);
    deliver(&mut agent, &request(1, 1), 10);
    let notice = search(&mut agent, &request(1, 2), 20);
    assert_eq!(
        notice,
        Some(HoldsNotice { balancer: address(100), flow: flow(1), confirmed: true })
    );
    // Also known from a packet that the target sent, without having seen the flow open.
    let mut restarted = new_agent();
    assert_eq!(search(&mut restarted, &request(1, 2), 0), None);
    restarted.output(&answer(flow(1)), 5);
    assert!(search(&mut restarted, &request(1, 3), 10).is_some());
}

#[test]
fn search_for_uncertain_flow_is_left_to_the_target() {
    let mut agent = new_agent();
    assert_eq!(search(&mut agent, &request(1, 1), 0), None);
    // The first packet's bounce may still be in flight.
    assert_eq!(search(&mut agent, &request(1, 1), 1), None);
    // A flow opened here may be held by another target.
    deliver(&mut agent, &opening(flow(2)), 2);
    assert_eq!(search(&mut agent, &request(2, 1), 3), None);
    // A bounce shows that the target lost the flow.
    deliver(&mut agent, &opening(flow(3)), 4);
    let echo = deliver(&mut agent, &request(3, 1), 5);
    let bounced = Flags { bounced: true, ..Flags::default() };
    agent.output(&PacketHeader { echo, ..packet(flow(3), bounced, 0) }, 6);
    assert_eq!(search(&mut agent, &request(3, 1), 7), None);
}

#[test]
fn bounced_search_visits_next_agents_then_returns() {
    let mut agent = new_agent();
    let next = [address(2).to_bits(), address(3).to_bits()];
    let header = request(1, 1);
    let bounce = |echo| PacketHeader {
        echo,
        ..packet(flow(1), Flags { bounced: true, ..Flags::default() }, 0)
    };
    let arriving = Arrival { search: Some(&next), ..arrival(&header) };
    let DeliveryDecision::Deliver { echo, .. } = agent.delivery(&arriving, 0) else {
        panic!("expected a delivery");
    };
    let path = SearchPath { balancer: address(100).to_bits(), next: vec![address(3).to_bits()] };
    let passed_on = OutputDecision::PassOn { agent: address(2), path };
    assert_eq!(agent.output(&bounce(echo), 1), passed_on);
    // A duplicated bounce is dropped.
    let unknown = OutputDecision::Drop(OutputDrop::UnknownDelivery);
    assert_eq!(agent.output(&bounce(echo), 2), unknown);
    let last = Arrival { search: Some(&[]), ..arrival(&header) };
    let DeliveryDecision::Deliver { echo, .. } = agent.delivery(&last, 3) else {
        panic!("expected a delivery");
    };
    let back = OutputDecision::Return { balancer: address(100), granted: false };
    assert_eq!(agent.handle_undelivered(&flow(1), echo), back);
}

#[test]
fn searched_flow_is_found_if_target_processed_it_without_bounce() {
    let mut agent = new_agent();
    search(&mut agent, &request(1, 1), 100);
    let found = HoldsNotice { balancer: address(100), flow: flow(1), confirmed: true };
    // The target may not have processed the packet yet.
    agent.output(&answer(flow(9)), 101);
    assert_eq!(agent.next_search_notice(135), None);
    agent.output(&answer(flow(9)), 136);
    assert_eq!(agent.next_search_notice(137), Some(found));
    assert_eq!(agent.next_search_notice(138), None);
}

#[test]
fn searched_flow_is_not_found_after_bounce_or_while_target_stalls() {
    let mut agent = new_agent();
    search(&mut agent, &request(1, 1), 100);
    let bounced = Flags { bounced: true, ..Flags::default() };
    agent.output(&PacketHeader { echo: 1, ..packet(flow(1), bounced, 0) }, 110);
    assert_eq!(agent.next_search_notice(200), None);
    // A new search has a bounce timeout of its own.
    search(&mut agent, &request(1, 1), 200);
    agent.output(&answer(flow(9)), 210);
    assert_eq!(agent.next_search_notice(229), None);
    let mut stalled = new_agent();
    search(&mut stalled, &request(1, 1), 100);
    assert_eq!(stalled.next_search_notice(240), None);
    stalled.output(&answer(flow(9)), 241);
    assert_eq!(stalled.next_search_notice(300), None);
}

#[test]
fn searched_flow_is_confirmed_once() {
    let mut agent = new_agent();
    let header = data(flow(1));
    agent.delivery(&Arrival { search: Some(&[]), ..arrival(&header) }, 0);
    let notice = HoldsNotice { balancer: address(100), flow: flow(1), confirmed: true };
    let notified = OutputDecision::ToClient { notice: Some(notice) };
    assert_eq!(agent.output(&answer(flow(1)), 1), notified);
    assert_eq!(agent.output(&answer(flow(1)), 2), OutputDecision::ToClient { notice: None });
}

#[test]
fn requests_count_until_their_first_answer() {
    let mut agent = new_agent();
    deliver(&mut agent, &request(1, 0), 0);
    deliver(&mut agent, &request(1, 100), 0);
    deliver(&mut agent, &request(2, 0), 0);
    assert_eq!(agent.waiting(), 2);
    agent.output(&answer(flow(1)), 10);
    assert_eq!(agent.waiting(), 1);
    agent.output(&output(flow(2), Flags { rst: true, ..Flags::default() }, 0), 10);
    assert_eq!(agent.waiting(), 0);
}

/// Guards against counting retransmitted data as a request, which made targets look busy forever. A
/// client that missed an acknowledgment sends its data again.
#[test]
fn retransmitted_data_is_not_a_new_request() {
    let mut agent = new_agent();
    deliver(&mut agent, &request(1, 0), 0);
    agent.output(&answer(flow(1)), 10);
    deliver(&mut agent, &request(1, 0), 20);
    assert_eq!(agent.waiting(), 0);
    deliver(&mut agent, &request(1, 100), 30);
    assert_eq!(agent.waiting(), 1);
}

#[test]
fn sequence_numbers_wrap() {
    let mut agent = new_agent();
    deliver(&mut agent, &request(1, u32::MAX - 50), 0);
    agent.output(&answer(flow(1)), 10);
    deliver(&mut agent, &request(1, 49), 20);
    assert_eq!(agent.waiting(), 1);
}

#[test]
fn unanswered_request_stops_counting_after_timeout() {
    let mut agent = new_agent();
    deliver(&mut agent, &request(1, 0), 0);
    agent.expire(2_000);
    assert_eq!(agent.waiting(), 1);
    agent.expire(3_000);
    assert_eq!(agent.waiting(), 0);
    agent.expire(70_000);
    assert_eq!((agent.waiting(), agent.flow_count()), (0, 0));
}

#[test]
fn stopping_agent_rejects_new_flows_and_keeps_open_ones() {
    let mut agent = new_agent();
    fill(&mut agent);
    let header = opening(flow(50));
    agent.delivery(&Arrival { may_wait: true, ..arrival(&header) }, 0);
    agent.leave();
    let leaving = DeliveryDecision::Return(ReturnReason::Leaving);
    assert_eq!(agent.delivery(&arrival(&opening(flow(9))), 1), leaving);
    assert!(matches!(agent.next_outcome(1), Some(WaitOutcome::Return(_, ReturnReason::Leaving))));
    deliver(&mut agent, &request(3, 100), 2);
}

#[test]
fn tracked_flows_are_bounded() {
    let mut agent = Agent::new(ServiceId::of(SERVICE));
    agent.set_slots(1_000_000);
    for port in 0..20_000 {
        deliver(&mut agent, &opening(flow(port)), 0);
        deliver(&mut agent, &data(flow(port)), 0);
    }
    assert!(agent.flow_count() <= 8_192);
}
