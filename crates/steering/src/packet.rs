//! The packet fields that steering decisions depend on.

use std::hash::Hasher;
use std::net::SocketAddrV4;

use siphasher::sip::SipHasher13;
use weirhinge_fleet::Millis;

/// The opening packets of one flow arrive within this time; a later one opens another flow. A
/// client sends the last retransmission after 600 ms, and no packet waits for longer than 1.1 s on
/// its way.
pub(crate) const OPENING_SPAN_MS: Millis = 2_000;

/// Why bytes cannot be decoded as a packet.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum MalformedPacket {
    /// Fewer bytes than a packet header has.
    #[error("packet is shorter than its header")]
    ShortHeader,
    /// The length field differs from the number of bytes after the header.
    #[error("length field differs from the length of the payload")]
    WrongLength,
    /// More payload than a packet may carry.
    #[error("payload exceeds the maximum packet size")]
    Oversized,
}

impl MalformedPacket {
    /// Returns the label that counters use.
    pub fn label(self) -> &'static str {
        match self {
            MalformedPacket::ShortHeader => "short_head",
            MalformedPacket::WrongLength => "wrong_length",
            MalformedPacket::Oversized => "oversized",
        }
    }
}

/// Control flags of a packet.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Flags {
    /// Opens a flow.
    pub syn: bool,
    /// Acknowledges received data.
    pub ack: bool,
    /// Closes one direction.
    pub fin: bool,
    /// Aborts the flow.
    pub rst: bool,
    /// The target does not hold the flow and sent the packet back.
    pub bounced: bool,
}

/// The decoded header of a packet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PacketHeader {
    /// The sender's address and port.
    pub source: SocketAddrV4,
    /// The receiver's address and port.
    pub destination: SocketAddrV4,
    /// Control flags.
    pub flags: Flags,
    /// Sequence number.
    pub sequence: u32,
    /// Acknowledgment number. On an opening packet, the number of the retransmission; 0 on the
    /// first transmission.
    pub acknowledgment: u32,
    /// Bytes of payload after the header.
    pub length: u16,
    /// Label that a bounced packet carries back.
    pub echo: u32,
}

impl PacketHeader {
    /// Whether the packet opens a flow.
    pub fn is_opening(&self) -> bool {
        self.flags.syn && !self.flags.ack
    }

    /// Returns the flow of a packet that a client sent.
    pub fn client_flow(&self) -> FlowKey {
        FlowKey { client: self.source, service: self.destination }
    }

    /// Returns the flow of a packet that a target sent.
    pub fn target_flow(&self) -> FlowKey {
        FlowKey { client: self.destination, service: self.source }
    }
}

/// The outcome of a request, as far as the beginning of the target's answer shows it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AnswerStatus {
    /// The target served the request, or rejected it as invalid.
    Good,
    /// The target failed to serve the request.
    Failed,
    /// The target rejected the request without running it.
    NotRun,
}

/// Identifies a flow by its two endpoints.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct FlowKey {
    /// The client's address and port.
    pub client: SocketAddrV4,
    /// The address and port that the client connected to.
    pub service: SocketAddrV4,
}

impl FlowKey {
    /// Hashes the flow to the same value in every daemon.
    pub fn hash(&self) -> u64 {
        let mut hasher = SipHasher13::new();
        hasher.write_u32(self.client.ip().to_bits());
        hasher.write_u16(self.client.port());
        hasher.write_u32(self.service.ip().to_bits());
        hasher.write_u16(self.service.port());
        hasher.finish()
    }
}
