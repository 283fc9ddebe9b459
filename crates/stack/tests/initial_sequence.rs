//! A listening endpoint uses the initial sequence number that it was given.

use std::net::SocketAddr;
use std::time::Duration;

use weirhinge_packet::{decode_packet, verify_checksums};
use weirhinge_stack::{BufferSizes, EndpointOptions, ReadOutcome, TcpEndpoint};

const BUFFERS: BufferSizes = BufferSizes { receive: 4 << 10, send: 4 << 10 };
const STEP: Duration = Duration::from_millis(10);
/// Close enough to the maximum for sequence numbers to wrap around.
const INITIAL_SEQUENCE: u32 = u32::MAX - 100;
const CHUNK: &[u8] = &[5; 300];
const CHUNKS: usize = 10;

fn options(initial_sequence: Option<u32>) -> EndpointOptions {
    let timestamps = None;
    EndpointOptions { buffers: BUFFERS, seed: 3, timestamps, initial_sequence, resets_early: false }
}

/// Delivers pending packets in one direction; returns their sequence numbers.
fn deliver(from: &mut TcpEndpoint, to: &mut TcpEndpoint, now: Duration) -> Vec<u32> {
    from.poll(now);
    let packets = from.take_outgoing();
    let numbers = packets.iter().map(|packet| {
        assert_eq!(verify_checksums(packet), Ok(()));
        decode_packet(packet).expect("valid packet").tcp().expect("TCP").sequence
    });
    let numbers = numbers.collect();
    for packet in packets {
        to.receive(packet);
    }
    numbers
}

#[test]
fn given_initial_sequence_is_used_across_wraparound() {
    let client: SocketAddr = "198.18.0.1:40000".parse().expect("address");
    let service: SocketAddr = "203.0.113.10:8443".parse().expect("address");
    let mut client = TcpEndpoint::connect(client, service, options(None)).expect("endpoint");
    let mut service =
        TcpEndpoint::listen(service, options(Some(INITIAL_SEQUENCE))).expect("endpoint");
    let mut now = Duration::ZERO;
    let (mut written, mut read, mut request_length) = (0, 0, 0);
    let mut numbers = Vec::new();
    let mut buffer = [0; 1 << 10];
    for _ in 0..200 {
        deliver(&mut client, &mut service, now);
        if service.is_established() && written < CHUNKS && service.writable_bytes() >= CHUNK.len() {
            assert_eq!(service.write(CHUNK), CHUNK.len());
            written += 1;
        }
        numbers.extend(deliver(&mut service, &mut client, now));
        if client.is_established() && request_length == 0 {
            request_length = client.write(CHUNK);
        }
        if let ReadOutcome::Read(length) = client.read(&mut buffer) {
            read += length;
        }
        now += STEP;
    }
    assert_eq!(numbers[0], INITIAL_SEQUENCE, "sequence number of the SYN-ACK");
    assert_eq!(read, CHUNKS * CHUNK.len(), "all bytes arrive across the wraparound");
    assert!(
        matches!(service.read(&mut buffer), ReadOutcome::Read(length) if length == request_length)
    );
}
