//! The agent daemon, beside one target.

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
use weirhinge_fleet::{Millis, PeerRole, ServiceId, TargetClaim};
use weirhinge_steering::{Agent, ColdStartRate};

use crate::base::Base;
use crate::clock::Clock;
use crate::events::DecisionLog;
use crate::fleet_node::FleetNode;
use crate::link::PeerLink;
use crate::metrics::AgentMetrics;
use crate::platform::Platform;
use crate::process::{ProcessLog, Signals};
use crate::reload::{Reloaded, SettingsWatch};
use crate::settings::{AgentSettings, RawSettings};
use crate::status::{Status, serve_status};

/// How often waiting opening packets are looked at.
const OPENINGS_POLL: Duration = Duration::from_millis(60);
/// The same while balancers ask for room, so that room kept in vain is soon given to others.
const GRANTS_POLL: Duration = Duration::from_millis(20);
/// How often digests go out and old state is dropped.
const TICK: Duration = Duration::from_millis(500);
/// How often digests go out soon after the start.
const EAGER_TICK: Duration = Duration::from_millis(100);
/// How long after the start that is.
const EAGER_MS: Millis = 2_000;
/// A planned stop goes on for at least this long, so that balancers hear of it.
const SHORTEST_STOP_MS: Millis = 200;
/// Left of the stop limit for ending.
const STOP_MARGIN_MS: Millis = 700;
/// Longest wait for a stopping agent's look at whether its target has ended; the target is
/// on the same machine.
const TARGET_CHECK: Duration = Duration::from_millis(100);
/// How often a stopping agent looks whether requests still wait.
const STOP_POLL: Duration = Duration::from_millis(20);

struct Daemon<P> {
    platform: P,
    clock: Clock,
    node: Rc<RefCell<FleetNode>>,
    core: RefCell<Agent>,
    /// Receives what the target sends.
    output: UdpSocket,
    /// Connected to the target, so that a target that is gone is noticed.
    target: UdpSocket,
    target_gone: Cell<bool>,
    link: Rc<PeerLink>,
    address: Ipv4Addr,
    client_port: u16,
    service: String,
    cold_overshoot: f64,
    cold_slack: f64,
    leaving: Cell<bool>,
    /// The life of the target that its latest record names.
    incarnation: Cell<Option<u64>>,
    metrics: AgentMetrics,
    decisions: DecisionLog,
    log: Logger,
}

/// Runs an agent until it is told to stop.
///
/// # Errors
/// When an address cannot be bound.
pub async fn run<P: Platform>(
    platform: P,
    settings: AgentSettings,
    settings_file: String,
    process_log: ProcessLog,
    mut signals: Signals,
) -> eyre::Result<()> {
    let common = settings.common.clone();
    let (base, agent_metrics) =
        Base::start(&common, PeerRole::Agent, process_log, AgentMetrics::declare).await?;
    let Base { clock, log, node, link, metrics } = base;
    let output = bind(settings.target_output, "the target's output").await?;
    let target = bind(SocketAddrV4::new(common.address, 0), "the target's input").await?;
    target
        .connect(settings.target)
        .await
        .wrap_err_with(|| format!("connect to the target at {}", settings.target))?;
    let status = Status::always(Rc::clone(&node));
    serve_status(&platform, &common, status.clone(), metrics).await?;
    let daemon = Rc::new(Daemon {
        platform,
        clock,
        node,
        core: RefCell::new(Agent::new(ServiceId::of(&settings.service))),
        output,
        target,
        target_gone: Cell::new(false),
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
    tokio::task::spawn_local(Rc::clone(&daemon).take_peer_messages());
    tokio::task::spawn_local(Rc::clone(&daemon).take_output());
    tokio::task::spawn_local(Rc::clone(&daemon).watch_openings());
    tokio::task::spawn_local(Rc::clone(&daemon).tick());
    let role = (settings.target, settings.target_output, settings.service.clone());
    let watch = SettingsWatch {
        file: settings_file,
        current: common.clone(),
        read: move |file: &str| {
            let new = RawSettings::from_file(file)?.into_agent(file)?;
            let role_unchanged = (new.target, new.target_output, new.service) == role;
            Ok(Reloaded { common: new.common, role_unchanged })
        },
        node: Rc::clone(&daemon.node),
        log: log.clone(),
    };
    tokio::task::spawn_local(watch.run(signals.clone()));
    info!(log, "agent: started"; "event" => "start", "zone" => &common.zone,
        "address" => common.address.to_string(), "service" => &settings.service,
        "target" => settings.target.to_string());
    signals.stopped().await;
    status.stop();
    info!(log, "agent: stopping"; "event" => "stop", "waiting" => daemon.core.borrow().waiting());
    let told_at = clock.now();
    daemon.leave_when_idle(common.stop_limit_ms).await;
    daemon.report_ended_target(settings.target, told_at).await;
    info!(log, "agent: stopped"; "event" => "stopped",
        "waiting" => daemon.core.borrow().waiting());
    Ok(())
}

/// Whether a target's port refuses connections, on which it answers health checks as long
/// as it lives. A target that lives sees one connection that is closed at once.
async fn refuses_connections(target: SocketAddrV4) -> bool {
    let connected = tokio::time::timeout(TARGET_CHECK, TcpStream::connect(target)).await;
    matches!(connected, Ok(Err(error)) if error.kind() == ErrorKind::ConnectionRefused)
}

async fn bind(address: SocketAddrV4, what: &str) -> eyre::Result<UdpSocket> {
    UdpSocket::bind(address).await.wrap_err_with(|| format!("bind {what} at {address}"))
}

impl<P: Platform> Daemon<P> {
    /// Ends waits that no output of the target ends.
    async fn watch_openings(self: Rc<Self>) {
        loop {
            let is_asked = self.core.borrow().requesting_balancers() > 0;
            tokio::time::sleep(if is_asked { GRANTS_POLL } else { OPENINGS_POLL }).await;
            self.settle_openings();
            self.report_found();
            self.check_flows();
        }
    }

    async fn tick(self: Rc<Self>) {
        loop {
            let now = self.clock.now();
            self.core.borrow_mut().expire(now);
            self.learn_target();
            self.note_evacuation();
            self.renew_claim();
            self.link.tick();
            let tick = if now < EAGER_MS { EAGER_TICK } else { TICK };
            tokio::time::sleep(tick).await;
        }
    }

    /// Takes the target's size and whether it is cold from its record. A target without a
    /// record may be cold, and so may one whose agent has just started.
    fn learn_target(&self) {
        let node = self.node.borrow();
        let view = node.view();
        let service = ServiceId::of(&self.service);
        let candidates = view.candidates(service).iter();
        let own = candidates.copied().find(|candidate| candidate.agent == self.address);
        let mut core = self.core.borrow_mut();
        if let Some(own) = own {
            if self.is_other_life(own.incarnation) {
                info!(self.log, "agent: target started again"; "event" => "target_restarted",
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

    /// Whether the target's record names another life than the last one did.
    fn is_other_life(&self, incarnation: Option<u64>) -> bool {
        let known = self.incarnation.replace(incarnation.or(self.incarnation.get()));
        known.zip(incarnation).is_some_and(|(known, now)| known != now)
    }

    /// Takes over whether this agent's zone is evacuated.
    fn note_evacuation(&self) {
        let evacuated = self.node.borrow().is_evacuated();
        self.core.borrow_mut().set_evacuated(evacuated);
    }

    fn renew_claim(&self) {
        let now = self.clock.now();
        let mut core = self.core.borrow_mut();
        core.update_routes(self.node.borrow().view(), now);
        self.metrics.waiting.set(i64::from(core.waiting()));
        self.metrics.flows.set(core.flow_count() as i64);
        self.metrics.balancers_asking.set(core.requesting_balancers() as i64);
        self.node.borrow_mut().claim = Some(TargetClaim {
            service: self.service.clone(),
            alive: !self.target_gone.get(),
            load: core.load(now),
            leaving: self.leaving.get(),
            recorded: core.has_known_slots(),
            without_former_flows: core.without_former_flows(now),
        });
    }

    /// Tells balancers if the target has ended: then searches for lost flows need not wait
    /// for it, some 350 ms each until a balancer has learned that nobody answers. A target
    /// that wrote anything since the agent was told to stop has not.
    async fn report_ended_target(&self, target: SocketAddrV4, told_at: Millis) {
        if refuses_connections(target).await && !self.core.borrow().has_output_since(told_at) {
            info!(self.log, "agent: target has ended"; "event" => "target_ended");
            self.link.announce_end();
        }
    }

    /// Takes no new flows, and ends at a moment when no request waits.
    async fn leave_when_idle(&self, stop_limit_ms: Millis) {
        self.leaving.set(true);
        self.core.borrow_mut().leave();
        self.renew_claim();
        self.link.tick();
        let began = self.clock.now();
        let longest = stop_limit_ms.saturating_sub(STOP_MARGIN_MS);
        loop {
            let elapsed = self.clock.now().saturating_sub(began);
            let idle = self.core.borrow().waiting() == 0;
            if elapsed >= longest || (elapsed >= SHORTEST_STOP_MS && idle) {
                return;
            }
            tokio::time::sleep(STOP_POLL).await;
        }
    }
}
