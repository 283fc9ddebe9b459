//! A short soak with a fixed seed. Promises that hold by time alone are left to the
//! command, as machines that test are busy.

use std::path::Path;

use weirhinge_soak::run::{Options, soak};
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

#[tokio::test(flavor = "multi_thread")]
async fn a_short_soak_runs_nothing_twice_and_breaks_no_held_flow() -> eyre::Result<()> {
    let program = Path::new(env!("CARGO_BIN_EXE_weirhinge"));
    let options = Options { seed: SEED, episodes: EPISODES, verbose: false };
    let report = soak(program, options).await?;
    let violations = report.violations.into_iter();
    let broken: Vec<_> =
        violations.filter(|(violation, _)| !holds_by_time_alone(violation)).collect();
    assert!(broken.is_empty(), "{broken:?}");
    assert!(report.answered > 0);
    Ok(())
}
