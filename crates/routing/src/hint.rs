//! Holder hints: target identifiers carried in TCP timestamps and sequence numbers.
//!
//! An agent sets the timestamp value (TSval, RFC 7323) of every segment that it sends, and the
//! client echoes it (TSecr) in its own segments. The low [`TARGET_BITS`] bits identify the agent's
//! target. The bits above count seconds, so that the value increases and the client's protection
//! against wrapped sequence numbers (PAWS) works for flows that are idle for up to three days
//! (2^31 / 2^13 seconds).
//!
//! Clients without timestamps still acknowledge the agent's sequence numbers. The high bits of the
//! initial sequence number identify the target, masked with the flow's keyed hash, so that an
//! off-path attacker can guess them no better than random numbers. The hint remains valid for at
//! least the first [`HINT_VALID_BYTES`] bytes that the agent sends on a flow.

use weirhinge_config::TargetId;

use crate::hash::mix;

/// Number of bits in a hint that identify the target.
const TARGET_BITS: u32 = 13;
/// Mask of the target bits of a timestamp.
const TARGET_MASK: u32 = (1 << TARGET_BITS) - 1;

/// Number of low bits of a sequence number, below the target bits, that count bytes.
const BYTE_COUNT_BITS: u32 = u32::BITS - TARGET_BITS;
/// Bytes that an agent can send on a flow before its sequence numbers identify another target.
pub const HINT_VALID_BYTES: u32 = 1 << (BYTE_COUNT_BITS - 1);
/// Domain separator between the sequence number mask and other uses of a flow's hash.
const SEQUENCE_DOMAIN: u64 = 0x5e9e;

/// A target identified by a TCP timestamp or sequence number. It is only a hint: an agent that
/// receives a hinted packet still checks whether it holds the flow.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HolderHint(pub TargetId);

impl HolderHint {
    /// Returns the timestamp value to send when a monotonic clock reads `seconds`.
    pub fn timestamp(self, seconds: u64) -> u32 {
        ((seconds as u32) << TARGET_BITS) | (u32::from(self.0.0) & TARGET_MASK)
    }

    /// Returns the initial sequence number of a flow at the target. `random` must come from a
    /// cryptographically secure source.
    pub fn initial_sequence(self, flow_hash: u64, random: u32) -> u32 {
        let masked_target = (u32::from(self.0.0) & TARGET_MASK) ^ sequence_mask(flow_hash);
        (masked_target << BYTE_COUNT_BITS) | (random % HINT_VALID_BYTES)
    }

    /// Extracts the hint from an acknowledgment number sent by the flow's client.
    pub fn from_acknowledgment(acknowledgment: u32, flow_hash: u64) -> Self {
        let target = (acknowledgment >> BYTE_COUNT_BITS) ^ sequence_mask(flow_hash);
        Self(TargetId(target as u16))
    }

    /// Extracts the hint from an echoed timestamp.
    pub fn from_timestamp_echo(echo: u32) -> Self {
        Self(TargetId((echo & TARGET_MASK) as u16))
    }
}

/// Returns the mask that conceals the target in a flow's sequence numbers.
fn sequence_mask(flow_hash: u64) -> u32 {
    mix(flow_hash, SEQUENCE_DOMAIN) as u32 & TARGET_MASK
}
