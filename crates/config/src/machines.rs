//! The platform's list of balancer machines, which may lag.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::parse::{self, ConfigError};

/// Whether the platform believes that a machine stays.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum MachineState {
    /// The machine is live.
    #[default]
    Live,
    /// The machine is about to stop.
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
    /// UDP address at which the balancer takes packets.
    pub address: SocketAddr,
    /// TCP address at which the balancer talks to other balancers about the
    /// configuration; none if it does not.
    #[serde(default)]
    pub control: Option<SocketAddr>,
    /// TCP address of the balancer's resource API; none if it has none.
    #[serde(default)]
    pub api: Option<SocketAddr>,
    /// Whether the machine stays.
    #[serde(default)]
    pub state: MachineState,
}

impl MachineList {
    /// Reads a list from JSON bytes.
    ///
    /// # Errors
    /// Names the origin, the field and what was expected there.
    pub fn from_json(origin: &str, bytes: &[u8]) -> Result<Self, ConfigError> {
        parse::from_json(origin, bytes)
    }
}

/// All machines that the platform knows.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct MachineList {
    /// The machines, in no particular order.
    pub machines: Vec<Machine>,
}
