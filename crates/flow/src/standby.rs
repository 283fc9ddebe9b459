//! Standby queue: opening packets that this agent handles if no other agent claims their flows.
//!
//! The balancer sends each opening packet to the owner of its bucket and to the standby owner. The
//! agent that admits the flow sends a claim to both. If no claim has arrived when a packet becomes
//! due, the standby owner handles it in place of the owner. After several such packets in a row it
//! considers that owner unresponsive and does not wait for it for a while. Likewise, the agent that
//! starts a chain of offers is standby for the chain's candidates. Two agents may therefore answer
//! the same packet; the client decides between them by the answer that it acknowledges.

use std::collections::{HashMap, HashSet, VecDeque};
use std::time::{Duration, Instant};

use weirhinge_config::TargetId;
use weirhinge_packet::FlowKey;

/// How long a standby owner waits for a claim before it handles a packet. Longer than a chain of
/// offers plus a back end connection takes and than [`CANDIDATES_TIMEOUT`], which the owner itself
/// waits; short enough that clients do not notice.
const OWNER_TIMEOUT: Duration = Duration::from_millis(250);
/// How long the agent that starts a chain of offers waits for a claim. Longer than a chain across
/// zones takes, and so much shorter than [`OWNER_TIMEOUT`] that the claim after a timeout still
/// reaches the standby owner in time.
const CANDIDATES_TIMEOUT: Duration = Duration::from_millis(100);
/// Number of consecutive unclaimed packets after which an owner is considered unresponsive.
const UNRESPONSIVE_THRESHOLD: u32 = 3;
/// How long an owner is considered unresponsive before the agent waits for it again.
const UNRESPONSIVE_PERIOD: Duration = Duration::from_secs(3);
/// Maximum number of queued packets. Further packets are not queued and left to the owner.
const CAPACITY: usize = 4_096;

/// A packet that became due before its flow was claimed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DuePacket {
    /// Key of the flow that the packet opens.
    pub key: FlowKey,
    /// The bytes of the opening packet.
    pub packet: Vec<u8>,
}

#[derive(Clone, Copy, Debug, Default)]
struct MissedClaims {
    consecutive: u32,
    unresponsive_until: Option<Instant>,
}

#[derive(Debug)]
struct QueuedPacket {
    due: Instant,
    awaited: TargetId,
    packet: DuePacket,
}

/// Opening packets that an agent holds until they are claimed or due, in the order of their due
/// times.
#[derive(Debug)]
pub struct StandbyQueue {
    timeout: Duration,
    queue: VecDeque<QueuedPacket>,
    queued_keys: HashSet<FlowKey>,
    missed_claims: HashMap<TargetId, MissedClaims>,
}

impl Default for StandbyQueue {
    fn default() -> Self {
        Self::for_owners()
    }
}

impl StandbyQueue {
    /// Creates the queue of a standby owner, which waits for the owners of its packets.
    pub fn for_owners() -> Self {
        Self::with_timeout(OWNER_TIMEOUT)
    }

    /// Creates the queue of an agent that starts chains of offers and waits for their candidates.
    pub fn for_candidates() -> Self {
        Self::with_timeout(CANDIDATES_TIMEOUT)
    }

    fn with_timeout(timeout: Duration) -> Self {
        Self {
            timeout,
            queue: VecDeque::new(),
            queued_keys: HashSet::new(),
            missed_claims: HashMap::new(),
        }
    }

    /// Returns `true` if several consecutive packets of this owner were recently left unclaimed.
    /// Its packets should then be handled without waiting.
    pub fn is_unresponsive(&self, owner: TargetId, now: Instant) -> bool {
        self.missed_claims
            .get(&owner)
            .is_some_and(|missed| missed.unresponsive_until.is_some_and(|until| until > now))
    }

    /// Queues a packet until `awaited` or another agent claims its flow. Retransmissions of a
    /// queued packet are ignored.
    pub fn push(&mut self, key: FlowKey, awaited: TargetId, packet: &[u8], now: Instant) {
        if self.queue.len() >= CAPACITY || !self.queued_keys.insert(key) {
            return;
        }
        let packet = DuePacket { key, packet: packet.to_vec() };
        self.queue.push_back(QueuedPacket { due: now + self.timeout, awaited, packet });
    }

    /// Returns the time at which the next packet becomes due.
    pub fn next_due(&self) -> Option<Instant> {
        self.queue.front().map(|queued| queued.due)
    }

    /// Removes and returns the next packet that is due and unclaimed. `is_claimed` returns whether
    /// an agent has claimed the flow.
    pub fn take_due(
        &mut self,
        now: Instant,
        mut is_claimed: impl FnMut(&FlowKey) -> bool,
    ) -> Option<DuePacket> {
        while self.queue.front().is_some_and(|queued| queued.due <= now) {
            let QueuedPacket { awaited, packet, .. } = self.queue.pop_front()?;
            self.queued_keys.remove(&packet.key);
            if is_claimed(&packet.key) {
                self.missed_claims.remove(&awaited);
                continue;
            }
            let missed = self.missed_claims.entry(awaited).or_default();
            missed.consecutive += 1;
            if missed.consecutive >= UNRESPONSIVE_THRESHOLD {
                missed.unresponsive_until = Some(now + UNRESPONSIVE_PERIOD);
            }
            return Some(packet);
        }
        None
    }
}
