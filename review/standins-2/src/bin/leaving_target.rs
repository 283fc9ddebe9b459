//! A target whose record has gone serves its open flows on, while the daemons are restarted in
//! turn: one of the two balancers and the agent beside that target.

use std::process::ExitCode;
use std::time::Duration;

use nix::sys::signal::Signal;
use weirhinge_platform_standins::{ClientFlow, Fleet, FlowError};
use weirhinge_review_cases::{
    HEARTBEAT, REQUEST_TIMEOUT, Record, SERVICE, exit_code, has_trouble, open, outcome, route,
    start,
};

/// Flows opened before the work begins.
const FLOWS: usize = 60;
/// Time between the exit of a stopped process and its next start.
const RESTART_DELAY: Duration = Duration::from_millis(600);
/// Time in which the machines are in touch before the work begins.
const CALM: Duration = Duration::from_millis(4_500);

#[tokio::main]
async fn main() -> ExitCode {
    exit_code(run().await)
}

async fn run() -> eyre::Result<bool> {
    let mut record = Record::new()?;
    let mut fleet = start(2, &[SERVICE, SERVICE, SERVICE]).await?;
    let verdict = play(&mut fleet, &mut record).await;
    record.write()?;
    verdict
}

async fn play(fleet: &mut Fleet, record: &mut Record) -> eyre::Result<bool> {
    let mut flows: Vec<(ClientFlow, String)> = Vec::new();
    for number in 0..FLOWS {
        let mut flow = open(&fleet.client).await?;
        let answer = flow.request(&format!("first-{number}"), REQUEST_TIMEOUT).await;
        let Ok(target) = answer else { eyre::bail!("first-{number}: {}", outcome(&answer)) };
        flows.push((flow, target));
    }
    let leaving = fleet.targets[0].name.clone();
    let stopping = fleet.packet_address(0);
    let (at_leaving, others): (Vec<_>, Vec<_>) =
        flows.into_iter().partition(|(_, target)| *target == leaving);
    record.line(format!(
        "{} flows open at target {leaving}, {} at the others",
        at_leaving.len(),
        others.len()
    ));
    keep_records(fleet, CALM, None).await;
    fleet.targets[0].remove_record();
    record.line(format!("target {leaving}: its record goes; it serves its flows on"));
    keep_records(fleet, Duration::from_millis(1_500), Some(0)).await;

    let (mut moving, mut staying): (Vec<_>, Vec<_>) = at_leaving
        .into_iter()
        .partition(|(flow, _)| fleet.routers.pick(flow.source(), route()) == Some(stopping));
    record.line(format!(
        "of its flows {} go through balancer 1 ({stopping}), {} through balancer 2",
        moving.len(),
        staying.len()
    ));
    eyre::ensure!(moving.len() >= 2, "too few flows of the target go through balancer 1");
    if has_trouble() {
        fleet.balancers[0].signal(Signal::SIGTERM)?;
        record.line("balancer 1: SIGTERM");
        fleet.balancers[0].wait_for_exit().await?;
        record.line("balancer 1: ended, its flows go through balancer 2");
        fleet.agents[0].signal(Signal::SIGTERM)?;
        record.line(format!("agent beside {leaving}: SIGTERM"));
        fleet.agents[0].wait_for_exit().await?;
        record.line(format!("agent beside {leaving}: ended"));
    }
    let mut requests = tokio::task::JoinSet::new();
    for (number, (mut flow, _)) in moving.drain(..).chain(staying.drain(..)).enumerate() {
        requests.spawn(async move {
            let id = format!("second-{number}");
            let answer = flow.request(&id, REQUEST_TIMEOUT).await;
            (id, flow.source(), answer)
        });
    }
    if has_trouble() {
        tokio::time::sleep(RESTART_DELAY).await;
        fleet.agents[0].restart()?;
        record.line(format!("agent beside {leaving}: started again"));
        fleet.balancers[0].restart()?;
        record.line("balancer 1: started again");
    }
    let mut resets = 0;
    while let Some(result) = requests.join_next().await {
        let (id, source, answer) = result?;
        record.line(format!("{id} from {source}: {}", outcome(&answer)));
        resets += usize::from(answer == Err(FlowError::Reset));
    }
    let open = fleet.targets[0].open_flows();
    let ran = fleet.targets[0].executed_requests().len();
    record.line(format!(
        "target {leaving} lives, holds {open} open flows and ran {ran} requests; it sent no reset"
    ));
    record.line(format!("{resets} open flows were reset by the system"));
    Ok(resets == 0)
}

/// Waits, while all targets but `except` renew their records.
async fn keep_records(fleet: &Fleet, time: Duration, except: Option<usize>) {
    let until = tokio::time::Instant::now() + time;
    while tokio::time::Instant::now() < until {
        for (index, target) in fleet.targets.iter().enumerate() {
            if Some(index) != except {
                target.renew_record();
            }
        }
        let next = tokio::time::Instant::now() + HEARTBEAT;
        tokio::time::sleep_until(next.min(until)).await;
    }
}
