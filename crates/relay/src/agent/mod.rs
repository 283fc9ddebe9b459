//! The agent daemon, which is co-located with one target.

mod delivery;
mod grants;
mod output;

use std::cell::{Cell, RefCell};
use std::io::ErrorKind;
use std::net::{Ipv4Addr, SocketAddrV4};
use std::rc::Rc;
use std::time::Duration;

use eyre::WrapErr;
use slog::{Logger, info};
use tokio::net::{TcpStream, UdpSocket};
use weirhinge_fleet::{Millis, PeerRole, ServiceId, TargetStatus};
use weirhinge_steering::{Agent, ColdStartRate};

use crate::clock::Clock;
use crate::daemon_context::DaemonContext;
use crate::events::DecisionLog;
use crate::fleet_node::FleetNode;
use crate::link::PeerLink;
use crate::metrics::AgentMetrics;
use crate::platform::Platform;
use crate::process::{ProcessLog, Signals};
use crate::readiness::{Readiness, serve_endpoints};
use crate::reload::{ReloadedSettings, SettingsWatcher};
use crate::settings::{AgentSettings, RawSettings};

/// Interval at which pending opening packets are checked.
const OPENINGS_POLL: Duration = Duration::from_millis(60);
/// The same interval while balancers request capacity. It is shorter so that capacity reserved
/// by an unused grant soon goes to another balancer.
const GRANTS_POLL: Duration = Duration::from_millis(20);
/// Interval at which digests are sent and old state is dropped.
const TICK_INTERVAL: Duration = Duration::from_millis(500);
/// Interval at which digests are sent in the period after the start.
const STARTUP_TICK_INTERVAL: Duration = Duration::from_millis(100);
/// Length of the period after the start in which the shorter interval applies.
const STARTUP_PERIOD_MS: Millis = 2_000;
/// Shortest duration of a planned stop, so that balancers learn of it.
const MIN_STOP_MS: Millis = 200;
/// Part of the stop limit that is reserved for exiting.
const STOP_MARGIN_MS: Millis = 700;
/// Connect timeout when a stopping agent checks whether its target has ended. The target is
/// on the same machine.
const TARGET_CHECK_TIMEOUT: Duration = Duration::from_millis(100);
/// Interval at which a stopping agent checks for requests that still wait.
const STOP_POLL_INTERVAL: Duration = Duration::from_millis(20);

struct Daemon<P> {
    platform: P,
    clock: Clock,
    node: Rc<RefCell<FleetNode>>,
    core: RefCell<Agent>,
    /// Receives what the target sends.
    output: UdpSocket,
    /// Connected to the target, so that the closed port of an ended target shows as an error.
    target: UdpSocket,
    target_unreachable: Cell<bool>,
    link: Rc<PeerLink>,
    address: Ipv4Addr,
    client_port: u16,
    service: String,
    cold_overshoot: f64,
    cold_slack: f64,
    leaving: Cell<bool>,
    /// The target's incarnation according to its latest record.
    incarnation: Cell<Option<u64>>,
    metrics: AgentMetrics,
    decisions: DecisionLog,
    log: Logger,
}

/// Runs an agent until it receives a stop signal.
///
/// # Errors
/// When an address cannot be bound or the target's address cannot be connected.
pub async fn run<P: Platform>(
    platform: P,
    settings: AgentSettings,
    settings_file: String,
    process_log: ProcessLog,
    mut signals: Signals,
) -> eyre::Result<()> {
    let common = settings.common.clone();
    let (daemon_context, agent_metrics) =
        DaemonContext::start(&common, PeerRole::Agent, process_log, AgentMetrics::declare).await?;
    let DaemonContext { clock, log, node, link, metrics } = daemon_context;
    let output = bind(settings.target_output, "the target's output").await?;
    let target = bind(SocketAddrV4::new(common.address, 0), "the target's input").await?;
    target
        .connect(settings.target)
        .await
        .wrap_err_with(|| format!("connect to the target at {}", settings.target))?;
    let readiness = Readiness::ready_from_start(Rc::clone(&node));
    serve_endpoints(&platform, &common, readiness.clone(), metrics).await?;
    let daemon = Rc::new(Daemon {
        platform,
        clock,
        node,
        core: RefCell::new(Agent::new(ServiceId::of(&settings.service))),
        output,
        target,
        target_unreachable: Cell::new(false),
        link,
        address: common.address,
        client_port: common.packets.port(),
        service: settings.service.clone(),
        cold_overshoot: settings.cold_overshoot,
        cold_slack: settings.cold_slack,
        leaving: Cell::new(false),
        incarnation: Cell::new(None),
        metrics: agent_metrics,
        decisions: DecisionLog::new(log.clone()),
        log: log.clone(),
    });
    tokio::task::spawn_local(Rc::clone(&daemon).receive_peer_messages());
    tokio::task::spawn_local(Rc::clone(&daemon).receive_output());
    tokio::task::spawn_local(Rc::clone(&daemon).poll_openings());
    tokio::task::spawn_local(Rc::clone(&daemon).tick());
    let role = (settings.target, settings.target_output, settings.service.clone());
    let watch = SettingsWatcher {
        file: settings_file,
        current: common.clone(),
        read: move |file: &str| {
            let new = RawSettings::from_file(file)?.into_agent(file)?;
            let is_role_unchanged = (new.target, new.target_output, new.service) == role;
            Ok(ReloadedSettings { common: new.common, is_role_unchanged })
        },
        node: Rc::clone(&daemon.node),
        log: log.clone(),
    };
    tokio::task::spawn_local(watch.run(signals.clone()));
    info!(log, "agent: started"; "event" => "start", "zone" => &common.zone,
        "address" => common.address.to_string(), "service" => &settings.service,
        "target" => settings.target.to_string());
    signals.stopped().await;
    readiness.set_stopping();
    info!(log, "agent: stopping"; "event" => "stop", "waiting" => daemon.core.borrow().waiting());
    let stop_requested_at = clock.now();
    daemon.stop_when_idle(common.stop_limit_ms).await;
    daemon.announce_ended_target(settings.target, stop_requested_at).await;
    info!(log, "agent: stopped"; "event" => "stopped",
        "waiting" => daemon.core.borrow().waiting());
    Ok(())
}

/// Whether a target's port refuses TCP connections. A running target answers health checks on
/// it, and sees one connection that is closed at once.
async fn refuses_connections(target: SocketAddrV4) -> bool {
    let connected = tokio::time::timeout(TARGET_CHECK_TIMEOUT, TcpStream::connect(target)).await;
    matches!(connected, Ok(Err(error)) if error.kind() == ErrorKind::ConnectionRefused)
}

async fn bind(address: SocketAddrV4, what: &str) -> eyre::Result<UdpSocket> {
    UdpSocket::bind(address).await.wrap_err_with(|| format!("bind {what} at {address}"))
}

impl<P: Platform> Daemon<P> {
    /// Periodically processes pending openings, search results and restart checks, which may
    /// become due without any output of the target.
    async fn poll_openings(self: Rc<Self>) {
        loop {
            let has_requests = self.core.borrow().requesting_balancers() > 0;
            tokio::time::sleep(if has_requests { GRANTS_POLL } else { OPENINGS_POLL }).await;
            self.process_pending_openings();
            self.report_search_results();
            self.check_flows_after_restart();
        }
    }

    async fn tick(self: Rc<Self>) {
        loop {
            let now = self.clock.now();
            self.core.borrow_mut().expire(now);
            self.update_target();
            self.update_evacuation();
            self.update_target_status();
            self.link.tick();
            let tick = if now < STARTUP_PERIOD_MS { STARTUP_TICK_INTERVAL } else { TICK_INTERVAL };
            tokio::time::sleep(tick).await;
        }
    }

    /// Reads the target's slots, incarnation and cold-start state from its record. A target
    /// without a record may be cold, and so may one whose agent has just started.
    fn update_target(&self) {
        let node = self.node.borrow();
        let view = node.view();
        let service = ServiceId::of(&self.service);
        let candidates = view.candidates(service).iter();
        let own = candidates.copied().find(|candidate| candidate.agent == self.address);
        let mut core = self.core.borrow_mut();
        if let Some(own) = own {
            if self.is_new_incarnation(own.incarnation) {
                info!(self.log, "agent: target restarted"; "event" => "target_restarted",
                    "waiting" => core.waiting(), "flows" => core.flow_count());
                core.target_restarted();
            }
            core.set_slots(own.slots);
        }
        let Some(policy) = view.cold_start(service) else { return };
        let rate =
            ColdStartRate::new(policy.flows_per_second, self.cold_overshoot, self.cold_slack);
        let cold_until = own.map_or(Millis::MAX, |own| own.cold_until.max(policy.cold_ms));
        core.set_cold_start(rate, cold_until);
    }

    /// Whether the target's record names another incarnation than the previous record did.
    fn is_new_incarnation(&self, incarnation: Option<u64>) -> bool {
        let known = self.incarnation.replace(incarnation.or(self.incarnation.get()));
        known.zip(incarnation).is_some_and(|(known, now)| known != now)
    }

    /// Passes on whether this agent's zone is evacuated.
    fn update_evacuation(&self) {
        let evacuated = self.node.borrow().is_evacuated();
        self.core.borrow_mut().set_evacuated(evacuated);
    }

    /// Updates the status of the target that this agent reports in its digests.
    fn update_target_status(&self) {
        let now = self.clock.now();
        let mut core = self.core.borrow_mut();
        core.update_routes(self.node.borrow().view(), now);
        self.metrics.waiting.set(i64::from(core.waiting()));
        self.metrics.flows.set(core.flow_count() as i64);
        self.metrics.balancers_asking.set(core.requesting_balancers() as i64);
        self.node.borrow_mut().target_status = Some(TargetStatus {
            service: self.service.clone(),
            alive: !self.target_unreachable.get(),
            load: core.load(now),
            leaving: self.leaving.get(),
            recorded: core.has_known_slots(),
            without_former_flows: core.without_former_flows(now),
        });
    }

    /// Notifies balancers if the target has ended. Searches for lost flows then skip it; they
    /// would otherwise each wait some 350 ms for it until a balancer has learned that it does
    /// not answer. A target that sent anything since the stop was requested has not ended.
    async fn announce_ended_target(&self, target: SocketAddrV4, stop_requested_at: Millis) {
        if refuses_connections(target).await
            && !self.core.borrow().has_output_since(stop_requested_at)
        {
            info!(self.log, "agent: target has ended"; "event" => "target_ended");
            self.link.announce_target_end();
        }
    }

    /// Stops taking new flows and returns when no request waits, or when the stop limit is
    /// nearly reached.
    async fn stop_when_idle(&self, stop_limit_ms: Millis) {
        self.leaving.set(true);
        self.core.borrow_mut().leave();
        self.update_target_status();
        self.link.tick();
        let began = self.clock.now();
        let longest = stop_limit_ms.saturating_sub(STOP_MARGIN_MS);
        loop {
            let elapsed = self.clock.now().saturating_sub(began);
            let idle = self.core.borrow().waiting() == 0;
            if elapsed >= longest || (elapsed >= MIN_STOP_MS && idle) {
                return;
            }
            tokio::time::sleep(STOP_POLL_INTERVAL).await;
        }
    }
}
