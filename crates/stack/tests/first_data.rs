//! A half-open endpoint accepts the client's first data regardless of how it is reordered with
//! packets that were sent later. The test passes in the time.

use std::net::SocketAddr;
use std::time::Duration;

use weirhinge_packet::{Transport, decode_packet};
use weirhinge_stack::{BufferSizes, EndpointOptions, ReadOutcome, TcpEndpoint};

const BUFFERS: BufferSizes = BufferSizes { receive: 4 << 10, send: 4 << 10 };
const REQUEST: &[u8] = &[7; 85];
/// Interval between two polls.
const STEP: Duration = Duration::from_millis(50);
/// Number of polls during which the client retransmits its request and the service its SYN-ACK.
const STEPS: u32 = 100;

fn options(seed: u64, with_timestamps: bool) -> EndpointOptions {
    let timestamps: Option<fn() -> u32> = with_timestamps.then_some(|| 1);
    EndpointOptions {
        buffers: BUFFERS,
        seed,
        timestamps,
        initial_sequence: Some(u32::MAX - 3),
        resets_early: false,
    }
}

struct Endpoints {
    client: TcpEndpoint,
    service: TcpEndpoint,
}

/// Returns two endpoints of which the client has received the SYN-ACK and sent its request, while
/// none of its packets since the SYN has reached the service; and these packets in sending order.
fn half_open() -> (Endpoints, Vec<Vec<u8>>) {
    let client_address: SocketAddr = "198.18.0.1:40000".parse().expect("address");
    let service_address: SocketAddr = "203.0.113.10:8443".parse().expect("address");
    let client = TcpEndpoint::connect(client_address, service_address, options(1, false));
    let service = TcpEndpoint::listen(service_address, options(2, true));
    let mut endpoints =
        Endpoints { client: client.expect("endpoint"), service: service.expect("endpoint") };
    let mut now = Duration::ZERO;
    endpoints.client.poll(now);
    for packet in endpoints.client.take_outgoing() {
        endpoints.service.receive(packet);
    }
    let mut sent = Vec::new();
    let mut request_written = false;
    for _ in 0..STEPS {
        endpoints.service.poll(now);
        for packet in endpoints.service.take_outgoing() {
            endpoints.client.receive(packet);
        }
        endpoints.client.poll(now);
        if endpoints.client.is_established() && !request_written {
            request_written = true;
            assert_eq!(endpoints.client.write(REQUEST), REQUEST.len());
            endpoints.client.poll(now);
        }
        sent.extend(endpoints.client.take_outgoing());
        now += STEP;
    }
    (endpoints, sent)
}

fn payload_length(packet: &[u8]) -> usize {
    match decode_packet(packet).expect("valid packet").transport {
        Transport::Tcp(segment) => segment.payload_length,
        Transport::Udp(_) => 0,
    }
}

/// Returns the number of bytes that the service reads after receiving these packets in this order.
fn read_after(packets: &[Vec<u8>]) -> usize {
    let (mut endpoints, _) = half_open();
    let now = STEP * STEPS;
    for packet in packets {
        endpoints.service.receive(packet.clone());
    }
    endpoints.service.poll(now);
    let mut buffer = [0; 256];
    match endpoints.service.read(&mut buffer) {
        ReadOutcome::Read(length) => length,
        _ => 0,
    }
}

#[test]
fn reordered_first_request_is_accepted() {
    let (_, sent) = half_open();
    let data = sent
        .iter()
        .rfind(|packet| payload_length(packet) > 0)
        .expect("client retransmits its request");
    let last_acknowledgment = sent
        .iter()
        .rfind(|packet| payload_length(packet) == 0)
        .expect("client sends an acknowledgment");
    let first_acknowledgment = sent
        .iter()
        .find(|packet| payload_length(packet) == 0)
        .expect("client sends an acknowledgment");
    let orders: [&[&Vec<u8>]; 5] = [
        &[data],
        &[data, last_acknowledgment, last_acknowledgment],
        &[last_acknowledgment, data],
        &[last_acknowledgment, last_acknowledgment, data, last_acknowledgment],
        &[first_acknowledgment, data],
    ];
    for order in orders {
        let packets: Vec<Vec<u8>> = order.iter().map(|packet| (*packet).clone()).collect();
        let lengths: Vec<usize> = packets.iter().map(|packet| payload_length(packet)).collect();
        assert_eq!(read_after(&packets), REQUEST.len(), "{lengths:?}");
    }
}
