//! Decodes, builds and modifies the inner IP packets that the fabric carries.
//!
//! The fabric delivers complete IPv4 or IPv6 packets, each as the payload of one UDP datagram. This
//! crate decodes such a payload into a [`PacketView`] or rejects it with a [`DropReason`]; header
//! parsing and serialization are delegated to `etherparse`.

mod build;
mod checksum;
mod decode;
mod key;
mod sequence;

pub use build::{PacketBuildError, build_tcp_reset, build_udp_packet};
pub use checksum::verify_checksums;
pub use decode::{DropReason, PacketView, TcpSegment, Transport, decode_packet};
pub use key::{FlowKey, Protocol};
pub use sequence::{shift_acknowledgment, shift_sequence};
