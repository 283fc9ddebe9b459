//! Clients' packets that have arrived and not been looked at yet.
//!
//! A process that gets more packets than it has time for would work off an ever
//! older queue: every packet in it has been sent again by then, and the work is
//! spent on copies. Packets that waited for too long are dropped instead, so that
//! the time left goes to packets whose senders still wait for them.

use std::collections::VecDeque;

use weirhinge_fleet::Millis;

/// Longest wait of a packet. Both ends send a missing packet again after 200 ms.
const LONGEST_WAIT_MS: Millis = 180;
/// Most packets that wait; the oldest makes room for the newest.
const CAPACITY: usize = 1_024;
/// A wait that shows that there are more packets than time. Shorter ones come from
/// packets that arrive together.
const PRESSING_WAIT_MS: Millis = 10;
/// How long after such a wait the process counts as pressed.
const PRESSED_MS: Millis = 500;

#[derive(Debug)]
struct Waiting {
    arrived_at: Millis,
    packet: Vec<u8>,
}

/// The waiting packets, in the order in which they arrived.
#[derive(Debug, Default)]
pub struct Backlog {
    waiting: VecDeque<Waiting>,
    waited_at: Option<Millis>,
    dropped: u64,
    longest_wait_ms: Millis,
}

impl Backlog {
    /// Whether no packet waits.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Lets a packet wait.
    pub fn push(&mut self, packet: &[u8], now: Millis) {
        if self.waiting.len() >= CAPACITY {
            self.waiting.pop_front();
            self.dropped += 1;
        }
        self.waiting.push_back(Waiting { arrived_at: now, packet: packet.to_vec() });
    }

    /// The packet whose turn it is.
    pub fn next(&mut self, now: Millis) -> Option<Vec<u8>> {
        while let Some(waiting) = self.waiting.pop_front() {
            let wait = now.saturating_sub(waiting.arrived_at);
            self.longest_wait_ms = self.longest_wait_ms.max(wait);
            if wait >= PRESSING_WAIT_MS {
                self.waited_at = Some(now);
            }
            if wait < LONGEST_WAIT_MS {
                return Some(waiting.packet);
            }
            self.dropped += 1;
        }
        None
    }

    /// Whether packets had to wait for long lately.
    pub fn is_pressed(&self, now: Millis) -> bool {
        self.waited_at.is_some_and(|at| now.saturating_sub(at) < PRESSED_MS)
    }

    /// The longest wait of a packet since this was last asked.
    pub fn take_longest_wait(&mut self) -> Millis {
        std::mem::take(&mut self.longest_wait_ms)
    }

    /// How many packets were dropped since this was last asked.
    pub fn take_dropped(&mut self) -> u64 {
        std::mem::take(&mut self.dropped)
    }
}
