//! Turns one packet into the envelope for its agent.

use std::net::SocketAddr;

use weirhinge_config::{ServiceId, TargetId};
use weirhinge_packet::{DropReason, decode_packet};
use weirhinge_routing::{RouteBasis, RouteError, RoutingTable, Standby};
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

/// A copy of an opening packet for the deputy of its bucket.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StandbyCopy {
    service: ServiceId,
    standby: Standby,
}

impl StandbyCopy {
    /// The deputy's agent.
    pub fn agent(&self) -> SocketAddr {
        self.standby.agent
    }
}

/// Where an envelope goes and why.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Forwarded {
    /// The agent's address.
    pub agent: SocketAddr,
    /// What the route rests on.
    pub basis: RouteBasis,
    /// For an opening packet: the copy to send to the deputy as well.
    pub standby: Option<StandbyCopy>,
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
        let delivery = match route.basis {
            RouteBasis::Owner => Delivery::Owner,
            RouteBasis::Hint => Delivery::Hinted,
        };
        self.encode(route.service, route.target, delivery, packet, envelope)?;
        let standby = route.standby.map(|standby| StandbyCopy { service: route.service, standby });
        Ok(Forwarded { agent: route.agent, basis: route.basis, standby })
    }

    /// Writes the envelope of an opening packet's copy for the deputy.
    ///
    /// # Errors
    /// When the envelope cannot be encoded.
    pub fn forward_standby(
        &self,
        copy: &StandbyCopy,
        packet: &[u8],
        envelope: &mut Vec<u8>,
    ) -> Result<(), ForwardError> {
        self.encode(copy.service, copy.standby.target, Delivery::Standby, packet, envelope)
    }

    fn encode(
        &self,
        service: ServiceId,
        target: TargetId,
        delivery: Delivery,
        packet: &[u8],
        envelope: &mut Vec<u8>,
    ) -> Result<(), ForwardError> {
        let message = AgentMessage::Packet(PacketEnvelope {
            revision: self.table.revision(),
            service: service.0,
            target: target.0,
            delivery,
            hops: 0,
            packet,
        });
        encode_into(&message, envelope).map_err(ForwardError::Wire)
    }
}
