//! Authenticates frames by a tag, a keyed BLAKE3 hash, so that only holders of a key
//! can send frames, and rejects replayed frames.

use std::collections::HashMap;

use weirhinge_config::ControlKeys;

/// Length of an authentication tag, in bytes.
pub(crate) const TAG_BYTES: usize = 32;

/// Why a frame is rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub(crate) enum FrameAuthError {
    /// The tag matches none of the configured keys, or is incomplete.
    #[error("the frame's tag matches none of the control keys")]
    WrongKey,
    /// A frame with this number or a higher one was already received from this sender.
    #[error("the frame is a replay or out of order")]
    Replayed,
}

/// Returns the frame's bytes, preceded by a tag made with the first key. Without keys
/// the tag is zero.
pub(crate) fn sign(keys: &ControlKeys, frame: &[u8]) -> Vec<u8> {
    let mut signed = match keys.0.first() {
        Some(key) => blake3::keyed_hash(key, frame).as_bytes().to_vec(),
        None => vec![0; TAG_BYTES],
    };
    signed.extend_from_slice(frame);
    signed
}

/// Verifies the tag and returns the frame's bytes. Accepts a tag made with any of the
/// keys, so that keys can be rotated. Without keys any tag is accepted.
pub(crate) fn verify<'a>(keys: &ControlKeys, signed: &'a [u8]) -> Result<&'a [u8], FrameAuthError> {
    let (found, frame) = signed.split_at_checked(TAG_BYTES).ok_or(FrameAuthError::WrongKey)?;
    // Hashes are compared in constant time.
    let is_ours = |key: &[u8; 32]| {
        let found = <[u8; TAG_BYTES]>::try_from(found).map(blake3::Hash::from);
        found.is_ok_and(|found| found == blake3::keyed_hash(key, frame))
    };
    if keys.0.is_empty() || keys.0.iter().any(is_ours) {
        return Ok(frame);
    }
    Err(FrameAuthError::WrongKey)
}

/// Rejects replayed frames: keeps the highest frame number of each sender. A sender's
/// identity is used by one process only, which numbers its frames in increasing
/// order, so a frame whose number is not higher is a replay or was overtaken.
#[derive(Debug, Default)]
pub(crate) struct ReplayGuard {
    highest: HashMap<u64, u64>,
}

impl ReplayGuard {
    pub(crate) fn check(&mut self, sender: u64, number: u64) -> Result<(), FrameAuthError> {
        let highest = self.highest.entry(sender).or_insert(0);
        if number <= *highest {
            return Err(FrameAuthError::Replayed);
        }
        *highest = number;
        Ok(())
    }
}

#[cfg(test)]
#[path = "../tests/frame_auth.rs"]
mod tests;
