//! Simulation results rank the policies and schemes as expected and are
//! reproducible from the seed.

use weirhinge_rehearsal::simulate::{Policy, Simulation, simulate};
use weirhinge_rehearsal::simulate_changes::{Scheme, simulate_changes};

const SIMULATION: Simulation = Simulation {
    targets: 7,
    slots: 7,
    service_seconds: 0.2,
    load: 0.7,
    seconds: 300.0,
    hop_seconds: 0.0015,
    seed: 3,
};

#[test]
fn candidate_chain_has_nearly_ideal_imbalance() {
    let imbalance = |policy| simulate(SIMULATION, policy).imbalance;
    let ideal = imbalance(Policy::Ideal);
    let chain = imbalance(Policy::Chain { candidates: 3 });
    let pair = imbalance(Policy::Chain { candidates: 2 });
    let hash = imbalance(Policy::HashOnly);
    assert!(
        ideal <= chain && chain <= pair && pair <= hash,
        "ideal {ideal}, chain {chain}, pair {pair}, hash {hash}"
    );
    assert!(chain / ideal < 1.05, "chain {chain}, ideal {ideal}");
    assert!(hash / ideal > 1.15, "hash {hash}, ideal {ideal}");
}

#[test]
fn simulation_is_reproducible_from_seed() {
    let policy = Policy::Chain { candidates: 3 };
    assert_eq!(simulate(SIMULATION, policy), simulate(SIMULATION, policy));
    let other_seed = Simulation { seed: 4, ..SIMULATION };
    assert_ne!(simulate(SIMULATION, policy), simulate(other_seed, policy));
}

#[test]
fn hint_and_directory_break_no_flows() {
    let broken = |scheme| simulate_changes(scheme, 200, 5).0.broken;
    let hash = broken(Scheme::HashOnly);
    let previous = broken(Scheme::OnePreviousOwner);
    assert!(hash > previous && previous > 0.0, "hash only {hash}, previous owner {previous}");
    assert_eq!((broken(Scheme::Directory), broken(Scheme::Hint)), (0.0, 0.0));
    let (hinted, moves) = simulate_changes(Scheme::Hint, 200, 5);
    assert_eq!(hinted.extra_hops, 0.0);
    assert_eq!(moves.moved, moves.least, "a change moves only the buckets that it must");
}
