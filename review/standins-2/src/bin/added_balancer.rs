//! A target whose record has gone serves its open flows on. The agents beside the other targets are
//! restarted in turn. Some seconds later a balancer is added, and a part of the flows goes
//! through it.

use std::process::ExitCode;
use std::time::Duration;

use nix::sys::signal::Signal;
use weirhinge_platform_standins::{ClientFlow, Fleet, FlowError};
use weirhinge_review_cases::{
    REQUEST_TIMEOUT, Record, SERVICE, exit_code, has_trouble, open, outcome, route, start,
};

/// Flows opened before the work begins.
const FLOWS: usize = 240;
/// Index of the balancer that is added.
const ADDED: usize = 3;
/// Time between the exit of a stopped process and its next start.
const RESTART_DELAY: Duration = Duration::from_millis(600);
/// Time in which the machines are in touch, and other daemons forget a machine that left.
const CALM: Duration = Duration::from_millis(7_500);
/// Time between the last restart of an agent and the start of the added balancer: all machines are
/// in touch again.
const CONTACT: Duration = Duration::from_millis(4_500);

#[tokio::main]
async fn main() -> ExitCode {
    exit_code(run().await)
}

async fn run() -> eyre::Result<bool> {
    let mut record = Record::new()?;
    let mut fleet = start(4, &[SERVICE, SERVICE, SERVICE, SERVICE]).await?;
    let verdict = play(&mut fleet, &mut record).await;
    record.write()?;
    verdict
}

async fn play(fleet: &mut Fleet, record: &mut Record) -> eyre::Result<bool> {
    let added = fleet.packet_address(ADDED);
    fleet.balancers[ADDED].signal(Signal::SIGTERM)?;
    fleet.balancers[ADDED].wait_for_exit().await?;
    record.line(format!("balancer 4 ({added}) is not part of the fleet yet"));

    let mut flows: Vec<(ClientFlow, String)> = Vec::new();
    for number in 0..FLOWS {
        let mut flow = open(&fleet.client).await?;
        let answer = flow.request(&format!("first-{number}"), REQUEST_TIMEOUT).await;
        let Ok(target) = answer else { eyre::bail!("first-{number}: {}", outcome(&answer)) };
        flows.push((flow, target));
    }
    let leaving = fleet.targets[0].name.clone();
    let at_leaving: Vec<_> = flows.into_iter().filter(|(_, target)| *target == leaving).collect();
    record.line(format!("{} of {FLOWS} flows open at target {leaving}", at_leaving.len()));
    tokio::time::sleep(CALM).await;

    fleet.targets[0].remove_record();
    record.line(format!("target {leaving}: its record goes; it serves its flows on"));
    for index in 1..fleet.agents.len() {
        if has_trouble() {
            let address = fleet.agents[index].address;
            fleet.agents[index].signal(Signal::SIGTERM)?;
            fleet.agents[index].wait_for_exit().await?;
            tokio::time::sleep(RESTART_DELAY).await;
            fleet.agents[index].restart()?;
            record.line(format!("agent {address}: stopped with SIGTERM and started again"));
        } else {
            tokio::time::sleep(RESTART_DELAY).await;
        }
    }
    tokio::time::sleep(CONTACT).await;

    fleet.balancers[ADDED].restart()?;
    record.line("balancer 4: started");
    fleet.wait_for("the added balancer", |fleet| fleet.routers.ready_count() == 4).await?;
    record.line("balancer 4: ready, the routers send it its share of the flows");
    let moved = |flow: &ClientFlow| fleet.routers.pick(flow.source(), route()) == Some(added);
    let moving: Vec<_> = at_leaving.into_iter().filter(|(flow, _)| moved(flow)).collect();
    eyre::ensure!(moving.len() >= 2, "too few flows of the target move to the added balancer");
    let mut requests = tokio::task::JoinSet::new();
    for (number, (mut flow, _)) in moving.into_iter().enumerate() {
        requests.spawn(async move {
            let id = format!("second-{number}");
            let answer = flow.request(&id, REQUEST_TIMEOUT).await;
            (id, flow.source(), answer)
        });
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
