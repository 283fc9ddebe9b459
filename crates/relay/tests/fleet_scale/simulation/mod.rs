//! A fleet in simulated time: daemons with the real fleet state and the real choice of peers but no
//! data path, a store that counts its calls, datagrams that are delayed and lost, and links of
//! limited rate.

mod store;

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};
use std::net::Ipv4Addr;

use slog::{Discard, Logger, o};
use weirhinge_fleet::reader::ReadReason;
use weirhinge_fleet::{
    Digest, FetchRequest, Millis, PeerMessage, PeerRole, Position, TargetStatus, Update, encode,
};
use weirhinge_relay::FleetNode;

use crate::support::settings;

const TICK_MS: Millis = 500;
/// Tick of a balancer without a configuration.
const STARTUP_TICK_MS: Millis = 40;
const ONE_WAY_DELAY_MS: Millis = 3;
const FETCH_RETRY_MS: Millis = 150;
const FETCH_TIMEOUT_MS: Millis = 700;
const MAX_CONCURRENT_FETCHES: usize = 2;
/// Rate of each daemon's link, 20 Mbit/s.
const LINK_BYTES_PER_MS: u64 = 2_500;
/// One datagram in this many is lost.
const DATAGRAMS_PER_LOSS: u64 = 100;

/// A datagram between simulated daemons.
#[derive(Clone)]
enum Message {
    Digest(Box<Digest>),
    ReplicaRequest { position: Position, age_ms: Option<u64> },
    ReplicaHeld { position: Position },
    RemovedTargetsKnown { position: Position },
}

impl Message {
    fn to_wire(&self) -> PeerMessage<'static> {
        match self {
            Message::Digest(digest) => PeerMessage::Digest((**digest).clone()),
            Message::ReplicaRequest { position, age_ms } => {
                PeerMessage::ReplicaRequest { position: *position, age_ms: *age_ms }
            }
            Message::ReplicaHeld { position } => PeerMessage::ReplicaHeld { position: *position },
            Message::RemovedTargetsKnown { position } => {
                PeerMessage::RemovedTargetsKnown { position: *position }
            }
        }
    }
}

/// What a simulated fetch updates.
#[derive(Clone, Copy, PartialEq, Eq)]
enum FetchTarget {
    State,
    RemovedTargets,
    FullReplica,
}

enum Event {
    Tick,
    Poll,
    /// The wait after a failed call is drawn again.
    Retry,
    Deliver {
        from: Ipv4Addr,
        message: Message,
    },
    Fetched {
        target: FetchTarget,
        update: Option<Box<Update>>,
    },
    List {
        after: Position,
        reason: ReadReason,
    },
    Read {
        after: Position,
        reason: ReadReason,
    },
}

pub struct SimulatedDaemon {
    pub node: FleetNode,
    pub is_balancer: bool,
    /// When its process started; events scheduled for an earlier process are dropped.
    started_at: Millis,
    is_running: bool,
    /// The position of the last fetch of each kind, and when it was requested.
    fetching: (Position, Millis),
    fetching_removed: (Position, Millis),
    fetching_replica: (Position, Millis),
    fetches_in_progress: usize,
    /// When its link has sent all that was queued.
    link_free_at: Millis,
    /// Consecutive calls that the store did not answer.
    failures: u32,
    pub bytes: u64,
}

pub struct Simulation {
    pub now: Millis,
    queue: BinaryHeap<Reverse<(Millis, u64, usize)>>,
    /// The scheduled events, each with the start time of the process that it is for.
    events: HashMap<u64, (Millis, Event)>,
    next_event: u64,
    pub daemons: Vec<SimulatedDaemon>,
    by_address: HashMap<Ipv4Addr, usize>,
    pub store: Position,
    /// Index of the balancer whose calls the store refuses.
    pub refused_daemon: Option<usize>,
    /// Whether the store answers no balancer.
    pub is_store_down: bool,
    /// Whether the store forgets each change at once, so that it has to be listed.
    pub is_history_lost: bool,
    pub calls: u64,
    /// Calls that listed the whole store.
    pub listings: u64,
    /// Listings by daemons without state, which may be stale.
    pub stale_listings: u64,
    /// Fetches that were not answered in time.
    pub failed_fetches: u64,
    random: u64,
}

pub fn address_of(index: usize) -> Ipv4Addr {
    Ipv4Addr::from_bits(0x0a00_0001 + index as u32)
}

fn new_node(index: usize, role: PeerRole, seed: u64) -> FleetNode {
    let settings = settings(address_of(index), (0..3).map(address_of));
    let mut node = FleetNode::with_seed(&settings, role, Logger::root(Discard, o!()), seed);
    node.target_status = (role == PeerRole::Agent).then(|| TargetStatus {
        service: "sheets".to_owned(),
        alive: true,
        load: 1.into(),
        leaving: false,
        recorded: true,
        without_former_flows: Some(1),
    });
    node
}

impl Simulation {
    pub fn new(balancers: usize, agents: usize) -> Self {
        let mut simulation = Self {
            now: 0,
            queue: BinaryHeap::new(),
            events: HashMap::new(),
            next_event: 0,
            daemons: Vec::new(),
            by_address: HashMap::new(),
            store: Position::new(0, 1),
            refused_daemon: None,
            is_store_down: false,
            is_history_lost: false,
            calls: 0,
            listings: 0,
            stale_listings: 0,
            failed_fetches: 0,
            random: 1,
        };
        for index in 0..balancers + agents {
            let is_balancer = index < balancers;
            let role = if is_balancer { PeerRole::Balancer } else { PeerRole::Agent };
            simulation.by_address.insert(address_of(index), index);
            simulation.daemons.push(SimulatedDaemon {
                node: new_node(index, role, index as u64),
                is_balancer,
                started_at: 0,
                is_running: true,
                fetching: (Position::default(), 0),
                fetching_removed: (Position::default(), 0),
                fetching_replica: (Position::default(), 0),
                fetches_in_progress: 0,
                link_free_at: 0,
                failures: 0,
                bytes: 0,
            });
            simulation.schedule_start(index);
        }
        simulation
    }

    /// Schedules the first events of a process, up to 300 ms from now.
    fn schedule_start(&mut self, index: usize) {
        let start = self.now + self.draw(300);
        self.daemons[index].started_at = start;
        self.schedule(start, index, Event::Tick);
        if self.daemons[index].is_balancer {
            self.schedule(start, index, Event::Poll);
        }
    }

    /// Stops all balancers.
    pub fn stop_balancers(&mut self) {
        for daemon in self.daemons.iter_mut().filter(|daemon| daemon.is_balancer) {
            daemon.is_running = false;
        }
    }

    /// Starts all balancers again, without any state.
    pub fn restart_balancers(&mut self) {
        for index in 0..self.daemons.len() {
            if !self.daemons[index].is_balancer {
                continue;
            }
            let seed = self.now + index as u64;
            let daemon = &mut self.daemons[index];
            daemon.node = new_node(index, PeerRole::Balancer, seed);
            daemon.is_running = true;
            daemon.fetching = (Position::default(), 0);
            daemon.fetching_removed = (Position::default(), 0);
            daemon.fetches_in_progress = 0;
            daemon.failures = 0;
            self.schedule_start(index);
        }
    }

    /// Returns a pseudo-random number below a limit (xorshift), the same in every run.
    fn draw(&mut self, below: u64) -> u64 {
        self.random ^= self.random << 13;
        self.random ^= self.random >> 7;
        self.random ^= self.random << 17;
        self.random % below
    }

    fn schedule(&mut self, at: Millis, index: usize, event: Event) {
        let started_at = self.daemons[index].started_at;
        self.events.insert(self.next_event, (started_at, event));
        self.queue.push(Reverse((at, self.next_event, index)));
        self.next_event += 1;
    }

    pub fn run_until(&mut self, end: Millis, mut done: impl FnMut(&Self) -> bool) -> Millis {
        while let Some(Reverse((at, number, index))) = self.queue.pop() {
            if at > end || done(self) {
                self.queue.push(Reverse((at, number, index)));
                break;
            }
            self.now = at;
            let Some((started_at, event)) = self.events.remove(&number) else { continue };
            let daemon = &self.daemons[index];
            if daemon.is_running && daemon.started_at == started_at && at >= started_at {
                self.handle(index, event);
            }
        }
        self.now
    }

    /// Returns the time on a daemon's own clock.
    fn clock(&self, index: usize) -> Millis {
        self.now - self.daemons[index].started_at
    }

    fn handle(&mut self, index: usize, event: Event) {
        match event {
            Event::Tick => self.tick(index),
            Event::Poll => self.poll(index),
            Event::Retry => self.await_retry(index),
            Event::Deliver { from, message } => self.deliver(index, from, &message),
            Event::Fetched { target, update } => self.complete_fetch(index, target, update),
            Event::List { after, reason } => {
                self.calls += 1;
                self.list(index, after, reason);
            }
            Event::Read { after, reason } => self.read(index, after, reason),
        }
    }

    fn tick(&mut self, index: usize) {
        let clock = self.clock(index);
        let node = &mut self.daemons[index].node;
        node.check_freshness(clock);
        let receivers = node.digest_recipients(clock);
        let replica_position = node.replica_position();
        let is_starting = node.has_no_configuration() && self.daemons[index].is_balancer;
        for (receiver, requests_digest) in receivers {
            self.send_digest(index, receiver, requests_digest);
            if let Some(position) = replica_position {
                self.send(index, receiver, Message::ReplicaHeld { position });
            }
        }
        let tick = if is_starting { STARTUP_TICK_MS } else { TICK_MS };
        self.schedule(self.now + tick, index, Event::Tick);
    }

    fn deliver(&mut self, index: usize, from: Ipv4Addr, message: &Message) {
        let clock = self.clock(index);
        let node = &mut self.daemons[index].node;
        match message {
            Message::Digest(digest) => self.deliver_digest(index, digest),
            Message::ReplicaRequest { position, age_ms } => {
                if node.on_replica_request(*position, *age_ms, clock) {
                    self.fetch(index, FetchTarget::FullReplica, from, *position);
                }
            }
            Message::ReplicaHeld { position } => {
                if node.needs_replica(*position) {
                    self.fetch(index, FetchTarget::State, from, *position);
                }
            }
            Message::RemovedTargetsKnown { position } => {
                node.note_removed_targets_source(from, *position);
                self.fetch_removed_targets(index);
            }
        }
    }

    pub(super) fn fetch_removed_targets(&mut self, index: usize) {
        let clock = self.clock(index);
        let source = self.daemons[index].node.take_removed_targets_source(clock);
        if let Some((peer, position)) = source {
            self.fetch(index, FetchTarget::RemovedTargets, peer, position);
        }
    }

    fn deliver_digest(&mut self, index: usize, digest: &Digest) {
        let clock = self.clock(index);
        let reaction = self.daemons[index].node.on_digest(digest, clock);
        let sender = Ipv4Addr::from_bits(digest.sender);
        if reaction.reply {
            self.send_digest(index, sender, false);
        }
        if let Some(source) = reaction.fetch_from {
            self.fetch(index, FetchTarget::State, source, digest.position);
        }
        if reaction.requests_replica {
            let node = &self.daemons[index].node;
            let (position, age_ms) = (node.position(), node.age(clock));
            self.send(index, sender, Message::ReplicaRequest { position, age_ms });
        }
        if let Some(position) = reaction.removed_targets_known {
            self.send(index, sender, Message::RemovedTargetsKnown { position });
        }
        if reaction.propagate {
            self.propagate(index);
        }
    }

    fn fetch(&mut self, index: usize, target: FetchTarget, source: Ipv4Addr, position: Position) {
        let now = self.now;
        let daemon = &mut self.daemons[index];
        let last = match target {
            FetchTarget::State => &mut daemon.fetching,
            FetchTarget::RemovedTargets => &mut daemon.fetching_removed,
            FetchTarget::FullReplica => &mut daemon.fetching_replica,
        };
        let is_recent = position <= last.0 && now.saturating_sub(last.1) < FETCH_RETRY_MS;
        if is_recent || daemon.fetches_in_progress >= MAX_CONCURRENT_FETCHES {
            return;
        }
        *last = (position, now);
        daemon.fetches_in_progress += 1;
        let request = match target {
            FetchTarget::State => Some(daemon.node.request()),
            FetchTarget::RemovedTargets => Some(daemon.node.removed_targets_request()),
            FetchTarget::FullReplica => daemon.node.full_replica_request(),
        };
        let (duration, update) = match request {
            Some(request) => self.answer(self.by_address[&source], request),
            None => (0, None),
        };
        self.failed_fetches += u64::from(update.is_none());
        self.schedule(now + duration, index, Event::Fetched { target, update });
    }

    /// Returns a daemon's answer to a fetch, none if it fails, and the time until then.
    fn answer(&mut self, from: usize, request: FetchRequest) -> (Millis, Option<Box<Update>>) {
        const ROUND_TRIPS_MS: Millis = 4 * ONE_WAY_DELAY_MS;
        if !self.daemons[from].is_running || self.daemons[from].started_at > self.now {
            return (FETCH_TIMEOUT_MS, None);
        }
        if self.daemons[from].link_free_at > self.now + FETCH_TIMEOUT_MS / 2 {
            return (ROUND_TRIPS_MS, None);
        }
        let update = self.daemons[from].node.answer(request, self.clock(from));
        let mut buffer = Vec::new();
        encode(&update, &mut buffer).expect("encodes");
        let daemon = &mut self.daemons[from];
        daemon.bytes += buffer.len() as u64;
        let sending_ms = buffer.len() as u64 / LINK_BYTES_PER_MS;
        daemon.link_free_at = daemon.link_free_at.max(self.now) + sending_ms;
        match daemon.link_free_at - self.now + ROUND_TRIPS_MS {
            duration if duration < FETCH_TIMEOUT_MS => (duration, Some(Box::new(update))),
            _ => (FETCH_TIMEOUT_MS, None),
        }
    }

    fn complete_fetch(&mut self, index: usize, target: FetchTarget, update: Option<Box<Update>>) {
        let clock = self.clock(index);
        let daemon = &mut self.daemons[index];
        daemon.fetches_in_progress -= 1;
        let Some(update) = update else { return };
        match target {
            FetchTarget::State | FetchTarget::RemovedTargets => {
                if daemon.node.apply_from_peer(*update, clock) {
                    self.propagate(index);
                }
                self.fetch_removed_targets(index);
            }
            FetchTarget::FullReplica => daemon.node.apply_to_full_replica(*update, clock),
        }
    }

    fn propagate(&mut self, index: usize) {
        let node = &mut self.daemons[index].node;
        for receiver in node.gossip_peers() {
            self.send_digest(index, receiver, false);
        }
    }

    fn send_digest(&mut self, index: usize, receiver: Ipv4Addr, requests_digest: bool) {
        let clock = self.clock(index);
        let digest = self.daemons[index].node.digest(requests_digest, clock);
        self.send(index, receiver, Message::Digest(Box::new(digest)));
    }

    fn send(&mut self, index: usize, receiver: Ipv4Addr, message: Message) {
        let mut buffer = Vec::new();
        encode(&message.to_wire(), &mut buffer).expect("encodes");
        // The IP and UDP headers are counted as well.
        self.daemons[index].bytes += buffer.len() as u64 + 28;
        if self.draw(DATAGRAMS_PER_LOSS) == 0 {
            return;
        }
        let to = self.by_address[&receiver];
        let delay = ONE_WAY_DELAY_MS + self.draw(5);
        let from = address_of(index);
        self.schedule(self.now + delay, to, Event::Deliver { from, message });
    }

    pub fn balancers(&self) -> impl Iterator<Item = &SimulatedDaemon> {
        self.daemons.iter().filter(|daemon| daemon.is_balancer)
    }

    pub fn all_balancers_know(&self, position: Position) -> bool {
        self.balancers().all(|daemon| daemon.node.position() >= position)
    }

    pub fn everyone_knows(&self, position: Position) -> bool {
        self.daemons.iter().all(|daemon| daemon.node.position() >= position)
    }

    /// Returns the bytes per second sent since `began` by the busiest daemon and on average, and
    /// resets the counters.
    pub fn take_bytes(&mut self, began: Millis) -> (u64, u64) {
        let seconds = ((self.now - began) / 1_000).max(1);
        let busiest = self.daemons.iter().map(|daemon| daemon.bytes).max().unwrap_or(0);
        let all: u64 = self.daemons.iter().map(|daemon| daemon.bytes).sum();
        for daemon in &mut self.daemons {
            daemon.bytes = 0;
        }
        (busiest / seconds, all / seconds / self.daemons.len() as u64)
    }
}
