//! A minimal HTTP client for requests to the platform and to balancers' APIs. It
//! opens a new connection for each request.

use std::net::SocketAddr;
use std::time::Duration;

use http::{Request, StatusCode, header};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Bytes;
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;

/// Maximum size of a response body, in bytes.
const MAX_RESPONSE_BYTES: usize = 64 << 20;

/// Why a request failed. The message names the peer and the path.
#[derive(Debug, thiserror::Error)]
pub enum FetchError {
    /// The response was not complete within the timeout.
    #[error("request {path} from {peer}: no complete response within {seconds} s")]
    Timeout {
        /// The peer's address.
        peer: SocketAddr,
        /// The requested path.
        path: String,
        /// The timeout, in seconds.
        seconds: f32,
    },
    /// A step of the HTTP exchange failed.
    #[error("request {path} from {peer}: {step}: {reason}")]
    Step {
        /// The step that failed.
        step: &'static str,
        /// The peer's address.
        peer: SocketAddr,
        /// The requested path.
        path: String,
        /// The cause.
        reason: String,
    },
    /// The peer responded with an unexpected status.
    #[error("request {path} from {peer}: unexpected status {status}")]
    Status {
        /// The peer's address.
        peer: SocketAddr,
        /// The requested path.
        path: String,
        /// The status code.
        status: u16,
    },
}

/// A fetched resource.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Fetched {
    /// The resource still has the entity tag that the request named.
    Unchanged,
    /// The resource, which is new or has changed.
    Body {
        /// The response body.
        bytes: Bytes,
        /// The entity tag, if the peer sent one.
        entity_tag: Option<String>,
    },
}

/// A complete HTTP response.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HttpResponse {
    /// The status code.
    pub status: StatusCode,
    /// The entity tag, if the peer sent one.
    pub entity_tag: Option<String>,
    /// The response body.
    pub body: Bytes,
}

/// Fetches `path` from `peer`. With an `entity_tag`, the body is sent only if the
/// resource's tag differs.
///
/// # Errors
/// When the request fails, or the status is neither 200 nor 304.
pub async fn fetch(
    peer: SocketAddr,
    path: &str,
    entity_tag: Option<&str>,
    timeout: Duration,
) -> Result<Fetched, FetchError> {
    let mut request = Request::get(path);
    if let Some(tag) = entity_tag {
        request = request.header(header::IF_NONE_MATCH, tag);
    }
    let response = send(peer, request, Bytes::new(), timeout).await?;
    match response.status {
        StatusCode::NOT_MODIFIED => Ok(Fetched::Unchanged),
        StatusCode::OK => {
            Ok(Fetched::Body { bytes: response.body, entity_tag: response.entity_tag })
        }
        status => Err(FetchError::Status { peer, path: path.to_owned(), status: status.as_u16() }),
    }
}

/// Sends one request and waits for the complete response. Returns responses of any
/// status.
///
/// # Errors
/// When a step of the exchange fails or the response is not complete within the
/// timeout.
pub async fn send(
    peer: SocketAddr,
    request: http::request::Builder,
    body: Bytes,
    timeout: Duration,
) -> Result<HttpResponse, FetchError> {
    let path = request.uri_ref().map_or("", |uri| uri.path()).to_owned();
    tokio::time::timeout(timeout, send_without_timeout(peer, &path, request, body))
        .await
        .unwrap_or_else(|_| Err(FetchError::Timeout { peer, path, seconds: timeout.as_secs_f32() }))
}

async fn send_without_timeout(
    peer: SocketAddr,
    path: &str,
    request: http::request::Builder,
    body: Bytes,
) -> Result<HttpResponse, FetchError> {
    let step_error = |step: &'static str, reason: String| FetchError::Step {
        step,
        peer,
        path: path.to_owned(),
        reason,
    };
    let stream =
        TcpStream::connect(peer).await.map_err(|error| step_error("connect", error.to_string()))?;
    let (mut sender, connection) = http1::handshake(TokioIo::new(stream))
        .await
        .map_err(|error| step_error("open", error.to_string()))?;
    let connection_task = tokio::spawn(connection);
    let request = request
        .header(header::HOST, peer.to_string())
        .body(Full::new(body))
        .map_err(|error| step_error("build request", error.to_string()))?;
    let response = sender
        .send_request(request)
        .await
        .map_err(|error| step_error("send request", error.to_string()))?;
    let status = response.status();
    let entity_tag = response
        .headers()
        .get(header::ETAG)
        .and_then(|value| value.to_str().ok())
        .map(str::to_owned);
    let body = Limited::new(response.into_body(), MAX_RESPONSE_BYTES).collect().await;
    connection_task.abort();
    let body = body.map_err(|error| step_error("read", error.to_string()))?.to_bytes();
    Ok(HttpResponse { status, entity_tag, body })
}
