//! What both daemons set up in the same way.

use std::cell::RefCell;
use std::rc::Rc;
use std::sync::Arc;

use slog::Logger;
use weirhinge_fleet::PeerRole;
use weirhinge_observe::Metrics;

use crate::clock::Clock;
use crate::fleet_node::FleetNode;
use crate::link::PeerLink;
use crate::metrics::FleetMetrics;
use crate::process::ProcessLog;
use crate::settings::CommonSettings;

/// A daemon's clock, log, knowledge and link to its peers.
pub struct Base {
    /// The daemon's clock.
    pub clock: Clock,
    /// The logger, which names the daemon in each line.
    pub log: Logger,
    /// What the daemon knows of the fleet.
    pub node: Rc<RefCell<FleetNode>>,
    /// The way to its peers.
    pub link: Rc<PeerLink>,
    /// All metrics, to be served.
    pub metrics: Arc<Metrics>,
}

impl Base {
    /// Sets up a daemon of this role; `declare` declares the metrics of the role.
    ///
    /// # Errors
    /// When the address for peers cannot be bound.
    pub async fn start<T>(
        settings: &CommonSettings,
        role: PeerRole,
        process_log: ProcessLog,
        declare: impl FnOnce(&mut Metrics) -> T,
    ) -> eyre::Result<(Self, T)> {
        let clock = Clock::start();
        let log = process_log.log.new(slog::o!("node" => settings.name.clone()));
        let mut metrics = Metrics::new();
        let role_metrics = declare(&mut metrics);
        let fleet_metrics = FleetMetrics::declare(&mut metrics);
        metrics.register_counter("log_lines_lost", "Log lines without room", process_log.lost);
        let node = Rc::new(RefCell::new(FleetNode::new(settings, role, log.clone())));
        let link =
            PeerLink::start(settings, Rc::clone(&node), clock, fleet_metrics, log.clone()).await?;
        let base = Self { clock, log, node, link, metrics: metrics.freeze() };
        Ok((base, role_metrics))
    }
}
