//! Zones whose targets are to get no new flows, as the operator asked in the store.

use std::collections::{BTreeMap, BTreeSet};

use musli::{Decode, Encode};

use crate::position::Position;

/// Most zones that are taken in at once; far more than a deployment has. It bounds what a
/// wrong entry in the store costs in memory and in each message between daemons.
const MOST_ZONES: usize = 64;

/// The evacuated zones as of one position of the store.
///
/// The set is always whole, so that any copy replaces any older one: a daemon that missed
/// changes, or lost all memory, needs a single message from any peer to be up to date.
#[derive(Clone, Debug, Default, PartialEq, Eq, Encode, Decode)]
pub struct EvacuatedZones {
    /// All changes up to this position of the store are taken in.
    pub as_of: Position,
    /// Names of the zones, in order.
    zones: BTreeSet<String>,
}

/// The beginning or end of one zone's evacuation.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct ZoneChange {
    /// The zone's name.
    pub zone: String,
    /// The position of the change.
    pub position: Position,
    /// Whether the evacuation began; else it ended.
    pub begins: bool,
}

/// What a source says about evacuated zones.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub enum ZoneNews {
    /// The changes in the span of the update that this comes with.
    Changes(Vec<ZoneChange>),
    /// All of them.
    Whole(EvacuatedZones),
}

impl Default for ZoneNews {
    fn default() -> Self {
        Self::Changes(Vec::new())
    }
}

impl EvacuatedZones {
    /// These zones, as of this position.
    pub fn new(as_of: Position, zones: impl IntoIterator<Item = String>) -> Self {
        Self { as_of, zones: zones.into_iter().take(MOST_ZONES).collect() }
    }

    /// Whether a zone is evacuated.
    pub fn contains(&self, zone: &str) -> bool {
        self.zones.contains(zone)
    }

    /// The names of the zones, in order.
    pub fn iter(&self) -> impl Iterator<Item = &str> {
        self.zones.iter().map(String::as_str)
    }

    /// Number of zones.
    pub fn len(&self) -> usize {
        self.zones.len()
    }

    /// Whether no zone is evacuated.
    pub fn is_empty(&self) -> bool {
        self.zones.is_empty()
    }

    /// Whether a daemon that knows `known` would learn something from this.
    pub fn is_news_for(&self, known: &Self) -> bool {
        self.as_of > known.as_of && self.zones != known.zones
    }

    /// The set after a source's word for the span from `after` to `through`; none if it
    /// is older than this one or leaves a gap.
    pub(crate) fn updated(
        &self,
        news: ZoneNews,
        after: Position,
        through: Position,
    ) -> Option<Self> {
        match news {
            ZoneNews::Whole(zones) => (zones.as_of > self.as_of).then_some(zones),
            ZoneNews::Changes(changes) => {
                let is_gapless = after <= self.as_of && through > self.as_of;
                is_gapless.then(|| self.changed(changes, through))
            }
        }
    }

    /// The same but for some zones, each with whether it is evacuated.
    pub(crate) fn with(&self, exceptions: &BTreeMap<String, bool>) -> Self {
        let mut zones = self.clone();
        for (zone, is_evacuated) in exceptions {
            if *is_evacuated {
                zones.zones.insert(zone.clone());
            } else {
                zones.zones.remove(zone);
            }
        }
        zones
    }

    /// The zones whose state is another one in `next`, each with its state here.
    pub(crate) fn differences(&self, next: &Self) -> BTreeMap<String, bool> {
        let differing = self.zones.symmetric_difference(&next.zones);
        differing.map(|zone| (zone.clone(), self.contains(zone))).collect()
    }

    fn changed(&self, changes: Vec<ZoneChange>, through: Position) -> Self {
        let mut next = Self { as_of: through, zones: self.zones.clone() };
        // What is older than the set is part of it already.
        for change in changes.into_iter().filter(|change| change.position > self.as_of) {
            if !change.begins {
                next.zones.remove(&change.zone);
            } else if next.zones.len() < MOST_ZONES {
                next.zones.insert(change.zone);
            }
        }
        next
    }
}
