//! Settings of one process: a TOML file, overridden field by field by flags.

use std::net::SocketAddr;

use serde::Deserialize;

use crate::document::{MAXIMUM_TARGET_ID, TargetId};
use crate::parse::{self, ConfigError};

/// Settings that every daemon has.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CommonSettings {
    /// Name shown in logs.
    pub name: String,
    /// Zone that the process runs in.
    pub zone: String,
    /// UDP address at which the data path's packets arrive.
    pub listen: SocketAddr,
    /// TCP address of health and metrics.
    pub admin: SocketAddr,
    /// TCP address of the platform's configuration service.
    pub platform: SocketAddr,
    /// Path of the keys file.
    pub keys_file: String,
}

/// Settings of `weirhinge balancer`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct BalancerSettings {
    /// What both roles have.
    pub common: CommonSettings,
    /// Most packets that one system call receives or sends; 1 turns batching off.
    pub batch: usize,
    /// TCP address at which other balancers talk about the configuration.
    pub control: SocketAddr,
    /// TCP address of the resource API; loopback only.
    pub api: SocketAddr,
    /// Control addresses of some other balancers, to find the group by when the
    /// platform is away.
    pub peers: Vec<SocketAddr>,
    /// Whether this balancer founds a group when it finds none. Set on one
    /// balancer of a deployment, once.
    pub found_group: bool,
}

/// Settings of `weirhinge agent`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AgentSettings {
    /// What both roles have.
    pub common: CommonSettings,
    /// UDP address of the fabric, to which answers go.
    pub fabric: SocketAddr,
    /// The target that this agent stands beside.
    pub target: TargetId,
    /// Flows that may be opening at once; more are dropped.
    pub half_open_limit: usize,
    /// Targets compared for one new flow; 1 keeps every flow at its bucket's owner.
    pub candidates: u8,
    /// Seconds that a planned stop waits for open flows; no limit unless stated.
    pub stop_deadline_seconds: Option<u64>,
}

/// Default bound on flows that are opening at once, per agent.
const DEFAULT_HALF_OPEN_LIMIT: usize = 256;
/// Default number of targets compared for one new flow.
const DEFAULT_CANDIDATES: u8 = 3;
/// Default number of packets per system call.
const DEFAULT_BATCH: usize = 32;
/// Largest number of packets per system call.
const MAXIMUM_BATCH: usize = 256;
/// Address used where no address is stated: loopback, any free port.
const DEFAULT_LISTEN: &str = "127.0.0.1:0";

/// The fields of a settings file; every one may also come from a flag of the
/// same name with `-` for `_`. Unknown fields are refused.
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
    /// Reads a settings file.
    ///
    /// # Errors
    /// Names the file, the line and the field.
    pub fn from_file(path: &str) -> Result<Self, ConfigError> {
        parse::from_toml(path, &parse::read_file(path)?)
    }

    /// Lays `flags` over these settings; a flag that is present wins.
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

    /// Checks the settings of a balancer. `file` appears in errors.
    ///
    /// # Errors
    /// Names the first field that is missing or cannot be used.
    pub fn into_balancer(self, file: &str) -> Result<BalancerSettings, ConfigError> {
        let batch =
            number(file, "batch", self.batch, DEFAULT_BATCH as u64, 1, MAXIMUM_BATCH as u64)?;
        refuse_field(file, "fabric", self.fabric.is_some())?;
        refuse_field(file, "target", self.target.is_some())?;
        let control = address(file, "control", self.control.as_deref(), Some(DEFAULT_LISTEN))?;
        let api = address(file, "api", self.api.as_deref(), Some(DEFAULT_LISTEN))?;
        let found_group = self.found_group.unwrap_or(false);
        let peers = addresses(file, "peers", self.peers.as_deref())?;
        let common = self.common(file, "balancer")?;
        Ok(BalancerSettings { common, batch: batch as usize, control, api, peers, found_group })
    }

    /// Checks the settings of an agent. `file` appears in errors.
    ///
    /// # Errors
    /// Names the first field that is missing or cannot be used.
    pub fn into_agent(self, file: &str) -> Result<AgentSettings, ConfigError> {
        refuse_field(file, "batch", self.batch.is_some())?;
        refuse_field(file, "control", self.control.is_some())?;
        refuse_field(file, "api", self.api.is_some())?;
        refuse_field(file, "peers", self.peers.is_some())?;
        refuse_field(file, "found_group", self.found_group.is_some())?;
        let fabric = address(file, "fabric", self.fabric.as_deref(), None)?;
        let target = self.target.ok_or_else(|| missing(file, "target", "a target's id"))?;
        check_bounds(file, "target", target, 0, u64::from(MAXIMUM_TARGET_ID))?;
        let half_open_limit = number(
            file,
            "half_open_limit",
            self.half_open_limit,
            DEFAULT_HALF_OPEN_LIMIT as u64,
            1,
            u64::from(u16::MAX),
        )?;
        let candidates =
            number(file, "candidates", self.candidates, u64::from(DEFAULT_CANDIDATES), 1, 8)?;
        let stop_deadline_seconds = self.stop_deadline_seconds;
        let common = self.common(file, "agent")?;
        Ok(AgentSettings {
            common,
            fabric,
            target: TargetId(target as u16),
            half_open_limit: half_open_limit as usize,
            candidates: candidates as u8,
            stop_deadline_seconds,
        })
    }

    fn common(self, file: &str, role: &str) -> Result<CommonSettings, ConfigError> {
        Ok(CommonSettings {
            listen: address(file, "listen", self.listen.as_deref(), Some(DEFAULT_LISTEN))?,
            admin: address(file, "admin", self.admin.as_deref(), Some(DEFAULT_LISTEN))?,
            platform: address(file, "platform", self.platform.as_deref(), None)?,
            keys_file: self
                .keys_file
                .ok_or_else(|| missing(file, "keys_file", "the path of the keys file"))?,
            zone: self.zone.ok_or_else(|| missing(file, "zone", "the name of a zone"))?,
            name: self.name.unwrap_or_else(|| role.to_owned()),
        })
    }
}

fn missing(file: &str, field: &str, expected: &str) -> ConfigError {
    ConfigError::field(file, field, "nothing", expected)
}

fn refuse_field(file: &str, field: &str, present: bool) -> Result<(), ConfigError> {
    if present {
        return Err(ConfigError::field(file, field, "a value", "no such field for this role"));
    }
    Ok(())
}

fn address(
    file: &str,
    field: &str,
    value: Option<&str>,
    default: Option<&str>,
) -> Result<SocketAddr, ConfigError> {
    let expected = "an IP address and port, such as 127.0.0.1:7000";
    let text = value.or(default).ok_or_else(|| missing(file, field, expected))?;
    text.parse().map_err(|_| ConfigError::field(file, field, format!("{text:?}"), expected))
}

fn addresses(file: &str, field: &str, value: Option<&str>) -> Result<Vec<SocketAddr>, ConfigError> {
    let texts = value.unwrap_or_default().split(',').map(str::trim);
    texts
        .filter(|text| !text.is_empty())
        .map(|text| address(file, field, Some(text), None))
        .collect()
}

fn number(
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
