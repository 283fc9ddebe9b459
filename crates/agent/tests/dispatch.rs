//! What an agent does with each packet while configurations differ.

mod support;

use std::time::{Duration, Instant};

use etherparse::PacketBuilder;
use weirhinge_agent::dispatch::{Dispatch, Dispatcher};
use weirhinge_agent::view::AgentView;
use weirhinge_config::{ConfigDocument, TargetId};
use weirhinge_packet::decode_packet;
use weirhinge_routing::RoutingTable;
use weirhinge_wire::{AgentMessage, Delivery, HolderAnswer, Holding, PacketEnvelope};

use support::{AGENTS, KEY, agent, document, envelope, owner, segment};

#[test]
fn the_owner_admits_and_then_delivers() {
    let document = document(1, &[]);
    let packet = segment(40_000, true, true);
    let owner = owner(&document, &packet);
    let mut agent = agent(owner, &document);
    let message = AgentMessage::Packet(envelope(owner, Delivery::Owner, &packet));
    let now = Instant::now();
    let Dispatch::Open { key, announce } = agent.handle(&message, 0, now) else {
        panic!("the owner admits");
    };
    assert_eq!(announce.len(), 1, "the deputy is told");
    agent.flows.insert(key, (), now).expect("inserted");
    assert_eq!(agent.handle(&message, 0, now), Dispatch::Deliver(key));
}

#[test]
fn what_is_meant_for_another_service_or_target_goes_nowhere() {
    let document = document(1, &[]);
    let mut agent = agent(0, &document);
    let packet = segment(40_000, true, true);
    let sound = envelope(0, Delivery::Owner, &packet);
    let mut refused = |envelope| agent.handle(&AgentMessage::Packet(envelope), 0, Instant::now());
    assert_eq!(refused(PacketEnvelope { service: 2, ..sound }), Dispatch::Drop("wrong_service"));
    assert_eq!(refused(PacketEnvelope { target: 1, ..sound }), Dispatch::Drop("wrong_target"));
    // The address belongs to service 2 by now; a stale balancer says service 1.
    let mut moved = packet.clone();
    moved[19] = 20;
    let moved = PacketEnvelope { packet: &moved, ..sound };
    assert_eq!(refused(moved), Dispatch::Drop("wrong_destination"));
}

#[test]
fn damaged_packets_are_dropped_by_reason() {
    let document = document(1, &[]);
    let mut agent = agent(0, &document);
    let mut packet = segment(40_000, true, true);
    let last = packet.len() - 1;
    packet[last] ^= 1;
    let message = AgentMessage::Packet(envelope(0, Delivery::Owner, &packet));
    assert_eq!(agent.handle(&message, 0, Instant::now()), Dispatch::Drop("bad_checksum"));
    let message = AgentMessage::Packet(envelope(0, Delivery::Owner, &packet[..10]));
    assert_eq!(agent.handle(&message, 0, Instant::now()), Dispatch::Drop("truncated"));
}

#[test]
fn a_draining_target_admits_nothing_from_a_stale_balancer() {
    let before = document(1, &[]);
    let packet = segment(40_000, true, true);
    let draining = owner(&before, &packet);
    let mut agent = agent(draining, &document(2, &[draining]));
    let message = AgentMessage::Packet(envelope(draining, Delivery::Owner, &packet));
    let Dispatch::PassOn(ways) = agent.handle(&message, 0, Instant::now()) else {
        panic!("a draining target passes on");
    };
    assert_eq!(ways.len(), 1);
    assert_ne!(ways[0].target.0, draining);
}

#[test]
fn a_stopping_agent_admits_nothing() {
    let document = document(1, &[]);
    let packet = segment(40_000, true, true);
    let owner = owner(&document, &packet);
    let mut agent = agent(owner, &document);
    agent.begin_stop();
    let message = AgentMessage::Packet(envelope(owner, Delivery::Owner, &packet));
    assert!(matches!(agent.handle(&message, 0, Instant::now()), Dispatch::PassOn(_)));
}

#[test]
fn an_unknown_flow_is_reset_only_when_every_other_agent_denies_it() {
    let document = document(1, &[]);
    let packet = segment(40_000, false, false);
    let owner = owner(&document, &packet);
    let mut agent = agent(owner, &document);
    let start = Instant::now();
    let message = AgentMessage::Packet(envelope(owner, Delivery::Owner, &packet));
    let Dispatch::Ask { query, agents } = agent.handle(&message, 0, start) else {
        panic!("the owner asks first");
    };
    assert_eq!(agents.len(), usize::from(AGENTS) - 1);
    let answer = |from| {
        AgentMessage::HolderAnswer(HolderAnswer {
            service: 1,
            from,
            revision: 1,
            flow: query.flow,
            holding: Holding::Not,
        })
    };
    let others: Vec<u16> = (0..AGENTS).filter(|&target| target != owner).collect();
    for &other in &others[1..] {
        agent.handle(&answer(other), 0, start);
    }
    let later = start + Duration::from_secs(3);
    assert!(matches!(agent.handle(&message, 0, later), Dispatch::Ask { .. }));
    agent.handle(&answer(others[0]), 0, later);
    assert!(matches!(agent.handle(&message, 0, later), Dispatch::Reset { .. }));
}

/// The fault behind a reset flow that rehearsals found: an agent that did not
/// know a new target yet took the new target's flow for unknown.
#[test]
fn an_agent_behind_the_times_resets_nothing() {
    let old =
        ConfigDocument { targets: document(1, &[]).targets[..2].to_vec(), ..document(1, &[]) };
    let packet = segment(40_000, false, false);
    let own = owner(&old, &packet);
    let mut agent = agent(own, &old);
    let now = Instant::now();
    let mut fresh = envelope(own, Delivery::Owner, &packet);
    fresh.revision = 2;
    let message = AgentMessage::Packet(fresh);
    let Dispatch::Ask { query, .. } = agent.handle(&message, 0, now) else {
        panic!("the owner asks");
    };
    let denial = HolderAnswer {
        service: 1,
        from: 1 - own,
        revision: 1,
        flow: query.flow,
        holding: Holding::Not,
    };
    agent.handle(&AgentMessage::HolderAnswer(denial), 0, now);
    assert_eq!(agent.handle(&message, 0, now), Dispatch::Drop("stale_view"));
    let caught_up = ConfigDocument { revision: 2, ..old };
    agent.apply(AgentView::build(&caught_up, &KEY, TargetId(own)), now);
    assert!(matches!(agent.handle(&message, 0, now), Dispatch::Reset { .. }));
}

#[test]
fn a_new_target_takes_no_flow_until_it_is_known_everywhere() {
    let document = document(1, &[]);
    let packet = segment(40_000, true, true);
    let own = owner(&document, &packet);
    let view = AgentView::build(&document, &KEY, TargetId(own));
    let start = Instant::now();
    let mut agent: Dispatcher<()> = Dispatcher::new(TargetId(own), 1, 16, view.clone(), start);
    agent.apply(view, start);
    let message = AgentMessage::Packet(envelope(own, Delivery::Owner, &packet));
    assert!(matches!(agent.handle(&message, 0, start), Dispatch::PassOn(_)));
    let other = segment(40_001, true, true);
    let later = start + Duration::from_secs(3);
    let message = AgentMessage::Packet(envelope(own, Delivery::Assigned, &other));
    assert!(matches!(agent.handle(&message, 0, later), Dispatch::Open { .. }));
}

/// Holders tell new owners of flows without hints at once.
#[test]
fn a_change_of_owner_is_announced_by_the_holder() {
    let before = document(1, &[]);
    let opening = segment(40_000, true, false);
    let old_owner = owner(&before, &opening);
    let after = document(2, &[old_owner]);
    let mut holder = agent(old_owner, &before);
    let now = Instant::now();
    let message = AgentMessage::Packet(envelope(old_owner, Delivery::Owner, &opening));
    let Dispatch::Open { key, .. } = holder.handle(&message, 0, now) else {
        panic!("the first owner admits");
    };
    holder.flows.insert(key, (), now).expect("inserted");
    assert!(holder.opened(&key, false).is_none(), "it owns the bucket itself");
    let view = AgentView::build(&after, &KEY, TargetId(old_owner));
    let announcements = holder.apply(view, now);
    assert_eq!(announcements.len(), 1);
    assert_eq!(announcements[0].agent.port(), 7_000 + owner(&after, &opening));
    assert_eq!(announcements[0].answer.holding, Holding::Open);
}

#[test]
fn a_flow_without_timestamps_reaches_its_holder_through_the_owner() {
    let document = document(1, &[]);
    let opening = segment(40_000, true, false);
    let owner_target = owner(&document, &opening);
    let holder_target = (owner_target + 1) % AGENTS;
    let mut holder = agent(holder_target, &document);
    let now = Instant::now();
    let assigned = AgentMessage::Packet(envelope(holder_target, Delivery::Assigned, &opening));
    let Dispatch::Open { key, announce } = holder.handle(&assigned, 0, now) else {
        panic!("the holder admits and tells the owner");
    };
    let announcement = announce[0];
    assert_eq!(announcement.agent.port(), 7_000 + owner_target);
    holder.flows.insert(key, (), now).expect("inserted");
    let mut owner = agent(owner_target, &document);
    let claim = AgentMessage::HolderAnswer(announcement.answer);
    assert_eq!(owner.handle(&claim, 0, now), Dispatch::Learned);
    // A repeated opening packet finds the same agent, not another one.
    let message = AgentMessage::Packet(envelope(owner_target, Delivery::Owner, &opening));
    let Dispatch::PassOn(ways) = owner.handle(&message, 0, now) else {
        panic!("the owner follows the claim");
    };
    assert_eq!((ways[0].target.0, ways[0].delivery), (holder_target, Delivery::Assigned));
    let packet = segment(40_000, false, false);
    let message = AgentMessage::Packet(envelope(owner_target, Delivery::Owner, &packet));
    let Dispatch::PassOn(ways) = owner.handle(&message, 0, now) else {
        panic!("the owner forwards");
    };
    assert_eq!((ways[0].target.0, ways[0].delivery), (holder_target, Delivery::Forwarded));
    let message = AgentMessage::Packet(envelope(holder_target, Delivery::Forwarded, &packet));
    assert_eq!(holder.handle(&message, 0, now), Dispatch::Deliver(key));
}

/// The fault behind a flow without answer that rehearsals found: two agents
/// answered the opening packet, and the owner knew only the one that lost.
#[test]
fn packets_go_to_every_claimant_until_one_is_open() {
    let document = document(1, &[]);
    let opening = segment(40_000, true, false);
    let owner_target = owner(&document, &opening);
    let claimants = [(owner_target + 1) % AGENTS, (owner_target + 2) % AGENTS];
    let mut owner = agent(owner_target, &document);
    let now = Instant::now();
    let flow = decode_packet(&opening).expect("sound").key.into();
    let says = |from, holding| {
        AgentMessage::HolderAnswer(HolderAnswer { service: 1, from, revision: 1, flow, holding })
    };
    owner.handle(&says(claimants[0], Holding::Opening), 0, now);
    owner.handle(&says(claimants[1], Holding::Opening), 0, now);
    let packet = segment(40_000, false, false);
    let message = AgentMessage::Packet(envelope(owner_target, Delivery::Owner, &packet));
    let targets = |dispatch| match dispatch {
        Dispatch::PassOn(ways) => ways.iter().map(|way| way.target.0).collect::<Vec<_>>(),
        other => panic!("expected forwarding, found {other:?}"),
    };
    assert_eq!(targets(owner.handle(&message, 0, now)), claimants);
    owner.handle(&says(claimants[1], Holding::Open), 0, now);
    owner.handle(&says(claimants[0], Holding::Opening), 0, now);
    assert_eq!(targets(owner.handle(&message, 0, now)), [claimants[1]]);
}

/// An agent that holds a flow opening for long asks whether another has won it.
#[test]
fn an_agent_gives_up_an_opening_flow_that_another_has_open() {
    let document = document(1, &[]);
    let opening = segment(40_000, true, false);
    let own = owner(&document, &opening);
    let mut agent = agent(own, &document);
    let start = Instant::now();
    let message = AgentMessage::Packet(envelope(own, Delivery::Owner, &opening));
    let Dispatch::Open { key, .. } = agent.handle(&message, 0, start) else {
        panic!("the owner admits");
    };
    agent.flows.insert(key, (), start).expect("inserted");
    let packet = segment(40_000, false, false);
    let message = AgentMessage::Packet(envelope(own, Delivery::Owner, &packet));
    assert_eq!(agent.handle(&message, 0, start), Dispatch::Deliver(key));
    let later = start + Duration::from_secs(1);
    let Dispatch::Several(all) = agent.handle(&message, 0, later) else {
        panic!("the agent delivers and asks");
    };
    assert_eq!(all[0], Dispatch::Deliver(key));
    let Dispatch::Ask { query, .. } = all[1] else {
        panic!("the agent asks");
    };
    let open = HolderAnswer {
        service: 1,
        from: (own + 1) % AGENTS,
        revision: 1,
        flow: query.flow,
        holding: Holding::Open,
    };
    let Dispatch::Several(all) = agent.handle(&AgentMessage::HolderAnswer(open), 0, later) else {
        panic!("the agent gives up, and passes on what it held");
    };
    assert_eq!(all[0], Dispatch::Abandon(key));
    let Dispatch::Release { packets, pass_on } = &all[1] else {
        panic!("what was held back goes on");
    };
    assert_eq!(packets, &[packet.clone(), packet.clone()], "handed over young and when asking");
    assert_eq!(pass_on.target.0, open.from);
}

#[test]
fn a_deputy_acts_only_when_nobody_claims_the_flow() {
    let document = document(1, &[]);
    let opening = segment(40_000, true, true);
    let table = RoutingTable::build(&document, &KEY);
    let route = table.route(&decode_packet(&opening).expect("sound")).expect("route");
    let deputy_target = route.standby.expect("a deputy").target.0;
    let copy = AgentMessage::Packet(envelope(deputy_target, Delivery::Standby, &opening));
    let start = Instant::now();
    let later = start + Duration::from_secs(1);

    let mut deputy = agent(deputy_target, &document);
    assert_eq!(deputy.handle(&copy, 0, start), Dispatch::Learned);
    assert_eq!(deputy.take_due_standby(start), None);
    let due = deputy.take_due_standby(later).expect("nobody claimed it");
    assert_eq!(due.packet, opening);

    let mut deputy = agent(deputy_target, &document);
    deputy.handle(&copy, 0, start);
    let claim = HolderAnswer {
        service: 1,
        from: route.target.0,
        revision: 1,
        flow: due.key.into(),
        holding: Holding::Opening,
    };
    deputy.handle(&AgentMessage::HolderAnswer(claim), 0, start);
    assert_eq!(deputy.take_due_standby(later), None);

    // The deputy itself was the best candidate, and the flow is over already.
    let mut deputy = agent(deputy_target, &document);
    deputy.handle(&copy, 0, start);
    deputy.flows.insert(due.key, (), start).expect("inserted");
    deputy.flows.remove(&due.key, start);
    assert_eq!(deputy.take_due_standby(later), None);
}

#[test]
fn a_new_owner_finds_the_holder_after_a_change() {
    let before = document(1, &[]);
    let opening = segment(40_000, true, false);
    let old_owner = owner(&before, &opening);
    let after = document(2, &[old_owner]);
    let new_owner_target = owner(&after, &opening);
    assert_ne!(old_owner, new_owner_target);
    let now = Instant::now();
    let mut holder = agent(old_owner, &before);
    let message = AgentMessage::Packet(envelope(old_owner, Delivery::Owner, &opening));
    let Dispatch::Open { key, .. } = holder.handle(&message, 0, now) else {
        panic!("the first owner admits");
    };
    holder.flows.insert(key, (), now).expect("inserted");
    holder.opened(&key, false);
    holder.apply(AgentView::build(&after, &KEY, TargetId(old_owner)), now);

    let mut new_owner = agent(new_owner_target, &after);
    let packet = segment(40_000, false, false);
    let message = AgentMessage::Packet(envelope(new_owner_target, Delivery::Owner, &packet));
    let Dispatch::Ask { query, .. } = new_owner.handle(&message, 0, now) else {
        panic!("the new owner asks");
    };
    let Dispatch::Answer { answer, .. } = holder.handle(&AgentMessage::HolderQuery(query), 0, now)
    else {
        panic!("the holder answers");
    };
    assert_eq!(answer.holding, Holding::Open);
    let released = new_owner.handle(&AgentMessage::HolderAnswer(answer), 0, now);
    let Dispatch::Release { packets, pass_on } = released else {
        panic!("the held packet goes on");
    };
    assert_eq!(packets, [packet]);
    assert_eq!(pass_on.target.0, old_owner);
}

#[test]
fn resets_are_never_answered_by_resets() {
    let document = document(1, &[]);
    let mut packet = Vec::new();
    PacketBuilder::ipv4([198, 18, 0, 1], [203, 0, 113, 10], 64)
        .tcp(40_000, 8_443, 1, 0)
        .rst()
        .write(&mut packet, &[])
        .expect("packet");
    let lonely = ConfigDocument { targets: vec![document.targets[0].clone()], ..document };
    let mut agent = agent(0, &lonely);
    let message = AgentMessage::Packet(envelope(0, Delivery::Owner, &packet));
    let dropped = agent.handle(&message, 0, Instant::now());
    assert_eq!(dropped, Dispatch::Drop("reset_of_unknown_flow"));
}

#[test]
fn packets_do_not_travel_for_ever() {
    let document = document(1, &[0]);
    let packet = segment(40_000, true, true);
    let mut agent = agent(0, &document);
    let mut envelope = envelope(0, Delivery::Owner, &packet);
    envelope.hops = 12;
    let dropped = agent.handle(&AgentMessage::Packet(envelope), 0, Instant::now());
    assert_eq!(dropped, Dispatch::Drop("too_many_hops"));
}
