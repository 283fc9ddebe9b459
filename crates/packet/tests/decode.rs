//! Sound packets decode to what was built; hostile ones are refused by reason.

use etherparse::PacketBuilder;
use proptest::prelude::*;
use weirhinge_packet::{
    DropReason, FlowKey, Protocol, Transport, build_tcp_reset, build_udp_packet, decode_packet,
    verify_checksums,
};

const CALLER: &str = "198.18.0.1:40000";
const SERVICE: &str = "203.0.113.10:8443";

fn key(protocol: Protocol) -> FlowKey {
    FlowKey {
        protocol,
        source: CALLER.parse().expect("address"),
        destination: SERVICE.parse().expect("address"),
    }
}

fn syn_with_options(options: &[u8]) -> Vec<u8> {
    let step = PacketBuilder::ipv4([198, 18, 0, 1], [203, 0, 113, 10], 64)
        .tcp(40_000, 8_443, 1_000, 4_000)
        .syn()
        .options_raw(options)
        .expect("options");
    let mut packet = Vec::new();
    step.write(&mut packet, &[]).expect("packet");
    packet
}

#[test]
fn syn_decodes_with_its_timestamp_echo() {
    let timestamps = [1, 1, 8, 10, 0, 0, 0, 9, 0, 0, 0x12, 0x34];
    let packet = syn_with_options(&timestamps);
    let view = decode_packet(&packet).expect("sound packet");
    assert_eq!(view.key, key(Protocol::Tcp));
    let segment = view.tcp().expect("TCP");
    assert!(segment.opens_flow());
    assert_eq!(segment.timestamp_echo, Some(0x1234));
    assert_eq!(verify_checksums(&packet), Ok(()));
}

#[test]
fn malformed_options_hide_no_panic_and_no_hint() {
    for options in [&[8, 10, 0, 0][..], &[8, 0, 0, 0], &[8, 1, 1, 1], &[2, 40, 0, 0]] {
        let packet = syn_with_options(options);
        let view = decode_packet(&packet).expect("options are the stack's business");
        assert_eq!(view.tcp().expect("TCP").timestamp_echo, None);
    }
}

#[test]
fn udp_answer_goes_from_service_to_caller() {
    for (source, destination) in [(CALLER, SERVICE), ("[2001:2::1]:40000", "[2001:db8::1]:8443")] {
        let key = FlowKey {
            protocol: Protocol::Udp,
            source: source.parse().expect("address"),
            destination: destination.parse().expect("address"),
        };
        let packet = build_udp_packet(&key, b"answer").expect("packet");
        let view = decode_packet(&packet).expect("sound packet");
        assert_eq!(view.key.source, key.destination);
        assert_eq!(view.key.destination, key.source);
        assert_eq!(view.transport, Transport::Udp(b"answer"));
        assert_eq!(verify_checksums(&packet), Ok(()));
    }
}

#[test]
fn reset_of_a_syn_acknowledges_it() {
    let packet = syn_with_options(&[]);
    let view = decode_packet(&packet).expect("sound packet");
    let reset = build_tcp_reset(&view.key, view.tcp().expect("TCP")).expect("reset");
    let reset_view = decode_packet(&reset).expect("sound reset");
    let segment = reset_view.tcp().expect("TCP");
    assert!(segment.reset && segment.ack);
    assert_eq!(segment.acknowledgment, 1_001);
    assert_eq!(verify_checksums(&reset), Ok(()));
}

#[test]
fn hostile_packets_are_refused_by_reason() {
    let sound = syn_with_options(&[]);
    let changed = |change: &dyn Fn(&mut Vec<u8>)| {
        let mut packet = sound.clone();
        change(&mut packet);
        decode_packet(&packet).map(|_| ()).expect_err("hostile packet")
    };
    assert_eq!(decode_packet(&[]).map(|_| ()), Err(DropReason::Truncated));
    assert_eq!(changed(&|packet| packet.truncate(30)), DropReason::WrongLength);
    assert_eq!(changed(&|packet| packet.truncate(10)), DropReason::Truncated);
    assert_eq!(changed(&|packet| packet.push(0)), DropReason::WrongLength);
    assert_eq!(changed(&|packet| packet[6] = 0x20), DropReason::Fragment);
    assert_eq!(changed(&|packet| packet[0] = 0x46), DropReason::IpOptions);
    assert_eq!(changed(&|packet| packet[0] = 0x55), DropReason::UnknownVersion);
    assert_eq!(changed(&|packet| packet[9] = 1), DropReason::UnknownProtocol);
    assert_eq!(changed(&|packet| packet[33] = 0x03), DropReason::BadFlags);
    assert_eq!(changed(&|packet| packet[33] = 0x00), DropReason::BadFlags);
}

#[test]
fn every_flipped_bit_under_a_checksum_is_noticed() {
    let sound = build_udp_packet(&key(Protocol::Udp), b"payload").expect("packet");
    for position in 0..sound.len() {
        let mut packet = sound.clone();
        packet[position] ^= 0x10;
        let refused = decode_packet(&packet).is_err() || verify_checksums(&packet).is_err();
        assert!(refused, "flipped bit in byte {position}");
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 2_000, ..ProptestConfig::default() })]

    #[test]
    fn arbitrary_bytes_never_panic(bytes in proptest::collection::vec(any::<u8>(), 0..200)) {
        let _ = decode_packet(&bytes);
        let _ = verify_checksums(&bytes);
    }

    #[test]
    fn arbitrary_changes_to_a_sound_packet_never_panic(
        position in 0_usize..60,
        value in any::<u8>(),
        length in 0_usize..80,
    ) {
        let mut packet = syn_with_options(&[1, 1, 8, 10, 0, 0, 0, 9, 0, 0, 0, 1]);
        if let Some(byte) = packet.get_mut(position) {
            *byte = value;
        }
        packet.truncate(length);
        if decode_packet(&packet).is_ok() {
            let _ = verify_checksums(&packet);
        }
    }
}
