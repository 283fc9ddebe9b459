//! Elections: pre-votes, votes and changes of role.

use std::collections::BTreeSet;

use crate::log::{Index, Payload, StateMachine, Term};
use crate::message::Message;
use crate::node::{Node, Progress, ReplicaId, Role};

impl<M: StateMachine> Node<M> {
    /// Asks the other voters whether they would vote for this replica. Without this
    /// step, a replica that alone lost contact to the leader would depose it.
    pub(crate) fn start_pre_vote(&mut self) {
        self.role = Role::PreCandidate;
        self.leader = None;
        self.votes = BTreeSet::from([self.id]);
        self.reset_election_timer();
        if self.is_quorum(&self.votes) {
            return self.start_election();
        }
        let (term, last_index, last_term) =
            (self.term + 1, self.log.last_index(), self.log.last_term());
        for voter in self.other_voters() {
            self.send(voter, Message::PreVote { term, last_index, last_term });
        }
    }

    fn start_election(&mut self) {
        self.role = Role::Candidate;
        self.term += 1;
        self.voted_for = Some(self.id);
        self.votes = BTreeSet::from([self.id]);
        self.reset_election_timer();
        if self.is_quorum(&self.votes) {
            return self.become_leader();
        }
        let (term, last_index, last_term) =
            (self.term, self.log.last_index(), self.log.last_term());
        for voter in self.other_voters() {
            self.send(voter, Message::Vote { term, last_index, last_term });
        }
    }

    /// Whether to ignore a vote request because this replica has contact to a live
    /// leader. Keeps a replica that was removed from the group, or partitioned for a
    /// while, from deposing the leader.
    pub(crate) fn ignores_vote_request(&self, message: &Message<M>) -> bool {
        matches!(message, Message::Vote { .. }) && self.has_contact_to_leader()
    }

    fn has_contact_to_leader(&self) -> bool {
        if self.role == Role::Leader {
            return true;
        }
        self.leader_seen_at
            .is_some_and(|seen_at| self.now.saturating_sub(seen_at) < self.options.election_timeout)
    }

    fn is_log_up_to_date(&self, last_index: Index, last_term: Term) -> bool {
        (last_term, last_index) >= (self.log.last_term(), self.log.last_index())
    }

    pub(crate) fn handle_pre_vote(
        &mut self,
        from: ReplicaId,
        term: Term,
        last_index: Index,
        last_term: Term,
    ) {
        let granted = term > self.term
            && !self.has_contact_to_leader()
            && self.is_log_up_to_date(last_index, last_term);
        let own_term = self.term;
        self.send(from, Message::PreVoteAnswer { term, own_term, granted });
    }

    pub(crate) fn handle_pre_vote_answer(
        &mut self,
        from: ReplicaId,
        term: Term,
        own_term: Term,
        granted: bool,
    ) {
        if own_term > self.term && self.role != Role::Leader {
            return self.become_follower(own_term, None);
        }
        if self.role != Role::PreCandidate || term != self.term + 1 || !granted {
            return;
        }
        self.votes.insert(from);
        if self.is_quorum(&self.votes) {
            self.start_election();
        }
    }

    pub(crate) fn handle_vote(
        &mut self,
        from: ReplicaId,
        term: Term,
        last_index: Index,
        last_term: Term,
    ) {
        let may_vote = self.voted_for.is_none_or(|voted| voted == from);
        let granted = term == self.term
            && self.role == Role::Follower
            && may_vote
            && self.is_log_up_to_date(last_index, last_term);
        if granted {
            self.voted_for = Some(from);
            self.reset_election_timer();
        }
        let term = self.term;
        self.send(from, Message::VoteAnswer { term, granted });
    }

    pub(crate) fn handle_vote_answer(&mut self, from: ReplicaId, term: Term, granted: bool) {
        if self.role != Role::Candidate || term != self.term || !granted {
            return;
        }
        self.votes.insert(from);
        if self.is_quorum(&self.votes) {
            self.become_leader();
        }
    }

    pub(crate) fn become_follower(&mut self, term: Term, leader: Option<ReplicaId>) {
        if term > self.term {
            self.term = term;
            self.voted_for = None;
        }
        self.role = Role::Follower;
        self.leader = leader;
        self.reset_election_timer();
    }

    fn become_leader(&mut self) {
        self.role = Role::Leader;
        self.leader = Some(self.id);
        self.progress.clear();
        self.barrier = None;
        self.heartbeat_due = self.now;
        // Entries of earlier terms are committed only together with an entry of the
        // leader's own term.
        self.append_entry(Payload::Nothing);
    }

    /// Returns the progress of a replica that the leader replicates to; starts to
    /// track it if it is new.
    pub(crate) fn progress_of(&mut self, id: ReplicaId) -> &mut Progress {
        let initial = Progress {
            next: self.log.last_index() + 1,
            matched: 0,
            last_answer: self.now,
            answered: false,
        };
        self.progress.entry(id).or_insert(initial)
    }
}
