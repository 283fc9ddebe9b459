//! Two real balancers with unequal processor shares, of which the small one gets more packets
//! than it can handle.

use std::net::IpAddr;
use std::path::Path;
use std::time::Duration;

use nix::sys::signal::Signal;
use weirhinge_platform_standins::{
    Fleet, FleetPlan, RouterHash, SETTINGS_TEMPLATE, counter, http_get,
};

const METRICS_PORT: u16 = 9_464;
const REQUEST_TIMEOUT: Duration = Duration::from_secs(15);
/// Index of the balancer with the small processor share.
const SMALL: usize = 0;
/// Index of the balancer with the large processor share.
const LARGE: usize = 1;
/// Packets that reach the balancer at once, far more than it handles in one iteration of its
/// receive loop.
const BURST_PACKETS: u16 = 200;
/// Time in which the balancer receives the burst but cannot handle all of it.
const RECEIVE_TIME: Duration = Duration::from_millis(1);
/// How long the balancer is paused then: longer than the backlog wait that counts as pressure.
const PAUSE: Duration = Duration::from_millis(30);
/// Maximum number of bursts until packets are handed off.
const MAX_ROUNDS: u16 = 100;

/// Reads a counter of a balancer's metrics.
async fn read_counter(fleet: &Fleet, balancer: usize, name: &str) -> eyre::Result<u64> {
    let address = IpAddr::V4(fleet.balancers[balancer].address);
    let metrics = http_get(address, METRICS_PORT, "/metrics").await?;
    counter(&metrics, name).ok_or_else(|| eyre::eyre!("no {name} in {metrics}"))
}

/// Makes packets of unknown flows wait in the backlog of the small balancer.
async fn apply_pressure(fleet: &Fleet, round: u16) -> eyre::Result<()> {
    fleet.balancers[SMALL].signal(Signal::SIGSTOP)?;
    for number in 0..BURST_PACKETS {
        let port = 1_000 + (round * BURST_PACKETS + number) % 9_000;
        fleet.client.send_stray(fleet.packet_address(SMALL), Fleet::route(443), port).await?;
    }
    fleet.balancers[SMALL].signal(Signal::SIGCONT)?;
    tokio::time::sleep(RECEIVE_TIME).await;
    fleet.balancers[SMALL].signal(Signal::SIGSTOP)?;
    tokio::time::sleep(PAUSE).await;
    fleet.balancers[SMALL].signal(Signal::SIGCONT)
}

#[tokio::test(flavor = "multi_thread")]
async fn balancer_under_pressure_hands_off_unknown_flows_and_keeps_its_own() -> eyre::Result<()> {
    let plan = FleetPlan {
        balancers: 2,
        targets: vec!["dispatch", "dispatch"],
        target_zones: Vec::new(),
        hash: RouterHash::Consistent,
        processor_shares: vec![0.05, 0.5],
    };
    let program = Path::new(env!("CARGO_BIN_EXE_weirhinge"));
    let fleet = Fleet::start(program, SETTINGS_TEMPLATE, &plan).await?;
    let mut flows = Vec::new();
    for number in 0..20 {
        let opened = fleet.client.open(Fleet::route(443)).await;
        let mut flow = opened.map_err(|error| eyre::eyre!("open: {error:?}"))?;
        let answered = flow.request(&format!("first-{number}"), REQUEST_TIMEOUT).await;
        let server = answered.map_err(|error| eyre::eyre!("request: {error:?}"))?;
        flows.push((flow, server));
    }
    let mut handed_in = 0;
    for round in 0..MAX_ROUNDS {
        apply_pressure(&fleet, round).await?;
        tokio::time::sleep(Duration::from_millis(100)).await;
        handed_in = read_counter(&fleet, LARGE, "weirhinge_packets_handed_in_total").await?;
        if handed_in > 0 {
            break;
        }
    }
    assert!(handed_in > 0, "the small balancer handed no packets to the large one");
    assert!(read_counter(&fleet, SMALL, "weirhinge_packets_handed_off_total").await? > 0);
    // The large balancer never hands packets to the small one.
    assert_eq!(read_counter(&fleet, LARGE, "weirhinge_packets_handed_off_total").await?, 0);
    for (number, (flow, server)) in flows.iter_mut().enumerate() {
        let answered = flow.request(&format!("second-{number}"), REQUEST_TIMEOUT).await;
        let answered = answered.map_err(|error| eyre::eyre!("request: {error:?}"))?;
        eyre::ensure!(answered == *server, "flow {number} moved from {server} to {answered}");
    }
    let opened = fleet.client.open(Fleet::route(443)).await;
    assert!(opened.is_ok(), "no flow opens under pressure");
    assert!(fleet.balancers[SMALL].log_text()?.contains("\"event\":\"helpers\""));
    Ok(())
}
