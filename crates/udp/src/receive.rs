//! Receives many datagrams by one system call.

use std::io::{self, IoSliceMut};
use std::net::UdpSocket;
use std::os::fd::AsRawFd;

use nix::errno::Errno;
use nix::sys::socket::{MsgFlags, MultiHeaders, SockaddrStorage, recvmmsg};

/// Room for one datagram; the largest inner packet is 1,400 bytes.
pub const DATAGRAM_ROOM: usize = 2_048;

/// Reusable room for the datagrams of one receive call.
pub struct ReceiveBatch {
    buffers: Vec<Vec<u8>>,
    lengths: Vec<usize>,
    headers: MultiHeaders<SockaddrStorage>,
}

impl ReceiveBatch {
    /// Room for `size` datagrams.
    pub fn new(size: usize) -> Self {
        Self {
            buffers: vec![vec![0; DATAGRAM_ROOM]; size],
            lengths: Vec::with_capacity(size),
            headers: MultiHeaders::preallocate(size, None),
        }
    }

    /// Waits for at least one datagram and takes what else has arrived. With
    /// the socket's read time-out, returns an empty batch when nothing comes.
    ///
    /// # Errors
    /// The operating system's error, if the socket can no longer receive.
    pub fn receive(&mut self, socket: &UdpSocket) -> io::Result<()> {
        self.lengths.clear();
        let mut slices: Vec<[IoSliceMut<'_>; 1]> =
            self.buffers.iter_mut().map(|buffer| [IoSliceMut::new(buffer)]).collect();
        let flags = MsgFlags::MSG_WAITFORONE;
        let received =
            match recvmmsg(socket.as_raw_fd(), &mut self.headers, slices.iter_mut(), flags, None) {
                Ok(received) => received,
                Err(Errno::EAGAIN | Errno::EINTR) => return Ok(()),
                Err(error) => return Err(error.into()),
            };
        self.lengths.extend(received.map(|message| message.bytes));
        Ok(())
    }

    /// The datagrams of the latest receive call.
    pub fn datagrams(&self) -> impl Iterator<Item = &[u8]> {
        self.buffers.iter().zip(&self.lengths).map(|(buffer, &length)| &buffer[..length])
    }
}
