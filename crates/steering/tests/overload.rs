//! Withdrawal of an overloaded balancer and its return to service.

use weirhinge_steering::{OverloadMonitor, PeerLoad};

/// Milliseconds between samples.
const SAMPLE_MS: u64 = 100;
/// A wait just below the 200 ms after which the sender retransmits.
const LONG_WAIT_MS: u64 = 180;
const PEERS_KEEP_UP: PeerLoad = PeerLoad { keeping_up: 3, overloaded: 0 };

/// Takes samples with this wait for `length_ms`. Returns the times at which the balancer was
/// withdrawn.
fn take_samples(
    monitor: &mut OverloadMonitor,
    wait_ms: u64,
    peers: PeerLoad,
    from: u64,
    length_ms: u64,
) -> Vec<u64> {
    let times = (from..from + length_ms).step_by(SAMPLE_MS as usize);
    times.filter(|now| monitor.observe(wait_ms, peers, *now)).collect()
}

#[test]
fn overloaded_balancer_withdraws_within_500_ms() {
    let mut monitor = OverloadMonitor::default();
    let withdrawn = take_samples(&mut monitor, LONG_WAIT_MS, PEERS_KEEP_UP, 0, 1_000);
    assert!(withdrawn.first().is_some_and(|at| *at < 500), "{withdrawn:?}");
    assert!(monitor.is_overloaded());
}

#[test]
fn short_burst_causes_no_withdrawal() {
    let mut monitor = OverloadMonitor::default();
    for burst in 0..20 {
        let from = burst * 1_000;
        assert_eq!(take_samples(&mut monitor, LONG_WAIT_MS, PEERS_KEEP_UP, from, 300), []);
        assert_eq!(take_samples(&mut monitor, 2, PEERS_KEEP_UP, from + 300, 700), []);
    }
}

#[test]
fn balancer_stays_when_too_few_peers_keep_up() {
    for peers in [
        PeerLoad::default(),
        PeerLoad { keeping_up: 1, overloaded: 1 },
        PeerLoad { keeping_up: 0, overloaded: 3 },
    ] {
        let mut monitor = OverloadMonitor::default();
        assert_eq!(take_samples(&mut monitor, LONG_WAIT_MS, peers, 0, 5_000), []);
        assert!(monitor.is_overloaded());
    }
}

#[test]
fn balancer_returns_when_peers_become_overloaded() {
    let mut monitor = OverloadMonitor::default();
    take_samples(&mut monitor, LONG_WAIT_MS, PEERS_KEEP_UP, 0, 500);
    assert!(monitor.is_withdrawn());
    let overloaded_peers = PeerLoad { keeping_up: 1, overloaded: 2 };
    assert!(!monitor.observe(0, overloaded_peers, 600));
}

#[test]
fn withdrawals_end_and_double_after_each_relapse() {
    let mut monitor = OverloadMonitor::default();
    let withdrawn = take_samples(&mut monitor, LONG_WAIT_MS, PEERS_KEEP_UP, 0, 30_000);
    let withdrawals = withdrawn.chunk_by(|one, next| next - one == SAMPLE_MS);
    let lengths: Vec<u64> = withdrawals.map(|times| times.len() as u64 * SAMPLE_MS).collect();
    assert_eq!(lengths[..4], [2_000, 4_000, 8_000, 8_000]);
}

#[test]
fn overload_long_after_return_causes_shortest_withdrawal() {
    let mut monitor = OverloadMonitor::default();
    take_samples(&mut monitor, LONG_WAIT_MS, PEERS_KEEP_UP, 0, 12_000);
    take_samples(&mut monitor, 0, PEERS_KEEP_UP, 12_000, 20_000);
    let withdrawn = take_samples(&mut monitor, LONG_WAIT_MS, PEERS_KEEP_UP, 32_000, 2_300);
    assert_eq!(withdrawn.len() as u64 * SAMPLE_MS, 2_000);
}
