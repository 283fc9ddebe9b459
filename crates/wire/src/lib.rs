//! The messages that the system's own processes exchange, encoded by `musli`.
//!
//! Every datagram starts with [`PROTOCOL_VERSION`]; a datagram of another
//! version or of foreign origin is refused as a [`WireError`].

mod message;

pub use message::{
    AgentMessage, Delivery, HolderAnswer, HolderQuery, Holding, Offer, PROTOCOL_VERSION,
    PacketEnvelope, WireAddress, WireError, WireFlowKey, decode, encode_into,
};
