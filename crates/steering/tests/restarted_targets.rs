//! A target that starts again under its identifier is another one, and an entry of another
//! writer at its address is none.

mod support;

use support::beside::{answer, arrival, deliver, fill, new_agent, request};
use support::{Fixture, LATER, SERVICE, Store, agent, data, flow, forwarded, opening};
use weirhinge_fleet::{ReturnReason, TargetState};
use weirhinge_steering::{AnswerStatus, Arrival, BreakerChange, Decision, DeliveryDecision};

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
    let head = opening(flow(60));
    let waits = Arrival { may_wait: true, ..arrival(&head) };
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
    let (visited, end) = fixture.bounce_to_the_end(&data(flow(5)), LATER + 20);
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
