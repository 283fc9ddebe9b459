//! A target that did not answer an opening packet in time may hold the flow all the same.
//!
//! A balancer that is cut off sends an opening packet to one target and its copy to another.
//! The first one takes the flow, and other balancers carry it. When the client's packets come
//! through this balancer again, it asks the second target, then all others, and reset the open
//! flow: the first one counted as asked, as it had been tried for the opening packet. Log lines:
//! "flow opens" with `opening_moved`, later "flow searched" and "flow reset" with `nobody_holds`,
//! and no "packet returned" of the holder's agent.

mod support;

use support::{Fixture, LATER, Store, data, flow, forwarded, opening};
use weirhinge_fleet::ReturnReason;
use weirhinge_steering::Decision;

/// When the client sends a copy of its opening packet.
const COPY_AFTER: u64 = 200;
/// When the client's packets come through this balancer again.
const AGAIN_AFTER: u64 = 9_500;

#[test]
fn a_flow_that_a_silent_target_took_is_found_there() {
    let mut fixture = Fixture::new(&Store::with_targets(4));
    let holder = forwarded(&fixture.client(&opening(flow(1)), LATER)).agent;
    let moved = forwarded(&fixture.client(&opening(flow(1)), LATER + COPY_AFTER)).agent;
    assert_ne!(holder, moved);
    let (visited, end) = fixture.bounce_to_the_end(&data(flow(1)), LATER + AGAIN_AFTER);
    assert!(visited.contains(&holder), "{visited:?} without {holder}, then {end:?}");
}

/// Those that sent the opening packet back may have taken another balancer's copy since.
#[test]
fn a_target_that_sent_the_opening_back_is_asked_as_well() {
    let mut fixture = Fixture::new(&Store::with_targets(4));
    let first = forwarded(&fixture.client(&opening(flow(1)), LATER)).agent;
    let returned = fixture.returned(&opening(flow(1)), first, ReturnReason::Bounced, LATER + 5);
    assert!(matches!(returned, Decision::Forward(_)));
    let (visited, _) = fixture.bounce_to_the_end(&data(flow(1)), LATER + AGAIN_AFTER);
    assert!(visited.contains(&first), "{visited:?} without {first}");
}
