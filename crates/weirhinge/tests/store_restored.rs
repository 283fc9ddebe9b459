//! Real processes while the store is restored from a backup that is some seconds old.
//!
//! A backup is older than what the daemons know, so the store's revisions go back and are given
//! out again. Daemons that treat writes under such revisions as older than the known ones, in
//! listings as in responses of peers, miss them: configurations do not take effect, draining
//! targets keep getting new flows, and every balancer lists the whole store several times a
//! second. Once the revisions pass the known one, watches resume from there and skip everything
//! written below it. The log line `store_listed` then shows a revision below the known one.

mod support;

use std::time::Duration;

use support::{count_listings, plan, start, wait_for_version};
use weirhinge_platform_standins::{Fleet, StoreFault};

/// How long the store is unavailable before it is restored.
const OUTAGE: Duration = Duration::from_millis(500);
/// Number of writes that are missing from the backup.
const LOST_WRITES: u64 = 30;
/// Maximum number of listings by one balancer: one at its start, and two of the restored store,
/// if a write interferes with the first of them.
const MAX_LISTINGS: usize = 3;

/// Writes the next version of the configuration. Returns the version.
fn write_version(fleet: &mut Fleet) -> u64 {
    fleet.configure(&[(443, &[("dispatch", 1)])]);
    fleet.version()
}

/// Restores the store from a backup that lacks its latest writes, all of which every balancer
/// has seen.
async fn lose_writes(fleet: &mut Fleet) -> eyre::Result<()> {
    let backup = fleet.store.backup();
    for _ in 0..LOST_WRITES {
        write_version(fleet);
    }
    wait_for_version(fleet, fleet.version(), "the versions that the backup lacks").await?;
    fleet.store.set_fault(StoreFault::Reset);
    tokio::time::sleep(OUTAGE).await;
    fleet.store.restore(backup);
    fleet.store.set_fault(StoreFault::None);
    Ok(())
}

/// Waits until all balancers have seen that this target drains.
async fn wait_for_draining(fleet: &Fleet, target: usize) -> eyre::Result<()> {
    let name = &fleet.targets[target].name;
    let reports_draining =
        |line: &str| line.contains(name.as_str()) && line.contains("\"state\":\"Draining\"");
    fleet
        .wait_for("the state of a draining target", |fleet| {
            let mut logs = fleet.balancers.iter().map(|balancer| balancer.log_text());
            logs.all(|log| log.is_ok_and(|log| log.lines().any(reports_draining)))
        })
        .await
}

#[tokio::test(flavor = "multi_thread")]
async fn versions_written_to_a_restored_store_take_effect() -> eyre::Result<()> {
    let mut fleet = start(&plan()).await?;
    lose_writes(&mut fleet).await?;
    // The operator writes the lost version again, then further ones.
    fleet.rewrite_configuration();
    for _ in 0..2 {
        let version = write_version(&mut fleet);
        wait_for_version(&fleet, version, "a version written to the restored store").await?;
    }
    for balancer in &fleet.balancers {
        let listing_count = count_listings(&balancer.log_text()?);
        assert!(listing_count <= MAX_LISTINGS, "{listing_count} listings by {}", balancer.address);
    }
    Ok(())
}

#[tokio::test(flavor = "multi_thread")]
async fn draining_is_seen_once_revisions_pass_the_old_ones() -> eyre::Result<()> {
    let mut fleet = start(&plan()).await?;
    let revision_before = fleet.store.revision();
    lose_writes(&mut fleet).await?;
    fleet.targets[0].drain();
    while fleet.store.revision() <= revision_before + LOST_WRITES {
        write_version(&mut fleet);
    }
    wait_for_draining(&fleet, 0).await
}

#[tokio::test(flavor = "multi_thread")]
async fn two_restores_in_a_row_hide_no_version() -> eyre::Result<()> {
    let mut fleet = start(&plan()).await?;
    for _ in 0..2 {
        lose_writes(&mut fleet).await?;
        let version = write_version(&mut fleet);
        wait_for_version(&fleet, version, "a version written after a restore").await?;
    }
    Ok(())
}
