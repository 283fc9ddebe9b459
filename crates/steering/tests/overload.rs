//! When a balancer that cannot keep up withdraws, and when it returns.

use weirhinge_steering::{OverloadMonitor, PeerLoad};

/// Milliseconds between looks.
const LOOK_MS: u64 = 100;
/// A wait after which the sender has nearly sent its packet again.
const LONG_WAIT_MS: u64 = 180;
const OTHERS_KEEP_UP: PeerLoad = PeerLoad { keeping_up: 3, overloaded: 0 };

/// Looks for `length_ms` with this wait. Returns at which times the balancer was
/// withdrawn.
fn looks(
    monitor: &mut OverloadMonitor,
    wait_ms: u64,
    peers: PeerLoad,
    from: u64,
    length_ms: u64,
) -> Vec<u64> {
    let times = (from..from + length_ms).step_by(LOOK_MS as usize);
    times.filter(|now| monitor.look(wait_ms, peers, *now)).collect()
}

#[test]
fn a_balancer_that_cannot_keep_up_withdraws_within_half_a_second() {
    let mut monitor = OverloadMonitor::default();
    let withdrawn = looks(&mut monitor, LONG_WAIT_MS, OTHERS_KEEP_UP, 0, 1_000);
    assert!(withdrawn.first().is_some_and(|at| *at < 500), "{withdrawn:?}");
    assert!(monitor.is_overloaded());
}

#[test]
fn a_short_burst_does_not_withdraw_it() {
    let mut monitor = OverloadMonitor::default();
    for burst in 0..20 {
        let from = burst * 1_000;
        assert_eq!(looks(&mut monitor, LONG_WAIT_MS, OTHERS_KEEP_UP, from, 300), []);
        assert_eq!(looks(&mut monitor, 2, OTHERS_KEEP_UP, from + 300, 700), []);
    }
}

#[test]
fn it_stays_when_too_few_others_keep_up() {
    for peers in [
        PeerLoad::default(),
        PeerLoad { keeping_up: 1, overloaded: 1 },
        PeerLoad { keeping_up: 0, overloaded: 3 },
    ] {
        let mut monitor = OverloadMonitor::default();
        assert_eq!(looks(&mut monitor, LONG_WAIT_MS, peers, 0, 5_000), []);
        assert!(monitor.is_overloaded());
    }
}

#[test]
fn it_returns_when_the_others_cannot_do_without_it() {
    let mut monitor = OverloadMonitor::default();
    looks(&mut monitor, LONG_WAIT_MS, OTHERS_KEEP_UP, 0, 500);
    assert!(monitor.is_withdrawn());
    let crowded = PeerLoad { keeping_up: 1, overloaded: 2 };
    assert!(!monitor.look(0, crowded, 600));
}

#[test]
fn it_returns_by_itself_and_stays_away_longer_after_each_relapse() {
    let mut monitor = OverloadMonitor::default();
    let withdrawn = looks(&mut monitor, LONG_WAIT_MS, OTHERS_KEEP_UP, 0, 30_000);
    let away = withdrawn.chunk_by(|one, next| next - one == LOOK_MS);
    let lengths: Vec<u64> = away.map(|times| times.len() as u64 * LOOK_MS).collect();
    assert_eq!(lengths[..4], [2_000, 4_000, 8_000, 8_000]);
}

#[test]
fn an_overload_long_after_the_last_counts_as_a_first_one() {
    let mut monitor = OverloadMonitor::default();
    looks(&mut monitor, LONG_WAIT_MS, OTHERS_KEEP_UP, 0, 12_000);
    looks(&mut monitor, 0, OTHERS_KEEP_UP, 12_000, 20_000);
    let again = looks(&mut monitor, LONG_WAIT_MS, OTHERS_KEEP_UP, 32_000, 2_300);
    assert_eq!(again.len() as u64 * LOOK_MS, 2_000);
}
