//! Routes one packet and encodes the envelope for its agent.

use std::net::SocketAddr;

use weirhinge_config::{ServiceId, TargetId};
use weirhinge_packet::{DropReason, decode_packet};
use weirhinge_routing::{RouteBasis, RouteError, RoutingTable, Standby};
use weirhinge_wire::{AgentMessage, Delivery, PacketEnvelope, WireError, encode_into};

/// Why a packet is not forwarded.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ForwardError {
    /// The packet is malformed or unsupported.
    Packet(DropReason),
    /// The packet has no route.
    Route(RouteError),
    /// The envelope could not be encoded.
    Wire(WireError),
}

impl ForwardError {
    /// Returns the reason's name in metrics.
    pub fn name(&self) -> &'static str {
        match self {
            ForwardError::Packet(reason) => reason.name(),
            ForwardError::Route(reason) => reason.name(),
            ForwardError::Wire(_) => "encoding",
        }
    }
}

/// Destination of the copy of an opening packet that goes to the standby owner of its bucket.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StandbyCopy {
    service: ServiceId,
    standby: Standby,
}

impl StandbyCopy {
    /// Returns the address of the standby owner's agent.
    pub fn agent(&self) -> SocketAddr {
        self.standby.agent
    }
}

/// Destination of an envelope and the basis of the route.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Forwarded {
    /// The agent's address.
    pub agent: SocketAddr,
    /// Whether the packet is routed by its bucket's owner or by a holder hint.
    pub basis: RouteBasis,
    /// For an opening packet: the copy to send to the standby owner as well, if there is one.
    pub standby: Option<StandbyCopy>,
}

/// Forwards packets by one routing table.
#[derive(Clone, Copy, Debug)]
pub struct Forwarder<'a> {
    table: &'a RoutingTable,
}

impl<'a> Forwarder<'a> {
    /// Creates a forwarder that routes by `table`.
    pub fn new(table: &'a RoutingTable) -> Self {
        Self { table }
    }

    /// Routes `packet` and encodes its envelope into `envelope`, whose memory is reused.
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

    /// Encodes the envelope of an opening packet's copy for the standby owner into `envelope`.
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
