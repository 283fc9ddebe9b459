//! Decisions of the dispatcher about packets, also while balancers and agents have different
//! configuration revisions.

mod support;

use std::time::{Duration, Instant};

use etherparse::PacketBuilder;
use weirhinge_agent::dispatch::{Decision, Dispatcher};
use weirhinge_agent::view::AgentView;
use weirhinge_config::{ConfigDocument, TargetId};
use weirhinge_packet::decode_packet;
use weirhinge_routing::RoutingTable;
use weirhinge_wire::{AgentMessage, Delivery, HolderAnswer, Holding, PacketEnvelope};

use support::{AGENTS, KEY, agent, document, envelope, owner, segment};

#[test]
fn owner_admits_then_delivers() {
    let document = document(1, &[]);
    let packet = segment(40_000, true, true);
    let owner = owner(&document, &packet);
    let mut agent = agent(owner, &document);
    let message = AgentMessage::Packet(envelope(owner, Delivery::Owner, &packet));
    let now = Instant::now();
    let Decision::Open { key, announce } = agent.handle(&message, 0, now) else {
        panic!("expected the owner to admit the flow");
    };
    assert_eq!(announce.len(), 1, "the claim is announced to the standby owner");
    agent.flows.insert(key, (), now).expect("inserted");
    assert_eq!(agent.handle(&message, 0, now), Decision::Deliver(key));
}

#[test]
fn packet_for_other_service_or_target_is_dropped() {
    let document = document(1, &[]);
    let mut agent = agent(0, &document);
    let packet = segment(40_000, true, true);
    let valid = envelope(0, Delivery::Owner, &packet);
    let mut decide = |envelope| agent.handle(&AgentMessage::Packet(envelope), 0, Instant::now());
    assert_eq!(decide(PacketEnvelope { service: 2, ..valid }), Decision::Drop("wrong_service"));
    assert_eq!(decide(PacketEnvelope { target: 1, ..valid }), Decision::Drop("wrong_target"));
    // The address now belongs to service 2, but a stale balancer's envelope names service 1.
    let mut moved = packet.clone();
    moved[19] = 20;
    let moved = PacketEnvelope { packet: &moved, ..valid };
    assert_eq!(decide(moved), Decision::Drop("wrong_destination"));
}

#[test]
fn malformed_packets_are_dropped_with_reason() {
    let document = document(1, &[]);
    let mut agent = agent(0, &document);
    let mut packet = segment(40_000, true, true);
    let last = packet.len() - 1;
    packet[last] ^= 1;
    let message = AgentMessage::Packet(envelope(0, Delivery::Owner, &packet));
    assert_eq!(agent.handle(&message, 0, Instant::now()), Decision::Drop("bad_checksum"));
    let message = AgentMessage::Packet(envelope(0, Delivery::Owner, &packet[..10]));
    assert_eq!(agent.handle(&message, 0, Instant::now()), Decision::Drop("truncated"));
}

#[test]
fn draining_target_passes_on_flow_from_stale_balancer() {
    let before = document(1, &[]);
    let packet = segment(40_000, true, true);
    let draining = owner(&before, &packet);
    let mut agent = agent(draining, &document(2, &[draining]));
    let message = AgentMessage::Packet(envelope(draining, Delivery::Owner, &packet));
    let Decision::PassOn(next_hops) = agent.handle(&message, 0, Instant::now()) else {
        panic!("expected the draining target to pass the flow on");
    };
    assert_eq!(next_hops.len(), 1);
    assert_ne!(next_hops[0].target.0, draining);
}

#[test]
fn stopping_agent_admits_no_flow() {
    let document = document(1, &[]);
    let packet = segment(40_000, true, true);
    let owner = owner(&document, &packet);
    let mut agent = agent(owner, &document);
    agent.begin_shutdown();
    let message = AgentMessage::Packet(envelope(owner, Delivery::Owner, &packet));
    assert!(matches!(agent.handle(&message, 0, Instant::now()), Decision::PassOn(_)));
}

#[test]
fn unknown_flow_is_reset_only_after_all_agents_deny_it() {
    let document = document(1, &[]);
    let packet = segment(40_000, false, false);
    let owner = owner(&document, &packet);
    let mut agent = agent(owner, &document);
    let start = Instant::now();
    let message = AgentMessage::Packet(envelope(owner, Delivery::Owner, &packet));
    let Decision::Query { query, agents } = agent.handle(&message, 0, start) else {
        panic!("expected the owner to query the other agents first");
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
    let other_targets: Vec<u16> = (0..AGENTS).filter(|&target| target != owner).collect();
    for &other in &other_targets[1..] {
        agent.handle(&answer(other), 0, start);
    }
    let later = start + Duration::from_secs(3);
    assert!(matches!(agent.handle(&message, 0, later), Decision::Query { .. }));
    agent.handle(&answer(other_targets[0]), 0, later);
    assert!(matches!(agent.handle(&message, 0, later), Decision::Reset { .. }));
}

/// An agent that does not know a new target yet cannot query it, and would reset the new target's
/// flow as unknown.
#[test]
fn agent_with_stale_configuration_resets_no_flow() {
    let old =
        ConfigDocument { targets: document(1, &[]).targets[..2].to_vec(), ..document(1, &[]) };
    let packet = segment(40_000, false, false);
    let own = owner(&old, &packet);
    let mut agent = agent(own, &old);
    let now = Instant::now();
    let mut fresh = envelope(own, Delivery::Owner, &packet);
    fresh.revision = 2;
    let message = AgentMessage::Packet(fresh);
    let Decision::Query { query, .. } = agent.handle(&message, 0, now) else {
        panic!("expected the owner to query the other agents");
    };
    let denial = HolderAnswer {
        service: 1,
        from: 1 - own,
        revision: 1,
        flow: query.flow,
        holding: Holding::Not,
    };
    agent.handle(&AgentMessage::HolderAnswer(denial), 0, now);
    assert_eq!(agent.handle(&message, 0, now), Decision::Drop("stale_view"));
    let caught_up = ConfigDocument { revision: 2, ..old };
    agent.apply(AgentView::build(&caught_up, &KEY, TargetId(own)), now);
    assert!(matches!(agent.handle(&message, 0, now), Decision::Reset { .. }));
}

#[test]
fn new_target_admits_no_flow_before_join_delay() {
    let document = document(1, &[]);
    let packet = segment(40_000, true, true);
    let own = owner(&document, &packet);
    let view = AgentView::build(&document, &KEY, TargetId(own));
    let start = Instant::now();
    let mut agent: Dispatcher<()> = Dispatcher::new(TargetId(own), 1, 16, view.clone(), start);
    agent.apply(view, start);
    let message = AgentMessage::Packet(envelope(own, Delivery::Owner, &packet));
    assert!(matches!(agent.handle(&message, 0, start), Decision::PassOn(_)));
    let other = segment(40_001, true, true);
    let later = start + Duration::from_secs(3);
    let message = AgentMessage::Packet(envelope(own, Delivery::Assigned, &other));
    assert!(matches!(agent.handle(&message, 0, later), Decision::Open { .. }));
}

/// After a change of owner, holders announce flows without hints to the new owner at once.
#[test]
fn holder_announces_flow_to_new_owner() {
    let before = document(1, &[]);
    let opening = segment(40_000, true, false);
    let old_owner = owner(&before, &opening);
    let after = document(2, &[old_owner]);
    let mut holder = agent(old_owner, &before);
    let now = Instant::now();
    let message = AgentMessage::Packet(envelope(old_owner, Delivery::Owner, &opening));
    let Decision::Open { key, .. } = holder.handle(&message, 0, now) else {
        panic!("expected the first owner to admit the flow");
    };
    holder.flows.insert(key, (), now).expect("inserted");
    assert!(
        holder.note_opened(&key, false).is_none(),
        "the holder is the owner, so there is nothing to announce"
    );
    let view = AgentView::build(&after, &KEY, TargetId(old_owner));
    let announcements = holder.apply(view, now);
    assert_eq!(announcements.len(), 1);
    assert_eq!(announcements[0].agent.port(), 7_000 + owner(&after, &opening));
    assert_eq!(announcements[0].answer.holding, Holding::Open);
}

#[test]
fn flow_without_timestamps_is_forwarded_by_owner() {
    let document = document(1, &[]);
    let opening = segment(40_000, true, false);
    let owner_target = owner(&document, &opening);
    let holder_target = (owner_target + 1) % AGENTS;
    let mut holder = agent(holder_target, &document);
    let now = Instant::now();
    let assigned = AgentMessage::Packet(envelope(holder_target, Delivery::Assigned, &opening));
    let Decision::Open { key, announce } = holder.handle(&assigned, 0, now) else {
        panic!("expected the holder to admit the flow");
    };
    let announcement = announce[0];
    assert_eq!(announcement.agent.port(), 7_000 + owner_target);
    holder.flows.insert(key, (), now).expect("inserted");
    let mut owner = agent(owner_target, &document);
    let claim = AgentMessage::HolderAnswer(announcement.answer);
    assert_eq!(owner.handle(&claim, 0, now), Decision::Recorded);
    // A retransmitted opening packet goes to the same agent.
    let message = AgentMessage::Packet(envelope(owner_target, Delivery::Owner, &opening));
    let Decision::PassOn(next_hops) = owner.handle(&message, 0, now) else {
        panic!("expected the owner to pass the packet to the claimant");
    };
    assert_eq!((next_hops[0].target.0, next_hops[0].delivery), (holder_target, Delivery::Assigned));
    let packet = segment(40_000, false, false);
    let message = AgentMessage::Packet(envelope(owner_target, Delivery::Owner, &packet));
    let Decision::PassOn(next_hops) = owner.handle(&message, 0, now) else {
        panic!("expected the owner to forward the packet");
    };
    assert_eq!(
        (next_hops[0].target.0, next_hops[0].delivery),
        (holder_target, Delivery::Forwarded)
    );
    let message = AgentMessage::Packet(envelope(holder_target, Delivery::Forwarded, &packet));
    assert_eq!(holder.handle(&message, 0, now), Decision::Deliver(key));
}

/// Two agents answer the same opening packet. If the owner records only the claimant whose answer
/// the client did not take up, the flow's packets are never answered.
#[test]
fn packets_go_to_all_claimants_until_one_is_open() {
    let document = document(1, &[]);
    let opening = segment(40_000, true, false);
    let owner_target = owner(&document, &opening);
    let claimants = [(owner_target + 1) % AGENTS, (owner_target + 2) % AGENTS];
    let mut owner = agent(owner_target, &document);
    let now = Instant::now();
    let flow = decode_packet(&opening).expect("valid packet").key.into();
    let answer_from = |from, holding| {
        AgentMessage::HolderAnswer(HolderAnswer { service: 1, from, revision: 1, flow, holding })
    };
    owner.handle(&answer_from(claimants[0], Holding::Opening), 0, now);
    owner.handle(&answer_from(claimants[1], Holding::Opening), 0, now);
    let packet = segment(40_000, false, false);
    let message = AgentMessage::Packet(envelope(owner_target, Delivery::Owner, &packet));
    let targets = |dispatch| match dispatch {
        Decision::PassOn(next_hops) => {
            next_hops.iter().map(|next_hop| next_hop.target.0).collect::<Vec<_>>()
        }
        other => panic!("expected PassOn, found {other:?}"),
    };
    assert_eq!(targets(owner.handle(&message, 0, now)), claimants);
    owner.handle(&answer_from(claimants[1], Holding::Open), 0, now);
    owner.handle(&answer_from(claimants[0], Holding::Opening), 0, now);
    assert_eq!(targets(owner.handle(&message, 0, now)), [claimants[1]]);
}

/// An agent whose flow stays half-open queries the other agents, one of which may have it open.
#[test]
fn half_open_flow_is_abandoned_if_open_elsewhere() {
    let document = document(1, &[]);
    let opening = segment(40_000, true, false);
    let own = owner(&document, &opening);
    let mut agent = agent(own, &document);
    let start = Instant::now();
    let message = AgentMessage::Packet(envelope(own, Delivery::Owner, &opening));
    let Decision::Open { key, .. } = agent.handle(&message, 0, start) else {
        panic!("expected the owner to admit the flow");
    };
    agent.flows.insert(key, (), start).expect("inserted");
    let packet = segment(40_000, false, false);
    let message = AgentMessage::Packet(envelope(own, Delivery::Owner, &packet));
    assert_eq!(agent.handle(&message, 0, start), Decision::Deliver(key));
    let later = start + Duration::from_secs(1);
    let Decision::Multiple(all) = agent.handle(&message, 0, later) else {
        panic!("expected the agent to deliver the packet and query the other agents");
    };
    assert_eq!(all[0], Decision::Deliver(key));
    let Decision::Query { query, .. } = all[1] else {
        panic!("expected a query to the other agents");
    };
    let open = HolderAnswer {
        service: 1,
        from: (own + 1) % AGENTS,
        revision: 1,
        flow: query.flow,
        holding: Holding::Open,
    };
    let Decision::Multiple(all) = agent.handle(&AgentMessage::HolderAnswer(open), 0, later) else {
        panic!("expected the agent to abandon the flow and forward its packets");
    };
    assert_eq!(all[0], Decision::Abandon(key));
    let Decision::ForwardBuffered { packets, next_hop } = &all[1] else {
        panic!("expected the buffered packets to be forwarded");
    };
    assert_eq!(
        packets,
        &[packet.clone(), packet.clone()],
        "packets buffered before and during the query"
    );
    assert_eq!(next_hop.target.0, open.from);
}

#[test]
fn standby_owner_acts_only_on_unclaimed_flow() {
    let document = document(1, &[]);
    let opening = segment(40_000, true, true);
    let table = RoutingTable::build(&document, &KEY);
    let route = table.route(&decode_packet(&opening).expect("valid packet")).expect("route");
    let standby_target = route.standby.expect("a standby owner").target.0;
    let copy = AgentMessage::Packet(envelope(standby_target, Delivery::Standby, &opening));
    let start = Instant::now();
    let later = start + Duration::from_secs(1);

    let mut standby_owner = agent(standby_target, &document);
    assert_eq!(standby_owner.handle(&copy, 0, start), Decision::Recorded);
    assert_eq!(standby_owner.take_due_standby(start), None);
    let due = standby_owner.take_due_standby(later).expect("unclaimed standby copy is due");
    assert_eq!(due.packet, opening);

    let mut standby_owner = agent(standby_target, &document);
    standby_owner.handle(&copy, 0, start);
    let claim = HolderAnswer {
        service: 1,
        from: route.target.0,
        revision: 1,
        flow: due.key.into(),
        holding: Holding::Opening,
    };
    standby_owner.handle(&AgentMessage::HolderAnswer(claim), 0, start);
    assert_eq!(standby_owner.take_due_standby(later), None);

    // The standby owner itself has admitted the flow, and the flow has already ended.
    let mut standby_owner = agent(standby_target, &document);
    standby_owner.handle(&copy, 0, start);
    standby_owner.flows.insert(due.key, (), start).expect("inserted");
    standby_owner.flows.remove(&due.key, start);
    assert_eq!(standby_owner.take_due_standby(later), None);
}

#[test]
fn new_owner_finds_holder_after_change() {
    let before = document(1, &[]);
    let opening = segment(40_000, true, false);
    let old_owner = owner(&before, &opening);
    let after = document(2, &[old_owner]);
    let new_owner_target = owner(&after, &opening);
    assert_ne!(old_owner, new_owner_target);
    let now = Instant::now();
    let mut holder = agent(old_owner, &before);
    let message = AgentMessage::Packet(envelope(old_owner, Delivery::Owner, &opening));
    let Decision::Open { key, .. } = holder.handle(&message, 0, now) else {
        panic!("expected the first owner to admit the flow");
    };
    holder.flows.insert(key, (), now).expect("inserted");
    holder.note_opened(&key, false);
    holder.apply(AgentView::build(&after, &KEY, TargetId(old_owner)), now);

    let mut new_owner = agent(new_owner_target, &after);
    let packet = segment(40_000, false, false);
    let message = AgentMessage::Packet(envelope(new_owner_target, Delivery::Owner, &packet));
    let Decision::Query { query, .. } = new_owner.handle(&message, 0, now) else {
        panic!("expected the new owner to query the other agents");
    };
    let Decision::Answer { answer, .. } = holder.handle(&AgentMessage::HolderQuery(query), 0, now)
    else {
        panic!("expected the holder to answer the query");
    };
    assert_eq!(answer.holding, Holding::Open);
    let forwarded = new_owner.handle(&AgentMessage::HolderAnswer(answer), 0, now);
    let Decision::ForwardBuffered { packets, next_hop } = forwarded else {
        panic!("expected the buffered packet to be forwarded");
    };
    assert_eq!(packets, [packet]);
    assert_eq!(next_hop.target.0, old_owner);
}

#[test]
fn reset_is_not_answered_by_reset() {
    let document = document(1, &[]);
    let mut packet = Vec::new();
    PacketBuilder::ipv4([198, 18, 0, 1], [203, 0, 113, 10], 64)
        .tcp(40_000, 8_443, 1, 0)
        .rst()
        .write(&mut packet, &[])
        .expect("packet");
    let single_target = ConfigDocument { targets: vec![document.targets[0].clone()], ..document };
    let mut agent = agent(0, &single_target);
    let message = AgentMessage::Packet(envelope(0, Delivery::Owner, &packet));
    let dropped = agent.handle(&message, 0, Instant::now());
    assert_eq!(dropped, Decision::Drop("reset_of_unknown_flow"));
}

#[test]
fn packet_over_hop_limit_is_dropped() {
    let document = document(1, &[0]);
    let packet = segment(40_000, true, true);
    let mut agent = agent(0, &document);
    let mut envelope = envelope(0, Delivery::Owner, &packet);
    envelope.hops = 12;
    let dropped = agent.handle(&AgentMessage::Packet(envelope), 0, Instant::now());
    assert_eq!(dropped, Decision::Drop("too_many_hops"));
}
