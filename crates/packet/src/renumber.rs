//! Shifts the numbers of TCP segments, in place.

use std::ops::Range;

use crate::decode::{IPV4_MINIMUM_HEADER, IPV6_HEADER};
use crate::decode_packet;

/// Where the sequence number stands in a TCP header.
const SEQUENCE: Range<usize> = 4..8;
/// Where the acknowledgment number stands.
const ACKNOWLEDGMENT: Range<usize> = 8..12;
/// Where the checksum stands.
const CHECKSUM: Range<usize> = 16..18;

/// Adds to a segment's sequence number and keeps its checksum sound. Other packets stay as
/// they are.
pub fn shift_sequence(packet: &mut [u8], by: u32) {
    if let Some(header) = tcp_header(packet) {
        shift(header, SEQUENCE, by);
    }
}

/// Adds to a segment's acknowledgment number, if it has one, and keeps its checksum sound.
/// Other packets stay as they are.
pub fn shift_acknowledgment(packet: &mut [u8], by: u32) {
    let acknowledges =
        decode_packet(packet).is_ok_and(|view| view.tcp().is_some_and(|segment| segment.ack));
    if acknowledges && let Some(header) = tcp_header(packet) {
        shift(header, ACKNOWLEDGMENT, by);
    }
}

/// A sound TCP packet from its TCP header on.
fn tcp_header(packet: &mut [u8]) -> Option<&mut [u8]> {
    decode_packet(packet).ok()?.tcp()?;
    // What decodes has neither IP options nor extension headers.
    let start = if packet[0] >> 4 == 4 { IPV4_MINIMUM_HEADER } else { IPV6_HEADER };
    packet.get_mut(start..)
}

fn shift(header: &mut [u8], place: Range<usize>, by: u32) {
    let old = read(header, &place);
    let new = old.wrapping_add(by);
    header[place].copy_from_slice(&new.to_be_bytes());
    let checksum = u16::from_be_bytes([header[CHECKSUM.start], header[CHECKSUM.start + 1]]);
    let updated = updated_checksum(checksum, old, new);
    header[CHECKSUM].copy_from_slice(&updated.to_be_bytes());
}

fn read(header: &[u8], place: &Range<usize>) -> u32 {
    header[place.clone()].iter().fold(0, |value, &byte| value << 8 | u32::from(byte))
}

/// The checksum after one 32-bit field changed (RFC 1624, equation 3).
fn updated_checksum(checksum: u16, old: u32, new: u32) -> u16 {
    let halves = |value: u32| (value >> 16) + (value & 0xffff);
    let mut sum = u32::from(!checksum) + halves(!old) + halves(new);
    while sum > 0xffff {
        sum = halves(sum);
    }
    !(sum as u16)
}
