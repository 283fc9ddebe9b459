//! Simulates admission policies in one process, as reference values for
//! imbalance.
//!
//! The chain of candidates runs the agents' admission code. It is compared with
//! an ideal dispatcher and two common policies. Time is simulated, and all
//! randomness comes from a seed.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};

use rand::{Rng, RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde::Serialize;
use weirhinge_config::TargetId;
use weirhinge_flow::{AdmissionStep, BackEndLoad, Candidates, decide_admission};
use weirhinge_wire::Delivery;

use crate::sampler::percentile;

/// How a target is chosen for a new request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub enum Policy {
    /// The target with the fewest in-flight requests, known exactly; the best
    /// achievable result.
    Ideal,
    /// A chain of agents, decided by the agents' own code.
    Chain {
        /// Number of targets that are compared.
        candidates: u8,
    },
    /// The target with the lowest load by periodic reports.
    ReportedLoad {
        /// Interval between two reports, in milliseconds.
        interval_ms: u64,
    },
    /// The target selected by the flow's hash, regardless of load.
    HashOnly,
}

/// Parameters of a simulation.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Simulation {
    /// Number of targets.
    pub targets: u16,
    /// Slots of each target.
    pub slots: u32,
    /// Mean of the exponential service time, in seconds.
    pub service_seconds: f64,
    /// Offered load as a share of all slots.
    pub load: f64,
    /// Simulated time, in seconds.
    pub seconds: f64,
    /// Latency of one hop between agents, in seconds.
    pub hop_seconds: f64,
    /// Random seed.
    pub seed: u64,
}

/// Results of one policy.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct PolicyResult {
    /// The policy.
    pub policy: Policy,
    /// Median imbalance over windows of one second.
    pub imbalance: f64,
    /// 99th percentile of the imbalance over windows of one second.
    pub imbalance_p99: f64,
    /// Median time from arrival to answer, in milliseconds.
    pub p50_ms: f64,
    /// 99th percentile of the time from arrival to answer, in milliseconds.
    pub p99_ms: f64,
    /// Mean number of hops between agents per opening packet.
    pub hops: f64,
}

#[derive(Clone, Default)]
struct Server {
    /// Indices of the jobs that wait for a slot.
    waiting: VecDeque<usize>,
    busy: u32,
    /// Admitted requests that are not yet answered.
    in_flight: u32,
    busy_seconds: f64,
}

#[derive(Clone, Copy)]
struct Job {
    arrived: f64,
    service: f64,
}

/// Simulated time in seconds, with the total order that the heap needs.
#[derive(Clone, Copy, PartialEq)]
struct SimTime(f64);

impl Eq for SimTime {}

impl PartialOrd for SimTime {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for SimTime {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        self.0.total_cmp(&other.0)
    }
}

#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrival,
    /// A request reaches the chosen server.
    Start {
        server: usize,
        job: usize,
    },
    Finish {
        server: usize,
        job: usize,
    },
    Report,
    Window,
}

struct Simulator {
    simulation: Simulation,
    policy: Policy,
    random: ChaCha8Rng,
    events: BinaryHeap<Reverse<(SimTime, u64, Event)>>,
    sequence: u64,
    now: f64,
    window_began: f64,
    servers: Vec<Server>,
    jobs: Vec<Job>,
    reported: Vec<u32>,
    imbalances: Vec<f64>,
    latencies: Vec<f64>,
    hops: u64,
}

/// Runs a simulation with one policy.
pub fn simulate(simulation: Simulation, policy: Policy) -> PolicyResult {
    let mut simulator = Simulator {
        simulation,
        policy,
        random: ChaCha8Rng::seed_from_u64(simulation.seed),
        events: BinaryHeap::new(),
        sequence: 0,
        now: 0.0,
        window_began: 0.0,
        servers: vec![Server::default(); usize::from(simulation.targets)],
        jobs: Vec::new(),
        reported: vec![0; usize::from(simulation.targets)],
        imbalances: Vec::new(),
        latencies: Vec::new(),
        hops: 0,
    };
    simulator.run();
    simulator.result()
}

impl Simulator {
    fn run(&mut self) {
        self.schedule(0.0, Event::Arrival);
        self.schedule(1.0, Event::Window);
        if let Policy::ReportedLoad { .. } = self.policy {
            self.schedule(0.0, Event::Report);
        }
        while let Some(Reverse((SimTime(at), _, event))) = self.events.pop() {
            if at > self.simulation.seconds {
                return;
            }
            self.advance(at);
            match event {
                Event::Arrival => self.arrive(),
                Event::Start { server, job } => self.start(server, job),
                Event::Finish { server, job } => self.finish(server, job),
                Event::Report => self.report(),
                Event::Window => self.close_window(),
            }
        }
    }

    fn schedule(&mut self, at: f64, event: Event) {
        self.sequence += 1;
        self.events.push(Reverse((SimTime(at), self.sequence, event)));
    }

    fn advance(&mut self, at: f64) {
        let passed = at - self.now;
        for server in &mut self.servers {
            server.busy_seconds += passed * f64::from(server.busy);
        }
        self.now = at;
    }

    fn exponential(&mut self, mean: f64) -> f64 {
        -mean * (1.0 - self.random.random::<f64>()).ln()
    }

    fn arrive(&mut self) {
        let Simulation { targets, slots, service_seconds, load, hop_seconds, .. } = self.simulation;
        let rate = load * f64::from(targets) * f64::from(slots) / service_seconds;
        let gap = self.exponential(1.0 / rate);
        self.schedule(self.now + gap, Event::Arrival);
        let service = self.exponential(service_seconds);
        let flow_hash = self.random.next_u64();
        let (server, hops) = self.choose_server(flow_hash);
        self.hops += hops;
        self.servers[server].in_flight += 1;
        self.jobs.push(Job { arrived: self.now, service });
        let job = self.jobs.len() - 1;
        self.schedule(self.now + hops as f64 * hop_seconds, Event::Start { server, job });
    }

    fn choose_server(&mut self, flow_hash: u64) -> (usize, u64) {
        let owner = (flow_hash % self.servers.len() as u64) as usize;
        match self.policy {
            Policy::HashOnly => (owner, 0),
            Policy::Ideal => {
                let loads: Vec<u32> = self.servers.iter().map(|server| server.in_flight).collect();
                (self.least_loaded(&loads), 0)
            }
            Policy::ReportedLoad { .. } => {
                let loads = self.reported.clone();
                (self.least_loaded(&loads), 0)
            }
            Policy::Chain { candidates } => self.walk_chain(owner, flow_hash, candidates),
        }
    }

    /// Returns the least loaded server; ties are broken at random.
    fn least_loaded(&mut self, loads: &[u32]) -> usize {
        let least = loads.iter().min().copied().unwrap_or(0);
        let ties: Vec<usize> = (0..loads.len()).filter(|&index| loads[index] == least).collect();
        ties[self.random.random_range(0..ties.len())]
    }

    fn walk_chain(&self, owner: usize, flow_hash: u64, limit: u8) -> (usize, u64) {
        let active: Vec<TargetId> = (0..self.simulation.targets).map(TargetId).collect();
        let mut at = active[owner];
        let mut delivery = Delivery::Owner;
        let mut hops = 0;
        loop {
            let server = &self.servers[usize::from(at.0)];
            let load = BackEndLoad {
                in_flight: server.in_flight,
                slots: self.simulation.slots,
                flows: server.in_flight,
                connections: u32::MAX,
                accepts: true,
                speed_permille: 1_000,
            };
            let candidates = Candidates {
                own: at,
                owner: Some(active[owner]),
                active: &active,
                flow_hash,
                limit,
            };
            match decide_admission(delivery, &load, &candidates) {
                AdmissionStep::PassOn { to, delivery: next } => {
                    (at, delivery) = (to, next);
                    hops += 1;
                }
                // With unlimited connections, no request is ever refused.
                AdmissionStep::Admit | AdmissionStep::Refuse(_) => {
                    return (usize::from(at.0), hops);
                }
            }
        }
    }

    fn start(&mut self, server: usize, job: usize) {
        let state = &mut self.servers[server];
        if state.busy >= self.simulation.slots {
            state.waiting.push_back(job);
            return;
        }
        state.busy += 1;
        let finished = self.now + self.jobs[job].service;
        self.schedule(finished, Event::Finish { server, job });
    }

    fn finish(&mut self, server: usize, job: usize) {
        self.latencies.push((self.now - self.jobs[job].arrived) * 1_000.0);
        let state = &mut self.servers[server];
        state.in_flight -= 1;
        state.busy -= 1;
        if let Some(next) = state.waiting.pop_front() {
            self.start(server, next);
        }
    }

    fn report(&mut self) {
        self.reported = self.servers.iter().map(|server| server.in_flight).collect();
        if let Policy::ReportedLoad { interval_ms } = self.policy {
            self.schedule(self.now + interval_ms as f64 / 1_000.0, Event::Report);
        }
    }

    fn close_window(&mut self) {
        let length = self.now - self.window_began;
        let means: Vec<f64> =
            self.servers.iter().map(|server| server.busy_seconds / length).collect();
        let mean = means.iter().sum::<f64>() / means.len() as f64;
        let busiest = means.iter().copied().fold(0.0, f64::max);
        if mean > 0.0 {
            self.imbalances.push(busiest / mean);
        }
        for server in &mut self.servers {
            server.busy_seconds = 0.0;
        }
        self.window_began = self.now;
        self.schedule(self.now + 1.0, Event::Window);
    }

    fn result(mut self) -> PolicyResult {
        self.imbalances.sort_by(f64::total_cmp);
        self.latencies.sort_by(f64::total_cmp);
        let at_rank = |values: &[f64], rank| percentile(values, rank).unwrap_or(f64::NAN);
        PolicyResult {
            policy: self.policy,
            imbalance: at_rank(&self.imbalances, 0.5),
            imbalance_p99: at_rank(&self.imbalances, 0.99),
            p50_ms: at_rank(&self.latencies, 0.5),
            p99_ms: at_rank(&self.latencies, 0.99),
            hops: self.hops as f64 / self.jobs.len().max(1) as f64,
        }
    }
}
