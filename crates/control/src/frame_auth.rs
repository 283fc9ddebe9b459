//! Seals frames by a keyed hash, so that only holders of a key can send them,
//! and each only once.

use std::collections::HashMap;

use weirhinge_config::ControlKeys;

/// Length of a seal, in bytes.
pub(crate) const SEAL_BYTES: usize = 32;

/// Why a sealed frame is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub(crate) enum SealError {
    /// No key of ours sealed the frame.
    #[error("frame sealed with another key")]
    WrongKey,
    /// A frame with this number or a later one has come from this sender.
    #[error("frame replayed or overtaken")]
    Replayed,
}

/// Puts the seal before the frame's bytes.
pub(crate) fn seal(keys: &ControlKeys, frame: &[u8]) -> Vec<u8> {
    let mut sealed = match keys.0.first() {
        Some(key) => blake3::keyed_hash(key, frame).as_bytes().to_vec(),
        None => vec![0; SEAL_BYTES],
    };
    sealed.extend_from_slice(frame);
    sealed
}

/// Checks the seal and returns the frame's bytes. Without keys any seal does.
pub(crate) fn open<'a>(keys: &ControlKeys, sealed: &'a [u8]) -> Result<&'a [u8], SealError> {
    let (found, frame) = sealed.split_at_checked(SEAL_BYTES).ok_or(SealError::WrongKey)?;
    // The comparison of hashes takes the same time wherever they differ.
    let is_ours = |key: &[u8; 32]| {
        let found = <[u8; SEAL_BYTES]>::try_from(found).map(blake3::Hash::from);
        found.is_ok_and(|found| found == blake3::keyed_hash(key, frame))
    };
    if keys.0.is_empty() || keys.0.iter().any(is_ours) {
        return Ok(frame);
    }
    Err(SealError::WrongKey)
}

/// Remembers the highest number of each sender. An identity lives as long as a
/// process and numbers its frames upwards, so that a lower number is a replay.
#[derive(Debug, Default)]
pub(crate) struct ReplayGuard {
    highest: HashMap<u64, u64>,
}

impl ReplayGuard {
    pub(crate) fn check(&mut self, sender: u64, number: u64) -> Result<(), SealError> {
        let highest = self.highest.entry(sender).or_insert(0);
        if number <= *highest {
            return Err(SealError::Replayed);
        }
        *highest = number;
        Ok(())
    }
}

#[cfg(test)]
#[path = "../tests/frame_auth.rs"]
mod tests;
