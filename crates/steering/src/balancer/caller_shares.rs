//! What each caller has of the queue, so that one with many openings does not push out
//! those with one.
//!
//! An opening counts while it waits, and for a second after it found room. Each balancer
//! counts what comes to it; routers spread the openings of a caller over all.

use std::collections::{HashMap, VecDeque};
use std::net::Ipv4Addr;

use weirhinge_fleet::Millis;

use crate::client_rank::ClientRank;

/// Time after its admission for which an opening counts.
const RECENT_MS: Millis = 1_000;
/// Most admitted openings that count; with more a second, they count for less time.
const MOST_RECENT: usize = 1_024;

/// Openings of each caller that wait or were admitted lately.
///
/// Holds at most one entry for each opening that waits, and [`MOST_RECENT`] further ones.
#[derive(Clone, Debug, Default)]
pub struct CallerShares {
    openings: HashMap<Ipv4Addr, u32>,
    /// Sum of all callers' openings.
    total: u32,
    /// Admitted openings that still count, the oldest first.
    recent: VecDeque<(Millis, Ipv4Addr)>,
}

impl CallerShares {
    /// Counts an opening that begins to wait.
    pub fn waits(&mut self, caller: Ipv4Addr) {
        *self.openings.entry(caller).or_default() += 1;
        self.total += 1;
    }

    /// Takes in that an opening that waited found room.
    pub fn admitted(&mut self, caller: Ipv4Addr, now: Millis) {
        self.recent.push_back((now, caller));
        self.expire(now);
    }

    /// Takes in that an opening that waited left without room.
    pub fn gave_up(&mut self, caller: Ipv4Addr) {
        let Some(count) = self.openings.get_mut(&caller) else { return };
        *count -= 1;
        if *count == 0 {
            self.openings.remove(&caller);
        }
        self.total -= 1;
    }

    /// The caller's rank for one more opening: worse the more openings it has beside the
    /// mean of the others. Who has as many as the mean keeps its rank, since a caller's last
    /// opening still counts when its next one comes.
    pub fn rank(&mut self, caller: Ipv4Addr, rank: ClientRank, now: Millis) -> ClientRank {
        self.expire(now);
        let own = self.openings.get(&caller).copied().unwrap_or(0);
        let others = self.openings.len() - usize::from(own > 0);
        if own == 0 || others == 0 {
            return rank;
        }
        let share = (self.total - own).div_ceil(others as u32);
        rank.with_shares_used(own / (share + 1))
    }

    fn expire(&mut self, now: Millis) {
        while let Some((admitted_at, caller)) = self.recent.front().copied() {
            let is_recent = now.saturating_sub(admitted_at) < RECENT_MS;
            if is_recent && self.recent.len() <= MOST_RECENT {
                return;
            }
            self.recent.pop_front();
            self.gave_up(caller);
        }
    }
}
