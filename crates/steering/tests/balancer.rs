//! Decisions of the balancer about opening packets, routes and regions.

mod support;

use std::collections::HashMap;
use std::net::Ipv4Addr;

use support::{
    Fixture, LATER, OTHER, SERVICE, Store, agent, data, flow, forwarded, is_far, opening,
    target_status, targets_in_two_zones,
};
use weirhinge_fleet::{ReturnReason, ServiceId, TargetState, ZoneId};
use weirhinge_steering::{
    Balancer, Decision, DropReason, ForwardReason, PacketHeader, ResetReason,
};

#[test]
fn flow_stays_at_the_target_that_answered() {
    let mut fixture = Fixture::new(&Store::with_targets(7));
    let held = fixture.open(1, LATER);
    let decision = fixture.client(&data(flow(1)), LATER + 10);
    assert_eq!(forwarded(&decision).agent, held);
    assert_eq!(forwarded(&decision).reason, ForwardReason::Held);
}

#[test]
fn flow_stays_when_its_target_drains_and_leaves_the_store() {
    let mut store = Store::with_targets(2);
    let mut fixture = Fixture::new(&store);
    let held = fixture.open(1, LATER);
    let number = held.octets()[3];
    store.target(number, SERVICE, Some(TargetState::Draining), LATER);
    store.target(number, SERVICE, None, LATER);
    fixture.view = store.view();
    assert_eq!(forwarded(&fixture.client(&data(flow(1)), LATER + 10)).agent, held);
    // New flows go to other targets.
    for port in 100..150 {
        assert_ne!(forwarded(&fixture.client(&opening(flow(port)), LATER + 20)).agent, held);
    }
}

#[test]
fn opening_tries_every_target_before_it_is_refused() {
    let mut fixture = Fixture::new(&Store::with_targets(7));
    let (mut visited, end) = fixture.bounce_until_search_ends(&opening(flow(1)), LATER);
    visited.sort();
    assert_eq!(visited, (1..=7).map(agent).collect::<Vec<_>>());
    assert_eq!(end, Decision::Reset { sequence: 0, reason: ResetReason::Refused });
}

/// Guards against passing three busy targets before waiting, which costs messages without gain.
#[test]
fn opening_returned_as_busy_waits_at_the_least_loaded_target() {
    let mut fixture = Fixture::new(&Store::with_targets(7));
    for number in 1..=7 {
        let waiting = if number == 6 { 8 } else { 9 };
        fixture.balancer.note_answer(agent(number), waiting, LATER);
    }
    let header = opening(flow(1));
    let decision = fixture.client(&header, LATER);
    assert!(!forwarded(&decision).may_wait());
    let from = forwarded(&decision).agent;
    fixture.balancer.note_answer(from, if from == agent(6) { 8 } else { 9 }, LATER);
    let decision = fixture.returned(&header, from, ReturnReason::Busy, LATER);
    assert!(forwarded(&decision).may_wait());
    assert_eq!(forwarded(&decision).agent, agent(6));
    // After an unsuccessful wait it is refused at once.
    let refused = Decision::Reset { sequence: 0, reason: ResetReason::Refused };
    assert_eq!(fixture.returned(&header, agent(6), ReturnReason::Busy, LATER + 1_100), refused);
}

/// Guards against refusing an opening within milliseconds when all of a small number of targets are
/// busy.
#[test]
fn opening_waits_when_all_of_few_targets_are_busy() {
    for targets in [1, 2] {
        let mut fixture = Fixture::new(&Store::with_targets(targets));
        let header = opening(flow(1));
        let decision = fixture.client(&header, LATER);
        assert!(!forwarded(&decision).may_wait());
        let from = forwarded(&decision).agent;
        let decision = fixture.returned(&header, from, ReturnReason::Busy, LATER + 1);
        assert!(forwarded(&decision).may_wait());
        let from = forwarded(&decision).agent;
        let refused = Decision::Reset { sequence: 0, reason: ResetReason::Refused };
        assert_eq!(fixture.returned(&header, from, ReturnReason::Busy, LATER + 1_100), refused);
    }
}

#[test]
fn retransmission_moves_only_while_no_target_answered() {
    let mut fixture = Fixture::new(&Store::with_targets(3));
    let first = forwarded(&fixture.client(&opening(flow(1)), LATER)).agent;
    let moved = fixture.client(&opening(flow(1)), LATER + 200);
    assert_ne!(forwarded(&moved).agent, first);
    assert_eq!(forwarded(&moved).reason, ForwardReason::OpeningMoved);
    let answered = forwarded(&moved).agent;
    fixture.balancer.note_holder(flow(1), answered, false, 0, LATER + 201);
    let repeated = fixture.client(&opening(flow(1)), LATER + 600);
    assert_eq!(forwarded(&repeated).agent, answered);
    assert_eq!(forwarded(&repeated).reason, ForwardReason::OpeningRepeated);
}

#[test]
fn confirming_target_keeps_the_flow_after_two_answers() {
    let mut fixture = Fixture::new(&Store::with_targets(3));
    let first = fixture.open(1, LATER);
    let second = if first == agent(1) { agent(2) } else { agent(1) };
    fixture.balancer.note_holder(flow(1), second, false, 0, LATER + 5);
    assert_eq!(forwarded(&fixture.client(&data(flow(1)), LATER + 6)).agent, first);
    fixture.balancer.note_holder(flow(1), second, true, 0, LATER + 7);
    assert_eq!(forwarded(&fixture.client(&data(flow(1)), LATER + 8)).agent, second);
}

#[test]
fn new_flow_on_a_reused_port_ignores_the_old_entry() {
    let mut fixture = Fixture::new(&Store::with_targets(7));
    fixture.open(1, LATER);
    let decision = fixture.client(&opening(flow(1)), LATER + 5_000);
    assert_eq!(forwarded(&decision).reason, ForwardReason::Opened);
}

#[test]
fn unresponsive_and_stopping_targets_are_skipped() {
    let mut fixture = Fixture::new(&Store::with_targets(2));
    // Target 1 never answers; target 2 always does.
    let mut to_unresponsive = 0;
    for port in 0..100 {
        let now = LATER + u64::from(port) * 10;
        let chosen = forwarded(&fixture.client(&opening(flow(port)), now)).agent;
        if chosen == agent(2) {
            fixture.balancer.note_holder(flow(port), chosen, false, 0, now);
        } else {
            to_unresponsive += 1;
        }
    }
    assert!(
        to_unresponsive < 30,
        "{to_unresponsive} openings went to an unresponsive target in a second"
    );
    let mut stopping = Fixture::new(&Store::with_targets(2));
    let first = forwarded(&stopping.client(&opening(flow(1)), LATER)).agent;
    stopping.returned(&opening(flow(1)), first, ReturnReason::Leaving, LATER);
    for port in 10..60 {
        assert_ne!(forwarded(&stopping.client(&opening(flow(port)), LATER)).agent, first);
    }
}

#[test]
fn less_loaded_of_two_targets_gets_the_flow() {
    let mut fixture = Fixture::new(&Store::with_targets(2));
    fixture.balancer.note_answer(agent(1), 6, LATER);
    fixture.balancer.note_answer(agent(2), 0, LATER);
    assert_eq!(forwarded(&fixture.client(&opening(flow(1)), LATER)).agent, agent(2));
}

#[test]
fn flows_spread_evenly_without_load_reports() {
    let mut fixture = Fixture::new(&Store::with_targets(7));
    let mut counts: HashMap<Ipv4Addr, u32> = HashMap::new();
    for port in 0..7_000 {
        let chosen = forwarded(&fixture.client(&opening(flow(port)), LATER)).agent;
        *counts.entry(chosen).or_default() += 1;
    }
    let most = counts.values().max().copied().unwrap_or_default();
    assert!(counts.len() == 7 && most < 1_050, "{counts:?}");
}

#[test]
fn route_weights_are_respected_and_retransmissions_keep_their_service() {
    let mut store = Store::with_targets(3);
    store.target(11, OTHER, Some(TargetState::Ready), 0);
    store.route(&[(SERVICE, 80), (OTHER, 20)]);
    let mut fixture = Fixture::new(&store);
    let mut to_other = 0;
    for port in 0..5_000 {
        let first = fixture.client(&opening(flow(port)), LATER);
        let retransmission = fixture.client(&opening(flow(port)), LATER + 200);
        if let Decision::Forward(retransmission) = &retransmission {
            assert_eq!(retransmission.service, forwarded(&first).service);
        }
        to_other += u32::from(forwarded(&first).service == ServiceId::of(OTHER));
    }
    assert!(
        (950..1_050).contains(&to_other),
        "{to_other} of 5000 flows went to the service with a fifth of the weight"
    );
}

#[test]
fn reused_address_belongs_to_its_new_service() {
    let mut store = Store::with_targets(2);
    store.target(2, SERVICE, None, 0);
    store.target(2, OTHER, Some(TargetState::Ready), 0);
    let view = store.view();
    let agents = |service| -> Vec<Ipv4Addr> {
        view.candidates(ServiceId::of(service)).iter().map(|candidate| candidate.agent).collect()
    };
    assert_eq!(agents(SERVICE), vec![agent(1)]);
    assert_eq!(agents(OTHER), vec![agent(2)]);
}

#[test]
fn missing_route_resets_only_with_a_configuration() {
    let mut store = Store::with_targets(1);
    store.configure(Vec::new());
    let mut fixture = Fixture::new(&store);
    let no_route = |sequence| Decision::Reset { sequence, reason: ResetReason::NoRoute };
    assert_eq!(fixture.client(&opening(flow(1)), LATER), no_route(0));
    assert_eq!(fixture.client(&data(flow(2)), LATER), no_route(500));
    let mut unconfigured = Fixture::new(&Store::default());
    let dropped = Decision::Drop(DropReason::NoConfiguration);
    assert_eq!(unconfigured.client(&opening(flow(1)), LATER), dropped);
    assert_eq!(unconfigured.client(&data(flow(2)), LATER), dropped);
}

#[test]
fn service_without_targets_refuses_only_once_store_data_has_settled() {
    let mut fixture = Fixture::new(&Store::with_targets(0));
    let refused = Decision::Reset { sequence: 0, reason: ResetReason::NoTarget };
    let dropped = Decision::Drop(DropReason::NoTargetYet);
    assert_eq!(fixture.client(&opening(flow(1)), LATER), refused);
    fixture.balancer.note_store_regained(LATER);
    assert_eq!(fixture.client(&opening(flow(2)), LATER + 1_000), dropped);
    assert_eq!(fixture.client(&opening(flow(3)), LATER + 3_000), refused);
    fixture.fresh = false;
    assert_eq!(fixture.client(&opening(flow(4)), LATER + 3_000), dropped);
}

#[test]
fn unrecorded_targets_take_flows_for_a_while_after_an_outage() {
    let mut store = Store::with_targets(1);
    store.target(1, SERVICE, None, LATER);
    let mut fixture = Fixture::new(&store);
    fixture.balancer.note_store_regained(LATER);
    fixture.note_target_status(agent(9), LATER);
    let mut chosen: Vec<Ipv4Addr> = (0..50)
        .map(|port| forwarded(&fixture.client(&opening(flow(port)), LATER + 100)).agent)
        .collect();
    chosen.sort();
    chosen.dedup();
    assert_eq!(chosen, vec![agent(1), agent(9)]);
    // A recorded target is preferred, and after a while a missing record counts as final.
    store.target(2, SERVICE, Some(TargetState::Ready), LATER + 1_100);
    fixture.view = store.view();
    let preferred = fixture.client(&opening(flow(90)), LATER + 1_200);
    assert_eq!(forwarded(&preferred).agent, agent(2));
}

#[test]
fn target_gets_no_flows_two_seconds_after_losing_its_record() {
    let mut store = Store::with_targets(1);
    store.target(1, SERVICE, None, LATER);
    let mut fixture = Fixture::new(&store);
    fixture.note_target_status(agent(1), LATER);
    assert!(matches!(fixture.client(&opening(flow(1)), LATER + 1_000), Decision::Forward(_)));
    assert!(matches!(fixture.client(&opening(flow(2)), LATER + 2_000), Decision::Reset { .. }));
}

#[test]
fn bounced_packet_from_a_client_is_dropped() {
    let mut fixture = Fixture::new(&Store::with_targets(1));
    let mut header = data(flow(1));
    header.flags.bounced = true;
    let dropped = Decision::Drop(DropReason::BouncedByClient);
    assert_eq!(fixture.client(&header, LATER), dropped);
}

#[test]
fn balancer_without_answers_from_agents_is_isolated() {
    let mut fixture = Fixture::new(&Store::with_targets(3));
    assert!(!fixture.balancer.is_isolated(LATER), "not isolated before the first report");
    fixture.note_target_status(agent(1), LATER);
    assert!(!fixture.balancer.is_isolated(LATER + 600));
    assert!(fixture.balancer.is_isolated(LATER + 700));
    fixture.note_target_status(agent(2), LATER + 800);
    assert!(!fixture.balancer.is_isolated(LATER + 801));
    // Agents' reports arrive here, but openings do not reach the agents and stay unanswered.
    for port in 0..10 {
        fixture.client(&opening(flow(port)), LATER + 900);
    }
    fixture.note_target_status(agent(1), LATER + 1_700);
    assert!(fixture.balancer.is_isolated(LATER + 1_700));
    fixture.balancer.note_answer(agent(1), 0, LATER + 1_800);
    assert!(!fixture.balancer.is_isolated(LATER + 1_801));
}

#[test]
fn flow_table_is_bounded() {
    let mut fixture = Fixture::new(&Store::with_targets(3));
    fixture.balancer = Balancer::with_capacity(100);
    for port in 0..5_000 {
        fixture.client(&opening(flow(port)), LATER);
        fixture.client(&data(flow(port)), LATER);
    }
    assert_eq!(fixture.balancer.flow_count(), 100);
    let view = fixture.view.clone();
    fixture.balancer.expire(&view, LATER + 16_000);
    assert_eq!(fixture.balancer.flow_count(), 0);
    assert!(fixture.context(0).fresh);
}

/// Guards against a retransmission going to another busy target, whose return then refuses the
/// waiting flow.
#[test]
fn retransmission_goes_to_the_target_where_the_opening_waits() {
    let mut fixture = Fixture::new(&Store::with_targets(7));
    let header = opening(flow(1));
    let mut decision = fixture.client(&header, LATER);
    while !forwarded(&decision).may_wait() {
        let from = forwarded(&decision).agent;
        decision = fixture.returned(&header, from, ReturnReason::Busy, LATER);
    }
    let waits_at = forwarded(&decision).agent;
    let retransmission = fixture.client(&PacketHeader { acknowledgment: 1, ..header }, LATER + 200);
    assert_eq!(forwarded(&retransmission).agent, waits_at);
    assert!(forwarded(&retransmission).may_wait());
}

#[test]
fn route_is_urgent_only_if_its_service_has_a_less_urgent_one() {
    let address = *support::endpoint().ip();
    let route = |port: u16, service: &str, priority: u32| {
        support::route_to(std::net::SocketAddrV4::new(address, port), service, priority)
    };
    let mut store = Store::with_targets(3);
    store.configure(vec![route(443, SERVICE, 1), route(444, SERVICE, 2), route(445, OTHER, 1)]);
    let view = store.view();
    let urgent = |port| {
        let endpoint = std::net::SocketAddrV4::new(*support::endpoint().ip(), port);
        view.route(endpoint).expect("the route exists").is_urgent()
    };
    assert_eq!([urgent(443), urgent(444), urgent(445)], [true, false, false]);
}

/// Guards against ignoring zones when targets are selected: in a deployment of four zones, three
/// quarters of the packets would cross zones.
#[test]
fn flows_stay_in_their_zone_within_the_load_margin() {
    let store = targets_in_two_zones();
    let mut fixture = Fixture::new(&store);
    fixture.view = store.view_in_zone("b");
    let chosen = |fixture: &mut Fixture, port, own_load, other_load| {
        for number in (1..=3).chain(51..=53) {
            let load = if number > 50 { own_load } else { other_load };
            fixture.balancer.note_answer(agent(number), load, LATER);
        }
        forwarded(&fixture.client(&opening(flow(port)), LATER)).agent
    };
    let is_own = |agent: Ipv4Addr| agent.octets()[3] > 50;
    assert!((0..100).all(|port| is_own(chosen(&mut fixture, port, 2, 2))));
    assert!((100..200).all(|port| is_own(chosen(&mut fixture, port, 1, 2))));
    // The margin is half a request per slot: two requests at these targets with four slots.
    assert!((200..300).all(|port| is_own(chosen(&mut fixture, port, 4, 2))));
    // Beyond the margin load is balanced across zones: only flows whose first two targets are both
    // in this zone, a fifth of all, stay at the busier targets.
    let staying = (300..1_300).filter(|port| is_own(chosen(&mut fixture, *port, 5, 2))).count();
    assert!((150..250).contains(&staying), "{staying} of 1,000 flows went to busier targets");
}

#[test]
fn flows_stay_in_their_region_until_its_targets_are_busy() {
    let store = targets_in_two_zones();
    let mut fixture = Fixture::new(&store);
    for number in (1..=3).chain(51..=53) {
        fixture.balancer.note_answer(agent(number), 2, LATER);
    }
    let chosen = |fixture: &mut Fixture, port| {
        let decision = fixture.client(&opening(flow(port)), LATER);
        let chosen = forwarded(&decision).agent;
        let waiting = if is_far(chosen) { 0 } else { 2 };
        fixture.balancer.note_answer(chosen, waiting, LATER);
        chosen
    };
    assert!((0..100).all(|port| !is_far(chosen(&mut fixture, port))));
    for number in 1..=3 {
        fixture.balancer.note_answer(agent(number), 9, LATER);
    }
    for number in 51..=53 {
        fixture.balancer.note_answer(agent(number), 0, LATER);
    }
    assert!(is_far(chosen(&mut fixture, 500)));
    // For a balancer in the other region, near and far are swapped.
    fixture.view = store.view_from("far");
    fixture.balancer.note_answer(agent(1), 0, LATER);
    assert!((600..700).all(|port| is_far(chosen(&mut fixture, port))));
}

#[test]
fn region_without_targets_uses_another() {
    let mut store = Store::with_targets(0);
    store.target(51, SERVICE, Some(TargetState::Ready), 0);
    store.target(52, SERVICE, Some(TargetState::Ready), 0);
    let mut fixture = Fixture::new(&store);
    let chosen: std::collections::HashSet<Ipv4Addr> =
        (0..50).map(|port| forwarded(&fixture.client(&opening(flow(port)), LATER)).agent).collect();
    assert_eq!(chosen.len(), 2);
}

#[test]
fn agent_reports_replace_missing_store_data() {
    let mut fixture = Fixture::new(&Store::with_targets(0));
    fixture.fresh = false;
    fixture.note_target_status(agent(1), LATER);
    fixture.balancer.note_target_status(agent(2), ZoneId::of("a"), &target_status(OTHER), LATER);
    let decision = fixture.client(&opening(flow(1)), LATER + 100);
    assert_eq!(forwarded(&decision).agent, agent(1));
}
