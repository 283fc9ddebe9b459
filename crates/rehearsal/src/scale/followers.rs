//! Hollow daemons: many followers of the configuration in one process, with
//! the real polling, checks and messages, and no data path.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use eyre::WrapErr;
use serde::Serialize;
use tokio::sync::mpsc;
use tokio::task::JoinSet;
use weirhinge_document_source::{Following, WatchEvent, WatchOutcome, run_watch};

use super::{ProcessUsage, document_of_size};
use crate::standin::platform::Platform;

/// Longest that one change may take to be in force everywhere.
const CHANGE_LIMIT: Duration = Duration::from_secs(60);
/// Time over which idle polling is watched.
const WATCH: Duration = Duration::from_secs(5);

/// One measured number of followers.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct FollowerSize {
    /// Hollow daemons.
    pub followers: usize,
    /// Bytes of the document that each read.
    pub document_bytes: usize,
    /// Seconds from publishing a change until it was in force everywhere.
    pub in_force_seconds: f64,
    /// Polls a second and daemon while nothing changed.
    pub polls_per_second: f64,
    /// Share of a core per daemon, with its part of the platform's stand-in,
    /// while nothing changed.
    pub idle_share: f64,
}

/// Lets `followers` hollow daemons follow a document with this share of the
/// services and targets aimed at.
///
/// # Errors
/// When the platform cannot be started or a change is not in force in time.
pub async fn measure_followers(followers: usize, share: f64) -> eyre::Result<FollowerSize> {
    let platform = Platform::start().await.wrap_err("start platform")?;
    let first = document_of_size(share, 1);
    let document_bytes = serde_json::to_vec(&first).wrap_err("encode the document")?.len();
    platform.publish(first);
    let (applied, mut revisions) = mpsc::unbounded_channel();
    let polls = Arc::new(AtomicUsize::new(0));
    let mut daemons = JoinSet::new();
    for _ in 0..followers {
        daemons.spawn(follow(platform.address(), applied.clone(), polls.clone()));
    }
    wait_for(&mut revisions, 1, followers).await?;
    let before = ProcessUsage::read(std::process::id())?;
    let polls_before = polls.load(Ordering::Relaxed);
    tokio::time::sleep(WATCH).await;
    let after = ProcessUsage::read(std::process::id())?;
    let polled = polls.load(Ordering::Relaxed) - polls_before;
    let published = Instant::now();
    platform.publish(document_of_size(share, 2));
    wait_for(&mut revisions, 2, followers).await?;
    let in_force = published.elapsed();
    daemons.shutdown().await;
    let daemon_seconds = WATCH.as_secs_f64() * followers as f64;
    Ok(FollowerSize {
        followers,
        document_bytes,
        in_force_seconds: in_force.as_secs_f64(),
        polls_per_second: polled as f64 / daemon_seconds,
        idle_share: (after.processor - before.processor).as_secs_f64() / daemon_seconds,
    })
}

async fn follow(
    platform: SocketAddr,
    applied: mpsc::UnboundedSender<u64>,
    polls: Arc<AtomicUsize>,
) {
    run_watch(platform, Following::Platform, |event| {
        polls.fetch_add(1, Ordering::Relaxed);
        if let WatchEvent::Served(WatchOutcome::Apply(document)) = event {
            // The measurement may have ended already.
            let _ = applied.send(document.revision);
        }
    })
    .await;
}

async fn wait_for(
    revisions: &mut mpsc::UnboundedReceiver<u64>,
    revision: u64,
    followers: usize,
) -> eyre::Result<()> {
    let everywhere = async {
        let mut count = 0;
        while count < followers {
            if revisions.recv().await == Some(revision) {
                count += 1;
            }
        }
    };
    tokio::time::timeout(CHANGE_LIMIT, everywhere)
        .await
        .wrap_err_with(|| format!("wait for revision {revision} at {followers} daemons"))
}
