//! Which callers go first when there is no room for all.

use std::net::Ipv4Addr;

use weirhinge_steering::{RANK_EPOCH_MS, caller_rank};

const RANGE: u64 = 1 << 16;
const CALLERS: u32 = 10_000;
/// A time of day, some way into an epoch.
const NOW: u64 = 1_790_000_001_234;

fn callers() -> impl Iterator<Item = Ipv4Addr> {
    (0..CALLERS).map(|number| Ipv4Addr::from_bits(0x0a01_0000 + number))
}

fn rank(caller: Ipv4Addr, unix_ms: u64) -> u64 {
    u64::from(caller_rank(caller, unix_ms).value())
}

/// Whether a caller is refused when this part of all callers is.
fn is_refused(caller: Ipv4Addr, unix_ms: u64, percent: u64) -> bool {
    rank(caller, unix_ms) * 100 >= RANGE * (100 - percent)
}

#[test]
fn every_balancer_computes_the_same_rank() {
    // Computed with another implementation of SipHash: daemons of other versions and
    // machines must agree with these.
    let known = [
        (Ipv4Addr::new(10, 1, 0, 1), 58_258),
        (Ipv4Addr::new(10, 1, 0, 2), 2_923),
        (Ipv4Addr::new(192, 0, 2, 7), 42_264),
    ];
    for (caller, expected) in known {
        assert_eq!(rank(caller, NOW), expected, "{caller}");
    }
}

#[test]
fn ranks_are_spread_evenly_over_callers() {
    for percent in [10, 25, 50, 90] {
        let refused = callers().filter(|caller| is_refused(*caller, NOW, percent)).count();
        let expected = u64::from(CALLERS) * percent / 100;
        let difference = expected.abs_diff(refused as u64);
        // Four standard deviations of a fair draw are at most 200 callers.
        assert!(difference <= 200, "{refused} callers refused, {expected} expected");
    }
}

#[test]
fn a_caller_refused_in_one_epoch_is_not_refused_in_the_next() {
    for caller in callers() {
        for epoch in 0..50 {
            let time = NOW + epoch * RANK_EPOCH_MS;
            let twice =
                is_refused(caller, time, 38) && is_refused(caller, time + RANK_EPOCH_MS, 38);
            assert!(!twice, "{caller} is refused twice, in epoch {epoch} and after it");
        }
    }
}

#[test]
fn over_many_epochs_every_caller_is_refused_as_often() {
    const EPOCHS: u64 = 100;
    for caller in callers().take(1_000) {
        for percent in [10, 30, 60] {
            let times = (0..EPOCHS).map(|epoch| NOW + epoch * RANK_EPOCH_MS);
            let refused = times.filter(|time| is_refused(caller, *time, percent)).count() as u64;
            let difference = refused.abs_diff(EPOCHS * percent / 100);
            assert!(difference <= 3, "{caller}: {refused} of {EPOCHS} epochs, {percent} % each");
        }
    }
}

#[test]
fn a_caller_keeps_its_rank_for_one_epoch() {
    for caller in callers().take(1_000) {
        let ranks: Vec<u64> =
            (0..2 * RANK_EPOCH_MS).map(|after| rank(caller, NOW + after)).collect();
        let changes = ranks.windows(2).filter(|pair| pair[0] != pair[1]).count();
        assert!((1..=2).contains(&changes), "{caller}: {changes} changes");
    }
}

#[test]
fn ranks_do_not_change_all_at_once() {
    const STEP_MS: u64 = RANK_EPOCH_MS / 40;
    for step in 0..40 {
        let before = NOW + step * STEP_MS;
        let changed =
            callers().filter(|caller| rank(*caller, before) != rank(*caller, before + STEP_MS));
        let changed = changed.count();
        // One in forty is 250; four standard deviations are 63 callers.
        assert!((187..=313).contains(&changed), "{changed} ranks change within {STEP_MS} ms");
    }
}

#[test]
fn clocks_that_disagree_change_who_is_refused_but_not_how_many() {
    for skew_ms in [1_000, 2_000, 3_000, 7_000] {
        let same = callers().filter(|caller| rank(*caller, NOW) == rank(*caller, NOW + skew_ms));
        let expected = u64::from(CALLERS) * RANK_EPOCH_MS.saturating_sub(skew_ms) / RANK_EPOCH_MS;
        let same = same.count() as u64;
        assert!(same.abs_diff(expected) <= 200, "{same} ranks agree at a skew of {skew_ms} ms");
        let refused = callers().filter(|caller| is_refused(*caller, NOW + skew_ms, 25)).count();
        assert!((2_300..=2_700).contains(&refused), "{refused} refused at {skew_ms} ms");
    }
}

#[test]
fn a_time_of_day_out_of_range_does_no_harm() {
    for time in [0, 1, u64::MAX] {
        let first = caller_rank(Ipv4Addr::UNSPECIFIED, time);
        assert_eq!(first, caller_rank(Ipv4Addr::UNSPECIFIED, time));
    }
}
