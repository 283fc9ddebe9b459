//! All targets of a service start again under their identifiers, and all daemons are killed right
//! after. A write of each target's earlier incarnation, whose answer was lost, takes effect late.
//! Later the store is down, and the entries lapse meanwhile and come back. Is the service served
//! again?

use std::process::ExitCode;
use std::time::{Duration, Instant};

use weirhinge_platform_standins::{StoreFault, TargetBehaviour};
use weirhinge_review::drain::Traffic;
use weirhinge_review::late_write::write_late;
use weirhinge_review::{
    CONTACT, ROUTE_PORT, Record, SERVICE, SERVICE_TIME, exit_code, has_trouble, record_executed,
    require, start_fleet,
};

const BALANCERS: u8 = 3;
const TARGETS: usize = 3;
/// `recovery_s` of the small deployments.
const RECOVERY: Duration = Duration::from_secs(12);
/// When all daemons are killed, after the targets started again, and for how long they are gone.
const KILLED_AFTER: Duration = Duration::from_millis(1_500);
const DOWN: Duration = Duration::from_millis(800);
/// When the late writes take effect, after the targets started again. The store takes such writes
/// up to 6 s late.
const LATE_AFTER: Duration = Duration::from_millis(5_500);
/// When the targets next renew their records, after the late writes.
const RENEWED_AFTER: Duration = Duration::from_millis(700);
/// When the store goes down, after the late writes; when the entries lapse, when the store is back,
/// and when the entries are back, each after the step before.
const DOWN_AFTER: Duration = Duration::from_secs(2);
const LAPSE_AFTER: Duration = Duration::from_millis(3_300);
const BACK_AFTER: Duration = Duration::from_millis(1_200);
const ENTRIES_AFTER: Duration = Duration::from_millis(800);
/// How long requests are counted.
const COUNTED: Duration = Duration::from_secs(8);
/// HTTP status of a store that is down.
const UNAVAILABLE: u16 = 503;

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
    record.line(&format!("{BALANCERS} balancers and {TARGETS} targets run"));
    let traffic = Traffic::start(&fleet, &record);
    tokio::time::sleep(Duration::from_secs(4)).await;

    let restarted_at = Instant::now();
    fleet.targets.iter().for_each(|target| target.restart());
    record.say("all targets start again under their identifiers");
    tokio::time::sleep(KILLED_AFTER).await;
    fleet.configure(&[(ROUTE_PORT, &[(SERVICE, 1)])]);
    record.line("the operator writes a configuration, and the store takes it");
    let killed_at = Instant::now();
    for process in fleet.balancers.iter_mut().chain(&mut fleet.agents) {
        process.kill()?;
    }
    record.say("all daemons are killed");
    tokio::time::sleep(DOWN).await;
    for process in fleet.balancers.iter_mut().chain(&mut fleet.agents) {
        process.restart()?;
    }
    let machines_back_at = Instant::now();
    record.say("all daemons start again");
    tokio::time::sleep_until((restarted_at + LATE_AFTER).into()).await;
    if has_trouble() {
        fleet.targets.iter().for_each(|target| write_late(&fleet, target));
        record.say("a write of each target's earlier incarnation takes effect late");
    }
    tokio::time::sleep(RENEWED_AFTER).await;
    fleet.targets.iter().for_each(|target| target.renew_record());
    record.line("the targets renew their records");
    tokio::time::sleep(DOWN_AFTER).await;
    fleet.store.set_fault(StoreFault::Status(UNAVAILABLE));
    record.say("the store is down");
    tokio::time::sleep(LAPSE_AFTER).await;
    fleet.targets.iter().for_each(|target| target.remove_record());
    record.line("the entries lapse");
    tokio::time::sleep(BACK_AFTER).await;
    fleet.store.set_fault(StoreFault::None);
    let store_back_at = Instant::now();
    record.say("the store is back");
    tokio::time::sleep(ENTRIES_AFTER).await;
    fleet.targets.iter().for_each(|target| target.renew_record());
    record.say("the entries are back, all ready");
    let counted_from = (machines_back_at + RECOVERY).max(store_back_at + CONTACT);
    tokio::time::sleep_until((counted_from + COUNTED).into()).await;
    let opened = traffic.stop();
    record_executed(&fleet, &record);

    let before: Vec<bool> =
        opened.iter().filter(|flow| flow.at() < killed_at).map(|flow| flow.is_served()).collect();
    let after: Vec<bool> = opened
        .iter()
        .filter(|flow| flow.at() >= counted_from)
        .map(|flow| flow.is_served())
        .collect();
    require(before.len(), 300, "flows before the fault")?;
    require(after.len(), 300, "flows counted after it")?;
    let served = |flows: &[bool]| flows.iter().filter(|served| **served).count();
    record.say(&format!(
        "before the fault {} of {} requests were served; of those sent later than {} s after the \
         machines were back, {} of {}",
        served(&before),
        before.len(),
        (counted_from - machines_back_at).as_secs(),
        served(&after),
        after.len()
    ));
    let is_broken = served(&before) * 4 >= before.len() && served(&after) * 4 < after.len();
    record.say(if is_broken { "RECOVER broken" } else { "RECOVER held" });
    Ok(is_broken)
}
