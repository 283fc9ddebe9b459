//! Decodes the headers of an inner packet without allocation.

use std::net::{IpAddr, SocketAddr};

use etherparse::{IpNumber, Ipv4HeaderSlice, Ipv6HeaderSlice, TcpHeaderSlice, UdpHeaderSlice};

use crate::{FlowKey, Protocol};

/// Length of an IPv4 header without options, in bytes.
pub(crate) const IPV4_MINIMUM_HEADER: usize = 20;
/// Length of the fixed IPv6 header, in bytes.
pub(crate) const IPV6_HEADER: usize = 40;
/// Length of a UDP header, in bytes.
const UDP_HEADER: usize = 8;
/// TCP option kind "no operation" (RFC 9293).
const TCP_OPTION_NO_OPERATION: u8 = 1;
/// TCP option kind "end of option list" (RFC 9293).
const TCP_OPTION_END: u8 = 0;
/// TCP option kind "timestamps" (RFC 7323).
const TCP_OPTION_TIMESTAMPS: u8 = 8;
/// Length of the timestamps option, in bytes.
const TCP_OPTION_TIMESTAMPS_LENGTH: usize = 10;

/// Why a packet is dropped.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, thiserror::Error)]
pub enum DropReason {
    /// The packet ends before its headers do.
    #[error("truncated")]
    Truncated,
    /// A length field does not match the number of bytes received.
    #[error("wrong_length")]
    WrongLength,
    /// The packet is a fragment of a larger one.
    #[error("fragment")]
    Fragment,
    /// The packet carries IP options or extension headers.
    #[error("ip_options")]
    IpOptions,
    /// The packet is neither IPv4 nor IPv6.
    #[error("unknown_version")]
    UnknownVersion,
    /// The transport is neither TCP nor UDP.
    #[error("unknown_protocol")]
    UnknownProtocol,
    /// The combination of TCP flags is one that no conforming stack sends.
    #[error("bad_flags")]
    BadFlags,
    /// An IP, TCP or UDP checksum is wrong.
    #[error("bad_checksum")]
    BadChecksum,
}

impl DropReason {
    /// Returns the reason's name as it appears in metrics and logs.
    pub fn name(self) -> &'static str {
        match self {
            DropReason::Truncated => "truncated",
            DropReason::WrongLength => "wrong_length",
            DropReason::Fragment => "fragment",
            DropReason::IpOptions => "ip_options",
            DropReason::UnknownVersion => "unknown_version",
            DropReason::UnknownProtocol => "unknown_protocol",
            DropReason::BadFlags => "bad_flags",
            DropReason::BadChecksum => "bad_checksum",
        }
    }
}

/// The parts of a TCP segment that routing and admission use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TcpSegment {
    /// Sequence number.
    pub sequence: u32,
    /// Acknowledgment number; valid only if `ack` is set.
    pub acknowledgment: u32,
    /// The SYN flag.
    pub syn: bool,
    /// The ACK flag.
    pub ack: bool,
    /// The RST flag.
    pub reset: bool,
    /// The FIN flag.
    pub fin: bool,
    /// The echoed timestamp (TSecr of RFC 7323), if the option is present.
    pub timestamp_echo: Option<u32>,
    /// Length of the segment's payload, in bytes.
    pub payload_length: usize,
}

impl TcpSegment {
    /// Whether this segment requests a new connection: SYN without ACK.
    pub fn opens_flow(&self) -> bool {
        self.syn && !self.ack
    }
}

/// The transport layer of a packet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Transport<'a> {
    /// A TCP segment.
    Tcp(TcpSegment),
    /// The payload of a UDP datagram.
    Udp(&'a [u8]),
}

/// A decoded inner packet that borrows from its bytes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PacketView<'a> {
    /// The flow that the packet belongs to.
    pub key: FlowKey,
    /// The decoded transport layer.
    pub transport: Transport<'a>,
}

impl PacketView<'_> {
    /// Returns the TCP segment, if the packet carries one.
    pub fn tcp(&self) -> Option<&TcpSegment> {
        match &self.transport {
            Transport::Tcp(segment) => Some(segment),
            Transport::Udp(_) => None,
        }
    }
}

/// The addresses and protocol of an IP header, and the bytes after it.
struct IpLayer<'a> {
    source: IpAddr,
    destination: IpAddr,
    protocol: IpNumber,
    payload: &'a [u8],
}

/// Decodes one inner packet.
///
/// # Errors
/// Returns the reason why the packet must be dropped. Checksums are not verified here: the
/// endpoint that consumes the packet does so with [`crate::verify_checksums`].
pub fn decode_packet(packet: &[u8]) -> Result<PacketView<'_>, DropReason> {
    let ip = decode_ip(packet)?;
    match ip.protocol {
        IpNumber::TCP => decode_tcp(&ip),
        IpNumber::UDP => decode_udp(&ip),
        _ => Err(DropReason::UnknownProtocol),
    }
}

fn decode_ip(packet: &[u8]) -> Result<IpLayer<'_>, DropReason> {
    let first = packet.first().ok_or(DropReason::Truncated)?;
    match first >> 4 {
        4 => decode_ipv4(packet),
        6 => decode_ipv6(packet),
        _ => Err(DropReason::UnknownVersion),
    }
}

fn decode_ipv4(packet: &[u8]) -> Result<IpLayer<'_>, DropReason> {
    let header = Ipv4HeaderSlice::from_slice(packet).map_err(|_| DropReason::Truncated)?;
    if header.slice().len() != IPV4_MINIMUM_HEADER {
        return Err(DropReason::IpOptions);
    }
    if header.is_fragmenting_payload() {
        return Err(DropReason::Fragment);
    }
    if usize::from(header.total_len()) != packet.len() {
        return Err(DropReason::WrongLength);
    }
    Ok(IpLayer {
        source: IpAddr::V4(header.source_addr()),
        destination: IpAddr::V4(header.destination_addr()),
        protocol: header.protocol(),
        payload: &packet[IPV4_MINIMUM_HEADER..],
    })
}

fn decode_ipv6(packet: &[u8]) -> Result<IpLayer<'_>, DropReason> {
    let header = Ipv6HeaderSlice::from_slice(packet).map_err(|_| DropReason::Truncated)?;
    if usize::from(header.payload_length()) + IPV6_HEADER != packet.len() {
        return Err(DropReason::WrongLength);
    }
    match header.next_header() {
        IpNumber::IPV6_FRAGMENTATION_HEADER => return Err(DropReason::Fragment),
        IpNumber::IPV6_HEADER_HOP_BY_HOP
        | IpNumber::IPV6_ROUTE_HEADER
        | IpNumber::IPV6_DESTINATION_OPTIONS => return Err(DropReason::IpOptions),
        _ => {}
    }
    Ok(IpLayer {
        source: IpAddr::V6(header.source_addr()),
        destination: IpAddr::V6(header.destination_addr()),
        protocol: header.next_header(),
        payload: &packet[IPV6_HEADER..],
    })
}

fn decode_tcp<'a>(ip: &IpLayer<'a>) -> Result<PacketView<'a>, DropReason> {
    let header = TcpHeaderSlice::from_slice(ip.payload).map_err(|_| DropReason::Truncated)?;
    let segment = TcpSegment {
        sequence: header.sequence_number(),
        acknowledgment: header.acknowledgment_number(),
        syn: header.syn(),
        ack: header.ack(),
        reset: header.rst(),
        fin: header.fin(),
        timestamp_echo: timestamp_echo(header.options()),
        payload_length: ip.payload.len() - header.slice().len(),
    };
    check_flags(&segment)?;
    Ok(PacketView {
        key: FlowKey {
            protocol: Protocol::Tcp,
            source: SocketAddr::new(ip.source, header.source_port()),
            destination: SocketAddr::new(ip.destination, header.destination_port()),
        },
        transport: Transport::Tcp(segment),
    })
}

fn check_flags(segment: &TcpSegment) -> Result<(), DropReason> {
    let contradictory = segment.syn && (segment.fin || segment.reset);
    let lacks_required_flag = !segment.syn && !segment.ack && !segment.reset;
    if contradictory || lacks_required_flag {
        return Err(DropReason::BadFlags);
    }
    Ok(())
}

/// Returns the echoed timestamp of the TCP timestamps option. Scans the raw options because this is
/// on the hot path and `etherparse`'s iterator decodes every option that it passes.
fn timestamp_echo(mut options: &[u8]) -> Option<u32> {
    while let Some(&kind) = options.first() {
        match kind {
            TCP_OPTION_END => return None,
            TCP_OPTION_NO_OPERATION => options = &options[1..],
            _ => {
                let length = usize::from(*options.get(1)?);
                if length < 2 || length > options.len() {
                    return None;
                }
                if kind == TCP_OPTION_TIMESTAMPS && length == TCP_OPTION_TIMESTAMPS_LENGTH {
                    let echo = options[6..TCP_OPTION_TIMESTAMPS_LENGTH].try_into().ok()?;
                    return Some(u32::from_be_bytes(echo));
                }
                options = &options[length..];
            }
        }
    }
    None
}

fn decode_udp<'a>(ip: &IpLayer<'a>) -> Result<PacketView<'a>, DropReason> {
    let header = UdpHeaderSlice::from_slice(ip.payload).map_err(|_| DropReason::Truncated)?;
    if usize::from(header.length()) != ip.payload.len() {
        return Err(DropReason::WrongLength);
    }
    Ok(PacketView {
        key: FlowKey {
            protocol: Protocol::Udp,
            source: SocketAddr::new(ip.source, header.source_port()),
            destination: SocketAddr::new(ip.destination, header.destination_port()),
        },
        transport: Transport::Udp(&ip.payload[UDP_HEADER..]),
    })
}
