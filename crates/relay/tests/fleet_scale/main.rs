//! Membership, dissemination and recovery at the target scale, in simulated time.

mod recovery;
mod simulation;
#[path = "../support/mod.rs"]
mod support;

use simulation::Simulation;
use weirhinge_fleet::Position;

#[test]
fn thousand_daemons_apply_changes_in_three_seconds_at_six_kilobytes_per_second() {
    let mut simulation = Simulation::new(300, 700);
    simulation.run_until(15_000, |_| false);
    assert!(simulation.everyone_knows(Position::new(0, 1)));
    let (busiest, mean) = simulation.take_bytes(0);
    println!("start, 15 s: {busiest} B/s at most, {mean} B/s on average");
    let (calls, began) = (simulation.calls, simulation.now);
    simulation.run_until(began + 20_000, |_| false);
    let (busiest, mean) = simulation.take_bytes(began);
    let calls = simulation.calls - calls;
    println!("quiet, 20 s: {busiest} B/s at most, {mean} B/s on average, {calls} calls");
    assert!(busiest < 6_000, "{busiest} B/s of control traffic at the busiest daemon");
    assert!(calls < 60, "{calls} calls in 20 s");
    let mut longest = (0, 0);
    for _ in 0..5 {
        simulation.store.revision += 1;
        let (position, began) = (simulation.store, simulation.now);
        let balancers =
            simulation.run_until(began + 10_000, |sim| sim.all_balancers_know(position)) - began;
        let all = simulation.run_until(began + 10_000, |sim| sim.everyone_knows(position)) - began;
        longest = (longest.0.max(balancers), longest.1.max(all));
        let now = simulation.now;
        simulation.run_until(now + 3_000, |_| false);
    }
    println!("change: {} ms at all balancers, {} ms at all daemons", longest.0, longest.1);
    // The watch of the simulated store answers only after its whole wait, 1 s at worst.
    assert!(longest.0 < 3_000, "{} ms", longest.0);
    assert!(longest.1 < 10_000, "{} ms", longest.1);
}

#[test]
fn reader_refused_by_the_store_is_replaced_in_time() {
    let mut simulation = Simulation::new(300, 0);
    simulation.run_until(10_000, |_| false);
    let reader = simulation.daemons.iter().position(|daemon| daemon.node.reading);
    simulation.refused_daemon = reader;
    simulation.store.revision += 1;
    let (position, began) = (simulation.store, simulation.now);
    let took = simulation.run_until(began + 10_000, |sim| sim.all_balancers_know(position)) - began;
    println!("change after the reader is refused: {took} ms at all balancers");
    assert!(reader.is_some() && took < 3_000, "{took} ms");
}

/// After an outage, all balancers try to read a store that was also restored from a backup. A few
/// list it and the others learn of it from those.
#[test]
fn restored_store_is_listed_by_a_few_balancers() {
    let mut simulation = Simulation::new(300, 0);
    simulation.run_until(10_000, |_| false);
    simulation.store.revision = 40;
    simulation.run_until(14_000, |_| false);
    simulation.is_store_down = true;
    simulation.run_until(16_000, |_| false);
    simulation.is_store_down = false;
    simulation.store = Position::new(1, 12);
    let (listings, position) = (simulation.listings, simulation.store);
    let (calls, began) = (simulation.calls, simulation.now);
    let took = simulation.run_until(began + 10_000, |sim| sim.all_balancers_know(position)) - began;
    simulation.run_until(began + 5_000, |_| false);
    let (listings, calls) = (simulation.listings - listings, simulation.calls - calls);
    println!(
        "restored store: {took} ms at all balancers, {listings} listings, {calls} calls in 5 s"
    );
    assert!(took < 3_000, "{took} ms");
    assert!(listings <= 30, "{listings} listings by 300 balancers");
}

#[test]
fn membership_spreads_from_three_seeds() {
    let mut simulation = Simulation::new(100, 200);
    simulation.run_until(8_000, |_| false);
    let daemons = simulation.daemons.iter_mut();
    let contacts: Vec<usize> =
        daemons.map(|daemon| daemon.node.digest_recipients(8_000).len()).collect();
    assert!(contacts.iter().all(|count| *count > 0));
    assert!(simulation.everyone_knows(Position::new(0, 1)));
}

/// A balancer's report that it reads the store reaches few others in a large fleet. Readers have to
/// give way to each other nevertheless, or each one that began to read would call the store once a
/// second for minutes.
#[test]
fn one_reader_remains_in_fleets_of_any_size() {
    const EXTRA_READERS: usize = 10;
    for balancers in [30, 300, 1_000] {
        let mut simulation = Simulation::new(balancers, 0);
        simulation.run_until(10_000, |_| false);
        for extra in 1..=EXTRA_READERS {
            simulation.daemons[balancers / EXTRA_READERS * extra - 1].node.reading = true;
        }
        simulation.run_until(18_000, |_| false);
        let (calls, began) = (simulation.calls, simulation.now);
        simulation.run_until(23_000, |_| false);
        let calls = simulation.calls - calls;
        println!("{balancers} balancers: {calls} calls from {began} to {} ms", simulation.now);
        // One watch a second, and verification reads.
        assert!(calls <= 10, "{balancers} balancers: {calls} calls in 5 s");
    }
}

/// While the store forgets its history at once, one balancer lists it after each change, also when
/// the reader is refused and another one takes over.
#[test]
fn store_without_history_is_listed_by_one_balancer() {
    let mut simulation = Simulation::new(300, 0);
    simulation.run_until(10_000, |_| false);
    simulation.is_history_lost = true;
    simulation.refused_daemon = simulation.daemons.iter().position(|daemon| daemon.node.reading);
    let (calls, listings) = (simulation.calls, simulation.listings);
    for change in 1..=20 {
        simulation.store.revision += 1;
        simulation.run_until(10_000 + change * 500, |_| false);
    }
    let position = simulation.store;
    simulation.run_until(22_000, |_| false);
    assert!(simulation.all_balancers_know(position));
    let (calls, listings) = (simulation.calls - calls, simulation.listings - listings);
    println!("store without history: {listings} listings, {calls} calls in 12 s");
    assert!(listings <= 40, "{listings} listings of 20 changes");
    assert!(calls <= 150, "{calls} calls");
}
