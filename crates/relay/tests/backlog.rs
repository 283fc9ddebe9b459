//! The backlog of packets that a process has no time for yet.

use weirhinge_relay::Backlog;

#[test]
fn packets_leave_in_order_of_arrival() {
    let mut backlog = Backlog::default();
    backlog.push(b"first", 0);
    backlog.push(b"second", 1);
    assert_eq!(backlog.next(2).as_deref(), Some(b"first".as_slice()));
    assert_eq!(backlog.next(2).as_deref(), Some(b"second".as_slice()));
    assert_eq!(backlog.next(2), None);
    assert_eq!(backlog.take_dropped(), 0);
}

#[test]
fn packet_that_waited_past_its_retransmission_is_dropped() {
    let mut backlog = Backlog::default();
    backlog.push(b"old", 0);
    backlog.push(b"young", 100);
    assert_eq!(backlog.next(200).as_deref(), Some(b"young".as_slice()));
    assert_eq!(backlog.take_dropped(), 1);
    assert_eq!(backlog.take_dropped(), 0);
}

#[test]
fn full_backlog_drops_oldest_packet() {
    let mut backlog = Backlog::default();
    for index in 0..1_030_u32 {
        backlog.push(&index.to_be_bytes(), 0);
    }
    assert_eq!(backlog.next(1), Some(6_u32.to_be_bytes().to_vec()));
    assert_eq!(backlog.take_dropped(), 6);
}

#[test]
fn long_wait_signals_pressure_for_a_period() {
    let mut backlog = Backlog::default();
    assert!(!backlog.is_under_pressure(0));
    // Packets that arrive together wait for a short time without pressure.
    backlog.push(b"packet", 0);
    backlog.next(5);
    assert!(!backlog.is_under_pressure(6));
    backlog.push(b"packet", 10);
    backlog.next(25);
    assert!(backlog.is_under_pressure(400));
    assert!(!backlog.is_under_pressure(525));
}
