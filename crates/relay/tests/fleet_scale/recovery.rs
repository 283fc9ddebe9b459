//! Recovery of the balancers' state after all of them stopped, in fleets of several sizes.

use weirhinge_fleet::{Millis, Position};

use crate::simulation::{SimulatedDaemon, Simulation};

/// How long all balancers are stopped.
const STOPPED_MS: Millis = 1_500;
/// Time limit of a recovery in the simulation.
const RECOVERY_LIMIT_MS: Millis = 6_000;

/// How a fleet recovered from a stop of all balancers.
#[derive(Debug)]
struct Recovery {
    /// Milliseconds until half of the balancers knew all targets.
    half_ms: Millis,
    /// Milliseconds until 99 percent of the balancers knew all targets.
    most_ms: Millis,
    failed_fetches: u64,
    /// Calls to the store since the restart.
    calls: u64,
}

fn knowing_all(simulation: &Simulation, agents: usize) -> usize {
    let knows_all = |daemon: &&SimulatedDaemon| daemon.node.view().target_count() == agents;
    simulation.balancers().filter(knows_all).count()
}

/// Stops all balancers while the store is down, and starts them again.
fn recover_without_store(balancers: usize, agents: usize) -> Recovery {
    let mut simulation = Simulation::new(balancers, agents);
    simulation.run_until(10_000, |_| false);
    assert!(simulation.all_balancers_know(Position::new(0, 1)));
    simulation.is_store_down = true;
    simulation.run_until(12_000, |_| false);
    simulation.stop_balancers();
    simulation.run_until(12_000 + STOPPED_MS, |_| false);
    let (calls, failed_fetches) = (simulation.calls, simulation.failed_fetches);
    simulation.restart_balancers();
    let began = simulation.now;
    let end = began + RECOVERY_LIMIT_MS;
    let half = simulation.run_until(end, |sim| knowing_all(sim, agents) * 2 >= balancers);
    let most = simulation.run_until(end, |sim| knowing_all(sim, agents) * 100 >= balancers * 99);
    simulation.run_until(end, |_| false);
    let recovery = Recovery {
        half_ms: half - began,
        most_ms: most - began,
        failed_fetches: simulation.failed_fetches - failed_fetches,
        calls: simulation.calls - calls,
    };
    println!("{balancers} balancers, {agents} agents: {recovery:?}");
    recovery
}

/// Balancers that all lost their state while the store is down find the targets again, in a time
/// that hardly depends on the size of the fleet.
#[test]
fn balancers_without_store_learn_all_targets_from_agents() {
    let small = recover_without_store(30, 70);
    let medium = recover_without_store(90, 210);
    let large = recover_without_store(300, 700);
    assert!(small.half_ms < 1_000 && small.most_ms < 1_500, "{small:?}");
    assert!(large.half_ms < 1_000 && large.most_ms < 1_500, "{large:?}");
    assert!(large.calls <= 900, "three calls of a balancer: {large:?}");
    assert!(large.failed_fetches <= 300, "one of a balancer: {large:?}");
    assert!(large.most_ms * 10 <= medium.most_ms * 13, "{medium:?}, {large:?}");
}

/// When all balancers start at the same time, each lists the store, and a part of them that does not
/// grow with the fleet confirms that the listings are current.
#[test]
fn few_balancers_confirm_the_first_listings() {
    for balancers in [30, 300, 1_000] {
        let mut simulation = Simulation::new(balancers, 0);
        simulation.run_until(3_000, |_| false);
        let calls = simulation.calls - simulation.stale_listings;
        println!(
            "{balancers} balancers: {calls} calls and {} stale listings in 3 s",
            simulation.stale_listings
        );
        assert!(simulation.stale_listings <= balancers as u64);
        assert!(calls <= balancers as u64 / 2 + 15, "{balancers} balancers: {calls} calls");
        assert!(simulation.all_balancers_know(Position::new(0, 1)));
    }
}
