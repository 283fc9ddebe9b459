//! Openings queued at a balancer until an agent grants capacity: their order, and how they are
//! handled when messages are lost, duplicated or late.

mod support;

use std::collections::BTreeSet;
use std::net::{Ipv4Addr, SocketAddrV4};

use support::queue::{
    BUDGET, granted_flow, is_overloaded, is_queued, retransmission, route, store, top_ranked_flows,
    urgent, urgent_endpoint,
};
use support::{
    Fixture, LATER, OTHER, SERVICE, Store, agent, data, endpoint, flow, forwarded, opening,
};
use weirhinge_fleet::{ReturnReason, ServiceId, TargetState};
use weirhinge_steering::{Decision, DropReason, FlowKey, ForwardReason, ResetReason};

#[test]
fn opening_without_capacity_is_queued_and_two_agents_are_asked() {
    let mut fixture = Fixture::new(&store(4));
    let flows = top_ranked_flows(2);
    let Decision::Queue { ask, service, demand, .. } =
        fixture.open_without_capacity(flows[0], LATER)
    else {
        panic!("expected the opening to be queued");
    };
    assert_eq!((ask.len(), service), (2, ServiceId::of(SERVICE)));
    assert_eq!((demand.others.count, demand.urgent.count), (1, 0));
    // The next opening is queued without trying a target first.
    let Decision::Queue { ask: next_asked, demand, .. } =
        fixture.client(&opening(flows[1]), LATER + 7)
    else {
        panic!("expected the opening to be queued");
    };
    assert_eq!((demand.others.count, demand.others.oldest_ms), (2, 7));
    let asked: BTreeSet<Ipv4Addr> = ask.into_iter().chain(next_asked).collect();
    assert_eq!(asked.len(), 4, "the second request goes to other agents");
}

#[test]
fn opening_without_an_objective_waits_at_one_target() {
    let mut fixture = Fixture::new(&Store::with_targets(4));
    let decision = fixture.open_without_capacity(flow(1), LATER);
    assert_eq!(forwarded(&decision).reason, ForwardReason::OpeningWaits);
    assert_eq!(fixture.balancer.queue_length(), 0);
}

#[test]
fn grants_are_used_in_arrival_order() {
    let mut fixture = Fixture::new(&store(2));
    let flows = top_ranked_flows(3);
    for (flow, now) in flows.iter().zip(LATER..) {
        fixture.queue(*flow, now);
    }
    let answer = fixture.grant(1, LATER + 10);
    let granted = answer.granted.expect("the first opening uses the grant");
    let forward = forwarded(&granted.decision);
    assert_eq!((forward.agent, forward.reason), (agent(1), ForwardReason::OpeningGranted));
    assert!(!forward.may_wait() && !forward.urgent);
    assert_eq!((granted.header.client_flow(), granted.waited_ms), (flows[0], 10));
    assert_eq!(granted.bytes, b"packet");
    assert_eq!(fixture.serve(2, LATER + 11), Some((flows[1], 1)));
    assert_eq!(fixture.serve(1, LATER + 12), Some((flows[2], 0)));
    // A grant is declined if no opening is left, and so is a duplicate grant.
    assert_eq!(fixture.serve(1, LATER + 12), None);
    let direct = fixture.client(&opening(flow(9)), LATER + 13);
    assert_eq!(forwarded(&direct).reason, ForwardReason::Opened);
}

#[test]
fn urgent_openings_are_served_first() {
    let mut fixture = Fixture::new(&store(2));
    let flows = top_ranked_flows(3);
    fixture.queue(flows[0], LATER);
    // Queued non-urgent openings do not delay an urgent one: it tries a target first.
    let direct = fixture.client(&opening(urgent(flows[1])), LATER + 1);
    assert_eq!(forwarded(&direct).reason, ForwardReason::Opened);
    let from = forwarded(&direct).agent;
    let header = opening(urgent(flows[1]));
    assert!(is_queued(&fixture.returned(&header, from, ReturnReason::Busy, LATER + 1)));
    let answer = fixture.grant(1, LATER + 2);
    assert_eq!(granted_flow(&answer), Some(urgent(flows[1])));
    assert!(forwarded(&answer.granted.expect("the grant is used").decision).urgent);
    // Capacity granted for urgent openings only is not used for others.
    assert_eq!(granted_flow(&fixture.grant_for(true, agent(1), LATER + 3)), None);
    assert_eq!(granted_flow(&fixture.grant(1, LATER + 3)), Some(flows[0]));
}

#[test]
fn non_urgent_openings_get_one_grant_in_eight() {
    let mut fixture = Fixture::new(&store(2));
    let flows = top_ranked_flows(40);
    fixture.queue(flows[0], LATER);
    fixture.queue(flows[1], LATER);
    let mut served = Vec::new();
    for (round, flow) in flows[2..34].iter().enumerate() {
        let now = LATER + 1 + round as u64;
        fixture.queue(urgent(*flow), now);
        let flow = granted_flow(&fixture.grant(1, now)).expect("an opening is queued");
        served.push(flow.service == urgent_endpoint());
    }
    let others: Vec<usize> = (0..served.len()).filter(|place| !served[*place]).collect();
    assert_eq!(others, [7, 15]);
}

#[test]
fn retransmission_of_a_queued_opening_is_dropped() {
    let mut fixture = Fixture::new(&store(2));
    let flows = top_ranked_flows(2);
    fixture.queue(flows[0], LATER);
    fixture.queue(flows[1], LATER + 1);
    let dropped = Decision::Drop(DropReason::OpeningQueued);
    assert_eq!(fixture.client(&retransmission(flows[0], 1), LATER + 200), dropped);
    // A late return of a retransmission does not queue the opening a second time.
    let returned = fixture.returned(&opening(flows[0]), agent(2), ReturnReason::Busy, LATER + 201);
    assert_eq!(returned, dropped);
    assert_eq!(fixture.balancer.queue_length(), 2);
    assert_eq!(fixture.serve(1, LATER + 550), Some((flows[0], 1)));
    let repeated = fixture.client(&retransmission(flows[0], 2), LATER + 600);
    assert_eq!(forwarded(&repeated).agent, agent(1));
    assert_eq!(forwarded(&repeated).reason, ForwardReason::OpeningRepeated);
    assert_eq!(fixture.serve(2, LATER + 601), Some((flows[1], 0)));
    assert_eq!(fixture.serve(2, LATER + 602), None);
}

#[test]
fn retransmission_moves_when_the_granting_target_is_unresponsive() {
    let mut fixture = Fixture::new(&store(2));
    let flow = top_ranked_flows(1)[0];
    fixture.queue(flow, LATER);
    assert_eq!(fixture.serve(1, LATER + 10), Some((flow, 0)));
    let moved = fixture.client(&retransmission(flow, 1), LATER + 200);
    assert_eq!(forwarded(&moved).agent, agent(2));
    assert_eq!(forwarded(&moved).reason, ForwardReason::OpeningMoved);
}

/// An agent may report capacity precisely because its target does not answer anything.
#[test]
fn unresponsive_granting_target_gets_no_more_openings() {
    let mut fixture = Fixture::new(&store(2));
    let flows = top_ranked_flows(3);
    for flow in &flows {
        fixture.queue(*flow, LATER);
    }
    assert_eq!(fixture.serve(1, LATER + 10), Some((flows[0], 2)));
    assert_eq!(fixture.serve(1, LATER + 160), None);
    assert_eq!(fixture.serve(2, LATER + 161), Some((flows[1], 1)));
}

#[test]
fn returned_granted_opening_is_served_next() {
    for reason in [ReturnReason::Busy, ReturnReason::Leaving, ReturnReason::Failing] {
        let mut fixture = Fixture::new(&store(3));
        let flows = top_ranked_flows(3);
        for flow in &flows {
            fixture.queue(*flow, LATER);
        }
        assert_eq!(fixture.serve(1, LATER + 10), Some((flows[0], 2)));
        let header = opening(flows[0]);
        let decision = fixture.returned_granted(&header, agent(1), reason, LATER + 12);
        assert!(is_queued(&decision), "{reason:?}: {decision:?}");
        assert_eq!(fixture.serve(2, LATER + 20), Some((flows[0], 2)), "{reason:?}");
        assert_eq!(fixture.serve(2, LATER + 30), Some((flows[1], 1)), "{reason:?}");
    }
}

#[test]
fn granted_opening_returned_too_late_is_refused() {
    let mut fixture = Fixture::new(&store(3));
    let flows = top_ranked_flows(3);
    fixture.queue(flows[0], LATER);
    fixture.queue(flows[1], LATER + 500);
    assert_eq!(fixture.serve(1, LATER + BUDGET - 1), Some((flows[0], 1)));
    let header = opening(flows[0]);
    let late = LATER + BUDGET + 1;
    let decision = fixture.returned_granted(&header, agent(1), ReturnReason::Busy, late);
    assert!(is_overloaded(&decision), "{decision:?}");
    assert_eq!(fixture.balancer.queue_length(), 1);
}

#[test]
fn queue_without_grants_refuses_all_and_recovers() {
    let mut fixture = Fixture::new(&store(2));
    let flows = top_ranked_flows(5);
    for flow in &flows {
        fixture.queue(*flow, LATER);
    }
    assert!(fixture.refuse_overdue(LATER + BUDGET - 1).is_empty());
    assert!(fixture.balancer.next_due().is_some_and(|due| due <= LATER + BUDGET));
    let refused = fixture.refuse_overdue(LATER + BUDGET);
    assert_eq!(refused.len(), flows.len());
    assert!(refused.iter().all(|opening| is_overloaded(&opening.decision)));
    assert_eq!((fixture.balancer.queue_length(), fixture.balancer.next_due()), (0, None));
    assert_eq!(fixture.serve(1, LATER + BUDGET), None);
    let direct = fixture.client(&opening(flow(9)), LATER + BUDGET);
    assert_eq!(forwarded(&direct).reason, ForwardReason::Opened);
}

#[test]
fn further_agents_are_asked_while_openings_wait() {
    let mut fixture = Fixture::new(&store(6));
    let Decision::Queue { ask, .. } = fixture.open_without_capacity(top_ranked_flows(1)[0], LATER)
    else {
        panic!("expected the opening to be queued");
    };
    let mut asked: BTreeSet<Ipv4Addr> = ask.into_iter().collect();
    for step in 1..=2 {
        let now = LATER + step * 25;
        assert!(fixture.due_capacity_requests(now - 1).is_empty(), "no request is due yet");
        assert!(fixture.balancer.next_due().is_some_and(|due| due <= now));
        let requests = fixture.due_capacity_requests(now);
        assert_eq!(requests.len(), 1);
        assert_eq!((requests[0].agents.len(), requests[0].demand.others.count), (2, 1));
        asked.extend(&requests[0].agents);
    }
    assert_eq!(asked.len(), 6, "all agents are asked in turn");
    assert!(fixture.due_capacity_requests(LATER + 75).is_empty(), "every agent was asked recently");
    assert_eq!(
        fixture.due_capacity_requests(LATER + 100)[0].agents.len(),
        2,
        "the first agents are asked again"
    );
}

/// Demand reported to agents expires, so agents without capacity at the time must be asked again
/// even while another one grants capacity.
#[test]
fn further_agents_are_asked_although_one_grants() {
    let mut fixture = Fixture::new(&store(6));
    for flow in top_ranked_flows(6) {
        fixture.queue(flow, LATER);
    }
    for now in [LATER + 10, LATER + 20, LATER + 95] {
        let (served, _) = fixture.serve(1, now).expect("an opening is queued");
        fixture.balancer.note_holder(served, agent(1), false, 0, now);
    }
    assert_eq!(fixture.due_capacity_requests(LATER + 100)[0].agents.len(), 2);
}

#[test]
fn grant_of_a_target_without_new_flows_is_declined() {
    let mut state = store(4);
    let mut fixture = Fixture::new(&state);
    fixture.queue(top_ranked_flows(1)[0], LATER);
    state.target(1, SERVICE, Some(TargetState::Draining), LATER);
    state.target(2, SERVICE, None, LATER);
    state.target(2, OTHER, Some(TargetState::Ready), LATER);
    state.target(61, SERVICE, Some(TargetState::Ready), LATER);
    state.evacuate(&["b"], LATER);
    fixture.view = state.view();
    for number in [1, 2, 61, 99] {
        assert_eq!(fixture.serve(number, LATER + 10), None, "agent {number}");
    }
    assert!(fixture.serve(3, LATER + 11).is_some());
}

#[test]
fn queued_opening_is_reset_when_its_route_is_removed() {
    let mut state = store(2);
    let mut fixture = Fixture::new(&state);
    let flows = top_ranked_flows(2);
    fixture.queue(flows[0], LATER);
    fixture.queue(urgent(flows[1]), LATER);
    state.configure(vec![route(urgent_endpoint(), SERVICE, 1)]);
    fixture.view = state.view();
    assert_eq!(granted_flow(&fixture.grant(1, LATER + 10)), Some(urgent(flows[1])));
    let answer = fixture.grant(1, LATER + 11);
    assert_eq!(answer.granted, None);
    let no_route = Decision::Reset { sequence: 0, reason: ResetReason::NoRoute };
    assert_eq!(answer.resolved.len(), 1);
    assert_eq!(answer.resolved[0].decision, no_route);
    assert_eq!(fixture.balancer.queue_length(), 0);
}

#[test]
fn queued_opening_follows_its_route_to_another_service() {
    let mut state = store(2);
    state.target(11, OTHER, Some(TargetState::Ready), 0);
    let mut fixture = Fixture::new(&state);
    let flow = top_ranked_flows(1)[0];
    fixture.queue(flow, LATER);
    state.configure(vec![route(endpoint(), OTHER, 2)]);
    fixture.view = state.view();
    let answer = fixture.grant(1, LATER + 10);
    assert_eq!(answer.granted, None);
    let forward = forwarded(&answer.resolved[0].decision);
    assert_eq!((forward.agent, forward.service), (agent(11), ServiceId::of(OTHER)));
    // The opening keeps its age: its budget still counts from its first packet.
    let from = agent(11);
    let decision = fixture.returned(&opening(flow), from, ReturnReason::Busy, LATER + 20);
    let Decision::Queue { inputs, .. } = decision else { panic!("{decision:?}") };
    assert_eq!(inputs.budget_ms, BUDGET - 20);
}

/// The unresponsive target may have opened the flow, so the flow must not be reset.
#[test]
fn opening_is_not_reset_if_an_unresponsive_target_may_hold_it() {
    let mut fixture = Fixture::new(&store(4));
    let flow = top_ranked_flows(1)[0];
    let unresponsive = forwarded(&fixture.client(&opening(flow), LATER)).agent;
    let header = retransmission(flow, 1);
    let moved = forwarded(&fixture.client(&header, LATER + 200)).agent;
    assert_ne!(unresponsive, moved);
    // The first target's late return as busy arrives after the packet went elsewhere.
    let late = fixture.returned(&header, unresponsive, ReturnReason::Busy, LATER + 201);
    assert_eq!(late, Decision::Drop(DropReason::OpeningElsewhere));
    assert!(is_queued(&fixture.returned(&header, moved, ReturnReason::Busy, LATER + 202)));
    let refused = fixture.refuse_overdue(LATER + BUDGET);
    assert_eq!(refused.len(), 1);
    assert_eq!(refused[0].decision, Decision::Drop(DropReason::OpeningRefused));
}

#[test]
fn late_answer_removes_the_opening_from_the_queue() {
    let mut fixture = Fixture::new(&store(4));
    let flow = top_ranked_flows(1)[0];
    let holder = forwarded(&fixture.client(&opening(flow), LATER)).agent;
    let header = retransmission(flow, 1);
    let moved = forwarded(&fixture.client(&header, LATER + 200)).agent;
    assert!(is_queued(&fixture.returned(&header, moved, ReturnReason::Busy, LATER + 202)));
    fixture.balancer.note_holder(flow, holder, false, 0, LATER + 210);
    assert_eq!(fixture.balancer.queue_length(), 0);
    let held = fixture.client(&data(flow), LATER + 211);
    assert_eq!(forwarded(&held).agent, holder);
    assert_eq!(forwarded(&held).reason, ForwardReason::Held);
}

#[test]
fn client_data_removes_the_opening_from_the_queue() {
    let mut fixture = Fixture::new(&store(2));
    let flow = top_ranked_flows(1)[0];
    fixture.queue(flow, LATER);
    let decision = fixture.client(&data(flow), LATER + 10);
    assert_eq!(forwarded(&decision).reason, ForwardReason::Search);
    assert_eq!(fixture.balancer.queue_length(), 0);
    assert_eq!(fixture.serve(1, LATER + 11), None);
}

/// Twice as many openings arrive as are admitted, until the queue is full.
#[test]
fn queue_is_bounded() {
    let mut fixture = Fixture::new(&store(2));
    let first_flow = top_ranked_flows(1)[0];
    let mut port = 0;
    let mut longest = 0;
    for now in LATER..LATER + 400 {
        for _ in 0..40 {
            port += 1;
            let client = SocketAddrV4::new(*first_flow.client.ip(), port);
            fixture.open_without_capacity(FlowKey { client, ..first_flow }, now);
        }
        for _ in 0..20 {
            let Some(flow) = granted_flow(&fixture.grant(1, now)) else { break };
            fixture.balancer.note_holder(flow, agent(1), false, 0, now);
        }
        longest = longest.max(fixture.balancer.queue_length());
    }
    assert!((1_000..=4_096).contains(&longest), "{longest}");
}
