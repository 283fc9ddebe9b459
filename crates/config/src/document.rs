//! The configuration document: services, their targets, and a revision.

use std::fmt;
use std::net::{IpAddr, SocketAddr};

use serde::{Deserialize, Serialize};
use weirhinge_packet::Protocol;

use crate::parse::ConfigError;
use crate::validate;

/// Largest target identifier: the holder hint of a TCP flow has 13 bits for it.
pub const MAXIMUM_TARGET_ID: u16 = (1 << 13) - 1;
/// Largest weight of a target.
pub const MAXIMUM_WEIGHT: u32 = 1_000;

/// Identifies a service for its whole life; never given to another service.
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

/// One service: an address and port that callers connect to.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// Stable identifier, carried in every envelope and checked by agents.
    pub id: ServiceId,
    /// Name shown to operators; unique.
    pub name: String,
    /// Address that callers connect to.
    pub address: IpAddr,
    /// Port that callers connect to; not 0.
    pub port: u16,
    /// Transport protocol; TCP unless stated.
    #[serde(default)]
    pub protocol: TransportProtocol,
    /// Whether a TCP back end is told the caller's address by a PROXY protocol
    /// version 2 header before the caller's bytes; off unless stated.
    #[serde(default)]
    pub proxy_protocol: bool,
}

/// Whether a target takes new flows.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum TargetState {
    /// Takes new flows, the default.
    #[default]
    Active,
    /// Keeps its open flows and takes no new one.
    Draining,
}

/// One back end with the agent beside it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Target {
    /// Stable identifier, unique over all services; at most 8,191.
    pub id: TargetId,
    /// Name shown to operators; unique.
    pub name: String,
    /// The service that this target serves.
    pub service: ServiceId,
    /// Zone that the target runs in.
    pub zone: String,
    /// UDP address at which the agent takes envelopes.
    pub agent: SocketAddr,
    /// TCP or UDP address of the back end itself.
    pub back_end: SocketAddr,
    /// Share of new flows relative to the service's other targets, 1 to 1,000.
    #[serde(default = "default_weight")]
    pub weight: u32,
    /// Whether the target takes new flows.
    #[serde(default)]
    pub state: TargetState,
    /// Requests that the back end works on at once.
    pub slots: u32,
    /// Connections that the back end accepts at once.
    pub connections: u32,
}

fn default_weight() -> u32 {
    100
}

/// A complete configuration at one revision.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ConfigDocument {
    /// Grows with every accepted change; a lower one never replaces a higher.
    pub revision: u64,
    /// All services.
    #[serde(default)]
    pub services: Vec<Service>,
    /// All targets.
    #[serde(default)]
    pub targets: Vec<Target>,
}

impl ConfigDocument {
    /// Reads a document from TOML text and checks it.
    ///
    /// # Errors
    /// Names the file, the field and what was expected there.
    pub fn from_toml(file: &str, text: &str) -> Result<Self, ConfigError> {
        let document: Self = crate::parse::from_toml(file, text)?;
        validate::check_document(file, &document)?;
        Ok(document)
    }

    /// Reads a document from JSON bytes and checks it.
    ///
    /// # Errors
    /// Names the origin, the field and what was expected there.
    pub fn from_json(origin: &str, bytes: &[u8]) -> Result<Self, ConfigError> {
        let document: Self = crate::parse::from_json(origin, bytes)?;
        validate::check_document(origin, &document)?;
        Ok(document)
    }

    /// Checks every service, every target and how they refer to each other.
    ///
    /// # Errors
    /// Names the first field that cannot be used.
    pub fn check(&self, origin: &str) -> Result<(), ConfigError> {
        validate::check_document(origin, self)
    }

    /// Checks that this document may follow `previous`: a target never changes
    /// its service, or its open flows would end at the wrong one.
    ///
    /// # Errors
    /// Names the target whose service differs.
    pub fn check_successor(&self, origin: &str, previous: &Self) -> Result<(), ConfigError> {
        validate::check_successor(origin, self, previous)
    }

    /// The target with this identifier.
    pub fn target(&self, id: TargetId) -> Option<&Target> {
        self.targets.iter().find(|target| target.id == id)
    }

    /// The service with this identifier.
    pub fn service(&self, id: ServiceId) -> Option<&Service> {
        self.services.iter().find(|service| service.id == id)
    }
}
