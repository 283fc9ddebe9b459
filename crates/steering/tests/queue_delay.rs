//! Whether an opening may wait: the load is a crowd that outlasts the queue.

use std::collections::{BTreeMap, VecDeque};
use std::net::Ipv4Addr;

use weirhinge_fleet::Millis;
use weirhinge_steering::{AdmissionRate, ClientRank, client_rank, may_wait};

/// What is left of a caller's objective for waiting.
const BUDGET_MS: Millis = 200;
/// Openings that find room in a second.
const CAPACITY: u64 = 400;
const CALLERS: u32 = 1_000;
const FIRST: ClientRank = ClientRank::SERVED_FIRST;
const LAST: ClientRank = ClientRank::REFUSED_FIRST;

/// One opening's fate.
#[derive(Clone, Copy, Debug)]
struct Outcome {
    caller: u32,
    arrived_at: Millis,
    /// When it was refused or found room.
    ended_at: Millis,
    was_refused: bool,
}

/// A queue with steady arrivals and room that comes at steady intervals.
#[derive(Default)]
struct Queue {
    rate: AdmissionRate,
    waiting: VecDeque<(u32, Millis)>,
    outcomes: Vec<Outcome>,
    now: Millis,
    arrivals: u64,
    /// Parts of an arrival and of an admission that are due, in thousandths.
    arrivals_due: u64,
    room_due: u64,
}

impl Queue {
    /// Runs for `length_ms` with so many arrivals and so much room in a second.
    fn run(&mut self, length_ms: Millis, arrivals: u64, capacity: u64) {
        for _ in 0..length_ms {
            self.arrivals_due += arrivals;
            while self.arrivals_due >= 1_000 {
                self.arrivals_due -= 1_000;
                self.arrive();
            }
            self.room_due = (self.room_due + capacity).min(1_999);
            if self.room_due >= 1_000 && !self.waiting.is_empty() {
                self.room_due -= 1_000;
                self.admit_first();
            }
            self.now += 1;
        }
    }

    fn arrive(&mut self) {
        // A stride without a common divisor visits all callers in turn.
        let caller = (self.arrivals * 377 % u64::from(CALLERS)) as u32;
        self.arrivals += 1;
        let ahead = self.waiting.len();
        let wait = self.rate.expected_wait(ahead, self.now);
        if may_wait(wait, ahead, BUDGET_MS, rank(caller)) {
            self.rate.waiting_began(self.now);
            self.waiting.push_back((caller, self.now));
        } else {
            self.end(caller, self.now, true);
        }
    }

    fn admit_first(&mut self) {
        let Some((caller, arrived_at)) = self.waiting.pop_front() else { return };
        self.rate.admitted(self.now);
        self.end(caller, arrived_at, false);
        if self.waiting.is_empty() {
            self.rate.waiting_ended(self.now);
        }
    }

    fn end(&mut self, caller: u32, arrived_at: Millis, was_refused: bool) {
        self.outcomes.push(Outcome { caller, arrived_at, ended_at: self.now, was_refused });
    }

    /// Openings that arrived in this span and were refused.
    fn refused(&self, from: Millis, to: Millis) -> usize {
        let span = from..to;
        let is_refusal =
            |outcome: &&Outcome| outcome.was_refused && span.contains(&outcome.arrived_at);
        self.outcomes.iter().filter(is_refusal).count()
    }

    /// Waits of openings that found room in this span.
    fn waits(&self, from: Millis, to: Millis) -> Vec<Millis> {
        let span = from..to;
        let served = self.outcomes.iter().filter(|outcome| !outcome.was_refused);
        let in_span = served.filter(|outcome| span.contains(&outcome.ended_at));
        in_span.map(|outcome| outcome.ended_at - outcome.arrived_at).collect()
    }
}

/// A rank within one epoch of all callers.
fn rank(caller: u32) -> ClientRank {
    client_rank(Ipv4Addr::from_bits(0x0a01_0000 + caller), 0)
}

/// Admits at a steady interval. Returns the time after the last admission.
fn admit_every(rate: &mut AdmissionRate, interval_ms: Millis, count: u64, from: Millis) -> Millis {
    rate.waiting_began(from);
    for number in 1..=count {
        rate.admitted(from + number * interval_ms);
    }
    from + count * interval_ms
}

#[test]
fn a_crowd_is_refused_at_the_rate_at_which_there_is_no_room() {
    for arrivals in [CAPACITY * 12 / 10, CAPACITY * 2] {
        let mut queue = Queue::default();
        queue.run(3_000, arrivals, CAPACITY);
        for from in (500..3_000).step_by(250) {
            let expected = (arrivals - CAPACITY) / 4;
            let refused = queue.refused(from, from + 250) as u64;
            // A tenth of what there is room for.
            let difference = refused.abs_diff(expected);
            assert!(difference <= CAPACITY / 40, "{refused} refused from {from} ms, {expected}");
        }
    }
}

#[test]
fn the_wait_in_a_crowd_is_steady_and_within_the_budget() {
    for arrivals in [CAPACITY * 12 / 10, CAPACITY * 2, CAPACITY * 10] {
        let mut queue = Queue::default();
        queue.run(3_000, arrivals, CAPACITY);
        let waits = queue.waits(0, 3_000);
        assert!(waits.iter().all(|wait| *wait <= BUDGET_MS), "{:?}", waits.iter().max());
        let steady = queue.waits(500, 3_000);
        let (shortest, longest) = (steady.iter().min(), steady.iter().max());
        let swing = longest.zip(shortest).map(|(longest, shortest)| longest - shortest);
        assert!(swing.is_some_and(|swing| swing <= BUDGET_MS / 4), "{shortest:?} {longest:?}");
    }
}

#[test]
fn room_is_never_left_unused_in_a_crowd() {
    for arrivals in [CAPACITY * 12 / 10, CAPACITY * 2, CAPACITY * 10] {
        let mut queue = Queue::default();
        queue.run(2_000, arrivals, CAPACITY);
        let served = queue.waits(0, 2_000).len() as u64;
        assert!(served >= CAPACITY * 2 * 98 / 100, "{served} served with {arrivals} arrivals");
    }
}

#[test]
fn nobody_is_refused_a_second_after_the_crowd() {
    let mut queue = Queue::default();
    queue.run(2_000, CAPACITY * 2, CAPACITY);
    queue.run(3_000, CAPACITY * 9 / 10, CAPACITY);
    assert_eq!(queue.refused(3_000, 5_000), 0);
}

#[test]
fn nobody_is_refused_while_there_is_room() {
    let mut queue = Queue::default();
    queue.run(5_000, CAPACITY * 95 / 100, CAPACITY);
    assert_eq!(queue.refused(0, 5_000), 0);
}

#[test]
fn the_same_callers_are_refused_throughout_an_epoch() {
    let mut queue = Queue::default();
    queue.run(4_000, CAPACITY * 2, CAPACITY);
    let mut fates: BTreeMap<u32, (u32, u32)> = BTreeMap::new();
    for outcome in queue.outcomes.iter().filter(|outcome| outcome.arrived_at >= 500) {
        let (served, refused) = fates.entry(outcome.caller).or_default();
        *(if outcome.was_refused { refused } else { served }) += 1;
    }
    let mixed = fates.values().filter(|(served, refused)| *served > 0 && *refused > 0).count();
    assert!(mixed <= fates.len() / 10, "{mixed} of {} callers have both", fates.len());
}

#[test]
fn a_capacity_that_halves_and_returns_is_followed_within_a_second() {
    let mut queue = Queue::default();
    let arrivals = CAPACITY * 9 / 10;
    queue.run(2_000, arrivals, CAPACITY);
    queue.run(3_000, arrivals, CAPACITY / 2);
    queue.run(3_000, arrivals, CAPACITY);
    assert_eq!(queue.refused(0, 2_000), 0);
    for from in (3_000..5_000).step_by(250) {
        let expected = (arrivals - CAPACITY / 2) / 4;
        let refused = queue.refused(from, from + 250) as u64;
        let difference = refused.abs_diff(expected);
        assert!(difference <= CAPACITY / 2 / 10, "{refused} refused from {from} ms, {expected}");
    }
    let waits = queue.waits(3_000, 5_000);
    assert!(waits.iter().all(|wait| *wait <= BUDGET_MS), "{:?}", waits.iter().max());
    assert_eq!(queue.refused(6_000, 8_000), 0);
}

#[test]
fn the_expected_wait_is_the_number_ahead_over_the_rate() {
    for interval in [2, 10, 20] {
        let mut rate = AdmissionRate::default();
        let now = admit_every(&mut rate, interval, 500, 1_000);
        let wait = rate.expected_wait(30, now).expect("the rate is known");
        let expected = 30 * interval;
        assert!(wait.abs_diff(expected) <= expected / 10, "{wait} ms, {expected} expected");
    }
}

#[test]
fn a_low_rate_refuses_at_once_all_but_the_first() {
    // Two a second: the second in the queue would wait for half a second.
    let mut rate = AdmissionRate::default();
    let last = admit_every(&mut rate, 500, 10, 0);
    for after in 0..500 {
        let wait_behind = |ahead| rate.expected_wait(ahead, last + after);
        assert!(may_wait(wait_behind(0), 0, BUDGET_MS, FIRST));
        assert!(!may_wait(wait_behind(1), 1, BUDGET_MS, FIRST), "{after} ms");
    }
}

#[test]
fn a_rate_that_dries_up_lets_the_expected_wait_grow() {
    let mut rate = AdmissionRate::default();
    let last = admit_every(&mut rate, 5, 100, 0);
    let waits: Vec<Millis> =
        (0..5_000).step_by(100).filter_map(|after| rate.expected_wait(5, last + after)).collect();
    assert_eq!(waits.len(), 50);
    assert!(waits.windows(2).all(|pair| pair[0] <= pair[1]), "{waits:?}");
    assert!(waits[3] > BUDGET_MS, "{waits:?}");
    assert!(waits[49] > 20_000, "{waits:?}");
}

#[test]
fn a_few_may_wait_before_the_first_admission() {
    let mut rate = AdmissionRate::default();
    rate.waiting_began(1_000);
    assert_eq!(rate.expected_wait(5, 1_100), None);
    assert!(may_wait(None, 0, BUDGET_MS, LAST));
    assert!(!may_wait(None, 100, BUDGET_MS, FIRST));
}

#[test]
fn time_without_waiting_openings_does_not_lower_the_rate() {
    let mut rate = AdmissionRate::default();
    let last = admit_every(&mut rate, 5, 100, 0);
    let before = rate.expected_wait(10, last);
    rate.waiting_ended(last);
    rate.waiting_began(last + 900);
    assert_eq!(rate.expected_wait(10, last + 900), before);
}

#[test]
fn a_rate_of_long_ago_is_forgotten() {
    let mut rate = AdmissionRate::default();
    let last = admit_every(&mut rate, 5, 100, 0);
    rate.waiting_ended(last);
    rate.waiting_began(last + 10_000);
    assert_eq!(rate.expected_wait(10, last + 10_000), None);
}

#[test]
fn the_caller_ranked_last_may_wait_a_quarter_of_its_budget() {
    assert!(may_wait(Some(BUDGET_MS), 9, BUDGET_MS, FIRST));
    assert!(!may_wait(Some(BUDGET_MS + 1), 9, BUDGET_MS, FIRST));
    assert!(may_wait(Some(BUDGET_MS / 4), 9, BUDGET_MS, LAST));
    assert!(!may_wait(Some(BUDGET_MS / 4 + 1), 9, BUDGET_MS, LAST));
}

#[test]
fn without_a_budget_nobody_waits() {
    assert!(!may_wait(Some(0), 0, 0, FIRST));
    assert!(!may_wait(None, 0, 0, FIRST));
}

#[test]
fn clocks_that_go_back_do_no_harm() {
    let mut rate = AdmissionRate::default();
    admit_every(&mut rate, 10, 10, 5_000);
    rate.admitted(1_000);
    rate.waiting_ended(500);
    rate.waiting_began(0);
    assert!(rate.expected_wait(usize::MAX, 0).is_some());
}
