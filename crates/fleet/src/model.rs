//! The configuration and the targets, independent of how the store encodes them.

use std::hash::Hasher;
use std::net::{Ipv4Addr, SocketAddrV4};

use musli::{Decode, Encode};
use siphasher::sip::SipHasher13;

/// Identifies a service by a hash of its name, which is the same in all daemons.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Encode, Decode)]
#[musli(packed)]
pub struct ServiceId(pub u64);

impl ServiceId {
    /// Returns the identifier of the service with this name.
    pub fn of(name: &str) -> Self {
        Self(hash_name(name))
    }
}

/// Identifies a zone by a hash of its name, which is the same in all daemons.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Encode, Decode)]
#[musli(packed)]
pub struct ZoneId(pub u64);

impl ZoneId {
    /// Returns the identifier of the zone with this name.
    pub fn of(name: &str) -> Self {
        Self(hash_name(name))
    }
}

/// Identifies a region by a hash of its name, which is the same in all daemons.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct RegionId(u64);

impl RegionId {
    /// Returns the identifier of the region with this name.
    pub fn of(name: &str) -> Self {
        Self(hash_name(name))
    }
}

fn hash_name(name: &str) -> u64 {
    let mut hasher = SipHasher13::new();
    hasher.write(name.as_bytes());
    hasher.finish()
}

/// A service that receives part of a route's new flows.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct RoutePart {
    /// The service's name.
    pub service: String,
    /// Weight relative to the route's other parts.
    pub weight: u32,
}

/// The destination of new flows to one address and port.
#[derive(Clone, Debug, Default, PartialEq, Eq, Encode, Decode)]
pub struct Route {
    /// IPv4 address that clients connect to, as a number.
    pub address: u32,
    /// Port that clients connect to.
    pub port: u16,
    /// The services that the route's new flows are divided among.
    pub parts: Vec<RoutePart>,
    /// Priority of the route's requests; 0 is the highest.
    pub priority: u32,
    /// Milliseconds within which clients expect an answer (latency objective); none if not
    /// configured.
    pub objective_ms: Option<u64>,
    /// Milliseconds after which clients give up; none if not configured.
    pub timeout_ms: Option<u64>,
    /// Names of the regions that the route's requests must not leave; empty if unrestricted.
    pub permitted_regions: Vec<String>,
}

/// The limit on new flows to a service's targets while they are cold.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct ColdStartPolicy {
    /// The service's name.
    pub service: String,
    /// Milliseconds for which a target counts as cold after its start, or after the evacuation of
    /// its zone ended.
    pub cold_ms: u64,
    /// New flows per second that a cold target can take; 0 if unlimited.
    pub flows_per_second: u32,
}

impl Route {
    /// Returns the address and port that clients connect to.
    pub fn endpoint(&self) -> SocketAddrV4 {
        SocketAddrV4::new(Ipv4Addr::from_bits(self.address), self.port)
    }
}

/// A complete configuration, as written by the operator.
#[derive(Clone, Debug, Default, PartialEq, Eq, Encode, Decode)]
pub struct Configuration {
    /// The version assigned by the operator. It increases, but not always by one.
    pub version: u64,
    /// All routes.
    pub routes: Vec<Route>,
    /// Milliseconds without packets after which a flow may be dropped.
    pub idle_timeout_ms: u64,
    /// Cold-start policies by service; services that are not listed have no limit.
    pub cold_starts: Vec<ColdStartPolicy>,
}

/// Whether a target accepts new flows.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
pub enum TargetState {
    /// Accepts new flows.
    Ready,
    /// Keeps its existing flows and must not get new ones.
    Draining,
}

/// The record of one incarnation of a target in the store.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct TargetRecord {
    /// The service that the target belongs to.
    pub service: String,
    /// IPv4 address of the target's machine, as a number.
    pub address: u32,
    /// Zone of the target's machine.
    pub zone: String,
    /// Requests that the target processes concurrently.
    pub slots: u32,
    /// Whether the target accepts new flows.
    pub state: TargetState,
    /// Milliseconds for which the target is cold after its start.
    pub warm_up_ms: u32,
    /// Start time of this incarnation, on its machine's clock. It identifies the incarnation and is
    /// only compared with start times of the same target. None if targets do not report it; then an
    /// identifier is used by one incarnation only.
    pub incarnation: Option<u64>,
    /// Number of writes of the record in this incarnation, counted by the target.
    pub sequence: u64,
}

impl TargetRecord {
    /// Returns the address of the target's machine, on which its agent also runs.
    pub fn machine(&self) -> Ipv4Addr {
        Ipv4Addr::from_bits(self.address)
    }
}
