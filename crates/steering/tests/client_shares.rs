//! Fairness between clients: one client with many openings competes with many clients that have one
//! each, at a service without capacity for all of them.

use std::collections::{BTreeMap, VecDeque};
use std::net::Ipv4Addr;

use weirhinge_fleet::Millis;
use weirhinge_steering::{AdmissionRate, ClientRank, ClientShares, client_rank, may_wait};

const BUDGET_MS: Millis = 200;
const HEAVY: Ipv4Addr = Ipv4Addr::new(10, 9, 9, 9);
const LIGHT_CLIENTS: u64 = 40;
const HEAVY_OPENINGS: u64 = 50;
/// Duration of a run: a hundred epochs of the ranks, because shares are equal only over many
/// epochs.
const SECONDS: u64 = 400;
/// Initial seconds of a run that are not counted.
const WARM_UP_SECONDS: u64 = 1;

fn light(number: u64) -> Ipv4Addr {
    Ipv4Addr::from_bits(0x0a01_0000 + number as u32)
}

/// Numbers of a client's admitted and refused openings.
#[derive(Clone, Copy, Debug, Default)]
struct Outcomes {
    served: u64,
    refused: u64,
}

#[derive(Default)]
struct Queue {
    rate: AdmissionRate,
    shares: ClientShares,
    waiting: VecDeque<Ipv4Addr>,
    outcomes: BTreeMap<Ipv4Addr, Outcomes>,
}

impl Queue {
    fn arrive(&mut self, client: Ipv4Addr, now: Millis) {
        let ahead = self.waiting.len();
        let rank = self.shares.rank(client, client_rank(client, now), now);
        if may_wait(self.rate.expected_wait(ahead, now), ahead, BUDGET_MS, rank) {
            self.rate.note_waiting_started(now);
            self.shares.note_queued(client);
            self.waiting.push_back(client);
        } else if now >= WARM_UP_SECONDS * 1_000 {
            self.outcomes.entry(client).or_default().refused += 1;
        }
    }

    fn admit_first(&mut self, now: Millis) {
        let Some(client) = self.waiting.pop_front() else { return };
        self.rate.note_admitted(now);
        self.shares.note_admitted(client, now);
        if self.waiting.is_empty() {
            self.rate.note_waiting_ended(now);
        }
        if now >= WARM_UP_SECONDS * 1_000 {
            self.outcomes.entry(client).or_default().served += 1;
        }
    }

    fn outcomes_of(&self, client: Ipv4Addr) -> Outcomes {
        self.outcomes.get(&client).copied().unwrap_or_default()
    }

    fn light_outcomes(&self) -> impl Iterator<Item = Outcomes> {
        (0..LIGHT_CLIENTS).map(|number| self.outcomes_of(light(number)))
    }
}

/// Forty clients open one flow per second each, in an order that changes every second; with a fixed
/// order, the few places of a short queue would always be free for the same clients. One more
/// client opens fifty flows per second.
fn run(capacity: u64) -> Queue {
    let mut queue = Queue::default();
    let mut admissions_due = 0;
    for now in 0..SECONDS * 1_000 {
        let in_second = now % 1_000;
        if in_second % (1_000 / HEAVY_OPENINGS) == 0 {
            queue.arrive(HEAVY, now);
        }
        if in_second % (1_000 / LIGHT_CLIENTS) == 7 {
            let place = in_second / (1_000 / LIGHT_CLIENTS) + now / 1_000 * 7;
            queue.arrive(light(place % LIGHT_CLIENTS), now);
        }
        admissions_due = (admissions_due + capacity).min(1_999);
        if admissions_due >= 1_000 && !queue.waiting.is_empty() {
            admissions_due -= 1_000;
            queue.admit_first(now);
        }
    }
    queue
}

#[test]
fn clients_with_one_opening_are_served_while_there_is_capacity() {
    for capacity in [60, 75] {
        let queue = run(capacity);
        let light_refused: u64 =
            queue.light_outcomes().map(|client_outcomes| client_outcomes.refused).sum();
        let light_openings = LIGHT_CLIENTS * (SECONDS - WARM_UP_SECONDS);
        assert!(
            light_refused * 50 <= light_openings,
            "{light_refused} of {light_openings} refused"
        );
        // A client with more openings gets the capacity that the others leave.
        let heavy = queue.outcomes_of(HEAVY).served;
        let left = (capacity - LIGHT_CLIENTS) * (SECONDS - WARM_UP_SECONDS);
        assert!(
            heavy >= left * 9 / 10,
            "{heavy} served of {left} left, capacity {capacity} per second"
        );
    }
}

#[test]
fn clients_get_similar_shares_when_capacity_is_short() {
    let queue = run(30);
    let seconds = SECONDS - WARM_UP_SECONDS;
    let heavy = queue.outcomes_of(HEAVY).served;
    assert!(heavy <= 3 * seconds, "{heavy} served in {seconds} s");
    assert!(heavy > 0);
    for client_outcomes in queue.light_outcomes() {
        assert!(client_outcomes.served * 2 >= seconds, "{client_outcomes:?}");
    }
}

#[test]
fn burst_of_one_client_does_not_displace_later_clients() {
    let mut queue = Queue::default();
    let begin = WARM_UP_SECONDS * 1_000;
    // Some other clients were served just before.
    for number in 0..LIGHT_CLIENTS {
        queue.shares.note_queued(light(number));
        queue.shares.note_admitted(light(number), begin);
    }
    for _ in 0..HEAVY_OPENINGS {
        queue.arrive(HEAVY, begin);
    }
    for number in 0..LIGHT_CLIENTS {
        let now = begin + number * 20;
        queue.admit_first(now);
        queue.arrive(light(100 + number), now);
    }
    let refused =
        (0..LIGHT_CLIENTS).filter(|number| queue.outcomes_of(light(100 + number)).refused > 0);
    assert_eq!(refused.count(), 0);
    assert!(queue.outcomes_of(HEAVY).refused >= HEAVY_OPENINGS - 2);
}

#[test]
fn single_client_keeps_its_rank() {
    let mut shares = ClientShares::default();
    for _ in 0..HEAVY_OPENINGS {
        shares.note_queued(HEAVY);
    }
    assert_eq!(shares.rank(HEAVY, ClientRank::SERVED_FIRST, 0), ClientRank::SERVED_FIRST);
}

#[test]
fn clients_with_equal_openings_keep_their_ranks() {
    let mut shares = ClientShares::default();
    for client in [light(1), light(2), light(3)] {
        for _ in 0..20 {
            shares.note_queued(client);
        }
    }
    for client in [light(1), light(2), light(3), light(9)] {
        let own = ClientRank::from(12_345);
        assert_eq!(shares.rank(client, own, 0), own, "{client}");
    }
}

#[test]
fn admitted_openings_count_for_a_second() {
    let mut shares = ClientShares::default();
    shares.note_queued(light(1));
    for _ in 0..5 {
        shares.note_queued(HEAVY);
        shares.note_admitted(HEAVY, 100);
    }
    let own = ClientRank::SERVED_FIRST;
    assert!(shares.rank(HEAVY, own, 1_099) > ClientRank::REFUSED_FIRST);
    assert_eq!(shares.rank(HEAVY, own, 1_100), own);
}

#[test]
fn openings_that_gave_up_do_not_count() {
    let mut shares = ClientShares::default();
    shares.note_queued(light(1));
    shares.note_queued(HEAVY);
    shares.note_queued(HEAVY);
    shares.note_given_up(HEAVY);
    shares.note_given_up(HEAVY);
    shares.note_given_up(HEAVY);
    assert_eq!(shares.rank(HEAVY, ClientRank::SERVED_FIRST, 0), ClientRank::SERVED_FIRST);
}

#[test]
fn rank_worsens_with_each_share_and_keeps_its_order() {
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
fn recent_openings_are_bounded() {
    let mut shares = ClientShares::default();
    for number in 0..10_000 {
        shares.note_queued(light(number));
        shares.note_admitted(light(number), 5);
    }
    // The first of these clients have been dropped from the table.
    shares.note_queued(light(0));
    shares.note_queued(light(0));
    let rank = shares.rank(light(0), ClientRank::SERVED_FIRST, 5);
    assert_eq!(rank, ClientRank::SERVED_FIRST.with_shares_used(1));
    for _ in 0..3 {
        shares.note_given_up(light(0));
    }
    assert_eq!(shares.rank(light(0), ClientRank::SERVED_FIRST, 5), ClientRank::SERVED_FIRST);
}
