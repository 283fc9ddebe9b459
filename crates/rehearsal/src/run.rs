//! Carries out one rehearsal from start to verdict.

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
use crate::standin::caller::AddressPool;
use crate::verdict::{ServiceWindows, Verdict, judge};

/// Time before the load: processes read their first configuration, and agents
/// wait until everybody knows them.
const SETTLE: Duration = Duration::from_millis(5_000);
/// Longest that feeds and answers may take to end after the load.
const WIND_DOWN: Duration = Duration::from_secs(40);
/// Longest that a process may take for its planned stop.
const STOP_LIMIT: Duration = Duration::from_secs(60);
/// Longest wait for the last flows; more than two keep-alive probes of an agent.
const LAST_FLOWS_LIMIT: Duration = Duration::from_secs(150);
/// Time between two looks at an agent's flows.
const LOOK_INTERVAL: Duration = Duration::from_millis(200);
/// Longest wait for an agent's answer.
const LOOK_TIMEOUT: Duration = Duration::from_secs(2);
/// Time between two progress lines.
const PROGRESS_INTERVAL: Duration = Duration::from_secs(1);

/// Runs a rehearsal and judges it.
///
/// # Errors
/// When a part cannot be started or a process does not stop as planned.
pub async fn rehearse(scenario: &Scenario, options: &FleetOptions) -> eyre::Result<Verdict> {
    let history = History::new()?;
    let mut fleet = Fleet::start(scenario, options, &history).await?;
    tokio::time::sleep(SETTLE).await;
    let started = Instant::now();
    let until = started + Duration::from_secs(scenario.seconds);
    history.lock().started = started.into_std();
    let load_ending = Arc::new(AtomicBool::new(false));
    let progress = tokio::spawn(show_progress(history.clone(), scenario.seconds));
    let samplers = start_samplers(&fleet, &load_ending);
    let context = LoadContext {
        fabric: fleet.fabric.clone(),
        pool: Arc::new(AddressPool::default()),
        history: history.clone(),
        ending: load_ending.clone(),
        next_request: Arc::new(AtomicU64::new(1)),
    };
    let mut callers = start_callers(scenario, options, &context, until);
    run_schedule(&mut fleet, &history, started, until).await?;
    load_ending.store(true, Ordering::Relaxed);
    let mut services = Vec::new();
    for (service, sampler) in samplers {
        let windows = sampler.await.wrap_err("sample slots in use")?;
        services.push(ServiceWindows { service, windows });
    }
    let ended =
        tokio::time::timeout(WIND_DOWN, async { while callers.join_next().await.is_some() {} });
    ended.await.wrap_err("wait for the last answers")?;
    progress.abort();
    let counters = scrape_all(&fleet.admin_addresses()).await;
    if options.stop_deadline_seconds.is_none() {
        wait_for_last_flows(&fleet).await;
    }
    stop_fleet(&mut fleet).await?;
    let verdict = judge(&history.lock(), &services, counters);
    Ok(verdict)
}

fn start_samplers(
    fleet: &Fleet,
    ending: &Arc<AtomicBool>,
) -> Vec<(String, JoinHandle<Vec<crate::sampler::Window>>)> {
    let mut samplers = Vec::new();
    for service in fleet.sampled_services() {
        let name = service.name.clone();
        let desired = fleet.desired_access();
        let is_active = move |target: usize| {
            let document = desired.lock().unwrap_or_else(PoisonError::into_inner);
            Fleet::is_active(&document, target)
        };
        samplers.push((name, tokio::spawn(sample(service, is_active, ending.clone()))));
    }
    samplers
}

fn start_callers(
    scenario: &Scenario,
    options: &FleetOptions,
    context: &LoadContext,
    until: Instant,
) -> JoinSet<()> {
    let mut callers = JoinSet::new();
    for (index, service) in scenario.services.iter().enumerate() {
        let load = ServiceLoad {
            context: context.clone(),
            service: service.clone(),
            seed: options.seed.wrapping_mul(31).wrapping_add(index as u64),
        };
        callers.spawn(load.clone().run_feeds());
        callers.spawn(load.run_requests(until));
    }
    callers
}

/// Waits until no agent holds a flow, while every process still runs. A caller's
/// last reset may have been lost: the agent's next packet brings another, which
/// needs balancers and the bucket's owner to find its way.
async fn wait_for_last_flows(fleet: &Fleet) {
    let deadline = Instant::now() + LAST_FLOWS_LIMIT;
    for agent in fleet.agent_admins() {
        while Instant::now() < deadline && flows_at(agent).await > 0 {
            tokio::time::sleep(LOOK_INTERVAL).await;
        }
    }
}

/// Flows that an agent holds; none if it does not run any more.
async fn flows_at(agent: SocketAddr) -> u64 {
    let health = fetch(agent, "/health", None, LOOK_TIMEOUT).await;
    let Ok(Fetched::Body { bytes, .. }) = health else {
        return 0;
    };
    serde_json::from_slice::<HeldFlows>(&bytes).map_or(0, |health| health.flows)
}

#[derive(Deserialize)]
struct HeldFlows {
    flows: u64,
}

/// Stops every process that still runs, as planned; none may fail.
async fn stop_fleet(fleet: &mut Fleet) -> eyre::Result<()> {
    let processes = fleet
        .agents
        .iter_mut()
        .chain(fleet.balancers.iter_mut().map(|balancer| &mut balancer.process));
    let mut stops = Vec::new();
    for process in processes {
        if !process.has_ended() {
            stops.push(process.stop(STOP_LIMIT));
        }
    }
    // All are told at once and awaited together.
    for result in join_all(stops).await {
        result?;
    }
    Ok(())
}

/// Shows a live line on a terminal; prints nothing elsewhere.
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
