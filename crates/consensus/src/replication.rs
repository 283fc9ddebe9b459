//! Replication of the leader's log to other replicas, and applying of committed
//! entries to the state machine.

use std::collections::BTreeSet;

use crate::log::{Entry, Index, Payload, Snapshot, StateMachine, Term};
use crate::message::Message;
use crate::node::{Node, Output, ReplicaId, Role};

/// Maximum number of entries in one message.
const MAX_ENTRIES_PER_MESSAGE: usize = 64;

impl<M: StateMachine> Node<M> {
    /// The leader's part of a tick: sends heartbeats, and steps down if it has not
    /// received an answer from a majority for two election timeouts.
    pub(crate) fn tick_leader(&mut self) {
        if !self.has_contact_to_quorum() {
            let term = self.term;
            return self.become_follower(term, None);
        }
        if self.now >= self.heartbeat_due {
            self.heartbeat_due = self.now + self.options.heartbeat_interval;
            self.send_to_all();
        }
    }

    fn has_contact_to_quorum(&self) -> bool {
        let limit = self.options.election_timeout * 2;
        let mut reachable: BTreeSet<ReplicaId> = self
            .progress
            .iter()
            .filter(|(_, progress)| self.now.saturating_sub(progress.last_answer) < limit)
            .map(|(&id, _)| id)
            .collect();
        reachable.insert(self.id);
        self.is_quorum(&reachable)
    }

    pub(crate) fn send_to_all(&mut self) {
        let mut others: BTreeSet<ReplicaId> = self.other_voters().into_iter().collect();
        others.extend(self.learners.iter().filter(|&&id| id != self.id));
        self.progress.retain(|id, _| others.contains(id));
        for other in others {
            self.send_log(other);
        }
    }

    fn send_log(&mut self, to: ReplicaId) {
        let next = self.progress_of(to).next;
        let previous_index = next.saturating_sub(1);
        let previous_term = self.log.term_at(previous_index);
        let entries = self.log.entries_after(previous_index, MAX_ENTRIES_PER_MESSAGE);
        let term = self.term;
        let message = match (previous_term, entries) {
            (Some(previous_term), Some(entries)) => Message::Append {
                term,
                previous_index,
                previous_term,
                entries,
                commit: self.commit,
            },
            _ => Message::Install { term, snapshot: self.log.snapshot().clone() },
        };
        self.send(to, message);
    }

    pub(crate) fn handle_append(
        &mut self,
        from: ReplicaId,
        term: Term,
        previous_index: Index,
        previous_term: Term,
        entries: Vec<Entry<M::Command>>,
        commit: Index,
    ) {
        if !self.accepts_leader(from, term) {
            return self.send_append_answer(from, false, 0);
        }
        // Entries covered by the snapshot are committed, so they match the leader's.
        let covered = self.log.snapshot().index;
        if previous_index >= covered && self.log.term_at(previous_index) != Some(previous_term) {
            let retry = self.log.last_index().min(previous_index.saturating_sub(1));
            return self.send_append_answer(from, false, retry.max(self.commit));
        }
        let last = previous_index + entries.len() as u64;
        for (offset, entry) in entries.into_iter().enumerate() {
            let index = previous_index + 1 + offset as u64;
            if index <= covered || self.log.term_at(index) == Some(entry.term) {
                continue;
            }
            self.log.truncate_after(index - 1);
            self.log.push(entry);
        }
        self.commit = self.commit.max(commit.min(last));
        self.apply_committed();
        self.send_append_answer(from, true, last);
    }

    pub(crate) fn handle_install(&mut self, from: ReplicaId, term: Term, snapshot: Snapshot<M>) {
        if !self.accepts_leader(from, term) {
            return self.send_append_answer(from, false, 0);
        }
        let index = snapshot.index;
        if index > self.commit {
            self.commit = index;
            self.applied = index;
            self.machine = snapshot.machine.clone();
            self.log.install(snapshot);
        }
        self.send_append_answer(from, true, index);
    }

    fn accepts_leader(&mut self, from: ReplicaId, term: Term) -> bool {
        if term < self.term {
            return false;
        }
        self.become_follower(term, Some(from));
        self.leader_seen_at = Some(self.now);
        true
    }

    fn send_append_answer(&mut self, to: ReplicaId, success: bool, index: Index) {
        let term = self.term;
        self.send(to, Message::AppendAnswer { term, success, index });
    }

    pub(crate) fn handle_append_answer(
        &mut self,
        from: ReplicaId,
        term: Term,
        success: bool,
        index: Index,
    ) {
        let is_tracked = self.progress.contains_key(&from);
        if self.role != Role::Leader || term != self.term || !is_tracked {
            return;
        }
        let (now, last) = (self.now, self.log.last_index());
        let progress = self.progress_of(from);
        progress.last_answer = now;
        progress.answered = true;
        if !success {
            progress.next = (index + 1).max(progress.matched + 1).min(last + 1);
            return self.send_log(from);
        }
        progress.matched = progress.matched.max(index.min(last));
        progress.next = progress.matched + 1;
        let behind = progress.next <= last;
        self.advance_commit();
        if behind {
            self.send_log(from);
        }
    }

    /// Commits the entries that a majority holds. Replicas are counted only for
    /// entries of the leader's own term; earlier entries are committed with these
    /// (Raft's commit rule).
    pub(crate) fn advance_commit(&mut self) {
        for index in (self.commit + 1..=self.log.last_index()).rev() {
            if self.log.term_at(index) != Some(self.term) {
                return;
            }
            let mut holders: BTreeSet<ReplicaId> = self
                .progress
                .iter()
                .filter(|(_, progress)| progress.matched >= index)
                .map(|(&id, _)| id)
                .collect();
            holders.insert(self.id);
            if self.is_quorum(&holders) {
                self.commit = index;
                self.apply_committed();
                return;
            }
        }
    }

    fn apply_committed(&mut self) {
        while self.applied < self.commit {
            let index = self.applied + 1;
            let Some(entry) = self.log.entry(index) else {
                return;
            };
            if let Payload::Command(command) = &entry.payload {
                let command = command.clone();
                self.machine.apply(&command);
                self.outputs.push(Output::Committed { index, command });
            }
            self.applied = index;
        }
        self.step_down_if_removed();
        self.compact_if_due();
    }

    /// A leader that a committed membership change has removed steps down.
    fn step_down_if_removed(&mut self) {
        let (_, voters_index) = self.log.voters();
        if self.role == Role::Leader && voters_index <= self.commit && !self.is_voter(self.id) {
            let term = self.term;
            self.become_follower(term, None);
        }
    }

    fn compact_if_due(&mut self) {
        let compactable = self.applied.saturating_sub(self.log.snapshot().index);
        if compactable as usize >= self.options.compact_after {
            self.log.compact(self.applied, self.machine.clone());
        }
    }
}
