//! The reference model: a store that compacts its history, is restored from backups and contains
//! foreign entries; targets and an operator that write again after a restore; and the acknowledged
//! state.

use std::collections::{BTreeMap, BTreeSet};

use proptest::prelude::*;
use proptest_state_machine::ReferenceStateMachine;
use weirhinge_fleet::TargetState;

/// Time between a target's writes.
const HEARTBEAT_MS: u64 = 1_100;
/// Time without a write after which the store drops a target's entry.
const EXPIRY_MS: u64 = 3 * HEARTBEAT_MS;
/// Time after a restore of the store at which the operator writes again.
const OPERATOR_REWRITE_DELAY_MS: u64 = 300;
/// Granularity of simulated time.
const STEP_MS: u64 = 100;
/// Base of the targets' start times, on their own clocks.
const FIRST_START: u64 = 1_000_000;
/// Numbers of daemons, targets and zones.
pub const DAEMONS: usize = 5;
const TARGETS: u8 = 4;
pub const ZONES: u8 = 2;

/// One transition of the model.
#[derive(Clone, Debug)]
pub enum Step {
    Pass(u64),
    Configure,
    Evacuate(u8),
    EndEvacuation(u8),
    Start(u8),
    Drain(u8),
    Leave(u8),
    Crash(u8),
    /// A target restarts under its identifier; its clock may have been set back.
    Restart(u8, bool),
    Foreign(u8),
    Compact,
    Backup,
    Restore,
    Read(usize),
    Fetch(usize, usize),
    RestartDaemon(usize),
    CutFromStore(usize, bool),
    CutFromPeers(usize, bool),
}

/// The entry under a target's key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Entry {
    Record {
        started_at: u64,
        sequence: u64,
        state: TargetState,
    },
    /// An entry of another writer, which describes no target.
    Foreign,
    Removed,
}

#[derive(Clone, Debug)]
pub enum Event {
    Target(u8, Entry),
    Zone(u8, bool),
    Configuration(u64),
}

#[derive(Clone, Debug)]
struct Item {
    revision: u64,
    entry: Entry,
    written_at: u64,
}

/// The contents of the store.
#[derive(Clone, Debug, Default)]
pub struct Contents {
    pub revision: u64,
    configuration: Option<(u64, u64)>,
    items: BTreeMap<u8, Item>,
    zones: BTreeMap<u8, u64>,
    events: Vec<(u64, Event)>,
    compacted_through: u64,
}

/// The actual state of the latest incarnation of a target.
#[derive(Clone, Debug)]
pub struct SimulatedTarget {
    pub started_at: u64,
    pub sequence: u64,
    pub state: TargetState,
    pub is_alive: bool,
    next_write_at: u64,
}

/// The state of the world.
#[derive(Clone, Debug, Default)]
pub struct World {
    pub now: u64,
    pub era: u64,
    pub store: Contents,
    backup: Option<Contents>,
    restored_at: Option<u64>,
    /// The configuration version acknowledged last.
    pub version: u64,
    /// Zones evacuated according to the last acknowledged writes, each with the number of its
    /// evacuation.
    pub zones: BTreeMap<u8, u64>,
    evacuation_count: u64,
    pub targets: BTreeMap<u8, SimulatedTarget>,
    start_count: u64,
    /// Targets whose key was overwritten by another writer.
    pub overwritten: BTreeSet<u8>,
    /// Identifier and start time of each incarnation, in the order of their starts.
    pub incarnations: Vec<(u8, u64)>,
    pub is_cut_from_store: [bool; DAEMONS],
    pub is_cut_from_peers: [bool; DAEMONS],
}

impl Contents {
    fn write(&mut self, event: Event, now: u64) {
        self.revision += 1;
        let revision = self.revision;
        match &event {
            Event::Target(id, Entry::Removed) => drop(self.items.remove(id)),
            Event::Target(id, entry) => {
                let item = Item { revision, entry: entry.clone(), written_at: now };
                self.items.insert(*id, item);
            }
            Event::Zone(zone, true) => drop(self.zones.insert(*zone, revision)),
            Event::Zone(zone, false) => drop(self.zones.remove(zone)),
            Event::Configuration(version) => self.configuration = Some((revision, *version)),
        }
        self.events.push((revision, event));
    }

    /// Whether the history needed for a watch from this revision is available.
    pub fn has_history(&self, after: u64) -> bool {
        (self.compacted_through..=self.revision).contains(&after)
    }

    pub fn events_after(&self, after: u64) -> impl Iterator<Item = &(u64, Event)> {
        self.events.iter().filter(move |(revision, _)| *revision > after)
    }

    /// Returns the entries of a listing, each with its revision.
    pub fn listing(&self) -> impl Iterator<Item = (u64, Event)> {
        let items = self.items.iter();
        let items = items.map(|(id, item)| (item.revision, Event::Target(*id, item.entry.clone())));
        let zones = self.zones.iter().map(|(zone, at)| (*at, Event::Zone(*zone, true)));
        let configuration = self.configuration;
        let configuration = configuration.map(|(at, version)| (at, Event::Configuration(version)));
        items.chain(zones).chain(configuration)
    }
}

impl World {
    fn pass(&mut self, ms: u64) {
        for _ in 0..ms / STEP_MS {
            self.now += STEP_MS;
            let due: Vec<u8> = self.due_targets();
            due.into_iter().for_each(|id| self.write_record(id));
            self.rewrite_after_restore();
            self.drop_expired_entries();
        }
    }

    fn due_targets(&self) -> Vec<u8> {
        let due = self.targets.iter().filter(|(_, target)| target.is_alive);
        due.filter(|(_, target)| target.next_write_at <= self.now).map(|(id, _)| *id).collect()
    }

    /// Writes a target's record. The entry gets a new revision only if more than its sequence
    /// number changed.
    fn write_record(&mut self, id: u8) {
        let now = self.now;
        let Some(target) = self.targets.get_mut(&id) else { return };
        target.sequence += 1;
        target.next_write_at = now + HEARTBEAT_MS;
        let (started_at, sequence, state) = (target.started_at, target.sequence, target.state);
        let item = self.store.items.get_mut(&id);
        let unchanged = item.filter(|item| {
            matches!(&item.entry, Entry::Record { started_at: known_start, state: known_state, .. }
                if *known_start == started_at && *known_state == state)
        });
        match unchanged {
            Some(item) => item.written_at = now,
            None => {
                let entry = Entry::Record { started_at, sequence, state };
                self.store.write(Event::Target(id, entry), now);
            }
        }
    }

    fn rewrite_after_restore(&mut self) {
        if self.restored_at.is_none_or(|at| self.now < at + OPERATOR_REWRITE_DELAY_MS) {
            return;
        }
        self.restored_at = None;
        if self.version > 0
            && self.store.configuration.map(|(_, known)| known) != Some(self.version)
        {
            self.store.write(Event::Configuration(self.version), self.now);
        }
        for zone in 0..ZONES {
            let wanted = self.zones.contains_key(&zone);
            if self.store.zones.contains_key(&zone) != wanted {
                self.store.write(Event::Zone(zone, wanted), self.now);
            }
        }
    }

    fn drop_expired_entries(&mut self) {
        let is_expired =
            |item: &Item| item.entry != Entry::Foreign && item.written_at + EXPIRY_MS <= self.now;
        let expired = self.store.items.iter().filter(|(_, item)| is_expired(item));
        let expired: Vec<u8> = expired.map(|(id, _)| *id).collect();
        for id in expired {
            self.store.write(Event::Target(id, Entry::Removed), self.now);
        }
    }

    fn start_target(&mut self, id: u8, is_clock_set_back: bool) {
        self.start_count += 1;
        let started_at = if is_clock_set_back {
            FIRST_START - self.start_count
        } else {
            FIRST_START + self.start_count
        };
        self.incarnations.push((id, started_at));
        let state = TargetState::Ready;
        let target =
            SimulatedTarget { started_at, sequence: 0, state, is_alive: true, next_write_at: 0 };
        self.targets.insert(id, target);
        self.write_record(id);
    }

    fn is_alive(&self, id: u8) -> bool {
        self.targets.get(&id).is_some_and(|target| target.is_alive)
    }

    fn stop_target(&mut self, id: u8) {
        if let Some(target) = self.targets.get_mut(&id) {
            target.is_alive = false;
        }
    }

    fn restore(&mut self) {
        let Some(backup) = self.backup.clone() else { return };
        self.store = backup;
        self.era += 1;
        self.restored_at = Some(self.now);
        for item in self.store.items.values_mut() {
            item.written_at = self.now;
        }
    }
}

impl ReferenceStateMachine for World {
    type State = World;
    type Transition = Step;

    fn init_state() -> BoxedStrategy<World> {
        Just(World::default()).boxed()
    }

    fn transitions(_: &World) -> BoxedStrategy<Step> {
        let target = 0..TARGETS;
        let zone = 0..ZONES;
        let daemon = 0..DAEMONS;
        prop_oneof![
            4 => (1..30_u64).prop_map(|steps| Step::Pass(steps * STEP_MS)),
            2 => Just(Step::Configure),
            1 => zone.clone().prop_map(Step::Evacuate),
            1 => zone.prop_map(Step::EndEvacuation),
            2 => target.clone().prop_map(Step::Start),
            1 => target.clone().prop_map(Step::Drain),
            1 => target.clone().prop_map(Step::Leave),
            1 => target.clone().prop_map(Step::Crash),
            2 => (target.clone(), prop::bool::weighted(0.2))
                .prop_map(|(id, is_clock_set_back)| Step::Restart(id, is_clock_set_back)),
            1 => target.prop_map(Step::Foreign),
            1 => Just(Step::Compact),
            2 => Just(Step::Backup),
            2 => Just(Step::Restore),
            8 => daemon.clone().prop_map(Step::Read),
            8 => (daemon.clone(), daemon.clone()).prop_map(|(to, from)| Step::Fetch(to, from)),
            1 => daemon.clone().prop_map(Step::RestartDaemon),
            1 => (daemon.clone(), any::<bool>())
                .prop_map(|(daemon, is_cut)| Step::CutFromStore(daemon, is_cut)),
            1 => (daemon, any::<bool>())
                .prop_map(|(daemon, is_cut)| Step::CutFromPeers(daemon, is_cut)),
        ]
        .boxed()
    }

    fn apply(mut world: World, step: &Step) -> World {
        match *step {
            Step::Pass(ms) => world.pass(ms),
            Step::Configure => {
                world.version += 2;
                world.store.write(Event::Configuration(world.version), world.now);
            }
            Step::Evacuate(zone) => {
                if !world.zones.contains_key(&zone) {
                    world.evacuation_count += 1;
                    world.zones.insert(zone, world.evacuation_count);
                    world.store.write(Event::Zone(zone, true), world.now);
                }
            }
            Step::EndEvacuation(zone) => {
                if world.zones.remove(&zone).is_some() && world.store.zones.contains_key(&zone) {
                    world.store.write(Event::Zone(zone, false), world.now);
                }
            }
            Step::Start(id) if !world.targets.contains_key(&id) => world.start_target(id, false),
            Step::Restart(id, is_clock_set_back) if world.targets.contains_key(&id) => {
                world.start_target(id, is_clock_set_back);
            }
            Step::Drain(id) if world.is_alive(id) => {
                if let Some(target) = world.targets.get_mut(&id) {
                    target.state = TargetState::Draining;
                }
                world.write_record(id);
            }
            Step::Leave(id) if world.is_alive(id) => {
                world.stop_target(id);
                if world.store.items.contains_key(&id) {
                    world.store.write(Event::Target(id, Entry::Removed), world.now);
                }
            }
            Step::Crash(id) => world.stop_target(id),
            Step::Foreign(id) => {
                world.overwritten.insert(id);
                world.store.write(Event::Target(id, Entry::Foreign), world.now);
            }
            Step::Compact => {
                world.store.compacted_through = world.store.revision;
                world.store.events.clear();
            }
            Step::Backup => world.backup = Some(world.store.clone()),
            Step::Restore => world.restore(),
            Step::CutFromStore(daemon, is_cut) => world.is_cut_from_store[daemon] = is_cut,
            Step::CutFromPeers(daemon, is_cut) => world.is_cut_from_peers[daemon] = is_cut,
            Step::Start(_)
            | Step::Restart(..)
            | Step::Drain(_)
            | Step::Leave(_)
            | Step::Read(_)
            | Step::Fetch(..)
            | Step::RestartDaemon(_) => {}
        }
        world
    }
}
