//! A target that did not answer an opening packet in time may still hold the flow.
//!
//! A balancer that is cut off sends an opening packet to one target and its retransmission to
//! another. The first target accepts the flow, and other balancers forward its packets. When the
//! client's packets pass through this balancer again, its search must also ask the first target:
//! that target was tried only for the opening packet. Otherwise the balancer resets an open flow.
//! In the logs that fault shows as "flow opens" with `opening_moved`, later "flow searched" and
//! "flow reset" with `nobody_holds`, and no "packet returned" of the holder's agent.

mod support;

use support::{Fixture, LATER, Store, data, flow, forwarded, opening};
use weirhinge_fleet::ReturnReason;
use weirhinge_steering::Decision;

/// When the client retransmits its opening packet.
const RETRANSMISSION_MS: u64 = 200;
/// When the client's packets pass through this balancer again.
const NEXT_PACKET_MS: u64 = 9_500;

#[test]
fn flow_is_found_at_target_that_missed_opening_timeout() {
    let mut fixture = Fixture::new(&Store::with_targets(4));
    let holder = forwarded(&fixture.client(&opening(flow(1)), LATER)).agent;
    let second = forwarded(&fixture.client(&opening(flow(1)), LATER + RETRANSMISSION_MS)).agent;
    assert_ne!(holder, second);
    let (visited, end) = fixture.bounce_until_search_ends(&data(flow(1)), LATER + NEXT_PACKET_MS);
    assert!(visited.contains(&holder), "expected {holder} among {visited:?}, then {end:?}");
}

/// A target that returned the opening packet may have accepted another balancer's retransmission
/// since.
#[test]
fn search_asks_target_that_returned_the_opening() {
    let mut fixture = Fixture::new(&Store::with_targets(4));
    let first = forwarded(&fixture.client(&opening(flow(1)), LATER)).agent;
    let returned = fixture.returned(&opening(flow(1)), first, ReturnReason::Bounced, LATER + 5);
    assert!(matches!(returned, Decision::Forward(_)));
    let (visited, _) = fixture.bounce_until_search_ends(&data(flow(1)), LATER + NEXT_PACKET_MS);
    assert!(visited.contains(&first), "expected {first} among {visited:?}");
}
