//! The daemons under test, and the invariants checked after every step.

use std::collections::{BTreeMap, BTreeSet};

use proptest_state_machine::{ReferenceStateMachine, StateMachineTest};
use weirhinge_fleet::{
    Configuration, EvacuatedZones, FetchRequest, FetchScope, Position, Replica, TargetRecord,
    TargetState, Update, VersionedConfiguration, VersionedTarget, ZoneChange, ZoneUpdate,
};

use crate::world::{DAEMONS, Entry, Event, Step, World, ZONES};

/// Hold period of a new era.
const HOLD_MS: u64 = 2_475;
/// Time after the last fault within which all daemons agree with the acknowledged state: targets
/// write again, the store drops unresponsive ones, and the hold period ends.
const CONVERGENCE_TIME_MS: u64 = 8_000;

/// A fault injected into the daemons' input, which the model must detect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mutation {
    None,
    /// Entries are ordered by revision only; eras are not reported.
    IgnoresEra,
    /// A newer era overrides the known state at once.
    AcceptsBackups,
    /// Records do not report their target's incarnation.
    IgnoresIncarnations,
}

/// The state that a daemon has had since its start and must not lose.
#[derive(Clone, Debug, Default)]
struct Observed {
    version: Option<u64>,
    /// Incarnations that were known to be draining.
    draining: BTreeSet<(String, u64)>,
    /// The latest known incarnation of each target, by its index in the order of all incarnations,
    /// with the era in which it was known.
    latest: BTreeMap<String, (u64, usize)>,
    /// Evacuated zones, each with the number of the evacuation that was in effect when the daemon
    /// first knew of it.
    zones: BTreeMap<u8, Option<u64>>,
    /// Live targets that were present after the previous step.
    present: BTreeSet<(u8, u64)>,
}

#[derive(Clone, Debug)]
struct Daemon {
    replica: Replica,
    observed: Observed,
    era_learned_at: u64,
}

impl Daemon {
    fn new() -> Self {
        Self {
            replica: Replica::with_hold(HOLD_MS),
            observed: Observed::default(),
            era_learned_at: 0,
        }
    }
}

/// All daemons.
pub struct Fleet {
    daemons: Vec<Daemon>,
    mutation: Mutation,
}

fn target_id(id: u8) -> String {
    format!("target-{id}")
}

fn zone_name(zone: u8) -> String {
    format!("zone-{zone}")
}

/// The incarnation and state that a daemon knows of a target in the store.
type KnownTarget = (Option<u64>, TargetState);

/// Returns the era in which the store reported the known state of a target.
fn source_era(replica: &Replica, id: &str) -> u64 {
    let entry = replica.targets().find(|entry| entry.target.id == id);
    entry.map_or(0, |entry| entry.target.position.era)
}

fn known_targets(replica: &Replica) -> BTreeMap<String, KnownTarget> {
    let present = replica.targets().filter(|entry| entry.target.present);
    let known = present.filter_map(|entry| {
        let record = entry.target.record.as_ref()?;
        Some((entry.target.id.clone(), (record.incarnation, record.state)))
    });
    known.collect()
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
            Entry::Record { started_at, sequence, state } => Some(TargetRecord {
                service: "sheets".to_owned(),
                address: u32::from(id),
                zone: zone_name(id % 2),
                slots: 5,
                state: *state,
                warm_up_ms: 0,
                incarnation: (self.mutation != Mutation::IgnoresIncarnations)
                    .then_some(*started_at),
                sequence: *sequence,
            }),
            Entry::Foreign | Entry::Removed => None,
        };
        let position = self.position(world, revision);
        VersionedTarget { id: target_id(id), position, present: record.is_some(), record }
    }

    /// Returns the store's answer to a daemon: the changes since its last read, or a listing.
    fn answer(&self, world: &World, known: Position) -> Update {
        let through = self.position(world, world.store.revision);
        let is_same_history = known.era == through.era && world.store.has_history(known.revision);
        let complete = known.is_start() || !is_same_history;
        let mut update = Update {
            after: known,
            through,
            complete,
            zones: ZoneUpdate::Changes(Vec::new()),
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
                ZoneUpdate::Whole(EvacuatedZones::new(through, listed))
            }
            false => ZoneUpdate::Changes(zones),
        };
        update
    }

    fn read(&mut self, world: &World, index: usize) {
        if world.is_cut_from_store[index] {
            return;
        }
        let update = self.answer(world, self.daemons[index].replica.position());
        let accepts_backups = self.mutation == Mutation::AcceptsBackups;
        let daemon = &mut self.daemons[index];
        if accepts_backups && update.through.era > daemon.replica.position().era {
            daemon.replica = Replica::with_hold(0);
        }
        daemon.learn_era(update.through.era, world.now);
        daemon.replica.apply(update, world.now);
    }

    /// Delivers a digest from another daemon, followed by a fetch if the digest shows newer state.
    fn fetch(&mut self, world: &World, to: usize, from: usize) {
        if to == from || world.is_cut_from_peers[to] || world.is_cut_from_peers[from] {
            return;
        }
        let peer = self.daemons[from].replica.clone();
        let daemon = &mut self.daemons[to];
        daemon.learn_era(peer.position().era, world.now);
        daemon.replica.learn_evacuated(peer.stored_zones(), world.now);
        let known = daemon.replica.position();
        if let Some(age_ms) = peer.age(world.now).filter(|_| peer.position() == known) {
            daemon.replica.confirm(known, age_ms, world.now);
        }
        if peer.position() > known || peer.version() > daemon.replica.version() {
            let configuration = daemon.replica.version();
            let request = FetchRequest {
                after: known,
                configuration,
                scope: FetchScope::All,
                with_removed: daemon.replica.needs_removed_targets(world.now),
            };
            daemon.replica.apply(peer.update_for(&request, world.now), world.now);
        }
    }

    fn expire_holds(&mut self, now: u64) {
        for daemon in &mut self.daemons {
            daemon.replica.expire_hold(now);
        }
    }

    /// Checks that all daemons converge after the last fault, while one daemon reads the store and
    /// the others follow each other.
    fn check_convergence(&mut self, mut world: World) {
        world.is_cut_from_store = [false; DAEMONS];
        world.is_cut_from_peers = [false; DAEMONS];
        for _ in 0..CONVERGENCE_TIME_MS / 500 {
            world = World::apply(world, &Step::Pass(500));
            self.expire_holds(world.now);
            self.read(&world, 0);
            for index in 1..DAEMONS {
                self.fetch(&world, index, index - 1);
                self.fetch(&world, index - 1, index);
            }
        }
        let live = world.targets.iter().filter(|(_, target)| target.is_alive);
        let expected: BTreeMap<String, KnownTarget> = live
            .map(|(id, target)| (target_id(*id), (Some(target.started_at), target.state)))
            .collect();
        let zones: Vec<String> = world.zones.keys().map(|zone| zone_name(*zone)).collect();
        for (index, daemon) in self.daemons.iter().enumerate() {
            assert_eq!(known_targets(&daemon.replica), expected, "targets of daemon {index}");
            let evacuated: Vec<&str> = daemon.replica.evacuated().iter().collect();
            assert_eq!(evacuated, zones, "zones of daemon {index}");
            let version = (world.version > 0).then_some(world.version);
            assert_eq!(daemon.replica.version(), version, "version of daemon {index}");
        }
    }

    fn check(&mut self, world: &World) {
        for (index, daemon) in self.daemons.iter_mut().enumerate() {
            daemon.check_version(index);
            daemon.check_targets(index, world);
            daemon.check_hold(index, world);
        }
    }
}

impl Daemon {
    fn learn_era(&mut self, era: u64, now: u64) {
        if self.replica.learn_era(era, now) {
            self.era_learned_at = now;
        }
    }

    fn is_holding(&self, now: u64) -> bool {
        self.replica.newest_era() > 0 && now < self.era_learned_at + HOLD_MS
    }

    /// A restore ends no evacuation and removes no live target before the operator and the targets
    /// had time to write again.
    fn check_hold(&mut self, index: usize, world: &World) {
        let evacuated = |zone: &u8| self.replica.evacuated().contains(&zone_name(*zone));
        let known = known_targets(&self.replica);
        let is_present = |id: u8, started_at: u64| {
            known
                .get(&target_id(id))
                .is_some_and(|(incarnation, _)| *incarnation == Some(started_at))
        };
        let live = world.targets.iter().filter(|(id, target)| {
            target.is_alive
                && !world.overwritten.contains(id)
                && is_present(**id, target.started_at)
        });
        let present: BTreeSet<(u8, u64)> =
            live.map(|(id, target)| (*id, target.started_at)).collect();
        if self.is_holding(world.now) {
            let is_in_effect = |(zone, number): &(&u8, &Option<u64>)| {
                number.is_some() && world.zones.get(zone) == number.as_ref()
            };
            let is_missing = |(zone, _): &(&u8, &Option<u64>)| !evacuated(zone);
            let lost = self.observed.zones.iter().filter(is_in_effect).find(is_missing);
            assert_eq!(lost, None, "daemon {index} ended an evacuation");
            let is_alive = |(id, started_at): &&(u8, u64)| {
                let target = world.targets.get(id).filter(|target| target.is_alive);
                target.is_some_and(|target| target.started_at == *started_at)
                    && !world.overwritten.contains(id)
            };
            let lost = self.observed.present.difference(&present).find(is_alive);
            assert_eq!(lost, None, "daemon {index} lost a live target");
        }
        for zone in 0..ZONES {
            if evacuated(&zone) {
                let number = world.zones.get(&zone).copied();
                self.observed.zones.entry(zone).or_insert(number);
            } else {
                self.observed.zones.remove(&zone);
            }
        }
        self.observed.present = present;
    }

    /// The configuration version never decreases.
    fn check_version(&mut self, index: usize) {
        let version = self.replica.version();
        assert!(version >= self.observed.version, "daemon {index} reverted to version {version:?}");
        self.observed.version = version;
    }

    fn check_targets(&mut self, index: usize, world: &World) {
        for (id, (incarnation, state)) in known_targets(&self.replica) {
            let Some(started_at) = incarnation else { continue };
            let key = (id.clone(), started_at);
            if state == TargetState::Draining {
                self.observed.draining.insert(key);
            } else {
                let was_draining = self.observed.draining.contains(&key);
                assert!(!was_draining, "daemon {index}: draining target {id} became ready");
            }
            self.check_incarnation(index, world, id, started_at);
        }
    }

    /// An incarnation that was followed by another one within one era does not return.
    fn check_incarnation(&mut self, index: usize, world: &World, id: String, started_at: u64) {
        let era = source_era(&self.replica, &id);
        let order = world
            .incarnations
            .iter()
            .position(|(other, start)| target_id(*other) == id && *start == started_at);
        let Some(order) = order else { return };
        let known = self.observed.latest.get(&id).copied();
        if let Some((known_era, latest)) = known.filter(|(_, latest)| *latest > order) {
            // The daemon may have learned of the later incarnation only in another era. Then the
            // store's state wins after the hold period.
            let is_held = self.is_holding(world.now);
            assert!(
                known_era != era && !is_held,
                "daemon {index}: {id} is incarnation {latest}, not {order}"
            );
        }
        self.observed.latest.insert(id, (era, order));
    }
}

/// The model with one injected fault, or none.
pub struct Model<const MUTATION: usize>;

/// The mutations, indexed by the parameter of [`Model`].
pub const MUTATIONS: [Mutation; 4] =
    [Mutation::None, Mutation::IgnoresEra, Mutation::AcceptsBackups, Mutation::IgnoresIncarnations];

impl<const MUTATION: usize> StateMachineTest for Model<MUTATION> {
    type SystemUnderTest = Fleet;
    type Reference = World;

    fn init_test(_: &World) -> Fleet {
        Fleet::new(MUTATIONS[MUTATION])
    }

    fn apply(mut fleet: Fleet, world: &World, step: Step) -> Fleet {
        match step {
            Step::Read(index) => fleet.read(world, index),
            Step::Fetch(to, from) => fleet.fetch(world, to, from),
            Step::RestartDaemon(index) => fleet.daemons[index] = Daemon::new(),
            _ => {}
        }
        fleet.expire_holds(world.now);
        fleet.check(world);
        fleet
    }

    fn teardown(mut fleet: Fleet, world: World) {
        fleet.check_convergence(world);
    }
}
