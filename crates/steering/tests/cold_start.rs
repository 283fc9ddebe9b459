//! A cold target gets no more new flows per second than its service allows.

mod support;

use std::net::Ipv4Addr;

use proptest::prelude::*;
use support::{SERVICE, Store, agent, flow, opening};
use weirhinge_fleet::{ColdStartPolicy, Millis, ReturnReason, ServiceId, TargetState};
use weirhinge_steering::{Agent, Arrival, ColdStartRate, DeliveryDecision, WaitOutcome};

const BALANCER: Ipv4Addr = Ipv4Addr::new(10, 0, 9, 1);

fn cold_agent(per_second: u32, cold_until: Millis) -> Agent {
    let mut agent = Agent::new(ServiceId::of(SERVICE));
    agent.set_slots(1_000);
    agent.set_cold_start(ColdStartRate::new(per_second, 1.5, 5.0), cold_until);
    agent
}

fn open(agent: &mut Agent, port: u16, may_wait: bool, now: Millis) -> DeliveryDecision {
    let header = opening(flow(port));
    let arrival = Arrival {
        header: &header,
        packet: b"packet",
        balancer: BALANCER,
        service: ServiceId::of(SERVICE),
        search: None,
        may_wait,
        urgent: false,
        granted: None,
    };
    agent.delivery(&arrival, now)
}

fn is_delivered(decision: &DeliveryDecision) -> bool {
    matches!(decision, DeliveryDecision::Deliver { .. })
}

#[test]
fn openings_above_the_rate_are_returned_or_queued() {
    let mut agent = cold_agent(3, 20_000);
    let admitted = (0..3).filter(|port| is_delivered(&open(&mut agent, *port, false, 10_000)));
    assert_eq!(admitted.count(), 3);
    let busy = DeliveryDecision::Return(ReturnReason::Busy);
    assert_eq!(open(&mut agent, 4, false, 10_500), busy);
    assert!(matches!(open(&mut agent, 5, true, 10_600), DeliveryDecision::Wait { .. }));
    assert_eq!(agent.next_outcome(10_999), None);
    assert!(matches!(agent.next_outcome(11_000), Some(WaitOutcome::Deliver(..))));
    // Copies of admitted opening packets are not new flows.
    assert!(is_delivered(&open(&mut agent, 1, false, 10_200)));
}

#[test]
fn warm_target_and_service_without_rate_have_no_limit() {
    let mut agent = cold_agent(3, 10_000);
    assert!((0..50).all(|port| is_delivered(&open(&mut agent, port, false, 10_000))));
    let mut agent = cold_agent(0, 20_000);
    assert!((0..50).all(|port| is_delivered(&open(&mut agent, port, false, 10_000))));
}

/// Guards the bound across a restart of the agent, which may have admitted a full second's flows
/// just before.
#[test]
fn restarted_agent_keeps_the_bound() {
    for (per_second, overshoot, slack) in [(20, 1.5, 5.0), (3, 1.5, 5.0), (10, 1.2, 0.0)] {
        let rate = ColdStartRate::new(per_second, overshoot, slack).expect("a rate");
        let max_per_second = f64::from(per_second) * overshoot + slack;
        assert!(f64::from(rate.per_second + rate.first_second) <= max_per_second);
        let mut agent = Agent::new(ServiceId::of(SERVICE));
        agent.set_slots(1_000);
        agent.set_cold_start(Some(rate), Millis::MAX);
        let admitted = (0..50).filter(|port| is_delivered(&open(&mut agent, *port, false, 10)));
        assert_eq!(admitted.count(), rate.first_second as usize);
    }
}

#[test]
fn targets_are_cold_after_evacuation_ends() {
    let mut store = Store::default();
    store.cold_starts =
        vec![ColdStartPolicy { service: SERVICE.to_owned(), cold_ms: 2_000, flows_per_second: 4 }];
    store.route(&[(SERVICE, 1)]);
    store.target(1, SERVICE, Some(TargetState::Ready), 0);
    store.evacuate(&["a"], 1_000);
    store.evacuate(&[], 9_000);
    let view = store.view();
    let candidate = view.candidates(ServiceId::of(SERVICE))[0];
    assert_eq!((candidate.agent, candidate.cold_until), (agent(1), 11_000));
    assert_eq!(
        view.cold_start(ServiceId::of(SERVICE)).map(|start| start.flows_per_second),
        Some(4)
    );
}

proptest! {
    #[test]
    fn rate_holds_in_every_second(
        per_second in 1..12u32,
        steps in prop::collection::vec((0..400u64, any::<bool>()), 1..200),
    ) {
        let mut agent = cold_agent(per_second, Millis::MAX);
        let mut now = 5_000;
        let mut admitted: Vec<Millis> = Vec::new();
        for (port, (span, may_wait)) in (0..).zip(steps) {
            now += span;
            if is_delivered(&open(&mut agent, port, may_wait, now)) {
                admitted.push(now);
            }
            while let Some(outcome) = agent.next_outcome(now) {
                if matches!(outcome, WaitOutcome::Deliver(..)) {
                    admitted.push(now);
                }
            }
            let recent = admitted.iter().filter(|at| now - **at < 1_000).count();
            prop_assert!(recent <= per_second as usize);
        }
    }
}
