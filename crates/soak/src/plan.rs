//! Generates the faults of a soak from its seed.

use std::time::Duration;

use rand::seq::{IndexedRandom, SliceRandom};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// Size of the deployment.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Size {
    /// Number of balancers.
    pub balancers: usize,
    /// Number of targets, each with an agent.
    pub targets: usize,
}

/// How the store fails for all its clients.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StoreTrouble {
    /// It rejects requests with status 503 (overloaded).
    Busy,
    /// It accepts requests but does not respond.
    Silent,
    /// It resets connections.
    Reset,
    /// It delays its responses.
    Slow,
    /// It keeps serving, but loses its history of changes.
    Forgets,
    /// It is unavailable and is then restored from a backup that lacks its latest writes.
    /// The operator and the targets write their entries again.
    Restored,
}

/// How the connection between one balancer and the store fails.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LinkTrouble {
    /// All data is delayed.
    Delayed,
    /// The connection is reset.
    Reset,
    /// No data passes.
    Silent,
    /// The balancer's requests are lost.
    LosesRequests,
    /// The store's responses are lost.
    LosesAnswers,
}

/// A fault or a planned operation. Numbers are indexes of balancers, or of targets and their
/// agents.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// A balancer shuts down gracefully (SIGTERM) and is restarted.
    StopBalancer(usize),
    /// A target drains and returns under a new identifier.
    DrainTarget(usize),
    /// The operator evacuates the zone that some of the targets are in.
    EvacuateZone,
    /// A balancer reloads its settings (SIGHUP).
    Reload(usize),
    /// The operator writes a new version of the configuration.
    Configure,
    /// A balancer is killed and later restarted.
    KillBalancer(usize),
    /// A balancer is paused (SIGSTOP) and later resumed.
    PauseBalancer(usize),
    /// An agent is killed and later restarted.
    KillAgent(usize),
    /// An agent is paused (SIGSTOP) and later resumed.
    PauseAgent(usize),
    /// A target stops responding without notice and later returns without its flows.
    CrashTarget(usize),
    /// A target crashes and restarts at once under the same identifier, without its flows.
    RestartTarget(usize),
    /// Another writer leaves entries in the store that refer to nothing.
    ForeignEntries,
    /// All balancers and agents are killed and later restarted.
    KillAll,
    /// The store fails for all its clients.
    Store(StoreTrouble),
    /// The connection between one balancer and the store fails.
    StoreLink(usize, LinkTrouble),
    /// Packets of clients are lost, duplicated and reordered.
    LossyClients,
    /// The service time of a target rises far above the usual.
    SlowTarget(usize),
    /// Many additional clients start; one machine runs as many of them as all others together.
    Crowd,
}

impl Fault {
    /// Whether open flows must not break while it lasts. True for planned operations and for
    /// faults that do not affect open flows.
    pub fn is_non_disruptive(self) -> bool {
        matches!(
            self,
            Fault::StopBalancer(_)
                | Fault::DrainTarget(_)
                | Fault::EvacuateZone
                | Fault::Reload(_)
                | Fault::Configure
                | Fault::ForeignEntries
                // Not planned, but harmless too: flows do not depend on the store.
                | Fault::Store(_)
                | Fault::StoreLink(..)
                // New flows may be refused, but no open flow may break.
                | Fault::SlowTarget(_)
                | Fault::Crowd
        )
    }

    /// Whether new flows may be refused for lack of capacity.
    fn may_refuse(&self) -> bool {
        matches!(self, Fault::SlowTarget(_) | Fault::Crowd)
    }

    /// Whether it is injected by a signal to one process.
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

    /// Whether it drains targets, which must then get no new flows.
    fn is_drain(&self) -> bool {
        matches!(self, Fault::DrainTarget(_) | Fault::EvacuateZone)
    }

    /// Whether a new configuration still reaches all balancers while it lasts.
    pub fn allows_configuration_changes(self) -> bool {
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

/// Overlapping faults. They are injected one after the other and cleared in the same order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Episode {
    /// The faults, in the order of injection.
    pub faults: Vec<Fault>,
    /// Time between two injections and between two clearings; 0 if all faults begin and end
    /// together.
    pub gap: Duration,
    /// Time from the first injection to the first clearing, unless injecting takes longer.
    pub duration: Duration,
}

impl Episode {
    /// Whether requests on open flows must not fail because of it. New flows may be refused if
    /// [`Self::may_refuse`] returns true.
    pub fn is_harmless(&self) -> bool {
        self.faults.iter().all(|fault| fault.is_non_disruptive())
    }

    /// Whether new flows may be refused for lack of capacity while it lasts.
    pub fn may_refuse(&self) -> bool {
        self.faults.iter().any(Fault::may_refuse)
    }
}

/// Range of the duration of an episode without drains, in milliseconds.
const DURATION_MS: std::ops::RangeInclusive<u64> = 1_500..=4_000;
/// Duration of an episode with a drain. It exceeds the bound after which a draining target
/// must get no new flows.
const DRAIN_DURATION: Duration = Duration::from_millis(4_500);

/// Generates episodes of one or two faults that begin and end together.
pub fn generate_episodes(seed: u64, episodes: usize, size: Size) -> Vec<Episode> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    (0..episodes).map(|_| generate_episode(&mut rng, size)).collect()
}

/// Maximum number of faults in a series.
const MAX_SERIES_FAULTS: usize = 4;
/// Maximum time between two faults of an episode, in milliseconds.
const MAX_GAP_MS: u64 = 900;

/// Generates episodes of two to four overlapping faults, which include restores of the store,
/// foreign entries in it and restarts of targets.
pub fn generate_series(seed: u64, episodes: usize, size: Size) -> Vec<Episode> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    (0..episodes).map(|_| generate_one_series(&mut rng, size)).collect()
}

/// Maximum number of slow targets in an episode with a crowd.
const MAX_SLOW_TARGETS: usize = 3;

/// Generates episodes with a crowd of clients and up to three slow targets. Half of them draw
/// another fault too, which is left out if it conflicts with the others.
pub fn generate_crowds(seed: u64, episodes: usize, size: Size) -> Vec<Episode> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    (0..episodes).map(|_| generate_crowd(&mut rng, size)).collect()
}

fn generate_crowd(rng: &mut ChaCha8Rng, size: Size) -> Episode {
    let mut faults = vec![Fault::Crowd];
    for _ in 0..rng.random_range(0..=MAX_SLOW_TARGETS) {
        let slow = Fault::SlowTarget(rng.random_range(0..size.targets));
        if !faults.contains(&slow) {
            faults.push(slow);
        }
    }
    if rng.random_bool(0.5) {
        let other = generate_fault(rng, size);
        if faults.iter().all(|chosen| !conflict(*chosen, other)) {
            faults.push(other);
        }
    }
    let gap = Duration::from_millis(rng.random_range(0..=MAX_GAP_MS));
    let drains = faults.iter().any(|fault| fault.is_drain());
    let duration = Duration::from_millis(rng.random_range(DURATION_MS));
    Episode { faults, gap, duration: if drains { DRAIN_DURATION } else { duration } }
}

fn generate_one_series(rng: &mut ChaCha8Rng, size: Size) -> Episode {
    let count = rng.random_range(2..=MAX_SERIES_FAULTS);
    let mut faults: Vec<Fault> = Vec::new();
    while faults.len() < count {
        let fault = match rng.random_range(0..6) {
            0 => Fault::Store(StoreTrouble::Restored),
            1 => Fault::RestartTarget(rng.random_range(0..size.targets)),
            2 => Fault::ForeignEntries,
            _ => generate_fault(rng, size),
        };
        if faults.iter().all(|chosen| !conflict(*chosen, fault)) {
            faults.push(fault);
        }
    }
    let gap = Duration::from_millis(rng.random_range(0..=MAX_GAP_MS));
    let drains = faults.iter().any(|fault| fault.is_drain());
    let duration = Duration::from_millis(rng.random_range(DURATION_MS));
    Episode { faults, gap, duration: if drains { DRAIN_DURATION } else { duration } }
}

fn generate_episode(rng: &mut ChaCha8Rng, size: Size) -> Episode {
    let count = rng.random_range(1..=2);
    let mut faults: Vec<Fault> = Vec::new();
    while faults.len() < count {
        let fault = generate_fault(rng, size);
        let excludes_others = |kind: Fault| kind == Fault::KillAll;
        if excludes_others(fault) {
            faults = vec![fault];
            break;
        }
        if faults.iter().all(|chosen| !conflict(*chosen, fault)) {
            faults.push(fault);
        }
    }
    faults.shuffle(rng);
    let drains = faults.iter().any(|fault| fault.is_drain());
    let duration = Duration::from_millis(rng.random_range(DURATION_MS));
    Episode {
        faults,
        gap: Duration::ZERO,
        duration: if drains { DRAIN_DURATION } else { duration },
    }
}

fn generate_fault(rng: &mut ChaCha8Rng, size: Size) -> Fault {
    let balancer = rng.random_range(0..size.balancers);
    let target = rng.random_range(0..size.targets);
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
    match rng.random_range(0..14) {
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
        10 => Fault::Store(store.choose(rng).copied().unwrap_or(StoreTrouble::Busy)),
        11 => Fault::StoreLink(balancer, link.choose(rng).copied().unwrap_or(LinkTrouble::Reset)),
        12 => Fault::EvacuateZone,
        _ => Fault::LossyClients,
    }
}

/// Whether two faults must not be in the same episode: they affect the same process or the
/// store, so clearing one would undo the other, or together they could leave a service without
/// a target.
fn conflict(one: Fault, other: Fault) -> bool {
    let disables_targets = |fault: Fault| {
        matches!(
            fault,
            Fault::EvacuateZone
                | Fault::DrainTarget(_)
                | Fault::CrashTarget(_)
                | Fault::RestartTarget(_)
        )
    };
    if disables_targets(one) && disables_targets(other) {
        return true;
    }
    // A killed process cannot receive signals.
    if [one, other].contains(&Fault::KillAll) && (one.is_signal() || other.is_signal()) {
        return true;
    }
    let affected_component = |fault: Fault| match fault {
        Fault::StopBalancer(index)
        | Fault::Reload(index)
        | Fault::KillBalancer(index)
        | Fault::PauseBalancer(index) => (0, index),
        Fault::DrainTarget(index)
        | Fault::KillAgent(index)
        | Fault::PauseAgent(index)
        | Fault::CrashTarget(index)
        | Fault::RestartTarget(index)
        | Fault::SlowTarget(index) => (1, index),
        Fault::Store(_) | Fault::StoreLink(..) => (2, 0),
        Fault::Configure => (3, 0),
        Fault::LossyClients => (4, 0),
        Fault::KillAll => (5, 0),
        Fault::EvacuateZone => (6, 0),
        Fault::ForeignEntries => (7, 0),
        Fault::Crowd => (8, 0),
    };
    affected_component(one) == affected_component(other)
}
