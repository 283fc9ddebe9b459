//! Plays the episodes of a soak.

use std::path::Path;
use std::time::{Duration, Instant};

use weirhinge_platform_standins::{
    Client, Contents, Fleet, FleetPlan, HOME_ZONE, NEAR_ZONE, RouterHash, SETTINGS_TEMPLATE,
    counter, http_get,
};

use crate::callers::Callers;
use crate::faults::{self, SERVICES};
use crate::plan::{Episode, Fault, Size, draw, draw_crowds, draw_series};
use crate::record::{Entry, Outcome, Record};
use crate::verdict::{Drain, Evidence, Span, TargetHistory, Violation, excuse, judge};

/// Balancers of the smallest deployment that soaks.
const BALANCERS: u8 = 3;
/// The service of each of its targets. A larger one is so many times the same.
const TARGETS: [&str; 5] = [SERVICES[0], SERVICES[0], SERVICES[0], SERVICES[1], SERVICES[1]];
/// The zone of each of them: each service has targets in both.
const TARGET_ZONES: [&str; 5] = [HOME_ZONE, HOME_ZONE, NEAR_ZONE, HOME_ZONE, NEAR_ZONE];
/// Largest deployment, in times the smallest: 200 processes.
pub const LARGEST_SCALE: u8 = 25;
/// Time between episodes, in which everything must be served again.
const SETTLE: Duration = Duration::from_secs(7);
/// Bound on a configuration, and what a look at it may be late by.
const CONFIGURATION_BOUND: Duration = Duration::from_millis(3_500);
/// Bound on new flows at a draining target, and what they may be late by.
const DRAIN_BOUND: Duration = Duration::from_millis(3_200);
/// Time after a crowd in which openings may still be refused: an attempt to open a flow
/// takes 1.4 s, and a slow target's last request 0.4 s.
const CROWD_RECOVERY: Duration = Duration::from_secs(2);
/// Places of the machines that crowds come from.
const CROWD_MACHINES: std::ops::Range<u8> = 230..238;
/// Latency objective of the routes in a soak of crowds.
const OBJECTIVE_MS: u64 = 300;
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
    /// How many times the smallest deployment, of three balancers and five targets, is run;
    /// 1 to [`LARGEST_SCALE`].
    pub scale: u8,
    /// How faults come.
    pub faults: Faults,
    /// Whether to print each episode as it begins.
    pub verbose: bool,
}

/// How faults come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Faults {
    /// One or two that begin and end together.
    Together,
    /// In series that overlap, also of the store's and the targets' own lives.
    Series,
    /// In crowds of callers, at targets that may be slow.
    Crowds,
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
    size: Size,
    record: Record,
    /// Machines from which crowds come.
    crowd_machines: Vec<Client>,
    callers: Callers,
    crowd: Option<Callers>,
    excused: Vec<Span>,
    crowded: Vec<Span>,
    drains: Vec<Drain>,
    crashed_at: Vec<Vec<Instant>>,
    /// What a restored store comes back with.
    copy: Contents,
    /// Configuration last seen in each balancer's present life.
    seen: Vec<u64>,
    configurations: Vec<Violation>,
}

/// Soaks the program at this path.
///
/// # Errors
/// When the deployment cannot be started or a fault cannot be brought about.
pub async fn soak(program: &Path, options: Options) -> eyre::Result<Report> {
    let scale = options.scale.clamp(1, LARGEST_SCALE);
    let plan = FleetPlan {
        balancers: BALANCERS * scale,
        targets: TARGETS.repeat(usize::from(scale)),
        target_zones: TARGET_ZONES.repeat(usize::from(scale)),
        hash: if options.seed.is_multiple_of(2) {
            RouterHash::Consistent
        } else {
            RouterHash::Modulo
        },
        processor_shares: Vec::new(),
    };
    let fleet = Fleet::start(program, SETTINGS_TEMPLATE, &plan).await?;
    let size = Size { balancers: fleet.balancers.len(), targets: fleet.targets.len() };
    let mut soak = Soak {
        fleet,
        size,
        record: Record::default(),
        crowd_machines: Vec::new(),
        callers: Callers::default(),
        crowd: None,
        excused: Vec::new(),
        crowded: Vec::new(),
        drains: Vec::new(),
        crashed_at: vec![Vec::new(); size.targets],
        copy: Contents::default(),
        seen: vec![0; size.balancers],
        configurations: Vec::new(),
    };
    if options.faults == Faults::Crowds {
        soak.expect_crowds().await?;
    }
    soak.change_configuration(true).await;
    soak.copy = soak.fleet.store.backup();
    soak.callers.start(&soak.fleet.client, &soak.record);
    let started = Instant::now();
    let draw = match options.faults {
        Faults::Together => draw,
        Faults::Series => draw_series,
        Faults::Crowds => draw_crowds,
    };
    let episodes = draw(options.seed, options.episodes, size);
    for (number, episode) in episodes.iter().enumerate() {
        if options.verbose {
            let seconds = started.elapsed().as_secs_f64();
            let Episode { faults, gap, lasts } = episode;
            println!("{seconds:.1} s: episode {number}: {faults:?}, {gap:?} apart, for {lasts:?}");
        }
        soak.play(episode).await?;
    }
    std::mem::take(&mut soak.callers).stop().await;
    let evidence = soak.evidence();
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
fn drained(fault: Fault, targets: usize) -> impl Iterator<Item = usize> {
    let is_drained = move |place: &usize| match fault {
        Fault::DrainTarget(target) => target == *place,
        Fault::EvacuateZone => TARGET_ZONES[*place % TARGET_ZONES.len()] == NEAR_ZONE,
        _ => false,
    };
    (0..targets).filter(is_drained)
}

impl Soak {
    async fn play(&mut self, episode: &Episode) -> eyre::Result<()> {
        let from = Instant::now();
        let store_serves = !episode.faults.iter().any(|fault| matches!(fault, Fault::Store(_)));
        // A restored store lacks what was written since the episode before this one began.
        let copy = std::mem::replace(&mut self.copy, self.fleet.store.backup());
        for fault in &episode.faults {
            faults::begin(&mut self.fleet, *fault).await?;
            if *fault == Fault::Crowd {
                self.crowd = Some(self.callers.start_crowd(&self.crowd_machines, &self.record));
            }
            self.note_begin(*fault);
            self.look_for(episode.gap).await;
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
                self.drains.extend(
                    drained(*fault, self.size.targets).map(|target| Drain { target, span }),
                );
            }
            faults::mend(&mut self.fleet, *fault, &copy)?;
            if *fault == Fault::Crowd
                && let Some(crowd) = self.crowd.take()
            {
                crowd.stop().await;
            }
            self.look_for(episode.gap).await;
        }
        if episode.may_refuse() {
            self.crowded.push(Span { from, to: Instant::now() + CROWD_RECOVERY });
        }
        if !episode.is_harmless() {
            self.excused.push(excuse(from, Instant::now()));
        }
        self.look_for(SETTLE).await;
        self.check_version();
        Ok(())
    }

    /// Starts the machines that crowds come from, and lets routes state an objective.
    async fn expect_crowds(&mut self) -> eyre::Result<()> {
        for place in CROWD_MACHINES {
            self.crowd_machines.push(self.fleet.add_client(place).await?);
        }
        self.fleet.latency_objective_ms = Some(OBJECTIVE_MS);
        Ok(())
    }

    /// Notes what a fault means for what is expected.
    fn note_begin(&mut self, fault: Fault) {
        match fault {
            Fault::CrashTarget(place) | Fault::RestartTarget(place) => {
                self.crashed_at[place].push(Instant::now());
            }
            Fault::StopBalancer(place) | Fault::KillBalancer(place) => self.seen[place] = 0,
            Fault::KillAll => self.seen.fill(0),
            _ => {}
        }
    }

    /// With all faults mended for long, the newest configuration is in force everywhere.
    fn check_version(&mut self) {
        let version = self.fleet.version();
        let behind = (0..self.size.balancers).filter(|place| self.seen[*place] < version);
        let behind = behind.map(|balancer| Violation::NotInForce { balancer, version });
        self.configurations.extend(behind.collect::<Vec<_>>());
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
        let late = (0..self.size.balancers).filter(|place| self.seen[*place] < version);
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
        for balancer in 0..self.size.balancers {
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

    fn evidence(self) -> Evidence {
        let targets = self.fleet.targets.iter().zip(self.crashed_at);
        let targets = targets.map(|(target, crashed_at)| TargetHistory {
            name: target.name.clone(),
            service: target.service.clone(),
            ran: target.executed_requests(),
            taken_at: target.accepted_at(),
            forged: target.corrupted_packets(),
            crashed_at,
        });
        let machines = self.crowd_machines.iter().chain([&self.fleet.client]);
        let forged = machines.map(Client::corrupted_packets).sum();
        Evidence {
            entries: self.record.entries(),
            targets: targets.collect(),
            excused: self.excused,
            crowded: self.crowded,
            drains: self.drains,
            forged_to_clients: forged,
            configurations: self.configurations,
        }
    }
}
