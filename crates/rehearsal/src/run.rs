//! Runs one rehearsal, from starting the fleet to the verdict.

use std::io::{IsTerminal, Write};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, PoisonError};
use std::time::Duration;

use eyre::WrapErr;
use futures_util::future::join_all;
use serde::Deserialize;
use tokio::task::{JoinHandle, JoinSet};
use tokio::time::Instant;
use weirhinge_document_source::{Fetched, fetch};

use crate::faults::run_schedule;
use crate::fleet::{Fleet, FleetOptions};
use crate::history::History;
use crate::load::{LoadContext, ServiceLoad};
use crate::sampler::sample;
use crate::scenario::Scenario;
use crate::scrape::scrape_all;
use crate::standin::client::AddressPool;
use crate::verdict::{ServiceWindows, Verdict, evaluate};

/// Delay before the load starts: processes read their first configuration, and
/// agents wait until all others know them.
const SETTLE_TIME: Duration = Duration::from_millis(5_000);
/// Time within which feeds and requests must finish after the load ends.
const WIND_DOWN_TIMEOUT: Duration = Duration::from_secs(40);
/// Time within which a process must complete its graceful shutdown.
const STOP_TIMEOUT: Duration = Duration::from_secs(60);
/// Maximum wait for agents' last flows to end; longer than two of an agent's
/// keep-alive probes.
const LAST_FLOWS_TIMEOUT: Duration = Duration::from_secs(150);
/// Interval between two polls of an agent's flow count.
const POLL_INTERVAL: Duration = Duration::from_millis(200);
/// Timeout of one poll.
const POLL_TIMEOUT: Duration = Duration::from_secs(2);
/// Interval between two updates of the progress line.
const PROGRESS_INTERVAL: Duration = Duration::from_secs(1);

/// Runs a rehearsal and evaluates its record.
///
/// # Errors
/// Fails if a part cannot be started or a process does not shut down cleanly.
/// A broken promise is not an error; the verdict reports it.
pub async fn rehearse(scenario: &Scenario, options: &FleetOptions) -> eyre::Result<Verdict> {
    let history = History::new()?;
    let mut fleet = Fleet::start(scenario, options, &history).await?;
    tokio::time::sleep(SETTLE_TIME).await;
    let started = Instant::now();
    let until = started + Duration::from_secs(scenario.seconds);
    history.lock().started = started.into_std();
    let load_ended = Arc::new(AtomicBool::new(false));
    let progress = tokio::spawn(show_progress(history.clone(), scenario.seconds));
    let samplers = start_samplers(&fleet, &load_ended);
    let context = LoadContext {
        fabric: fleet.fabric.clone(),
        pool: Arc::new(AddressPool::default()),
        history: history.clone(),
        load_ended: load_ended.clone(),
        next_request: Arc::new(AtomicU64::new(1)),
    };
    let mut clients = start_clients(scenario, options, &context, until);
    run_schedule(&mut fleet, &history, started, until).await?;
    load_ended.store(true, Ordering::Relaxed);
    let mut services = Vec::new();
    for (service, sampler) in samplers {
        let windows = sampler.await.wrap_err("sample slots in use")?;
        services.push(ServiceWindows { service, windows });
    }
    let ended = tokio::time::timeout(WIND_DOWN_TIMEOUT, async {
        while clients.join_next().await.is_some() {}
    });
    ended.await.wrap_err("wait for the last feeds and requests")?;
    progress.abort();
    let counters = scrape_all(&fleet.admin_addresses()).await;
    if options.stop_deadline_seconds.is_none() {
        wait_for_last_flows(&fleet).await;
    }
    stop_fleet(&mut fleet).await?;
    let verdict = evaluate(&history.lock(), &services, counters);
    Ok(verdict)
}

fn start_samplers(
    fleet: &Fleet,
    stop: &Arc<AtomicBool>,
) -> Vec<(String, JoinHandle<Vec<crate::sampler::Window>>)> {
    let mut samplers = Vec::new();
    for service in fleet.sampled_services() {
        let name = service.name.clone();
        let desired = fleet.desired_handle();
        let is_active = move |target: usize| {
            let document = desired.lock().unwrap_or_else(PoisonError::into_inner);
            Fleet::is_active(&document, target)
        };
        samplers.push((name, tokio::spawn(sample(service, is_active, stop.clone()))));
    }
    samplers
}

fn start_clients(
    scenario: &Scenario,
    options: &FleetOptions,
    context: &LoadContext,
    until: Instant,
) -> JoinSet<()> {
    let mut clients = JoinSet::new();
    for (index, service) in scenario.services.iter().enumerate() {
        let load = ServiceLoad {
            context: context.clone(),
            service: service.clone(),
            seed: options.seed.wrapping_mul(31).wrapping_add(index as u64),
        };
        clients.spawn(load.clone().run_feeds());
        clients.spawn(load.run_requests(until));
    }
    clients
}

/// Waits until no agent holds a flow, while every process is still running. If a
/// client's last reset was lost, the agent's next packet triggers another one,
/// which needs the balancers and the bucket's owner to reach the agent.
async fn wait_for_last_flows(fleet: &Fleet) {
    let deadline = Instant::now() + LAST_FLOWS_TIMEOUT;
    for agent in fleet.agent_admins() {
        while Instant::now() < deadline && held_flows(agent).await > 0 {
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }
}

/// Returns the number of flows that an agent holds; 0 if it does not respond.
async fn held_flows(agent: SocketAddr) -> u64 {
    let health = fetch(agent, "/health", None, POLL_TIMEOUT).await;
    let Ok(Fetched::Body { bytes, .. }) = health else {
        return 0;
    };
    serde_json::from_slice::<AgentHealth>(&bytes).map_or(0, |health| health.flows)
}

#[derive(Deserialize)]
struct AgentHealth {
    flows: u64,
}

/// Shuts every running process down gracefully; fails if any of them fails.
async fn stop_fleet(fleet: &mut Fleet) -> eyre::Result<()> {
    let processes = fleet
        .agents
        .iter_mut()
        .chain(fleet.balancers.iter_mut().map(|balancer| &mut balancer.process));
    let mut stops = Vec::new();
    for process in processes {
        if !process.has_exited() {
            stops.push(process.stop(STOP_TIMEOUT));
        }
    }
    // All processes shut down concurrently.
    for result in join_all(stops).await {
        result?;
    }
    Ok(())
}

/// Updates a progress line if standard error is a terminal.
async fn show_progress(history: History, seconds: u64) {
    if !std::io::stderr().is_terminal() {
        return;
    }
    let mut ticks = tokio::time::interval(PROGRESS_INTERVAL);
    loop {
        ticks.tick().await;
        let line = {
            let record = history.lock();
            format!(
                "\r{:>4}/{seconds} s  opened {}  broken {}  answered {}  updates {}   ",
                record.started.elapsed().as_secs(),
                record.flows_opened,
                record.broken.len(),
                record.answered,
                record.feed_updates,
            )
        };
        let mut output = std::io::stderr().lock();
        let _ = output.write_all(line.as_bytes()).and_then(|()| output.flush());
    }
}
