//! Calls to the platform's store over one kept connection.
//!
//! A connection may fall silent for good while new ones work. So each call has a time
//! limit, a connection that missed one is closed, and one that nobody used for a while is
//! not trusted with the next call.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use http::{HeaderMap, Request, StatusCode, header};
use http_body_util::{BodyExt, Empty, Limited};
use hyper::body::Bytes;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::task::JoinHandle;

use crate::platform::{AnswerBehind, RejectedItem};

/// Largest answer accepted, in bytes.
const MAXIMUM_ANSWER: usize = 4 << 20;
/// Longest wait for a connection.
const CONNECT_LIMIT: Duration = Duration::from_millis(600);
/// A connection that rested for longer is replaced before the next call: connecting takes
/// some 10 ms, finding out that it is silent the call's whole limit.
const IDLE_LIMIT: Duration = Duration::from_secs(2);

/// Why a call failed; names the step and the peer.
#[derive(Debug, thiserror::Error)]
pub(crate) enum StoreError {
    /// A step of the exchange failed.
    #[error("{step} store {peer}: {reason}")]
    Step {
        /// What was done.
        step: &'static str,
        /// The store's address.
        peer: SocketAddr,
        /// What went wrong.
        reason: String,
    },
    /// The store refused the call.
    #[error("store {peer}: status {status}")]
    Status {
        /// The store's address.
        peer: SocketAddr,
        /// The status code.
        status: u16,
    },
    /// The store has forgotten what changed after the revision asked for.
    #[error("store {peer}: history before the revision is gone")]
    HistoryGone {
        /// The store's address.
        peer: SocketAddr,
    },
    /// The store came back from a copy: its revisions are others than those known.
    #[error("store {peer}: came back from a copy, now in era {era}")]
    Restored {
        /// The store's address.
        peer: SocketAddr,
        /// The era that it states.
        era: u64,
    },
    /// The answer is older than what is known.
    #[error("store {peer}: {behind}")]
    Behind {
        /// The store's address.
        peer: SocketAddr,
        /// How far.
        behind: AnswerBehind,
    },
    /// The answer cannot be used.
    #[error("store {peer}: {rejected}")]
    Unusable {
        /// The store's address.
        peer: SocketAddr,
        /// Why.
        rejected: Box<RejectedItem>,
    },
}

/// A successful answer.
pub(crate) struct StoreAnswer {
    /// Its headers.
    pub(crate) headers: HeaderMap,
    /// Its body.
    pub(crate) body: Bytes,
}

/// A connection; closed when dropped, also while an exchange hangs.
struct Connection {
    sender: SendRequest<Empty<Bytes>>,
    task: JoinHandle<()>,
    used_at: Instant,
}

impl Connection {
    fn is_usable(&self) -> bool {
        !self.sender.is_closed() && self.used_at.elapsed() < IDLE_LIMIT
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// The store's one client in this process.
pub(crate) struct StoreClient {
    address: SocketAddr,
    connection: Option<Connection>,
}

impl StoreClient {
    /// A client that is not connected yet.
    pub(crate) fn new(address: SocketAddr) -> Self {
        Self { address, connection: None }
    }

    /// The store's address.
    pub(crate) fn address(&self) -> SocketAddr {
        self.address
    }

    /// Makes one call. After a failure the connection is closed: it may still bring an old
    /// answer, or none.
    ///
    /// # Errors
    /// Names the step and the store, also when `limit` passed without an answer.
    pub(crate) async fn get(
        &mut self,
        path: &str,
        limit: Duration,
    ) -> Result<StoreAnswer, StoreError> {
        let result = tokio::time::timeout(limit, self.exchange(path)).await;
        result.unwrap_or_else(|_| Err(self.step("wait for", "no answer in time")))
    }

    async fn exchange(&mut self, path: &str) -> Result<StoreAnswer, StoreError> {
        let mut connection = match self.connection.take().filter(Connection::is_usable) {
            Some(connection) => connection,
            None => self.connect().await?,
        };
        let request = Request::get(path)
            .header(header::HOST, self.address.to_string())
            .body(Empty::new())
            .map_err(|error| self.step("ask", error))?;
        let response = connection.sender.send_request(request).await;
        let response = response.map_err(|error| self.step("ask", error))?;
        let status = response.status();
        let headers = response.headers().clone();
        let body = Limited::new(response.into_body(), MAXIMUM_ANSWER).collect().await;
        let body = body.map_err(|error| self.step("read from", error))?.to_bytes();
        let result = match status {
            StatusCode::OK => Ok(StoreAnswer { headers, body }),
            StatusCode::GONE => Err(StoreError::HistoryGone { peer: self.address }),
            status => {
                return Err(StoreError::Status { peer: self.address, status: status.as_u16() });
            }
        };
        connection.used_at = Instant::now();
        self.connection = Some(connection);
        result
    }

    async fn connect(&self) -> Result<Connection, StoreError> {
        let stream = tokio::time::timeout(CONNECT_LIMIT, TcpStream::connect(self.address)).await;
        let stream = stream
            .map_err(|_| self.step("connect to", "no answer in time"))?
            .map_err(|error| self.step("connect to", error))?;
        let (sender, connection) = http1::handshake(TokioIo::new(stream))
            .await
            .map_err(|error| self.step("open", error))?;
        let task = tokio::task::spawn_local(async move {
            // The sender reports what went wrong.
            let _ = connection.await;
        });
        Ok(Connection { sender, task, used_at: Instant::now() })
    }

    fn step(&self, step: &'static str, reason: impl ToString) -> StoreError {
        StoreError::Step { step, peer: self.address, reason: reason.to_string() }
    }
}
