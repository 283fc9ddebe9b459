//! Reads and writes the inner IP packets that the fabric carries.
//!
//! The fabric hands over whole IPv4 or IPv6 packets, each as the payload of
//! one UDP datagram. This crate turns such bytes into a [`PacketView`] or into
//! a typed [`DropReason`]; the header formats themselves are `etherparse`'s.

mod build;
mod checksum;
mod decode;
mod key;
mod renumber;

pub use build::{PacketBuildError, build_tcp_reset, build_udp_packet};
pub use checksum::verify_checksums;
pub use decode::{DropReason, PacketView, TcpSegment, Transport, decode_packet};
pub use key::{FlowKey, Protocol};
pub use renumber::{shift_acknowledgment, shift_sequence};
