//! Admission chains: every chain terminates, admits to a target with capacity, and refuses only if
//! no target has capacity.

use std::collections::BTreeMap;

use proptest::prelude::*;
use weirhinge_config::TargetId;
use weirhinge_flow::{AdmissionStep, BackEndLoad, Candidates, decide_admission};
use weirhinge_wire::Delivery;

/// Chains that take this many steps are reported as endless. Above the longest allowed chain.
const STEP_LIMIT: usize = 16;

fn load(in_flight: u32, accepts: bool) -> BackEndLoad {
    BackEndLoad {
        in_flight,
        slots: 7,
        flows: in_flight,
        connections: 2_000,
        accepts,
        speed_permille: 1_000,
    }
}

#[derive(Debug, PartialEq, Eq)]
enum Outcome {
    Admitted(TargetId),
    Refused,
    Endless,
}

struct Chain {
    outcome: Outcome,
    visited: Vec<TargetId>,
}

/// Runs a chain that starts at the agent of `first`. All agents have the same active targets.
fn run_chain(
    loads: &BTreeMap<TargetId, BackEndLoad>,
    active: &[TargetId],
    first: TargetId,
    owner: TargetId,
    flow_hash: u64,
    limit: u8,
) -> Chain {
    let mut current = first;
    let mut delivery = Delivery::Owner;
    let mut visited = Vec::new();
    for _ in 0..STEP_LIMIT {
        visited.push(current);
        let candidates = Candidates { own: current, owner: Some(owner), active, flow_hash, limit };
        match decide_admission(delivery, &loads[&current], &candidates) {
            AdmissionStep::Admit => return Chain { outcome: Outcome::Admitted(current), visited },
            AdmissionStep::Refuse(_) => return Chain { outcome: Outcome::Refused, visited },
            AdmissionStep::PassOn { to, delivery: next } => {
                current = to;
                delivery = next;
            }
        }
    }
    Chain { outcome: Outcome::Endless, visited }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 3_000, ..ProptestConfig::default() })]

    #[test]
    fn chain_admits_to_least_loaded_visited_target(
        agents in proptest::collection::vec((0_u32..10, any::<bool>()), 1..9),
        flow_hash in any::<u64>(),
        owner in any::<prop::sample::Index>(),
        limit in 1_u8..8,
    ) {
        let loads: BTreeMap<TargetId, BackEndLoad> = agents
            .iter()
            .enumerate()
            .map(|(id, &(in_flight, accepts))| (TargetId(id as u16), load(in_flight, accepts)))
            .collect();
        let active: Vec<TargetId> = loads.keys().copied().collect();
        let owner = active[owner.index(active.len())];
        let chain = run_chain(&loads, &active, owner, owner, flow_hash, limit);
        let any_capacity = loads.values().any(BackEndLoad::has_capacity);
        match chain.outcome {
            Outcome::Admitted(target) => {
                prop_assert!(loads[&target].has_capacity());
                let best = chain.visited.iter().map(|target| &loads[target])
                    .filter(|load| load.has_capacity()).map(BackEndLoad::load_permille).min();
                prop_assert_eq!(Some(loads[&target].load_permille()), best);
            }
            Outcome::Refused => prop_assert!(
                !any_capacity,
                "refused despite capacity, visited {:?}",
                chain.visited
            ),
            Outcome::Endless => prop_assert!(
                false,
                "chain did not terminate, visited {:?}",
                chain.visited
            ),
        }
    }

    #[test]
    fn agent_of_removed_target_passes_flow_on(
        in_flight_counts in proptest::collection::vec(0_u32..10, 2..7),
        flow_hash in any::<u64>(),
    ) {
        let removed = TargetId(100);
        let mut loads: BTreeMap<TargetId, BackEndLoad> = in_flight_counts
            .iter()
            .enumerate()
            .map(|(id, &in_flight)| (TargetId(id as u16), load(in_flight, true)))
            .collect();
        let active: Vec<TargetId> = loads.keys().copied().collect();
        loads.insert(removed, load(0, false));
        let chain = run_chain(&loads, &active, removed, active[0], flow_hash, 3);
        prop_assert!(matches!(chain.outcome, Outcome::Admitted(target) if target != removed));
    }
}

#[test]
fn retransmission_visits_same_targets() {
    let loads: BTreeMap<TargetId, BackEndLoad> =
        (0..7).map(|id| (TargetId(id), load(3, true))).collect();
    let active: Vec<TargetId> = loads.keys().copied().collect();
    let first = run_chain(&loads, &active, TargetId(2), TargetId(2), 0xDEAD_BEEF_0000_0001, 3);
    let second = run_chain(&loads, &active, TargetId(2), TargetId(2), 0xDEAD_BEEF_0000_0001, 3);
    assert_eq!(first.visited, second.visited);
    assert_eq!(first.visited.len(), 4, "three candidates, then the assignment to the best one");
}

/// Guards against an unnecessary refusal: the best target of a chain is drained before the assigned
/// flow arrives there.
#[test]
fn flow_assigned_to_target_without_capacity_is_offered_again() {
    let active: Vec<TargetId> = (0..4).map(TargetId).collect();
    let candidates = Candidates {
        own: TargetId(9),
        owner: Some(TargetId(1)),
        active: &active,
        flow_hash: 7,
        limit: 3,
    };
    let step = decide_admission(Delivery::Assigned, &load(0, false), &candidates);
    assert!(
        matches!(step, AdmissionStep::PassOn { delivery: Delivery::Offered(_), .. }),
        "{step:?}"
    );
}

#[test]
fn load_is_scaled_up_during_warm_up() {
    let full_speed = load(2, true);
    let warming_up = BackEndLoad { speed_permille: 100, ..full_speed };
    assert_eq!(warming_up.load_permille(), 10 * full_speed.load_permille());
}

#[test]
fn idle_flows_add_less_load_than_one_request() {
    let no_flows = load(0, true);
    let idle_flows = BackEndLoad { flows: 1_000, ..no_flows };
    assert!(idle_flows.load_permille() > no_flows.load_permille());
    assert!(idle_flows.load_permille() < load(1, true).load_permille());
}
