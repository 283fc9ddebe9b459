//! A model of what five daemons believe of a store that goes back to copies, forgets its
//! history and holds nonsense, while targets start again under their identifiers and daemons
//! are cut off, restarted and told by each other.
//!
//! `STORE_MODEL_CASES` sets how many sequences are drawn, 3,000 by default (some seconds);
//! `STORE_MODEL_SEED` draws others than the fixed ones.

mod daemons;
mod world;

use daemons::Model;
use proptest::strategy::Strategy;
use proptest::test_runner::{Config, RngAlgorithm, TestError, TestRng, TestRunner};
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest};
use world::World;

/// Sequences drawn in CI.
const CASES: u32 = 3_000;
/// Steps of the longest sequence.
const LONGEST: usize = 60;

fn number(variable: &str) -> Option<u64> {
    std::env::var(variable).ok()?.parse().ok()
}

fn runner(cases: u32) -> TestRunner {
    let config =
        Config { cases, failure_persistence: None, max_shrink_iters: 20_000, ..Config::default() };
    let mut seed = [7; 32];
    if let Some(number) = number("STORE_MODEL_SEED") {
        seed[..8].copy_from_slice(&number.to_le_bytes());
    }
    TestRunner::new_with_rng(config, TestRng::from_seed(RngAlgorithm::ChaCha, &seed))
}

/// Runs sequences; tells what broke.
fn run<const MUTATION: usize>(cases: u32) -> Result<(), String> {
    let mut runner = runner(cases);
    let strategy = World::sequential_strategy(1..LONGEST).prop_map(|drawn| drawn);
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
fn beliefs_keep_what_was_acknowledged_and_agree_in_the_end() {
    let cases = number("STORE_MODEL_CASES").and_then(|cases| u32::try_from(cases).ok());
    if let Err(failure) = run::<0>(cases.unwrap_or(CASES)) {
        panic!("{failure}");
    }
}

#[test]
fn order_by_revision_alone_is_found_out() {
    assert!(run::<1>(CASES).is_err());
}

#[test]
fn belief_in_copies_is_found_out() {
    assert!(run::<2>(CASES).is_err());
}

#[test]
fn lives_that_nobody_tells_apart_are_found_out() {
    assert!(run::<3>(CASES).is_err());
}
