//! Targets of an evacuated zone get no new flows and keep their open ones.

mod support;

use std::net::Ipv4Addr;

use support::{
    Fixture, LATER, SERVICE, Store, agent, data, flow, forwarded, opening, target_status,
};
use weirhinge_fleet::{ReturnReason, ServiceId, TargetState, ZoneId};
use weirhinge_steering::{Agent, Arrival, Decision, DeliveryDecision, ResetReason, WaitOutcome};

/// Targets 1 and 2 are in zone `a`, 51 and 52 in zone `b`.
fn store() -> Store {
    let mut store = Store::with_targets(2);
    for number in [51, 52] {
        store.target(number, SERVICE, Some(TargetState::Ready), 0);
    }
    store
}

fn fixture(store: &Store) -> Fixture {
    let mut fixture = Fixture::new(store);
    fixture.view = store.view_in_zone("a");
    fixture
}

fn evacuated() -> Decision {
    Decision::Reset { sequence: 0, reason: ResetReason::Evacuated }
}

#[test]
fn evacuated_zone_gets_no_new_flows_until_it_returns() {
    let mut store = store();
    store.evacuate(&["a"], LATER);
    let mut fixture = fixture(&store);
    for port in 0..200 {
        let chosen = forwarded(&fixture.client(&opening(flow(port)), LATER)).agent;
        assert!([agent(51), agent(52)].contains(&chosen), "{chosen}");
    }
    store.evacuate(&[], LATER + 1_000);
    fixture.view = store.view_in_zone("a");
    let mut choose = |port| forwarded(&fixture.client(&opening(flow(port)), LATER + 5_000)).agent;
    let chosen: Vec<Ipv4Addr> = (500..700).map(&mut choose).collect();
    assert!(chosen.contains(&agent(1)) && chosen.contains(&agent(2)));
}

/// The refusal does not wait for fresh store data.
#[test]
fn openings_are_refused_when_all_zones_are_evacuated() {
    let mut store = store();
    store.evacuate(&["a", "b"], LATER);
    for fresh in [true, false] {
        let mut fixture = Fixture { fresh, ..fixture(&store) };
        assert_eq!(fixture.client(&opening(flow(1)), LATER), evacuated());
    }
}

#[test]
fn evacuated_targets_known_only_from_reports_get_no_flows() {
    let mut store = Store::default();
    store.route(&[(SERVICE, 1)]);
    store.evacuate(&["a"], LATER);
    let mut fixture = Fixture { fresh: false, ..fixture(&store) };
    fixture.note_target_status(agent(9), LATER);
    assert!(!matches!(fixture.client(&opening(flow(1)), LATER), Decision::Forward(_)));
    fixture.balancer.note_target_status(agent(60), ZoneId::of("b"), &target_status(SERVICE), LATER);
    assert_eq!(forwarded(&fixture.client(&opening(flow(2)), LATER)).agent, agent(60));
}

#[test]
fn evacuated_targets_without_a_record_get_no_flows() {
    let mut store = store();
    for number in [1, 2] {
        store.target(number, SERVICE, None, LATER);
    }
    for number in [51, 52] {
        store.target(number, SERVICE, Some(TargetState::Draining), LATER);
    }
    store.evacuate(&["a"], LATER);
    let mut fixture = Fixture { fresh: false, ..fixture(&store) };
    assert!(!matches!(fixture.client(&opening(flow(1)), LATER), Decision::Forward(_)));
}

#[test]
fn open_flows_in_evacuated_zones_are_still_found() {
    let mut store = store();
    store.evacuate(&["a", "b"], LATER);
    let mut fixture = fixture(&store);
    let search = forwarded(&fixture.client(&data(flow(1)), LATER)).clone();
    let mut asked: Vec<Ipv4Addr> = search.next.clone();
    asked.push(search.agent);
    asked.sort();
    assert_eq!(asked, [agent(1), agent(2), agent(51), agent(52)]);
}

#[test]
fn opening_returned_by_an_evacuated_target_waits_elsewhere() {
    let mut store = store();
    let mut fixture = fixture(&store);
    let header = opening(flow(1));
    let first = forwarded(&fixture.client(&header, LATER)).agent;
    let second =
        forwarded(&fixture.returned(&header, first, ReturnReason::Busy, LATER + 2)).clone();
    assert!(second.may_wait());
    let zone = if second.agent.octets()[3] < 50 { "a" } else { "b" };
    store.evacuate(&[zone], LATER + 10);
    fixture.view = store.view_in_zone("a");
    let third = fixture.returned(&header, second.agent, ReturnReason::Evacuated, LATER + 20);
    let third = forwarded(&third).clone();
    assert_ne!(third.agent.octets()[3] < 50, zone == "a");
    // The packet met a target without capacity in this zone for the first time, so it may wait
    // there.
    let fourth = fixture.returned(&header, third.agent, ReturnReason::Busy, LATER + 22);
    assert!(forwarded(&fourth).may_wait());
}

fn arrival(header: &weirhinge_steering::PacketHeader) -> Arrival<'_> {
    Arrival {
        header,
        packet: b"packet",
        balancer: Ipv4Addr::new(10, 0, 0, 1),
        service: ServiceId::of(SERVICE),
        search: None,
        may_wait: true,
        urgent: false,
        granted: None,
    }
}

#[test]
fn agent_of_an_evacuated_target_refuses_openings() {
    let mut evacuated_agent = Agent::new(ServiceId::of(SERVICE));
    evacuated_agent.set_slots(1);
    let open = opening(flow(1));
    assert!(matches!(
        evacuated_agent.delivery(&arrival(&open), 0),
        DeliveryDecision::Deliver { .. }
    ));
    let waiting = opening(flow(2));
    evacuated_agent.delivery(&arrival(&data(flow(1))), 1);
    evacuated_agent.delivery(&arrival(&data(flow(8))), 1);
    assert!(matches!(
        evacuated_agent.delivery(&arrival(&waiting), 2),
        DeliveryDecision::Wait { .. }
    ));
    evacuated_agent.set_evacuated(true);
    let refused = DeliveryDecision::Return(ReturnReason::Evacuated);
    assert_eq!(evacuated_agent.delivery(&arrival(&opening(flow(3))), 3), refused);
    let outcome = evacuated_agent.next_outcome(3);
    assert!(matches!(outcome, Some(WaitOutcome::Return(_, ReturnReason::Evacuated))));
    // The open flow continues, and a retransmission of its opening packet is accepted. The same
    // port much later belongs to a new flow.
    let later = evacuated_agent.delivery(&arrival(&data(flow(1))), 4);
    assert!(matches!(later, DeliveryDecision::Deliver { .. }));
    let retransmission = evacuated_agent.delivery(&arrival(&open), 200);
    assert!(matches!(retransmission, DeliveryDecision::Deliver { .. }));
    assert_eq!(evacuated_agent.delivery(&arrival(&open), 2_500), refused);
    evacuated_agent.set_evacuated(false);
    let again = evacuated_agent.delivery(&arrival(&opening(flow(4))), 2_600);
    assert!(matches!(again, DeliveryDecision::Deliver { .. } | DeliveryDecision::Wait { .. }));
}
