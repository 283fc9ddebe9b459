//! A chain of agents always ends, admits where there is room, and refuses only
//! when no agent has any.

use std::collections::BTreeMap;

use proptest::prelude::*;
use weirhinge_config::TargetId;
use weirhinge_flow::{AdmissionStep, Candidates, OwnLoad, consider};
use weirhinge_wire::Delivery;

/// More steps than any chain may take.
const STEP_LIMIT: usize = 16;

fn load(in_flight: u32, accepts: bool) -> OwnLoad {
    OwnLoad { in_flight, slots: 7, flows: in_flight, connections: 2_000, accepts, warmth: 1_000 }
}

#[derive(Debug, PartialEq, Eq)]
enum End {
    Admitted(TargetId),
    Refused,
    Endless,
}

struct Chain {
    end: End,
    visited: Vec<TargetId>,
}

/// Walks a chain from the agent `first` over agents that all see `active`.
fn walk(
    loads: &BTreeMap<TargetId, OwnLoad>,
    active: &[TargetId],
    first: TargetId,
    owner: TargetId,
    flow_hash: u64,
    limit: u8,
) -> Chain {
    let mut at = first;
    let mut delivery = Delivery::Owner;
    let mut visited = Vec::new();
    for _ in 0..STEP_LIMIT {
        visited.push(at);
        let candidates = Candidates { own: at, owner: Some(owner), active, flow_hash, limit };
        match consider(delivery, &loads[&at], &candidates) {
            AdmissionStep::Admit => return Chain { end: End::Admitted(at), visited },
            AdmissionStep::Refuse(_) => return Chain { end: End::Refused, visited },
            AdmissionStep::PassOn { to, delivery: next } => {
                at = to;
                delivery = next;
            }
        }
    }
    Chain { end: End::Endless, visited }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 3_000, ..ProptestConfig::default() })]

    #[test]
    fn every_chain_ends_where_there_is_room(
        agents in proptest::collection::vec((0_u32..10, any::<bool>()), 1..9),
        flow_hash in any::<u64>(),
        owner in any::<prop::sample::Index>(),
        limit in 1_u8..8,
    ) {
        let loads: BTreeMap<TargetId, OwnLoad> = agents
            .iter()
            .enumerate()
            .map(|(id, &(in_flight, accepts))| (TargetId(id as u16), load(in_flight, accepts)))
            .collect();
        let active: Vec<TargetId> = loads.keys().copied().collect();
        let owner = active[owner.index(active.len())];
        let chain = walk(&loads, &active, owner, owner, flow_hash, limit);
        let any_room = loads.values().any(OwnLoad::has_room);
        match chain.end {
            End::Admitted(target) => {
                prop_assert!(loads[&target].has_room());
                let best = chain.visited.iter().map(|target| &loads[target])
                    .filter(|load| load.has_room()).map(OwnLoad::relative).min();
                prop_assert_eq!(Some(loads[&target].relative()), best);
            }
            End::Refused => prop_assert!(!any_room, "{:?}", chain.visited),
            End::Endless => prop_assert!(false, "endless chain {:?}", chain.visited),
        }
    }

    #[test]
    fn an_agent_that_left_the_configuration_passes_on(
        busy in proptest::collection::vec(0_u32..10, 2..7),
        flow_hash in any::<u64>(),
    ) {
        let left = TargetId(100);
        let mut loads: BTreeMap<TargetId, OwnLoad> = busy
            .iter()
            .enumerate()
            .map(|(id, &in_flight)| (TargetId(id as u16), load(in_flight, true)))
            .collect();
        let active: Vec<TargetId> = loads.keys().copied().collect();
        loads.insert(left, load(0, false));
        let chain = walk(&loads, &active, left, active[0], flow_hash, 3);
        prop_assert!(matches!(chain.end, End::Admitted(target) if target != left));
    }
}

#[test]
fn a_repeated_packet_walks_the_same_chain() {
    let loads: BTreeMap<TargetId, OwnLoad> =
        (0..7).map(|id| (TargetId(id), load(3, true))).collect();
    let active: Vec<TargetId> = loads.keys().copied().collect();
    let first = walk(&loads, &active, TargetId(2), TargetId(2), 0xDEAD_BEEF_0000_0001, 3);
    let second = walk(&loads, &active, TargetId(2), TargetId(2), 0xDEAD_BEEF_0000_0001, 3);
    assert_eq!(first.visited, second.visited);
    assert_eq!(first.visited.len(), 4, "three candidates and the way back to the best");
}

/// The fault behind a needless refusal that rehearsals found: the best target
/// of a chain was drained before the flow arrived there.
#[test]
fn a_flow_assigned_to_a_target_without_room_starts_over() {
    let active: Vec<TargetId> = (0..4).map(TargetId).collect();
    let candidates = Candidates {
        own: TargetId(9),
        owner: Some(TargetId(1)),
        active: &active,
        flow_hash: 7,
        limit: 3,
    };
    let step = consider(Delivery::Assigned, &load(0, false), &candidates);
    assert!(
        matches!(step, AdmissionStep::PassOn { delivery: Delivery::Offered(_), .. }),
        "{step:?}"
    );
}

#[test]
fn a_cold_back_end_counts_as_busier() {
    let warm = load(2, true);
    let cold = OwnLoad { warmth: 100, ..warm };
    assert_eq!(cold.relative(), 10 * warm.relative());
}

#[test]
fn standing_feeds_weigh_a_little() {
    let empty = load(0, true);
    let feeds = OwnLoad { flows: 1_000, ..empty };
    assert!(feeds.relative() > empty.relative());
    assert!(feeds.relative() < load(1, true).relative());
}
