//! Agents report whether their targets may hold flows of routes that no longer name their service,
//! and balancers search for unknown flows only at those that may.

mod support;

use std::collections::BTreeSet;
use std::net::{Ipv4Addr, SocketAddrV4};

use support::agent_fixture::{answer, arrival, deliver, new_agent, output};
use support::{
    Fixture, LATER, OTHER, SERVICE, Store, agent, data, endpoint, fleet_agent, flow, opening,
    paths, target_status,
};
use weirhinge_fleet::{Route, RoutePart, TargetState, TargetStatus, ZoneId};
use weirhinge_steering::{
    Agent, Arrival, Decision, DeliveryDecision, Flags, FleetView, OutputDecision, PacketHeader,
};

/// Longest lag of balancers behind a route change.
const PROPAGATION_MS: u64 = 3_000;

fn version(view: &FleetView) -> Option<u64> {
    view.label().map(|label| label.version)
}

fn reset() -> PacketHeader {
    output(flow(1), Flags { rst: true, ..Flags::default() }, 0)
}

/// An agent whose service is named by a route, with the store. At `LATER` it has run long enough to
/// know that its target holds no earlier flow.
fn agent_with_route() -> (Agent, Store) {
    let mut store = Store::default();
    store.route(&[(SERVICE, 1)]);
    let mut agent = new_agent();
    agent.update_routes(&store.view(), 0);
    (agent, store)
}

/// Removes the service from its route.
fn remove_from_route(agent: &mut Agent, store: &mut Store, now: u64) {
    store.route(&[(OTHER, 1)]);
    agent.update_routes(&store.view(), now);
}

#[test]
fn nothing_is_reported_before_first_idle_timeout() {
    let (agent, store) = agent_with_route();
    assert_eq!(agent.without_former_flows(14_999), None);
    assert_eq!(agent.without_former_flows(15_000), version(&store.view()));
    assert_eq!(new_agent().without_former_flows(LATER), None, "no configuration was received");
}

#[test]
fn flow_of_current_route_is_not_former() {
    let (mut agent, store) = agent_with_route();
    deliver(&mut agent, &opening(flow(1)), LATER);
    assert_eq!(agent.without_former_flows(LATER + 1), version(&store.view()));
}

#[test]
fn former_flow_counts_until_it_ends() {
    let (mut agent, mut store) = agent_with_route();
    deliver(&mut agent, &opening(flow(1)), LATER);
    remove_from_route(&mut agent, &mut store, LATER + 10);
    let settled = LATER + 10 + PROPAGATION_MS;
    assert_eq!(agent.without_former_flows(settled), None);
    agent.output(&reset(), settled + 1);
    assert_eq!(agent.without_former_flows(settled + 2), version(&store.view()));
}

#[test]
fn flow_is_not_former_when_its_service_returns_to_the_route() {
    let (mut agent, mut store) = agent_with_route();
    deliver(&mut agent, &opening(flow(1)), LATER);
    remove_from_route(&mut agent, &mut store, LATER + 10);
    store.route(&[(OTHER, 1), (SERVICE, 1)]);
    agent.update_routes(&store.view(), LATER + 20);
    assert_eq!(agent.without_former_flows(LATER + 20 + PROPAGATION_MS), version(&store.view()));
}

#[test]
fn route_change_is_assumed_to_propagate_for_three_seconds() {
    let (mut agent, mut store) = agent_with_route();
    remove_from_route(&mut agent, &mut store, LATER);
    assert_eq!(agent.without_former_flows(LATER + PROPAGATION_MS - 1), None);
    assert!(agent.without_former_flows(LATER + PROPAGATION_MS).is_some());
    // A balancer that is cut off may do so later.
    deliver(&mut agent, &opening(flow(1)), LATER + PROPAGATION_MS);
    assert_eq!(agent.without_former_flows(LATER + PROPAGATION_MS + 1), None);
}

#[test]
fn skipped_configuration_version_may_have_named_the_service() {
    let (mut agent, mut store) = agent_with_route();
    store.route(&[(SERVICE, 1), (OTHER, 1)]);
    store.route(&[(SERVICE, 1)]);
    agent.update_routes(&store.view(), LATER);
    assert_eq!(agent.without_former_flows(LATER + PROPAGATION_MS - 1), None);
}

#[test]
fn route_changes_of_other_services_are_ignored() {
    let (mut agent, mut store) = agent_with_route();
    store.route(&[(SERVICE, 1), (OTHER, 1)]);
    agent.update_routes(&store.view(), LATER);
    store.route(&[(SERVICE, 0)]);
    agent.update_routes(&store.view(), LATER + 1);
    assert_eq!(agent.without_former_flows(LATER + 2), version(&store.view()));
}

#[test]
fn search_packet_does_not_count_until_target_answers() {
    let (mut agent, mut store) = agent_with_route();
    remove_from_route(&mut agent, &mut store, LATER);
    let now = LATER + PROPAGATION_MS;
    let header = data(flow(1));
    let searching = Arrival { search: Some(&[]), ..arrival(&header) };
    assert!(matches!(agent.delivery(&searching, now), DeliveryDecision::Deliver { .. }));
    assert!(agent.without_former_flows(now + 1).is_some());
    assert!(matches!(agent.output(&answer(flow(1)), now + 2), OutputDecision::ToClient { .. }));
    assert_eq!(agent.without_former_flows(now + 3), None);
}

#[test]
fn flows_before_restart_count_until_idle_timeout() {
    let (mut agent, mut store) = agent_with_route();
    deliver(&mut agent, &opening(flow(1)), LATER);
    agent.target_restarted();
    remove_from_route(&mut agent, &mut store, LATER + 10);
    assert_eq!(agent.without_former_flows(LATER + 59_999), None);
    agent.update_routes(&store.view(), LATER + 60_000);
    assert!(agent.without_former_flows(LATER + 60_000).is_some());
}

#[test]
fn idle_flow_is_tracked_until_idle_timeout() {
    let mut store = Store::default();
    store.idle_timeout_ms = Some(300_000);
    store.route(&[(SERVICE, 1)]);
    let mut agent = new_agent();
    agent.update_routes(&store.view(), 0);
    deliver(&mut agent, &opening(flow(1)), 400_000);
    remove_from_route(&mut agent, &mut store, 400_010);
    agent.expire(699_999);
    assert_eq!(agent.without_former_flows(699_999), None);
    agent.expire(700_000);
    assert!(agent.without_former_flows(700_000).is_some());
}

/// One target of the route's service and one of another service, and a balancer that knows the
/// routes.
fn targets_of_two_services() -> (Fixture, Store) {
    let mut store = Store::with_targets(1);
    store.target(11, OTHER, Some(TargetState::Ready), 0);
    store.route(&[(SERVICE, 1)]);
    let mut fixture = Fixture::new(&store);
    fixture.balancer.expire(&fixture.view, LATER);
    (fixture, store)
}

fn report(fixture: &mut Fixture, agent: Ipv4Addr, without: Option<u64>, now: u64) {
    let target_status = TargetStatus { without_former_flows: without, ..target_status(OTHER) };
    fixture.balancer.note_target_status(agent, ZoneId::of("a"), &target_status, now);
}

/// Whether the search for a lost flow includes the target of the other service.
fn searches_other(fixture: &mut Fixture, now: u64) -> bool {
    let (searched, _) = fixture.bounce_until_search_ends(&data(flow(1)), now);
    searched.contains(&agent(11))
}

fn change_route(fixture: &mut Fixture, store: &mut Store, parts: &[(&str, u32)]) {
    store.route(parts);
    fixture.view = store.view();
    fixture.balancer.expire(&fixture.view, LATER);
}

#[test]
fn target_without_former_flows_is_not_searched() {
    let (mut fixture, store) = targets_of_two_services();
    report(&mut fixture, agent(11), version(&store.view()), LATER);
    assert!(!searches_other(&mut fixture, LATER + 1));
}

#[test]
fn newer_report_of_former_flows_overrides_older_one() {
    let (mut fixture, store) = targets_of_two_services();
    report(&mut fixture, agent(11), version(&store.view()), LATER);
    report(&mut fixture, agent(11), None, LATER + 1);
    assert!(searches_other(&mut fixture, LATER + 2));
}

#[test]
fn report_expires() {
    let (mut fixture, store) = targets_of_two_services();
    report(&mut fixture, agent(11), version(&store.view()), LATER);
    assert!(searches_other(&mut fixture, LATER + 60_000));
}

#[test]
fn report_before_route_removal_is_ignored() {
    let (mut fixture, mut store) = targets_of_two_services();
    change_route(&mut fixture, &mut store, &[(SERVICE, 1), (OTHER, 1)]);
    let named = version(&fixture.view);
    report(&mut fixture, agent(11), named, LATER);
    change_route(&mut fixture, &mut store, &[(SERVICE, 1)]);
    assert!(searches_other(&mut fixture, LATER + 1));
    let named = version(&fixture.view);
    report(&mut fixture, agent(11), named, LATER + 100);
    assert!(!searches_other(&mut fixture, LATER + 101));
}

#[test]
fn report_stays_valid_across_unrelated_route_changes() {
    let (mut fixture, mut store) = targets_of_two_services();
    let named = version(&fixture.view);
    report(&mut fixture, agent(11), named, LATER);
    change_route(&mut fixture, &mut store, &[(SERVICE, 2)]);
    change_route(&mut fixture, &mut store, &[("charts", 1), (SERVICE, 2)]);
    change_route(&mut fixture, &mut store, &[(SERVICE, 2)]);
    assert!(!searches_other(&mut fixture, LATER + 1));
}

#[test]
fn report_before_skipped_versions_is_ignored() {
    let (mut fixture, mut store) = targets_of_two_services();
    let named = version(&fixture.view);
    report(&mut fixture, agent(11), named, LATER);
    store.route(&[(SERVICE, 1), (OTHER, 1)]);
    change_route(&mut fixture, &mut store, &[(SERVICE, 1)]);
    assert!(searches_other(&mut fixture, LATER + 1));
}

#[test]
fn new_balancer_ignores_reports_of_earlier_versions() {
    let (mut fixture, store) = targets_of_two_services();
    let found = version(&store.view()).expect("a configuration");
    report(&mut fixture, agent(11), Some(found - 1), LATER);
    assert!(searches_other(&mut fixture, LATER + 1));
}

const TARGETS: u32 = 7_200;
const ADDRESSES: u32 = 3_100;
const SERVICES: u32 = 310;

fn service_name(number: u32) -> String {
    format!("service-{}", number % SERVICES)
}

/// 7,200 targets of 310 services behind 3,100 addresses.
fn large_fleet() -> Store {
    let mut store = Store::default();
    let per_service = TARGETS.div_ceil(SERVICES);
    for service in 0..SERVICES {
        let end = ((service + 1) * per_service).min(TARGETS);
        store.many_targets(&service_name(service), (service * per_service).min(end)..end);
    }
    let route = |number: u32| Route {
        address: endpoint().ip().to_bits() + number,
        port: endpoint().port(),
        parts: vec![RoutePart { service: service_name(number), weight: 1 }],
        priority: 2,
        ..Route::default()
    };
    store.configure((0..ADDRESSES).map(route).collect());
    store
}

/// Lets all targets return a lost flow's packet. Returns the agents searched, and the packets and
/// waves that the balancer sent.
fn run_unsuccessful_search(fixture: &mut Fixture) -> (BTreeSet<Ipv4Addr>, usize, usize) {
    let header = data(flow(1));
    let (mut searched, mut packets, mut waves) = (BTreeSet::new(), 0, 0);
    let mut decision = fixture.client(&header, LATER);
    while let Decision::Forward(_) = &decision {
        let row_list = paths(&decision);
        packets += row_list.len();
        waves += 1;
        assert!(row_list.iter().flatten().all(|agent| searched.insert(*agent)), "searched twice");
        for row in row_list {
            let last = *row.last().expect("no row is empty");
            decision = fixture.bounced(&header, last, LATER + 1);
        }
    }
    (searched, packets, waves)
}

#[test]
fn large_fleet_is_searched_fully_only_without_reports() {
    let store = large_fleet();
    let named = version(&store.view());
    let mut fixture = Fixture::new(&store);
    let (searched, packets, waves) = run_unsuccessful_search(&mut fixture);
    println!("without reports: {} targets, {packets} packets, {waves} waves", searched.len());
    assert_eq!(searched.len(), TARGETS as usize);

    let mut fixture = Fixture::new(&store);
    for number in 0..TARGETS {
        report(&mut fixture, fleet_agent(number), named, LATER);
    }
    let (searched, packets, waves) = run_unsuccessful_search(&mut fixture);
    println!("all reported: {} targets, {packets} packets, {waves} waves", searched.len());
    let of_route = TARGETS.div_ceil(SERVICES) as usize;
    assert_eq!(searched.len(), of_route, "only targets of the route's service");

    let mut fixture = Fixture::new(&store);
    let holder = fleet_agent(TARGETS - 1);
    for number in 0..TARGETS - 1 {
        report(&mut fixture, fleet_agent(number), named, LATER);
    }
    let (searched, ..) = run_unsuccessful_search(&mut fixture);
    assert!(searched.contains(&holder));
    assert_eq!(searched.len(), of_route + 1);
}

#[test]
fn former_flows_of_any_address_are_found_in_large_fleet() {
    let store = large_fleet();
    let holder = fleet_agent(TARGETS - 1);
    for number in [0, 1, ADDRESSES / 2] {
        let mut fixture = Fixture::new(&store);
        let service = SocketAddrV4::new(
            Ipv4Addr::from_bits(endpoint().ip().to_bits() + number),
            endpoint().port(),
        );
        let key = weirhinge_steering::FlowKey { service, ..flow(9) };
        let header = data(key);
        let mut decision = fixture.client(&header, LATER);
        while !paths(&decision).concat().contains(&holder) {
            for row in paths(&decision) {
                decision =
                    fixture.bounced(&header, *row.last().expect("no row is empty"), LATER + 1);
            }
        }
    }
}
