//! Shifting changes only the sequence or acknowledgment number and keeps checksums valid.

use etherparse::PacketBuilder;
use proptest::prelude::*;
use weirhinge_packet::{decode_packet, shift_acknowledgment, shift_sequence, verify_checksums};

fn segment(is_ipv6: bool, numbers: (u32, u32), payload: &[u8]) -> Vec<u8> {
    let (sequence, acknowledgment) = numbers;
    let step = if is_ipv6 {
        PacketBuilder::ipv6([0x20; 16], [0x21; 16], 64)
    } else {
        PacketBuilder::ipv4([198, 18, 0, 1], [203, 0, 113, 10], 64)
    };
    let step = step.tcp(40_000, 8_443, sequence, 4_000).ack(acknowledgment);
    let mut packet = Vec::new();
    step.write(&mut packet, payload).expect("packet");
    packet
}

proptest! {
    #[test]
    fn shifts_change_numbers_and_are_reversible(
        is_ipv6: bool,
        sequence: u32,
        acknowledgment: u32,
        by: u32,
        payload in proptest::collection::vec(any::<u8>(), 0..64),
    ) {
        let mut packet = segment(is_ipv6, (sequence, acknowledgment), &payload);
        shift_sequence(&mut packet, by);
        shift_acknowledgment(&mut packet, by.wrapping_neg());
        prop_assert_eq!(verify_checksums(&packet), Ok(()));
        let view = decode_packet(&packet).expect("valid");
        let shifted = view.tcp().expect("TCP");
        prop_assert_eq!(shifted.sequence, sequence.wrapping_add(by));
        prop_assert_eq!(shifted.acknowledgment, acknowledgment.wrapping_sub(by));
        shift_sequence(&mut packet, by.wrapping_neg());
        shift_acknowledgment(&mut packet, by);
        let original = segment(is_ipv6, (sequence, acknowledgment), &payload);
        prop_assert_eq!(decode_packet(&packet), decode_packet(&original));
    }

    #[test]
    fn arbitrary_bytes_never_panic(
        mut bytes in proptest::collection::vec(any::<u8>(), 0..80),
        by: u32,
    ) {
        shift_sequence(&mut bytes, by);
        shift_acknowledgment(&mut bytes, by);
    }
}

#[test]
fn syn_acknowledgment_is_not_shifted() {
    let step = PacketBuilder::ipv4([198, 18, 0, 1], [203, 0, 113, 10], 64);
    let mut packet = Vec::new();
    step.tcp(40_000, 8_443, 7, 4_000).syn().write(&mut packet, &[]).expect("packet");
    let before = packet.clone();
    shift_acknowledgment(&mut packet, 99);
    assert_eq!(packet, before);
}
