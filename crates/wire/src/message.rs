//! Message types sent from balancers to agents and between agents.

use std::net::{IpAddr, Ipv4Addr, Ipv6Addr, SocketAddr};

use musli::{Decode, Encode};
use weirhinge_packet::{FlowKey, Protocol};

/// Protocol version, the first byte of every datagram between balancers and agents.
pub const PROTOCOL_VERSION: u8 = 1;

/// Why a message could not be decoded or encoded.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum WireError {
    /// The datagram has another protocol version, comes from an unrelated sender, or is empty.
    #[error("unknown protocol version")]
    UnknownVersion,
    /// The datagram's body cannot be decoded.
    #[error("malformed message")]
    Malformed,
    /// The message cannot be encoded.
    #[error("message cannot be encoded")]
    Encoding,
}

/// Why the sender chose the receiving agent for a packet.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
pub enum Delivery {
    /// In the sender's configuration the receiver owns the packet's bucket.
    Owner,
    /// The packet's echoed timestamp identifies the receiver as the flow's holder.
    Hinted,
    /// A new flow is offered: the receiver compares loads, then admits the flow or forwards the
    /// offer.
    Offered(Offer),
    /// The receiver is the standby owner: it acts only if no other agent claims the flow within a
    /// short time.
    Standby,
    /// The receiver was the least loaded candidate and must admit the flow.
    Assigned,
    /// The sender knows or assumes that the receiver holds the flow.
    Forwarded,
}

/// An offer of a new flow, forwarded from one candidate to the next.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
pub struct Offer {
    /// Least loaded target so far.
    pub best: u16,
    /// That target's load, in thousandths of its slots.
    pub best_load: u32,
    /// Number of candidates that have evaluated the offer so far.
    pub visited: u8,
}

/// An inner packet encapsulated for an agent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
pub struct PacketEnvelope<'a> {
    /// Configuration revision that the sender's decision is based on.
    pub revision: u64,
    /// Service that the packet's destination belongs to, according to the sender.
    pub service: u32,
    /// Target that the sender addressed.
    pub target: u16,
    /// Why the packet was sent to this agent.
    pub delivery: Delivery,
    /// Number of agents that have forwarded the packet so far.
    pub hops: u8,
    /// The unmodified inner packet.
    #[musli(bytes)]
    pub packet: &'a [u8],
}

/// The encoded form of an IP address and port.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
pub enum WireAddress {
    /// IPv4 address as an integer, and port.
    V4(u32, u16),
    /// IPv6 address as an integer, and port.
    V6(u128, u16),
}

impl From<SocketAddr> for WireAddress {
    fn from(address: SocketAddr) -> Self {
        match address.ip() {
            IpAddr::V4(ip) => WireAddress::V4(ip.to_bits(), address.port()),
            IpAddr::V6(ip) => WireAddress::V6(ip.to_bits(), address.port()),
        }
    }
}

impl From<WireAddress> for SocketAddr {
    fn from(address: WireAddress) -> Self {
        match address {
            WireAddress::V4(bits, port) => (Ipv4Addr::from_bits(bits), port).into(),
            WireAddress::V6(bits, port) => (Ipv6Addr::from_bits(bits), port).into(),
        }
    }
}

/// The encoded form of a [`FlowKey`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
pub struct WireFlowKey {
    /// Whether the flow is UDP rather than TCP.
    pub udp: bool,
    /// The client's address and port.
    pub source: WireAddress,
    /// The service's address and port.
    pub destination: WireAddress,
}

impl From<FlowKey> for WireFlowKey {
    fn from(key: FlowKey) -> Self {
        Self {
            udp: key.protocol == Protocol::Udp,
            source: key.source.into(),
            destination: key.destination.into(),
        }
    }
}

impl From<WireFlowKey> for FlowKey {
    fn from(key: WireFlowKey) -> Self {
        Self {
            protocol: if key.udp { Protocol::Udp } else { Protocol::Tcp },
            source: key.source.into(),
            destination: key.destination.into(),
        }
    }
}

/// Query to the agents of one service: which of them holds a flow.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
pub struct HolderQuery {
    /// The service that the flow belongs to.
    pub service: u32,
    /// Target whose agent sends the query.
    pub from: u16,
    /// Configuration revision in effect at that agent.
    pub revision: u64,
    /// The flow in question.
    pub flow: WireFlowKey,
}

/// Whether a target holds a flow, and in which state.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
pub enum Holding {
    /// The target does not hold the flow.
    Not,
    /// The handshake is not complete; it may still complete at another target.
    Opening,
    /// The handshake is complete, so no other target holds the flow.
    Open,
}

/// Reports whether a target holds a flow: in answer to a [`HolderQuery`], or unsolicited to the
/// owner of the flow's bucket.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
pub struct HolderAnswer {
    /// The service that the flow belongs to.
    pub service: u32,
    /// Target whose agent answers.
    pub from: u16,
    /// Configuration revision in effect at that agent.
    pub revision: u64,
    /// The flow in question.
    pub flow: WireFlowKey,
    /// Whether the answering target holds the flow.
    pub holding: Holding,
}

/// A message to an agent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
pub enum AgentMessage<'a> {
    /// An encapsulated inner packet.
    Packet(PacketEnvelope<'a>),
    /// A query for a flow's holder.
    HolderQuery(HolderQuery),
    /// The answer to such a query, or an unsolicited report.
    HolderAnswer(HolderAnswer),
}

impl AgentMessage<'_> {
    /// Returns the configuration revision in effect at the sender.
    pub fn revision(&self) -> u64 {
        match self {
            AgentMessage::Packet(envelope) => envelope.revision,
            AgentMessage::HolderQuery(query) => query.revision,
            AgentMessage::HolderAnswer(answer) => answer.revision,
        }
    }
}

/// Encodes a message into `buffer`, replacing its contents. The buffer's memory is reused, so that
/// the hot path does not allocate.
///
/// # Errors
/// Returns [`WireError::Encoding`] if the codec cannot encode the message.
pub fn encode_into(message: &AgentMessage<'_>, buffer: &mut Vec<u8>) -> Result<(), WireError> {
    buffer.clear();
    buffer.push(PROTOCOL_VERSION);
    musli::storage::encode(&mut *buffer, message).map_err(|_| WireError::Encoding)?;
    Ok(())
}

/// Decodes a datagram. An inner packet in the message borrows from the datagram.
///
/// # Errors
/// Returns [`WireError::UnknownVersion`] if the datagram is empty or starts with another version,
/// and [`WireError::Malformed`] if its body cannot be decoded.
pub fn decode(datagram: &[u8]) -> Result<AgentMessage<'_>, WireError> {
    match datagram.split_first() {
        Some((&PROTOCOL_VERSION, body)) => {
            musli::storage::from_slice(body).map_err(|_| WireError::Malformed)
        }
        _ => Err(WireError::UnknownVersion),
    }
}
