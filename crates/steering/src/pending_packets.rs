//! Copies of packets whose way is not known yet.

use std::collections::HashMap;

use weirhinge_fleet::Millis;

use crate::packet::{FlowKey, PacketHead};

/// Most copies kept unless stated otherwise, one a flow: about 600 KB.
const CAPACITY: usize = 512;
/// A copy this old is dropped: the client has sent the packet again since, or gave
/// the attempt up.
const LIFETIME_MS: Millis = 1_300;

#[derive(Clone, Debug)]
struct Copy {
    head: PacketHead,
    packet: Vec<u8>,
    kept_at: Millis,
    /// When it is decided about again unless something ends the wait before.
    due_at: Millis,
}

/// The copies, by flow. The oldest makes room for the newest.
#[derive(Clone, Debug)]
pub struct PendingPackets {
    copies: HashMap<FlowKey, Copy>,
    capacity: usize,
}

impl PendingPackets {
    /// Keeps at most `capacity` copies, and at least one.
    pub fn with_capacity(capacity: usize) -> Self {
        Self { copies: HashMap::new(), capacity: capacity.clamp(1, CAPACITY) }
    }

    /// Keeps a copy for `wait_ms`, or lets the kept one wait for so long from now.
    pub fn keep(
        &mut self,
        flow: FlowKey,
        head: &PacketHead,
        packet: &[u8],
        wait_ms: Millis,
        now: Millis,
    ) {
        let due_at = now + wait_ms;
        if let Some(copy) = self.copies.get_mut(&flow) {
            copy.due_at = due_at;
            return;
        }
        if self.copies.len() >= self.capacity {
            self.remove_oldest();
        }
        let copy = Copy { head: *head, packet: packet.to_vec(), kept_at: now, due_at };
        self.copies.insert(flow, copy);
    }

    fn remove_oldest(&mut self) {
        let oldest = self.copies.iter().min_by_key(|(flow, copy)| (copy.kept_at, **flow));
        if let Some(oldest) = oldest.map(|(flow, _)| *flow) {
            self.copies.remove(&oldest);
        }
    }

    /// Drops a flow's copy.
    pub fn remove(&mut self, flow: &FlowKey) {
        self.copies.remove(flow);
    }

    /// Whether no copy is kept.
    pub fn is_empty(&self) -> bool {
        self.copies.is_empty()
    }

    /// When the first of the copies is due.
    pub fn next_due(&self) -> Option<Millis> {
        self.copies.values().map(|copy| copy.due_at).min()
    }

    /// The packets whose wait is over, the newest first: when there is time for some
    /// alone, those are the ones that can still be in time. They stay kept for
    /// another `wait_ms`.
    pub fn take_due(&mut self, now: Millis, wait_ms: Millis) -> Vec<(PacketHead, Vec<u8>)> {
        self.expire(now);
        let mut due: Vec<&mut Copy> =
            self.copies.values_mut().filter(|copy| copy.due_at <= now).collect();
        due.sort_by_key(|copy| (std::cmp::Reverse(copy.kept_at), copy.head.client_flow()));
        let renewed = due.into_iter().map(|copy| {
            copy.due_at = now + wait_ms;
            (copy.head, copy.packet.clone())
        });
        renewed.collect()
    }

    /// Drops the copies that are too old.
    pub fn expire(&mut self, now: Millis) {
        self.copies.retain(|_, copy| now.saturating_sub(copy.kept_at) < LIFETIME_MS);
    }
}

impl Default for PendingPackets {
    fn default() -> Self {
        Self::with_capacity(CAPACITY)
    }
}
