//! The link of a daemon to its peers: a UDP socket for messages, and fetches over TCP.

use std::cell::{Cell, RefCell};
use std::net::{Ipv4Addr, SocketAddrV4};
use std::rc::Rc;

use eyre::WrapErr;
use slog::{Logger, warn};
use tokio::net::UdpSocket;
use weirhinge_fleet::{
    Digest, FetchRequest, MessageError, Millis, PeerMessage, Position, TargetRecord, Update, encode,
};

use crate::clock::Clock;
use crate::fleet_node::FleetNode;
use crate::metrics::FleetMetrics;
use crate::peer_stream::{self, ResponseBudget};
use crate::settings::CommonSettings;

/// Time after which a position that a fetch has not brought is fetched from another peer.
const FETCH_RETRY_MS: Millis = 150;
/// Maximum number of fetches at the same time.
const MAX_CONCURRENT_FETCHES: usize = 2;

/// What a fetch updates.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum FetchTarget {
    /// The daemon's own state.
    State,
    /// The daemon's own state and the targets that were removed recently.
    RemovedTargets,
    /// The full replica of an agent.
    FullReplica,
}

/// Sends messages to peers, answers their digests and fetches their state.
pub struct PeerLink {
    socket: UdpSocket,
    port: u16,
    node: Rc<RefCell<FleetNode>>,
    clock: Clock,
    metrics: FleetMetrics,
    log: Logger,
    buffer: RefCell<Vec<u8>>,
    /// The position that the last fetch was started for, and when it began.
    last_fetch: Cell<(Position, Millis)>,
    /// The same for the targets that were removed recently.
    last_removed_fetch: Cell<(Position, Millis)>,
    /// The same for the full replica of an agent.
    last_replica_fetch: Cell<(Position, Millis)>,
    fetches_in_progress: Cell<usize>,
}

impl PeerLink {
    /// Opens the socket and starts to answer fetches.
    ///
    /// # Errors
    /// When the port cannot be bound.
    pub async fn start(
        settings: &CommonSettings,
        node: Rc<RefCell<FleetNode>>,
        clock: Clock,
        metrics: FleetMetrics,
        log: Logger,
    ) -> eyre::Result<Rc<Self>> {
        let address = SocketAddrV4::new(settings.address, settings.peer_port);
        let socket = UdpSocket::bind(address)
            .await
            .wrap_err_with(|| format!("bind for peers at {address}"))?;
        let answer_node = Rc::clone(&node);
        let budget = ResponseBudget::for_link(settings.link_kbps);
        let answer = move |request| answer_node.borrow().answer(request, clock.now());
        peer_stream::serve(address, budget, metrics.clone(), answer)
            .await
            .wrap_err_with(|| format!("listen for peers at {address}"))?;
        Ok(Rc::new(Self {
            socket,
            port: settings.peer_port,
            node,
            clock,
            metrics,
            log,
            buffer: RefCell::new(Vec::new()),
            last_fetch: Cell::default(),
            last_removed_fetch: Cell::default(),
            last_replica_fetch: Cell::default(),
            fetches_in_progress: Cell::default(),
        }))
    }

    /// The socket on which peers' messages arrive.
    pub fn socket(&self) -> &UdpSocket {
        &self.socket
    }

    /// Sends a message as a datagram, which may be lost. A message that cannot be encoded or
    /// sent is counted.
    pub fn send(&self, peer: Ipv4Addr, message: &PeerMessage<'_>) {
        let mut buffer = self.buffer.borrow_mut();
        if encode(message, &mut buffer).is_err() {
            return self.metrics.refused.increment("not_encoded");
        }
        let address = SocketAddrV4::new(peer, self.port);
        if self.socket.try_send_to(&buffer, address.into()).is_err() {
            self.metrics.refused.increment("not_sent");
        }
    }

    /// Counts a datagram that cannot be decoded.
    pub fn count_undecodable(&self, error: MessageError) {
        self.metrics.refused.increment(match error {
            MessageError::UnknownVersion => "unknown_version",
            MessageError::Malformed => "malformed",
            MessageError::Encoding => "not_encoded",
        });
    }

    /// Counts a message that this role does not accept.
    pub fn count_unexpected(&self) {
        self.metrics.refused.increment("unexpected");
    }

    /// Applies a digest and carries out the resulting reaction.
    pub fn on_digest(self: &Rc<Self>, digest: &Digest, sender: Ipv4Addr) {
        if digest.sender != sender.to_bits() {
            return self.metrics.refused.increment("wrong_sender");
        }
        let now = self.clock.now();
        let reaction = self.node.borrow_mut().on_digest(digest, now);
        if reaction.reply {
            self.send_digest(sender, false);
        }
        if let Some(source) = reaction.fetch_from {
            self.fetch(FetchTarget::State, source, digest.position, now);
        }
        if let Some(record) = reaction.record {
            self.send(sender, &PeerMessage::Record(record));
        }
        if reaction.requests_replica {
            self.request_replica(sender, now);
        }
        if let Some(position) = reaction.removed_targets_known {
            self.send(sender, &PeerMessage::RemovedTargetsKnown { position });
        }
        if reaction.propagate {
            self.propagate_updates();
        }
    }

    /// Handles a peer's notice that it knows the recently removed targets.
    pub fn on_removed_targets_known(self: &Rc<Self>, peer: Ipv4Addr, position: Position) {
        self.node.borrow_mut().note_removed_targets_source(peer, position);
        self.fetch_removed_targets();
    }

    /// Fetches the recently removed targets if this balancer has a state, lacks them and knows of a
    /// peer that has them.
    pub fn fetch_removed_targets(self: &Rc<Self>) {
        let now = self.clock.now();
        let source = self.node.borrow_mut().take_removed_targets_source(now);
        if let Some((peer, position)) = source {
            self.fetch(FetchTarget::RemovedTargets, peer, position, now);
        }
    }

    /// Requests that an agent keep a full replica.
    fn request_replica(&self, agent: Ipv4Addr, now: Millis) {
        let node = self.node.borrow();
        let (position, age_ms) = (node.position(), node.age(now));
        self.send(agent, &PeerMessage::ReplicaRequest { position, age_ms });
    }

    /// Handles a balancer's request that this agent keep a full replica.
    pub fn on_replica_request(
        self: &Rc<Self>,
        balancer: Ipv4Addr,
        position: Position,
        age_ms: Option<u64>,
    ) {
        let now = self.clock.now();
        let is_behind = self.node.borrow_mut().on_replica_request(position, age_ms, now);
        if is_behind {
            self.fetch(FetchTarget::FullReplica, balancer, position, now);
        }
    }

    /// Handles an agent's notice that it holds a full replica.
    pub fn on_replica_held(self: &Rc<Self>, agent: Ipv4Addr, position: Position) {
        let is_behind = self.node.borrow().needs_replica(position);
        if is_behind {
            self.fetch(FetchTarget::State, agent, position, self.clock.now());
        }
    }

    /// Sends this daemon's digest to some peers, and new records to their targets' agents.
    pub fn propagate_updates(&self) {
        let (receivers, records) = {
            let mut node = self.node.borrow_mut();
            (node.gossip_peers(), node.take_pending_records())
        };
        for receiver in receivers {
            self.send_digest(receiver, false);
        }
        for target in records {
            if let Some(agent) = target.record.as_ref().map(TargetRecord::machine) {
                self.send(agent, &PeerMessage::Record(target));
            }
        }
    }

    /// Queries the balancers to which packets may be handed off, to learn whether they respond.
    pub fn query_helpers(&self) {
        let helpers = self.node.borrow().helpers();
        for helper in helpers {
            self.send_digest(helper, true);
        }
    }

    /// Reports to some balancers whether this one is overloaded, and requests their reports.
    pub fn exchange_load_reports(&self, overloaded: bool) {
        let peers = {
            let mut node = self.node.borrow_mut();
            node.overloaded = overloaded;
            node.load_query_peers()
        };
        for peer in peers {
            self.send_digest(peer, true);
        }
    }

    /// Notifies all known balancers of the zone that this one is shutting down.
    pub fn announce_stop(&self) {
        let balancers = {
            let mut node = self.node.borrow_mut();
            node.stopping = true;
            node.zone_peers()
        };
        for balancer in balancers {
            self.send_digest(balancer, false);
        }
    }

    /// Notifies balancers that this agent's target has ended.
    pub fn announce_target_end(&self) {
        let balancers = self.node.borrow().target_ended_recipients();
        for balancer in balancers {
            self.send(balancer, &PeerMessage::TargetEnded);
        }
    }

    /// Probes some agents to learn whether they can be reached.
    pub fn probe_agents(&self) {
        let agents = self.node.borrow().agents_to_probe();
        for agent in agents {
            self.send(agent, &PeerMessage::Probe);
        }
    }

    /// Queries agents of known targets for the status of their targets.
    pub fn query_agents(&self) {
        let agents = self.node.borrow().agents_to_query();
        for agent in agents {
            self.send_digest(agent, true);
        }
    }

    /// Expires old state, sends digests to the peers that are due and updates the gauges; to be
    /// called regularly.
    pub fn tick(&self) {
        let now = self.clock.now();
        let receivers = {
            let mut node = self.node.borrow_mut();
            node.check_freshness(now);
            node.digest_recipients(now)
        };
        let replica_position = self.node.borrow().replica_position();
        for (receiver, reply) in receivers {
            self.send_digest(receiver, reply);
            if let Some(position) = replica_position {
                self.send(receiver, &PeerMessage::ReplicaHeld { position });
            }
        }
        self.update_gauges();
    }

    /// Sends this daemon's digest; `reply` requests the peer's digest in return.
    fn send_digest(&self, peer: Ipv4Addr, reply: bool) {
        let digest = self.node.borrow().digest(reply, self.clock.now());
        self.send(peer, &PeerMessage::Digest(digest));
    }

    /// Fetches a peer's state up to `position`, unless a recent fetch may still bring it.
    fn fetch(
        self: &Rc<Self>,
        target: FetchTarget,
        peer: Ipv4Addr,
        position: Position,
        now: Millis,
    ) {
        let last_fetch = match target {
            FetchTarget::State => &self.last_fetch,
            FetchTarget::RemovedTargets => &self.last_removed_fetch,
            FetchTarget::FullReplica => &self.last_replica_fetch,
        };
        let (last_position, began) = last_fetch.get();
        let is_recent = position <= last_position && now.saturating_sub(began) < FETCH_RETRY_MS;
        if is_recent || self.fetches_in_progress.get() >= MAX_CONCURRENT_FETCHES {
            return;
        }
        let Some(request) = self.fetch_request(target) else { return };
        last_fetch.set((position, now));
        self.fetches_in_progress.update(|count| count + 1);
        let link = Rc::clone(self);
        tokio::task::spawn_local(async move {
            link.fetch_from(target, peer, request).await;
            link.fetches_in_progress.update(|count| count - 1);
        });
    }

    fn fetch_request(&self, target: FetchTarget) -> Option<FetchRequest> {
        let node = self.node.borrow();
        match target {
            FetchTarget::State => Some(node.request()),
            FetchTarget::RemovedTargets => Some(node.removed_targets_request()),
            FetchTarget::FullReplica => node.full_replica_request(),
        }
    }

    async fn fetch_from(
        self: &Rc<Self>,
        target: FetchTarget,
        peer: Ipv4Addr,
        request: FetchRequest,
    ) {
        let began = self.clock.now();
        let result = peer_stream::fetch(SocketAddrV4::new(peer, self.port), request).await;
        let now = self.clock.now();
        self.metrics.fetch_seconds.observe((now - began) as f64 / 1_000.0);
        match result {
            Ok(update) => {
                self.metrics.fetches.increment("done");
                // The answer's transit time is unknown; the whole duration is its upper bound.
                self.apply_fetched(target, update.delayed_by(now.saturating_sub(began)), now);
            }
            Err(error) => {
                self.metrics.fetches.increment("failed");
                warn!(self.log, "fleet: fetch failed"; "event" => "fetch_failed",
                    "peer" => peer.to_string(), "reason" => error.to_string());
            }
        }
    }

    fn apply_fetched(self: &Rc<Self>, target: FetchTarget, update: Update, now: Millis) {
        match target {
            FetchTarget::State | FetchTarget::RemovedTargets => {
                let changed = self.node.borrow_mut().apply_from_peer(update, now);
                if changed {
                    self.propagate_updates();
                }
                self.fetch_removed_targets();
            }
            FetchTarget::FullReplica => self.node.borrow_mut().apply_to_full_replica(update, now),
        }
    }

    fn update_gauges(&self) {
        let node = self.node.borrow();
        let age = node.age(self.clock.now());
        let version = node.view().label().map_or(0, |label| label.version);
        self.metrics.revision.set(node.position().revision as i64);
        self.metrics.era.set(node.newest_era() as i64);
        self.metrics.configuration.set(version as i64);
        self.metrics.balancers.set(node.known_balancers() as i64);
        self.metrics.zones_evacuated.set(node.view().evacuated_zone_count() as i64);
        self.metrics.age_ms.set(age.map_or(-1, |age| age as i64));
        let knows_removed_targets = node.knows_removed_targets(self.clock.now());
        self.metrics.knows_removed_targets.set(i64::from(knows_removed_targets));
    }
}
