//! An opening packet that a candidate never receives is not lost.

mod support;

use std::time::{Duration, Instant};

use weirhinge_agent::dispatch::{Dispatch, Dispatcher};
use weirhinge_packet::{FlowKey, decode_packet};
use weirhinge_wire::{AgentMessage, Delivery, HolderAnswer, Holding};

use support::{AGENTS, agent_that_compares, document, envelope, owner, segment};

/// Candidates that are compared for a new flow.
const CANDIDATES: u8 = 3;
/// Flows that wait for an answer at the agent: it is busy, and offers what is new.
const IN_FLIGHT: u32 = 1;
/// By when an offer has been claimed, or the deputy would act.
const CLAIMED_BY: Duration = Duration::from_millis(200);

struct Offered {
    agent: Dispatcher<()>,
    target: u16,
    opening: Vec<u8>,
    key: FlowKey,
    at: Instant,
}

/// The owner of a new flow's bucket, which has just offered it to a candidate.
fn offered_by_owner() -> Offered {
    let document = document(1, &[]);
    let opening = segment(40_000, true, false);
    let key = decode_packet(&opening).expect("sound").key;
    let target = owner(&document, &opening);
    let mut agent = agent_that_compares(CANDIDATES, target, &document);
    let at = Instant::now();
    let message = AgentMessage::Packet(envelope(target, Delivery::Owner, &opening));
    let offered = agent.handle(&message, IN_FLIGHT, at);
    assert!(matches!(offered, Dispatch::PassOn(_)), "{offered:?}");
    Offered { agent, target, opening, key, at }
}

fn claim(offered: &Offered, holding: Holding) -> AgentMessage<'static> {
    AgentMessage::HolderAnswer(HolderAnswer {
        service: 1,
        from: (offered.target + 1) % AGENTS,
        revision: 1,
        flow: offered.key.into(),
        holding,
    })
}

#[test]
fn the_owner_admits_a_flow_that_no_candidate_claims() {
    let mut offered = offered_by_owner();
    let due_at = offered.at + CLAIMED_BY;
    assert!(offered.agent.next_standby().is_some_and(|due| due <= due_at));
    assert_eq!(offered.agent.take_due_offer(offered.at), None, "the candidates have time");
    let due = offered.agent.take_due_offer(due_at).expect("nobody claimed it");
    assert_eq!(due.packet, offered.opening);
    let message = AgentMessage::Packet(envelope(offered.target, Delivery::Assigned, &due.packet));
    let admitted = offered.agent.handle(&message, IN_FLIGHT, due_at);
    assert!(matches!(admitted, Dispatch::Open { .. }), "{admitted:?}");
    assert_eq!(offered.agent.take_due_offer(due_at + CLAIMED_BY), None, "once a packet");
}

#[test]
fn a_claimed_offer_is_left_to_its_claimant() {
    let mut offered = offered_by_owner();
    let message = claim(&offered, Holding::Opening);
    offered.agent.handle(&message, IN_FLIGHT, offered.at);
    assert_eq!(offered.agent.take_due_offer(offered.at + CLAIMED_BY), None);
}

#[test]
fn an_offer_that_came_back_to_its_owner_is_not_admitted_twice() {
    let mut offered = offered_by_owner();
    offered.agent.flows.insert(offered.key, (), offered.at).expect("inserted");
    assert_eq!(offered.agent.take_due_offer(offered.at + CLAIMED_BY), None);
    offered.agent.flows.remove(&offered.key, offered.at);
    assert_eq!(offered.agent.take_due_offer(offered.at + CLAIMED_BY), None);
}

/// A candidate on the way hears of no claim: were it to wait for one, it would admit
/// every flow a second time.
#[test]
fn a_candidate_does_not_wait_for_what_it_passes_on() {
    let document = document(1, &[]);
    let opening = segment(40_000, true, false);
    let owner_target = owner(&document, &opening);
    for target in (0..AGENTS).filter(|&target| target != owner_target) {
        let mut agent = agent_that_compares(CANDIDATES, target, &document);
        let best = weirhinge_wire::Offer { best: owner_target, best_load: 0, visited: 1 };
        let message = AgentMessage::Packet(envelope(target, Delivery::Offered(best), &opening));
        let now = Instant::now();
        assert!(matches!(agent.handle(&message, IN_FLIGHT, now), Dispatch::PassOn(_)));
        assert_eq!(agent.take_due_offer(now + CLAIMED_BY), None);
    }
}
