//! The setup that both daemons share.

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

/// The clock, log, fleet state, peer link and metrics of a daemon.
pub struct DaemonContext {
    /// The daemon's clock.
    pub clock: Clock,
    /// The logger; adds the daemon's name to each line.
    pub log: Logger,
    /// What the daemon knows about the fleet.
    pub node: Rc<RefCell<FleetNode>>,
    /// The link to the daemon's peers.
    pub link: Rc<PeerLink>,
    /// All declared metrics.
    pub metrics: Arc<Metrics>,
}

impl DaemonContext {
    /// Sets up a daemon of this role. `declare` declares the metrics of the role and returns their
    /// handles.
    ///
    /// # Errors
    /// When the peer address cannot be bound.
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
        let context = Self { clock, log, node, link, metrics: metrics.freeze() };
        Ok((context, role_metrics))
    }
}
