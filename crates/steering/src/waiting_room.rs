//! Opening packets that wait until the target has room.

use std::collections::VecDeque;
use std::net::Ipv4Addr;

use weirhinge_fleet::Millis;

use crate::arrival::Arrival;
use crate::packet::{FlowKey, PacketHead};

/// Most opening packets that wait for room.
const CAPACITY: usize = 128;
/// Longest wait of an opening packet. The client gives an attempt up after 1.4 s.
const LONGEST_WAIT_MS: Millis = 1_100;

/// An opening packet that waited for room.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WaitedOpening {
    /// The packet's head.
    pub head: PacketHead,
    /// The packet.
    pub packet: Vec<u8>,
    /// The balancer that sent it.
    pub balancer: Ipv4Addr,
    urgent: bool,
    arrived_at: Millis,
}

/// The waiting packets, first ones before copies, the newest last.
///
/// The newest goes first: when not all can be in time, some are (adaptive LIFO), and
/// requests on flows that are open already never stand behind it. Urgent ones go
/// before all others.
#[derive(Clone, Debug, Default)]
pub struct WaitingRoom {
    openings: VecDeque<WaitedOpening>,
}

impl WaitingRoom {
    /// Whether a flow's opening packet waits.
    pub fn has(&self, flow: &FlowKey) -> bool {
        self.openings.iter().any(|opening| opening.head.client_flow() == *flow)
    }

    /// Drops a flow's packet.
    pub fn remove(&mut self, flow: &FlowKey) {
        self.openings.retain(|opening| opening.head.client_flow() != *flow);
    }

    /// Lets a packet wait. Returns the one that makes room for it, if there is none:
    /// the one that would go last, and so most likely never.
    pub fn add(&mut self, arrival: &Arrival<'_>, now: Millis) -> Option<WaitedOpening> {
        let displaced = if self.openings.len() >= CAPACITY { self.take_last() } else { None };
        let opening = WaitedOpening {
            head: *arrival.head,
            packet: arrival.packet.to_vec(),
            balancer: arrival.balancer,
            urgent: arrival.urgent,
            arrived_at: now,
        };
        // A copy belongs to a flow that is late already.
        if arrival.head.acknowledgment > 0 {
            self.openings.push_front(opening);
        } else {
            self.openings.push_back(opening);
        }
        displaced
    }

    fn take_last(&mut self) -> Option<WaitedOpening> {
        let place = self.openings.iter().position(|opening| !opening.urgent).unwrap_or(0);
        self.openings.remove(place)
    }

    /// Takes out any packet, the newest first.
    pub fn take_any(&mut self) -> Option<WaitedOpening> {
        self.openings.pop_back()
    }

    /// Takes out a packet that waited too long.
    pub fn take_over(&mut self, now: Millis) -> Option<WaitedOpening> {
        let is_over =
            |opening: &WaitedOpening| now.saturating_sub(opening.arrived_at) >= LONGEST_WAIT_MS;
        let place = self.openings.iter().position(is_over)?;
        self.openings.remove(place)
    }

    /// Takes out the packet that goes first, if there is room for it; `has_room`
    /// tells that for an urgent one and for any other.
    pub fn take_first(&mut self, has_room: impl Fn(bool) -> bool) -> Option<WaitedOpening> {
        let place = self.first()?;
        if !has_room(self.openings[place].urgent) {
            return None;
        }
        self.openings.remove(place)
    }

    /// Whether the packet that goes first is urgent; none if no packet waits.
    pub fn first_is_urgent(&self) -> Option<bool> {
        self.first().map(|place| self.openings[place].urgent)
    }

    fn first(&self) -> Option<usize> {
        let urgent = self.openings.iter().rposition(|opening| opening.urgent);
        urgent.or_else(|| self.openings.len().checked_sub(1))
    }
}
