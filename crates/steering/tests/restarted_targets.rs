//! A target that starts again under its identifier is another one, and an entry of another
//! writer at its address is none.

mod support;

use support::beside::{answer, arrival, deliver, fill, new_agent, output, request};
use support::{Fixture, LATER, SERVICE, Store, agent, data, flow, forwarded, opening, packet};
use weirhinge_fleet::{ReturnReason, TargetState};
use weirhinge_steering::{
    Agent, AnswerStatus, Arrival, BreakerChange, Decision, DeliveryDecision, Flags, OutputDecision,
};

#[test]
fn requests_in_hand_of_the_life_before_take_no_room() {
    let mut agent = new_agent();
    fill(&mut agent);
    agent.target_restarted();
    agent.set_slots(4);
    assert_eq!((agent.waiting(), agent.flow_count()), (0, 0));
    deliver(&mut agent, &opening(flow(90)), 10);
}

#[test]
fn an_ejection_ends_with_the_life_that_earned_it() {
    let mut agent = new_agent();
    for port in 1..4 {
        agent.delivery(&arrival(&request(port, 0)), 100);
        agent.answer_begins(&flow(port), AnswerStatus::Failed, 100);
        agent.output(&answer(flow(port)), 100);
    }
    let refused = agent.delivery(&arrival(&opening(flow(50))), 101);
    assert_eq!(refused, DeliveryDecision::Return(ReturnReason::Failing));
    agent.take_breaker_change();
    agent.target_restarted();
    agent.set_slots(4);
    assert_eq!(agent.take_breaker_change(), Some(BreakerChange::Closed));
    deliver(&mut agent, &opening(flow(51)), 102);
}

/// The agent vouches for flows that its target was seen to hold, as the target itself may
/// take too long to answer. The next life holds none of them.
#[test]
fn nobody_vouches_for_flows_of_the_life_before() {
    let mut agent = new_agent();
    deliver(&mut agent, &request(7, 0), 0);
    agent.output(&answer(flow(7)), 10);
    let later = request(7, 100);
    let searching = Arrival { search: Some(&[]), ..arrival(&later) };
    let vouches = |decision| matches!(decision, DeliveryDecision::Deliver { notice: Some(_), .. });
    assert!(vouches(agent.clone().delivery(&searching, 20)));
    agent.target_restarted();
    assert!(!vouches(agent.delivery(&searching, 20)));
}

#[test]
fn openings_that_wait_keep_their_turn() {
    let mut agent = new_agent();
    fill(&mut agent);
    let header = opening(flow(60));
    let waits = Arrival { may_wait: true, ..arrival(&header) };
    assert!(matches!(agent.delivery(&waits, 5), DeliveryDecision::Wait { .. }));
    agent.target_restarted();
    agent.set_slots(4);
    assert!(agent.next_outcome(6).is_some());
}

#[test]
fn a_balancer_forgets_that_the_life_before_failed() {
    let mut store = Store::with_targets(1);
    let mut fixture = Fixture::new(&store);
    let opened = opening(flow(1));
    fixture.client(&opened, LATER);
    fixture.returned(&opened, agent(1), ReturnReason::Failing, LATER + 5);
    store.target(2, SERVICE, Some(TargetState::Ready), LATER);
    fixture.view = store.view();
    let elsewhere = forwarded(&fixture.client(&opening(flow(2)), LATER + 10)).agent;
    assert_eq!(elsewhere, agent(2));
    store.restart_target(1, SERVICE, LATER + 20);
    store.target(2, SERVICE, None, LATER + 20);
    store.target(3, SERVICE, Some(TargetState::Draining), LATER + 20);
    fixture.view = store.view();
    let chosen = fixture.client(&opening(flow(3)), LATER + 30);
    assert_eq!(forwarded(&chosen).agent, agent(1));
}

/// Flows of the life before end at the target's own word: it sends their packets back.
#[test]
fn a_lost_flow_is_reset_when_all_targets_sent_its_packet_back() {
    let mut store = Store::with_targets(2);
    let mut fixture = Fixture::new(&store);
    let holder = fixture.open(5, LATER);
    assert!(matches!(fixture.client(&data(flow(5)), LATER + 5), Decision::Forward(_)));
    store.restart_target(1, SERVICE, LATER + 10);
    store.restart_target(2, SERVICE, LATER + 10);
    fixture.view = store.view();
    let (visited, end) = fixture.bounce_until_search_ends(&data(flow(5)), LATER + 20);
    assert_eq!(visited[0], holder);
    assert_eq!(visited.len(), 2, "each target was asked once");
    assert!(!matches!(end, Decision::Forward(_)));
}

#[test]
fn an_entry_of_a_service_without_a_route_displaces_no_target() {
    let mut store = Store::with_targets(1);
    store.target_at(1, "nonsense", "foreign", LATER);
    let mut fixture = Fixture::new(&store);
    assert_eq!(forwarded(&fixture.client(&opening(flow(1)), LATER)).agent, agent(1));
    assert_eq!(fixture.view.agents(), [agent(1)]);
    // Once a route names the service, the address belongs to its newest user.
    store.route(&[(SERVICE, 1), ("nonsense", 1)]);
    fixture.view = store.view();
    assert_eq!(fixture.view.candidates(weirhinge_fleet::ServiceId::of(SERVICE)).len(), 0);
}

/// An agent whose target held the flows of these ports, each with a request in hand.
fn restarted_with_requests(ports: std::ops::Range<u16>) -> Agent {
    let mut agent = new_agent();
    for port in ports {
        agent.delivery(&arrival(&request(port, 0)), 0);
        agent.output(&answer(flow(port)), 1);
        agent.delivery(&arrival(&request(port, 100)), 2);
    }
    agent.target_restarted();
    agent
}

/// A client that waits for its answer sends nothing. It was told only at its next packet, which
/// came when it had given the request up.
#[test]
fn a_flow_that_the_target_sends_back_after_its_restart_is_reset() {
    let mut agent = restarted_with_requests(1..3);
    let mut reset = Vec::new();
    while let Some(check) = agent.next_check() {
        assert_eq!(check.packet, b"packet");
        let bounced = agent.not_taken(&check.flow, check.echo);
        assert_eq!(bounced, OutputDecision::Reset { sequence: 500 }, "where the client stands");
        reset.push(check.flow);
    }
    reset.sort();
    assert_eq!(reset, [flow(1), flow(2)]);
}

#[test]
fn a_flow_of_the_new_life_goes_on() {
    let mut agent = restarted_with_requests(1..2);
    assert!(agent.next_check().is_some());
    // The target holds it, and takes the packet for a repetition.
    assert_eq!(agent.next_check(), None, "each flow is asked about once");
    deliver(&mut agent, &request(1, 200), 40);
    assert!(matches!(agent.output(&answer(flow(1)), 50), OutputDecision::ToClient { .. }));
}

/// Another target may hold the flow: this one wrote no more than an answer to the opening
/// packet, or nothing at all.
#[test]
fn a_flow_that_another_target_may_hold_is_left_alone() {
    let mut agent = new_agent();
    deliver(&mut agent, &request(1, 0), 0);
    deliver(&mut agent, &opening(flow(2)), 0);
    let opened = Flags { syn: true, ack: true, ..Flags::default() };
    agent.output(&output(flow(2), opened, 0), 1);
    deliver(&mut agent, &request(2, 0), 2);
    agent.target_restarted();
    assert_eq!(agent.next_check(), None);
}

/// An opening packet would open a flow at the target, and a flow that ends needs no reset.
#[test]
fn packets_that_open_or_end_a_flow_are_not_handed_over_again() {
    let ending = Flags { ack: true, fin: true, ..Flags::default() };
    for flags in [Flags { syn: true, ..Flags::default() }, ending] {
        let mut agent = new_agent();
        deliver(&mut agent, &request(1, 0), 0);
        agent.output(&answer(flow(1)), 1);
        deliver(&mut agent, &packet(flow(1), flags, 0), 2);
        agent.target_restarted();
        assert_eq!(agent.next_check(), None);
    }
}

/// Flows whose clients wait are asked about first, as the others can do without.
#[test]
fn clients_that_wait_are_told_first() {
    let mut agent = new_agent();
    for port in [1, 2] {
        deliver(&mut agent, &request(port, 0), 0);
        agent.output(&answer(flow(port)), 1);
    }
    deliver(&mut agent, &request(1, 100), 2);
    deliver(&mut agent, &packet(flow(2), Flags { ack: true, ..Flags::default() }, 0), 3);
    agent.target_restarted();
    let order: Vec<_> = std::iter::from_fn(|| agent.next_check()).map(|check| check.flow).collect();
    assert_eq!(order, [flow(1), flow(2)]);
}

#[test]
fn a_second_restart_keeps_what_is_still_to_be_asked() {
    let mut agent = restarted_with_requests(1..4);
    assert!(agent.next_check().is_some());
    agent.target_restarted();
    assert_eq!(std::iter::from_fn(|| agent.next_check()).count(), 2);
}
