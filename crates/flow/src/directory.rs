//! Finds the holder of a flow that this agent does not hold, on demand.
//!
//! Most packets reach their holder by the hint in their timestamps. For the
//! others the bucket's owner asks the service's other agents, remembers the
//! answer, and forwards. A flow counts as absent only when every other agent
//! has said so: silence is never taken for absence.
//!
//! An agent that admits a flow of another's bucket claims it with the owner, so
//! that a repeated opening packet reaches the same agent. Two agents may still
//! come to answer one opening packet; only the caller decides between them, by
//! the sequence number that it acknowledges. Until one of them reports the flow
//! as open, packets go to all that claim it: the others keep silent.
//!
//! A few packets of a flow that is being asked about are held back and go on
//! as soon as an answer names the holder, so that the caller need not wait for
//! its own retransmission.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use weirhinge_config::TargetId;
use weirhinge_packet::FlowKey;
use weirhinge_wire::Holding;

/// How long a known holder is remembered after its flow's last packet. A holder
/// that no longer holds the flow says so when a packet is forwarded to it.
const HOLDER_LIFETIME: Duration = Duration::from_secs(600);
/// How long a claim of an opening flow is remembered.
const CLAIM_LIFETIME: Duration = Duration::from_secs(30);
/// How long a repeated opening packet follows an earlier claim; after that the
/// claimant may be dead, and the flow is offered anew.
const OPENING_FOLLOWS_CLAIM: Duration = Duration::from_secs(5);
/// A claim that is older than this and still not open may have lost: then the
/// other agents are asked as well.
const CLAIM_IN_DOUBT: Duration = Duration::from_millis(500);
/// How long an unanimous "no" is trusted.
const ABSENT_LIFETIME: Duration = Duration::from_secs(2);
/// How long to wait for answers before asking again.
const ASK_INTERVAL: Duration = Duration::from_millis(100);
/// How long an entry without an answer is kept after the last question.
const ASKING_LIFETIME: Duration = Duration::from_secs(5);
/// Most flows known at once; packets of further ones are dropped.
const CAPACITY: usize = 16_384;
/// Most claims remembered for one flow.
const CLAIMS_PER_FLOW: usize = 4;
/// Packets held back per flow that is being asked about; further ones are dropped.
const HELD_PER_FLOW: usize = 4;
/// Packets held back over all flows.
const HELD_IN_ALL: usize = 1_024;

/// What to do with a packet whose flow is not held here.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LookupStep {
    /// Ask every other agent of the service; the packet is held back.
    Ask,
    /// Answers are outstanding; the packet is held back, or dropped if too many
    /// are held.
    Wait,
    /// Forward the packet to these targets, of which one holds the flow.
    Forward(Vec<TargetId>),
    /// Forward the packet to these targets and ask every other agent as well.
    ForwardAndAsk(Vec<TargetId>),
    /// No agent holds the flow.
    Absent,
}

#[derive(Debug)]
enum Entry {
    Asking { last_asked: Instant, denied: Vec<TargetId>, held: Vec<Vec<u8>> },
    Claimed { claimants: Vec<TargetId>, since: Instant, last_asked: Instant },
    Held { holder: TargetId, until: Instant },
    Absent { until: Instant },
}

/// What one agent has learnt of flows that others hold.
#[derive(Debug, Default)]
pub struct Directory {
    entries: HashMap<FlowKey, Entry>,
    held_in_all: usize,
}

impl Directory {
    /// Decides about a packet of a flow that is not held here. `others` are
    /// the service's other targets under the agent's revision.
    pub fn locate(
        &mut self,
        key: &FlowKey,
        others: &[TargetId],
        packet: &[u8],
        now: Instant,
    ) -> LookupStep {
        let step = self.step(key, others, now);
        if matches!(step, LookupStep::Ask | LookupStep::Wait) {
            self.hold(key, packet);
        }
        step
    }

    fn step(&mut self, key: &FlowKey, others: &[TargetId], now: Instant) -> LookupStep {
        if others.is_empty() {
            return LookupStep::Absent;
        }
        match self.entries.get_mut(key) {
            Some(Entry::Held { holder, until }) if *until > now && others.contains(holder) => {
                *until = now + HOLDER_LIFETIME;
                LookupStep::Forward(vec![*holder])
            }
            Some(Entry::Claimed { claimants, since, last_asked })
                if now.saturating_duration_since(*since) < CLAIM_LIFETIME =>
            {
                let in_doubt = now.saturating_duration_since(*since) >= CLAIM_IN_DOUBT;
                if !in_doubt || now.saturating_duration_since(*last_asked) < ASK_INTERVAL {
                    return LookupStep::Forward(claimants.clone());
                }
                *last_asked = now;
                LookupStep::ForwardAndAsk(claimants.clone())
            }
            Some(Entry::Absent { until }) if *until > now => LookupStep::Absent,
            Some(Entry::Asking { last_asked, denied, .. }) => {
                if others.iter().all(|other| denied.contains(other)) {
                    let until = now + ABSENT_LIFETIME;
                    self.replace(key, Entry::Absent { until });
                    return LookupStep::Absent;
                }
                if now.saturating_duration_since(*last_asked) < ASK_INTERVAL {
                    return LookupStep::Wait;
                }
                *last_asked = now;
                LookupStep::Ask
            }
            _ => self.start_asking(key, now),
        }
    }

    fn start_asking(&mut self, key: &FlowKey, now: Instant) -> LookupStep {
        if self.is_full_for(key) {
            return LookupStep::Wait;
        }
        let entry = Entry::Asking { last_asked: now, denied: Vec::new(), held: Vec::new() };
        self.entries.insert(*key, entry);
        LookupStep::Ask
    }

    /// The target that a repeated opening packet should go to, if one has
    /// claimed the flow lately.
    pub fn recent_claim(&self, key: &FlowKey, now: Instant) -> Option<TargetId> {
        match self.entries.get(key)? {
            Entry::Claimed { claimants, since, .. }
                if now.saturating_duration_since(*since) < OPENING_FOLLOWS_CLAIM =>
            {
                claimants.first().copied()
            }
            Entry::Held { holder, until } if *until > now => Some(*holder),
            _ => None,
        }
    }

    /// Whether another target has claimed the flow or holds it.
    pub fn knows_claim(&self, key: &FlowKey) -> bool {
        matches!(self.entries.get(key), Some(Entry::Claimed { .. } | Entry::Held { .. }))
    }

    /// Takes in what one target says, asked or not. Returns the packets that
    /// can go on to it now.
    pub fn answered(
        &mut self,
        key: &FlowKey,
        from: TargetId,
        holding: Holding,
        now: Instant,
    ) -> Vec<Vec<u8>> {
        match holding {
            Holding::Open if self.is_full_for(key) => Vec::new(),
            Holding::Open => {
                let until = now + HOLDER_LIFETIME;
                self.replace(key, Entry::Held { holder: from, until })
            }
            Holding::Opening => self.claimed(key, from, now),
            Holding::Not => {
                self.denied(key, from);
                Vec::new()
            }
        }
    }

    fn claimed(&mut self, key: &FlowKey, from: TargetId, now: Instant) -> Vec<Vec<u8>> {
        if self.is_full_for(key) {
            return Vec::new();
        }
        match self.entries.get_mut(key) {
            // One that is open stands against any number that claim.
            Some(Entry::Held { until, .. }) if *until > now => Vec::new(),
            Some(Entry::Claimed { claimants, .. }) => {
                if !claimants.contains(&from) && claimants.len() < CLAIMS_PER_FLOW {
                    claimants.push(from);
                }
                Vec::new()
            }
            _ => self.replace(
                key,
                Entry::Claimed { claimants: vec![from], since: now, last_asked: now },
            ),
        }
    }

    fn denied(&mut self, key: &FlowKey, from: TargetId) {
        let forget = match self.entries.get_mut(key) {
            Some(Entry::Asking { denied, .. }) => {
                if !denied.contains(&from) {
                    denied.push(from);
                }
                false
            }
            Some(Entry::Claimed { claimants, .. }) => {
                claimants.retain(|&claimant| claimant != from);
                claimants.is_empty()
            }
            Some(Entry::Held { holder, .. }) => *holder == from,
            _ => false,
        };
        if forget {
            self.entries.remove(key);
        }
    }

    /// Forgets what is known of a flow, as when this agent holds it itself.
    pub fn forget(&mut self, key: &FlowKey) {
        if let Some(Entry::Asking { held, .. }) = self.entries.remove(key) {
            self.held_in_all -= held.len();
        }
    }

    fn hold(&mut self, key: &FlowKey, packet: &[u8]) {
        if let Some(Entry::Asking { held, .. }) = self.entries.get_mut(key)
            && held.len() < HELD_PER_FLOW
            && self.held_in_all < HELD_IN_ALL
        {
            held.push(packet.to_vec());
            self.held_in_all += 1;
        }
    }

    /// Replaces an entry and returns the packets that it held back.
    fn replace(&mut self, key: &FlowKey, entry: Entry) -> Vec<Vec<u8>> {
        match self.entries.insert(*key, entry) {
            Some(Entry::Asking { held, .. }) => {
                self.held_in_all -= held.len();
                held
            }
            _ => Vec::new(),
        }
    }

    fn is_full_for(&self, key: &FlowKey) -> bool {
        self.entries.len() >= CAPACITY && !self.entries.contains_key(key)
    }

    /// Drops what has expired. To be called every few seconds.
    pub fn expire(&mut self, now: Instant) {
        let held_in_all = &mut self.held_in_all;
        self.entries.retain(|_, entry| match entry {
            Entry::Asking { last_asked, held, .. } => {
                let keep = now.saturating_duration_since(*last_asked) < ASKING_LIFETIME;
                if !keep {
                    *held_in_all -= held.len();
                }
                keep
            }
            Entry::Claimed { since, .. } => now.saturating_duration_since(*since) < CLAIM_LIFETIME,
            Entry::Held { until, .. } | Entry::Absent { until } => *until > now,
        });
    }

    /// Number of flows known or asked about.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether nothing is known.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }
}
