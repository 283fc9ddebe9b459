//! A user-space TCP endpoint for one flow, and its splice to a byte stream.
//!
//! [`TcpEndpoint`] wraps `smoltcp`: packets and time go in, packets and bytes
//! come out, and nothing in it touches a socket or a clock. [`splice`] drives
//! one endpoint against any asynchronous byte stream. Agents splice callers to
//! back ends with it; the rehearsal's callers splice HTTP clients to the fabric.

mod device;
mod endpoint;
mod splice;

pub use endpoint::{
    BufferSizes, EndpointError, EndpointOptions, ReadOutcome, TcpEndpoint, TimestampSource,
};
pub use splice::{FlowObserver, NoObserver, PacketSink, SpliceEnd, splice};

/// Largest inner packet, in bytes: with envelope, UDP and outer IP headers it
/// still fits a link of 1,500 bytes.
pub const INNER_MTU: usize = 1_400;
