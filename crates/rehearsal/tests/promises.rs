//! Real processes behind a damaging network keep every promise through kills,
//! drains, pauses, refusals, cuts and a failing platform; and planted defects
//! are noticed.

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

async fn run(faults: &str, plant: Option<&str>) -> Verdict {
    run_text(&format!("{faults}\n{FLEET}"), plant).await
}

/// Fleets that run at once: each is a dozen processes, and a machine that is
/// far too small for them shows its own limits instead of the product's.
static FLEETS: Semaphore = Semaphore::const_new(3);

async fn run_text(text: &str, plant: Option<&str>) -> Verdict {
    run_seeded(text, plant, 5).await
}

async fn run_seeded(text: &str, plant: Option<&str>, seed: u64) -> Verdict {
    let _turn = FLEETS.acquire().await.expect("never closed");
    let scenario = Scenario::from_toml("test", text).expect("sound");
    let options = FleetOptions {
        seed,
        candidates: 3,
        logs: None,
        // A defect may leave flows behind that never end.
        stop_deadline_seconds: plant.map(|_| 10),
        plant: plant.map(str::to_owned),
    };
    rehearse(&scenario, &options).await.expect("rehearsal")
}

fn assert_held(verdict: &Verdict) {
    assert!(verdict.held, "{verdict:#?}");
    assert!(verdict.flows_opened > 100 && verdict.feed_updates > 500, "{verdict:#?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn balancers_and_drains_break_nothing() {
    let verdict = run(
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
async fn pauses_refusals_cuts_and_a_failing_platform_break_nothing() {
    let verdict = run(
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

/// Only the dead agents' own flows are lost; new flows of their buckets go to
/// the deputies, so that nobody is refused and nobody waits for an operator.
#[tokio::test(flavor = "multi_thread")]
async fn a_dead_agent_takes_only_its_own_flows_with_it() {
    let verdict = run(
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

/// One agent cannot be reached for 2 s, as another has its address.
///
/// Beside load, one feed of 1,117 flows never began. An opening packet that was offered to
/// the unreachable agent was lost; the client's repetitions went the same way and doubled its
/// time-out to 4 s, after which a request that was lost as well came too late. Agents' debug
/// lines of such a feed: "passed on to [(0, Offered" from owner and deputy at 0, 1 and 3 s,
/// "Flow is open" after the third, and the request at 7 s.
const ADDRESS_CHANGES_HANDS: &str = "faults = [{ at = 2.5, action = { misdirect-target = { target = 0, to = 4, seconds = 2.0 } } }]";
const OWNERS_CHANGE: &str = "faults = [
    { at = 3.0, action = { drain-target = 0 } },
    { at = 3.0, action = { drain-target = 1 } },
]";

#[tokio::test(flavor = "multi_thread")]
async fn an_address_that_changes_hands_misroutes_nothing() {
    let verdict = run(ADDRESS_CHANGES_HANDS, None).await;
    assert_held(&verdict);
}

/// Each agent in turn cannot be reached for 0.7 s, while its own packets still leave.
///
/// Feeds of clients without TCP timestamps never began: no update came within 4 s. Opening
/// packets were lost with the agent that they were offered to, and the client's repetitions
/// with the same or the next one; each doubled the client's time-out. The first request went
/// to an owner that could not be reached, and was repeated only 4 s later. Agents' debug lines:
/// "passed on to [(0, Offered" from the owner and, 250 ms later, from the deputy, and no
/// "admitted" before the third SYN. With that mended, two feeds in 25 runs were left: the
/// request was lost by the network, 1 s later with the owner, 3 s later with the holder
/// ("wrong_service" at agents that had their addresses). Such clients' packets go straight to
/// the holder now.
const ADDRESSES_CHANGE_HANDS_IN_TURN: &str = "faults = [
    { at = 1.5, action = { misdirect-target = { target = 0, to = 4, seconds = 0.7 } } },
    { at = 2.5, action = { misdirect-target = { target = 1, to = 5, seconds = 0.7 } } },
    { at = 3.5, action = { misdirect-target = { target = 2, to = 4, seconds = 0.7 } } },
    { at = 4.5, action = { misdirect-target = { target = 3, to = 5, seconds = 0.7 } } },
    { at = 5.5, action = { misdirect-target = { target = 0, to = 4, seconds = 0.7 } } },
]";

async fn feeds_begin(seed: u64) {
    let text = format!("{ADDRESSES_CHANGE_HANDS_IN_TURN}\n{FLEET}");
    let verdict = run_seeded(&text, None, seed).await;
    assert_held(&verdict);
}

#[tokio::test(flavor = "multi_thread")]
async fn feeds_begin_though_agents_cannot_be_reached_in_turn() {
    tokio::join!(feeds_begin(13), feeds_begin(14), feeds_begin(5_001));
}

/// The same where the network itself loses nothing: whatever is lost, an agent that cannot be
/// reached has swallowed. All clients are without timestamps, as those were hit.
fn without_loss(text: &str) -> String {
    text.replace("client_loss = 0.01", "client_loss = 0.0")
        .replace("zone_loss = 0.001", "zone_loss = 0.0")
        .replace("plain_caller_share = 0.4", "plain_caller_share = 1.0")
}

async fn feeds_begin_without_loss(seed: u64) {
    let text = format!("{ADDRESSES_CHANGE_HANDS_IN_TURN}\n{FLEET}");
    let verdict = run_seeded(&without_loss(&text), None, seed).await;
    assert_held(&verdict);
}

#[tokio::test(flavor = "multi_thread")]
async fn feeds_begin_whichever_agent_swallows_their_packets() {
    tokio::join!(
        feeds_begin_without_loss(13),
        feeds_begin_without_loss(14),
        feeds_begin_without_loss(5_001)
    );
}

#[cfg(feature = "planted-defects")]
#[tokio::test(flavor = "multi_thread")]
async fn a_missing_fence_is_noticed() {
    let verdict = run(ADDRESS_CHANGES_HANDS, Some("no-fence")).await;
    assert!(!verdict.held && verdict.packets_misrouted > 0, "{verdict:#?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn owners_change_under_callers_without_timestamps() {
    let verdict = run(OWNERS_CHANGE, None).await;
    assert_held(&verdict);
}

/// As clients of long flows, whose numbers name their holder no longer.
#[cfg(feature = "planted-defects")]
#[tokio::test(flavor = "multi_thread")]
async fn owners_change_under_callers_that_name_no_holder() {
    let verdict = run(OWNERS_CHANGE, Some("no-number-hint")).await;
    assert_held(&verdict);
}

#[tokio::test(flavor = "multi_thread")]
async fn an_agent_is_upgraded_under_load() {
    let verdict = run(
        "faults = [
            { at = 2.5, action = { replace-agent = 0 } },
            { at = 3.5, action = { replace-agent = 4 } },
        ]",
        None,
    )
    .await;
    assert_held(&verdict);
}

/// Opening packets come twice, seconds apart, through balancers that are two
/// revisions apart, while owners change: two agents answer many a flow.
const STALE_AND_LATE: &str = "
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
    let verdict = run_text(&with_late_copies(&format!("{STALE_AND_LATE}\n{FLEET}")), None).await;
    assert_held(&verdict);
}

#[cfg(feature = "planted-defects")]
#[tokio::test(flavor = "multi_thread")]
async fn resets_before_the_handshake_are_noticed() {
    let text = with_late_copies(&format!("{STALE_AND_LATE}\n{FLEET}"));
    let verdict = run_text(&text, Some("reset-early")).await;
    assert!(!verdict.held && verdict.flows_broken > 0, "{verdict:#?}");
}

#[cfg(feature = "planted-defects")]
#[tokio::test(flavor = "multi_thread")]
async fn resets_of_unknown_flows_are_noticed() {
    let verdict = run(OWNERS_CHANGE, Some("reset-unknown")).await;
    assert!(!verdict.held && verdict.flows_broken > 0, "{verdict:#?}");
}
