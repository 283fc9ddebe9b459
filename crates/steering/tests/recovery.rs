//! No state is absorbing: once faults end, every balancer is ready and every target gets
//! new flows again, whatever happened before.

mod support;

use proptest::prelude::*;
use support::{Fixture, LATER, SERVICE, Store, agent, claim, flow, opening};
use weirhinge_fleet::{Millis, ReturnReason, ZoneId};
use weirhinge_steering::{AgentStatuses, Decision, OverloadMonitor, PeerLoad};

/// Agents of the model.
const AGENTS: u8 = 5;
/// Time between an agent's digests.
const DIGEST_MS: Millis = 500;
/// Time between looks at a balancer's reach.
const LOOK_MS: Millis = 100;
/// Within this time after the last fault everything serves again.
const RECOVERED_MS: Millis = 4_000;

/// Something that happens to a balancer while faults last.
#[derive(Clone, Copy, Debug)]
enum Event {
    /// A client opens a flow; no answer comes.
    Opening(u16),
    /// An agent answered a packet.
    Heard(u8),
    /// An agent said something of its target.
    Claimed(u8, bool),
    /// An agent sent an opening back.
    Returned(u8, ReturnReason),
    /// Time passes.
    Passes(Millis),
}

fn events() -> impl Strategy<Value = Vec<Event>> {
    let number = 1..=AGENTS;
    let reason = prop_oneof![
        Just(ReturnReason::Leaving),
        Just(ReturnReason::Failing),
        Just(ReturnReason::Evacuated),
        Just(ReturnReason::Busy),
    ];
    let event = prop_oneof![
        6 => (0..2_000u16).prop_map(Event::Opening),
        1 => number.clone().prop_map(Event::Heard),
        2 => (number.clone(), any::<bool>()).prop_map(|(agent, leaving)| Event::Claimed(agent, leaving)),
        2 => (number, reason).prop_map(|(agent, reason)| Event::Returned(agent, reason)),
        3 => (1..900u64).prop_map(Event::Passes),
    ];
    prop::collection::vec(event, 0..120)
}

fn play(fixture: &mut Fixture, event: Event, now: &mut Millis) {
    match event {
        Event::Opening(port) => {
            fixture.client(&opening(flow(port)), *now);
        }
        Event::Heard(number) => fixture.balancer.heard(agent(number), 0, *now),
        Event::Claimed(number, leaving) => {
            let claim = weirhinge_fleet::TargetStatus { leaving, ..claim(SERVICE) };
            fixture.balancer.claimed(agent(number), ZoneId::of("a"), &claim, *now);
        }
        Event::Returned(number, reason) => {
            fixture.returned(&opening(flow(9_999)), agent(number), reason, *now);
        }
        Event::Passes(span) => *now += span,
    }
}

/// Agents speak and answer probes again; routers send nothing to a balancer that is not
/// ready. Returns whether it is ready in the end.
fn recovers(fixture: &mut Fixture, mut now: Millis) -> bool {
    let end = now + RECOVERED_MS;
    while now < end {
        now += LOOK_MS;
        if now % DIGEST_MS < LOOK_MS {
            for number in 1..=AGENTS {
                fixture.claimed(agent(number), now);
            }
        }
        if fixture.balancer.doubts_reach(now) {
            fixture.balancer.reached(now);
        }
    }
    !fixture.balancer.is_isolated(now)
}

/// Balancers once stayed not ready for ever: only an answer to a packet of a client ended
/// that, and routers hand none to a balancer that is not ready.
#[test]
fn a_balancer_that_was_cut_off_is_ready_again_without_a_client() {
    let mut fixture = Fixture::new(&Store::with_targets(AGENTS));
    fixture.claimed(agent(1), LATER);
    for port in 0..30 {
        fixture.client(&opening(flow(port)), LATER);
    }
    fixture.claimed(agent(1), LATER + 800);
    assert!(fixture.balancer.is_isolated(LATER + 800), "heard but not answered");
    assert!(recovers(&mut fixture, LATER + 800));
}

#[test]
fn an_answer_to_a_probe_says_that_agents_are_reached() {
    let mut statuses = AgentStatuses::default();
    statuses.claimed(agent(1), ZoneId::of("a"), &claim(SERVICE), 0);
    for _ in 0..8 {
        statuses.sent_opening(agent(1), 10);
    }
    assert!(!statuses.doubts_reach(100) && statuses.doubts_reach(160));
    statuses.claimed(agent(1), ZoneId::of("a"), &claim(SERVICE), 700);
    assert!(statuses.is_isolated(710));
    statuses.reached(720);
    assert!(!statuses.is_isolated(720) && !statuses.doubts_reach(2_000));
}

proptest! {
    #[test]
    fn every_balancer_is_ready_and_every_target_chosen_again(events in events()) {
        let mut fixture = Fixture::new(&Store::with_targets(AGENTS));
        let mut now = LATER;
        for event in events {
            play(&mut fixture, event, &mut now);
        }
        prop_assert!(recovers(&mut fixture, now));
        now += RECOVERED_MS;
        let mut chosen = std::collections::BTreeSet::new();
        for port in 3_000..3_200 {
            let decision = fixture.client(&opening(flow(port)), now);
            let Decision::Forward(forward) = decision else { panic!("{decision:?}") };
            fixture.balancer.heard(forward.agent, 0, now);
            chosen.insert(forward.agent);
        }
        prop_assert_eq!(chosen.len(), usize::from(AGENTS));
    }

    /// Withdrawals end, however often they followed each other.
    #[test]
    fn an_overloaded_balancer_returns_when_its_load_is_gone(
        looks in prop::collection::vec((0..200u64, 0..8usize, 0..8usize), 0..300),
    ) {
        let mut monitor = OverloadMonitor::default();
        let mut now = 0;
        for (wait, keeping_up, overloaded) in looks {
            now += LOOK_MS;
            monitor.look(wait, PeerLoad { keeping_up, overloaded }, now);
        }
        for _ in 0..=80 {
            now += LOOK_MS;
            monitor.look(0, PeerLoad { keeping_up: 5, overloaded: 0 }, now);
        }
        prop_assert!(!monitor.is_withdrawn() && !monitor.is_overloaded());
    }
}
