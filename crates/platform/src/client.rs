//! One HTTP GET against the platform.

use std::net::SocketAddr;
use std::time::Duration;

use http::{Request, StatusCode, header};
use http_body_util::{BodyExt, Empty, Limited};
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
    #[error("fetch {path} from platform {peer}: no answer in {seconds} s")]
    Timeout {
        /// The platform's address.
        peer: SocketAddr,
        /// The path asked for.
        path: String,
        /// The limit in seconds.
        seconds: f32,
    },
    /// A step of the exchange failed.
    #[error("{step} {path} from platform {peer}: {reason}")]
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
    #[error("fetch {path} from platform {peer}: status {status}")]
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

/// Fetches `path` from the platform, unless it still has `entity_tag`.
///
/// # Errors
/// Names the step, the platform's address and the path.
pub async fn fetch(
    peer: SocketAddr,
    path: &str,
    entity_tag: Option<&str>,
    limit: Duration,
) -> Result<Fetched, FetchError> {
    tokio::time::timeout(limit, fetch_unbounded(peer, path, entity_tag)).await.unwrap_or_else(
        |_| {
            let path = path.to_owned();
            Err(FetchError::Timeout { peer, path, seconds: limit.as_secs_f32() })
        },
    )
}

async fn fetch_unbounded(
    peer: SocketAddr,
    path: &str,
    entity_tag: Option<&str>,
) -> Result<Fetched, FetchError> {
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
    let mut request = Request::get(path).header(header::HOST, peer.to_string());
    if let Some(tag) = entity_tag {
        request = request.header(header::IF_NONE_MATCH, tag);
    }
    let request = request
        .body(Empty::<Bytes>::new())
        .map_err(|error| failed("ask for", error.to_string()))?;
    let response =
        sender.send_request(request).await.map_err(|error| failed("ask for", error.to_string()))?;
    let status = response.status();
    let tag = response
        .headers()
        .get(header::ETAG)
        .and_then(|value| value.to_str().ok())
        .map(str::to_owned);
    let body = Limited::new(response.into_body(), MAXIMUM_ANSWER).collect().await;
    driver.abort();
    match status {
        StatusCode::NOT_MODIFIED => Ok(Fetched::Unchanged),
        StatusCode::OK => {
            let bytes = body.map_err(|error| failed("read", error.to_string()))?.to_bytes();
            Ok(Fetched::Body { bytes, entity_tag: tag })
        }
        _ => Err(FetchError::Status { peer, path: path.to_owned(), status: status.as_u16() }),
    }
}
