//! Short soak runs with fixed seeds. Guarantees that depend on timing are checked only by the
//! `soak` command, because test machines are busy.

use std::path::Path;

use weirhinge_soak::run::{FaultPattern, Options, soak};
use weirhinge_soak::verdict::Violation;

/// The first episode drains a target and pauses a balancer, the second kills all processes.
const CONCURRENT_SEED: u64 = 1;
const EPISODES: usize = 2;

fn depends_on_timing(violation: &Violation) -> bool {
    matches!(
        violation,
        Violation::Failed(..) | Violation::NotInForce { .. } | Violation::LateAtDrainingTarget(_)
    )
}

/// The first series stops a balancer and reloads another; the second restarts a target, writes
/// foreign entries, changes the configuration and restores the store from a backup.
const SERIES_SEED: u64 = 2;

/// Its two bursts of clients hit slow targets.
const CROWDS_SEED: u64 = 9;

fn options(seed: u64, faults: FaultPattern) -> Options {
    Options { seed, episodes: EPISODES, scale: 1, faults, verbose: false }
}

/// Runs a soak and fails on violations that do not depend on timing.
async fn check_soak(options: Options) -> eyre::Result<()> {
    let program = Path::new(env!("CARGO_BIN_EXE_weirhinge"));
    let report = soak(program, options).await?;
    let violations = report.violations.into_iter();
    let relevant: Vec<_> =
        violations.filter(|(violation, _)| !depends_on_timing(violation)).collect();
    assert!(relevant.is_empty(), "{relevant:?}");
    assert!(report.answered > 0);
    Ok(())
}

#[tokio::test(flavor = "multi_thread")]
async fn soak_with_fault_series_has_no_violations() -> eyre::Result<()> {
    check_soak(options(SERIES_SEED, FaultPattern::Series)).await
}

#[tokio::test(flavor = "multi_thread")]
async fn soak_with_concurrent_faults_has_no_violations() -> eyre::Result<()> {
    check_soak(options(CONCURRENT_SEED, FaultPattern::Together)).await
}

#[tokio::test(flavor = "multi_thread")]
async fn soak_with_client_bursts_has_no_violations() -> eyre::Result<()> {
    check_soak(options(CROWDS_SEED, FaultPattern::Crowds)).await
}
