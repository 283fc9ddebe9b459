//! A target starts again under its identifier, and a write of its earlier incarnation, whose answer
//! was lost, takes effect late. In between the balancer that reads the store was stopped and
//! started again, so that it has seen the later incarnation only. Do the balancers follow the
//! target's record from then on, and stop sending new flows to it when it drains?

use std::process::ExitCode;
use std::time::{Duration, Instant};

use nix::sys::signal::Signal;
use weirhinge_platform_standins::TargetBehaviour;
use weirhinge_review::drain::{Added, Leave, Traffic, check_drain};
use weirhinge_review::late_write::write_late;
use weirhinge_review::{
    Record, SERVICE_TIME, exit_code, has_trouble, record_executed, start_fleet,
};

const BALANCERS: u8 = 3;
/// The balancer that is stopped and started again: the one with the lowest address, which reads the
/// store.
const READER: usize = 0;
const TARGETS: usize = 6;
/// The target that starts again, and leaves later.
const TARGET: usize = 1;
/// When the target starts again, after the balancer was told to stop.
const RESTARTS_AFTER: Duration = Duration::from_millis(1_000);
/// How long after that the late write takes effect. The store takes such writes up to 6 s late.
const LATE_AFTER: Duration = Duration::from_millis(5_500);
/// When the target next renews its record, after the late write.
const RENEWED_AFTER: Duration = Duration::from_millis(700);
/// When the target says draining, after the late write: `contact_ms` have passed for all machines.
const DRAINS_AFTER: Duration = Duration::from_secs(7);
/// How long the target serves on after that.
const SERVES_ON: Duration = Duration::from_secs(10);

#[tokio::main]
async fn main() -> ExitCode {
    exit_code(run().await)
}

async fn run() -> eyre::Result<bool> {
    let record = Record::create()?;
    let mut fleet = start_fleet(BALANCERS, TARGETS).await?;
    for target in &fleet.targets {
        target.set_behaviour(TargetBehaviour { service_time: SERVICE_TIME, ..Default::default() });
    }
    record.line(&format!("{BALANCERS} balancers and {} targets run", fleet.targets.len()));
    let traffic = Traffic::start(&fleet, &record);
    tokio::time::sleep(Duration::from_secs(2)).await;

    let name = fleet.targets[TARGET].name.clone();
    fleet.balancers[READER].signal(Signal::SIGTERM)?;
    record.say(&format!("balancer {} is told to stop", fleet.balancers[READER].address));
    tokio::time::sleep(RESTARTS_AFTER).await;
    let restarted_at = Instant::now();
    fleet.targets[TARGET].restart();
    record.say(&format!("target {name} starts again under its identifier"));
    fleet.balancers[READER].wait_for_exit().await?;
    let started_at = Instant::now();
    fleet.balancers[READER].restart()?;
    record.say(&format!("balancer {} starts again", fleet.balancers[READER].address));
    if started_at + Duration::from_millis(500) > restarted_at + LATE_AFTER {
        return Err(eyre::eyre!("the balancer took too long to stop"));
    }
    tokio::time::sleep_until((restarted_at + LATE_AFTER).into()).await;
    let late_at = Instant::now();
    if has_trouble() {
        write_late(&fleet, &fleet.targets[TARGET]);
        record.say("a write of the earlier incarnation takes effect late");
    }
    tokio::time::sleep_until((late_at + RENEWED_AFTER).into()).await;
    fleet.targets[TARGET].renew_record();
    record.line("the target renews its record");
    tokio::time::sleep_until((late_at + DRAINS_AFTER).into()).await;
    let draining_at = Instant::now();
    fleet.targets[TARGET].drain();
    record.say(&format!("target {name} says draining and serves on"));
    tokio::time::sleep_until((draining_at + SERVES_ON).into()).await;
    fleet.targets[TARGET].terminate();
    fleet.agents[TARGET].signal(Signal::SIGTERM)?;
    record.say(&format!("target {name} ends"));
    tokio::time::sleep(Duration::from_secs(3)).await;
    let opened = traffic.stop();
    record_executed(&fleet, &record);
    for line in fleet.balancers[READER].log_text()?.lines() {
        if line.contains("\"event\":\"target\"") || line.contains("\"event\":\"target_removed\"") {
            record.line(&format!("log of the balancer that started again: {line}"));
        }
    }
    let leave = Leave { target: &name, at: draining_at, store_calm_at: late_at };
    let added = Added { address: fleet.packet_address(READER), at: started_at };
    check_drain(&opened, &leave, &added, &record)
}
