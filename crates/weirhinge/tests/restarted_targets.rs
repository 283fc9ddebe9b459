//! Real processes while targets restart under their identifiers, and while another writer leaves
//! invalid entries in the store.

mod support;

use support::{
    REQUEST_TIMEOUT, assert_no_corrupted_packets, check_flows_kept, open_flow, open_flows, plan,
    request, start, wait_for_version,
};
use weirhinge_platform_standins::Fleet;

/// Waits until the log of each balancer contains this text.
async fn wait_for_balancers(fleet: &Fleet, text: &str) -> eyre::Result<()> {
    let has = |log: String| log.contains(text);
    fleet
        .wait_for(text, |fleet| {
            fleet.balancers.iter().all(|balancer| balancer.log_text().is_ok_and(has))
        })
        .await
}

#[tokio::test(flavor = "multi_thread")]
async fn restarted_target_loses_its_flows_and_accepts_new_ones() -> eyre::Result<()> {
    let fleet = start(&plan()).await?;
    let flows = open_flows(&fleet, 12).await?;
    fleet.targets[0].restart();
    wait_for_balancers(&fleet, "\"restarted\":true").await?;
    let agent = &fleet.agents[0];
    fleet
        .wait_for("the agent to detect the restart", |_| {
            agent.log_text().is_ok_and(|log| log.contains("\"event\":\"target_restarted\""))
        })
        .await?;
    let restarted = fleet.targets[0].name.clone();
    let mut lost = 0;
    for (number, (mut flow, server)) in flows.into_iter().enumerate() {
        let id = format!("second-{number}");
        let answered = flow.request(&id, REQUEST_TIMEOUT).await;
        if server == restarted {
            // The client gets a reset at once, and no target runs the request.
            assert!(answered.is_err(), "flow {number} continues at a target that lost it");
            let ran = fleet.targets.iter().flat_map(|target| target.executed_requests());
            assert!(!ran.into_iter().any(|ran| ran == id), "{id} ran");
            lost += 1;
        } else {
            assert_eq!(answered.ok().as_deref(), Some(server.as_str()), "flow {number}");
        }
    }
    assert!(lost > 0, "no flow was opened at the target");
    // State of the previous incarnation must not keep new flows away from the target.
    for number in 0..200 {
        let mut flow = open_flow(&fleet).await?;
        if request(&mut flow, &format!("new-{number}")).await? == restarted {
            return Ok(());
        }
    }
    Err(eyre::eyre!("none of 200 new flows went to the restarted target"))
}

/// A client that waits for a response sends nothing. Unless the reset is sent unasked, it detects
/// the loss of its flow only at its deadline.
#[tokio::test(flavor = "multi_thread")]
async fn clients_of_lost_flows_are_reset_without_sending() -> eyre::Result<()> {
    let fleet = start(&plan()).await?;
    let flows = open_flows(&fleet, 12).await?;
    let restarted = fleet.targets[0].name.clone();
    let (mut lost, mut kept): (Vec<_>, Vec<_>) =
        flows.into_iter().partition(|(_, server)| *server == restarted);
    assert!(!lost.is_empty(), "no flow was opened at the target");
    fleet.targets[0].restart();
    for (flow, _) in &mut lost {
        assert!(flow.is_reset_within(REQUEST_TIMEOUT).await, "{} got no reset", flow.source());
    }
    check_flows_kept(&mut kept, "during a restart").await?;
    assert_no_corrupted_packets(&fleet);
    Ok(())
}

#[tokio::test(flavor = "multi_thread")]
async fn invalid_store_entries_do_not_affect_valid_ones() -> eyre::Result<()> {
    let mut fleet = start(&plan()).await?;
    let mut flows = open_flows(&fleet, 8).await?;
    fleet.write_foreign_entries();
    fleet.configure(&[(443, &[("dispatch", 1)])]);
    wait_for_version(&fleet, fleet.version(), "a version written after the invalid entries")
        .await?;
    check_flows_kept(&mut flows, "with invalid entries").await?;
    for number in 0..8 {
        let mut flow = open_flow(&fleet).await?;
        request(&mut flow, &format!("new-{number}")).await?;
    }
    Ok(())
}

/// A target's valid entry is replaced with invalid bytes: the target gets no new flows until it
/// writes its entry again.
#[tokio::test(flavor = "multi_thread")]
async fn overwritten_entry_removes_its_target_until_rewritten() -> eyre::Result<()> {
    let fleet = start(&plan()).await?;
    let id = fleet.targets[0].name.clone();
    fleet.store.put_bytes(&format!("servers/{id}"), b"no document");
    let removed = format!("\"target\":\"{id}\",\"event\":\"target_removed\"");
    wait_for_balancers(&fleet, &removed).await?;
    for number in 0..20 {
        let mut flow = open_flow(&fleet).await?;
        let server = request(&mut flow, &format!("new-{number}")).await?;
        assert_ne!(server, id);
    }
    fleet.targets[0].renew_record();
    for number in 0..200 {
        let mut flow = open_flow(&fleet).await?;
        if request(&mut flow, &format!("again-{number}")).await? == id {
            return Ok(());
        }
    }
    Err(eyre::eyre!("none of 200 new flows went to the target that wrote its entry again"))
}
