//! A short soak with a fixed seed. Promises that hold by time alone are left to the
//! command, as machines that test are busy.

use std::path::Path;

use weirhinge_soak::run::{FaultPattern, Options, soak};
use weirhinge_soak::verdict::Violation;

/// Its first episode drains a target and pauses a balancer, its second kills all.
const SEED: u64 = 1;
const EPISODES: usize = 2;

fn holds_by_time_alone(violation: &Violation) -> bool {
    matches!(
        violation,
        Violation::Failed(..) | Violation::NotInForce { .. } | Violation::LateAtDrainingTarget(_)
    )
}

/// Its first series stops a balancer and reloads another; its second restarts a target, leaves
/// foreign entries, changes the configuration and restores the store.
const SERIES_SEED: u64 = 2;

/// Its two crowds meet slow targets.
const CROWD_SEED: u64 = 9;

fn options(seed: u64, faults: FaultPattern) -> Options {
    Options { seed, episodes: EPISODES, scale: 1, faults, verbose: false }
}

async fn breaks_nothing(options: Options) -> eyre::Result<()> {
    let program = Path::new(env!("CARGO_BIN_EXE_weirhinge"));
    let report = soak(program, options).await?;
    let violations = report.violations.into_iter();
    let broken: Vec<_> =
        violations.filter(|(violation, _)| !holds_by_time_alone(violation)).collect();
    assert!(broken.is_empty(), "{broken:?}");
    assert!(report.answered > 0);
    Ok(())
}

#[tokio::test(flavor = "multi_thread")]
async fn a_short_soak_of_overlapping_faults_breaks_no_promise() -> eyre::Result<()> {
    breaks_nothing(options(SERIES_SEED, FaultPattern::Series)).await
}

#[tokio::test(flavor = "multi_thread")]
async fn a_short_soak_runs_nothing_twice_and_breaks_no_held_flow() -> eyre::Result<()> {
    breaks_nothing(options(SEED, FaultPattern::Together)).await
}

#[tokio::test(flavor = "multi_thread")]
async fn a_short_soak_of_crowds_breaks_no_promise() -> eyre::Result<()> {
    breaks_nothing(options(CROWD_SEED, FaultPattern::Crowds)).await
}
