//! What sources say about the store, and what that changed.

use musli::{Decode, Encode};

use crate::Millis;
use crate::evacuation::ZoneNews;
use crate::model::{Configuration, TargetRecord};
use crate::position::Position;
use crate::succession::VersionedTarget;

/// A configuration with the position of its write.
///
/// The operator's version orders configurations, not the position: a store that came back
/// from a copy states an older one, and the operator writes the newest again.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct VersionedConfiguration {
    /// The position of the write.
    pub position: Position,
    /// The configuration written.
    pub configuration: Configuration,
}

/// What one source says about the store.
#[derive(Clone, Debug, Default, PartialEq, Eq, Encode, Decode)]
pub struct Update {
    /// The update holds every change after this position.
    pub after: Position,
    /// Up to this position; the start if the source does not know all changes of any span.
    pub through: Position,
    /// Whether the update lists everything; what it lacks is not in the store.
    pub complete: bool,
    /// Whether targets that came and went in the span may be missing, as the source knows
    /// a part of it by a listing alone.
    pub skips: bool,
    /// Milliseconds since the store itself confirmed `through`.
    pub age_ms: u64,
    /// The configuration, if it changed in this span.
    pub configuration: Option<VersionedConfiguration>,
    /// Targets that changed in this span.
    pub targets: Vec<VersionedTarget>,
    /// Evacuated zones.
    pub zones: ZoneNews,
}

impl Update {
    /// The same after `elapsed_ms` on its way from the source.
    pub fn delayed_by(self, elapsed_ms: Millis) -> Self {
        Self { age_ms: self.age_ms.saturating_add(elapsed_ms), ..self }
    }
}

/// What an update changed in the replica, for logs and dependents.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
    /// A configuration came into force.
    Configuration {
        /// Its version.
        version: u64,
        /// The position of its write.
        position: Position,
    },
    /// A target's record appeared or changed.
    Target {
        /// The target's identifier.
        id: String,
        /// The record now known.
        record: TargetRecord,
        /// Whether it is another life of a target that was known.
        restarted: bool,
    },
    /// A target's record left the store.
    Removed {
        /// The target's identifier.
        id: String,
        /// The last record known.
        record: Option<TargetRecord>,
    },
    /// The targets of a zone are to get no new flows from now on.
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
    /// The change that brought about what is now known of a target.
    pub(crate) fn of_target(target: &VersionedTarget, restarted: bool) -> Self {
        let id = target.id.clone();
        match (&target.record, target.present) {
            (Some(record), true) => Self::Target { id, record: record.clone(), restarted },
            (record, _) => Self::Removed { id, record: record.clone() },
        }
    }
}
