//! The yardsticks stand in the order in which they must, and repeat by seed.

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
fn the_chain_lies_close_to_the_ideal_and_far_from_the_hash() {
    let imbalance = |policy| simulate(SIMULATION, policy).imbalance;
    let ideal = imbalance(Policy::Ideal);
    let chain = imbalance(Policy::Chain { candidates: 3 });
    let pair = imbalance(Policy::Chain { candidates: 2 });
    let hash = imbalance(Policy::HashOnly);
    assert!(ideal <= chain && chain <= pair && pair <= hash, "{ideal} {chain} {pair} {hash}");
    assert!(chain / ideal < 1.05, "{chain} against {ideal}");
    assert!(hash / ideal > 1.15, "{hash} against {ideal}");
}

#[test]
fn a_simulation_repeats_by_its_seed() {
    let policy = Policy::Chain { candidates: 3 };
    assert_eq!(simulate(SIMULATION, policy), simulate(SIMULATION, policy));
    let other = Simulation { seed: 4, ..SIMULATION };
    assert_ne!(simulate(SIMULATION, policy), simulate(other, policy));
}

#[test]
fn hint_and_directory_break_nothing_where_published_schemes_do() {
    let broken = |scheme| simulate_changes(scheme, 200, 5).0.broken;
    let hash = broken(Scheme::HashOnly);
    let previous = broken(Scheme::OnePreviousOwner);
    assert!(hash > previous && previous > 0.0, "{hash} {previous}");
    assert_eq!((broken(Scheme::Directory), broken(Scheme::Hint)), (0.0, 0.0));
    let (hinted, moves) = simulate_changes(Scheme::Hint, 200, 5);
    assert_eq!(hinted.extra_hops, 0.0);
    assert_eq!(moves.moved, moves.least, "a change moves only what it must");
}
