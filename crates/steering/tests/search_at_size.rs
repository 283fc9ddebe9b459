//! What the search for a flow costs as the fleet grows, and that it harms no flow.

mod support;

use std::net::Ipv4Addr;

use proptest::prelude::*;
use support::{Fixture, LATER, Store, data, flow, many_agent, rows};
use weirhinge_steering::{Decision, DropReason, PacketHead};

/// Most rows that are asked at once.
const MOST_ROWS: usize = 64;

/// What one search took.
#[derive(Debug, Default, PartialEq, Eq)]
struct Cost {
    /// One-way trips that the search takes one after the other.
    trips: usize,
    /// Packets that the balancer sent and got back.
    balancer_packets: usize,
    /// Targets that were asked.
    asked: usize,
}

/// Searches for a flow that no target holds.
fn search_in_vain(fixture: &mut Fixture, head: &PacketHead) -> Cost {
    let mut cost = Cost::default();
    let mut decision = fixture.client(head, LATER);
    while let Decision::Forward(_) = &decision {
        let asked = rows(&decision);
        assert!(asked.len() <= MOST_ROWS);
        cost.trips += 1 + asked.iter().map(Vec::len).max().unwrap_or_default();
        cost.balancer_packets += 2 * asked.len();
        cost.asked += asked.iter().map(Vec::len).sum::<usize>();
        for row in asked {
            decision = fixture.bounced(head, row[row.len() - 1], LATER);
        }
    }
    assert_eq!(decision, Decision::Drop(DropReason::NobodyHoldsYet));
    let end = fixture.continue_search(head, LATER + 25);
    assert!(matches!(end, Decision::Reset { .. }), "nobody is asked a second time");
    cost
}

/// It once took 18, 378, 2,250 and 16,200 trips: rows of eight one after the other, all of
/// them twice.
#[test]
fn the_time_of_a_search_hardly_grows_with_the_number_of_targets() {
    for (targets, most_trips) in [(8, 9), (163, 27), (1_000, 45), (7_200, 153)] {
        let mut fixture = Fixture::new(&Store::with_many_targets(targets));
        let cost = search_in_vain(&mut fixture, &data(flow(1)));
        assert_eq!(cost.asked, targets as usize);
        assert!(cost.trips <= most_trips, "{targets} targets: {cost:?}");
        assert!(cost.balancer_packets <= 2 * (targets as usize / 8 + 4), "{cost:?}");
    }
}

/// What the network does to one row of a search.
#[derive(Clone, Copy, Debug)]
enum Fate {
    /// All of the row are asked; the holder, if it is among them, takes the packet.
    Asked,
    /// The packet is lost on its way.
    Lost,
    /// The packet is lost on its way back from the last of the row.
    ReturnLost,
}

fn fates() -> impl Strategy<Value = Vec<Fate>> {
    let fate =
        prop_oneof![6 => Just(Fate::Asked), 1 => Just(Fate::Lost), 1 => Just(Fate::ReturnLost)];
    prop::collection::vec(fate, 1..200)
}

/// Sends the packets of one decision and of those that follow at once. Returns whether
/// the balancer knows the holder now, and the last decision.
fn play(
    fixture: &mut Fixture,
    mut decision: Decision,
    holder: Ipv4Addr,
    now: u64,
    mut fate: impl FnMut() -> Fate,
) -> (bool, Decision) {
    let head = data(flow(1));
    while let Decision::Forward(forward) = &decision {
        if !forward.is_search() {
            return (forward.agent == holder, decision);
        }
        let mut next = Decision::Drop(DropReason::SearchGoesOn);
        for row in rows(&decision) {
            match fate() {
                Fate::Lost => {}
                _ if row.contains(&holder) => {
                    fixture.balancer.note_holder(flow(1), holder, true, 0, now);
                }
                Fate::ReturnLost => {}
                Fate::Asked => next = fixture.bounced(&head, row[row.len() - 1], now),
            }
        }
        decision = next;
    }
    (false, decision)
}

proptest! {
    /// Whatever is lost, a flow whose target lives is not reset, and is found once
    /// packets come through again.
    #[test]
    fn a_flow_whose_target_lives_is_never_reset(
        targets in 1_u32..200,
        holder in any::<prop::sample::Index>(),
        fates in fates(),
        pauses in prop::collection::vec(1_u64..200, 40),
    ) {
        let holder = many_agent(holder.index(targets as usize) as u32);
        let mut fixture = Fixture::new(&Store::with_many_targets(targets));
        let head = data(flow(1));
        let mut fates = fates.into_iter();
        let mut now = LATER;
        let calm = std::iter::repeat_n(130, 20);
        let lossy = pauses.len();
        for (step, pause) in pauses.into_iter().chain(calm).enumerate() {
            let decision = fixture.client(&head, now);
            let fate = || fates.next().filter(|_| step < lossy).unwrap_or(Fate::Asked);
            let (is_found, last) = play(&mut fixture, decision, holder, now, fate);
            prop_assert!(!matches!(last, Decision::Reset { .. }), "reset at {now}");
            if is_found {
                return Ok(());
            }
            now += pause;
        }
        prop_assert!(false, "never found");
    }
}

/// After targets have lost their flows, waves of growing size only cost time: 30 of 55 ms
/// at 41 targets.
#[test]
fn after_searches_in_vain_all_rows_are_asked_at_once() {
    let mut fixture = Fixture::new(&Store::with_many_targets(41));
    let first_rows = |fixture: &mut Fixture, port, now| {
        let decision = fixture.client(&data(flow(port)), now);
        rows(&decision).len()
    };
    assert_eq!(first_rows(&mut fixture, 1_000, LATER), 1);
    for port in 0..12 {
        search_in_vain(&mut fixture, &data(flow(port)));
    }
    assert_eq!(first_rows(&mut fixture, 1_001, LATER + 30), 6);
    // Long after, it is one row again, and so it is once flows are found.
    assert_eq!(first_rows(&mut fixture, 1_002, LATER + 3_100), 1);
    for port in 20..32 {
        search_in_vain(&mut fixture, &data(flow(port)));
    }
    for port in 40..45 {
        fixture.client(&data(flow(port)), LATER + 40);
        fixture.balancer.note_holder(flow(port), many_agent(3), true, 0, LATER + 42);
    }
    assert_eq!(first_rows(&mut fixture, 1_003, LATER + 50), 1);
}
