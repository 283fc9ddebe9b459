//! The holder hint: a target identifier in the low bits of TCP timestamps.
//!
//! An agent sets the timestamp value (TSval, RFC 7323) of every segment that it
//! sends; the caller echoes it (TSecr) in every segment that it answers with.
//! The low [`IDENTIFIER_BITS`] name the agent's target; the bits above count
//! seconds, so that the value grows and the caller's protection against wrapped
//! sequence numbers (PAWS) stays sound for flows idle up to three days
//! (2^31 / 2^13 seconds).
//!
//! Callers without timestamps return another number of the agent's: they acknowledge
//! its sequence numbers. The high bits of the first one name the target, masked by the
//! flow's keyed hash, so that a stranger can guess them no better than a drawn number.
//! The name holds for the first [`NAMED_BYTES`] bytes of a flow at least.

use weirhinge_config::TargetId;

use crate::hash::mix;

/// Bits of a timestamp that name the target.
const IDENTIFIER_BITS: u32 = 13;
/// Mask of those bits.
const IDENTIFIER_MASK: u32 = (1 << IDENTIFIER_BITS) - 1;

/// Bits of a sequence number below those that name the target.
const COUNTING_BITS: u32 = u32::BITS - IDENTIFIER_BITS;
/// Bytes that an agent can send before its sequence numbers name another target.
pub const NAMED_BYTES: u32 = 1 << (COUNTING_BITS - 1);
/// Sets the mask of a flow's sequence numbers apart from other uses of its hash.
const SEQUENCE_DOMAIN: u64 = 0x5e9e;

/// A target named in a TCP timestamp or sequence number. Only a hint: whoever receives a packet
/// because of it still looks up whether it holds the flow.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HolderHint(pub TargetId);

impl HolderHint {
    /// The timestamp value for a moment, in whole seconds of any steady clock.
    pub fn timestamp(self, seconds: u64) -> u32 {
        ((seconds as u32) << IDENTIFIER_BITS) | (u32::from(self.0.0) & IDENTIFIER_MASK)
    }

    /// The first sequence number of a flow at the target. `random` must come from a
    /// secure source.
    pub fn initial_sequence(self, flow_hash: u64, random: u32) -> u32 {
        let name = (u32::from(self.0.0) & IDENTIFIER_MASK) ^ sequence_mask(flow_hash);
        (name << COUNTING_BITS) | (random % NAMED_BYTES)
    }

    /// The hint in the number that a flow's caller acknowledges.
    pub fn from_acknowledgment(acknowledgment: u32, flow_hash: u64) -> Self {
        let name = (acknowledgment >> COUNTING_BITS) ^ sequence_mask(flow_hash);
        Self(TargetId(name as u16))
    }

    /// The hint in an echoed timestamp.
    pub fn from_echo(echo: u32) -> Self {
        Self(TargetId((echo & IDENTIFIER_MASK) as u16))
    }
}

/// What hides the target in a flow's sequence numbers.
fn sequence_mask(flow_hash: u64) -> u32 {
    mix(flow_hash, SEQUENCE_DOMAIN) as u32 & IDENTIFIER_MASK
}
