//! Ranks clients by IPv4 address, so that balancers under overload refuse the same clients.
//!
//! All balancers compute a client's rank from its address and the time of day, without exchanging
//! messages: a client that one balancer refuses is refused by all, so that its retries do not
//! displace other clients (like the user priority of DAGOR). Ranks change with each epoch, which
//! gives every client an equal share over time.

use std::hash::Hasher;
use std::net::Ipv4Addr;

use siphasher::sip::SipHasher13;
use weirhinge_fleet::Millis;

/// How long a client keeps its rank: longer than a refused client takes to use up its retries, so
/// that the later ones get the same rank as the first attempt.
pub const RANK_EPOCH_MS: Millis = 4_000;
/// How far a rank moves with each epoch: the range divided by the golden ratio. A client in the
/// last 0.38 of the range leaves that part with the next epoch, and no small number of epochs leads
/// back to the same rank.
const EPOCH_STEP: u16 = 40_503;

/// Number of ranks for clients within their fair share.
const RANGE: u32 = 1 << 16;
/// Number of ranks after that range, for clients over their fair share. An opening may wait for
/// `1 - 0.75 * rank` of its budget, where `rank` is relative to [`RANGE`]. At the end of these
/// ranks that is an eighth, so that a short queue, which delays no other client, is no reason to
/// refuse a heavy one.
const OVER_SHARE: u32 = RANGE / 6;

/// A client's position in the order in which clients are served. Within the fair share, 0 is served
/// first and 65,535 is refused first; clients over their share come after 65,535.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct ClientRank(u32);

impl ClientRank {
    /// The rank that is served before all others.
    pub const SERVED_FIRST: ClientRank = ClientRank(0);
    /// The rank that is refused first among clients within their fair share.
    pub const REFUSED_FIRST: ClientRank = ClientRank(RANGE - 1);

    /// Returns the rank as a number; 65,536 is the end of the range within the fair share.
    pub fn value(self) -> u32 {
        self.0
    }

    /// Returns the rank of a client that already uses its fair share this many `times`. It comes
    /// after all clients that use fewer, and in the order of the original ranks among equals.
    pub fn with_shares_used(self, times: u32) -> Self {
        if times == 0 {
            return self;
        }
        let begin = OVER_SHARE - OVER_SHARE / times;
        let width = OVER_SHARE / times - OVER_SHARE / times.saturating_add(1);
        let place = self.0.min(RANGE - 1) / 16 * width / (RANGE / 16);
        Self(RANGE + begin + place)
    }
}

impl From<u16> for ClientRank {
    fn from(value: u16) -> Self {
        Self(u32::from(value))
    }
}

/// Returns the rank of a client at a time of day, in milliseconds since 1970. Epochs of different
/// clients begin at different times, so that not all ranks change at once.
pub fn client_rank(client: Ipv4Addr, unix_ms: u64) -> ClientRank {
    let hash = client_hash(client);
    let base = hash as u16;
    let epoch_shift = (hash >> 16) % RANK_EPOCH_MS;
    let epoch = unix_ms.wrapping_add(epoch_shift) / RANK_EPOCH_MS;
    ClientRank::from(base.wrapping_add((epoch as u16).wrapping_mul(EPOCH_STEP)))
}

/// Hashes a client's address to the same value in every daemon.
fn client_hash(client: Ipv4Addr) -> u64 {
    let mut hasher = SipHasher13::new();
    hasher.write_u32(client.to_bits());
    hasher.finish()
}
