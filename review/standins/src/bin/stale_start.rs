//! A balancer is added shortly after a target's entry went, while the store is slow. Its first
//! listing is a stale read that still shows the entry, and completes after its peers' state has
//! arrived. Does the balancer send new flows to the target once the bound on leaving targets has
//! passed?

use std::process::ExitCode;
use std::time::{Duration, Instant};

use nix::sys::signal::Signal;
use weirhinge_platform_standins::{StoreFault, TargetBehaviour};
use weirhinge_review::drain::{Added, Leave, Traffic, check_drain};
use weirhinge_review::{
    Record, SERVICE_TIME, exit_code, has_trouble, record_executed, set_aside_last_balancer,
    start_fleet,
};

/// Balancers before the machine is added.
const BALANCERS: u8 = 3;
const TARGETS: usize = 12;
/// The target that leaves.
const LEAVER: usize = 1;
/// How old the data of stale reads is when the target's entry goes, and when the machine is added,
/// after the entry went.
const STALE_BEFORE: Duration = Duration::from_millis(500);
const ADDED_AFTER: Duration = Duration::from_millis(1_000);
/// How long the target serves on after its entry went.
const SERVES_ON: Duration = Duration::from_secs(12);
/// How long a slow store takes for an answer: 50 times as long as usual.
const SLOW_ANSWER: Duration = Duration::from_millis(200);
/// When the store is slow, after the entry went.
const SLOW_FROM: Duration = Duration::from_millis(500);
const SLOW_UNTIL: Duration = Duration::from_millis(2_500);

#[tokio::main]
async fn main() -> ExitCode {
    exit_code(run().await)
}

async fn run() -> eyre::Result<bool> {
    let record = Record::create()?;
    let mut fleet = start_fleet(BALANCERS + 1, TARGETS).await?;
    for target in &fleet.targets {
        target.set_behaviour(TargetBehaviour { service_time: SERVICE_TIME, ..Default::default() });
    }
    let spare = set_aside_last_balancer(&mut fleet).await?;
    record.line(&format!("{spare} balancers and {} targets run", fleet.targets.len()));

    let traffic = Traffic::start(&fleet, &record);
    tokio::time::sleep(Duration::from_secs(2)).await;
    fleet.store.freeze_stale_reads();
    record.line("stale reads return the data of this moment from now on");
    tokio::time::sleep(STALE_BEFORE).await;
    let leaver = fleet.targets[LEAVER].name.clone();
    let gone_at = Instant::now();
    fleet.targets[LEAVER].remove_record();
    record.say(&format!("the entry of target {leaver} goes; the target serves on"));
    tokio::time::sleep_until((gone_at + SLOW_FROM).into()).await;
    if has_trouble() {
        fleet.store.set_fault(StoreFault::Slow(SLOW_ANSWER));
        record.say("the store becomes slow");
    }
    tokio::time::sleep_until((gone_at + ADDED_AFTER).into()).await;
    let added_at = Instant::now();
    fleet.balancers[spare].restart()?;
    record.say(&format!("balancer {} is added", fleet.balancers[spare].address));
    tokio::time::sleep_until((gone_at + SLOW_UNTIL).into()).await;
    let store_calm_at = Instant::now();
    fleet.store.set_fault(StoreFault::None);
    record.line("the store answers as usual");
    tokio::time::sleep_until((gone_at + SERVES_ON).into()).await;
    fleet.targets[LEAVER].terminate();
    fleet.agents[LEAVER].signal(Signal::SIGTERM)?;
    record.say(&format!("target {leaver} ends"));
    tokio::time::sleep(Duration::from_secs(4)).await;
    let opened = traffic.stop();
    record_executed(&fleet, &record);
    for line in fleet.balancers[spare].log_text()?.lines() {
        if line.contains("store_listed")
            || line.contains("targets_listed")
            || line.contains("\"event\":\"target\"")
        {
            record.line(&format!("log of the added balancer: {line}"));
        }
    }
    let leave = Leave { target: &leaver, at: gone_at, store_calm_at };
    let added = Added { address: fleet.packet_address(spare), at: added_at };
    check_drain(&opened, &leave, &added, &record)
}
