//! Real balancers of unequal strength, of which the weak one gets more packets than
//! it has time for.

use std::net::IpAddr;
use std::path::Path;
use std::time::Duration;

use nix::sys::signal::Signal;
use weirhinge_platform_standins::{
    Fleet, FleetPlan, RouterHash, SETTINGS_TEMPLATE, counter, http_get,
};

const METRICS: u16 = 9_464;
const DEADLINE: Duration = Duration::from_secs(15);
const WEAK: usize = 0;
const STRONG: usize = 1;
/// Packets that meet the balancer at once, far more than it decides about in a turn.
const BURST: u16 = 200;
/// Time in which it takes them in and has not decided about all of them.
const TAKES_IN: Duration = Duration::from_millis(1);
/// How long it stands still then, longer than a wait that shows pressure.
const STANDS_STILL: Duration = Duration::from_millis(30);
const ROUNDS: u16 = 100;

async fn count(fleet: &Fleet, balancer: usize, name: &str) -> eyre::Result<u64> {
    let address = IpAddr::V4(fleet.balancers[balancer].address);
    let figures = http_get(address, METRICS, "/metrics").await?;
    counter(&figures, name).ok_or_else(|| eyre::eyre!("no {name} in {figures}"))
}

/// Lets packets of unknown flows wait in the weak balancer.
async fn press(fleet: &Fleet, round: u16) -> eyre::Result<()> {
    fleet.balancers[WEAK].signal(Signal::SIGSTOP)?;
    for number in 0..BURST {
        let port = 1_000 + (round * BURST + number) % 9_000;
        fleet.client.send_stray(fleet.packets(WEAK), Fleet::route(443), port).await?;
    }
    fleet.balancers[WEAK].signal(Signal::SIGCONT)?;
    tokio::time::sleep(TAKES_IN).await;
    fleet.balancers[WEAK].signal(Signal::SIGSTOP)?;
    tokio::time::sleep(STANDS_STILL).await;
    fleet.balancers[WEAK].signal(Signal::SIGCONT)
}

#[tokio::test(flavor = "multi_thread")]
async fn a_pressed_balancer_hands_unknown_flows_off_and_serves_its_own() -> eyre::Result<()> {
    let plan = FleetPlan {
        balancers: 2,
        targets: vec!["dispatch", "dispatch"],
        target_zones: Vec::new(),
        hash: RouterHash::Steady,
        processor_shares: vec![0.05, 0.5],
    };
    let program = Path::new(env!("CARGO_BIN_EXE_weirhinge"));
    let fleet = Fleet::start(program, SETTINGS_TEMPLATE, &plan).await?;
    let mut flows = Vec::new();
    for number in 0..20 {
        let opened = fleet.client.open(Fleet::route(443)).await;
        let mut flow = opened.map_err(|error| eyre::eyre!("open: {error:?}"))?;
        let answered = flow.request(&format!("first-{number}"), DEADLINE).await;
        let server = answered.map_err(|error| eyre::eyre!("request: {error:?}"))?;
        flows.push((flow, server));
    }
    let mut handed_in = 0;
    for round in 0..ROUNDS {
        press(&fleet, round).await?;
        tokio::time::sleep(Duration::from_millis(100)).await;
        handed_in = count(&fleet, STRONG, "weirhinge_packets_handed_in_total").await?;
        if handed_in > 0 {
            break;
        }
    }
    assert!(handed_in > 0, "the strong balancer was never asked");
    assert!(count(&fleet, WEAK, "weirhinge_packets_handed_off_total").await? > 0);
    // The strong one never hands anything to the weak one.
    assert_eq!(count(&fleet, STRONG, "weirhinge_packets_handed_off_total").await?, 0);
    for (number, (flow, server)) in flows.iter_mut().enumerate() {
        let answered = flow.request(&format!("second-{number}"), DEADLINE).await;
        let answered = answered.map_err(|error| eyre::eyre!("request: {error:?}"))?;
        eyre::ensure!(answered == *server, "flow {number} moved from {server} to {answered}");
    }
    let opened = fleet.client.open(Fleet::route(443)).await;
    assert!(opened.is_ok(), "a flow opens under pressure");
    assert!(fleet.balancers[WEAK].log_text()?.contains("\"event\":\"helpers\""));
    Ok(())
}
