//! Every opening packet is either delivered to the target or returned, never both, and every answer
//! of the target is forwarded.

mod support;

use std::collections::HashMap;

use proptest::prelude::*;
use support::agent_fixture::{answer, arrival, new_agent, request};
use support::{flow, opening};
use weirhinge_steering::{
    Agent, Arrival, DeliveryDecision, OutputDecision, PacketHeader, PendingOpening, WaitOutcome,
};

/// Longer than any opening waits, plus the interval between two polls.
const PAST_LONGEST_WAIT_MS: u64 = 1_200;

#[derive(Clone, Debug)]
enum Step {
    /// A client sends an opening packet or a copy of it.
    Opening { port: u16, copy: bool, urgent: bool, may_wait: bool },
    /// A client sends a request on an open flow.
    Request { port: u16 },
    /// The target answers.
    Answer { port: u16 },
    /// The target's slot count becomes known or changes.
    Slots(u32),
    /// Time passes.
    Advance(u64),
    /// The agent is polled for outcomes of waiting openings.
    Poll,
}

fn step() -> impl Strategy<Value = Step> {
    let port = 0..40_u16;
    prop_oneof![
        4 => (port.clone(), any::<bool>(), any::<bool>(), any::<bool>()).prop_map(
            |(port, copy, urgent, may_wait)| Step::Opening { port, copy, urgent, may_wait }
        ),
        2 => port.clone().prop_map(|port| Step::Request { port }),
        2 => port.prop_map(|port| Step::Answer { port }),
        1 => (1..9_u32).prop_map(Step::Slots),
        2 => (1..400_u64).prop_map(Step::Advance),
        2 => Just(Step::Poll),
    ]
}

/// Records the outcomes of each flow's openings.
#[derive(Default)]
struct Outcomes {
    delivered: HashMap<u16, u32>,
    returned_after_delivery: Vec<u16>,
}

impl Outcomes {
    fn record_delivery(&mut self, header: &PacketHeader) {
        *self.delivered.entry(header.source.port()).or_default() += 1;
    }

    fn record_return(&mut self, opening: &PendingOpening) {
        let port = opening.header.source.port();
        if self.delivered.contains_key(&port) {
            self.returned_after_delivery.push(port);
        }
    }

    fn poll(&mut self, agent: &mut Agent, now: u64) {
        while let Some(outcome) = agent.next_outcome(now) {
            match outcome {
                WaitOutcome::Deliver(opening, _) => self.record_delivery(&opening.header),
                WaitOutcome::Return(opening, _) => self.record_return(&opening),
            }
        }
    }
}

proptest! {
    #[test]
    fn opening_is_delivered_or_returned_but_not_both(
        steps in prop::collection::vec(step(), 1..200)
    ) {
        let mut agent = new_agent();
        let mut outcomes = Outcomes::default();
        let mut now = 0;
        for step in steps {
            match step {
                Step::Opening { port, copy, urgent, may_wait } => {
                    let header = PacketHeader { acknowledgment: copy.into(), ..opening(flow(port)) };
                    let arrival = Arrival { urgent, may_wait, ..arrival(&header) };
                    match agent.delivery(&arrival, now) {
                        DeliveryDecision::Deliver { .. } => outcomes.record_delivery(&header),
                        DeliveryDecision::Wait { displaced: Some(displaced) } => {
                            outcomes.record_return(&displaced);
                        }
                        _ => {}
                    }
                }
                Step::Request { port } => {
                    agent.delivery(&arrival(&request(port, 1_000)), now);
                }
                Step::Answer { port } => {
                    let decision = agent.output(&answer(flow(port)), now);
                    let forwarded = matches!(decision, OutputDecision::ToClient { .. });
                    prop_assert!(forwarded, "{decision:?}");
                }
                Step::Slots(slots) => agent.set_slots(slots),
                Step::Advance(time) => now += time,
                Step::Poll => outcomes.poll(&mut agent, now),
            }
        }
        outcomes.poll(&mut agent, now + PAST_LONGEST_WAIT_MS);
        prop_assert!(outcomes.returned_after_delivery.is_empty(), "{:?}", outcomes.returned_after_delivery);
    }
}

/// Answers are never dropped for being late: clients decide how long they wait.
#[test]
fn late_answer_is_forwarded() {
    let mut agent = new_agent();
    agent.delivery(&arrival(&request(1, 0)), 0);
    for now in [100, 5_000, 70_000, 200_000] {
        agent.expire(now);
        let decision = agent.output(&answer(flow(1)), now);
        assert!(matches!(decision, OutputDecision::ToClient { .. }), "{now}: {decision:?}");
    }
}

/// No opening waits longer than its client: it is returned while the client can still try another
/// target.
#[test]
fn waiting_openings_are_returned_before_clients_give_up() {
    let mut agent = new_agent();
    for port in 0..20 {
        agent.delivery(&arrival(&request(port, 0)), 0);
    }
    for port in 100..150 {
        let header = opening(flow(port));
        agent.delivery(&Arrival { may_wait: true, ..arrival(&header) }, 0);
    }
    let mut returned = 0;
    while let Some(outcome) = agent.next_outcome(PAST_LONGEST_WAIT_MS) {
        assert!(matches!(outcome, WaitOutcome::Return(_, _)), "{outcome:?}");
        returned += 1;
    }
    assert_eq!(returned, 50);
}
