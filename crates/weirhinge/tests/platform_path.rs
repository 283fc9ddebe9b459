//! The whole path on the users' platform: real balancers and agents between
//! stand-ins of the store, the routers, the targets and the clients.

mod support;

use std::net::IpAddr;
use std::time::{Duration, Instant};

use nix::sys::signal::Signal;
use support::{
    DEADLINE, METRICS, all_held, lose_all_flows, no_packet_was_changed, open, open_flow_through,
    open_flows, plan, request, start, wait_for_version,
};
use weirhinge_platform_standins::{
    Fleet, FleetPlan, FlowError, HOME_ZONE, NEAR_ZONE, ProcessHandle, RouterHash, StoreFault,
    TargetBehaviour, counter, http_get,
};

#[tokio::test(flavor = "multi_thread")]
async fn requests_reach_their_service_and_come_back_whole() -> eyre::Result<()> {
    let mut fleet = start(&plan()).await?;
    let mut flows = open_flows(&fleet, 30).await?;
    all_held(&mut flows, "second").await?;
    let ran: usize = fleet.targets[..3].iter().map(|target| target.ran().len()).sum();
    assert_eq!((ran, fleet.targets[3].ran().len()), (60, 0));
    for (number, target) in fleet.targets[..3].iter().enumerate() {
        assert!(!target.ran().is_empty(), "target {number} got nothing");
    }
    for (flow, _) in flows {
        flow.close().await;
    }
    // A configuration moves new flows, and a dropped route refuses them at once.
    fleet.configure(&[(443, &[("sheets", 1)])]);
    wait_for_version(&fleet, 6, "the new configuration on all balancers").await?;
    let mut flow = open(&fleet).await?;
    request(&mut flow, "moved").await?;
    assert_eq!(fleet.targets[3].ran(), vec!["moved".to_owned()]);
    let began = Instant::now();
    assert_eq!(fleet.client.open(Fleet::route(8_080)).await.err(), Some(FlowError::Reset));
    assert!(began.elapsed() < Duration::from_millis(1_400), "refused before the attempt ended");
    no_packet_was_changed(&fleet);
    Ok(())
}

#[tokio::test(flavor = "multi_thread")]
async fn open_flows_survive_killed_and_stopped_balancers() -> eyre::Result<()> {
    for hash in [RouterHash::Mod, RouterHash::Steady] {
        let mut fleet = start(&FleetPlan { hash, ..plan() }).await?;
        let mut flows = open_flows(&fleet, 25).await?;
        fleet.balancers[0].kill()?;
        all_held(&mut flows, "killed").await?;
        fleet.balancers[0].restart()?;
        fleet.wait_for("the killed balancer to be in", |fleet| fleet.routers.ready() == 3).await?;
        fleet.balancers[1].signal(Signal::SIGTERM)?;
        all_held(&mut flows, "stopped").await?;
        let status = fleet.balancers[1].ended().await?;
        assert!(status.success(), "a planned stop ends well: {status}");
        all_held(&mut flows, "after").await?;
        no_packet_was_changed(&fleet);
    }
    Ok(())
}

#[tokio::test(flavor = "multi_thread")]
async fn open_flows_survive_when_all_processes_are_killed() -> eyre::Result<()> {
    let mut fleet = start(&plan()).await?;
    let mut flows = open_flows(&fleet, 20).await?;
    for process in fleet.balancers.iter_mut().chain(&mut fleet.agents) {
        process.kill()?;
    }
    for process in fleet.balancers.iter_mut().chain(&mut fleet.agents) {
        process.restart()?;
    }
    all_held(&mut flows, "after").await?;
    no_packet_was_changed(&fleet);
    Ok(())
}

#[tokio::test(flavor = "multi_thread")]
async fn a_leaving_target_keeps_its_flows_and_gets_no_new_ones() -> eyre::Result<()> {
    let fleet = start(&plan()).await?;
    let mut flows = open_flows(&fleet, 20).await?;
    fleet.targets[0].drain();
    fleet.targets[1].vanish();
    // Well within the bound of three seconds for a change.
    tokio::time::sleep(Duration::from_millis(2_500)).await;
    let before: Vec<usize> = fleet.targets.iter().map(|target| target.ran().len()).collect();
    for number in 0..20 {
        let mut flow = open(&fleet).await?;
        request(&mut flow, &format!("new-{number}")).await?;
    }
    let after: Vec<usize> = fleet.targets.iter().map(|target| target.ran().len()).collect();
    assert_eq!((after[0], after[1], after[2]), (before[0], before[1], before[2] + 20));
    all_held(&mut flows, "leaving").await?;
    no_packet_was_changed(&fleet);
    Ok(())
}

#[tokio::test(flavor = "multi_thread")]
async fn an_agent_that_stops_says_whether_its_target_has_ended() -> eyre::Result<()> {
    let mut fleet = start(&plan()).await?;
    fleet.targets[0].drain();
    fleet.targets[0].end();
    for agent in &mut fleet.agents[..2] {
        agent.signal(Signal::SIGTERM)?;
        agent.ended().await?;
    }
    let says = |process: &ProcessHandle| -> eyre::Result<bool> {
        Ok(process.log_text()?.contains("target_ended"))
    };
    assert!(says(&fleet.agents[0])?, "nothing listens there any more");
    assert!(!says(&fleet.agents[1])?, "its target lives");
    Ok(())
}

/// Sends one request on each of some new flows. Returns how many each target ran.
async fn ran_meanwhile(fleet: &Fleet, name: &str) -> eyre::Result<Vec<usize>> {
    let count = |fleet: &Fleet| fleet.targets.iter().map(|target| target.ran().len()).collect();
    let before: Vec<usize> = count(fleet);
    for number in 0..20 {
        let mut flow = open(fleet).await?;
        request(&mut flow, &format!("{name}-{number}")).await?;
    }
    let after: Vec<usize> = count(fleet);
    Ok(after.iter().zip(before).map(|(after, before)| after - before).collect())
}

/// Waits until all daemons have logged this of a zone, some number of times each.
async fn wait_for_zone(fleet: &Fleet, event: &str, zone: &str, times: usize) -> eyre::Result<()> {
    let event = format!("\"event\":\"{event}\"");
    let zone = format!("\"zone\":\"{zone}\"");
    let is_wanted = |line: &&str| line.contains(&event) && line.contains(&zone);
    let has = |log: String| log.lines().filter(is_wanted).count() >= times;
    let all = |fleet: &Fleet| {
        fleet.balancers.iter().chain(&fleet.agents).all(|daemon| daemon.log_text().is_ok_and(has))
    };
    fleet.wait_for(&format!("{event} of {zone} on all daemons"), all).await
}

#[tokio::test(flavor = "multi_thread")]
async fn an_evacuated_zone_keeps_its_flows_and_gets_no_new_ones() -> eyre::Result<()> {
    let target_zones = vec![HOME_ZONE, NEAR_ZONE, NEAR_ZONE, HOME_ZONE];
    let mut fleet = start(&FleetPlan { target_zones, ..plan() }).await?;
    let mut flows = open_flows(&fleet, 20).await?;
    fleet.evacuate(NEAR_ZONE);
    wait_for_zone(&fleet, "zone_evacuated", NEAR_ZONE, 1).await?;
    assert_eq!(ran_meanwhile(&fleet, "evacuated").await?, [20, 0, 0, 0]);
    all_held(&mut flows, "evacuated").await?;
    // A balancer that lost all memory learns of it, also while the store is down.
    fleet.store.fail(StoreFault::Silent);
    for balancer in &mut fleet.balancers {
        balancer.kill()?;
        balancer.restart()?;
    }
    let learned = |fleet: &Fleet| {
        let times = |log: String| log.matches("zone_evacuated").count() == 2;
        fleet.balancers.iter().all(|balancer| balancer.log_text().is_ok_and(times))
    };
    fleet.wait_for("the evacuation on balancers that restarted", learned).await?;
    fleet.wait_for("all balancers to be in", |fleet| fleet.routers.ready() == 3).await?;
    assert_eq!(ran_meanwhile(&fleet, "restarted").await?, [20, 0, 0, 0]);
    fleet.evacuate(HOME_ZONE);
    fleet.store.fail(StoreFault::None);
    wait_for_zone(&fleet, "zone_evacuated", HOME_ZONE, 1).await?;
    assert_eq!(fleet.client.open(Fleet::route(443)).await.err(), Some(FlowError::Reset));
    let refused = |fleet: &Fleet| {
        let reset = |log: String| log.contains("\"outcome\":\"evacuated\"");
        fleet.balancers.iter().any(|balancer| balancer.log_text().is_ok_and(reset))
    };
    fleet.wait_for("the reason of the refusal in a log", refused).await?;
    fleet.take_back(NEAR_ZONE);
    wait_for_zone(&fleet, "zone_returned", NEAR_ZONE, 1).await?;
    let ran = ran_meanwhile(&fleet, "near").await?;
    assert_eq!((ran[0], ran[1] + ran[2]), (0, 20));
    fleet.take_back(HOME_ZONE);
    wait_for_zone(&fleet, "zone_returned", HOME_ZONE, 1).await?;
    let ran = ran_meanwhile(&fleet, "home").await?;
    assert!(ran[0] > 0, "{ran:?}");
    all_held(&mut flows, "returned").await?;
    no_packet_was_changed(&fleet);
    Ok(())
}

#[tokio::test(flavor = "multi_thread")]
async fn openings_go_past_full_targets_and_are_refused_when_all_are_full() -> eyre::Result<()> {
    let fleet = start(&plan()).await?;
    let full = TargetBehaviour { takes_new: false, ..TargetBehaviour::default() };
    fleet.targets[0].behave(full);
    fleet.targets[1].behave(full);
    for number in 0..15 {
        let mut flow = open(&fleet).await?;
        request(&mut flow, &format!("past-{number}")).await?;
    }
    assert_eq!(fleet.targets[2].ran().len(), 15);
    fleet.targets[2].behave(full);
    let began = Instant::now();
    assert_eq!(fleet.client.open(Fleet::route(443)).await.err(), Some(FlowError::Reset));
    assert!(began.elapsed() < Duration::from_millis(1_400), "refused before the attempt ended");
    Ok(())
}

#[tokio::test(flavor = "multi_thread")]
async fn a_flow_that_no_target_holds_is_reset_before_its_deadline() -> eyre::Result<()> {
    let fleet = start(&plan()).await?;
    let (mut flow, _) = open_flows(&fleet, 1).await?.remove(0);
    lose_all_flows(&fleet);
    let began = Instant::now();
    assert_eq!(flow.request("lost", DEADLINE).await, Err(FlowError::Reset));
    assert!(began.elapsed() < DEADLINE);
    Ok(())
}

#[tokio::test(flavor = "multi_thread")]
async fn reloads_stops_and_figures_can_be_watched() -> eyre::Result<()> {
    let mut fleet = start(&plan()).await?;
    open_flow_through(&fleet, 0).await?;
    let balancer = &fleet.balancers[0];
    balancer.signal(Signal::SIGHUP)?;
    fleet.wait_for("a reload", |fleet| saw(fleet, "\"outcome\":\"unchanged\"")).await?;
    let good = std::fs::read_to_string(&fleet.balancers[0].settings)?;
    std::fs::write(&fleet.balancers[0].settings, "peer_port = \"seven\"\n")?;
    fleet.balancers[0].signal(Signal::SIGHUP)?;
    fleet.wait_for("a refusal", |fleet| saw(fleet, "\"outcome\":\"refused\"")).await?;
    assert!(saw(&fleet, "peer_port"), "the refusal names the field");
    let changed = good.replace("zone = \"zone-a\"", "zone = \"zone-b\"");
    std::fs::write(&fleet.balancers[0].settings, changed)?;
    fleet.balancers[0].signal(Signal::SIGHUP)?;
    fleet.wait_for("a change", |fleet| saw(fleet, "\"outcome\":\"at_next_start\"")).await?;
    // A file that changes without a signal is noticed, and seeds are taken at once.
    let seeds = good.replace("seeds = [", "seeds = [\"127.0.0.1:8166\",");
    std::fs::write(&fleet.balancers[0].settings, seeds)?;
    fleet.wait_for("new seeds", |fleet| saw(fleet, "\"outcome\":\"applied\"")).await?;
    let address = IpAddr::V4(fleet.balancers[0].address);
    let figures = http_get(address, METRICS, "/metrics").await?;
    for name in [
        "weirhinge_packets_forwarded_total",
        "weirhinge_decision_seconds_bucket",
        "weirhinge_store_revision",
        "weirhinge_configuration_version 3",
    ] {
        assert!(figures.contains(name), "{name} in {figures}");
    }
    let agent = IpAddr::V4(fleet.agents[0].address);
    assert!(http_get(agent, METRICS, "/metrics").await?.contains("weirhinge_packets_delivered"));
    assert!(http_get(agent, METRICS, "/elsewhere").await?.starts_with("HTTP/1.1 404"));
    fleet.agents[0].signal(Signal::SIGTERM)?;
    assert!(fleet.agents[0].ended().await?.success());
    let log = fleet.agents[0].log_text()?;
    assert!(log.contains("\"event\":\"stop\"") && log.contains("\"event\":\"stopped\""), "{log}");
    Ok(())
}

fn saw(fleet: &Fleet, text: &str) -> bool {
    fleet.balancers[0].log_text().is_ok_and(|log| log.contains(text))
}

/// Agents once forgot balancers that had nothing new to tell them, and balancers
/// without traffic took that for being cut off.
#[tokio::test(flavor = "multi_thread")]
async fn a_quiet_fleet_stays_in_touch() -> eyre::Result<()> {
    let fleet = start(&FleetPlan { balancers: 4, ..plan() }).await?;
    tokio::time::sleep(Duration::from_secs(9)).await;
    for balancer in &fleet.balancers {
        let log = balancer.log_text()?;
        assert!(!log.contains("\"event\":\"isolation\""), "{}: {log}", balancer.address);
    }
    assert_eq!(fleet.routers.ready(), 4);
    Ok(())
}

/// An engineer with the logs alone finds out what became of a request.
#[tokio::test(flavor = "multi_thread")]
async fn a_failed_request_is_explained_from_its_identifier() -> eyre::Result<()> {
    let fleet = start(&plan()).await?;
    let (mut flow, _) = open_flows(&fleet, 1).await?.remove(0);
    lose_all_flows(&fleet);
    assert_eq!(flow.request("complaint-7", DEADLINE).await, Err(FlowError::Reset));
    tokio::time::sleep(Duration::from_millis(500)).await;
    let output = std::process::Command::new(env!("CARGO_BIN_EXE_weirhinge"))
        .args(["explain", "--request", "complaint-7"])
        .args(fleet.logs())
        .output()?;
    let story = String::from_utf8(output.stdout)?;
    let place = |text: &str| story.find(text).ok_or_else(|| eyre::eyre!("no {text} in {story}"));
    let places =
        [place("request=complaint-7")?, place("outcome=bounced")?, place("outcome=nobody_holds ")?];
    assert!(places.is_sorted(), "{story}");
    assert!(story.contains("0 lines could not be read"), "{story}");
    Ok(())
}

/// A log that nobody reads neither holds packets up nor keeps a process from
/// ending; what was lost is counted.
#[tokio::test(flavor = "multi_thread")]
async fn a_full_log_pipe_blocks_nothing() -> eyre::Result<()> {
    let mut fleet = start(&FleetPlan { balancers: 1, ..plan() }).await?;
    fleet.balancers[0].kill()?;
    fleet.balancers[0].restart_unread()?;
    fleet.wait_for("the balancer to be in", |fleet| fleet.routers.ready() == 1).await?;
    let mut flows = open_flows(&fleet, 20).await?;
    let began = Instant::now();
    // Some 64 kB fit into the pipe and 256 kB before it; each request takes a line of
    // 300 bytes.
    for round in 0..90 {
        all_held(&mut flows, &format!("round-{round}")).await?;
    }
    assert!(began.elapsed() < Duration::from_secs(60));
    let address = IpAddr::V4(fleet.balancers[0].address);
    let figures = http_get(address, METRICS, "/metrics").await?;
    let lost = counter(&figures, "weirhinge_log_lines_lost_total");
    assert!(lost.is_some_and(|lost| lost > 0), "{figures}");
    fleet.balancers[0].signal(Signal::SIGTERM)?;
    assert!(fleet.balancers[0].ended().await?.success());
    Ok(())
}
