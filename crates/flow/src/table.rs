//! Flow table: the flows that an agent holds, and the quarantined keys of ended flows.

use std::collections::{HashMap, VecDeque};
use std::time::{Duration, Instant};

use weirhinge_packet::FlowKey;

use crate::expiring_set::ExpiringSet;

/// Maximum number of quarantined keys: 30 s at 2,000 flows per second.
const QUARANTINE_CAPACITY: usize = 60_000;

/// A flow that has been half-open for at least this long may be evicted in favor of a new one when
/// the half-open limit is reached.
const MIN_AGE_FOR_EVICTION: Duration = Duration::from_secs(3);

/// State of a flow's connection setup.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FlowPhase {
    /// The back end or the client has not completed the handshake yet (half-open).
    Opening,
    /// Both the client and the back end are connected.
    Open,
}

/// Reason why a flow was not inserted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FlowTableError {
    /// The limit of half-open flows is reached, and none of them may be evicted.
    HalfOpenLimit,
    /// The key was used recently, and packets of its previous flow may still be in transit.
    Quarantined,
    /// The table already holds the flow.
    Present,
}

impl FlowTableError {
    /// Returns the name of the reason as used in metrics.
    pub fn name(self) -> &'static str {
        match self {
            FlowTableError::HalfOpenLimit => "half_open_limit",
            FlowTableError::Quarantined => "quarantined",
            FlowTableError::Present => "present",
        }
    }
}

#[derive(Debug)]
struct Entry<H> {
    handle: H,
    phase: FlowPhase,
    inserted_at: Instant,
    /// Whether the client's packets carry the holder hint.
    hinted: bool,
}

/// Maps the key of each flow to a handle of type `H` and to the flow's phase.
#[derive(Debug)]
pub struct FlowTable<H> {
    entries: HashMap<FlowKey, Entry<H>>,
    quarantine: ExpiringSet<FlowKey>,
    /// Insertion times and keys of half-open flows, oldest first. May contain stale entries of
    /// flows that have since opened or ended, which are skipped.
    half_open_by_age: VecDeque<(Instant, FlowKey)>,
    half_open_count: usize,
    half_open_limit: usize,
}

impl<H> FlowTable<H> {
    /// Creates an empty table. A key is quarantined for `quarantine` after its flow has ended.
    pub fn new(half_open_limit: usize, quarantine: Duration) -> Self {
        Self {
            entries: HashMap::new(),
            quarantine: ExpiringSet::new(quarantine, QUARANTINE_CAPACITY),
            half_open_by_age: VecDeque::new(),
            half_open_count: 0,
            half_open_limit,
        }
    }

    /// Inserts a flow in [`FlowPhase::Opening`]. If the half-open limit is reached, the oldest
    /// half-open flow is evicted, provided that it is old enough.
    ///
    /// # Errors
    /// Returns an error if the table already holds the flow, its key is quarantined, or the
    /// half-open limit is reached and no flow may be evicted.
    pub fn insert(&mut self, key: FlowKey, handle: H, now: Instant) -> Result<(), FlowTableError> {
        self.check_insert(&key, now)?;
        if self.half_open_count >= self.half_open_limit
            && let Some(oldest) = self.oldest_half_open()
        {
            self.remove(&oldest.1, now);
        }
        self.half_open_count += 1;
        self.half_open_by_age.push_back((now, key));
        let phase = FlowPhase::Opening;
        self.entries.insert(key, Entry { handle, phase, inserted_at: now, hinted: false });
        Ok(())
    }

    /// Returns the insertion time and the key of the oldest half-open flow, after removing stale
    /// entries ahead of it.
    fn oldest_half_open(&mut self) -> Option<(Instant, FlowKey)> {
        while let Some(&(inserted_at, key)) = self.half_open_by_age.front() {
            let entry = self.entries.get(&key);
            if entry.is_some_and(|entry| entry.phase == FlowPhase::Opening) {
                return Some((inserted_at, key));
            }
            self.half_open_by_age.pop_front();
        }
        None
    }

    /// Checks whether [`FlowTable::insert`] would succeed, without inserting the flow.
    ///
    /// # Errors
    /// Returns the same errors as [`FlowTable::insert`].
    pub fn check_insert(&mut self, key: &FlowKey, now: Instant) -> Result<(), FlowTableError> {
        if self.entries.contains_key(key) {
            return Err(FlowTableError::Present);
        }
        if self.quarantine.contains(key, now) {
            return Err(FlowTableError::Quarantined);
        }
        if self.half_open_count < self.half_open_limit {
            return Ok(());
        }
        match self.oldest_half_open() {
            Some((inserted_at, _)) if now.duration_since(inserted_at) >= MIN_AGE_FOR_EVICTION => {
                Ok(())
            }
            _ => Err(FlowTableError::HalfOpenLimit),
        }
    }

    /// Moves a flow to [`FlowPhase::Open`]. `hinted` is whether the client's packets carry the
    /// holder hint.
    pub fn mark_open(&mut self, key: &FlowKey, hinted: bool) {
        if let Some(entry) = self.entries.get_mut(key)
            && entry.phase == FlowPhase::Opening
        {
            entry.phase = FlowPhase::Open;
            entry.hinted = hinted;
            self.half_open_count -= 1;
            self.trim_age_list();
        }
    }

    /// Removes stale entries from the age list once it exceeds twice the half-open limit.
    fn trim_age_list(&mut self) {
        if self.half_open_by_age.len() > 2 * self.half_open_limit {
            let entries = &self.entries;
            self.half_open_by_age.retain(|(_, key)| {
                entries.get(key).is_some_and(|entry| entry.phase == FlowPhase::Opening)
            });
        }
    }

    /// Removes a flow and quarantines its key. Returns its handle.
    pub fn remove(&mut self, key: &FlowKey, now: Instant) -> Option<H> {
        let handle = self.release(key)?;
        self.quarantine.insert(*key, now);
        Some(handle)
    }

    /// Removes a flow without quarantining its key. Returns its handle.
    pub fn release(&mut self, key: &FlowKey) -> Option<H> {
        let entry = self.entries.remove(key)?;
        if entry.phase == FlowPhase::Opening {
            self.half_open_count -= 1;
            self.trim_age_list();
        }
        Some(entry.handle)
    }

    /// Returns a flow's phase and the time since its insertion.
    pub fn phase(&self, key: &FlowKey, now: Instant) -> Option<(FlowPhase, Duration)> {
        let entry = self.entries.get(key)?;
        Some((entry.phase, now.saturating_duration_since(entry.inserted_at)))
    }

    /// Returns the handle of a flow.
    pub fn get(&self, key: &FlowKey) -> Option<&H> {
        self.entries.get(key).map(|entry| &entry.handle)
    }

    /// Returns `true` if the key is quarantined at `now`.
    pub fn is_quarantined(&mut self, key: &FlowKey, now: Instant) -> bool {
        self.quarantine.contains(key, now)
    }

    /// Removes all flows and drops their handles. Quarantined keys remain quarantined.
    pub fn clear(&mut self) {
        self.entries.clear();
        self.half_open_by_age.clear();
        self.half_open_count = 0;
    }

    /// Returns the number of flows, half-open ones included.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns `true` if the table holds no flow.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Returns the number of half-open flows.
    pub fn half_open_count(&self) -> usize {
        self.half_open_count
    }

    /// Iterates over the keys of open flows whose packets carry no holder hint, in arbitrary order.
    pub fn open_without_hint(&self) -> impl Iterator<Item = &FlowKey> {
        let is_open_without_hint =
            |entry: &Entry<H>| entry.phase == FlowPhase::Open && !entry.hinted;
        self.entries
            .iter()
            .filter(move |(_, entry)| is_open_without_hint(entry))
            .map(|(key, _)| key)
    }
}
