//! Evacuated zones: zones whose targets must not get new flows, as set by the operator in the
//! store.

use std::collections::{BTreeMap, BTreeSet};

use musli::{Decode, Encode};

use crate::position::Position;

/// Maximum number of evacuated zones, far above what a deployment has. It bounds the memory and the
/// size of each message between daemons if the store holds wrong entries.
const MAX_EVACUATED_ZONES: usize = 64;

/// The evacuated zones as of one position of the store.
///
/// The set is always complete, so any newer set replaces an older one: a daemon that missed changes
/// or lost all its state is up to date after a single message from any peer.
#[derive(Clone, Debug, Default, PartialEq, Eq, Encode, Decode)]
pub struct EvacuatedZones {
    /// The position up to which all changes are included.
    pub as_of: Position,
    /// Names of the zones, sorted.
    zones: BTreeSet<String>,
}

/// The start or end of the evacuation of a zone.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct ZoneChange {
    /// The zone's name.
    pub zone: String,
    /// The position of the change.
    pub position: Position,
    /// Whether the evacuation started; otherwise it ended.
    pub begins: bool,
}

/// An update about evacuated zones from the store or a peer.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub enum ZoneUpdate {
    /// The changes in the range that the enclosing update covers.
    Changes(Vec<ZoneChange>),
    /// The complete set.
    Whole(EvacuatedZones),
}

impl Default for ZoneUpdate {
    fn default() -> Self {
        Self::Changes(Vec::new())
    }
}

impl EvacuatedZones {
    /// Creates a set of zones as of a position. Zones beyond the maximum number are ignored.
    pub fn new(as_of: Position, zones: impl IntoIterator<Item = String>) -> Self {
        Self { as_of, zones: zones.into_iter().take(MAX_EVACUATED_ZONES).collect() }
    }

    /// Whether a zone is evacuated.
    pub fn contains(&self, zone: &str) -> bool {
        self.zones.contains(zone)
    }

    /// Iterates over the names of the zones, in sorted order.
    pub fn iter(&self) -> impl Iterator<Item = &str> {
        self.zones.iter().map(String::as_str)
    }

    /// Returns the number of evacuated zones.
    pub fn len(&self) -> usize {
        self.zones.len()
    }

    /// Whether no zone is evacuated.
    pub fn is_empty(&self) -> bool {
        self.zones.is_empty()
    }

    /// Whether this set is newer than `known` and differs from it.
    pub fn has_updates_for(&self, known: &Self) -> bool {
        self.as_of > known.as_of && self.zones != known.zones
    }

    /// Returns the set after an update that covers the changes from `after` to `through`; none if
    /// the update is older than this set or would leave a gap.
    pub(crate) fn updated(
        &self,
        update: ZoneUpdate,
        after: Position,
        through: Position,
    ) -> Option<Self> {
        match update {
            ZoneUpdate::Whole(zones) => (zones.as_of > self.as_of).then_some(zones),
            ZoneUpdate::Changes(changes) => {
                let is_gapless = after <= self.as_of && through > self.as_of;
                is_gapless.then(|| self.with_changes(changes, through))
            }
        }
    }

    /// Returns the set with the state of some zones overridden. The map holds whether each of them
    /// is evacuated.
    pub(crate) fn with_overrides(&self, overrides: &BTreeMap<String, bool>) -> Self {
        let mut zones = self.clone();
        for (zone, is_evacuated) in overrides {
            if *is_evacuated {
                zones.zones.insert(zone.clone());
            } else {
                zones.zones.remove(zone);
            }
        }
        zones
    }

    /// Returns the zones whose state differs in `next`, each with whether it is evacuated here.
    pub(crate) fn differences(&self, next: &Self) -> BTreeMap<String, bool> {
        let differing = self.zones.symmetric_difference(&next.zones);
        differing.map(|zone| (zone.clone(), self.contains(zone))).collect()
    }

    fn with_changes(&self, changes: Vec<ZoneChange>, through: Position) -> Self {
        let mut next = Self { as_of: through, zones: self.zones.clone() };
        // Changes up to `as_of` are already part of the set.
        for change in changes.into_iter().filter(|change| change.position > self.as_of) {
            if !change.begins {
                next.zones.remove(&change.zone);
            } else if next.zones.len() < MAX_EVACUATED_ZONES {
                next.zones.insert(change.zone);
            }
        }
        next
    }
}
