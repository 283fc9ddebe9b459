//! Openings queued at a balancer when packets are late or duplicated, or when flow entries are
//! evicted.

mod support;

use std::collections::BTreeSet;
use std::net::Ipv4Addr;

use support::queue::{
    BUDGET, is_queued, retransmission, route, store, top_ranked_flows, urgent, urgent_endpoint,
};
use support::{Fixture, LATER, SERVICE, Store, agent, data, endpoint, flow, forwarded, opening};
use weirhinge_fleet::{ReturnReason, Route, TargetState};
use weirhinge_steering::{Balancer, Decision, DropReason, FlowKey, ForwardReason, ResetReason};

/// How long agents keep the demand reported by a balancer, in milliseconds.
const DEMAND_LIFETIME: u64 = 300;
const DROPPED: Decision = Decision::Drop(DropReason::OpeningRefused);

/// The agent may accept the retransmission after it returned the opening.
#[test]
fn opening_retransmitted_to_a_granting_target_is_not_reset() {
    let mut fixture = Fixture::new(&store(2));
    let flow = top_ranked_flows(1)[0];
    fixture.queue(flow, LATER);
    assert_eq!(fixture.serve(1, LATER + 150), Some((flow, 0)));
    let repeated = fixture.client(&retransmission(flow, 1), LATER + 200);
    assert_eq!(forwarded(&repeated).reason, ForwardReason::OpeningRepeated);
    let header = opening(flow);
    let decision = fixture.returned_granted(&header, agent(1), ReturnReason::Busy, LATER + 201);
    assert!(is_queued(&decision), "{decision:?}");
    let refused = fixture.refuse_overdue(LATER + BUDGET);
    assert_eq!(refused.len(), 1);
    assert_eq!(refused[0].decision, DROPPED);
}

/// A client that sends data has an open flow.
#[test]
fn searched_flow_is_not_reset_when_its_opening_is_returned() {
    let mut fixture = Fixture::new(&store(1));
    let flow = top_ranked_flows(1)[0];
    fixture.queue(flow, LATER);
    let search = fixture.client(&data(flow), LATER + 10);
    assert_eq!(forwarded(&search).reason, ForwardReason::Search);
    let late = fixture.returned(&opening(flow), agent(1), ReturnReason::Busy, LATER + 11);
    assert!(!matches!(late, Decision::Reset { .. }), "{late:?}");
    for refused in fixture.refuse_overdue(LATER + 2 * BUDGET) {
        assert_eq!(refused.decision, DROPPED);
    }
}

/// Without the evicted entry it is unknown whether a target opened the flow, so the balancer must
/// assume that one did.
#[test]
fn queued_flow_evicted_from_the_table_is_not_reset() {
    let mut fixture = Fixture::new(&store(4));
    fixture.balancer = Balancer::with_capacity(1);
    let flows = top_ranked_flows(2);
    let unresponsive = forwarded(&fixture.client(&opening(flows[0]), LATER)).agent;
    let header = retransmission(flows[0], 1);
    let moved = forwarded(&fixture.client(&header, LATER + 200)).agent;
    assert!(is_queued(&fixture.returned(&header, moved, ReturnReason::Busy, LATER + 201)));
    fixture.client(&data(flows[1]), LATER + 202);
    let other = (1..=4).map(agent).find(|agent| ![unresponsive, moved].contains(agent));
    let number = other.expect("two other agents exist").octets()[3];
    assert_eq!(fixture.serve(number, LATER + 203), Some((flows[0], 0)));
    let from = agent(number);
    let decision = fixture.returned_granted(&header, from, ReturnReason::Busy, LATER + 204);
    assert!(is_queued(&decision), "{decision:?}");
    let refused = fixture.refuse_overdue(LATER + 201 + BUDGET);
    assert_eq!(refused.len(), 1, "its budget did not restart");
    assert_eq!(refused[0].decision, DROPPED);
}

/// An agent drops the demand of a balancer that reports an empty queue.
#[test]
fn agents_sent_an_empty_demand_are_asked_again_at_once() {
    let mut fixture = Fixture::new(&store(2));
    let flows = top_ranked_flows(2);
    fixture.queue(flows[0], LATER);
    assert_eq!(fixture.serve(1, LATER + 5), Some((flows[0], 0)));
    fixture.balancer.note_holder(flows[0], agent(1), false, 0, LATER + 6);
    assert_eq!(fixture.serve(2, LATER + 6), None);
    let decision = fixture.open_without_capacity(flows[1], LATER + 10);
    let Decision::Queue { ask, .. } = decision else { panic!("{decision:?}") };
    let asked: BTreeSet<Ipv4Addr> = ask.into_iter().collect();
    assert_eq!(asked, BTreeSet::from([agent(1), agent(2)]));
}

/// Returns the agents asked for capacity after the agents asked first have dropped the demand.
fn agents_asked_later(fixture: &mut Fixture) -> BTreeSet<Ipv4Addr> {
    let requests = (1..=24).flat_map(|step| {
        let requests = fixture.due_capacity_requests(LATER + step * 25);
        requests.into_iter().filter(move |_| step * 25 > DEMAND_LIFETIME)
    });
    requests.flat_map(|request| request.agents).collect()
}

#[test]
fn agents_are_asked_for_openings_behind_a_region_bound_one() {
    let mut store = store(2);
    store.target(51, SERVICE, Some(TargetState::Ready), 0);
    let permitted_regions = vec!["near".to_owned()];
    let region_bound = Route { permitted_regions, ..route(urgent_endpoint(), SERVICE, 2) };
    store.configure(vec![region_bound, route(endpoint(), SERVICE, 2)]);
    let mut fixture = Fixture::new(&store);
    let flows = top_ranked_flows(2);
    fixture.queue(urgent(flows[0]), LATER);
    fixture.queue(flows[1], LATER + 1);
    assert!(agents_asked_later(&mut fixture).contains(&agent(51)));
}

#[test]
fn agents_are_asked_for_openings_behind_one_without_a_route() {
    let mut store = store(2);
    let mut fixture = Fixture::new(&store);
    let flows = top_ranked_flows(2);
    fixture.queue(urgent(flows[0]), LATER);
    fixture.queue(flows[1], LATER + 1);
    store.configure(vec![route(endpoint(), SERVICE, 2)]);
    fixture.view = store.view();
    assert_eq!(agents_asked_later(&mut fixture), BTreeSet::from([agent(1), agent(2)]));
}

/// Opens a flow whose opening is returned, queued, and sent with a grant to the same agent. Returns
/// the number of that agent.
fn returned_then_granted(fixture: &mut Fixture, flow: FlowKey) -> u8 {
    let first = forwarded(&fixture.client(&opening(flow), LATER)).agent;
    let decision = fixture.returned(&opening(flow), first, ReturnReason::Busy, LATER + 1);
    assert!(is_queued(&decision), "{decision:?}");
    let number = first.octets()[3];
    assert_eq!(fixture.serve(number, LATER + 10), Some((flow, 0)));
    number
}

/// Returns the other of two agents.
fn other_agent(number: u8) -> u8 {
    3 - number
}

/// The granting target may have opened the flow.
#[test]
fn duplicate_return_does_not_move_a_granted_opening() {
    for reason in [ReturnReason::Busy, ReturnReason::Failing, ReturnReason::Bounced] {
        for is_answered in [false, true] {
            let mut fixture = Fixture::new(&store(2));
            let flow = top_ranked_flows(1)[0];
            let number = returned_then_granted(&mut fixture, flow);
            if is_answered {
                fixture.balancer.note_holder(flow, agent(number), false, 0, LATER + 11);
            }
            let duplicate = fixture.returned(&opening(flow), agent(number), reason, LATER + 12);
            assert_eq!(duplicate, Decision::Drop(DropReason::OpeningElsewhere), "{reason:?}");
            assert_eq!(fixture.serve(other_agent(number), LATER + 13), None, "{reason:?}");
            assert_eq!(fixture.refuse_overdue(LATER + 2 * BUDGET), []);
            let retransmitted = fixture.client(&retransmission(flow, 1), LATER + 100);
            assert_eq!(forwarded(&retransmitted).agent, agent(number), "{reason:?}");
        }
    }
}

#[test]
fn duplicate_return_keeps_the_turn_of_a_granted_opening() {
    let mut fixture = Fixture::new(&store(2));
    let flows = top_ranked_flows(2);
    let number = returned_then_granted(&mut fixture, flows[0]);
    fixture.queue(flows[1], LATER + 11);
    let (header, from) = (opening(flows[0]), agent(number));
    fixture.returned(&header, from, ReturnReason::Busy, LATER + 12);
    let decision = fixture.returned_granted(&header, from, ReturnReason::Busy, LATER + 13);
    assert!(is_queued(&decision), "{decision:?}");
    assert_eq!(fixture.serve(other_agent(number), LATER + 14), Some((flows[0], 1)));
    assert_eq!(fixture.serve(other_agent(number), LATER + 15), Some((flows[1], 0)));
}

/// The duplicate belongs to the delivery with a grant, but the opening has since been sent again
/// without one.
#[test]
fn duplicate_granted_return_is_not_taken_for_a_later_delivery() {
    let mut fixture = Fixture::new(&store(1));
    let flow = top_ranked_flows(1)[0];
    let number = returned_then_granted(&mut fixture, flow);
    let (header, from) = (opening(flow), agent(number));
    let decision = fixture.returned_granted(&header, from, ReturnReason::Leaving, LATER + 12);
    assert!(!matches!(decision, Decision::Forward(_)), "{decision:?}");
    let resent = fixture.client(&retransmission(flow, 1), LATER + 200);
    assert_eq!(forwarded(&resent).agent, from);
    let duplicate = fixture.returned_granted(&header, from, ReturnReason::Busy, LATER + 201);
    assert_eq!(duplicate, Decision::Drop(DropReason::OpeningElsewhere));
}

/// A target that lost the flow returns the retransmission, and would return every further one.
#[test]
fn returned_retransmission_after_an_answered_grant_moves_on() {
    let mut fixture = Fixture::new(&store(2));
    let flow = top_ranked_flows(1)[0];
    let number = returned_then_granted(&mut fixture, flow);
    fixture.balancer.note_holder(flow, agent(number), false, 0, LATER + 11);
    let header = retransmission(flow, 1);
    assert_eq!(forwarded(&fixture.client(&header, LATER + 200)).agent, agent(number));
    let moved = fixture.returned(&header, agent(number), ReturnReason::Leaving, LATER + 201);
    assert_eq!(forwarded(&moved).agent, agent(other_agent(number)));
}

const REFUSED: Decision = Decision::Reset { sequence: 0, reason: ResetReason::Refused };

/// Opens a flow whose first target does not answer, on a route without an objective. Returns the
/// agent that the retransmission goes to.
fn retransmitted_elsewhere(fixture: &mut Fixture) -> Ipv4Addr {
    let unresponsive = forwarded(&fixture.client(&opening(flow(1)), LATER)).agent;
    let moved = fixture.client(&retransmission(flow(1), 1), LATER + 200);
    assert_eq!(forwarded(&moved).reason, ForwardReason::OpeningMoved);
    assert_ne!(forwarded(&moved).agent, unresponsive);
    forwarded(&moved).agent
}

#[test]
fn refused_opening_is_not_reset_if_an_unresponsive_target_may_hold_it() {
    let mut fixture = Fixture::new(&Store::with_targets(2));
    let moved = retransmitted_elsewhere(&mut fixture);
    assert_eq!(fixture.bounced(&retransmission(flow(1), 1), moved, LATER + 201), DROPPED);
    let (visited, refusal) = fixture.bounce_until_search_ends(&opening(flow(2)), LATER + 202);
    assert_eq!((visited.len(), refusal), (2, REFUSED), "every target refused it");
}

#[test]
fn waited_opening_is_not_reset_if_an_unresponsive_target_may_hold_it() {
    let mut fixture = Fixture::new(&Store::with_targets(3));
    let moved = retransmitted_elsewhere(&mut fixture);
    let header = retransmission(flow(1), 1);
    let waiting = fixture.returned(&header, moved, ReturnReason::Busy, LATER + 201);
    assert_eq!(forwarded(&waiting).reason, ForwardReason::OpeningWaits);
    let waited_at = forwarded(&waiting).agent;
    let refused = fixture.returned(&header, waited_at, ReturnReason::Busy, LATER + 1_300);
    assert_eq!(refused, DROPPED);
}
