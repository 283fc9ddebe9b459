//! What a rehearsal consists of, as a checked TOML file.

use std::net::IpAddr;

use serde::Deserialize;
use weirhinge_config::ConfigError;
use weirhinge_config::parse;

/// The scenarios that ship with the kit, by name.
const SHIPPED: [(&str, &str); 4] = [
    ("bluebonnet", include_str!("../scenarios/bluebonnet.toml")),
    ("chakula", include_str!("../scenarios/chakula.toml")),
    ("bluebonnet-night", include_str!("../scenarios/bluebonnet-night.toml")),
    ("chakula-night", include_str!("../scenarios/chakula-night.toml")),
];

/// A rehearsal.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Scenario {
    /// What the scenario rehearses, for people.
    pub description: String,
    /// How long the load lasts, in seconds.
    pub seconds: u64,
    /// Zones that machines run in.
    pub zones: Vec<String>,
    /// Number of balancers, spread over the zones in turn.
    pub balancers: usize,
    /// Whether balancers agree on the configuration; changes then go through
    /// their API instead of the platform.
    #[serde(default)]
    pub agreement: bool,
    /// How many of the first balancers read a platform that lags.
    #[serde(default)]
    pub stale_balancers: usize,
    /// How far that platform lags, in milliseconds.
    #[serde(default)]
    pub stale_lag_ms: u64,
    /// What the networks do to packets.
    pub network: Network,
    /// The services under load.
    pub services: Vec<ServiceScenario>,
    /// What goes wrong, and when.
    #[serde(default)]
    pub faults: Vec<Fault>,
}

/// Delays and damage on the networks.
#[derive(Clone, Copy, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Network {
    /// One-way delay between callers and machines, in milliseconds.
    pub client_delay_ms: f64,
    /// One-way delay between zones, in milliseconds.
    pub zone_delay_ms: f64,
    /// Share of packets lost between callers and machines, each way.
    #[serde(default)]
    pub client_loss: f64,
    /// Share of packets lost between machines.
    #[serde(default)]
    pub zone_loss: f64,
    /// Share of packets that arrive twice.
    #[serde(default)]
    pub duplicate: f64,
    /// Share of packets delayed further, so that later ones overtake them.
    #[serde(default)]
    pub reorder: f64,
    /// Longest such further delay, in milliseconds.
    #[serde(default)]
    pub reorder_delay_ms: f64,
    /// Share of packets of which a copy arrives long after the first.
    #[serde(default)]
    pub late_copy: f64,
    /// Longest delay of such a copy, in milliseconds.
    #[serde(default)]
    pub late_copy_delay_ms: f64,
    /// How long the fabric takes to learn of a balancer's coming or going.
    pub fabric_lag_ms: u64,
}

/// One service and the load on it.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceScenario {
    /// Name of the service.
    pub name: String,
    /// Address that callers use.
    pub address: IpAddr,
    /// Port that callers use.
    pub port: u16,
    /// Number of targets, spread over the zones in turn.
    pub targets: usize,
    /// Slots of each target.
    pub slots: u32,
    /// Connections of each target.
    pub connections: u32,
    /// Mean of a request's exponential service time, in milliseconds.
    pub service_ms: f64,
    /// Offered load as a share of all slots.
    pub load: f64,
    /// Standing feeds.
    #[serde(default)]
    pub feeds: usize,
    /// Milliseconds between two updates of a feed.
    #[serde(default = "default_feed_interval")]
    pub feed_interval_ms: u64,
    /// Share of the requests that come over kept flows, several on each.
    #[serde(default)]
    pub kept_flow_share: f64,
    /// Share of callers whose TCP has no timestamps, so that their packets carry
    /// no holder hint.
    #[serde(default)]
    pub plain_caller_share: f64,
    /// Bytes of an answer.
    #[serde(default = "default_answer_bytes")]
    pub answer_bytes: usize,
}

fn default_feed_interval() -> u64 {
    1_000
}

fn default_answer_bytes() -> usize {
    256
}

/// One fault of the schedule.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Fault {
    /// Seconds from the start of the load.
    pub at: f64,
    /// What happens.
    pub action: FaultAction,
}

/// What a fault does. Balancers and targets are numbered from 0 in the order
/// in which they were started; targets count over all services.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub enum FaultAction {
    /// Kills a balancer without warning.
    KillBalancer(usize),
    /// Stops a balancer as planned: leaving in the list, then SIGTERM.
    StopBalancer(usize),
    /// Starts one more balancer.
    AddBalancer,
    /// Freezes a balancer for some seconds.
    PauseBalancer {
        /// The balancer.
        balancer: usize,
        /// How long.
        seconds: f64,
    },
    /// Marks a target as draining in the configuration.
    DrainTarget(usize),
    /// Marks a target as active again.
    ActivateTarget(usize),
    /// Kills a target's agent without warning: its flows are lost.
    KillAgent(usize),
    /// Upgrades a target's agent: starts a new agent beside it as a further
    /// target, drains the old target, and stops the old agent as planned.
    ReplaceAgent(usize),
    /// Freezes a target's agent for some seconds.
    PauseAgent {
        /// The target.
        target: usize,
        /// How long.
        seconds: f64,
    },
    /// Sends what is meant for a target's agent to another target's for some
    /// seconds, as when its address changes hands.
    MisdirectTarget {
        /// The target.
        target: usize,
        /// The target whose agent gets the packets.
        to: usize,
        /// How long.
        seconds: f64,
    },
    /// Makes a target's back end refuse connections for some seconds.
    RefuseConnections {
        /// The target.
        target: usize,
        /// How long.
        seconds: f64,
    },
    /// Lets a target's load and health endpoints lie from now on.
    MisleadingReports(usize),
    /// The platform answers nothing for some seconds.
    PlatformDown {
        /// How long.
        seconds: f64,
    },
    /// The platform serves its first document for some seconds.
    PlatformStale {
        /// How long.
        seconds: f64,
    },
    /// Two zones cannot reach each other for some seconds.
    CutZones {
        /// One zone.
        from: String,
        /// The other zone.
        to: String,
        /// How long.
        seconds: f64,
    },
}

impl Scenario {
    /// Names of the shipped scenarios.
    pub fn shipped() -> impl Iterator<Item = &'static str> {
        SHIPPED.iter().map(|&(name, _)| name)
    }

    /// Loads a shipped scenario by name, or a file by path.
    ///
    /// # Errors
    /// Names the file, the field and the reason.
    pub fn load(name: &str) -> Result<Self, ConfigError> {
        let shipped = SHIPPED.iter().find(|&&(shipped, _)| shipped == name);
        match shipped {
            Some((_, text)) => Self::from_toml(name, text),
            None => Self::from_toml(name, &parse::read_file(name)?),
        }
    }

    /// Reads and checks a scenario.
    ///
    /// # Errors
    /// Names the file, the field and the reason.
    pub fn from_toml(file: &str, text: &str) -> Result<Self, ConfigError> {
        let scenario: Self = parse::from_toml(file, text)?;
        scenario.check(file)?;
        Ok(scenario)
    }

    /// Number of targets over all services.
    pub fn target_count(&self) -> usize {
        self.services.iter().map(|service| service.targets).sum()
    }

    fn check(&self, file: &str) -> Result<(), ConfigError> {
        at_least(file, "seconds", self.seconds as usize, 1)?;
        at_least(file, "zones", self.zones.len(), 1)?;
        at_least(file, "balancers", self.balancers, 1)?;
        at_least(file, "services", self.services.len(), 1)?;
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
        share(file, "network.client_loss", network.client_loss)?;
        share(file, "network.zone_loss", network.zone_loss)?;
        share(file, "network.duplicate", network.duplicate)?;
        share(file, "network.reorder", network.reorder)?;
        share(file, "network.late_copy", network.late_copy)?;
        not_negative(file, "network.late_copy_delay_ms", network.late_copy_delay_ms)?;
        not_negative(file, "network.client_delay_ms", network.client_delay_ms)?;
        not_negative(file, "network.zone_delay_ms", network.zone_delay_ms)?;
        not_negative(file, "network.reorder_delay_ms", network.reorder_delay_ms)
    }

    fn check_fault(&self, file: &str, index: usize, fault: &Fault) -> Result<(), ConfigError> {
        let field = format!("faults[{index}].action");
        not_negative(file, &format!("faults[{index}].at"), fault.at)?;
        match &fault.action {
            FaultAction::DrainTarget(target)
            | FaultAction::ActivateTarget(target)
            | FaultAction::KillAgent(target)
            | FaultAction::ReplaceAgent(target)
            | FaultAction::PauseAgent { target, .. }
            | FaultAction::RefuseConnections { target, .. }
            | FaultAction::MisdirectTarget { target, .. }
            | FaultAction::MisleadingReports(target) => {
                below(file, &field, *target, self.target_count())
            }
            FaultAction::KillBalancer(balancer)
            | FaultAction::StopBalancer(balancer)
            | FaultAction::PauseBalancer { balancer, .. } => {
                let added = self
                    .faults
                    .iter()
                    .filter(|other| other.at < fault.at && other.action == FaultAction::AddBalancer)
                    .count();
                below(file, &field, *balancer, self.balancers + added)
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
    at_least(file, &field("targets"), service.targets, 1)?;
    at_least(file, &field("slots"), service.slots as usize, 1)?;
    at_least(file, &field("connections"), service.connections as usize, 1)?;
    at_least(file, &field("port"), usize::from(service.port), 1)?;
    share(file, &field("load"), service.load)?;
    share(file, &field("kept_flow_share"), service.kept_flow_share)?;
    share(file, &field("plain_caller_share"), service.plain_caller_share)?;
    at_least(file, &field("feed_interval_ms"), service.feed_interval_ms as usize, 1)?;
    if service.service_ms > 0.0 {
        return Ok(());
    }
    Err(ConfigError::field(file, field("service_ms"), service.service_ms, "a number above 0"))
}

fn at_least(file: &str, field: &str, value: usize, minimum: usize) -> Result<(), ConfigError> {
    if value >= minimum {
        return Ok(());
    }
    Err(ConfigError::field(file, field, value, format!("at least {minimum}")))
}

fn below(file: &str, field: &str, value: usize, limit: usize) -> Result<(), ConfigError> {
    if value < limit {
        return Ok(());
    }
    Err(ConfigError::field(file, field, value, format!("a number below {limit}")))
}

fn share(file: &str, field: &str, value: f64) -> Result<(), ConfigError> {
    if (0.0..=1.0).contains(&value) {
        return Ok(());
    }
    Err(ConfigError::field(file, field, value, "a share from 0 to 1"))
}

fn not_negative(file: &str, field: &str, value: f64) -> Result<(), ConfigError> {
    if value >= 0.0 {
        return Ok(());
    }
    Err(ConfigError::field(file, field, value, "a number of at least 0"))
}
