//! Settings of the relay daemons, read from a TOML file.

use std::collections::HashMap;
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4};

use serde::Deserialize;
use weirhinge_config::parse::{self, ConfigError};
use weirhinge_fleet::{Bounds, Timing};
use weirhinge_steering::Locality;

/// Maximum of each time bound in the settings, in milliseconds.
pub const MAX_BOUND_MS: u64 = 600_000;
/// Maximum of [`RawSettings::processors`] and of [`RawSettings::processor_share`].
const MAX_PROCESSORS: f64 = 1_024.0;
/// Maximum of [`RawSettings::link_mbps`], in megabits per second.
const MAX_LINK_MBPS: f64 = 1_000_000.0;
/// Maximum of [`RawSettings::cold_overshoot`].
const MAX_COLD_OVERSHOOT: f64 = 1_000.0;
/// Maximum of [`RawSettings::cold_slack`].
const MAX_COLD_SLACK: f64 = 1_000_000.0;
/// Time limit of a planned stop if the settings contain none, in milliseconds.
const DEFAULT_STOP_LIMIT_MS: u64 = 5_000;

/// The fields of a settings file before validation. Unknown fields are rejected.
#[derive(Clone, Debug, Default, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RawSettings {
    /// See [`CommonSettings::name`].
    pub name: Option<String>,
    /// See [`CommonSettings::zone`].
    pub zone: Option<String>,
    /// Region that the process runs in; required if [`Self::regions`] is set.
    pub region: Option<String>,
    /// The region of each zone. Targets in other regions are used only while those in this region
    /// are busy. A zone that is not listed counts as near.
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
    /// See [`CommonSettings::stop_limit_ms`]; in seconds, at most one hour.
    pub stop_limit_s: Option<f64>,
    /// See [`Bounds::change_ms`]; at most [`MAX_BOUND_MS`].
    pub change_bound_ms: Option<u64>,
    /// See [`Bounds::drain_ms`]; at most [`MAX_BOUND_MS`].
    pub drain_bound_ms: Option<u64>,
    /// See [`Bounds::evacuation_ms`]; at most [`MAX_BOUND_MS`].
    pub evacuation_bound_ms: Option<u64>,
    /// See [`AgentSettings::cold_overshoot`]; 1 if not set, at least 1.
    pub cold_overshoot: Option<f64>,
    /// See [`AgentSettings::cold_slack`]; 0 if not set.
    pub cold_slack: Option<f64>,
    /// See [`Bounds::renewal_ms`]; at most [`MAX_BOUND_MS`].
    pub renewal_ms: Option<u64>,
    /// Share of one processor's time that the process may use, above 0.
    pub processor_share: Option<f64>,
    /// Factor by which [`Self::processor_share`] is multiplied, above 0; 1 if not given.
    pub processors: Option<f64>,
    /// Rate of the machine's link in megabits per second, above 0.
    pub link_mbps: Option<f64>,
    /// See [`AgentSettings::target`].
    pub target: Option<String>,
    /// See [`AgentSettings::target_output`].
    pub target_output: Option<String>,
    /// See [`AgentSettings::service`].
    pub service: Option<String>,
}

/// Settings of both roles.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CommonSettings {
    /// Name of the daemon in logs.
    pub name: String,
    /// Zone that the process runs in.
    pub zone: String,
    /// The daemon's zone and region, and the region of each zone.
    pub locality: Locality,
    /// IP address of the machine.
    pub address: Ipv4Addr,
    /// UDP address for packets from clients. Clients listen on the same port.
    pub packets: SocketAddrV4,
    /// TCP address of the readiness endpoint.
    pub readiness: SocketAddrV4,
    /// TCP address of the metrics endpoint; `None` if metrics are not served.
    pub metrics: Option<SocketAddrV4>,
    /// UDP and TCP port for traffic between daemons, the same on all machines.
    pub peer_port: u16,
    /// Machines that may run balancers; some may be down or removed.
    pub seeds: Vec<Ipv4Addr>,
    /// TCP address of the platform's store.
    pub store: SocketAddr,
    /// Time limit of a planned stop, in milliseconds.
    pub stop_limit_ms: u64,
    /// Intervals and time limits derived from the deployment's bounds.
    pub timing: Timing,
    /// Processor time that the process may use, in thousandths of a processor; `None` if
    /// unknown. Balancers of a zone are compared by it.
    pub processor_permille: Option<u32>,
    /// Rate of the machine's link in kilobits per second; `None` if unknown. Limits the traffic
    /// of searches for lost flows to a part of it.
    pub link_kbps: Option<u32>,
}

/// Settings of a balancer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct BalancerSettings {
    /// The settings of both roles.
    pub common: CommonSettings,
}

/// Settings of an agent.
#[derive(Clone, Debug, PartialEq)]
pub struct AgentSettings {
    /// The settings of both roles.
    pub common: CommonSettings,
    /// UDP address on which the target receives packets.
    pub target: SocketAddrV4,
    /// UDP address to which the target sends its packets.
    pub target_output: SocketAddrV4,
    /// Name of the target's service.
    pub service: String,
    /// Factor by which the service's limit of new flows per second to a cold target is multiplied.
    pub cold_overshoot: f64,
    /// New flows per second that are added to the multiplied limit.
    pub cold_slack: f64,
}

impl RawSettings {
    /// Reads and parses a settings file.
    ///
    /// # Errors
    /// When the file cannot be read or parsed; the error names the file, the line and the field.
    pub fn from_file(path: &str) -> Result<Self, ConfigError> {
        parse::from_toml(path, &parse::read_file(path)?)
    }

    /// Validates the settings of a balancer.
    ///
    /// # Errors
    /// When a field is missing or invalid; the error names the file, the field, the value found
    /// and the values expected.
    pub fn into_balancer(self, file: &str) -> Result<BalancerSettings, ConfigError> {
        Ok(BalancerSettings { common: self.parse_common(file)? })
    }

    /// Validates the settings of an agent.
    ///
    /// # Errors
    /// When a field is missing or invalid; the error names the file, the field, the value found
    /// and the values expected.
    pub fn into_agent(self, file: &str) -> Result<AgentSettings, ConfigError> {
        Ok(AgentSettings {
            common: self.parse_common(file)?,
            target: parse_endpoint(file, "target", self.target.as_deref())?,
            target_output: parse_endpoint(file, "target_output", self.target_output.as_deref())?,
            service: parse_text(file, "service", self.service.as_deref())?,
            cold_overshoot: parse_number(
                file,
                "cold_overshoot",
                self.cold_overshoot,
                1.0,
                MAX_COLD_OVERSHOOT,
            )?,
            cold_slack: parse_number(file, "cold_slack", self.cold_slack, 0.0, MAX_COLD_SLACK)?,
        })
    }

    fn parse_common(&self, file: &str) -> Result<CommonSettings, ConfigError> {
        let address = parse_text(file, "address", self.address.as_deref())?;
        let address = address
            .parse()
            .map_err(|_| ConfigError::field(file, "address", &address, "an IPv4 address"))?;
        let metrics = match self.metrics.as_deref() {
            None | Some("") => None,
            metrics => Some(parse_endpoint(file, "metrics", metrics)?),
        };
        Ok(CommonSettings {
            name: parse_text(file, "name", self.name.as_deref())?,
            zone: parse_text(file, "zone", self.zone.as_deref())?,
            locality: self.parse_locality(file)?,
            address,
            packets: parse_endpoint(file, "packets", self.packets.as_deref())?,
            readiness: parse_endpoint(file, "readiness", self.readiness.as_deref())?,
            metrics,
            peer_port: self.parse_peer_port(file)?,
            seeds: self.parse_seeds(file)?,
            store: parse_endpoint(file, "store", self.store.as_deref())?.into(),
            stop_limit_ms: self.parse_stop_limit_ms(file)?,
            timing: self.parse_timing(file)?,
            processor_permille: self.parse_processor_permille(file)?,
            link_kbps: self.parse_link_kbps(file)?,
        })
    }

    fn parse_processor_permille(&self, file: &str) -> Result<Option<u32>, ConfigError> {
        let check_range = |field: &str, value: f64| {
            let is_valid = value.is_finite() && value > 0.0 && value <= MAX_PROCESSORS;
            let expected = format!("above 0, at most {MAX_PROCESSORS}");
            let error = || ConfigError::field(file, field, value, expected);
            if is_valid { Ok(value) } else { Err(error()) }
        };
        let processors = check_range("processors", self.processors.unwrap_or(1.0))?;
        let Some(share) = self.processor_share else { return Ok(None) };
        let share = check_range("processor_share", share)?;
        // Fits in u32: at most MAX_PROCESSORS squared, in thousandths.
        Ok(Some((share * processors * 1_000.0).ceil() as u32))
    }

    fn parse_link_kbps(&self, file: &str) -> Result<Option<u32>, ConfigError> {
        let Some(rate) = self.link_mbps else { return Ok(None) };
        if !(rate.is_finite() && rate > 0.0 && rate <= MAX_LINK_MBPS) {
            let expected = format!("above 0, at most {MAX_LINK_MBPS}");
            return Err(ConfigError::field(file, "link_mbps", rate, expected));
        }
        // Fits in u32, as the range was checked above.
        Ok(Some((rate * 1_000.0).ceil() as u32))
    }

    fn parse_peer_port(&self, file: &str) -> Result<u16, ConfigError> {
        match self.peer_port {
            Some(port) if port > 0 => Ok(port),
            Some(port) => Err(ConfigError::field(file, "peer_port", port, "1 to 65535")),
            None => Err(ConfigError::field(file, "peer_port", "nothing", "1 to 65535")),
        }
    }

    fn parse_seeds(&self, file: &str) -> Result<Vec<Ipv4Addr>, ConfigError> {
        let seeds = self.seeds.iter().flatten().enumerate();
        seeds
            .map(|(index, seed)| {
                let field = format!("seeds[{index}]");
                parse_endpoint(file, &field, Some(seed)).map(|seed| *seed.ip())
            })
            .collect()
    }

    fn parse_locality(&self, file: &str) -> Result<Locality, ConfigError> {
        let zone = parse_text(file, "zone", self.zone.as_deref())?;
        let Some(regions) = &self.regions else {
            return Ok(Locality::new(zone, String::new(), HashMap::new()));
        };
        let region = parse_text(file, "region", self.region.as_deref())?;
        Ok(Locality::new(zone, region, regions.clone()))
    }

    fn parse_timing(&self, file: &str) -> Result<Timing, ConfigError> {
        let default = Bounds::default();
        let bound = |field: &str, value: Option<u64>, default| match value {
            None => Ok(default),
            Some(value) if (1..=MAX_BOUND_MS).contains(&value) => Ok(value),
            Some(value) => {
                let expected = format!("1 to {MAX_BOUND_MS} milliseconds");
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

    fn parse_stop_limit_ms(&self, file: &str) -> Result<u64, ConfigError> {
        let Some(seconds) = self.stop_limit_s else { return Ok(DEFAULT_STOP_LIMIT_MS) };
        if !(seconds.is_finite() && (0.0..=3_600.0).contains(&seconds)) {
            return Err(ConfigError::field(file, "stop_limit_s", seconds, "0 to 3600 seconds"));
        }
        // Fits in u64, as the range was checked above.
        Ok((seconds * 1_000.0) as u64)
    }
}

fn parse_text(file: &str, field: &str, value: Option<&str>) -> Result<String, ConfigError> {
    match value {
        Some(value) if !value.trim().is_empty() => Ok(value.to_owned()),
        Some(value) => Err(ConfigError::field(file, field, format!("{value:?}"), "some text")),
        None => Err(ConfigError::field(file, field, "nothing", "some text")),
    }
}

/// Parses a number from `min` to `max`; `min` is the default.
fn parse_number(
    file: &str,
    field: &str,
    value: Option<f64>,
    min: f64,
    max: f64,
) -> Result<f64, ConfigError> {
    let value = value.unwrap_or(min);
    if (min..=max).contains(&value) {
        return Ok(value);
    }
    Err(ConfigError::field(file, field, value, format!("{min} to {max}")))
}

fn parse_endpoint(
    file: &str,
    field: &str,
    value: Option<&str>,
) -> Result<SocketAddrV4, ConfigError> {
    let value = parse_text(file, field, value)?;
    value.parse().map_err(|_| {
        ConfigError::field(file, field, format!("{value:?}"), "an IPv4 address and port")
    })
}
