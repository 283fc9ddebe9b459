//! What becomes of openings and answers, whatever comes in between: an opening is handed
//! to the target or sent back, never both, and what a target wrote is passed on.

mod support;

use std::collections::HashMap;

use proptest::prelude::*;
use support::beside::{answer, arrival, new_agent, request};
use support::{flow, opening};
use weirhinge_steering::{
    Agent, Arrival, DeliveryDecision, OutputDecision, PacketHeader, PendingOpening, WaitOutcome,
};

/// Longer than any opening waits, with the time between two looks.
const AFTER_ALL_WAITS_MS: u64 = 1_200;

#[derive(Clone, Debug)]
enum Step {
    /// A client opens a flow or sends a copy of its opening packet.
    Opening { port: u16, copy: bool, urgent: bool, may_wait: bool },
    /// A client sends a request on an open flow.
    Request { port: u16 },
    /// The target answers.
    Answer { port: u16 },
    /// The size of the target becomes known or changes.
    Slots(u32),
    /// Time goes by.
    Pass(u64),
    /// Waiting openings are looked at.
    Look,
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
        2 => (1..400_u64).prop_map(Step::Pass),
        2 => Just(Step::Look),
    ]
}

/// Counts what became of each flow's openings.
#[derive(Default)]
struct Outcomes {
    handed_over: HashMap<u16, u32>,
    returned_after: Vec<u16>,
}

impl Outcomes {
    fn hand_over(&mut self, header: &PacketHeader) {
        *self.handed_over.entry(header.source.port()).or_default() += 1;
    }

    fn send_back(&mut self, opening: &PendingOpening) {
        let port = opening.header.source.port();
        if self.handed_over.contains_key(&port) {
            self.returned_after.push(port);
        }
    }

    fn look(&mut self, beside: &mut Agent, now: u64) {
        while let Some(outcome) = beside.next_outcome(now) {
            match outcome {
                WaitOutcome::Deliver(opening, _) => self.hand_over(&opening.header),
                WaitOutcome::Return(opening, _) => self.send_back(&opening),
            }
        }
    }
}

proptest! {
    #[test]
    fn an_opening_is_handed_over_or_sent_back_but_not_both(
        steps in prop::collection::vec(step(), 1..200)
    ) {
        let mut beside = new_agent();
        let mut outcomes = Outcomes::default();
        let mut now = 0;
        for step in steps {
            match step {
                Step::Opening { port, copy, urgent, may_wait } => {
                    let header = PacketHeader { acknowledgment: copy.into(), ..opening(flow(port)) };
                    let arrival = Arrival { urgent, may_wait, ..arrival(&header) };
                    match beside.delivery(&arrival, now) {
                        DeliveryDecision::Deliver { .. } => outcomes.hand_over(&header),
                        DeliveryDecision::Wait { displaced: Some(displaced) } => {
                            outcomes.send_back(&displaced);
                        }
                        _ => {}
                    }
                }
                Step::Request { port } => {
                    beside.delivery(&arrival(&request(port, 1_000)), now);
                }
                Step::Answer { port } => {
                    let decision = beside.output(&answer(flow(port)), now);
                    let passed_on = matches!(decision, OutputDecision::ToClient { .. });
                    prop_assert!(passed_on, "{decision:?}");
                }
                Step::Slots(slots) => beside.set_slots(slots),
                Step::Pass(time) => now += time,
                Step::Look => outcomes.look(&mut beside, now),
            }
        }
        outcomes.look(&mut beside, now + AFTER_ALL_WAITS_MS);
        prop_assert!(outcomes.returned_after.is_empty(), "{:?}", outcomes.returned_after);
    }
}

/// Nothing is dropped for being late: clients decide whether they still wait.
#[test]
fn an_answer_is_passed_on_however_late_it_comes() {
    let mut beside = new_agent();
    beside.delivery(&arrival(&request(1, 0)), 0);
    for now in [100, 5_000, 70_000, 200_000] {
        beside.expire(now);
        let decision = beside.output(&answer(flow(1)), now);
        assert!(matches!(decision, OutputDecision::ToClient { .. }), "{now}: {decision:?}");
    }
}

/// An opening is never kept for longer than its client waits: it gets its answer while
/// the client can still try elsewhere.
#[test]
fn every_waiting_opening_has_its_outcome_before_its_client_gives_up() {
    let mut beside = new_agent();
    for port in 0..20 {
        beside.delivery(&arrival(&request(port, 0)), 0);
    }
    for port in 100..150 {
        let header = opening(flow(port));
        beside.delivery(&Arrival { may_wait: true, ..arrival(&header) }, 0);
    }
    let mut returned = 0;
    while let Some(outcome) = beside.next_outcome(AFTER_ALL_WAITS_MS) {
        assert!(matches!(outcome, WaitOutcome::Return(_, _)), "{outcome:?}");
        returned += 1;
    }
    assert_eq!(returned, 50);
}
