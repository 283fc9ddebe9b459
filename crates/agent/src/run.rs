//! Starts an agent, carries out its decisions, and stops it.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::{Duration, Instant};

use eyre::{WrapErr, eyre};
use slog::{Logger, info, warn};
use tokio::net::UdpSocket;
use tokio::sync::mpsc;
use weirhinge_config::{AgentSettings, ConfigDocument, HashKey};
use weirhinge_flow::RefusalReason;
use weirhinge_observe::{BoundAddresses, Health, HealthSource, Metrics, start_admin};
use weirhinge_packet::{FlowKey, Protocol};
use weirhinge_platform::{ConfigFollower, ConfigFreshness, FollowerLog};
use weirhinge_routing::HolderHint;
use weirhinge_stack::{PacketSink, SpliceEnd};
use weirhinge_wire::{
    AgentMessage, Delivery, HolderAnswer, HolderQuery, PacketEnvelope, decode, encode_into,
};

use crate::dispatch::{Announcement, Dispatch, Dispatcher, PassOn};
use crate::fabric::FabricSink;
use crate::load::InFlight;
use crate::metrics::AgentMetrics;
use crate::plant::Plant;
use crate::tcp_flow::TcpFlow;
use crate::timestamps;
use crate::udp_flow::UdpFlow;
use crate::view::AgentView;

/// Receive buffer asked of the kernel, in bytes.
const RECEIVE_BUFFER: usize = 8 << 20;
/// Room for one datagram.
const DATAGRAM_ROOM: usize = 2_048;
/// Most datagrams handled before other events get their turn.
const RECEIVE_BURST: usize = 64;
/// Packets of one flow that may wait for its task; further ones are dropped.
const FLOW_QUEUE: usize = 64;
/// Time between two rounds of housekeeping.
const HOUSEKEEPING_INTERVAL: Duration = Duration::from_millis(500);
/// After the last flow of a planned stop: how long the agent passes on what
/// stale balancers still send, once nothing has come for this long.
const QUIET_BEFORE_STOP: Duration = Duration::from_secs(2);
/// The longest that it does so.
const LONGEST_QUIET_WAIT: Duration = Duration::from_secs(10);

/// What a flow's task reports to the main loop.
#[derive(Debug)]
pub(crate) enum FlowEvent {
    /// The handshake is complete.
    Opened { key: FlowKey, has_timestamps: bool },
    /// The back end took no connection; nothing was answered to the caller yet.
    NotOpened { flow: FlowId, reason: RefusalReason, opening_packet: Vec<u8> },
    /// The flow has ended.
    Ended { flow: FlowId, end: SpliceEnd },
}

/// Tells two flows of one key apart: an event of the earlier one must not touch
/// the later one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct FlowId {
    pub(crate) key: FlowKey,
    pub(crate) number: u64,
}

/// How the main loop reaches a flow's task.
#[derive(Debug)]
struct FlowHandle {
    queue: mpsc::Sender<Vec<u8>>,
    number: u64,
}

/// What the main loop shares with the health endpoint.
#[derive(Debug, Default)]
struct SharedState {
    revision: AtomicU64,
    flows: AtomicU64,
    stopping: AtomicBool,
}

struct AgentHealth {
    settings: AgentSettings,
    shared: Arc<SharedState>,
    freshness: Arc<ConfigFreshness>,
}

impl HealthSource for AgentHealth {
    fn health(&self) -> Health {
        Health {
            name: self.settings.name.clone(),
            zone: self.settings.zone.clone(),
            revision: self.shared.revision.load(Ordering::Relaxed),
            configuration_age_seconds: self.freshness.age_seconds(),
            stopping: self.shared.stopping.load(Ordering::Relaxed),
            flows: self.shared.flows.load(Ordering::Relaxed),
        }
    }
}

struct Agent {
    settings: AgentSettings,
    log: Logger,
    socket: Arc<UdpSocket>,
    sink: FabricSink,
    dispatcher: Dispatcher<FlowHandle>,
    next_flow: u64,
    in_flight: InFlight,
    metrics: AgentMetrics,
    shared: Arc<SharedState>,
    events: mpsc::UnboundedSender<FlowEvent>,
    last_datagram: Instant,
    envelope: Vec<u8>,
}

/// Runs an agent until `stop` asks for a planned stop and its last flow has
/// ended or the stated deadline has passed. `ready` is told the bound addresses.
///
/// # Errors
/// Names the step and the address that failed.
pub async fn run(
    settings: AgentSettings,
    plant: Option<Plant>,
    log: Logger,
    ready: impl FnOnce(BoundAddresses),
    stop: impl Future<Output = ()>,
) -> eyre::Result<()> {
    let key = HashKey::from_file(&settings.keys_file)?;
    let mut declared = Metrics::new();
    let metrics = AgentMetrics::declare(&mut declared);
    let shared = Arc::new(SharedState::default());
    let freshness = Arc::new(ConfigFreshness::default());
    let health = Arc::new(AgentHealth {
        settings: settings.clone(),
        shared: shared.clone(),
        freshness: freshness.clone(),
    });
    timestamps::initialise(HolderHint(settings.target), random_u64()? as u32);
    let socket = UdpSocket::bind(settings.listen)
        .await
        .wrap_err_with(|| format!("bind data socket at {}", settings.listen))?;
    let data = socket.local_addr().wrap_err("read the data socket's address")?;
    // The kernel grants what its limit allows; less is no error.
    let _ = socket2::SockRef::from(&socket).set_recv_buffer_size(RECEIVE_BUFFER);
    let admin = start_admin(settings.admin, health, declared.freeze(), &log)?;
    info!(log, "agent: Started."; "data" => %data, "admin" => %admin.address());
    ready(BoundAddresses { data, admin: admin.address() });

    let (documents, new_documents) = mpsc::unbounded_channel();
    let follower = ConfigFollower {
        platform: settings.platform,
        freshness,
        errors: metrics.platform_errors.clone(),
        log: FollowerLog { log: log.clone(), part: "agent" },
    };
    let target = settings.target;
    let follow = follower.run(move |document| {
        // The main loop is gone only when the process is ending.
        let _ = documents.send(AgentView::build(&document, &key, target));
    });
    let (events, new_events) = mpsc::unbounded_channel();
    let mut agent = Agent::new(settings, log, Arc::new(socket), metrics, shared, events, &key);
    if let Some(plant) = plant {
        warn!(agent.log, "agent: Runs with a planted defect."; "defect" => ?plant);
        agent.dispatcher.plant(plant);
    }
    tokio::select! {
        () = follow => Err(eyre!("follow configuration: ended unexpectedly")),
        result = agent.run(new_documents, new_events, stop) => result,
    }
}

/// Sleeps until a packet falls due, for ever if none waits.
async fn sleep_until_due(due: Option<Instant>) {
    match due {
        Some(due) => tokio::time::sleep_until(due.into()).await,
        None => std::future::pending().await,
    }
}

fn random_u64() -> eyre::Result<u64> {
    getrandom::u64().map_err(|error| eyre!("read the system's random source: {error}"))
}

impl Agent {
    fn new(
        settings: AgentSettings,
        log: Logger,
        socket: Arc<UdpSocket>,
        metrics: AgentMetrics,
        shared: Arc<SharedState>,
        events: mpsc::UnboundedSender<FlowEvent>,
        key: &HashKey,
    ) -> Self {
        let view = AgentView::build(&ConfigDocument::default(), key, settings.target);
        let now = Instant::now();
        let dispatcher = Dispatcher::new(
            settings.target,
            settings.candidates,
            settings.half_open_limit,
            view,
            now,
        );
        let sink = FabricSink {
            socket: socket.clone(),
            fabric: settings.fabric,
            unsent: metrics.packets_unsent.clone(),
        };
        Self {
            settings,
            log,
            socket,
            sink,
            dispatcher,
            next_flow: 0,
            in_flight: InFlight::default(),
            metrics,
            shared,
            events,
            last_datagram: now,
            envelope: Vec::with_capacity(DATAGRAM_ROOM),
        }
    }

    async fn run(
        mut self,
        mut documents: mpsc::UnboundedReceiver<AgentView>,
        mut events: mpsc::UnboundedReceiver<FlowEvent>,
        stop: impl Future<Output = ()>,
    ) -> eyre::Result<()> {
        let mut housekeeping = tokio::time::interval(HOUSEKEEPING_INTERVAL);
        let mut stop_began: Option<Instant> = None;
        tokio::pin!(stop);
        loop {
            tokio::select! {
                readable = self.socket.readable() => {
                    readable.wrap_err("wait for messages")?;
                    self.receive_burst();
                }
                Some(event) = events.recv() => self.handle_event(event),
                () = sleep_until_due(self.dispatcher.next_standby()) => self.act_on_standby(),
                Some(view) = documents.recv() => self.apply(view),
                _ = housekeeping.tick() => {
                    self.keep_house();
                    if stop_began.is_some_and(|began| self.may_end(began)) {
                        info!(self.log, "agent: Stopped.");
                        return Ok(());
                    }
                }
                () = &mut stop, if stop_began.is_none() => {
                    stop_began = Some(Instant::now());
                    self.begin_stop();
                }
            }
        }
    }

    fn apply(&mut self, view: AgentView) {
        let revision = view.table.revision();
        if view.own.is_none() {
            warn!(self.log, "agent: Configuration does not know this target.";
                "target" => self.settings.target.0, "revision" => revision);
        }
        for Announcement { agent, answer } in self.dispatcher.apply(view, Instant::now()) {
            self.answer(agent, answer);
        }
        self.shared.revision.store(revision, Ordering::Relaxed);
        self.metrics.revision.set(i64::try_from(revision).unwrap_or(i64::MAX));
    }

    fn begin_stop(&mut self) {
        self.dispatcher.begin_stop();
        self.shared.stopping.store(true, Ordering::Relaxed);
        info!(self.log, "agent: Planned stop began; waiting for open flows.";
            "flows" => self.dispatcher.flows.len());
    }

    /// Whether a planned stop that began then may end the process now.
    fn may_end(&self, began: Instant) -> bool {
        let flows = self.dispatcher.flows.len();
        let deadline = self.settings.stop_deadline_seconds.map(Duration::from_secs);
        if flows > 0 {
            let passed = deadline.is_some_and(|deadline| began.elapsed() >= deadline);
            if passed {
                self.metrics.flows_broken.inc_by(flows as u64);
                warn!(self.log, "agent: Deadline passed; cutting open flows."; "cut" => flows);
            }
            return passed;
        }
        self.last_datagram.elapsed() >= QUIET_BEFORE_STOP || began.elapsed() >= LONGEST_QUIET_WAIT
    }

    fn keep_house(&mut self) {
        self.dispatcher.expire(Instant::now());
        let flows = self.dispatcher.flows.len();
        self.shared.flows.store(flows as u64, Ordering::Relaxed);
        self.metrics.flows_open.set(i64::try_from(flows).unwrap_or(i64::MAX));
        self.metrics.in_flight.set(i64::from(self.in_flight.count()));
    }

    fn receive_burst(&mut self) {
        let socket = self.socket.clone();
        let mut datagram = [0; DATAGRAM_ROOM];
        for _ in 0..RECEIVE_BURST {
            // Errors of earlier sends (a peer's port is closed) surface here too.
            let Ok((length, _)) = socket.try_recv_from(&mut datagram) else {
                return;
            };
            self.metrics.messages_in.inc();
            self.last_datagram = Instant::now();
            match decode(&datagram[..length]) {
                Ok(message) => self.handle_message(&message),
                Err(_) => self.metrics.packets_dropped.increment("foreign_message"),
            }
        }
    }

    fn handle_message(&mut self, message: &AgentMessage<'_>) {
        let in_flight = self.in_flight.count();
        let dispatch = self.dispatcher.handle(message, in_flight, Instant::now());
        self.carry_out(dispatch, message);
    }

    fn carry_out(&mut self, dispatch: Dispatch, message: &AgentMessage<'_>) {
        match (dispatch, message) {
            (Dispatch::Deliver(key), AgentMessage::Packet(envelope)) => {
                self.deliver(&key, envelope.packet);
            }
            (Dispatch::Open { key, announce }, AgentMessage::Packet(envelope)) => {
                self.open(key, envelope.packet.to_vec());
                for Announcement { agent, answer } in announce {
                    self.answer(agent, answer);
                }
            }
            (Dispatch::Release { packets, pass_on }, _) => self.release(&packets, &pass_on),
            (Dispatch::PassOn(ways), AgentMessage::Packet(envelope)) => {
                for way in &ways {
                    self.pass_on(way, envelope);
                }
            }
            (Dispatch::Several(all), _) => {
                for dispatch in all {
                    self.carry_out(dispatch, message);
                }
            }
            (Dispatch::Abandon(key), _) => {
                // Its task ends silently when its queue is gone.
                self.dispatcher.flows.release(&key);
            }
            (Dispatch::Ask { query, agents }, _) => self.ask(query, &agents),
            (Dispatch::Answer { agent, answer }, _) => self.answer(agent, answer),
            (Dispatch::Reset { packet, reason }, _) => {
                self.metrics.flows_refused.increment(reason);
                self.sink.send(&packet);
            }
            (Dispatch::Drop(reason), _) => self.metrics.packets_dropped.increment(reason),
            (
                Dispatch::Learned
                | Dispatch::Deliver(_)
                | Dispatch::Open { .. }
                | Dispatch::PassOn(_),
                _,
            ) => {}
        }
    }

    fn deliver(&mut self, key: &FlowKey, packet: &[u8]) {
        if let Some(handle) = self.dispatcher.flows.get(key)
            && handle.queue.try_send(packet.to_vec()).is_err()
        {
            self.metrics.packets_dropped.increment("flow_queue_full");
        }
    }

    fn open(&mut self, key: FlowKey, opening_packet: Vec<u8>) {
        let Some(own) = self.dispatcher.view().own else {
            return;
        };
        let plant = self.dispatcher.planted();
        let seed = match random_u64() {
            Ok(seed) => seed,
            Err(_) => return self.metrics.packets_dropped.increment("no_random_source"),
        };
        let (queue, packets) = mpsc::channel(FLOW_QUEUE);
        self.next_flow += 1;
        let id = FlowId { key, number: self.next_flow };
        let handle = FlowHandle { queue, number: id.number };
        if let Err(error) = self.dispatcher.flows.insert(key, handle, Instant::now()) {
            return self.metrics.packets_dropped.increment(error.name());
        }
        let sink = self.sink.clone();
        let in_flight = self.in_flight.begin();
        let events = self.events.clone();
        match key.protocol {
            Protocol::Tcp => {
                let flow = TcpFlow {
                    id,
                    own,
                    opening_packet,
                    packets,
                    sink,
                    in_flight,
                    events,
                    seed,
                    plant,
                };
                tokio::spawn(flow.run());
            }
            Protocol::Udp => {
                let flow = UdpFlow { id, own, opening_packet, packets, sink, in_flight, events };
                tokio::spawn(flow.run());
            }
        }
    }

    fn pass_on(&mut self, pass_on: &PassOn, envelope: &PacketEnvelope<'_>) {
        let message = AgentMessage::Packet(PacketEnvelope {
            revision: self.dispatcher.view().table.revision(),
            target: pass_on.target.0,
            delivery: pass_on.delivery,
            hops: envelope.hops.saturating_add(1),
            ..*envelope
        });
        self.metrics.packets_passed_on.increment(match pass_on.delivery {
            Delivery::Offered(_) => "offered",
            Delivery::Assigned => "assigned",
            Delivery::Forwarded => "forwarded",
            Delivery::Owner | Delivery::Hinted | Delivery::Standby => "owner",
        });
        self.send(pass_on.agent, &message);
    }

    fn ask(&mut self, query: HolderQuery, agents: &[SocketAddr]) {
        for &agent in agents {
            let sent = self.send(agent, &AgentMessage::HolderQuery(query));
            self.metrics.control_bytes.inc_by(sent as u64);
        }
    }

    fn release(&mut self, packets: &[Vec<u8>], pass_on: &PassOn) {
        for packet in packets {
            if let Some(envelope) = self.own_envelope(packet) {
                self.pass_on(pass_on, &envelope);
            }
        }
    }

    /// An envelope as if a balancer had sent the packet here.
    fn own_envelope<'a>(&self, packet: &'a [u8]) -> Option<PacketEnvelope<'a>> {
        let view = self.dispatcher.view();
        let own = view.own?;
        Some(PacketEnvelope {
            revision: view.table.revision(),
            service: own.fence.service.0,
            target: own.fence.target.0,
            delivery: Delivery::Forwarded,
            hops: 0,
            packet,
        })
    }

    fn answer(&mut self, agent: SocketAddr, answer: HolderAnswer) {
        let sent = self.send(agent, &AgentMessage::HolderAnswer(answer));
        self.metrics.control_bytes.inc_by(sent as u64);
    }

    /// Sends a message to another agent; returns the bytes sent. A message that
    /// the kernel does not take is lost like any other datagram.
    fn send(&mut self, agent: SocketAddr, message: &AgentMessage<'_>) -> usize {
        if encode_into(message, &mut self.envelope).is_err() {
            self.metrics.packets_dropped.increment("encoding");
            return 0;
        }
        match self.socket.try_send_to(&self.envelope, agent) {
            Ok(length) => length,
            Err(_) => {
                self.metrics.packets_unsent.inc();
                0
            }
        }
    }

    /// Acts in the place of owners that have not claimed their packets.
    fn act_on_standby(&mut self) {
        while let Some(due) = self.dispatcher.take_due_standby(Instant::now()) {
            self.metrics.standby_acted.inc();
            if let Some(envelope) = self.own_envelope(&due.packet) {
                self.handle_message(&AgentMessage::Packet(envelope));
            }
        }
    }

    fn handle_event(&mut self, event: FlowEvent) {
        match event {
            FlowEvent::Opened { key, has_timestamps } => {
                self.metrics.flows_opened.inc();
                let announcement = self.dispatcher.opened(&key, has_timestamps);
                if let Some(Announcement { agent, answer }) = announcement {
                    self.answer(agent, answer);
                }
            }
            FlowEvent::NotOpened { flow, reason, opening_packet } => {
                self.handle_not_opened(&flow, reason, &opening_packet);
            }
            FlowEvent::Ended { flow, end } => self.handle_ended(&flow, end),
        }
    }

    /// Whether the table still holds this flow and not a later one of its key.
    fn is_current(&self, flow: &FlowId) -> bool {
        let handle = self.dispatcher.flows.get(&flow.key);
        handle.is_some_and(|handle| handle.number == flow.number)
    }

    /// Nothing has run, so the flow may be tried elsewhere: the opening packet
    /// starts over, while this agent counts as having no room.
    fn handle_not_opened(&mut self, flow: &FlowId, reason: RefusalReason, packet: &[u8]) {
        if !self.is_current(flow) {
            return;
        }
        self.dispatcher.flows.release(&flow.key);
        self.dispatcher.suspect_back_end(Instant::now());
        warn!(self.log, "agent: Back end takes no connection."; "reason" => reason.name());
        if let Some(envelope) = self.own_envelope(packet) {
            self.handle_message(&AgentMessage::Packet(envelope));
        }
    }

    fn handle_ended(&mut self, flow: &FlowId, end: SpliceEnd) {
        let key = &flow.key;
        if self.is_current(flow) {
            // A flow that never opened may be tried again by its caller at once.
            if key.protocol == Protocol::Tcp && end != SpliceEnd::NeverOpened {
                self.dispatcher.flows.remove(key, Instant::now());
            } else {
                self.dispatcher.flows.release(key);
            }
        }
        self.metrics.flows_ended.increment(match end {
            SpliceEnd::Closed => "closed",
            SpliceEnd::PeerReset => "caller_reset",
            SpliceEnd::StreamFailed => "back_end_failed",
            SpliceEnd::Cancelled => "cancelled",
            SpliceEnd::NeverOpened => "never_opened",
        });
        if end == SpliceEnd::StreamFailed {
            self.metrics.flows_broken.inc();
        }
    }
}
