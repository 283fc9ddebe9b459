//! Settings of one process: a TOML file whose fields command-line flags can override.

use std::net::SocketAddr;

use serde::Deserialize;

use crate::document::{MAXIMUM_TARGET_ID, TargetId};
use crate::parse::{self, ConfigError};

/// Settings shared by all daemons.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CommonSettings {
    /// Name shown in logs.
    pub name: String,
    /// Zone that the process runs in.
    pub zone: String,
    /// UDP address at which the data path receives packets.
    pub listen: SocketAddr,
    /// TCP address of the health and metrics endpoints.
    pub admin: SocketAddr,
    /// TCP address of the platform's configuration service.
    pub platform: SocketAddr,
    /// Path of the keys file.
    pub keys_file: String,
}

/// Settings of `weirhinge balancer`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct BalancerSettings {
    /// Settings shared by both roles.
    pub common: CommonSettings,
    /// Largest number of packets received or sent by one system call; 1 disables batching.
    pub batch: usize,
    /// TCP address at which the balancer exchanges configuration with other balancers.
    pub control: SocketAddr,
    /// TCP address of the resource API; loopback only.
    pub api: SocketAddr,
    /// Control addresses of some other balancers, for finding the consensus group while the
    /// platform is unavailable.
    pub peers: Vec<SocketAddr>,
    /// Whether this balancer creates a group when it finds none. Set this on exactly one
    /// balancer of a deployment, and only once.
    pub found_group: bool,
}

/// Settings of `weirhinge agent`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AgentSettings {
    /// Settings shared by both roles.
    pub common: CommonSettings,
    /// UDP address of the fabric, to which packets for clients are sent.
    pub fabric: SocketAddr,
    /// The target that this agent is co-located with.
    pub target: TargetId,
    /// Largest number of half-open flows; further opening packets are dropped.
    pub half_open_limit: usize,
    /// Targets whose load is compared for one new flow; with 1, the owner of the flow's bucket
    /// admits every flow.
    pub candidates: u8,
    /// Seconds that a graceful shutdown waits for open flows; unlimited by default.
    pub stop_deadline_seconds: Option<u64>,
}

/// Default limit on the half-open flows of one agent.
const DEFAULT_HALF_OPEN_LIMIT: usize = 256;
/// Default number of targets whose load is compared for one new flow.
const DEFAULT_CANDIDATES: u8 = 3;
/// Default number of packets per system call.
const DEFAULT_BATCH: usize = 32;
/// Largest number of packets per system call.
const MAXIMUM_BATCH: usize = 256;
/// Default listen address: loopback with any free port.
const DEFAULT_LISTEN: &str = "127.0.0.1:0";

/// The fields of a settings file before validation. Each can also be given by a command-line flag
/// of the same name with `-` for `_`. Unknown fields are rejected.
#[derive(Clone, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RawSettings {
    /// See [`CommonSettings::name`].
    pub name: Option<String>,
    /// See [`CommonSettings::zone`].
    pub zone: Option<String>,
    /// See [`CommonSettings::listen`].
    pub listen: Option<String>,
    /// See [`CommonSettings::admin`].
    pub admin: Option<String>,
    /// See [`CommonSettings::platform`].
    pub platform: Option<String>,
    /// See [`CommonSettings::keys_file`].
    pub keys_file: Option<String>,
    /// See [`BalancerSettings::batch`].
    pub batch: Option<u64>,
    /// See [`BalancerSettings::control`].
    pub control: Option<String>,
    /// See [`BalancerSettings::api`].
    pub api: Option<String>,
    /// See [`BalancerSettings::peers`]; separated by commas.
    pub peers: Option<String>,
    /// See [`BalancerSettings::found_group`].
    pub found_group: Option<bool>,
    /// See [`AgentSettings::fabric`].
    pub fabric: Option<String>,
    /// See [`AgentSettings::target`].
    pub target: Option<u64>,
    /// See [`AgentSettings::half_open_limit`].
    pub half_open_limit: Option<u64>,
    /// See [`AgentSettings::candidates`].
    pub candidates: Option<u64>,
    /// See [`AgentSettings::stop_deadline_seconds`].
    pub stop_deadline_seconds: Option<u64>,
}

impl RawSettings {
    /// Reads and parses a settings file.
    ///
    /// # Errors
    /// Returns an error that names the file, the line and the field.
    pub fn from_file(path: &str) -> Result<Self, ConfigError> {
        parse::from_toml(path, &parse::read_file(path)?)
    }

    /// Returns these settings with every value that is set in `flags` replaced by it.
    pub fn overridden_by(self, flags: RawSettings) -> Self {
        Self {
            name: flags.name.or(self.name),
            zone: flags.zone.or(self.zone),
            listen: flags.listen.or(self.listen),
            admin: flags.admin.or(self.admin),
            platform: flags.platform.or(self.platform),
            keys_file: flags.keys_file.or(self.keys_file),
            batch: flags.batch.or(self.batch),
            control: flags.control.or(self.control),
            api: flags.api.or(self.api),
            peers: flags.peers.or(self.peers),
            found_group: flags.found_group.or(self.found_group),
            fabric: flags.fabric.or(self.fabric),
            target: flags.target.or(self.target),
            half_open_limit: flags.half_open_limit.or(self.half_open_limit),
            candidates: flags.candidates.or(self.candidates),
            stop_deadline_seconds: flags.stop_deadline_seconds.or(self.stop_deadline_seconds),
        }
    }

    /// Validates the settings of a balancer. `file` appears in errors.
    ///
    /// # Errors
    /// Returns an error that names the first missing or invalid field.
    pub fn into_balancer(self, file: &str) -> Result<BalancerSettings, ConfigError> {
        let batch = bounded_number(
            file,
            "batch",
            self.batch,
            DEFAULT_BATCH as u64,
            1,
            MAXIMUM_BATCH as u64,
        )?;
        reject_field(file, "fabric", self.fabric.is_some())?;
        reject_field(file, "target", self.target.is_some())?;
        let control =
            parse_address(file, "control", self.control.as_deref(), Some(DEFAULT_LISTEN))?;
        let api = parse_address(file, "api", self.api.as_deref(), Some(DEFAULT_LISTEN))?;
        let found_group = self.found_group.unwrap_or(false);
        let peers = parse_addresses(file, "peers", self.peers.as_deref())?;
        let common = self.into_common(file, "balancer")?;
        Ok(BalancerSettings { common, batch: batch as usize, control, api, peers, found_group })
    }

    /// Validates the settings of an agent. `file` appears in errors.
    ///
    /// # Errors
    /// Returns an error that names the first missing or invalid field.
    pub fn into_agent(self, file: &str) -> Result<AgentSettings, ConfigError> {
        reject_field(file, "batch", self.batch.is_some())?;
        reject_field(file, "control", self.control.is_some())?;
        reject_field(file, "api", self.api.is_some())?;
        reject_field(file, "peers", self.peers.is_some())?;
        reject_field(file, "found_group", self.found_group.is_some())?;
        let fabric = parse_address(file, "fabric", self.fabric.as_deref(), None)?;
        let target = self.target.ok_or_else(|| missing_field(file, "target", "a target's id"))?;
        check_bounds(file, "target", target, 0, u64::from(MAXIMUM_TARGET_ID))?;
        let half_open_limit = bounded_number(
            file,
            "half_open_limit",
            self.half_open_limit,
            DEFAULT_HALF_OPEN_LIMIT as u64,
            1,
            u64::from(u16::MAX),
        )?;
        let candidates = bounded_number(
            file,
            "candidates",
            self.candidates,
            u64::from(DEFAULT_CANDIDATES),
            1,
            8,
        )?;
        let stop_deadline_seconds = self.stop_deadline_seconds;
        let common = self.into_common(file, "agent")?;
        Ok(AgentSettings {
            common,
            fabric,
            target: TargetId(target as u16),
            half_open_limit: half_open_limit as usize,
            candidates: candidates as u8,
            stop_deadline_seconds,
        })
    }

    fn into_common(self, file: &str, role: &str) -> Result<CommonSettings, ConfigError> {
        Ok(CommonSettings {
            listen: parse_address(file, "listen", self.listen.as_deref(), Some(DEFAULT_LISTEN))?,
            admin: parse_address(file, "admin", self.admin.as_deref(), Some(DEFAULT_LISTEN))?,
            platform: parse_address(file, "platform", self.platform.as_deref(), None)?,
            keys_file: self
                .keys_file
                .ok_or_else(|| missing_field(file, "keys_file", "the path of the keys file"))?,
            zone: self.zone.ok_or_else(|| missing_field(file, "zone", "the name of a zone"))?,
            name: self.name.unwrap_or_else(|| role.to_owned()),
        })
    }
}

fn missing_field(file: &str, field: &str, expected: &str) -> ConfigError {
    ConfigError::field(file, field, "nothing", expected)
}

fn reject_field(file: &str, field: &str, present: bool) -> Result<(), ConfigError> {
    if present {
        return Err(ConfigError::field(
            file,
            field,
            "a value",
            "no value, as this role has no such field",
        ));
    }
    Ok(())
}

fn parse_address(
    file: &str,
    field: &str,
    value: Option<&str>,
    default: Option<&str>,
) -> Result<SocketAddr, ConfigError> {
    let expected = "an IP address and port, such as 127.0.0.1:7000";
    let text = value.or(default).ok_or_else(|| missing_field(file, field, expected))?;
    text.parse().map_err(|_| ConfigError::field(file, field, format!("{text:?}"), expected))
}

fn parse_addresses(
    file: &str,
    field: &str,
    value: Option<&str>,
) -> Result<Vec<SocketAddr>, ConfigError> {
    let parts = value.unwrap_or_default().split(',').map(str::trim);
    parts
        .filter(|text| !text.is_empty())
        .map(|text| parse_address(file, field, Some(text), None))
        .collect()
}

fn bounded_number(
    file: &str,
    field: &str,
    value: Option<u64>,
    default: u64,
    minimum: u64,
    maximum: u64,
) -> Result<u64, ConfigError> {
    let value = value.unwrap_or(default);
    check_bounds(file, field, value, minimum, maximum)?;
    Ok(value)
}

fn check_bounds(
    file: &str,
    field: &str,
    value: u64,
    minimum: u64,
    maximum: u64,
) -> Result<(), ConfigError> {
    if (minimum..=maximum).contains(&value) {
        return Ok(());
    }
    Err(ConfigError::field(file, field, value, format!("a number from {minimum} to {maximum}")))
}
