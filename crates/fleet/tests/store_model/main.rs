//! Model-based test of five daemons that replicate a store. The store is restored from backups,
//! compacts its history and contains foreign entries, while targets restart under their identifiers
//! and daemons are disconnected, restarted and updated by each other.
//!
//! `STORE_MODEL_CASES` sets the number of generated sequences, 3,000 by default (some seconds);
//! `STORE_MODEL_SEED` replaces the fixed seed.

mod daemons;
mod world;

use daemons::Model;
use proptest::strategy::Strategy;
use proptest::test_runner::{Config, RngAlgorithm, TestError, TestRng, TestRunner};
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest};
use world::World;

/// Default number of generated sequences, as used in CI.
const CASES: u32 = 3_000;
/// Exclusive limit on the number of steps of a sequence.
const MAX_STEPS: usize = 60;

fn env_number(variable: &str) -> Option<u64> {
    std::env::var(variable).ok()?.parse().ok()
}

fn runner(cases: u32) -> TestRunner {
    let config =
        Config { cases, failure_persistence: None, max_shrink_iters: 20_000, ..Config::default() };
    let mut seed = [7; 32];
    if let Some(number) = env_number("STORE_MODEL_SEED") {
        seed[..8].copy_from_slice(&number.to_le_bytes());
    }
    TestRunner::new_with_rng(config, TestRng::from_seed(RngAlgorithm::ChaCha, &seed))
}

/// Runs generated sequences. Returns the first failure with its shrunk steps.
fn run<const MUTATION: usize>(cases: u32) -> Result<(), String> {
    let mut runner = runner(cases);
    let strategy = World::sequential_strategy(1..MAX_STEPS).prop_map(|drawn| drawn);
    let result = runner.run(&strategy, |(world, steps, seen)| {
        let config = Config { verbose: 0, ..Config::default() };
        Model::<MUTATION>::test_sequential(config, world, steps, seen);
        Ok(())
    });
    result.map_err(|error| match error {
        TestError::Fail(reason, (_, steps, _)) => format!("{reason}\nafter {steps:#?}"),
        TestError::Abort(reason) => format!("aborted: {reason}"),
    })
}

#[test]
fn acknowledged_state_is_kept_and_daemons_converge() {
    let cases = env_number("STORE_MODEL_CASES").and_then(|cases| u32::try_from(cases).ok());
    if let Err(failure) = run::<0>(cases.unwrap_or(CASES)) {
        panic!("{failure}");
    }
}

#[test]
fn ordering_by_revision_alone_is_detected() {
    assert!(run::<1>(CASES).is_err());
}

#[test]
fn acceptance_of_backups_is_detected() {
    assert!(run::<2>(CASES).is_err());
}

#[test]
fn missing_incarnations_are_detected() {
    assert!(run::<3>(CASES).is_err());
}
