//! Configuration and targets in the product's own terms.

use std::hash::Hasher;
use std::net::{Ipv4Addr, SocketAddrV4};

use musli::{Decode, Encode};
use siphasher::sip::SipHasher13;

/// Identifies a service by a hash of its name; all daemons compute the same.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Encode, Decode)]
#[musli(packed)]
pub struct ServiceId(pub u64);

impl ServiceId {
    /// The identifier of the service with this name.
    pub fn of(name: &str) -> Self {
        Self(hash_name(name))
    }
}

/// Identifies a zone by a hash of its name; all daemons compute the same.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Encode, Decode)]
#[musli(packed)]
pub struct ZoneId(pub u64);

impl ZoneId {
    /// The identifier of the zone with this name.
    pub fn of(name: &str) -> Self {
        Self(hash_name(name))
    }
}

/// Identifies a region by a hash of its name; all daemons compute the same.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct RegionId(u64);

impl RegionId {
    /// The identifier of the region with this name.
    pub fn of(name: &str) -> Self {
        Self(hash_name(name))
    }
}

fn hash_name(name: &str) -> u64 {
    let mut hasher = SipHasher13::new();
    hasher.write(name.as_bytes());
    hasher.finish()
}

/// One service's part of a route's new flows.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct RoutePart {
    /// The service's name.
    pub service: String,
    /// Weight relative to the route's other parts.
    pub weight: u32,
}

/// Where new flows to one address go.
#[derive(Clone, Debug, Default, PartialEq, Eq, Encode, Decode)]
pub struct Route {
    /// IPv4 address that clients connect to, as a number.
    pub address: u32,
    /// Port that clients connect to.
    pub port: u16,
    /// The services that share the route's new flows.
    pub parts: Vec<RoutePart>,
    /// How urgent the route's requests are; 0 is the most urgent.
    pub priority: u32,
    /// Milliseconds within which callers expect an answer; none if not stated.
    pub objective_ms: Option<u64>,
    /// Milliseconds after which callers give up; none if not stated.
    pub timeout_ms: Option<u64>,
    /// Names of the regions that the route's requests must not leave; empty if they may go
    /// anywhere.
    pub permitted_regions: Vec<String>,
}

/// How a service's targets start.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct ColdStartPolicy {
    /// The service's name.
    pub service: String,
    /// Milliseconds for which a target is slow after its start, or after its zone was taken
    /// back.
    pub cold_ms: u64,
    /// New flows a second that such a target bears; 0 if there is no limit.
    pub flows_per_second: u32,
}

impl Route {
    /// The address and port that clients connect to.
    pub fn endpoint(&self) -> SocketAddrV4 {
        SocketAddrV4::new(Ipv4Addr::from_bits(self.address), self.port)
    }
}

/// A whole configuration, as the operator wrote it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Encode, Decode)]
pub struct Configuration {
    /// The operator's version; grows in uneven steps.
    pub version: u64,
    /// All routes.
    pub routes: Vec<Route>,
    /// Milliseconds after which a resting flow may be forgotten.
    pub idle_timeout_ms: u64,
    /// How the targets of the services start; services that are not named have no limit.
    pub cold_starts: Vec<ColdStartPolicy>,
}

/// Whether a target takes new flows.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
pub enum TargetState {
    /// Takes new flows.
    Ready,
    /// Keeps its flows, must get no new one.
    Draining,
}

/// One incarnation of a target, as recorded in the store.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct TargetRecord {
    /// The service that the target belongs to.
    pub service: String,
    /// IPv4 address of the target's machine, as a number.
    pub address: u32,
    /// Zone of the target's machine.
    pub zone: String,
    /// Requests that the target works on at once.
    pub slots: u32,
    /// Whether the target takes new flows.
    pub state: TargetState,
    /// Milliseconds for which the target stays slow after its start.
    pub warm_up_ms: u32,
    /// When this life of the target began, on its machine's clock; none where targets do
    /// not tell, and then an identifier stands for one life. It names the life and is
    /// compared with that of the same target alone.
    pub incarnation: Option<u64>,
    /// The target's own count of its writes in this life.
    pub sequence: u64,
}

impl TargetRecord {
    /// The address of the target's machine, where its agent runs too.
    pub fn machine(&self) -> Ipv4Addr {
        Ipv4Addr::from_bits(self.address)
    }
}
