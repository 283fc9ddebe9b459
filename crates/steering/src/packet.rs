//! The parts of a packet that decisions depend on.

use std::hash::Hasher;
use std::net::SocketAddrV4;

use siphasher::sip::SipHasher13;
use weirhinge_fleet::Millis;

/// Opening packets of one flow come within this span; a later one opens another. A client
/// sends the last copy after 600 ms, and none waits longer than 1.1 s on its way.
pub(crate) const OPENING_SPAN_MS: Millis = 2_000;

/// Why bytes are not a packet.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum MalformedPacket {
    /// Fewer bytes than a head has.
    #[error("shorter than a packet head")]
    ShortHead,
    /// The stated length of the data is not the length of what follows the head.
    #[error("stated length differs from the data's")]
    WrongLength,
    /// More data than a packet may carry.
    #[error("more data than a packet may carry")]
    Oversized,
}

impl MalformedPacket {
    /// Label for counters.
    pub fn label(self) -> &'static str {
        match self {
            MalformedPacket::ShortHead => "short_head",
            MalformedPacket::WrongLength => "wrong_length",
            MalformedPacket::Oversized => "oversized",
        }
    }
}

/// Control bits of a packet.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Flags {
    /// Opens a flow.
    pub syn: bool,
    /// Acknowledges.
    pub ack: bool,
    /// Ends one direction.
    pub fin: bool,
    /// Ends the flow at once.
    pub rst: bool,
    /// A target sent the packet back.
    pub bounced: bool,
}

/// The head of a packet, decoded.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PacketHead {
    /// The sender's end.
    pub source: SocketAddrV4,
    /// The receiver's end.
    pub destination: SocketAddrV4,
    /// Control bits.
    pub flags: Flags,
    /// Sequence number.
    pub sequence: u32,
    /// Acknowledgment number; on an opening packet, counts its copies.
    pub acknowledgment: u32,
    /// Bytes of data behind the head.
    pub length: u16,
    /// Label that comes back with a bounced packet.
    pub echo: u32,
}

impl PacketHead {
    /// Whether the packet opens a flow.
    pub fn is_opening(&self) -> bool {
        self.flags.syn && !self.flags.ack
    }

    /// The flow of a packet that a client wrote.
    pub fn client_flow(&self) -> FlowKey {
        FlowKey { client: self.source, service: self.destination }
    }

    /// The flow of a packet that a target wrote.
    pub fn target_flow(&self) -> FlowKey {
        FlowKey { client: self.destination, service: self.source }
    }
}

/// What the beginning of a target's answer says about the request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AnswerStatus {
    /// The target served it, or found fault with the request itself.
    Good,
    /// The target failed.
    Failed,
    /// The target turned it away without running it.
    NotRun,
}

/// Identifies a flow by its two ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct FlowKey {
    /// The client's end.
    pub client: SocketAddrV4,
    /// The address and port that the client connected to.
    pub service: SocketAddrV4,
}

impl FlowKey {
    /// A hash that is equal in all daemons.
    pub fn hash(&self) -> u64 {
        let mut hasher = SipHasher13::new();
        hasher.write_u32(self.client.ip().to_bits());
        hasher.write_u16(self.client.port());
        hasher.write_u32(self.service.ip().to_bits());
        hasher.write_u16(self.service.port());
        hasher.finish()
    }
}
