//! Plays the episodes of a soak.

use std::path::Path;
use std::time::{Duration, Instant};

use weirhinge_platform_standins::{
    Fleet, FleetPlan, HOME_ZONE, NEAR_ZONE, RouterHash, SETTINGS_TEMPLATE, counter, http_get,
};

use crate::callers::Callers;
use crate::faults::{self, SERVICES};
use crate::plan::{Episode, Fault, Size, draw};
use crate::record::{Entry, Outcome, Record};
use crate::verdict::{Drain, Evidence, Span, TargetHistory, Violation, excuse, judge};

/// Balancers of the deployment that soaks.
const BALANCERS: u8 = 3;
/// The service of each of its targets.
const TARGETS: [&str; 5] = [SERVICES[0], SERVICES[0], SERVICES[0], SERVICES[1], SERVICES[1]];
/// The zone of each of them: each service has targets in both.
const TARGET_ZONES: [&str; 5] = [HOME_ZONE, HOME_ZONE, NEAR_ZONE, HOME_ZONE, NEAR_ZONE];
/// Balancers and targets of the deployment that soaks.
pub const SIZE: Size = Size { balancers: BALANCERS as usize, targets: TARGETS.len() };
/// Time between episodes, in which everything must be served again.
const SETTLE: Duration = Duration::from_secs(7);
/// Bound on a configuration, and what a look at it may be late by.
const CONFIGURATION_BOUND: Duration = Duration::from_millis(3_500);
/// Bound on new flows at a draining target, and what they may be late by.
const DRAIN_BOUND: Duration = Duration::from_millis(3_200);
/// How often the configurations in force are looked at.
const LOOK: Duration = Duration::from_millis(200);
/// Port of metrics, alike on all machines.
const METRICS: u16 = 9_464;
/// Name of the gauge with the version in force.
const VERSION: &str = "weirhinge_configuration_version";

/// How to soak.
#[derive(Clone, Copy, Debug)]
pub struct Options {
    /// Seed of the faults.
    pub seed: u64,
    /// Episodes to play.
    pub episodes: usize,
    /// Whether to print each episode as it begins.
    pub verbose: bool,
}

/// What came out.
#[derive(Clone, Debug)]
pub struct Report {
    /// Requests that ended.
    pub requests: usize,
    /// Requests that were answered.
    pub answered: usize,
    /// The episodes that were played.
    pub episodes: Vec<Episode>,
    /// Broken promises, each with the request that it is about and the seconds from
    /// the start to its begin.
    pub violations: Vec<(Violation, Option<(Entry, f64)>)>,
}

struct Soak {
    fleet: Fleet,
    excused: Vec<Span>,
    drains: Vec<Drain>,
    crashed_at: Vec<Vec<Instant>>,
    /// Configuration last seen in each balancer's present life.
    seen: Vec<u64>,
    configurations: Vec<Violation>,
}

/// Soaks the program at this path.
///
/// # Errors
/// When the deployment cannot be started or a fault cannot be brought about.
pub async fn soak(program: &Path, options: Options) -> eyre::Result<Report> {
    let plan = FleetPlan {
        balancers: BALANCERS,
        targets: TARGETS.to_vec(),
        target_zones: TARGET_ZONES.to_vec(),
        hash: if options.seed.is_multiple_of(2) { RouterHash::Steady } else { RouterHash::Mod },
        processor_shares: Vec::new(),
    };
    let fleet = Fleet::start(program, SETTINGS_TEMPLATE, &plan).await?;
    let mut soak = Soak {
        fleet,
        excused: Vec::new(),
        drains: Vec::new(),
        crashed_at: vec![Vec::new(); SIZE.targets],
        seen: vec![0; SIZE.balancers],
        configurations: Vec::new(),
    };
    soak.change_configuration(true).await;
    let record = Record::default();
    let callers = Callers::start(&soak.fleet.client, &record);
    let started = Instant::now();
    let episodes = draw(options.seed, options.episodes, SIZE);
    for (number, episode) in episodes.iter().enumerate() {
        if options.verbose {
            let seconds = started.elapsed().as_secs_f64();
            let Episode { faults, lasts } = episode;
            println!("{seconds:.1} s: episode {number}: {faults:?} for {lasts:?}");
        }
        soak.play(episode).await?;
    }
    callers.stop().await;
    let evidence = soak.evidence(&record);
    let answered = |entry: &&Entry| matches!(entry.outcome, Outcome::Answered(_));
    Ok(Report {
        requests: evidence.entries.len(),
        answered: evidence.entries.iter().filter(answered).count(),
        episodes,
        violations: judge(&evidence)
            .into_iter()
            .map(|violation| {
                let entry = violation.request().and_then(|id| evidence.entry(id)).cloned();
                let seconds = |entry: &Entry| (entry.began_at - started).as_secs_f64();
                let entry = entry.map(|entry| (entry.clone(), seconds(&entry)));
                (violation, entry)
            })
            .collect(),
    })
}

/// The targets that must get no new flow while a fault lasts.
fn drained(fault: Fault) -> impl Iterator<Item = usize> {
    let is_drained = move |place: &usize| match fault {
        Fault::DrainTarget(target) => target == *place,
        Fault::EvacuateZone => TARGET_ZONES[*place] == NEAR_ZONE,
        _ => false,
    };
    (0..SIZE.targets).filter(is_drained)
}

impl Soak {
    async fn play(&mut self, episode: &Episode) -> eyre::Result<()> {
        let from = Instant::now();
        let store_serves = !episode.faults.iter().any(|fault| matches!(fault, Fault::Store(_)));
        for fault in &episode.faults {
            faults::begin(&mut self.fleet, *fault).await?;
            self.note_begin(*fault);
        }
        let changes = episode.faults.contains(&Fault::Configure);
        let reaches_all = episode.faults.iter().all(|fault| fault.lets_changes_through());
        if changes {
            self.watch_configuration(reaches_all).await;
        }
        self.look_for(episode.lasts.saturating_sub(from.elapsed())).await;
        for fault in &episode.faults {
            if store_serves {
                let span = Span { from: from + DRAIN_BOUND, to: Instant::now() };
                self.drains.extend(drained(*fault).map(|target| Drain { target, span }));
            }
            faults::mend(&mut self.fleet, *fault)?;
        }
        if !episode.is_harmless() {
            self.excused.push(excuse(from, Instant::now()));
        }
        self.look_for(SETTLE).await;
        Ok(())
    }

    /// Notes what a fault means for what is expected.
    fn note_begin(&mut self, fault: Fault) {
        match fault {
            Fault::CrashTarget(place) => self.crashed_at[place].push(Instant::now()),
            Fault::StopBalancer(place) | Fault::KillBalancer(place) => self.seen[place] = 0,
            Fault::KillAll => self.seen.fill(0),
            _ => {}
        }
    }

    async fn change_configuration(&mut self, reaches_all: bool) {
        faults::configure(&mut self.fleet);
        self.watch_configuration(reaches_all).await;
    }

    /// Waits until the newest configuration is in force everywhere.
    async fn watch_configuration(&mut self, reaches_all: bool) {
        let began = Instant::now();
        let version = self.fleet.version();
        while began.elapsed() < CONFIGURATION_BOUND {
            self.look().await;
            if self.seen.iter().all(|seen| *seen >= version) {
                return;
            }
            tokio::time::sleep(LOOK).await;
        }
        if !reaches_all {
            return;
        }
        let late = (0..SIZE.balancers).filter(|place| self.seen[*place] < version);
        let late = late.map(|balancer| Violation::NotInForce { balancer, version });
        self.configurations.extend(late.collect::<Vec<_>>());
    }

    /// Lets time pass and looks at the configurations meanwhile.
    async fn look_for(&mut self, time: Duration) {
        let end = Instant::now() + time;
        while Instant::now() < end {
            self.look().await;
            tokio::time::sleep(LOOK).await;
        }
    }

    /// Asks each balancer that answers for its configuration.
    async fn look(&mut self) {
        for balancer in 0..SIZE.balancers {
            let address = self.fleet.balancers[balancer].address.into();
            let asked = tokio::time::timeout(LOOK, http_get(address, METRICS, "/metrics")).await;
            let Ok(Ok(page)) = asked else { continue };
            let Some(version) = counter(&page, VERSION) else { continue };
            let from = self.seen[balancer];
            if version < from {
                self.configurations.push(Violation::WentBack { balancer, from, to: version });
            }
            self.seen[balancer] = version;
        }
    }

    fn evidence(self, record: &Record) -> Evidence {
        let targets = self.fleet.targets.iter().zip(self.crashed_at);
        let targets = targets.map(|(target, crashed_at)| TargetHistory {
            name: target.name.clone(),
            service: target.service.clone(),
            ran: target.ran(),
            taken_at: target.taken_at(),
            forged: target.forged(),
            crashed_at,
        });
        Evidence {
            entries: record.entries(),
            targets: targets.collect(),
            excused: self.excused,
            drains: self.drains,
            forged_to_clients: self.fleet.client.forged(),
            configurations: self.configurations,
        }
    }
}
