//! A user-space TCP endpoint for one flow, and its splice to a byte stream.
//!
//! [`TcpEndpoint`] wraps `smoltcp` and uses no socket or clock of its own: packets, bytes and the
//! current time are passed in, packets and bytes are taken out. [`splice`] connects one endpoint to
//! any asynchronous byte stream. Agents use it to connect clients to back ends; the rehearsal uses
//! it to connect its HTTP clients to the fabric.

mod device;
mod endpoint;
mod splice;

pub use endpoint::{
    BufferSizes, EndpointError, EndpointOptions, ReadOutcome, TcpEndpoint, TimestampSource,
};
pub use splice::{FlowObserver, NoObserver, PacketSink, SpliceEnd, splice};

/// Largest inner packet, in bytes: with the envelope, UDP and outer IP headers it still fits a link
/// MTU of 1,500 bytes.
pub const INNER_MTU: usize = 1_400;
