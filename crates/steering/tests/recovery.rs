//! No state is permanent: once faults end, every balancer is ready and every target gets new flows
//! again, regardless of earlier events.

mod support;

use proptest::prelude::*;
use support::{Fixture, LATER, SERVICE, Store, agent, flow, opening, target_status};
use weirhinge_fleet::{Millis, ReturnReason, ZoneId};
use weirhinge_steering::{AgentStatuses, Decision, OverloadMonitor, PeerLoad};

/// Number of agents in the model.
const AGENTS: u8 = 5;
/// Interval between an agent's digests.
const DIGEST_MS: Millis = 500;
/// Interval between checks of a balancer's connectivity.
const CHECK_MS: Millis = 100;
/// Time after the last fault within which everything is in service again.
const RECOVERED_MS: Millis = 4_000;

/// An event at a balancer while faults last.
#[derive(Clone, Copy, Debug)]
enum Event {
    /// A client opens a flow, and no answer arrives.
    Opening(u16),
    /// An agent answered a packet.
    Answered(u8),
    /// An agent reported its target's status, and whether the agent is shutting down.
    StatusReported(u8, bool),
    /// An agent returned an opening packet.
    Returned(u8, ReturnReason),
    /// Time passes.
    TimePasses(Millis),
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
        1 => number.clone().prop_map(Event::Answered),
        2 => (number.clone(), any::<bool>())
            .prop_map(|(agent, leaving)| Event::StatusReported(agent, leaving)),
        2 => (number, reason).prop_map(|(agent, reason)| Event::Returned(agent, reason)),
        3 => (1..900u64).prop_map(Event::TimePasses),
    ];
    prop::collection::vec(event, 0..120)
}

fn apply_event(fixture: &mut Fixture, event: Event, now: &mut Millis) {
    match event {
        Event::Opening(port) => {
            fixture.client(&opening(flow(port)), *now);
        }
        Event::Answered(number) => fixture.balancer.note_answer(agent(number), 0, *now),
        Event::StatusReported(number, leaving) => {
            let target_status = weirhinge_fleet::TargetStatus { leaving, ..target_status(SERVICE) };
            fixture.balancer.note_target_status(
                agent(number),
                ZoneId::of("a"),
                &target_status,
                *now,
            );
        }
        Event::Returned(number, reason) => {
            fixture.returned(&opening(flow(9_999)), agent(number), reason, *now);
        }
        Event::TimePasses(elapsed_ms) => *now += elapsed_ms,
    }
}

/// All agents send digests and answer probes again, while routers send nothing to a balancer that
/// is not ready. Returns whether the balancer is ready in the end.
fn is_ready_after_recovery(fixture: &mut Fixture, mut now: Millis) -> bool {
    let end = now + RECOVERED_MS;
    while now < end {
        now += CHECK_MS;
        if now % DIGEST_MS < CHECK_MS {
            for number in 1..=AGENTS {
                fixture.note_target_status(agent(number), now);
            }
        }
        if fixture.balancer.needs_probes(now) {
            fixture.balancer.note_probe_answer(now);
        }
    }
    !fixture.balancer.is_isolated(now)
}

/// If only an answer to a client's packet ended the isolation, the balancer would stay not ready
/// forever, because routers send no packets to a balancer that is not ready.
#[test]
fn isolated_balancer_recovers_without_client_packets() {
    let mut fixture = Fixture::new(&Store::with_targets(AGENTS));
    fixture.note_target_status(agent(1), LATER);
    for port in 0..30 {
        fixture.client(&opening(flow(port)), LATER);
    }
    fixture.note_target_status(agent(1), LATER + 800);
    assert!(
        fixture.balancer.is_isolated(LATER + 800),
        "digests arrive, but opening packets are not answered"
    );
    assert!(is_ready_after_recovery(&mut fixture, LATER + 800));
}

#[test]
fn probe_answer_ends_isolation() {
    let mut statuses = AgentStatuses::default();
    statuses.note_target_status(agent(1), ZoneId::of("a"), &target_status(SERVICE), 0);
    for _ in 0..8 {
        statuses.note_opening_sent(agent(1), 10);
    }
    assert!(!statuses.needs_probes(100) && statuses.needs_probes(160));
    statuses.note_target_status(agent(1), ZoneId::of("a"), &target_status(SERVICE), 700);
    assert!(statuses.is_isolated(710));
    statuses.note_probe_answer(720);
    assert!(!statuses.is_isolated(720) && !statuses.needs_probes(2_000));
}

proptest! {
    #[test]
    fn balancer_and_all_targets_recover_after_any_events(events in events()) {
        let mut fixture = Fixture::new(&Store::with_targets(AGENTS));
        let mut now = LATER;
        for event in events {
            apply_event(&mut fixture, event, &mut now);
        }
        prop_assert!(is_ready_after_recovery(&mut fixture, now));
        now += RECOVERED_MS;
        let mut chosen = std::collections::BTreeSet::new();
        for port in 3_000..3_200 {
            let decision = fixture.client(&opening(flow(port)), now);
            let Decision::Forward(forward) = decision else { panic!("{decision:?}") };
            fixture.balancer.note_answer(forward.agent, 0, now);
            chosen.insert(forward.agent);
        }
        prop_assert_eq!(chosen.len(), usize::from(AGENTS));
    }

    /// Withdrawals end, regardless of how often they followed each other.
    #[test]
    fn withdrawn_balancer_returns_when_load_is_gone(
        samples in prop::collection::vec((0..200u64, 0..8usize, 0..8usize), 0..300),
    ) {
        let mut monitor = OverloadMonitor::default();
        let mut now = 0;
        for (wait, keeping_up, overloaded) in samples {
            now += CHECK_MS;
            monitor.observe(wait, PeerLoad { keeping_up, overloaded }, now);
        }
        for _ in 0..=80 {
            now += CHECK_MS;
            monitor.observe(0, PeerLoad { keeping_up: 5, overloaded: 0 }, now);
        }
        prop_assert!(!monitor.is_withdrawn() && !monitor.is_overloaded());
    }
}
