//! Ranks of clients under overload.

use std::net::Ipv4Addr;

use weirhinge_steering::{RANK_EPOCH_MS, client_rank};

const RANGE: u64 = 1 << 16;
const CLIENTS: u32 = 10_000;
/// A time of day within an epoch.
const NOW: u64 = 1_790_000_001_234;

fn clients() -> impl Iterator<Item = Ipv4Addr> {
    (0..CLIENTS).map(|number| Ipv4Addr::from_bits(0x0a01_0000 + number))
}

fn rank(client: Ipv4Addr, unix_ms: u64) -> u64 {
    u64::from(client_rank(client, unix_ms).value())
}

/// Whether a client is rejected when this percentage of all clients is.
fn is_rejected(client: Ipv4Addr, unix_ms: u64, percent: u64) -> bool {
    rank(client, unix_ms) * 100 >= RANGE * (100 - percent)
}

#[test]
fn rank_is_the_same_on_every_balancer() {
    // Computed with another implementation of SipHash: daemons of other versions and machines must
    // agree on these values.
    let known = [
        (Ipv4Addr::new(10, 1, 0, 1), 58_258),
        (Ipv4Addr::new(10, 1, 0, 2), 2_923),
        (Ipv4Addr::new(192, 0, 2, 7), 42_264),
    ];
    for (client, expected) in known {
        assert_eq!(rank(client, NOW), expected, "{client}");
    }
}

#[test]
fn ranks_are_uniform_across_clients() {
    for percent in [10, 25, 50, 90] {
        let rejected = clients().filter(|client| is_rejected(*client, NOW, percent)).count();
        let expected = u64::from(CLIENTS) * percent / 100;
        let difference = expected.abs_diff(rejected as u64);
        // Four standard deviations of a uniform draw are at most 200 clients.
        assert!(difference <= 200, "{rejected} clients rejected, expected {expected}");
    }
}

#[test]
fn no_client_is_rejected_in_consecutive_epochs() {
    for client in clients() {
        for epoch in 0..50 {
            let time = NOW + epoch * RANK_EPOCH_MS;
            let both =
                is_rejected(client, time, 38) && is_rejected(client, time + RANK_EPOCH_MS, 38);
            assert!(!both, "{client} is rejected in epoch {epoch} and in the next one");
        }
    }
}

#[test]
fn rejections_are_equal_across_clients_over_many_epochs() {
    const EPOCHS: u64 = 100;
    for client in clients().take(1_000) {
        for percent in [10, 30, 60] {
            let timestamps = (0..EPOCHS).map(|epoch| NOW + epoch * RANK_EPOCH_MS);
            let rejected =
                timestamps.filter(|time| is_rejected(client, *time, percent)).count() as u64;
            let difference = rejected.abs_diff(EPOCHS * percent / 100);
            assert!(
                difference <= 3,
                "{client}: rejected in {rejected} of {EPOCHS} epochs at {percent} %"
            );
        }
    }
}

#[test]
fn rank_is_kept_for_one_epoch() {
    for client in clients().take(1_000) {
        let ranks: Vec<u64> =
            (0..2 * RANK_EPOCH_MS).map(|after| rank(client, NOW + after)).collect();
        let changes = ranks.windows(2).filter(|pair| pair[0] != pair[1]).count();
        assert!((1..=2).contains(&changes), "{client}: rank changed {changes} times");
    }
}

#[test]
fn rank_changes_are_spread_over_the_epoch() {
    const STEP_MS: u64 = RANK_EPOCH_MS / 40;
    for step in 0..40 {
        let before = NOW + step * STEP_MS;
        let changed =
            clients().filter(|client| rank(*client, before) != rank(*client, before + STEP_MS));
        let changed = changed.count();
        // One in forty is 250; four standard deviations are 63 clients.
        assert!((187..=313).contains(&changed), "{changed} ranks changed within {STEP_MS} ms");
    }
}

#[test]
fn clock_skew_does_not_change_rejection_rate() {
    for skew_ms in [1_000, 2_000, 3_000, 7_000] {
        let unchanged =
            clients().filter(|client| rank(*client, NOW) == rank(*client, NOW + skew_ms));
        let expected = u64::from(CLIENTS) * RANK_EPOCH_MS.saturating_sub(skew_ms) / RANK_EPOCH_MS;
        let unchanged = unchanged.count() as u64;
        assert!(
            unchanged.abs_diff(expected) <= 200,
            "{unchanged} ranks agree at a skew of {skew_ms} ms"
        );
        let rejected = clients().filter(|client| is_rejected(*client, NOW + skew_ms, 25)).count();
        assert!(
            (2_300..=2_700).contains(&rejected),
            "{rejected} clients rejected at a skew of {skew_ms} ms"
        );
    }
}

#[test]
fn extreme_times_of_day_are_accepted() {
    for time in [0, 1, u64::MAX] {
        let first = client_rank(Ipv4Addr::UNSPECIFIED, time);
        assert_eq!(first, client_rank(Ipv4Addr::UNSPECIFIED, time));
    }
}
