//! Limits of capacity and memory hold for any sequence of requests and answers of balancers.

mod support;

use std::net::Ipv4Addr;

use proptest::prelude::*;
use support::agent_fixture::{arrival, deliver, new_agent, request};
use support::grant_requests::*;
use support::{SERVICE, agent as balancer, flow, opening};
use weirhinge_fleet::{Millis, OpeningDemand, ServiceId};
use weirhinge_steering::{Agent, Arrival, ColdStartRate, WaitOutcome};

#[test]
fn number_of_balancers_is_bounded() {
    let mut agent = agent_at_limit();
    let numbered = |number: u32| Ipv4Addr::from_bits(balancer(0).to_bits() + number);
    for number in 0..600 {
        // Balancers that requested first have waited longest.
        let demand = non_urgent(1, 1_000 - number as u16);
        let now = 100 + Millis::from(number) / 10;
        agent.demand(numbered(number), ServiceId::of(SERVICE), demand, now);
    }
    assert_eq!(agent.requesting_balancers(), 512);
    answer_request(&mut agent, 0, 160);
    let first = agent.next_grant(160).map(|grant| grant.balancer);
    assert_eq!(first, Some(numbered(88)), "the oldest entry was evicted");
}

fn cold_agent(per_second: u32) -> Agent {
    let mut agent = Agent::new(ServiceId::of(SERVICE));
    agent.set_slots(1_000);
    agent.set_cold_start(ColdStartRate::new(per_second, 1.5, 5.0), Millis::MAX);
    agent
}

#[test]
fn cold_target_grants_no_more_than_its_rate() {
    let mut agent = cold_agent(3);
    request_capacity(&mut agent, 101, non_urgent(9, 50), 5_000);
    assert_eq!(grantees(&mut agent, 5_000).len(), 3);
    assert_eq!(agent.delivery(&arrival(&opening(flow(60))), 5_001), BUSY);
    for port in 50..53 {
        assert!(is_delivered(&use_grant(&mut agent, 101, port, non_urgent(6, 50), 5_010)));
    }
    assert_eq!(next_grantee(&mut agent, 5_011), None);
    request_capacity(&mut agent, 101, non_urgent(9, 50), 6_009);
    assert_eq!(next_grantee(&mut agent, 6_009), None);
    assert_eq!(grantees(&mut agent, 6_010).len(), 3);
    // Lapsed grants no longer count, and their balancer has to request again.
    assert_eq!(grantees(&mut agent, 6_030).len(), 0);
    request_capacity(&mut agent, 101, non_urgent(9, 50), 6_030);
    assert_eq!(grantees(&mut agent, 6_030).len(), 3);
}

#[derive(Clone, Debug)]
enum Step {
    Request { number: u8, urgent: u16, non_urgent: u16 },
    Open { urgent: bool, may_wait: bool },
    UseGrant { number: u8, urgent: bool, duplicated: bool },
    Decline { number: u8 },
    Finish,
    Advance(Millis),
}

fn step() -> impl Strategy<Value = Step> {
    let number = || 101..104u8;
    prop_oneof![
        (number(), 0..4u16, 0..6u16).prop_map(|(number, urgent, non_urgent)| Step::Request {
            number,
            urgent,
            non_urgent
        }),
        any::<(bool, bool)>().prop_map(|(urgent, may_wait)| Step::Open { urgent, may_wait }),
        (number(), any::<bool>(), any::<bool>())
            .prop_map(|(number, urgent, duplicated)| Step::UseGrant { number, urgent, duplicated }),
        number().prop_map(|number| Step::Decline { number }),
        Just(Step::Finish),
        (0..30u64).prop_map(Step::Advance),
    ]
}

/// An agent whose flows send their requests immediately, so that all of them are in flight.
struct AgentRun {
    agent: Agent,
    now: Millis,
    next_port: u16,
    in_flight: Vec<u16>,
    admitted_at: Vec<Millis>,
}

impl AgentRun {
    fn new(agent: Agent) -> Self {
        Self { agent, now: 5_000, next_port: 1_000, in_flight: Vec::new(), admitted_at: Vec::new() }
    }

    fn step(&mut self, step: Step) {
        match step {
            Step::Request { number, urgent: urgent_count, non_urgent: non_urgent_count } => {
                let demand = OpeningDemand {
                    others: non_urgent(non_urgent_count, 50).others,
                    ..urgent(urgent_count, 9)
                };
                request_capacity(&mut self.agent, number, demand, self.now);
            }
            Step::Open { urgent, may_wait } => {
                self.open(|arrival| Arrival { urgent, may_wait, ..arrival }, false);
            }
            Step::UseGrant { number, urgent, duplicated } => {
                let granted = Some(non_urgent(1, 5));
                let balancer = balancer(number);
                self.open(|arrival| Arrival { balancer, urgent, granted, ..arrival }, duplicated);
            }
            Step::Decline { number } => {
                self.agent.declined(balancer(number), self.now);
            }
            Step::Finish => {
                if let Some(port) = self.in_flight.pop() {
                    answer_request(&mut self.agent, port, self.now);
                }
            }
            Step::Advance(time) => self.now += time,
        }
        self.drain_outcomes();
    }

    fn open(&mut self, kind: impl Fn(Arrival<'_>) -> Arrival<'_>, duplicated: bool) {
        let port = self.next_port;
        self.next_port += 1;
        let header = opening(flow(port));
        let decision = self.agent.delivery(&kind(arrival(&header)), self.now);
        if is_delivered(&decision) {
            if duplicated {
                let copy = self.agent.delivery(&kind(arrival(&header)), self.now);
                assert!(is_delivered(&copy), "{copy:?}");
            }
            self.record_admission(port);
        }
    }

    fn record_admission(&mut self, port: u16) {
        deliver(&mut self.agent, &request(port, 0), self.now);
        self.in_flight.push(port);
        self.admitted_at.push(self.now);
    }

    fn drain_outcomes(&mut self) {
        loop {
            let outcome = self.agent.next_outcome(self.now);
            if let Some(WaitOutcome::Deliver(opening, _)) = &outcome {
                self.record_admission(opening.header.source.port());
            }
            let granted = self.agent.next_grant(self.now);
            if outcome.is_none() && granted.is_none() {
                return;
            }
        }
    }
}

proptest! {
    #[test]
    fn requests_and_grants_never_exceed_the_limit(
        steps in prop::collection::vec(step(), 1..200)
    ) {
        let mut run = AgentRun::new(new_agent());
        for step in steps {
            run.step(step);
            prop_assert_eq!(run.agent.waiting() as usize, run.in_flight.len());
            let load = run.agent.waiting() + run.agent.reserved_capacity();
            prop_assert!(load <= 8, "{load}");
        }
    }

    #[test]
    fn cold_start_rate_holds_in_every_second(
        per_second in 1..6u32,
        steps in prop::collection::vec(step(), 1..200)
    ) {
        let mut run = AgentRun::new(cold_agent(per_second));
        for step in steps {
            run.step(step);
            let is_recent = |at: &&Millis| run.now - **at < 1_000;
            let recent = run.admitted_at.iter().filter(is_recent).count();
            prop_assert!(recent + run.agent.reserved_capacity() as usize <= per_second as usize);
        }
    }

    /// No state is absorbing: when all balancers fall silent, all capacity is free again soon.
    #[test]
    fn capacity_is_free_when_all_balancers_are_silent(
        steps in prop::collection::vec(step(), 1..200)
    ) {
        let mut run = AgentRun::new(new_agent());
        for step in steps {
            run.step(step);
        }
        while !run.in_flight.is_empty() {
            run.step(Step::Finish);
        }
        for _ in 0..20 {
            run.step(Step::Advance(20));
            while !run.in_flight.is_empty() {
                run.step(Step::Finish);
            }
        }
        prop_assert_eq!((run.agent.requesting_balancers(), run.agent.reserved_capacity()), (0, 0));
        let direct = run.agent.delivery(&arrival(&opening(flow(1))), run.now);
        prop_assert!(is_delivered(&direct), "{direct:?}");
    }
}
