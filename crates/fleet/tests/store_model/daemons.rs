//! The daemons under test, and what must hold for them after every step.

use std::collections::{BTreeMap, BTreeSet};

use proptest_state_machine::{ReferenceStateMachine, StateMachineTest};
use weirhinge_fleet::{
    Configuration, EvacuatedZones, FetchRequest, FetchScope, Position, Replica, TargetRecord,
    TargetState, Update, VersionedConfiguration, VersionedTarget, ZoneChange, ZoneNews,
};

use crate::world::{DAEMONS, Entry, Event, Step, World, ZONES};

/// How long the word of a new era is not taken against what was known.
const HOLD_MS: u64 = 2_475;
/// Time after the last fault in which all daemons agree with what was acknowledged: a target
/// writes again, the store drops silent ones, and the hold ends.
const AGREES_WITHIN_MS: u64 = 8_000;

/// A fault planted in what daemons are told, which the model has to find.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mutation {
    None,
    /// Revisions alone order everything: nobody tells the era.
    IgnoresEra,
    /// The newer era is taken at its word at once.
    BelievesCopies,
    /// Nobody tells which life of a target a record is about.
    IgnoresLives,
}

/// What a daemon once believed in its present life, and must not unlearn.
#[derive(Clone, Debug, Default)]
struct Memory {
    version: Option<u64>,
    /// Lives that were known to drain.
    drained: BTreeSet<(String, u64)>,
    /// The latest life believed of each target, by its place in the order of all lives, with
    /// the era in which it was believed.
    latest: BTreeMap<String, (u64, usize)>,
    /// Evacuated zones, each with the order that was in force when it was first believed.
    zones: BTreeMap<u8, Option<u64>>,
    /// Living targets that were present after the step before this one.
    present: BTreeSet<(u8, u64)>,
}

#[derive(Clone, Debug)]
struct Daemon {
    replica: Replica,
    memory: Memory,
    heard_of_era_at: u64,
}

impl Daemon {
    fn new() -> Self {
        Self { replica: Replica::with_hold(HOLD_MS), memory: Memory::default(), heard_of_era_at: 0 }
    }
}

/// All daemons.
pub struct Fleet {
    daemons: Vec<Daemon>,
    mutation: Mutation,
}

fn name(id: u8) -> String {
    format!("target-{id}")
}

fn zone_name(zone: u8) -> String {
    format!("zone-{zone}")
}

/// What a daemon believes of a target that the store has.
type Belief = (Option<u64>, TargetState);

/// The era in which the store stated what a daemon believes of a target.
fn stated_in(replica: &Replica, id: &str) -> u64 {
    let entry = replica.targets().find(|entry| entry.target.id == id);
    entry.map_or(0, |entry| entry.target.position.era)
}

fn beliefs(replica: &Replica) -> BTreeMap<String, Belief> {
    let present = replica.targets().filter(|entry| entry.target.present);
    let believed = present.filter_map(|entry| {
        let record = entry.target.record.as_ref()?;
        Some((entry.target.id.clone(), (record.incarnation, record.state)))
    });
    believed.collect()
}

impl Fleet {
    pub fn new(mutation: Mutation) -> Self {
        Self { daemons: vec![Daemon::new(); DAEMONS], mutation }
    }

    fn position(&self, world: &World, revision: u64) -> Position {
        let era = if self.mutation == Mutation::IgnoresEra { 0 } else { world.era };
        Position::new(era, revision)
    }

    fn target(&self, world: &World, id: u8, revision: u64, entry: &Entry) -> VersionedTarget {
        let record = match entry {
            Entry::Record { born, sequence, state } => Some(TargetRecord {
                service: "sheets".to_owned(),
                address: u32::from(id),
                zone: zone_name(id % 2),
                slots: 5,
                state: *state,
                warm_up_ms: 0,
                incarnation: (self.mutation != Mutation::IgnoresLives).then_some(*born),
                sequence: *sequence,
            }),
            Entry::Foreign | Entry::Gone => None,
        };
        let position = self.position(world, revision);
        VersionedTarget { id: name(id), position, present: record.is_some(), record }
    }

    /// What the store answers to a daemon: the changes since it last read, or all.
    fn answer(&self, world: &World, known: Position) -> Update {
        let through = self.position(world, world.store.revision);
        let is_same_history = known.era == through.era && world.store.has_history(known.revision);
        let complete = known.is_start() || !is_same_history;
        let mut update = Update {
            after: known,
            through,
            complete,
            zones: ZoneNews::Changes(Vec::new()),
            ..Update::default()
        };
        let events: Vec<(u64, Event)> = match complete {
            true => world.store.listing().collect(),
            false => world.store.events_after(known.revision).cloned().collect(),
        };
        if complete {
            update.after = Position::default();
        }
        let mut zones = Vec::new();
        for (revision, event) in events {
            match event {
                Event::Target(id, entry) => {
                    update.targets.push(self.target(world, id, revision, &entry));
                }
                Event::Zone(zone, begins) => zones.push(ZoneChange {
                    zone: zone_name(zone),
                    position: self.position(world, revision),
                    begins,
                }),
                Event::Configuration(version) => {
                    let position = self.position(world, revision);
                    let configuration = Configuration { version, ..Configuration::default() };
                    update.configuration = Some(VersionedConfiguration { position, configuration });
                }
            }
        }
        update.zones = match complete {
            true => {
                let listed = zones.into_iter().map(|change| change.zone);
                ZoneNews::Whole(EvacuatedZones::new(through, listed))
            }
            false => ZoneNews::Changes(zones),
        };
        update
    }

    fn read(&mut self, world: &World, place: usize) {
        if world.no_store[place] {
            return;
        }
        let update = self.answer(world, self.daemons[place].replica.position());
        let believes = self.mutation == Mutation::BelievesCopies;
        let daemon = &mut self.daemons[place];
        if believes && update.through.era > daemon.replica.position().era {
            daemon.replica = Replica::with_hold(0);
        }
        daemon.learn(update.through.era, world.now);
        daemon.replica.apply(update, world.now);
    }

    /// A digest of another daemon comes, and a fetch follows if it tells of news.
    fn fetch(&mut self, world: &World, to: usize, from: usize) {
        if to == from || world.no_peers[to] || world.no_peers[from] {
            return;
        }
        let peer = self.daemons[from].replica.clone();
        let daemon = &mut self.daemons[to];
        daemon.learn(peer.position().era, world.now);
        daemon.replica.learn_evacuated(peer.stored_zones(), world.now);
        let known = daemon.replica.position();
        if let Some(age_ms) = peer.age(world.now).filter(|_| peer.position() == known) {
            daemon.replica.confirm(known, age_ms, world.now);
        }
        if peer.position() > known || peer.version() > daemon.replica.version() {
            let configuration = daemon.replica.version();
            let request = FetchRequest { after: known, configuration, scope: FetchScope::All };
            daemon.replica.apply(peer.update_for(&request, world.now), world.now);
        }
    }

    fn settle(&mut self, now: u64) {
        for daemon in &mut self.daemons {
            daemon.replica.settle(now);
        }
    }

    /// After the last fault: one daemon reads, the others follow each other.
    fn come_to_terms(&mut self, mut world: World) {
        world.no_store = [false; DAEMONS];
        world.no_peers = [false; DAEMONS];
        for _ in 0..AGREES_WITHIN_MS / 500 {
            world = World::apply(world, &Step::Pass(500));
            self.settle(world.now);
            self.read(&world, 0);
            for place in 1..DAEMONS {
                self.fetch(&world, place, place - 1);
                self.fetch(&world, place - 1, place);
            }
        }
        let living = world.targets.iter().filter(|(_, life)| life.is_alive);
        let expected: BTreeMap<String, Belief> =
            living.map(|(id, life)| (name(*id), (Some(life.born), life.state))).collect();
        let zones: Vec<String> = world.zones.keys().map(|zone| zone_name(*zone)).collect();
        for (place, daemon) in self.daemons.iter().enumerate() {
            assert_eq!(beliefs(&daemon.replica), expected, "targets of daemon {place}");
            let evacuated: Vec<&str> = daemon.replica.evacuated().iter().collect();
            assert_eq!(evacuated, zones, "zones of daemon {place}");
            let version = (world.version > 0).then_some(world.version);
            assert_eq!(daemon.replica.version(), version, "version of daemon {place}");
        }
    }

    fn check(&mut self, world: &World) {
        for (place, daemon) in self.daemons.iter_mut().enumerate() {
            daemon.check_version(place);
            daemon.check_targets(place, world);
            daemon.check_kept(place, world);
        }
    }
}

impl Daemon {
    fn learn(&mut self, era: u64, now: u64) {
        if self.replica.learn_era(era, now) {
            self.heard_of_era_at = now;
        }
    }

    fn is_holding(&self, now: u64) -> bool {
        self.replica.newest_era() > 0 && now < self.heard_of_era_at + HOLD_MS
    }

    /// A copy undoes no evacuation, and takes no living target away, before the operator and
    /// the targets had time to write again.
    fn check_kept(&mut self, place: usize, world: &World) {
        let evacuated = |zone: &u8| self.replica.evacuated().contains(&zone_name(*zone));
        let believed = beliefs(&self.replica);
        let is_present = |id: u8, born: u64| {
            believed.get(&name(id)).is_some_and(|(incarnation, _)| *incarnation == Some(born))
        };
        let living = world.targets.iter().filter(|(id, life)| {
            life.is_alive && !world.overwritten.contains(id) && is_present(**id, life.born)
        });
        let present: BTreeSet<(u8, u64)> = living.map(|(id, life)| (*id, life.born)).collect();
        if self.is_holding(world.now) {
            let in_force = |(zone, order): &(&u8, &Option<u64>)| {
                order.is_some() && world.zones.get(zone) == order.as_ref()
            };
            let undone = |(zone, _): &(&u8, &Option<u64>)| !evacuated(zone);
            let lost = self.memory.zones.iter().filter(in_force).find(undone);
            assert_eq!(lost, None, "daemon {place} undid an evacuation");
            let is_alive = |(id, born): &&(u8, u64)| {
                let life = world.targets.get(id).filter(|life| life.is_alive);
                life.is_some_and(|life| life.born == *born) && !world.overwritten.contains(id)
            };
            let lost = self.memory.present.difference(&present).find(is_alive);
            assert_eq!(lost, None, "daemon {place} lost a living target");
        }
        for zone in 0..ZONES {
            if evacuated(&zone) {
                let order = world.zones.get(&zone).copied();
                self.memory.zones.entry(zone).or_insert(order);
            } else {
                self.memory.zones.remove(&zone);
            }
        }
        self.memory.present = present;
    }

    /// A version in force never goes back.
    fn check_version(&mut self, place: usize) {
        let version = self.replica.version();
        assert!(version >= self.memory.version, "daemon {place} went back to {version:?}");
        self.memory.version = version;
    }

    fn check_targets(&mut self, place: usize, world: &World) {
        for (id, (incarnation, state)) in beliefs(&self.replica) {
            let Some(born) = incarnation else { continue };
            let life = (id.clone(), born);
            if state == TargetState::Draining {
                self.memory.drained.insert(life);
            } else {
                let was = self.memory.drained.contains(&life);
                assert!(!was, "daemon {place} takes {id}, which drains, for ready");
            }
            self.check_life(place, world, id, born);
        }
    }

    /// A life that another one followed within one era is not brought back.
    fn check_life(&mut self, place: usize, world: &World, id: String, born: u64) {
        let era = stated_in(&self.replica, &id);
        let order =
            world.lives.iter().position(|(other, began)| name(*other) == id && *began == born);
        let Some(order) = order else { return };
        let known = self.memory.latest.get(&id).copied();
        if let Some((known_era, latest)) = known.filter(|(_, latest)| *latest > order) {
            // The daemon may have learned of the later one in another era alone: then the
            // store's word counts when the hold is over.
            let is_held = self.is_holding(world.now);
            assert!(
                known_era != era && !is_held,
                "daemon {place}: {id} is life {latest}, not {order}"
            );
        }
        self.memory.latest.insert(id, (era, order));
    }
}

/// The model with one fault planted, or none.
pub struct Model<const MUTATION: usize>;

/// The mutations by their place, for [`Model`].
pub const MUTATIONS: [Mutation; 4] =
    [Mutation::None, Mutation::IgnoresEra, Mutation::BelievesCopies, Mutation::IgnoresLives];

impl<const MUTATION: usize> StateMachineTest for Model<MUTATION> {
    type SystemUnderTest = Fleet;
    type Reference = World;

    fn init_test(_: &World) -> Fleet {
        Fleet::new(MUTATIONS[MUTATION])
    }

    fn apply(mut fleet: Fleet, world: &World, step: Step) -> Fleet {
        match step {
            Step::Read(place) => fleet.read(world, place),
            Step::Fetch(to, from) => fleet.fetch(world, to, from),
            Step::RestartDaemon(place) => fleet.daemons[place] = Daemon::new(),
            _ => {}
        }
        fleet.settle(world.now);
        fleet.check(world);
        fleet
    }

    fn teardown(mut fleet: Fleet, world: World) {
        fleet.come_to_terms(world);
    }
}
