//! Openings that wait at a balancer until an agent grants room: which goes first, and what
//! becomes of them when messages are lost, doubled or late.

mod support;

use std::collections::BTreeSet;
use std::net::{Ipv4Addr, SocketAddrV4};

use support::queue::{
    BUDGET, copy, first_ranked, granted_flow, is_overloaded, is_queued, route, store, urgent,
    urgent_endpoint,
};
use support::{
    Fixture, LATER, OTHER, SERVICE, Store, agent, data, endpoint, flow, forwarded, opening,
};
use weirhinge_fleet::{ReturnReason, ServiceId, TargetState};
use weirhinge_steering::{Decision, DropReason, FlowKey, ForwardReason, ResetReason};

#[test]
fn an_opening_without_room_waits_and_two_agents_are_asked() {
    let mut fixture = Fixture::new(&store(4));
    let flows = first_ranked(2);
    let Decision::Queue { ask, service, demand, .. } = fixture.open_at_busy(flows[0], LATER) else {
        panic!("the opening waits");
    };
    assert_eq!((ask.len(), service), (2, ServiceId::of(SERVICE)));
    assert_eq!((demand.others.count, demand.urgent.count), (1, 0));
    // The next one does not try a target before it.
    let Decision::Queue { ask: further, demand, .. } =
        fixture.client(&opening(flows[1]), LATER + 7)
    else {
        panic!("the opening waits");
    };
    assert_eq!((demand.others.count, demand.others.oldest_ms), (2, 7));
    let asked: BTreeSet<Ipv4Addr> = ask.into_iter().chain(further).collect();
    assert_eq!(asked.len(), 4, "others are asked than before");
}

#[test]
fn an_opening_of_a_route_without_an_objective_waits_at_one_target() {
    let mut fixture = Fixture::new(&Store::with_targets(4));
    let decision = fixture.open_at_busy(flow(1), LATER);
    assert_eq!(forwarded(&decision).reason, ForwardReason::OpeningWaits);
    assert_eq!(fixture.balancer.queue_length(), 0);
}

#[test]
fn grants_are_used_first_come_first_served() {
    let mut fixture = Fixture::new(&store(2));
    let flows = first_ranked(3);
    for (flow, now) in flows.iter().zip(LATER..) {
        fixture.queue(*flow, now);
    }
    let answer = fixture.grant(1, LATER + 10);
    let granted = answer.granted.expect("the first opening goes");
    let forward = forwarded(&granted.decision);
    assert_eq!((forward.agent, forward.reason), (agent(1), ForwardReason::OpeningGranted));
    assert!(!forward.may_wait() && !forward.urgent);
    assert_eq!((granted.header.client_flow(), granted.waited_ms), (flows[0], 10));
    assert_eq!(granted.bytes, b"packet");
    assert_eq!(fixture.serve(2, LATER + 11), Some((flows[1], 1)));
    assert_eq!(fixture.serve(1, LATER + 12), Some((flows[2], 0)));
    // A grant more than openings wait is declined, as is one that was sent twice.
    assert_eq!(fixture.serve(1, LATER + 12), None);
    let direct = fixture.client(&opening(flow(9)), LATER + 13);
    assert_eq!(forwarded(&direct).reason, ForwardReason::Opened);
}

#[test]
fn urgent_openings_go_before_others() {
    let mut fixture = Fixture::new(&store(2));
    let flows = first_ranked(3);
    fixture.queue(flows[0], LATER);
    // Others that wait do not hold up an urgent one: it tries a target.
    let direct = fixture.client(&opening(urgent(flows[1])), LATER + 1);
    assert_eq!(forwarded(&direct).reason, ForwardReason::Opened);
    let from = forwarded(&direct).agent;
    let header = opening(urgent(flows[1]));
    assert!(is_queued(&fixture.returned(&header, from, ReturnReason::Busy, LATER + 1)));
    let answer = fixture.grant(1, LATER + 2);
    assert_eq!(granted_flow(&answer), Some(urgent(flows[1])));
    assert!(forwarded(&answer.granted.expect("granted").decision).urgent);
    // Room for urgent openings alone is not used for others.
    assert_eq!(granted_flow(&fixture.grant_for(true, agent(1), LATER + 3)), None);
    assert_eq!(granted_flow(&fixture.grant(1, LATER + 3)), Some(flows[0]));
}

#[test]
fn others_get_one_grant_in_eight_while_urgent_ones_wait() {
    let mut fixture = Fixture::new(&store(2));
    let flows = first_ranked(40);
    fixture.queue(flows[0], LATER);
    fixture.queue(flows[1], LATER);
    let mut served = Vec::new();
    for (round, flow) in flows[2..34].iter().enumerate() {
        let now = LATER + 1 + round as u64;
        fixture.queue(urgent(*flow), now);
        let flow = granted_flow(&fixture.grant(1, now)).expect("openings wait");
        served.push(flow.service == urgent_endpoint());
    }
    let others: Vec<usize> = (0..served.len()).filter(|place| !served[*place]).collect();
    assert_eq!(others, [7, 15]);
}

#[test]
fn a_copy_of_a_waiting_opening_is_dropped_and_admitted_once() {
    let mut fixture = Fixture::new(&store(2));
    let flows = first_ranked(2);
    fixture.queue(flows[0], LATER);
    fixture.queue(flows[1], LATER + 1);
    let dropped = Decision::Drop(DropReason::OpeningQueued);
    assert_eq!(fixture.client(&copy(flows[0], 1), LATER + 200), dropped);
    // A copy that a target sends back late is no other opening either.
    let returned = fixture.returned(&opening(flows[0]), agent(2), ReturnReason::Busy, LATER + 201);
    assert_eq!(returned, dropped);
    assert_eq!(fixture.balancer.queue_length(), 2);
    assert_eq!(fixture.serve(1, LATER + 550), Some((flows[0], 1)));
    let repeated = fixture.client(&copy(flows[0], 2), LATER + 600);
    assert_eq!(forwarded(&repeated).agent, agent(1));
    assert_eq!(forwarded(&repeated).reason, ForwardReason::OpeningRepeated);
    assert_eq!(fixture.serve(2, LATER + 601), Some((flows[1], 0)));
    assert_eq!(fixture.serve(2, LATER + 602), None);
}

#[test]
fn a_copy_of_an_opening_whose_granting_target_is_silent_goes_elsewhere() {
    let mut fixture = Fixture::new(&store(2));
    let flow = first_ranked(1)[0];
    fixture.queue(flow, LATER);
    assert_eq!(fixture.serve(1, LATER + 10), Some((flow, 0)));
    let moved = fixture.client(&copy(flow, 1), LATER + 200);
    assert_eq!(forwarded(&moved).agent, agent(2));
    assert_eq!(forwarded(&moved).reason, ForwardReason::OpeningMoved);
}

/// An agent may tell of room because its target answers nothing.
#[test]
fn a_target_that_leaves_granted_openings_unanswered_gets_no_more() {
    let mut fixture = Fixture::new(&store(2));
    let flows = first_ranked(3);
    for flow in &flows {
        fixture.queue(*flow, LATER);
    }
    assert_eq!(fixture.serve(1, LATER + 10), Some((flows[0], 2)));
    assert_eq!(fixture.serve(1, LATER + 160), None);
    assert_eq!(fixture.serve(2, LATER + 161), Some((flows[1], 1)));
}

#[test]
fn a_granted_opening_that_comes_back_goes_first() {
    for reason in [ReturnReason::Busy, ReturnReason::Leaving, ReturnReason::Failing] {
        let mut fixture = Fixture::new(&store(3));
        let flows = first_ranked(3);
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
fn a_granted_opening_that_comes_back_too_late_is_refused() {
    let mut fixture = Fixture::new(&store(3));
    let flows = first_ranked(3);
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
fn without_grants_the_queue_empties_and_serves_again() {
    let mut fixture = Fixture::new(&store(2));
    let flows = first_ranked(5);
    for flow in &flows {
        fixture.queue(*flow, LATER);
    }
    assert!(fixture.due_refusals(LATER + BUDGET - 1).is_empty());
    assert!(fixture.balancer.next_due().is_some_and(|due| due <= LATER + BUDGET));
    let refused = fixture.due_refusals(LATER + BUDGET);
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
    let Decision::Queue { ask, .. } = fixture.open_at_busy(first_ranked(1)[0], LATER) else {
        panic!("the opening waits");
    };
    let mut asked: BTreeSet<Ipv4Addr> = ask.into_iter().collect();
    for step in 1..=2 {
        let now = LATER + step * 25;
        assert!(fixture.due_room_requests(now - 1).is_empty(), "not yet");
        assert!(fixture.balancer.next_due().is_some_and(|due| due <= now));
        let requests = fixture.due_room_requests(now);
        assert_eq!(requests.len(), 1);
        assert_eq!((requests[0].agents.len(), requests[0].demand.others.count), (2, 1));
        asked.extend(&requests[0].agents);
    }
    assert_eq!(asked.len(), 6, "all agents in turn");
    assert!(fixture.due_room_requests(LATER + 75).is_empty(), "each was asked lately");
    assert_eq!(fixture.due_room_requests(LATER + 100)[0].agents.len(), 2, "the first ones again");
}

/// What agents were told ends by itself: those that had no room then must hear of it again
/// though others grant some.
#[test]
fn further_agents_are_asked_though_one_grants() {
    let mut fixture = Fixture::new(&store(6));
    for flow in first_ranked(6) {
        fixture.queue(flow, LATER);
    }
    for now in [LATER + 10, LATER + 20, LATER + 95] {
        let (served, _) = fixture.serve(1, now).expect("openings wait");
        fixture.balancer.holds(served, agent(1), false, 0, now);
    }
    assert_eq!(fixture.due_room_requests(LATER + 100)[0].agents.len(), 2);
}

#[test]
fn a_grant_of_a_target_that_takes_no_flows_is_declined() {
    let mut state = store(4);
    let mut fixture = Fixture::new(&state);
    fixture.queue(first_ranked(1)[0], LATER);
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
fn a_waiting_opening_whose_route_is_gone_is_told() {
    let mut state = store(2);
    let mut fixture = Fixture::new(&state);
    let flows = first_ranked(2);
    fixture.queue(flows[0], LATER);
    fixture.queue(urgent(flows[1]), LATER);
    state.configure(vec![route(urgent_endpoint(), SERVICE, 1)]);
    fixture.view = state.view();
    assert_eq!(granted_flow(&fixture.grant(1, LATER + 10)), Some(urgent(flows[1])));
    let answer = fixture.grant(1, LATER + 11);
    assert_eq!(answer.granted, None);
    let no_route = Decision::Reset { sequence: 0, reason: ResetReason::NoRoute };
    assert_eq!(answer.settled.len(), 1);
    assert_eq!(answer.settled[0].decision, no_route);
    assert_eq!(fixture.balancer.queue_length(), 0);
}

#[test]
fn a_waiting_opening_follows_its_route_to_another_service() {
    let mut state = store(2);
    state.target(11, OTHER, Some(TargetState::Ready), 0);
    let mut fixture = Fixture::new(&state);
    let flow = first_ranked(1)[0];
    fixture.queue(flow, LATER);
    state.configure(vec![route(endpoint(), OTHER, 2)]);
    fixture.view = state.view();
    let answer = fixture.grant(1, LATER + 10);
    assert_eq!(answer.granted, None);
    let forward = forwarded(&answer.settled[0].decision);
    assert_eq!((forward.agent, forward.service), (agent(11), ServiceId::of(OTHER)));
    // It did not lose its age: its budget still counts from its first packet.
    let from = agent(11);
    let decision = fixture.returned(&opening(flow), from, ReturnReason::Busy, LATER + 20);
    let Decision::Queue { inputs, .. } = decision else { panic!("{decision:?}") };
    assert_eq!(inputs.budget_ms, BUDGET - 20);
}

/// A silent target may have opened the flow: no reset may end it.
#[test]
fn an_opening_that_a_silent_target_may_have_taken_is_not_reset() {
    let mut fixture = Fixture::new(&store(4));
    let flow = first_ranked(1)[0];
    let silent = forwarded(&fixture.client(&opening(flow), LATER)).agent;
    let header = copy(flow, 1);
    let moved = forwarded(&fixture.client(&header, LATER + 200)).agent;
    assert_ne!(silent, moved);
    // The first one's word that it was busy comes late; the packet is elsewhere by then.
    let late = fixture.returned(&header, silent, ReturnReason::Busy, LATER + 201);
    assert_eq!(late, Decision::Drop(DropReason::OpeningElsewhere));
    assert!(is_queued(&fixture.returned(&header, moved, ReturnReason::Busy, LATER + 202)));
    let refused = fixture.due_refusals(LATER + BUDGET);
    assert_eq!(refused.len(), 1);
    assert_eq!(refused[0].decision, Decision::Drop(DropReason::OpeningRefused));
}

#[test]
fn an_opening_that_was_answered_after_all_waits_no_longer() {
    let mut fixture = Fixture::new(&store(4));
    let flow = first_ranked(1)[0];
    let holder = forwarded(&fixture.client(&opening(flow), LATER)).agent;
    let header = copy(flow, 1);
    let moved = forwarded(&fixture.client(&header, LATER + 200)).agent;
    assert!(is_queued(&fixture.returned(&header, moved, ReturnReason::Busy, LATER + 202)));
    fixture.balancer.holds(flow, holder, false, 0, LATER + 210);
    assert_eq!(fixture.balancer.queue_length(), 0);
    let held = fixture.client(&data(flow), LATER + 211);
    assert_eq!(forwarded(&held).agent, holder);
    assert_eq!(forwarded(&held).reason, ForwardReason::Held);
}

#[test]
fn a_client_that_goes_on_waits_no_longer() {
    let mut fixture = Fixture::new(&store(2));
    let flow = first_ranked(1)[0];
    fixture.queue(flow, LATER);
    let decision = fixture.client(&data(flow), LATER + 10);
    assert_eq!(forwarded(&decision).reason, ForwardReason::Search);
    assert_eq!(fixture.balancer.queue_length(), 0);
    assert_eq!(fixture.serve(1, LATER + 11), None);
}

/// Twice as many openings as find room, until no more can wait.
#[test]
fn the_queue_is_bounded() {
    let mut fixture = Fixture::new(&store(2));
    let caller = first_ranked(1)[0];
    let mut port = 0;
    let mut longest = 0;
    for now in LATER..LATER + 400 {
        for _ in 0..40 {
            port += 1;
            let client = SocketAddrV4::new(*caller.client.ip(), port);
            fixture.open_at_busy(FlowKey { client, ..caller }, now);
        }
        for _ in 0..20 {
            let Some(flow) = granted_flow(&fixture.grant(1, now)) else { break };
            fixture.balancer.holds(flow, agent(1), false, 0, now);
        }
        longest = longest.max(fixture.balancer.queue_length());
    }
    assert!((1_000..=4_096).contains(&longest), "{longest}");
}
