//! Targets that start again under their identifier, and entries that another writer left
//! in the store, with real processes.

mod support;

use support::{
    DEADLINE, all_held, no_packet_was_changed, open, open_flows, plan, request, start,
    wait_for_version,
};
use weirhinge_platform_standins::Fleet;

/// Waits until this text stands in the log of each balancer.
async fn wait_for_balancers(fleet: &Fleet, text: &str) -> eyre::Result<()> {
    let has = |log: String| log.contains(text);
    fleet
        .wait_for(text, |fleet| {
            fleet.balancers.iter().all(|balancer| balancer.log_text().is_ok_and(has))
        })
        .await
}

#[tokio::test(flavor = "multi_thread")]
async fn a_target_that_starts_again_loses_its_flows_and_takes_new_ones() -> eyre::Result<()> {
    let fleet = start(&plan()).await?;
    let flows = open_flows(&fleet, 12).await?;
    fleet.targets[0].restart();
    wait_for_balancers(&fleet, "\"restarted\":true").await?;
    let agent = &fleet.agents[0];
    fleet
        .wait_for("the agent to know", |_| {
            agent.log_text().is_ok_and(|log| log.contains("\"event\":\"target_restarted\""))
        })
        .await?;
    let reborn = fleet.targets[0].name.clone();
    let mut lost = 0;
    for (number, (mut flow, server)) in flows.into_iter().enumerate() {
        let id = format!("second-{number}");
        let answered = flow.request(&id, DEADLINE).await;
        if server == reborn {
            // It is told at once, and the request ran nowhere.
            assert!(answered.is_err(), "flow {number} goes on at a target that lost it");
            let ran = fleet.targets.iter().flat_map(|target| target.ran());
            assert!(!ran.into_iter().any(|ran| ran == id), "{id} ran");
            lost += 1;
        } else {
            assert_eq!(answered.ok().as_deref(), Some(server.as_str()), "flow {number}");
        }
    }
    assert!(lost > 0, "no flow was opened at the target");
    // Nothing of the life before keeps new flows away.
    for number in 0..200 {
        let mut flow = open(&fleet).await?;
        if request(&mut flow, &format!("new-{number}")).await? == reborn {
            return Ok(());
        }
    }
    Err(eyre::eyre!("none of 200 new flows went to the target that started again"))
}

/// Clients that wait for an answer send nothing: they learned of the loss at their deadline.
#[tokio::test(flavor = "multi_thread")]
async fn clients_of_lost_flows_are_told_without_asking() -> eyre::Result<()> {
    let fleet = start(&plan()).await?;
    let flows = open_flows(&fleet, 12).await?;
    let reborn = fleet.targets[0].name.clone();
    let (mut lost, mut kept): (Vec<_>, Vec<_>) =
        flows.into_iter().partition(|(_, server)| *server == reborn);
    assert!(!lost.is_empty(), "no flow was opened at the target");
    fleet.targets[0].restart();
    for (flow, _) in &mut lost {
        assert!(flow.is_reset_within(DEADLINE).await, "{} was not told", flow.source());
    }
    all_held(&mut kept, "beside a restart").await?;
    no_packet_was_changed(&fleet);
    Ok(())
}

#[tokio::test(flavor = "multi_thread")]
async fn nonsense_in_the_store_harms_no_neighbour() -> eyre::Result<()> {
    let mut fleet = start(&plan()).await?;
    let mut flows = open_flows(&fleet, 8).await?;
    fleet.leave_foreign_entries();
    fleet.configure(&[(443, &[("dispatch", 1)])]);
    wait_for_version(&fleet, fleet.version(), "a version behind the nonsense").await?;
    all_held(&mut flows, "beside nonsense").await?;
    for number in 0..8 {
        let mut flow = open(&fleet).await?;
        request(&mut flow, &format!("new-{number}")).await?;
    }
    Ok(())
}

/// A good entry stood under the key: nothing new goes to its target until it writes again.
#[tokio::test(flavor = "multi_thread")]
async fn an_entry_that_stops_being_readable_names_no_target() -> eyre::Result<()> {
    let fleet = start(&plan()).await?;
    let id = fleet.targets[0].name.clone();
    fleet.store.put_bytes(&format!("servers/{id}"), b"no document");
    let removed = format!("\"target\":\"{id}\",\"event\":\"target_removed\"");
    wait_for_balancers(&fleet, &removed).await?;
    for number in 0..20 {
        let mut flow = open(&fleet).await?;
        let server = request(&mut flow, &format!("new-{number}")).await?;
        assert_ne!(server, id);
    }
    fleet.targets[0].renew_record();
    for number in 0..200 {
        let mut flow = open(&fleet).await?;
        if request(&mut flow, &format!("again-{number}")).await? == id {
            return Ok(());
        }
    }
    Err(eyre::eyre!("none of 200 new flows went to the target that wrote again"))
}
