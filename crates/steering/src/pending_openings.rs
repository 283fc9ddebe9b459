//! Opening packets that wait at an agent until its target has capacity.

use std::collections::VecDeque;
use std::net::Ipv4Addr;

use weirhinge_fleet::Millis;

use crate::arrival::Arrival;
use crate::packet::{FlowKey, PacketHeader};

/// Maximum number of waiting opening packets.
const CAPACITY: usize = 128;
/// Longest wait of an opening packet. The client gives an attempt up after 1.4 s.
const MAX_WAIT_MS: Millis = 1_100;

/// An opening packet that waits, or has waited, for capacity.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PendingOpening {
    /// The packet's header.
    pub header: PacketHeader,
    /// The whole packet.
    pub packet: Vec<u8>,
    /// The balancer that forwarded it.
    pub balancer: Ipv4Addr,
    urgent: bool,
    arrived_at: Millis,
}

/// The waiting packets, in reverse order of service within each class: retransmissions first, the
/// newest packet last.
///
/// The newest packet is served first: when not all can be in time, some are (adaptive LIFO), and
/// requests on flows that are already open do not wait behind these packets. Urgent packets are
/// served before all others.
#[derive(Clone, Debug, Default)]
pub struct PendingOpenings {
    openings: VecDeque<PendingOpening>,
}

impl PendingOpenings {
    /// Whether a flow's opening packet is waiting.
    pub fn contains(&self, flow: &FlowKey) -> bool {
        self.openings.iter().any(|opening| opening.header.client_flow() == *flow)
    }

    /// Drops a flow's packet.
    pub fn remove(&mut self, flow: &FlowKey) {
        self.openings.retain(|opening| opening.header.client_flow() != *flow);
    }

    /// Adds a packet. If the limit is reached, removes and returns the packet that would be served
    /// last, and so most likely never.
    pub fn add(&mut self, arrival: &Arrival<'_>, now: Millis) -> Option<PendingOpening> {
        let displaced = if self.openings.len() >= CAPACITY { self.take_last() } else { None };
        let opening = PendingOpening {
            header: *arrival.header,
            packet: arrival.packet.to_vec(),
            balancer: arrival.balancer,
            urgent: arrival.urgent,
            arrived_at: now,
        };
        // A retransmission belongs to a flow that is already late.
        if arrival.header.acknowledgment > 0 {
            self.openings.push_front(opening);
        } else {
            self.openings.push_back(opening);
        }
        displaced
    }

    fn take_last(&mut self) -> Option<PendingOpening> {
        let index = self.openings.iter().position(|opening| !opening.urgent).unwrap_or(0);
        self.openings.remove(index)
    }

    /// Removes and returns any packet, the newest first.
    pub fn take_newest(&mut self) -> Option<PendingOpening> {
        self.openings.pop_back()
    }

    /// Removes and returns a packet that has waited for too long.
    pub fn take_expired(&mut self, now: Millis) -> Option<PendingOpening> {
        let has_timed_out =
            |opening: &PendingOpening| now.saturating_sub(opening.arrived_at) >= MAX_WAIT_MS;
        let index = self.openings.iter().position(has_timed_out)?;
        self.openings.remove(index)
    }

    /// Removes and returns the packet to be served next, if there is capacity for it:
    /// `has_capacity` returns that for urgent packets (`true`) and for others (`false`).
    pub fn take_next(&mut self, has_capacity: impl Fn(bool) -> bool) -> Option<PendingOpening> {
        let index = self.next_index()?;
        if !has_capacity(self.openings[index].urgent) {
            return None;
        }
        self.openings.remove(index)
    }

    /// Whether the packet to be served next is urgent; none if no packet waits.
    pub fn next_is_urgent(&self) -> Option<bool> {
        self.next_index().map(|index| self.openings[index].urgent)
    }

    fn next_index(&self) -> Option<usize> {
        let urgent = self.openings.iter().rposition(|opening| opening.urgent);
        urgent.or_else(|| self.openings.len().checked_sub(1))
    }
}
