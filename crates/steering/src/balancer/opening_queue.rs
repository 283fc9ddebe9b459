//! Queue of the opening packets that wait at a balancer until any target of their service has
//! capacity.

use std::collections::{BTreeMap, BTreeSet, HashMap};

use weirhinge_fleet::{Millis, OpeningDemand, ServiceId, WaitingOpenings};

use crate::packet::{FlowKey, PacketHeader};

/// Maximum number of queued openings of all services: what a balancer forwards within the longest
/// budget at 3,000 openings per second.
const QUEUE_CAPACITY: usize = 4_096;

/// Openings of one service that are served in first-come, first-served order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(super) struct QueueClass {
    pub(super) service: ServiceId,
    pub(super) urgent: bool,
}

impl QueueClass {
    /// Returns the classes of a service, the urgent one first.
    pub(super) fn of(service: ServiceId) -> [Self; 2] {
        [true, false].map(|urgent| Self { service, urgent })
    }
}

/// The end of its class at which an opening is queued.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum QueueEnd {
    /// Ahead of all others: the opening already had its turn, but the target that granted capacity
    /// returned it.
    Front,
    /// Behind all others.
    Back,
}

/// A queued opening packet.
#[derive(Clone, Debug)]
pub(super) struct QueuedOpening {
    pub(super) header: PacketHeader,
    pub(super) bytes: Vec<u8>,
    pub(super) class: QueueClass,
    /// When the opening was queued first.
    pub(super) queued_at: Millis,
    /// Latest time until which the opening may wait.
    pub(super) deadline: Millis,
}

#[derive(Clone, Debug)]
struct QueueEntry {
    opening: QueuedOpening,
    order_key: i64,
}

/// The queued openings of all services.
#[derive(Clone, Debug)]
pub(super) struct OpeningQueue {
    entries: HashMap<FlowKey, QueueEntry>,
    /// The flows of each class in queue order. Classes without flows are removed.
    classes: HashMap<QueueClass, BTreeMap<i64, FlowKey>>,
    deadlines: BTreeSet<(Millis, FlowKey)>,
    capacity: usize,
}

impl OpeningQueue {
    /// Creates a queue of at most `capacity` openings.
    pub(super) fn with_capacity(capacity: usize) -> Self {
        Self {
            entries: HashMap::new(),
            classes: HashMap::new(),
            deadlines: BTreeSet::new(),
            capacity,
        }
    }

    /// Adds an opening. Returns `false` if the queue is full or the flow is already queued.
    pub(super) fn push(&mut self, opening: QueuedOpening, queue_end: QueueEnd) -> bool {
        let flow = opening.header.client_flow();
        if self.entries.len() >= self.capacity || self.contains(&flow) {
            return false;
        }
        let order = self.classes.entry(opening.class).or_default();
        let order_key = match queue_end {
            QueueEnd::Front => order.first_key_value().map_or(0, |(first, _)| first - 1),
            QueueEnd::Back => order.last_key_value().map_or(0, |(last, _)| last + 1),
        };
        order.insert(order_key, flow);
        self.deadlines.insert((opening.deadline, flow));
        self.entries.insert(flow, QueueEntry { opening, order_key });
        true
    }

    /// Removes a flow's opening.
    pub(super) fn remove(&mut self, flow: &FlowKey) -> Option<QueuedOpening> {
        let QueueEntry { opening, order_key } = self.entries.remove(flow)?;
        self.deadlines.remove(&(opening.deadline, *flow));
        if let Some(order) = self.classes.get_mut(&opening.class) {
            order.remove(&order_key);
            if order.is_empty() {
                self.classes.remove(&opening.class);
            }
        }
        Some(opening)
    }

    /// Removes an opening whose budget has expired.
    pub(super) fn take_overdue(&mut self, now: Millis) -> Option<QueuedOpening> {
        let (deadline, flow) = *self.deadlines.first()?;
        if deadline > now {
            return None;
        }
        self.remove(&flow)
    }

    /// Returns the flows of a class in queue order.
    pub(super) fn flows_of(&self, class: QueueClass) -> impl Iterator<Item = FlowKey> {
        self.classes.get(&class).into_iter().flat_map(BTreeMap::values).copied()
    }

    /// Returns the first opening of a class.
    pub(super) fn first_of(&self, class: QueueClass) -> Option<&QueuedOpening> {
        let flow = self.flows_of(class).next()?;
        self.entries.get(&flow).map(|entry| &entry.opening)
    }

    /// Number of queued openings of a class.
    pub(super) fn waiting(&self, class: QueueClass) -> usize {
        self.classes.get(&class).map_or(0, BTreeMap::len)
    }

    /// Returns the openings queued for a service.
    pub(super) fn demand(&self, service: ServiceId, now: Millis) -> OpeningDemand {
        let classes = QueueClass::of(service);
        let [urgent, others] = classes.map(|class| self.waiting_openings(class, now));
        OpeningDemand { urgent, others }
    }

    fn waiting_openings(&self, class: QueueClass, now: Millis) -> WaitingOpenings {
        let queued_at = self.first_of(class).map_or(now, |opening| opening.queued_at);
        WaitingOpenings {
            count: u16::try_from(self.waiting(class)).unwrap_or(u16::MAX),
            oldest_ms: u16::try_from(now.saturating_sub(queued_at)).unwrap_or(u16::MAX),
        }
    }

    /// Returns the services with queued openings.
    pub(super) fn services(&self) -> BTreeSet<ServiceId> {
        self.classes.keys().map(|class| class.service).collect()
    }

    /// Whether a flow's opening is queued.
    pub(super) fn contains(&self, flow: &FlowKey) -> bool {
        self.entries.contains_key(flow)
    }

    /// When the next budget expires, or `None` while the queue is empty.
    pub(super) fn next_deadline(&self) -> Option<Millis> {
        self.deadlines.first().map(|(deadline, _)| *deadline)
    }

    /// Number of queued openings.
    pub(super) fn len(&self) -> usize {
        self.entries.len()
    }
}

impl Default for OpeningQueue {
    fn default() -> Self {
        Self::with_capacity(QUEUE_CAPACITY)
    }
}
