//! Runs the episodes of a soak against a deployment of real processes.

use std::path::Path;
use std::time::{Duration, Instant};

use weirhinge_platform_standins::{
    Client, Contents, Fleet, FleetPlan, HOME_ZONE, NEAR_ZONE, RouterHash, SETTINGS_TEMPLATE,
    counter, http_get,
};

use crate::client_tasks::ClientTasks;
use crate::faults::{self, SERVICES};
use crate::plan::{Episode, Fault, Size, generate_crowds, generate_episodes, generate_series};
use crate::request_log::{Outcome, RequestLog, RequestRecord};
use crate::verdict::{
    Drain, Evidence, Span, TargetHistory, Violation, disrupted_span, find_violations,
};

/// Number of balancers of the smallest deployment.
const BALANCERS: u8 = 3;
/// Service of each target of the smallest deployment. Larger ones repeat the list.
const TARGETS: [&str; 5] = [SERVICES[0], SERVICES[0], SERVICES[0], SERVICES[1], SERVICES[1]];
/// Zone of each of these targets. Each service has targets in both zones.
const TARGET_ZONES: [&str; 5] = [HOME_ZONE, HOME_ZONE, NEAR_ZONE, HOME_ZONE, NEAR_ZONE];
/// Largest deployment, as a multiple of the smallest: 200 processes (balancers and agents).
pub const LARGEST_SCALE: u8 = 25;
/// Time between episodes, in which the deployment must recover.
const SETTLE_TIME: Duration = Duration::from_secs(7);
/// Time within which a new configuration must take effect, with a tolerance for polling.
const CONFIGURATION_BOUND: Duration = Duration::from_millis(3_500);
/// Time after which a draining target must get no new flows, with a tolerance for late ones.
const DRAIN_BOUND: Duration = Duration::from_millis(3_200);
/// Time after a crowd in which new flows may still be refused: an attempt to open a flow takes
/// 1.4 s, and the last request at a slow target 0.4 s.
const CROWD_RECOVERY: Duration = Duration::from_secs(2);
/// Numbers of the client machines on which crowds run.
const CROWD_MACHINES: std::ops::Range<u8> = 230..238;
/// Latency objective of the routes in a soak with crowds, in milliseconds.
const LATENCY_OBJECTIVE_MS: u64 = 300;
/// Interval at which the versions in effect are polled, and the timeout of each request.
const POLL_INTERVAL: Duration = Duration::from_millis(200);
/// Port of the metrics endpoint on every machine.
const METRICS_PORT: u16 = 9_464;
/// Name of the gauge that holds the version of the configuration in effect.
const VERSION_GAUGE: &str = "weirhinge_configuration_version";

/// Options of a soak.
#[derive(Clone, Copy, Debug)]
pub struct Options {
    /// Seed of the faults.
    pub seed: u64,
    /// Number of episodes.
    pub episodes: usize,
    /// Size as a multiple of the smallest deployment, which has three balancers and five
    /// targets; 1 to [`LARGEST_SCALE`].
    pub scale: u8,
    /// How faults are combined.
    pub faults: FaultPattern,
    /// Whether to print each episode when it starts.
    pub verbose: bool,
}

/// How the faults of an episode are combined.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FaultPattern {
    /// One or two faults that begin and end together.
    Together,
    /// Series of overlapping faults, including restores of the store and restarts of targets.
    Series,
    /// Crowds of clients, combined with slow targets and other faults.
    Crowds,
}

/// Result of a soak.
#[derive(Clone, Debug)]
pub struct Report {
    /// Number of finished requests.
    pub requests: usize,
    /// Number of answered requests.
    pub answered: usize,
    /// The episodes that were run.
    pub episodes: Vec<Episode>,
    /// Violations, each with the affected request, if any, and the seconds from the start of
    /// the load to the start of that request.
    pub violations: Vec<(Violation, Option<(RequestRecord, f64)>)>,
}

struct Soak {
    fleet: Fleet,
    size: Size,
    request_log: RequestLog,
    /// Client machines on which crowds run.
    crowd_machines: Vec<Client>,
    client_tasks: ClientTasks,
    crowd: Option<ClientTasks>,
    failures_allowed: Vec<Span>,
    refusals_allowed: Vec<Span>,
    drains: Vec<Drain>,
    crashed_at: Vec<Vec<Instant>>,
    /// Contents with which the store is restored.
    backup: Contents,
    /// Last version seen in the current incarnation of each balancer; 0 if none.
    seen_versions: Vec<u64>,
    configuration_violations: Vec<Violation>,
}

/// Runs a soak of the program at this path.
///
/// # Errors
/// When the deployment cannot be started, or a fault cannot be injected or cleared.
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
        request_log: RequestLog::default(),
        crowd_machines: Vec::new(),
        client_tasks: ClientTasks::default(),
        crowd: None,
        failures_allowed: Vec::new(),
        refusals_allowed: Vec::new(),
        drains: Vec::new(),
        crashed_at: vec![Vec::new(); size.targets],
        backup: Contents::default(),
        seen_versions: vec![0; size.balancers],
        configuration_violations: Vec::new(),
    };
    if options.faults == FaultPattern::Crowds {
        soak.prepare_crowds().await?;
    }
    soak.change_configuration(true).await;
    soak.backup = soak.fleet.store.backup();
    soak.client_tasks.start(&soak.fleet.client, &soak.request_log);
    let started = Instant::now();
    let generate = match options.faults {
        FaultPattern::Together => generate_episodes,
        FaultPattern::Series => generate_series,
        FaultPattern::Crowds => generate_crowds,
    };
    let episodes = generate(options.seed, options.episodes, size);
    for (number, episode) in episodes.iter().enumerate() {
        if options.verbose {
            let seconds = started.elapsed().as_secs_f64();
            let Episode { faults, gap, duration } = episode;
            println!(
                "{seconds:.1} s: episode {number}: {faults:?}, {gap:?} apart, for {duration:?}"
            );
        }
        soak.run_episode(episode).await?;
    }
    std::mem::take(&mut soak.client_tasks).stop().await;
    let evidence = soak.evidence();
    let answered = |entry: &&RequestRecord| matches!(entry.outcome, Outcome::Answered(_));
    Ok(Report {
        requests: evidence.entries.len(),
        answered: evidence.entries.iter().filter(answered).count(),
        episodes,
        violations: find_violations(&evidence)
            .into_iter()
            .map(|violation| {
                let entry = violation.request().and_then(|id| evidence.entry(id)).cloned();
                let seconds = |entry: &RequestRecord| (entry.started_at - started).as_secs_f64();
                let entry = entry.map(|entry| (entry.clone(), seconds(&entry)));
                (violation, entry)
            })
            .collect(),
    })
}

/// Returns the indexes of the targets that a fault drains.
fn drained_targets(fault: Fault, targets: usize) -> impl Iterator<Item = usize> {
    let is_drained = move |index: &usize| match fault {
        Fault::DrainTarget(target) => target == *index,
        Fault::EvacuateZone => TARGET_ZONES[*index % TARGET_ZONES.len()] == NEAR_ZONE,
        _ => false,
    };
    (0..targets).filter(is_drained)
}

impl Soak {
    async fn run_episode(&mut self, episode: &Episode) -> eyre::Result<()> {
        let from = Instant::now();
        let store_serves = !episode.faults.iter().any(|fault| matches!(fault, Fault::Store(_)));
        // The backup lacks what was written since the start of the previous episode.
        let backup = std::mem::replace(&mut self.backup, self.fleet.store.backup());
        for fault in &episode.faults {
            faults::inject(&mut self.fleet, *fault).await?;
            if *fault == Fault::Crowd {
                self.crowd =
                    Some(self.client_tasks.start_crowd(&self.crowd_machines, &self.request_log));
            }
            self.track_fault(*fault);
            self.poll_versions_for(episode.gap).await;
        }
        let changes_configuration = episode.faults.contains(&Fault::Configure);
        let reaches_all = episode.faults.iter().all(|fault| fault.allows_configuration_changes());
        if changes_configuration {
            self.await_configuration(reaches_all).await;
        }
        self.poll_versions_for(episode.duration.saturating_sub(from.elapsed())).await;
        for fault in &episode.faults {
            if store_serves {
                let span = Span { from: from + DRAIN_BOUND, to: Instant::now() };
                self.drains.extend(
                    drained_targets(*fault, self.size.targets).map(|target| Drain { target, span }),
                );
            }
            faults::clear(&mut self.fleet, *fault, &backup)?;
            if *fault == Fault::Crowd
                && let Some(crowd) = self.crowd.take()
            {
                crowd.stop().await;
            }
            self.poll_versions_for(episode.gap).await;
        }
        if episode.may_refuse() {
            self.refusals_allowed.push(Span { from, to: Instant::now() + CROWD_RECOVERY });
        }
        if !episode.is_harmless() {
            self.failures_allowed.push(disrupted_span(from, Instant::now()));
        }
        self.poll_versions_for(SETTLE_TIME).await;
        self.check_version();
        Ok(())
    }

    /// Starts the client machines for crowds and sets a latency objective on the routes.
    async fn prepare_crowds(&mut self) -> eyre::Result<()> {
        for machine in CROWD_MACHINES {
            self.crowd_machines.push(self.fleet.add_client(machine).await?);
        }
        self.fleet.objective_ms = Some(LATENCY_OBJECTIVE_MS);
        Ok(())
    }

    /// Updates the expected state of targets and balancers for a fault that was injected.
    fn track_fault(&mut self, fault: Fault) {
        match fault {
            Fault::CrashTarget(index) | Fault::RestartTarget(index) => {
                self.crashed_at[index].push(Instant::now());
            }
            Fault::StopBalancer(index) | Fault::KillBalancer(index) => {
                self.seen_versions[index] = 0
            }
            Fault::KillAll => self.seen_versions.fill(0),
            _ => {}
        }
    }

    /// Checks that every balancer runs the newest configuration once all faults are cleared and
    /// the deployment has settled.
    fn check_version(&mut self) {
        let version = self.fleet.version();
        let outdated =
            (0..self.size.balancers).filter(|index| self.seen_versions[*index] < version);
        let outdated = outdated.map(|balancer| Violation::NotInForce { balancer, version });
        self.configuration_violations.extend(outdated.collect::<Vec<_>>());
    }

    async fn change_configuration(&mut self, reaches_all: bool) {
        faults::configure(&mut self.fleet);
        self.await_configuration(reaches_all).await;
    }

    /// Waits until the newest configuration is in effect on all balancers, up to the bound.
    /// Reports a violation after the bound if `reaches_all` is set.
    async fn await_configuration(&mut self, reaches_all: bool) {
        let wait_start = Instant::now();
        let version = self.fleet.version();
        while wait_start.elapsed() < CONFIGURATION_BOUND {
            self.poll_versions().await;
            if self.seen_versions.iter().all(|seen| *seen >= version) {
                return;
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        if !reaches_all {
            return;
        }
        let late = (0..self.size.balancers).filter(|index| self.seen_versions[*index] < version);
        let late = late.map(|balancer| Violation::NotInForce { balancer, version });
        self.configuration_violations.extend(late.collect::<Vec<_>>());
    }

    /// Polls the versions in effect for the given time.
    async fn poll_versions_for(&mut self, time: Duration) {
        let end = Instant::now() + time;
        while Instant::now() < end {
            self.poll_versions().await;
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }

    /// Reads the version in effect from the metrics of each balancer that responds.
    async fn poll_versions(&mut self) {
        for balancer in 0..self.size.balancers {
            let address = self.fleet.balancers[balancer].address.into();
            let response =
                tokio::time::timeout(POLL_INTERVAL, http_get(address, METRICS_PORT, "/metrics"))
                    .await;
            let Ok(Ok(page)) = response else { continue };
            let Some(version) = counter(&page, VERSION_GAUGE) else { continue };
            let from = self.seen_versions[balancer];
            if version < from {
                self.configuration_violations.push(Violation::WentBack {
                    balancer,
                    from,
                    to: version,
                });
            }
            self.seen_versions[balancer] = version;
        }
    }

    fn evidence(self) -> Evidence {
        let targets = self.fleet.targets.iter().zip(self.crashed_at);
        let targets = targets.map(|(target, crashed_at)| TargetHistory {
            name: target.name.clone(),
            service: target.service.clone(),
            executed_requests: target.executed_requests(),
            accepted_at: target.accepted_at(),
            corrupted_packets: target.corrupted_packets(),
            crashed_at,
        });
        let machines = self.crowd_machines.iter().chain([&self.fleet.client]);
        let corrupted_packets = machines.map(Client::corrupted_packets).sum();
        Evidence {
            entries: self.request_log.entries(),
            targets: targets.collect(),
            failures_allowed: self.failures_allowed,
            refusals_allowed: self.refusals_allowed,
            drains: self.drains,
            corrupted_to_clients: corrupted_packets,
            configuration_violations: self.configuration_violations,
        }
    }
}
