//! Measures configuration consensus with real processes: how long an accepted
//! write takes to be in effect everywhere, and how long the failure of a leader
//! interrupts writes.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use eyre::{WrapErr, eyre};
use serde::{Deserialize, Serialize};
use tokio::task::JoinSet;
use weirhinge_config::TargetState;
use weirhinge_document_source::{Fetched, fetch};

use crate::fleet::{Fleet, FleetOptions};
use crate::history::History;
use crate::sampler::percentile;
use crate::scenario::Scenario;

/// Seven balancers and ten agents in three zones, similar to the bluebonnet
/// scenario.
const FLEET: &str = r#"
description = "agreement"
seconds = 1
zones = ["austin", "dallas", "houston"]
balancers = 7
agreement = true
[network]
client_delay_ms = 1.0
zone_delay_ms = 1.5
fabric_lag_ms = 1000
[[services]]
name = "approvals"
address = "203.0.113.10"
port = 8443
targets = 7
slots = 7
connections = 2000
service_ms = 200.0
load = 0.0
[[services]]
name = "statements"
address = "203.0.113.20"
port = 8080
targets = 3
slots = 7
connections = 2000
service_ms = 100.0
load = 0.0
"#;

/// Time that the group gets to form before a write.
const SETTLE_TIME: Duration = Duration::from_secs(12);
/// Interval between two polls of a daemon's revision.
const POLL_INTERVAL: Duration = Duration::from_millis(10);
/// Time within which a write must be in effect everywhere.
const IN_EFFECT_TIMEOUT: Duration = Duration::from_secs(30);
/// Timeout of one response.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(2);

/// Results, in seconds.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct AgreementResult {
    /// Median time from sending a write to its acceptance.
    pub accepted_p50: f64,
    /// Median time from acceptance until the write is in effect at every balancer.
    pub balancers_p50: f64,
    /// Maximum time from acceptance until the write is in effect at every balancer.
    pub balancers_max: f64,
    /// Median time from acceptance until the write is in effect at every balancer
    /// and agent.
    pub everywhere_p50: f64,
    /// Maximum time from acceptance until the write is in effect at every balancer
    /// and agent.
    pub everywhere_max: f64,
    /// Times from the kill of a leader to the acceptance of a write sent right
    /// after it.
    pub outages: Vec<f64>,
}

#[derive(Deserialize)]
struct HealthRevision {
    revision: u64,
}

#[derive(Deserialize)]
struct LeaderStatus {
    leads: bool,
}

/// Measures `writes` writes, then the outages after `leader_kills` kills of the
/// leader.
///
/// # Errors
/// Fails if a part cannot be started, or a write is not accepted or not in effect
/// in time.
pub async fn measure_agreement(
    writes: usize,
    leader_kills: usize,
) -> eyre::Result<AgreementResult> {
    let scenario = Scenario::from_toml("agreement", FLEET)?;
    let options = FleetOptions {
        seed: 1,
        candidates: 3,
        logs: None,
        stop_deadline_seconds: None,
        plant: None,
    };
    let mut fleet = Fleet::start(&scenario, &options, &History::new()?).await?;
    tokio::time::sleep(SETTLE_TIME).await;
    let (mut accepted, mut balancers, mut everywhere) = (Vec::new(), Vec::new(), Vec::new());
    for number in 0..writes {
        let started = Instant::now();
        write_change(&fleet, number).await?;
        accepted.push(started.elapsed().as_secs_f64());
        let accepted_at = Instant::now();
        let revision = highest_revision(&fleet.balancer_admins()).await?;
        wait_for_revision(&fleet.balancer_admins(), revision).await?;
        balancers.push(accepted_at.elapsed().as_secs_f64());
        wait_for_revision(&fleet.agent_admins(), revision).await?;
        everywhere.push(accepted_at.elapsed().as_secs_f64());
    }
    let mut outages = Vec::new();
    for number in 0..leader_kills {
        outages.push(measure_outage(&mut fleet, writes + number).await?);
    }
    for values in [&mut accepted, &mut balancers, &mut everywhere] {
        values.sort_by(f64::total_cmp);
    }
    let at_rank = |values: &[f64], rank| percentile(values, rank).unwrap_or(f64::NAN);
    Ok(AgreementResult {
        accepted_p50: at_rank(&accepted, 0.5),
        balancers_p50: at_rank(&balancers, 0.5),
        balancers_max: at_rank(&balancers, 1.0),
        everywhere_p50: at_rank(&everywhere, 0.5),
        everywhere_max: at_rank(&everywhere, 1.0),
        outages,
    })
}

/// Drains or activates target 0 in turn, so that each write changes the
/// configuration.
async fn write_change(fleet: &Fleet, number: usize) -> eyre::Result<()> {
    let drains = number.is_multiple_of(2);
    let state = if drains { TargetState::Draining } else { TargetState::Active };
    fleet.set_target_state(0, state).await
}

async fn measure_outage(fleet: &mut Fleet, number: usize) -> eyre::Result<f64> {
    let leader = find_leader(fleet).await?;
    fleet.balancers[leader].process.kill().await;
    let killed_at = Instant::now();
    fleet.remove_from_list(leader);
    write_change(fleet, number).await?;
    let outage = killed_at.elapsed().as_secs_f64();
    fleet.start_balancer().await?;
    fleet.publish_machines();
    tokio::time::sleep(SETTLE_TIME).await;
    Ok(outage)
}

async fn find_leader(fleet: &Fleet) -> eyre::Result<usize> {
    for (number, balancer) in fleet.balancers.iter().enumerate() {
        let Some(api) = balancer.process.addresses.api else {
            continue;
        };
        if let Ok(Fetched::Body { bytes, .. }) =
            fetch(api, "/v1/status", None, RESPONSE_TIMEOUT).await
            && serde_json::from_slice::<LeaderStatus>(&bytes).is_ok_and(|status| status.leads)
        {
            return Ok(number);
        }
    }
    Err(eyre!("find the leader: no balancer reports that it leads"))
}

async fn highest_revision(admins: &[SocketAddr]) -> eyre::Result<u64> {
    let mut highest = 0;
    for &admin in admins {
        if let Ok(revision) = revision_at(admin).await {
            highest = highest.max(revision);
        }
    }
    if highest == 0 {
        Err(eyre!("read the revision: no balancer reports one"))
    } else {
        Ok(highest)
    }
}

async fn revision_at(admin: SocketAddr) -> eyre::Result<u64> {
    match fetch(admin, "/health", None, RESPONSE_TIMEOUT).await? {
        Fetched::Body { bytes, .. } => {
            let health: HealthRevision =
                serde_json::from_slice(&bytes).wrap_err("parse health response")?;
            Ok(health.revision)
        }
        Fetched::Unchanged => Err(eyre!("read health of {admin}: response without a body")),
    }
}

/// Waits until every daemon has the revision.
async fn wait_for_revision(admins: &[SocketAddr], revision: u64) -> eyre::Result<()> {
    let mut waits = JoinSet::new();
    for &admin in admins {
        waits.spawn(async move {
            while revision_at(admin).await.unwrap_or(0) < revision {
                tokio::time::sleep(POLL_INTERVAL).await;
            }
        });
    }
    let all = async { while waits.join_next().await.is_some() {} };
    tokio::time::timeout(IN_EFFECT_TIMEOUT, all)
        .await
        .wrap_err_with(|| format!("wait for revision {revision} at every daemon"))
}
