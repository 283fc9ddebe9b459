//! The configuration document: services, their targets and a revision.

use std::fmt;
use std::net::{IpAddr, SocketAddr};

use serde::{Deserialize, Serialize};
use weirhinge_packet::Protocol;

use crate::parse::ConfigError;
use crate::validate;

/// Largest target identifier: the holder hint of a TCP flow encodes it in 13 bits.
pub const MAXIMUM_TARGET_ID: u16 = (1 << 13) - 1;
/// Largest weight of a target; the smallest is 1.
pub const MAXIMUM_WEIGHT: u32 = 1_000;

/// Identifies a service permanently; an identifier is never reused for another service.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct ServiceId(pub u32);

impl fmt::Display for ServiceId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "service {}", self.0)
    }
}

/// Identifies a target; at most [`MAXIMUM_TARGET_ID`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct TargetId(pub u16);

impl fmt::Display for TargetId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "target {}", self.0)
    }
}

/// The transport protocol of a service.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum TransportProtocol {
    /// TCP, the default.
    #[default]
    Tcp,
    /// UDP.
    Udp,
}

impl From<TransportProtocol> for Protocol {
    fn from(protocol: TransportProtocol) -> Self {
        match protocol {
            TransportProtocol::Tcp => Protocol::Tcp,
            TransportProtocol::Udp => Protocol::Udp,
        }
    }
}

/// One service: an address and port that clients connect to.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// Stable identifier, carried in every packet envelope and checked by agents.
    pub id: ServiceId,
    /// Name shown to operators; unique among services.
    pub name: String,
    /// Address that clients connect to.
    pub address: IpAddr,
    /// Port that clients connect to; not 0.
    pub port: u16,
    /// Transport protocol; defaults to TCP.
    #[serde(default)]
    pub protocol: TransportProtocol,
    /// Whether the agent sends a PROXY protocol version 2 header with the client's address to a
    /// TCP back end before the client's first byte; off by default.
    #[serde(default)]
    pub proxy_protocol: bool,
}

/// Whether a target accepts new flows.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum TargetState {
    /// Accepts new flows, the default.
    #[default]
    Active,
    /// Keeps its open flows and accepts no new ones.
    Draining,
}

/// One back end and its co-located agent.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Target {
    /// Stable identifier, unique across all services; at most 8,191.
    pub id: TargetId,
    /// Name shown to operators; unique among targets.
    pub name: String,
    /// The service that this target serves.
    pub service: ServiceId,
    /// Zone that the target runs in.
    pub zone: String,
    /// UDP address at which the agent receives packet envelopes.
    pub agent: SocketAddr,
    /// TCP or UDP address of the back end itself.
    pub back_end: SocketAddr,
    /// Share of new flows relative to the service's other targets, 1 to 1,000.
    #[serde(default = "default_weight")]
    pub weight: u32,
    /// Whether the target accepts new flows.
    #[serde(default)]
    pub state: TargetState,
    /// Largest number of requests that the back end processes concurrently.
    pub slots: u32,
    /// Largest number of concurrent connections that the back end accepts.
    pub connections: u32,
}

fn default_weight() -> u32 {
    100
}

/// A complete configuration at one revision.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ConfigDocument {
    /// Increases with every accepted change; a document never replaces one of a higher revision.
    pub revision: u64,
    /// All services.
    #[serde(default)]
    pub services: Vec<Service>,
    /// All targets.
    #[serde(default)]
    pub targets: Vec<Target>,
}

impl ConfigDocument {
    /// Parses a document from TOML text and validates it.
    ///
    /// # Errors
    /// Returns an error that names the file, the field and the expected value.
    pub fn from_toml(file: &str, text: &str) -> Result<Self, ConfigError> {
        let document: Self = crate::parse::from_toml(file, text)?;
        validate::check_document(file, &document)?;
        Ok(document)
    }

    /// Parses a document from JSON bytes and validates it.
    ///
    /// # Errors
    /// Returns an error that names the origin, the field and the expected value.
    pub fn from_json(origin: &str, bytes: &[u8]) -> Result<Self, ConfigError> {
        let document: Self = crate::parse::from_json(origin, bytes)?;
        validate::check_document(origin, &document)?;
        Ok(document)
    }

    /// Validates all services, all targets and the references between them.
    ///
    /// # Errors
    /// Returns an error that names the first invalid field.
    pub fn check(&self, origin: &str) -> Result<(), ConfigError> {
        validate::check_document(origin, self)
    }

    /// Checks that this document may replace `previous`: a target must not change its service,
    /// because its open flows would then reach the wrong service.
    ///
    /// # Errors
    /// Returns an error that names the first target whose service differs.
    pub fn check_successor(&self, origin: &str, previous: &Self) -> Result<(), ConfigError> {
        validate::check_successor(origin, self, previous)
    }

    /// Returns the target with this identifier.
    pub fn target(&self, id: TargetId) -> Option<&Target> {
        self.targets.iter().find(|target| target.id == id)
    }

    /// Returns the service with this identifier.
    pub fn service(&self, id: ServiceId) -> Option<&Service> {
        self.services.iter().find(|service| service.id == id)
    }
}
