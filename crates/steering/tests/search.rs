//! The search for the target that holds a flow, and who does it.

mod support;

use support::{
    Fixture, LATER, OTHER, SERVICE, Store, agent, data, flow, forwarded, is_far, opening, path,
    rows, two_groups,
};
use weirhinge_fleet::TargetState;
use weirhinge_steering::{Decision, DropReason, ForwardReason, ResetReason};

#[test]
fn an_unknown_flow_is_looked_for_at_every_target_once() {
    let mut store = Store::with_targets(7);
    store.target(3, SERVICE, Some(TargetState::Draining), 0);
    let mut fixture = Fixture::new(&store);
    let (mut visited, end) = fixture.bounce_to_the_end(&data(flow(1)), LATER);
    visited.sort();
    assert_eq!(visited, (1..=7).map(agent).collect::<Vec<_>>());
    assert_eq!(end, Decision::Drop(DropReason::NobodyHoldsYet));
}

#[test]
fn balancers_look_for_a_flow_first_where_another_would_open_it() {
    let store = Store::with_targets(7);
    let mut found_early = 0;
    for port in 0..200 {
        let held = Fixture::new(&store).open(port, LATER);
        let mut other = Fixture::new(&store);
        let first = forwarded(&other.client(&data(flow(port)), LATER)).agent;
        let second = forwarded(&other.bounced(&data(flow(port)), first, LATER)).agent;
        found_early += usize::from(held == first || held == second);
    }
    assert_eq!(found_early, 200);
}

#[test]
fn a_found_flow_is_remembered() {
    let mut fixture = Fixture::new(&Store::with_targets(5));
    let first = forwarded(&fixture.client(&data(flow(1)), LATER)).agent;
    let second = forwarded(&fixture.bounced(&data(flow(1)), first, LATER)).agent;
    fixture.balancer.note_holder(flow(1), second, true, 0, LATER + 1);
    let decision = fixture.client(&data(flow(1)), LATER + 2);
    assert_eq!(forwarded(&decision).agent, second);
    assert_eq!(forwarded(&decision).reason, ForwardReason::Held);
}

#[test]
fn a_flow_is_given_up_a_while_after_all_targets_sent_it_back() {
    let mut fixture = Fixture::new(&Store::with_targets(3));
    let head = data(flow(1));
    let (_, end) = fixture.bounce_to_the_end(&head, LATER);
    assert_eq!(end, Decision::Drop(DropReason::NobodyHoldsYet));
    let early = fixture.continue_search(&head, LATER + 20);
    assert_eq!(early, Decision::Drop(DropReason::NobodyHoldsYet));
    let decision = fixture.continue_search(&head, LATER + 130);
    let reason = ResetReason::NobodyHolds;
    assert_eq!(decision, Decision::Reset { sequence: head.acknowledgment, reason });
}

/// Those asked before are not asked again: a target that sent a packet back does not
/// hold its flow, and never will.
#[test]
fn a_target_that_becomes_known_meanwhile_is_asked_before_a_flow_is_given_up() {
    let mut store = Store::with_targets(3);
    let mut fixture = Fixture::new(&store);
    let head = data(flow(1));
    fixture.bounce_to_the_end(&head, LATER);
    store.target(4, SERVICE, Some(TargetState::Ready), LATER + 10);
    fixture.view = store.view();
    let decision = fixture.continue_search(&head, LATER + 30);
    assert_eq!(path(&decision), vec![agent(4)]);
    assert!(matches!(fixture.bounced(&head, agent(4), LATER + 32), Decision::Reset { .. }));
}

#[test]
fn nothing_is_given_up_on_old_knowledge() {
    let mut fixture = Fixture::new(&Store::with_targets(2));
    fixture.fresh = false;
    let head = data(flow(1));
    for round in 0..10 {
        let (_, end) = fixture.bounce_to_the_end(&head, LATER + round * 500);
        assert_eq!(end, Decision::Drop(DropReason::NobodyHoldsYet));
    }
}

#[test]
fn a_flow_is_found_in_the_other_part_after_weights_changed() {
    let mut store = Store::with_targets(2);
    store.target(11, OTHER, Some(TargetState::Ready), 0);
    store.route(&[(SERVICE, 0), (OTHER, 1)]);
    let mut fixture = Fixture::new(&store);
    let (mut visited, _) = fixture.bounce_to_the_end(&data(flow(1)), LATER);
    visited.sort();
    assert_eq!(visited, vec![agent(1), agent(2), agent(11)]);
}

#[test]
fn searches_go_on_without_the_client() {
    let mut fixture = Fixture::new(&Store::with_targets(2));
    let head = data(flow(1));
    let first = forwarded(&fixture.client(&head, LATER)).agent;
    assert!(fixture.balancer.due_searches(LATER + 50).is_empty());
    let due = fixture.balancer.due_searches(LATER + 130);
    assert_eq!(due, vec![(head, b"packet".to_vec())]);
    let next = fixture.continue_search(&head, LATER + 130);
    let others = rows(&next).concat().into_iter().find(|agent| *agent != first);
    let found = others.expect("the search goes on past the first");
    fixture.balancer.note_holder(flow(1), found, true, 0, LATER + 131);
    assert!(fixture.balancer.due_searches(LATER + 400).is_empty());
}

#[test]
fn a_searching_packet_visits_eight_targets_before_it_comes_back() {
    let mut fixture = Fixture::new(&Store::with_targets(20));
    let head = data(flow(1));
    let first = path(&fixture.client(&head, LATER));
    assert_eq!(first.len(), 8);
    // A further packet goes the same way.
    assert_eq!(path(&fixture.client(&head, LATER + 1)), first);
    // The others are asked at the same time, eight in turn.
    let second = rows(&fixture.bounced(&head, first[7], LATER + 10));
    assert_eq!(second.iter().map(Vec::len).collect::<Vec<_>>(), [8, 4]);
    let mut asked = [first, second.concat()].concat();
    assert_eq!(asked.len(), 20);
    asked.sort();
    asked.dedup();
    assert_eq!(asked.len(), 20, "nobody is asked twice");
}

#[test]
fn a_search_of_several_rows_goes_on_when_all_came_back() {
    let mut fixture = Fixture::new(&Store::with_targets(20));
    let head = data(flow(1));
    let first = path(&fixture.client(&head, LATER));
    let second = rows(&fixture.bounced(&head, first[7], LATER + 10));
    let waits = Decision::Drop(DropReason::SearchGoesOn);
    assert_eq!(fixture.client(&head, LATER + 11), waits, "further packets wait");
    assert_eq!(fixture.bounced(&head, second[1][3], LATER + 12), waits);
    let end = fixture.bounced(&head, second[0][7], LATER + 13);
    assert_eq!(end, Decision::Drop(DropReason::NobodyHoldsYet));
}

#[test]
fn a_pressed_balancer_hands_unknown_flows_to_one_helper_each() {
    let mut fixture = Fixture::new(&Store::with_targets(4));
    let known = fixture.open(1, LATER);
    let helpers = [agent(101), agent(102)];
    let decision = fixture.pressed(&data(flow(1)), &helpers, LATER + 1);
    assert_eq!(forwarded(&decision).agent, known);
    let mut chosen = Vec::new();
    for port in 2..40 {
        let opened = fixture.pressed(&opening(flow(port)), &helpers, LATER + 1);
        assert_eq!(fixture.pressed(&data(flow(port)), &helpers, LATER + 2), opened);
        let Decision::HandOff { helper } = opened else { panic!("kept {opened:?}") };
        chosen.push(helper);
    }
    chosen.sort();
    chosen.dedup();
    assert_eq!(chosen, helpers);
    // With the time for it again, the flow is searched for here.
    assert!(matches!(fixture.client(&data(flow(2)), LATER + 3), Decision::Forward(_)));
}

#[test]
fn a_search_asks_the_own_region_first_and_then_all_others() {
    let mut fixture = Fixture::new(&two_groups());
    let (visited, _) = fixture.bounce_to_the_end(&data(flow(1)), LATER);
    let far: Vec<bool> = visited.into_iter().map(is_far).collect();
    assert_eq!(far, [false, false, false, true, true, true]);
}

/// After a total loss each flow meets this wait: it has to leave room for the request
/// within a client's objective.
#[test]
fn a_flow_that_nobody_holds_is_given_up_soon() {
    let mut fixture = Fixture::new(&Store::with_targets(3));
    let head = data(flow(1));
    fixture.bounce_to_the_end(&head, LATER);
    let due_at = fixture.balancer.next_due().expect("the packet is kept");
    assert!(due_at <= LATER + 40, "{} ms", due_at - LATER);
    assert_eq!(fixture.balancer.due_searches(due_at), vec![(head, b"packet".to_vec())]);
    let decision = fixture.continue_search(&head, due_at);
    let reason = ResetReason::NobodyHolds;
    assert_eq!(decision, Decision::Reset { sequence: head.acknowledgment, reason });
}

#[test]
fn a_search_on_old_knowledge_does_not_hurry() {
    let mut fixture = Fixture::new(&Store::with_targets(3));
    fixture.fresh = false;
    fixture.bounce_to_the_end(&data(flow(1)), LATER);
    let due_at = fixture.balancer.next_due().expect("the packet is kept");
    assert!(due_at >= LATER + 100, "{} ms", due_at - LATER);
}
