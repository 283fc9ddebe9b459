//! Compares the balancer's packet rate on one core with that of a minimal
//! single-threaded UDP relay in the same run.

use std::net::{SocketAddr, UdpSocket};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use etherparse::PacketBuilder;
use eyre::WrapErr;
use serde::Serialize;
use weirhinge_config::{
    ConfigDocument, Service, ServiceId, Target, TargetId, TargetState, TransportProtocol,
};
use weirhinge_udp::{ReceiveBatch, SendBatch};

use crate::fleet_parts::{KEYS_FILE, make_work_folder};
use crate::processes::Program;
use crate::standin::link::enlarge_receive_buffer;
use crate::standin::platform::Platform;

/// Datagrams per system call in generators and sinks.
const BATCH: usize = 64;
/// Number of packet generator threads; enough to saturate one forwarding thread.
const GENERATORS: usize = 2;
/// Payload of a generated packet, in bytes: a small request.
const PAYLOAD_BYTES: usize = 100;
/// Number of agents that packets are distributed over, as in a typical service.
const AGENTS: u16 = 7;
/// Number of distinct flows per generator.
const FLOWS: usize = 1_024;
/// Duration of the load before each measurement starts.
const WARM_UP: Duration = Duration::from_millis(500);
/// Receive timeout, after which a thread checks whether to stop.
const RECEIVE_TIMEOUT: Duration = Duration::from_millis(50);
/// Time that the balancer gets to read its configuration.
const SETTLE_TIME: Duration = Duration::from_millis(1_500);

/// One round of the three measurements, in packets per second.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct ForwardingRound {
    /// The minimal relay: one datagram per system call.
    pub relay: f64,
    /// The balancer with one datagram per system call.
    pub unbatched: f64,
    /// The balancer with its default batch size.
    pub batched: f64,
}

/// Results of all rounds with the median ratios.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct ForwardingResult {
    /// Every round.
    pub rounds: Vec<ForwardingRound>,
    /// Median over the rounds of the ratio of unbatched to relay.
    pub unbatched_ratio: f64,
    /// Median over the rounds of the ratio of batched to relay.
    pub batched_ratio: f64,
}

/// Runs `rounds` rounds of three measurements that last `seconds` each.
///
/// # Errors
/// Fails if a socket cannot be set up or a process cannot be started.
pub async fn measure_forwarding(rounds: usize, seconds: f64) -> eyre::Result<ForwardingResult> {
    let window = Duration::from_secs_f64(seconds);
    let mut measured = Vec::new();
    for _ in 0..rounds {
        measured.push(ForwardingRound {
            relay: measure_relay(window).await?,
            unbatched: measure_balancer(window, 1).await?,
            batched: measure_balancer(window, 32).await?,
        });
    }
    let ratio = |rate: fn(&ForwardingRound) -> f64| {
        let mut ratios: Vec<f64> = measured.iter().map(|round| rate(round) / round.relay).collect();
        ratios.sort_by(f64::total_cmp);
        ratios[ratios.len() / 2]
    };
    Ok(ForwardingResult {
        unbatched_ratio: ratio(|round| round.unbatched),
        batched_ratio: ratio(|round| round.batched),
        rounds: measured,
    })
}

async fn measure_relay(window: Duration) -> eyre::Result<f64> {
    let stop = Arc::new(AtomicBool::new(false));
    let sink = Sink::start(&stop, AGENTS)?;
    let socket = bind()?;
    let address = socket.local_addr().wrap_err("read the relay's address")?;
    let relay_stop = stop.clone();
    let receivers = sink.addresses.clone();
    let relay = std::thread::spawn(move || forward_all(&socket, &receivers, &relay_stop));
    let rate = measure_rate(&sink, address, window, &stop).await?;
    // The thread exits within its receive timeout.
    let _ = relay.join();
    Ok(rate)
}

/// Forwards datagrams to the receivers, round-robin.
fn forward_all(socket: &UdpSocket, receivers: &[SocketAddr], stop: &AtomicBool) {
    let mut datagram = [0; 2_048];
    let mut next = 0;
    while !stop.load(Ordering::Relaxed) {
        if let Ok((length, _)) = socket.recv_from(&mut datagram) {
            // If the receiver's buffer is full, the datagram is lost, as in the balancer.
            let _ = socket.send_to(&datagram[..length], receivers[next]);
            next = (next + 1) % receivers.len();
        }
    }
}

async fn measure_balancer(window: Duration, batch: usize) -> eyre::Result<f64> {
    let stop = Arc::new(AtomicBool::new(false));
    let sink = Sink::start(&stop, AGENTS)?;
    let platform = Platform::start().await.wrap_err("start the platform")?;
    platform.publish(document(&sink.addresses));
    let work_folder = make_work_folder()?;
    let keys = work_folder.join(KEYS_FILE).display().to_string();
    let pairs = [
        ("--zone", "bench".to_owned()),
        ("--platform", platform.address().to_string()),
        ("--keys-file", keys),
        ("--batch", batch.to_string()),
    ];
    let mut arguments = vec!["balancer".to_owned()];
    arguments.extend(pairs.into_iter().flat_map(|(flag, value)| [flag.to_owned(), value]));
    let mut balancer = Program::find(None)?.start("balancer", &arguments).await?;
    tokio::time::sleep(SETTLE_TIME).await;
    let rate = measure_rate(&sink, balancer.addresses.data, window, &stop).await?;
    balancer.kill().await;
    // If removal fails, the folder remains in the system's temporary folder.
    let _ = std::fs::remove_dir_all(work_folder);
    Ok(rate)
}

/// Sends packets to `address` and returns the rate at which the sink receives
/// them, in packets per second.
async fn measure_rate(
    sink: &Sink,
    address: SocketAddr,
    window: Duration,
    stop: &Arc<AtomicBool>,
) -> eyre::Result<f64> {
    let generators: Vec<JoinHandle<()>> = (0..GENERATORS)
        .map(|number| {
            let socket = bind()?;
            let stop = stop.clone();
            Ok(std::thread::spawn(move || generate(&socket, number, address, &stop)))
        })
        .collect::<eyre::Result<_>>()?;
    tokio::time::sleep(WARM_UP).await;
    let before = sink.received.load(Ordering::Relaxed);
    let started = Instant::now();
    tokio::time::sleep(window).await;
    let received = sink.received.load(Ordering::Relaxed) - before;
    let elapsed = started.elapsed();
    stop.store(true, Ordering::Relaxed);
    for generator in generators {
        // A generator exits after its current batch.
        let _ = generator.join();
    }
    Ok(received as f64 / elapsed.as_secs_f64())
}

fn generate(socket: &UdpSocket, number: usize, to: SocketAddr, stop: &AtomicBool) {
    let packets = packets(number);
    let mut batch = SendBatch::new(BATCH);
    let mut next = 0;
    while !stop.load(Ordering::Relaxed) {
        while !batch.is_full() {
            let buffer = batch.next_buffer();
            buffer.clear();
            buffer.extend_from_slice(&packets[next]);
            batch.commit(to);
            next = (next + 1) % packets.len();
        }
        batch.flush(socket);
    }
}

fn packets(generator: usize) -> Vec<Vec<u8>> {
    (0..FLOWS)
        .map(|flow| {
            let mut packet = Vec::new();
            // Writing to a vector cannot fail.
            let _ = PacketBuilder::ipv4([198, 18, 0, generator as u8], [203, 0, 113, 10], 64)
                .tcp(flow as u16, 8_443, 1, 4_000)
                .ack(1)
                .write(&mut packet, &[7; PAYLOAD_BYTES]);
            packet
        })
        .collect()
}

/// Receives and counts datagrams at several addresses.
struct Sink {
    addresses: Vec<SocketAddr>,
    received: Arc<AtomicU64>,
}

impl Sink {
    fn start(stop: &Arc<AtomicBool>, count: u16) -> eyre::Result<Self> {
        let mut addresses = Vec::new();
        let received = Arc::new(AtomicU64::new(0));
        for _ in 0..count {
            let socket = bind()?;
            addresses.push(socket.local_addr().wrap_err("read the sink's address")?);
            let (counter, stop) = (received.clone(), stop.clone());
            std::thread::spawn(move || {
                let mut batch = ReceiveBatch::new(BATCH);
                while !stop.load(Ordering::Relaxed) && batch.receive(&socket).is_ok() {
                    counter.fetch_add(batch.datagrams().count() as u64, Ordering::Relaxed);
                }
            });
        }
        Ok(Self { addresses, received })
    }
}

fn bind() -> eyre::Result<UdpSocket> {
    let socket = UdpSocket::bind("127.0.0.1:0").wrap_err("bind a loopback socket")?;
    socket.set_read_timeout(Some(RECEIVE_TIMEOUT)).wrap_err("set the receive timeout")?;
    enlarge_receive_buffer(&socket);
    Ok(socket)
}

fn document(agents: &[SocketAddr]) -> ConfigDocument {
    let target = |(number, &agent): (usize, &SocketAddr)| Target {
        id: TargetId(number as u16),
        name: format!("bench-{number}"),
        service: ServiceId(1),
        zone: "bench".to_owned(),
        agent,
        back_end: agent,
        weight: 100,
        state: TargetState::Active,
        slots: 1,
        connections: 1,
    };
    ConfigDocument {
        revision: 1,
        services: vec![Service {
            id: ServiceId(1),
            name: "bench".to_owned(),
            address: [203, 0, 113, 10].into(),
            port: 8_443,
            protocol: TransportProtocol::Tcp,
            proxy_protocol: false,
        }],
        targets: agents.iter().enumerate().map(target).collect(),
    }
}
