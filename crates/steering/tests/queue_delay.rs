//! Whether an opening may wait, in an overload that outlasts the queue.

use std::collections::{BTreeMap, VecDeque};
use std::net::Ipv4Addr;

use weirhinge_fleet::Millis;
use weirhinge_steering::{AdmissionRate, ClientRank, client_rank, may_wait};

/// Part of a client's objective that is left for waiting.
const BUDGET_MS: Millis = 200;
/// Openings admitted per second.
const CAPACITY: u64 = 400;
const CLIENTS: u32 = 1_000;
const FIRST: ClientRank = ClientRank::SERVED_FIRST;
const LAST: ClientRank = ClientRank::REFUSED_FIRST;

/// Outcome of one opening.
#[derive(Clone, Copy, Debug)]
struct Outcome {
    client: u32,
    arrived_at: Millis,
    /// When the opening was refused or admitted.
    ended_at: Millis,
    was_refused: bool,
}

/// A queue with steady arrivals and steady admissions.
#[derive(Default)]
struct Queue {
    rate: AdmissionRate,
    waiting: VecDeque<(u32, Millis)>,
    outcomes: Vec<Outcome>,
    now: Millis,
    arrivals: u64,
    /// Fractions of an arrival and of an admission that are due, in thousandths.
    arrivals_due: u64,
    admissions_due: u64,
}

impl Queue {
    /// Runs for `length_ms` with the given numbers of arrivals and admissions per second.
    fn run(&mut self, length_ms: Millis, arrivals: u64, capacity: u64) {
        for _ in 0..length_ms {
            self.arrivals_due += arrivals;
            while self.arrivals_due >= 1_000 {
                self.arrivals_due -= 1_000;
                self.arrive();
            }
            self.admissions_due = (self.admissions_due + capacity).min(1_999);
            if self.admissions_due >= 1_000 && !self.waiting.is_empty() {
                self.admissions_due -= 1_000;
                self.admit_first();
            }
            self.now += 1;
        }
    }

    fn arrive(&mut self) {
        // The stride is coprime to the number of clients, so all clients take turns.
        let client = (self.arrivals * 377 % u64::from(CLIENTS)) as u32;
        self.arrivals += 1;
        let ahead = self.waiting.len();
        let wait = self.rate.expected_wait(ahead, self.now);
        if may_wait(wait, ahead, BUDGET_MS, rank(client)) {
            self.rate.note_waiting_started(self.now);
            self.waiting.push_back((client, self.now));
        } else {
            self.end(client, self.now, true);
        }
    }

    fn admit_first(&mut self) {
        let Some((client, arrived_at)) = self.waiting.pop_front() else { return };
        self.rate.note_admitted(self.now);
        self.end(client, arrived_at, false);
        if self.waiting.is_empty() {
            self.rate.note_waiting_ended(self.now);
        }
    }

    fn end(&mut self, client: u32, arrived_at: Millis, was_refused: bool) {
        self.outcomes.push(Outcome { client, arrived_at, ended_at: self.now, was_refused });
    }

    /// Number of openings that arrived in this span and were refused.
    fn refused(&self, from: Millis, to: Millis) -> usize {
        let span = from..to;
        let is_refusal =
            |outcome: &&Outcome| outcome.was_refused && span.contains(&outcome.arrived_at);
        self.outcomes.iter().filter(is_refusal).count()
    }

    /// Waits of openings admitted in this span, in milliseconds.
    fn waits(&self, from: Millis, to: Millis) -> Vec<Millis> {
        let span = from..to;
        let served = self.outcomes.iter().filter(|outcome| !outcome.was_refused);
        let in_span = served.filter(|outcome| span.contains(&outcome.ended_at));
        in_span.map(|outcome| outcome.ended_at - outcome.arrived_at).collect()
    }
}

/// The client's rank at a fixed time, so that all clients are in one epoch.
fn rank(client: u32) -> ClientRank {
    client_rank(Ipv4Addr::from_bits(0x0a01_0000 + client), 0)
}

/// Admits openings at a steady interval. Returns the time of the last admission.
fn admit_every(rate: &mut AdmissionRate, interval_ms: Millis, count: u64, from: Millis) -> Millis {
    rate.note_waiting_started(from);
    for number in 1..=count {
        rate.note_admitted(from + number * interval_ms);
    }
    from + count * interval_ms
}

#[test]
fn refusal_rate_matches_the_excess_arrivals() {
    for arrivals in [CAPACITY * 12 / 10, CAPACITY * 2] {
        let mut queue = Queue::default();
        queue.run(3_000, arrivals, CAPACITY);
        for from in (500..3_000).step_by(250) {
            let expected = (arrivals - CAPACITY) / 4;
            let refused = queue.refused(from, from + 250) as u64;
            // The tolerance is a tenth of the admissions.
            let difference = refused.abs_diff(expected);
            assert!(
                difference <= CAPACITY / 40,
                "{refused} refused from {from} ms, expected {expected}"
            );
        }
    }
}

#[test]
fn wait_under_overload_is_steady_and_within_the_budget() {
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
fn capacity_is_fully_used_under_overload() {
    for arrivals in [CAPACITY * 12 / 10, CAPACITY * 2, CAPACITY * 10] {
        let mut queue = Queue::default();
        queue.run(2_000, arrivals, CAPACITY);
        let served = queue.waits(0, 2_000).len() as u64;
        assert!(served >= CAPACITY * 2 * 98 / 100, "{served} served with {arrivals} arrivals");
    }
}

#[test]
fn no_refusals_a_second_after_an_overload() {
    let mut queue = Queue::default();
    queue.run(2_000, CAPACITY * 2, CAPACITY);
    queue.run(3_000, CAPACITY * 9 / 10, CAPACITY);
    assert_eq!(queue.refused(3_000, 5_000), 0);
}

#[test]
fn no_refusals_below_capacity() {
    let mut queue = Queue::default();
    queue.run(5_000, CAPACITY * 95 / 100, CAPACITY);
    assert_eq!(queue.refused(0, 5_000), 0);
}

#[test]
fn same_clients_are_refused_throughout_an_epoch() {
    let mut queue = Queue::default();
    queue.run(4_000, CAPACITY * 2, CAPACITY);
    let mut outcomes_by_client: BTreeMap<u32, (u32, u32)> = BTreeMap::new();
    for outcome in queue.outcomes.iter().filter(|outcome| outcome.arrived_at >= 500) {
        let (served, refused) = outcomes_by_client.entry(outcome.client).or_default();
        *(if outcome.was_refused { refused } else { served }) += 1;
    }
    let mixed =
        outcomes_by_client.values().filter(|(served, refused)| *served > 0 && *refused > 0).count();
    assert!(
        mixed <= outcomes_by_client.len() / 10,
        "{mixed} of {} clients were both served and refused",
        outcomes_by_client.len()
    );
}

#[test]
fn admission_adapts_to_a_capacity_change_within_a_second() {
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
        assert!(
            difference <= CAPACITY / 2 / 10,
            "{refused} refused from {from} ms, expected {expected}"
        );
    }
    let waits = queue.waits(3_000, 5_000);
    assert!(waits.iter().all(|wait| *wait <= BUDGET_MS), "{:?}", waits.iter().max());
    assert_eq!(queue.refused(6_000, 8_000), 0);
}

#[test]
fn expected_wait_is_the_number_ahead_over_the_rate() {
    for interval in [2, 10, 20] {
        let mut rate = AdmissionRate::default();
        let now = admit_every(&mut rate, interval, 500, 1_000);
        let wait = rate.expected_wait(30, now).expect("the rate is known");
        let expected = 30 * interval;
        assert!(wait.abs_diff(expected) <= expected / 10, "{wait} ms, {expected} expected");
    }
}

#[test]
fn low_rate_refuses_all_but_the_first_opening() {
    // At two admissions per second, the second opening in the queue would wait for half a second.
    let mut rate = AdmissionRate::default();
    let last = admit_every(&mut rate, 500, 10, 0);
    for after in 0..500 {
        let wait_behind = |ahead| rate.expected_wait(ahead, last + after);
        assert!(may_wait(wait_behind(0), 0, BUDGET_MS, FIRST));
        assert!(!may_wait(wait_behind(1), 1, BUDGET_MS, FIRST), "{after} ms");
    }
}

#[test]
fn expected_wait_grows_when_admissions_stop() {
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
fn a_few_openings_may_wait_before_the_first_admission() {
    let mut rate = AdmissionRate::default();
    rate.note_waiting_started(1_000);
    assert_eq!(rate.expected_wait(5, 1_100), None);
    assert!(may_wait(None, 0, BUDGET_MS, LAST));
    assert!(!may_wait(None, 100, BUDGET_MS, FIRST));
}

#[test]
fn idle_time_does_not_lower_the_rate() {
    let mut rate = AdmissionRate::default();
    let last = admit_every(&mut rate, 5, 100, 0);
    let before = rate.expected_wait(10, last);
    rate.note_waiting_ended(last);
    rate.note_waiting_started(last + 900);
    assert_eq!(rate.expected_wait(10, last + 900), before);
}

#[test]
fn outdated_rate_is_discarded() {
    let mut rate = AdmissionRate::default();
    let last = admit_every(&mut rate, 5, 100, 0);
    rate.note_waiting_ended(last);
    rate.note_waiting_started(last + 10_000);
    assert_eq!(rate.expected_wait(10, last + 10_000), None);
}

#[test]
fn lowest_ranked_client_may_wait_a_quarter_of_its_budget() {
    assert!(may_wait(Some(BUDGET_MS), 9, BUDGET_MS, FIRST));
    assert!(!may_wait(Some(BUDGET_MS + 1), 9, BUDGET_MS, FIRST));
    assert!(may_wait(Some(BUDGET_MS / 4), 9, BUDGET_MS, LAST));
    assert!(!may_wait(Some(BUDGET_MS / 4 + 1), 9, BUDGET_MS, LAST));
}

#[test]
fn no_opening_waits_without_a_budget() {
    assert!(!may_wait(Some(0), 0, 0, FIRST));
    assert!(!may_wait(None, 0, 0, FIRST));
}

#[test]
fn clock_may_go_backwards() {
    let mut rate = AdmissionRate::default();
    admit_every(&mut rate, 10, 10, 5_000);
    rate.note_admitted(1_000);
    rate.note_waiting_ended(500);
    rate.note_waiting_started(0);
    assert!(rate.expected_wait(usize::MAX, 0).is_some());
}
