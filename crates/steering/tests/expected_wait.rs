//! Flows go where they are expected to be answered soonest.

mod support;

use std::collections::VecDeque;
use std::net::Ipv4Addr;

use support::beside::{answer, arrival, output};
use support::{Fixture, LATER, SERVICE, Store, agent, claim, data, flow, opening};
use weirhinge_fleet::{
    ColdStartPolicy, Millis, ReturnReason, ServiceId, TargetClaim, TargetLoad, TargetState, ZoneId,
};
use weirhinge_steering::{Agent, Decision, DeliveryDecision, Flags, FlowKey, WaitOutcome};

const SLOTS: usize = 2;
const DIGEST_MS: Millis = 500;

/// A target that works on two requests at once, with its agent.
struct Target {
    beside: Agent,
    /// None while it hangs.
    service_ms: Option<Millis>,
    /// Requests at work, each with the time that is left for it.
    running: Vec<(FlowKey, Millis)>,
    queue: VecDeque<FlowKey>,
    /// When flows opened here.
    opened: Vec<Millis>,
}

impl Target {
    fn new(service_ms: Millis) -> Self {
        let mut beside = Agent::new(ServiceId::of(SERVICE));
        beside.set_slots(SLOTS as u32);
        let (running, queue, opened) = Default::default();
        Self { beside, service_ms: Some(service_ms), running, queue, opened }
    }

    fn work(&mut self, now: Millis) -> usize {
        let Some(service_ms) = self.service_ms else { return 0 };
        self.running.iter_mut().for_each(|(_, left)| *left = left.saturating_sub(1));
        let done: Vec<FlowKey> =
            self.running.extract_if(.., |(_, left)| *left == 0).map(|(flow, _)| flow).collect();
        for flow in &done {
            self.beside.output(&answer(*flow), now);
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

/// A balancer before some targets, with one new flow of one request every `gap_ms`.
struct Service {
    fixture: Fixture,
    targets: Vec<Target>,
    tells_times: bool,
    gap_ms: Millis,
    now: Millis,
    opened: u16,
    answered: usize,
    /// Time that all requests together were at the targets.
    spent_ms: u64,
}

impl Service {
    fn new(service_times: &[Millis], gap_ms: Millis) -> Self {
        let store = Store::with_targets(service_times.len() as u8);
        Self {
            fixture: Fixture::new(&store),
            targets: service_times.iter().map(|time| Target::new(*time)).collect(),
            tells_times: true,
            gap_ms,
            now: LATER,
            opened: 0,
            answered: 0,
            spent_ms: 0,
        }
    }

    fn run_for(&mut self, span: Millis) -> Millis {
        for _ in 0..span {
            self.now += 1;
            for number in 0..self.targets.len() {
                self.turn(number);
            }
            if self.now.is_multiple_of(self.gap_ms) {
                self.opened += 1;
                let decision = self.fixture.client(&opening(flow(self.opened)), self.now);
                self.send(decision);
            }
        }
        self.now
    }

    fn load(&self, number: usize) -> TargetLoad {
        let load = self.targets[number].beside.load(self.now);
        if self.tells_times { load } else { load.waiting.into() }
    }

    fn turn(&mut self, number: usize) {
        let (now, target) = (self.now, &mut self.targets[number]);
        self.answered += target.work(now);
        self.spent_ms += u64::from(target.beside.waiting());
        target.beside.expire(now);
        while let Some(outcome) = self.targets[number].beside.next_outcome(now) {
            match outcome {
                WaitOutcome::Deliver(opening, _) => self.open(number, opening.header.client_flow()),
                WaitOutcome::Return(..) => {}
            }
        }
        if (now + number as u64 * 70).is_multiple_of(DIGEST_MS) {
            let claim = TargetClaim { load: self.load(number), ..claim(SERVICE) };
            let address = agent(number as u8 + 1);
            self.fixture.balancer.note_target_status(address, ZoneId::of("a"), &claim, now);
        }
    }

    fn send(&mut self, decision: Decision) {
        let Decision::Forward(forward) = decision else { return };
        let header = opening(flow(self.opened));
        let number = usize::from(forward.agent.octets()[3]) - 1;
        let mut arrival = arrival(&header);
        arrival.may_wait = forward.may_wait();
        match self.targets[number].beside.delivery(&arrival, self.now) {
            DeliveryDecision::Deliver { .. } => self.open(number, flow(self.opened)),
            DeliveryDecision::Return(reason) => {
                self.fixture.balancer.note_answer(forward.agent, self.load(number), self.now);
                let again = self.fixture.returned(&header, forward.agent, reason, self.now);
                self.send(again);
            }
            _ => self.fixture.balancer.note_answer(forward.agent, self.load(number), self.now),
        }
    }

    /// The target answers the opening, and the request comes.
    fn open(&mut self, number: usize, key: FlowKey) {
        let target = &mut self.targets[number];
        target.opened.push(self.now);
        let accept = Flags { syn: true, ack: true, ..Flags::default() };
        target.beside.output(&output(key, accept, 0), self.now);
        let load = self.load(number);
        self.fixture.balancer.holds(key, agent(number as u8 + 1), false, load, self.now);
        let header = data(key);
        let target = &mut self.targets[number];
        target.beside.delivery(&arrival(&header), self.now);
        target.queue.push_back(key);
    }

    fn opened_within(&self, numbers: std::ops::Range<usize>, from: Millis, to: Millis) -> f64 {
        let targets = &self.targets[numbers];
        let opened: usize = targets.iter().map(|target| target.opened_within(from, to)).sum();
        opened as f64 / targets.len() as f64
    }

    fn mean_ms(&self) -> f64 {
        self.spent_ms as f64 / self.answered as f64
    }
}

/// Two of six targets are 2.4 times as fast as the others; half of what all can do is asked.
#[test]
fn targets_get_shares_by_what_they_can_do() {
    let times = [36, 36, 36, 36, 15, 15];
    let mut service = Service::new(&times, 4);
    let from = service.run_for(1_000);
    let to = service.run_for(10_000);
    let (slow, fast) =
        (service.opened_within(0..4, from, to), service.opened_within(4..6, from, to));
    assert!(fast >= 1.5 * slow, "opened at a fast one {fast}, at a slow one {slow}");
    let mut by_load = Service::new(&times, 4);
    by_load.tells_times = false;
    by_load.run_for(11_000);
    let (told, untold) = (service.mean_ms(), by_load.mean_ms());
    assert!(told < untold, "mean time {told}, by load {untold}");
}

/// One of six targets takes four times as long from 2 s to 6 s. Returns the service at the end
/// of that, and its beginning and end.
fn with_slow_target(tells_times: bool) -> (Service, Millis, Millis) {
    let mut service = Service::new(&[25; 6], 4);
    service.tells_times = tells_times;
    let slowed_at = service.run_for(2_000);
    service.targets[0].service_ms = Some(100);
    let recovered_at = service.run_for(4_000);
    (service, slowed_at, recovered_at)
}

#[test]
fn a_target_that_slows_down_gets_little_and_is_found_again() {
    let (mut service, slowed_at, recovered_at) = with_slow_target(true);
    let by_load = with_slow_target(false).0.mean_ms();
    assert!(service.mean_ms() < by_load, "mean time {}, by load {by_load}", service.mean_ms());
    let from = slowed_at + 500;
    let slow = service.opened_within(0..1, from, recovered_at);
    let others = service.opened_within(1..6, from, recovered_at);
    // It can do a quarter of what the others can.
    assert!(slow <= 0.25 * others, "opened while slow {slow}, at others {others}");
    service.targets[0].service_ms = Some(25);
    let end = service.run_for(6_000);
    let from = recovered_at + 3_500;
    let found = service.opened_within(0..1, from, end);
    let others = service.opened_within(1..6, from, end);
    assert!(found > 0.6 * others, "opened when recovered {found}, at others {others}");
}

#[test]
fn a_hanging_target_gets_few_flows_and_is_found_again() {
    let mut service = Service::new(&[25; 6], 4);
    let hung_at = service.run_for(2_000);
    service.targets[0].service_ms = None;
    let recovered_at = service.run_for(4_000);
    service.targets[0].service_ms = Some(25);
    let end = service.run_for(8_000);
    // Its room, now and once more when what hangs there is given up, and as much to be safe.
    let hung = service.opened_within(0..1, hung_at, recovered_at);
    assert!(hung <= 12.0, "opened while it hung: {hung}");
    let (from, to) = (recovered_at + 4_000, end);
    let (found, others) =
        (service.opened_within(0..1, from, to), service.opened_within(1..6, from, to));
    assert!(found > 0.6 * others, "opened when recovered {found}, at others {others}");
}

fn told(waiting: u32, service_ms: u32, wait_ms: u32) -> TargetLoad {
    let expected_ms = Some(service_ms + wait_ms);
    TargetLoad { waiting, expected_ms, service_ms: Some(service_ms) }
}

/// How many of 400 flows each agent gets if it tells the same before each of them. Words
/// come `age` before each choice.
fn shares(fixture: &mut Fixture, words: &[(u8, TargetLoad)], age: Millis) -> Vec<usize> {
    let mut chosen: Vec<Ipv4Addr> = Vec::new();
    for port in 0..400 {
        let now = LATER + Millis::from(port) * 10_000;
        for (number, load) in words {
            let claim = TargetClaim { load: *load, ..claim(SERVICE) };
            fixture.balancer.note_target_status(agent(*number), ZoneId::of("a"), &claim, now - age);
            fixture.balancer.note_answer(agent(*number), *load, now - age);
        }
        let decision = fixture.client(&opening(flow(port)), now);
        chosen.push(support::forwarded(&decision).agent);
    }
    let count = |number: u8| chosen.iter().filter(|chosen| **chosen == agent(number)).count();
    words.iter().map(|(number, _)| count(*number)).collect()
}

#[test]
fn a_target_without_a_word_is_like_the_others() {
    let mut fixture = Fixture::new(&Store::with_targets(4));
    let words = [(1, told(0, 30, 0)), (2, told(0, 30, 0)), (3, told(0, 30, 0)), (4, 0.into())];
    let shares = shares(&mut fixture, &words, 10);
    assert!((70..=130).contains(&shares[3]), "{shares:?}");
}

#[test]
fn a_word_about_a_wait_is_worth_less_as_it_ages() {
    let words = [(1, told(0, 30, 200)), (2, told(0, 30, 0)), (3, told(0, 30, 0))];
    let fixture = || Fixture::new(&Store::with_targets(3));
    let fresh = shares(&mut fixture(), &words, 10);
    assert_eq!(fresh[0], 0, "{fresh:?}");
    let old = shares(&mut fixture(), &words, 1_000);
    assert!((100..=170).contains(&old[0]), "{old:?}");
}

#[test]
fn a_service_time_counts_for_longer() {
    let words = [(1, told(0, 90, 0)), (2, told(0, 30, 0)), (3, told(0, 30, 0))];
    let fixture = || Fixture::new(&Store::with_targets(3));
    let known = shares(&mut fixture(), &words, 5_000);
    assert_eq!(known[0], 0, "{known:?}");
    let aged = shares(&mut fixture(), &words, 10_000);
    assert!((100..=170).contains(&aged[0]), "{aged:?}");
}

#[test]
fn a_cold_target_without_a_word_is_slower_than_the_others() {
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
    let words = [(1, told(0, 30, 0)), (2, told(0, 30, 0)), (51, 0.into())];
    let cold = shares(&mut fixture, &words, 10);
    assert_eq!(cold[2], 0, "{cold:?}");
    // Once its agent has measured it, that counts.
    let words = [(1, told(0, 30, 0)), (2, told(0, 30, 0)), (51, told(0, 30, 0))];
    let measured = shares(&mut fixture, &words, 10);
    assert!(measured[2] >= 100, "{measured:?}");
}

#[test]
fn small_differences_leave_the_flow_at_the_first_of_its_order() {
    let equal = [(1, told(0, 30, 0)), (2, told(0, 30, 0)), (3, told(0, 30, 0))];
    let rough = [(1, told(0, 28, 0)), (2, told(0, 30, 1)), (3, told(0, 32, 0))];
    let fixture = || Fixture::new(&Store::with_targets(3));
    assert_eq!(shares(&mut fixture(), &equal, 10), shares(&mut fixture(), &rough, 10));
}

/// With times that are all alike, the choice is the one by load: also between zones.
#[test]
fn equal_targets_are_chosen_as_by_load() {
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
fn the_log_gets_the_expected_time() {
    let mut fixture = Fixture::new(&Store::with_targets(1));
    fixture.balancer.note_answer(agent(1), told(2, 40, 25), LATER);
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
