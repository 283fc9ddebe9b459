//! Grants that are lost, declined, or used late or twice, and targets that accept no new flows.

mod support;

use support::agent_fixture::{arrival, deliver, fill, new_agent, request};
use support::grant_requests::*;
use support::{OTHER, agent as balancer, flow, opening};
use weirhinge_fleet::{Millis, OpeningDemand, ReturnReason, ServiceId};
use weirhinge_steering::{Agent, AnswerStatus, Arrival, DeliveryDecision, Grant};

#[test]
fn demand_expires_when_its_balancer_is_silent() {
    let mut agent = agent_at_limit();
    request_capacity(&mut agent, 101, non_urgent(1, 0), 100);
    assert!(agent.clone().next_grant(399).is_none(), "there is no capacity");
    answer_request(&mut agent, 0, 399);
    assert_eq!(next_grantee(&mut agent.clone(), 399), Some(101));
    assert_eq!(next_grantee(&mut agent, 400), None);
    assert_eq!(agent.requesting_balancers(), 0);
    // A balancer at which nothing waits any more requests nothing.
    request_capacity(&mut agent, 101, non_urgent(1, 0), 400);
    request_capacity(&mut agent, 101, NO_DEMAND, 401);
    assert_eq!(next_grantee(&mut agent, 401), None);
}

#[test]
fn lost_grant_lapses() {
    let mut agent = agent_at_limit();
    answer_request(&mut agent, 0, 100);
    request_capacity(&mut agent, 101, non_urgent(9, 90), 100);
    assert_eq!(grantees(&mut agent, 100), [101]);
    assert_eq!((next_grantee(&mut agent, 119), agent.reserved_capacity()), (None, 1));
    assert_eq!(grantees(&mut agent, 120), [101]);
    assert_eq!(agent.next_lapsed_balancer(), Some(balancer(101)));
    assert_eq!(agent.next_lapsed_balancer(), None);
    // Two consecutive grants lapsed: the capacity goes to others, and the balancer has to request
    // again.
    request_capacity(&mut agent, 102, non_urgent(1, 0), 139);
    assert_eq!(grantees(&mut agent, 140), [102]);
    assert_eq!(agent.next_lapsed_balancer(), Some(balancer(101)));
    assert_eq!(agent.requesting_balancers(), 1);
    answer_request(&mut agent, 1, 141);
    assert_eq!(grantees(&mut agent, 141), Vec::<u8>::new());
    request_capacity(&mut agent, 101, non_urgent(9, 90), 142);
    assert_eq!(grantees(&mut agent, 142), [101]);
}

#[test]
fn only_consecutive_lapses_count() {
    let mut agent = agent_at_limit();
    answer_request(&mut agent, 0, 100);
    request_capacity(&mut agent, 101, non_urgent(9, 90), 100);
    assert_eq!(grantees(&mut agent, 100), [101]);
    assert_eq!(grantees(&mut agent, 120), [101]);
    assert!(is_delivered(&use_grant(&mut agent, 101, 50, non_urgent(8, 90), 125)));
    deliver(&mut agent, &request(50, 0), 126);
    answer_request(&mut agent, 50, 130);
    assert_eq!(grantees(&mut agent, 130), [101]);
    assert_eq!(grantees(&mut agent, 150), [101], "one grant lapsed since the last use");
}

#[test]
fn declined_grant_frees_capacity_for_another_balancer() {
    let mut agent = agent_at_limit();
    answer_request(&mut agent, 0, 100);
    request_capacity(&mut agent, 101, non_urgent(2, 90), 100);
    request_capacity(&mut agent, 102, non_urgent(2, 50), 100);
    assert_eq!(grantees(&mut agent, 100), [101]);
    assert!(agent.declined(balancer(101), 102));
    assert_eq!(agent.requesting_balancers(), 1, "its demand is dropped");
    assert_eq!(grantees(&mut agent, 102), [102]);
    // A duplicated decline does not release another balancer's grant.
    assert!(!agent.declined(balancer(101), 103));
    assert_eq!((agent.reserved_capacity(), next_grantee(&mut agent, 103)), (1, None));
}

#[test]
fn declining_an_urgent_grant_keeps_non_urgent_demand() {
    let mut agent = agent_with_urgent_capacity();
    let both = OpeningDemand { others: non_urgent(2, 90).others, ..urgent(2, 10) };
    request_capacity(&mut agent, 101, both, 100);
    assert!(agent.next_grant(100).is_some_and(|grant| grant.urgent_only));
    assert!(agent.declined(balancer(101), 101));
    assert_eq!(next_grantee(&mut agent, 101), None);
    for port in 0..3 {
        answer_request(&mut agent, port, 102);
    }
    let expected = Grant { balancer: balancer(101), urgent_only: false };
    assert_eq!(agent.next_grant(102), Some(expected));
}

#[test]
fn duplicated_opening_uses_one_grant() {
    let mut agent = agent_at_limit();
    answer_request(&mut agent, 0, 100);
    answer_request(&mut agent, 1, 100);
    request_capacity(&mut agent, 101, non_urgent(9, 90), 100);
    assert_eq!(grantees(&mut agent, 100), [101, 101]);
    for now in [101, 102] {
        assert!(is_delivered(&use_grant(&mut agent, 101, 50, non_urgent(8, 80), now)));
        assert_eq!(agent.reserved_capacity(), 1, "the second grant belongs to another flow");
    }
    assert_eq!(next_grantee(&mut agent, 102), None);
    assert!(is_delivered(&use_grant(&mut agent, 101, 51, non_urgent(7, 80), 103)));
    assert_eq!((agent.reserved_capacity(), next_grantee(&mut agent, 103)), (0, None));
}

/// A copy of the client's opening packet reached another balancer, which does not know that the
/// flow is open here.
#[test]
fn copy_from_another_balancer_uses_its_grant() {
    let mut agent = agent_at_limit();
    answer_request(&mut agent, 0, 100);
    deliver(&mut agent, &opening(flow(50)), 100);
    answer_request(&mut agent, 1, 200);
    request_capacity(&mut agent, 101, non_urgent(1, 50), 200);
    assert_eq!(grantees(&mut agent, 200), [101]);
    assert!(is_delivered(&use_grant(&mut agent, 101, 50, NO_DEMAND, 201)));
    assert_eq!((agent.reserved_capacity(), agent.requesting_balancers()), (0, 0));
}

#[test]
fn lapsed_grant_is_used_like_an_opening_that_may_not_wait() {
    let mut agent = agent_at_limit();
    answer_request(&mut agent, 0, 100);
    request_capacity(&mut agent, 101, non_urgent(3, 90), 100);
    assert_eq!(grantees(&mut agent, 100), [101]);
    let mut without_capacity = agent.clone();
    assert!(is_delivered(&use_grant(&mut agent, 101, 50, non_urgent(2, 90), 120)));
    // Its capacity was granted to another balancer.
    request_capacity(&mut without_capacity, 102, non_urgent(3, 500), 119);
    assert_eq!(grantees(&mut without_capacity, 120), [102]);
    let header = opening(flow(50));
    let granted = Some(non_urgent(2, 90));
    let late = Arrival { balancer: balancer(101), granted, may_wait: true, ..arrival(&header) };
    assert_eq!(without_capacity.delivery(&late, 121), BUSY);
    assert_eq!(without_capacity.reserved_capacity(), 1, "the grant of the other balancer");
}

#[test]
fn demand_for_another_service_is_rejected() {
    let mut agent = new_agent();
    assert!(!agent.demand(balancer(101), ServiceId::of(OTHER), non_urgent(1, 0), 0));
    assert_eq!((agent.requesting_balancers(), agent.next_grant(0)), (0, None));
}

/// Fails requests until the breaker opens.
fn eject_target(agent: &mut Agent, now: Millis) {
    for port in 200..203 {
        agent.delivery(&arrival(&request(port, 0)), now);
        agent.record_answer_status(&flow(port), AnswerStatus::Failed, now);
        answer_request(agent, port, now);
    }
}

#[test]
fn target_without_new_flows_issues_no_grants() {
    let leave: fn(&mut Agent) = Agent::leave;
    let evacuate: fn(&mut Agent) = |agent| agent.set_evacuated(true);
    let fail: fn(&mut Agent) = |agent| eject_target(agent, 101);
    let cases = [
        (leave, ReturnReason::Leaving),
        (evacuate, ReturnReason::Evacuated),
        (fail, ReturnReason::Failing),
    ];
    for (stop, reason) in cases {
        let mut agent = new_agent();
        request_capacity(&mut agent, 101, non_urgent(3, 50), 100);
        assert_eq!(next_grantee(&mut agent, 100), Some(101));
        stop(&mut agent);
        assert_eq!(next_grantee(&mut agent, 102), None);
        let refused = use_grant(&mut agent, 101, 50, non_urgent(2, 50), 103);
        assert_eq!(refused, DeliveryDecision::Return(reason));
        assert_eq!(agent.reserved_capacity(), 0);
    }
}

#[test]
fn grant_may_serve_as_trial() {
    let mut agent = new_agent();
    eject_target(&mut agent, 0);
    request_capacity(&mut agent, 101, non_urgent(3, 50), 1_000);
    assert_eq!(grantees(&mut agent, 1_000), [101], "one trial at a time");
    assert!(is_delivered(&use_grant(&mut agent, 101, 50, non_urgent(2, 50), 1_010)));
    // Openings without a grant are trials as well, so that the target does not stay ejected.
    request_capacity(&mut agent, 101, non_urgent(3, 50), 1_500);
    assert!(is_delivered(&agent.delivery(&arrival(&opening(flow(60))), 1_500)));
}

#[test]
fn restart_revokes_outstanding_grants() {
    let mut agent = new_agent();
    request_capacity(&mut agent, 101, non_urgent(9, 50), 100);
    assert_eq!(grantees(&mut agent, 100).len(), 5);
    agent.target_restarted();
    agent.set_slots(4);
    assert_eq!(agent.reserved_capacity(), 0);
    assert_eq!(grantees(&mut agent, 101).len(), 5, "the balancer's demand remains");
    let mut full = agent_at_limit();
    answer_request(&mut full, 0, 100);
    request_capacity(&mut full, 101, non_urgent(9, 50), 100);
    assert_eq!(next_grantee(&mut full, 100), Some(101));
    full.target_restarted();
    full.set_slots(4);
    fill(&mut full);
    let stale = use_grant(&mut full, 101, 50, NO_DEMAND, 101);
    assert_eq!(stale, BUSY, "granted by the previous incarnation");
}

/// A client may reuse its port for another flow while the agent still tracks the earlier one.
#[test]
fn grant_is_used_by_flow_with_reused_key() {
    let mut agent = agent_at_limit();
    answer_request(&mut agent, 0, 100);
    request_capacity(&mut agent, 101, non_urgent(1, 0), 100);
    assert_eq!(grantees(&mut agent, 100), [101]);
    assert!(is_delivered(&use_grant(&mut agent, 101, 50, NO_DEMAND, 101)));
    let now = 10_000;
    request_capacity(&mut agent, 101, non_urgent(1, 0), now);
    assert_eq!(grantees(&mut agent, now), [101]);
    assert!(is_delivered(&use_grant(&mut agent, 101, 50, NO_DEMAND, now + 1)));
    assert_eq!((agent.reserved_capacity(), agent.requesting_balancers()), (0, 0));
}
