//! Clients' packets that have arrived and are not yet processed.
//!
//! An overloaded process would work on an ever older queue, whose packets have all been
//! retransmitted by then, and spend its time on duplicates. Packets that waited too long are
//! dropped instead, so that the processor time goes to packets whose senders still wait.

use std::collections::VecDeque;

use weirhinge_fleet::Millis;

/// Packets that waited this long are dropped. Both ends retransmit a missing packet after 200 ms.
const MAX_WAIT_MS: Millis = 180;
/// Most packets in the backlog. When it is full, a new packet displaces the oldest.
const CAPACITY: usize = 1_024;
/// Wait from which the process counts as under pressure. Packets that arrive together wait less.
const PRESSURE_WAIT_MS: Millis = 10;
/// Time after such a wait in which the process counts as under pressure.
const PRESSURE_PERIOD_MS: Millis = 500;

#[derive(Debug)]
struct WaitingPacket {
    arrived_at: Millis,
    packet: Vec<u8>,
}

/// The waiting packets in order of arrival.
#[derive(Debug, Default)]
pub struct Backlog {
    waiting: VecDeque<WaitingPacket>,
    /// When the last packet was taken out after a wait that shows pressure.
    last_long_wait_at: Option<Millis>,
    dropped: u64,
    longest_wait_ms: Millis,
}

impl Backlog {
    /// Whether no packet is waiting.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Appends a packet. A full backlog drops its oldest packet.
    pub fn push(&mut self, packet: &[u8], now: Millis) {
        if self.waiting.len() >= CAPACITY {
            self.waiting.pop_front();
            self.dropped += 1;
        }
        self.waiting.push_back(WaitingPacket { arrived_at: now, packet: packet.to_vec() });
    }

    /// Removes and returns the oldest packet; drops those that waited too long.
    pub fn next(&mut self, now: Millis) -> Option<Vec<u8>> {
        while let Some(waiting) = self.waiting.pop_front() {
            let wait = now.saturating_sub(waiting.arrived_at);
            self.longest_wait_ms = self.longest_wait_ms.max(wait);
            if wait >= PRESSURE_WAIT_MS {
                self.last_long_wait_at = Some(now);
            }
            if wait < MAX_WAIT_MS {
                return Some(waiting.packet);
            }
            self.dropped += 1;
        }
        None
    }

    /// Whether packets recently waited so long that the process does not keep up.
    pub fn is_under_pressure(&self, now: Millis) -> bool {
        self.last_long_wait_at.is_some_and(|at| now.saturating_sub(at) < PRESSURE_PERIOD_MS)
    }

    /// Returns the longest wait of a packet since the last call.
    pub fn take_longest_wait(&mut self) -> Millis {
        std::mem::take(&mut self.longest_wait_ms)
    }

    /// Returns the number of packets dropped since the last call.
    pub fn take_dropped(&mut self) -> u64 {
        std::mem::take(&mut self.dropped)
    }
}
