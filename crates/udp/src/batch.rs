//! Receives and sends many datagrams by one system call each.

use std::io::{self, IoSlice, IoSliceMut};
use std::net::{SocketAddr, UdpSocket};
use std::os::fd::AsRawFd;

use nix::errno::Errno;
use nix::sys::socket::{
    ControlMessage, MsgFlags, MultiHeaders, SockaddrStorage, recvmmsg, sendmmsg,
};

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

/// Reusable room for the datagrams of one send call.
pub struct SendBatch {
    buffers: Vec<Vec<u8>>,
    addresses: Vec<Option<SockaddrStorage>>,
    headers: MultiHeaders<SockaddrStorage>,
    used: usize,
}

impl SendBatch {
    /// Room for `size` datagrams.
    pub fn new(size: usize) -> Self {
        Self {
            buffers: vec![Vec::with_capacity(DATAGRAM_ROOM); size],
            addresses: Vec::with_capacity(size),
            headers: MultiHeaders::preallocate(size, None),
            used: 0,
        }
    }

    /// Whether nothing more can be committed before a flush.
    pub fn is_full(&self) -> bool {
        self.used == self.buffers.len()
    }

    /// The buffer that the next [`SendBatch::commit`] will send.
    pub fn next_buffer(&mut self) -> &mut Vec<u8> {
        &mut self.buffers[self.used]
    }

    /// Adds the buffer last given out as a datagram to `address`.
    pub fn commit(&mut self, address: SocketAddr) {
        self.addresses.push(Some(SockaddrStorage::from(address)));
        self.used += 1;
    }

    /// Sends everything committed and returns how many datagrams were sent. A
    /// datagram that the kernel refuses is passed over.
    pub fn flush(&mut self, socket: &UdpSocket) -> usize {
        let mut sent = 0;
        let mut start = 0;
        while start < self.used {
            match self.send_from(socket, start) {
                Ok(0) => start += 1,
                Ok(count) => {
                    sent += count;
                    start += count;
                }
                Err(Errno::EINTR) => {}
                Err(_) => start += 1,
            }
        }
        self.used = 0;
        self.addresses.clear();
        sent
    }

    fn send_from(&mut self, socket: &UdpSocket, start: usize) -> nix::Result<usize> {
        let slices: Vec<[IoSlice<'_>; 1]> =
            self.buffers[start..self.used].iter().map(|buffer| [IoSlice::new(buffer)]).collect();
        let no_control: [ControlMessage<'_>; 0] = [];
        let results = sendmmsg(
            socket.as_raw_fd(),
            &mut self.headers,
            slices.iter(),
            &self.addresses[start..],
            no_control,
            MsgFlags::empty(),
        )?;
        Ok(results.count())
    }
}
