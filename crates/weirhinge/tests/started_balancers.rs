//! Real processes while balancers start that do not know the store's earlier contents.

mod support;

use std::time::Duration;

use support::{open_flows, plan, request, start};
use tokio::time::Instant;
use weirhinge_platform_standins::{ClientFlow, FleetPlan, RouterHash};

/// More balancers than an agent keeps in contact with.
const BALANCERS: usize = 10;
/// Balancers that start again.
const RESTARTED: usize = 3;
const FLOWS: usize = 160;
/// How long flows are used after the balancers started.
const USE_TIME: Duration = Duration::from_secs(4);
/// Time between two requests on a flow.
const REQUEST_INTERVAL: Duration = Duration::from_millis(100);

/// Sends requests on a flow until `until`. Fails if the flow is reset or another target answers.
async fn use_flow(
    mut flow: ClientFlow,
    server: String,
    number: usize,
    until: Instant,
) -> eyre::Result<()> {
    let mut sent = 0;
    while Instant::now() < until {
        tokio::time::sleep(REQUEST_INTERVAL).await;
        sent += 1;
        let answered = request(&mut flow, &format!("flow {number} request {sent}")).await?;
        eyre::ensure!(answered == server, "flow {number} moved from {server} to {answered}");
    }
    Ok(())
}

/// Guards against resets of open flows by balancers that start after the entry of the flows' target
/// went: the store no longer shows the target, and its agent has not reported to them yet.
#[tokio::test(flavor = "multi_thread")]
async fn started_balancers_keep_flows_of_a_target_without_an_entry() -> eyre::Result<()> {
    let plan = FleetPlan { balancers: BALANCERS as u8, hash: RouterHash::Consistent, ..plan() };
    let mut fleet = start(&plan).await?;
    let flows = open_flows(&fleet, FLOWS).await?;
    eyre::ensure!(fleet.targets[0].open_flows() >= 20, "too few flows at the target that leaves");
    fleet.targets[0].remove_record();
    fleet
        .wait_for("the removal at all balancers", |fleet| {
            let has = |log: String| log.contains("target_removed");
            fleet.balancers.iter().all(|balancer| balancer.log_text().is_ok_and(has))
        })
        .await?;
    let until = Instant::now() + USE_TIME;
    let uses = flows
        .into_iter()
        .enumerate()
        .map(|(number, (flow, server))| tokio::spawn(use_flow(flow, server, number, until)));
    let uses: Vec<_> = uses.collect();
    for balancer in &mut fleet.balancers[BALANCERS - RESTARTED..] {
        balancer.kill()?;
        balancer.restart()?;
    }
    for flow_use in uses {
        flow_use.await??;
    }
    Ok(())
}
