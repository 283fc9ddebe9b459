//! A bounded table of the flows that a balancer knows.

use std::collections::{BTreeSet, HashMap};
use std::net::Ipv4Addr;

use weirhinge_fleet::Millis;

use crate::packet::FlowKey;

/// The state of a flow at a balancer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FlowStage {
    /// The opening packet was sent to the target; no answer was reported yet.
    Opening,
    /// The opening packet waits at the balancer until a target has capacity.
    Queued,
    /// The balancer does not know which target holds the flow and is searching for it.
    Searching,
    /// A search found no target that holds the flow; the next packet starts another search.
    NotFound,
    /// The target holds the flow or has answered its opening packet.
    Held,
}

/// The entry of one flow.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FlowEntry {
    /// The agent that the latest packet was sent to.
    pub agent: Ipv4Addr,
    /// The flow's state.
    pub stage: FlowStage,
    /// When the latest packet of the client arrived.
    pub used_at: Millis,
    /// When the packet was first sent to the current agent.
    pub tried_at: Millis,
    /// Agents whose targets did not accept the flow's packets. Empty for nearly all flows, and then
    /// without an allocation.
    pub tried: BTreeSet<Ipv4Addr>,
    /// The paths of agents that search packets are visiting now. Empty while no search is running.
    pub search_paths: Vec<Vec<Ipv4Addr>>,
    /// Number of waves of search packets sent so far.
    pub waves: u32,
    /// Agents of paths from which the search packet did not return: any of them may be the
    /// unresponsive one.
    pub possibly_unresponsive: BTreeSet<Ipv4Addr>,
    /// When a search first found no target that holds the flow.
    pub not_found_since: Option<Millis>,
    /// Agents that left a search packet sent to them alone unanswered, and whose targets may hold
    /// the flow.
    pub unanswered: Vec<Ipv4Addr>,
    /// Whether the opening packet was sent with permission to wait at the agent.
    pub has_waited: bool,
    /// Number of agents that returned the opening packet because their targets are failing.
    pub failing_returns: u32,
    /// When the flow's first packet arrived.
    pub first_at: Millis,
    /// When the opening packet started to wait at the balancer.
    pub queued_at: Option<Millis>,
    /// Whether the opening packet was sent in answer to an agent's grant.
    pub granted: bool,
    /// Whether a target that received the opening packet may still answer it although the packet
    /// has since been sent to another target or waits at the balancer.
    pub may_be_open: bool,
}

impl FlowEntry {
    /// Creates an entry for a flow whose packet is first sent to `agent`.
    pub fn new(agent: Ipv4Addr, stage: FlowStage, now: Millis) -> Self {
        Self {
            agent,
            stage,
            used_at: now,
            tried_at: now,
            tried: BTreeSet::new(),
            search_paths: Vec::new(),
            waves: 0,
            possibly_unresponsive: BTreeSet::new(),
            not_found_since: None,
            unanswered: Vec::new(),
            has_waited: false,
            failing_returns: 0,
            first_at: now,
            queued_at: None,
            granted: false,
            may_be_open: false,
        }
    }

    /// Records that an agent's target holds the flow.
    pub fn set_holder(&mut self, agent: Ipv4Addr) {
        self.agent = agent;
        self.stage = FlowStage::Held;
        self.tried.clear();
        self.reset_search();
        self.not_found_since = None;
        self.unanswered.clear();
    }

    /// Resets the progress of the search; the next one starts with its first wave.
    pub fn reset_search(&mut self) {
        self.search_paths.clear();
        self.waves = 0;
        self.possibly_unresponsive.clear();
    }

    /// Records that an agent's target did not accept the flow's packet, nor did the targets that
    /// the packet visited before it. The agents after it on the path were not asked.
    pub fn note_returned(&mut self, agent: Ipv4Addr) {
        let path = self.search_paths.iter().position(|path| path.contains(&agent));
        let path = path.map(|index| self.search_paths.swap_remove(index)).unwrap_or_default();
        let visited = path.into_iter().take_while(|visited| *visited != agent);
        self.tried.extend(visited);
        self.tried.insert(agent);
    }
}

/// A table of flows by key. A full table evicts an arbitrary flow, since a search can find the
/// holder of any flow again.
#[derive(Clone, Debug)]
pub struct FlowTable {
    flows: HashMap<FlowKey, FlowEntry>,
    capacity: usize,
}

impl FlowTable {
    /// Creates a table of at most `capacity` flows, and at least one.
    pub fn new(capacity: usize) -> Self {
        Self { flows: HashMap::new(), capacity: capacity.max(1) }
    }

    /// Returns the entry of a flow.
    pub fn get_mut(&mut self, key: &FlowKey) -> Option<&mut FlowEntry> {
        self.flows.get_mut(key)
    }

    /// Returns the agents whose targets did not accept a flow's packets.
    pub fn tried(&self, key: &FlowKey) -> &BTreeSet<Ipv4Addr> {
        const NONE: &BTreeSet<Ipv4Addr> = &BTreeSet::new();
        self.flows.get(key).map_or(NONE, |entry| &entry.tried)
    }

    /// Adds or replaces a flow's entry.
    pub fn insert(&mut self, key: FlowKey, entry: FlowEntry) {
        if self.flows.len() >= self.capacity && !self.flows.contains_key(&key) {
            let evicted = self.flows.keys().next().copied();
            evicted.and_then(|evicted| self.flows.remove(&evicted));
        }
        self.flows.insert(key, entry);
    }

    /// Removes a flow.
    pub fn remove(&mut self, key: &FlowKey) {
        self.flows.remove(key);
    }

    /// Removes the flows that were idle for longer than `idle_ms`.
    pub fn expire(&mut self, now: Millis, idle_ms: Millis) {
        self.flows.retain(|_, entry| now.saturating_sub(entry.used_at) <= idle_ms);
    }

    /// Returns the number of flows.
    pub fn len(&self) -> usize {
        self.flows.len()
    }

    /// Whether the table has no flows.
    pub fn is_empty(&self) -> bool {
        self.flows.is_empty()
    }
}
