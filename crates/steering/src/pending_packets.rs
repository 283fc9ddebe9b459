//! Buffers copies of packets whose target is not known yet.

use std::collections::HashMap;

use weirhinge_fleet::Millis;

use crate::packet::{FlowKey, PacketHeader};

/// Default and maximum number of buffered packets, one per flow: about 600 KB.
const CAPACITY: usize = 512;
/// Age at which a buffered packet is dropped: by then the client has retransmitted it or given the
/// attempt up.
const LIFETIME_MS: Millis = 1_300;

#[derive(Clone, Debug)]
struct BufferedPacket {
    header: PacketHeader,
    bytes: Vec<u8>,
    buffered_at: Millis,
    /// When to decide about the packet again, unless its target becomes known before.
    due_at: Millis,
}

/// Buffered packets by flow. When the buffer is full, the oldest packet is dropped for a new one.
#[derive(Clone, Debug)]
pub struct PendingPackets {
    packets: HashMap<FlowKey, BufferedPacket>,
    capacity: usize,
}

impl PendingPackets {
    /// Creates a buffer of at most `capacity` packets, and at least one.
    pub fn with_capacity(capacity: usize) -> Self {
        Self { packets: HashMap::new(), capacity: capacity.clamp(1, CAPACITY) }
    }

    /// Buffers a copy of a packet that is due after `wait_ms`. If the flow already has a packet
    /// here, that one stays and becomes due after `wait_ms` instead.
    pub fn keep(
        &mut self,
        flow: FlowKey,
        header: &PacketHeader,
        packet: &[u8],
        wait_ms: Millis,
        now: Millis,
    ) {
        let due_at = now + wait_ms;
        if let Some(buffered) = self.packets.get_mut(&flow) {
            buffered.due_at = due_at;
            return;
        }
        if self.packets.len() >= self.capacity {
            self.remove_oldest();
        }
        let buffered =
            BufferedPacket { header: *header, bytes: packet.to_vec(), buffered_at: now, due_at };
        self.packets.insert(flow, buffered);
    }

    fn remove_oldest(&mut self) {
        let oldest = self.packets.iter().min_by_key(|(flow, packet)| (packet.buffered_at, **flow));
        if let Some(oldest) = oldest.map(|(flow, _)| *flow) {
            self.packets.remove(&oldest);
        }
    }

    /// Drops a flow's packet.
    pub fn remove(&mut self, flow: &FlowKey) {
        self.packets.remove(flow);
    }

    /// Whether no packet is buffered.
    pub fn is_empty(&self) -> bool {
        self.packets.is_empty()
    }

    /// Returns the time when the first packet is due.
    pub fn next_due(&self) -> Option<Millis> {
        self.packets.values().map(|packet| packet.due_at).min()
    }

    /// Returns the packets that are due, the newest first: if there is time for only some, those
    /// are the ones that can still be in time. They stay in the buffer and are due again after
    /// another `wait_ms`.
    pub fn take_due(&mut self, now: Millis, wait_ms: Millis) -> Vec<(PacketHeader, Vec<u8>)> {
        self.expire(now);
        let mut due: Vec<&mut BufferedPacket> =
            self.packets.values_mut().filter(|packet| packet.due_at <= now).collect();
        due.sort_by_key(|packet| {
            (std::cmp::Reverse(packet.buffered_at), packet.header.client_flow())
        });
        let renewed = due.into_iter().map(|packet| {
            packet.due_at = now + wait_ms;
            (packet.header, packet.bytes.clone())
        });
        renewed.collect()
    }

    /// Drops the packets that are too old.
    pub fn expire(&mut self, now: Millis) {
        self.packets.retain(|_, packet| now.saturating_sub(packet.buffered_at) < LIFETIME_MS);
    }
}

impl Default for PendingPackets {
    fn default() -> Self {
        Self::with_capacity(CAPACITY)
    }
}
