//! Two spliced endpoints transfer bytes between two streams despite lost handshake packets, half
//! closes and resets. The tests run with paused time, which advances without waiting.

use std::sync::{Arc, Mutex};
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt, DuplexStream, duplex};
use tokio::sync::mpsc;
use tokio::task::JoinHandle;
use weirhinge_packet::{Transport, decode_packet};
use weirhinge_stack::{
    BufferSizes, EndpointOptions, NoObserver, PacketSink, SpliceEnd, TcpEndpoint, splice,
};

const CLIENT: &str = "198.18.0.1:40000";
const SERVICE: &str = "203.0.113.10:8443";
const BUFFERS: BufferSizes = BufferSizes { receive: 4 << 10, send: 4 << 10 };
const HANDSHAKE: Duration = Duration::from_secs(30);

/// Whether the packet with this number, counted from 0 in each direction, is lost.
type Loss = fn(usize) -> bool;

/// Delivers packets to the other endpoint and counts the resets among them.
struct LossyLink {
    peer: mpsc::Sender<Vec<u8>>,
    sent: usize,
    is_lost: Loss,
    resets: Arc<Mutex<usize>>,
}

impl PacketSink for LossyLink {
    fn send(&mut self, packet: &[u8]) {
        let number = self.sent;
        self.sent += 1;
        let view = decode_packet(packet).expect("endpoint sends valid packets");
        if matches!(view.transport, Transport::Tcp(segment) if segment.reset) {
            *self.resets.lock().expect("resets") += 1;
        }
        if !(self.is_lost)(number) {
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
    client: DuplexStream,
    service: DuplexStream,
    client_end: JoinHandle<SpliceEnd>,
    service_end: JoinHandle<SpliceEnd>,
    service_resets: Arc<Mutex<usize>>,
    /// Keeps both packet queues open after one splice has ended.
    queues: [mpsc::Sender<Vec<u8>>; 2],
}

fn connect(client_loses: Loss, service_loses: Loss) -> Pair {
    let (to_client, mut client_queue) = mpsc::channel(256);
    let (to_service, mut service_queue) = mpsc::channel(256);
    let (client, client_remote) = duplex(1 << 10);
    let (service, service_remote) = duplex(1 << 10);
    let service_resets = Arc::new(Mutex::new(0));
    let queues = [to_client.clone(), to_service.clone()];
    let client_link =
        LossyLink { peer: to_service, sent: 0, is_lost: client_loses, resets: Arc::default() };
    let service_link = LossyLink {
        peer: to_client,
        sent: 0,
        is_lost: service_loses,
        resets: service_resets.clone(),
    };
    let client_address = CLIENT.parse().expect("address");
    let service_address = SERVICE.parse().expect("address");
    let connecting =
        TcpEndpoint::connect(client_address, service_address, options(1)).expect("endpoint");
    let listening = TcpEndpoint::listen(service_address, options(2)).expect("endpoint");
    let client_end = tokio::spawn(async move {
        splice(connecting, client_remote, &mut client_queue, client_link, NoObserver, HANDSHAKE)
            .await
    });
    let service_end = tokio::spawn(async move {
        splice(listening, service_remote, &mut service_queue, service_link, NoObserver, HANDSHAKE)
            .await
    });
    Pair { client, service, client_end, service_end, service_resets, queues }
}

async fn exchange_request_and_response(pair: &mut Pair) {
    pair.client.write_all(b"question").await.expect("write");
    let mut question = [0; 8];
    pair.service.read_exact(&mut question).await.expect("read");
    assert_eq!(&question, b"question");
    pair.service.write_all(b"answer").await.expect("write");
    let mut answer = [0; 6];
    pair.client.read_exact(&mut answer).await.expect("read");
    assert_eq!(&answer, b"answer");
}

#[tokio::test(start_paused = true)]
async fn flow_transfers_both_ways_and_closes_orderly() {
    let mut pair = connect(|_| false, |_| false);
    exchange_request_and_response(&mut pair).await;
    drop(pair.client);
    let mut rest = Vec::new();
    pair.service.read_to_end(&mut rest).await.expect("end");
    drop(pair.service);
    assert_eq!(pair.client_end.await.expect("client"), SpliceEnd::Closed);
    assert_eq!(pair.service_end.await.expect("service"), SpliceEnd::Closed);
}

#[tokio::test(start_paused = true)]
async fn half_close_keeps_other_direction_open() {
    let mut pair = connect(|_| false, |_| false);
    pair.client.write_all(b"all I have").await.expect("write");
    pair.client.shutdown().await.expect("shutdown");
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
    pair.client.read_to_end(&mut received).await.expect("end");
    writer.await.expect("writer");
    assert!(received == long, "the complete response arrives after the half close");
}

/// Guards against broken flows when the client considers the flow open while its packets are lost
/// for several seconds.
#[tokio::test(start_paused = true)]
async fn handshake_survives_seconds_of_loss() {
    // The SYN is delivered; the next packets, sent over about 7 s, are lost.
    let mut pair = connect(|number| (1..6).contains(&number), |_| false);
    exchange_request_and_response(&mut pair).await;
}

#[tokio::test(start_paused = true)]
async fn bytes_arrive_despite_loss_of_every_third_packet() {
    let mut pair = connect(|number| number % 3 == 1, |number| number % 3 == 2);
    for _ in 0..20 {
        exchange_request_and_response(&mut pair).await;
    }
}

/// Two agents may answer one opening packet. If the client acknowledges the sequence number of the
/// other agent, this one must not send a reset.
#[tokio::test(start_paused = true)]
async fn unacknowledged_listener_sends_no_reset() {
    let (to_endpoint, mut endpoint_queue) = mpsc::channel(16);
    let (_stream, remote) = duplex(64);
    let resets = Arc::new(Mutex::new(0));
    let (peer, mut answers) = mpsc::channel(16);
    let link = LossyLink { peer, sent: 0, is_lost: |_| false, resets: resets.clone() };
    let service = SERVICE.parse().expect("address");
    let listening = TcpEndpoint::listen(service, options(3)).expect("endpoint");
    let end = tokio::spawn(async move {
        splice(listening, remote, &mut endpoint_queue, link, NoObserver, HANDSHAKE).await
    });
    to_endpoint.send(client_segment(true, 0)).await.expect("sent");
    assert!(answers.recv().await.is_some(), "the opening packet is answered");
    for acknowledgment in [1, 77, 0xFFFF_0000] {
        to_endpoint.send(client_segment(false, acknowledgment)).await.expect("sent");
    }
    assert_eq!(end.await.expect("unacknowledged endpoint"), SpliceEnd::NeverOpened);
    assert_eq!(*resets.lock().expect("resets"), 0);
}

fn client_segment(syn: bool, acknowledgment: u32) -> Vec<u8> {
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
async fn failed_stream_resets_client() {
    let mut pair = connect(|_| false, |_| false);
    exchange_request_and_response(&mut pair).await;
    drop(pair.service);
    // The write may fail because the reset can arrive during it.
    let _ = pair.client.write_all(&[1; 4_000]).await;
    assert_eq!(pair.service_end.await.expect("service"), SpliceEnd::StreamFailed);
    assert_eq!(pair.client_end.await.expect("client"), SpliceEnd::PeerReset);
    assert!(*pair.service_resets.lock().expect("resets") >= 1);
}

#[tokio::test(start_paused = true)]
async fn dropped_queue_resets_open_flow() {
    let mut pair = connect(|_| false, |_| false);
    exchange_request_and_response(&mut pair).await;
    pair.client_end.abort();
    drop(pair.queues);
    assert_eq!(pair.service_end.await.expect("service"), SpliceEnd::Cancelled);
    assert_eq!(*pair.service_resets.lock().expect("resets"), 1);
}
