//! Copies of packets that look for the target that holds their flow.

use std::collections::HashMap;

use weirhinge_fleet::Millis;

use crate::packet::{FlowKey, PacketHead};

/// Most copies kept, one a flow: about 600 KB.
const CAPACITY: usize = 512;
/// A copy this old is dropped: the client has sent the packet again since.
const LIFETIME_MS: Millis = 1_500;

#[derive(Clone, Debug)]
struct Copy {
    head: PacketHead,
    packet: Vec<u8>,
    kept_at: Millis,
    sent_at: Millis,
}

/// The copies, by flow.
#[derive(Clone, Debug, Default)]
pub struct PendingSearches {
    copies: HashMap<FlowKey, Copy>,
}

impl PendingSearches {
    /// Keeps a copy, or notes that the kept one was sent once more.
    pub fn keep(&mut self, flow: FlowKey, head: &PacketHead, packet: &[u8], now: Millis) {
        if let Some(copy) = self.copies.get_mut(&flow) {
            copy.sent_at = now;
            return;
        }
        if self.copies.len() < CAPACITY {
            let copy = Copy { head: *head, packet: packet.to_vec(), kept_at: now, sent_at: now };
            self.copies.insert(flow, copy);
        }
    }

    /// Drops a flow's copy.
    pub fn remove(&mut self, flow: &FlowKey) {
        self.copies.remove(flow);
    }

    /// The packets that were last sent at least `wait_ms` ago. They stay kept.
    pub fn take_due(&mut self, now: Millis, wait_ms: Millis) -> Vec<(PacketHead, Vec<u8>)> {
        self.copies.retain(|_, copy| now.saturating_sub(copy.kept_at) < LIFETIME_MS);
        let due = self.copies.values_mut();
        let due = due.filter(|copy| now.saturating_sub(copy.sent_at) >= wait_ms);
        due.map(|copy| {
            copy.sent_at = now;
            (copy.head, copy.packet.clone())
        })
        .collect()
    }
}
