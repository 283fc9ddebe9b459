//! A replica: its state, and the entry points for time, messages and writes.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use std::time::Duration;

use crate::log::{Entry, Index, Log, Payload, Snapshot, StateMachine, Term};
use crate::membership::Liveness;
use crate::message::{Envelope, Message};

/// Identifies one run of a replica's process. Drawn at random at every start and
/// never reused.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, serde::Serialize, serde::Deserialize,
)]
pub struct ReplicaId(pub u64);

impl fmt::Display for ReplicaId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "replica {:016x}", self.0)
    }
}

/// Timing and limits of a node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NodeOptions {
    /// Interval between a leader's heartbeats.
    pub heartbeat_interval: Duration,
    /// Minimum time without contact to a leader after which a voter starts an
    /// election. The actual timeout is random, up to twice this.
    pub election_timeout: Duration,
    /// Number of applied entries after the snapshot at which the log is compacted.
    pub compact_after: usize,
    /// Seed of the random election timeouts.
    pub seed: u64,
}

/// The Raft role of a replica.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// Follows a leader, or waits for one to be elected.
    Follower,
    /// Asks the other voters whether they would vote for it (pre-vote).
    PreCandidate,
    /// Has started an election and collects votes.
    Candidate,
    /// Leads the group: takes writes and replicates its log.
    Leader,
}

/// Why a proposal was rejected. Nothing was applied, nor will it be later.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ProposeError {
    /// This replica is not the leader.
    #[error("not the leader; the leader is {leader:?}")]
    NotLeader {
        /// The leader, if known.
        leader: Option<ReplicaId>,
    },
    /// An earlier membership change is not committed yet, or this leader has not
    /// committed an entry of its own term yet.
    #[error("an earlier membership change or this leader's first entry is not committed yet")]
    ChangeInProgress,
    /// The leader has not confirmed yet that a majority of the new voters is
    /// reachable. Retry shortly.
    #[error("a majority of the new voters has not confirmed that it is reachable")]
    Unconfirmed,
    /// The change does not add or remove exactly one voter, or leaves no voter.
    #[error("a membership change must add or remove exactly one voter and leave at least one")]
    InvalidChange,
}

/// An action that the caller of a node has to carry out.
#[derive(Clone, Debug)]
pub enum Output<M: StateMachine> {
    /// Send a message. It may be lost, duplicated or delayed.
    Send(Envelope<M>),
    /// A command was committed and applied.
    Committed {
        /// The command's index.
        index: Index,
        /// The command.
        command: M::Command,
    },
}

/// A leader's view of another replica.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Progress {
    /// Next index to send.
    pub(crate) next: Index,
    /// Highest index up to which the replica's log is known to match.
    pub(crate) matched: Index,
    /// When the replica last answered; until its first answer, when the leader
    /// started to send to it.
    pub(crate) last_answer: Duration,
    /// Whether the replica has answered this leader at least once.
    pub(crate) answered: bool,
}

/// An empty entry that the leader appends to find out which voters are reachable:
/// those that acknowledge it.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Barrier {
    index: Index,
    appended_at: Duration,
}

/// A replica: its log, its state machine and its part in elections.
pub struct Node<M: StateMachine> {
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
    /// The replicas that a leader replicates to, voters and learners.
    pub(crate) progress: BTreeMap<ReplicaId, Progress>,
    pub(crate) learners: BTreeSet<ReplicaId>,
    pub(crate) votes: BTreeSet<ReplicaId>,
    pub(crate) now: Duration,
    pub(crate) election_due: Duration,
    pub(crate) heartbeat_due: Duration,
    /// When this replica last received a message from the current leader.
    pub(crate) leader_seen_at: Option<Duration>,
    pub(crate) barrier: Option<Barrier>,
    rng_state: u64,
    pub(crate) outputs: Vec<Output<M>>,
}

impl<M: StateMachine> Node<M> {
    /// Creates a replica that starts from a snapshot. If it is not one of the
    /// snapshot's voters, it is a learner: it follows the leader and never starts
    /// an election.
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
            leader_seen_at: None,
            barrier: None,
            rng_state: options.seed ^ id.0,
            outputs: Vec::new(),
        };
        node.reset_election_timer();
        node
    }

    /// Returns this replica's identity.
    pub fn id(&self) -> ReplicaId {
        self.id
    }

    /// Returns this replica's current role.
    pub fn role(&self) -> Role {
        self.role
    }

    /// Returns the current term.
    pub fn term(&self) -> Term {
        self.term
    }

    /// Returns the leader of the current term, if known.
    pub fn leader(&self) -> Option<ReplicaId> {
        self.leader
    }

    /// Returns the voters according to this replica's log, committed or not.
    pub fn voters(&self) -> &[ReplicaId] {
        self.log.voters().0
    }

    /// Returns the highest index that this replica knows to be committed.
    pub fn commit(&self) -> Index {
        self.commit
    }

    /// Returns the state machine with every known committed command applied.
    pub fn machine(&self) -> &M {
        &self.machine
    }

    /// Returns the replica's log.
    pub fn log(&self) -> &Log<M> {
        &self.log
    }

    /// Advances the time to `now`: sends heartbeats or starts an election if due.
    /// Returns the actions to carry out.
    pub fn tick(&mut self, now: Duration) -> Vec<Output<M>> {
        self.now = now;
        match self.role {
            Role::Leader => self.tick_leader(),
            _ if now >= self.election_due && self.is_voter(self.id) => self.start_pre_vote(),
            _ => {}
        }
        self.take_outputs()
    }

    /// Handles a message received at time `now` and returns the actions to carry
    /// out.
    pub fn receive(&mut self, envelope: Envelope<M>, now: Duration) -> Vec<Output<M>> {
        self.now = now;
        let Envelope { from, message, .. } = envelope;
        if let Some(term) = message.term() {
            if self.ignores_vote_request(&message) {
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

    /// Proposes a command, if this replica is the leader. The command takes effect
    /// once its index is committed with the command still at it; until then it may
    /// yet be lost.
    ///
    /// # Errors
    /// When this replica is not the leader. Nothing was applied then.
    pub fn propose(
        &mut self,
        command: M::Command,
    ) -> Result<(Index, Vec<Output<M>>), ProposeError> {
        self.ensure_leader()?;
        let index = self.append_entry(Payload::Command(command));
        Ok((index, self.take_outputs()))
    }

    /// Proposes a new set of voters that differs by one replica, if this replica is
    /// the leader.
    ///
    /// # Errors
    /// Why the change was rejected. The voters did not change then.
    pub fn propose_voters(
        &mut self,
        mut voters: Vec<ReplicaId>,
    ) -> Result<(Index, Vec<Output<M>>), ProposeError> {
        self.ensure_leader()?;
        voters.sort_unstable();
        voters.dedup();
        let (current, voters_index) = self.log.voters();
        let added = voters.iter().filter(|id| !current.contains(id)).count();
        let removed = current.iter().filter(|id| !voters.contains(id)).count();
        if voters.is_empty() || added + removed != 1 {
            return Err(ProposeError::InvalidChange);
        }
        // Until an entry of its own term is committed, a leader may not know of a
        // membership change that an earlier leader committed (Ongaro's correction
        // of 2015).
        if voters_index > self.commit || self.log.term_at(self.commit) != Some(self.term) {
            return Err(ProposeError::ChangeInProgress);
        }
        if !self.confirm_majority(&voters) {
            return Err(ProposeError::Unconfirmed);
        }
        self.barrier = None;
        let index = self.append_entry(Payload::Voters(voters));
        Ok((index, self.take_outputs()))
    }

    /// Whether a majority of these voters has acknowledged a recent barrier. Appends
    /// a new barrier and returns false if there is no recent one. New voters count
    /// as soon as their entry is in the log, committed or not, so a change to voters
    /// of which a majority is dead could never be committed nor undone.
    fn confirm_majority(&mut self, voters: &[ReplicaId]) -> bool {
        let (now, max_age) = (self.now, self.options.election_timeout);
        let recent =
            self.barrier.filter(|barrier| now.saturating_sub(barrier.appended_at) < max_age);
        let Some(barrier) = recent else {
            let index = self.append_entry(Payload::Nothing);
            self.barrier = Some(Barrier { index, appended_at: now });
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

    /// Starts to replicate the log to a replica that is not a voter. Stops when the
    /// learner is removed.
    pub fn add_learner(&mut self, id: ReplicaId) {
        self.learners.insert(id);
    }

    /// Removes every learner that is not in `ids`.
    pub fn keep_learners(&mut self, ids: &[ReplicaId]) {
        self.learners.retain(|id| ids.contains(id));
    }

    /// Stops replicating to a learner.
    pub fn remove_learner(&mut self, id: ReplicaId) {
        self.learners.remove(&id);
    }

    /// Returns the highest index up to which a replica's log is known to match this
    /// leader's. `None` for replicas that it does not replicate to.
    pub fn matched(&self, id: ReplicaId) -> Option<Index> {
        self.progress.get(&id).map(|progress| progress.matched)
    }

    /// Returns a replica's liveness as this leader sees it. A replica that has not
    /// answered for `dead_after` is considered dead.
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

    fn ensure_leader(&self) -> Result<(), ProposeError> {
        if self.role == Role::Leader {
            return Ok(());
        }
        Err(ProposeError::NotLeader { leader: self.leader })
    }

    pub(crate) fn append_entry(&mut self, payload: Payload<M::Command>) -> Index {
        let index = self.log.push(Entry { term: self.term, payload });
        self.advance_commit();
        self.send_to_all();
        index
    }

    pub(crate) fn is_voter(&self, id: ReplicaId) -> bool {
        self.log.voters().0.contains(&id)
    }

    /// Returns the voters other than this replica.
    pub(crate) fn other_voters(&self) -> Vec<ReplicaId> {
        self.voters().iter().copied().filter(|&id| id != self.id).collect()
    }

    /// Whether these replicas include a majority of the voters.
    pub(crate) fn is_quorum(&self, ids: &BTreeSet<ReplicaId>) -> bool {
        let voters = self.voters();
        let included = voters.iter().filter(|id| ids.contains(id)).count();
        2 * included > voters.len()
    }

    pub(crate) fn send(&mut self, to: ReplicaId, message: Message<M>) {
        let envelope = Envelope { from: self.id, to, message };
        self.outputs.push(Output::Send(envelope));
    }

    fn take_outputs(&mut self) -> Vec<Output<M>> {
        std::mem::take(&mut self.outputs)
    }

    /// Restarts the election timer with a random timeout between one and two times
    /// [`NodeOptions::election_timeout`].
    pub(crate) fn reset_election_timer(&mut self) {
        // SplitMix64. Its randomness suffices to keep replicas from starting elections
        // at the same moment.
        self.rng_state = self.rng_state.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut mixed = self.rng_state;
        mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        let fraction = (mixed >> 11) as f64 / (1_u64 << 53) as f64;
        self.election_due = self.now + self.options.election_timeout.mul_f64(1.0 + fraction);
    }
}
