//! The holder hint: a target identifier in the low bits of TCP timestamps.
//!
//! An agent sets the timestamp value (TSval, RFC 7323) of every segment that it
//! sends; the caller echoes it (TSecr) in every segment that it answers with.
//! The low [`IDENTIFIER_BITS`] name the agent's target; the bits above count
//! seconds, so that the value grows and the caller's protection against wrapped
//! sequence numbers (PAWS) stays sound for flows idle up to three days
//! (2^31 / 2^13 seconds).

use weirhinge_config::TargetId;

/// Bits of a timestamp that name the target.
const IDENTIFIER_BITS: u32 = 13;
/// Mask of those bits.
const IDENTIFIER_MASK: u32 = (1 << IDENTIFIER_BITS) - 1;

/// A target named in a TCP timestamp. Only a hint: whoever receives a packet
/// because of it still looks up whether it holds the flow.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HolderHint(pub TargetId);

impl HolderHint {
    /// The timestamp value for a moment, in whole seconds of any steady clock.
    pub fn timestamp(self, seconds: u64) -> u32 {
        ((seconds as u32) << IDENTIFIER_BITS) | (u32::from(self.0.0) & IDENTIFIER_MASK)
    }

    /// The hint in an echoed timestamp.
    pub fn from_echo(echo: u32) -> Self {
        Self(TargetId((echo & IDENTIFIER_MASK) as u16))
    }
}
