//! Two endpoints carry bytes between two streams through lost handshakes, half
//! closes and resets. Time is paused: it jumps, so that no test waits.

use std::sync::{Arc, Mutex};
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt, DuplexStream, duplex};
use tokio::sync::mpsc;
use tokio::task::JoinHandle;
use weirhinge_packet::{Transport, decode_packet};
use weirhinge_stack::{
    BufferSizes, EndpointOptions, NoObserver, PacketSink, SpliceEnd, TcpEndpoint, splice,
};

const CALLER: &str = "198.18.0.1:40000";
const SERVICE: &str = "203.0.113.10:8443";
const BUFFERS: BufferSizes = BufferSizes { receive: 4 << 10, send: 4 << 10 };
const HANDSHAKE: Duration = Duration::from_secs(30);

/// Decides which packets are lost; counts from 0 per direction.
type Loss = fn(usize) -> bool;

/// Carries packets to the other end and remembers which were resets.
struct Wire {
    peer: mpsc::Sender<Vec<u8>>,
    sent: usize,
    lost: Loss,
    resets: Arc<Mutex<usize>>,
}

impl PacketSink for Wire {
    fn send(&mut self, packet: &[u8]) {
        let number = self.sent;
        self.sent += 1;
        let view = decode_packet(packet).expect("own packets are sound");
        if matches!(view.transport, Transport::Tcp(segment) if segment.reset) {
            *self.resets.lock().expect("resets") += 1;
        }
        if !(self.lost)(number) {
            let _ = self.peer.try_send(packet.to_vec());
        }
    }
}

fn options(seed: u64) -> EndpointOptions {
    EndpointOptions {
        buffers: BUFFERS,
        seed,
        timestamps: Some(|| 1),
        initial_sequence: Some(u32::MAX - 100),
        resets_early: false,
    }
}

struct Pair {
    caller: DuplexStream,
    service: DuplexStream,
    caller_end: JoinHandle<SpliceEnd>,
    service_end: JoinHandle<SpliceEnd>,
    service_resets: Arc<Mutex<usize>>,
    /// Keeps both packet queues open after one side has ended.
    queues: [mpsc::Sender<Vec<u8>>; 2],
}

fn connect(caller_loses: Loss, service_loses: Loss) -> Pair {
    let (to_caller, mut caller_queue) = mpsc::channel(256);
    let (to_service, mut service_queue) = mpsc::channel(256);
    let (caller, caller_far) = duplex(1 << 10);
    let (service, service_far) = duplex(1 << 10);
    let service_resets = Arc::new(Mutex::new(0));
    let queues = [to_caller.clone(), to_service.clone()];
    let caller_wire =
        Wire { peer: to_service, sent: 0, lost: caller_loses, resets: Arc::default() };
    let service_wire =
        Wire { peer: to_caller, sent: 0, lost: service_loses, resets: service_resets.clone() };
    let caller_address = CALLER.parse().expect("address");
    let service_address = SERVICE.parse().expect("address");
    let connecting =
        TcpEndpoint::connect(caller_address, service_address, options(1)).expect("endpoint");
    let listening = TcpEndpoint::listen(service_address, options(2)).expect("endpoint");
    let caller_end = tokio::spawn(async move {
        splice(connecting, caller_far, &mut caller_queue, caller_wire, NoObserver, HANDSHAKE).await
    });
    let service_end = tokio::spawn(async move {
        splice(listening, service_far, &mut service_queue, service_wire, NoObserver, HANDSHAKE)
            .await
    });
    Pair { caller, service, caller_end, service_end, service_resets, queues }
}

async fn request_and_answer(pair: &mut Pair) {
    pair.caller.write_all(b"question").await.expect("write");
    let mut question = [0; 8];
    pair.service.read_exact(&mut question).await.expect("read");
    assert_eq!(&question, b"question");
    pair.service.write_all(b"answer").await.expect("write");
    let mut answer = [0; 6];
    pair.caller.read_exact(&mut answer).await.expect("read");
    assert_eq!(&answer, b"answer");
}

#[tokio::test(start_paused = true)]
async fn a_flow_carries_bytes_both_ways_and_closes_in_order() {
    let mut pair = connect(|_| false, |_| false);
    request_and_answer(&mut pair).await;
    drop(pair.caller);
    let mut rest = Vec::new();
    pair.service.read_to_end(&mut rest).await.expect("end");
    drop(pair.service);
    assert_eq!(pair.caller_end.await.expect("caller"), SpliceEnd::Closed);
    assert_eq!(pair.service_end.await.expect("service"), SpliceEnd::Closed);
}

#[tokio::test(start_paused = true)]
async fn half_close_leaves_the_other_direction_open() {
    let mut pair = connect(|_| false, |_| false);
    pair.caller.write_all(b"all I have").await.expect("write");
    pair.caller.shutdown().await.expect("shutdown");
    let mut received = Vec::new();
    pair.service.read_to_end(&mut received).await.expect("end");
    assert_eq!(received, b"all I have");
    let long = vec![7; 100_000];
    let answer = long.clone();
    let service = pair.service;
    let writer = tokio::spawn(async move {
        let mut service = service;
        service.write_all(&answer).await.expect("write");
    });
    let mut received = Vec::new();
    pair.caller.read_to_end(&mut received).await.expect("end");
    writer.await.expect("writer");
    assert!(received == long, "the whole answer arrives after the half close");
}

/// The fault behind the first broken flow that rehearsals found: the caller
/// takes the flow for open while its packets are lost for several seconds.
#[tokio::test(start_paused = true)]
async fn a_handshake_survives_seconds_of_loss() {
    // The SYN passes; the next packets, sent over about 7 s, do not.
    let mut pair = connect(|number| (1..6).contains(&number), |_| false);
    request_and_answer(&mut pair).await;
}

#[tokio::test(start_paused = true)]
async fn every_third_packet_lost_both_ways_loses_no_byte() {
    let mut pair = connect(|number| number % 3 == 1, |number| number % 3 == 2);
    for _ in 0..20 {
        request_and_answer(&mut pair).await;
    }
}

/// Two agents may answer one opening packet. The caller acknowledges the other
/// one's sequence number: this one must stay silent.
#[tokio::test(start_paused = true)]
async fn an_endpoint_that_lost_the_race_never_resets() {
    let (to_loser, mut loser_queue) = mpsc::channel(16);
    let (_stream, far) = duplex(64);
    let resets = Arc::new(Mutex::new(0));
    let (peer, mut answers) = mpsc::channel(16);
    let wire = Wire { peer, sent: 0, lost: |_| false, resets: resets.clone() };
    let service = SERVICE.parse().expect("address");
    let listening = TcpEndpoint::listen(service, options(3)).expect("endpoint");
    let end = tokio::spawn(async move {
        splice(listening, far, &mut loser_queue, wire, NoObserver, HANDSHAKE).await
    });
    to_loser.send(caller_segment(true, 0)).await.expect("sent");
    assert!(answers.recv().await.is_some(), "the opening packet is answered");
    for acknowledgment in [1, 77, 0xFFFF_0000] {
        to_loser.send(caller_segment(false, acknowledgment)).await.expect("sent");
    }
    assert_eq!(end.await.expect("loser"), SpliceEnd::NeverOpened);
    assert_eq!(*resets.lock().expect("resets"), 0);
}

fn caller_segment(syn: bool, acknowledgment: u32) -> Vec<u8> {
    let step = etherparse::PacketBuilder::ipv4([198, 18, 0, 1], [203, 0, 113, 10], 64).tcp(
        40_000,
        8_443,
        if syn { 500 } else { 501 },
        4_000,
    );
    let step = if syn { step.syn() } else { step.ack(acknowledgment) };
    let mut packet = Vec::new();
    step.write(&mut packet, if syn { &[] } else { b"data" }).expect("packet");
    packet
}

#[tokio::test(start_paused = true)]
async fn a_failing_stream_resets_the_caller() {
    let mut pair = connect(|_| false, |_| false);
    request_and_answer(&mut pair).await;
    drop(pair.service);
    // The caller may learn of the reset while it still writes.
    let _ = pair.caller.write_all(&[1; 4_000]).await;
    assert_eq!(pair.service_end.await.expect("service"), SpliceEnd::StreamFailed);
    assert_eq!(pair.caller_end.await.expect("caller"), SpliceEnd::PeerReset);
    assert!(*pair.service_resets.lock().expect("resets") >= 1);
}

#[tokio::test(start_paused = true)]
async fn a_dropped_queue_resets_an_open_flow() {
    let mut pair = connect(|_| false, |_| false);
    request_and_answer(&mut pair).await;
    pair.caller_end.abort();
    drop(pair.queues);
    assert_eq!(pair.service_end.await.expect("service"), SpliceEnd::Cancelled);
    assert_eq!(*pair.service_resets.lock().expect("resets"), 1);
}
