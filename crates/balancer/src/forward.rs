//! Turns one packet into the envelope for its agent.

use std::net::SocketAddr;

use weirhinge_packet::{DropReason, decode_packet};
use weirhinge_routing::{RouteBasis, RouteError, RoutingTable};
use weirhinge_wire::{AgentMessage, Delivery, PacketEnvelope, WireError, encode_into};

/// Why a packet is not forwarded.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ForwardError {
    /// The packet itself is unsound.
    Packet(DropReason),
    /// The packet has no route.
    Route(RouteError),
    /// The envelope could not be encoded.
    Wire(WireError),
}

impl ForwardError {
    /// The reason's name as it appears in metrics.
    pub fn name(&self) -> &'static str {
        match self {
            ForwardError::Packet(reason) => reason.name(),
            ForwardError::Route(reason) => reason.name(),
            ForwardError::Wire(_) => "encoding",
        }
    }
}

/// Where an envelope goes and why.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Forwarded {
    /// The agent's address.
    pub agent: SocketAddr,
    /// What the route rests on.
    pub basis: RouteBasis,
}

/// Forwards packets under one routing table.
#[derive(Clone, Copy, Debug)]
pub struct Forwarder<'a> {
    table: &'a RoutingTable,
}

impl<'a> Forwarder<'a> {
    /// A forwarder under `table`.
    pub fn new(table: &'a RoutingTable) -> Self {
        Self { table }
    }

    /// Writes the envelope of `packet` into `envelope`, reusing its memory.
    ///
    /// # Errors
    /// The reason for which the packet must be dropped.
    pub fn forward(
        &self,
        packet: &[u8],
        envelope: &mut Vec<u8>,
    ) -> Result<Forwarded, ForwardError> {
        let view = decode_packet(packet).map_err(ForwardError::Packet)?;
        let route = self.table.route(&view).map_err(ForwardError::Route)?;
        let message = AgentMessage::Packet(PacketEnvelope {
            revision: self.table.revision(),
            service: route.service.0,
            target: route.target.0,
            delivery: match route.basis {
                RouteBasis::Owner => Delivery::Owner,
                RouteBasis::Hint => Delivery::Hinted,
            },
            hops: 0,
            packet,
        });
        encode_into(&message, envelope).map_err(ForwardError::Wire)?;
        Ok(Forwarded { agent: route.agent, basis: route.basis })
    }
}
