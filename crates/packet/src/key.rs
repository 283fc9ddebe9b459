//! Identifies a flow by its protocol and both of its ends.

use std::fmt;
use std::net::SocketAddr;

/// The transport protocols that the load balancer carries.
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

/// The 5-tuple of a flow, always written in the caller's direction.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct FlowKey {
    /// The transport protocol.
    pub protocol: Protocol,
    /// The caller's address and port.
    pub source: SocketAddr,
    /// The service's address and port.
    pub destination: SocketAddr,
}

impl fmt::Display for FlowKey {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{} {} to {}", self.protocol, self.source, self.destination)
    }
}
