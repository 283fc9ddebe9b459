//! State of a flow that an agent tracks.

use std::net::Ipv4Addr;

use weirhinge_fleet::Millis;

use super::restart_checks::LatestPacket;
use crate::packet::PacketHeader;

#[derive(Clone, Debug)]
pub(super) struct Flow {
    pub(super) balancer: Ipv4Addr,
    /// When a request was delivered that has no answer yet.
    pub(super) waiting_since: Option<Millis>,
    /// End sequence number of the client's data delivered so far. Data before it is a
    /// retransmission and carries no new request.
    pub(super) delivered_to: Option<u32>,
    /// Whether the flow was admitted and its first request has not arrived yet.
    pub(super) expected: bool,
    /// When a balancer that does not know whether the target holds the flow began its search.
    pub(super) searched_since: Option<Millis>,
    /// Whether the target sent anything beyond its answer to the opening packet.
    pub(super) confirmed: bool,
    /// When the opening packet was admitted; cleared by the first request.
    pub(super) admitted_at: Option<Millis>,
    /// When the flow's first packet arrived.
    pub(super) opened_at: Millis,
    pub(super) used_at: Millis,
    /// The client's latest packet, unless it opened or ended the flow.
    pub(super) latest: LatestPacket,
}

impl Flow {
    /// Whether the target is assumed to hold the flow: it sent data on it, or accepted data that
    /// did not come from a search. A bounce removes the entry.
    pub(super) fn is_held(&self) -> bool {
        self.confirmed || (self.delivered_to.is_some() && self.searched_since.is_none())
    }

    /// Stores the packet as the latest one, unless it opens or ends the flow.
    pub(super) fn update_latest(&mut self, header: &PacketHeader, packet: &[u8]) {
        let flags = header.flags;
        if flags.syn || flags.fin || flags.rst {
            self.latest = LatestPacket::default();
        } else {
            self.latest.replace(packet, header.acknowledgment);
        }
    }

    /// Records the packet's data and returns whether any of it is new.
    pub(super) fn record_data(&mut self, header: &PacketHeader) -> bool {
        let end = header.sequence.wrapping_add(u32::from(header.length));
        // Sequence numbers wrap: the half of the range after `known` counts as newer.
        let is_ahead = |known: u32| end.wrapping_sub(known) as i32 > 0;
        let is_new = header.length > 0 && self.delivered_to.is_none_or(is_ahead);
        if is_new {
            self.delivered_to = Some(end);
        }
        is_new
    }
}
