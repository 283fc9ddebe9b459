//! A bounded table of the flows that a balancer has seen.

use std::collections::{BTreeSet, HashMap};
use std::net::Ipv4Addr;

use weirhinge_fleet::Millis;

use crate::packet::FlowKey;

/// What a balancer knows about a flow.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FlowStage {
    /// An opening packet went to the target; no answer was reported yet.
    Opening,
    /// The opening packet waits here until a target has room.
    Queued,
    /// The flow is not known here; its packets look for the target that holds it.
    Searching,
    /// A search ended at no target; the next packet begins another.
    Unheld,
    /// The target holds the flow or answered its opening packet.
    Held,
}

/// One flow.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FlowEntry {
    /// The agent that the latest packet went to.
    pub agent: Ipv4Addr,
    /// What is known.
    pub stage: FlowStage,
    /// When the latest packet of the client came.
    pub used_at: Millis,
    /// When the current agent was first tried.
    pub tried_at: Millis,
    /// Agents whose targets did not take the flow's packets. Empty for nearly all
    /// flows, and then without an allocation.
    pub tried: BTreeSet<Ipv4Addr>,
    /// The rows of agents that searching packets are visiting now, each in turn.
    /// Empty while nothing is searched for.
    pub asked: Vec<Vec<Ipv4Addr>>,
    /// How often the search sent out rows.
    pub waves: u32,
    /// Agents of rows that did not come back: any of them may be the silent one.
    pub doubtful: BTreeSet<Ipv4Addr>,
    /// When a search first found that no target held the flow.
    pub unheld_since: Option<Millis>,
    /// Agents that the search asked alone, that did not answer, and whose targets may
    /// hold the flow.
    pub unanswered: Vec<Ipv4Addr>,
    /// Whether the opening packet was sent to wait at a target.
    pub has_waited: bool,
    /// How many agents sent the opening packet back because their targets fail.
    pub failing_returns: u32,
    /// When the client sent the flow's first packet.
    pub first_at: Millis,
    /// When the opening packet began to wait here.
    pub queued_at: Option<Millis>,
    /// Whether the opening packet was sent for an agent's grant of room.
    pub granted: bool,
    /// Whether a target that got a copy of the opening packet may still answer it, though
    /// the packet goes to another one or waits.
    pub may_be_open: bool,
}

impl FlowEntry {
    /// An entry for a flow whose packet goes to `agent` for the first time.
    pub fn new(agent: Ipv4Addr, stage: FlowStage, now: Millis) -> Self {
        Self {
            agent,
            stage,
            used_at: now,
            tried_at: now,
            tried: BTreeSet::new(),
            asked: Vec::new(),
            waves: 0,
            doubtful: BTreeSet::new(),
            unheld_since: None,
            unanswered: Vec::new(),
            has_waited: false,
            failing_returns: 0,
            first_at: now,
            queued_at: None,
            granted: false,
            may_be_open: false,
        }
    }

    /// Notes that an agent's target holds the flow.
    pub fn hold(&mut self, agent: Ipv4Addr) {
        self.agent = agent;
        self.stage = FlowStage::Held;
        self.tried.clear();
        self.end_round();
        self.unheld_since = None;
        self.unanswered.clear();
    }

    /// Nobody is asked now; the next search begins with its first wave.
    pub fn end_round(&mut self) {
        self.asked.clear();
        self.waves = 0;
        self.doubtful.clear();
    }

    /// Notes that an agent's target did not take the flow, nor did those that the
    /// packet visited before it. The rest of its row was not asked.
    pub fn note_returned(&mut self, agent: Ipv4Addr) {
        let row = self.asked.iter().position(|row| row.contains(&agent));
        let row = row.map(|place| self.asked.swap_remove(place)).unwrap_or_default();
        let visited = row.into_iter().take_while(|visited| *visited != agent);
        self.tried.extend(visited);
        self.tried.insert(agent);
    }
}

/// The table. A full one forgets the flow that it would have to search for with
/// the least harm: any, as a search finds the holder again.
#[derive(Clone, Debug)]
pub struct FlowTable {
    flows: HashMap<FlowKey, FlowEntry>,
    capacity: usize,
}

impl FlowTable {
    /// A table of at most `capacity` flows.
    pub fn new(capacity: usize) -> Self {
        Self { flows: HashMap::new(), capacity: capacity.max(1) }
    }

    /// The entry of a flow.
    pub fn get_mut(&mut self, key: &FlowKey) -> Option<&mut FlowEntry> {
        self.flows.get_mut(key)
    }

    /// Agents whose targets did not take a flow's packets.
    pub fn tried(&self, key: &FlowKey) -> &BTreeSet<Ipv4Addr> {
        const NONE: &BTreeSet<Ipv4Addr> = &BTreeSet::new();
        self.flows.get(key).map_or(NONE, |entry| &entry.tried)
    }

    /// Adds or replaces a flow's entry.
    pub fn insert(&mut self, key: FlowKey, entry: FlowEntry) {
        if self.flows.len() >= self.capacity && !self.flows.contains_key(&key) {
            let victim = self.flows.keys().next().copied();
            victim.and_then(|victim| self.flows.remove(&victim));
        }
        self.flows.insert(key, entry);
    }

    /// Forgets a flow.
    pub fn remove(&mut self, key: &FlowKey) {
        self.flows.remove(key);
    }

    /// Forgets the flows that rested for longer than `idle_ms`.
    pub fn expire(&mut self, now: Millis, idle_ms: Millis) {
        self.flows.retain(|_, entry| now.saturating_sub(entry.used_at) <= idle_ms);
    }

    /// Number of flows.
    pub fn len(&self) -> usize {
        self.flows.len()
    }

    /// Whether no flow is known.
    pub fn is_empty(&self) -> bool {
        self.flows.is_empty()
    }
}
