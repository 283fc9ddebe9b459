//! The platform's list of balancer machines, which may be out of date.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::parse::{self, ConfigError};

/// A machine's state as the platform last reported it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum MachineState {
    /// The machine is running and expected to stay.
    #[default]
    Live,
    /// The machine is shutting down.
    Leaving,
}

/// One balancer machine.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Machine {
    /// Name shown to operators.
    pub name: String,
    /// Zone that the machine runs in.
    pub zone: String,
    /// UDP address at which the balancer receives packets.
    pub address: SocketAddr,
    /// TCP address at which the balancer exchanges configuration with other balancers; none if it
    /// does not take part.
    #[serde(default)]
    pub control: Option<SocketAddr>,
    /// TCP address of the balancer's resource API, if it serves one.
    #[serde(default)]
    pub api: Option<SocketAddr>,
    /// Whether the machine is live or shutting down.
    #[serde(default)]
    pub state: MachineState,
}

impl MachineList {
    /// Parses a list from JSON bytes.
    ///
    /// # Errors
    /// Returns an error that names the origin, the field and the expected value.
    pub fn from_json(origin: &str, bytes: &[u8]) -> Result<Self, ConfigError> {
        parse::from_json(origin, bytes)
    }
}

/// All balancer machines known to the platform.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct MachineList {
    /// The machines, in no particular order.
    pub machines: Vec<Machine>,
}
