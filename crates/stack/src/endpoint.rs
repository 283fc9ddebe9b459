//! A TCP endpoint with a `smoltcp` interface of its own.

use std::net::{IpAddr, SocketAddr};
use std::time::Duration;

use smoltcp::iface::{Config, Interface, SocketHandle, SocketSet};
use smoltcp::socket::tcp::{CongestionControl, RecvError, Socket, SocketBuffer, State};
use smoltcp::time::{Duration as StackDuration, Instant};
use smoltcp::wire::{HardwareAddress, IpAddress, IpCidr, IpEndpoint, IpListenEndpoint};
use weirhinge_packet::{decode_packet, shift_acknowledgment, shift_sequence};

use crate::device::QueueDevice;

/// Interval of keep-alive probes to an idle peer.
const KEEP_ALIVE_INTERVAL: Duration = Duration::from_secs(60);
/// How long a connection to an unresponsive peer is kept. This is longer than most network
/// partitions: keeping an open feed is worth more than freeing the memory of a dead one early.
const PEER_TIMEOUT: Duration = Duration::from_secs(600);

/// Supplies TCP timestamp values. `smoltcp` requires a plain function pointer.
pub type TimestampSource = fn() -> u32;

/// Sizes of an endpoint's buffers, in bytes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BufferSizes {
    /// Capacity for bytes that were received but not read yet.
    pub receive: usize,
    /// Capacity for bytes that were written but not acknowledged yet.
    pub send: usize,
}

/// Options of an endpoint.
#[derive(Clone, Copy, Debug)]
pub struct EndpointOptions {
    /// Buffer sizes.
    pub buffers: BufferSizes,
    /// Seed of the random initial sequence number. Must come from a cryptographically secure source.
    pub seed: u64,
    /// Source of timestamp values. Without one, the endpoint neither offers nor accepts the TCP
    /// timestamps option.
    pub timestamps: Option<TimestampSource>,
    /// Initial sequence number that the peer of a listening endpoint sees; if none, `smoltcp`
    /// chooses a random one. Must be as hard to guess as a random one.
    pub initial_sequence: Option<u32>,
    /// Whether resets are sent even before the handshake is complete. This is a defect, enabled only
    /// by deliberate fault injection.
    pub resets_early: bool,
}

/// Why an endpoint could not be created.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EndpointError;

impl std::fmt::Display for EndpointError {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter.write_str("TCP endpoint cannot use the given address or port")
    }
}

impl std::error::Error for EndpointError {}

/// Result of a read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReadOutcome {
    /// This many bytes were read.
    Read(usize),
    /// No bytes are available yet.
    Empty,
    /// The peer has closed its direction, and all of its bytes have been read.
    Finished,
    /// The connection was reset, timed out or was never established.
    Reset,
}

/// One end of one TCP connection. The current time is passed in, as the duration since an arbitrary
/// fixed start.
pub struct TcpEndpoint {
    interface: Interface,
    sockets: SocketSet<'static>,
    handle: SocketHandle,
    device: QueueDevice,
    is_listener: bool,
    established: bool,
    peer_finished: bool,
    aborted: bool,
    resets_early: bool,
    initial_sequence: Option<u32>,
    /// Offset from the stack's sequence numbers to those that the peer sees; known once the stack
    /// has chosen its initial one.
    sequence_shift: Option<u32>,
}

impl TcpEndpoint {
    /// Creates an endpoint at `local` that waits for one connection.
    ///
    /// # Errors
    /// Returns an error if the address or port cannot be used.
    pub fn listen(local: SocketAddr, options: EndpointOptions) -> Result<Self, EndpointError> {
        let mut endpoint = Self::create(local.ip(), options, true)?;
        let listen = IpListenEndpoint { addr: Some(local.ip().into()), port: local.port() };
        endpoint.socket_mut().listen(listen).map_err(|_| EndpointError)?;
        Ok(endpoint)
    }

    /// Creates an endpoint at `local` that connects to `remote`.
    ///
    /// # Errors
    /// Returns an error if an address or port cannot be used.
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

    fn create(
        ip: IpAddr,
        options: EndpointOptions,
        is_listener: bool,
    ) -> Result<Self, EndpointError> {
        let mut device = QueueDevice::default();
        let mut config = Config::new(HardwareAddress::Ip);
        config.random_seed = options.seed;
        let mut interface = Interface::new(config, &mut device, Instant::ZERO);
        let address = IpAddress::from(ip);
        let mut has_address = false;
        interface.update_ip_addrs(|addresses| {
            has_address = addresses.push(IpCidr::new(address, host_prefix_length(ip))).is_ok();
        });
        add_default_route(&mut interface, ip).map_err(|()| EndpointError)?;
        if !has_address {
            return Err(EndpointError);
        }
        let mut sockets = SocketSet::new(Vec::with_capacity(1));
        let handle = sockets.add(create_socket(options));
        Ok(Self {
            interface,
            sockets,
            handle,
            device,
            is_listener,
            established: false,
            peer_finished: false,
            aborted: false,
            resets_early: options.resets_early,
            initial_sequence: options.initial_sequence,
            sequence_shift: None,
        })
    }

    /// Queues a packet from the peer. Its checksums must already be verified.
    pub fn receive(&mut self, mut packet: Vec<u8>) {
        if let Some(shift) = self.sequence_shift {
            shift_acknowledgment(&mut packet, shift.wrapping_neg());
        }
        self.device.incoming.push_back(packet);
    }

    /// Processes queued packets and due timers.
    pub fn poll(&mut self, now: Duration) {
        let now = stack_instant(now);
        self.interface.poll(now, &mut self.device, &mut self.sockets);
        if self.has_connected_state() {
            self.established = true;
        }
        if self.has_received_fin() {
            self.peer_finished = true;
        }
    }

    /// Takes the packets that the stack has written.
    ///
    /// Until the handshake of a listening endpoint is complete, its resets are dropped unless
    /// [`TcpEndpoint::abort`] was called. Two agents may both answer a retransmitted SYN; the
    /// client acknowledges only one of their sequence numbers, and a reset from the other agent
    /// would break the flow that was just opened.
    pub fn take_outgoing(&mut self) -> Vec<Vec<u8>> {
        let mut packets = std::mem::take(&mut self.device.outgoing);
        if self.is_listener && !self.established && !self.aborted && !self.resets_early {
            packets.retain(|packet| !is_reset(packet));
        }
        for packet in &mut packets {
            self.shift_to_peer_sequence(packet);
        }
        packets
    }

    /// Replaces the stack's sequence number in a packet by the one that the peer expects.
    fn shift_to_peer_sequence(&mut self, packet: &mut [u8]) {
        if self.sequence_shift.is_none() {
            let first = syn_ack_sequence(packet);
            self.sequence_shift =
                self.initial_sequence.zip(first).map(|(wanted, own)| wanted.wrapping_sub(own));
        }
        if let Some(shift) = self.sequence_shift {
            shift_sequence(packet, shift);
        }
    }

    /// Returns the delay until the next poll is due, if any timer is set.
    pub fn poll_delay(&mut self, now: Duration) -> Option<Duration> {
        let delay = self.interface.poll_delay(stack_instant(now), &self.sockets)?;
        Some(Duration::from_micros(delay.total_micros()))
    }

    /// Reads received bytes into `buffer`.
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

    /// Returns the number of bytes that can be written now.
    pub fn writable_bytes(&self) -> usize {
        let socket = self.socket();
        if socket.can_send() { socket.send_capacity() - socket.send_queue() } else { 0 }
    }

    /// Writes bytes and returns how many were accepted.
    pub fn write(&mut self, bytes: &[u8]) -> usize {
        self.socket_mut().send_slice(bytes).unwrap_or(0)
    }

    /// Closes the sending direction after the data written so far.
    pub fn close(&mut self) {
        self.socket_mut().close();
    }

    /// Resets the connection.
    pub fn abort(&mut self) {
        self.aborted = true;
        self.socket_mut().abort();
    }

    /// Whether the handshake has ever completed, also if the connection has since closed.
    pub fn is_established(&self) -> bool {
        self.established
    }

    /// Whether the connection is closed, so that no more packets are exchanged with the peer.
    pub fn is_closed(&self) -> bool {
        self.socket().state() == State::Closed
    }

    /// Whether the peer has closed its direction in an orderly way. Bytes that it sent before may
    /// still be unread.
    pub fn has_peer_finished(&self) -> bool {
        self.peer_finished
    }

    fn has_received_fin(&self) -> bool {
        matches!(
            self.socket().state(),
            State::CloseWait | State::LastAck | State::Closing | State::TimeWait
        )
    }

    fn has_connected_state(&self) -> bool {
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
    // The gateway address is irrelevant for a device without a link layer.
    let routes = interface.routes_mut();
    match ip {
        IpAddr::V4(ip) => routes.add_default_ipv4_route(ip).map(|_| ()).map_err(|_| ()),
        IpAddr::V6(ip) => routes.add_default_ipv6_route(ip).map(|_| ()).map_err(|_| ()),
    }
}

fn host_prefix_length(ip: IpAddr) -> u8 {
    match ip {
        IpAddr::V4(_) => 32,
        IpAddr::V6(_) => 128,
    }
}

fn is_reset(packet: &[u8]) -> bool {
    decode_packet(packet).is_ok_and(|view| view.tcp().is_some_and(|segment| segment.reset))
}

/// Returns the sequence number of a SYN-ACK packet.
fn syn_ack_sequence(packet: &[u8]) -> Option<u32> {
    let view = decode_packet(packet).ok()?;
    view.tcp().filter(|segment| segment.syn && segment.ack).map(|segment| segment.sequence)
}

fn stack_instant(time: Duration) -> Instant {
    Instant::from_micros(i64::try_from(time.as_micros()).unwrap_or(i64::MAX))
}

fn stack_duration(duration: Duration) -> StackDuration {
    StackDuration::from_micros(u64::try_from(duration.as_micros()).unwrap_or(u64::MAX))
}
