//! A half-open endpoint takes the caller's first data in whatever order it comes with the
//! packets that were sent after it. Time is passed in.

use std::net::SocketAddr;
use std::time::Duration;

use weirhinge_packet::{Transport, decode_packet};
use weirhinge_stack::{BufferSizes, EndpointOptions, ReadOutcome, TcpEndpoint};

const BUFFERS: BufferSizes = BufferSizes { receive: 4 << 10, send: 4 << 10 };
const REQUEST: &[u8] = &[7; 85];
/// Time between two polls.
const STEP: Duration = Duration::from_millis(50);
/// Polls in which the caller repeats its request and the service its answer.
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

struct Ends {
    caller: TcpEndpoint,
    service: TcpEndpoint,
}

/// A caller that has taken up the service's answer and sent its request, of which nothing has
/// reached the service. Returns what the caller has sent since, later packets last.
fn half_open() -> (Ends, Vec<Vec<u8>>) {
    let caller_address: SocketAddr = "198.18.0.1:40000".parse().expect("address");
    let service_address: SocketAddr = "203.0.113.10:8443".parse().expect("address");
    let caller = TcpEndpoint::connect(caller_address, service_address, options(1, false));
    let service = TcpEndpoint::listen(service_address, options(2, true));
    let mut ends = Ends { caller: caller.expect("endpoint"), service: service.expect("endpoint") };
    let mut now = Duration::ZERO;
    ends.caller.poll(now);
    for packet in ends.caller.take_outgoing() {
        ends.service.receive(packet);
    }
    let mut sent = Vec::new();
    let mut has_written = false;
    for _ in 0..STEPS {
        ends.service.poll(now);
        for packet in ends.service.take_outgoing() {
            ends.caller.receive(packet);
        }
        ends.caller.poll(now);
        if ends.caller.established() && !has_written {
            has_written = true;
            assert_eq!(ends.caller.write(REQUEST), REQUEST.len());
            ends.caller.poll(now);
        }
        sent.extend(ends.caller.take_outgoing());
        now += STEP;
    }
    (ends, sent)
}

fn payload_length(packet: &[u8]) -> usize {
    match decode_packet(packet).expect("sound").transport {
        Transport::Tcp(segment) => segment.payload_length,
        Transport::Udp(_) => 0,
    }
}

/// Bytes that the service reads once these packets came in this order.
fn read_after(packets: &[Vec<u8>]) -> usize {
    let (mut ends, _) = half_open();
    let now = STEP * STEPS;
    for packet in packets {
        ends.service.receive(packet.clone());
    }
    ends.service.poll(now);
    let mut buffer = [0; 256];
    match ends.service.read(&mut buffer) {
        ReadOutcome::Read(length) => length,
        _ => 0,
    }
}

#[test]
fn the_first_request_is_taken_before_and_after_later_acknowledgments() {
    let (_, sent) = half_open();
    let data = sent.iter().rfind(|packet| payload_length(packet) > 0).expect("repeated");
    let later = sent.iter().rfind(|packet| payload_length(packet) == 0).expect("acknowledged");
    let first = sent.iter().find(|packet| payload_length(packet) == 0).expect("acknowledged");
    let orders: [&[&Vec<u8>]; 5] = [
        &[data],
        &[data, later, later],
        &[later, data],
        &[later, later, data, later],
        &[first, data],
    ];
    for order in orders {
        let packets: Vec<Vec<u8>> = order.iter().map(|packet| (*packet).clone()).collect();
        let lengths: Vec<usize> = packets.iter().map(|packet| payload_length(packet)).collect();
        assert_eq!(read_after(&packets), REQUEST.len(), "{lengths:?}");
    }
}
