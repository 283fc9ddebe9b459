//! Fetches a peer's fleet state over TCP: each connection carries one length-prefixed request and
//! one length-prefixed response.

use std::net::{Ipv4Addr, SocketAddrV4};
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use weirhinge_fleet::{FetchRequest, Update, decode, encode};

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
        write_frame(&mut stream, &request)
            .await
            .map_err(|error| failed("ask", error.to_string()))?;
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

/// Answers fetches of peers until the process ends; `answer` returns the response to a request.
///
/// # Errors
/// When the address cannot be bound.
pub async fn serve(
    address: Ipv4Addr,
    port: u16,
    answer: impl Fn(FetchRequest) -> Update + Clone + 'static,
) -> std::io::Result<()> {
    let listener = TcpListener::bind((address, port)).await?;
    tokio::task::spawn_local(async move {
        loop {
            let Ok((stream, _)) = listener.accept().await else {
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
                continue;
            };
            let answer = answer.clone();
            tokio::task::spawn_local(async move {
                // The requester detects a failed fetch and queries another peer.
                let _ = tokio::time::timeout(FETCH_TIMEOUT, answer_fetch(stream, answer)).await;
            });
        }
    });
    Ok(())
}

async fn answer_fetch(
    mut stream: TcpStream,
    answer: impl Fn(FetchRequest) -> Update,
) -> std::io::Result<()> {
    let body = read_frame(&mut stream, MAX_REQUEST_BYTES).await?;
    let request = decode(&body).map_err(std::io::Error::other)?;
    write_frame(&mut stream, &answer(request)).await
}

async fn write_frame<M>(stream: &mut TcpStream, message: &M) -> std::io::Result<()>
where
    M: musli::Encode<musli::mode::Binary>,
{
    let mut body = Vec::new();
    encode(message, &mut body).map_err(std::io::Error::other)?;
    let length = u32::try_from(body.len()).map_err(std::io::Error::other)?;
    stream.write_all(&length.to_be_bytes()).await?;
    stream.write_all(&body).await
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
