//! Openings that wait at a balancer when packets are late, copied or forgotten.

mod support;

use support::queue::{BUDGET, copy, first_ranked, is_queued, store};
use support::{Fixture, LATER, agent, data, forwarded, opening};
use weirhinge_fleet::ReturnReason;
use weirhinge_steering::{Decision, DropReason, ForwardReason};

const NOT_TOLD: Decision = Decision::Drop(DropReason::OpeningRefused);

/// The agent may take the copy after it sent the opening back.
#[test]
fn an_opening_whose_copy_followed_it_to_a_granting_target_is_not_reset() {
    let mut fixture = Fixture::new(&store(2));
    let flow = first_ranked(1)[0];
    fixture.queue(flow, LATER);
    assert_eq!(fixture.serve(1, LATER + 150), Some((flow, 0)));
    let repeated = fixture.client(&copy(flow, 1), LATER + 200);
    assert_eq!(forwarded(&repeated).reason, ForwardReason::OpeningRepeated);
    let decision = fixture.returned(&opening(flow), agent(1), ReturnReason::Busy, LATER + 201);
    assert!(is_queued(&decision), "{decision:?}");
    let refused = fixture.due_refusals(LATER + BUDGET);
    assert_eq!(refused.len(), 1);
    assert_eq!(refused[0].decision, NOT_TOLD);
}

/// A client that sends data has an open flow.
#[test]
fn a_flow_that_is_searched_for_is_not_reset_when_its_opening_comes_back() {
    let mut fixture = Fixture::new(&store(1));
    let flow = first_ranked(1)[0];
    fixture.queue(flow, LATER);
    let search = fixture.client(&data(flow), LATER + 10);
    assert_eq!(forwarded(&search).reason, ForwardReason::Search);
    let late = fixture.returned(&opening(flow), agent(1), ReturnReason::Busy, LATER + 11);
    assert!(!matches!(late, Decision::Reset { .. }), "{late:?}");
    for refused in fixture.due_refusals(LATER + 2 * BUDGET) {
        assert_eq!(refused.decision, NOT_TOLD);
    }
}
