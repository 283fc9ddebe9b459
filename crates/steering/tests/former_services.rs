//! Flows stay at their target when their route no longer names the target's service, and searches
//! find them there.

mod support;

use std::collections::BTreeSet;
use std::net::Ipv4Addr;

use support::{
    Fixture, LATER, OTHER, SERVICE, Store, agent, data, endpoint, flow, forwarded, opening, paths,
    route_to,
};
use weirhinge_fleet::{Route, TargetState};
use weirhinge_steering::{Decision, DropReason, ResetReason};

const THIRD: &str = "charts";
const CLIENT_PORTS: std::ops::Range<u16> = 0..200;

/// Targets 1 to 4 of a service that the route always names, 11 to 14 of one that is removed from
/// it.
fn store_with_two_services() -> Store {
    let mut store = Store::with_targets(4);
    for number in 11..=14 {
        store.target(number, OTHER, Some(TargetState::Ready), 0);
    }
    store
}

/// Opens flows while the route names both services. Returns those at targets of the second one.
fn open_flows_at_other(store: &mut Store) -> Vec<(u16, Ipv4Addr)> {
    store.route(&[(SERVICE, 1), (OTHER, 1)]);
    let mut fixture = Fixture::new(store);
    let opened = CLIENT_PORTS.map(|port| (port, fixture.open(port, LATER)));
    let flows_at_other: Vec<(u16, Ipv4Addr)> =
        opened.filter(|(_, holder)| holder.octets()[3] > 10).collect();
    assert!(flows_at_other.len() > 50, "{}", flows_at_other.len());
    flows_at_other
}

/// Searches for the holder of a flow; all other targets bounce the packet. Returns the agents asked
/// and the last decision.
fn search(
    fixture: &mut Fixture,
    port: u16,
    holder: Option<Ipv4Addr>,
    now: u64,
) -> (BTreeSet<Ipv4Addr>, Decision) {
    let mut asked = BTreeSet::new();
    let mut decision = fixture.client(&data(flow(port)), now);
    while let Decision::Forward(_) = &decision {
        let asked_paths = paths(&decision);
        assert!(
            asked_paths.iter().flatten().all(|agent| asked.insert(*agent)),
            "an agent was asked twice"
        );
        if asked_paths.iter().flatten().any(|agent| holder == Some(*agent)) {
            return (asked, decision);
        }
        for path in asked_paths {
            let last = *path.last().expect("paths are not empty");
            decision = fixture.bounced(&data(flow(port)), last, now);
        }
    }
    (asked, decision)
}

fn assert_found(fixture: &mut Fixture, flows: &[(u16, Ipv4Addr)], now: u64) {
    for (port, holder) in flows {
        let (asked, end) = search(fixture, *port, Some(*holder), now);
        assert!(
            asked.contains(holder),
            "port {port}: expected {holder} among {asked:?}, then {end:?}"
        );
        fixture.balancer.note_holder(flow(*port), *holder, true, 0, now);
        assert_eq!(forwarded(&fixture.client(&data(flow(*port)), now + 1)).agent, *holder);
    }
}

#[test]
fn flows_of_removed_service_are_found_by_new_balancer() {
    let mut store = store_with_two_services();
    let flows = open_flows_at_other(&mut store);
    store.route(&[(SERVICE, 1)]);
    let mut fixture = Fixture::new(&store);
    assert_found(&mut fixture, &flows, LATER + 10);
}

#[test]
fn flows_of_removed_service_are_found_with_any_new_route_parts() {
    for parts in [&[(THIRD, 1)][..], &[(SERVICE, 1), (OTHER, 0)][..], &[][..]] {
        let mut store = store_with_two_services();
        let flows = open_flows_at_other(&mut store);
        store.route(parts);
        let mut fixture = Fixture::new(&store);
        assert_found(&mut fixture, &flows, LATER + 10);
    }
}

#[test]
fn flows_of_removed_service_are_found_at_draining_and_removed_targets() {
    for state in [Some(TargetState::Draining), None] {
        let mut store = store_with_two_services();
        let flows = open_flows_at_other(&mut store);
        store.route(&[(SERVICE, 1)]);
        for number in 11..=14 {
            store.target(number, OTHER, state, LATER + 5);
        }
        let mut fixture = Fixture::new(&store);
        assert_found(&mut fixture, &flows, LATER + 10);
    }
}

#[test]
fn flows_of_removed_service_are_found_in_evacuated_zone() {
    let mut store = store_with_two_services();
    let flows = open_flows_at_other(&mut store);
    store.route(&[(SERVICE, 1)]);
    store.evacuate(&["a"], LATER + 5);
    let mut fixture = Fixture::new(&store);
    assert_found(&mut fixture, &flows, LATER + 10);
}

#[test]
fn flows_are_found_after_service_is_added_again() {
    let mut store = store_with_two_services();
    let flows = open_flows_at_other(&mut store);
    store.route(&[(SERVICE, 1)]);
    store.route(&[(SERVICE, 1), (OTHER, 1)]);
    let mut fixture = Fixture::new(&store);
    assert_found(&mut fixture, &flows, LATER + 10);
}

#[test]
fn flows_of_removed_service_are_found_at_unrecorded_targets() {
    let mut store = Store::with_targets(4);
    store.route(&[(SERVICE, 1)]);
    let mut fixture = Fixture::new(&store);
    let zone = weirhinge_fleet::ZoneId::of("a");
    fixture.balancer.note_target_status(agent(11), zone, &support::target_status(OTHER), LATER);
    assert_found(&mut fixture, &[(1, agent(11)), (2, agent(11))], LATER + 10);
}

#[test]
fn known_flow_needs_no_search_after_route_change() {
    let mut store = store_with_two_services();
    store.route(&[(SERVICE, 1), (OTHER, 1)]);
    let mut fixture = Fixture::new(&store);
    let flows: Vec<(u16, Ipv4Addr)> =
        CLIENT_PORTS.map(|port| (port, fixture.open(port, LATER))).collect();
    store.route(&[(SERVICE, 1)]);
    fixture.view = store.view();
    for (port, holder) in flows {
        let decision = fixture.client(&data(flow(port)), LATER + 10);
        assert_eq!(paths(&decision), [vec![holder]]);
    }
}

#[test]
fn targets_of_named_services_are_asked_first() {
    let mut store = store_with_two_services();
    store.route(&[(SERVICE, 1)]);
    let mut fixture = Fixture::new(&store);
    let named: BTreeSet<Ipv4Addr> = (1..=4).map(agent).collect();
    for port in CLIENT_PORTS {
        let first = fixture.client(&data(flow(port)), LATER);
        let asked: BTreeSet<Ipv4Addr> = paths(&first).into_iter().flatten().collect();
        assert_eq!(asked, named);
    }
}

#[test]
fn flow_without_holder_is_reset_after_all_services_are_searched() {
    let mut store = store_with_two_services();
    store.route(&[(SERVICE, 1)]);
    let mut fixture = Fixture::new(&store);
    let (asked, end) = search(&mut fixture, 1, None, LATER);
    assert_eq!(asked.len(), 8);
    assert_eq!(end, Decision::Drop(DropReason::NobodyHoldsYet));
    let end = fixture.continue_search(&data(flow(1)), LATER + 25);
    assert!(matches!(end, Decision::Reset { reason: ResetReason::NobodyHolds, .. }), "{end:?}");
}

#[test]
fn unresponsive_target_of_other_service_is_asked_again() {
    let mut store = Store::with_targets(1);
    store.target(11, OTHER, Some(TargetState::Ready), 0);
    let mut fixture = Fixture::new(&store);
    fixture.balancer.note_answer(agent(11), 0, LATER - 100);
    fixture.client(&data(flow(1)), LATER);
    let next_decision = fixture.bounced(&data(flow(1)), agent(1), LATER + 1);
    assert_eq!(paths(&next_decision), [vec![agent(11)]]);
    for step in 1..=10 {
        let decision = fixture.continue_search(&data(flow(1)), LATER + 1 + step * 130);
        assert!(!matches!(decision, Decision::Reset { .. }), "step {step}: {decision:?}");
    }
    let asked = fixture.continue_search(&data(flow(1)), LATER + 1 + 11 * 130);
    let asked = if matches!(asked, Decision::Forward(_)) {
        asked
    } else {
        fixture.continue_search(&data(flow(1)), LATER + 1 + 12 * 130)
    };
    assert_eq!(paths(&asked), [vec![agent(11)]]);
}

/// Another system wrote such an entry. The search must not wait for its agent before each reset.
#[test]
fn agent_never_heard_from_does_not_delay_reset() {
    let mut store = Store::with_targets(1);
    store.target(11, OTHER, Some(TargetState::Ready), 0);
    let mut fixture = Fixture::new(&store);
    fixture.client(&data(flow(1)), LATER);
    fixture.bounced(&data(flow(1)), agent(1), LATER + 1);
    fixture.continue_search(&data(flow(1)), LATER + 121);
    let end = fixture.continue_search(&data(flow(1)), LATER + 146);
    assert!(matches!(end, Decision::Reset { reason: ResetReason::NobodyHolds, .. }), "{end:?}");
}

/// By then the address belongs to a target of a third service.
#[test]
fn new_flows_avoid_targets_of_removed_services() {
    let mut store = store_with_two_services();
    store.route(&[(SERVICE, 1), (OTHER, 1)]);
    store.route(&[(SERVICE, 1)]);
    store.target(11, OTHER, None, LATER);
    store.target_at(11, THIRD, "third-11", LATER + 1);
    let mut fixture = Fixture::new(&store);
    for port in CLIENT_PORTS {
        let chosen = forwarded(&fixture.client(&opening(flow(port)), LATER + 10)).agent;
        assert!(chosen.octets()[3] <= 4, "{chosen}");
    }
}

#[test]
fn search_of_other_services_stays_in_permitted_regions() {
    let mut store = Store::default();
    let permitted_regions = vec!["near".to_owned()];
    store.configure(vec![Route { permitted_regions, ..route_to(endpoint(), SERVICE, 2) }]);
    store.target(1, SERVICE, Some(TargetState::Ready), 0);
    store.target(11, OTHER, Some(TargetState::Ready), 0);
    store.target(51, OTHER, Some(TargetState::Ready), 0);
    let mut fixture = Fixture::new(&store);
    let (asked, _) = search(&mut fixture, 1, None, LATER);
    assert_eq!(asked, BTreeSet::from([agent(1), agent(11)]));
}

#[test]
fn flow_of_removed_route_is_reset_immediately() {
    let mut store = store_with_two_services();
    let flows = open_flows_at_other(&mut store);
    store.configure(Vec::new());
    let mut fixture = Fixture::new(&store);
    let end = fixture.client(&data(flow(flows[0].0)), LATER + 10);
    assert!(matches!(end, Decision::Reset { reason: ResetReason::NoRoute, .. }), "{end:?}");
}
