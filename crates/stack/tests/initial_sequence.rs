//! A listening endpoint counts from the number that it was given.

use std::net::SocketAddr;
use std::time::Duration;

use weirhinge_packet::{decode_packet, verify_checksums};
use weirhinge_stack::{BufferSizes, EndpointOptions, ReadOutcome, TcpEndpoint};

const BUFFERS: BufferSizes = BufferSizes { receive: 4 << 10, send: 4 << 10 };
const STEP: Duration = Duration::from_millis(10);
/// Close to where numbers wrap.
const FIRST: u32 = u32::MAX - 100;
const CHUNK: &[u8] = &[5; 300];
const CHUNKS: usize = 10;

fn options(initial_sequence: Option<u32>) -> EndpointOptions {
    let timestamps = None;
    EndpointOptions { buffers: BUFFERS, seed: 3, timestamps, initial_sequence, resets_early: false }
}

/// Moves packets one way; returns the numbers of those that the service sent.
fn carry(from: &mut TcpEndpoint, to: &mut TcpEndpoint, now: Duration) -> Vec<u32> {
    from.poll(now);
    let packets = from.take_outgoing();
    let numbers = packets.iter().map(|packet| {
        assert_eq!(verify_checksums(packet), Ok(()));
        decode_packet(packet).expect("sound").tcp().expect("TCP").sequence
    });
    let numbers = numbers.collect();
    for packet in packets {
        to.receive(packet);
    }
    numbers
}

#[test]
fn bytes_flow_both_ways_under_the_numbers_given() {
    let caller: SocketAddr = "198.18.0.1:40000".parse().expect("address");
    let service: SocketAddr = "203.0.113.10:8443".parse().expect("address");
    let mut caller = TcpEndpoint::connect(caller, service, options(None)).expect("endpoint");
    let mut service = TcpEndpoint::listen(service, options(Some(FIRST))).expect("endpoint");
    let mut now = Duration::ZERO;
    let (mut written, mut read, mut asked) = (0, 0, 0);
    let mut numbers = Vec::new();
    let mut buffer = [0; 1 << 10];
    for _ in 0..200 {
        carry(&mut caller, &mut service, now);
        if service.established() && written < CHUNKS && service.send_room() >= CHUNK.len() {
            assert_eq!(service.write(CHUNK), CHUNK.len());
            written += 1;
        }
        numbers.extend(carry(&mut service, &mut caller, now));
        if caller.established() && asked == 0 {
            asked = caller.write(CHUNK);
        }
        if let ReadOutcome::Read(length) = caller.read(&mut buffer) {
            read += length;
        }
        now += STEP;
    }
    assert_eq!(numbers[0], FIRST, "the answer to the opening packet");
    assert_eq!(read, CHUNKS * CHUNK.len(), "past the wrap");
    assert!(matches!(service.read(&mut buffer), ReadOutcome::Read(length) if length == asked));
}
