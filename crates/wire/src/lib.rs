//! The messages that balancers and agents exchange, encoded with `musli`.
//!
//! Every datagram starts with [`PROTOCOL_VERSION`]. [`decode`] rejects datagrams of another
//! version or from unrelated senders with a [`WireError`].

mod message;

pub use message::{
    AgentMessage, Delivery, HolderAnswer, HolderQuery, Holding, Offer, PROTOCOL_VERSION,
    PacketEnvelope, WireAddress, WireError, WireFlowKey, decode, encode_into,
};
