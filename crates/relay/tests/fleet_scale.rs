//! Membership and dissemination at the target scale, in simulated time: daemons with the real fleet
//! state and the real choice of peers but no data path, a store that counts its calls, and
//! datagrams that are delayed and lost.

mod support;

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};
use std::net::Ipv4Addr;

use slog::{Discard, Logger, o};
use support::settings;
use weirhinge_fleet::reader::ReadReason;
use weirhinge_fleet::{
    Configuration, Digest, Millis, PeerMessage, PeerRole, Position, TargetRecord, TargetState,
    TargetStatus, Timing, Update, VersionedConfiguration, VersionedTarget, encode,
};
use weirhinge_relay::FleetNode;

const TICK_MS: Millis = 500;
const ONE_WAY_DELAY_MS: Millis = 3;
const STORE_READ_MS: Millis = 8;
const FETCH_TIMEOUT_MS: Millis = 150;
/// One datagram in this many is lost.
const DATAGRAMS_PER_LOSS: u64 = 100;

enum Event {
    Tick,
    Poll,
    Deliver(Box<Digest>),
    Fetched(Box<Update>),
    List { after: Position, reason: ReadReason },
    Read { after: Position, reason: ReadReason },
}

struct SimulatedDaemon {
    node: FleetNode,
    is_balancer: bool,
    /// The position of the last fetch, and when it was requested.
    fetching: (Position, Millis),
    /// Consecutive calls that the store did not answer.
    failures: u32,
    bytes: u64,
}

struct Simulation {
    now: Millis,
    queue: BinaryHeap<Reverse<(Millis, u64, usize)>>,
    events: HashMap<u64, Event>,
    next_event: u64,
    daemons: Vec<SimulatedDaemon>,
    by_address: HashMap<Ipv4Addr, usize>,
    store: Position,
    /// Index of the balancer whose calls the store refuses.
    refused_daemon: Option<usize>,
    /// Whether the store answers no balancer.
    is_store_down: bool,
    calls: u64,
    /// Calls that listed the whole store.
    listings: u64,
    random: u64,
}

fn address_of(index: usize) -> Ipv4Addr {
    Ipv4Addr::from_bits(0x0a00_0001 + index as u32)
}

impl Simulation {
    fn new(balancers: usize, agents: usize) -> Self {
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
            calls: 0,
            listings: 0,
            random: 1,
        };
        for index in 0..balancers + agents {
            let is_balancer = index < balancers;
            let role = if is_balancer { PeerRole::Balancer } else { PeerRole::Agent };
            let log = Logger::root(Discard, o!());
            let mut node = FleetNode::with_seed(
                &settings(address_of(index), (0..3).map(address_of)),
                role,
                log,
                index as u64,
            );
            node.target_status = (!is_balancer).then(|| TargetStatus {
                service: "sheets".to_owned(),
                alive: true,
                load: 1.into(),
                leaving: false,
                recorded: true,
                without_former_flows: Some(1),
            });
            simulation.by_address.insert(address_of(index), index);
            simulation.daemons.push(SimulatedDaemon {
                node,
                is_balancer,
                fetching: (Position::default(), 0),
                failures: 0,
                bytes: 0,
            });
            let start = simulation.draw(300);
            simulation.schedule(start, index, Event::Tick);
            if is_balancer {
                simulation.schedule(start, index, Event::Poll);
            }
        }
        simulation
    }

    /// Returns a pseudo-random number below a limit (xorshift), the same in every run.
    fn draw(&mut self, below: u64) -> u64 {
        self.random ^= self.random << 13;
        self.random ^= self.random >> 7;
        self.random ^= self.random << 17;
        self.random % below
    }

    fn schedule(&mut self, at: Millis, index: usize, event: Event) {
        self.events.insert(self.next_event, event);
        self.queue.push(Reverse((at, self.next_event, index)));
        self.next_event += 1;
    }

    fn run_until(&mut self, end: Millis, mut done: impl FnMut(&Self) -> bool) -> Millis {
        while let Some(Reverse((at, number, index))) = self.queue.pop() {
            if at > end || done(self) {
                self.queue.push(Reverse((at, number, index)));
                break;
            }
            self.now = at;
            if let Some(event) = self.events.remove(&number) {
                self.handle(index, event);
            }
        }
        self.now
    }

    fn handle(&mut self, index: usize, event: Event) {
        let now = self.now;
        match event {
            Event::Tick => {
                let receivers = self.daemons[index].node.digest_recipients(now);
                for (receiver, requests_digest) in receivers {
                    self.send_digest(index, receiver, requests_digest);
                }
                self.schedule(now + TICK_MS, index, Event::Tick);
            }
            Event::Poll => self.poll(index),
            Event::Deliver(digest) => self.deliver(index, &digest),
            Event::Fetched(update) => {
                if self.daemons[index].node.apply_from_peer(*update, now) {
                    self.propagate(index);
                }
            }
            Event::List { after, reason } => {
                self.calls += 1;
                self.list(index, after, reason);
            }
            Event::Read { after, reason } => self.read(index, after, reason),
        }
    }

    fn poll(&mut self, index: usize) {
        let now = self.now;
        let node = &mut self.daemons[index].node;
        let Some(reason) = node.read_reason(now) else {
            node.reading = false;
            return self.schedule(now + 40, index, Event::Poll);
        };
        let after = node.position();
        self.calls += 1;
        if self.is_store_down {
            node.reading = false;
            self.daemons[index].failures += 1;
            let wait = self.daemons[index].node.retry_backoff(self.daemons[index].failures);
            return self.schedule(now + wait, index, Event::Poll);
        }
        if self.refused_daemon == Some(index) {
            node.reading = false;
            return self.schedule(now + 500, index, Event::Poll);
        }
        if after.is_start() {
            return self.list(index, after, reason);
        }
        if after.era != self.store.era {
            let delay = node.listing_delay(reason);
            return self.schedule(
                now + STORE_READ_MS + delay,
                index,
                Event::List { after, reason },
            );
        }
        let is_unchanged = after == self.store;
        let wait = if is_unchanged { reason.watch_wait_ms(&Timing::default()) } else { 0 };
        self.schedule(now + STORE_READ_MS + wait, index, Event::Read { after, reason });
    }

    /// Lists the store, unless peers have sent newer state.
    fn list(&mut self, index: usize, known: Position, reason: ReadReason) {
        if self.daemons[index].node.position() != known {
            return self.schedule(self.now + 40, index, Event::Poll);
        }
        self.listings += 1;
        self.schedule(self.now + STORE_READ_MS, index, Event::Read { after: known, reason });
    }

    fn read(&mut self, index: usize, after: Position, reason: ReadReason) {
        let now = self.now;
        let update = self.store_update(after);
        self.daemons[index].failures = 0;
        let node = &mut self.daemons[index].node;
        node.apply_from_store(update, now);
        node.reading = reason.makes_reader();
        self.propagate(index);
        self.schedule(now + 250, index, Event::Poll);
    }

    /// Returns the store's answer: one record per agent at the first revision, and a configuration
    /// that changes with every further revision.
    fn store_update(&self, after: Position) -> Update {
        let through = self.store;
        let configuration = Configuration {
            version: 1_000 * through.era + through.revision,
            routes: Vec::new(),
            idle_timeout_ms: 15_000,
            ..Configuration::default()
        };
        let is_new = through > after;
        let is_listing = after.is_start() || after.era != through.era;
        let agents = (0..self.daemons.len()).filter(|index| !self.daemons[*index].is_balancer);
        let targets = agents.map(|index| VersionedTarget {
            id: format!("target-{index}"),
            position: Position::new(through.era, 1),
            present: true,
            record: Some(TargetRecord {
                service: "sheets".to_owned(),
                address: address_of(index).to_bits(),
                zone: "a".to_owned(),
                slots: 5,
                state: TargetState::Ready,
                warm_up_ms: 0,
                incarnation: None,
                sequence: 1,
            }),
        });
        Update {
            after,
            through,
            complete: after.is_start() || after.era != through.era,
            age_ms: 0,
            configuration: is_new
                .then_some(VersionedConfiguration { position: through, configuration }),
            targets: if is_listing { targets.collect() } else { Vec::new() },
            ..Update::default()
        }
    }

    fn deliver(&mut self, index: usize, digest: &Digest) {
        let now = self.now;
        let daemon = &mut self.daemons[index];
        let reaction = daemon.node.on_digest(digest, now);
        let sender = Ipv4Addr::from_bits(digest.sender);
        if reaction.reply {
            self.send_digest(index, sender, false);
        }
        let daemon = &mut self.daemons[index];
        let (fetching, since) = daemon.fetching;
        let is_in_flight =
            digest.position <= fetching && now.saturating_sub(since) < FETCH_TIMEOUT_MS;
        if let Some(source) = reaction.fetch_from.filter(|_| !is_in_flight) {
            daemon.fetching = (digest.position, now);
            let request = daemon.node.request();
            let from = self.by_address[&source];
            let update = self.daemons[from].node.answer(request, now);
            let mut buffer = Vec::new();
            encode(&update, &mut buffer).expect("encodes");
            self.daemons[from].bytes += buffer.len() as u64;
            self.schedule(now + 4 * ONE_WAY_DELAY_MS, index, Event::Fetched(Box::new(update)));
        }
        if reaction.propagate {
            self.propagate(index);
        }
    }

    fn propagate(&mut self, index: usize) {
        let node = &mut self.daemons[index].node;
        for receiver in node.gossip_peers() {
            self.send_digest(index, receiver, false);
        }
    }

    fn send_digest(&mut self, index: usize, receiver: Ipv4Addr, requests_digest: bool) {
        let digest = self.daemons[index].node.digest(requests_digest, self.now);
        let mut buffer = Vec::new();
        encode(&PeerMessage::Digest(digest.clone()), &mut buffer).expect("encodes");
        // The IP and UDP headers are counted as well.
        self.daemons[index].bytes += buffer.len() as u64 + 28;
        if self.draw(DATAGRAMS_PER_LOSS) == 0 {
            return;
        }
        let to = self.by_address[&receiver];
        let delay = ONE_WAY_DELAY_MS + self.draw(5);
        self.schedule(self.now + delay, to, Event::Deliver(Box::new(digest)));
    }

    fn all_balancers_know(&self, position: Position) -> bool {
        let mut balancers = self.daemons.iter().filter(|daemon| daemon.is_balancer);
        balancers.all(|daemon| daemon.node.position() >= position)
    }

    fn everyone_knows(&self, position: Position) -> bool {
        self.daemons.iter().all(|daemon| daemon.node.position() >= position)
    }

    /// Returns the bytes per second sent since `began` by the busiest daemon and on average, and
    /// resets the counters.
    fn take_bytes(&mut self, began: Millis) -> (u64, u64) {
        let seconds = ((self.now - began) / 1_000).max(1);
        let busiest = self.daemons.iter().map(|daemon| daemon.bytes).max().unwrap_or(0);
        let all: u64 = self.daemons.iter().map(|daemon| daemon.bytes).sum();
        for daemon in &mut self.daemons {
            daemon.bytes = 0;
        }
        (busiest / seconds, all / seconds / self.daemons.len() as u64)
    }
}

#[test]
fn thousand_daemons_apply_changes_in_three_seconds_at_six_kilobytes_per_second() {
    let mut simulation = Simulation::new(300, 700);
    simulation.run_until(15_000, |_| false);
    assert!(simulation.everyone_knows(Position::new(0, 1)));
    let (busiest, mean) = simulation.take_bytes(0);
    println!("start, 15 s: {busiest} B/s at most, {mean} B/s on average");
    let (calls, began) = (simulation.calls, simulation.now);
    simulation.run_until(began + 20_000, |_| false);
    let (busiest, mean) = simulation.take_bytes(began);
    let calls = simulation.calls - calls;
    println!("quiet, 20 s: {busiest} B/s at most, {mean} B/s on average, {calls} calls");
    assert!(busiest < 6_000, "{busiest} B/s of control traffic at the busiest daemon");
    assert!(calls < 60, "{calls} calls in 20 s");
    let mut longest = (0, 0);
    for _ in 0..5 {
        simulation.store.revision += 1;
        let (position, began) = (simulation.store, simulation.now);
        let balancers =
            simulation.run_until(began + 10_000, |sim| sim.all_balancers_know(position)) - began;
        let all = simulation.run_until(began + 10_000, |sim| sim.everyone_knows(position)) - began;
        longest = (longest.0.max(balancers), longest.1.max(all));
        let now = simulation.now;
        simulation.run_until(now + 3_000, |_| false);
    }
    println!("change: {} ms at all balancers, {} ms at all daemons", longest.0, longest.1);
    // The watch of the simulated store answers only after its whole wait, 1 s at worst.
    assert!(longest.0 < 3_000, "{} ms", longest.0);
    assert!(longest.1 < 10_000, "{} ms", longest.1);
}

#[test]
fn reader_refused_by_the_store_is_replaced_in_time() {
    let mut simulation = Simulation::new(300, 0);
    simulation.run_until(10_000, |_| false);
    let reader = simulation.daemons.iter().position(|daemon| daemon.node.reading);
    simulation.refused_daemon = reader;
    simulation.store.revision += 1;
    let (position, began) = (simulation.store, simulation.now);
    let took = simulation.run_until(began + 10_000, |sim| sim.all_balancers_know(position)) - began;
    println!("change after the reader is refused: {took} ms at all balancers");
    assert!(reader.is_some() && took < 3_000, "{took} ms");
}

/// After an outage, all balancers try to read a store that was also restored from a backup. A few
/// list it and the others learn of it from those.
#[test]
fn restored_store_is_listed_by_a_few_balancers() {
    let mut simulation = Simulation::new(300, 0);
    simulation.run_until(10_000, |_| false);
    simulation.store.revision = 40;
    simulation.run_until(14_000, |_| false);
    simulation.is_store_down = true;
    simulation.run_until(16_000, |_| false);
    simulation.is_store_down = false;
    simulation.store = Position::new(1, 12);
    let (listings, position) = (simulation.listings, simulation.store);
    let (calls, began) = (simulation.calls, simulation.now);
    let took = simulation.run_until(began + 10_000, |sim| sim.all_balancers_know(position)) - began;
    simulation.run_until(began + 5_000, |_| false);
    let (listings, calls) = (simulation.listings - listings, simulation.calls - calls);
    println!(
        "restored store: {took} ms at all balancers, {listings} listings, {calls} calls in 5 s"
    );
    assert!(took < 3_000, "{took} ms");
    assert!(listings <= 30, "{listings} listings by 300 balancers");
}

#[test]
fn membership_spreads_from_three_seeds() {
    let mut simulation = Simulation::new(100, 200);
    simulation.run_until(8_000, |_| false);
    let daemons = simulation.daemons.iter_mut();
    let contacts: Vec<usize> =
        daemons.map(|daemon| daemon.node.digest_recipients(8_000).len()).collect();
    assert!(contacts.iter().all(|count| *count > 0));
    assert!(simulation.everyone_knows(Position::new(0, 1)));
}

/// A balancer's report that it reads the store reaches few others in a large fleet. Readers have to
/// give way to each other nevertheless, or each one that began to read would call the store once a
/// second for minutes.
#[test]
fn one_reader_remains_in_fleets_of_any_size() {
    const EXTRA_READERS: usize = 10;
    for balancers in [30, 300, 1_000] {
        let mut simulation = Simulation::new(balancers, 0);
        simulation.run_until(10_000, |_| false);
        for extra in 1..=EXTRA_READERS {
            simulation.daemons[balancers / EXTRA_READERS * extra - 1].node.reading = true;
        }
        simulation.run_until(20_000, |_| false);
        let (calls, began) = (simulation.calls, simulation.now);
        simulation.run_until(30_000, |_| false);
        let calls = simulation.calls - calls;
        println!("{balancers} balancers: {calls} calls from {began} to {} ms", simulation.now);
        // One watch a second, and verification reads.
        assert!(calls <= 20, "{balancers} balancers: {calls} calls in 10 s");
    }
}
