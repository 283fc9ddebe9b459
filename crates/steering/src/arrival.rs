//! Clients' packets that come to an agent.

use std::net::Ipv4Addr;

use weirhinge_fleet::{OpeningDemand, ServiceId};

use crate::packet::PacketHead;

/// A client's packet on its way to the target.
#[derive(Clone, Copy, Debug)]
pub struct Arrival<'a> {
    /// The packet's head.
    pub head: &'a PacketHead,
    /// The packet.
    pub packet: &'a [u8],
    /// The balancer that the client's router handed it to.
    pub balancer: Ipv4Addr,
    /// The service that the balancer meant.
    pub service: ServiceId,
    /// Set if it is not known whether the target holds the flow: the agents (IPv4
    /// addresses) that get the packet in turn if the target sends it back.
    pub search: Option<&'a [u32]>,
    /// Whether an opening packet may wait until the target has room.
    pub may_wait: bool,
    /// Whether an opening packet goes before others.
    pub urgent: bool,
    /// Set if an opening packet answers a grant of the agent: what still waits at the balancer.
    pub granted: Option<OpeningDemand>,
}
