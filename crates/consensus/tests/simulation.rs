//! Thousands of seeded schedules of loss, doubling, delay, cuts, crashes that
//! lose all memory, and replacements, with invariants checked at every step.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use weirhinge_consensus::{
    Candidate, Envelope, Machine, MembershipChange, MembershipPlan, Node, NodeOptions, Output,
    ReplicaId, Role, Snapshot, plan_change,
};

/// Schedules in the ordinary run. `WEIRHINGE_SCHEDULES` sets another number.
const SCHEDULES: u64 = 10_000;
const THREADS: u64 = 8;
const STEP: Duration = Duration::from_millis(20);
/// Steps with faults, and steps in which everything must recover.
const FAULTY_STEPS: u32 = 250;
const CALM_STEPS: u32 = 150;
const VOTERS: u64 = 5;
const PLAN: MembershipPlan = MembershipPlan { size: 5 };
const DEAD_AFTER: Duration = Duration::from_millis(400);

/// The machine of the simulation: every command, in order.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
struct History(Vec<u64>);

impl Machine for History {
    type Command = u64;

    fn apply(&mut self, command: &u64) {
        self.0.push(*command);
    }
}

/// A defect planted on purpose.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Plant {
    Nothing,
    /// A crashed voter comes back under its old identity without its memory.
    AmnesiacVoter,
    /// Writes are acknowledged when the leader has them.
    EarlyAcknowledgement,
}

struct InFlight {
    due: u32,
    envelope: Envelope<History>,
}

struct World {
    plant: Plant,
    random: ChaCha8Rng,
    nodes: BTreeMap<ReplicaId, Node<History>>,
    messages: Vec<InFlight>,
    cuts: BTreeSet<(ReplicaId, ReplicaId)>,
    step: u32,
    next_id: u64,
    next_command: u64,
    /// Every command that any replica has seen committed, by index.
    committed: BTreeMap<u64, u64>,
    /// Commands whose writers were told that they hold.
    acknowledged: Vec<u64>,
    /// Writes that wait for their commit: proposer, index, command.
    waiting: VecDeque<(ReplicaId, u64, u64)>,
    leaders: BTreeMap<u64, ReplicaId>,
    replacements: u64,
}

fn options(id: u64) -> NodeOptions {
    NodeOptions {
        heartbeat: Duration::from_millis(40),
        election_timeout: Duration::from_millis(150),
        compact_after: 12,
        seed: id.wrapping_mul(77),
    }
}

fn first_snapshot() -> Snapshot<History> {
    let voters = (1..=VOTERS).map(ReplicaId).collect();
    Snapshot { index: 0, term: 0, voters, machine: History::default() }
}

type Checked = Result<(), String>;

impl World {
    fn new(seed: u64, plant: Plant) -> Self {
        let nodes = (1..=VOTERS)
            .map(|id| (ReplicaId(id), Node::new(ReplicaId(id), first_snapshot(), options(id))))
            .collect();
        Self {
            plant,
            random: ChaCha8Rng::seed_from_u64(seed),
            nodes,
            messages: Vec::new(),
            cuts: BTreeSet::new(),
            step: 0,
            next_id: VOTERS + 1,
            next_command: 1,
            committed: BTreeMap::new(),
            acknowledged: Vec::new(),
            waiting: VecDeque::new(),
            leaders: BTreeMap::new(),
            replacements: 0,
        }
    }

    fn now(&self) -> Duration {
        STEP * self.step
    }

    fn run(&mut self) -> Checked {
        for _ in 0..FAULTY_STEPS {
            self.disturb();
            self.advance(true)?;
        }
        self.cuts.clear();
        for _ in 0..CALM_STEPS {
            self.advance(false)?;
        }
        self.check_recovered()
    }

    fn advance(&mut self, faulty: bool) -> Checked {
        self.step += 1;
        let now = self.now();
        let ids: Vec<ReplicaId> = self.nodes.keys().copied().collect();
        for id in ids {
            if let Some(node) = self.nodes.get_mut(&id) {
                let outputs = node.tick(now);
                self.carry_out(id, outputs, faulty)?;
            }
        }
        self.deliver(faulty)?;
        self.write(faulty)?;
        self.change_members(faulty)?;
        self.acknowledge();
        self.check_leaders()
    }

    fn carry_out(&mut self, id: ReplicaId, outputs: Vec<Output<History>>, faulty: bool) -> Checked {
        for output in outputs {
            match output {
                Output::Send(envelope) => self.send(envelope, faulty),
                Output::Committed { index, command } => self.note_commit(id, index, command)?,
            }
        }
        Ok(())
    }

    fn send(&mut self, envelope: Envelope<History>, faulty: bool) {
        let pair = (envelope.from, envelope.to);
        if self.cuts.contains(&pair) || (faulty && self.random.random_bool(0.05)) {
            return;
        }
        let copies = 1 + u32::from(faulty && self.random.random_bool(0.03));
        for _ in 0..copies {
            let late = faulty && self.random.random_bool(0.05);
            let delay = if late { self.random.random_range(1..40) } else { 1 };
            let due = self.step + delay;
            self.messages.push(InFlight { due, envelope: envelope.clone() });
        }
    }

    fn deliver(&mut self, faulty: bool) -> Checked {
        let step = self.step;
        let (due, later): (Vec<_>, Vec<_>) =
            std::mem::take(&mut self.messages).into_iter().partition(|one| one.due <= step);
        self.messages = later;
        let now = self.now();
        for InFlight { envelope, .. } in due {
            let to = envelope.to;
            if let Some(node) = self.nodes.get_mut(&to) {
                let outputs = node.receive(envelope, now);
                self.carry_out(to, outputs, faulty)?;
            }
        }
        Ok(())
    }

    fn note_commit(&mut self, id: ReplicaId, index: u64, command: u64) -> Checked {
        let known = *self.committed.entry(index).or_insert(command);
        if known != command {
            return Err(format!("{id}: index {index} holds {command}, elsewhere {known}"));
        }
        Ok(())
    }

    /// The leaders write, each now and then; a deposed one may not know yet.
    fn write(&mut self, faulty: bool) -> Checked {
        let leaders: Vec<ReplicaId> = self.leaders_now();
        for id in leaders {
            if !self.random.random_bool(0.3) {
                continue;
            }
            let command = self.next_command;
            let Some(node) = self.nodes.get_mut(&id) else {
                continue;
            };
            if let Ok((index, outputs)) = node.propose(command) {
                self.next_command += 1;
                if self.plant == Plant::EarlyAcknowledgement {
                    self.acknowledged.push(command);
                } else {
                    self.waiting.push_back((id, index, command));
                }
                self.carry_out(id, outputs, faulty)?;
            }
        }
        Ok(())
    }

    /// A write is acknowledged once its proposer sees its index committed with
    /// the term that it was written in, that is, with the command itself.
    fn acknowledge(&mut self) {
        let waiting = std::mem::take(&mut self.waiting);
        for (id, index, command) in waiting {
            let Some(node) = self.nodes.get(&id) else {
                continue;
            };
            if node.commit() < index {
                self.waiting.push_back((id, index, command));
            } else if self.committed.get(&index) == Some(&command) {
                self.acknowledged.push(command);
            }
        }
    }

    fn leaders_now(&self) -> Vec<ReplicaId> {
        self.nodes
            .iter()
            .filter(|(_, node)| node.role() == Role::Leader)
            .map(|(&id, _)| id)
            .collect()
    }

    /// Leaders bring learners up and follow the plan for the voters.
    fn change_members(&mut self, faulty: bool) -> Checked {
        let alive: Vec<ReplicaId> = self.nodes.keys().copied().collect();
        for id in self.leaders_now() {
            let Some(node) = self.nodes.get_mut(&id) else {
                continue;
            };
            let voters = node.voters().to_vec();
            for &other in &alive {
                if voters.contains(&other) {
                    node.remove_learner(other);
                } else {
                    node.add_learner(other);
                }
            }
            let candidate = |other: ReplicaId| Candidate {
                id: other,
                zone: format!("zone-{}", other.0 % 3),
                liveness: node.liveness(other, DEAD_AFTER),
                leaving: false,
                caught_up: other == id
                    || node.matched(other).is_some_and(|matched| matched >= node.commit()),
            };
            let known: BTreeSet<ReplicaId> = alive.iter().chain(&voters).copied().collect();
            let candidates: Vec<Candidate> = known.into_iter().map(candidate).collect();
            let mut wanted = voters.clone();
            match plan_change(&PLAN, id, &voters, &candidates) {
                Some(MembershipChange::Add(added)) => wanted.push(added),
                Some(MembershipChange::Remove(removed)) => wanted.retain(|&one| one != removed),
                None => continue,
            }
            if let Ok((_, outputs)) = node.propose_voters(wanted) {
                self.replacements += 1;
                self.carry_out(id, outputs, faulty)?;
            }
        }
        Ok(())
    }

    fn check_leaders(&mut self) -> Checked {
        for (&id, node) in &self.nodes {
            if node.role() == Role::Leader {
                let known = *self.leaders.entry(node.term()).or_insert(id);
                if known != id {
                    return Err(format!("term {} has leaders {known} and {id}", node.term()));
                }
            }
        }
        Ok(())
    }

    fn disturb(&mut self) {
        if self.random.random_bool(0.04) {
            self.crash();
        }
        if self.random.random_bool(0.05) {
            self.cut();
        }
        if self.random.random_bool(0.08) {
            self.cuts.clear();
        }
    }

    fn cut(&mut self) {
        let ids: Vec<ReplicaId> = self.nodes.keys().copied().collect();
        let side: BTreeSet<ReplicaId> =
            ids.iter().copied().filter(|_| self.random.random_bool(0.4)).collect();
        for &one in &ids {
            for &other in &ids {
                if side.contains(&one) != side.contains(&other) {
                    self.cuts.insert((one, other));
                }
            }
        }
    }

    /// Kills one replica with all its memory, and starts a new one. At most as
    /// many voters die as every living replica's majority can spare: losing a
    /// majority at once is beyond what any protocol without disks survives.
    fn crash(&mut self) {
        let ids: Vec<ReplicaId> = self.nodes.keys().copied().collect();
        let victim = ids[self.random.random_range(0..ids.len())];
        let majority_stays = self.nodes.values().all(|node| {
            let left = node
                .voters()
                .iter()
                .filter(|&&voter| voter != victim && self.nodes.contains_key(&voter))
                .count();
            2 * left > node.voters().len()
        });
        if !majority_stays {
            return;
        }
        self.nodes.remove(&victim);
        let id = if self.plant == Plant::AmnesiacVoter {
            victim
        } else {
            self.next_id += 1;
            ReplicaId(self.next_id)
        };
        // A newcomer starts from the base document, like any machine.
        let mut snapshot = first_snapshot();
        if self.plant != Plant::AmnesiacVoter {
            snapshot.voters.clear();
        }
        self.nodes.insert(id, Node::new(id, snapshot, options(id.0)));
    }

    /// Every replica's state, for finding the cause of a failure.
    fn describe(&self) -> String {
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

    fn check_recovered(&self) -> Checked {
        let leaders = self.leaders_now();
        let Some(leader) =
            leaders.iter().filter_map(|id| self.nodes.get(id)).max_by_key(|node| node.term())
        else {
            return Err(format!("no leader after the faults: {}", self.describe()));
        };
        let history = &leader.machine().0;
        for command in &self.acknowledged {
            if !history.contains(command) {
                return Err(format!("acknowledged write {command} is lost"));
            }
        }
        let expected: Vec<u64> = self.committed.values().copied().collect();
        if history.len() < expected.len() || history[..expected.len()] != expected[..] {
            return Err("the leader's state differs from what was committed".to_owned());
        }
        if self.acknowledged.len() < 10 {
            return Err(format!("only {} writes were acknowledged", self.acknowledged.len()));
        }
        Ok(())
    }
}

/// Runs schedules on several threads; returns the first failure by seed.
fn run_schedules(count: u64, plant: Plant) -> Result<u64, String> {
    let handles: Vec<_> = (0..THREADS)
        .map(|thread| {
            std::thread::spawn(move || {
                let mut replacements = 0;
                for seed in (thread..count).step_by(THREADS as usize) {
                    let mut world = World::new(seed, plant);
                    world.run().map_err(|error| format!("seed {seed}: {error}"))?;
                    replacements += world.replacements;
                }
                Ok::<u64, String>(replacements)
            })
        })
        .collect();
    let mut replacements = 0;
    for handle in handles {
        replacements += handle.join().map_err(|_| "a schedule panicked".to_owned())??;
    }
    Ok(replacements)
}

#[test]
fn no_schedule_loses_or_splits_what_was_accepted() {
    let count = std::env::var("WEIRHINGE_SCHEDULES")
        .ok()
        .and_then(|text| text.parse().ok())
        .unwrap_or(SCHEDULES);
    let replacements = run_schedules(count, Plant::Nothing).expect("every invariant holds");
    assert!(replacements > 2 * count, "voters are replaced: {replacements} changes");
}

#[test]
fn an_amnesiac_voter_is_caught() {
    let error = run_schedules(3_000, Plant::AmnesiacVoter).expect_err("caught");
    assert!(!error.contains("panicked"), "{error}");
}

#[test]
fn an_acknowledgement_before_a_quorum_is_caught() {
    let error = run_schedules(500, Plant::EarlyAcknowledgement).expect_err("caught");
    assert!(error.contains("lost"), "{error}");
}
