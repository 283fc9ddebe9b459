//! The platform's store and other connections that fail, with real processes.

mod support;

use std::net::IpAddr;
use std::time::Duration;

use support::{
    DEADLINE, METRICS, PEERS, READINESS, all_held, open, open_flows, plan, request, start,
    wait_for_version,
};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use weirhinge_platform_standins::{LinkFault, StoreFault};

#[tokio::test(flavor = "multi_thread")]
async fn balancers_that_all_restart_while_the_store_is_down_learn_from_agents() -> eyre::Result<()>
{
    let mut fleet = start(&plan()).await?;
    let mut flows = open_flows(&fleet, 10).await?;
    fleet
        .wait_for("the configuration on all agents", |fleet| {
            let has = |log: String| log.contains("\"event\":\"configuration\"");
            fleet.agents.iter().all(|agent| agent.log_text().is_ok_and(has))
        })
        .await?;
    fleet.store.fail(StoreFault::Silent);
    for balancer in &mut fleet.balancers {
        balancer.kill()?;
    }
    for balancer in &mut fleet.balancers {
        balancer.restart()?;
    }
    all_held(&mut flows, "down").await?;
    let mut flow = open(&fleet).await?;
    request(&mut flow, "new").await?;
    // When the store comes back with news, they are taken.
    fleet.store.fail(StoreFault::None);
    fleet.configure(&[(443, &[("sheets", 1)])]);
    wait_for_version(&fleet, 6, "the new configuration on all balancers").await?;
    Ok(())
}

#[tokio::test(flavor = "multi_thread")]
async fn a_change_reaches_balancers_that_the_store_does_not_serve() -> eyre::Result<()> {
    let faults = [
        StoreFault::Status(429),
        StoreFault::Status(503),
        StoreFault::Silent,
        StoreFault::Reset,
        StoreFault::Slow(Duration::from_millis(300)),
    ];
    let mut fleet = start(&plan()).await?;
    let mut version = 3;
    // The lowest address reads for all: refuse that one, then another.
    for (round, fault) in faults.into_iter().enumerate() {
        let refused = fleet.balancers[round % 2].address;
        fleet.store.fail_for(IpAddr::V4(refused), fault);
        fleet.configure(&[(443, &[("dispatch", 1)])]);
        version += 3;
        wait_for_version(&fleet, version, "a change past a refused balancer").await?;
        fleet.store.fail_for(IpAddr::V4(refused), StoreFault::None);
    }
    Ok(())
}

#[tokio::test(flavor = "multi_thread")]
async fn a_forgotten_history_is_listed_anew() -> eyre::Result<()> {
    let mut fleet = start(&plan()).await?;
    fleet.store.forget_history();
    fleet.configure(&[(443, &[("sheets", 1)])]);
    fleet.store.forget_history();
    wait_for_version(&fleet, 6, "the configuration behind the gap").await?;
    let log = fleet.balancers[0].log_text()?;
    assert!(log.contains("store_history_gone") || log.contains("\"source\":\"peer\""));
    Ok(())
}

#[tokio::test(flavor = "multi_thread")]
async fn connections_to_the_store_that_fall_silent_for_good_are_replaced() -> eyre::Result<()> {
    let mut fleet = start(&plan()).await?;
    for version in [6, 9] {
        for link in &fleet.store_links {
            link.fail(LinkFault::SilentSoFar);
        }
        fleet.configure(&[(443, &[("sheets", 1)])]);
        wait_for_version(&fleet, version, "the configuration behind the silence").await?;
    }
    Ok(())
}

/// Reads until the daemon closes the connection, without a word of its own.
async fn is_closed_by_the_daemon(mut stream: TcpStream) -> eyre::Result<()> {
    let mut received = Vec::new();
    let read = tokio::time::timeout(3 * DEADLINE, stream.read_to_end(&mut received)).await;
    read.map_err(|_| eyre::eyre!("the connection was kept"))??;
    Ok(())
}

#[tokio::test(flavor = "multi_thread")]
async fn connections_on_which_nobody_speaks_are_closed() -> eyre::Result<()> {
    let fleet = start(&plan()).await?;
    let address = IpAddr::V4(fleet.balancers[0].address);
    for port in [METRICS, READINESS, PEERS] {
        let silent = TcpStream::connect((address, port)).await?;
        is_closed_by_the_daemon(silent).await?;
    }
    for (port, path) in [(METRICS, "/metrics"), (READINESS, "/readiness")] {
        let mut kept_alive = TcpStream::connect((address, port)).await?;
        let request = format!("GET {path} HTTP/1.1\r\nhost: {address}\r\n\r\n");
        kept_alive.write_all(request.as_bytes()).await?;
        is_closed_by_the_daemon(kept_alive).await?;
    }
    Ok(())
}
