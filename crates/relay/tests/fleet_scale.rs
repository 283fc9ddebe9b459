//! Membership and dissemination at the size aimed at, in simulated time: hollow
//! daemons with the real knowledge and the real choice of peers, a store that
//! counts its calls, datagrams that are late and lost.

mod support;

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};
use std::net::Ipv4Addr;

use slog::{Discard, Logger, o};
use support::settings;
use weirhinge_fleet::{
    Configuration, Digest, Millis, PeerMessage, PeerRole, Position, TargetClaim, TargetRecord,
    TargetState, Update, VersionedConfiguration, VersionedTarget, encode,
};
use weirhinge_relay::FleetNode;

const TICK_MS: Millis = 500;
const ONE_WAY_MS: Millis = 3;
const READ_MS: Millis = 8;
const FETCH_PATIENCE_MS: Millis = 150;
/// One datagram in this many is lost.
const LOSS: u64 = 100;

enum Event {
    Tick,
    Poll,
    Deliver(Box<Digest>),
    Fetched(Box<Update>),
    Read(Position),
}

struct Hollow {
    node: FleetNode,
    is_balancer: bool,
    wanted: (Position, Millis),
    /// Calls in a row that the store did not answer.
    failures: u32,
    bytes: u64,
}

struct Simulation {
    now: Millis,
    queue: BinaryHeap<Reverse<(Millis, u64, usize)>>,
    events: HashMap<u64, Event>,
    next_event: u64,
    daemons: Vec<Hollow>,
    by_address: HashMap<Ipv4Addr, usize>,
    store: Position,
    store_refuses: Option<usize>,
    /// Whether the store answers nobody.
    store_is_away: bool,
    calls: u64,
    /// Calls that listed the whole store.
    listings: u64,
    random: u64,
}

fn address_of(place: usize) -> Ipv4Addr {
    Ipv4Addr::from_bits(0x0a00_0001 + place as u32)
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
            store_refuses: None,
            store_is_away: false,
            calls: 0,
            listings: 0,
            random: 1,
        };
        for place in 0..balancers + agents {
            let is_balancer = place < balancers;
            let role = if is_balancer { PeerRole::Balancer } else { PeerRole::Agent };
            let log = Logger::root(Discard, o!());
            let mut node = FleetNode::with_seed(
                &settings(address_of(place), (0..3).map(address_of)),
                role,
                log,
                place as u64,
            );
            node.claim = (!is_balancer).then(|| TargetClaim {
                service: "sheets".to_owned(),
                alive: true,
                load: 1.into(),
                leaving: false,
                recorded: true,
                without_former_flows: Some(1),
            });
            simulation.by_address.insert(address_of(place), place);
            simulation.daemons.push(Hollow {
                node,
                is_balancer,
                wanted: (Position::default(), 0),
                failures: 0,
                bytes: 0,
            });
            let start = simulation.draw(300);
            simulation.schedule(start, place, Event::Tick);
            if is_balancer {
                simulation.schedule(start, place, Event::Poll);
            }
        }
        simulation
    }

    /// A small pseudo-random number (xorshift), the same in every run.
    fn draw(&mut self, below: u64) -> u64 {
        self.random ^= self.random << 13;
        self.random ^= self.random >> 7;
        self.random ^= self.random << 17;
        self.random % below
    }

    fn schedule(&mut self, at: Millis, place: usize, event: Event) {
        self.events.insert(self.next_event, event);
        self.queue.push(Reverse((at, self.next_event, place)));
        self.next_event += 1;
    }

    fn run_until(&mut self, end: Millis, mut done: impl FnMut(&Self) -> bool) -> Millis {
        while let Some(Reverse((at, number, place))) = self.queue.pop() {
            if at > end || done(self) {
                self.queue.push(Reverse((at, number, place)));
                break;
            }
            self.now = at;
            if let Some(event) = self.events.remove(&number) {
                self.handle(place, event);
            }
        }
        self.now
    }

    fn handle(&mut self, place: usize, event: Event) {
        let now = self.now;
        match event {
            Event::Tick => {
                let receivers = self.daemons[place].node.tick_receivers(now);
                for (receiver, ask) in receivers {
                    self.send_digest(place, receiver, ask);
                }
                self.schedule(now + TICK_MS, place, Event::Tick);
            }
            Event::Poll => self.poll(place),
            Event::Deliver(digest) => self.deliver(place, &digest),
            Event::Fetched(update) => {
                if self.daemons[place].node.apply(*update, "peer", now) {
                    self.spread(place);
                }
            }
            Event::Read(after) => self.read(place, after),
        }
    }

    fn poll(&mut self, place: usize) {
        let now = self.now;
        let node = &mut self.daemons[place].node;
        if !node.should_read(now) {
            node.reading = false;
            return self.schedule(now + 40, place, Event::Poll);
        }
        let after = node.position();
        self.calls += 1;
        if self.store_is_away {
            node.reading = false;
            self.daemons[place].failures += 1;
            let wait = self.daemons[place].node.wait_after_failure(self.daemons[place].failures);
            return self.schedule(now + wait, place, Event::Poll);
        }
        if self.store_refuses == Some(place) {
            node.reading = false;
            return self.schedule(now + 500, place, Event::Poll);
        }
        let is_listing = after.is_start() || after.era != self.store.era;
        self.listings += u64::from(is_listing);
        let wait = if after == self.store { 1_000 } else { READ_MS };
        self.schedule(now + wait, place, Event::Read(after));
    }

    fn read(&mut self, place: usize, after: Position) {
        let now = self.now;
        let update = self.store_update(after);
        self.daemons[place].failures = 0;
        let node = &mut self.daemons[place].node;
        node.apply_from_store(update, now);
        node.reading = true;
        self.spread(place);
        self.schedule(now + 250, place, Event::Poll);
    }

    /// What the store says: one record an agent from the start, and a configuration
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
        let agents = (0..self.daemons.len()).filter(|place| !self.daemons[*place].is_balancer);
        let targets = agents.map(|place| VersionedTarget {
            id: format!("target-{place}"),
            position: Position::new(through.era, 1),
            present: true,
            record: Some(TargetRecord {
                service: "sheets".to_owned(),
                address: address_of(place).to_bits(),
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

    fn deliver(&mut self, place: usize, digest: &Digest) {
        let now = self.now;
        let daemon = &mut self.daemons[place];
        let reaction = daemon.node.on_digest(digest, now);
        let sender = Ipv4Addr::from_bits(digest.sender);
        if reaction.reply {
            self.send_digest(place, sender, false);
        }
        let daemon = &mut self.daemons[place];
        let (wanted, since) = daemon.wanted;
        let is_on_its_way =
            digest.position <= wanted && now.saturating_sub(since) < FETCH_PATIENCE_MS;
        if let Some(source) = reaction.fetch_from.filter(|_| !is_on_its_way) {
            daemon.wanted = (digest.position, now);
            let request = daemon.node.request();
            let from = self.by_address[&source];
            let update = self.daemons[from].node.answer(request, now);
            let mut buffer = Vec::new();
            encode(&update, &mut buffer).expect("encodes");
            self.daemons[from].bytes += buffer.len() as u64;
            self.schedule(now + 4 * ONE_WAY_MS, place, Event::Fetched(Box::new(update)));
        }
        if reaction.spread {
            self.spread(place);
        }
    }

    fn spread(&mut self, place: usize) {
        let node = &mut self.daemons[place].node;
        for receiver in node.news_receivers() {
            self.send_digest(place, receiver, false);
        }
    }

    fn send_digest(&mut self, place: usize, receiver: Ipv4Addr, ask: bool) {
        let digest = self.daemons[place].node.digest(ask, self.now);
        let mut buffer = Vec::new();
        encode(&PeerMessage::Digest(digest.clone()), &mut buffer).expect("encodes");
        // Headers of IP and UDP count as well.
        self.daemons[place].bytes += buffer.len() as u64 + 28;
        if self.draw(LOSS) == 0 {
            return;
        }
        let to = self.by_address[&receiver];
        let late = ONE_WAY_MS + self.draw(5);
        self.schedule(self.now + late, to, Event::Deliver(Box::new(digest)));
    }

    fn all_balancers_know(&self, position: Position) -> bool {
        let mut balancers = self.daemons.iter().filter(|daemon| daemon.is_balancer);
        balancers.all(|daemon| daemon.node.position() >= position)
    }

    fn everyone_knows(&self, position: Position) -> bool {
        self.daemons.iter().all(|daemon| daemon.node.position() >= position)
    }

    /// Bytes a second sent by the busiest daemon and on average since `began`, then
    /// counts anew.
    fn take_bytes(&mut self, began: Millis) -> (u64, u64) {
        let seconds = ((self.now - began) / 1_000).max(1);
        let most = self.daemons.iter().map(|daemon| daemon.bytes).max().unwrap_or(0);
        let all: u64 = self.daemons.iter().map(|daemon| daemon.bytes).sum();
        for daemon in &mut self.daemons {
            daemon.bytes = 0;
        }
        (most / seconds, all / seconds / self.daemons.len() as u64)
    }
}

#[test]
fn a_thousand_daemons_follow_changes_within_three_seconds_and_six_kilobytes() {
    let mut simulation = Simulation::new(300, 700);
    simulation.run_until(15_000, |_| false);
    assert!(simulation.everyone_knows(Position::new(0, 1)));
    let (most, mean) = simulation.take_bytes(0);
    println!("start, 15 s: {most} B/s at most, {mean} B/s on average");
    let (calls, began) = (simulation.calls, simulation.now);
    simulation.run_until(began + 20_000, |_| false);
    let (most, mean) = simulation.take_bytes(began);
    let calls = simulation.calls - calls;
    println!("quiet, 20 s: {most} B/s at most, {mean} B/s on average, {calls} calls");
    assert!(most < 6_000, "{most} B/s of control at the busiest daemon");
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
    // The watch of the simulated store answers after its whole wait, 1 s at worst.
    assert!(longest.0 < 3_000, "{} ms", longest.0);
    assert!(longest.1 < 10_000, "{} ms", longest.1);
}

#[test]
fn a_reader_that_the_store_refuses_is_replaced_in_time() {
    let mut simulation = Simulation::new(300, 0);
    simulation.run_until(10_000, |_| false);
    let reader = simulation.daemons.iter().position(|daemon| daemon.node.reading);
    simulation.store_refuses = reader;
    simulation.store.revision += 1;
    let (position, began) = (simulation.store, simulation.now);
    let took = simulation.run_until(began + 10_000, |sim| sim.all_balancers_know(position)) - began;
    println!("change past a refused reader: {took} ms at all balancers");
    assert!(reader.is_some() && took < 3_000, "{took} ms");
}

/// All balancers want to read when the store comes back, and it came back from a copy. A few
/// list it, the others hear of it from them.
#[test]
fn a_restored_store_is_listed_by_a_few_for_all() {
    let mut simulation = Simulation::new(300, 0);
    simulation.run_until(10_000, |_| false);
    simulation.store.revision = 40;
    simulation.run_until(14_000, |_| false);
    simulation.store_is_away = true;
    simulation.run_until(16_000, |_| false);
    simulation.store_is_away = false;
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
    assert!(listings <= 30, "{listings} of 300 balancers list the store");
}

#[test]
fn membership_spreads_from_three_seeds() {
    let mut simulation = Simulation::new(100, 200);
    simulation.run_until(8_000, |_| false);
    let daemons = simulation.daemons.iter_mut();
    let contacts: Vec<usize> =
        daemons.map(|daemon| daemon.node.tick_receivers(8_000).len()).collect();
    assert!(contacts.iter().all(|count| *count > 0));
    assert!(simulation.everyone_knows(Position::new(0, 1)));
}
