//! Bounds that hold whatever balancers ask for and answer.

mod support;

use std::net::Ipv4Addr;

use proptest::prelude::*;
use support::asking::*;
use support::beside::{arrival, deliver, new_agent, request};
use support::{SERVICE, agent as balancer, flow, opening};
use weirhinge_fleet::{Millis, OpeningDemand, ServiceId};
use weirhinge_steering::{Agent, Arrival, ColdStartRate, WaitOutcome};

#[test]
fn the_number_of_balancers_is_bounded() {
    let mut beside = full_agent();
    let numbered = |number: u32| Ipv4Addr::from_bits(balancer(0).to_bits() + number);
    for number in 0..600 {
        // Those heard first have waited longest.
        let demand = others(1, 1_000 - number as u16);
        let now = 100 + Millis::from(number) / 10;
        beside.demand(numbered(number), ServiceId::of(SERVICE), demand, now);
    }
    assert_eq!(beside.asking(), 512);
    free(&mut beside, 0, 160);
    let first = beside.next_grant(160).map(|grant| grant.balancer);
    assert_eq!(first, Some(numbered(88)), "the entry heard longest ago was replaced");
}

fn cold_agent(per_second: u32) -> Agent {
    let mut beside = Agent::new(ServiceId::of(SERVICE));
    beside.set_slots(1_000);
    beside.set_cold_start(ColdStartRate::new(per_second, 1.5, 5.0), Millis::MAX);
    beside
}

#[test]
fn a_cold_target_grants_no_more_than_its_rate() {
    let mut beside = cold_agent(3);
    ask(&mut beside, 101, others(9, 50), 5_000);
    assert_eq!(grants(&mut beside, 5_000).len(), 3);
    assert_eq!(beside.delivery(&arrival(&opening(flow(60))), 5_001), BUSY);
    for port in 50..53 {
        assert!(is_taken(&answer_grant(&mut beside, 101, port, others(6, 50), 5_010)));
    }
    assert_eq!(grant(&mut beside, 5_011), None);
    ask(&mut beside, 101, others(9, 50), 6_009);
    assert_eq!(grant(&mut beside, 6_009), None);
    assert_eq!(grants(&mut beside, 6_010).len(), 3);
    // Room that was kept in vain counts no more, and who let it pass has to ask again.
    assert_eq!(grants(&mut beside, 6_030).len(), 0);
    ask(&mut beside, 101, others(9, 50), 6_030);
    assert_eq!(grants(&mut beside, 6_030).len(), 3);
}

#[derive(Clone, Debug)]
enum Step {
    Ask { number: u8, urgent: u16, others: u16 },
    Direct { urgent: bool, may_wait: bool },
    Answer { number: u8, urgent: bool, twice: bool },
    Decline { number: u8 },
    Serve,
    Pass(Millis),
}

fn step() -> impl Strategy<Value = Step> {
    let number = || 101..104u8;
    prop_oneof![
        (number(), 0..4u16, 0..6u16).prop_map(|(number, urgent, others)| Step::Ask {
            number,
            urgent,
            others
        }),
        any::<(bool, bool)>().prop_map(|(urgent, may_wait)| Step::Direct { urgent, may_wait }),
        (number(), any::<bool>(), any::<bool>()).prop_map(|(number, urgent, twice)| Step::Answer {
            number,
            urgent,
            twice
        }),
        number().prop_map(|number| Step::Decline { number }),
        Just(Step::Serve),
        (0..30u64).prop_map(Step::Pass),
    ]
}

/// An agent whose flows bring their requests at once, so that all are counted as in hand.
struct Run {
    beside: Agent,
    now: Millis,
    next_port: u16,
    in_hand: Vec<u16>,
    taken_at: Vec<Millis>,
}

impl Run {
    fn new(beside: Agent) -> Self {
        Self { beside, now: 5_000, next_port: 1_000, in_hand: Vec::new(), taken_at: Vec::new() }
    }

    fn step(&mut self, step: Step) {
        match step {
            Step::Ask { number, urgent: count, others: more } => {
                let demand = OpeningDemand { others: others(more, 50).others, ..urgent(count, 9) };
                ask(&mut self.beside, number, demand, self.now);
            }
            Step::Direct { urgent, may_wait } => {
                self.open(|arrival| Arrival { urgent, may_wait, ..arrival }, false);
            }
            Step::Answer { number, urgent, twice } => {
                let granted = Some(others(1, 5));
                let balancer = balancer(number);
                self.open(|arrival| Arrival { balancer, urgent, granted, ..arrival }, twice);
            }
            Step::Decline { number } => {
                self.beside.declined(balancer(number), self.now);
            }
            Step::Serve => {
                if let Some(port) = self.in_hand.pop() {
                    free(&mut self.beside, port, self.now);
                }
            }
            Step::Pass(time) => self.now += time,
        }
        self.settle();
    }

    fn open(&mut self, kind: impl Fn(Arrival<'_>) -> Arrival<'_>, twice: bool) {
        let port = self.next_port;
        self.next_port += 1;
        let header = opening(flow(port));
        let decision = self.beside.delivery(&kind(arrival(&header)), self.now);
        if is_taken(&decision) {
            if twice {
                let copy = self.beside.delivery(&kind(arrival(&header)), self.now);
                assert!(is_taken(&copy), "{copy:?}");
            }
            self.took(port);
        }
    }

    fn took(&mut self, port: u16) {
        deliver(&mut self.beside, &request(port, 0), self.now);
        self.in_hand.push(port);
        self.taken_at.push(self.now);
    }

    fn settle(&mut self) {
        loop {
            let outcome = self.beside.next_outcome(self.now);
            if let Some(WaitOutcome::Deliver(opening, _)) = &outcome {
                self.took(opening.header.source.port());
            }
            let granted = self.beside.next_grant(self.now);
            if outcome.is_none() && granted.is_none() {
                return;
            }
        }
    }
}

proptest! {
    #[test]
    fn requests_in_hand_and_kept_room_never_exceed_the_room(
        steps in prop::collection::vec(step(), 1..200)
    ) {
        let mut run = Run::new(new_agent());
        for step in steps {
            run.step(step);
            prop_assert_eq!(run.beside.waiting() as usize, run.in_hand.len());
            let load = run.beside.waiting() + run.beside.kept_room();
            prop_assert!(load <= 8, "{load}");
        }
    }

    #[test]
    fn no_second_brings_a_cold_target_more_than_its_rate(
        per_second in 1..6u32,
        steps in prop::collection::vec(step(), 1..200)
    ) {
        let mut run = Run::new(cold_agent(per_second));
        for step in steps {
            run.step(step);
            let is_recent = |at: &&Millis| run.now - **at < 1_000;
            let recent = run.taken_at.iter().filter(is_recent).count();
            prop_assert!(recent + run.beside.kept_room() as usize <= per_second as usize);
        }
    }

    /// No state is absorbing: when all are silent, the room is free within a moment.
    #[test]
    fn all_room_is_free_again_when_all_balancers_are_silent(
        steps in prop::collection::vec(step(), 1..200)
    ) {
        let mut run = Run::new(new_agent());
        for step in steps {
            run.step(step);
        }
        while !run.in_hand.is_empty() {
            run.step(Step::Serve);
        }
        for _ in 0..20 {
            run.step(Step::Pass(20));
            while !run.in_hand.is_empty() {
                run.step(Step::Serve);
            }
        }
        prop_assert_eq!((run.beside.asking(), run.beside.kept_room()), (0, 0));
        let direct = run.beside.delivery(&arrival(&opening(flow(1))), run.now);
        prop_assert!(is_taken(&direct), "{direct:?}");
    }
}
