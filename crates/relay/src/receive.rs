//! Receives datagrams from sockets in batches.

use std::io::ErrorKind;
use std::net::{Ipv4Addr, SocketAddr};

use tokio::net::UdpSocket;

/// Size of the buffer for one datagram.
pub const DATAGRAM_BUFFER_BYTES: usize = 2_048;
/// Most datagrams received in one turn before other tasks run.
const DATAGRAMS_PER_TURN: usize = 64;

/// Passes every datagram and its sender to `handle` for the lifetime of the process. Calls
/// `after_batch` after each batch of datagrams.
pub async fn receive(
    socket: &UdpSocket,
    handle: impl Fn(&mut [u8], Ipv4Addr),
    after_batch: impl Fn(),
) {
    let mut buffer = vec![0; DATAGRAM_BUFFER_BYTES];
    loop {
        // An error here stems from an earlier send and does not affect receiving.
        let _ = socket.readable().await;
        receive_ready(socket, &mut buffer, DATAGRAMS_PER_TURN, &handle);
        after_batch();
        tokio::task::yield_now().await;
    }
}

/// Passes the datagrams that have arrived, at most `limit`, and their senders to `handle`.
pub fn receive_ready(
    socket: &UdpSocket,
    buffer: &mut [u8],
    limit: usize,
    mut handle: impl FnMut(&mut [u8], Ipv4Addr),
) {
    for _ in 0..limit {
        match socket.try_recv_from(buffer) {
            Ok((length, SocketAddr::V4(sender))) => handle(&mut buffer[..length], *sender.ip()),
            Err(error) if error.kind() == ErrorKind::WouldBlock => return,
            Ok(_) | Err(_) => {}
        }
    }
}
