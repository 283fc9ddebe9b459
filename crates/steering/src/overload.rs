//! Withdraws an overloaded balancer, so that routers send packets to the other balancers.
//!
//! A machine may run at a fraction of its speed, or receive far more than its share of the packets.
//! Each packet then waits until its sender has retransmitted it, while other balancers have spare
//! capacity. The monitor withdraws the balancer, which then reports that it is not ready, as long
//! as at least as many other balancers keep up. When all are overloaded, withdrawing one would only
//! move the load, so all stay in service.

use weirhinge_fleet::Millis;

/// A wait that indicates overload: a quarter of the 200 ms after which both ends retransmit a
/// packet. Packets that arrive together wait for less.
const LONG_WAIT_MS: Millis = 50;
/// Consecutive samples with such a wait after which the balancer counts as overloaded: the load of
/// a start or a burst of retransmissions is over sooner.
const OVERLOADED_SAMPLES: u32 = 4;
/// Length of the first withdrawal: routers need a second to notice it, and about as long to notice
/// the return.
const MIN_WITHDRAWAL_MS: Millis = 2_000;
/// Longest withdrawal. Each withdrawal that soon follows another lasts twice as long.
const MAX_WITHDRAWAL_MS: Millis = 8_000;
/// An overload this long after the return to service is not a relapse.
const RELAPSE_MS: Millis = 4_000;

/// The load of the peers that this balancer recently received a digest from.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PeerLoad {
    /// Peers in service that keep up with their packets.
    pub keeping_up: usize,
    /// Peers that are overloaded, including those withdrawn for it.
    pub overloaded: usize,
}

impl PeerLoad {
    /// Whether the peers can do without this balancer, which itself counts as overloaded.
    fn allows_withdrawal(self) -> bool {
        self.keeping_up > self.overloaded
    }
}

/// Tracks how long packets wait and decides when the balancer withdraws and returns.
#[derive(Clone, Debug)]
pub struct OverloadMonitor {
    /// Consecutive samples with a long wait.
    long_wait_samples: u32,
    withdrawn_until: Option<Millis>,
    /// When the last withdrawal ended.
    returned_at: Option<Millis>,
    /// Length of the next withdrawal.
    withdrawal_ms: Millis,
}

impl OverloadMonitor {
    /// Records the longest wait of a client packet since the last sample. Returns whether the
    /// balancer is now withdrawn.
    pub fn observe(&mut self, longest_wait_ms: Millis, peers: PeerLoad, now: Millis) -> bool {
        let is_long = longest_wait_ms >= LONG_WAIT_MS;
        self.long_wait_samples = if is_long { self.long_wait_samples + 1 } else { 0 };
        match self.withdrawn_until {
            Some(until) if now >= until || !peers.allows_withdrawal() => {
                self.return_to_service(now)
            }
            Some(_) => {}
            None if self.long_wait_samples >= OVERLOADED_SAMPLES && peers.allows_withdrawal() => {
                self.withdraw(now)
            }
            None => {}
        }
        self.is_withdrawn()
    }

    /// Whether to report this balancer to its peers as overloaded.
    pub fn is_overloaded(&self) -> bool {
        self.is_withdrawn() || self.long_wait_samples >= OVERLOADED_SAMPLES
    }

    /// Whether the balancer reports itself as not ready, so that routers use others.
    pub fn is_withdrawn(&self) -> bool {
        self.withdrawn_until.is_some()
    }

    fn withdraw(&mut self, now: Millis) {
        let is_relapse =
            self.returned_at.is_some_and(|returned| now.saturating_sub(returned) < RELAPSE_MS);
        self.withdrawal_ms = if is_relapse {
            (self.withdrawal_ms * 2).min(MAX_WITHDRAWAL_MS)
        } else {
            MIN_WITHDRAWAL_MS
        };
        self.withdrawn_until = Some(now + self.withdrawal_ms);
    }

    fn return_to_service(&mut self, now: Millis) {
        self.withdrawn_until = None;
        self.returned_at = Some(now);
        self.long_wait_samples = 0;
    }
}

impl Default for OverloadMonitor {
    fn default() -> Self {
        Self {
            long_wait_samples: 0,
            withdrawn_until: None,
            returned_at: None,
            withdrawal_ms: MIN_WITHDRAWAL_MS,
        }
    }
}
