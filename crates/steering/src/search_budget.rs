//! Limits the bytes of search packets that a balancer sends.
//!
//! After a power loss every packet belongs to an unknown flow, and each is copied to many agents.
//! Copies that queue at the machine's link return after the search has timed out, which causes more
//! copies: the link stays full, and digests, fetches and the store's answers wait behind them.
//! Searches are therefore limited to a share of the link, and searches that exceed it wait at the
//! balancer, the newest first.

use weirhinge_fleet::Millis;

/// Share of the link that searches may use. The rest is for packets of known flows (a tenth of the
/// link at the usual load of machines with a slow link) and for control traffic.
const SHARE_PERCENT: u64 = 70;
/// The burst size, as the time that the link takes to carry it: a third of the time after which a
/// search considers a packet lost.
const BURST_MS: u64 = 40;
/// Bytes of a search packet without the client's payload: the headers of IP, UDP, the daemons' own
/// message and the client's packet, and the addresses of the rest of its path.
const OVERHEAD_BYTES: u64 = 130;

/// A token bucket, in bytes. A search that finds any bytes left may take more than are left.
#[derive(Clone, Debug)]
pub(crate) struct SearchBudget {
    /// Refill rate in bytes per millisecond; none, and so no limit, if the link's rate is not
    /// known.
    bytes_per_ms: Option<u64>,
    available: i64,
    refilled_at: Millis,
}

impl SearchBudget {
    /// Creates a budget for a link of `link_kbps` kilobits per second; unlimited if that is not
    /// known.
    pub(crate) fn new(link_kbps: Option<u32>) -> Self {
        let bytes_per_ms = link_kbps.map(|rate| (u64::from(rate) * SHARE_PERCENT / 800).max(1));
        Self { bytes_per_ms, available: 0, refilled_at: 0 }
    }

    /// Takes the bytes of `copies` packets with `data` bytes of payload each.
    ///
    /// # Errors
    /// Returns the milliseconds until the next packets may be sent, if none may be sent now.
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
        let max_bytes = (rate * BURST_MS) as i64;
        self.available = self.available.saturating_add((elapsed * rate) as i64).min(max_bytes);
        self.refilled_at = now;
    }
}
