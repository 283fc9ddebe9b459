//! Counts each client's recent openings, so that a client with many openings does not displace
//! clients with one.
//!
//! An opening counts while it waits and for one second after its admission. Each balancer counts
//! only the openings it receives; routers spread a client's openings over all balancers.

use std::collections::{HashMap, VecDeque};
use std::net::Ipv4Addr;

use weirhinge_fleet::Millis;

use crate::client_rank::ClientRank;

/// How long an opening counts after its admission.
const RECENT_MS: Millis = 1_000;
/// Maximum number of admitted openings that count. At higher rates they count for less than
/// [`RECENT_MS`].
const MAX_RECENT: usize = 1_024;

/// Openings of each client that are waiting or were admitted recently.
///
/// Holds at most one entry for each waiting opening, plus `MAX_RECENT` entries.
#[derive(Clone, Debug, Default)]
pub struct ClientShares {
    openings: HashMap<Ipv4Addr, u32>,
    /// Sum of the openings of all clients.
    total: u32,
    /// Admitted openings that still count, oldest first.
    recent: VecDeque<(Millis, Ipv4Addr)>,
}

impl ClientShares {
    /// Counts an opening that starts to wait.
    pub fn note_queued(&mut self, client: Ipv4Addr) {
        *self.openings.entry(client).or_default() += 1;
        self.total += 1;
    }

    /// Records that a waiting opening was admitted.
    pub fn note_admitted(&mut self, client: Ipv4Addr, now: Millis) {
        self.recent.push_back((now, client));
        self.expire(now);
    }

    /// Records that a waiting opening left the queue without being admitted.
    pub fn note_given_up(&mut self, client: Ipv4Addr) {
        let Some(count) = self.openings.get_mut(&client) else { return };
        *count -= 1;
        if *count == 0 {
            self.openings.remove(&client);
        }
        self.total -= 1;
    }

    /// Returns the client's rank for one more opening. The rank gets worse the further the client's
    /// number of openings exceeds the mean of the other clients. A client at the mean keeps its
    /// rank, because its last opening still counts when its next one arrives.
    pub fn rank(&mut self, client: Ipv4Addr, rank: ClientRank, now: Millis) -> ClientRank {
        self.expire(now);
        let own = self.openings.get(&client).copied().unwrap_or(0);
        let others = self.openings.len() - usize::from(own > 0);
        if own == 0 || others == 0 {
            return rank;
        }
        let mean_of_others = (self.total - own).div_ceil(others as u32);
        rank.with_shares_used(own / (mean_of_others + 1))
    }

    fn expire(&mut self, now: Millis) {
        while let Some((admitted_at, client)) = self.recent.front().copied() {
            let is_recent = now.saturating_sub(admitted_at) < RECENT_MS;
            if is_recent && self.recent.len() <= MAX_RECENT {
                return;
            }
            self.recent.pop_front();
            self.note_given_up(client);
        }
    }
}
