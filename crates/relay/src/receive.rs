//! Takes datagrams from sockets.

use std::io::ErrorKind;
use std::net::{Ipv4Addr, SocketAddr};

use tokio::net::UdpSocket;

/// Room for one datagram.
pub const DATAGRAM_ROOM: usize = 2_048;
/// Datagrams taken in one turn before other tasks get theirs.
const DATAGRAMS_A_TURN: usize = 64;

/// Hands every datagram to `take` for as long as the process lives; `turn` runs
/// after each run of datagrams.
pub async fn receive(socket: &UdpSocket, take: impl Fn(&mut [u8], Ipv4Addr), turn: impl Fn()) {
    let mut buffer = vec![0; DATAGRAM_ROOM];
    loop {
        // An error here is one of an earlier send; receiving goes on.
        let _ = socket.readable().await;
        receive_ready(socket, &mut buffer, DATAGRAMS_A_TURN, &take);
        turn();
        tokio::task::yield_now().await;
    }
}

/// Hands the datagrams that have arrived, at most `limit` of them, to `take`.
pub fn receive_ready(
    socket: &UdpSocket,
    buffer: &mut [u8],
    limit: usize,
    mut take: impl FnMut(&mut [u8], Ipv4Addr),
) {
    for _ in 0..limit {
        match socket.try_recv_from(buffer) {
            Ok((length, SocketAddr::V4(sender))) => take(&mut buffer[..length], *sender.ip()),
            Err(error) if error.kind() == ErrorKind::WouldBlock => return,
            Ok(_) | Err(_) => {}
        }
    }
}
