//! Fetches a peer's knowledge over TCP: a length-prefixed request, one answer.

use std::net::{Ipv4Addr, SocketAddrV4};
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use weirhinge_fleet::{FetchRequest, Update, decode, encode};

/// Longest exchange.
const TIMEOUT: Duration = Duration::from_millis(700);
/// Longest frame accepted, in bytes.
const MAXIMUM_FRAME: u32 = 8 << 20;
/// Longest request accepted, in bytes.
const MAXIMUM_REQUEST: u32 = 64;
/// Wait after the listener could not accept, such as for want of descriptors.
const ACCEPT_RETRY: Duration = Duration::from_millis(50);

/// Why a fetch failed; names the step and the peer.
#[derive(Debug, thiserror::Error)]
#[error("{step} peer {peer}: {reason}")]
pub struct FetchError {
    step: &'static str,
    peer: SocketAddrV4,
    reason: String,
}

/// Fetches what a peer knows.
///
/// # Errors
/// Names the step and the peer.
pub async fn fetch(peer: SocketAddrV4, request: FetchRequest) -> Result<Update, FetchError> {
    let failed = |step, reason: String| FetchError { step, peer, reason };
    let exchange = async {
        let mut stream = TcpStream::connect(peer)
            .await
            .map_err(|error| failed("connect to", error.to_string()))?;
        write_frame(&mut stream, &request)
            .await
            .map_err(|error| failed("ask", error.to_string()))?;
        let body = read_frame(&mut stream, MAXIMUM_FRAME)
            .await
            .map_err(|error| failed("read from", error.to_string()))?;
        decode(&body).map_err(|error| failed("read from", error.to_string()))
    };
    match tokio::time::timeout(TIMEOUT, exchange).await {
        Ok(result) => result,
        Err(_) => Err(failed("wait for", format!("no answer in {} ms", TIMEOUT.as_millis()))),
    }
}

/// Answers fetches for as long as the process lives.
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
                tokio::time::sleep(ACCEPT_RETRY).await;
                continue;
            };
            let answer = answer.clone();
            tokio::task::spawn_local(async move {
                // The asker notices a failed exchange and asks elsewhere.
                let _ = tokio::time::timeout(TIMEOUT, answer_one(stream, answer)).await;
            });
        }
    });
    Ok(())
}

async fn answer_one(
    mut stream: TcpStream,
    answer: impl Fn(FetchRequest) -> Update,
) -> std::io::Result<()> {
    let body = read_frame(&mut stream, MAXIMUM_REQUEST).await?;
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

async fn read_frame(stream: &mut TcpStream, maximum: u32) -> std::io::Result<Vec<u8>> {
    let length = stream.read_u32().await?;
    if length > maximum {
        return Err(std::io::Error::other(format!("frame of {length} bytes, at most {maximum}")));
    }
    let mut body = Vec::new();
    stream.take(u64::from(length)).read_to_end(&mut body).await?;
    Ok(body)
}
