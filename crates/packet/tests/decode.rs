//! Valid packets decode to the values they were built from; invalid ones are rejected with the
//! expected reason.

use etherparse::PacketBuilder;
use proptest::prelude::*;
use weirhinge_packet::{
    DropReason, FlowKey, Protocol, Transport, build_tcp_reset, build_udp_packet, decode_packet,
    verify_checksums,
};

const CLIENT: &str = "198.18.0.1:40000";
const SERVICE: &str = "203.0.113.10:8443";

fn key(protocol: Protocol) -> FlowKey {
    FlowKey {
        protocol,
        source: CLIENT.parse().expect("address"),
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
fn syn_decodes_with_timestamp_echo() {
    let timestamps = [1, 1, 8, 10, 0, 0, 0, 9, 0, 0, 0x12, 0x34];
    let packet = syn_with_options(&timestamps);
    let view = decode_packet(&packet).expect("valid packet");
    assert_eq!(view.key, key(Protocol::Tcp));
    let segment = view.tcp().expect("TCP");
    assert!(segment.opens_flow());
    assert_eq!(segment.timestamp_echo, Some(0x1234));
    assert_eq!(verify_checksums(&packet), Ok(()));
}

#[test]
fn malformed_options_yield_no_timestamp_echo() {
    for options in [&[8, 10, 0, 0][..], &[8, 0, 0, 0], &[8, 1, 1, 1], &[2, 40, 0, 0]] {
        let packet = syn_with_options(options);
        let view = decode_packet(&packet).expect("malformed options are left to the TCP stack");
        assert_eq!(view.tcp().expect("TCP").timestamp_echo, None);
    }
}

#[test]
fn udp_response_goes_from_service_to_client() {
    for (source, destination) in [(CLIENT, SERVICE), ("[2001:2::1]:40000", "[2001:db8::1]:8443")] {
        let key = FlowKey {
            protocol: Protocol::Udp,
            source: source.parse().expect("address"),
            destination: destination.parse().expect("address"),
        };
        let packet = build_udp_packet(&key, b"answer").expect("packet");
        let view = decode_packet(&packet).expect("valid packet");
        assert_eq!(view.key.source, key.destination);
        assert_eq!(view.key.destination, key.source);
        assert_eq!(view.transport, Transport::Udp(b"answer"));
        assert_eq!(verify_checksums(&packet), Ok(()));
    }
}

#[test]
fn reset_acknowledges_rejected_syn() {
    let packet = syn_with_options(&[]);
    let view = decode_packet(&packet).expect("valid packet");
    let reset = build_tcp_reset(&view.key, view.tcp().expect("TCP")).expect("reset");
    let reset_view = decode_packet(&reset).expect("valid reset");
    let segment = reset_view.tcp().expect("TCP");
    assert!(segment.reset && segment.ack);
    assert_eq!(segment.acknowledgment, 1_001);
    assert_eq!(verify_checksums(&reset), Ok(()));
}

#[test]
fn invalid_packets_are_rejected_with_reason() {
    let valid = syn_with_options(&[]);
    let drop_reason_after = |change: &dyn Fn(&mut Vec<u8>)| {
        let mut packet = valid.clone();
        change(&mut packet);
        decode_packet(&packet).map(|_| ()).expect_err("invalid packet")
    };
    assert_eq!(decode_packet(&[]).map(|_| ()), Err(DropReason::Truncated));
    assert_eq!(drop_reason_after(&|packet| packet.truncate(30)), DropReason::WrongLength);
    assert_eq!(drop_reason_after(&|packet| packet.truncate(10)), DropReason::Truncated);
    assert_eq!(drop_reason_after(&|packet| packet.push(0)), DropReason::WrongLength);
    assert_eq!(drop_reason_after(&|packet| packet[6] = 0x20), DropReason::Fragment);
    assert_eq!(drop_reason_after(&|packet| packet[0] = 0x46), DropReason::IpOptions);
    assert_eq!(drop_reason_after(&|packet| packet[0] = 0x55), DropReason::UnknownVersion);
    assert_eq!(drop_reason_after(&|packet| packet[9] = 1), DropReason::UnknownProtocol);
    assert_eq!(drop_reason_after(&|packet| packet[33] = 0x03), DropReason::BadFlags);
    assert_eq!(drop_reason_after(&|packet| packet[33] = 0x00), DropReason::BadFlags);
}

#[test]
fn bit_flip_in_any_byte_is_detected() {
    let valid = build_udp_packet(&key(Protocol::Udp), b"payload").expect("packet");
    for position in 0..valid.len() {
        let mut packet = valid.clone();
        packet[position] ^= 0x10;
        let rejected = decode_packet(&packet).is_err() || verify_checksums(&packet).is_err();
        assert!(rejected, "flipped bit in byte {position}");
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
    fn mutated_valid_packet_never_panics(
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
