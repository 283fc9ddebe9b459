//! Openings that wait at a balancer when packets are late, copied or forgotten.

mod support;

use std::collections::BTreeSet;
use std::net::Ipv4Addr;

use support::queue::{
    BUDGET, copy, first_ranked, is_queued, route, store, urgent, urgent_endpoint,
};
use support::{Fixture, LATER, SERVICE, Store, agent, data, endpoint, flow, forwarded, opening};
use weirhinge_fleet::{ReturnReason, Route, TargetState};
use weirhinge_steering::{Balancer, Decision, DropReason, FlowKey, ForwardReason, ResetReason};

/// For how long agents know what a balancer told, in milliseconds.
const DEMAND_LIFETIME: u64 = 300;
const NOT_TOLD: Decision = Decision::Drop(DropReason::OpeningRefused);

/// The agent may take the copy after it sent the opening back.
#[test]
fn an_opening_whose_copy_followed_it_to_a_granting_target_is_not_reset() {
    let mut fixture = Fixture::new(&store(2));
    let flow = first_ranked(1)[0];
    fixture.queue(flow, LATER);
    assert_eq!(fixture.serve(1, LATER + 150), Some((flow, 0)));
    let repeated = fixture.client(&copy(flow, 1), LATER + 200);
    assert_eq!(forwarded(&repeated).reason, ForwardReason::OpeningRepeated);
    let header = opening(flow);
    let decision = fixture.returned_granted(&header, agent(1), ReturnReason::Busy, LATER + 201);
    assert!(is_queued(&decision), "{decision:?}");
    let refused = fixture.due_refusals(LATER + BUDGET);
    assert_eq!(refused.len(), 1);
    assert_eq!(refused[0].decision, NOT_TOLD);
}

/// A client that sends data has an open flow.
#[test]
fn a_flow_that_is_searched_for_is_not_reset_when_its_opening_comes_back() {
    let mut fixture = Fixture::new(&store(1));
    let flow = first_ranked(1)[0];
    fixture.queue(flow, LATER);
    let search = fixture.client(&data(flow), LATER + 10);
    assert_eq!(forwarded(&search).reason, ForwardReason::Search);
    let late = fixture.returned(&opening(flow), agent(1), ReturnReason::Busy, LATER + 11);
    assert!(!matches!(late, Decision::Reset { .. }), "{late:?}");
    for refused in fixture.due_refusals(LATER + 2 * BUDGET) {
        assert_eq!(refused.decision, NOT_TOLD);
    }
}

/// What is not known any more must not be taken for the best case.
#[test]
fn a_flow_that_a_full_table_forgot_while_it_waited_is_not_reset() {
    let mut fixture = Fixture::new(&store(4));
    fixture.balancer = Balancer::with_capacity(1);
    let flows = first_ranked(2);
    let silent = forwarded(&fixture.client(&opening(flows[0]), LATER)).agent;
    let header = copy(flows[0], 1);
    let moved = forwarded(&fixture.client(&header, LATER + 200)).agent;
    assert!(is_queued(&fixture.returned(&header, moved, ReturnReason::Busy, LATER + 201)));
    fixture.client(&data(flows[1]), LATER + 202);
    let other = (1..=4).map(agent).find(|agent| ![silent, moved].contains(agent));
    let number = other.expect("two others").octets()[3];
    assert_eq!(fixture.serve(number, LATER + 203), Some((flows[0], 0)));
    let from = agent(number);
    let decision = fixture.returned_granted(&header, from, ReturnReason::Busy, LATER + 204);
    assert!(is_queued(&decision), "{decision:?}");
    let refused = fixture.due_refusals(LATER + 201 + BUDGET);
    assert_eq!(refused.len(), 1, "its budget did not begin again");
    assert_eq!(refused[0].decision, NOT_TOLD);
}

/// An agent forgets a balancer at which nothing waits.
#[test]
fn agents_that_were_told_that_nothing_waits_are_asked_again_at_once() {
    let mut fixture = Fixture::new(&store(2));
    let flows = first_ranked(2);
    fixture.queue(flows[0], LATER);
    assert_eq!(fixture.serve(1, LATER + 5), Some((flows[0], 0)));
    fixture.balancer.holds(flows[0], agent(1), false, 0, LATER + 6);
    assert_eq!(fixture.serve(2, LATER + 6), None);
    let decision = fixture.open_at_busy(flows[1], LATER + 10);
    let Decision::Queue { ask, .. } = decision else { panic!("{decision:?}") };
    let asked: BTreeSet<Ipv4Addr> = ask.into_iter().collect();
    assert_eq!(asked, BTreeSet::from([agent(1), agent(2)]));
}

/// The agents asked for room after those asked at first have forgotten it.
fn asked_later(fixture: &mut Fixture) -> BTreeSet<Ipv4Addr> {
    let requests = (1..=24).flat_map(|step| {
        let requests = fixture.due_room_requests(LATER + step * 25);
        requests.into_iter().filter(move |_| step * 25 > DEMAND_LIFETIME)
    });
    requests.flat_map(|request| request.agents).collect()
}

#[test]
fn agents_are_asked_also_for_openings_behind_one_that_is_bound_to_a_region() {
    let mut store = store(2);
    store.target(51, SERVICE, Some(TargetState::Ready), 0);
    let permitted_regions = vec!["near".to_owned()];
    let bound = Route { permitted_regions, ..route(urgent_endpoint(), SERVICE, 2) };
    store.configure(vec![bound, route(endpoint(), SERVICE, 2)]);
    let mut fixture = Fixture::new(&store);
    let flows = first_ranked(2);
    fixture.queue(urgent(flows[0]), LATER);
    fixture.queue(flows[1], LATER + 1);
    assert!(asked_later(&mut fixture).contains(&agent(51)));
}

#[test]
fn agents_are_asked_also_for_openings_behind_one_whose_route_is_gone() {
    let mut store = store(2);
    let mut fixture = Fixture::new(&store);
    let flows = first_ranked(2);
    fixture.queue(urgent(flows[0]), LATER);
    fixture.queue(flows[1], LATER + 1);
    store.configure(vec![route(endpoint(), SERVICE, 2)]);
    fixture.view = store.view();
    assert_eq!(asked_later(&mut fixture), BTreeSet::from([agent(1), agent(2)]));
}

/// Where an opening went that came back, waits, and uses a grant of the same agent.
fn sent_back_and_granted(fixture: &mut Fixture, flow: FlowKey) -> u8 {
    let first = forwarded(&fixture.client(&opening(flow), LATER)).agent;
    let decision = fixture.returned(&opening(flow), first, ReturnReason::Busy, LATER + 1);
    assert!(is_queued(&decision), "{decision:?}");
    let number = first.octets()[3];
    assert_eq!(fixture.serve(number, LATER + 10), Some((flow, 0)));
    number
}

/// The other of two agents.
fn other(number: u8) -> u8 {
    3 - number
}

/// The granting target may have opened the flow.
#[test]
fn a_doubled_return_of_an_earlier_delivery_sends_a_granted_opening_nowhere_else() {
    for reason in [ReturnReason::Busy, ReturnReason::Failing, ReturnReason::Bounced] {
        for is_answered in [false, true] {
            let mut fixture = Fixture::new(&store(2));
            let flow = first_ranked(1)[0];
            let number = sent_back_and_granted(&mut fixture, flow);
            if is_answered {
                fixture.balancer.holds(flow, agent(number), false, 0, LATER + 11);
            }
            let doubled = fixture.returned(&opening(flow), agent(number), reason, LATER + 12);
            assert_eq!(doubled, Decision::Drop(DropReason::OpeningElsewhere), "{reason:?}");
            assert_eq!(fixture.serve(other(number), LATER + 13), None, "{reason:?}");
            assert_eq!(fixture.due_refusals(LATER + 2 * BUDGET), []);
            let copied = fixture.client(&copy(flow, 1), LATER + 100);
            assert_eq!(forwarded(&copied).agent, agent(number), "{reason:?}");
        }
    }
}

#[test]
fn a_doubled_return_leaves_the_return_of_the_granted_opening_its_turn() {
    let mut fixture = Fixture::new(&store(2));
    let flows = first_ranked(2);
    let number = sent_back_and_granted(&mut fixture, flows[0]);
    fixture.queue(flows[1], LATER + 11);
    let (header, from) = (opening(flows[0]), agent(number));
    fixture.returned(&header, from, ReturnReason::Busy, LATER + 12);
    let decision = fixture.returned_granted(&header, from, ReturnReason::Busy, LATER + 13);
    assert!(is_queued(&decision), "{decision:?}");
    assert_eq!(fixture.serve(other(number), LATER + 14), Some((flows[0], 1)));
    assert_eq!(fixture.serve(other(number), LATER + 15), Some((flows[1], 0)));
}

/// The doubled word is that of a grant, the opening waits no longer and went without one.
#[test]
fn a_doubled_return_of_a_granted_opening_is_not_that_of_a_later_delivery() {
    let mut fixture = Fixture::new(&store(1));
    let flow = first_ranked(1)[0];
    let number = sent_back_and_granted(&mut fixture, flow);
    let (header, from) = (opening(flow), agent(number));
    let decision = fixture.returned_granted(&header, from, ReturnReason::Leaving, LATER + 12);
    assert!(!matches!(decision, Decision::Forward(_)), "{decision:?}");
    let anew = fixture.client(&copy(flow, 1), LATER + 200);
    assert_eq!(forwarded(&anew).agent, from);
    let doubled = fixture.returned_granted(&header, from, ReturnReason::Busy, LATER + 201);
    assert_eq!(doubled, Decision::Drop(DropReason::OpeningElsewhere));
}

/// A target that lost the flow sends the copy back, and would do so with each further one.
#[test]
fn a_copy_that_an_answered_granted_opening_s_target_sends_back_is_no_earlier_delivery() {
    let mut fixture = Fixture::new(&store(2));
    let flow = first_ranked(1)[0];
    let number = sent_back_and_granted(&mut fixture, flow);
    fixture.balancer.holds(flow, agent(number), false, 0, LATER + 11);
    let header = copy(flow, 1);
    assert_eq!(forwarded(&fixture.client(&header, LATER + 200)).agent, agent(number));
    let onward = fixture.returned(&header, agent(number), ReturnReason::Leaving, LATER + 201);
    assert_eq!(forwarded(&onward).agent, agent(other(number)));
}

const REFUSED: Decision = Decision::Reset { sequence: 0, reason: ResetReason::Refused };

/// Where an opening goes first and, after no answer, its copy; of a route without an objective.
fn moved_on(fixture: &mut Fixture) -> Ipv4Addr {
    let silent = forwarded(&fixture.client(&opening(flow(1)), LATER)).agent;
    let moved = fixture.client(&copy(flow(1), 1), LATER + 200);
    assert_eq!(forwarded(&moved).reason, ForwardReason::OpeningMoved);
    assert_ne!(forwarded(&moved).agent, silent);
    forwarded(&moved).agent
}

#[test]
fn an_opening_that_no_further_target_takes_is_not_reset_if_a_silent_one_may_have_opened_it() {
    let mut fixture = Fixture::new(&Store::with_targets(2));
    let moved = moved_on(&mut fixture);
    assert_eq!(fixture.bounced(&copy(flow(1), 1), moved, LATER + 201), NOT_TOLD);
    let (visited, told) = fixture.bounce_until_search_ends(&opening(flow(2)), LATER + 202);
    assert_eq!((visited.len(), told), (2, REFUSED), "it went nowhere else");
}

#[test]
fn an_opening_that_waited_at_a_target_is_not_reset_if_a_silent_one_may_have_opened_it() {
    let mut fixture = Fixture::new(&Store::with_targets(3));
    let moved = moved_on(&mut fixture);
    let header = copy(flow(1), 1);
    let waits = fixture.returned(&header, moved, ReturnReason::Busy, LATER + 201);
    assert_eq!(forwarded(&waits).reason, ForwardReason::OpeningWaits);
    let waited_at = forwarded(&waits).agent;
    let given_up = fixture.returned(&header, waited_at, ReturnReason::Busy, LATER + 1_300);
    assert_eq!(given_up, NOT_TOLD);
}
