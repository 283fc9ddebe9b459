//! A real balancer's memory and processor time against the document's size.

use std::time::Duration;

use eyre::WrapErr;
use serde::Serialize;

use super::{ProcessUsage, document_of_size};
use crate::fleet_parts::{KEYS_FILE, make_work_folder};
use crate::processes::Program;
use crate::standin::platform::Platform;

/// Time for a change to be read and put in force.
const CHANGE_TIME: Duration = Duration::from_secs(3);
/// Changes published for one measurement.
const CHANGES: u64 = 5;
/// Time over which an idle balancer is watched.
const IDLE_TIME: Duration = Duration::from_secs(5);

/// One measured size.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct BalancerSize {
    /// Services in the document.
    pub services: usize,
    /// Targets in the document.
    pub targets: usize,
    /// Bytes of the document as the platform serves it.
    pub document_bytes: usize,
    /// Resident memory after the changes, in bytes.
    pub resident: u64,
    /// Processor time for one change, in milliseconds.
    pub change_ms: f64,
    /// Share of a core while nothing changes and no packet comes.
    pub idle_share: f64,
}

/// Measures a balancer under a document with this share of the size aimed at.
///
/// # Errors
/// When a process or the platform cannot be started.
pub async fn measure_balancer_size(share: f64) -> eyre::Result<BalancerSize> {
    let platform = Platform::start().await.wrap_err("start platform")?;
    let first = document_of_size(share, 1);
    let document_bytes = serde_json::to_vec(&first).wrap_err("encode the document")?.len();
    let (services, targets) = (first.services.len(), first.targets.len());
    platform.publish(first);
    let folder = make_work_folder()?;
    let arguments = [
        "balancer".to_owned(),
        "--zone".to_owned(),
        "scale".to_owned(),
        "--platform".to_owned(),
        platform.address().to_string(),
        "--keys-file".to_owned(),
        folder.join(KEYS_FILE).display().to_string(),
    ];
    let mut balancer = Program::find(None)?.start("balancer", &arguments).await?;
    tokio::time::sleep(CHANGE_TIME).await;
    let idle_start = balancer.usage()?;
    tokio::time::sleep(IDLE_TIME).await;
    let idle_end = balancer.usage()?;
    let idle_share =
        (idle_end.processor - idle_start.processor).as_secs_f64() / IDLE_TIME.as_secs_f64();
    for revision in 0..CHANGES {
        platform.publish(document_of_size(share, revision + 2));
        tokio::time::sleep(CHANGE_TIME).await;
    }
    let ProcessUsage { resident, processor } = balancer.usage()?;
    balancer.kill().await;
    // A folder that cannot be removed is left to the system's own cleaning.
    let _ = std::fs::remove_dir_all(folder);
    let watched = CHANGE_TIME.as_secs_f64() * CHANGES as f64;
    let changing = (processor - idle_end.processor).as_secs_f64() - idle_share * watched;
    Ok(BalancerSize {
        services,
        targets,
        document_bytes,
        resident,
        change_ms: changing.max(0.0) * 1_000.0 / CHANGES as f64,
        idle_share,
    })
}
