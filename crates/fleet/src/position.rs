//! Positions in the history of the store.

use std::fmt;

use musli::{Decode, Encode};

/// A position in the history of the store: all writes up to a revision of an era.
///
/// A store that is restored from a backup reuses revisions for different changes, so each restore
/// starts a new era. Revisions of different eras are not comparable, and positions are ordered by
/// era first. The default is the position before all changes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Encode, Decode)]
#[musli(packed)]
pub struct Position {
    /// How often the store was restored from a backup.
    pub era: u64,
    /// The number of changes within the era, as counted by the store.
    pub revision: u64,
}

impl Position {
    /// Creates the position of a revision in an era.
    pub fn new(era: u64, revision: u64) -> Self {
        Self { era, revision }
    }

    /// Whether this is the position before all changes, at which nothing is known.
    pub fn is_start(self) -> bool {
        self == Self::default()
    }
}

impl fmt::Display for Position {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}:{}", self.era, self.revision)
    }
}
