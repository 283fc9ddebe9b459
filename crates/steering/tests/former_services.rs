//! A flow stays at its target when its route no longer names the target's service.

mod support;

use std::collections::BTreeSet;
use std::net::Ipv4Addr;

use support::{
    Fixture, LATER, OTHER, SERVICE, Store, agent, data, endpoint, flow, forwarded, opening,
    route_to, rows,
};
use weirhinge_fleet::{Route, TargetState};
use weirhinge_steering::{Decision, DropReason, ResetReason};

const THIRD: &str = "charts";
const PORTS: std::ops::Range<u16> = 0..200;

/// Targets 1 to 4 of the service that a route names throughout, 11 to 14 of one that comes
/// and goes.
fn two_services() -> Store {
    let mut store = Store::with_targets(4);
    for number in 11..=14 {
        store.target(number, OTHER, Some(TargetState::Ready), 0);
    }
    store
}

/// Opens flows while the route names both services. Returns those at the second one's.
fn opened_at_other(store: &mut Store) -> Vec<(u16, Ipv4Addr)> {
    store.route(&[(SERVICE, 1), (OTHER, 1)]);
    let mut fixture = Fixture::new(store);
    let opened = PORTS.map(|port| (port, fixture.open(port, LATER)));
    let at_other: Vec<(u16, Ipv4Addr)> =
        opened.filter(|(_, holder)| holder.octets()[3] > 10).collect();
    assert!(at_other.len() > 50, "{}", at_other.len());
    at_other
}

/// Follows a flow's packet through all rows, and lets all but the holder send it back.
/// Returns the agents asked and the last decision.
fn search(
    fixture: &mut Fixture,
    port: u16,
    holder: Option<Ipv4Addr>,
    now: u64,
) -> (BTreeSet<Ipv4Addr>, Decision) {
    let mut asked = BTreeSet::new();
    let mut decision = fixture.client(&data(flow(port)), now);
    while let Decision::Forward(_) = &decision {
        let row_list = rows(&decision);
        assert!(row_list.iter().flatten().all(|agent| asked.insert(*agent)), "asked twice");
        if row_list.iter().flatten().any(|agent| holder == Some(*agent)) {
            return (asked, decision);
        }
        for row in row_list {
            let last = *row.last().expect("no row is empty");
            decision = fixture.bounced(&data(flow(port)), last, now);
        }
    }
    (asked, decision)
}

fn assert_found(fixture: &mut Fixture, flows: &[(u16, Ipv4Addr)], now: u64) {
    for (port, holder) in flows {
        let (asked, end) = search(fixture, *port, Some(*holder), now);
        assert!(asked.contains(holder), "{port}: {holder} among {asked:?}, then {end:?}");
        fixture.balancer.note_holder(flow(*port), *holder, true, 0, now);
        assert_eq!(forwarded(&fixture.client(&data(flow(*port)), now + 1)).agent, *holder);
    }
}

#[test]
fn a_balancer_that_comes_later_finds_flows_of_a_service_that_left_the_route() {
    let mut store = two_services();
    let flows = opened_at_other(&mut store);
    store.route(&[(SERVICE, 1)]);
    let mut fixture = Fixture::new(&store);
    assert_found(&mut fixture, &flows, LATER + 10);
}

#[test]
fn it_finds_them_whatever_takes_the_place_of_the_service() {
    for parts in [&[(THIRD, 1)][..], &[(SERVICE, 1), (OTHER, 0)][..], &[][..]] {
        let mut store = two_services();
        let flows = opened_at_other(&mut store);
        store.route(parts);
        let mut fixture = Fixture::new(&store);
        assert_found(&mut fixture, &flows, LATER + 10);
    }
}

#[test]
fn it_finds_them_at_targets_that_leave_or_have_left_the_store() {
    for state in [Some(TargetState::Draining), None] {
        let mut store = two_services();
        let flows = opened_at_other(&mut store);
        store.route(&[(SERVICE, 1)]);
        for number in 11..=14 {
            store.target(number, OTHER, state, LATER + 5);
        }
        let mut fixture = Fixture::new(&store);
        assert_found(&mut fixture, &flows, LATER + 10);
    }
}

#[test]
fn it_finds_them_in_an_evacuated_zone() {
    let mut store = two_services();
    let flows = opened_at_other(&mut store);
    store.route(&[(SERVICE, 1)]);
    store.evacuate(&["a"], LATER + 5);
    let mut fixture = Fixture::new(&store);
    assert_found(&mut fixture, &flows, LATER + 10);
}

#[test]
fn it_finds_them_after_the_service_returned() {
    let mut store = two_services();
    let flows = opened_at_other(&mut store);
    store.route(&[(SERVICE, 1)]);
    store.route(&[(SERVICE, 1), (OTHER, 1)]);
    let mut fixture = Fixture::new(&store);
    assert_found(&mut fixture, &flows, LATER + 10);
}

#[test]
fn it_finds_them_at_targets_that_only_their_agents_speak_of() {
    let mut store = Store::with_targets(4);
    store.route(&[(SERVICE, 1)]);
    let mut fixture = Fixture::new(&store);
    let zone = weirhinge_fleet::ZoneId::of("a");
    fixture.balancer.claimed(agent(11), zone, &support::claim(OTHER), LATER);
    assert_found(&mut fixture, &[(1, agent(11)), (2, agent(11))], LATER + 10);
}

#[test]
fn a_balancer_that_knows_a_flow_goes_on_without_a_search() {
    let mut store = two_services();
    store.route(&[(SERVICE, 1), (OTHER, 1)]);
    let mut fixture = Fixture::new(&store);
    let flows: Vec<(u16, Ipv4Addr)> = PORTS.map(|port| (port, fixture.open(port, LATER))).collect();
    store.route(&[(SERVICE, 1)]);
    fixture.view = store.view();
    for (port, holder) in flows {
        let decision = fixture.client(&data(flow(port)), LATER + 10);
        assert_eq!(rows(&decision), [vec![holder]]);
    }
}

#[test]
fn targets_of_services_that_the_route_names_are_asked_before_all_others() {
    let mut store = two_services();
    store.route(&[(SERVICE, 1)]);
    let mut fixture = Fixture::new(&store);
    let named: BTreeSet<Ipv4Addr> = (1..=4).map(agent).collect();
    for port in PORTS {
        let first = fixture.client(&data(flow(port)), LATER);
        let asked: BTreeSet<Ipv4Addr> = rows(&first).into_iter().flatten().collect();
        assert_eq!(asked, named);
    }
}

#[test]
fn a_flow_that_nobody_holds_is_reset_after_the_further_targets_sent_it_back_too() {
    let mut store = two_services();
    store.route(&[(SERVICE, 1)]);
    let mut fixture = Fixture::new(&store);
    let (asked, end) = search(&mut fixture, 1, None, LATER);
    assert_eq!(asked.len(), 8);
    assert_eq!(end, Decision::Drop(DropReason::NobodyHoldsYet));
    let end = fixture.continue_search(&data(flow(1)), LATER + 25);
    assert!(matches!(end, Decision::Reset { reason: ResetReason::NobodyHolds, .. }), "{end:?}");
}

#[test]
fn a_further_target_that_does_not_answer_is_asked_again_before_the_flow_is_given_up() {
    let mut store = Store::with_targets(1);
    store.target(11, OTHER, Some(TargetState::Ready), 0);
    let mut fixture = Fixture::new(&store);
    fixture.balancer.heard(agent(11), 0, LATER - 100);
    fixture.client(&data(flow(1)), LATER);
    let further = fixture.bounced(&data(flow(1)), agent(1), LATER + 1);
    assert_eq!(rows(&further), [vec![agent(11)]]);
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
    assert_eq!(rows(&asked), [vec![agent(11)]]);
}

/// Such an entry is of another writer; without this each lost flow would wait for it.
#[test]
fn an_entry_whose_agent_nobody_ever_heard_does_not_hold_up_the_reset() {
    let mut store = Store::with_targets(1);
    store.target(11, OTHER, Some(TargetState::Ready), 0);
    let mut fixture = Fixture::new(&store);
    fixture.client(&data(flow(1)), LATER);
    fixture.bounced(&data(flow(1)), agent(1), LATER + 1);
    fixture.continue_search(&data(flow(1)), LATER + 121);
    let end = fixture.continue_search(&data(flow(1)), LATER + 146);
    assert!(matches!(end, Decision::Reset { reason: ResetReason::NobodyHolds, .. }), "{end:?}");
}

/// The address belongs to a target of a third service by then.
#[test]
fn new_flows_of_the_route_stay_away_from_targets_of_other_services() {
    let mut store = two_services();
    store.route(&[(SERVICE, 1), (OTHER, 1)]);
    store.route(&[(SERVICE, 1)]);
    store.target(11, OTHER, None, LATER);
    store.target_at(11, THIRD, "third-11", LATER + 1);
    let mut fixture = Fixture::new(&store);
    for port in PORTS {
        let chosen = forwarded(&fixture.client(&opening(flow(port)), LATER + 10)).agent;
        assert!(chosen.octets()[3] <= 4, "{chosen}");
    }
}

#[test]
fn further_targets_are_asked_in_the_permitted_regions_only() {
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
fn a_flow_of_a_dropped_route_is_reset_at_once() {
    let mut store = two_services();
    let flows = opened_at_other(&mut store);
    store.configure(Vec::new());
    let mut fixture = Fixture::new(&store);
    let end = fixture.client(&data(flow(flows[0].0)), LATER + 10);
    assert!(matches!(end, Decision::Reset { reason: ResetReason::NoRoute, .. }), "{end:?}");
}
