//! Shifts sequence and acknowledgment numbers of TCP segments in place.

use std::ops::Range;

use crate::decode::{IPV4_MINIMUM_HEADER, IPV6_HEADER};
use crate::decode_packet;

/// Byte range of the sequence number in a TCP header.
const SEQUENCE: Range<usize> = 4..8;
/// Byte range of the acknowledgment number in a TCP header.
const ACKNOWLEDGMENT: Range<usize> = 8..12;
/// Byte range of the checksum in a TCP header.
const CHECKSUM: Range<usize> = 16..18;

/// Adds `by` to a segment's sequence number, modulo 2^32, and updates the checksum. Leaves anything
/// but a valid TCP packet unchanged.
pub fn shift_sequence(packet: &mut [u8], by: u32) {
    if let Some(header) = tcp_header(packet) {
        shift_field(header, SEQUENCE, by);
    }
}

/// Adds `by` to a segment's acknowledgment number, modulo 2^32, and updates the checksum. Leaves
/// segments without the ACK flag and anything but a valid TCP packet unchanged.
pub fn shift_acknowledgment(packet: &mut [u8], by: u32) {
    let has_acknowledgment =
        decode_packet(packet).is_ok_and(|view| view.tcp().is_some_and(|segment| segment.ack));
    if has_acknowledgment && let Some(header) = tcp_header(packet) {
        shift_field(header, ACKNOWLEDGMENT, by);
    }
}

/// Returns the packet's bytes from the TCP header on, if it is a valid TCP packet.
fn tcp_header(packet: &mut [u8]) -> Option<&mut [u8]> {
    decode_packet(packet).ok()?.tcp()?;
    // `decode_packet` rejects IP options and extension headers, so the IP header has a fixed length.
    let start = if packet[0] >> 4 == 4 { IPV4_MINIMUM_HEADER } else { IPV6_HEADER };
    packet.get_mut(start..)
}

fn shift_field(header: &mut [u8], field: Range<usize>, by: u32) {
    let old = read_field(header, &field);
    let new = old.wrapping_add(by);
    header[field].copy_from_slice(&new.to_be_bytes());
    let checksum = u16::from_be_bytes([header[CHECKSUM.start], header[CHECKSUM.start + 1]]);
    let updated = updated_checksum(checksum, old, new);
    header[CHECKSUM].copy_from_slice(&updated.to_be_bytes());
}

fn read_field(header: &[u8], field: &Range<usize>) -> u32 {
    header[field.clone()].iter().fold(0, |value, &byte| value << 8 | u32::from(byte))
}

/// Returns the checksum after a change of one 32-bit field (RFC 1624, equation 3).
fn updated_checksum(checksum: u16, old: u32, new: u32) -> u16 {
    let halves = |value: u32| (value >> 16) + (value & 0xffff);
    let mut sum = u32::from(!checksum) + halves(!old) + halves(new);
    while sum > 0xffff {
        sum = halves(sum);
    }
    !(sum as u16)
}
