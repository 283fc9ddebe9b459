//! Verifies IP, TCP and UDP checksums.

use etherparse::{SlicedPacket, TransportSlice};

use crate::DropReason;

/// Verifies the IP header checksum and the transport checksum of an inner packet.
///
/// # Errors
/// Returns [`DropReason::BadChecksum`] if a checksum is wrong and [`DropReason::Truncated`] if the
/// packet cannot be parsed.
pub fn verify_checksums(packet: &[u8]) -> Result<(), DropReason> {
    let sliced = SlicedPacket::from_ip(packet).map_err(|_| DropReason::Truncated)?;
    let net = sliced.net.as_ref().ok_or(DropReason::Truncated)?;
    if let Some(ipv4) = net.ipv4_ref() {
        let header = ipv4.header().to_header();
        if header.calc_header_checksum() != ipv4.header().header_checksum() {
            return Err(DropReason::BadChecksum);
        }
    }
    let transport = sliced.transport.as_ref().ok_or(DropReason::Truncated)?;
    if is_transport_checksum_valid(net, transport) { Ok(()) } else { Err(DropReason::BadChecksum) }
}

fn is_transport_checksum_valid(
    net: &etherparse::NetSlice<'_>,
    transport: &TransportSlice<'_>,
) -> bool {
    match transport {
        TransportSlice::Tcp(tcp) => {
            let expected = match net {
                etherparse::NetSlice::Ipv4(ip) => {
                    tcp.calc_checksum_ipv4(ip.header().source(), ip.header().destination())
                }
                etherparse::NetSlice::Ipv6(ip) => {
                    tcp.calc_checksum_ipv6(ip.header().source(), ip.header().destination())
                }
                _ => return false,
            };
            expected.is_ok_and(|checksum| checksum == tcp.checksum())
        }
        TransportSlice::Udp(udp) => {
            let header = udp.to_header();
            let expected = match net {
                // Over IPv4, a UDP checksum of zero means that the sender computed none.
                etherparse::NetSlice::Ipv4(_) if udp.checksum() == 0 => return true,
                etherparse::NetSlice::Ipv4(ip) => header.calc_checksum_ipv4_raw(
                    ip.header().source(),
                    ip.header().destination(),
                    udp.payload(),
                ),
                etherparse::NetSlice::Ipv6(ip) => header.calc_checksum_ipv6_raw(
                    ip.header().source(),
                    ip.header().destination(),
                    udp.payload(),
                ),
                _ => return false,
            };
            expected.is_ok_and(|checksum| checksum == udp.checksum())
        }
        _ => false,
    }
}
