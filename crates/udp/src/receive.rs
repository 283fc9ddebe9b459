//! Receives many datagrams with one system call.

use std::io::{self, IoSliceMut};
use std::net::UdpSocket;
use std::os::fd::AsRawFd;

use nix::errno::Errno;
use nix::sys::socket::{MsgFlags, MultiHeaders, SockaddrStorage, recvmmsg};

/// Buffer size for one datagram, in bytes; the largest inner packet has 1,400 bytes.
pub const DATAGRAM_BUFFER_BYTES: usize = 2_048;

/// Reusable buffers for the datagrams of one receive call.
pub struct ReceiveBatch {
    buffers: Vec<Vec<u8>>,
    lengths: Vec<usize>,
    headers: MultiHeaders<SockaddrStorage>,
}

impl ReceiveBatch {
    /// Allocates buffers for up to `size` datagrams per call.
    pub fn new(size: usize) -> Self {
        Self {
            buffers: vec![vec![0; DATAGRAM_BUFFER_BYTES]; size],
            lengths: Vec::with_capacity(size),
            headers: MultiHeaders::preallocate(size, None),
        }
    }

    /// Waits for at least one datagram and receives all others that have already arrived, up to the
    /// size of the batch. The batch stays empty if the socket's read timeout expires first or a
    /// signal interrupts the call.
    ///
    /// # Errors
    /// Returns the operating system's error if receiving fails otherwise.
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

    /// Returns the datagrams of the last [`ReceiveBatch::receive`] call.
    pub fn datagrams(&self) -> impl Iterator<Item = &[u8]> {
        self.buffers.iter().zip(&self.lengths).map(|(buffer, &length)| &buffer[..length])
    }
}
