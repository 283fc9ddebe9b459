//! Finds the holder of a flow that this agent does not hold, on demand.
//!
//! Most packets reach their holder by the hint in their timestamps. For the
//! others the bucket's owner asks the service's other agents, remembers the
//! answer for a while, and forwards. Nothing is registered in advance, so that
//! a quiet fleet sends nothing. A flow counts as absent only when every other
//! agent has said so: silence is never taken for absence.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use weirhinge_config::TargetId;
use weirhinge_packet::FlowKey;

/// How long an answer is trusted before it is asked for again.
const HOLDER_LIFETIME: Duration = Duration::from_secs(30);
/// How long an unanimous "no" is trusted.
const ABSENT_LIFETIME: Duration = Duration::from_secs(2);
/// How long to wait for answers before asking again.
const ASK_INTERVAL: Duration = Duration::from_millis(100);
/// Most flows looked up at once; packets of further ones are dropped.
const CAPACITY: usize = 16_384;

/// What to do with a packet whose flow is not held here.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LookupStep {
    /// Ask every other agent of the service, and drop the packet.
    Ask,
    /// Answers are outstanding: drop the packet, its sender will repeat it.
    Wait,
    /// Forward the packet to this target.
    Forward(TargetId),
    /// No agent holds the flow.
    Absent,
}

#[derive(Debug)]
enum Entry {
    Asking { last_asked: Instant, denied: Vec<TargetId> },
    Held { holder: TargetId, until: Instant },
    Absent { until: Instant },
}

/// What one agent has learnt of flows that others hold.
#[derive(Debug, Default)]
pub struct Directory {
    entries: HashMap<FlowKey, Entry>,
}

impl Directory {
    /// Decides about a packet of a flow that is not held here. `others` are
    /// the service's other targets under the agent's revision.
    pub fn locate(&mut self, key: &FlowKey, others: &[TargetId], now: Instant) -> LookupStep {
        if others.is_empty() {
            return LookupStep::Absent;
        }
        match self.entries.get_mut(key) {
            Some(Entry::Held { holder, until }) if *until > now && others.contains(holder) => {
                LookupStep::Forward(*holder)
            }
            Some(Entry::Absent { until }) if *until > now => LookupStep::Absent,
            Some(Entry::Asking { last_asked, denied }) => {
                if others.iter().all(|other| denied.contains(other)) {
                    let until = now + ABSENT_LIFETIME;
                    self.entries.insert(*key, Entry::Absent { until });
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
        if self.entries.len() >= CAPACITY && !self.entries.contains_key(key) {
            return LookupStep::Wait;
        }
        let entry = Entry::Asking { last_asked: now, denied: Vec::new() };
        self.entries.insert(*key, entry);
        LookupStep::Ask
    }

    /// Takes in the answer of one target.
    pub fn answered(&mut self, key: &FlowKey, from: TargetId, holds: bool, now: Instant) {
        let Some(entry) = self.entries.get_mut(key) else {
            return;
        };
        if holds {
            let until = now + HOLDER_LIFETIME;
            *entry = Entry::Held { holder: from, until };
            return;
        }
        if let Entry::Asking { denied, .. } = entry
            && !denied.contains(&from)
        {
            denied.push(from);
        }
    }

    /// Forgets a flow, so that the next packet asks again.
    pub fn forget(&mut self, key: &FlowKey) {
        self.entries.remove(key);
    }

    /// Drops what has expired. To be called every few seconds.
    pub fn expire(&mut self, now: Instant) {
        self.entries.retain(|_, entry| match entry {
            Entry::Asking { last_asked, .. } => {
                now.saturating_duration_since(*last_asked) < HOLDER_LIFETIME
            }
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
