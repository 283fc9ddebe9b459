//! The balancer daemon, which forwards clients' packets to the agents of targets.

mod deferred;
mod queueing;
mod readiness;
mod receiving;

use std::cell::RefCell;
use std::net::{Ipv4Addr, SocketAddrV4};
use std::rc::Rc;
use std::time::{Duration, Instant};

use eyre::WrapErr;
use slog::{Logger, info};
use tokio::net::UdpSocket;
use tokio::sync::Notify;
use weirhinge_fleet::{Millis, PeerMessage, PeerRole, SearchPath, ServiceId, decode};
use weirhinge_observe::Metrics;
use weirhinge_steering::{
    Balancer, BalancerLimits, CapacityGrant, ClientPacket, Context, Decision, DropReason, FlowKey,
    Forward, ForwardReason, PacketHeader, ResetReason,
};

use crate::backlog::Backlog;
use crate::clock::Clock;
use crate::daemon_context::DaemonContext;
use crate::events::{DecisionLog, Forwarded, KnownState};
use crate::fleet_node::FleetNode;
use crate::link::PeerLink;
use crate::metrics::{BalancerMetrics, StoreMetrics};
use crate::platform::Platform;
use crate::process::{ProcessLog, Signals};
use crate::readiness::{Readiness, serve_endpoints};
use crate::reload::{ReloadedSettings, SettingsWatcher};
use crate::settings::{BalancerSettings, RawSettings};
use crate::store::StoreReader;

/// Interval at which digests are sent and old state is dropped.
const TICK_INTERVAL: Duration = Duration::from_millis(500);
/// Interval at which seeds are queried in the period after the start, until a configuration is
/// known.
const STARTUP_TICK_INTERVAL: Duration = Duration::from_millis(40);
/// Length of the period after the start in which the shorter interval applies.
const STARTUP_PERIOD_MS: Millis = 2_000;

struct Daemon<P> {
    platform: P,
    clock: Clock,
    node: Rc<RefCell<FleetNode>>,
    core: RefCell<Balancer>,
    backlog: RefCell<Backlog>,
    /// Balancers to which packets of unknown flows are handed off; empty unless this balancer
    /// is under pressure or knows no configuration.
    helpers: RefCell<Vec<Ipv4Addr>>,
    packets: UdpSocket,
    link: Rc<PeerLink>,
    address: Ipv4Addr,
    client_port: u16,
    metrics: BalancerMetrics,
    decisions: DecisionLog,
    log: Logger,
    last_packet_at: RefCell<Millis>,
    /// Notified when a packet was deferred, so that it is decided about again in time.
    packet_deferred: Notify,
}

/// Runs a balancer until it receives a stop signal.
///
/// # Errors
/// When an address cannot be bound.
pub async fn run<P: Platform>(
    platform: P,
    settings: BalancerSettings,
    settings_file: String,
    process_log: ProcessLog,
    mut signals: Signals,
) -> eyre::Result<()> {
    let common = settings.common.clone();
    let declare =
        |metrics: &mut Metrics| (BalancerMetrics::declare(metrics), StoreMetrics::declare(metrics));
    let (daemon_context, (balancer_metrics, store_metrics)) =
        DaemonContext::start(&common, PeerRole::Balancer, process_log, declare).await?;
    let DaemonContext { clock, log, node, link, metrics } = daemon_context;
    let packets = UdpSocket::bind(common.packets)
        .await
        .wrap_err_with(|| format!("bind packets at {}", common.packets))?;
    let limits = BalancerLimits {
        processor_permille: common.processor_permille,
        link_kbps: common.link_kbps,
    };
    let core = Balancer::with_limits(common.timing, limits);
    let readiness = Readiness::new(Rc::clone(&node));
    serve_endpoints(&platform, &common, readiness.clone(), metrics).await?;
    let daemon = Rc::new(Daemon {
        platform: platform.clone(),
        clock,
        node: Rc::clone(&node),
        core: RefCell::new(core),
        backlog: RefCell::default(),
        helpers: RefCell::default(),
        packets,
        link: Rc::clone(&link),
        address: common.address,
        client_port: common.packets.port(),
        metrics: balancer_metrics,
        decisions: DecisionLog::new(log.clone()),
        log: log.clone(),
        last_packet_at: RefCell::new(0),
        packet_deferred: Notify::new(),
    });
    let reader =
        StoreReader::new(platform, &common, Rc::clone(&node), clock, store_metrics, log.clone());
    start_tasks(&daemon, reader, readiness.clone());
    let watch = SettingsWatcher {
        file: settings_file,
        current: common.clone(),
        read: |file: &str| {
            let common = RawSettings::from_file(file)?.into_balancer(file)?.common;
            Ok(ReloadedSettings { common, is_role_unchanged: true })
        },
        node,
        log: log.clone(),
    };
    tokio::task::spawn_local(watch.run(signals.clone()));
    info!(log, "balancer: started"; "event" => "start", "zone" => &common.zone,
        "address" => common.address.to_string());
    signals.stopped().await;
    readiness.set_stopping();
    daemon.link.announce_stop();
    info!(log, "balancer: stopping"; "event" => "stop", "flows" => daemon.flow_count());
    daemon.serve_until_routers_left(common.stop_limit_ms).await;
    info!(log, "balancer: stopped"; "event" => "stopped", "flows" => daemon.flow_count());
    Ok(())
}

fn start_tasks<P: Platform>(daemon: &Rc<Daemon<P>>, reader: StoreReader<P>, readiness: Readiness) {
    let reader_daemon = Rc::clone(daemon);
    tokio::task::spawn_local(reader.run(move || {
        reader_daemon.link.propagate_updates();
        reader_daemon.link.fetch_removed_targets();
        reader_daemon.query_agents_if_regained();
    }));
    tokio::task::spawn_local(Rc::clone(daemon).receive_datagrams());
    tokio::task::spawn_local(Rc::clone(daemon).process_deferred());
    tokio::task::spawn_local(Rc::clone(daemon).tick());
    tokio::task::spawn_local(Rc::clone(daemon).monitor_isolation(readiness.clone()));
    tokio::task::spawn_local(Rc::clone(daemon).monitor_pressure(readiness));
}

impl<P: Platform> Daemon<P> {
    fn flow_count(&self) -> usize {
        self.core.borrow().flow_count()
    }

    /// Handles a client's packet from a router.
    fn handle_client_packet(&self, packet: &[u8]) {
        let now = self.clock.now();
        *self.last_packet_at.borrow_mut() = now;
        self.process_packet(packet, &self.helpers.borrow(), now);
    }

    /// Handles a client's packet that another balancer handed off. It is not handed off again.
    fn handle_handed_off_packet(&self, packet: &[u8], now: Millis) {
        self.metrics.handed_in.inc();
        self.process_packet(packet, &[], now);
    }

    fn process_packet(&self, packet: &[u8], helpers: &[Ipv4Addr], now: Millis) {
        let began = Instant::now();
        let header = match self.platform.decode(packet) {
            Ok(header) => header,
            Err(malformed) => return self.metrics.dropped.increment(malformed.label()),
        };
        let decision = self.decide(now, |core, context| {
            let context = Context { helpers, ..*context };
            core.handle_client_packet(&context, ClientPacket { header: &header, bytes: packet })
        });
        self.metrics.decision_seconds.observe(began.elapsed().as_secs_f64());
        if let (Decision::Forward(forward), Some(id)) =
            (&decision, self.platform.request_id(packet))
        {
            self.decisions.request(id, &forwarded(&header.client_flow(), forward), now);
        }
        self.execute_decision(decision, &header, packet, now);
    }

    fn handle_peer_message(&self, datagram: &[u8], sender: Ipv4Addr) {
        let now = self.clock.now();
        let message: PeerMessage<'_> = match decode(datagram) {
            Ok(message) => message,
            Err(error) => return self.link.count_undecodable(error),
        };
        match message {
            PeerMessage::Digest(digest) => {
                if let Some(target_status) = &digest.target {
                    self.core.borrow_mut().note_target_status(
                        sender,
                        digest.zone,
                        target_status,
                        now,
                    );
                }
                self.link.on_digest(&digest, sender);
                self.query_agents_if_regained();
                if self.node.borrow().has_no_configuration() {
                    self.update_helpers(now);
                }
            }
            PeerMessage::Returned { reason, granted, load, packet } => {
                let Ok(header) = self.platform.decode(packet) else { return };
                let decision = self.decide(now, |core, context| {
                    core.note_answer(sender, load, now);
                    let packet = ClientPacket { header: &header, bytes: packet };
                    core.handle_returned_packet(context, packet, sender, reason, granted)
                });
                self.execute_decision(decision, &header, packet, now);
            }
            PeerMessage::Holds { client, service, confirmed, load } => {
                let flow = FlowKey { client: endpoint(client), service: endpoint(service) };
                let waited = self.core.borrow_mut().note_holder(flow, sender, confirmed, load, now);
                if let Some(waited) = waited {
                    self.metrics.opening_seconds.observe(waited as f64 / 1_000.0);
                }
            }
            PeerMessage::Waits { load } => {
                self.core.borrow_mut().note_answer(sender, load, now);
            }
            PeerMessage::HandOff { packet } => self.handle_handed_off_packet(packet, now),
            PeerMessage::TargetEnded => self.core.borrow_mut().note_target_ended(sender, now),
            PeerMessage::ReplicaHeld { position } => self.link.on_replica_held(sender, position),
            PeerMessage::RemovedTargetsKnown { position } => {
                self.link.on_removed_targets_known(sender, position);
            }
            PeerMessage::ProbeAnswer => self.core.borrow_mut().note_probe_answer(now),
            PeerMessage::Grant { service, urgent_only, load } => {
                let service = ServiceId(service);
                let grant = CapacityGrant { agent: sender, service, urgent_only, load };
                self.handle_grant(&grant, now);
            }
            PeerMessage::Forward { .. }
            | PeerMessage::Declined
            | PeerMessage::Record(_)
            | PeerMessage::Probe
            | PeerMessage::ReplicaRequest { .. }
            | PeerMessage::Demand { .. } => {
                self.link.count_unexpected();
            }
        }
    }

    fn decide<T>(&self, now: Millis, decide: impl FnOnce(&mut Balancer, &Context<'_>) -> T) -> T {
        let node = self.node.borrow();
        let fresh = node.is_fresh(now);
        let unix_ms = self.clock.unix_ms();
        let knows_removed_targets = node.knows_removed_targets(now);
        let view = node.view();
        let context = Context { view, fresh, knows_removed_targets, helpers: &[], now, unix_ms };
        decide(&mut self.core.borrow_mut(), &context)
    }

    fn execute_decision(
        &self,
        decision: Decision,
        header: &PacketHeader,
        packet: &[u8],
        now: Millis,
    ) {
        let flow = header.client_flow();
        match decision {
            Decision::Forward(forward) => {
                self.log_forwarded(&flow, &forward, now);
                self.forward(&forward, forward.agent, &forward.next, packet);
                for path in &forward.further_paths {
                    if let Some((first, next)) = path.split_first() {
                        self.forward(&forward, *first, next, packet);
                    }
                }
            }
            Decision::Reset { sequence, reason } => {
                self.metrics.resets.increment(reason.label());
                match reason {
                    ResetReason::Overloaded { inputs } => {
                        self.decisions.refused(&flow, inputs, self.known_state(now), now);
                    }
                    _ => self.decisions.reset(&flow, reason.label(), self.known_state(now), now),
                }
                let reset = self.platform.build_reset(&flow, sequence);
                let client = SocketAddrV4::new(*flow.client.ip(), self.client_port);
                // If this datagram is lost, the client retransmits its packet.
                let _ = self.packets.try_send_to(&reset, client.into());
            }
            Decision::HandOff { helper } => {
                self.metrics.handed_off.inc();
                self.link.send(helper, &PeerMessage::HandOff { packet });
            }
            Decision::Queue { ask, service, demand, inputs } => {
                self.packet_deferred.notify_one();
                self.metrics.openings_queued.inc();
                self.decisions.queued(&flow, inputs, now);
                self.request_capacity(&ask, service, demand);
                self.update_queue_length();
            }
            Decision::Drop(DropReason::SearchEnded | DropReason::SearchGoesOn) => {}
            Decision::Drop(DropReason::SearchWaits { .. }) => {
                self.packet_deferred.notify_one();
                self.metrics.searches_deferred.inc();
            }
            Decision::Drop(reason) => {
                self.packet_deferred.notify_one();
                self.metrics.dropped.increment(reason.label());
                self.decisions.dropped(&flow, reason, self.known_state(now), now);
            }
        }
    }

    /// Sends a packet to an agent. A search packet visits the agents in `next` afterwards, in
    /// this order.
    fn forward(&self, forward: &Forward, agent: Ipv4Addr, next: &[Ipv4Addr], packet: &[u8]) {
        self.metrics.forwarded.increment(forward.reason.label());
        let message = PeerMessage::Forward {
            service: forward.service.0,
            search: forward.is_search().then(|| self.search_path(next)),
            may_wait: forward.may_wait(),
            urgent: forward.urgent,
            granted: forward.granted,
            packet,
        };
        self.link.send(agent, &message);
    }

    fn search_path(&self, next: &[Ipv4Addr]) -> SearchPath {
        let next = next.iter().map(|agent| agent.to_bits()).collect();
        SearchPath { balancer: self.address.to_bits(), next }
    }

    fn log_forwarded(&self, flow: &FlowKey, forward: &Forward, now: Millis) {
        match forward.reason {
            ForwardReason::Held => {}
            ForwardReason::Search => {
                self.decisions.search(&forwarded(flow, forward), self.known_state(now), now);
            }
            _ => self.decisions.opening(&forwarded(flow, forward), self.known_state(now), now),
        }
    }

    fn known_state(&self, now: Millis) -> KnownState {
        let node = self.node.borrow();
        KnownState {
            configuration: node.view().label(),
            revision: node.position().revision,
            age_ms: node.age(now),
        }
    }

    /// Queries agents once the store's data is fresh again after it was lost: the records of
    /// running targets may be missing.
    fn query_agents_if_regained(&self) {
        let regained = self.node.borrow_mut().take_view_regained();
        if let Some(regained_at) = regained {
            self.core.borrow_mut().note_store_regained(regained_at);
            self.link.query_agents();
        }
    }

    async fn tick(self: Rc<Self>) {
        loop {
            let now = self.clock.now();
            self.link.tick();
            self.query_agents_if_regained();
            {
                let node = self.node.borrow();
                let mut core = self.core.borrow_mut();
                core.expire(node.view(), now);
                self.metrics.flows.set(core.flow_count() as i64);
            }
            let is_starting = self.node.borrow().has_no_configuration() && now < STARTUP_PERIOD_MS;
            tokio::time::sleep(if is_starting { STARTUP_TICK_INTERVAL } else { TICK_INTERVAL })
                .await;
        }
    }
}

fn endpoint((address, port): (u32, u16)) -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::from_bits(address), port)
}

fn forwarded<'a>(flow: &'a FlowKey, forward: &'a Forward) -> Forwarded<'a> {
    Forwarded {
        flow,
        agent: forward.agent,
        reason: forward.reason.label(),
        inputs: forward.inputs.as_ref(),
    }
}
