//! Packets of a route with permitted regions stay in these regions.

mod support;

use std::net::Ipv4Addr;

use support::{
    Fixture, LATER, SERVICE, Store, agent, data, endpoint, flow, forwarded, opening, path,
    route_to, target_status,
};
use weirhinge_fleet::{Route, TargetState, ZoneId};
use weirhinge_steering::{Decision, ResetReason};

/// Targets 1 and 2 are in region `near`, 51 and 52 in region `far`.
fn store(allowed: &[&str]) -> Store {
    let mut store = Store::default();
    let permitted_regions = allowed.iter().map(|region| (*region).to_owned()).collect();
    store.configure(vec![Route { permitted_regions, ..route_to(endpoint(), SERVICE, 2) }]);
    for number in [1, 2, 51, 52] {
        store.target(number, SERVICE, Some(TargetState::Ready), 0);
    }
    store
}

#[test]
fn openings_stay_in_permitted_regions_under_load() {
    for (allowed, targets) in [("near", [1, 2]), ("far", [51, 52])] {
        let mut fixture = Fixture::new(&store(&[allowed]));
        for number in targets {
            fixture.balancer.note_answer(agent(number), 1_000, LATER);
        }
        for port in 0..100 {
            let chosen = forwarded(&fixture.client(&opening(flow(port)), LATER)).agent;
            assert!(targets.map(agent).contains(&chosen), "{allowed}: {chosen}");
        }
    }
}

#[test]
fn openings_are_refused_without_targets_in_permitted_regions() {
    let mut fixture = Fixture::new(&store(&["elsewhere"]));
    let refused = Decision::Reset { sequence: 0, reason: ResetReason::NoTarget };
    assert_eq!(fixture.client(&opening(flow(1)), LATER), refused);
}

#[test]
fn searches_stay_in_permitted_regions() {
    let mut fixture = Fixture::new(&store(&["near"]));
    fixture.balancer.note_target_status(agent(60), ZoneId::of("b"), &target_status(SERVICE), LATER);
    fixture.note_target_status(agent(3), LATER);
    let mut asked = path(&fixture.client(&data(flow(1)), LATER));
    asked.sort();
    assert_eq!(asked, [agent(1), agent(2), agent(3)]);
}

#[test]
fn packets_are_handed_off_only_in_permitted_regions() {
    let helper = Ipv4Addr::new(10, 0, 9, 9);
    for (allowed, is_handed) in [("near", true), ("far", false)] {
        let mut fixture = Fixture::new(&store(&[allowed]));
        let decision = fixture.client_with_helpers(&opening(flow(1)), &[helper], LATER);
        assert_eq!(matches!(decision, Decision::HandOff { .. }), is_handed, "{allowed}");
    }
}
