//! Real processes while the platform's store or connections to it fail.

mod support;

use std::net::IpAddr;
use std::time::Duration;

use support::{
    METRICS_PORT, PEER_PORT, READINESS_PORT, REQUEST_TIMEOUT, check_flows_kept, open_flow,
    open_flows, plan, request, start, wait_for_version,
};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use weirhinge_platform_standins::{LinkFault, StoreFault};

#[tokio::test(flavor = "multi_thread")]
async fn restarted_balancers_get_store_data_from_agents() -> eyre::Result<()> {
    let mut fleet = start(&plan()).await?;
    let mut flows = open_flows(&fleet, 10).await?;
    fleet
        .wait_for("the configuration at all agents", |fleet| {
            let has = |log: String| log.contains("\"event\":\"configuration\"");
            fleet.agents.iter().all(|agent| agent.log_text().is_ok_and(has))
        })
        .await?;
    fleet.store.set_fault(StoreFault::Silent);
    for balancer in &mut fleet.balancers {
        balancer.kill()?;
    }
    for balancer in &mut fleet.balancers {
        balancer.restart()?;
    }
    check_flows_kept(&mut flows, "down").await?;
    let mut flow = open_flow(&fleet).await?;
    request(&mut flow, "new").await?;
    // Updates are applied once the store recovers.
    fleet.store.set_fault(StoreFault::None);
    fleet.configure(&[(443, &[("sheets", 1)])]);
    wait_for_version(&fleet, 6, "the new configuration at all balancers").await?;
    Ok(())
}

/// The first listing of a daemon without state may be some seconds old.
#[tokio::test(flavor = "multi_thread")]
async fn fleet_that_starts_from_a_stale_listing_applies_later_changes() -> eyre::Result<()> {
    let mut fleet = start(&plan()).await?;
    fleet.store.freeze_stale_reads();
    for process in fleet.balancers.iter_mut().chain(&mut fleet.agents) {
        process.kill()?;
    }
    fleet.configure(&[(443, &[("sheets", 1)])]);
    for process in fleet.balancers.iter_mut().chain(&mut fleet.agents) {
        process.restart()?;
    }
    wait_for_version(&fleet, 6, "a change that the listing lacks").await?;
    fleet.configure(&[(443, &[("dispatch", 1)])]);
    wait_for_version(&fleet, 9, "the next change").await
}

#[tokio::test(flavor = "multi_thread")]
async fn changes_reach_balancers_without_store_access() -> eyre::Result<()> {
    let faults = [
        StoreFault::Status(429),
        StoreFault::Status(503),
        StoreFault::Silent,
        StoreFault::Reset,
        StoreFault::Slow(Duration::from_millis(300)),
    ];
    let mut fleet = start(&plan()).await?;
    let mut version = 3;
    // The balancer with the lowest address reads the store for all: fail its requests first,
    // then those of another balancer.
    for (round, fault) in faults.into_iter().enumerate() {
        let failing = fleet.balancers[round % 2].address;
        fleet.store.set_fault_for(IpAddr::V4(failing), fault);
        fleet.configure(&[(443, &[("dispatch", 1)])]);
        version += 3;
        wait_for_version(
            &fleet,
            version,
            "a change at all balancers while one cannot read the store",
        )
        .await?;
        fleet.store.set_fault_for(IpAddr::V4(failing), StoreFault::None);
    }
    Ok(())
}

#[tokio::test(flavor = "multi_thread")]
async fn lost_store_history_leads_to_a_new_listing() -> eyre::Result<()> {
    let mut fleet = start(&plan()).await?;
    fleet.store.discard_history();
    fleet.configure(&[(443, &[("sheets", 1)])]);
    fleet.store.discard_history();
    wait_for_version(&fleet, 6, "the configuration written before the history was lost").await?;
    let log = fleet.balancers[0].log_text()?;
    assert!(log.contains("store_history_gone") || log.contains("\"source\":\"peer\""));
    Ok(())
}

#[tokio::test(flavor = "multi_thread")]
async fn stalled_store_connections_are_replaced() -> eyre::Result<()> {
    let mut fleet = start(&plan()).await?;
    for version in [6, 9] {
        for link in &fleet.store_links {
            link.set_fault(LinkFault::StallOpenConnections);
        }
        fleet.configure(&[(443, &[("sheets", 1)])]);
        wait_for_version(&fleet, version, "the configuration while old store connections stall")
            .await?;
    }
    Ok(())
}

/// Waits until the daemon closes the connection, without sending anything.
async fn wait_for_close(mut stream: TcpStream) -> eyre::Result<()> {
    let mut received = Vec::new();
    let read = tokio::time::timeout(3 * REQUEST_TIMEOUT, stream.read_to_end(&mut received)).await;
    read.map_err(|_| eyre::eyre!("the daemon did not close the connection"))??;
    Ok(())
}

#[tokio::test(flavor = "multi_thread")]
async fn idle_client_connections_are_closed() -> eyre::Result<()> {
    let fleet = start(&plan()).await?;
    let address = IpAddr::V4(fleet.balancers[0].address);
    for port in [METRICS_PORT, READINESS_PORT, PEER_PORT] {
        let idle = TcpStream::connect((address, port)).await?;
        wait_for_close(idle).await?;
    }
    for (port, path) in [(METRICS_PORT, "/metrics"), (READINESS_PORT, "/readiness")] {
        let mut kept_alive = TcpStream::connect((address, port)).await?;
        let request = format!("GET {path} HTTP/1.1\r\nhost: {address}\r\n\r\n");
        kept_alive.write_all(request.as_bytes()).await?;
        wait_for_close(kept_alive).await?;
    }
    Ok(())
}
