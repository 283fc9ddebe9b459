//! Updates from the store and from peers, and the changes that they make.

use musli::{Decode, Encode};

use crate::Millis;
use crate::evacuation::ZoneUpdate;
use crate::model::{Configuration, TargetRecord};
use crate::position::Position;
use crate::removed_target::RemovedTarget;
use crate::target_entry::VersionedTarget;

/// A configuration with the position of its write.
///
/// Configurations are ordered by the operator's version, not by position: a store that was restored
/// from a backup may contain an older one, and the operator then writes the newest one again.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct VersionedConfiguration {
    /// The position of the write.
    pub position: Position,
    /// The configuration itself.
    pub configuration: Configuration,
}

/// Age of an update that the store has not confirmed as current.
pub const UNCONFIRMED_AGE_MS: u64 = u64::MAX;

/// An update about the store's contents from the store itself or from a peer.
#[derive(Clone, Debug, Default, PartialEq, Eq, Encode, Decode)]
pub struct Update {
    /// The update contains every change after this position.
    pub after: Position,
    /// The update contains every change up to this position; the start position if the source does
    /// not know all changes of any range.
    pub through: Position,
    /// Whether the update is a complete listing; targets that it lacks are not in the store.
    pub complete: bool,
    /// Whether targets that were added and removed within the range may be missing, because the
    /// source knows part of it only from a listing.
    pub skips: bool,
    /// Milliseconds since the store itself confirmed `through`, or [`UNCONFIRMED_AGE_MS`].
    pub age_ms: u64,
    /// The configuration, if it changed within the range.
    pub configuration: Option<VersionedConfiguration>,
    /// Targets that changed within the range.
    pub targets: Vec<VersionedTarget>,
    /// Targets removed up to `through`, if the receiver requested them.
    #[musli(default, skip_encoding_if = Vec::is_empty)]
    pub removed: Vec<RemovedTarget>,
    /// Milliseconds for which the source has known all removals, if `removed` contains them.
    #[musli(default, skip_encoding_if = Option::is_none)]
    pub removals_known_ms: Option<Millis>,
    /// Evacuated zones.
    pub zones: ZoneUpdate,
}

impl Update {
    /// Returns the update with its age increased by the time spent in transit.
    pub fn delayed_by(self, elapsed_ms: Millis) -> Self {
        Self { age_ms: self.age_ms.saturating_add(elapsed_ms), ..self }
    }
}

/// A change that an update made to the replica, for logs and dependents.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
    /// A configuration took effect.
    Configuration {
        /// Its version.
        version: u64,
        /// The position of its write.
        position: Position,
    },
    /// A target's record was added or changed.
    Target {
        /// The target's identifier.
        id: String,
        /// The current record.
        record: TargetRecord,
        /// Whether this is another incarnation of a known target.
        restarted: bool,
    },
    /// A target's record was removed from the store.
    Removed {
        /// The target's identifier.
        id: String,
        /// The last known record.
        record: Option<TargetRecord>,
    },
    /// A peer reported a target that was removed before this daemon could learn of it.
    RemovedEarlier {
        /// The target's identifier.
        id: String,
    },
    /// A zone's evacuation started: its targets must not get new flows.
    ZoneEvacuated {
        /// The zone's name.
        zone: String,
    },
    /// A zone's evacuation ended.
    ZoneReturned {
        /// The zone's name.
        zone: String,
    },
}

impl Change {
    /// Returns the change that led to the current state of a target.
    pub(crate) fn of_target(target: &VersionedTarget, restarted: bool) -> Self {
        let id = target.id.clone();
        match (&target.record, target.present) {
            (Some(record), true) => Self::Target { id, record: record.clone(), restarted },
            (record, _) => Self::Removed { id, record: record.clone() },
        }
    }
}
