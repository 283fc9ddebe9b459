//! Client packets that arrive at an agent.

use std::net::Ipv4Addr;

use weirhinge_fleet::{OpeningDemand, ServiceId};

use crate::packet::PacketHeader;

/// A client packet that a balancer forwarded to an agent.
#[derive(Clone, Copy, Debug)]
pub struct Arrival<'a> {
    /// The packet's header.
    pub header: &'a PacketHeader,
    /// The whole packet.
    pub packet: &'a [u8],
    /// The balancer that received it from the client's router.
    pub balancer: Ipv4Addr,
    /// The service that the balancer forwarded it for.
    pub service: ServiceId,
    /// Set for a search packet, when it is not known whether the target holds the flow: the agents
    /// (IPv4 addresses) that the packet visits next, in order, if the target bounces it.
    pub search: Option<&'a [u32]>,
    /// Whether an opening packet may wait until the target has capacity.
    pub may_wait: bool,
    /// Whether an opening packet goes before non-urgent ones.
    pub urgent: bool,
    /// Set if an opening packet answers a grant of the agent: the demand that remains at the
    /// balancer.
    pub granted: Option<OpeningDemand>,
}
