//! Fetches a peer's fleet state over TCP: each connection carries one length-prefixed request and
//! one length-prefixed response.

use std::cell::Cell;
use std::io::ErrorKind;
use std::net::SocketAddrV4;
use std::rc::Rc;
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use weirhinge_fleet::{FetchRequest, Update, decode, encode};

use crate::metrics::FleetMetrics;

/// Timeout of a fetch, from connecting to the complete response.
const FETCH_TIMEOUT: Duration = Duration::from_millis(700);
/// Largest response accepted, in bytes.
const MAX_RESPONSE_BYTES: u32 = 8 << 20;
/// Largest request accepted, in bytes.
const MAX_REQUEST_BYTES: u32 = 64;
/// Delay after a failed accept, for example when the process is out of file descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Why a fetch failed: the step that failed, the peer and the underlying error.
#[derive(Debug, thiserror::Error)]
#[error("{step} peer {peer}: {reason}")]
pub struct FetchError {
    step: &'static str,
    peer: SocketAddrV4,
    reason: String,
}

/// Fetches the fleet state of a peer.
///
/// # Errors
/// When a step of the fetch fails or the fetch times out.
pub async fn fetch(peer: SocketAddrV4, request: FetchRequest) -> Result<Update, FetchError> {
    let failed = |step, reason: String| FetchError { step, peer, reason };
    let exchange = async {
        let mut stream = TcpStream::connect(peer)
            .await
            .map_err(|error| failed("connect to", error.to_string()))?;
        let frame = encode_frame(&request).map_err(|error| failed("ask", error.to_string()))?;
        stream.write_all(&frame).await.map_err(|error| failed("ask", error.to_string()))?;
        let body = read_frame(&mut stream, MAX_RESPONSE_BYTES)
            .await
            .map_err(|error| failed("read response of", error.to_string()))?;
        decode(&body).map_err(|error| failed("decode response of", error.to_string()))
    };
    match tokio::time::timeout(FETCH_TIMEOUT, exchange).await {
        Ok(result) => result,
        Err(_) => {
            Err(failed("wait for", format!("no response within {} ms", FETCH_TIMEOUT.as_millis())))
        }
    }
}

/// Limits the responses that are being sent to what the machine's link carries while requesters
/// wait. If many balancers without state fetch from one daemon, it answers some of them in time
/// rather than all too late; the others choose another source.
#[derive(Clone)]
pub struct ResponseBudget {
    /// Bytes that may be in transit before another response is started; unlimited if the link's rate
    /// is unknown.
    max_bytes: Option<u64>,
    bytes_in_transit: Rc<Cell<u64>>,
}

impl ResponseBudget {
    /// Creates the budget for a link of this rate.
    pub fn for_link(link_kbps: Option<u32>) -> Self {
        let max_sending_ms = FETCH_TIMEOUT.as_millis() as u64 / 2;
        let max_bytes = link_kbps.map(|kbps| u64::from(kbps) / 8 * max_sending_ms);
        Self { max_bytes, bytes_in_transit: Rc::default() }
    }

    /// Whether another response may be started.
    pub fn allows_response(&self) -> bool {
        let in_transit = self.bytes_in_transit.get();
        self.max_bytes.is_none_or(|max_bytes| in_transit < max_bytes)
    }

    /// Counts a response of this size until the returned value is dropped.
    pub fn start_response(&self, bytes: u64) -> ResponseInTransit {
        self.bytes_in_transit.update(|in_transit| in_transit + bytes);
        ResponseInTransit { bytes, bytes_in_transit: Rc::clone(&self.bytes_in_transit) }
    }
}

/// A response that counts toward a [`ResponseBudget`].
pub struct ResponseInTransit {
    bytes: u64,
    bytes_in_transit: Rc<Cell<u64>>,
}

impl Drop for ResponseInTransit {
    fn drop(&mut self) {
        self.bytes_in_transit.update(|in_transit| in_transit - self.bytes);
    }
}

/// Answers fetches of peers until the process ends; `answer` returns the response to a request.
///
/// # Errors
/// When the address cannot be bound.
pub async fn serve(
    address: SocketAddrV4,
    budget: ResponseBudget,
    metrics: FleetMetrics,
    answer: impl Fn(FetchRequest) -> Update + Clone + 'static,
) -> std::io::Result<()> {
    let listener = TcpListener::bind(address).await?;
    tokio::task::spawn_local(async move {
        loop {
            let Ok((stream, _)) = listener.accept().await else {
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
                continue;
            };
            let (answer, budget, metrics) = (answer.clone(), budget.clone(), metrics.clone());
            tokio::task::spawn_local(async move {
                let response = answer_fetch(stream, &budget, answer);
                // The requester detects a failed fetch and queries another peer.
                metrics.responses.increment(
                    match tokio::time::timeout(FETCH_TIMEOUT, response).await {
                        Ok(Ok(())) => "done",
                        Ok(Err(error)) if error.kind() == ErrorKind::ResourceBusy => "refused",
                        Ok(Err(_)) => "failed",
                        Err(_) => "timed_out",
                    },
                );
            });
        }
    });
    Ok(())
}

async fn answer_fetch(
    mut stream: TcpStream,
    budget: &ResponseBudget,
    answer: impl Fn(FetchRequest) -> Update,
) -> std::io::Result<()> {
    let body = read_frame(&mut stream, MAX_REQUEST_BYTES).await?;
    let request = decode(&body).map_err(std::io::Error::other)?;
    if !budget.allows_response() {
        return Err(ErrorKind::ResourceBusy.into());
    }
    let frame = encode_frame(&answer(request))?;
    let _in_transit = budget.start_response(frame.len() as u64);
    stream.write_all(&frame).await
}

/// Returns a message after its length.
fn encode_frame<M>(message: &M) -> std::io::Result<Vec<u8>>
where
    M: musli::Encode<musli::mode::Binary>,
{
    let mut body = Vec::new();
    encode(message, &mut body).map_err(std::io::Error::other)?;
    let length = u32::try_from(body.len()).map_err(std::io::Error::other)?;
    Ok([&length.to_be_bytes(), body.as_slice()].concat())
}

async fn read_frame(stream: &mut TcpStream, max_bytes: u32) -> std::io::Result<Vec<u8>> {
    let length = stream.read_u32().await?;
    if length > max_bytes {
        return Err(std::io::Error::other(format!(
            "frame of {length} bytes exceeds the limit of {max_bytes}"
        )));
    }
    let mut body = Vec::new();
    stream.take(u64::from(length)).read_to_end(&mut body).await?;
    Ok(body)
}
