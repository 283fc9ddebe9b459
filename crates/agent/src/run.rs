//! Starts an agent, runs its main loop, and shuts it down.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::{Duration, Instant};

use eyre::{WrapErr, eyre};
use slog::{Logger, info, warn};
use tokio::net::UdpSocket;
use tokio::sync::mpsc;
use weirhinge_config::{AgentSettings, ConfigDocument, HashKey, Keys};
use weirhinge_document_source::{ConfigFollower, ConfigFreshness, FollowerLog, PolledSources};
use weirhinge_observe::{BoundAddresses, Health, HealthSource, Metrics, start_admin};
use weirhinge_routing::HolderHint;
use weirhinge_wire::decode;

use crate::dispatch::{Announcement, Dispatcher};
use crate::fabric::FabricSink;
use crate::flows::{FlowEvent, FlowHandle};
use crate::load::InFlight;
use crate::metrics::AgentMetrics;
use crate::planted_defect::PlantedDefect;
use crate::timestamps;
use crate::view::AgentView;

/// Size of the receive buffer requested from the kernel, in bytes.
const RECEIVE_BUFFER_BYTES: usize = 8 << 20;
/// Size of the buffer for one datagram, in bytes.
const DATAGRAM_BUFFER_BYTES: usize = 2_048;
/// Maximum number of datagrams handled before other events are polled.
const RECEIVE_BURST: usize = 64;
/// Interval between two rounds of housekeeping.
const HOUSEKEEPING_INTERVAL: Duration = Duration::from_millis(500);
/// After the last flow of a graceful shutdown has ended, the agent still passes on packets from
/// balancers with a stale configuration. It exits once no datagram has arrived for this long.
const QUIET_BEFORE_STOP: Duration = Duration::from_secs(2);
/// Time for the flows' tasks to send resets before the process exits.
const RESET_SEND_TIME: Duration = Duration::from_millis(500);
/// Once no flow is open, the agent exits this long after the graceful shutdown began, even if
/// datagrams still arrive.
const MAX_QUIET_WAIT: Duration = Duration::from_secs(10);

/// State that the main loop shares with the health endpoint.
#[derive(Debug, Default)]
pub(crate) struct SharedState {
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
            name: self.settings.common.name.clone(),
            zone: self.settings.common.zone.clone(),
            revision: self.shared.revision.load(Ordering::Relaxed),
            configuration_age_seconds: self.freshness.age_seconds(),
            stopping: self.shared.stopping.load(Ordering::Relaxed),
            flows: self.shared.flows.load(Ordering::Relaxed),
        }
    }
}

/// A running agent; owned by the main loop.
pub(crate) struct Agent {
    pub(crate) settings: AgentSettings,
    pub(crate) log: Logger,
    pub(crate) socket: Arc<UdpSocket>,
    pub(crate) sink: FabricSink,
    pub(crate) dispatcher: Dispatcher<FlowHandle>,
    pub(crate) next_flow: u64,
    pub(crate) in_flight: InFlight,
    pub(crate) metrics: AgentMetrics,
    pub(crate) shared: Arc<SharedState>,
    pub(crate) events: mpsc::UnboundedSender<FlowEvent>,
    pub(crate) last_datagram: Instant,
    pub(crate) envelope: Vec<u8>,
}

/// Runs an agent until `stop` requests a graceful shutdown and the last flow has ended or the
/// configured deadline has passed. Calls `ready` with the bound addresses.
///
/// # Errors
/// When the keys cannot be read, an address cannot be bound or the data socket fails; the error
/// names the step and, if any, the address.
pub async fn run(
    settings: AgentSettings,
    planted_defect: Option<PlantedDefect>,
    log: Logger,
    ready: impl FnOnce(BoundAddresses),
    stop: impl Future<Output = ()>,
) -> eyre::Result<()> {
    let key = Keys::from_file(&settings.common.keys_file)?.flow_hash;
    let mut registry = Metrics::new();
    let metrics = AgentMetrics::declare(&mut registry);
    let shared = Arc::new(SharedState::default());
    let freshness = Arc::new(ConfigFreshness::default());
    let health = Arc::new(AgentHealth {
        settings: settings.clone(),
        shared: shared.clone(),
        freshness: freshness.clone(),
    });
    timestamps::initialise(HolderHint(settings.target), random_u64()? as u32);
    let socket = UdpSocket::bind(settings.common.listen)
        .await
        .wrap_err_with(|| format!("bind data socket at {}", settings.common.listen))?;
    let data = socket.local_addr().wrap_err("read the data socket's address")?;
    // The kernel may grant a smaller buffer; that is not an error.
    let _ = socket2::SockRef::from(&socket).set_recv_buffer_size(RECEIVE_BUFFER_BYTES);
    let admin = start_admin(settings.common.admin, health, registry.freeze(), &log)?;
    info!(log, "agent: Started."; "data" => %data, "admin" => %admin.address());
    ready(BoundAddresses { data, admin: admin.address(), control: None, api: None });

    let (documents, new_documents) = mpsc::unbounded_channel();
    let follower = ConfigFollower {
        platform: settings.common.platform,
        sources: PolledSources::Balancers,
        freshness,
        errors: metrics.platform_errors.clone(),
        log: FollowerLog { log: log.clone(), prefix: "agent" },
    };
    let target = settings.target;
    let follow = follower.run(move |document| {
        // The main loop is gone only while the process exits.
        let _ = documents.send(AgentView::build(&document, &key, target));
    });
    let (events, new_events) = mpsc::unbounded_channel();
    let mut agent = Agent::new(settings, log, Arc::new(socket), metrics, shared, events, &key);
    if let Some(planted_defect) = planted_defect {
        warn!(agent.log, "agent: Running with a planted defect."; "defect" => ?planted_defect);
        agent.dispatcher.enable_defect(planted_defect);
    }
    tokio::select! {
        () = follow => Err(eyre!("follow configuration: ended unexpectedly")),
        result = agent.run(new_documents, new_events, stop) => result,
    }
}

/// Sleeps until `due`, or forever if nothing is due.
async fn sleep_until_due(due: Option<Instant>) {
    match due {
        Some(due) => tokio::time::sleep_until(due.into()).await,
        None => std::future::pending().await,
    }
}

pub(crate) fn random_u64() -> eyre::Result<u64> {
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
            envelope: Vec::with_capacity(DATAGRAM_BUFFER_BYTES),
        }
    }

    async fn run(
        mut self,
        mut documents: mpsc::UnboundedReceiver<AgentView>,
        mut events: mpsc::UnboundedReceiver<FlowEvent>,
        stop: impl Future<Output = ()>,
    ) -> eyre::Result<()> {
        let mut housekeeping = tokio::time::interval(HOUSEKEEPING_INTERVAL);
        let mut shutdown_began: Option<Instant> = None;
        tokio::pin!(stop);
        loop {
            tokio::select! {
                readable = self.socket.readable() => {
                    readable.wrap_err("wait for messages")?;
                    self.receive_burst();
                }
                Some(event) = events.recv() => self.handle_event(event),
                () = sleep_until_due(self.dispatcher.next_due()) => self.handle_due_openings(),
                Some(view) = documents.recv() => self.apply(view),
                _ = housekeeping.tick() => {
                    self.run_housekeeping();
                    if shutdown_began.is_some_and(|began| self.can_exit(began)) {
                        self.reset_open_flows().await;
                        info!(self.log, "agent: Stopped.");
                        return Ok(());
                    }
                }
                () = &mut stop, if shutdown_began.is_none() => {
                    shutdown_began = Some(Instant::now());
                    self.begin_shutdown();
                }
            }
        }
    }

    fn apply(&mut self, view: AgentView) {
        let revision = view.table.revision();
        if view.own.is_none() {
            warn!(self.log, "agent: Configuration does not contain this target.";
                "target" => self.settings.target.0, "revision" => revision);
        }
        for Announcement { agent, answer } in self.dispatcher.apply(view, Instant::now()) {
            self.answer(agent, answer);
        }
        self.shared.revision.store(revision, Ordering::Relaxed);
        self.metrics.revision.set(i64::try_from(revision).unwrap_or(i64::MAX));
    }

    fn begin_shutdown(&mut self) {
        self.dispatcher.begin_shutdown();
        self.shared.stopping.store(true, Ordering::Relaxed);
        info!(self.log, "agent: Graceful shutdown began; waiting for open flows.";
            "flows" => self.dispatcher.flows.len());
    }

    /// Whether the process may exit now, given when the graceful shutdown began.
    fn can_exit(&self, began: Instant) -> bool {
        let flows = self.dispatcher.flows.len();
        let deadline = self.settings.stop_deadline_seconds.map(Duration::from_secs);
        if flows > 0 {
            let passed = deadline.is_some_and(|deadline| began.elapsed() >= deadline);
            if passed {
                self.metrics.flows_broken.inc_by(flows as u64);
                warn!(self.log, "agent: Shutdown deadline passed; resetting open flows.";
                    "cut" => flows);
            }
            return passed;
        }
        self.last_datagram.elapsed() >= QUIET_BEFORE_STOP || began.elapsed() >= MAX_QUIET_WAIT
    }

    /// Resets all open flows, so that their clients reconnect at once.
    async fn reset_open_flows(&mut self) {
        if self.dispatcher.flows.is_empty() {
            return;
        }
        // A flow's task resets its client once its queue is closed.
        self.dispatcher.flows.clear();
        tokio::time::sleep(RESET_SEND_TIME).await;
    }

    fn run_housekeeping(&mut self) {
        self.dispatcher.expire(Instant::now());
        let flows = self.dispatcher.flows.len();
        self.shared.flows.store(flows as u64, Ordering::Relaxed);
        self.metrics.flows_open.set(i64::try_from(flows).unwrap_or(i64::MAX));
        self.metrics.in_flight.set(i64::from(self.in_flight.count()));
    }

    fn receive_burst(&mut self) {
        let socket = self.socket.clone();
        let mut datagram = [0; DATAGRAM_BUFFER_BYTES];
        for _ in 0..RECEIVE_BURST {
            // Errors of earlier sends (such as a peer's closed port) are also reported here.
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
}
