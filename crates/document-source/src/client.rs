//! One HTTP request against the platform or a balancer's API.

use std::net::SocketAddr;
use std::time::Duration;

use http::{Request, StatusCode, header};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Bytes;
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;

/// Largest answer accepted, in bytes.
const MAXIMUM_ANSWER: usize = 64 << 20;

/// Why a fetch failed; names the step and the peer.
#[derive(Debug, thiserror::Error)]
pub enum FetchError {
    /// The whole fetch took too long.
    #[error("fetch {path} from {peer}: no answer in {seconds} s")]
    Timeout {
        /// The platform's address.
        peer: SocketAddr,
        /// The path asked for.
        path: String,
        /// The limit in seconds.
        seconds: f32,
    },
    /// A step of the exchange failed.
    #[error("{step} {path} from {peer}: {reason}")]
    Step {
        /// The step that failed.
        step: &'static str,
        /// The platform's address.
        peer: SocketAddr,
        /// The path asked for.
        path: String,
        /// What went wrong.
        reason: String,
    },
    /// The platform answered with an unexpected status.
    #[error("fetch {path} from {peer}: status {status}")]
    Status {
        /// The platform's address.
        peer: SocketAddr,
        /// The path asked for.
        path: String,
        /// The status code.
        status: u16,
    },
}

/// A fetched resource.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Fetched {
    /// The resource is still the one with the entity tag that was sent.
    Unchanged,
    /// The resource's bytes and, if given, its entity tag.
    Body {
        /// The answer's body.
        bytes: Bytes,
        /// The answer's entity tag.
        entity_tag: Option<String>,
    },
}

/// An answer of an HTTP server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Answer {
    /// The status code.
    pub status: StatusCode,
    /// The entity tag, if given.
    pub entity_tag: Option<String>,
    /// The body.
    pub body: Bytes,
}

/// Fetches `path` from `peer`, unless it still has `entity_tag`.
///
/// # Errors
/// Names the step, the peer's address and the path.
pub async fn fetch(
    peer: SocketAddr,
    path: &str,
    entity_tag: Option<&str>,
    limit: Duration,
) -> Result<Fetched, FetchError> {
    let mut request = Request::get(path);
    if let Some(tag) = entity_tag {
        request = request.header(header::IF_NONE_MATCH, tag);
    }
    let answer = send(peer, request, Bytes::new(), limit).await?;
    match answer.status {
        StatusCode::NOT_MODIFIED => Ok(Fetched::Unchanged),
        StatusCode::OK => Ok(Fetched::Body { bytes: answer.body, entity_tag: answer.entity_tag }),
        status => Err(FetchError::Status { peer, path: path.to_owned(), status: status.as_u16() }),
    }
}

/// Sends one request and waits for the whole answer, whatever its status.
///
/// # Errors
/// Names the step, the peer's address and the path.
pub async fn send(
    peer: SocketAddr,
    request: http::request::Builder,
    body: Bytes,
    limit: Duration,
) -> Result<Answer, FetchError> {
    let path = request.uri_ref().map_or("", |uri| uri.path()).to_owned();
    tokio::time::timeout(limit, send_unbounded(peer, &path, request, body))
        .await
        .unwrap_or_else(|_| Err(FetchError::Timeout { peer, path, seconds: limit.as_secs_f32() }))
}

async fn send_unbounded(
    peer: SocketAddr,
    path: &str,
    request: http::request::Builder,
    body: Bytes,
) -> Result<Answer, FetchError> {
    let failed = |step: &'static str, reason: String| FetchError::Step {
        step,
        peer,
        path: path.to_owned(),
        reason,
    };
    let stream =
        TcpStream::connect(peer).await.map_err(|error| failed("connect for", error.to_string()))?;
    let (mut sender, connection) = http1::handshake(TokioIo::new(stream))
        .await
        .map_err(|error| failed("open", error.to_string()))?;
    let driver = tokio::spawn(connection);
    let request = request
        .header(header::HOST, peer.to_string())
        .body(Full::new(body))
        .map_err(|error| failed("ask for", error.to_string()))?;
    let response =
        sender.send_request(request).await.map_err(|error| failed("ask for", error.to_string()))?;
    let status = response.status();
    let entity_tag = response
        .headers()
        .get(header::ETAG)
        .and_then(|value| value.to_str().ok())
        .map(str::to_owned);
    let body = Limited::new(response.into_body(), MAXIMUM_ANSWER).collect().await;
    driver.abort();
    let body = body.map_err(|error| failed("read", error.to_string()))?.to_bytes();
    Ok(Answer { status, entity_tag, body })
}
