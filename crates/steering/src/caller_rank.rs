//! Which callers go first when there is no room for all.
//!
//! All balancers compute a caller's rank from its address and the time of day, without a
//! message: who is refused at one is refused at all, so that the tries of a refused caller
//! do not push out others (as DAGOR's user priority does). The rank moves with each epoch,
//! and over time every caller has an equal share.

use std::hash::Hasher;
use std::net::Ipv4Addr;

use siphasher::sip::SipHasher13;
use weirhinge_fleet::Millis;

/// How long a caller keeps its rank: longer than a refused client takes to use up its
/// tries, so that the later ones rank as the first did.
pub const RANK_EPOCH_MS: Millis = 4_000;
/// How far a rank moves with each epoch: the range divided by the golden ratio. Whoever is
/// in the last 0.38 of the range leaves it with the next epoch, and no small number of
/// epochs leads back to the same rank.
const EPOCH_STEP: u16 = 40_503;

/// Units of the range of ranks of callers that have no more than their share.
const RANGE: u32 = 1 << 16;
/// Units behind that range for callers that have more. A wait is allowed to `1 - 0.75 * rank`
/// of its budget, which is an eighth at their end: a short queue holds up nobody, and is no
/// reason to refuse a heavy caller.
const OVER_SHARE: u32 = RANGE / 6;

/// A caller's place among the others. Of callers that have no more than their share, 0 is
/// served first and 65,535 is refused first; those with more come behind.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct CallerRank(u32);

impl CallerRank {
    /// Who goes before all others.
    pub const SERVED_FIRST: CallerRank = CallerRank(0);
    /// Who is refused first of those that have no more than their share.
    pub const REFUSED_FIRST: CallerRank = CallerRank(RANGE - 1);

    /// The rank in units of a 65,536th of the range.
    pub fn value(self) -> u32 {
        self.0
    }

    /// The rank of a caller that has its share so many times already: behind all that have
    /// it fewer times, and in the order of their ranks among equals.
    pub fn with_shares(self, times: u32) -> Self {
        if times == 0 {
            return self;
        }
        let begin = OVER_SHARE - OVER_SHARE / times;
        let width = OVER_SHARE / times - OVER_SHARE / times.saturating_add(1);
        let place = self.0.min(RANGE - 1) / 16 * width / (RANGE / 16);
        Self(RANGE + begin + place)
    }
}

impl From<u16> for CallerRank {
    fn from(value: u16) -> Self {
        Self(u32::from(value))
    }
}

/// The rank of a caller at a time of day, in milliseconds since 1970. Each caller's epochs
/// begin at other times, so that not all ranks change at once.
pub fn caller_rank(caller: Ipv4Addr, unix_ms: u64) -> CallerRank {
    let hash = caller_hash(caller);
    let base = hash as u16;
    let epoch_shift = (hash >> 16) % RANK_EPOCH_MS;
    let epoch = unix_ms.wrapping_add(epoch_shift) / RANK_EPOCH_MS;
    CallerRank::from(base.wrapping_add((epoch as u16).wrapping_mul(EPOCH_STEP)))
}

/// A hash that is equal in all daemons.
fn caller_hash(caller: Ipv4Addr) -> u64 {
    let mut hasher = SipHasher13::new();
    hasher.write_u32(caller.to_bits());
    hasher.finish()
}
