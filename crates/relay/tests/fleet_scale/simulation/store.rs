//! The simulated store, and how balancers read it.

use weirhinge_fleet::reader::ReadReason;
use weirhinge_fleet::{
    Configuration, Position, Timing, UNCONFIRMED_AGE_MS, Update, VersionedConfiguration,
    VersionedTarget,
};

use super::{Event, Simulation, address_of};
use crate::support::ready_record;

/// Time in which the store answers a call.
const STORE_READ_MS: u64 = 8;

impl Simulation {
    pub(super) fn poll(&mut self, index: usize) {
        let (now, clock) = (self.now, self.clock(index));
        let node = &mut self.daemons[index].node;
        let Some(reason) = node.read_reason(clock) else {
            node.reading = false;
            return self.schedule(now + 40, index, Event::Poll);
        };
        let after = node.position();
        self.calls += 1;
        if self.is_store_down {
            node.reading = false;
            self.daemons[index].failures += 1;
            return self.await_retry(index);
        }
        if self.refused_daemon == Some(index) {
            node.reading = false;
            return self.schedule(now + 500, index, Event::Poll);
        }
        if after.is_start() {
            return self.list(index, after, reason);
        }
        if after.era != self.store.era || (self.is_history_lost && after != self.store) {
            let delay = node.listing_delay(reason);
            return self.schedule(
                now + STORE_READ_MS + delay,
                index,
                Event::List { after, reason },
            );
        }
        let is_unchanged = after == self.store;
        let wait = if is_unchanged { reason.watch_wait_ms(&Timing::default()) } else { 0 };
        self.schedule(now + STORE_READ_MS + wait, index, Event::Read { after, reason });
    }

    /// Lists the store, unless peers have sent newer state.
    pub(super) fn list(&mut self, index: usize, known: Position, reason: ReadReason) {
        if self.daemons[index].node.position() != known {
            return self.schedule(self.now + 40, index, Event::Poll);
        }
        self.listings += 1;
        self.stale_listings += u64::from(known.is_start());
        self.schedule(self.now + STORE_READ_MS, index, Event::Read { after: known, reason });
    }

    /// Waits until a failed call is due to be repeated.
    pub(super) fn await_retry(&mut self, index: usize) {
        let daemon = &self.daemons[index];
        let wait = daemon.node.retry_wait(daemon.failures);
        let event = if wait.calls_store { Event::Poll } else { Event::Retry };
        self.schedule(self.now + wait.wait_ms, index, event);
    }

    pub(super) fn read(&mut self, index: usize, after: Position, reason: ReadReason) {
        let clock = self.clock(index);
        let mut update = self.store_update(after);
        let is_first_listing = after.is_start();
        if is_first_listing {
            // It is read stale.
            update.age_ms = UNCONFIRMED_AGE_MS;
        }
        self.daemons[index].failures = 0;
        let node = &mut self.daemons[index].node;
        node.apply_from_store(update, clock);
        node.reading = reason.makes_reader() && !is_first_listing;
        self.propagate(index);
        self.fetch_removed_targets(index);
        let pause = if is_first_listing { 0 } else { 250 };
        self.schedule(self.now + pause, index, Event::Poll);
    }

    /// Returns the store's answer: one record per agent at the first revision, and a configuration
    /// that changes with every further revision.
    pub(super) fn store_update(&self, after: Position) -> Update {
        let through = self.store;
        let configuration = Configuration {
            version: 1_000 * through.era + through.revision,
            routes: Vec::new(),
            idle_timeout_ms: 15_000,
            ..Configuration::default()
        };
        let is_new = through > after;
        let is_listing = after.is_start() || after.era != through.era;
        let agents = (0..self.daemons.len()).filter(|index| !self.daemons[*index].is_balancer);
        let targets = agents.map(|index| VersionedTarget {
            id: format!("target-{index}"),
            position: Position::new(through.era, 1),
            present: true,
            record: Some(ready_record(address_of(index))),
        });
        Update {
            after,
            through,
            complete: after.is_start() || after.era != through.era,
            age_ms: 0,
            configuration: is_new
                .then_some(VersionedConfiguration { position: through, configuration }),
            targets: if is_listing { targets.collect() } else { Vec::new() },
            ..Update::default()
        }
    }
}
