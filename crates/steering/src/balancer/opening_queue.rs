//! Opening packets that wait at a balancer until any target of their service has room.

use std::collections::{BTreeMap, BTreeSet, HashMap};

use weirhinge_fleet::{Millis, OpeningDemand, ServiceId, WaitingOpenings};

use crate::packet::{FlowKey, PacketHeader};

/// Most openings that wait, of all services: what a balancer forwards within the longest
/// budget at 3,000 openings a second.
const QUEUE_CAPACITY: usize = 4_096;

/// Openings of one service that are served first come first served.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(super) struct QueueClass {
    pub(super) service: ServiceId,
    pub(super) urgent: bool,
}

impl QueueClass {
    /// The classes of a service, the urgent one first.
    pub(super) fn of(service: ServiceId) -> [Self; 2] {
        [true, false].map(|urgent| Self { service, urgent })
    }
}

/// Where an opening joins its class.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Turn {
    /// Before all others: it had its turn, and did not find the room that was promised.
    First,
    /// Behind all others.
    Last,
}

/// An opening packet that waits.
#[derive(Clone, Debug)]
pub(super) struct QueuedOpening {
    pub(super) header: PacketHeader,
    pub(super) bytes: Vec<u8>,
    pub(super) class: QueueClass,
    /// When it began to wait.
    pub(super) queued_at: Millis,
    /// Until when it may wait.
    pub(super) budget_end: Millis,
}

#[derive(Clone, Debug)]
struct Place {
    opening: QueuedOpening,
    ticket: i64,
}

/// The openings that wait, of all services.
#[derive(Clone, Debug)]
pub(super) struct OpeningQueue {
    places: HashMap<FlowKey, Place>,
    /// The flows of each class in their order; no class is empty.
    classes: HashMap<QueueClass, BTreeMap<i64, FlowKey>>,
    budget_ends: BTreeSet<(Millis, FlowKey)>,
    capacity: usize,
}

impl OpeningQueue {
    /// A queue of at most `capacity` openings.
    pub(super) fn with_capacity(capacity: usize) -> Self {
        Self {
            places: HashMap::new(),
            classes: HashMap::new(),
            budget_ends: BTreeSet::new(),
            capacity,
        }
    }

    /// Adds an opening whose flow does not wait yet. Returns whether there was a place.
    pub(super) fn push(&mut self, opening: QueuedOpening, turn: Turn) -> bool {
        let flow = opening.header.client_flow();
        if self.places.len() >= self.capacity || self.contains(&flow) {
            return false;
        }
        let order = self.classes.entry(opening.class).or_default();
        let ticket = match turn {
            Turn::First => order.first_key_value().map_or(0, |(first, _)| first - 1),
            Turn::Last => order.last_key_value().map_or(0, |(last, _)| last + 1),
        };
        order.insert(ticket, flow);
        self.budget_ends.insert((opening.budget_end, flow));
        self.places.insert(flow, Place { opening, ticket });
        true
    }

    /// Takes a flow's opening out.
    pub(super) fn remove(&mut self, flow: &FlowKey) -> Option<QueuedOpening> {
        let Place { opening, ticket } = self.places.remove(flow)?;
        self.budget_ends.remove(&(opening.budget_end, *flow));
        if let Some(order) = self.classes.get_mut(&opening.class) {
            order.remove(&ticket);
            if order.is_empty() {
                self.classes.remove(&opening.class);
            }
        }
        Some(opening)
    }

    /// Takes out an opening whose budget has ended.
    pub(super) fn take_overdue(&mut self, now: Millis) -> Option<QueuedOpening> {
        let (budget_end, flow) = *self.budget_ends.first()?;
        if budget_end > now {
            return None;
        }
        self.remove(&flow)
    }

    /// The flows of a class in their order.
    pub(super) fn flows_of(&self, class: QueueClass) -> impl Iterator<Item = FlowKey> {
        self.classes.get(&class).into_iter().flat_map(BTreeMap::values).copied()
    }

    /// The first opening of a class.
    pub(super) fn first_of(&self, class: QueueClass) -> Option<&QueuedOpening> {
        let flow = self.flows_of(class).next()?;
        self.places.get(&flow).map(|place| &place.opening)
    }

    /// How many openings of a class wait.
    pub(super) fn waiting(&self, class: QueueClass) -> usize {
        self.classes.get(&class).map_or(0, BTreeMap::len)
    }

    /// What waits for a service.
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

    /// The services that openings wait for.
    pub(super) fn services(&self) -> BTreeSet<ServiceId> {
        self.classes.keys().map(|class| class.service).collect()
    }

    /// Whether a flow's opening waits.
    pub(super) fn contains(&self, flow: &FlowKey) -> bool {
        self.places.contains_key(flow)
    }

    /// When the first budget ends; none while nothing waits.
    pub(super) fn next_budget_end(&self) -> Option<Millis> {
        self.budget_ends.first().map(|(budget_end, _)| *budget_end)
    }

    /// How many openings wait.
    pub(super) fn len(&self) -> usize {
        self.places.len()
    }
}

impl Default for OpeningQueue {
    fn default() -> Self {
        Self::with_capacity(QUEUE_CAPACITY)
    }
}
