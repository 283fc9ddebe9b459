//! Real processes behind a lossy network keep every promise through kills, drains,
//! pauses, refused connections, partitions and platform failures, and planted
//! defects are detected.

use tokio::sync::Semaphore;
use weirhinge_rehearsal::fleet::FleetOptions;
use weirhinge_rehearsal::run::rehearse;
use weirhinge_rehearsal::scenario::Scenario;
use weirhinge_rehearsal::verdict::Verdict;

const FLEET: &str = r#"
description = "a small fleet for tests"
seconds = 8
zones = ["one", "two"]
balancers = 3

[network]
client_delay_ms = 1.0
zone_delay_ms = 1.0
client_loss = 0.01
zone_loss = 0.001
duplicate = 0.005
reorder = 0.03
reorder_delay_ms = 5.0
fabric_lag_ms = 500

[[services]]
name = "approvals"
address = "203.0.113.10"
port = 8443
targets = 4
slots = 4
connections = 500
service_ms = 50.0
load = 0.4
feeds = 60
feed_interval_ms = 200
kept_flow_share = 0.3
plain_caller_share = 0.4

[[services]]
name = "statements"
address = "203.0.113.20"
port = 8080
targets = 2
slots = 4
connections = 500
service_ms = 50.0
load = 0.3
answer_bytes = 8000
plain_caller_share = 0.4
"#;

async fn run_with_faults(faults: &str, plant: Option<&str>) -> Verdict {
    run_scenario(&format!("{faults}\n{FLEET}"), plant).await
}

/// Limits the fleets that run concurrently. Each has a dozen processes, and on an
/// overloaded machine the tests would show its limits instead of real faults.
static FLEET_PERMITS: Semaphore = Semaphore::const_new(3);

async fn run_scenario(text: &str, plant: Option<&str>) -> Verdict {
    run_scenario_with_seed(text, plant, 5).await
}

async fn run_scenario_with_seed(text: &str, plant: Option<&str>, seed: u64) -> Verdict {
    let _permit = FLEET_PERMITS.acquire().await.expect("never closed");
    let scenario = Scenario::from_toml("test", text).expect("valid scenario");
    let options = FleetOptions {
        seed,
        candidates: 3,
        logs: None,
        // A planted defect may leave flows that never end.
        stop_deadline_seconds: plant.map(|_| 10),
        plant: plant.map(str::to_owned),
    };
    rehearse(&scenario, &options).await.expect("rehearsal runs")
}

fn assert_held(verdict: &Verdict) {
    assert!(verdict.held, "{verdict:#?}");
    assert!(verdict.flows_opened > 100 && verdict.feed_updates > 500, "{verdict:#?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn balancer_changes_and_drains_break_nothing() {
    let verdict = run_with_faults(
        r#"
        faults = [
            { at = 2.5, action = { kill-balancer = 0 } },
            { at = 3.0, action = "add-balancer" },
            { at = 3.5, action = { drain-target = 0 } },
            { at = 4.0, action = { drain-target = 1 } },
            { at = 4.5, action = { stop-balancer = 1 } },
            { at = 5.0, action = { activate-target = 0 } },
            { at = 6.0, action = { drain-target = 2 } },
        ]"#,
        None,
    )
    .await;
    assert_held(&verdict);
}

#[tokio::test(flavor = "multi_thread")]
async fn pauses_partitions_and_platform_faults_break_nothing() {
    let verdict = run_with_faults(
        r#"
        faults = [
            { at = 2.5, action = { pause-agent = { target = 0, seconds = 1.5 } } },
            { at = 3.0, action = { pause-balancer = { balancer = 0, seconds = 1.0 } } },
            { at = 3.0, action = { platform-stale = { seconds = 1.0 } } },
            { at = 4.5, action = { refuse-connections = { target = 1, seconds = 1.5 } } },
            { at = 4.5, action = { misleading-reports = 2 } },
            { at = 5.0, action = { platform-down = { seconds = 2.0 } } },
            { at = 6.0, action = { cut-zones = { from = "one", to = "two", seconds = 0.7 } } },
        ]"#,
        None,
    )
    .await;
    assert_held(&verdict);
}

/// Only the killed agent's own flows are lost. New flows of its buckets go to the
/// standby owners, so that none is refused and no operator has to act.
#[tokio::test(flavor = "multi_thread")]
async fn killed_agent_loses_only_its_own_flows() {
    let verdict = run_with_faults(
        "faults = [
            { at = 3.0, action = { kill-agent = 1 } },
            { at = 6.0, action = { drain-target = 1 } },
        ]",
        None,
    )
    .await;
    assert_held(&verdict);
    assert!(verdict.flows_lost_with_machine > 0, "{verdict:#?}");
    assert_eq!(verdict.flows_refused, 0, "{verdict:#?}");
    assert!(verdict.counters["standby_acted"] > 0, "{verdict:#?}");
}

/// One agent is unreachable for 2 s, as its address is assigned to another agent.
///
/// Guards against a feed that does not start in time (seen on a loaded machine, once in 1,117
/// flows): the owner and the standby owner offered the SYN and its retransmissions at 0, 1 and
/// 3 s to the unreachable agent. By the time the flow opened, the client's retransmission
/// timeout had doubled to 4 s, so that a request lost after the handshake was repeated too
/// late, at 7 s. Agents' debug logs show "passed on to [(0, Offered" for each of these SYNs and
/// "Flow is open" after the third.
const ADDRESS_REASSIGNED: &str = "faults = [{ at = 2.5, action = { misdirect-target = { target = 0, to = 4, seconds = 2.0 } } }]";
const OWNERS_DRAINED: &str = "faults = [
    { at = 3.0, action = { drain-target = 0 } },
    { at = 3.0, action = { drain-target = 1 } },
]";

#[tokio::test(flavor = "multi_thread")]
async fn reassigned_address_misroutes_nothing() {
    let verdict = run_with_faults(ADDRESS_REASSIGNED, None).await;
    assert_held(&verdict);
}

/// Agents are unreachable in turn for 0.7 s each, while their own packets still get through.
///
/// Guards against feeds of clients without TCP timestamps that get no update within 4 s. This
/// happens if SYNs and their retransmissions are offered to unreachable agents only: each loss
/// doubles the client's retransmission timeout, and if the first request then goes to an
/// unreachable owner, it is repeated only 4 s later. Agents' debug logs show "passed on to
/// [(0, Offered" from the owner and, 250 ms later, from the standby owner, and no "admitted"
/// before the third SYN.
///
/// It also happens (in 2 feeds of 25 runs) if the network loses the request and its repetitions
/// reach an unreachable owner 1 s later and an unreachable holder 3 s later ("wrong_service" at
/// the agents that have their addresses). Therefore packets of such clients are sent directly
/// to the holder.
const ADDRESSES_REASSIGNED_IN_TURN: &str = "faults = [
    { at = 1.5, action = { misdirect-target = { target = 0, to = 4, seconds = 0.7 } } },
    { at = 2.5, action = { misdirect-target = { target = 1, to = 5, seconds = 0.7 } } },
    { at = 3.5, action = { misdirect-target = { target = 2, to = 4, seconds = 0.7 } } },
    { at = 4.5, action = { misdirect-target = { target = 3, to = 5, seconds = 0.7 } } },
    { at = 5.5, action = { misdirect-target = { target = 0, to = 4, seconds = 0.7 } } },
]";

async fn check_feeds_start(seed: u64) {
    let text = format!("{ADDRESSES_REASSIGNED_IN_TURN}\n{FLEET}");
    let verdict = run_scenario_with_seed(&text, None, seed).await;
    assert_held(&verdict);
}

#[tokio::test(flavor = "multi_thread")]
async fn feeds_start_while_agents_are_unreachable_in_turn() {
    tokio::join!(check_feeds_start(13), check_feeds_start(14), check_feeds_start(5_001));
}

/// Removes all network loss from a scenario, so that only unreachable agents lose packets, and
/// TCP timestamps from all clients, as only clients without them are affected.
fn without_loss(text: &str) -> String {
    text.replace("client_loss = 0.01", "client_loss = 0.0")
        .replace("zone_loss = 0.001", "zone_loss = 0.0")
        .replace("plain_caller_share = 0.4", "plain_caller_share = 1.0")
}

async fn check_feeds_start_without_loss(seed: u64) {
    let text = format!("{ADDRESSES_REASSIGNED_IN_TURN}\n{FLEET}");
    let verdict = run_scenario_with_seed(&without_loss(&text), None, seed).await;
    assert_held(&verdict);
}

#[tokio::test(flavor = "multi_thread")]
async fn feeds_start_whichever_agent_loses_their_packets() {
    tokio::join!(
        check_feeds_start_without_loss(13),
        check_feeds_start_without_loss(14),
        check_feeds_start_without_loss(5_001)
    );
}

#[cfg(feature = "planted-defects")]
#[tokio::test(flavor = "multi_thread")]
async fn missing_fence_is_detected() {
    let verdict = run_with_faults(ADDRESS_REASSIGNED, Some("no-fence")).await;
    assert!(!verdict.held && verdict.packets_misrouted > 0, "{verdict:#?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn owner_drains_break_nothing_without_timestamps() {
    let verdict = run_with_faults(OWNERS_DRAINED, None).await;
    assert_held(&verdict);
}

/// Like long flows, whose sequence numbers no longer identify their holder.
#[cfg(feature = "planted-defects")]
#[tokio::test(flavor = "multi_thread")]
async fn owner_drains_break_nothing_without_number_hint() {
    let verdict = run_with_faults(OWNERS_DRAINED, Some("no-number-hint")).await;
    assert_held(&verdict);
}

#[tokio::test(flavor = "multi_thread")]
async fn agent_upgrade_under_load_breaks_nothing() {
    let verdict = run_with_faults(
        "faults = [
            { at = 2.5, action = { replace-agent = 0 } },
            { at = 3.5, action = { replace-agent = 4 } },
        ]",
        None,
    )
    .await;
    assert_held(&verdict);
}

/// Opening packets arrive twice, seconds apart, through balancers that are two
/// revisions apart, while owners change, so that two agents answer many flows.
const STALE_BALANCERS: &str = "
stale_balancers = 1
stale_lag_ms = 3000
faults = [
    { at = 2.5, action = { drain-target = 0 } },
    { at = 3.5, action = { drain-target = 1 } },
    { at = 4.5, action = { activate-target = 0 } },
    { at = 5.0, action = { drain-target = 2 } },
    { at = 5.5, action = { kill-balancer = 2 } },
]";

fn with_late_copies(text: &str) -> String {
    text.replace("reorder = 0.03", "reorder = 0.03\nlate_copy = 0.2\nlate_copy_delay_ms = 2000.0")
}

#[tokio::test(flavor = "multi_thread")]
async fn late_copies_and_stale_balancers_break_nothing() {
    let verdict =
        run_scenario(&with_late_copies(&format!("{STALE_BALANCERS}\n{FLEET}")), None).await;
    assert_held(&verdict);
}

#[cfg(feature = "planted-defects")]
#[tokio::test(flavor = "multi_thread")]
async fn resets_before_the_handshake_are_detected() {
    let text = with_late_copies(&format!("{STALE_BALANCERS}\n{FLEET}"));
    let verdict = run_scenario(&text, Some("reset-early")).await;
    assert!(!verdict.held && verdict.flows_broken > 0, "{verdict:#?}");
}

#[cfg(feature = "planted-defects")]
#[tokio::test(flavor = "multi_thread")]
async fn resets_of_unknown_flows_are_detected() {
    let verdict = run_with_faults(OWNERS_DRAINED, Some("reset-unknown")).await;
    assert!(!verdict.held && verdict.flows_broken > 0, "{verdict:#?}");
}
