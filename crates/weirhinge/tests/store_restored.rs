//! The store comes back from a copy some seconds old, with real processes.
//!
//! What was seen: after the store had been away for two seconds, three versions of the
//! configuration in a row came in force nowhere, and a target that had said that it leaves
//! went on getting new flows. Every balancer listed the whole store four times a second.
//!
//! How it came about: the store's copy was older than what the daemons knew, so its
//! revisions went back and were given out again. What was written under them counted as
//! older than what was known, from listings as from peers; when the count had passed the
//! known revision, watches went on from there, past all that had been written below it.
//!
//! What proved it: the lines `store_listed` state a revision below the known one, and each
//! missing write is one whose revision had been given out before.

mod support;

use std::time::Duration;

use support::{listings, plan, start, wait_for_version};
use weirhinge_platform_standins::{Fleet, StoreFault};

/// How long the store is away.
const AWAY: Duration = Duration::from_millis(500);
/// Writes that the copy lacks.
const LOST_WRITES: u64 = 30;
/// Listings that one balancer makes at most: one at its start, and two of the restored
/// store, if the first one meets a write.
const MOST_LISTINGS: usize = 3;

/// Writes the configuration once more, as the next version.
fn write_version(fleet: &mut Fleet) -> u64 {
    fleet.configure(&[(443, &[("dispatch", 1)])]);
    fleet.version()
}

/// Loses the latest writes of the store, which every balancer knew.
async fn lose_writes(fleet: &mut Fleet) -> eyre::Result<()> {
    let copy = fleet.store.copy();
    for _ in 0..LOST_WRITES {
        write_version(fleet);
    }
    wait_for_version(fleet, fleet.version(), "the versions that are lost").await?;
    fleet.store.fail(StoreFault::Reset);
    tokio::time::sleep(AWAY).await;
    fleet.store.restore(copy);
    fleet.store.fail(StoreFault::None);
    Ok(())
}

/// Waits until all balancers know what this target last said.
async fn wait_for_draining(fleet: &Fleet, target: usize) -> eyre::Result<()> {
    let name = &fleet.targets[target].name;
    let told = |line: &str| line.contains(name.as_str()) && line.contains("\"state\":\"Draining\"");
    fleet
        .wait_for("the word of a target that leaves", |fleet| {
            let mut logs = fleet.balancers.iter().map(|balancer| balancer.log_text());
            logs.all(|log| log.is_ok_and(|log| log.lines().any(told)))
        })
        .await
}

#[tokio::test(flavor = "multi_thread")]
async fn versions_written_to_a_restored_store_come_in_force() -> eyre::Result<()> {
    let mut fleet = start(&plan()).await?;
    lose_writes(&mut fleet).await?;
    // The operator writes its version again, then further ones.
    fleet.rewrite_configuration();
    for _ in 0..2 {
        let version = write_version(&mut fleet);
        wait_for_version(&fleet, version, "a version written to the restored store").await?;
    }
    for balancer in &fleet.balancers {
        let listed = listings(&balancer.log_text()?);
        assert!(listed <= MOST_LISTINGS, "{listed} listings by {}", balancer.address);
    }
    Ok(())
}

#[tokio::test(flavor = "multi_thread")]
async fn a_leaver_is_known_when_the_revisions_pass_the_old_ones() -> eyre::Result<()> {
    let mut fleet = start(&plan()).await?;
    let before = fleet.store.revision();
    lose_writes(&mut fleet).await?;
    fleet.targets[0].drain();
    while fleet.store.revision() <= before + LOST_WRITES {
        write_version(&mut fleet);
    }
    wait_for_draining(&fleet, 0).await
}

#[tokio::test(flavor = "multi_thread")]
async fn two_losses_in_a_row_hide_no_version() -> eyre::Result<()> {
    let mut fleet = start(&plan()).await?;
    for _ in 0..2 {
        lose_writes(&mut fleet).await?;
        let version = write_version(&mut fleet);
        wait_for_version(&fleet, version, "a version written after a loss").await?;
    }
    Ok(())
}
