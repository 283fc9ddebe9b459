//! Holder directory: finds the agent that holds a flow which this agent does not hold.
//!
//! Most packets reach their holder by the hint in their timestamps. For the others, the agent of
//! the bucket's owner queries the service's other agents, caches the answer, and forwards the
//! packet. A flow is considered absent only after all other agents have answered that they do not
//! hold it; a missing answer never counts as a negative one.
//!
//! An agent that admits a flow of another agent's bucket sends a claim to the owner, so that a
//! retransmitted opening packet reaches the same agent. It can still happen that two agents answer
//! one opening packet. Only the client decides between them, by the sequence number that it
//! acknowledges. Until one of them reports the flow as open, packets are forwarded to all
//! claimants, since an agent that the client did not choose does not respond to them.
//!
//! A few packets of each flow that is not known to be open are buffered and also sent to every
//! later claimant. Otherwise the client would have to wait for its own retransmission if the claim
//! of the agent that it chose arrives last.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use weirhinge_config::TargetId;
use weirhinge_packet::FlowKey;
use weirhinge_wire::Holding;

/// How long a holder is cached after the flow's last packet. A holder that no longer holds the flow
/// reports so when a packet is forwarded to it, which removes the entry.
const HOLDER_LIFETIME: Duration = Duration::from_secs(600);
/// How long a claim of a half-open flow is cached.
const CLAIM_LIFETIME: Duration = Duration::from_secs(30);
/// How long retransmitted opening packets are sent to an earlier claimant. After that, the claimant
/// may have failed, and the flow is offered again.
const RETRANSMISSION_FOLLOWS_CLAIM: Duration = Duration::from_secs(5);
/// Age at which a claim whose flow is still not open becomes uncertain: the client may have chosen
/// another agent, so the other agents are queried as well.
const UNCERTAIN_CLAIM_AGE: Duration = Duration::from_millis(500);
/// How long a flow that all other agents have denied holding is considered absent.
const ABSENT_LIFETIME: Duration = Duration::from_secs(2);
/// How long to wait for answers before the query is repeated.
const QUERY_INTERVAL: Duration = Duration::from_millis(100);
/// How long an entry without a claim is kept after the last query.
const UNCLAIMED_LIFETIME: Duration = Duration::from_secs(5);
/// Maximum number of entries. Packets of further flows are dropped.
const CAPACITY: usize = 16_384;
/// Maximum number of claimants recorded per flow.
const MAX_CLAIMANTS_PER_FLOW: usize = 4;
/// Maximum number of packets buffered per flow. Further packets are not buffered.
const MAX_BUFFERED_PER_FLOW: usize = 4;
/// Maximum number of packets buffered for all flows together.
const MAX_BUFFERED_TOTAL: usize = 1_024;

/// How to handle a packet whose flow this agent does not hold.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LookupStep {
    /// Query all other agents of the service. The packet is buffered if the limits allow.
    Query,
    /// Answers are outstanding or the directory is full. The packet is buffered if the limits
    /// allow, and dropped otherwise.
    Wait,
    /// Forward the packet to these targets, one of which is expected to hold the flow.
    Forward(Vec<TargetId>),
    /// Forward the packet to these targets and query all other agents as well.
    ForwardAndQuery(Vec<TargetId>),
    /// No agent holds the flow.
    Absent,
}

#[derive(Debug)]
enum Entry {
    /// No agent has claimed the flow. `last_queried` is `None` until the first query.
    Unclaimed {
        created_at: Instant,
        last_queried: Option<Instant>,
        denied_by: Vec<TargetId>,
        buffered: Vec<Vec<u8>>,
    },
    /// Other agents have claimed the flow, but none has reported it as open.
    Claimed {
        claimants: Vec<TargetId>,
        claimed_at: Instant,
        last_queried: Instant,
        buffered: Vec<Vec<u8>>,
    },
    /// An agent has reported the flow as open.
    KnownHolder { holder: TargetId, expires_at: Instant },
    /// All other agents have denied holding the flow.
    Absent { expires_at: Instant },
}

impl Entry {
    fn unclaimed(now: Instant, last_queried: Option<Instant>) -> Self {
        Entry::Unclaimed {
            created_at: now,
            last_queried,
            denied_by: Vec::new(),
            buffered: Vec::new(),
        }
    }

    /// Returns the packets buffered for the next claimant.
    fn buffered(&self) -> &[Vec<u8>] {
        match self {
            Entry::Unclaimed { buffered, .. } | Entry::Claimed { buffered, .. } => buffered,
            Entry::KnownHolder { .. } | Entry::Absent { .. } => &[],
        }
    }

    fn buffered_mut(&mut self) -> Option<&mut Vec<Vec<u8>>> {
        match self {
            Entry::Unclaimed { buffered, .. } | Entry::Claimed { buffered, .. } => Some(buffered),
            Entry::KnownHolder { .. } | Entry::Absent { .. } => None,
        }
    }
}

/// One agent's records of the flows that other agents hold or claim.
#[derive(Debug, Default)]
pub struct HolderDirectory {
    entries: HashMap<FlowKey, Entry>,
    buffered_total: usize,
}

impl HolderDirectory {
    /// Decides how to handle a packet of a flow that this agent does not hold, and buffers the
    /// packet if the flow is not known to be open. `others` are the service's other targets at the
    /// agent's configuration revision.
    pub fn locate(
        &mut self,
        key: &FlowKey,
        others: &[TargetId],
        packet: &[u8],
        now: Instant,
    ) -> LookupStep {
        let step = self.next_step(key, others, now);
        self.buffer(key, packet);
        step
    }

    /// Buffers a packet that was delivered to this agent's own half-open flow, because another
    /// agent may still claim the flow.
    pub fn buffer_for_claimants(&mut self, key: &FlowKey, packet: &[u8], now: Instant) {
        if !self.is_full_for(key) {
            self.entries.entry(*key).or_insert_with(|| Entry::unclaimed(now, None));
            self.buffer(key, packet);
        }
    }

    fn next_step(&mut self, key: &FlowKey, others: &[TargetId], now: Instant) -> LookupStep {
        if others.is_empty() {
            return LookupStep::Absent;
        }
        match self.entries.get_mut(key) {
            Some(Entry::KnownHolder { holder, expires_at })
                if *expires_at > now && others.contains(holder) =>
            {
                *expires_at = now + HOLDER_LIFETIME;
                LookupStep::Forward(vec![*holder])
            }
            Some(Entry::Claimed { claimants, claimed_at, last_queried, .. })
                if now.saturating_duration_since(*claimed_at) < CLAIM_LIFETIME =>
            {
                let is_uncertain =
                    now.saturating_duration_since(*claimed_at) >= UNCERTAIN_CLAIM_AGE;
                if !is_uncertain || now.saturating_duration_since(*last_queried) < QUERY_INTERVAL {
                    return LookupStep::Forward(claimants.clone());
                }
                *last_queried = now;
                LookupStep::ForwardAndQuery(claimants.clone())
            }
            Some(Entry::Absent { expires_at }) if *expires_at > now => LookupStep::Absent,
            Some(Entry::Unclaimed { last_queried, denied_by, .. }) => {
                if others.iter().all(|other| denied_by.contains(other)) {
                    let expires_at = now + ABSENT_LIFETIME;
                    self.replace(key, Entry::Absent { expires_at });
                    return LookupStep::Absent;
                }
                let is_recent =
                    |queried_at| now.saturating_duration_since(queried_at) < QUERY_INTERVAL;
                if last_queried.is_some_and(is_recent) {
                    return LookupStep::Wait;
                }
                *last_queried = Some(now);
                LookupStep::Query
            }
            _ => self.start_query(key, now),
        }
    }

    fn start_query(&mut self, key: &FlowKey, now: Instant) -> LookupStep {
        if self.is_full_for(key) {
            return LookupStep::Wait;
        }
        self.replace(key, Entry::unclaimed(now, Some(now)));
        LookupStep::Query
    }

    /// Returns the target to which a retransmitted opening packet should be sent, if a target holds
    /// the flow or has recently claimed it.
    pub fn recent_claim(&self, key: &FlowKey, now: Instant) -> Option<TargetId> {
        match self.entries.get(key)? {
            Entry::Claimed { claimants, claimed_at, .. }
                if now.saturating_duration_since(*claimed_at) < RETRANSMISSION_FOLLOWS_CLAIM =>
            {
                claimants.first().copied()
            }
            Entry::KnownHolder { holder, expires_at } if *expires_at > now => Some(*holder),
            _ => None,
        }
    }

    /// Returns `true` if another target has claimed the flow or is recorded as its holder.
    pub fn has_claim(&self, key: &FlowKey) -> bool {
        matches!(self.entries.get(key), Some(Entry::Claimed { .. } | Entry::KnownHolder { .. }))
    }

    /// Records a target's report on a flow, whether or not it was queried. Returns the buffered
    /// packets that should now be forwarded to that target.
    pub fn record_answer(
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
                let expires_at = now + HOLDER_LIFETIME;
                let buffered = self.replace(key, Entry::KnownHolder { holder: from, expires_at });
                if was_claimant { Vec::new() } else { buffered }
            }
            Holding::Opening => self.record_claim(key, from, now),
            Holding::Not => {
                self.record_denial(key, from);
                Vec::new()
            }
        }
    }

    fn record_claim(&mut self, key: &FlowKey, from: TargetId, now: Instant) -> Vec<Vec<u8>> {
        if self.is_full_for(key) {
            return Vec::new();
        }
        match self.entries.get_mut(key) {
            // A report that the flow is open takes precedence over any number of claims.
            Some(Entry::KnownHolder { expires_at, .. }) if *expires_at > now => Vec::new(),
            Some(Entry::Claimed { claimants, buffered, .. }) => {
                if claimants.contains(&from) || claimants.len() >= MAX_CLAIMANTS_PER_FLOW {
                    return Vec::new();
                }
                claimants.push(from);
                buffered.clone()
            }
            _ => self.record_first_claim(key, from, now),
        }
    }

    fn record_first_claim(&mut self, key: &FlowKey, from: TargetId, now: Instant) -> Vec<Vec<u8>> {
        let claimants = vec![from];
        let buffered = Vec::new();
        let claimed = Entry::Claimed { claimants, claimed_at: now, last_queried: now, buffered };
        let released = self.replace(key, claimed);
        // Keep the packets buffered, because another agent may claim the flow as well.
        for packet in &released {
            self.buffer(key, packet);
        }
        released
    }

    fn is_claimant(&self, key: &FlowKey, target: TargetId) -> bool {
        let entry = self.entries.get(key);
        matches!(entry, Some(Entry::Claimed { claimants, .. }) if claimants.contains(&target))
    }

    fn record_denial(&mut self, key: &FlowKey, from: TargetId) {
        let should_forget = match self.entries.get_mut(key) {
            Some(Entry::Unclaimed { denied_by, .. }) => {
                if !denied_by.contains(&from) {
                    denied_by.push(from);
                }
                false
            }
            Some(Entry::Claimed { claimants, .. }) => {
                claimants.retain(|&claimant| claimant != from);
                claimants.is_empty()
            }
            Some(Entry::KnownHolder { holder, .. }) => *holder == from,
            _ => false,
        };
        if should_forget {
            self.forget(key);
        }
    }

    /// Removes the entry of a flow, for instance because this agent holds the flow itself.
    pub fn forget(&mut self, key: &FlowKey) {
        if let Some(entry) = self.entries.remove(key) {
            self.buffered_total -= entry.buffered().len();
        }
    }

    fn buffer(&mut self, key: &FlowKey, packet: &[u8]) {
        if let Some(buffered) = self.entries.get_mut(key).and_then(Entry::buffered_mut)
            && buffered.len() < MAX_BUFFERED_PER_FLOW
            && self.buffered_total < MAX_BUFFERED_TOTAL
        {
            buffered.push(packet.to_vec());
            self.buffered_total += 1;
        }
    }

    /// Replaces an entry and returns the packets that the old one had buffered.
    fn replace(&mut self, key: &FlowKey, entry: Entry) -> Vec<Vec<u8>> {
        let mut previous = self.entries.insert(*key, entry);
        let buffered = previous.as_mut().and_then(Entry::buffered_mut).map(std::mem::take);
        let buffered = buffered.unwrap_or_default();
        self.buffered_total -= buffered.len();
        buffered
    }

    fn is_full_for(&self, key: &FlowKey) -> bool {
        self.entries.len() >= CAPACITY && !self.entries.contains_key(key)
    }

    /// Removes expired entries. Should be called every few seconds.
    pub fn expire(&mut self, now: Instant) {
        let buffered_total = &mut self.buffered_total;
        self.entries.retain(|_, entry| {
            let keep = match entry {
                Entry::Unclaimed { created_at, last_queried, .. } => {
                    let last_activity = last_queried.unwrap_or(*created_at);
                    now.saturating_duration_since(last_activity) < UNCLAIMED_LIFETIME
                }
                Entry::Claimed { claimed_at, .. } => {
                    now.saturating_duration_since(*claimed_at) < CLAIM_LIFETIME
                }
                Entry::KnownHolder { expires_at, .. } | Entry::Absent { expires_at } => {
                    *expires_at > now
                }
            };
            if !keep {
                *buffered_total -= entry.buffered().len();
            }
            keep
        });
    }

    /// Returns the number of flows with an entry.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns `true` if the directory has no entries.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }
}
