//! The number of lines that a daemon logs while it learns of a large fleet.

mod support;

use std::net::Ipv4Addr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use slog::{Drain, Logger, Never, OwnedKVList, Record, o};
use support::{ready_record, settings};
use weirhinge_fleet::{Millis, PeerRole, Position, Update, VersionedTarget};
use weirhinge_relay::FleetNode;

const NOW: Millis = 5_000;

/// Counts the lines logged.
struct LineCounter(Arc<AtomicUsize>);

impl Drain for LineCounter {
    type Ok = ();
    type Err = Never;

    fn log(&self, _: &Record<'_>, _: &OwnedKVList) -> Result<(), Never> {
        self.0.fetch_add(1, Ordering::Relaxed);
        Ok(())
    }
}

fn address(number: usize) -> Ipv4Addr {
    Ipv4Addr::from_bits(0x0a00_0001 + number as u32)
}

/// A balancer, and the number of lines that it logged.
fn balancer(number: usize) -> (FleetNode, Arc<AtomicUsize>) {
    let lines = Arc::new(AtomicUsize::new(0));
    let log = Logger::root(LineCounter(Arc::clone(&lines)), o!());
    let settings = settings(address(number), std::iter::empty());
    (FleetNode::with_seed(&settings, PeerRole::Balancer, log, 1), lines)
}

fn target(number: usize, revision: u64) -> VersionedTarget {
    VersionedTarget {
        id: format!("target-{number}"),
        position: Position::new(0, revision),
        present: true,
        record: Some(ready_record(address(number))),
    }
}

/// A line for each target and balancer would be a quarter of a million lines in the first seconds of
/// a fleet of a thousand daemons.
#[test]
fn lines_of_a_starting_daemon_do_not_grow_with_the_fleet() {
    let lines_in_fleet_of = |balancers: usize, targets: usize| {
        let (mut node, lines) = balancer(0);
        let listed = (0..targets).map(|number| target(number, 2)).collect();
        let through = Position::new(0, 3);
        let listing = Update { through, complete: true, targets: listed, ..Update::default() };
        node.apply_from_store(listing, NOW);
        for number in 1..balancers {
            node.on_digest(&balancer(number).0.digest(false, NOW), NOW);
        }
        assert_eq!(node.known_balancers(), balancers - 1);
        lines.load(Ordering::Relaxed)
    };
    assert_eq!(lines_in_fleet_of(100, 700), lines_in_fleet_of(400, 7_200));
}

#[test]
fn later_changes_of_targets_are_logged_one_by_one() {
    let (mut node, lines) = balancer(0);
    let listing = Update {
        through: Position::new(0, 3),
        complete: true,
        targets: vec![target(1, 2)],
        ..Update::default()
    };
    node.apply_from_store(listing, NOW);
    let before = lines.load(Ordering::Relaxed);
    let changes = Update {
        after: Position::new(0, 3),
        through: Position::new(0, 5),
        targets: vec![target(2, 4), target(3, 5)],
        ..Update::default()
    };
    node.apply_from_store(changes, NOW + 10);
    assert_eq!(lines.load(Ordering::Relaxed) - before, 2);
}
