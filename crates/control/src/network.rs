//! Frames over TCP: one connection per direction and peer.

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

/// Largest frame accepted, in bytes: a snapshot of a large document.
const MAXIMUM_FRAME: usize = 64 << 20;
/// Frames that may wait for one peer; further ones are dropped.
const PEER_QUEUE: usize = 256;
/// Longest that a connection to a peer may take.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// A sender without work for this long ends.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);

/// Accepts connections and hands every sound frame to `frames`.
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
                warn!(log, "control: Connection ended."; "peer" => %peer, "reason" => %error);
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
            // The peer has closed an idle connection, or died.
            Err(_) => return Ok(()),
        };
        if length > MAXIMUM_FRAME {
            return Err(std::io::Error::other(format!("frame of {length} bytes")));
        }
        let mut bytes = vec![0; length];
        stream.read_exact(&mut bytes).await?;
        let bytes = frame_auth::open(keys, &bytes).map_err(std::io::Error::other)?;
        let frame: Frame = musli::storage::from_slice(bytes).map_err(std::io::Error::other)?;
        if frame.version != CONTROL_VERSION {
            return Err(std::io::Error::other("another protocol version"));
        }
        if frames.send(frame).await.is_err() {
            return Ok(());
        }
    }
}

/// Sends frames to any number of peers; a frame that cannot be sent is lost,
/// as the protocol above expects.
pub(crate) struct Senders {
    keys: ControlKeys,
    queues: HashMap<SocketAddr, mpsc::Sender<Vec<u8>>>,
}

impl Senders {
    pub(crate) fn new(keys: ControlKeys) -> Self {
        Self { keys, queues: HashMap::new() }
    }

    pub(crate) fn send(&mut self, to: SocketAddr, frame: &Frame) {
        let Ok(bytes) = musli::storage::to_vec(frame) else {
            return;
        };
        let bytes = frame_auth::seal(&self.keys, &bytes);
        let queue = self.queues.entry(to).or_insert_with(|| start_sender(to));
        match queue.try_send(bytes) {
            Ok(()) | Err(mpsc::error::TrySendError::Full(_)) => {}
            Err(mpsc::error::TrySendError::Closed(bytes)) => {
                let fresh = start_sender(to);
                // A fresh queue has room.
                let _ = fresh.try_send(bytes);
                self.queues.insert(to, fresh);
            }
        }
    }
}

fn start_sender(to: SocketAddr) -> mpsc::Sender<Vec<u8>> {
    let (queue, frames) = mpsc::channel(PEER_QUEUE);
    tokio::spawn(send_frames(to, frames));
    queue
}

/// Sends until the connection fails or idles; ends then, and with it the queue.
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
