//! Tracks the openings queued at a balancer: their order, the rate of admissions, the clients they
//! belong to, and which agents were asked for capacity.

use std::collections::HashMap;
use std::net::Ipv4Addr;

use weirhinge_fleet::{Millis, OpeningDemand, ServiceId};

use super::client_shares::ClientShares;
use super::opening_queue::{OpeningQueue, QueueClass, QueueEnd, QueuedOpening};
use super::queue_delay::AdmissionRate;
use crate::class_share::is_non_urgent_due;
use crate::client_rank::{ClientRank, client_rank};
use crate::packet::FlowKey;
use crate::view::Candidate;

/// Number of agents asked for capacity at a time.
const AGENTS_ASKED_AT_ONCE: usize = 2;
/// Minimum interval between two requests to the same agent. Answers to its grants report the
/// remaining demand in the meantime.
const MIN_REQUEST_INTERVAL_MS: Millis = 100;
/// How long after the last request further agents are asked: several round-trip times.
const FURTHER_REQUEST_DELAY_MS: Millis = 25;
/// How long a service's typical service time is cached.
const SERVICE_TIME_LIFETIME_MS: Millis = 100;
/// How long a service is remembered after its last capacity request.
const SERVICE_STATE_LIFETIME_MS: Millis = 10_000;

/// Whether the queue of a class is shrinking without refusals.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Trend {
    /// Fewer openings arrive than are admitted.
    Draining,
    /// At least as many openings arrive as are admitted, or the rates are unknown.
    Growing,
}

/// Per-service state.
#[derive(Clone, Debug, Default)]
struct ServiceState {
    urgent_rate: AdmissionRate,
    non_urgent_rate: AdmissionRate,
    /// Urgent openings admitted since the last opening that was not urgent.
    urgent_in_row: u32,
    /// When agents were last asked for capacity.
    asked_at: Millis,
    /// Number of times that further agents were asked.
    further_requests: usize,
    /// Cached typical service time, and when it was looked up.
    service_ms: Option<(Millis, Millis)>,
}

impl ServiceState {
    fn rate(&mut self, urgent: bool) -> &mut AdmissionRate {
        if urgent { &mut self.urgent_rate } else { &mut self.non_urgent_rate }
    }
}

/// The queued openings and the state that decides on their admission.
#[derive(Clone, Debug, Default)]
pub(super) struct LateBinding {
    queue: OpeningQueue,
    shares: ClientShares,
    services: HashMap<ServiceId, ServiceState>,
    /// When each agent was last asked for capacity.
    asked_at: HashMap<Ipv4Addr, Millis>,
}

impl LateBinding {
    /// Queues an opening. Returns `false` if the queue is full.
    pub(super) fn push(
        &mut self,
        opening: QueuedOpening,
        queue_end: QueueEnd,
        now: Millis,
    ) -> bool {
        let (class, client_address) = (opening.class, *opening.header.source.ip());
        if !self.queue.push(opening, queue_end) {
            return false;
        }
        self.shares.note_queued(client_address);
        self.service(class.service).rate(class.urgent).note_waiting_started(now);
        true
    }

    /// Removes an opening that is admitted.
    pub(super) fn admit(&mut self, flow: &FlowKey, now: Millis) -> Option<QueuedOpening> {
        let opening = self.queue.remove(flow)?;
        let class = opening.class;
        self.shares.note_admitted(*flow.client.ip(), now);
        let state = self.service(class.service);
        state.rate(class.urgent).note_admitted(now);
        state.urgent_in_row = if class.urgent { state.urgent_in_row.saturating_add(1) } else { 0 };
        self.note_departure(class, now);
        Some(opening)
    }

    /// Removes an opening that no longer waits for capacity.
    pub(super) fn give_up(&mut self, flow: &FlowKey, now: Millis) -> Option<QueuedOpening> {
        let opening = self.queue.remove(flow)?;
        self.shares.note_given_up(*flow.client.ip());
        self.note_departure(opening.class, now);
        Some(opening)
    }

    /// Removes an opening whose budget has expired.
    pub(super) fn take_overdue(&mut self, now: Millis) -> Option<QueuedOpening> {
        let opening = self.queue.take_overdue(now)?;
        self.shares.note_given_up(*opening.header.source.ip());
        self.note_departure(opening.class, now);
        Some(opening)
    }

    fn note_departure(&mut self, class: QueueClass, now: Millis) {
        if self.queue.waiting(class) == 0 {
            self.service(class.service).rate(class.urgent).note_waiting_ended(now);
        }
    }

    fn service(&mut self, service: ServiceId) -> &mut ServiceState {
        self.services.entry(service).or_default()
    }

    /// Whether a flow's opening is queued.
    pub(super) fn contains(&self, flow: &FlowKey) -> bool {
        self.queue.contains(flow)
    }

    /// Number of queued openings of a class.
    pub(super) fn waiting(&self, class: QueueClass) -> usize {
        self.queue.waiting(class)
    }

    /// Number of queued openings.
    pub(super) fn len(&self) -> usize {
        self.queue.len()
    }

    /// Returns the openings queued for a service.
    pub(super) fn demand(&self, service: ServiceId, now: Millis) -> OpeningDemand {
        self.queue.demand(service, now)
    }

    /// Returns the expected wait behind `ahead` openings, or `None` if the admission rate is not
    /// known yet.
    pub(super) fn expected_wait(
        &mut self,
        class: QueueClass,
        ahead: usize,
        now: Millis,
    ) -> Option<Millis> {
        self.service(class.service).rate(class.urgent).expected_wait(ahead, now)
    }

    /// Counts an opening that arrives. Returns the trend of its class.
    pub(super) fn note_arrival(&mut self, class: QueueClass, now: Millis) -> Trend {
        let rate = self.service(class.service).rate(class.urgent);
        rate.note_arrival(now);
        if rate.is_draining(now) { Trend::Draining } else { Trend::Growing }
    }

    /// Returns a client's rank for one more opening.
    pub(super) fn rank(
        &mut self,
        client_address: Ipv4Addr,
        unix_ms: u64,
        now: Millis,
    ) -> ClientRank {
        self.shares.rank(client_address, client_rank(client_address, unix_ms), now)
    }

    /// Returns the flows queued for a service, in the order in which they are served.
    pub(super) fn flows_in_service_order(
        &self,
        service: ServiceId,
        urgent_only: bool,
    ) -> impl Iterator<Item = FlowKey> {
        let in_row = self.services.get(&service).map_or(0, |state| state.urgent_in_row);
        let mut classes = QueueClass::of(service);
        if !urgent_only && is_non_urgent_due(in_row) {
            classes.reverse();
        }
        let class_count = if urgent_only { 1 } else { classes.len() };
        classes.into_iter().take(class_count).flat_map(|class| self.queue.flows_of(class))
    }

    /// Returns the first flow in the queue of a service.
    pub(super) fn first_flow(&self, service: ServiceId) -> Option<FlowKey> {
        self.flows_of(service).next()
    }

    /// Returns the flow for which further agents are asked. Alternates between the first flow and
    /// each of the others, because routes of one service may permit different targets.
    pub(super) fn flow_for_further_request(&mut self, service: ServiceId) -> Option<FlowKey> {
        let state = self.service(service);
        let requests_before = state.further_requests;
        state.further_requests = requests_before.wrapping_add(1);
        let classes = QueueClass::of(service);
        let waiting: usize = classes.iter().map(|class| self.queue.waiting(*class)).sum();
        let asks_for_other = waiting > 1 && requests_before % 2 == 1;
        let position = if asks_for_other { 1 + requests_before / 2 % (waiting - 1) } else { 0 };
        self.flows_of(service).nth(position)
    }

    /// Returns the flows queued for a service, urgent ones first.
    fn flows_of(&self, service: ServiceId) -> impl Iterator<Item = FlowKey> {
        QueueClass::of(service).into_iter().flat_map(|class| self.queue.flows_of(class))
    }

    /// Selects the agents of the cheapest targets that were not asked for capacity recently; on
    /// equal cost the first ones. Records them as asked.
    pub(super) fn select_agents_to_ask<C: Ord>(
        &mut self,
        service: ServiceId,
        targets: &[Candidate],
        cost: impl Fn(&Candidate) -> C,
        now: Millis,
    ) -> Vec<Ipv4Addr> {
        self.service(service).asked_at = now;
        let is_due = |target: &&Candidate| {
            let asked_at = self.asked_at.get(&target.agent);
            asked_at.is_none_or(|at| now.saturating_sub(*at) >= MIN_REQUEST_INTERVAL_MS)
        };
        let mut cheapest: Vec<(C, Ipv4Addr)> = Vec::with_capacity(AGENTS_ASKED_AT_ONCE + 1);
        for target in targets.iter().filter(is_due) {
            let cost = cost(target);
            let position = cheapest.partition_point(|(known, _)| *known <= cost);
            if position < AGENTS_ASKED_AT_ONCE {
                cheapest.insert(position, (cost, target.agent));
                cheapest.truncate(AGENTS_ASKED_AT_ONCE);
            }
        }
        let asked: Vec<Ipv4Addr> = cheapest.into_iter().map(|(_, agent)| agent).collect();
        self.asked_at.extend(asked.iter().map(|agent| (*agent, now)));
        asked
    }

    /// Records that an agent was sent an empty demand. The agent then no longer knows of this
    /// balancer and may be asked again at once.
    pub(super) fn forget_asked(&mut self, agent: Ipv4Addr) {
        self.asked_at.remove(&agent);
    }

    /// Returns the services for which further agents are to be asked.
    pub(super) fn services_due_for_request(&self, now: Millis) -> Vec<ServiceId> {
        let services = self.queue.services().into_iter();
        services.filter(|service| self.next_request_at(*service) <= now).collect()
    }

    fn next_request_at(&self, service: ServiceId) -> Millis {
        self.services.get(&service).map_or(0, |state| state.asked_at + FURTHER_REQUEST_DELAY_MS)
    }

    /// Returns the typical service time of a service, cached for [`SERVICE_TIME_LIFETIME_MS`] and
    /// looked up by `find`.
    pub(super) fn service_ms(
        &mut self,
        service: ServiceId,
        now: Millis,
        find: impl FnOnce() -> Millis,
    ) -> Millis {
        let known = &mut self.service(service).service_ms;
        let is_recent = |at: Millis| now.saturating_sub(at) < SERVICE_TIME_LIFETIME_MS;
        match *known {
            Some((service_ms, at)) if is_recent(at) => service_ms,
            _ => known.insert((find(), now)).0,
        }
    }

    /// When the next action is due, or `None` while the queue is empty.
    pub(super) fn next_due(&self) -> Option<Millis> {
        let services = self.queue.services().into_iter();
        let next_request = services.map(|service| self.next_request_at(service)).min();
        self.queue.next_deadline().into_iter().chain(next_request).min()
    }

    /// Drops expired state.
    pub(super) fn expire(&mut self, now: Millis) {
        self.asked_at.retain(|_, at| now.saturating_sub(*at) < MIN_REQUEST_INTERVAL_MS);
        let waiting = self.queue.services();
        self.services.retain(|service, state| {
            waiting.contains(service)
                || now.saturating_sub(state.asked_at) < SERVICE_STATE_LIFETIME_MS
        });
    }
}
