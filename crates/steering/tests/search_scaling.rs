//! The cost of searches as the fleet grows, and their safety under packet loss.

mod support;

use std::net::Ipv4Addr;

use proptest::prelude::*;
use support::{Fixture, LATER, Store, data, fleet_agent, flow, paths};
use weirhinge_steering::{Decision, DropReason, PacketHeader};

/// Maximum number of paths in one wave.
const MAX_PATHS: usize = 64;

/// The cost of one search.
#[derive(Debug, Default, PartialEq, Eq)]
struct Cost {
    /// Consecutive one-way trips.
    trips: usize,
    /// Packets that the balancer sent and received.
    balancer_packets: usize,
    /// Number of targets that were asked.
    asked: usize,
}

/// Searches for a flow that no target holds.
fn unsuccessful_search(fixture: &mut Fixture, header: &PacketHeader) -> Cost {
    let mut cost = Cost::default();
    let mut decision = fixture.client(header, LATER);
    while let Decision::Forward(_) = &decision {
        let asked = paths(&decision);
        assert!(asked.len() <= MAX_PATHS);
        cost.trips += 1 + asked.iter().map(Vec::len).max().unwrap_or_default();
        cost.balancer_packets += 2 * asked.len();
        cost.asked += asked.iter().map(Vec::len).sum::<usize>();
        for path in asked {
            decision = fixture.bounced(header, path[path.len() - 1], LATER);
        }
    }
    assert_eq!(decision, Decision::Drop(DropReason::NobodyHoldsYet));
    let end = fixture.continue_search(header, LATER + 25);
    assert!(matches!(end, Decision::Reset { .. }), "no target is asked twice");
    cost
}

/// Asking all targets twice, in consecutive paths of eight, would take 18, 378, 2,250 and 16,200
/// trips.
#[test]
fn search_time_grows_slowly_with_number_of_targets() {
    for (targets, max_trips) in [(8, 9), (163, 27), (1_000, 45), (7_200, 153)] {
        let mut fixture = Fixture::new(&Store::with_many_targets(targets));
        let cost = unsuccessful_search(&mut fixture, &data(flow(1)));
        assert_eq!(cost.asked, targets as usize);
        assert!(cost.trips <= max_trips, "{targets} targets: {cost:?}");
        assert!(cost.balancer_packets <= 2 * (targets as usize / 8 + 4), "{cost:?}");
    }
}

/// The fate of one search packet in the network.
#[derive(Clone, Copy, Debug)]
enum Fate {
    /// All agents on the path are asked; the holder, if it is among them, accepts the packet.
    Asked,
    /// The packet is lost before it reaches an agent.
    Lost,
    /// The packet is lost on its way back from the last agent.
    ReturnLost,
}

fn fates() -> impl Strategy<Value = Vec<Fate>> {
    let fate =
        prop_oneof![6 => Just(Fate::Asked), 1 => Just(Fate::Lost), 1 => Just(Fate::ReturnLost)];
    prop::collection::vec(fate, 1..200)
}

/// Delivers the packets of one decision, and of the decisions that follow it immediately. Returns
/// whether the balancer now knows the holder, and the last decision.
fn deliver(
    fixture: &mut Fixture,
    mut decision: Decision,
    holder: Ipv4Addr,
    now: u64,
    mut fate: impl FnMut() -> Fate,
) -> (bool, Decision) {
    let header = data(flow(1));
    while let Decision::Forward(forward) = &decision {
        if !forward.is_search() {
            return (forward.agent == holder, decision);
        }
        let mut next = Decision::Drop(DropReason::SearchGoesOn);
        for path in paths(&decision) {
            match fate() {
                Fate::Lost => {}
                _ if path.contains(&holder) => {
                    fixture.balancer.note_holder(flow(1), holder, true, 0, now);
                }
                Fate::ReturnLost => {}
                Fate::Asked => next = fixture.bounced(&header, path[path.len() - 1], now),
            }
        }
        decision = next;
    }
    (false, decision)
}

proptest! {
    /// A flow whose target is live is not reset, regardless of which packets are lost, and is found
    /// once packets get through again.
    #[test]
    fn flow_with_live_target_is_found_and_never_reset(
        targets in 1_u32..200,
        holder in any::<prop::sample::Index>(),
        fates in fates(),
        pauses in prop::collection::vec(1_u64..200, 40),
    ) {
        let holder = fleet_agent(holder.index(targets as usize) as u32);
        let mut fixture = Fixture::new(&Store::with_many_targets(targets));
        let header = data(flow(1));
        let mut fates = fates.into_iter();
        let mut now = LATER;
        let lossless = std::iter::repeat_n(130, 20);
        let lossy_steps = pauses.len();
        for (step, pause) in pauses.into_iter().chain(lossless).enumerate() {
            let decision = fixture.client(&header, now);
            let fate = || fates.next().filter(|_| step < lossy_steps).unwrap_or(Fate::Asked);
            let (is_found, last) = deliver(&mut fixture, decision, holder, now, fate);
            prop_assert!(!matches!(last, Decision::Reset { .. }), "reset at {now}");
            if is_found {
                return Ok(());
            }
            now += pause;
        }
        prop_assert!(false, "the flow was not found");
    }
}

/// After targets have lost their flows, waves of growing size only cost time: 30 of 55 ms at 41
/// targets.
#[test]
fn all_paths_are_asked_at_once_after_unsuccessful_searches() {
    let mut fixture = Fixture::new(&Store::with_many_targets(41));
    let first_wave_paths = |fixture: &mut Fixture, port, now| {
        let decision = fixture.client(&data(flow(port)), now);
        paths(&decision).len()
    };
    assert_eq!(first_wave_paths(&mut fixture, 1_000, LATER), 1);
    for port in 0..12 {
        unsuccessful_search(&mut fixture, &data(flow(port)));
    }
    assert_eq!(first_wave_paths(&mut fixture, 1_001, LATER + 30), 6);
    // The first wave is one path again after a while, and also once flows are found.
    assert_eq!(first_wave_paths(&mut fixture, 1_002, LATER + 3_100), 1);
    for port in 20..32 {
        unsuccessful_search(&mut fixture, &data(flow(port)));
    }
    for port in 40..45 {
        fixture.client(&data(flow(port)), LATER + 40);
        fixture.balancer.note_holder(flow(port), fleet_agent(3), true, 0, LATER + 42);
    }
    assert_eq!(first_wave_paths(&mut fixture, 1_003, LATER + 50), 1);
}
