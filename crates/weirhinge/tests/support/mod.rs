//! Helpers for tests with real processes: starting a fleet, opening flows and sending requests.

#![allow(dead_code)]

use std::path::Path;
use std::time::Duration;

use weirhinge_platform_standins::{ClientFlow, Fleet, FleetPlan, RouterHash, SETTINGS_TEMPLATE};

/// Request timeout, long enough for several retries on a busy machine.
pub const REQUEST_TIMEOUT: Duration = Duration::from_secs(15);
/// Metrics port of every machine.
pub const METRICS_PORT: u16 = 9_464;
/// Readiness port of every machine.
pub const READINESS_PORT: u16 = 8_167;
/// Port on which daemons accept connections from each other.
pub const PEER_PORT: u16 = 7_720;

/// Three balancers and four targets, of which the last serves another service.
pub fn plan() -> FleetPlan {
    FleetPlan {
        balancers: 3,
        targets: vec!["dispatch", "dispatch", "dispatch", "sheets"],
        target_zones: Vec::new(),
        hash: RouterHash::Modulo,
        processor_shares: Vec::new(),
    }
}

/// Starts a fleet of this plan, with the binary under test.
pub async fn start(plan: &FleetPlan) -> eyre::Result<Fleet> {
    Fleet::start(Path::new(env!("CARGO_BIN_EXE_weirhinge")), SETTINGS_TEMPLATE, plan).await
}

/// Opens flows and sends a first request on each. Returns each flow with the target that
/// answered.
pub async fn open_flows(fleet: &Fleet, count: usize) -> eyre::Result<Vec<(ClientFlow, String)>> {
    let mut flows = Vec::new();
    for number in 0..count {
        let mut flow = open_flow(fleet).await?;
        let server = request(&mut flow, &format!("first-{number}")).await?;
        flows.push((flow, server));
    }
    Ok(flows)
}

/// Opens a flow on the route of port 443.
pub async fn open_flow(fleet: &Fleet) -> eyre::Result<ClientFlow> {
    let opened = fleet.client.open(Fleet::route(443)).await;
    opened.map_err(|error| eyre::eyre!("open a flow: {error:?}"))
}

/// Opens flows until the routers send one to this balancer: a fixed number of flows may all go
/// to the others.
pub async fn open_flow_through(fleet: &Fleet, balancer: usize) -> eyre::Result<ClientFlow> {
    let route = Fleet::route(443);
    for _ in 0..1_000 {
        let flow = open_flow(fleet).await?;
        if fleet.routers.pick(flow.source(), route) == Some(fleet.packet_address(balancer)) {
            return Ok(flow);
        }
    }
    Err(eyre::eyre!("the routers sent none of 1,000 flows to balancer {balancer}"))
}

/// Sends a request on a flow. Returns the name of the target that answered.
pub async fn request(flow: &mut ClientFlow, id: &str) -> eyre::Result<String> {
    let answered = flow.request(id, REQUEST_TIMEOUT).await;
    answered.map_err(|error| eyre::eyre!("request {id}: {error:?}"))
}

/// Sends another request on each flow and fails if a different target answers.
pub async fn check_flows_kept(flows: &mut [(ClientFlow, String)], round: &str) -> eyre::Result<()> {
    for (number, (flow, server)) in flows.iter_mut().enumerate() {
        let answered = request(flow, &format!("{round}-{number}")).await?;
        eyre::ensure!(answered == *server, "flow {number} moved from {server} to {answered}");
    }
    Ok(())
}

/// Restarts all targets without their flows, under their old identifiers and incarnations.
pub fn lose_all_flows(fleet: &Fleet) {
    for target in &fleet.targets {
        target.crash();
        target.recover();
    }
}

/// Checks that no client or target received a packet with an invalid checksum.
pub fn assert_no_corrupted_packets(fleet: &Fleet) {
    assert_eq!(fleet.client.corrupted_packets(), 0);
    for target in &fleet.targets {
        assert_eq!(target.corrupted_packets(), 0);
    }
}

/// Counts how often a balancer listed the whole store, from its log.
pub fn count_listings(log: &str) -> usize {
    log.matches("\"event\":\"store_listed\"").count()
}

/// Waits until this version of the configuration has taken effect at every balancer.
pub async fn wait_for_version(fleet: &Fleet, version: u64, what: &str) -> eyre::Result<()> {
    let text = format!("\"version\":{version}");
    let has = |log: String| log.contains(&text);
    let all =
        |fleet: &Fleet| fleet.balancers.iter().all(|balancer| balancer.log_text().is_ok_and(has));
    fleet.wait_for(what, all).await
}
