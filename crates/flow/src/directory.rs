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
//! A few packets of a flow that is not known to be open are held: they go on to
//! each agent that claims it from then on, so that the caller need not wait for
//! its own retransmission if the agent whose answer it took up is heard of last.

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
/// How long an entry without a claim is kept after the last question.
const UNCLAIMED_LIFETIME: Duration = Duration::from_secs(5);
/// Most flows known at once; packets of further ones are dropped.
const CAPACITY: usize = 16_384;
/// Most claims remembered for one flow.
const CLAIMS_PER_FLOW: usize = 4;
/// Packets held per flow that is not known to be open; further ones are not.
const HELD_PER_FLOW: usize = 4;
/// Packets held over all flows.
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
    /// Nobody has claimed the flow; `last_asked` is none while nobody was asked.
    Unclaimed {
        since: Instant,
        last_asked: Option<Instant>,
        denied: Vec<TargetId>,
        held: Vec<Vec<u8>>,
    },
    Claimed {
        claimants: Vec<TargetId>,
        since: Instant,
        last_asked: Instant,
        held: Vec<Vec<u8>>,
    },
    Held {
        holder: TargetId,
        until: Instant,
    },
    Absent {
        until: Instant,
    },
}

impl Entry {
    fn unclaimed(now: Instant, last_asked: Option<Instant>) -> Self {
        Entry::Unclaimed { since: now, last_asked, denied: Vec::new(), held: Vec::new() }
    }

    /// The packets held for whoever claims the flow next.
    fn held(&self) -> &[Vec<u8>] {
        match self {
            Entry::Unclaimed { held, .. } | Entry::Claimed { held, .. } => held,
            Entry::Held { .. } | Entry::Absent { .. } => &[],
        }
    }

    fn held_mut(&mut self) -> Option<&mut Vec<Vec<u8>>> {
        match self {
            Entry::Unclaimed { held, .. } | Entry::Claimed { held, .. } => Some(held),
            Entry::Held { .. } | Entry::Absent { .. } => None,
        }
    }
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
        self.hold(key, packet);
        step
    }

    /// Holds a packet that went to a half-open flow of this agent's own, as
    /// another agent may yet claim the flow.
    pub fn hold_for_claimants(&mut self, key: &FlowKey, packet: &[u8], now: Instant) {
        if !self.is_full_for(key) {
            self.entries.entry(*key).or_insert_with(|| Entry::unclaimed(now, None));
            self.hold(key, packet);
        }
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
            Some(Entry::Claimed { claimants, since, last_asked, .. })
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
            Some(Entry::Unclaimed { last_asked, denied, .. }) => {
                if others.iter().all(|other| denied.contains(other)) {
                    let until = now + ABSENT_LIFETIME;
                    self.replace(key, Entry::Absent { until });
                    return LookupStep::Absent;
                }
                let was_asked = |asked| now.saturating_duration_since(asked) < ASK_INTERVAL;
                if last_asked.is_some_and(was_asked) {
                    return LookupStep::Wait;
                }
                *last_asked = Some(now);
                LookupStep::Ask
            }
            _ => self.start_asking(key, now),
        }
    }

    fn start_asking(&mut self, key: &FlowKey, now: Instant) -> LookupStep {
        if self.is_full_for(key) {
            return LookupStep::Wait;
        }
        self.replace(key, Entry::unclaimed(now, Some(now)));
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
                let was_claimant = self.is_claimant(key, from);
                let until = now + HOLDER_LIFETIME;
                let held = self.replace(key, Entry::Held { holder: from, until });
                if was_claimant { Vec::new() } else { held }
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
            Some(Entry::Claimed { claimants, held, .. }) => {
                if claimants.contains(&from) || claimants.len() >= CLAIMS_PER_FLOW {
                    return Vec::new();
                }
                claimants.push(from);
                held.clone()
            }
            _ => self.first_claimed(key, from, now),
        }
    }

    fn first_claimed(&mut self, key: &FlowKey, from: TargetId, now: Instant) -> Vec<Vec<u8>> {
        let claimants = vec![from];
        let held = Vec::new();
        let claimed = Entry::Claimed { claimants, since: now, last_asked: now, held };
        let released = self.replace(key, claimed);
        // Another claim may follow.
        for packet in &released {
            self.hold(key, packet);
        }
        released
    }

    fn is_claimant(&self, key: &FlowKey, target: TargetId) -> bool {
        let entry = self.entries.get(key);
        matches!(entry, Some(Entry::Claimed { claimants, .. }) if claimants.contains(&target))
    }

    fn denied(&mut self, key: &FlowKey, from: TargetId) {
        let forget = match self.entries.get_mut(key) {
            Some(Entry::Unclaimed { denied, .. }) => {
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
            self.forget(key);
        }
    }

    /// Forgets what is known of a flow, as when this agent holds it itself.
    pub fn forget(&mut self, key: &FlowKey) {
        if let Some(entry) = self.entries.remove(key) {
            self.held_in_all -= entry.held().len();
        }
    }

    fn hold(&mut self, key: &FlowKey, packet: &[u8]) {
        if let Some(held) = self.entries.get_mut(key).and_then(Entry::held_mut)
            && held.len() < HELD_PER_FLOW
            && self.held_in_all < HELD_IN_ALL
        {
            held.push(packet.to_vec());
            self.held_in_all += 1;
        }
    }

    /// Replaces an entry and returns the packets that it held.
    fn replace(&mut self, key: &FlowKey, entry: Entry) -> Vec<Vec<u8>> {
        let mut previous = self.entries.insert(*key, entry);
        let held = previous.as_mut().and_then(Entry::held_mut).map(std::mem::take);
        let held = held.unwrap_or_default();
        self.held_in_all -= held.len();
        held
    }

    fn is_full_for(&self, key: &FlowKey) -> bool {
        self.entries.len() >= CAPACITY && !self.entries.contains_key(key)
    }

    /// Drops what has expired. To be called every few seconds.
    pub fn expire(&mut self, now: Instant) {
        let held_in_all = &mut self.held_in_all;
        self.entries.retain(|_, entry| {
            let keep = match entry {
                Entry::Unclaimed { since, last_asked, .. } => {
                    let last = last_asked.unwrap_or(*since);
                    now.saturating_duration_since(last) < UNCLAIMED_LIFETIME
                }
                Entry::Claimed { since, .. } => {
                    now.saturating_duration_since(*since) < CLAIM_LIFETIME
                }
                Entry::Held { until, .. } | Entry::Absent { until } => *until > now,
            };
            if !keep {
                *held_in_all -= entry.held().len();
            }
            keep
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
