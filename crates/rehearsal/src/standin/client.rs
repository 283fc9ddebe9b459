//! A client: a user-space TCP connection through the fabric that carries an HTTP
//! client.

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

/// Buffer sizes of a client's connection, in bytes.
const BUFFERS: BufferSizes = BufferSizes { receive: 32 << 10, send: 8 << 10 };
/// Buffer between the connection and its HTTP client, in bytes.
const PIPE_BYTES: usize = 16 << 10;
/// Time within which a connection must be established.
const OPEN_TIMEOUT: Duration = Duration::from_secs(20);
/// First source port that clients use.
const FIRST_PORT: u32 = 10_000;
/// Number of source ports per client address.
const PORTS_PER_ADDRESS: u32 = 50_000;

/// Why a connection was not opened. In every case no data was sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OpenError {
    /// The service answered with a reset.
    Refused {
        /// Time since the first packet.
        after: Duration,
    },
    /// No answer arrived in time.
    TimedOut,
    /// The connection could not be created locally.
    Local,
}

/// Allocates a unique source address and port for each connection.
#[derive(Debug, Default)]
pub struct AddressPool {
    next: AtomicU32,
}

impl AddressPool {
    fn allocate(&self, destination: SocketAddr) -> SocketAddr {
        let number = self.next.fetch_add(1, Ordering::Relaxed);
        let host = number / PORTS_PER_ADDRESS;
        let port = (FIRST_PORT + number % PORTS_PER_ADDRESS) as u16;
        let ip = match destination.ip() {
            // 198.18.0.0/15 is reserved for benchmarks (RFC 2544).
            IpAddr::V4(_) => IpAddr::V4(Ipv4Addr::from_bits(0xC612_0001 + host)),
            IpAddr::V6(_) => IpAddr::V6((0x2001_0002_u128 << 96 | u128::from(host + 1)).into()),
        };
        SocketAddr::new(ip, port)
    }
}

struct ClientSink(Fabric);

impl PacketSink for ClientSink {
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

/// An established connection.
pub struct Connection {
    /// The client's address.
    pub source: SocketAddr,
    /// The connection's byte stream.
    pub stream: DuplexStream,
}

/// Opens a connection to a service, with or without TCP timestamps.
///
/// # Errors
/// Fails if the connection is refused, unanswered or cannot be created. No data
/// has been sent in these cases.
pub async fn open(
    fabric: &Fabric,
    pool: &AddressPool,
    destination: SocketAddr,
    with_timestamps: bool,
) -> Result<Connection, OpenError> {
    let source = pool.allocate(destination);
    let mut packets = fabric.add_client(source);
    let options = EndpointOptions {
        buffers: BUFFERS,
        seed: getrandom::u64().map_err(|_| OpenError::Local)?,
        initial_sequence: None,
        resets_early: false,
        timestamps: with_timestamps.then_some(client_timestamp as TimestampSource),
    };
    let endpoint =
        TcpEndpoint::connect(source, destination, options).map_err(|_| OpenError::Local)?;
    let started = Instant::now();
    let (near, far) = tokio::io::duplex(PIPE_BYTES);
    let (opened, is_opened) = oneshot::channel();
    let fabric = fabric.clone();
    tokio::spawn(async move {
        let sink = ClientSink(fabric.clone());
        let observer = OpenObserver(Some(opened));
        splice(endpoint, far, &mut packets, sink, observer, OPEN_TIMEOUT).await;
        fabric.remove_client(source);
    });
    match is_opened.await {
        Ok(()) => Ok(Connection { source, stream: near }),
        Err(_) if started.elapsed() >= OPEN_TIMEOUT => Err(OpenError::TimedOut),
        Err(_) => Err(OpenError::Refused { after: started.elapsed() }),
    }
}

/// An HTTP client on a connection, which is closed when the client is dropped.
pub struct HttpClient {
    /// Sends requests.
    pub sender: SendRequest<Empty<Bytes>>,
    /// The client's address.
    pub source: SocketAddr,
    driver: tokio::task::JoinHandle<()>,
}

impl HttpClient {
    /// Starts an HTTP client on an established connection.
    ///
    /// # Errors
    /// Fails if the HTTP handshake fails.
    pub async fn start(connection: Connection) -> hyper::Result<Self> {
        let source = connection.source;
        let (sender, connection) = handshake(TokioIo::new(connection.stream)).await?;
        let driver = tokio::spawn(async move {
            // The client's requests report the same error.
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

/// The clients' TCP timestamp clock, in milliseconds.
fn client_timestamp() -> u32 {
    static STARTED: OnceLock<Instant> = OnceLock::new();
    STARTED.get_or_init(Instant::now).elapsed().as_millis() as u32
}
