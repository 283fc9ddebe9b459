//! A caller: one user-space TCP connection through the fabric with an HTTP
//! client on it.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::sync::OnceLock;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::{Duration, Instant};

use http_body_util::Empty;
use hyper::body::Bytes;
use hyper::client::conn::http1::{SendRequest, handshake};
use hyper_util::rt::TokioIo;
use tokio::io::DuplexStream;
use tokio::sync::oneshot;
use weirhinge_stack::{
    BufferSizes, EndpointOptions, FlowObserver, PacketSink, TcpEndpoint, TimestampSource, splice,
};

use crate::standin::fabric::Fabric;

/// Buffers of a caller's connection, in bytes.
const BUFFERS: BufferSizes = BufferSizes { receive: 32 << 10, send: 8 << 10 };
/// Bytes between the connection and its HTTP client.
const PIPE: usize = 16 << 10;
/// How long a caller tries to open a connection.
const OPEN_TIMEOUT: Duration = Duration::from_secs(20);
/// First port that callers use.
const FIRST_PORT: u32 = 10_000;
/// Ports per caller address.
const PORTS: u32 = 50_000;

/// Why a connection was not opened. Either way nothing was sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OpenError {
    /// The service answered by a reset.
    Refused {
        /// Time from the first packet.
        after: Duration,
    },
    /// Nothing answered in time.
    TimedOut,
    /// This machine could not make the connection.
    Local,
}

/// Gives each connection an address and port of its own, never used twice.
#[derive(Debug, Default)]
pub struct AddressPool {
    next: AtomicU32,
}

impl AddressPool {
    fn take(&self, destination: SocketAddr) -> SocketAddr {
        let number = self.next.fetch_add(1, Ordering::Relaxed);
        let host = number / PORTS;
        let port = (FIRST_PORT + number % PORTS) as u16;
        let ip = match destination.ip() {
            // 198.18.0.0/15 is set aside for benchmarks (RFC 2544).
            IpAddr::V4(_) => IpAddr::V4(Ipv4Addr::from_bits(0xC612_0001 + host)),
            IpAddr::V6(_) => IpAddr::V6((0x2001_0002_u128 << 96 | u128::from(host + 1)).into()),
        };
        SocketAddr::new(ip, port)
    }
}

struct CallerSink(Fabric);

impl PacketSink for CallerSink {
    fn send(&mut self, packet: &[u8]) {
        self.0.send(packet);
    }
}

struct OpenObserver(Option<oneshot::Sender<()>>);

impl FlowObserver for OpenObserver {
    fn on_established(&mut self) {
        if let Some(opened) = self.0.take() {
            let _ = opened.send(());
        }
    }
}

/// An open connection.
pub struct Connection {
    /// The caller's own address.
    pub source: SocketAddr,
    /// The connection's bytes.
    pub stream: DuplexStream,
}

/// Opens a connection to a service, with or without TCP timestamps.
///
/// # Errors
/// When it is refused or not answered; nothing has been sent then.
pub async fn open(
    fabric: &Fabric,
    pool: &AddressPool,
    destination: SocketAddr,
    with_timestamps: bool,
) -> Result<Connection, OpenError> {
    let source = pool.take(destination);
    let mut packets = fabric.add_caller(source);
    let options = EndpointOptions {
        buffers: BUFFERS,
        seed: getrandom::u64().map_err(|_| OpenError::Local)?,
        initial_sequence: None,
        resets_early: false,
        timestamps: with_timestamps.then_some(caller_timestamp as TimestampSource),
    };
    let endpoint =
        TcpEndpoint::connect(source, destination, options).map_err(|_| OpenError::Local)?;
    let started = Instant::now();
    let (near, far) = tokio::io::duplex(PIPE);
    let (opened, is_opened) = oneshot::channel();
    let fabric = fabric.clone();
    tokio::spawn(async move {
        let sink = CallerSink(fabric.clone());
        let observer = OpenObserver(Some(opened));
        splice(endpoint, far, &mut packets, sink, observer, OPEN_TIMEOUT).await;
        fabric.remove_caller(source);
    });
    match is_opened.await {
        Ok(()) => Ok(Connection { source, stream: near }),
        Err(_) if started.elapsed() >= OPEN_TIMEOUT => Err(OpenError::TimedOut),
        Err(_) => Err(OpenError::Refused { after: started.elapsed() }),
    }
}

/// An HTTP client on a connection. The connection is closed when it is dropped.
pub struct HttpClient {
    /// Sends requests.
    pub sender: SendRequest<Empty<Bytes>>,
    /// The caller's own address.
    pub source: SocketAddr,
    driver: tokio::task::JoinHandle<()>,
}

impl HttpClient {
    /// Puts a client on an open connection.
    ///
    /// # Errors
    /// When the client cannot start.
    pub async fn start(connection: Connection) -> hyper::Result<Self> {
        let source = connection.source;
        let (sender, connection) = handshake(TokioIo::new(connection.stream)).await?;
        let driver = tokio::spawn(async move {
            // The caller's requests report the same error.
            let _ = connection.await;
        });
        Ok(Self { sender, source, driver })
    }
}

impl Drop for HttpClient {
    fn drop(&mut self) {
        self.driver.abort();
    }
}

/// A caller's timestamp clock, in milliseconds.
fn caller_timestamp() -> u32 {
    static STARTED: OnceLock<Instant> = OnceLock::new();
    STARTED.get_or_init(Instant::now).elapsed().as_millis() as u32
}
