//! How many bytes of searching packets a balancer may send.
//!
//! After a loss of power every packet is one of an unknown flow, and each is copied to
//! many agents. Copies that queue at the machine's link come back after the search has
//! taken them for lost, which calls for more copies: the link stays full, and digests,
//! fetches and the store's answers wait behind them. So searches get a part of the link,
//! and those that find nothing left wait here, where the newest goes first.

use weirhinge_fleet::Millis;

/// Part of the link that searches may fill. The rest carries what flows that are known
/// need (a tenth of it at the usual load of narrow machines) and control traffic.
const SHARE_PERCENT: u64 = 70;
/// How long the link takes to carry what may be sent at once: a third of the time after
/// which a search takes a packet for lost.
const BURST_MS: u64 = 40;
/// Bytes of a searching packet beside the client's data: the heads of IP, UDP, our message
/// and the client's packet, with room for the rest of its row.
const OVERHEAD_BYTES: u64 = 130;

/// A token bucket, in bytes. Whoever finds a token left may take more than there are.
#[derive(Clone, Debug)]
pub(crate) struct SearchBudget {
    /// Bytes that become free in a millisecond; none if the link's rate is not known.
    bytes_per_ms: Option<u64>,
    available: i64,
    refilled_at: Millis,
}

impl SearchBudget {
    /// A budget for a link of so many kilobits a second, unlimited if that is not known.
    pub(crate) fn new(link_kbps: Option<u32>) -> Self {
        let bytes_per_ms = link_kbps.map(|rate| (u64::from(rate) * SHARE_PERCENT / 800).max(1));
        Self { bytes_per_ms, available: 0, refilled_at: 0 }
    }

    /// Takes the bytes of `copies` packets with this much data.
    ///
    /// # Errors
    /// Milliseconds until the next packets may be sent, if none may be now.
    pub(crate) fn take(&mut self, copies: usize, data: u16, now: Millis) -> Result<(), Millis> {
        let Some(rate) = self.bytes_per_ms else { return Ok(()) };
        self.refill(rate, now);
        if self.available <= 0 {
            return Err(self.available.unsigned_abs() / rate + 1);
        }
        let bytes = copies as u64 * (u64::from(data) + OVERHEAD_BYTES);
        self.available -= bytes as i64;
        Ok(())
    }

    fn refill(&mut self, rate: u64, now: Millis) {
        let elapsed = now.saturating_sub(self.refilled_at).min(Millis::from(u32::MAX));
        let most = (rate * BURST_MS) as i64;
        self.available = self.available.saturating_add((elapsed * rate) as i64).min(most);
        self.refilled_at = now;
    }
}
