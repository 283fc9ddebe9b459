//! The flows that an agent holds, and the keys that may not be used again yet.

use std::collections::{HashMap, VecDeque};
use std::time::{Duration, Instant};

use weirhinge_packet::FlowKey;

use crate::recent::RecentSet;

/// Most closed keys remembered; 30 s at 2,000 flows a second.
const QUARANTINE_CAPACITY: usize = 60_000;

/// A flow that has been opening for this long may be dropped for a new one when
/// too many are opening.
const SPARED_OPENING_TIME: Duration = Duration::from_secs(3);

/// How far a flow has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FlowPhase {
    /// The back end or the caller has not confirmed yet.
    Opening,
    /// Both sides are connected.
    Open,
}

/// Why a flow was not added.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FlowTableError {
    /// As many flows are opening as may.
    HalfOpenLimit,
    /// A packet of the key's last use may still be on its way.
    Quarantined,
    /// The table holds the flow already.
    Present,
}

impl FlowTableError {
    /// The reason's name as it appears in metrics.
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
    began: Instant,
    /// Whether the flow's packets carry the holder hint.
    hinted: bool,
}

/// Flows by key, each with a handle of the caller's choosing.
#[derive(Debug)]
pub struct FlowTable<H> {
    entries: HashMap<FlowKey, Entry<H>>,
    quarantine: RecentSet<FlowKey>,
    /// Keys in the order in which they began to open; entries whose flow has
    /// opened or gone since are passed over.
    by_age: VecDeque<(Instant, FlowKey)>,
    opening: usize,
    half_open_limit: usize,
}

impl<H> FlowTable<H> {
    /// An empty table. A key rests for `quarantine` after its flow has ended.
    pub fn new(half_open_limit: usize, quarantine: Duration) -> Self {
        Self {
            entries: HashMap::new(),
            quarantine: RecentSet::new(quarantine, QUARANTINE_CAPACITY),
            by_age: VecDeque::new(),
            opening: 0,
            half_open_limit,
        }
    }

    /// Adds a flow in [`FlowPhase::Opening`]. If too many flows are opening, the
    /// oldest one goes in its place, unless all are young.
    ///
    /// # Errors
    /// When the table holds it, its key rests, or too many flows are opening.
    pub fn insert(&mut self, key: FlowKey, handle: H, now: Instant) -> Result<(), FlowTableError> {
        self.check_insert(&key, now)?;
        if self.opening >= self.half_open_limit
            && let Some(oldest) = self.oldest_opening()
        {
            self.remove(&oldest.1, now);
        }
        self.opening += 1;
        self.by_age.push_back((now, key));
        let phase = FlowPhase::Opening;
        self.entries.insert(key, Entry { handle, phase, began: now, hinted: false });
        Ok(())
    }

    /// The flow that has been opening for longest.
    fn oldest_opening(&mut self) -> Option<(Instant, FlowKey)> {
        while let Some(&(began, key)) = self.by_age.front() {
            let entry = self.entries.get(&key);
            if entry.is_some_and(|entry| entry.phase == FlowPhase::Opening) {
                return Some((began, key));
            }
            self.by_age.pop_front();
        }
        None
    }

    /// Whether [`FlowTable::insert`] would succeed, without adding the flow.
    ///
    /// # Errors
    /// As for [`FlowTable::insert`].
    pub fn check_insert(&mut self, key: &FlowKey, now: Instant) -> Result<(), FlowTableError> {
        if self.entries.contains_key(key) {
            return Err(FlowTableError::Present);
        }
        if self.quarantine.contains(key, now) {
            return Err(FlowTableError::Quarantined);
        }
        if self.opening < self.half_open_limit {
            return Ok(());
        }
        match self.oldest_opening() {
            Some((began, _)) if now.duration_since(began) >= SPARED_OPENING_TIME => Ok(()),
            _ => Err(FlowTableError::HalfOpenLimit),
        }
    }

    /// Marks a flow as open. `hinted` tells whether its packets carry the holder
    /// hint.
    pub fn opened(&mut self, key: &FlowKey, hinted: bool) {
        if let Some(entry) = self.entries.get_mut(key)
            && entry.phase == FlowPhase::Opening
        {
            entry.phase = FlowPhase::Open;
            entry.hinted = hinted;
            self.opening -= 1;
            self.trim_ages();
        }
    }

    /// Keeps the list of ages no longer than a few times what it must hold.
    fn trim_ages(&mut self) {
        if self.by_age.len() > 2 * self.half_open_limit {
            let entries = &self.entries;
            self.by_age.retain(|(_, key)| {
                entries.get(key).is_some_and(|entry| entry.phase == FlowPhase::Opening)
            });
        }
    }

    /// Removes a flow and lets its key rest. Returns its handle.
    pub fn remove(&mut self, key: &FlowKey, now: Instant) -> Option<H> {
        let handle = self.release(key)?;
        self.quarantine.insert(*key, now);
        Some(handle)
    }

    /// Removes a flow whose key may be used again at once. Returns its handle.
    pub fn release(&mut self, key: &FlowKey) -> Option<H> {
        let entry = self.entries.remove(key)?;
        if entry.phase == FlowPhase::Opening {
            self.opening -= 1;
            self.trim_ages();
        }
        Some(entry.handle)
    }

    /// How far a flow has come, and for how long it has been held.
    pub fn phase(&self, key: &FlowKey, now: Instant) -> Option<(FlowPhase, Duration)> {
        let entry = self.entries.get(key)?;
        Some((entry.phase, now.saturating_duration_since(entry.began)))
    }

    /// The handle of a flow.
    pub fn get(&self, key: &FlowKey) -> Option<&H> {
        self.entries.get(key).map(|entry| &entry.handle)
    }

    /// Whether a key rests at this moment.
    pub fn is_quarantined(&mut self, key: &FlowKey, now: Instant) -> bool {
        self.quarantine.contains(key, now)
    }

    /// Drops every flow with its handle.
    pub fn clear(&mut self) {
        self.entries.clear();
        self.by_age.clear();
        self.opening = 0;
    }

    /// Number of flows held.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether no flow is held.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Number of flows that are opening.
    pub fn opening(&self) -> usize {
        self.opening
    }

    /// Open flows whose packets carry no hint, in no particular order.
    pub fn open_without_hint(&self) -> impl Iterator<Item = &FlowKey> {
        let is_wanted = |entry: &Entry<H>| entry.phase == FlowPhase::Open && !entry.hinted;
        self.entries.iter().filter(move |(_, entry)| is_wanted(entry)).map(|(key, _)| key)
    }
}
