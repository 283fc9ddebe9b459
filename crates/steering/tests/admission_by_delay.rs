//! Which openings may wait at a balancer: those that would be served in time.

mod support;

use std::net::SocketAddrV4;

use support::queue::{
    BUDGET, caller, copy, first_ranked, flow_of, is_overloaded, is_queued, route, store,
};
use support::{Fixture, LATER, SERVICE, Store, agent, endpoint, forwarded, opening};
use weirhinge_fleet::{Millis, ReturnReason, Route, ServiceId, TargetLoad};
use weirhinge_steering::{
    ClientPacket, Context, Decision, DropReason, FlowKey, ResetReason, RoomGrant,
};

/// How long a client waits for its flow to open, less the journey of its request.
const PATIENCE: Millis = 1_400 - 30;

fn with_route(route: Route) -> Fixture {
    let mut store = Store::with_targets(3);
    store.configure(vec![route]);
    Fixture::new(&store)
}

fn budget(decision: &Decision) -> Millis {
    match decision {
        Decision::Queue { inputs, .. } => inputs.budget_ms,
        other => panic!("expected a waiting opening, got {other:?}"),
    }
}

#[test]
fn what_cannot_be_in_time_is_told_at_once() {
    let mut fixture = Fixture::new(&store(2));
    let flows = first_ranked(200);
    // One opening finds room every 10 ms: within the budget 92 do. The rate is counted over
    // 250 ms, so that it may be wrong by one in 25; the callers may use 0.95 of their budgets.
    let mut now = LATER;
    let mut arrivals = flows.iter();
    for _ in 0..6 {
        fixture.queue(*arrivals.next().expect("enough flows"), now);
    }
    for _ in 0..30 {
        fixture.queue(*arrivals.next().expect("enough flows"), now);
        now += 10;
        let (served, _) = fixture.serve(1, now).expect("openings wait");
        fixture.balancer.holds(served, agent(1), false, 0, now);
    }
    let tried: Vec<FlowKey> = arrivals.take(130).copied().collect();
    let decisions: Vec<Decision> =
        tried.iter().map(|flow| fixture.client(&opening(*flow), now)).collect();
    let waiting = decisions.iter().filter(|decision| is_queued(decision)).count();
    let before = 6;
    assert!((84..=96).contains(&(before + waiting)), "{waiting}");
    assert!(decisions[..84 - before].iter().all(is_queued));
    for decision in decisions.iter().filter(|decision| !is_queued(decision)) {
        let Decision::Reset { sequence: 0, reason } = decision else { panic!("{decision:?}") };
        let ResetReason::Overloaded { inputs } = reason else { panic!("{reason:?}") };
        assert_eq!((reason.label(), inputs.budget_ms), ("overloaded", BUDGET));
        assert!(inputs.ahead >= 84);
        assert!(inputs.expected_wait_ms.is_some_and(|wait| wait >= BUDGET * 95 / 100));
    }
    // Who is refused is refused again, as another flow.
    let refused = decisions.iter().position(is_overloaded).expect("some are refused");
    let caller = tried[refused].client;
    let client = SocketAddrV4::new(*caller.ip(), caller.port() + 1);
    let again = fixture.client(&opening(FlowKey { client, ..tried[refused] }), now);
    assert!(is_overloaded(&again));
}

#[test]
fn a_few_wait_while_nothing_is_known_of_the_rate() {
    let mut fixture = Fixture::new(&store(2));
    let decisions: Vec<Decision> =
        first_ranked(20).iter().map(|flow| fixture.open_at_busy(*flow, LATER)).collect();
    let waiting = decisions.iter().filter(|decision| is_queued(decision)).count();
    assert!((2..=8).contains(&waiting), "{waiting}");
    assert!(decisions[waiting..].iter().all(is_overloaded));
}

#[test]
fn the_budget_leaves_time_for_the_request_itself() {
    let mut fixture = Fixture::new(&store(3));
    let flows = first_ranked(2);
    fixture.queue(flows[0], LATER - 200);
    for (number, service_ms) in [(1, 80), (2, 200), (3, 900)] {
        let load = TargetLoad { service_ms: Some(service_ms), ..TargetLoad::default() };
        fixture.balancer.note_answer(agent(number), load, LATER);
    }
    let decision = fixture.client(&opening(flows[1]), LATER + 1);
    assert_eq!(budget(&decision), 1_000 - 200 - 30);
}

/// The first packet came to another balancer 200 ms before, or was lost.
#[test]
fn a_copy_that_is_seen_first_has_less_time() {
    let mut fixture = Fixture::new(&store(2));
    let flows = first_ranked(2);
    for (flow, (number, age)) in flows.iter().zip([(1, 200), (2, 600)]) {
        let header = copy(*flow, number);
        let decision = match fixture.client(&header, LATER) {
            Decision::Forward(forward) => {
                fixture.returned(&header, forward.agent, ReturnReason::Busy, LATER)
            }
            other => other,
        };
        assert_eq!(budget(&decision), BUDGET - age);
    }
    // A target of the other balancer may have taken it: its client is not told.
    let refused = fixture.due_refusals(LATER + BUDGET);
    assert!(
        refused
            .iter()
            .all(|opening| { opening.decision == Decision::Drop(DropReason::OpeningRefused) })
    );
    assert_eq!(refused.len(), 2);
}

#[test]
fn an_opening_waits_no_longer_than_its_client() {
    let route = Route { objective_ms: Some(60_000), ..route(endpoint(), SERVICE, 2) };
    let mut fixture = with_route(route);
    let decision = fixture.open_at_busy(first_ranked(1)[0], LATER);
    assert_eq!(budget(&decision), PATIENCE);
    assert!(fixture.due_refusals(LATER + PATIENCE - 1).is_empty());
    assert_eq!(fixture.due_refusals(LATER + PATIENCE).len(), 1);
}

#[test]
fn one_that_is_late_already_waits_only_where_it_holds_up_none() {
    let route = Route { objective_ms: Some(500), ..route(endpoint(), SERVICE, 2) };
    let mut fixture = with_route(route);
    let flows = first_ranked(2);
    let header = copy(flows[0], 2);
    let from = forwarded(&fixture.client(&header, LATER)).agent;
    let decision = fixture.returned(&header, from, ReturnReason::Busy, LATER);
    assert_eq!(budget(&decision), PATIENCE - 600);
    let second = fixture.client(&copy(flows[1], 2), LATER);
    assert_eq!(second, Decision::Drop(DropReason::OpeningRefused));
}

/// Targets that have room for one opening every five milliseconds, and the callers around.
struct Crowd {
    fixture: Fixture,
    now: Millis,
    callers: u32,
    /// Openings that are to come, in thousandths.
    due_permille: u64,
    room: u32,
    outcomes: Outcomes,
}

#[derive(Default)]
struct Outcomes {
    served: u32,
    longest_wait: Millis,
    refused_at_once: u32,
    refused_late: u32,
}

const ROOM_EVERY: Millis = 5;

impl Crowd {
    fn new() -> Self {
        Self {
            fixture: Fixture::new(&store(2)),
            now: LATER,
            callers: 0,
            due_permille: 0,
            room: 0,
            outcomes: Outcomes::default(),
        }
    }

    /// Lets so many openings come, in thousandths of those that find room, for a time.
    fn run(&mut self, arrivals_permille: u64, duration: Millis) -> Outcomes {
        for _ in 0..duration {
            self.now += 1;
            if self.now.is_multiple_of(ROOM_EVERY) {
                self.make_room();
            }
            let late = self.fixture.due_refusals(self.now).len();
            self.outcomes.refused_late += late as u32;
            self.due_permille += arrivals_permille / ROOM_EVERY;
            while self.due_permille >= 1_000 {
                self.due_permille -= 1_000;
                self.callers += 1;
                self.arrive(flow_of(caller(self.callers)));
            }
        }
        std::mem::take(&mut self.outcomes)
    }

    fn make_room(&mut self) {
        let service = ServiceId::of(SERVICE);
        let load = TargetLoad::default();
        let grant = RoomGrant { agent: agent(1), service, urgent_only: false, load };
        let (view, now) = (&self.fixture.view, self.now);
        let context = Context { view, fresh: true, helpers: &[], now, unix_ms: now };
        match self.fixture.balancer.grant(&context, &grant).granted {
            Some(opening) => {
                self.outcomes.longest_wait = self.outcomes.longest_wait.max(opening.waited_ms);
                self.opened(opening.header.client_flow());
            }
            None => self.room = (self.room + 1).min(2),
        }
    }

    fn arrive(&mut self, flow: FlowKey) {
        let header = opening(flow);
        let packet = ClientPacket { header: &header, bytes: b"packet" };
        let (view, now) = (&self.fixture.view, self.now);
        let context = Context { view, fresh: true, helpers: &[], now, unix_ms: now };
        let mut decision = self.fixture.balancer.client_packet(&context, packet);
        if let Decision::Forward(forward) = &decision {
            if self.room > 0 {
                self.room -= 1;
                return self.opened(flow);
            }
            let (agent, busy) = (forward.agent, ReturnReason::Busy);
            self.fixture.balancer.note_answer(agent, 0, now);
            let balancer = &mut self.fixture.balancer;
            decision = balancer.returned_packet(&context, packet, agent, busy, false);
        }
        match &decision {
            Decision::Queue { .. } => {}
            refused if is_overloaded(refused) => self.outcomes.refused_at_once += 1,
            other => panic!("unexpected: {other:?}"),
        }
    }

    fn opened(&mut self, flow: FlowKey) {
        self.outcomes.served += 1;
        self.fixture.balancer.holds(flow, agent(1), false, 0, self.now);
    }
}

/// Who waits is served in time, who would not be is told when it comes, and all room is used.
#[test]
fn the_wait_settles_below_the_budget() {
    for arrivals_permille in [1_200, 2_000, 4_000] {
        let mut crowd = Crowd::new();
        crowd.run(500, 1_000);
        crowd.run(arrivals_permille, 500);
        for second in 1..=8 {
            let outcomes = crowd.run(arrivals_permille, 1_000);
            let told = format!("{arrivals_permille} permille, second {second}");
            assert!(outcomes.longest_wait < BUDGET, "{told}: {}", outcomes.longest_wait);
            assert_eq!(outcomes.refused_late, 0, "{told}");
            assert_eq!(outcomes.served, 200, "{told}: all room is used");
        }
    }
}

/// Refused at once and late more than a second after a crowd, of openings that need less
/// than the room.
fn refused_after_crowd(arrivals_permille: u64, after_permille: u64) -> (u32, u32) {
    let mut crowd = Crowd::new();
    crowd.run(500, 1_000);
    let crowded = crowd.run(arrivals_permille, 4_000);
    assert!(crowded.refused_at_once > 0);
    crowd.run(after_permille, 1_000);
    let after = crowd.run(after_permille, 5_000);
    (after.refused_at_once, after.refused_late)
}

#[test]
fn refusals_end_within_a_second_of_the_crowd() {
    for (arrivals_permille, after_permille) in
        [(1_200, 500), (2_000, 500), (4_000, 500), (1_200, 800), (2_000, 800)]
    {
        let refused = refused_after_crowd(arrivals_permille, after_permille);
        assert_eq!(refused, (0, 0), "{after_permille} after {arrivals_permille} permille");
    }
}

#[test]
fn refusals_end_within_a_second_of_a_great_crowd_that_leaves_little_room() {
    assert_eq!(refused_after_crowd(4_000, 800), (0, 0));
}
