//! What an agent knows of one flow at its target.

use std::net::Ipv4Addr;

use weirhinge_fleet::Millis;

use super::restart_checks::LatestPacket;
use crate::packet::PacketHeader;

#[derive(Clone, Debug)]
pub(super) struct Flow {
    pub(super) balancer: Ipv4Addr,
    /// When a request was delivered to which nothing was answered yet.
    pub(super) waiting_since: Option<Millis>,
    /// Where the client's data delivered so far ends. Data before it was sent
    /// again and asks for nothing new.
    pub(super) delivered_to: Option<u32>,
    /// The flow was admitted and its first request is yet to come.
    pub(super) expected: bool,
    /// Since when a balancer searches that does not know yet whether the target
    /// holds the flow.
    pub(super) searched_since: Option<Millis>,
    /// The target sent more than an answer to an opening packet.
    pub(super) confirmed: bool,
    /// When its opening packet was admitted, until its first request came.
    pub(super) admitted_at: Option<Millis>,
    /// When its first packet came here.
    pub(super) opened_at: Millis,
    pub(super) used_at: Millis,
    /// The client's latest packet, unless it opened or ended the flow.
    pub(super) latest: LatestPacket,
}

impl Flow {
    /// Whether the target holds the flow as far as can be told: it wrote on it, or
    /// took data of it that no search brought. A bounce removes the entry.
    pub(super) fn is_held(&self) -> bool {
        self.confirmed || (self.delivered_to.is_some() && self.searched_since.is_none())
    }

    /// Keeps the packet, unless it opens or ends the flow.
    pub(super) fn keep_latest(&mut self, header: &PacketHeader, packet: &[u8]) {
        let flags = header.flags;
        if flags.syn || flags.fin || flags.rst {
            self.latest = LatestPacket::default();
        } else {
            self.latest.set(packet, header.acknowledgment);
        }
    }

    /// Notes the packet's data. Returns whether any of it is new.
    pub(super) fn takes_new_data(&mut self, header: &PacketHeader) -> bool {
        let end = header.sequence.wrapping_add(u32::from(header.length));
        // Sequence numbers wrap: half of the range counts as ahead.
        let is_ahead = |known: u32| end.wrapping_sub(known) as i32 > 0;
        let is_new = header.length > 0 && self.delivered_to.is_none_or(is_ahead);
        if is_new {
            self.delivered_to = Some(end);
        }
        is_new
    }
}
