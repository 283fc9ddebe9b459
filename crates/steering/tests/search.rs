//! Searches for the target that holds a flow, and their handoff to other balancers.

mod support;

use support::{
    Fixture, LATER, OTHER, SERVICE, Store, agent, data, flow, forwarded, is_far, opening, path,
    paths, targets_in_two_zones,
};
use weirhinge_fleet::TargetState;
use weirhinge_steering::{Decision, DropReason, ForwardReason, ResetReason};

#[test]
fn search_asks_every_target_once() {
    let mut store = Store::with_targets(7);
    store.target(3, SERVICE, Some(TargetState::Draining), 0);
    let mut fixture = Fixture::new(&store);
    let (mut visited, end) = fixture.bounce_until_search_ends(&data(flow(1)), LATER);
    visited.sort();
    assert_eq!(visited, (1..=7).map(agent).collect::<Vec<_>>());
    assert_eq!(end, Decision::Drop(DropReason::NobodyHoldsYet));
}

#[test]
fn search_begins_where_other_balancers_open_flows() {
    let store = Store::with_targets(7);
    let mut found_within_two = 0;
    for port in 0..200 {
        let holder = Fixture::new(&store).open(port, LATER);
        let mut other = Fixture::new(&store);
        let first = forwarded(&other.client(&data(flow(port)), LATER)).agent;
        let second = forwarded(&other.bounced(&data(flow(port)), first, LATER)).agent;
        found_within_two += usize::from(holder == first || holder == second);
    }
    assert_eq!(found_within_two, 200);
}

#[test]
fn found_flow_is_remembered() {
    let mut fixture = Fixture::new(&Store::with_targets(5));
    let first = forwarded(&fixture.client(&data(flow(1)), LATER)).agent;
    let second = forwarded(&fixture.bounced(&data(flow(1)), first, LATER)).agent;
    fixture.balancer.note_holder(flow(1), second, true, 0, LATER + 1);
    let decision = fixture.client(&data(flow(1)), LATER + 2);
    assert_eq!(forwarded(&decision).agent, second);
    assert_eq!(forwarded(&decision).reason, ForwardReason::Held);
}

#[test]
fn flow_is_reset_after_delay_when_all_targets_bounce_it() {
    let mut fixture = Fixture::new(&Store::with_targets(3));
    let header = data(flow(1));
    let (_, end) = fixture.bounce_until_search_ends(&header, LATER);
    assert_eq!(end, Decision::Drop(DropReason::NobodyHoldsYet));
    let early = fixture.continue_search(&header, LATER + 20);
    assert_eq!(early, Decision::Drop(DropReason::NobodyHoldsYet));
    let decision = fixture.continue_search(&header, LATER + 130);
    let reason = ResetReason::NobodyHolds;
    assert_eq!(decision, Decision::Reset { sequence: header.acknowledgment, reason });
}

/// Targets asked before are not asked again: a target that bounced a packet does not hold its flow,
/// and never will.
#[test]
fn new_target_is_asked_before_flow_is_reset() {
    let mut store = Store::with_targets(3);
    let mut fixture = Fixture::new(&store);
    let header = data(flow(1));
    fixture.bounce_until_search_ends(&header, LATER);
    store.target(4, SERVICE, Some(TargetState::Ready), LATER + 10);
    fixture.view = store.view();
    let decision = fixture.continue_search(&header, LATER + 30);
    assert_eq!(path(&decision), vec![agent(4)]);
    assert!(matches!(fixture.bounced(&header, agent(4), LATER + 32), Decision::Reset { .. }));
}

#[test]
fn flow_is_not_reset_on_stale_store_data() {
    let mut fixture = Fixture::new(&Store::with_targets(2));
    fixture.fresh = false;
    let header = data(flow(1));
    for round in 0..10 {
        let (_, end) = fixture.bounce_until_search_ends(&header, LATER + round * 500);
        assert_eq!(end, Decision::Drop(DropReason::NobodyHoldsYet));
    }
}

#[test]
fn search_asks_targets_of_parts_without_weight() {
    let mut store = Store::with_targets(2);
    store.target(11, OTHER, Some(TargetState::Ready), 0);
    store.route(&[(SERVICE, 0), (OTHER, 1)]);
    let mut fixture = Fixture::new(&store);
    let (mut visited, _) = fixture.bounce_until_search_ends(&data(flow(1)), LATER);
    visited.sort();
    assert_eq!(visited, vec![agent(1), agent(2), agent(11)]);
}

#[test]
fn search_continues_without_further_client_packets() {
    let mut fixture = Fixture::new(&Store::with_targets(2));
    let header = data(flow(1));
    let first = forwarded(&fixture.client(&header, LATER)).agent;
    assert!(fixture.balancer.due_searches(LATER + 50).is_empty());
    let due = fixture.balancer.due_searches(LATER + 130);
    assert_eq!(due, vec![(header, b"packet".to_vec())]);
    let next = fixture.continue_search(&header, LATER + 130);
    let others = paths(&next).concat().into_iter().find(|agent| *agent != first);
    let found = others.expect("the search continues with other targets");
    fixture.balancer.note_holder(flow(1), found, true, 0, LATER + 131);
    assert!(fixture.balancer.due_searches(LATER + 400).is_empty());
}

#[test]
fn search_packet_visits_eight_targets() {
    let mut fixture = Fixture::new(&Store::with_targets(20));
    let header = data(flow(1));
    let first = path(&fixture.client(&header, LATER));
    assert_eq!(first.len(), 8);
    // A further packet takes the same path.
    assert_eq!(path(&fixture.client(&header, LATER + 1)), first);
    // The other targets are asked at the same time, on paths of eight.
    let second_wave = paths(&fixture.bounced(&header, first[7], LATER + 10));
    assert_eq!(second_wave.iter().map(Vec::len).collect::<Vec<_>>(), [8, 4]);
    let mut asked = [first, second_wave.concat()].concat();
    assert_eq!(asked.len(), 20);
    asked.sort();
    asked.dedup();
    assert_eq!(asked.len(), 20, "no target is asked twice");
}

#[test]
fn search_continues_after_all_paths_returned() {
    let mut fixture = Fixture::new(&Store::with_targets(20));
    let header = data(flow(1));
    let first = path(&fixture.client(&header, LATER));
    let second_wave = paths(&fixture.bounced(&header, first[7], LATER + 10));
    let continues = Decision::Drop(DropReason::SearchGoesOn);
    assert_eq!(fixture.client(&header, LATER + 11), continues, "further packets are not forwarded");
    assert_eq!(fixture.bounced(&header, second_wave[1][3], LATER + 12), continues);
    let end = fixture.bounced(&header, second_wave[0][7], LATER + 13);
    assert_eq!(end, Decision::Drop(DropReason::NobodyHoldsYet));
}

#[test]
fn overloaded_balancer_hands_each_unknown_flow_to_one_helper() {
    let mut fixture = Fixture::new(&Store::with_targets(4));
    let known = fixture.open(1, LATER);
    let helpers = [agent(101), agent(102)];
    let decision = fixture.client_with_helpers(&data(flow(1)), &helpers, LATER + 1);
    assert_eq!(forwarded(&decision).agent, known);
    let mut chosen = Vec::new();
    for port in 2..40 {
        let handed_off = fixture.client_with_helpers(&opening(flow(port)), &helpers, LATER + 1);
        assert_eq!(fixture.client_with_helpers(&data(flow(port)), &helpers, LATER + 2), handed_off);
        let Decision::HandOff { helper } = handed_off else {
            panic!("expected Decision::HandOff, got {handed_off:?}")
        };
        chosen.push(helper);
    }
    chosen.sort();
    chosen.dedup();
    assert_eq!(chosen, helpers);
    // Without helpers, the balancer searches for the flow itself.
    assert!(matches!(fixture.client(&data(flow(2)), LATER + 3), Decision::Forward(_)));
}

#[test]
fn search_asks_own_region_first() {
    let mut fixture = Fixture::new(&targets_in_two_zones());
    let (visited, _) = fixture.bounce_until_search_ends(&data(flow(1)), LATER);
    let far: Vec<bool> = visited.into_iter().map(is_far).collect();
    assert_eq!(far, [false, false, false, true, true, true]);
}

/// After a loss of all flows, every client waits for this time: it has to leave enough of the
/// client's latency objective for the request itself.
#[test]
fn flow_without_holder_is_reset_soon() {
    let mut fixture = Fixture::new(&Store::with_targets(3));
    let header = data(flow(1));
    fixture.bounce_until_search_ends(&header, LATER);
    let due_at = fixture.balancer.next_due().expect("the packet is buffered");
    assert!(due_at <= LATER + 40, "{} ms", due_at - LATER);
    assert_eq!(fixture.balancer.due_searches(due_at), vec![(header, b"packet".to_vec())]);
    let decision = fixture.continue_search(&header, due_at);
    let reason = ResetReason::NobodyHolds;
    assert_eq!(decision, Decision::Reset { sequence: header.acknowledgment, reason });
}

#[test]
fn search_waits_longer_on_stale_store_data() {
    let mut fixture = Fixture::new(&Store::with_targets(3));
    fixture.fresh = false;
    fixture.bounce_until_search_ends(&data(flow(1)), LATER);
    let due_at = fixture.balancer.next_due().expect("the packet is buffered");
    assert!(due_at >= LATER + 100, "{} ms", due_at - LATER);
}
