//! Simulates a group under thousands of seeded fault schedules and checks the
//! protocol's invariants at every step. The faults are message loss, duplication and
//! delay, partitions, and crashes that lose all memory, after which a new replica
//! replaces the crashed one.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use weirhinge_consensus::{
    Envelope, MembershipChange, MembershipPlan, Node, NodeOptions, Output, ReplicaId,
    ReplicaStatus, Role, Snapshot, StateMachine, plan_change,
};

/// Default number of schedules. The environment variable `WEIRHINGE_SCHEDULES`
/// overrides it.
const SCHEDULES: u64 = 10_000;
const THREADS: u64 = 8;
const STEP: Duration = Duration::from_millis(20);
/// Steps with faults.
const FAULT_STEPS: u32 = 250;
/// Steps without faults that follow, in which the group has to recover.
const RECOVERY_STEPS: u32 = 150;
const VOTERS: u64 = 5;
const PLAN: MembershipPlan = MembershipPlan { size: 5 };
const DEAD_AFTER: Duration = Duration::from_millis(400);

/// The state machine of the simulation: all applied commands, in order.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
struct History(Vec<u64>);

impl StateMachine for History {
    type Command = u64;

    fn apply(&mut self, command: &u64) {
        self.0.push(*command);
    }
}

/// A defect that a run introduces on purpose, to show that the checks detect it.
#[derive(Clone, Copy, PartialEq, Eq)]
enum PlantedDefect {
    Nothing,
    /// A crashed voter restarts without its memory but with its old identity.
    AmnesiacVoter,
    /// Writes are acknowledged as soon as the leader has appended them.
    EarlyAcknowledgement,
}

struct InFlight {
    due_step: u32,
    envelope: Envelope<History>,
}

struct Simulation {
    defect: PlantedDefect,
    rng: ChaCha8Rng,
    nodes: BTreeMap<ReplicaId, Node<History>>,
    messages: Vec<InFlight>,
    blocked_links: BTreeSet<(ReplicaId, ReplicaId)>,
    step: u32,
    next_id: u64,
    next_command: u64,
    /// All commands that any replica has reported as committed, by index.
    committed: BTreeMap<u64, u64>,
    /// Commands whose commit was acknowledged to the writer.
    acknowledged: Vec<u64>,
    /// Writes that are not committed yet: proposer, index, command.
    pending_writes: VecDeque<(ReplicaId, u64, u64)>,
    leader_by_term: BTreeMap<u64, ReplicaId>,
    membership_changes: u64,
}

fn options(id: u64) -> NodeOptions {
    NodeOptions {
        heartbeat_interval: Duration::from_millis(40),
        election_timeout: Duration::from_millis(150),
        compact_after: 12,
        seed: id.wrapping_mul(77),
    }
}

fn first_snapshot() -> Snapshot<History> {
    let voters = (1..=VOTERS).map(ReplicaId).collect();
    Snapshot { index: 0, term: 0, voters, machine: History::default() }
}

type CheckResult = Result<(), String>;

impl Simulation {
    fn new(seed: u64, defect: PlantedDefect) -> Self {
        let nodes = (1..=VOTERS)
            .map(|id| (ReplicaId(id), Node::new(ReplicaId(id), first_snapshot(), options(id))))
            .collect();
        Self {
            defect,
            rng: ChaCha8Rng::seed_from_u64(seed),
            nodes,
            messages: Vec::new(),
            blocked_links: BTreeSet::new(),
            step: 0,
            next_id: VOTERS + 1,
            next_command: 1,
            committed: BTreeMap::new(),
            acknowledged: Vec::new(),
            pending_writes: VecDeque::new(),
            leader_by_term: BTreeMap::new(),
            membership_changes: 0,
        }
    }

    fn now(&self) -> Duration {
        STEP * self.step
    }

    fn run(&mut self) -> CheckResult {
        for _ in 0..FAULT_STEPS {
            self.inject_faults();
            self.advance(true)?;
        }
        self.blocked_links.clear();
        for _ in 0..RECOVERY_STEPS {
            self.advance(false)?;
        }
        self.check_recovered()
    }

    fn advance(&mut self, with_faults: bool) -> CheckResult {
        self.step += 1;
        let now = self.now();
        let ids: Vec<ReplicaId> = self.nodes.keys().copied().collect();
        for id in ids {
            if let Some(node) = self.nodes.get_mut(&id) {
                let outputs = node.tick(now);
                self.execute_outputs(id, outputs, with_faults)?;
            }
        }
        self.deliver(with_faults)?;
        self.propose_writes(with_faults)?;
        self.change_members(with_faults)?;
        self.acknowledge();
        self.check_leaders()
    }

    fn execute_outputs(
        &mut self,
        id: ReplicaId,
        outputs: Vec<Output<History>>,
        with_faults: bool,
    ) -> CheckResult {
        for output in outputs {
            match output {
                Output::Send(envelope) => self.send(envelope, with_faults),
                Output::Committed { index, command } => self.note_commit(id, index, command)?,
            }
        }
        Ok(())
    }

    fn send(&mut self, envelope: Envelope<History>, with_faults: bool) {
        let link = (envelope.from, envelope.to);
        if self.blocked_links.contains(&link) || (with_faults && self.rng.random_bool(0.05)) {
            return;
        }
        let copies = 1 + u32::from(with_faults && self.rng.random_bool(0.03));
        for _ in 0..copies {
            let late = with_faults && self.rng.random_bool(0.05);
            let delay = if late { self.rng.random_range(1..40) } else { 1 };
            let due_step = self.step + delay;
            self.messages.push(InFlight { due_step, envelope: envelope.clone() });
        }
    }

    fn deliver(&mut self, with_faults: bool) -> CheckResult {
        let step = self.step;
        let (due, later): (Vec<_>, Vec<_>) = std::mem::take(&mut self.messages)
            .into_iter()
            .partition(|message| message.due_step <= step);
        self.messages = later;
        let now = self.now();
        for InFlight { envelope, .. } in due {
            let to = envelope.to;
            if let Some(node) = self.nodes.get_mut(&to) {
                let outputs = node.receive(envelope, now);
                self.execute_outputs(to, outputs, with_faults)?;
            }
        }
        Ok(())
    }

    fn note_commit(&mut self, id: ReplicaId, index: u64, command: u64) -> CheckResult {
        let known = *self.committed.entry(index).or_insert(command);
        if known != command {
            return Err(format!(
                "{id}: index {index} has command {command}, but another replica committed {known}"
            ));
        }
        Ok(())
    }

    /// Lets every leader propose a write now and then. A deposed leader may not have
    /// noticed yet that it was deposed.
    fn propose_writes(&mut self, with_faults: bool) -> CheckResult {
        let leaders: Vec<ReplicaId> = self.current_leaders();
        for id in leaders {
            if !self.rng.random_bool(0.3) {
                continue;
            }
            let command = self.next_command;
            let Some(node) = self.nodes.get_mut(&id) else {
                continue;
            };
            if let Ok((index, outputs)) = node.propose(command) {
                self.next_command += 1;
                if self.defect == PlantedDefect::EarlyAcknowledgement {
                    self.acknowledged.push(command);
                } else {
                    self.pending_writes.push_back((id, index, command));
                }
                self.execute_outputs(id, outputs, with_faults)?;
            }
        }
        Ok(())
    }

    /// Acknowledges each write once its proposer sees its index committed with the
    /// command itself, which means in the term in which it was proposed.
    fn acknowledge(&mut self) {
        let pending_writes = std::mem::take(&mut self.pending_writes);
        for (id, index, command) in pending_writes {
            let Some(node) = self.nodes.get(&id) else {
                continue;
            };
            if node.commit() < index {
                self.pending_writes.push_back((id, index, command));
            } else if self.committed.get(&index) == Some(&command) {
                self.acknowledged.push(command);
            }
        }
    }

    fn current_leaders(&self) -> Vec<ReplicaId> {
        self.nodes
            .iter()
            .filter(|(_, node)| node.role() == Role::Leader)
            .map(|(&id, _)| id)
            .collect()
    }

    /// Lets every leader replicate to all learners and propose the membership change
    /// that is planned next.
    fn change_members(&mut self, with_faults: bool) -> CheckResult {
        let running: Vec<ReplicaId> = self.nodes.keys().copied().collect();
        for id in self.current_leaders() {
            let Some(node) = self.nodes.get_mut(&id) else {
                continue;
            };
            let voters = node.voters().to_vec();
            for &other in &running {
                if voters.contains(&other) {
                    node.remove_learner(other);
                } else {
                    node.add_learner(other);
                }
            }
            let replica = |other: ReplicaId| ReplicaStatus {
                id: other,
                zone: format!("zone-{}", other.0 % 3),
                liveness: node.liveness(other, DEAD_AFTER),
                leaving: false,
                caught_up: other == id
                    || node.matched(other).is_some_and(|matched| matched >= node.commit()),
            };
            let known: BTreeSet<ReplicaId> = running.iter().chain(&voters).copied().collect();
            let replicas: Vec<ReplicaStatus> = known.into_iter().map(replica).collect();
            let mut proposed = voters.clone();
            match plan_change(&PLAN, id, &voters, &replicas) {
                Some(MembershipChange::Add(added)) => proposed.push(added),
                Some(MembershipChange::Remove(removed)) => {
                    proposed.retain(|&voter| voter != removed)
                }
                None => continue,
            }
            if let Ok((_, outputs)) = node.propose_voters(proposed) {
                self.membership_changes += 1;
                self.execute_outputs(id, outputs, with_faults)?;
            }
        }
        Ok(())
    }

    fn check_leaders(&mut self) -> CheckResult {
        for (&id, node) in &self.nodes {
            if node.role() == Role::Leader {
                let known = *self.leader_by_term.entry(node.term()).or_insert(id);
                if known != id {
                    return Err(format!("term {} has leaders {known} and {id}", node.term()));
                }
            }
        }
        Ok(())
    }

    fn inject_faults(&mut self) {
        if self.rng.random_bool(0.04) {
            self.replace_random_replica();
        }
        if self.rng.random_bool(0.05) {
            self.add_partition();
        }
        if self.rng.random_bool(0.08) {
            self.blocked_links.clear();
        }
    }

    fn add_partition(&mut self) {
        let ids: Vec<ReplicaId> = self.nodes.keys().copied().collect();
        let side: BTreeSet<ReplicaId> =
            ids.iter().copied().filter(|_| self.rng.random_bool(0.4)).collect();
        for &one in &ids {
            for &other in &ids {
                if side.contains(&one) != side.contains(&other) {
                    self.blocked_links.insert((one, other));
                }
            }
        }
    }

    /// Kills one replica with all its memory and starts a new one. Does nothing if,
    /// by the voters of any live replica, no majority would remain: no protocol
    /// without disks survives the loss of a majority at once.
    fn replace_random_replica(&mut self) {
        let ids: Vec<ReplicaId> = self.nodes.keys().copied().collect();
        let victim = ids[self.rng.random_range(0..ids.len())];
        let majority_remains = self.nodes.values().all(|node| {
            let remaining = node
                .voters()
                .iter()
                .filter(|&&voter| voter != victim && self.nodes.contains_key(&voter))
                .count();
            2 * remaining > node.voters().len()
        });
        if !majority_remains {
            return;
        }
        self.nodes.remove(&victim);
        let id = if self.defect == PlantedDefect::AmnesiacVoter {
            victim
        } else {
            self.next_id += 1;
            ReplicaId(self.next_id)
        };
        // A new replica is a learner and starts from the initial state.
        let mut snapshot = first_snapshot();
        if self.defect != PlantedDefect::AmnesiacVoter {
            snapshot.voters.clear();
        }
        self.nodes.insert(id, Node::new(id, snapshot, options(id.0)));
    }

    /// Describes the state of every replica, to help to find the cause of a failure.
    fn describe_replicas(&self) -> String {
        let mut text = String::new();
        for (id, node) in &self.nodes {
            text += &format!(
                "\n{id}: {:?} term {} last {}@{} commit {} voters {:?}",
                node.role(),
                node.term(),
                node.log().last_index(),
                node.log().last_term(),
                node.commit(),
                node.voters(),
            );
        }
        text
    }

    fn check_recovered(&self) -> CheckResult {
        let leaders = self.current_leaders();
        let Some(leader) =
            leaders.iter().filter_map(|id| self.nodes.get(id)).max_by_key(|node| node.term())
        else {
            return Err(format!(
                "no leader after the recovery steps: {}",
                self.describe_replicas()
            ));
        };
        let history = &leader.machine().0;
        for command in &self.acknowledged {
            if !history.contains(command) {
                return Err(format!("acknowledged write {command} is lost"));
            }
        }
        let expected: Vec<u64> = self.committed.values().copied().collect();
        if history.len() < expected.len() || history[..expected.len()] != expected[..] {
            return Err("the leader's state differs from the committed commands".to_owned());
        }
        if self.acknowledged.len() < 10 {
            return Err(format!(
                "expected at least 10 acknowledged writes, found {}",
                self.acknowledged.len()
            ));
        }
        Ok(())
    }
}

/// Runs the schedules on several threads. Returns the number of membership changes,
/// or an error that names the seed of a failed schedule.
fn run_schedules(count: u64, defect: PlantedDefect) -> Result<u64, String> {
    let handles: Vec<_> = (0..THREADS)
        .map(|thread| {
            std::thread::spawn(move || {
                let mut membership_changes = 0;
                for seed in (thread..count).step_by(THREADS as usize) {
                    let mut simulation = Simulation::new(seed, defect);
                    simulation.run().map_err(|error| format!("seed {seed}: {error}"))?;
                    membership_changes += simulation.membership_changes;
                }
                Ok::<u64, String>(membership_changes)
            })
        })
        .collect();
    let mut membership_changes = 0;
    for handle in handles {
        membership_changes += handle.join().map_err(|_| "a schedule panicked".to_owned())??;
    }
    Ok(membership_changes)
}

#[test]
fn acknowledged_writes_survive_random_faults() {
    let count = std::env::var("WEIRHINGE_SCHEDULES")
        .ok()
        .and_then(|text| text.parse().ok())
        .unwrap_or(SCHEDULES);
    let membership_changes =
        run_schedules(count, PlantedDefect::Nothing).expect("every schedule keeps the invariants");
    assert!(
        membership_changes > 2 * count,
        "too few voters were replaced: {membership_changes} changes in {count} schedules"
    );
}

#[test]
fn voter_reusing_its_identity_after_memory_loss_is_detected() {
    let error =
        run_schedules(3_000, PlantedDefect::AmnesiacVoter).expect_err("the defect is detected");
    assert!(!error.contains("panicked"), "{error}");
}

#[test]
fn acknowledgement_before_quorum_is_detected() {
    let error = run_schedules(500, PlantedDefect::EarlyAcknowledgement)
        .expect_err("the defect is detected");
    assert!(error.contains("lost"), "{error}");
}
