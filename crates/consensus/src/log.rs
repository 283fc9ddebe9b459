//! The log of one replica: a snapshot and the entries after it.

use serde::{Deserialize, Serialize};

use crate::node::ReplicaId;

/// A term of office; at most one leader in each.
pub type Term = u64;
/// A place in the log; the first entry has 1.
pub type Index = u64;

/// What the committed commands are applied to.
pub trait Machine: Clone {
    /// A command.
    type Command: Clone + PartialEq + std::fmt::Debug;

    /// Applies one committed command. Must depend on nothing but both.
    fn apply(&mut self, command: &Self::Command);
}

/// What an entry says.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Payload<C> {
    /// Nothing; a new leader commits one such entry first.
    Nothing,
    /// A command for the machine.
    Command(C),
    /// The voters from here on, sorted.
    Voters(Vec<ReplicaId>),
}

/// One entry of the log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry<C> {
    /// The term in which a leader created it.
    pub term: Term,
    /// What it says.
    pub payload: Payload<C>,
}

/// The state after all entries up to an index.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Snapshot<M> {
    /// The last index that the snapshot covers.
    pub index: Index,
    /// The term of the entry at that index.
    pub term: Term,
    /// The voters at that index.
    pub voters: Vec<ReplicaId>,
    /// The machine's state at that index.
    pub machine: M,
}

/// A replica's log.
#[derive(Clone, Debug)]
pub struct Log<M: Machine> {
    snapshot: Snapshot<M>,
    entries: Vec<Entry<M::Command>>,
}

impl<M: Machine> Log<M> {
    /// A log that starts from a snapshot.
    pub fn new(snapshot: Snapshot<M>) -> Self {
        Self { snapshot, entries: Vec::new() }
    }

    /// The snapshot that the log starts from.
    pub fn snapshot(&self) -> &Snapshot<M> {
        &self.snapshot
    }

    /// The last index.
    pub fn last_index(&self) -> Index {
        self.snapshot.index + self.entries.len() as u64
    }

    /// The term of the last entry.
    pub fn last_term(&self) -> Term {
        self.entries.last().map_or(self.snapshot.term, |entry| entry.term)
    }

    /// The term at an index, if the log still or already has it.
    pub fn term_at(&self, index: Index) -> Option<Term> {
        if index == self.snapshot.index {
            return Some(self.snapshot.term);
        }
        self.entry(index).map(|entry| entry.term)
    }

    /// The entry at an index, if the log still or already has it.
    pub fn entry(&self, index: Index) -> Option<&Entry<M::Command>> {
        let place = index.checked_sub(self.snapshot.index + 1)?;
        self.entries.get(usize::try_from(place).ok()?)
    }

    /// The entries behind an index, at most `limit`; none if the log has
    /// forgotten where they start.
    pub fn entries_after(&self, index: Index, limit: usize) -> Option<Vec<Entry<M::Command>>> {
        let place = usize::try_from(index.checked_sub(self.snapshot.index)?).ok()?;
        let rest = self.entries.get(place..)?;
        Some(rest.iter().take(limit).cloned().collect())
    }

    /// Adds an entry and returns its index.
    pub fn push(&mut self, entry: Entry<M::Command>) -> Index {
        self.entries.push(entry);
        self.last_index()
    }

    /// Drops every entry behind `index`.
    pub fn truncate_after(&mut self, index: Index) {
        let keep = index.saturating_sub(self.snapshot.index);
        self.entries.truncate(usize::try_from(keep).unwrap_or(usize::MAX));
    }

    /// The voters by the latest entry that names them, committed or not, and
    /// that entry's index.
    pub fn voters(&self) -> (&[ReplicaId], Index) {
        for (place, entry) in self.entries.iter().enumerate().rev() {
            if let Payload::Voters(voters) = &entry.payload {
                return (voters, self.snapshot.index + 1 + place as u64);
            }
        }
        (&self.snapshot.voters, self.snapshot.index)
    }

    /// Replaces the whole log by a snapshot.
    pub fn install(&mut self, snapshot: Snapshot<M>) {
        self.snapshot = snapshot;
        self.entries.clear();
    }

    /// Moves the snapshot forward to `index`, whose state is `machine`.
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
            if let Payload::Voters(named) = entry.payload {
                voters = named;
            }
        }
        self.snapshot = Snapshot { index, term, voters, machine };
    }
}
