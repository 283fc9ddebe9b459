//! The agent daemon, beside one target.

use std::cell::{Cell, RefCell};
use std::io::ErrorKind;
use std::net::{Ipv4Addr, SocketAddrV4};
use std::rc::Rc;
use std::time::Duration;

use eyre::WrapErr;
use slog::{Logger, info};
use tokio::net::UdpSocket;
use weirhinge_fleet::{
    Millis, PeerMessage, PeerRole, ReturnReason, ServiceId, TargetClaim, decode,
};
use weirhinge_observe::Metrics;
use weirhinge_steering::{
    Agent, Arrival, DeliveryDecision, HoldsNotice, OutputDecision, PacketHead, WaitOutcome,
};

use crate::clock::Clock;
use crate::events::DecisionLog;
use crate::fleet_node::FleetNode;
use crate::link::PeerLink;
use crate::metrics::{AgentMetrics, FleetMetrics};
use crate::platform::Platform;
use crate::process::{ProcessLog, Signals};
use crate::receive::receive;
use crate::reload::{Reloaded, SettingsWatch};
use crate::settings::{AgentSettings, RawSettings};
use crate::status::{Status, serve_status};

/// How often waiting opening packets are looked at.
const OPENINGS_POLL: Duration = Duration::from_millis(60);
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
    leaving: Cell<bool>,
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
    let clock = Clock::start();
    let common = settings.common.clone();
    let log = process_log.log.new(slog::o!("node" => common.name.clone()));
    let mut metrics = Metrics::new();
    let agent_metrics = AgentMetrics::declare(&mut metrics);
    let fleet_metrics = FleetMetrics::declare(&mut metrics);
    metrics.adopt_counter("log_lines_lost", "Log lines without room", process_log.lost);
    let metrics = metrics.freeze();
    let node = FleetNode::new(&common, PeerRole::Agent, log.clone());
    let node = Rc::new(RefCell::new(node));
    let output = bind(settings.target_output, "the target's output").await?;
    let target = bind(SocketAddrV4::new(common.address, 0), "the target's input").await?;
    target
        .connect(settings.target)
        .await
        .wrap_err_with(|| format!("connect to the target at {}", settings.target))?;
    let link =
        PeerLink::start(&common, Rc::clone(&node), clock, fleet_metrics, log.clone()).await?;
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
        leaving: Cell::new(false),
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
    daemon.leave_when_idle(common.stop_limit_ms).await;
    info!(log, "agent: stopped"; "event" => "stopped",
        "waiting" => daemon.core.borrow().waiting());
    Ok(())
}

async fn bind(address: SocketAddrV4, what: &str) -> eyre::Result<UdpSocket> {
    UdpSocket::bind(address).await.wrap_err_with(|| format!("bind {what} at {address}"))
}

impl<P: Platform> Daemon<P> {
    async fn take_peer_messages(self: Rc<Self>) {
        let take = |datagram: &mut [u8], sender| self.peer_message(datagram, sender);
        receive(self.link.socket(), take, || {}).await;
    }

    fn peer_message(&self, datagram: &[u8], sender: Ipv4Addr) {
        match decode(datagram) {
            Ok(PeerMessage::Digest(digest)) => self.link.on_digest(&digest, sender),
            Ok(PeerMessage::Forward { service, search, may_wait, urgent, packet }) => {
                match self.platform.decode(packet) {
                    Ok(head) => self.deliver(&Arrival {
                        head: &head,
                        packet,
                        balancer: search
                            .as_ref()
                            .map_or(sender, |path| Ipv4Addr::from_bits(path.balancer)),
                        service: ServiceId(service),
                        search: search.as_ref().map(|path| path.next.as_slice()),
                        may_wait,
                        urgent,
                    }),
                    Err(malformed) => self.metrics.dropped.increment(malformed.label()),
                }
            }
            Ok(_) => self.link.refuse_unexpected(),
            Err(error) => self.link.refuse(error),
        }
    }

    fn deliver(&self, arrival: &Arrival<'_>) {
        let now = self.clock.now();
        let decision = self.core.borrow_mut().delivery(arrival, now);
        match decision {
            DeliveryDecision::Deliver { echo, notice } => {
                self.hand_labelled(arrival.head, arrival.packet, echo, now);
                if let Some(notice) = notice {
                    self.send_notice(&notice, now);
                }
            }
            DeliveryDecision::Return(reason) => {
                self.return_packet(arrival.head, arrival.packet, arrival.balancer, reason, now);
            }
            DeliveryDecision::Wait => {
                let waiting = self.core.borrow().waiting();
                self.metrics.openings_waited.inc();
                self.decisions.waits(&arrival.head.client_flow(), waiting, now);
                self.link.send(arrival.balancer, &PeerMessage::Waits { waiting });
            }
            DeliveryDecision::WaitsAlready => {}
        }
    }

    /// Lets opening packets that wait go on as far as there is room.
    fn settle_openings(&self) {
        let now = self.clock.now();
        loop {
            let outcome = self.core.borrow_mut().next_outcome(now);
            match outcome {
                None => return,
                Some(WaitOutcome::Deliver(opening, echo)) => {
                    self.hand_labelled(&opening.head, &opening.packet, echo, now);
                }
                Some(WaitOutcome::Return(opening)) => {
                    let reason = ReturnReason::Busy;
                    let balancer = opening.balancer;
                    self.return_packet(&opening.head, &opening.packet, balancer, reason, now);
                }
            }
        }
    }

    fn hand_labelled(&self, head: &PacketHead, packet: &[u8], echo: u32, now: Millis) {
        let mut labelled = packet.to_vec();
        self.platform.write_echo(&mut labelled, echo);
        if !self.hand_to_target(&labelled) {
            // Its port is closed: the packet is as good for another target as one
            // that the target itself sends back.
            let decision = self.core.borrow_mut().not_taken(&head.client_flow(), echo);
            self.carry_on(decision, head, packet, now);
        }
    }

    /// Whether the target's port is not known to be closed; an error is that of an
    /// earlier packet.
    fn hand_to_target(&self, packet: &[u8]) -> bool {
        match self.target.try_send(packet) {
            Ok(_) => {
                self.metrics.delivered.inc();
                if self.target_gone.replace(false) {
                    info!(self.log, "agent: target regained"; "event" => "target_regained");
                }
                true
            }
            Err(error) => {
                self.metrics.dropped.increment("target_gone");
                if !self.target_gone.replace(true) {
                    info!(self.log, "agent: target lost"; "event" => "target_lost",
                        "reason" => error.to_string());
                }
                error.kind() != ErrorKind::ConnectionRefused
            }
        }
    }

    fn return_packet(
        &self,
        head: &PacketHead,
        packet: &[u8],
        balancer: Ipv4Addr,
        reason: ReturnReason,
        now: Millis,
    ) {
        let label = match reason {
            ReturnReason::Bounced => "bounced",
            ReturnReason::OtherService => "other_service",
            ReturnReason::Leaving => "leaving",
            ReturnReason::Busy => "busy",
        };
        self.metrics.returned.increment(label);
        self.decisions.returned(&head.client_flow(), label, head.is_opening(), now);
        let waiting = self.core.borrow().waiting();
        self.link.send(balancer, &PeerMessage::Returned { reason, waiting, packet });
    }

    async fn take_output(self: Rc<Self>) {
        let take = |packet: &mut [u8], _| self.target_packet(packet);
        let turn = || {
            self.settle_openings();
            self.report_found();
        };
        receive(&self.output, take, turn).await;
    }

    fn target_packet(&self, packet: &mut [u8]) {
        let now = self.clock.now();
        let head = match self.platform.decode(packet) {
            Ok(head) => head,
            Err(malformed) => return self.metrics.dropped.increment(malformed.label()),
        };
        let decision = self.core.borrow_mut().output(&head, now);
        match decision {
            OutputDecision::ToClient { notice } => {
                let client = SocketAddrV4::new(*head.destination.ip(), self.client_port);
                // Like any datagram, it may be lost; the target sends it again.
                let _ = self.output.try_send_to(packet, client.into());
                self.metrics.to_clients.inc();
                if let Some(notice) = notice {
                    self.send_notice(&notice, now);
                }
            }
            onward => {
                self.platform.restore_bounced(packet);
                self.carry_on(onward, &head, packet, now);
            }
        }
    }

    /// Sends a packet that the target did not take where it goes next.
    fn carry_on(&self, decision: OutputDecision, head: &PacketHead, packet: &[u8], now: Millis) {
        match decision {
            OutputDecision::Return { balancer } => {
                self.return_packet(head, packet, balancer, ReturnReason::Bounced, now);
            }
            OutputDecision::PassOn { agent, path } => {
                self.metrics.returned.increment("passed_on");
                self.decisions.passed_on(&head.client_flow(), agent, path.next.len(), now);
                let message = PeerMessage::Forward {
                    service: ServiceId::of(&self.service).0,
                    search: Some(path),
                    may_wait: false,
                    urgent: false,
                    packet,
                };
                self.link.send(agent, &message);
            }
            OutputDecision::ToClient { .. } => {}
            OutputDecision::Drop(_) => self.metrics.dropped.increment("unknown_delivery"),
        }
    }

    /// Tells balancers that searched what the target was found to hold.
    fn report_found(&self) {
        let now = self.clock.now();
        loop {
            let found = self.core.borrow_mut().next_found(now);
            match found {
                Some(notice) => self.send_notice(&notice, now),
                None => return,
            }
        }
    }

    fn send_notice(&self, notice: &HoldsNotice, now: Millis) {
        let waiting = self.core.borrow().waiting();
        self.decisions.answered(&notice.flow, notice.confirmed, waiting, now);
        let flow = notice.flow;
        let message = PeerMessage::Holds {
            client: (flow.client.ip().to_bits(), flow.client.port()),
            service: (flow.service.ip().to_bits(), flow.service.port()),
            confirmed: notice.confirmed,
            waiting,
        };
        self.link.send(notice.balancer, &message);
    }

    /// Ends waits that no output of the target ends.
    async fn watch_openings(self: Rc<Self>) {
        loop {
            tokio::time::sleep(OPENINGS_POLL).await;
            self.settle_openings();
            self.report_found();
        }
    }

    async fn tick(self: Rc<Self>) {
        loop {
            let now = self.clock.now();
            self.core.borrow_mut().expire(now);
            self.learn_slots();
            self.renew_claim();
            self.link.tick();
            let tick = if now < EAGER_MS { EAGER_TICK } else { TICK };
            tokio::time::sleep(tick).await;
        }
    }

    /// Takes the target's size from its record.
    fn learn_slots(&self) {
        let node = self.node.borrow();
        let candidates = node.view().candidates(ServiceId::of(&self.service)).iter();
        let own = candidates.copied().find(|candidate| candidate.agent == self.address);
        if let Some(own) = own {
            self.core.borrow_mut().set_slots(own.slots);
        }
    }

    fn renew_claim(&self) {
        let core = self.core.borrow();
        self.metrics.waiting.set(i64::from(core.waiting()));
        self.metrics.flows.set(core.flow_count() as i64);
        self.node.borrow_mut().claim = Some(TargetClaim {
            service: self.service.clone(),
            alive: !self.target_gone.get(),
            waiting: core.waiting(),
            leaving: self.leaving.get(),
        });
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
