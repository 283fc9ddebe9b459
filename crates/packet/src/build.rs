//! Builds the packets that do not come from a TCP stack: UDP responses and TCP resets.

use std::net::{IpAddr, SocketAddr};

use etherparse::{
    IpHeaders, IpNumber, Ipv4Header, Ipv6Header, PacketBuilder, PacketBuilderStep, TcpHeader,
};

use crate::{FlowKey, TcpSegment};

/// IPv4 TTL and IPv6 hop limit of the packets that this crate builds.
const HOP_LIMIT: u8 = 64;

/// Why a packet could not be built.
#[derive(Debug, thiserror::Error)]
pub enum PacketBuildError {
    /// The source and destination belong to different address families.
    #[error("address families differ: {from} and {to}")]
    MixedFamilies {
        /// Source address and port of the packet.
        from: SocketAddr,
        /// Destination address and port of the packet.
        to: SocketAddr,
    },
    /// The payload exceeds the maximum size of an IP packet.
    #[error("payload of {length} bytes does not fit one packet")]
    PayloadTooLong {
        /// Payload length in bytes.
        length: usize,
    },
}

/// Builds a UDP response datagram of a flow, from the service to the client.
///
/// # Errors
/// Returns an error if the flow mixes address families or the payload is too long.
pub fn build_udp_packet(key: &FlowKey, payload: &[u8]) -> Result<Vec<u8>, PacketBuildError> {
    let too_long = |_| PacketBuildError::PayloadTooLong { length: payload.len() };
    let step = ip_step(key.destination, key.source, IpNumber::UDP)?
        .udp(key.destination.port(), key.source.port());
    let mut packet = Vec::with_capacity(step.size(payload.len()));
    step.write(&mut packet, payload).map_err(too_long)?;
    Ok(packet)
}

/// Builds the TCP reset that rejects `segment`, from the service to the client (RFC 9293,
/// section 3.10.7.1).
///
/// # Errors
/// Returns an error if the flow mixes address families.
pub fn build_tcp_reset(key: &FlowKey, segment: &TcpSegment) -> Result<Vec<u8>, PacketBuildError> {
    let mut header = TcpHeader::new(key.destination.port(), key.source.port(), 0, 0);
    header.rst = true;
    if segment.ack {
        header.sequence_number = segment.acknowledgment;
    } else {
        let sequence_space =
            segment.payload_length as u32 + u32::from(segment.syn) + u32::from(segment.fin);
        header.ack = true;
        header.acknowledgment_number = segment.sequence.wrapping_add(sequence_space);
    }
    let step = ip_step(key.destination, key.source, IpNumber::TCP)?.tcp_header(header);
    let mut packet = Vec::with_capacity(step.size(0));
    step.write(&mut packet, &[]).map_err(|_| PacketBuildError::PayloadTooLong { length: 0 })?;
    Ok(packet)
}

fn ip_step(
    from: SocketAddr,
    to: SocketAddr,
    protocol: IpNumber,
) -> Result<PacketBuilderStep<IpHeaders>, PacketBuildError> {
    match (from.ip(), to.ip()) {
        (IpAddr::V4(source), IpAddr::V4(destination)) => {
            let mut header =
                Ipv4Header::new(0, HOP_LIMIT, protocol, source.octets(), destination.octets())
                    .map_err(|_| PacketBuildError::PayloadTooLong { length: 0 })?;
            header.dont_fragment = true;
            Ok(PacketBuilder::ip(IpHeaders::Ipv4(header, Default::default())))
        }
        (IpAddr::V6(source), IpAddr::V6(destination)) => {
            let header = Ipv6Header {
                next_header: protocol,
                hop_limit: HOP_LIMIT,
                source: source.octets(),
                destination: destination.octets(),
                ..Default::default()
            };
            Ok(PacketBuilder::ip(IpHeaders::Ipv6(header, Default::default())))
        }
        _ => Err(PacketBuildError::MixedFamilies { from, to }),
    }
}
