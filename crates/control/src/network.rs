//! Transport of frames over TCP, with one connection per peer and direction.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use slog::{Logger, warn};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;
use weirhinge_config::ControlKeys;

use crate::frame::{CONTROL_VERSION, Frame};
use crate::frame_auth;

/// Maximum size of a frame, in bytes. Leaves enough for a snapshot of a large
/// document.
const MAX_FRAME_BYTES: usize = 64 << 20;
/// Maximum number of frames queued for one peer. Further frames are dropped.
const PEER_QUEUE: usize = 256;
/// Timeout for connecting to a peer.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Time without frames to send after which a connection is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);

/// Accepts connections and passes every valid frame to `frames`.
pub(crate) async fn accept_frames(
    listener: TcpListener,
    keys: ControlKeys,
    frames: mpsc::Sender<Frame>,
    log: Logger,
) {
    loop {
        let Ok((stream, peer)) = listener.accept().await else {
            continue;
        };
        let frames = frames.clone();
        let keys = keys.clone();
        let log = log.clone();
        tokio::spawn(async move {
            if let Err(error) = read_frames(stream, &keys, &frames).await {
                warn!(log, "control: Closed a connection after an error.";
                    "peer" => %peer, "reason" => %error);
            }
        });
    }
}

async fn read_frames(
    mut stream: TcpStream,
    keys: &ControlKeys,
    frames: &mpsc::Sender<Frame>,
) -> std::io::Result<()> {
    loop {
        let length = match stream.read_u32().await {
            Ok(length) => length as usize,
            // The peer closed the connection, or its process ended.
            Err(_) => return Ok(()),
        };
        if length > MAX_FRAME_BYTES {
            return Err(std::io::Error::other(format!(
                "frame of {length} bytes, expected at most {MAX_FRAME_BYTES}"
            )));
        }
        let mut bytes = vec![0; length];
        stream.read_exact(&mut bytes).await?;
        let bytes = frame_auth::verify(keys, &bytes).map_err(std::io::Error::other)?;
        let frame: Frame = musli::storage::from_slice(bytes).map_err(std::io::Error::other)?;
        if frame.version != CONTROL_VERSION {
            return Err(std::io::Error::other("frame of another protocol version"));
        }
        if frames.send(frame).await.is_err() {
            return Ok(());
        }
    }
}

/// Outgoing connections to peers, opened on demand. A frame that cannot be sent is
/// lost, which the consensus protocol tolerates.
pub(crate) struct PeerConnections {
    keys: ControlKeys,
    queues: HashMap<SocketAddr, mpsc::Sender<Vec<u8>>>,
}

impl PeerConnections {
    pub(crate) fn new(keys: ControlKeys) -> Self {
        Self { keys, queues: HashMap::new() }
    }

    pub(crate) fn send(&mut self, to: SocketAddr, frame: &Frame) {
        let Ok(bytes) = musli::storage::to_vec(frame) else {
            return;
        };
        let bytes = frame_auth::sign(&self.keys, &bytes);
        let queue = self.queues.entry(to).or_insert_with(|| start_connection(to));
        match queue.try_send(bytes) {
            Ok(()) | Err(mpsc::error::TrySendError::Full(_)) => {}
            Err(mpsc::error::TrySendError::Closed(bytes)) => {
                let new_queue = start_connection(to);
                // A new queue cannot be full.
                let _ = new_queue.try_send(bytes);
                self.queues.insert(to, new_queue);
            }
        }
    }
}

fn start_connection(to: SocketAddr) -> mpsc::Sender<Vec<u8>> {
    let (queue, frames) = mpsc::channel(PEER_QUEUE);
    tokio::spawn(send_frames(to, frames));
    queue
}

/// Sends queued frames until the connection fails or is idle for too long. Closes the
/// queue when it returns.
async fn send_frames(to: SocketAddr, mut frames: mpsc::Receiver<Vec<u8>>) {
    let connected = tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(to)).await;
    let Ok(Ok(mut stream)) = connected else {
        return;
    };
    let _ = stream.set_nodelay(true);
    while let Ok(Some(bytes)) = tokio::time::timeout(IDLE_TIMEOUT, frames.recv()).await {
        let sent = async {
            stream.write_u32(bytes.len() as u32).await?;
            stream.write_all(&bytes).await
        };
        if sent.await.is_err() {
            return;
        }
    }
}
