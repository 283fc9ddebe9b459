//! Packets that arrive before the balancer knows where to send them.

mod support;

use support::{Fixture, LATER, Store, agent, data, flow, forwarded, opening};
use weirhinge_fleet::Timing;
use weirhinge_steering::{Balancer, BalancerLimits, Decision, DropReason, PacketHeader};

/// Guards against losing the packets that arrive in the first milliseconds after a balancer starts:
/// their clients would wait 200 to 800 ms before they retransmit.
#[test]
fn packets_before_the_configuration_are_decided_once_it_arrives() {
    let mut fixture = Fixture::new(&Store::default());
    for port in 1..=3 {
        fixture.client(&opening(flow(port)), LATER + u64::from(port));
    }
    fixture.client(&data(flow(4)), LATER + 4);
    assert!(fixture.balancer.next_due().is_some_and(|due_at| due_at <= LATER + 20));
    assert!(fixture.due_undecided(LATER + 10).is_empty(), "the known state has not changed yet");
    fixture.view = Store::with_targets(2).view();
    let due = fixture.due_undecided(LATER + 30);
    let heads: Vec<PacketHeader> = due.iter().map(|(header, _)| *header).collect();
    let newest_first = [data(flow(4)), opening(flow(3)), opening(flow(2)), opening(flow(1))];
    assert_eq!(heads, newest_first);
    for header in &heads {
        let decision = fixture.retry_undecided(header, LATER + 30);
        assert!(matches!(decision, Some(Decision::Forward(_))), "{decision:?}");
    }
    assert!(fixture.due_undecided(LATER + 40).is_empty(), "each packet is decided about only once");
}

#[test]
fn packets_without_a_target_wait_for_an_agent_report() {
    let mut fixture = Fixture::new(&Store::with_targets(0));
    fixture.fresh = false;
    let dropped = Decision::Drop(DropReason::NoTargetYet);
    assert_eq!(fixture.client(&opening(flow(2)), LATER), dropped);
    fixture.due_undecided(LATER + 8);
    assert!(fixture.due_undecided(LATER + 16).is_empty());
    fixture.note_target_status(agent(9), LATER + 20);
    let due = fixture.due_undecided(LATER + 24);
    assert_eq!(due.len(), 1);
    let decision = fixture.retry_undecided(&due[0].0, LATER + 24);
    assert_eq!(decision.as_ref().map(|decision| forwarded(decision).agent), Some(agent(9)));
}

/// Guards against old packets keeping a balancer with a hundredth of a processor from those that
/// arrive after its configuration.
#[test]
fn slow_balancer_keeps_only_the_newest_packets() {
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
fn unroutable_packets_expire() {
    let mut fixture = Fixture::new(&Store::default());
    fixture.client(&opening(flow(1)), LATER);
    fixture.due_undecided(LATER + 2_000);
    assert_eq!(fixture.balancer.next_due(), None);
}
