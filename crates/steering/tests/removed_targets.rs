//! Flows of targets whose records were removed before the balancer started.

mod support;

use support::{Fixture, LATER, SERVICE, Store, agent, data, flow, forwarded, opening};
use weirhinge_steering::{Decision, DropReason, ResetReason};

/// Longer than a search waits for an answer.
const STEP_MS: u64 = 130;

/// Guards against resets by a balancer that does not know yet which targets left before it started.
#[test]
fn flow_is_not_reset_before_removed_targets_are_known() {
    let mut fixture = Fixture::new(&Store::with_targets(3));
    fixture.knows_removed_targets = false;
    let header = data(flow(1));
    let unknown = Decision::Drop(DropReason::NobodyHoldsYet);
    let mut now = LATER;
    assert_eq!(fixture.bounce_until_search_ends(&header, now).1, unknown);
    for _ in 0..10 {
        now += STEP_MS;
        assert_eq!(fixture.continue_search(&header, now), unknown);
    }
    fixture.knows_removed_targets = true;
    let reset = fixture.continue_search(&header, now + STEP_MS);
    assert_eq!(reset, Decision::Reset { sequence: 500, reason: ResetReason::NobodyHolds });
}

#[test]
fn target_removed_earlier_is_searched_and_keeps_its_flows() {
    let mut store = Store::with_targets(2);
    store.target_removed_earlier(3, SERVICE, LATER);
    let mut fixture = Fixture::new(&store);
    let header = data(flow(1));
    let mut decision = fixture.client(&header, LATER);
    while forwarded(&decision).agent != agent(3) {
        decision = fixture.bounced(&header, forwarded(&decision).agent, LATER);
    }
    fixture.balancer.note_holder(flow(1), agent(3), true, 0, LATER + 2);
    assert_eq!(forwarded(&fixture.client(&header, LATER + 3)).agent, agent(3));
}

/// One packet may be lost, and the balancer never heard from the target's agent.
#[test]
fn one_unanswered_search_does_not_show_that_a_target_removed_earlier_has_ended() {
    let mut store = Store::with_targets(1);
    store.target_removed_earlier(2, SERVICE, LATER);
    let mut fixture = Fixture::new(&store);
    let header = data(flow(1));
    let mut now = LATER;
    let mut asked = 0;
    let mut decision = fixture.client(&header, now);
    while !matches!(decision, Decision::Reset { .. }) {
        if let Decision::Forward(forward) = &decision
            && forward.agent == agent(1)
        {
            decision = fixture.bounced(&header, agent(1), now);
            continue;
        }
        asked += usize::from(matches!(decision, Decision::Forward(_)));
        now += STEP_MS;
        assert!(now < LATER + 3_000, "the flow is not given up");
        decision = fixture.continue_search(&header, now);
    }
    assert!(asked >= 2, "asked {asked} times");
}

/// It left long ago as far as this balancer knows, so it must not get new flows even while the
/// balancer has just started and no other target is left.
#[test]
fn target_removed_earlier_gets_no_new_flows() {
    let mut store = Store::with_targets(0);
    store.target_removed_earlier(1, SERVICE, LATER);
    let mut fixture = Fixture::new(&store);
    fixture.balancer.note_store_regained(LATER);
    let decision = fixture.client(&opening(flow(1)), LATER + 100);
    assert_eq!(decision, Decision::Drop(DropReason::NoTargetYet));
}
