//! Searches that meet targets which do not answer.

mod support;

use std::net::Ipv4Addr;

use support::{
    Fixture, LATER, SERVICE, Store, agent, claim, data, flow, forwarded, opening, path, rows,
};
use weirhinge_fleet::{ReturnReason, TargetClaim, TargetState, ZoneId};
use weirhinge_steering::{Decision, DropReason, ResetReason};

#[test]
fn a_target_that_does_not_answer_may_hold_the_flow() {
    let mut fixture = Fixture::new(&Store::with_targets(3));
    let head = data(flow(1));
    let silent = forwarded(&fixture.client(&head, LATER)).agent;
    let mut now = LATER;
    for _ in 0..20 {
        now += 130;
        let mut decision = fixture.continue_search(&head, now);
        while let Decision::Forward(forward) = &decision {
            let from = forward.agent;
            if from == silent {
                break;
            }
            decision = fixture.bounced(&head, from, now);
        }
        assert!(!matches!(decision, Decision::Reset { .. }), "reset at {now}");
    }
}

#[test]
fn a_silent_target_that_left_the_store_does_not_hold_a_flow_up_for_ever() {
    let mut store = Store::with_targets(2);
    store.target(2, SERVICE, None, 0);
    let mut fixture = Fixture::new(&store);
    let head = data(flow(1));
    let mut now = LATER;
    let mut decision = fixture.client(&head, now);
    for _ in 0..20 {
        while let Decision::Forward(forward) = &decision {
            if forward.agent == agent(2) {
                break;
            }
            let from = forward.agent;
            decision = fixture.bounced(&head, from, now);
        }
        if matches!(decision, Decision::Reset { .. }) {
            return;
        }
        now += 130;
        decision = fixture.continue_search(&head, now);
    }
    panic!("never given up");
}

/// Each round once asked all targets again, 109 of them for the sake of one.
#[test]
fn only_targets_that_did_not_answer_are_asked_again() {
    let mut fixture = Fixture::new(&Store::with_targets(4));
    let head = data(flow(1));
    let silent = path(&fixture.client(&head, LATER))[1];
    for row in rows(&fixture.continue_search(&head, LATER + 130)) {
        if row != [silent] {
            fixture.bounced(&head, row[0], LATER + 131);
        }
    }
    let end = fixture.continue_search(&head, LATER + 260);
    assert_eq!(end, Decision::Drop(DropReason::NobodyHoldsYet));
    assert_eq!(rows(&fixture.continue_search(&head, LATER + 390)), vec![vec![silent]]);
    let found = fixture.balancer.note_holder(flow(1), silent, true, 0, LATER + 400);
    assert_eq!(found, None);
    assert_eq!(forwarded(&fixture.client(&head, LATER + 401)).agent, silent);
}

/// After a loss of power an agent came back whose target had left for good. The agent
/// was heard, its target answered nothing, and lost flows were not given up for as long
/// as the agent lived.
#[test]
fn a_target_without_a_record_that_answers_nothing_does_not_hold_flows_up() {
    let mut store = Store::with_targets(3);
    store.target(3, SERVICE, Some(TargetState::Draining), LATER - 9_000);
    store.target(3, SERVICE, None, LATER - 3_000);
    let mut fixture = Fixture::new(&store);
    let mut outcomes = Vec::new();
    for port in [1, 2] {
        let head = data(flow(port));
        let began = LATER + u64::from(port) * 1_000;
        let mut now = began;
        let mut decision = fixture.client(&head, now);
        while !matches!(decision, Decision::Reset { .. }) {
            assert!(now < began + 1_000, "not given up");
            fixture.claimed(agent(3), now);
            let asked = match &decision {
                Decision::Forward(_) => rows(&decision),
                _ => Vec::new(),
            };
            for row in asked.iter().filter(|row| !row.contains(&agent(3))) {
                decision = fixture.bounced(&head, row[row.len() - 1], now);
            }
            if !matches!(decision, Decision::Reset { .. }) {
                now = fixture.balancer.next_due().expect("the packet is kept").max(now);
                decision = fixture.continue_search(&head, now);
            }
        }
        outcomes.push(now - began);
    }
    assert!(outcomes[0] >= 300, "given up after one unanswered packet: {outcomes:?} ms");
    assert!(outcomes[1] < 50, "the second flow does not ask it at all: {outcomes:?} ms");
}

/// One that has its record may only stand still.
#[test]
fn a_recorded_target_that_answers_nothing_may_hold_the_flow() {
    let mut fixture = Fixture::new(&Store::with_targets(1));
    let head = data(flow(1));
    fixture.client(&head, LATER);
    for step in 1..30 {
        fixture.claimed(agent(1), LATER + step * 130);
        let decision = fixture.continue_search(&head, LATER + step * 130);
        assert!(!matches!(decision, Decision::Reset { .. }));
    }
}

/// A target that left without a word serves on for many seconds.
#[test]
fn a_target_without_a_record_that_answers_others_may_hold_the_flow() {
    let mut store = Store::with_targets(1);
    store.target(1, SERVICE, None, LATER - 3_000);
    let mut fixture = Fixture::new(&store);
    let head = data(flow(1));
    fixture.client(&head, LATER);
    for step in 1..30 {
        fixture.balancer.heard(agent(1), 0, LATER + step * 130 - 1);
        let decision = fixture.continue_search(&head, LATER + step * 130);
        assert!(!matches!(decision, Decision::Reset { .. }));
    }
}

#[test]
fn after_a_silence_each_target_is_asked_alone() {
    let mut fixture = Fixture::new(&Store::with_targets(4));
    let head = data(flow(1));
    let asked = path(&fixture.client(&head, LATER));
    let again = rows(&fixture.continue_search(&head, LATER + 130));
    let alone: Vec<Vec<Ipv4Addr>> = asked.iter().map(|agent| vec![*agent]).collect();
    assert_eq!(again, alone);
}

#[test]
fn the_row_of_a_silent_target_does_not_hold_up_the_others_of_it() {
    let mut fixture = Fixture::new(&Store::with_targets(4));
    let head = data(flow(1));
    let silent = path(&fixture.client(&head, LATER))[1];
    let mut now = LATER + 130;
    for row in rows(&fixture.continue_search(&head, now)) {
        if row != [silent] {
            now += 1;
            fixture.bounced(&head, row[0], now);
        }
    }
    // The silent one is put down as such, and asked last by the next flow.
    let end = fixture.continue_search(&head, LATER + 260);
    assert_eq!(end, Decision::Drop(DropReason::NobodyHoldsYet));
    assert!(!path(&fixture.client(&data(flow(2)), LATER + 300)).contains(&silent));
}

/// An agent once claimed a target that said nothing and had no record. The silence in
/// a row was put down to the first agent, whose target may hold flows, and no flow was
/// given up for three seconds.
#[test]
fn a_claimed_target_that_says_nothing_does_not_hold_flows_up() {
    let mut fixture = Fixture::new(&Store::with_targets(3));
    let mute = agent(9);
    fixture.claimed(mute, LATER - 500);
    let mut outcomes = Vec::new();
    for port in [1, 2] {
        let head = data(flow(port));
        let mut now = LATER + u64::from(port) * 1_000;
        let began = now;
        let mut decision = fixture.client(&head, now);
        while !matches!(decision, Decision::Reset { .. }) {
            assert!(now < began + 900, "not given up after {} ms", now - began);
            let asked = match &decision {
                Decision::Forward(_) => rows(&decision),
                _ => Vec::new(),
            };
            for row in asked.iter().filter(|row| !row.contains(&mute)) {
                decision = fixture.bounced(&head, row[row.len() - 1], now);
            }
            let is_held_up = asked.iter().any(|row| row.contains(&mute));
            if is_held_up || !matches!(decision, Decision::Forward(_) | Decision::Reset { .. }) {
                now = fixture.balancer.next_due().expect("the packet is kept").max(now);
                decision = fixture.continue_search(&head, now);
            }
        }
        outcomes.push(now - began);
    }
    // The second flow does not ask it at all.
    assert!(outcomes[1] < 50, "given up after {outcomes:?} ms");
}

#[test]
fn a_silent_target_is_asked_alone_and_last() {
    let mut fixture = Fixture::new(&Store::with_targets(4));
    let silent = forwarded(&fixture.client(&opening(flow(9)), LATER)).agent;
    let now = LATER + 200;
    let asked = path(&fixture.client(&data(flow(1)), now));
    assert_eq!(asked.len(), 3);
    assert!(!asked.contains(&silent));
    let last = fixture.bounced(&data(flow(1)), asked[2], now);
    assert_eq!(path(&last), vec![silent]);
}

/// Each target that ended once held the first flows that each balancer searched for up by
/// some 350 ms: its agent had ended too, and nothing told that from a lost packet.
#[test]
fn a_target_whose_agent_said_that_it_ended_is_not_asked() {
    let mut fixture = Fixture::new(&Store::with_targets(4));
    fixture.balancer.target_ended(agent(2), LATER);
    let head = data(flow(1));
    assert!(!path(&fixture.client(&head, LATER)).contains(&agent(2)));
    let (_, end) = fixture.bounce_to_the_end(&data(flow(2)), LATER);
    assert_eq!(end, Decision::Drop(DropReason::NobodyHoldsYet));
    let end = fixture.continue_search(&data(flow(2)), LATER + 25);
    assert!(matches!(end, Decision::Reset { reason: ResetReason::NobodyHolds, .. }));
    // Openings pass it over as well.
    let chosen =
        |fixture: &mut Fixture, port| forwarded(&fixture.client(&opening(flow(port)), LATER)).agent;
    assert!((100..200).all(|port| chosen(&mut fixture, port) != agent(2)));
}

#[test]
fn an_agent_that_speaks_again_is_asked_again() {
    let mut fixture = Fixture::new(&Store::with_targets(2));
    let asked = |fixture: &mut Fixture, port| {
        let head = data(flow(port));
        let mut decision = fixture.client(&head, LATER + 200);
        let mut asked = Vec::new();
        while let Decision::Forward(_) = decision {
            let row = path(&decision);
            decision = fixture.bounced(&head, row[row.len() - 1], LATER + 200);
            asked.extend(row);
        }
        asked.contains(&agent(2))
    };
    fixture.balancer.target_ended(agent(2), LATER);
    // A digest that the agent sent before its last word, and that came after it.
    let leaving = TargetClaim { leaving: true, ..claim(SERVICE) };
    fixture.balancer.claimed(agent(2), ZoneId::of("a"), &leaving, LATER + 1);
    assert!(!asked(&mut fixture, 1));
    fixture.claimed(agent(2), LATER + 100);
    assert!(asked(&mut fixture, 2), "its next process has started");
    fixture.balancer.target_ended(agent(2), LATER);
    fixture.balancer.heard(agent(2), 0, LATER + 150);
    assert!(asked(&mut fixture, 3));
}

/// Another target may start at the address before a balancer hears of its agent, which in a
/// large fleet takes a while: it gets new flows, and its flows are found.
#[test]
fn the_last_word_about_a_target_says_nothing_of_the_next_one_at_its_address() {
    let mut store = Store::with_targets(2);
    let mut fixture = Fixture::new(&store);
    fixture.balancer.target_ended(agent(2), LATER);
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
fn the_word_that_an_agent_stops_is_forgotten_though_its_next_process_is_not_heard() {
    let mut fixture = Fixture::new(&Store::with_targets(2));
    let head = opening(flow(9_999));
    fixture.returned(&head, agent(2), ReturnReason::Leaving, LATER);
    let chosen = |fixture: &mut Fixture, port, now| {
        forwarded(&fixture.client(&opening(flow(port)), now)).agent
    };
    fixture.balancer.heard(agent(1), 0, LATER + 900);
    assert!((100..200).all(|port| chosen(&mut fixture, port, LATER + 1_000) != agent(2)));
    fixture.balancer.heard(agent(1), 0, LATER + 8_900);
    assert!((300..400).any(|port| chosen(&mut fixture, port, LATER + 9_000) == agent(2)));
}
