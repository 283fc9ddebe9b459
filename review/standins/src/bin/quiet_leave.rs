//! A target's entry goes although the target serves on, and a balancer is added: do the flows that
//! are open at the target survive?

use std::process::ExitCode;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use weirhinge_platform_standins::{ClientFlow, Fleet, FlowError};
use weirhinge_review::{
    ROUTE_PORT, Record, exit_code, has_trouble, record_executed, require, set_aside_last_balancer,
    start_fleet,
};

/// Balancers before the machine is added.
const BALANCERS: u8 = 3;
const TARGETS: usize = 4;
const FLOWS: usize = 160;
/// The target that leaves.
const LEAVER: usize = 1;
const REQUEST_INTERVAL: Duration = Duration::from_millis(350);
const REQUEST_TIMEOUT: Duration = Duration::from_millis(2_500);
/// How long the leaving target serves on: longer than `drain_ms`.
const SERVES_ON: Duration = Duration::from_secs(10);

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum End {
    Open,
    Reset,
    Unanswered,
}

struct FlowResult {
    server: String,
    end: End,
}

#[tokio::main]
async fn main() -> ExitCode {
    exit_code(run().await)
}

async fn run() -> eyre::Result<bool> {
    let record = Record::create()?;
    let mut fleet = start_fleet(BALANCERS + 1, TARGETS).await?;
    let spare = set_aside_last_balancer(&mut fleet).await?;
    record.line(&format!("{spare} balancers and {} targets run", fleet.targets.len()));

    let stop = Arc::new(AtomicBool::new(false));
    let mut tasks = Vec::new();
    for number in 0..FLOWS {
        let mut flow = fleet
            .client
            .open(Fleet::route(ROUTE_PORT))
            .await
            .map_err(|error| eyre::eyre!("open flow {number}: {error:?}"))?;
        let server = flow
            .request(&format!("f{number}-0"), REQUEST_TIMEOUT)
            .await
            .map_err(|error| eyre::eyre!("first request on flow {number}: {error:?}"))?;
        record.line(&format!("flow {number} from {} opened at {server}", flow.source()));
        tasks.push(tokio::spawn(feed(number, flow, server, Arc::clone(&stop), record.clone())));
    }
    let leaver = fleet.targets[LEAVER].name.clone();
    record.line(&format!(
        "all flows open; target {leaver} holds {} of them",
        fleet.targets[LEAVER].open_flows()
    ));
    require(fleet.targets[LEAVER].open_flows(), 20, "flows at the target that leaves")?;
    tokio::time::sleep(Duration::from_secs(2)).await;

    if std::env::var("LEAVE").as_deref() == Ok("draining") {
        fleet.targets[LEAVER].drain();
        record.say(&format!("target {leaver} says draining and serves on"));
    } else {
        fleet.targets[LEAVER].remove_record();
        record.say(&format!("the entry of target {leaver} goes; the target serves on"));
    }
    tokio::time::sleep(Duration::from_secs(1)).await;
    if has_trouble() {
        fleet.balancers[spare].restart()?;
        record.say(&format!("balancer {} is added", fleet.balancers[spare].address));
    }
    tokio::time::sleep(SERVES_ON - Duration::from_secs(1)).await;
    record.line(&format!(
        "target {leaver} still holds {} flows and serves",
        fleet.targets[LEAVER].open_flows()
    ));
    stop.store(true, Ordering::Relaxed);

    let mut results = Vec::new();
    for task in tasks {
        results.push(task.await?);
    }
    record_executed(&fleet, &record);
    let added_log = fleet.balancers[spare].log_text()?;
    record.line(&format!(
        "log of the added balancer: {} flows reset because no target holds them",
        added_log.matches("\"outcome\":\"nobody_holds\"").count()
    ));
    let count = |at_leaver: bool, end: End| {
        results
            .iter()
            .filter(|flow| (flow.server == leaver) == at_leaver && flow.end == end)
            .count()
    };
    let broken = count(true, End::Reset) + count(false, End::Reset);
    record.say(&format!(
        "flows at the leaving target: {} kept, {} reset, {} unanswered; at the others: {} kept, \
         {} reset, {} unanswered",
        count(true, End::Open),
        count(true, End::Reset),
        count(true, End::Unanswered),
        count(false, End::Open),
        count(false, End::Reset),
        count(false, End::Unanswered)
    ));
    record.say(if broken > 0 {
        "FLOW broken: clients got resets that no target sent, while the flow's target lived"
    } else {
        "FLOW held"
    });
    Ok(broken > 0)
}

/// Sends requests on an open flow until the run ends or the flow is reset. No target of this
/// deployment ever sends a reset.
async fn feed(
    number: usize,
    mut flow: ClientFlow,
    server: String,
    stop: Arc<AtomicBool>,
    record: Record,
) -> FlowResult {
    let mut end = End::Open;
    let mut request = 0;
    while !stop.load(Ordering::Relaxed) {
        tokio::time::sleep(REQUEST_INTERVAL).await;
        request += 1;
        let id = format!("f{number}-{request}");
        match flow.request(&id, REQUEST_TIMEOUT).await {
            Ok(answered_by) => record.line(&format!("{id} answered by {answered_by}")),
            Err(FlowError::Reset) => {
                record.line(&format!("{id} sent to {server}: the flow was reset"));
                end = End::Reset;
                break;
            }
            Err(FlowError::TimedOut) => {
                record.line(&format!("{id} sent to {server}: no answer"));
                end = End::Unanswered;
            }
        }
    }
    record.line(&format!("flow {number} at {server}: {request} requests, {end:?}"));
    FlowResult { server, end }
}
