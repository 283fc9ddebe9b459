//! Callers among themselves: the load is one caller with many openings among those with
//! one, at a service without room for all.

use std::collections::{BTreeMap, VecDeque};
use std::net::Ipv4Addr;

use weirhinge_fleet::Millis;
use weirhinge_steering::{AdmissionRate, CallerShares, ClientRank, client_rank, may_wait};

const BUDGET_MS: Millis = 200;
const HEAVY: Ipv4Addr = Ipv4Addr::new(10, 9, 9, 9);
const LIGHT_CALLERS: u64 = 40;
const HEAVY_OPENINGS: u64 = 50;
/// Seconds of a run, a hundred epochs of the ranks: callers have equal shares over many.
const SECONDS: u64 = 400;
/// Seconds at its begin that are not counted.
const SETTLING_SECONDS: u64 = 1;

fn light(number: u64) -> Ipv4Addr {
    Ipv4Addr::from_bits(0x0a01_0000 + number as u32)
}

/// What each caller was granted and refused.
#[derive(Clone, Copy, Debug, Default)]
struct Fate {
    served: u64,
    refused: u64,
}

#[derive(Default)]
struct Queue {
    rate: AdmissionRate,
    shares: CallerShares,
    waiting: VecDeque<Ipv4Addr>,
    fates: BTreeMap<Ipv4Addr, Fate>,
}

impl Queue {
    fn arrive(&mut self, caller: Ipv4Addr, now: Millis) {
        let ahead = self.waiting.len();
        let rank = self.shares.rank(caller, client_rank(caller, now), now);
        if may_wait(self.rate.expected_wait(ahead, now), ahead, BUDGET_MS, rank) {
            self.rate.waiting_began(now);
            self.shares.waits(caller);
            self.waiting.push_back(caller);
        } else if now >= SETTLING_SECONDS * 1_000 {
            self.fates.entry(caller).or_default().refused += 1;
        }
    }

    fn admit_first(&mut self, now: Millis) {
        let Some(caller) = self.waiting.pop_front() else { return };
        self.rate.admitted(now);
        self.shares.admitted(caller, now);
        if self.waiting.is_empty() {
            self.rate.waiting_ended(now);
        }
        if now >= SETTLING_SECONDS * 1_000 {
            self.fates.entry(caller).or_default().served += 1;
        }
    }

    fn fate(&self, caller: Ipv4Addr) -> Fate {
        self.fates.get(&caller).copied().unwrap_or_default()
    }

    fn light_fates(&self) -> impl Iterator<Item = Fate> {
        (0..LIGHT_CALLERS).map(|number| self.fate(light(number)))
    }
}

/// Forty callers open one flow a second each, in an order that changes with each second:
/// in the same order, the few places of a short queue would always be free for the same
/// ones. Another caller opens fifty.
fn run(capacity: u64) -> Queue {
    let mut queue = Queue::default();
    let mut room_due = 0;
    for now in 0..SECONDS * 1_000 {
        let in_second = now % 1_000;
        if in_second % (1_000 / HEAVY_OPENINGS) == 0 {
            queue.arrive(HEAVY, now);
        }
        if in_second % (1_000 / LIGHT_CALLERS) == 7 {
            let place = in_second / (1_000 / LIGHT_CALLERS) + now / 1_000 * 7;
            queue.arrive(light(place % LIGHT_CALLERS), now);
        }
        room_due = (room_due + capacity).min(1_999);
        if room_due >= 1_000 && !queue.waiting.is_empty() {
            room_due -= 1_000;
            queue.admit_first(now);
        }
    }
    queue
}

#[test]
fn callers_with_one_opening_are_served_while_there_is_room_for_them() {
    for capacity in [60, 75] {
        let queue = run(capacity);
        let light_refused: u64 = queue.light_fates().map(|fate| fate.refused).sum();
        let light_openings = LIGHT_CALLERS * (SECONDS - SETTLING_SECONDS);
        assert!(light_refused * 50 <= light_openings, "{light_refused} of {light_openings}");
        // Who has more gets what the others leave.
        let heavy = queue.fate(HEAVY).served;
        let left = (capacity - LIGHT_CALLERS) * (SECONDS - SETTLING_SECONDS);
        assert!(heavy >= left * 9 / 10, "{heavy} served of {left} left, {capacity} a second");
    }
}

#[test]
fn with_room_for_fewer_than_there_are_callers_all_get_about_the_same() {
    let queue = run(30);
    let seconds = SECONDS - SETTLING_SECONDS;
    let heavy = queue.fate(HEAVY).served;
    assert!(heavy <= 3 * seconds, "{heavy} served in {seconds} s");
    assert!(heavy > 0);
    for fate in queue.light_fates() {
        assert!(fate.served * 2 >= seconds, "{fate:?}");
    }
}

#[test]
fn one_burst_of_many_openings_does_not_push_out_later_callers() {
    let mut queue = Queue::default();
    let begin = SETTLING_SECONDS * 1_000;
    // Some others were served just before.
    for number in 0..LIGHT_CALLERS {
        queue.shares.waits(light(number));
        queue.shares.admitted(light(number), begin);
    }
    for _ in 0..HEAVY_OPENINGS {
        queue.arrive(HEAVY, begin);
    }
    for number in 0..LIGHT_CALLERS {
        let now = begin + number * 20;
        queue.admit_first(now);
        queue.arrive(light(100 + number), now);
    }
    let refused = (0..LIGHT_CALLERS).filter(|number| queue.fate(light(100 + number)).refused > 0);
    assert_eq!(refused.count(), 0);
    assert!(queue.fate(HEAVY).refused >= HEAVY_OPENINGS - 2);
}

#[test]
fn a_caller_on_its_own_keeps_its_rank() {
    let mut shares = CallerShares::default();
    for _ in 0..HEAVY_OPENINGS {
        shares.waits(HEAVY);
    }
    assert_eq!(shares.rank(HEAVY, ClientRank::SERVED_FIRST, 0), ClientRank::SERVED_FIRST);
}

#[test]
fn callers_with_equal_numbers_are_equals() {
    let mut shares = CallerShares::default();
    for caller in [light(1), light(2), light(3)] {
        for _ in 0..20 {
            shares.waits(caller);
        }
    }
    for caller in [light(1), light(2), light(3), light(9)] {
        let own = ClientRank::from(12_345);
        assert_eq!(shares.rank(caller, own, 0), own, "{caller}");
    }
}

#[test]
fn what_was_admitted_counts_for_a_second() {
    let mut shares = CallerShares::default();
    shares.waits(light(1));
    for _ in 0..5 {
        shares.waits(HEAVY);
        shares.admitted(HEAVY, 100);
    }
    let own = ClientRank::SERVED_FIRST;
    assert!(shares.rank(HEAVY, own, 1_099) > ClientRank::REFUSED_FIRST);
    assert_eq!(shares.rank(HEAVY, own, 1_100), own);
}

#[test]
fn openings_that_gave_up_do_not_count() {
    let mut shares = CallerShares::default();
    shares.waits(light(1));
    shares.waits(HEAVY);
    shares.waits(HEAVY);
    shares.gave_up(HEAVY);
    shares.gave_up(HEAVY);
    shares.gave_up(HEAVY);
    assert_eq!(shares.rank(HEAVY, ClientRank::SERVED_FIRST, 0), ClientRank::SERVED_FIRST);
}

#[test]
fn ranks_get_worse_with_each_share_and_keep_their_order() {
    let ranks = [0, 1, 20_000, 40_000, u16::MAX].map(ClientRank::from);
    for times in 0..200 {
        let worse = ranks.map(|rank| rank.with_shares_used(times + 1));
        let better = ranks.map(|rank| rank.with_shares_used(times));
        assert!(better[4] <= worse[0], "{times} shares: {better:?} {worse:?}");
        assert!(worse.is_sorted(), "{worse:?}");
    }
    let worst = ClientRank::REFUSED_FIRST.with_shares_used(u32::MAX);
    assert!(may_wait(Some(BUDGET_MS / 8), 1, BUDGET_MS, worst));
    assert!(!may_wait(Some(BUDGET_MS / 8 + 1), 1, BUDGET_MS, worst));
}

#[test]
fn the_table_stays_bounded() {
    let mut shares = CallerShares::default();
    for number in 0..10_000 {
        shares.waits(light(number));
        shares.admitted(light(number), 5);
    }
    // The first of these are no longer known.
    shares.waits(light(0));
    shares.waits(light(0));
    let rank = shares.rank(light(0), ClientRank::SERVED_FIRST, 5);
    assert_eq!(rank, ClientRank::SERVED_FIRST.with_shares_used(1));
    for _ in 0..3 {
        shares.gave_up(light(0));
    }
    assert_eq!(shares.rank(light(0), ClientRank::SERVED_FIRST, 5), ClientRank::SERVED_FIRST);
}
