//! A replica's log: a snapshot and the entries after it.

use serde::{Deserialize, Serialize};

use crate::node::ReplicaId;

/// An election term. Each term has at most one leader.
pub type Term = u64;
/// A position in the log. The first entry has index 1.
pub type Index = u64;

/// The replicated state, to which committed commands are applied.
pub trait StateMachine: Clone {
    /// A change of the state.
    type Command: Clone + PartialEq + std::fmt::Debug;

    /// Applies one committed command. Must be deterministic: the result may depend
    /// only on the current state and the command.
    fn apply(&mut self, command: &Self::Command);
}

/// The content of a log entry.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Payload<C> {
    /// No content. A new leader first commits such an entry, and a leader appends
    /// one to confirm which voters are reachable.
    Nothing,
    /// A command for the state machine.
    Command(C),
    /// The voters from this entry on, sorted.
    Voters(Vec<ReplicaId>),
}

/// A log entry.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry<C> {
    /// The term of the leader that created the entry.
    pub term: Term,
    /// The content.
    pub payload: Payload<C>,
}

/// The state after applying all entries up to an index.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Snapshot<M> {
    /// The last index that the snapshot covers.
    pub index: Index,
    /// The term of the entry at that index.
    pub term: Term,
    /// The voters at that index.
    pub voters: Vec<ReplicaId>,
    /// The state machine at that index.
    pub machine: M,
}

/// A replica's log: a snapshot and the entries that follow it.
#[derive(Clone, Debug)]
pub struct Log<M: StateMachine> {
    snapshot: Snapshot<M>,
    entries: Vec<Entry<M::Command>>,
}

impl<M: StateMachine> Log<M> {
    /// Creates a log that starts from a snapshot and has no entries.
    pub fn new(snapshot: Snapshot<M>) -> Self {
        Self { snapshot, entries: Vec::new() }
    }

    /// Returns the snapshot that the log starts from.
    pub fn snapshot(&self) -> &Snapshot<M> {
        &self.snapshot
    }

    /// Returns the index of the last entry, or of the snapshot if there are none.
    pub fn last_index(&self) -> Index {
        self.snapshot.index + self.entries.len() as u64
    }

    /// Returns the term of the last entry, or of the snapshot if there are none.
    pub fn last_term(&self) -> Term {
        self.entries.last().map_or(self.snapshot.term, |entry| entry.term)
    }

    /// Returns the term at an index, or `None` if the index is compacted or beyond
    /// the end of the log.
    pub fn term_at(&self, index: Index) -> Option<Term> {
        if index == self.snapshot.index {
            return Some(self.snapshot.term);
        }
        self.entry(index).map(|entry| entry.term)
    }

    /// Returns the entry at an index, or `None` if the index is compacted or beyond
    /// the end of the log.
    pub fn entry(&self, index: Index) -> Option<&Entry<M::Command>> {
        let offset = index.checked_sub(self.snapshot.index + 1)?;
        self.entries.get(usize::try_from(offset).ok()?)
    }

    /// Returns up to `limit` entries after an index, or `None` if the index precedes
    /// the snapshot or is beyond the end of the log.
    pub fn entries_after(&self, index: Index, limit: usize) -> Option<Vec<Entry<M::Command>>> {
        let offset = usize::try_from(index.checked_sub(self.snapshot.index)?).ok()?;
        let rest = self.entries.get(offset..)?;
        Some(rest.iter().take(limit).cloned().collect())
    }

    /// Appends an entry and returns its index.
    pub fn push(&mut self, entry: Entry<M::Command>) -> Index {
        self.entries.push(entry);
        self.last_index()
    }

    /// Removes all entries after `index`.
    pub fn truncate_after(&mut self, index: Index) {
        let keep = index.saturating_sub(self.snapshot.index);
        self.entries.truncate(usize::try_from(keep).unwrap_or(usize::MAX));
    }

    /// Returns the voters of the latest membership entry, committed or not, and the
    /// index of that entry; without one, those of the snapshot.
    pub fn voters(&self) -> (&[ReplicaId], Index) {
        for (offset, entry) in self.entries.iter().enumerate().rev() {
            if let Payload::Voters(voters) = &entry.payload {
                return (voters, self.snapshot.index + 1 + offset as u64);
            }
        }
        (&self.snapshot.voters, self.snapshot.index)
    }

    /// Replaces the whole log with a snapshot.
    pub fn install(&mut self, snapshot: Snapshot<M>) {
        self.snapshot = snapshot;
        self.entries.clear();
    }

    /// Moves the snapshot forward to `index` and drops the entries up to there.
    /// `machine` is the state at `index`.
    pub fn compact(&mut self, index: Index, machine: M) {
        let Some(term) = self.term_at(index) else {
            return;
        };
        if index <= self.snapshot.index {
            return;
        }
        let count = (index - self.snapshot.index) as usize;
        let mut voters = self.snapshot.voters.clone();
        for entry in self.entries.drain(..count) {
            if let Payload::Voters(new_voters) = entry.payload {
                voters = new_voters;
            }
        }
        self.snapshot = Snapshot { index, term, voters, machine };
    }
}
