//! Packets that came before it was known where they could go.

mod support;

use support::{Fixture, LATER, Store, agent, data, flow, forwarded, opening};
use weirhinge_fleet::Timing;
use weirhinge_steering::{Balancer, BalancerLimits, Decision, DropReason, PacketHeader};

/// A balancer that starts once lost the packets of its first milliseconds, and their
/// clients waited for 200 to 800 ms until they sent them again.
#[test]
fn packets_that_came_before_the_configuration_are_decided_about_with_it() {
    let mut fixture = Fixture::new(&Store::default());
    for port in 1..=3 {
        fixture.client(&opening(flow(port)), LATER + u64::from(port));
    }
    fixture.client(&data(flow(4)), LATER + 4);
    assert!(fixture.balancer.next_due().is_some_and(|due_at| due_at <= LATER + 20));
    assert!(fixture.due_undecided(LATER + 10).is_empty(), "nothing was learned yet");
    fixture.view = Store::with_targets(2).view();
    let due = fixture.due_undecided(LATER + 30);
    let heads: Vec<PacketHeader> = due.iter().map(|(header, _)| *header).collect();
    let newest_first = [data(flow(4)), opening(flow(3)), opening(flow(2)), opening(flow(1))];
    assert_eq!(heads, newest_first);
    for header in &heads {
        let decision = fixture.decide_again(header, LATER + 30);
        assert!(matches!(decision, Some(Decision::Forward(_))), "{decision:?}");
    }
    assert!(fixture.due_undecided(LATER + 40).is_empty(), "each is decided about once");
}

#[test]
fn packets_without_a_target_wait_for_an_agents_word() {
    let mut empty = Fixture::new(&Store::with_targets(0));
    empty.fresh = false;
    let dropped = Decision::Drop(DropReason::NoTargetYet);
    assert_eq!(empty.client(&opening(flow(2)), LATER), dropped);
    empty.due_undecided(LATER + 8);
    assert!(empty.due_undecided(LATER + 16).is_empty());
    empty.note_target_status(agent(9), LATER + 20);
    let due = empty.due_undecided(LATER + 24);
    assert_eq!(due.len(), 1);
    let decision = empty.decide_again(&due[0].0, LATER + 24);
    assert_eq!(decision.as_ref().map(|decision| forwarded(decision).agent), Some(agent(9)));
}

/// With a hundredth of a processor, packets of long ago once kept a balancer from
/// those that came after its configuration.
#[test]
fn a_weak_balancer_keeps_the_newest_packets_alone() {
    let mut fixture = Fixture::new(&Store::default());
    fixture.balancer = Balancer::with_limits(
        Timing::default(),
        BalancerLimits { processor_permille: Some(12), link_kbps: None },
    );
    for port in 1..=40 {
        fixture.client(&opening(flow(port)), LATER + u64::from(port));
    }
    fixture.view = Store::with_targets(2).view();
    let due = fixture.due_undecided(LATER + 50);
    let ports: Vec<u16> = due.iter().map(|(header, _)| header.source.port()).collect();
    assert_eq!(ports, (29..=40).rev().collect::<Vec<u16>>());
}

#[test]
fn packets_that_nobody_routes_are_not_kept_for_ever() {
    let mut fixture = Fixture::new(&Store::default());
    fixture.client(&opening(flow(1)), LATER);
    fixture.due_undecided(LATER + 2_000);
    assert_eq!(fixture.balancer.next_due(), None);
}
