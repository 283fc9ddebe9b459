//! An opening packet that no candidate receives is admitted by the agent that offered it.

mod support;

use std::time::{Duration, Instant};

use weirhinge_agent::dispatch::{Decision, Dispatcher};
use weirhinge_packet::{FlowKey, decode_packet};
use weirhinge_wire::{AgentMessage, Delivery, HolderAnswer, Holding};

use support::{AGENTS, comparing_agent, document, envelope, owner, segment};

/// Number of candidates compared for a new flow.
const CANDIDATES: u8 = 3;
/// Flows in flight at the agent, which is therefore busy and offers new flows to candidates.
const IN_FLIGHT: u32 = 1;
/// Time after which an unclaimed offer is due; later the standby owner would act.
const CLAIMED_BY: Duration = Duration::from_millis(200);

struct Offered {
    agent: Dispatcher<()>,
    target: u16,
    opening: Vec<u8>,
    key: FlowKey,
    at: Instant,
}

/// Returns the owner of a new flow's bucket, which has just offered the flow to a candidate.
fn offered_by_owner() -> Offered {
    let document = document(1, &[]);
    let opening = segment(40_000, true, false);
    let key = decode_packet(&opening).expect("valid packet").key;
    let target = owner(&document, &opening);
    let mut agent = comparing_agent(CANDIDATES, target, &document);
    let at = Instant::now();
    let message = AgentMessage::Packet(envelope(target, Delivery::Owner, &opening));
    let offered = agent.handle(&message, IN_FLIGHT, at);
    assert!(matches!(offered, Decision::PassOn(_)), "{offered:?}");
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
fn owner_admits_unclaimed_offer() {
    let mut offered = offered_by_owner();
    let due_at = offered.at + CLAIMED_BY;
    assert!(offered.agent.next_due().is_some_and(|due| due <= due_at));
    assert_eq!(
        offered.agent.take_due_offer(offered.at),
        None,
        "the candidates may still claim the flow"
    );
    let due = offered.agent.take_due_offer(due_at).expect("unclaimed offer is due");
    assert_eq!(due.packet, offered.opening);
    let message = AgentMessage::Packet(envelope(offered.target, Delivery::Assigned, &due.packet));
    let admitted = offered.agent.handle(&message, IN_FLIGHT, due_at);
    assert!(matches!(admitted, Decision::Open { .. }), "{admitted:?}");
    assert_eq!(offered.agent.take_due_offer(due_at + CLAIMED_BY), None, "each offer is due once");
}

#[test]
fn claimed_offer_is_not_admitted_by_owner() {
    let mut offered = offered_by_owner();
    let message = claim(&offered, Holding::Opening);
    offered.agent.handle(&message, IN_FLIGHT, offered.at);
    assert_eq!(offered.agent.take_due_offer(offered.at + CLAIMED_BY), None);
}

#[test]
fn returned_offer_is_not_admitted_twice() {
    let mut offered = offered_by_owner();
    offered.agent.flows.insert(offered.key, (), offered.at).expect("inserted");
    assert_eq!(offered.agent.take_due_offer(offered.at + CLAIMED_BY), None);
    offered.agent.flows.remove(&offered.key, offered.at);
    assert_eq!(offered.agent.take_due_offer(offered.at + CLAIMED_BY), None);
}

/// A candidate that passes an offer on receives no claims. If it waited for one, it would admit
/// every such flow a second time.
#[test]
fn candidate_does_not_keep_passed_on_offer() {
    let document = document(1, &[]);
    let opening = segment(40_000, true, false);
    let owner_target = owner(&document, &opening);
    for target in (0..AGENTS).filter(|&target| target != owner_target) {
        let mut agent = comparing_agent(CANDIDATES, target, &document);
        let best = weirhinge_wire::Offer { best: owner_target, best_load: 0, visited: 1 };
        let message = AgentMessage::Packet(envelope(target, Delivery::Offered(best), &opening));
        let now = Instant::now();
        assert!(matches!(agent.handle(&message, IN_FLIGHT, now), Decision::PassOn(_)));
        assert_eq!(agent.take_due_offer(now + CLAIMED_BY), None);
    }
}
