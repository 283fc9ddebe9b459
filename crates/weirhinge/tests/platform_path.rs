//! The whole data path on the external platform: real balancers and agents between stand-ins for
//! the store, the routers, the targets and the clients.

mod support;

use std::net::IpAddr;
use std::time::{Duration, Instant};

use nix::sys::signal::Signal;
use support::{
    METRICS_PORT, REQUEST_TIMEOUT, assert_no_corrupted_packets, check_flows_kept, lose_all_flows,
    open_flow, open_flow_through, open_flows, plan, request, start, wait_for_version,
};
use weirhinge_platform_standins::{
    Fleet, FleetPlan, FlowError, HOME_ZONE, NEAR_ZONE, ProcessHandle, RouterHash, StoreFault,
    TargetBehaviour, counter, http_get,
};

#[tokio::test(flavor = "multi_thread")]
async fn requests_and_responses_pass_unchanged() -> eyre::Result<()> {
    let mut fleet = start(&plan()).await?;
    let mut flows = open_flows(&fleet, 30).await?;
    check_flows_kept(&mut flows, "second").await?;
    let ran: usize = fleet.targets[..3].iter().map(|target| target.executed_requests().len()).sum();
    assert_eq!((ran, fleet.targets[3].executed_requests().len()), (60, 0));
    for (number, target) in fleet.targets[..3].iter().enumerate() {
        assert!(!target.executed_requests().is_empty(), "target {number} got no request");
    }
    for (flow, _) in flows {
        flow.close().await;
    }
    // A new configuration moves new flows; new flows of a removed route are refused at once.
    fleet.configure(&[(443, &[("sheets", 1)])]);
    wait_for_version(&fleet, 6, "the new configuration at all balancers").await?;
    let mut flow = open_flow(&fleet).await?;
    request(&mut flow, "moved").await?;
    assert_eq!(fleet.targets[3].executed_requests(), vec!["moved".to_owned()]);
    let began = Instant::now();
    assert_eq!(fleet.client.open(Fleet::route(8_080)).await.err(), Some(FlowError::Reset));
    assert!(
        began.elapsed() < Duration::from_millis(1_400),
        "the reset must come before the client gives up"
    );
    assert_no_corrupted_packets(&fleet);
    Ok(())
}

#[tokio::test(flavor = "multi_thread")]
async fn open_flows_survive_balancer_kills_and_shutdowns() -> eyre::Result<()> {
    for hash in [RouterHash::Modulo, RouterHash::Consistent] {
        let mut fleet = start(&FleetPlan { hash, ..plan() }).await?;
        let mut flows = open_flows(&fleet, 25).await?;
        fleet.balancers[0].kill()?;
        check_flows_kept(&mut flows, "killed").await?;
        fleet.balancers[0].restart()?;
        fleet
            .wait_for("the killed balancer to be ready", |fleet| fleet.routers.ready_count() == 3)
            .await?;
        fleet.balancers[1].signal(Signal::SIGTERM)?;
        check_flows_kept(&mut flows, "stopped").await?;
        let status = fleet.balancers[1].wait_for_exit().await?;
        assert!(status.success(), "a graceful shutdown must exit with success: {status}");
        check_flows_kept(&mut flows, "after").await?;
        assert_no_corrupted_packets(&fleet);
    }
    Ok(())
}

#[tokio::test(flavor = "multi_thread")]
async fn open_flows_survive_a_kill_of_all_processes() -> eyre::Result<()> {
    let mut fleet = start(&plan()).await?;
    let mut flows = open_flows(&fleet, 20).await?;
    for process in fleet.balancers.iter_mut().chain(&mut fleet.agents) {
        process.kill()?;
    }
    for process in fleet.balancers.iter_mut().chain(&mut fleet.agents) {
        process.restart()?;
    }
    check_flows_kept(&mut flows, "after").await?;
    assert_no_corrupted_packets(&fleet);
    Ok(())
}

#[tokio::test(flavor = "multi_thread")]
async fn draining_and_removed_targets_keep_flows_and_get_no_new_ones() -> eyre::Result<()> {
    let fleet = start(&plan()).await?;
    let mut flows = open_flows(&fleet, 20).await?;
    fleet.targets[0].drain();
    fleet.targets[1].remove_record();
    // Below the limit of three seconds for a change to take effect.
    tokio::time::sleep(Duration::from_millis(2_500)).await;
    let before: Vec<usize> =
        fleet.targets.iter().map(|target| target.executed_requests().len()).collect();
    for number in 0..20 {
        let mut flow = open_flow(&fleet).await?;
        request(&mut flow, &format!("new-{number}")).await?;
    }
    let after: Vec<usize> =
        fleet.targets.iter().map(|target| target.executed_requests().len()).collect();
    assert_eq!((after[0], after[1], after[2]), (before[0], before[1], before[2] + 20));
    check_flows_kept(&mut flows, "drained").await?;
    assert_no_corrupted_packets(&fleet);
    Ok(())
}

#[tokio::test(flavor = "multi_thread")]
async fn stopping_agent_reports_whether_its_target_has_ended() -> eyre::Result<()> {
    let mut fleet = start(&plan()).await?;
    fleet.targets[0].drain();
    fleet.targets[0].terminate();
    for agent in &mut fleet.agents[..2] {
        agent.signal(Signal::SIGTERM)?;
        agent.wait_for_exit().await?;
    }
    let reported_end = |process: &ProcessHandle| -> eyre::Result<bool> {
        Ok(process.log_text()?.contains("target_ended"))
    };
    assert!(reported_end(&fleet.agents[0])?, "the end of its target is not reported");
    assert!(!reported_end(&fleet.agents[1])?, "its target is still running");
    Ok(())
}

/// Sends one request on each of 20 new flows. Returns how many of them each target ran.
async fn run_on_new_flows(fleet: &Fleet, name: &str) -> eyre::Result<Vec<usize>> {
    let count = |fleet: &Fleet| {
        fleet.targets.iter().map(|target| target.executed_requests().len()).collect()
    };
    let before: Vec<usize> = count(fleet);
    for number in 0..20 {
        let mut flow = open_flow(fleet).await?;
        request(&mut flow, &format!("{name}-{number}")).await?;
    }
    let after: Vec<usize> = count(fleet);
    Ok(after.iter().zip(before).map(|(after, before)| after - before).collect())
}

/// Waits until each daemon has logged this event of a zone at least `times` times.
async fn wait_for_zone(fleet: &Fleet, event: &str, zone: &str, times: usize) -> eyre::Result<()> {
    let event = format!("\"event\":\"{event}\"");
    let zone = format!("\"zone\":\"{zone}\"");
    let is_expected = |line: &&str| line.contains(&event) && line.contains(&zone);
    let has = |log: String| log.lines().filter(is_expected).count() >= times;
    let all = |fleet: &Fleet| {
        fleet.balancers.iter().chain(&fleet.agents).all(|daemon| daemon.log_text().is_ok_and(has))
    };
    fleet.wait_for(&format!("{event} of {zone} at all daemons"), all).await
}

#[tokio::test(flavor = "multi_thread")]
async fn evacuated_zone_keeps_flows_and_gets_no_new_ones() -> eyre::Result<()> {
    let target_zones = vec![HOME_ZONE, NEAR_ZONE, NEAR_ZONE, HOME_ZONE];
    let mut fleet = start(&FleetPlan { target_zones, ..plan() }).await?;
    let mut flows = open_flows(&fleet, 20).await?;
    fleet.evacuate(NEAR_ZONE);
    wait_for_zone(&fleet, "zone_evacuated", NEAR_ZONE, 1).await?;
    assert_eq!(run_on_new_flows(&fleet, "evacuated").await?, [20, 0, 0, 0]);
    check_flows_kept(&mut flows, "evacuated").await?;
    // A restarted balancer learns of the evacuation, even while the store is down.
    fleet.store.set_fault(StoreFault::Silent);
    for balancer in &mut fleet.balancers {
        balancer.kill()?;
        balancer.restart()?;
    }
    let learned = |fleet: &Fleet| {
        let times = |log: String| log.matches("zone_evacuated").count() == 2;
        fleet.balancers.iter().all(|balancer| balancer.log_text().is_ok_and(times))
    };
    fleet.wait_for("the evacuation at the restarted balancers", learned).await?;
    fleet.wait_for("all balancers to be ready", |fleet| fleet.routers.ready_count() == 3).await?;
    assert_eq!(run_on_new_flows(&fleet, "restarted").await?, [20, 0, 0, 0]);
    fleet.evacuate(HOME_ZONE);
    fleet.store.set_fault(StoreFault::None);
    wait_for_zone(&fleet, "zone_evacuated", HOME_ZONE, 1).await?;
    assert_eq!(fleet.client.open(Fleet::route(443)).await.err(), Some(FlowError::Reset));
    let refused = |fleet: &Fleet| {
        let reset = |log: String| log.contains("\"outcome\":\"evacuated\"");
        fleet.balancers.iter().any(|balancer| balancer.log_text().is_ok_and(reset))
    };
    fleet.wait_for("the reason for the refusal in a log", refused).await?;
    fleet.end_evacuation(NEAR_ZONE);
    wait_for_zone(&fleet, "zone_returned", NEAR_ZONE, 1).await?;
    let ran = run_on_new_flows(&fleet, "near").await?;
    assert_eq!((ran[0], ran[1] + ran[2]), (0, 20));
    fleet.end_evacuation(HOME_ZONE);
    wait_for_zone(&fleet, "zone_returned", HOME_ZONE, 1).await?;
    let ran = run_on_new_flows(&fleet, "home").await?;
    assert!(ran[0] > 0, "{ran:?}");
    check_flows_kept(&mut flows, "returned").await?;
    assert_no_corrupted_packets(&fleet);
    Ok(())
}

#[tokio::test(flavor = "multi_thread")]
async fn openings_skip_full_targets_and_are_refused_if_all_are_full() -> eyre::Result<()> {
    let fleet = start(&plan()).await?;
    let full_target = TargetBehaviour { accepts_new_flows: false, ..TargetBehaviour::default() };
    fleet.targets[0].set_behaviour(full_target);
    fleet.targets[1].set_behaviour(full_target);
    for number in 0..15 {
        let mut flow = open_flow(&fleet).await?;
        request(&mut flow, &format!("skip-{number}")).await?;
    }
    assert_eq!(fleet.targets[2].executed_requests().len(), 15);
    fleet.targets[2].set_behaviour(full_target);
    let began = Instant::now();
    assert_eq!(fleet.client.open(Fleet::route(443)).await.err(), Some(FlowError::Reset));
    assert!(
        began.elapsed() < Duration::from_millis(1_400),
        "the reset must come before the client gives up"
    );
    Ok(())
}

#[tokio::test(flavor = "multi_thread")]
async fn flow_without_holder_is_reset_before_the_deadline() -> eyre::Result<()> {
    let fleet = start(&plan()).await?;
    let (mut flow, _) = open_flows(&fleet, 1).await?.remove(0);
    lose_all_flows(&fleet);
    let began = Instant::now();
    assert_eq!(flow.request("lost", REQUEST_TIMEOUT).await, Err(FlowError::Reset));
    assert!(began.elapsed() < REQUEST_TIMEOUT);
    Ok(())
}

#[tokio::test(flavor = "multi_thread")]
async fn reloads_stops_and_metrics_are_observable() -> eyre::Result<()> {
    let mut fleet = start(&plan()).await?;
    open_flow_through(&fleet, 0).await?;
    let balancer = &fleet.balancers[0];
    balancer.signal(Signal::SIGHUP)?;
    fleet.wait_for("a reload", |fleet| balancer_logged(fleet, "\"outcome\":\"unchanged\"")).await?;
    let good = std::fs::read_to_string(&fleet.balancers[0].settings)?;
    std::fs::write(&fleet.balancers[0].settings, "peer_port = \"seven\"\n")?;
    fleet.balancers[0].signal(Signal::SIGHUP)?;
    fleet
        .wait_for("a rejected reload", |fleet| balancer_logged(fleet, "\"outcome\":\"refused\""))
        .await?;
    assert!(balancer_logged(&fleet, "peer_port"), "the rejection does not name the field");
    let changed = good.replace("zone = \"zone-a\"", "zone = \"zone-b\"");
    std::fs::write(&fleet.balancers[0].settings, changed)?;
    fleet.balancers[0].signal(Signal::SIGHUP)?;
    fleet
        .wait_for("a change that takes effect at the next start", |fleet| {
            balancer_logged(fleet, "\"outcome\":\"at_next_start\"")
        })
        .await?;
    // A changed file is detected without a signal, and new seeds take effect at once.
    let seeds = good.replace("seeds = [", "seeds = [\"127.0.0.1:8166\",");
    std::fs::write(&fleet.balancers[0].settings, seeds)?;
    fleet.wait_for("new seeds", |fleet| balancer_logged(fleet, "\"outcome\":\"applied\"")).await?;
    let address = IpAddr::V4(fleet.balancers[0].address);
    let metrics = http_get(address, METRICS_PORT, "/metrics").await?;
    for name in [
        "weirhinge_packets_forwarded_total",
        "weirhinge_decision_seconds_bucket",
        "weirhinge_store_revision",
        "weirhinge_configuration_version 3",
    ] {
        assert!(metrics.contains(name), "no {name} in {metrics}");
    }
    let agent = IpAddr::V4(fleet.agents[0].address);
    assert!(
        http_get(agent, METRICS_PORT, "/metrics").await?.contains("weirhinge_packets_delivered")
    );
    assert!(http_get(agent, METRICS_PORT, "/elsewhere").await?.starts_with("HTTP/1.1 404"));
    fleet.agents[0].signal(Signal::SIGTERM)?;
    assert!(fleet.agents[0].wait_for_exit().await?.success());
    let log = fleet.agents[0].log_text()?;
    assert!(log.contains("\"event\":\"stop\"") && log.contains("\"event\":\"stopped\""), "{log}");
    Ok(())
}

/// Whether the log of the first balancer contains this text.
fn balancer_logged(fleet: &Fleet, text: &str) -> bool {
    fleet.balancers[0].log_text().is_ok_and(|log| log.contains(text))
}

/// Agents that drop balancers without new information make balancers without traffic consider
/// themselves isolated.
#[tokio::test(flavor = "multi_thread")]
async fn balancers_without_traffic_are_not_isolated() -> eyre::Result<()> {
    let fleet = start(&FleetPlan { balancers: 4, ..plan() }).await?;
    tokio::time::sleep(Duration::from_secs(9)).await;
    for balancer in &fleet.balancers {
        let log = balancer.log_text()?;
        assert!(!log.contains("\"event\":\"isolation\""), "{}: {log}", balancer.address);
    }
    assert_eq!(fleet.routers.ready_count(), 4);
    Ok(())
}

/// The logs alone show an engineer what happened to a request.
#[tokio::test(flavor = "multi_thread")]
async fn explain_shows_why_a_request_failed() -> eyre::Result<()> {
    let fleet = start(&plan()).await?;
    let (mut flow, _) = open_flows(&fleet, 1).await?.remove(0);
    lose_all_flows(&fleet);
    assert_eq!(flow.request("failed-7", REQUEST_TIMEOUT).await, Err(FlowError::Reset));
    tokio::time::sleep(Duration::from_millis(500)).await;
    let output = std::process::Command::new(env!("CARGO_BIN_EXE_weirhinge"))
        .args(["explain", "--request", "failed-7"])
        .args(fleet.log_files())
        .output()?;
    let explanation = String::from_utf8(output.stdout)?;
    let position = |text: &str| {
        explanation.find(text).ok_or_else(|| eyre::eyre!("no {text} in {explanation}"))
    };
    let positions = [
        position("request=failed-7")?,
        position("outcome=bounced")?,
        position("outcome=nobody_holds ")?,
    ];
    assert!(positions.is_sorted(), "{explanation}");
    assert!(explanation.contains("0 lines could not be read"), "{explanation}");
    Ok(())
}

/// A full log pipe neither delays packets nor keeps the process from exiting, and lost lines are
/// counted.
#[tokio::test(flavor = "multi_thread")]
async fn full_log_pipe_does_not_block_the_process() -> eyre::Result<()> {
    let mut fleet = start(&FleetPlan { balancers: 1, ..plan() }).await?;
    fleet.balancers[0].kill()?;
    fleet.balancers[0].restart_with_unread_output()?;
    fleet.wait_for("the balancer to be ready", |fleet| fleet.routers.ready_count() == 1).await?;
    let mut flows = open_flows(&fleet, 20).await?;
    let began = Instant::now();
    // About 64 kB fit into the pipe and 256 kB into the log writer's queue; each request logs a
    // line of 300 bytes.
    for round in 0..90 {
        check_flows_kept(&mut flows, &format!("round-{round}")).await?;
    }
    assert!(began.elapsed() < Duration::from_secs(60));
    let address = IpAddr::V4(fleet.balancers[0].address);
    let metrics = http_get(address, METRICS_PORT, "/metrics").await?;
    let lost = counter(&metrics, "weirhinge_log_lines_lost_total");
    assert!(lost.is_some_and(|lost| lost > 0), "{metrics}");
    fleet.balancers[0].signal(Signal::SIGTERM)?;
    assert!(fleet.balancers[0].wait_for_exit().await?.success());
    Ok(())
}
