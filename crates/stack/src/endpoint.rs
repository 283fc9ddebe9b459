//! One TCP endpoint with its own small `smoltcp` interface.

use std::net::{IpAddr, SocketAddr};
use std::time::Duration;

use smoltcp::iface::{Config, Interface, SocketHandle, SocketSet};
use smoltcp::socket::tcp::{CongestionControl, RecvError, Socket, SocketBuffer, State};
use smoltcp::time::{Duration as StackDuration, Instant};
use smoltcp::wire::{HardwareAddress, IpAddress, IpCidr, IpEndpoint, IpListenEndpoint};
use weirhinge_packet::{decode_packet, shift_acknowledgment, shift_sequence};

use crate::device::QueueDevice;

/// Interval of keep-alive probes towards an idle peer.
const KEEP_ALIVE_INTERVAL: Duration = Duration::from_secs(60);
/// How long an unanswering peer is kept. Longer than most network cuts: an open
/// feed is worth more than the memory of a dead one.
const PEER_TIMEOUT: Duration = Duration::from_secs(600);

/// Supplies TCP timestamp values. A plain function, as `smoltcp` has it.
pub type TimestampSource = fn() -> u32;

/// Sizes of an endpoint's buffers, in bytes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BufferSizes {
    /// Bytes received and not read yet.
    pub receive: usize,
    /// Bytes written and not acknowledged yet.
    pub send: usize,
}

/// What an endpoint needs besides its addresses.
#[derive(Clone, Copy, Debug)]
pub struct EndpointOptions {
    /// Buffer sizes.
    pub buffers: BufferSizes,
    /// Seed of the initial sequence number. Must come from a secure source.
    pub seed: u64,
    /// Source of timestamp values; without one, the endpoint neither offers nor
    /// takes up the timestamps option.
    pub timestamps: Option<TimestampSource>,
    /// The first sequence number that the peer sees, of an endpoint that listens;
    /// none for one that the stack draws. Must be as hard to guess.
    pub initial_sequence: Option<u32>,
    /// Whether resets leave before the handshake is complete; only ever true
    /// for a defect planted on purpose.
    pub resets_early: bool,
}

/// Why an endpoint could not be created.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EndpointError;

impl std::fmt::Display for EndpointError {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter.write_str("address or port cannot be used")
    }
}

impl std::error::Error for EndpointError {}

/// What a read found.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReadOutcome {
    /// This many bytes were read.
    Read(usize),
    /// Nothing to read yet.
    Empty,
    /// The peer has sent everything and closed its direction.
    Finished,
    /// The connection was reset, timed out or never came to be.
    Reset,
}

/// One end of one TCP connection. Time is passed in, counted from any fixed
/// moment.
pub struct TcpEndpoint {
    interface: Interface,
    sockets: SocketSet<'static>,
    handle: SocketHandle,
    device: QueueDevice,
    listens: bool,
    established: bool,
    peer_finished: bool,
    aborted: bool,
    resets_early: bool,
    initial_sequence: Option<u32>,
    /// What is added to the stack's own sequence numbers for the peer, once the
    /// stack has drawn its first one.
    sequence_shift: Option<u32>,
}

impl TcpEndpoint {
    /// An endpoint at `local` that waits for one connection.
    ///
    /// # Errors
    /// When the address or port cannot be used.
    pub fn listen(local: SocketAddr, options: EndpointOptions) -> Result<Self, EndpointError> {
        let mut endpoint = Self::create(local.ip(), options, true)?;
        let listen = IpListenEndpoint { addr: Some(local.ip().into()), port: local.port() };
        endpoint.socket_mut().listen(listen).map_err(|_| EndpointError)?;
        Ok(endpoint)
    }

    /// An endpoint at `local` that connects to `remote`.
    ///
    /// # Errors
    /// When an address or port cannot be used.
    pub fn connect(
        local: SocketAddr,
        remote: SocketAddr,
        options: EndpointOptions,
    ) -> Result<Self, EndpointError> {
        let mut endpoint = Self::create(local.ip(), options, false)?;
        let socket = endpoint.sockets.get_mut::<Socket<'_>>(endpoint.handle);
        let context = endpoint.interface.context();
        socket
            .connect(context, IpEndpoint::from(remote), IpEndpoint::from(local))
            .map_err(|_| EndpointError)?;
        Ok(endpoint)
    }

    fn create(ip: IpAddr, options: EndpointOptions, listens: bool) -> Result<Self, EndpointError> {
        let mut device = QueueDevice::default();
        let mut config = Config::new(HardwareAddress::Ip);
        config.random_seed = options.seed;
        let mut interface = Interface::new(config, &mut device, Instant::ZERO);
        let address = IpAddress::from(ip);
        let mut added = false;
        interface.update_ip_addrs(|addresses| {
            added = addresses.push(IpCidr::new(address, host_prefix(ip))).is_ok();
        });
        add_default_route(&mut interface, ip).map_err(|()| EndpointError)?;
        if !added {
            return Err(EndpointError);
        }
        let mut sockets = SocketSet::new(Vec::with_capacity(1));
        let handle = sockets.add(create_socket(options));
        Ok(Self {
            interface,
            sockets,
            handle,
            device,
            listens,
            established: false,
            peer_finished: false,
            aborted: false,
            resets_early: options.resets_early,
            initial_sequence: options.initial_sequence,
            sequence_shift: None,
        })
    }

    /// Queues a packet from the peer. Its checksums must have been verified.
    pub fn receive(&mut self, mut packet: Vec<u8>) {
        if let Some(shift) = self.sequence_shift {
            shift_acknowledgment(&mut packet, shift.wrapping_neg());
        }
        self.device.incoming.push_back(packet);
    }

    /// Lets the stack work on what is queued and due.
    pub fn poll(&mut self, now: Duration) {
        let now = stack_instant(now);
        self.interface.poll(now, &mut self.device, &mut self.sockets);
        if self.state_is_connected() {
            self.established = true;
        }
        if self.state_follows_fin() {
            self.peer_finished = true;
        }
    }

    /// Takes the packets that the stack has written.
    ///
    /// Before the handshake is complete, resets are held back unless
    /// [`TcpEndpoint::abort`] asked for one. Two agents may both answer one
    /// repeated SYN; the caller acknowledges only one of their sequence numbers,
    /// and a reset from the other would break the flow that it just opened.
    pub fn take_outgoing(&mut self) -> Vec<Vec<u8>> {
        let mut packets = std::mem::take(&mut self.device.outgoing);
        if self.listens && !self.established && !self.aborted && !self.resets_early {
            packets.retain(|packet| !is_reset(packet));
        }
        for packet in &mut packets {
            self.renumber(packet);
        }
        packets
    }

    /// Gives a packet of the stack the numbers that the peer knows.
    fn renumber(&mut self, packet: &mut [u8]) {
        if self.sequence_shift.is_none() {
            let first = opening_answer(packet);
            self.sequence_shift =
                self.initial_sequence.zip(first).map(|(wanted, own)| wanted.wrapping_sub(own));
        }
        if let Some(shift) = self.sequence_shift {
            shift_sequence(packet, shift);
        }
    }

    /// When the stack next has something to do, if ever.
    pub fn next_poll(&mut self, now: Duration) -> Option<Duration> {
        let delay = self.interface.poll_delay(stack_instant(now), &self.sockets)?;
        Some(Duration::from_micros(delay.total_micros()))
    }

    /// Reads received bytes.
    pub fn read(&mut self, buffer: &mut [u8]) -> ReadOutcome {
        if !self.established {
            let closed = self.socket().state() == State::Closed;
            return if closed { ReadOutcome::Reset } else { ReadOutcome::Empty };
        }
        match self.socket_mut().recv_slice(buffer) {
            Ok(0) => ReadOutcome::Empty,
            Ok(length) => ReadOutcome::Read(length),
            Err(RecvError::Finished) => ReadOutcome::Finished,
            Err(RecvError::InvalidState) => ReadOutcome::Reset,
        }
    }

    /// Bytes that can be written now.
    pub fn send_room(&self) -> usize {
        let socket = self.socket();
        if socket.can_send() { socket.send_capacity() - socket.send_queue() } else { 0 }
    }

    /// Writes bytes; returns how many were taken.
    pub fn write(&mut self, bytes: &[u8]) -> usize {
        self.socket_mut().send_slice(bytes).unwrap_or(0)
    }

    /// Closes the sending direction once everything written is acknowledged.
    pub fn close(&mut self) {
        self.socket_mut().close();
    }

    /// Resets the connection.
    pub fn abort(&mut self) {
        self.aborted = true;
        self.socket_mut().abort();
    }

    /// Whether the handshake has completed at some time.
    pub fn established(&self) -> bool {
        self.established
    }

    /// Whether nothing more will come from or go to the peer.
    pub fn is_closed(&self) -> bool {
        self.socket().state() == State::Closed
    }

    /// Whether the peer has closed its direction in order. What it sent before
    /// may still wait to be read.
    pub fn peer_finished(&self) -> bool {
        self.peer_finished
    }

    fn state_follows_fin(&self) -> bool {
        matches!(
            self.socket().state(),
            State::CloseWait | State::LastAck | State::Closing | State::TimeWait
        )
    }

    fn state_is_connected(&self) -> bool {
        !matches!(
            self.socket().state(),
            State::Closed | State::Listen | State::SynSent | State::SynReceived
        )
    }

    fn socket(&self) -> &Socket<'static> {
        self.sockets.get::<Socket<'_>>(self.handle)
    }

    fn socket_mut(&mut self) -> &mut Socket<'static> {
        self.sockets.get_mut::<Socket<'_>>(self.handle)
    }
}

fn create_socket(options: EndpointOptions) -> Socket<'static> {
    let receive = SocketBuffer::new(vec![0; options.buffers.receive]);
    let send = SocketBuffer::new(vec![0; options.buffers.send]);
    let mut socket = Socket::new(receive, send);
    socket.set_congestion_control(CongestionControl::Reno);
    socket.set_nagle_enabled(false);
    socket.set_tsval_generator(options.timestamps);
    socket.set_keep_alive(Some(stack_duration(KEEP_ALIVE_INTERVAL)));
    socket.set_timeout(Some(stack_duration(PEER_TIMEOUT)));
    socket
}

fn add_default_route(interface: &mut Interface, ip: IpAddr) -> Result<(), ()> {
    // The gateway's address does not matter on a device without link layer.
    let routes = interface.routes_mut();
    match ip {
        IpAddr::V4(ip) => routes.add_default_ipv4_route(ip).map(|_| ()).map_err(|_| ()),
        IpAddr::V6(ip) => routes.add_default_ipv6_route(ip).map(|_| ()).map_err(|_| ()),
    }
}

fn host_prefix(ip: IpAddr) -> u8 {
    match ip {
        IpAddr::V4(_) => 32,
        IpAddr::V6(_) => 128,
    }
}

fn is_reset(packet: &[u8]) -> bool {
    decode_packet(packet).is_ok_and(|view| view.tcp().is_some_and(|segment| segment.reset))
}

/// The sequence number of a packet that answers an opening packet.
fn opening_answer(packet: &[u8]) -> Option<u32> {
    let view = decode_packet(packet).ok()?;
    view.tcp().filter(|segment| segment.syn && segment.ack).map(|segment| segment.sequence)
}

fn stack_instant(time: Duration) -> Instant {
    Instant::from_micros(i64::try_from(time.as_micros()).unwrap_or(i64::MAX))
}

fn stack_duration(duration: Duration) -> StackDuration {
    StackDuration::from_micros(u64::try_from(duration.as_micros()).unwrap_or(u64::MAX))
}
