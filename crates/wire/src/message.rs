//! Message types between balancers and agents, and among agents.

use std::net::{IpAddr, Ipv4Addr, Ipv6Addr, SocketAddr};

use musli::{Decode, Encode};
use weirhinge_packet::{FlowKey, Protocol};

/// First byte of every datagram between processes of the system.
pub const PROTOCOL_VERSION: u8 = 1;

/// Why a datagram between processes was refused.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum WireError {
    /// The datagram is of another protocol version or not ours at all.
    #[error("unknown protocol version")]
    UnknownVersion,
    /// The datagram's body cannot be decoded.
    #[error("malformed message")]
    Malformed,
    /// The message cannot be encoded.
    #[error("message cannot be encoded")]
    Encoding,
}

/// How a packet came to the agent that receives it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
pub enum Delivery {
    /// The sender believes that the receiver owns the packet's bucket.
    Owner,
    /// The packet's echoed timestamp names the receiver as the flow's holder.
    Hinted,
    /// The receiver is asked to compare its load and admit or pass on.
    Offered(Offer),
    /// The receiver stands by for the owner: it acts only if nobody claims the
    /// flow soon.
    Standby,
    /// The receiver was the least loaded candidate and shall admit the flow.
    Assigned,
    /// The sender knows, or guesses, that the receiver holds the flow.
    Forwarded,
}

/// An offer of a new flow that travels along its candidates.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
pub struct Offer {
    /// Target with the least load so far.
    pub best: u16,
    /// That target's load, in thousandths of its slots.
    pub best_load: u32,
    /// How many candidates have looked at the offer so far.
    pub visited: u8,
}

/// One inner packet on its way to an agent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
pub struct PacketEnvelope<'a> {
    /// Configuration revision under which the sender decided.
    pub revision: u64,
    /// Service that the sender found for the packet's destination.
    pub service: u32,
    /// Target that the sender meant to reach.
    pub target: u16,
    /// How the packet came here.
    pub delivery: Delivery,
    /// How many agents have passed the packet on so far.
    pub hops: u8,
    /// The untouched inner packet.
    #[musli(bytes)]
    pub packet: &'a [u8],
}

/// An IP address and port in the form that travels.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
pub enum WireAddress {
    /// IPv4 address as a number, and port.
    V4(u32, u16),
    /// IPv6 address as a number, and port.
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

/// A [`FlowKey`] in the form that travels.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
pub struct WireFlowKey {
    /// Whether the flow is UDP rather than TCP.
    pub udp: bool,
    /// The caller's end.
    pub source: WireAddress,
    /// The service's end.
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

/// Asks the agents of one service which of them holds a flow.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
pub struct HolderQuery {
    /// The service that the flow belongs to.
    pub service: u32,
    /// Target that asks.
    pub from: u16,
    /// Configuration revision in force at that target.
    pub revision: u64,
    /// The flow asked about.
    pub flow: WireFlowKey,
}

/// How a target holds a flow.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
pub enum Holding {
    /// Not at all.
    Not,
    /// The handshake is not complete; another target may win it.
    Opening,
    /// The handshake is complete: no other target holds the flow.
    Open,
}

/// Tells how a target holds a flow, as the answer to a [`HolderQuery`] or
/// unasked to the owner of the flow's bucket.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
pub struct HolderAnswer {
    /// The service that the flow belongs to.
    pub service: u32,
    /// Target that answers.
    pub from: u16,
    /// Configuration revision in force at that target.
    pub revision: u64,
    /// The flow asked about.
    pub flow: WireFlowKey,
    /// How the answering target holds it.
    pub holding: Holding,
}

/// Every message that an agent receives.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
pub enum AgentMessage<'a> {
    /// An inner packet.
    Packet(PacketEnvelope<'a>),
    /// A question about a flow's holder.
    HolderQuery(HolderQuery),
    /// The answer to such a question.
    HolderAnswer(HolderAnswer),
}

impl AgentMessage<'_> {
    /// The configuration revision in force at the sender.
    pub fn revision(&self) -> u64 {
        match self {
            AgentMessage::Packet(envelope) => envelope.revision,
            AgentMessage::HolderQuery(query) => query.revision,
            AgentMessage::HolderAnswer(answer) => answer.revision,
        }
    }
}

/// Encodes a message into `buffer`, replacing what it held. The buffer's
/// memory is reused, so that the hot path does not allocate.
///
/// # Errors
/// [`WireError::Encoding`] when the codec refuses the message.
pub fn encode_into(message: &AgentMessage<'_>, buffer: &mut Vec<u8>) -> Result<(), WireError> {
    buffer.clear();
    buffer.push(PROTOCOL_VERSION);
    musli::storage::encode(&mut *buffer, message).map_err(|_| WireError::Encoding)?;
    Ok(())
}

/// Decodes a datagram; a packet inside borrows from it.
///
/// # Errors
/// [`WireError::UnknownVersion`] or [`WireError::Malformed`].
pub fn decode(datagram: &[u8]) -> Result<AgentMessage<'_>, WireError> {
    match datagram.split_first() {
        Some((&PROTOCOL_VERSION, body)) => {
            musli::storage::from_slice(body).map_err(|_| WireError::Malformed)
        }
        _ => Err(WireError::UnknownVersion),
    }
}
