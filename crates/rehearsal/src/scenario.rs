//! The description of a rehearsal: a TOML file that is validated when loaded.

use std::net::IpAddr;

use serde::Deserialize;
use weirhinge_config::ConfigError;
use weirhinge_config::parse;

/// The scenarios that are compiled in, by name.
const SHIPPED: [(&str, &str); 4] = [
    ("bluebonnet", include_str!("../scenarios/bluebonnet.toml")),
    ("chakula", include_str!("../scenarios/chakula.toml")),
    ("bluebonnet-night", include_str!("../scenarios/bluebonnet-night.toml")),
    ("chakula-night", include_str!("../scenarios/chakula-night.toml")),
];

/// A fleet, its network, the load on it and the faults injected into it.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Scenario {
    /// Human-readable summary, printed by `rehearse list`.
    pub description: String,
    /// Duration of the load, in seconds.
    pub seconds: u64,
    /// Names of the zones that machines run in.
    pub zones: Vec<String>,
    /// Number of balancers, distributed round-robin over the zones.
    pub balancers: usize,
    /// Whether balancers replicate the configuration by consensus; changes then
    /// go through their API instead of the platform.
    #[serde(default)]
    pub agreement: bool,
    /// Number of balancers, counted from the first, that read a lagging platform.
    #[serde(default)]
    pub stale_balancers: usize,
    /// Lag of that platform, in milliseconds.
    #[serde(default)]
    pub stale_lag_ms: u64,
    /// Delays, loss and reordering on the networks.
    pub network: Network,
    /// The services under load.
    pub services: Vec<ServiceScenario>,
    /// Schedule of injected faults.
    #[serde(default)]
    pub faults: Vec<Fault>,
}

/// Delay, loss, duplication and reordering on the networks.
#[derive(Clone, Copy, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Network {
    /// One-way delay between clients and machines, in milliseconds.
    pub client_delay_ms: f64,
    /// One-way delay between zones, in milliseconds.
    pub zone_delay_ms: f64,
    /// Share of packets lost between clients and machines, in each direction.
    #[serde(default)]
    pub client_loss: f64,
    /// Share of packets lost between machines.
    #[serde(default)]
    pub zone_loss: f64,
    /// Share of packets that are duplicated.
    #[serde(default)]
    pub duplicate: f64,
    /// Share of packets with an additional delay, so that later ones overtake them.
    #[serde(default)]
    pub reorder: f64,
    /// Maximum additional delay, in milliseconds.
    #[serde(default)]
    pub reorder_delay_ms: f64,
    /// Share of packets of which a copy arrives long after the original.
    #[serde(default)]
    pub late_copy: f64,
    /// Maximum delay of such a copy, in milliseconds.
    #[serde(default)]
    pub late_copy_delay_ms: f64,
    /// Time until the fabric uses a changed machine list, in milliseconds.
    pub fabric_lag_ms: u64,
}

/// One service and the load on it.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceScenario {
    /// Name of the service.
    pub name: String,
    /// Address that clients connect to.
    pub address: IpAddr,
    /// Port that clients connect to.
    pub port: u16,
    /// Number of targets, distributed round-robin over the zones.
    pub targets: usize,
    /// Requests that each target processes concurrently.
    pub slots: u32,
    /// Connection limit of each target.
    pub connections: u32,
    /// Mean of the exponentially distributed service time, in milliseconds.
    pub service_ms: f64,
    /// Offered load as a share of all slots.
    pub load: f64,
    /// Number of feeds: long-lived flows on which the back end streams updates.
    #[serde(default)]
    pub feeds: usize,
    /// Interval between two updates of a feed, in milliseconds.
    #[serde(default = "default_feed_interval")]
    pub feed_interval_ms: u64,
    /// Share of the requests that are sent on kept flows, which carry several
    /// requests each.
    #[serde(default)]
    pub kept_flow_share: f64,
    /// Share of clients without TCP timestamps, whose packets therefore carry no
    /// holder hint.
    #[serde(default)]
    pub plain_caller_share: f64,
    /// Length of an answer's body, in bytes.
    #[serde(default = "default_answer_bytes")]
    pub answer_bytes: usize,
}

fn default_feed_interval() -> u64 {
    1_000
}

fn default_answer_bytes() -> usize {
    256
}

/// One scheduled fault.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Fault {
    /// Seconds from the start of the load.
    pub at: f64,
    /// The action.
    pub action: FaultAction,
}

/// The action of a fault. Balancers and targets are numbered from 0 in the order
/// in which they were started; target numbers run across all services.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub enum FaultAction {
    /// Kills a balancer with SIGKILL.
    KillBalancer(usize),
    /// Stops a balancer gracefully: removes it from the machine list, then sends
    /// SIGTERM.
    StopBalancer(usize),
    /// Starts one more balancer.
    AddBalancer,
    /// Suspends a balancer (SIGSTOP) for some seconds.
    PauseBalancer {
        /// The balancer.
        balancer: usize,
        /// Duration, in seconds.
        seconds: f64,
    },
    /// Marks a target as draining in the configuration.
    DrainTarget(usize),
    /// Marks a target as active again.
    ActivateTarget(usize),
    /// Kills a target's agent with SIGKILL: its flows are lost.
    KillAgent(usize),
    /// Upgrades a target's agent: starts a second agent for the same back end as
    /// an additional target, drains the old target, and stops the old agent
    /// gracefully.
    ReplaceAgent(usize),
    /// Suspends a target's agent (SIGSTOP) for some seconds.
    PauseAgent {
        /// The target.
        target: usize,
        /// Duration, in seconds.
        seconds: f64,
    },
    /// Delivers packets addressed to a target's agent to another target's agent
    /// for some seconds, as when an address is reassigned.
    MisdirectTarget {
        /// The target.
        target: usize,
        /// The target whose agent receives the packets.
        to: usize,
        /// Duration, in seconds.
        seconds: f64,
    },
    /// Makes a target's back end refuse connections for some seconds.
    RefuseConnections {
        /// The target.
        target: usize,
        /// Duration, in seconds.
        seconds: f64,
    },
    /// Makes a target's load and health endpoints report an idle, healthy back
    /// end from now on.
    MisleadingReports(usize),
    /// Makes the platform close connections unanswered for some seconds.
    PlatformDown {
        /// Duration, in seconds.
        seconds: f64,
    },
    /// Makes the platform serve its first document for some seconds.
    PlatformStale {
        /// Duration, in seconds.
        seconds: f64,
    },
    /// Partitions two zones from each other for some seconds.
    CutZones {
        /// One zone.
        from: String,
        /// The other zone.
        to: String,
        /// Duration, in seconds.
        seconds: f64,
    },
}

impl Scenario {
    /// Returns the names of the compiled-in scenarios.
    pub fn shipped() -> impl Iterator<Item = &'static str> {
        SHIPPED.iter().map(|&(name, _)| name)
    }

    /// Loads a compiled-in scenario by name, or else the file at that path.
    ///
    /// # Errors
    /// Returns an error that names the file, the field and the reason.
    pub fn load(name: &str) -> Result<Self, ConfigError> {
        let shipped = SHIPPED.iter().find(|&&(shipped, _)| shipped == name);
        match shipped {
            Some((_, text)) => Self::from_toml(name, text),
            None => Self::from_toml(name, &parse::read_file(name)?),
        }
    }

    /// Parses and validates a scenario; `file` is its name in errors.
    ///
    /// # Errors
    /// Returns an error that names the file, the field and the reason.
    pub fn from_toml(file: &str, text: &str) -> Result<Self, ConfigError> {
        let scenario: Self = parse::from_toml(file, text)?;
        scenario.check(file)?;
        Ok(scenario)
    }

    /// Returns the number of targets across all services.
    pub fn target_count(&self) -> usize {
        self.services.iter().map(|service| service.targets).sum()
    }

    fn check(&self, file: &str) -> Result<(), ConfigError> {
        check_at_least(file, "seconds", self.seconds as usize, 1)?;
        check_at_least(file, "zones", self.zones.len(), 1)?;
        check_at_least(file, "balancers", self.balancers, 1)?;
        check_at_least(file, "services", self.services.len(), 1)?;
        self.check_network(file)?;
        for (index, service) in self.services.iter().enumerate() {
            check_service(file, index, service)?;
        }
        for (index, fault) in self.faults.iter().enumerate() {
            self.check_fault(file, index, fault)?;
        }
        Ok(())
    }

    fn check_network(&self, file: &str) -> Result<(), ConfigError> {
        let network = &self.network;
        check_share(file, "network.client_loss", network.client_loss)?;
        check_share(file, "network.zone_loss", network.zone_loss)?;
        check_share(file, "network.duplicate", network.duplicate)?;
        check_share(file, "network.reorder", network.reorder)?;
        check_share(file, "network.late_copy", network.late_copy)?;
        check_not_negative(file, "network.late_copy_delay_ms", network.late_copy_delay_ms)?;
        check_not_negative(file, "network.client_delay_ms", network.client_delay_ms)?;
        check_not_negative(file, "network.zone_delay_ms", network.zone_delay_ms)?;
        check_not_negative(file, "network.reorder_delay_ms", network.reorder_delay_ms)
    }

    fn check_fault(&self, file: &str, index: usize, fault: &Fault) -> Result<(), ConfigError> {
        let field = format!("faults[{index}].action");
        check_not_negative(file, &format!("faults[{index}].at"), fault.at)?;
        match &fault.action {
            FaultAction::DrainTarget(target)
            | FaultAction::ActivateTarget(target)
            | FaultAction::KillAgent(target)
            | FaultAction::ReplaceAgent(target)
            | FaultAction::PauseAgent { target, .. }
            | FaultAction::RefuseConnections { target, .. }
            | FaultAction::MisdirectTarget { target, .. }
            | FaultAction::MisleadingReports(target) => {
                check_below(file, &field, *target, self.target_count())
            }
            FaultAction::KillBalancer(balancer)
            | FaultAction::StopBalancer(balancer)
            | FaultAction::PauseBalancer { balancer, .. } => {
                let added = self
                    .faults
                    .iter()
                    .filter(|other| other.at < fault.at && other.action == FaultAction::AddBalancer)
                    .count();
                check_below(file, &field, *balancer, self.balancers + added)
            }
            FaultAction::CutZones { from, to, .. } => {
                self.check_zone(file, &field, from)?;
                self.check_zone(file, &field, to)
            }
            FaultAction::AddBalancer
            | FaultAction::PlatformDown { .. }
            | FaultAction::PlatformStale { .. } => Ok(()),
        }
    }

    fn check_zone(&self, file: &str, field: &str, zone: &str) -> Result<(), ConfigError> {
        if self.zones.iter().any(|known| known == zone) {
            return Ok(());
        }
        let expected = format!("one of the zones {}", self.zones.join(", "));
        Err(ConfigError::field(file, field, format!("{zone:?}"), expected))
    }
}

fn check_service(file: &str, index: usize, service: &ServiceScenario) -> Result<(), ConfigError> {
    let field = |name: &str| format!("services[{index}].{name}");
    check_at_least(file, &field("targets"), service.targets, 1)?;
    check_at_least(file, &field("slots"), service.slots as usize, 1)?;
    check_at_least(file, &field("connections"), service.connections as usize, 1)?;
    check_at_least(file, &field("port"), usize::from(service.port), 1)?;
    check_share(file, &field("load"), service.load)?;
    check_share(file, &field("kept_flow_share"), service.kept_flow_share)?;
    check_share(file, &field("plain_caller_share"), service.plain_caller_share)?;
    check_at_least(file, &field("feed_interval_ms"), service.feed_interval_ms as usize, 1)?;
    if service.service_ms > 0.0 {
        return Ok(());
    }
    Err(ConfigError::field(file, field("service_ms"), service.service_ms, "a number above 0"))
}

fn check_at_least(
    file: &str,
    field: &str,
    value: usize,
    minimum: usize,
) -> Result<(), ConfigError> {
    if value >= minimum {
        return Ok(());
    }
    Err(ConfigError::field(file, field, value, format!("at least {minimum}")))
}

fn check_below(file: &str, field: &str, value: usize, limit: usize) -> Result<(), ConfigError> {
    if value < limit {
        return Ok(());
    }
    Err(ConfigError::field(file, field, value, format!("a number below {limit}")))
}

fn check_share(file: &str, field: &str, value: f64) -> Result<(), ConfigError> {
    if (0.0..=1.0).contains(&value) {
        return Ok(());
    }
    Err(ConfigError::field(file, field, value, "a share from 0 to 1"))
}

fn check_not_negative(file: &str, field: &str, value: f64) -> Result<(), ConfigError> {
    if value >= 0.0 {
        return Ok(());
    }
    Err(ConfigError::field(file, field, value, "a number of at least 0"))
}
