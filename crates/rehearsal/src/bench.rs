//! Measures the balancer's packets a second on one core against a bare
//! one-thread UDP relay in the same run.

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

/// Datagrams per system call of the generators and the sinks.
const BATCH: usize = 64;
/// Threads that generate packets; enough to keep one forwarding thread busy.
const GENERATORS: usize = 2;
/// Payload of a generated packet, in bytes: a small request.
const PAYLOAD: usize = 100;
/// Agents that the balancer spreads the packets over, as for a service of today.
const AGENTS: u16 = 7;
/// Different flows that are generated.
const FLOWS: usize = 1_024;
/// Time before each measurement in which the load runs up.
const RUN_UP: Duration = Duration::from_millis(500);
/// How long a receiving thread waits before it looks for its end.
const RECEIVE_TIMEOUT: Duration = Duration::from_millis(50);
/// Time for the balancer to read its configuration.
const SETTLE: Duration = Duration::from_millis(1_500);

/// One round of the three measurements, in packets a second.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct ForwardingRound {
    /// The bare relay: receives one datagram, sends one datagram.
    pub relay: f64,
    /// The balancer with one datagram per system call.
    pub unbatched: f64,
    /// The balancer with its default batch.
    pub batched: f64,
}

/// Medians over the rounds.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct ForwardingResult {
    /// Every round.
    pub rounds: Vec<ForwardingRound>,
    /// Median of unbatched over relay, pair by pair.
    pub unbatched_ratio: f64,
    /// Median of batched over relay, pair by pair.
    pub batched_ratio: f64,
}

/// Measures `rounds` rounds of `seconds` each.
///
/// # Errors
/// When a socket, thread or process cannot be started.
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
    let ratio = |pick: fn(&ForwardingRound) -> f64| {
        let mut ratios: Vec<f64> = measured.iter().map(|round| pick(round) / round.relay).collect();
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
    let ending = Arc::new(AtomicBool::new(false));
    let sink = Sink::start(&ending, AGENTS)?;
    let socket = bind()?;
    let address = socket.local_addr().wrap_err("read the relay's address")?;
    let relay_ending = ending.clone();
    let receivers = sink.addresses.clone();
    let relay = std::thread::spawn(move || relay_all(&socket, &receivers, &relay_ending));
    let rate = measure_rate(&sink, address, window, &ending).await?;
    // The thread ends by itself within its time-out.
    let _ = relay.join();
    Ok(rate)
}

/// Sends each datagram on to the next receiver in turn.
fn relay_all(socket: &UdpSocket, receivers: &[SocketAddr], ending: &AtomicBool) {
    let mut datagram = [0; 2_048];
    let mut next = 0;
    while !ending.load(Ordering::Relaxed) {
        if let Ok((length, _)) = socket.recv_from(&mut datagram) {
            // A full receiver loses the datagram, here and in the balancer.
            let _ = socket.send_to(&datagram[..length], receivers[next]);
            next = (next + 1) % receivers.len();
        }
    }
}

async fn measure_balancer(window: Duration, batch: usize) -> eyre::Result<f64> {
    let ending = Arc::new(AtomicBool::new(false));
    let sink = Sink::start(&ending, AGENTS)?;
    let platform = Platform::start().await.wrap_err("start platform")?;
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
    tokio::time::sleep(SETTLE).await;
    let rate = measure_rate(&sink, balancer.addresses.data, window, &ending).await?;
    balancer.kill().await;
    // A folder that cannot be removed is left to the system's own cleaning.
    let _ = std::fs::remove_dir_all(work_folder);
    Ok(rate)
}

/// Loads `address` and counts what comes out at the sink.
async fn measure_rate(
    sink: &Sink,
    address: SocketAddr,
    window: Duration,
    ending: &Arc<AtomicBool>,
) -> eyre::Result<f64> {
    let generators: Vec<JoinHandle<()>> = (0..GENERATORS)
        .map(|number| {
            let socket = bind()?;
            let ending = ending.clone();
            Ok(std::thread::spawn(move || generate(&socket, number, address, &ending)))
        })
        .collect::<eyre::Result<_>>()?;
    tokio::time::sleep(RUN_UP).await;
    let before = sink.received.load(Ordering::Relaxed);
    let started = Instant::now();
    tokio::time::sleep(window).await;
    let received = sink.received.load(Ordering::Relaxed) - before;
    let elapsed = started.elapsed();
    ending.store(true, Ordering::Relaxed);
    for generator in generators {
        // A generator ends by itself within one batch.
        let _ = generator.join();
    }
    Ok(received as f64 / elapsed.as_secs_f64())
}

fn generate(socket: &UdpSocket, number: usize, to: SocketAddr, ending: &AtomicBool) {
    let packets = packets(number);
    let mut batch = SendBatch::new(BATCH);
    let mut next = 0;
    while !ending.load(Ordering::Relaxed) {
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
                .write(&mut packet, &[7; PAYLOAD]);
            packet
        })
        .collect()
}

/// Counts the datagrams that arrive at several addresses.
struct Sink {
    addresses: Vec<SocketAddr>,
    received: Arc<AtomicU64>,
}

impl Sink {
    fn start(ending: &Arc<AtomicBool>, count: u16) -> eyre::Result<Self> {
        let mut addresses = Vec::new();
        let received = Arc::new(AtomicU64::new(0));
        for _ in 0..count {
            let socket = bind()?;
            addresses.push(socket.local_addr().wrap_err("read the sink's address")?);
            let (counter, ending) = (received.clone(), ending.clone());
            std::thread::spawn(move || {
                let mut batch = ReceiveBatch::new(BATCH);
                while !ending.load(Ordering::Relaxed) && batch.receive(&socket).is_ok() {
                    counter.fetch_add(batch.datagrams().count() as u64, Ordering::Relaxed);
                }
            });
        }
        Ok(Self { addresses, received })
    }
}

fn bind() -> eyre::Result<UdpSocket> {
    let socket = UdpSocket::bind("127.0.0.1:0").wrap_err("bind a socket on loopback")?;
    socket.set_read_timeout(Some(RECEIVE_TIMEOUT)).wrap_err("set a read time-out")?;
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
