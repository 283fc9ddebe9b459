//! Flow identity: the protocol and both endpoints.

use std::fmt;
use std::net::SocketAddr;

/// Transport protocol of a flow.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Protocol {
    /// Transmission Control Protocol.
    Tcp,
    /// User Datagram Protocol.
    Udp,
}

impl fmt::Display for Protocol {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            Protocol::Tcp => "tcp",
            Protocol::Udp => "udp",
        })
    }
}

/// The 5-tuple of a flow, always in the direction from client to service.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct FlowKey {
    /// The transport protocol.
    pub protocol: Protocol,
    /// The client's address and port.
    pub source: SocketAddr,
    /// The service's address and port.
    pub destination: SocketAddr,
}

impl fmt::Display for FlowKey {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{} {} to {}", self.protocol, self.source, self.destination)
    }
}
