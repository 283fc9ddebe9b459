//! A back end: an HTTP server with slots, a connection limit, a cold start, load
//! shedding, deadlines and cancellation, whose load and health endpoints can
//! misreport.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::sync::{Arc, Mutex, PoisonError, Weak};
use std::task::{Context, Poll};
use std::time::{Duration, Instant};

use http::{HeaderValue, Request, Response, StatusCode};
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, Full};
use hyper::body::{Body, Bytes, Frame, Incoming};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use ppp::v2::{Addresses, Header};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use tokio::io::AsyncReadExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Semaphore, watch};
use tokio::time::Interval;

use crate::history::{History, RequestId};

/// Header with the request's identifier, echoed in the answer.
pub const REQUEST_HEADER: &str = "x-request-id";
/// Header with the name of the requested service.
pub const SERVICE_HEADER: &str = "x-service";
/// Header with the maximum time that the request may wait for a slot, in
/// milliseconds.
pub const DEADLINE_HEADER: &str = "x-deadline-ms";
/// Queue limit per slot; requests beyond it are shed.
const QUEUE_PER_SLOT: u32 = 8;
/// Length of the fixed part of a PROXY protocol version 2 header, in bytes.
const PROXY_FIXED_LENGTH: usize = 16;
/// Interval at which the reported load is refreshed.
const REPORT_INTERVAL: Duration = Duration::from_secs(2);
/// Duration of the cold start, during which requests are slower.
const COLD_START_DURATION: Duration = Duration::from_secs(3);
/// Factor on service times at the beginning of the cold start.
const COLD_FACTOR: f64 = 2.0;

type AnswerBody = UnsyncBoxBody<Bytes, Infallible>;

/// Options of a back end.
#[derive(Clone, Debug)]
pub struct BackEndOptions {
    /// Target number across all services.
    pub target: usize,
    /// Name of the service.
    pub service: String,
    /// Requests processed concurrently.
    pub slots: u32,
    /// Concurrent connections accepted.
    pub connections: u32,
    /// Mean service time.
    pub service_time: Duration,
    /// Interval between two updates of a feed.
    pub feed_interval: Duration,
    /// Length of an answer's body, in bytes.
    pub answer_bytes: usize,
    /// Random seed of the service times.
    pub seed: u64,
}

struct State {
    options: BackEndOptions,
    history: History,
    slots: Semaphore,
    in_use: AtomicU32,
    waiting: AtomicU32,
    connections: AtomicU32,
    misreporting: AtomicBool,
    /// Slots in use at the last refresh, as reported by the load endpoint.
    last_reported: AtomicU32,
    random: Mutex<ChaCha8Rng>,
    started: Instant,
}

/// A running back end. Cheap to clone.
#[derive(Clone)]
pub struct BackEnd {
    address: SocketAddr,
    state: Arc<State>,
    refusing: watch::Sender<bool>,
}

impl BackEnd {
    /// Starts a back end on a loopback port.
    pub async fn start(options: BackEndOptions, history: History) -> std::io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let random = ChaCha8Rng::seed_from_u64(options.seed);
        let state = Arc::new(State {
            slots: Semaphore::new(options.slots as usize),
            options,
            history,
            in_use: AtomicU32::new(0),
            waiting: AtomicU32::new(0),
            connections: AtomicU32::new(0),
            misreporting: AtomicBool::new(false),
            last_reported: AtomicU32::new(0),
            random: Mutex::new(random),
            started: Instant::now(),
        });
        let (refusing, refused) = watch::channel(false);
        tokio::spawn(accept(listener, address, state.clone(), refused));
        tokio::spawn(refresh_report(Arc::downgrade(&state)));
        Ok(Self { address, state, refusing })
    }

    /// Returns the address that the back end listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the number of slots currently in use.
    pub fn slots_in_use(&self) -> u32 {
        self.state.in_use.load(Ordering::Relaxed)
    }

    /// Refuses new connections, or accepts them again.
    pub fn set_refusing(&self, refusing: bool) {
        self.refusing.send_replace(refusing);
    }

    /// Makes the load and health endpoints report an idle, healthy back end.
    pub fn start_misreporting(&self) {
        self.state.misreporting.store(true, Ordering::Relaxed);
    }
}

/// Accepts connections. While refusing, no socket listens on the address.
async fn accept(
    listener: TcpListener,
    address: SocketAddr,
    state: Arc<State>,
    mut refusing: watch::Receiver<bool>,
) {
    let mut listener = Some(listener);
    loop {
        if *refusing.borrow_and_update() {
            if let Some(listener) = listener.take() {
                serve_queued(listener, &state);
            }
        } else if listener.is_none() {
            listener = TcpListener::bind(address).await.ok();
        }
        let accepted = async {
            match &listener {
                Some(listener) => listener.accept().await,
                None => std::future::pending().await,
            }
        };
        tokio::select! {
            Ok((stream, _)) = accepted => serve(stream, state.clone()),
            changed = refusing.changed() => {
                if changed.is_err() {
                    return;
                }
            }
        }
    }
}

/// Closes a listener, but first serves the connections in its accept queue.
/// Closing would reset those, which is not a refusal.
fn serve_queued(listener: TcpListener, state: &Arc<State>) {
    let Ok(listener) = listener.into_std() else {
        return;
    };
    while let Ok((stream, _)) = listener.accept() {
        // The listener is non-blocking, but accepted streams must be set so.
        if stream.set_nonblocking(true).is_ok()
            && let Ok(stream) = TcpStream::from_std(stream)
        {
            serve(stream, state.clone());
        }
    }
}

fn serve(stream: TcpStream, state: Arc<State>) {
    let held = state.connections.fetch_add(1, Ordering::Relaxed);
    if held >= state.options.connections {
        state.connections.fetch_sub(1, Ordering::Relaxed);
        return;
    }
    let _ = stream.set_nodelay(true);
    tokio::spawn(async move {
        let mut stream = stream;
        if let Ok(client) = read_proxy_header(&mut stream).await {
            state.history.record_accepted(state.options.target, client);
        }
        let service = service_fn(|request| {
            let state = state.clone();
            async move { Ok::<_, Infallible>(state.respond(request).await) }
        });
        // When a client disconnects, the connection ends and the request's future
        // is dropped, which cancels the request.
        let _ = http1::Builder::new().serve_connection(TokioIo::new(stream), service).await;
        state.connections.fetch_sub(1, Ordering::Relaxed);
    });
}

/// Reads the PROXY protocol header that precedes the client's data, and returns
/// the client's address.
async fn read_proxy_header(stream: &mut TcpStream) -> std::io::Result<SocketAddr> {
    let mut header = vec![0; PROXY_FIXED_LENGTH];
    stream.read_exact(&mut header).await?;
    let length = u16::from_be_bytes([header[14], header[15]]);
    header.resize(PROXY_FIXED_LENGTH + usize::from(length), 0);
    stream.read_exact(&mut header[PROXY_FIXED_LENGTH..]).await?;
    let parsed = Header::try_from(header.as_slice()).map_err(std::io::Error::other)?;
    match parsed.addresses {
        Addresses::IPv4(ends) => Ok((ends.source_address, ends.source_port).into()),
        Addresses::IPv6(ends) => Ok((ends.source_address, ends.source_port).into()),
        _ => Err(std::io::Error::other("PROXY header without IP addresses")),
    }
}

impl State {
    async fn respond(self: &Arc<Self>, request: Request<Incoming>) -> Response<AnswerBody> {
        match request.uri().path() {
            "/load" => return text(self.reported_load().to_string()),
            "/health" => return text("ok".to_owned()),
            _ => {}
        }
        let Some(id) = header_number(&request, REQUEST_HEADER) else {
            return status(StatusCode::BAD_REQUEST);
        };
        let requested = request.headers().get(SERVICE_HEADER);
        if requested.is_none_or(|requested| requested.as_bytes() != self.options.service.as_bytes())
        {
            self.history.lock().misrouted += 1;
            return status(StatusCode::MISDIRECTED_REQUEST);
        }
        let mut response = match request.uri().path() {
            "/feed" => Response::new(self.feed(id)),
            "/run" => self.run(id, &request).await,
            _ => status(StatusCode::NOT_FOUND),
        };
        response.headers_mut().insert(REQUEST_HEADER, HeaderValue::from(id));
        response
    }

    /// Runs a request in a slot. A 503 is only sent for requests that have not run.
    async fn run(&self, id: RequestId, request: &Request<Incoming>) -> Response<AnswerBody> {
        let waiting = self.waiting.fetch_add(1, Ordering::Relaxed);
        let _waiting_guard = CountGuard(&self.waiting);
        if waiting >= self.options.slots * QUEUE_PER_SLOT {
            return status(StatusCode::SERVICE_UNAVAILABLE);
        }
        let slot = self.slots.acquire();
        let slot = match header_number(request, DEADLINE_HEADER) {
            Some(limit) => tokio::time::timeout(Duration::from_millis(limit), slot).await,
            None => Ok(slot.await),
        };
        let Ok(Ok(_slot)) = slot else {
            return status(StatusCode::SERVICE_UNAVAILABLE);
        };
        self.in_use.fetch_add(1, Ordering::Relaxed);
        let _in_use_guard = CountGuard(&self.in_use);
        self.history.record_run(id);
        tokio::time::sleep(self.service_time()).await;
        Response::new(answer_body(id, self.options.answer_bytes).boxed_unsync())
    }

    fn feed(&self, id: RequestId) -> AnswerBody {
        let mut interval = tokio::time::interval(self.options.feed_interval);
        interval.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        FeedBody { interval, id, next: 0 }.boxed_unsync()
    }

    fn service_time(&self) -> Duration {
        let uniform: f64 = self.random.lock().unwrap_or_else(PoisonError::into_inner).random();
        let exponential = -(1.0 - uniform).ln();
        let age = self.started.elapsed().as_secs_f64() / COLD_START_DURATION.as_secs_f64();
        let cold = 1.0 + (COLD_FACTOR - 1.0) * (1.0 - age).max(0.0);
        self.options.service_time.mul_f64(exponential * cold)
    }

    fn reported_load(&self) -> u32 {
        if self.misreporting.load(Ordering::Relaxed) {
            return 0;
        }
        self.last_reported.load(Ordering::Relaxed)
    }
}

/// Refreshes the reported load periodically, so that it lags like real reports.
async fn refresh_report(state: Weak<State>) {
    while let Some(state) = state.upgrade() {
        let in_use = state.in_use.load(Ordering::Relaxed);
        state.last_reported.store(in_use, Ordering::Relaxed);
        drop(state);
        tokio::time::sleep(REPORT_INTERVAL).await;
    }
}

/// Decrements a counter when dropped, including when a request is cancelled.
struct CountGuard<'a>(&'a AtomicU32);

impl Drop for CountGuard<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Returns line `number` of a feed.
pub fn feed_line(id: RequestId, number: u64) -> String {
    format!("{id} {number}\n")
}

/// Returns the answer to a request: its identifier, repeated to `length` bytes.
pub fn answer_bytes(id: RequestId, length: usize) -> Bytes {
    id.to_be_bytes().iter().copied().cycle().take(length).collect()
}

fn answer_body(id: RequestId, length: usize) -> Full<Bytes> {
    Full::new(answer_bytes(id, length))
}

/// An endless body of numbered lines, one per interval.
struct FeedBody {
    interval: Interval,
    id: RequestId,
    next: u64,
}

impl Body for FeedBody {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        if self.interval.poll_tick(context).is_pending() {
            return Poll::Pending;
        }
        let line = feed_line(self.id, self.next);
        self.next += 1;
        Poll::Ready(Some(Ok(Frame::data(Bytes::from(line)))))
    }
}

fn header_number(request: &Request<Incoming>, name: &str) -> Option<u64> {
    request.headers().get(name)?.to_str().ok()?.parse().ok()
}

fn text(body: String) -> Response<AnswerBody> {
    Response::new(Full::new(Bytes::from(body)).boxed_unsync())
}

fn status(status: StatusCode) -> Response<AnswerBody> {
    let mut response = Response::new(Full::new(Bytes::new()).boxed_unsync());
    *response.status_mut() = status;
    response
}
