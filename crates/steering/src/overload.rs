//! When a balancer that cannot keep up asks routers to leave it to the others.
//!
//! A machine may run at a fraction of its speed, or get far more than its share of
//! the packets. Every packet then waits until its sender has sent it again, while
//! other balancers have time to spare. The monitor withdraws the balancer (it says
//! that it is not ready) as long as at least as many others keep up; when all are
//! short of time, withdrawing would only move the load, and all stay.

use weirhinge_fleet::Millis;

/// A wait that shows that there is no time to spare: a quarter of the 200 ms after
/// which both ends send a packet again. Packets that arrive together wait for less.
const LONG_WAIT_MS: Millis = 50;
/// Looks in a row with such a wait before the balancer counts as overloaded: a start
/// or a burst of copies is over sooner.
const LONG_LOOKS: u32 = 4;
/// How long a withdrawn balancer stays so at first: routers need a second to notice,
/// and about as long to return.
const FIRST_WITHDRAWAL_MS: Millis = 2_000;
/// Longest withdrawal; each one that follows another soon lasts twice as long.
const LONGEST_WITHDRAWAL_MS: Millis = 8_000;
/// An overload this long after the return has another cause.
const RELAPSE_MS: Millis = 4_000;

/// How the balancers heard from lately fare.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PeerLoad {
    /// Those that serve and keep up with their packets.
    pub keeping_up: usize,
    /// Those that are overloaded, or withdrew for it.
    pub overloaded: usize,
}

impl PeerLoad {
    /// Whether this balancer may be missed, counting it among the overloaded ones.
    fn can_carry_on(self) -> bool {
        self.keeping_up > self.overloaded
    }
}

/// Follows how long packets wait and decides about withdrawals.
#[derive(Clone, Debug)]
pub struct OverloadMonitor {
    /// Looks in a row with a long wait.
    long_looks: u32,
    withdrawn_until: Option<Millis>,
    /// When the last withdrawal ended.
    returned_at: Option<Millis>,
    /// Length of the next withdrawal.
    withdrawal_ms: Millis,
}

impl OverloadMonitor {
    /// Takes in the longest wait of a client's packet since the last look. Returns
    /// whether the balancer is withdrawn now.
    pub fn look(&mut self, longest_wait_ms: Millis, peers: PeerLoad, now: Millis) -> bool {
        let is_long = longest_wait_ms >= LONG_WAIT_MS;
        self.long_looks = if is_long { self.long_looks + 1 } else { 0 };
        match self.withdrawn_until {
            Some(until) if now >= until || !peers.can_carry_on() => self.return_to_service(now),
            Some(_) => {}
            None if self.long_looks >= LONG_LOOKS && peers.can_carry_on() => self.withdraw(now),
            None => {}
        }
        self.is_withdrawn()
    }

    /// Whether peers should know this balancer as overloaded.
    pub fn is_overloaded(&self) -> bool {
        self.is_withdrawn() || self.long_looks >= LONG_LOOKS
    }

    /// Whether the balancer asks routers to use others.
    pub fn is_withdrawn(&self) -> bool {
        self.withdrawn_until.is_some()
    }

    fn withdraw(&mut self, now: Millis) {
        let is_relapse =
            self.returned_at.is_some_and(|returned| now.saturating_sub(returned) < RELAPSE_MS);
        self.withdrawal_ms = if is_relapse {
            (self.withdrawal_ms * 2).min(LONGEST_WITHDRAWAL_MS)
        } else {
            FIRST_WITHDRAWAL_MS
        };
        self.withdrawn_until = Some(now + self.withdrawal_ms);
    }

    fn return_to_service(&mut self, now: Millis) {
        self.withdrawn_until = None;
        self.returned_at = Some(now);
        self.long_looks = 0;
    }
}

impl Default for OverloadMonitor {
    fn default() -> Self {
        Self {
            long_looks: 0,
            withdrawn_until: None,
            returned_at: None,
            withdrawal_ms: FIRST_WITHDRAWAL_MS,
        }
    }
}
