//! A real agent's memory against the flows that it holds.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::Duration;

use eyre::eyre;
use serde::Serialize;
use tokio::task::JoinSet;

use super::ProcessUsage;
use crate::fleet::{Fleet, FleetOptions};
use crate::history::History;
use crate::load::{LoadContext, ServiceLoad};
use crate::scenario::Scenario;
use crate::standin::caller::AddressPool;

/// Time for a process to settle before it is measured.
const SETTLE: Duration = Duration::from_secs(5);
/// Time over which the idle flows' processor time is watched.
const WATCH: Duration = Duration::from_secs(5);

/// One service with one target that holds nothing but feeds.
const FEEDS_ONLY: &str = r#"
description = "memory of one agent's flows"
seconds = 1
zones = ["one"]
balancers = 1
[network]
client_delay_ms = 0.5
zone_delay_ms = 0.5
fabric_lag_ms = 0
[[services]]
name = "feeds"
address = "203.0.113.10"
port = 8443
targets = 1
slots = 7
connections = 10000
service_ms = 100.0
load = 0.0
feed_interval_ms = 5000
"#;

/// One measured number of flows.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct FlowMemory {
    /// Flows held by the agent.
    pub flows: usize,
    /// The agent's resident memory, in bytes.
    pub resident: u64,
    /// Share of a core while each flow carries one update in 5 s.
    pub share: f64,
}

/// Opens `flows` feeds at one agent and measures it.
///
/// # Errors
/// When the fleet cannot be started or the flows do not all open.
pub async fn measure_flow_memory(flows: usize) -> eyre::Result<FlowMemory> {
    let mut scenario = Scenario::from_toml("scale", FEEDS_ONLY)?;
    scenario.services[0].feeds = flows;
    let options = FleetOptions {
        seed: 1,
        candidates: 1,
        logs: None,
        stop_deadline_seconds: None,
        plant: None,
    };
    let history = History::new()?;
    let fleet = Fleet::start(&scenario, &options, &history).await?;
    tokio::time::sleep(SETTLE).await;
    let ending = Arc::new(AtomicBool::new(false));
    let load = ServiceLoad {
        context: LoadContext {
            fabric: fleet.fabric.clone(),
            pool: Arc::new(AddressPool::default()),
            history: history.clone(),
            ending: ending.clone(),
            next_request: Arc::new(AtomicU64::new(1)),
        },
        service: scenario.services[0].clone(),
        seed: 1,
    };
    let mut callers = JoinSet::new();
    callers.spawn(load.run_feeds());
    tokio::time::sleep(SETTLE + WATCH).await;
    let before = fleet.agents[0].usage()?;
    tokio::time::sleep(WATCH).await;
    let ProcessUsage { resident, processor } = fleet.agents[0].usage()?;
    let opened = history.lock().flows_opened;
    ending.store(true, Ordering::Relaxed);
    callers.shutdown().await;
    if opened != flows as u64 {
        return Err(eyre!("{opened} of {flows} flows opened"));
    }
    let share = (processor - before.processor).as_secs_f64() / WATCH.as_secs_f64();
    Ok(FlowMemory { flows, resident, share })
}
