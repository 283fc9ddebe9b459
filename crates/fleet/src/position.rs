//! Places in the history of the store.

use std::fmt;

use musli::{Decode, Encode};

/// A place in the history of the store: what was written up to a revision of an era.
///
/// A store that comes back from a copy gives revisions out again, for other changes; then
/// its era has risen. So revisions of different eras say nothing about each other, and
/// positions are ordered by era first. The default is the place before all changes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Encode, Decode)]
#[musli(packed)]
pub struct Position {
    /// How often the store came back from a copy.
    pub era: u64,
    /// The store's count of changes within the era.
    pub revision: u64,
}

impl Position {
    /// The place of a revision in an era.
    pub fn new(era: u64, revision: u64) -> Self {
        Self { era, revision }
    }

    /// Whether this is the place before all changes: nothing is known.
    pub fn is_start(self) -> bool {
        self == Self::default()
    }
}

impl fmt::Display for Position {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}:{}", self.era, self.revision)
    }
}
