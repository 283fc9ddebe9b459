//! Messages round-trip through the codec; datagrams of other protocols are rejected.

use proptest::prelude::*;
use weirhinge_packet::{FlowKey, Protocol};
use weirhinge_wire::{
    AgentMessage, Delivery, HolderAnswer, HolderQuery, Holding, Offer, PacketEnvelope, WireError,
    decode, encode_into,
};

fn delivery() -> impl Strategy<Value = Delivery> {
    prop_oneof![
        Just(Delivery::Owner),
        Just(Delivery::Hinted),
        Just(Delivery::Assigned),
        Just(Delivery::Forwarded),
        (any::<u16>(), any::<u32>(), any::<u8>()).prop_map(|(best, best_load, visited)| {
            Delivery::Offered(Offer { best, best_load, visited })
        }),
    ]
}

fn flow(udp: bool, port: u16) -> FlowKey {
    FlowKey {
        protocol: if udp { Protocol::Udp } else { Protocol::Tcp },
        source: format!("[2001:2::7]:{port}").parse().expect("address"),
        destination: "203.0.113.10:8443".parse().expect("address"),
    }
}

#[test]
fn other_versions_and_empty_datagrams_are_rejected() {
    assert_eq!(decode(&[]), Err(WireError::UnknownVersion));
    assert_eq!(decode(&[0x45, 0, 0, 20]), Err(WireError::UnknownVersion));
}

proptest! {
    #[test]
    fn packets_round_trip(
        revision in any::<u64>(),
        service in any::<u32>(),
        target in any::<u16>(),
        delivery in delivery(),
        hops in any::<u8>(),
        packet in proptest::collection::vec(any::<u8>(), 0..1_400),
    ) {
        let message = AgentMessage::Packet(PacketEnvelope {
            revision, service, target, delivery, hops, packet: &packet,
        });
        let mut buffer = Vec::new();
        encode_into(&message, &mut buffer).expect("encodes");
        prop_assert_eq!(decode(&buffer), Ok(message));
        // With both outer headers, an inner packet of 1,400 bytes must fit an MTU of 1,500.
        prop_assert!(buffer.len() <= packet.len() + 48);
    }

    #[test]
    fn holder_queries_and_answers_round_trip(
        service in any::<u32>(), from in any::<u16>(), port in any::<u16>(),
        udp in any::<bool>(), open in any::<bool>(),
    ) {
        let key = flow(udp, port);
        let query = HolderQuery { service, from, revision: 3, flow: key.into() };
        let answer = HolderAnswer {
            service,
            from,
            revision: 3,
            flow: key.into(),
            holding: if open { Holding::Open } else { Holding::Opening },
        };
        prop_assert_eq!(FlowKey::from(query.flow), key);
        for message in [AgentMessage::HolderQuery(query), AgentMessage::HolderAnswer(answer)] {
            let mut buffer = Vec::new();
            encode_into(&message, &mut buffer).expect("encodes");
            prop_assert_eq!(decode(&buffer), Ok(message));
        }
    }

    #[test]
    fn arbitrary_bytes_never_panic(mut bytes in proptest::collection::vec(any::<u8>(), 1..300)) {
        let _ = decode(&bytes);
        bytes[0] = weirhinge_wire::PROTOCOL_VERSION;
        let _ = decode(&bytes);
    }
}
