//! Opening packets for which this agent stands by.
//!
//! The balancer sends each opening packet to the owner of its bucket and to the
//! deputy. Whoever admits the flow claims it with both. If no claim has come
//! when a packet falls due, the deputy acts in the owner's place; after several
//! such packets in a row it stops waiting for that owner for a while. In the same
//! way, whoever of the two starts a chain of offers stands by for its candidates.
//! Two agents may then answer one packet, which the caller settles.

use std::collections::{HashMap, HashSet, VecDeque};
use std::time::{Duration, Instant};

use weirhinge_config::TargetId;
use weirhinge_packet::FlowKey;

/// How long the owner has. Longer than a chain of offers and a connection to
/// the back end take, and than the owner itself waits for its candidates;
/// shorter than a caller notices.
const OWNER_DELAY: Duration = Duration::from_millis(250);
/// How long the candidates of an offer have. Longer than their chain takes
/// between zones, and so much shorter than the owner's time that the deputy
/// hears of the claim that follows.
const CANDIDATES_DELAY: Duration = Duration::from_millis(100);
/// Unclaimed packets in a row after which an owner counts as silent.
const SILENT_AFTER: u32 = 3;
/// How long an owner counts as silent before it is given time again.
const SILENT_TIME: Duration = Duration::from_secs(3);
/// Most packets waiting at once; further ones are left to the owner alone.
const CAPACITY: usize = 4_096;

/// A packet that has fallen due without a claim.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DuePacket {
    /// The flow that it opens.
    pub key: FlowKey,
    /// The packet.
    pub packet: Vec<u8>,
}

#[derive(Clone, Copy, Debug, Default)]
struct Silence {
    unclaimed: u32,
    until: Option<Instant>,
}

#[derive(Debug)]
struct Waiting {
    due: Instant,
    awaited: TargetId,
    packet: DuePacket,
}

/// What one agent stands by for.
#[derive(Debug)]
pub struct StandbyQueue {
    delay: Duration,
    waiting: VecDeque<Waiting>,
    keys: HashSet<FlowKey>,
    silences: HashMap<TargetId, Silence>,
}

impl Default for StandbyQueue {
    fn default() -> Self {
        Self::for_owners()
    }
}

impl StandbyQueue {
    /// The queue of a deputy, which waits for the owners of its packets.
    pub fn for_owners() -> Self {
        Self::with_delay(OWNER_DELAY)
    }

    /// The queue of whoever starts chains of offers and waits for the candidates.
    pub fn for_candidates() -> Self {
        Self::with_delay(CANDIDATES_DELAY)
    }

    fn with_delay(delay: Duration) -> Self {
        Self { delay, waiting: VecDeque::new(), keys: HashSet::new(), silences: HashMap::new() }
    }

    /// Whether this owner has left several packets in a row unclaimed lately:
    /// then its packets need not wait.
    pub fn is_silent(&self, owner: TargetId, now: Instant) -> bool {
        self.silences
            .get(&owner)
            .is_some_and(|silence| silence.until.is_some_and(|until| until > now))
    }

    /// Takes a packet to stand by for until `awaited` or another agent claims its
    /// flow; a repeated one waits only once.
    pub fn push(&mut self, key: FlowKey, awaited: TargetId, packet: &[u8], now: Instant) {
        if self.waiting.len() >= CAPACITY || !self.keys.insert(key) {
            return;
        }
        let packet = DuePacket { key, packet: packet.to_vec() };
        self.waiting.push_back(Waiting { due: now + self.delay, awaited, packet });
    }

    /// When the next packet falls due.
    pub fn next_due(&self) -> Option<Instant> {
        self.waiting.front().map(|waiting| waiting.due)
    }

    /// Takes the next packet that is due and unclaimed. `is_claimed` tells
    /// whether somebody has the flow.
    pub fn take_due(
        &mut self,
        now: Instant,
        mut is_claimed: impl FnMut(&FlowKey) -> bool,
    ) -> Option<DuePacket> {
        while self.waiting.front().is_some_and(|waiting| waiting.due <= now) {
            let Waiting { awaited, packet, .. } = self.waiting.pop_front()?;
            self.keys.remove(&packet.key);
            if is_claimed(&packet.key) {
                self.silences.remove(&awaited);
                continue;
            }
            let silence = self.silences.entry(awaited).or_default();
            silence.unclaimed += 1;
            if silence.unclaimed >= SILENT_AFTER {
                silence.until = Some(now + SILENT_TIME);
            }
            return Some(packet);
        }
        None
    }
}
