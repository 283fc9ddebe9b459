//! Sends many datagrams by few system calls.
//!
//! Datagrams to one address that have one length leave as a single large one,
//! which the kernel cuts into segments (UDP generic segmentation offload): its
//! way through the kernel is paid once. The others leave by `sendmmsg`.

use std::io::IoSlice;
use std::net::{SocketAddr, UdpSocket};
use std::os::fd::AsRawFd;

use nix::errno::Errno;
use nix::sys::socket::{
    ControlMessage, MsgFlags, MultiHeaders, SockaddrStorage, sendmmsg, sendmsg,
};

use crate::DATAGRAM_ROOM;

/// Most segments that the kernel takes in one large datagram.
const MAXIMUM_SEGMENTS: usize = 64;
/// Most bytes of one large datagram.
const MAXIMUM_BYTES: usize = 60_000;

struct Outgoing {
    buffer: Vec<u8>,
    address: SocketAddr,
}

/// Reusable room for the datagrams of one flush.
pub struct SendBatch {
    datagrams: Vec<Outgoing>,
    used: usize,
    /// Places of the used datagrams, grouped by address; the order of datagrams
    /// to one address is kept.
    order: Vec<usize>,
    headers: MultiHeaders<SockaddrStorage>,
    /// Turned off when the kernel refuses a large datagram.
    segmentation: bool,
}

impl SendBatch {
    /// Room for `size` datagrams.
    pub fn new(size: usize) -> Self {
        let nowhere = SocketAddr::from(([0, 0, 0, 0], 0));
        let outgoing = || Outgoing { buffer: Vec::with_capacity(DATAGRAM_ROOM), address: nowhere };
        Self {
            datagrams: (0..size).map(|_| outgoing()).collect(),
            used: 0,
            order: Vec::with_capacity(size),
            headers: MultiHeaders::preallocate(size, None),
            segmentation: size > 1,
        }
    }

    /// Whether nothing more can be committed before a flush.
    pub fn is_full(&self) -> bool {
        self.used == self.datagrams.len()
    }

    /// The buffer that the next [`SendBatch::commit`] will send.
    pub fn next_buffer(&mut self) -> &mut Vec<u8> {
        &mut self.datagrams[self.used].buffer
    }

    /// Adds the buffer last given out as a datagram to `address`.
    pub fn commit(&mut self, address: SocketAddr) {
        self.datagrams[self.used].address = address;
        self.used += 1;
    }

    /// Sends everything committed and returns how many datagrams were sent. A
    /// datagram that the kernel refuses is passed over.
    pub fn flush(&mut self, socket: &UdpSocket) -> usize {
        self.order.clear();
        self.order.extend(0..self.used);
        let datagrams = &self.datagrams;
        // A stable sort: datagrams to one address stay in their order.
        self.order.sort_by_key(|&place| datagrams[place].address);
        let mut sent = 0;
        let mut singles = Vec::with_capacity(self.used);
        let mut start = 0;
        while start < self.order.len() {
            let length = self.run_length(start);
            let run = &self.order[start..start + length];
            start += length;
            if length == 1 {
                singles.push(run[0]);
                continue;
            }
            match send_run(socket, &self.datagrams, run) {
                Ok(()) => sent += length,
                Err(error) => {
                    self.segmentation &= !is_refusal(error);
                    singles.extend_from_slice(run);
                }
            }
        }
        sent += self.send_singles(socket, &singles);
        self.used = 0;
        sent
    }

    /// How many datagrams from `start` in the order can leave as one: the same
    /// address, the same length, only the last may be shorter.
    fn run_length(&self, start: usize) -> usize {
        if !self.segmentation {
            return 1;
        }
        let first = &self.datagrams[self.order[start]];
        let segment = first.buffer.len();
        let mut length = 1;
        for &place in &self.order[start + 1..] {
            let next = &self.datagrams[place];
            let fits = length < MAXIMUM_SEGMENTS && (length + 1) * segment <= MAXIMUM_BYTES;
            if !fits || next.address != first.address || next.buffer.len() > segment {
                break;
            }
            length += 1;
            if next.buffer.len() < segment {
                break;
            }
        }
        length
    }

    fn send_singles(&mut self, socket: &UdpSocket, singles: &[usize]) -> usize {
        let mut sent = 0;
        let mut rest = singles;
        while !rest.is_empty() {
            match self.send_some(socket, rest) {
                Err(Errno::EINTR) => {}
                Ok(0) | Err(_) => rest = &rest[1..],
                Ok(count) => {
                    sent += count;
                    rest = &rest[count..];
                }
            }
        }
        sent
    }

    fn send_some(&mut self, socket: &UdpSocket, places: &[usize]) -> nix::Result<usize> {
        let slices: Vec<[IoSlice<'_>; 1]> =
            places.iter().map(|&place| [IoSlice::new(&self.datagrams[place].buffer)]).collect();
        let addresses: Vec<Option<SockaddrStorage>> = places
            .iter()
            .map(|&place| Some(SockaddrStorage::from(self.datagrams[place].address)))
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

fn send_run(socket: &UdpSocket, datagrams: &[Outgoing], run: &[usize]) -> nix::Result<()> {
    let slices: Vec<IoSlice<'_>> =
        run.iter().map(|&place| IoSlice::new(&datagrams[place].buffer)).collect();
    let first = &datagrams[run[0]];
    let segment = first.buffer.len() as u16;
    let control = [ControlMessage::UdpGsoSegments(&segment)];
    let address = SockaddrStorage::from(first.address);
    let flags = MsgFlags::empty();
    sendmsg(socket.as_raw_fd(), &slices, &control, flags, Some(&address)).map(|_| ())
}

/// Whether the kernel has no segmentation, rather than no room or no receiver.
fn is_refusal(error: Errno) -> bool {
    matches!(error, Errno::EINVAL | Errno::EIO | Errno::ENOPROTOOPT | Errno::EOPNOTSUPP)
}
