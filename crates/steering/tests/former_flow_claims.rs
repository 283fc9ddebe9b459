//! Agents say whether their targets may hold flows of routes that do not name their service,
//! and balancers search for unknown flows at those that may alone.

mod support;

use std::collections::BTreeSet;
use std::net::{Ipv4Addr, SocketAddrV4};

use support::beside::{answer, arrival, deliver, new_agent, output};
use support::{
    Fixture, LATER, OTHER, SERVICE, Store, agent, claim, data, endpoint, fleet_agent, flow,
    opening, paths,
};
use weirhinge_fleet::{Route, RoutePart, TargetClaim, TargetState, ZoneId};
use weirhinge_steering::{
    Agent, Arrival, Decision, DeliveryDecision, Flags, FleetView, OutputDecision, PacketHeader,
};

/// Longer than balancers may lag behind a change of routes.
const SPREAD_MS: u64 = 3_000;

fn version(view: &FleetView) -> Option<u64> {
    view.label().map(|label| label.version)
}

fn reset() -> PacketHeader {
    output(flow(1), Flags { rst: true, ..Flags::default() }, 0)
}

/// An agent long after its start, whose service a route names, and the store.
fn settled_agent() -> (Agent, Store) {
    let mut store = Store::default();
    store.route(&[(SERVICE, 1)]);
    let mut agent = new_agent();
    agent.learn_routes(&store.view(), 0);
    (agent, store)
}

/// The service leaves its route at this time.
fn leave_route(agent: &mut Agent, store: &mut Store, now: u64) {
    store.route(&[(OTHER, 1)]);
    agent.learn_routes(&store.view(), now);
}

#[test]
fn an_agent_cannot_know_before_a_resting_flow_may_be_forgotten() {
    let (agent, store) = settled_agent();
    assert_eq!(agent.without_former_flows(14_999), None);
    assert_eq!(agent.without_former_flows(15_000), version(&store.view()));
    assert_eq!(new_agent().without_former_flows(LATER), None, "no configuration is known");
}

#[test]
fn flows_of_routes_that_name_the_service_are_no_former_ones() {
    let (mut agent, store) = settled_agent();
    deliver(&mut agent, &opening(flow(1)), LATER);
    assert_eq!(agent.without_former_flows(LATER + 1), version(&store.view()));
}

#[test]
fn a_flow_counts_until_it_ends_once_its_route_names_the_service_no_more() {
    let (mut agent, mut store) = settled_agent();
    deliver(&mut agent, &opening(flow(1)), LATER);
    leave_route(&mut agent, &mut store, LATER + 10);
    let settled = LATER + 10 + SPREAD_MS;
    assert_eq!(agent.without_former_flows(settled), None);
    agent.output(&reset(), settled + 1);
    assert_eq!(agent.without_former_flows(settled + 2), version(&store.view()));
}

#[test]
fn it_counts_no_longer_when_the_service_returns() {
    let (mut agent, mut store) = settled_agent();
    deliver(&mut agent, &opening(flow(1)), LATER);
    leave_route(&mut agent, &mut store, LATER + 10);
    store.route(&[(OTHER, 1), (SERVICE, 1)]);
    agent.learn_routes(&store.view(), LATER + 20);
    assert_eq!(agent.without_former_flows(LATER + 20 + SPREAD_MS), version(&store.view()));
}

#[test]
fn balancers_may_open_flows_of_a_route_for_a_while_after_the_service_left_it() {
    let (mut agent, mut store) = settled_agent();
    leave_route(&mut agent, &mut store, LATER);
    assert_eq!(agent.without_former_flows(LATER + SPREAD_MS - 1), None);
    assert!(agent.without_former_flows(LATER + SPREAD_MS).is_some());
    // One that is cut off may do so later.
    deliver(&mut agent, &opening(flow(1)), LATER + SPREAD_MS);
    assert_eq!(agent.without_former_flows(LATER + SPREAD_MS + 1), None);
}

#[test]
fn a_service_may_have_come_and_gone_in_a_version_that_the_agent_did_not_get() {
    let (mut agent, mut store) = settled_agent();
    store.route(&[(SERVICE, 1), (OTHER, 1)]);
    store.route(&[(SERVICE, 1)]);
    agent.learn_routes(&store.view(), LATER);
    assert_eq!(agent.without_former_flows(LATER + SPREAD_MS - 1), None);
}

#[test]
fn changes_of_other_services_leave_no_former_flows() {
    let (mut agent, mut store) = settled_agent();
    store.route(&[(SERVICE, 1), (OTHER, 1)]);
    agent.learn_routes(&store.view(), LATER);
    store.route(&[(SERVICE, 0)]);
    agent.learn_routes(&store.view(), LATER + 1);
    assert_eq!(agent.without_former_flows(LATER + 2), version(&store.view()));
}

#[test]
fn a_searching_packet_shows_no_flow_until_the_target_answers() {
    let (mut agent, mut store) = settled_agent();
    leave_route(&mut agent, &mut store, LATER);
    let now = LATER + SPREAD_MS;
    let header = data(flow(1));
    let searching = Arrival { search: Some(&[]), ..arrival(&header) };
    assert!(matches!(agent.delivery(&searching, now), DeliveryDecision::Deliver { .. }));
    assert!(agent.without_former_flows(now + 1).is_some());
    assert!(matches!(agent.output(&answer(flow(1)), now + 2), OutputDecision::ToClient { .. }));
    assert_eq!(agent.without_former_flows(now + 3), None);
}

#[test]
fn flows_of_a_target_that_started_again_count_until_they_may_be_forgotten() {
    let (mut agent, mut store) = settled_agent();
    deliver(&mut agent, &opening(flow(1)), LATER);
    agent.target_restarted();
    leave_route(&mut agent, &mut store, LATER + 10);
    assert_eq!(agent.without_former_flows(LATER + 59_999), None);
    agent.learn_routes(&store.view(), LATER + 60_000);
    assert!(agent.without_former_flows(LATER + 60_000).is_some());
}

#[test]
fn a_resting_flow_is_followed_for_as_long_as_it_may_rest() {
    let mut store = Store::default();
    store.idle_timeout_ms = Some(300_000);
    store.route(&[(SERVICE, 1)]);
    let mut agent = new_agent();
    agent.learn_routes(&store.view(), 0);
    deliver(&mut agent, &opening(flow(1)), 400_000);
    leave_route(&mut agent, &mut store, 400_010);
    agent.expire(699_999);
    assert_eq!(agent.without_former_flows(699_999), None);
    agent.expire(700_000);
    assert!(agent.without_former_flows(700_000).is_some());
}

/// One target of the route's service and one of another, and a balancer that knows the
/// routes.
fn one_of_each() -> (Fixture, Store) {
    let mut store = Store::with_targets(1);
    store.target(11, OTHER, Some(TargetState::Ready), 0);
    store.route(&[(SERVICE, 1)]);
    let mut fixture = Fixture::new(&store);
    fixture.balancer.expire(&fixture.view, LATER);
    (fixture, store)
}

fn say(fixture: &mut Fixture, agent: Ipv4Addr, without: Option<u64>, now: u64) {
    let claim = TargetClaim { without_former_flows: without, ..claim(OTHER) };
    fixture.balancer.note_target_status(agent, ZoneId::of("a"), &claim, now);
}

/// Whether a lost flow's search asks the target of the other service.
fn asks_other(fixture: &mut Fixture, now: u64) -> bool {
    let (asked, _) = fixture.bounce_until_search_ends(&data(flow(1)), now);
    asked.contains(&agent(11))
}

fn change(fixture: &mut Fixture, store: &mut Store, parts: &[(&str, u32)]) {
    store.route(parts);
    fixture.view = store.view();
    fixture.balancer.expire(&fixture.view, LATER);
}

#[test]
fn a_target_without_former_flows_is_not_asked() {
    let (mut fixture, store) = one_of_each();
    say(&mut fixture, agent(11), version(&store.view()), LATER);
    assert!(!asks_other(&mut fixture, LATER + 1));
}

#[test]
fn a_target_that_may_hold_some_is_asked_whatever_was_said_before() {
    let (mut fixture, store) = one_of_each();
    say(&mut fixture, agent(11), version(&store.view()), LATER);
    say(&mut fixture, agent(11), None, LATER + 1);
    assert!(asks_other(&mut fixture, LATER + 2));
}

#[test]
fn a_word_of_long_ago_does_not_count() {
    let (mut fixture, store) = one_of_each();
    say(&mut fixture, agent(11), version(&store.view()), LATER);
    assert!(asks_other(&mut fixture, LATER + 60_000));
}

#[test]
fn a_word_of_before_the_service_left_a_route_does_not_count() {
    let (mut fixture, mut store) = one_of_each();
    change(&mut fixture, &mut store, &[(SERVICE, 1), (OTHER, 1)]);
    let named = version(&fixture.view);
    say(&mut fixture, agent(11), named, LATER);
    change(&mut fixture, &mut store, &[(SERVICE, 1)]);
    assert!(asks_other(&mut fixture, LATER + 1));
    let named = version(&fixture.view);
    say(&mut fixture, agent(11), named, LATER + 100);
    assert!(!asks_other(&mut fixture, LATER + 101));
}

#[test]
fn a_word_counts_across_changes_in_which_its_service_left_no_route() {
    let (mut fixture, mut store) = one_of_each();
    let named = version(&fixture.view);
    say(&mut fixture, agent(11), named, LATER);
    change(&mut fixture, &mut store, &[(SERVICE, 2)]);
    change(&mut fixture, &mut store, &[("charts", 1), (SERVICE, 2)]);
    change(&mut fixture, &mut store, &[(SERVICE, 2)]);
    assert!(!asks_other(&mut fixture, LATER + 1));
}

#[test]
fn a_word_of_before_versions_that_this_balancer_did_not_get_does_not_count() {
    let (mut fixture, mut store) = one_of_each();
    let named = version(&fixture.view);
    say(&mut fixture, agent(11), named, LATER);
    store.route(&[(SERVICE, 1), (OTHER, 1)]);
    change(&mut fixture, &mut store, &[(SERVICE, 1)]);
    assert!(asks_other(&mut fixture, LATER + 1));
}

#[test]
fn a_balancer_that_starts_takes_no_word_of_before_the_version_that_it_finds() {
    let (mut fixture, store) = one_of_each();
    let found = version(&store.view()).expect("a configuration");
    say(&mut fixture, agent(11), Some(found - 1), LATER);
    assert!(asks_other(&mut fixture, LATER + 1));
}

const TARGETS: u32 = 7_200;
const ADDRESSES: u32 = 3_100;
const SERVICES: u32 = 310;

fn service_at_size(number: u32) -> String {
    format!("service-{}", number % SERVICES)
}

/// 7,200 targets of 310 services before 3,100 addresses.
fn fleet_at_size() -> Store {
    let mut store = Store::default();
    let per_service = TARGETS.div_ceil(SERVICES);
    for service in 0..SERVICES {
        let end = ((service + 1) * per_service).min(TARGETS);
        store.many_targets(&service_at_size(service), (service * per_service).min(end)..end);
    }
    let route = |number: u32| Route {
        address: endpoint().ip().to_bits() + number,
        port: endpoint().port(),
        parts: vec![RoutePart { service: service_at_size(number), weight: 1 }],
        priority: 2,
        ..Route::default()
    };
    store.configure((0..ADDRESSES).map(route).collect());
    store
}

/// Lets all targets send a lost flow's packet back. Returns the agents asked, and the packets
/// and waves that the balancer sent.
fn search_in_vain(fixture: &mut Fixture) -> (BTreeSet<Ipv4Addr>, usize, usize) {
    let header = data(flow(1));
    let (mut asked, mut packets, mut waves) = (BTreeSet::new(), 0, 0);
    let mut decision = fixture.client(&header, LATER);
    while let Decision::Forward(_) = &decision {
        let row_list = paths(&decision);
        packets += row_list.len();
        waves += 1;
        assert!(row_list.iter().flatten().all(|agent| asked.insert(*agent)), "asked twice");
        for row in row_list {
            let last = *row.last().expect("no row is empty");
            decision = fixture.bounced(&header, last, LATER + 1);
        }
    }
    (asked, packets, waves)
}

#[test]
fn at_size_a_lost_flow_is_searched_for_at_all_targets_only_while_nothing_is_known_of_them() {
    let store = fleet_at_size();
    let named = version(&store.view());
    let mut fixture = Fixture::new(&store);
    let (asked, packets, waves) = search_in_vain(&mut fixture);
    println!("nothing known: {} targets, {packets} packets, {waves} waves", asked.len());
    assert_eq!(asked.len(), TARGETS as usize);

    let mut fixture = Fixture::new(&store);
    for number in 0..TARGETS {
        say(&mut fixture, fleet_agent(number), named, LATER);
    }
    let (asked, packets, waves) = search_in_vain(&mut fixture);
    println!("all said: {} targets, {packets} packets, {waves} waves", asked.len());
    let of_route = TARGETS.div_ceil(SERVICES) as usize;
    assert_eq!(asked.len(), of_route, "those of the route's service");

    let mut fixture = Fixture::new(&store);
    let holder = fleet_agent(TARGETS - 1);
    for number in 0..TARGETS - 1 {
        say(&mut fixture, fleet_agent(number), named, LATER);
    }
    let (asked, ..) = search_in_vain(&mut fixture);
    assert!(asked.contains(&holder));
    assert_eq!(asked.len(), of_route + 1);
}

#[test]
fn at_size_flows_of_each_address_are_found_at_their_former_service() {
    let store = fleet_at_size();
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
