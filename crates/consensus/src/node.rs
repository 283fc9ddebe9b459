//! One replica: its state, and the entry points for time, messages and writes.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use std::time::Duration;

use crate::log::{Entry, Index, Log, Machine, Payload, Snapshot, Term};
use crate::membership::Liveness;
use crate::message::{Envelope, Message};

/// Identifies one start of one process; drawn at random, never used again.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, serde::Serialize, serde::Deserialize,
)]
pub struct ReplicaId(pub u64);

impl fmt::Display for ReplicaId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "replica {:016x}", self.0)
    }
}

/// Times and sizes of a node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NodeOptions {
    /// Time between two heartbeats of a leader.
    pub heartbeat: Duration,
    /// Shortest time without a leader after which a voter stands for election;
    /// the longest is twice as much.
    pub election_timeout: Duration,
    /// Entries kept behind the snapshot before the log is compacted.
    pub compact_after: usize,
    /// Seed of the election time-outs.
    pub seed: u64,
}

/// What a replica is at the moment.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// Follows a leader, or waits for one.
    Follower,
    /// Asks whether it would be elected.
    PreCandidate,
    /// Stands for election.
    Candidate,
    /// Leads.
    Leader,
}

/// Why a write was not taken. Nothing was applied and nothing will be.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ProposeError {
    /// This replica does not lead.
    #[error("not the leader; the leader is {leader:?}")]
    NotLeader {
        /// The leader, if known.
        leader: Option<ReplicaId>,
    },
    /// An earlier membership change is not committed yet, or this leader has
    /// committed nothing in its term yet.
    #[error("an earlier membership change is not committed yet")]
    ChangeInProgress,
    /// The leader first confirms that the new voters have a living majority; try
    /// again in a moment.
    #[error("a majority of the new voters is not confirmed yet")]
    Unconfirmed,
    /// The change would leave no voter, or changes nothing.
    #[error("the change leaves the voters as they are or empty")]
    UselessChange,
}

/// What a node asks of its surroundings.
#[derive(Clone, Debug)]
pub enum Output<M: Machine> {
    /// Send a message; it may be lost, doubled or late.
    Send(Envelope<M>),
    /// A command is committed and applied.
    Committed {
        /// Its index.
        index: Index,
        /// The command.
        command: M::Command,
    },
}

/// What a leader knows of another replica.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Progress {
    /// Next index to send.
    pub(crate) next: Index,
    /// Highest index known to agree.
    pub(crate) matched: Index,
    /// When the replica last answered, or else when the leader began to send.
    pub(crate) last_answer: Duration,
    /// Whether the replica has answered this leader.
    pub(crate) answered: bool,
}

/// An entry by which a leader confirms who lives right now.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Barrier {
    index: Index,
    since: Duration,
}

/// One replica.
pub struct Node<M: Machine> {
    pub(crate) id: ReplicaId,
    pub(crate) options: NodeOptions,
    pub(crate) term: Term,
    pub(crate) voted_for: Option<ReplicaId>,
    pub(crate) role: Role,
    pub(crate) leader: Option<ReplicaId>,
    pub(crate) log: Log<M>,
    pub(crate) commit: Index,
    pub(crate) machine: M,
    pub(crate) applied: Index,
    /// Voters and learners that a leader sends to.
    pub(crate) progress: BTreeMap<ReplicaId, Progress>,
    pub(crate) learners: BTreeSet<ReplicaId>,
    pub(crate) votes: BTreeSet<ReplicaId>,
    pub(crate) now: Duration,
    pub(crate) election_due: Duration,
    pub(crate) heartbeat_due: Duration,
    /// When this replica last heard of a living leader.
    pub(crate) leader_heard: Option<Duration>,
    pub(crate) barrier: Option<Barrier>,
    random: u64,
    pub(crate) outputs: Vec<Output<M>>,
}

impl<M: Machine> Node<M> {
    /// A replica that starts from a snapshot. One that is not among the
    /// snapshot's voters is a learner: it follows and never votes.
    pub fn new(id: ReplicaId, snapshot: Snapshot<M>, options: NodeOptions) -> Self {
        let mut node = Self {
            id,
            options,
            term: snapshot.term,
            voted_for: None,
            role: Role::Follower,
            leader: None,
            commit: snapshot.index,
            machine: snapshot.machine.clone(),
            applied: snapshot.index,
            log: Log::new(snapshot),
            progress: BTreeMap::new(),
            learners: BTreeSet::new(),
            votes: BTreeSet::new(),
            now: Duration::ZERO,
            election_due: Duration::ZERO,
            heartbeat_due: Duration::ZERO,
            leader_heard: None,
            barrier: None,
            random: options.seed ^ id.0,
            outputs: Vec::new(),
        };
        node.reset_election_timer();
        node
    }

    /// This replica's identity.
    pub fn id(&self) -> ReplicaId {
        self.id
    }

    /// What this replica is at the moment.
    pub fn role(&self) -> Role {
        self.role
    }

    /// The current term.
    pub fn term(&self) -> Term {
        self.term
    }

    /// The leader of the current term, if known.
    pub fn leader(&self) -> Option<ReplicaId> {
        self.leader
    }

    /// The voters by this replica's log.
    pub fn voters(&self) -> &[ReplicaId] {
        self.log.voters().0
    }

    /// The highest committed index that this replica knows.
    pub fn commit(&self) -> Index {
        self.commit
    }

    /// The machine with every committed command applied.
    pub fn machine(&self) -> &M {
        &self.machine
    }

    /// The replica's log.
    pub fn log(&self) -> &Log<M> {
        &self.log
    }

    /// Lets time pass; returns what is to be done.
    pub fn tick(&mut self, now: Duration) -> Vec<Output<M>> {
        self.now = now;
        match self.role {
            Role::Leader => self.lead(),
            _ if now >= self.election_due && self.is_voter(self.id) => self.ask_before_election(),
            _ => {}
        }
        self.take_outputs()
    }

    /// Takes in a message; returns what is to be done.
    pub fn receive(&mut self, envelope: Envelope<M>, now: Duration) -> Vec<Output<M>> {
        self.now = now;
        let Envelope { from, message, .. } = envelope;
        if let Some(term) = message.term() {
            if self.ignores_vote(&message) {
                return self.take_outputs();
            }
            if term > self.term {
                self.become_follower(term, None);
            }
        }
        match message {
            Message::PreVote { term, last_index, last_term } => {
                self.handle_pre_vote(from, term, last_index, last_term);
            }
            Message::PreVoteAnswer { term, own_term, granted } => {
                self.handle_pre_vote_answer(from, term, own_term, granted);
            }
            Message::Vote { term, last_index, last_term } => {
                self.handle_vote(from, term, last_index, last_term);
            }
            Message::VoteAnswer { term, granted } => self.handle_vote_answer(from, term, granted),
            Message::Append { term, previous_index, previous_term, entries, commit } => {
                self.handle_append(from, term, previous_index, previous_term, entries, commit);
            }
            Message::Install { term, snapshot } => self.handle_install(from, term, snapshot),
            Message::AppendAnswer { term, success, index } => {
                self.handle_append_answer(from, term, success, index);
            }
        }
        self.take_outputs()
    }

    /// Takes a write, if this replica leads. The write holds once its index is
    /// committed; until then its fate is open.
    ///
    /// # Errors
    /// Why the write was not taken; nothing was applied then.
    pub fn propose(
        &mut self,
        command: M::Command,
    ) -> Result<(Index, Vec<Output<M>>), ProposeError> {
        self.check_leads()?;
        let index = self.append_own(Payload::Command(command));
        Ok((index, self.take_outputs()))
    }

    /// Changes the voters by one replica, if this replica leads.
    ///
    /// # Errors
    /// Why the change was not taken; nothing was changed then.
    pub fn propose_voters(
        &mut self,
        mut voters: Vec<ReplicaId>,
    ) -> Result<(Index, Vec<Output<M>>), ProposeError> {
        self.check_leads()?;
        voters.sort_unstable();
        voters.dedup();
        let (current, since) = self.log.voters();
        let added = voters.iter().filter(|id| !current.contains(id)).count();
        let removed = current.iter().filter(|id| !voters.contains(id)).count();
        if voters.is_empty() || added + removed != 1 {
            return Err(ProposeError::UselessChange);
        }
        // Without an entry of its own term committed, a leader may not know of
        // a change that an earlier leader committed (Ongaro's correction, 2015).
        if since > self.commit || self.log.term_at(self.commit) != Some(self.term) {
            return Err(ProposeError::ChangeInProgress);
        }
        if !self.confirms_majority(&voters) {
            return Err(ProposeError::Unconfirmed);
        }
        self.barrier = None;
        let index = self.append_own(Payload::Voters(voters));
        Ok((index, self.take_outputs()))
    }

    /// Whether a majority of these voters has just taken an entry that was
    /// appended for the purpose. New voters count from the moment of their
    /// entry, committed or not: a change made while a majority of them is dead
    /// could never be committed nor undone.
    fn confirms_majority(&mut self, voters: &[ReplicaId]) -> bool {
        let (now, lifetime) = (self.now, self.options.election_timeout);
        let fresh = self.barrier.filter(|barrier| now.saturating_sub(barrier.since) < lifetime);
        let Some(barrier) = fresh else {
            let index = self.append_own(Payload::Nothing);
            self.barrier = Some(Barrier { index, since: now });
            return false;
        };
        let confirmed = voters
            .iter()
            .filter(|&&id| {
                id == self.id || self.matched(id).is_some_and(|matched| matched >= barrier.index)
            })
            .count();
        2 * confirmed > voters.len()
    }

    /// Sends the log to a replica that is no voter, until it is told otherwise.
    pub fn add_learner(&mut self, id: ReplicaId) {
        self.learners.insert(id);
    }

    /// Stops sending to every learner that is not among these.
    pub fn keep_learners(&mut self, ids: &[ReplicaId]) {
        self.learners.retain(|id| ids.contains(id));
    }

    /// Stops sending to a learner.
    pub fn remove_learner(&mut self, id: ReplicaId) {
        self.learners.remove(&id);
    }

    /// How far a replica's log is known to agree, for a leader.
    pub fn matched(&self, id: ReplicaId) -> Option<Index> {
        self.progress.get(&id).map(|progress| progress.matched)
    }

    /// Whether a replica lives, as far as a leader can tell: it is dead after
    /// `dead_after` without an answer.
    pub fn liveness(&self, id: ReplicaId, dead_after: Duration) -> Liveness {
        if id == self.id {
            return Liveness::Alive;
        }
        match self.progress.get(&id) {
            None => Liveness::Unknown,
            Some(progress) if self.now.saturating_sub(progress.last_answer) >= dead_after => {
                Liveness::Dead
            }
            Some(progress) if progress.answered => Liveness::Alive,
            Some(_) => Liveness::Unknown,
        }
    }

    fn check_leads(&self) -> Result<(), ProposeError> {
        if self.role == Role::Leader {
            return Ok(());
        }
        Err(ProposeError::NotLeader { leader: self.leader })
    }

    pub(crate) fn append_own(&mut self, payload: Payload<M::Command>) -> Index {
        let index = self.log.push(Entry { term: self.term, payload });
        self.advance_commit();
        self.send_to_all();
        index
    }

    pub(crate) fn is_voter(&self, id: ReplicaId) -> bool {
        self.log.voters().0.contains(&id)
    }

    /// Voters besides this replica.
    pub(crate) fn other_voters(&self) -> Vec<ReplicaId> {
        self.voters().iter().copied().filter(|&id| id != self.id).collect()
    }

    /// Whether these replicas are a majority of the voters.
    pub(crate) fn is_quorum(&self, ids: &BTreeSet<ReplicaId>) -> bool {
        let voters = self.voters();
        let present = voters.iter().filter(|id| ids.contains(id)).count();
        2 * present > voters.len()
    }

    pub(crate) fn send(&mut self, to: ReplicaId, message: Message<M>) {
        let envelope = Envelope { from: self.id, to, message };
        self.outputs.push(Output::Send(envelope));
    }

    fn take_outputs(&mut self) -> Vec<Output<M>> {
        std::mem::take(&mut self.outputs)
    }

    /// Draws the next election time-out, from one to two times the shortest.
    pub(crate) fn reset_election_timer(&mut self) {
        // SplitMix64: enough to keep replicas from standing at the same moment.
        self.random = self.random.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut mixed = self.random;
        mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        let share = (mixed >> 11) as f64 / (1_u64 << 53) as f64;
        self.election_due = self.now + self.options.election_timeout.mul_f64(1.0 + share);
    }
}
