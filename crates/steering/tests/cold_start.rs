//! A cold target gets no more new flows in any second than its service allows.

mod support;

use std::net::Ipv4Addr;

use proptest::prelude::*;
use support::{SERVICE, Store, agent, flow, opening};
use weirhinge_fleet::{ColdStartPolicy, Millis, ReturnReason, ServiceId, TargetState};
use weirhinge_steering::{Agent, Arrival, ColdStartRate, DeliveryDecision, WaitOutcome};

const BALANCER: Ipv4Addr = Ipv4Addr::new(10, 0, 9, 1);

fn cold_agent(per_second: u32, cold_until: Millis) -> Agent {
    let mut beside = Agent::new(ServiceId::of(SERVICE));
    beside.set_slots(1_000);
    beside.set_cold_start(ColdStartRate::new(per_second, 1.5, 5.0), cold_until);
    beside
}

fn open(beside: &mut Agent, port: u16, may_wait: bool, now: Millis) -> DeliveryDecision {
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
    beside.delivery(&arrival, now)
}

fn is_taken(decision: &DeliveryDecision) -> bool {
    matches!(decision, DeliveryDecision::Deliver { .. })
}

#[test]
fn beyond_the_rate_openings_are_sent_back_or_wait() {
    let mut beside = cold_agent(3, 20_000);
    let taken = (0..3).filter(|port| is_taken(&open(&mut beside, *port, false, 10_000)));
    assert_eq!(taken.count(), 3);
    let busy = DeliveryDecision::Return(ReturnReason::Busy);
    assert_eq!(open(&mut beside, 4, false, 10_500), busy);
    assert!(matches!(open(&mut beside, 5, true, 10_600), DeliveryDecision::Wait { .. }));
    assert_eq!(beside.next_outcome(10_999), None);
    assert!(matches!(beside.next_outcome(11_000), Some(WaitOutcome::Deliver(..))));
    // Copies of what was taken are no new flows.
    assert!(is_taken(&open(&mut beside, 1, false, 10_200)));
}

#[test]
fn a_warm_target_and_a_service_without_a_rate_have_no_limit() {
    let mut beside = cold_agent(3, 10_000);
    assert!((0..50).all(|port| is_taken(&open(&mut beside, port, false, 10_000))));
    let mut beside = cold_agent(0, 20_000);
    assert!((0..50).all(|port| is_taken(&open(&mut beside, port, false, 10_000))));
}

/// The agent may have been restarted after it let a full second's flows through.
#[test]
fn two_lives_of_an_agent_keep_the_bound_together() {
    for (per_second, overshoot, slack) in [(20, 1.5, 5.0), (3, 1.5, 5.0), (10, 1.2, 0.0)] {
        let rate = ColdStartRate::new(per_second, overshoot, slack).expect("a rate");
        let most = f64::from(per_second) * overshoot + slack;
        assert!(f64::from(rate.per_second + rate.first_second) <= most);
        let mut beside = Agent::new(ServiceId::of(SERVICE));
        beside.set_slots(1_000);
        beside.set_cold_start(Some(rate), Millis::MAX);
        let taken = (0..50).filter(|port| is_taken(&open(&mut beside, *port, false, 10)));
        assert_eq!(taken.count(), rate.first_second as usize);
    }
}

#[test]
fn targets_are_cold_after_their_zone_was_taken_back() {
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
    fn no_second_brings_more_than_the_rate(
        per_second in 1..12u32,
        steps in prop::collection::vec((0..400u64, any::<bool>()), 1..200),
    ) {
        let mut beside = cold_agent(per_second, Millis::MAX);
        let mut now = 5_000;
        let mut taken: Vec<Millis> = Vec::new();
        for (port, (span, may_wait)) in (0..).zip(steps) {
            now += span;
            if is_taken(&open(&mut beside, port, may_wait, now)) {
                taken.push(now);
            }
            while let Some(outcome) = beside.next_outcome(now) {
                if matches!(outcome, WaitOutcome::Deliver(..)) {
                    taken.push(now);
                }
            }
            let recent = taken.iter().filter(|at| now - **at < 1_000).count();
            prop_assert!(recent <= per_second as usize);
        }
    }
}
