//! Settings of the relay's daemons: a TOML file.

use std::collections::HashMap;
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4};

use serde::Deserialize;
use weirhinge_config::parse::{self, ConfigError};
use weirhinge_fleet::{Bounds, Timing};
use weirhinge_steering::Locality;

/// Longest bound that settings may state, in milliseconds.
pub const LONGEST_BOUND_MS: u64 = 600_000;
/// Most processors, and most of one processor's time, that settings may state.
const MOST_PROCESSORS: f64 = 1_024.0;
/// Fastest link that settings may state, in megabits a second.
const FASTEST_LINK_MBPS: f64 = 1_000_000.0;
/// Most times that settings may let a cold target get what it bears.
const MOST_OVERSHOOT: f64 = 1_000.0;
/// Most new flows beyond that.
const MOST_SLACK: f64 = 1_000_000.0;
/// Longest planned stop when the settings state none, in milliseconds.
const DEFAULT_STOP_LIMIT_MS: u64 = 5_000;

/// The fields of a settings file. Unknown fields are refused.
#[derive(Clone, Debug, Default, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RawSettings {
    /// See [`CommonSettings::name`].
    pub name: Option<String>,
    /// See [`CommonSettings::zone`].
    pub zone: Option<String>,
    /// Region that the process runs in.
    pub region: Option<String>,
    /// The region of each zone. Targets in other regions are used only where those
    /// in this one are busy; a zone that is not named counts as near.
    pub regions: Option<HashMap<String, String>>,
    /// See [`CommonSettings::address`].
    pub address: Option<String>,
    /// See [`CommonSettings::packets`].
    pub packets: Option<String>,
    /// See [`CommonSettings::readiness`].
    pub readiness: Option<String>,
    /// See [`CommonSettings::metrics`].
    pub metrics: Option<String>,
    /// See [`CommonSettings::peer_port`].
    pub peer_port: Option<u16>,
    /// See [`CommonSettings::seeds`].
    pub seeds: Option<Vec<String>>,
    /// See [`CommonSettings::store`].
    pub store: Option<String>,
    /// See [`CommonSettings::stop_limit_ms`], in seconds.
    pub stop_limit_s: Option<f64>,
    /// See [`Bounds::change_ms`]; at most [`LONGEST_BOUND_MS`].
    pub change_bound_ms: Option<u64>,
    /// See [`Bounds::drain_ms`]; at most [`LONGEST_BOUND_MS`].
    pub drain_bound_ms: Option<u64>,
    /// See [`Bounds::evacuation_ms`]; at most [`LONGEST_BOUND_MS`].
    pub evacuation_bound_ms: Option<u64>,
    /// How many times what a cold target bears a second may bring; at least 1.
    pub cold_overshoot: Option<f64>,
    /// New flows that a second may bring to a cold target beyond that.
    pub cold_slack: Option<f64>,
    /// See [`Bounds::renewal_ms`]; at most [`LONGEST_BOUND_MS`].
    pub renewal_ms: Option<u64>,
    /// Part of one processor's time that the process may use, above 0.
    pub processor_share: Option<f64>,
    /// How many times as much it gets; 1 if not given.
    pub processors: Option<f64>,
    /// Rate of the machine's link in megabits a second, above 0.
    pub link_mbps: Option<f64>,
    /// See [`AgentSettings::target`].
    pub target: Option<String>,
    /// See [`AgentSettings::target_output`].
    pub target_output: Option<String>,
    /// See [`AgentSettings::service`].
    pub service: Option<String>,
}

/// Settings that both roles have.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CommonSettings {
    /// Name shown in logs.
    pub name: String,
    /// Zone that the process runs in.
    pub zone: String,
    /// Which zones are near.
    pub locality: Locality,
    /// Address of the machine.
    pub address: Ipv4Addr,
    /// UDP address of clients' packets. Clients listen on the same port.
    pub packets: SocketAddrV4,
    /// TCP address at which readiness is asked for.
    pub readiness: SocketAddrV4,
    /// TCP address of metrics; none if they are not served.
    pub metrics: Option<SocketAddrV4>,
    /// UDP and TCP port that daemons talk to each other on, alike on all machines.
    pub peer_port: u16,
    /// Machines where balancers may be found; some may be down or gone.
    pub seeds: Vec<Ipv4Addr>,
    /// TCP address of the platform's store.
    pub store: SocketAddr,
    /// Milliseconds that a planned stop may take.
    pub stop_limit_ms: u64,
    /// Waits that keep the deployment's bounds.
    pub timing: Timing,
    /// Processor time that the process may use, in thousandths of a processor; none
    /// if not known. Balancers of a zone are compared by it.
    pub capacity: Option<u32>,
    /// Rate of the machine's link in kilobits a second; none if not known. Searches for
    /// lost flows fill no more than a part of it.
    pub link_kbps: Option<u32>,
}

/// Settings of a balancer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct BalancerSettings {
    /// What both roles have.
    pub common: CommonSettings,
}

/// Settings of an agent.
#[derive(Clone, Debug, PartialEq)]
pub struct AgentSettings {
    /// What both roles have.
    pub common: CommonSettings,
    /// UDP address at which the target takes packets.
    pub target: SocketAddrV4,
    /// UDP address to which the target sends its packets.
    pub target_output: SocketAddrV4,
    /// Name of the target's service.
    pub service: String,
    /// How many times what a cold target bears a second may bring.
    pub cold_overshoot: f64,
    /// New flows that a second may bring to a cold target beyond that.
    pub cold_slack: f64,
}

impl RawSettings {
    /// Reads a settings file.
    ///
    /// # Errors
    /// Names the file, the line and the field.
    pub fn from_file(path: &str) -> Result<Self, ConfigError> {
        parse::from_toml(path, &parse::read_file(path)?)
    }

    /// Checks the settings of a balancer.
    ///
    /// # Errors
    /// Names the file, the field, what was found and what was expected.
    pub fn into_balancer(self, file: &str) -> Result<BalancerSettings, ConfigError> {
        Ok(BalancerSettings { common: self.common(file)? })
    }

    /// Checks the settings of an agent.
    ///
    /// # Errors
    /// Names the file, the field, what was found and what was expected.
    pub fn into_agent(self, file: &str) -> Result<AgentSettings, ConfigError> {
        Ok(AgentSettings {
            common: self.common(file)?,
            target: endpoint(file, "target", self.target.as_deref())?,
            target_output: endpoint(file, "target_output", self.target_output.as_deref())?,
            service: text(file, "service", self.service.as_deref())?,
            cold_overshoot: number(
                file,
                "cold_overshoot",
                self.cold_overshoot,
                1.0,
                MOST_OVERSHOOT,
            )?,
            cold_slack: number(file, "cold_slack", self.cold_slack, 0.0, MOST_SLACK)?,
        })
    }

    fn common(&self, file: &str) -> Result<CommonSettings, ConfigError> {
        let address = text(file, "address", self.address.as_deref())?;
        let address = address
            .parse()
            .map_err(|_| ConfigError::field(file, "address", &address, "an IPv4 address"))?;
        let metrics = match self.metrics.as_deref() {
            None | Some("") => None,
            metrics => Some(endpoint(file, "metrics", metrics)?),
        };
        Ok(CommonSettings {
            name: text(file, "name", self.name.as_deref())?,
            zone: text(file, "zone", self.zone.as_deref())?,
            locality: self.checked_locality(file)?,
            address,
            packets: endpoint(file, "packets", self.packets.as_deref())?,
            readiness: endpoint(file, "readiness", self.readiness.as_deref())?,
            metrics,
            peer_port: self.checked_peer_port(file)?,
            seeds: self.checked_seeds(file)?,
            store: endpoint(file, "store", self.store.as_deref())?.into(),
            stop_limit_ms: self.checked_stop_limit(file)?,
            timing: self.checked_timing(file)?,
            capacity: self.checked_capacity(file)?,
            link_kbps: self.checked_link(file)?,
        })
    }

    fn checked_capacity(&self, file: &str) -> Result<Option<u32>, ConfigError> {
        let checked = |field: &str, value: f64| {
            let is_valid = value.is_finite() && value > 0.0 && value <= MOST_PROCESSORS;
            let expected = format!("above 0, at most {MOST_PROCESSORS}");
            let refused = || ConfigError::field(file, field, value, expected);
            if is_valid { Ok(value) } else { Err(refused()) }
        };
        let processors = checked("processors", self.processors.unwrap_or(1.0))?;
        let Some(share) = self.processor_share else { return Ok(None) };
        let share = checked("processor_share", share)?;
        // At most MOST_PROCESSORS squared, in thousandths.
        Ok(Some((share * processors * 1_000.0).ceil() as u32))
    }

    fn checked_link(&self, file: &str) -> Result<Option<u32>, ConfigError> {
        let Some(rate) = self.link_mbps else { return Ok(None) };
        if !(rate.is_finite() && rate > 0.0 && rate <= FASTEST_LINK_MBPS) {
            let expected = format!("above 0, at most {FASTEST_LINK_MBPS}");
            return Err(ConfigError::field(file, "link_mbps", rate, expected));
        }
        // In range by the check above.
        Ok(Some((rate * 1_000.0).ceil() as u32))
    }

    fn checked_peer_port(&self, file: &str) -> Result<u16, ConfigError> {
        match self.peer_port {
            Some(port) if port > 0 => Ok(port),
            Some(port) => Err(ConfigError::field(file, "peer_port", port, "1 to 65535")),
            None => Err(ConfigError::field(file, "peer_port", "nothing", "1 to 65535")),
        }
    }

    fn checked_seeds(&self, file: &str) -> Result<Vec<Ipv4Addr>, ConfigError> {
        let seeds = self.seeds.iter().flatten().enumerate();
        seeds
            .map(|(place, seed)| {
                let field = format!("seeds[{place}]");
                endpoint(file, &field, Some(seed)).map(|seed| *seed.ip())
            })
            .collect()
    }

    fn checked_locality(&self, file: &str) -> Result<Locality, ConfigError> {
        let zone = text(file, "zone", self.zone.as_deref())?;
        let Some(regions) = &self.regions else {
            return Ok(Locality::new(zone, String::new(), HashMap::new()));
        };
        let region = text(file, "region", self.region.as_deref())?;
        Ok(Locality::new(zone, region, regions.clone()))
    }

    fn checked_timing(&self, file: &str) -> Result<Timing, ConfigError> {
        let default = Bounds::default();
        let bound = |field: &str, value: Option<u64>, default| match value {
            None => Ok(default),
            Some(value) if (1..=LONGEST_BOUND_MS).contains(&value) => Ok(value),
            Some(value) => {
                let expected = format!("1 to {LONGEST_BOUND_MS} milliseconds");
                Err(ConfigError::field(file, field, value, expected))
            }
        };
        Ok(Timing::new(&Bounds {
            change_ms: bound("change_bound_ms", self.change_bound_ms, default.change_ms)?,
            evacuation_ms: bound(
                "evacuation_bound_ms",
                self.evacuation_bound_ms,
                default.evacuation_ms,
            )?,
            drain_ms: bound("drain_bound_ms", self.drain_bound_ms, default.drain_ms)?,
            renewal_ms: bound("renewal_ms", self.renewal_ms, default.renewal_ms)?,
        }))
    }

    fn checked_stop_limit(&self, file: &str) -> Result<u64, ConfigError> {
        let Some(seconds) = self.stop_limit_s else { return Ok(DEFAULT_STOP_LIMIT_MS) };
        if !(seconds.is_finite() && (0.0..=3_600.0).contains(&seconds)) {
            return Err(ConfigError::field(file, "stop_limit_s", seconds, "0 to 3600 seconds"));
        }
        // In range by the check above.
        Ok((seconds * 1_000.0) as u64)
    }
}

fn text(file: &str, field: &str, value: Option<&str>) -> Result<String, ConfigError> {
    match value {
        Some(value) if !value.trim().is_empty() => Ok(value.to_owned()),
        Some(value) => Err(ConfigError::field(file, field, format!("{value:?}"), "some text")),
        None => Err(ConfigError::field(file, field, "nothing", "some text")),
    }
}

/// A number from `least`, which holds if none is given, to `most`.
fn number(
    file: &str,
    field: &str,
    value: Option<f64>,
    least: f64,
    most: f64,
) -> Result<f64, ConfigError> {
    let value = value.unwrap_or(least);
    if (least..=most).contains(&value) {
        return Ok(value);
    }
    Err(ConfigError::field(file, field, value, format!("{least} to {most}")))
}

fn endpoint(file: &str, field: &str, value: Option<&str>) -> Result<SocketAddrV4, ConfigError> {
    let value = text(file, field, value)?;
    value.parse().map_err(|_| {
        ConfigError::field(file, field, format!("{value:?}"), "an IPv4 address and port")
    })
}
