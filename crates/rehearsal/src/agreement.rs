//! Measures agreement with real processes: how long an accepted write takes to
//! be in force everywhere, and how long a leader's death stops writes.

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

/// Seven balancers and ten agents over three zones, as at Bluebonnet.
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

/// Time for the group to form before the first write.
const SETTLE: Duration = Duration::from_secs(12);
/// Time between two looks at a daemon's revision.
const LOOK_INTERVAL: Duration = Duration::from_millis(10);
/// Longest that a write may take to be in force everywhere.
const IN_FORCE_LIMIT: Duration = Duration::from_secs(30);
/// Longest wait for one answer.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(2);

/// What was measured, in seconds.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct AgreementResult {
    /// Median time from writing to acceptance.
    pub accepted_p50: f64,
    /// Median time from acceptance until every balancer has the write in force.
    pub balancers_p50: f64,
    /// Longest of the same.
    pub balancers_max: f64,
    /// Median time until every agent has it too.
    pub everywhere_p50: f64,
    /// Longest of the same.
    pub everywhere_max: f64,
    /// Times from a leader's death to the acceptance of a write begun just
    /// after it.
    pub outages: Vec<f64>,
}

#[derive(Deserialize)]
struct HealthRevision {
    revision: u64,
}

#[derive(Deserialize)]
struct Leads {
    leads: bool,
}

/// Measures `writes` writes, then `deaths` deaths of leaders.
///
/// # Errors
/// When a part cannot be started, or a write is not in force in time.
pub async fn measure_agreement(writes: usize, deaths: usize) -> eyre::Result<AgreementResult> {
    let scenario = Scenario::from_toml("agreement", FLEET)?;
    let options = FleetOptions {
        seed: 1,
        candidates: 3,
        logs: None,
        stop_deadline_seconds: None,
        plant: None,
    };
    let mut fleet = Fleet::start(&scenario, &options, &History::new()?).await?;
    tokio::time::sleep(SETTLE).await;
    let (mut accepted, mut balancers, mut everywhere) = (Vec::new(), Vec::new(), Vec::new());
    for number in 0..writes {
        let began = Instant::now();
        write(&fleet, number).await?;
        accepted.push(began.elapsed().as_secs_f64());
        let agreed = Instant::now();
        let revision = highest_revision(&fleet.balancer_admins()).await?;
        wait_for(&fleet.balancer_admins(), revision).await?;
        balancers.push(agreed.elapsed().as_secs_f64());
        wait_for(&fleet.agent_admins(), revision).await?;
        everywhere.push(agreed.elapsed().as_secs_f64());
    }
    let mut outages = Vec::new();
    for number in 0..deaths {
        outages.push(measure_outage(&mut fleet, writes + number).await?);
    }
    for values in [&mut accepted, &mut balancers, &mut everywhere] {
        values.sort_by(f64::total_cmp);
    }
    let of = |values: &[f64], rank| percentile(values, rank).unwrap_or(f64::NAN);
    Ok(AgreementResult {
        accepted_p50: of(&accepted, 0.5),
        balancers_p50: of(&balancers, 0.5),
        balancers_max: of(&balancers, 1.0),
        everywhere_p50: of(&everywhere, 0.5),
        everywhere_max: of(&everywhere, 1.0),
        outages,
    })
}

/// Writes a change that differs from the one before.
async fn write(fleet: &Fleet, number: usize) -> eyre::Result<()> {
    let drains = number.is_multiple_of(2);
    let state = if drains { TargetState::Draining } else { TargetState::Active };
    fleet.set_target_state(0, state).await
}

async fn measure_outage(fleet: &mut Fleet, number: usize) -> eyre::Result<f64> {
    let leader = find_leader(fleet).await?;
    fleet.balancers[leader].process.kill().await;
    let died = Instant::now();
    fleet.remove_from_list(leader);
    write(fleet, number).await?;
    let outage = died.elapsed().as_secs_f64();
    fleet.start_balancer().await?;
    fleet.publish_machines();
    tokio::time::sleep(SETTLE).await;
    Ok(outage)
}

async fn find_leader(fleet: &Fleet) -> eyre::Result<usize> {
    for (number, balancer) in fleet.balancers.iter().enumerate() {
        let Some(api) = balancer.process.addresses.api else {
            continue;
        };
        if let Ok(Fetched::Body { bytes, .. }) =
            fetch(api, "/v1/status", None, ANSWER_TIMEOUT).await
            && serde_json::from_slice::<Leads>(&bytes).is_ok_and(|status| status.leads)
        {
            return Ok(number);
        }
    }
    Err(eyre!("find the leader: no balancer leads"))
}

async fn highest_revision(admins: &[SocketAddr]) -> eyre::Result<u64> {
    let mut highest = 0;
    for &admin in admins {
        if let Ok(revision) = revision_at(admin).await {
            highest = highest.max(revision);
        }
    }
    if highest == 0 { Err(eyre!("no balancer answers")) } else { Ok(highest) }
}

async fn revision_at(admin: SocketAddr) -> eyre::Result<u64> {
    match fetch(admin, "/health", None, ANSWER_TIMEOUT).await? {
        Fetched::Body { bytes, .. } => {
            let health: HealthRevision = serde_json::from_slice(&bytes).wrap_err("read health")?;
            Ok(health.revision)
        }
        Fetched::Unchanged => Err(eyre!("health of {admin} without a body")),
    }
}

/// Waits, for all daemons at once, until each has the revision.
async fn wait_for(admins: &[SocketAddr], revision: u64) -> eyre::Result<()> {
    let mut waits = JoinSet::new();
    for &admin in admins {
        waits.spawn(async move {
            while revision_at(admin).await.unwrap_or(0) < revision {
                tokio::time::sleep(LOOK_INTERVAL).await;
            }
        });
    }
    let all = async { while waits.join_next().await.is_some() {} };
    tokio::time::timeout(IN_FORCE_LIMIT, all)
        .await
        .wrap_err_with(|| format!("wait for revision {revision}"))
}
