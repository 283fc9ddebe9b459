//! HTTP client of the platform's store, with one persistent connection.
//!
//! A connection may become unresponsive for good while new connections work. Therefore each call
//! has a timeout, a connection is closed after a call timed out, and a connection that was idle
//! for a while is replaced before the next call.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use http::{HeaderMap, Request, StatusCode, header};
use http_body_util::{BodyExt, Empty, Limited};
use hyper::body::Bytes;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::task::JoinHandle;

use crate::platform::{RejectedItem, StaleResponse};

/// Largest response body accepted, in bytes.
const MAX_RESPONSE_BYTES: usize = 4 << 20;
/// Timeout for establishing a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(600);
/// A connection that was idle for longer is replaced before the next call. Connecting takes some
/// 10 ms, while detecting an unresponsive connection takes the whole timeout of a call.
const IDLE_TIMEOUT: Duration = Duration::from_secs(2);

/// Why a call to the store failed.
#[derive(Debug, thiserror::Error)]
pub(crate) enum StoreError {
    /// A step of the call failed.
    #[error("{step} store {peer}: {reason}")]
    Step {
        /// The step, as a verb phrase that precedes "store".
        step: &'static str,
        /// The store's address.
        peer: SocketAddr,
        /// The underlying error.
        reason: String,
    },
    /// The store responded with an unexpected status.
    #[error("store {peer}: unexpected HTTP status {status}")]
    Status {
        /// The store's address.
        peer: SocketAddr,
        /// The HTTP status code.
        status: u16,
    },
    /// The store no longer has the changes after the requested revision.
    #[error("store {peer}: changes after the requested revision are gone")]
    HistoryGone {
        /// The store's address.
        peer: SocketAddr,
    },
    /// The store was restored from a backup, so the known revisions do not apply.
    #[error("store {peer}: restored from a backup, now in era {era}")]
    Restored {
        /// The store's address.
        peer: SocketAddr,
        /// The store's new era.
        era: u64,
    },
    /// The response reflects an older state than the one already known.
    #[error("store {peer}: {stale}")]
    Stale {
        /// The store's address.
        peer: SocketAddr,
        /// The position of the response and the known one.
        stale: StaleResponse,
    },
    /// The response cannot be used.
    #[error("store {peer}: {rejected}")]
    Unusable {
        /// The store's address.
        peer: SocketAddr,
        /// The invalid field.
        rejected: Box<RejectedItem>,
    },
}

/// A successful response.
pub(crate) struct StoreResponse {
    /// The response headers.
    pub(crate) headers: HeaderMap,
    /// The response body.
    pub(crate) body: Bytes,
}

/// A connection; closed when dropped, even if a call is pending.
struct Connection {
    sender: SendRequest<Empty<Bytes>>,
    task: JoinHandle<()>,
    last_used_at: Instant,
}

impl Connection {
    fn is_usable(&self) -> bool {
        !self.sender.is_closed() && self.last_used_at.elapsed() < IDLE_TIMEOUT
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Client of the store; makes one call at a time.
pub(crate) struct StoreClient {
    address: SocketAddr,
    connection: Option<Connection>,
}

impl StoreClient {
    /// Creates a client that is not connected yet.
    pub(crate) fn new(address: SocketAddr) -> Self {
        Self { address, connection: None }
    }

    /// The store's address.
    pub(crate) fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sends one GET request. After a failed call the connection is closed, because it may be
    /// unresponsive or deliver the late response of the failed call.
    ///
    /// # Errors
    /// When a step of the call fails or `timeout` expires, and when the store responds with
    /// another status than 200.
    pub(crate) async fn get(
        &mut self,
        path: &str,
        timeout: Duration,
    ) -> Result<StoreResponse, StoreError> {
        let result = tokio::time::timeout(timeout, self.send_request(path)).await;
        result.unwrap_or_else(|_| Err(self.step_error("wait for", "request timed out")))
    }

    async fn send_request(&mut self, path: &str) -> Result<StoreResponse, StoreError> {
        let mut connection = match self.connection.take().filter(Connection::is_usable) {
            Some(connection) => connection,
            None => self.connect().await?,
        };
        let request = Request::get(path)
            .header(header::HOST, self.address.to_string())
            .body(Empty::new())
            .map_err(|error| self.step_error("ask", error))?;
        let response = connection.sender.send_request(request).await;
        let response = response.map_err(|error| self.step_error("ask", error))?;
        let status = response.status();
        let headers = response.headers().clone();
        let body = Limited::new(response.into_body(), MAX_RESPONSE_BYTES).collect().await;
        let body = body.map_err(|error| self.step_error("read response of", error))?.to_bytes();
        let result = match status {
            StatusCode::OK => Ok(StoreResponse { headers, body }),
            StatusCode::GONE => Err(StoreError::HistoryGone { peer: self.address }),
            status => {
                return Err(StoreError::Status { peer: self.address, status: status.as_u16() });
            }
        };
        connection.last_used_at = Instant::now();
        self.connection = Some(connection);
        result
    }

    async fn connect(&self) -> Result<Connection, StoreError> {
        let stream = tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(self.address)).await;
        let stream = stream
            .map_err(|_| self.step_error("connect to", "connection attempt timed out"))?
            .map_err(|error| self.step_error("connect to", error))?;
        let (sender, connection) = http1::handshake(TokioIo::new(stream))
            .await
            .map_err(|error| self.step_error("open HTTP connection to", error))?;
        let task = tokio::task::spawn_local(async move {
            // The sender returns the error of a failed connection.
            let _ = connection.await;
        });
        Ok(Connection { sender, task, last_used_at: Instant::now() })
    }

    fn step_error(&self, step: &'static str, reason: impl ToString) -> StoreError {
        StoreError::Step { step, peer: self.address, reason: reason.to_string() }
    }
}
