//! Ranks callers, so that overload rejects the same ones everywhere. A caller is a client
//! identified by its IPv4 address.
//!
//! All balancers compute a caller's rank from its address and the time of day, without exchanging
//! messages: a caller that one balancer rejects is rejected by all, so that its retries do not
//! displace other callers (like the user priority of DAGOR). Ranks change with each epoch, which
//! gives every caller an equal share over time.

use std::hash::Hasher;
use std::net::Ipv4Addr;

use siphasher::sip::SipHasher13;
use weirhinge_fleet::Millis;

/// How long a caller keeps its rank: longer than a rejected client takes to use up its retries, so
/// that the later ones get the same rank as the first attempt.
pub const RANK_EPOCH_MS: Millis = 4_000;
/// How far a rank moves with each epoch: the range divided by the golden ratio. A caller in the
/// last 0.38 of the range leaves that part with the next epoch, and no small number of epochs leads
/// back to the same rank.
const EPOCH_STEP: u16 = 40_503;

/// Number of ranks for callers within their fair share.
const RANK_RANGE: u32 = 1 << 16;
/// Number of ranks after that range, for callers over their fair share. An opening may wait for
/// `1 - 0.75 * rank` of its budget, where `rank` is relative to [`RANK_RANGE`]. At the end of these
/// ranks that is an eighth, so that a short queue, which delays no other caller, is no reason to
/// reject a heavy one.
const OVER_SHARE_RANKS: u32 = RANK_RANGE / 6;

/// A caller's position in the order in which callers are served. Within the fair share, 0 is served
/// first and 65,535 is rejected first; callers over their share come after 65,535.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct CallerRank(u32);

impl CallerRank {
    /// The rank that is served before all others.
    pub const SERVED_FIRST: CallerRank = CallerRank(0);
    /// The rank that is rejected first among callers within their fair share.
    pub const REFUSED_FIRST: CallerRank = CallerRank(RANK_RANGE - 1);

    /// Returns the rank as a number; 65,536 is the end of the range within the fair share.
    pub fn value(self) -> u32 {
        self.0
    }

    /// Returns the rank of a caller that already uses this many times its fair share. It comes
    /// after all callers that use fewer, and in the order of the original ranks among equals.
    pub fn with_shares(self, times: u32) -> Self {
        if times == 0 {
            return self;
        }
        let begin = OVER_SHARE_RANKS - OVER_SHARE_RANKS / times;
        let width = OVER_SHARE_RANKS / times - OVER_SHARE_RANKS / times.saturating_add(1);
        let place = self.0.min(RANK_RANGE - 1) / 16 * width / (RANK_RANGE / 16);
        Self(RANK_RANGE + begin + place)
    }
}

impl From<u16> for CallerRank {
    fn from(value: u16) -> Self {
        Self(u32::from(value))
    }
}

/// Returns the rank of a caller at a time of day, in milliseconds since 1970. Epochs of different
/// callers begin at different times, so that not all ranks change at once.
pub fn caller_rank(caller: Ipv4Addr, unix_ms: u64) -> CallerRank {
    let hash = caller_hash(caller);
    let base = hash as u16;
    let epoch_shift = (hash >> 16) % RANK_EPOCH_MS;
    let epoch = unix_ms.wrapping_add(epoch_shift) / RANK_EPOCH_MS;
    CallerRank::from(base.wrapping_add((epoch as u16).wrapping_mul(EPOCH_STEP)))
}

/// Hashes a caller's address to the same value in every daemon.
fn caller_hash(caller: Ipv4Addr) -> u64 {
    let mut hasher = SipHasher13::new();
    hasher.write_u32(caller.to_bits());
    hasher.finish()
}
