//! The balancer daemon.

mod intake;
mod queueing;
mod resting;
mod watch;

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
use crate::base::Base;
use crate::clock::Clock;
use crate::events::{Basis, DecisionLog, Forwarded};
use crate::fleet_node::FleetNode;
use crate::link::PeerLink;
use crate::metrics::{BalancerMetrics, StoreMetrics};
use crate::platform::Platform;
use crate::process::{ProcessLog, Signals};
use crate::reload::{Reloaded, SettingsWatch};
use crate::settings::{BalancerSettings, RawSettings};
use crate::status::{Status, serve_status};
use crate::store::StoreReader;

/// How often digests go out and old state is dropped.
const TICK: Duration = Duration::from_millis(500);
/// How often seeds are asked soon after the start, until one knows something.
const EAGER_TICK: Duration = Duration::from_millis(40);
/// How long after the start that is.
const EAGER_MS: Millis = 2_000;

struct Daemon<P> {
    platform: P,
    clock: Clock,
    node: Rc<RefCell<FleetNode>>,
    core: RefCell<Balancer>,
    backlog: RefCell<Backlog>,
    /// Balancers that take packets of unknown flows over; empty unless pressed.
    helpers: RefCell<Vec<Ipv4Addr>>,
    packets: UdpSocket,
    link: Rc<PeerLink>,
    address: Ipv4Addr,
    client_port: u16,
    metrics: BalancerMetrics,
    decisions: DecisionLog,
    log: Logger,
    last_packet_at: RefCell<Millis>,
    /// Told when a packet could not go anywhere yet: it is decided about again soon.
    packet_rests: Notify,
}

/// Runs a balancer until it is told to stop.
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
    let (base, (balancer_metrics, store_metrics)) =
        Base::start(&common, PeerRole::Balancer, process_log, declare).await?;
    let Base { clock, log, node, link, metrics } = base;
    let packets = UdpSocket::bind(common.packets)
        .await
        .wrap_err_with(|| format!("bind packets at {}", common.packets))?;
    let limits =
        BalancerLimits { processor_permille: common.capacity, link_kbps: common.link_kbps };
    let core = Balancer::with_limits(common.timing, limits);
    let status = Status::new(Rc::clone(&node));
    serve_status(&platform, &common, status.clone(), metrics).await?;
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
        packet_rests: Notify::new(),
    });
    let reader =
        StoreReader::new(platform, &common, Rc::clone(&node), clock, store_metrics, log.clone());
    start_tasks(&daemon, reader, status.clone());
    let watch = SettingsWatch {
        file: settings_file,
        current: common.clone(),
        read: |file: &str| {
            let common = RawSettings::from_file(file)?.into_balancer(file)?.common;
            Ok(Reloaded { common, role_unchanged: true })
        },
        node,
        log: log.clone(),
    };
    tokio::task::spawn_local(watch.run(signals.clone()));
    info!(log, "balancer: started"; "event" => "start", "zone" => &common.zone,
        "address" => common.address.to_string());
    signals.stopped().await;
    status.stop();
    daemon.link.announce_stop();
    info!(log, "balancer: stopping"; "event" => "stop", "flows" => daemon.flow_count());
    daemon.serve_until_routers_left(common.stop_limit_ms).await;
    info!(log, "balancer: stopped"; "event" => "stopped", "flows" => daemon.flow_count());
    Ok(())
}

fn start_tasks<P: Platform>(daemon: &Rc<Daemon<P>>, reader: StoreReader<P>, status: Status) {
    let news = Rc::clone(daemon);
    tokio::task::spawn_local(reader.run(move || {
        news.link.spread_news();
        news.note_regained();
    }));
    tokio::task::spawn_local(Rc::clone(daemon).take_datagrams());
    tokio::task::spawn_local(Rc::clone(daemon).continue_resting());
    tokio::task::spawn_local(Rc::clone(daemon).tick());
    tokio::task::spawn_local(Rc::clone(daemon).watch_isolation(status.clone()));
    tokio::task::spawn_local(Rc::clone(daemon).watch_pressure(status));
}

impl<P: Platform> Daemon<P> {
    fn flow_count(&self) -> usize {
        self.core.borrow().flow_count()
    }

    /// Takes a packet that a router handed to this balancer.
    fn handle_client_packet(&self, packet: &[u8]) {
        let now = self.clock.now();
        *self.last_packet_at.borrow_mut() = now;
        self.decide_packet(packet, &self.helpers.borrow(), now);
    }

    /// Takes a packet that another balancer had no time for.
    fn handed_packet(&self, packet: &[u8], now: Millis) {
        self.metrics.handed_in.inc();
        self.decide_packet(packet, &[], now);
    }

    fn decide_packet(&self, packet: &[u8], helpers: &[Ipv4Addr], now: Millis) {
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
        self.carry_out(decision, &header, packet, now);
    }

    fn peer_message(&self, datagram: &[u8], sender: Ipv4Addr) {
        let now = self.clock.now();
        let message: PeerMessage<'_> = match decode(datagram) {
            Ok(message) => message,
            Err(error) => return self.link.refuse(error),
        };
        match message {
            PeerMessage::Digest(digest) => {
                if let Some(claim) = &digest.target {
                    self.core.borrow_mut().note_target_status(sender, digest.zone, claim, now);
                }
                self.link.on_digest(&digest, sender);
                self.note_regained();
                if self.node.borrow().knows_nothing() {
                    self.choose_helpers(now);
                }
            }
            PeerMessage::Returned { reason, granted, load, packet } => {
                let Ok(header) = self.platform.decode(packet) else { return };
                let decision = self.decide(now, |core, context| {
                    core.note_answer(sender, load, now);
                    let packet = ClientPacket { header: &header, bytes: packet };
                    core.handle_returned_packet(context, packet, sender, reason, granted)
                });
                self.carry_out(decision, &header, packet, now);
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
            PeerMessage::HandOff { packet } => self.handed_packet(packet, now),
            PeerMessage::TargetEnded => self.core.borrow_mut().note_target_ended(sender, now),
            PeerMessage::ProbeAnswer => self.core.borrow_mut().note_probe_answer(now),
            PeerMessage::Grant { service, urgent_only, load } => {
                let service = ServiceId(service);
                let grant = CapacityGrant { agent: sender, service, urgent_only, load };
                self.take_grant(&grant, now);
            }
            PeerMessage::Forward { .. }
            | PeerMessage::Declined
            | PeerMessage::Record(_)
            | PeerMessage::Probe
            | PeerMessage::Demand { .. } => {
                self.link.refuse_unexpected();
            }
        }
    }

    fn decide<T>(&self, now: Millis, decide: impl FnOnce(&mut Balancer, &Context<'_>) -> T) -> T {
        let node = self.node.borrow();
        let fresh = node.is_fresh(now);
        let unix_ms = self.clock.unix_ms();
        let context = Context { view: node.view(), fresh, helpers: &[], now, unix_ms };
        decide(&mut self.core.borrow_mut(), &context)
    }

    fn carry_out(&self, decision: Decision, header: &PacketHeader, packet: &[u8], now: Millis) {
        let flow = header.client_flow();
        match decision {
            Decision::Forward(forward) => {
                self.log_forwarded(&flow, &forward, now);
                self.forward(&forward, forward.agent, &forward.next, packet);
                for row in &forward.further_paths {
                    if let Some((first, next)) = row.split_first() {
                        self.forward(&forward, *first, next, packet);
                    }
                }
            }
            Decision::Reset { sequence, reason } => {
                self.metrics.resets.increment(reason.label());
                match reason {
                    ResetReason::Overloaded { inputs } => {
                        self.decisions.refused(&flow, inputs, self.basis(now), now);
                    }
                    _ => self.decisions.reset(&flow, reason.label(), self.basis(now), now),
                }
                let reset = self.platform.build_reset(&flow, sequence);
                let client = SocketAddrV4::new(*flow.client.ip(), self.client_port);
                // Like any datagram, a reset may be lost; the client asks again.
                let _ = self.packets.try_send_to(&reset, client.into());
            }
            Decision::HandOff { helper } => {
                self.metrics.handed_off.inc();
                self.link.send(helper, &PeerMessage::HandOff { packet });
            }
            Decision::Queue { ask, service, demand, inputs } => {
                self.packet_rests.notify_one();
                self.metrics.openings_queued.inc();
                self.decisions.queued(&flow, inputs, now);
                self.ask_for_room(&ask, service, demand);
                self.show_queue_length();
            }
            Decision::Drop(DropReason::SearchEnded | DropReason::SearchGoesOn) => {}
            Decision::Drop(DropReason::SearchWaits { .. }) => {
                self.packet_rests.notify_one();
                self.metrics.searches_deferred.inc();
            }
            Decision::Drop(reason) => {
                self.packet_rests.notify_one();
                self.metrics.dropped.increment(reason.label());
                self.decisions.dropped(&flow, reason, self.basis(now), now);
            }
        }
    }

    /// Sends a packet to an agent; a searching one goes on to `next` in turn.
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
                self.decisions.search(&forwarded(flow, forward), self.basis(now), now);
            }
            _ => self.decisions.opening(&forwarded(flow, forward), self.basis(now), now),
        }
    }

    fn basis(&self, now: Millis) -> Basis {
        let node = self.node.borrow();
        Basis {
            configuration: node.view().label(),
            revision: node.position().revision,
            age_ms: node.age(now),
        }
    }

    /// After the store's word was lost, living targets may lack records: their
    /// agents are asked.
    fn note_regained(&self) {
        let regained = self.node.borrow_mut().take_regained();
        if let Some(regained_at) = regained {
            self.core.borrow_mut().note_store_regained(regained_at);
            self.link.ask_agents();
        }
    }

    async fn tick(self: Rc<Self>) {
        loop {
            let now = self.clock.now();
            self.link.tick();
            self.note_regained();
            {
                let node = self.node.borrow();
                let mut core = self.core.borrow_mut();
                core.expire(node.view(), now);
                self.metrics.flows.set(core.flow_count() as i64);
            }
            let eager = self.node.borrow().knows_nothing() && now < EAGER_MS;
            tokio::time::sleep(if eager { EAGER_TICK } else { TICK }).await;
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
