//! Searches that ask unresponsive targets.

mod support;

use std::net::Ipv4Addr;

use support::{
    Fixture, LATER, SERVICE, Store, agent, data, flow, forwarded, opening, path, paths,
    target_status,
};
use weirhinge_fleet::{ReturnReason, TargetState, TargetStatus, ZoneId};
use weirhinge_steering::{Decision, DropReason, ResetReason};

#[test]
fn unresponsive_target_may_hold_the_flow() {
    let mut fixture = Fixture::new(&Store::with_targets(3));
    let header = data(flow(1));
    let unresponsive = forwarded(&fixture.client(&header, LATER)).agent;
    let mut now = LATER;
    for _ in 0..20 {
        now += 130;
        let mut decision = fixture.continue_search(&header, now);
        while let Decision::Forward(forward) = &decision {
            let from = forward.agent;
            if from == unresponsive {
                break;
            }
            decision = fixture.bounced(&header, from, now);
        }
        assert!(!matches!(decision, Decision::Reset { .. }), "reset at {now}");
    }
}

#[test]
fn unresponsive_removed_target_does_not_prevent_reset() {
    let mut store = Store::with_targets(2);
    store.target(2, SERVICE, None, 0);
    let mut fixture = Fixture::new(&store);
    let header = data(flow(1));
    let mut now = LATER;
    let mut decision = fixture.client(&header, now);
    for _ in 0..20 {
        while let Decision::Forward(forward) = &decision {
            if forward.agent == agent(2) {
                break;
            }
            let from = forward.agent;
            decision = fixture.bounced(&header, from, now);
        }
        if matches!(decision, Decision::Reset { .. }) {
            return;
        }
        now += 130;
        decision = fixture.continue_search(&header, now);
    }
    panic!("the flow was not reset");
}

/// Otherwise each round would ask all targets again, for example 109 of them because of one.
#[test]
fn only_unresponsive_targets_are_asked_again() {
    let mut fixture = Fixture::new(&Store::with_targets(4));
    let header = data(flow(1));
    let unresponsive = path(&fixture.client(&header, LATER))[1];
    for path in paths(&fixture.continue_search(&header, LATER + 130)) {
        if path != [unresponsive] {
            fixture.bounced(&header, path[0], LATER + 131);
        }
    }
    let end = fixture.continue_search(&header, LATER + 260);
    assert_eq!(end, Decision::Drop(DropReason::NobodyHoldsYet));
    assert_eq!(paths(&fixture.continue_search(&header, LATER + 390)), vec![vec![unresponsive]]);
    let found = fixture.balancer.note_holder(flow(1), unresponsive, true, 0, LATER + 400);
    assert_eq!(found, None);
    assert_eq!(forwarded(&fixture.client(&header, LATER + 401)).agent, unresponsive);
}

/// After a power loss, an agent may restart while its target is gone for good. The agent sends
/// digests and its target answers nothing; lost flows must still be reset while that agent lives.
#[test]
fn unresponsive_unrecorded_target_does_not_delay_resets() {
    let mut store = Store::with_targets(3);
    store.target(3, SERVICE, Some(TargetState::Draining), LATER - 9_000);
    store.target(3, SERVICE, None, LATER - 3_000);
    let mut fixture = Fixture::new(&store);
    let mut reset_delays_ms = Vec::new();
    for port in [1, 2] {
        let header = data(flow(port));
        let began_at = LATER + u64::from(port) * 1_000;
        let mut now = began_at;
        let mut decision = fixture.client(&header, now);
        while !matches!(decision, Decision::Reset { .. }) {
            assert!(now < began_at + 1_000, "the flow was not reset");
            fixture.note_target_status(agent(3), now);
            let asked = match &decision {
                Decision::Forward(_) => paths(&decision),
                _ => Vec::new(),
            };
            for path in asked.iter().filter(|path| !path.contains(&agent(3))) {
                decision = fixture.bounced(&header, path[path.len() - 1], now);
            }
            if !matches!(decision, Decision::Reset { .. }) {
                now = fixture.balancer.next_due().expect("the packet is buffered").max(now);
                decision = fixture.continue_search(&header, now);
            }
        }
        reset_delays_ms.push(now - began_at);
    }
    assert!(reset_delays_ms[0] >= 300, "reset after one unanswered packet: {reset_delays_ms:?} ms");
    assert!(
        reset_delays_ms[1] < 50,
        "the search for the second flow should not ask it: {reset_delays_ms:?} ms"
    );
}

/// A recorded target may just be paused.
#[test]
fn unresponsive_recorded_target_may_hold_the_flow() {
    let mut fixture = Fixture::new(&Store::with_targets(1));
    let header = data(flow(1));
    fixture.client(&header, LATER);
    for step in 1..30 {
        fixture.note_target_status(agent(1), LATER + step * 130);
        let decision = fixture.continue_search(&header, LATER + step * 130);
        assert!(!matches!(decision, Decision::Reset { .. }));
    }
}

/// A target that was removed from the store without draining still serves for many seconds.
#[test]
fn responsive_unrecorded_target_may_hold_the_flow() {
    let mut store = Store::with_targets(1);
    store.target(1, SERVICE, None, LATER - 3_000);
    let mut fixture = Fixture::new(&store);
    let header = data(flow(1));
    fixture.client(&header, LATER);
    for step in 1..30 {
        fixture.balancer.note_answer(agent(1), 0, LATER + step * 130 - 1);
        let decision = fixture.continue_search(&header, LATER + step * 130);
        assert!(!matches!(decision, Decision::Reset { .. }));
    }
}

#[test]
fn targets_of_timed_out_path_are_asked_alone() {
    let mut fixture = Fixture::new(&Store::with_targets(4));
    let header = data(flow(1));
    let asked = path(&fixture.client(&header, LATER));
    let again = paths(&fixture.continue_search(&header, LATER + 130));
    let single_agent_paths: Vec<Vec<Ipv4Addr>> = asked.iter().map(|agent| vec![*agent]).collect();
    assert_eq!(again, single_agent_paths);
}

#[test]
fn timed_out_path_identifies_the_unresponsive_target() {
    let mut fixture = Fixture::new(&Store::with_targets(4));
    let header = data(flow(1));
    let unresponsive = path(&fixture.client(&header, LATER))[1];
    let mut now = LATER + 130;
    for path in paths(&fixture.continue_search(&header, now)) {
        if path != [unresponsive] {
            now += 1;
            fixture.bounced(&header, path[0], now);
        }
    }
    // The unresponsive target is identified as such, and asked last for the next flow.
    let end = fixture.continue_search(&header, LATER + 260);
    assert_eq!(end, Decision::Drop(DropReason::NobodyHoldsYet));
    assert!(!path(&fixture.client(&data(flow(2)), LATER + 300)).contains(&unresponsive));
}

/// An agent reports a target that is unresponsive and has no record. If the timeout of a path were
/// attributed to the path's first agent, whose target may hold flows, no flow would be reset for
/// three seconds.
#[test]
fn unresponsive_reported_target_does_not_delay_resets() {
    let mut fixture = Fixture::new(&Store::with_targets(3));
    let unresponsive = agent(9);
    fixture.note_target_status(unresponsive, LATER - 500);
    let mut reset_delays_ms = Vec::new();
    for port in [1, 2] {
        let header = data(flow(port));
        let mut now = LATER + u64::from(port) * 1_000;
        let began_at = now;
        let mut decision = fixture.client(&header, now);
        while !matches!(decision, Decision::Reset { .. }) {
            assert!(now < began_at + 900, "not reset after {} ms", now - began_at);
            let asked = match &decision {
                Decision::Forward(_) => paths(&decision),
                _ => Vec::new(),
            };
            for path in asked.iter().filter(|path| !path.contains(&unresponsive)) {
                decision = fixture.bounced(&header, path[path.len() - 1], now);
            }
            let timed_out = asked.iter().any(|path| path.contains(&unresponsive));
            if timed_out || !matches!(decision, Decision::Forward(_) | Decision::Reset { .. }) {
                now = fixture.balancer.next_due().expect("the packet is buffered").max(now);
                decision = fixture.continue_search(&header, now);
            }
        }
        reset_delays_ms.push(now - began_at);
    }
    // The search for the second flow does not ask it.
    assert!(reset_delays_ms[1] < 50, "flows were reset after {reset_delays_ms:?} ms");
}

#[test]
fn unresponsive_target_is_asked_alone_and_last() {
    let mut fixture = Fixture::new(&Store::with_targets(4));
    let unresponsive = forwarded(&fixture.client(&opening(flow(9)), LATER)).agent;
    let now = LATER + 200;
    let asked = path(&fixture.client(&data(flow(1)), now));
    assert_eq!(asked.len(), 3);
    assert!(!asked.contains(&unresponsive));
    let last = fixture.bounced(&data(flow(1)), asked[2], now);
    assert_eq!(path(&last), vec![unresponsive]);
}

/// When a target has ended, its agent has ended too, which looks like packet loss. Without the
/// report, the first searches of each balancer would be delayed by about 350 ms.
#[test]
fn ended_target_is_not_asked() {
    let mut fixture = Fixture::new(&Store::with_targets(4));
    fixture.balancer.note_target_ended(agent(2), LATER);
    let header = data(flow(1));
    assert!(!path(&fixture.client(&header, LATER)).contains(&agent(2)));
    let (_, end) = fixture.bounce_until_search_ends(&data(flow(2)), LATER);
    assert_eq!(end, Decision::Drop(DropReason::NobodyHoldsYet));
    let end = fixture.continue_search(&data(flow(2)), LATER + 25);
    assert!(matches!(end, Decision::Reset { reason: ResetReason::NobodyHolds, .. }));
    // New flows skip it as well.
    let chosen =
        |fixture: &mut Fixture, port| forwarded(&fixture.client(&opening(flow(port)), LATER)).agent;
    assert!((100..200).all(|port| chosen(&mut fixture, port) != agent(2)));
}

#[test]
fn agent_is_asked_again_after_new_report() {
    let mut fixture = Fixture::new(&Store::with_targets(2));
    let asked = |fixture: &mut Fixture, port| {
        let header = data(flow(port));
        let mut decision = fixture.client(&header, LATER + 200);
        let mut asked = Vec::new();
        while let Decision::Forward(_) = decision {
            let path = path(&decision);
            decision = fixture.bounced(&header, path[path.len() - 1], LATER + 200);
            asked.extend(path);
        }
        asked.contains(&agent(2))
    };
    fixture.balancer.note_target_ended(agent(2), LATER);
    // A digest that the agent sent before its final report, and that arrives after it.
    let leaving = TargetStatus { leaving: true, ..target_status(SERVICE) };
    fixture.balancer.note_target_status(agent(2), ZoneId::of("a"), &leaving, LATER + 1);
    assert!(!asked(&mut fixture, 1));
    fixture.note_target_status(agent(2), LATER + 100);
    assert!(asked(&mut fixture, 2), "the agent's next process has started");
    fixture.balancer.note_target_ended(agent(2), LATER);
    fixture.balancer.note_answer(agent(2), 0, LATER + 150);
    assert!(asked(&mut fixture, 3));
}

/// Another target may start at the address before a balancer receives a report from its agent,
/// which takes a while in a large fleet. It gets new flows, and its flows are found.
#[test]
fn ended_report_does_not_apply_to_next_target_at_address() {
    let mut store = Store::with_targets(2);
    let mut fixture = Fixture::new(&store);
    fixture.balancer.note_target_ended(agent(2), LATER);
    store.target(2, SERVICE, None, LATER + 500);
    store.target(2, SERVICE, Some(TargetState::Ready), LATER + 900);
    fixture.view = store.view();
    assert!(path(&fixture.client(&data(flow(1)), LATER + 1_000)).contains(&agent(2)));
    let chosen = |fixture: &mut Fixture, port| {
        forwarded(&fixture.client(&opening(flow(port)), LATER + 1_000)).agent
    };
    assert!((100..200).any(|port| chosen(&mut fixture, port) == agent(2)));
}

#[test]
fn shutdown_report_expires_without_new_report() {
    let mut fixture = Fixture::new(&Store::with_targets(2));
    let header = opening(flow(9_999));
    fixture.returned(&header, agent(2), ReturnReason::Leaving, LATER);
    let chosen = |fixture: &mut Fixture, port, now| {
        forwarded(&fixture.client(&opening(flow(port)), now)).agent
    };
    fixture.balancer.note_answer(agent(1), 0, LATER + 900);
    assert!((100..200).all(|port| chosen(&mut fixture, port, LATER + 1_000) != agent(2)));
    fixture.balancer.note_answer(agent(1), 0, LATER + 8_900);
    assert!((300..400).any(|port| chosen(&mut fixture, port, LATER + 9_000) == agent(2)));
}
