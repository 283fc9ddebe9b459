//! Sends many datagrams with few system calls.
//!
//! Datagrams of equal length to the same address are sent as a single large one that the kernel
//! splits into segments (UDP generic segmentation offload, GSO), so that they traverse the network
//! stack only once. All others are sent by `sendmmsg`.

use std::io::IoSlice;
use std::net::{SocketAddr, UdpSocket};
use std::os::fd::AsRawFd;

use nix::errno::Errno;
use nix::sys::socket::{
    ControlMessage, MsgFlags, MultiHeaders, SockaddrStorage, sendmmsg, sendmsg,
};

use crate::DATAGRAM_BUFFER_BYTES;

/// Largest number of segments that the kernel accepts in one GSO datagram.
const MAXIMUM_GSO_SEGMENTS: usize = 64;
/// Largest size of one GSO datagram, in bytes.
const MAXIMUM_GSO_BYTES: usize = 60_000;

struct OutgoingDatagram {
    buffer: Vec<u8>,
    address: SocketAddr,
}

/// Reusable buffers for the datagrams of one flush.
pub struct SendBatch {
    datagrams: Vec<OutgoingDatagram>,
    /// Number of datagrams at the start of `datagrams` that the next flush sends.
    committed: usize,
    /// Indices of the committed datagrams, grouped by address; datagrams to the same address keep
    /// their order.
    send_order: Vec<usize>,
    headers: MultiHeaders<SockaddrStorage>,
    /// Whether GSO is used; disabled once the kernel rejects a GSO datagram as unsupported.
    gso_enabled: bool,
}

impl SendBatch {
    /// Allocates buffers for `size` datagrams. A batch of size 1 does not use GSO.
    pub fn new(size: usize) -> Self {
        let unspecified = SocketAddr::from(([0, 0, 0, 0], 0));
        let empty_datagram = || OutgoingDatagram {
            buffer: Vec::with_capacity(DATAGRAM_BUFFER_BYTES),
            address: unspecified,
        };
        Self {
            datagrams: (0..size).map(|_| empty_datagram()).collect(),
            committed: 0,
            send_order: Vec::with_capacity(size),
            headers: MultiHeaders::preallocate(size, None),
            gso_enabled: size > 1,
        }
    }

    /// Whether the batch must be flushed before the next commit.
    pub fn is_full(&self) -> bool {
        self.committed == self.datagrams.len()
    }

    /// Returns the buffer of the datagram that the next [`SendBatch::commit`] adds. The buffer may
    /// still hold the contents of an earlier datagram.
    pub fn next_buffer(&mut self) -> &mut Vec<u8> {
        &mut self.datagrams[self.committed].buffer
    }

    /// Adds the contents of [`SendBatch::next_buffer`] as a datagram to `address`.
    pub fn commit(&mut self, address: SocketAddr) {
        self.datagrams[self.committed].address = address;
        self.committed += 1;
    }

    /// Sends all committed datagrams and returns the number sent. Datagrams that the kernel rejects
    /// are skipped.
    pub fn flush(&mut self, socket: &UdpSocket) -> usize {
        self.send_order.clear();
        self.send_order.extend(0..self.committed);
        let datagrams = &self.datagrams;
        // The sort is stable, so datagrams to the same address keep their order.
        self.send_order.sort_by_key(|&index| datagrams[index].address);
        let mut sent = 0;
        let mut singles = Vec::with_capacity(self.committed);
        let mut start = 0;
        while start < self.send_order.len() {
            let length = self.gso_run_length(start);
            let run = &self.send_order[start..start + length];
            start += length;
            if length == 1 {
                singles.push(run[0]);
                continue;
            }
            match send_gso(socket, &self.datagrams, run) {
                Ok(()) => sent += length,
                Err(error) => {
                    self.gso_enabled &= !is_gso_unsupported(error);
                    singles.extend_from_slice(run);
                }
            }
        }
        sent += self.send_singles(socket, &singles);
        self.committed = 0;
        sent
    }

    /// Returns how many datagrams from position `start` of the send order fit one GSO datagram: they
    /// have the same address and the same length, except that the last may be shorter.
    fn gso_run_length(&self, start: usize) -> usize {
        if !self.gso_enabled {
            return 1;
        }
        let first = &self.datagrams[self.send_order[start]];
        let segment_length = first.buffer.len();
        let mut length = 1;
        for &index in &self.send_order[start + 1..] {
            let next = &self.datagrams[index];
            let fits =
                length < MAXIMUM_GSO_SEGMENTS && (length + 1) * segment_length <= MAXIMUM_GSO_BYTES;
            if !fits || next.address != first.address || next.buffer.len() > segment_length {
                break;
            }
            length += 1;
            if next.buffer.len() < segment_length {
                break;
            }
        }
        length
    }

    fn send_singles(&mut self, socket: &UdpSocket, singles: &[usize]) -> usize {
        let mut sent = 0;
        let mut remaining = singles;
        while !remaining.is_empty() {
            match self.send_multiple(socket, remaining) {
                Err(Errno::EINTR) => {}
                Ok(0) | Err(_) => remaining = &remaining[1..],
                Ok(count) => {
                    sent += count;
                    remaining = &remaining[count..];
                }
            }
        }
        sent
    }

    fn send_multiple(&mut self, socket: &UdpSocket, indices: &[usize]) -> nix::Result<usize> {
        let slices: Vec<[IoSlice<'_>; 1]> =
            indices.iter().map(|&index| [IoSlice::new(&self.datagrams[index].buffer)]).collect();
        let addresses: Vec<Option<SockaddrStorage>> = indices
            .iter()
            .map(|&index| Some(SockaddrStorage::from(self.datagrams[index].address)))
            .collect();
        let no_control: [ControlMessage<'_>; 0] = [];
        let results = sendmmsg(
            socket.as_raw_fd(),
            &mut self.headers,
            slices.iter(),
            &addresses,
            no_control,
            MsgFlags::empty(),
        )?;
        Ok(results.count())
    }
}

fn send_gso(socket: &UdpSocket, datagrams: &[OutgoingDatagram], run: &[usize]) -> nix::Result<()> {
    let slices: Vec<IoSlice<'_>> =
        run.iter().map(|&index| IoSlice::new(&datagrams[index].buffer)).collect();
    let first = &datagrams[run[0]];
    let segment_length = first.buffer.len() as u16;
    let control = [ControlMessage::UdpGsoSegments(&segment_length)];
    let address = SockaddrStorage::from(first.address);
    let flags = MsgFlags::empty();
    sendmsg(socket.as_raw_fd(), &slices, &control, flags, Some(&address)).map(|_| ())
}

/// Whether the error means that GSO is unsupported, rather than a full buffer or an unreachable
/// receiver.
fn is_gso_unsupported(error: Errno) -> bool {
    matches!(error, Errno::EINVAL | Errno::EIO | Errno::ENOPROTOOPT | Errno::EOPNOTSUPP)
}
