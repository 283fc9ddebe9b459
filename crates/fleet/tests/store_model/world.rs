//! The reference: a store that forgets, restarts from copies and holds what others wrote;
//! targets and an operator that write again; and what was acknowledged.

use std::collections::{BTreeMap, BTreeSet};

use proptest::prelude::*;
use proptest_state_machine::ReferenceStateMachine;
use weirhinge_fleet::TargetState;

/// Time between a target's writes.
const HEARTBEAT_MS: u64 = 1_100;
/// Silence after which the store drops a target's entry.
const LAPSE_MS: u64 = 3 * HEARTBEAT_MS;
/// Time after a restart of the store in which the operator writes again.
const REWRITE_MS: u64 = 300;
/// Steps in which time passes.
const STEP_MS: u64 = 100;
/// First start of any target, on its own clock.
const FIRST_BORN: u64 = 1_000_000;
/// Daemons, targets and zones there are.
pub const DAEMONS: usize = 5;
const TARGETS: u8 = 4;
pub const ZONES: u8 = 2;

/// One thing that happens.
#[derive(Clone, Debug)]
pub enum Step {
    Pass(u64),
    Configure,
    Evacuate(u8),
    TakeBack(u8),
    Start(u8),
    Drain(u8),
    Leave(u8),
    Crash(u8),
    /// A target starts again under its identifier; its clock may have been set back.
    Restart(u8, bool),
    Foreign(u8),
    Compact,
    Copy,
    Restore,
    Read(usize),
    Fetch(usize, usize),
    RestartDaemon(usize),
    CutFromStore(usize, bool),
    CutFromPeers(usize, bool),
}

/// What stands under a target's key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Entry {
    Record {
        born: u64,
        sequence: u64,
        state: TargetState,
    },
    /// Another writer's, which names no target.
    Foreign,
    Gone,
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

/// What the store holds.
#[derive(Clone, Debug, Default)]
pub struct Contents {
    pub revision: u64,
    configuration: Option<(u64, u64)>,
    items: BTreeMap<u8, Item>,
    zones: BTreeMap<u8, u64>,
    events: Vec<(u64, Event)>,
    forgotten: u64,
}

/// What a target is in truth.
#[derive(Clone, Debug)]
pub struct Life {
    pub born: u64,
    pub sequence: u64,
    pub state: TargetState,
    pub is_alive: bool,
    next_write_at: u64,
}

/// All that happened so far.
#[derive(Clone, Debug, Default)]
pub struct World {
    pub now: u64,
    pub era: u64,
    pub store: Contents,
    copy: Option<Contents>,
    restored_at: Option<u64>,
    /// The version acknowledged last.
    pub version: u64,
    /// Zones evacuated by what was acknowledged last, each with the number of that order.
    pub zones: BTreeMap<u8, u64>,
    orders: u64,
    pub targets: BTreeMap<u8, Life>,
    births: u64,
    /// Targets under whose key another writer wrote.
    pub overwritten: BTreeSet<u8>,
    /// Each life's identifier and start, in the order in which they began.
    pub lives: Vec<(u8, u64)>,
    pub no_store: [bool; DAEMONS],
    pub no_peers: [bool; DAEMONS],
}

impl Contents {
    fn write(&mut self, event: Event, now: u64) {
        self.revision += 1;
        let revision = self.revision;
        match &event {
            Event::Target(id, Entry::Gone) => drop(self.items.remove(id)),
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

    /// Whether a watch from this revision is answered.
    pub fn has_history(&self, after: u64) -> bool {
        (self.forgotten..=self.revision).contains(&after)
    }

    pub fn events_after(&self, after: u64) -> impl Iterator<Item = &(u64, Event)> {
        self.events.iter().filter(move |(revision, _)| *revision > after)
    }

    /// The entries that a listing has, each with its revision.
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
            self.rewrite();
            self.drop_silent();
        }
    }

    fn due_targets(&self) -> Vec<u8> {
        let due = self.targets.iter().filter(|(_, life)| life.is_alive);
        due.filter(|(_, life)| life.next_write_at <= self.now).map(|(id, _)| *id).collect()
    }

    /// A target writes; the entry changes when more than its sequence does.
    fn write_record(&mut self, id: u8) {
        let now = self.now;
        let Some(life) = self.targets.get_mut(&id) else { return };
        life.sequence += 1;
        life.next_write_at = now + HEARTBEAT_MS;
        let (born, sequence, state) = (life.born, life.sequence, life.state);
        let item = self.store.items.get_mut(&id);
        let same = item.filter(|item| {
            matches!(&item.entry, Entry::Record { born: known, state: said, .. }
                if *known == born && *said == state)
        });
        match same {
            Some(item) => item.written_at = now,
            None => {
                let entry = Entry::Record { born, sequence, state };
                self.store.write(Event::Target(id, entry), now);
            }
        }
    }

    fn rewrite(&mut self) {
        if self.restored_at.is_none_or(|at| self.now < at + REWRITE_MS) {
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

    fn drop_silent(&mut self) {
        let is_silent =
            |item: &Item| item.entry != Entry::Foreign && item.written_at + LAPSE_MS <= self.now;
        let silent = self.store.items.iter().filter(|(_, item)| is_silent(item));
        let silent: Vec<u8> = silent.map(|(id, _)| *id).collect();
        for id in silent {
            self.store.write(Event::Target(id, Entry::Gone), self.now);
        }
    }

    fn begin_life(&mut self, id: u8, is_set_back: bool) {
        self.births += 1;
        let born = if is_set_back { FIRST_BORN - self.births } else { FIRST_BORN + self.births };
        self.lives.push((id, born));
        let state = TargetState::Ready;
        let life = Life { born, sequence: 0, state, is_alive: true, next_write_at: 0 };
        self.targets.insert(id, life);
        self.write_record(id);
    }

    fn is_alive(&self, id: u8) -> bool {
        self.targets.get(&id).is_some_and(|life| life.is_alive)
    }

    fn end_life(&mut self, id: u8) {
        if let Some(life) = self.targets.get_mut(&id) {
            life.is_alive = false;
        }
    }

    fn restore(&mut self) {
        let Some(copy) = self.copy.clone() else { return };
        self.store = copy;
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
            1 => zone.prop_map(Step::TakeBack),
            2 => target.clone().prop_map(Step::Start),
            1 => target.clone().prop_map(Step::Drain),
            1 => target.clone().prop_map(Step::Leave),
            1 => target.clone().prop_map(Step::Crash),
            2 => (target.clone(), prop::bool::weighted(0.2)).prop_map(|(id, back)| Step::Restart(id, back)),
            1 => target.prop_map(Step::Foreign),
            1 => Just(Step::Compact),
            2 => Just(Step::Copy),
            2 => Just(Step::Restore),
            8 => daemon.clone().prop_map(Step::Read),
            8 => (daemon.clone(), daemon.clone()).prop_map(|(to, from)| Step::Fetch(to, from)),
            1 => daemon.clone().prop_map(Step::RestartDaemon),
            1 => (daemon.clone(), any::<bool>()).prop_map(|(one, cut)| Step::CutFromStore(one, cut)),
            1 => (daemon, any::<bool>()).prop_map(|(one, cut)| Step::CutFromPeers(one, cut)),
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
                    world.orders += 1;
                    world.zones.insert(zone, world.orders);
                    world.store.write(Event::Zone(zone, true), world.now);
                }
            }
            Step::TakeBack(zone) => {
                if world.zones.remove(&zone).is_some() && world.store.zones.contains_key(&zone) {
                    world.store.write(Event::Zone(zone, false), world.now);
                }
            }
            Step::Start(id) if !world.targets.contains_key(&id) => world.begin_life(id, false),
            Step::Restart(id, is_set_back) if world.targets.contains_key(&id) => {
                world.begin_life(id, is_set_back);
            }
            Step::Drain(id) if world.is_alive(id) => {
                if let Some(life) = world.targets.get_mut(&id) {
                    life.state = TargetState::Draining;
                }
                world.write_record(id);
            }
            Step::Leave(id) if world.is_alive(id) => {
                world.end_life(id);
                if world.store.items.contains_key(&id) {
                    world.store.write(Event::Target(id, Entry::Gone), world.now);
                }
            }
            Step::Crash(id) => world.end_life(id),
            Step::Foreign(id) => {
                world.overwritten.insert(id);
                world.store.write(Event::Target(id, Entry::Foreign), world.now);
            }
            Step::Compact => {
                world.store.forgotten = world.store.revision;
                world.store.events.clear();
            }
            Step::Copy => world.copy = Some(world.store.clone()),
            Step::Restore => world.restore(),
            Step::CutFromStore(daemon, is_cut) => world.no_store[daemon] = is_cut,
            Step::CutFromPeers(daemon, is_cut) => world.no_peers[daemon] = is_cut,
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
