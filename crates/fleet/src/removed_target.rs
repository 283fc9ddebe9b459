//! Targets whose records were removed from the store a short time ago. They may still serve the
//! flows that they hold, so a daemon that starts learns of them from its peers.

use musli::{Decode, Encode};

use crate::Millis;
use crate::target_entry::VersionedTarget;

/// How long a removed target is remembered, so that an older report does not restore it and its
/// open flows can still be located.
pub(crate) const REMOVED_TARGET_LIFETIME_MS: Millis = 90_000;

/// A target whose record was removed from the store.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct RemovedTarget {
    /// The removal, with the last known record.
    pub target: VersionedTarget,
    /// Milliseconds for which the target is still to be remembered.
    pub remaining_ms: Millis,
}
