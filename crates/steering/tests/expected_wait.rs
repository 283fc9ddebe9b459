//! New flows go to the target with the shortest expected time to answer.

mod support;

use std::collections::VecDeque;
use std::net::Ipv4Addr;

use support::agent_fixture::{answer, arrival, output};
use support::{Fixture, LATER, SERVICE, Store, agent, data, flow, opening, target_status};
use weirhinge_fleet::{
    ColdStartPolicy, Millis, ReturnReason, ServiceId, TargetLoad, TargetState, TargetStatus, ZoneId,
};
use weirhinge_steering::{Agent, Decision, DeliveryDecision, Flags, FlowKey, WaitOutcome};

const SLOTS: usize = 2;
const DIGEST_MS: Millis = 500;

/// A target that processes two requests concurrently, with its agent.
struct Target {
    agent: Agent,
    /// Time per request; none while the target is stalled.
    service_ms: Option<Millis>,
    /// Running requests, each with its remaining time.
    running: Vec<(FlowKey, Millis)>,
    queue: VecDeque<FlowKey>,
    /// Times at which flows opened here.
    opened: Vec<Millis>,
}

impl Target {
    fn new(service_ms: Millis) -> Self {
        let mut agent = Agent::new(ServiceId::of(SERVICE));
        agent.set_slots(SLOTS as u32);
        let (running, queue, opened) = Default::default();
        Self { agent, service_ms: Some(service_ms), running, queue, opened }
    }

    fn process_requests(&mut self, now: Millis) -> usize {
        let Some(service_ms) = self.service_ms else { return 0 };
        self.running.iter_mut().for_each(|(_, remaining)| *remaining = remaining.saturating_sub(1));
        let done: Vec<FlowKey> = self
            .running
            .extract_if(.., |(_, remaining)| *remaining == 0)
            .map(|(flow, _)| flow)
            .collect();
        for flow in &done {
            self.agent.output(&answer(*flow), now);
        }
        while self.running.len() < SLOTS
            && let Some(flow) = self.queue.pop_front()
        {
            self.running.push((flow, service_ms));
        }
        done.len()
    }

    fn opened_within(&self, from: Millis, to: Millis) -> usize {
        self.opened.iter().filter(|at| (from..to).contains(*at)).count()
    }
}

/// A balancer in front of some targets, with one new flow of one request every
/// `opening_interval_ms`.
struct Service {
    fixture: Fixture,
    targets: Vec<Target>,
    reports_times: bool,
    opening_interval_ms: Millis,
    now: Millis,
    opened: u16,
    answered: usize,
    /// Total time that requests spent at the targets.
    total_time_ms: u64,
}

impl Service {
    fn new(service_times: &[Millis], opening_interval_ms: Millis) -> Self {
        let store = Store::with_targets(service_times.len() as u8);
        Self {
            fixture: Fixture::new(&store),
            targets: service_times.iter().map(|time| Target::new(*time)).collect(),
            reports_times: true,
            opening_interval_ms,
            now: LATER,
            opened: 0,
            answered: 0,
            total_time_ms: 0,
        }
    }

    fn run_for(&mut self, span: Millis) -> Millis {
        for _ in 0..span {
            self.now += 1;
            for number in 0..self.targets.len() {
                self.step(number);
            }
            if self.now.is_multiple_of(self.opening_interval_ms) {
                self.opened += 1;
                let decision = self.fixture.client(&opening(flow(self.opened)), self.now);
                self.send(decision);
            }
        }
        self.now
    }

    fn load(&self, number: usize) -> TargetLoad {
        let load = self.targets[number].agent.load(self.now);
        if self.reports_times { load } else { load.waiting.into() }
    }

    fn step(&mut self, number: usize) {
        let (now, target) = (self.now, &mut self.targets[number]);
        self.answered += target.process_requests(now);
        self.total_time_ms += u64::from(target.agent.waiting());
        target.agent.expire(now);
        while let Some(outcome) = self.targets[number].agent.next_outcome(now) {
            match outcome {
                WaitOutcome::Deliver(opening, _) => self.open(number, opening.header.client_flow()),
                WaitOutcome::Return(..) => {}
            }
        }
        if (now + number as u64 * 70).is_multiple_of(DIGEST_MS) {
            let target_status = TargetStatus { load: self.load(number), ..target_status(SERVICE) };
            let address = agent(number as u8 + 1);
            self.fixture.balancer.note_target_status(address, ZoneId::of("a"), &target_status, now);
        }
    }

    fn send(&mut self, decision: Decision) {
        let Decision::Forward(forward) = decision else { return };
        let header = opening(flow(self.opened));
        let number = usize::from(forward.agent.octets()[3]) - 1;
        let mut arrival = arrival(&header);
        arrival.may_wait = forward.may_wait();
        match self.targets[number].agent.delivery(&arrival, self.now) {
            DeliveryDecision::Deliver { .. } => self.open(number, flow(self.opened)),
            DeliveryDecision::Return(reason) => {
                self.fixture.balancer.note_answer(forward.agent, self.load(number), self.now);
                let again = self.fixture.returned(&header, forward.agent, reason, self.now);
                self.send(again);
            }
            _ => self.fixture.balancer.note_answer(forward.agent, self.load(number), self.now),
        }
    }

    /// The target answers the opening, and the first request arrives.
    fn open(&mut self, number: usize, key: FlowKey) {
        let target = &mut self.targets[number];
        target.opened.push(self.now);
        let accept = Flags { syn: true, ack: true, ..Flags::default() };
        target.agent.output(&output(key, accept, 0), self.now);
        let load = self.load(number);
        self.fixture.balancer.note_holder(key, agent(number as u8 + 1), false, load, self.now);
        let header = data(key);
        let target = &mut self.targets[number];
        target.agent.delivery(&arrival(&header), self.now);
        target.queue.push_back(key);
    }

    fn opened_within(&self, numbers: std::ops::Range<usize>, from: Millis, to: Millis) -> f64 {
        let targets = &self.targets[numbers];
        let opened: usize = targets.iter().map(|target| target.opened_within(from, to)).sum();
        opened as f64 / targets.len() as f64
    }

    fn mean_ms(&self) -> f64 {
        self.total_time_ms as f64 / self.answered as f64
    }
}

/// Two of six targets are 2.4 times as fast as the others, and the load is half of the total
/// capacity.
#[test]
fn targets_get_shares_by_speed() {
    let times = [36, 36, 36, 36, 15, 15];
    let mut service = Service::new(&times, 4);
    let from = service.run_for(1_000);
    let to = service.run_for(10_000);
    let (slow, fast) =
        (service.opened_within(0..4, from, to), service.opened_within(4..6, from, to));
    assert!(fast >= 1.5 * slow, "opened at a fast one {fast}, at a slow one {slow}");
    let mut by_load = Service::new(&times, 4);
    by_load.reports_times = false;
    by_load.run_for(11_000);
    let (by_time_ms, by_load_ms) = (service.mean_ms(), by_load.mean_ms());
    assert!(by_time_ms < by_load_ms, "mean time {by_time_ms}, by load {by_load_ms}");
}

/// One of six targets takes four times as long from 2 s to 6 s. Returns the service after that
/// time, with the start and end of the slow period.
fn with_slow_target(reports_times: bool) -> (Service, Millis, Millis) {
    let mut service = Service::new(&[25; 6], 4);
    service.reports_times = reports_times;
    let slowed_at = service.run_for(2_000);
    service.targets[0].service_ms = Some(100);
    let recovered_at = service.run_for(4_000);
    (service, slowed_at, recovered_at)
}

#[test]
fn slow_target_gets_few_flows_until_it_recovers() {
    let (mut service, slowed_at, recovered_at) = with_slow_target(true);
    let by_load = with_slow_target(false).0.mean_ms();
    assert!(service.mean_ms() < by_load, "mean time {}, by load {by_load}", service.mean_ms());
    let from = slowed_at + 500;
    let slow = service.opened_within(0..1, from, recovered_at);
    let others = service.opened_within(1..6, from, recovered_at);
    // It has a quarter of the others' throughput.
    assert!(slow <= 0.25 * others, "opened while slow {slow}, at others {others}");
    service.targets[0].service_ms = Some(25);
    let end = service.run_for(6_000);
    let from = recovered_at + 3_500;
    let opened_after_recovery = service.opened_within(0..1, from, end);
    let others = service.opened_within(1..6, from, end);
    assert!(
        opened_after_recovery > 0.6 * others,
        "opened after recovery {opened_after_recovery}, at others {others}"
    );
}

#[test]
fn stalled_target_gets_few_flows_until_it_recovers() {
    let mut service = Service::new(&[25; 6], 4);
    let stalled_at = service.run_for(2_000);
    service.targets[0].service_ms = None;
    let recovered_at = service.run_for(4_000);
    service.targets[0].service_ms = Some(25);
    let end = service.run_for(8_000);
    // Its admission limit once at first, once more when the stalled requests time out, and the same
    // again as a margin.
    let opened_while_stalled = service.opened_within(0..1, stalled_at, recovered_at);
    assert!(opened_while_stalled <= 12.0, "opened while stalled: {opened_while_stalled}");
    let (from, to) = (recovered_at + 4_000, end);
    let (opened_after_recovery, others) =
        (service.opened_within(0..1, from, to), service.opened_within(1..6, from, to));
    assert!(
        opened_after_recovery > 0.6 * others,
        "opened after recovery {opened_after_recovery}, at others {others}"
    );
}

fn reported(waiting: u32, service_ms: u32, wait_ms: u32) -> TargetLoad {
    let expected_ms = Some(service_ms + wait_ms);
    TargetLoad { waiting, expected_ms, service_ms: Some(service_ms) }
}

/// Returns how many of 400 flows each agent gets if it sends the same report before each of them.
/// Reports arrive `age` ms before each choice.
fn shares(fixture: &mut Fixture, reports: &[(u8, TargetLoad)], age: Millis) -> Vec<usize> {
    let mut chosen: Vec<Ipv4Addr> = Vec::new();
    for port in 0..400 {
        let now = LATER + Millis::from(port) * 10_000;
        for (number, load) in reports {
            let target_status = TargetStatus { load: *load, ..target_status(SERVICE) };
            fixture.balancer.note_target_status(
                agent(*number),
                ZoneId::of("a"),
                &target_status,
                now - age,
            );
            fixture.balancer.note_answer(agent(*number), *load, now - age);
        }
        let decision = fixture.client(&opening(flow(port)), now);
        chosen.push(support::forwarded(&decision).agent);
    }
    let count = |number: u8| chosen.iter().filter(|chosen| **chosen == agent(number)).count();
    reports.iter().map(|(number, _)| count(*number)).collect()
}

#[test]
fn target_without_report_gets_average_share() {
    let mut fixture = Fixture::new(&Store::with_targets(4));
    let reports =
        [(1, reported(0, 30, 0)), (2, reported(0, 30, 0)), (3, reported(0, 30, 0)), (4, 0.into())];
    let shares = shares(&mut fixture, &reports, 10);
    assert!((70..=130).contains(&shares[3]), "{shares:?}");
}

#[test]
fn reported_wait_loses_weight_with_age() {
    let reports = [(1, reported(0, 30, 200)), (2, reported(0, 30, 0)), (3, reported(0, 30, 0))];
    let fixture = || Fixture::new(&Store::with_targets(3));
    let fresh = shares(&mut fixture(), &reports, 10);
    assert_eq!(fresh[0], 0, "{fresh:?}");
    let old = shares(&mut fixture(), &reports, 1_000);
    assert!((100..=170).contains(&old[0]), "{old:?}");
}

#[test]
fn reported_service_time_is_valid_longer_than_wait() {
    let reports = [(1, reported(0, 90, 0)), (2, reported(0, 30, 0)), (3, reported(0, 30, 0))];
    let fixture = || Fixture::new(&Store::with_targets(3));
    let known = shares(&mut fixture(), &reports, 5_000);
    assert_eq!(known[0], 0, "{known:?}");
    let aged = shares(&mut fixture(), &reports, 10_000);
    assert!((100..=170).contains(&aged[0]), "{aged:?}");
}

#[test]
fn cold_target_without_report_is_assumed_slow() {
    let mut store = Store::default();
    let policy = ColdStartPolicy {
        service: SERVICE.to_owned(),
        cold_ms: 1_000_000_000,
        flows_per_second: 0,
    };
    store.cold_starts = vec![policy];
    store.route(&[(SERVICE, 1)]);
    for number in [1, 2, 51] {
        store.target(number, SERVICE, Some(TargetState::Ready), 0);
    }
    store.evacuate(&["b"], 0);
    store.evacuate(&[], 1);
    let mut fixture = Fixture::new(&store);
    fixture.view = store.view_in_zone("c");
    let reports = [(1, reported(0, 30, 0)), (2, reported(0, 30, 0)), (51, 0.into())];
    let cold = shares(&mut fixture, &reports, 10);
    assert_eq!(cold[2], 0, "{cold:?}");
    // Once its agent has measured a service time, that time is used.
    let reports = [(1, reported(0, 30, 0)), (2, reported(0, 30, 0)), (51, reported(0, 30, 0))];
    let measured = shares(&mut fixture, &reports, 10);
    assert!(measured[2] >= 100, "{measured:?}");
}

#[test]
fn small_differences_do_not_change_the_choice() {
    let equal = [(1, reported(0, 30, 0)), (2, reported(0, 30, 0)), (3, reported(0, 30, 0))];
    let rough = [(1, reported(0, 28, 0)), (2, reported(0, 30, 1)), (3, reported(0, 32, 0))];
    let fixture = || Fixture::new(&Store::with_targets(3));
    assert_eq!(shares(&mut fixture(), &equal, 10), shares(&mut fixture(), &rough, 10));
}

/// With equal service times the choice equals the one by load, also between zones.
#[test]
fn equal_service_times_give_the_choice_by_load() {
    let store = support::targets_in_two_zones();
    for loads in 0..64u32 {
        let load_of = |place: u32| loads >> (2 * (place % 3)) & 3;
        let chosen = |service_ms: Option<u32>| {
            let mut fixture = Fixture::new(&store);
            fixture.view = store.view_in_zone("a");
            for (place, number) in [1, 2, 3, 51, 52, 53].into_iter().enumerate() {
                let waiting = load_of(place as u32);
                let load = TargetLoad { waiting, expected_ms: service_ms, service_ms };
                fixture.balancer.note_answer(agent(number), load, LATER);
            }
            let openings = (0..20).map(|port| fixture.client(&opening(flow(port)), LATER));
            openings.map(|opening| support::forwarded(&opening).agent).collect::<Vec<_>>()
        };
        assert_eq!(chosen(Some(40)), chosen(None), "loads {loads:b}");
    }
}

#[test]
fn decision_reports_expected_time() {
    let mut fixture = Fixture::new(&Store::with_targets(1));
    fixture.balancer.note_answer(agent(1), reported(2, 40, 25), LATER);
    for (port, expected) in [(1, 65), (2, 75)] {
        let decision = fixture.client(&opening(flow(port)), LATER);
        let inputs = support::forwarded(&decision).inputs.clone().expect("chosen by load");
        assert_eq!(inputs.expected_ms, Some(expected));
    }
    let mut fixture = Fixture::new(&Store::with_targets(1));
    let back = fixture.client(&opening(flow(1)), LATER);
    assert_eq!(
        support::forwarded(&back).inputs.clone().and_then(|inputs| inputs.expected_ms),
        None
    );
    let again = fixture.returned(&opening(flow(1)), agent(1), ReturnReason::Busy, LATER);
    assert!(support::forwarded(&again).may_wait());
}
