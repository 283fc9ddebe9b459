//! Draws the faults of a soak from its seed.

use std::time::Duration;

use rand::seq::{IndexedRandom, SliceRandom};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// How many processes of each kind there are.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Size {
    /// Balancers.
    pub balancers: usize,
    /// Targets, each with an agent.
    pub targets: usize,
}

/// How the store fails for everybody.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StoreTrouble {
    /// It refuses calls as overloaded.
    Busy,
    /// It takes calls and says nothing.
    Silent,
    /// It breaks connections off.
    Reset,
    /// It answers late.
    Slow,
    /// It serves, but forgets what changed before.
    Forgets,
    /// It is away, and comes back from a copy that lacks its latest writes. Operator and
    /// targets write again.
    Restored,
}

/// How the connection between one balancer and the store fails.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LinkTrouble {
    /// Everything arrives late.
    Delayed,
    /// It is broken off.
    Reset,
    /// Nothing passes.
    Silent,
    /// The balancer's calls are lost.
    LosesRequests,
    /// The store's answers are lost.
    LosesAnswers,
}

/// One thing that happens to the deployment. Numbers are places among the balancers
/// or targets.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// A balancer is told to stop, and starts again.
    StopBalancer(usize),
    /// A target drains and comes back under a new identity.
    DrainTarget(usize),
    /// The operator empties the zone that some of the targets are in.
    EvacuateZone,
    /// A process is told to read its settings again.
    Reload(usize),
    /// The operator changes the configuration.
    Configure,
    /// A balancer is killed, and starts again.
    KillBalancer(usize),
    /// A balancer stands still.
    PauseBalancer(usize),
    /// An agent is killed, and starts again.
    KillAgent(usize),
    /// An agent stands still.
    PauseAgent(usize),
    /// A target is gone without a word, and starts again without its flows.
    CrashTarget(usize),
    /// A target crashes and starts again at once under its identifier, without its flows.
    RestartTarget(usize),
    /// Another writer leaves entries in the store that name nothing.
    ForeignEntries,
    /// All processes of the product are killed, and start again.
    KillAll,
    /// The store fails for everybody.
    Store(StoreTrouble),
    /// The connection between a balancer and the store fails.
    StoreLink(usize, LinkTrouble),
    /// Clients' packets are lost, doubled, and overtake each other.
    LossyClients,
    /// A target takes far longer for each request.
    SlowTarget(usize),
    /// Many more callers come, one machine of them with as many as all others.
    Crowd,
}

impl Fault {
    /// Whether it is planned work, which may cut nothing.
    pub fn is_planned(self) -> bool {
        matches!(
            self,
            Fault::StopBalancer(_)
                | Fault::DrainTarget(_)
                | Fault::EvacuateZone
                | Fault::Reload(_)
                | Fault::Configure
                | Fault::ForeignEntries
                // Not planned, but as harmless: flows do not need the store.
                | Fault::Store(_)
                | Fault::StoreLink(..)
                // Openings may be refused, but no flow is cut.
                | Fault::SlowTarget(_)
                | Fault::Crowd
        )
    }

    /// Whether openings may find no room.
    fn may_refuse(&self) -> bool {
        matches!(self, Fault::SlowTarget(_) | Fault::Crowd)
    }

    /// Whether it is brought about by a signal to one process.
    fn is_signal(&self) -> bool {
        matches!(
            self,
            Fault::StopBalancer(_)
                | Fault::Reload(_)
                | Fault::KillBalancer(_)
                | Fault::PauseBalancer(_)
                | Fault::KillAgent(_)
                | Fault::PauseAgent(_)
        )
    }

    /// Whether targets must get no new flows while it lasts.
    fn is_drain(&self) -> bool {
        matches!(self, Fault::DrainTarget(_) | Fault::EvacuateZone)
    }

    /// Whether changes of the configuration reach all balancers meanwhile.
    pub fn lets_changes_through(self) -> bool {
        matches!(
            self,
            Fault::DrainTarget(_)
                | Fault::EvacuateZone
                | Fault::Reload(_)
                | Fault::Configure
                | Fault::ForeignEntries
                | Fault::RestartTarget(_)
                | Fault::SlowTarget(_)
                | Fault::Crowd
        )
    }
}

/// Faults that overlap: they begin one after the other and are mended in that order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Episode {
    /// The faults.
    pub faults: Vec<Fault>,
    /// Time from the begin of one to that of the next, and from mend to mend; 0 if all
    /// begin and end together.
    pub gap: Duration,
    /// How long each lasts.
    pub lasts: Duration,
}

impl Episode {
    /// Whether requests must not fail in it.
    pub fn is_harmless(&self) -> bool {
        self.faults.iter().all(|fault| fault.is_planned())
    }

    /// Whether openings may be refused in it.
    pub fn may_refuse(&self) -> bool {
        self.faults.iter().any(Fault::may_refuse)
    }
}

/// Shortest and longest time that faults last, in milliseconds.
const LASTS_MS: std::ops::RangeInclusive<u64> = 1_500..=4_000;
/// Time that a drain lasts: past the bound after which no flow may be opened.
const DRAIN_LASTS: Duration = Duration::from_millis(4_500);

/// The episodes that a seed draws.
pub fn draw(seed: u64, episodes: usize, size: Size) -> Vec<Episode> {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    (0..episodes).map(|_| draw_episode(&mut random, size)).collect()
}

/// Most faults of one series.
const LONGEST_SERIES: usize = 4;
/// Longest time between two faults of a series, in milliseconds.
const LONGEST_GAP_MS: u64 = 900;

/// The series that a seed draws: up to four faults an episode that overlap, those of the
/// store's and the targets' own lives among them.
pub fn draw_series(seed: u64, episodes: usize, size: Size) -> Vec<Episode> {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    (0..episodes).map(|_| draw_one_series(&mut random, size)).collect()
}

/// Most slow targets of an episode, beside a crowd.
const MOST_SLOW_TARGETS: usize = 3;

/// The crowds that a seed draws: each with some slow targets and, in half of them, another
/// fault.
pub fn draw_crowds(seed: u64, episodes: usize, size: Size) -> Vec<Episode> {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    (0..episodes).map(|_| draw_crowd(&mut random, size)).collect()
}

fn draw_crowd(random: &mut ChaCha8Rng, size: Size) -> Episode {
    let mut faults = vec![Fault::Crowd];
    for _ in 0..random.random_range(0..=MOST_SLOW_TARGETS) {
        let slow = Fault::SlowTarget(random.random_range(0..size.targets));
        if !faults.contains(&slow) {
            faults.push(slow);
        }
    }
    if random.random_bool(0.5) {
        let other = draw_fault(random, size);
        if faults.iter().all(|known| !touch_the_same(*known, other)) {
            faults.push(other);
        }
    }
    let gap = Duration::from_millis(random.random_range(0..=LONGEST_GAP_MS));
    let drains = faults.iter().any(|fault| fault.is_drain());
    let lasts = Duration::from_millis(random.random_range(LASTS_MS));
    Episode { faults, gap, lasts: if drains { DRAIN_LASTS } else { lasts } }
}

fn draw_one_series(random: &mut ChaCha8Rng, size: Size) -> Episode {
    let count = random.random_range(2..=LONGEST_SERIES);
    let mut faults: Vec<Fault> = Vec::new();
    while faults.len() < count {
        let fault = match random.random_range(0..6) {
            0 => Fault::Store(StoreTrouble::Restored),
            1 => Fault::RestartTarget(random.random_range(0..size.targets)),
            2 => Fault::ForeignEntries,
            _ => draw_fault(random, size),
        };
        if faults.iter().all(|known| !touch_the_same(*known, fault)) {
            faults.push(fault);
        }
    }
    let gap = Duration::from_millis(random.random_range(0..=LONGEST_GAP_MS));
    let drains = faults.iter().any(|fault| fault.is_drain());
    let lasts = Duration::from_millis(random.random_range(LASTS_MS));
    Episode { faults, gap, lasts: if drains { DRAIN_LASTS } else { lasts } }
}

fn draw_episode(random: &mut ChaCha8Rng, size: Size) -> Episode {
    let count = random.random_range(1..=2);
    let mut faults: Vec<Fault> = Vec::new();
    while faults.len() < count {
        let fault = draw_fault(random, size);
        let is_alone = |kind: Fault| kind == Fault::KillAll;
        if is_alone(fault) {
            faults = vec![fault];
            break;
        }
        if faults.iter().all(|known| !touch_the_same(*known, fault)) {
            faults.push(fault);
        }
    }
    faults.shuffle(random);
    let drains = faults.iter().any(|fault| fault.is_drain());
    let lasts = Duration::from_millis(random.random_range(LASTS_MS));
    Episode { faults, gap: Duration::ZERO, lasts: if drains { DRAIN_LASTS } else { lasts } }
}

fn draw_fault(random: &mut ChaCha8Rng, size: Size) -> Fault {
    let balancer = random.random_range(0..size.balancers);
    let target = random.random_range(0..size.targets);
    let store = [
        StoreTrouble::Busy,
        StoreTrouble::Silent,
        StoreTrouble::Reset,
        StoreTrouble::Slow,
        StoreTrouble::Forgets,
    ];
    let link = [
        LinkTrouble::Delayed,
        LinkTrouble::Reset,
        LinkTrouble::Silent,
        LinkTrouble::LosesRequests,
        LinkTrouble::LosesAnswers,
    ];
    match random.random_range(0..14) {
        0 => Fault::StopBalancer(balancer),
        1 => Fault::DrainTarget(target),
        2 => Fault::Reload(balancer),
        3 => Fault::Configure,
        4 => Fault::KillBalancer(balancer),
        5 => Fault::PauseBalancer(balancer),
        6 => Fault::KillAgent(target),
        7 => Fault::PauseAgent(target),
        8 => Fault::CrashTarget(target),
        9 => Fault::KillAll,
        10 => Fault::Store(store.choose(random).copied().unwrap_or(StoreTrouble::Busy)),
        11 => {
            Fault::StoreLink(balancer, link.choose(random).copied().unwrap_or(LinkTrouble::Reset))
        }
        12 => Fault::EvacuateZone,
        _ => Fault::LossyClients,
    }
}

/// Whether two faults concern the same process or store, so that mending one would undo
/// the other, or could together leave a service without a target.
fn touch_the_same(one: Fault, other: Fault) -> bool {
    let takes_targets = |fault: Fault| {
        matches!(
            fault,
            Fault::EvacuateZone
                | Fault::DrainTarget(_)
                | Fault::CrashTarget(_)
                | Fault::RestartTarget(_)
        )
    };
    if takes_targets(one) && takes_targets(other) {
        return true;
    }
    // What was killed takes no signal.
    if [one, other].contains(&Fault::KillAll) && (one.is_signal() || other.is_signal()) {
        return true;
    }
    let touched = |fault: Fault| match fault {
        Fault::StopBalancer(place)
        | Fault::Reload(place)
        | Fault::KillBalancer(place)
        | Fault::PauseBalancer(place) => (0, place),
        Fault::DrainTarget(place)
        | Fault::KillAgent(place)
        | Fault::PauseAgent(place)
        | Fault::CrashTarget(place)
        | Fault::RestartTarget(place)
        | Fault::SlowTarget(place) => (1, place),
        Fault::Store(_) | Fault::StoreLink(..) => (2, 0),
        Fault::Configure => (3, 0),
        Fault::LossyClients => (4, 0),
        Fault::KillAll => (5, 0),
        Fault::EvacuateZone => (6, 0),
        Fault::ForeignEntries => (7, 0),
        Fault::Crowd => (8, 0),
    };
    touched(one) == touched(other)
}
