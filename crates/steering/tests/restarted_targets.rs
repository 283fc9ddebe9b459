//! A target that restarts under its identifier is a new incarnation, and an entry of another writer
//! at its address does not replace it.

mod support;

use support::agent_fixture::{answer, arrival, deliver, fill, new_agent, output, request};
use support::{Fixture, LATER, SERVICE, Store, agent, data, flow, forwarded, opening, packet};
use weirhinge_fleet::{ReturnReason, TargetState};
use weirhinge_steering::{
    Agent, AnswerStatus, Arrival, BreakerChange, Decision, DeliveryDecision, Flags, OutputDecision,
};

#[test]
fn requests_before_restart_take_no_capacity() {
    let mut agent = new_agent();
    fill(&mut agent);
    agent.target_restarted();
    agent.set_slots(4);
    assert_eq!((agent.waiting(), agent.flow_count()), (0, 0));
    deliver(&mut agent, &opening(flow(90)), 10);
}

#[test]
fn restart_ends_ejection() {
    let mut agent = new_agent();
    for port in 1..4 {
        agent.delivery(&arrival(&request(port, 0)), 100);
        agent.record_answer_status(&flow(port), AnswerStatus::Failed, 100);
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

/// The agent answers searches for flows that its target was seen to hold, because the target may
/// take too long to answer itself. The next incarnation holds none of these flows.
#[test]
fn searches_for_flows_before_restart_are_not_answered() {
    let mut agent = new_agent();
    deliver(&mut agent, &request(7, 0), 0);
    agent.output(&answer(flow(7)), 10);
    let later = request(7, 100);
    let searching = Arrival { search: Some(&[]), ..arrival(&later) };
    let confirms = |decision| matches!(decision, DeliveryDecision::Deliver { notice: Some(_), .. });
    assert!(confirms(agent.clone().delivery(&searching, 20)));
    agent.target_restarted();
    assert!(!confirms(agent.delivery(&searching, 20)));
}

#[test]
fn waiting_openings_stay_queued_across_restart() {
    let mut agent = new_agent();
    fill(&mut agent);
    let header = opening(flow(60));
    let waiting = Arrival { may_wait: true, ..arrival(&header) };
    assert!(matches!(agent.delivery(&waiting, 5), DeliveryDecision::Wait { .. }));
    agent.target_restarted();
    agent.set_slots(4);
    assert!(agent.next_outcome(6).is_some());
}

#[test]
fn balancer_forgets_failures_before_restart() {
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

/// Flows of the previous incarnation end when the targets bounce their packets.
#[test]
fn search_for_lost_flow_ends_after_all_targets_bounced() {
    let mut store = Store::with_targets(2);
    let mut fixture = Fixture::new(&store);
    let holder = fixture.open(5, LATER);
    assert!(matches!(fixture.client(&data(flow(5)), LATER + 5), Decision::Forward(_)));
    store.restart_target(1, SERVICE, LATER + 10);
    store.restart_target(2, SERVICE, LATER + 10);
    fixture.view = store.view();
    let (visited, end) = fixture.bounce_until_search_ends(&data(flow(5)), LATER + 20);
    assert_eq!(visited[0], holder);
    assert_eq!(visited.len(), 2, "each target was searched once");
    assert!(!matches!(end, Decision::Forward(_)));
}

#[test]
fn entry_of_unrouted_service_does_not_replace_target() {
    let mut store = Store::with_targets(1);
    store.target_at(1, "nonsense", "foreign", LATER);
    let mut fixture = Fixture::new(&store);
    assert_eq!(forwarded(&fixture.client(&opening(flow(1)), LATER)).agent, agent(1));
    assert_eq!(fixture.view.agents(), [agent(1)]);
    // Once a route names the service, the address belongs to the newest entry.
    store.route(&[(SERVICE, 1), ("nonsense", 1)]);
    fixture.view = store.view();
    assert_eq!(fixture.view.candidates(weirhinge_fleet::ServiceId::of(SERVICE)).len(), 0);
}

/// An agent whose target restarted and held the flows of these ports, each with an unanswered
/// request.
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

/// Guards against clients that learn of a lost flow too late. A client that waits for an answer
/// sends nothing, so without the check it was reset only at its next packet, after it had given up
/// the request.
#[test]
fn flow_bounced_after_restart_is_reset() {
    let mut agent = restarted_with_requests(1..3);
    let mut reset = Vec::new();
    while let Some(check) = agent.next_restart_check() {
        assert_eq!(check.packet, b"packet");
        let bounced = agent.handle_undelivered(&check.flow, check.echo);
        assert_eq!(
            bounced,
            OutputDecision::Reset { sequence: 500 },
            "the client's next expected sequence number"
        );
        reset.push(check.flow);
    }
    reset.sort();
    assert_eq!(reset, [flow(1), flow(2)]);
}

#[test]
fn flow_of_new_incarnation_continues() {
    let mut agent = restarted_with_requests(1..2);
    assert!(agent.next_restart_check().is_some());
    // The target holds the flow and treats the packet as a retransmission.
    assert_eq!(agent.next_restart_check(), None, "each flow is checked once");
    deliver(&mut agent, &request(1, 200), 40);
    assert!(matches!(agent.output(&answer(flow(1)), 50), OutputDecision::ToClient { .. }));
}

/// Another target may hold the flow: this one sent no more than an answer to the opening packet, or
/// nothing at all.
#[test]
fn flow_that_another_target_may_hold_is_not_checked() {
    let mut agent = new_agent();
    deliver(&mut agent, &request(1, 0), 0);
    deliver(&mut agent, &opening(flow(2)), 0);
    let opened = Flags { syn: true, ack: true, ..Flags::default() };
    agent.output(&output(flow(2), opened, 0), 1);
    deliver(&mut agent, &request(2, 0), 2);
    agent.target_restarted();
    assert_eq!(agent.next_restart_check(), None);
}

/// An opening packet would open a flow at the target, and a flow that ends needs no reset.
#[test]
fn packets_that_open_or_end_a_flow_are_not_redelivered() {
    let ending = Flags { ack: true, fin: true, ..Flags::default() };
    for flags in [Flags { syn: true, ..Flags::default() }, ending] {
        let mut agent = new_agent();
        deliver(&mut agent, &request(1, 0), 0);
        agent.output(&answer(flow(1)), 1);
        deliver(&mut agent, &packet(flow(1), flags, 0), 2);
        agent.target_restarted();
        assert_eq!(agent.next_restart_check(), None);
    }
}

/// Flows with unanswered requests are checked first, because their clients cannot notice the loss
/// themselves.
#[test]
fn flows_with_unanswered_requests_are_checked_first() {
    let mut agent = new_agent();
    for port in [1, 2] {
        deliver(&mut agent, &request(port, 0), 0);
        agent.output(&answer(flow(port)), 1);
    }
    deliver(&mut agent, &request(1, 100), 2);
    deliver(&mut agent, &packet(flow(2), Flags { ack: true, ..Flags::default() }, 0), 3);
    agent.target_restarted();
    let order: Vec<_> =
        std::iter::from_fn(|| agent.next_restart_check()).map(|check| check.flow).collect();
    assert_eq!(order, [flow(1), flow(2)]);
}

#[test]
fn second_restart_keeps_pending_checks() {
    let mut agent = restarted_with_requests(1..4);
    assert!(agent.next_restart_check().is_some());
    agent.target_restarted();
    assert_eq!(std::iter::from_fn(|| agent.next_restart_check()).count(), 2);
}
