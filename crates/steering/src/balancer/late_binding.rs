//! What a balancer keeps of the openings that wait at it: their order, the rate at which they
//! find room, whom they are of, and which agents were asked for room.

use std::collections::HashMap;
use std::net::Ipv4Addr;

use weirhinge_fleet::{Millis, OpeningDemand, ServiceId};

use super::caller_shares::CallerShares;
use super::opening_queue::{OpeningQueue, QueueClass, QueuedOpening, Turn};
use super::queue_delay::AdmissionRate;
use crate::class_share::is_non_urgent_due;
use crate::client_rank::{ClientRank, client_rank};
use crate::packet::FlowKey;
use crate::view::Candidate;

/// Agents asked for room at a time.
const ASKED_AT_ONCE: usize = 2;
/// How often one agent is asked at most. Its grants are answered with what still waits.
const ASK_AGAIN_MS: Millis = 100;
/// How long after the last question further agents are asked: several times a journey there
/// and back.
const ASK_FURTHER_MS: Millis = 25;
/// How long a service's typical time of a request counts before it is looked up again.
const SERVICE_TIME_LIFETIME_MS: Millis = 100;
/// How long a service is remembered after the last opening waited for it.
const SERVICE_LIFETIME_MS: Millis = 10_000;

/// Whether what waits of a class gets less by itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Trend {
    /// Fewer openings come than find room.
    Draining,
    /// As many come, or more, or it is not known.
    Growing,
}

/// What is followed of one service.
#[derive(Clone, Debug, Default)]
struct ServiceState {
    urgent_rate: AdmissionRate,
    others_rate: AdmissionRate,
    /// Urgent openings that found room since one of the others did.
    urgent_in_row: u32,
    /// When agents were last asked for room.
    asked_at: Millis,
    /// How often further agents were asked.
    further_asks: usize,
    /// The time of one request, and when it was looked up.
    service_ms: Option<(Millis, Millis)>,
}

impl ServiceState {
    fn rate(&mut self, urgent: bool) -> &mut AdmissionRate {
        if urgent { &mut self.urgent_rate } else { &mut self.others_rate }
    }
}

/// The openings that wait, and what decides about them.
#[derive(Clone, Debug, Default)]
pub(super) struct LateBinding {
    queue: OpeningQueue,
    shares: CallerShares,
    services: HashMap<ServiceId, ServiceState>,
    /// When each agent was last asked for room.
    asked_at: HashMap<Ipv4Addr, Millis>,
}

impl LateBinding {
    /// Lets an opening wait. Returns whether there was a place.
    pub(super) fn push(&mut self, opening: QueuedOpening, turn: Turn, now: Millis) -> bool {
        let (class, caller) = (opening.class, *opening.header.source.ip());
        if !self.queue.push(opening, turn) {
            return false;
        }
        self.shares.waits(caller);
        self.service(class.service).rate(class.urgent).waiting_began(now);
        true
    }

    /// Takes out an opening that found room.
    pub(super) fn admit(&mut self, flow: &FlowKey, now: Millis) -> Option<QueuedOpening> {
        let opening = self.queue.remove(flow)?;
        let class = opening.class;
        self.shares.admitted(*flow.client.ip(), now);
        let state = self.service(class.service);
        state.rate(class.urgent).admitted(now);
        state.urgent_in_row = if class.urgent { state.urgent_in_row.saturating_add(1) } else { 0 };
        self.note_left(class, now);
        Some(opening)
    }

    /// Takes out an opening that waits for room no longer.
    pub(super) fn give_up(&mut self, flow: &FlowKey, now: Millis) -> Option<QueuedOpening> {
        let opening = self.queue.remove(flow)?;
        self.shares.gave_up(*flow.client.ip());
        self.note_left(opening.class, now);
        Some(opening)
    }

    /// Takes out an opening whose budget has ended.
    pub(super) fn take_overdue(&mut self, now: Millis) -> Option<QueuedOpening> {
        let opening = self.queue.take_overdue(now)?;
        self.shares.gave_up(*opening.header.source.ip());
        self.note_left(opening.class, now);
        Some(opening)
    }

    fn note_left(&mut self, class: QueueClass, now: Millis) {
        if self.queue.waiting(class) == 0 {
            self.service(class.service).rate(class.urgent).waiting_ended(now);
        }
    }

    fn service(&mut self, service: ServiceId) -> &mut ServiceState {
        self.services.entry(service).or_default()
    }

    /// Whether a flow's opening waits.
    pub(super) fn contains(&self, flow: &FlowKey) -> bool {
        self.queue.contains(flow)
    }

    /// How many openings of a class wait.
    pub(super) fn waiting(&self, class: QueueClass) -> usize {
        self.queue.waiting(class)
    }

    /// How many openings wait.
    pub(super) fn len(&self) -> usize {
        self.queue.len()
    }

    /// What waits for a service.
    pub(super) fn demand(&self, service: ServiceId, now: Millis) -> OpeningDemand {
        self.queue.demand(service, now)
    }

    /// How long an opening with so many before it waits; none while too little is known.
    pub(super) fn expected_wait(
        &mut self,
        class: QueueClass,
        ahead: usize,
        now: Millis,
    ) -> Option<Millis> {
        self.service(class.service).rate(class.urgent).expected_wait(ahead, now)
    }

    /// Counts an opening that comes to wait. Returns how its class develops.
    pub(super) fn note_arrival(&mut self, class: QueueClass, now: Millis) -> Trend {
        let rate = self.service(class.service).rate(class.urgent);
        rate.arrived(now);
        if rate.is_draining(now) { Trend::Draining } else { Trend::Growing }
    }

    /// The rank of a caller for one more opening.
    pub(super) fn rank(&mut self, caller: Ipv4Addr, unix_ms: u64, now: Millis) -> ClientRank {
        self.shares.rank(caller, client_rank(caller, unix_ms), now)
    }

    /// The flows that wait for a service, in the order in which they are served.
    pub(super) fn flows_in_turn(
        &self,
        service: ServiceId,
        urgent_only: bool,
    ) -> impl Iterator<Item = FlowKey> {
        let in_row = self.services.get(&service).map_or(0, |state| state.urgent_in_row);
        let mut classes = QueueClass::of(service);
        if !urgent_only && is_non_urgent_due(in_row) {
            classes.reverse();
        }
        let taking = if urgent_only { 1 } else { classes.len() };
        classes.into_iter().take(taking).flat_map(|class| self.queue.flows_of(class))
    }

    /// The flow that is served first of a service.
    pub(super) fn first_flow(&self, service: ServiceId) -> Option<FlowKey> {
        self.flows_of(service).next()
    }

    /// The flow on whose behalf further agents are asked: in turns the first one and each
    /// other, as routes of one service may allow other targets.
    pub(super) fn flow_to_ask_for(&mut self, service: ServiceId) -> Option<FlowKey> {
        let state = self.service(service);
        let turn = state.further_asks;
        state.further_asks = turn.wrapping_add(1);
        let classes = QueueClass::of(service);
        let waiting: usize = classes.iter().map(|class| self.queue.waiting(*class)).sum();
        let is_others_turn = waiting > 1 && turn % 2 == 1;
        let place = if is_others_turn { 1 + turn / 2 % (waiting - 1) } else { 0 };
        self.flows_of(service).nth(place)
    }

    /// The flows that wait for a service, urgent ones first.
    fn flows_of(&self, service: ServiceId) -> impl Iterator<Item = FlowKey> {
        QueueClass::of(service).into_iter().flat_map(|class| self.queue.flows_of(class))
    }

    /// The agents of the cheapest of these targets that were not asked for room lately; of
    /// equal ones the first. They count as asked from now on.
    pub(super) fn choose_asked<C: Ord>(
        &mut self,
        service: ServiceId,
        targets: &[Candidate],
        cost: impl Fn(&Candidate) -> C,
        now: Millis,
    ) -> Vec<Ipv4Addr> {
        self.service(service).asked_at = now;
        let is_due = |target: &&Candidate| {
            let asked_at = self.asked_at.get(&target.agent);
            asked_at.is_none_or(|at| now.saturating_sub(*at) >= ASK_AGAIN_MS)
        };
        let mut cheapest: Vec<(C, Ipv4Addr)> = Vec::with_capacity(ASKED_AT_ONCE + 1);
        for target in targets.iter().filter(is_due) {
            let cost = cost(target);
            let place = cheapest.partition_point(|(known, _)| *known <= cost);
            if place < ASKED_AT_ONCE {
                cheapest.insert(place, (cost, target.agent));
                cheapest.truncate(ASKED_AT_ONCE);
            }
        }
        let asked: Vec<Ipv4Addr> = cheapest.into_iter().map(|(_, agent)| agent).collect();
        self.asked_at.extend(asked.iter().map(|agent| (*agent, now)));
        asked
    }

    /// Notes that an agent was told that nothing waits here, so that it keeps no demand.
    pub(super) fn forget_asked(&mut self, agent: Ipv4Addr) {
        self.asked_at.remove(&agent);
    }

    /// The services for which further agents are to be asked.
    pub(super) fn services_to_ask(&self, now: Millis) -> Vec<ServiceId> {
        let services = self.queue.services().into_iter();
        services.filter(|service| self.ask_at(*service) <= now).collect()
    }

    fn ask_at(&self, service: ServiceId) -> Millis {
        self.services.get(&service).map_or(0, |state| state.asked_at + ASK_FURTHER_MS)
    }

    /// The service's time of one request, looked up by `find` now and then.
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

    /// When something is to be done next; none while nothing waits.
    pub(super) fn next_due(&self) -> Option<Millis> {
        let services = self.queue.services().into_iter();
        let next_ask = services.map(|service| self.ask_at(service)).min();
        self.queue.next_budget_end().into_iter().chain(next_ask).min()
    }

    /// Forgets what is too old.
    pub(super) fn expire(&mut self, now: Millis) {
        self.asked_at.retain(|_, at| now.saturating_sub(*at) < ASK_AGAIN_MS);
        let waiting = self.queue.services();
        self.services.retain(|service, state| {
            waiting.contains(service) || now.saturating_sub(state.asked_at) < SERVICE_LIFETIME_MS
        });
    }
}
