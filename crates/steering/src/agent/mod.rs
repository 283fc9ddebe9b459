//! An agent's decisions about packets to and from the target beside it.

mod admission;
mod breaker;
mod cold_start;
mod decision;
mod deliveries;
mod demand;
mod flow;
mod former_flows;
mod granting;
mod grants;
mod restart_checks;
mod round_trip;
mod searches;
mod service_time;
mod tracking;

use std::collections::{HashMap, VecDeque};

use weirhinge_fleet::{Millis, ReturnReason, ServiceId};

pub use breaker::BreakerChange;
pub use cold_start::ColdStartRate;
pub use decision::{
    DeliveryDecision, HoldsNotice, OutputDecision, OutputDrop, RestartCheck, WaitOutcome,
};
pub use grants::Grant;

use crate::arrival::Arrival;
use crate::packet::{AnswerStatus, FlowKey, OPENING_SPAN_MS, PacketHeader};
use crate::pending_openings::PendingOpenings;
use admission::Admission;
use breaker::CircuitBreaker;
use cold_start::ColdStart;
use deliveries::Deliveries;
use flow::Flow;
use former_flows::FormerFlows;
use grants::Grants;
use restart_checks::RestartChecks;
use round_trip::RoundTrip;
use service_time::ServiceTime;

/// Most flows that an agent follows; the target itself holds fewer.
const FLOW_CAPACITY: usize = 8_192;
/// A flow that rested for this long is no longer followed.
const FLOW_IDLE_MS: Millis = 60_000;

/// A request without an answer for this long no longer counts: its client gave up
/// or its answer was not seen.
const LONGEST_REQUEST_MS: Millis = 3_000;
/// Most searches followed at a time.
const SEARCH_CAPACITY: usize = 1_024;
/// The state of an agent.
#[derive(Clone, Debug)]
pub struct Agent {
    service: ServiceId,
    deliveries: Deliveries,
    flows: HashMap<FlowKey, Flow>,
    waiting: u32,
    /// Admitted flows whose first request is yet to come.
    expected: u32,
    /// Those flows in the order of admission, with the time until which they count.
    expectations: VecDeque<(Millis, FlowKey)>,
    round_trip: RoundTrip,
    openings: PendingOpenings,
    grants: Grants,
    /// Searches that the target did not answer yet, in the order of delivery.
    searches: VecDeque<(Millis, FlowKey)>,
    /// When the target last wrote anything.
    wrote_at: Option<Millis>,
    admission: Admission,
    service_time: ServiceTime,
    breaker: CircuitBreaker,
    cold_start: ColdStart,
    /// The latest change of the breaker, not told yet.
    breaker_change: Option<BreakerChange>,
    leaving: bool,
    /// Whether the zone of the target is evacuated.
    evacuated: bool,
    restart_checks: RestartChecks,
    former: FormerFlows,
}

impl Agent {
    /// An agent beside a target of this service.
    pub fn new(service: ServiceId) -> Self {
        Self {
            service,
            deliveries: Deliveries::default(),
            flows: HashMap::new(),
            waiting: 0,
            expected: 0,
            expectations: VecDeque::new(),
            round_trip: RoundTrip::default(),
            openings: PendingOpenings::default(),
            grants: Grants::default(),
            searches: VecDeque::new(),
            wrote_at: None,
            admission: Admission::default(),
            service_time: ServiceTime::default(),
            breaker: CircuitBreaker::default(),
            cold_start: ColdStart::default(),
            breaker_change: None,
            leaving: false,
            evacuated: false,
            restart_checks: RestartChecks::default(),
            former: FormerFlows::default(),
        }
    }

    /// Requests that wait for an answer of the target.
    pub fn waiting(&self) -> u32 {
        self.waiting
    }

    /// Number of flows followed.
    pub fn flow_count(&self) -> usize {
        self.flows.len()
    }

    /// Whether the target wrote anything at this time or later.
    pub fn wrote_since(&self, time: Millis) -> bool {
        self.wrote_at.is_some_and(|at| at >= time)
    }

    /// Takes no new flows from now on.
    pub fn leave(&mut self) {
        self.leaving = true;
    }

    /// Notes that the target started again: it holds nothing of before, and what was found
    /// out about the life before says nothing about this one. Openings that wait keep their
    /// turn, and new flows of the last second still count against a cold target's limit. The
    /// flows are to be checked by [`Self::next_check`].
    pub fn target_restarted(&mut self) {
        let was_ejected = self.breaker.is_open();
        self.grants.forget_outstanding();
        // Some may be flows that the target opened since.
        self.former.unfollow_all(&self.flows);
        self.restart_checks.add(std::mem::take(&mut self.flows));
        let fresh = Self::new(self.service);
        *self = Self {
            deliveries: std::mem::take(&mut self.deliveries),
            openings: std::mem::take(&mut self.openings),
            grants: std::mem::take(&mut self.grants),
            cold_start: std::mem::take(&mut self.cold_start),
            restart_checks: std::mem::take(&mut self.restart_checks),
            former: std::mem::take(&mut self.former),
            breaker_change: was_ejected.then_some(BreakerChange::Closed),
            leaving: self.leaving,
            evacuated: self.evacuated,
            ..fresh
        };
    }

    /// Notes whether the zone of the target is evacuated: then it takes no new flows, also
    /// not from balancers that do not know of that yet.
    pub fn set_evacuated(&mut self, evacuated: bool) {
        self.evacuated = evacuated;
    }

    /// Notes how many new flows the target bears while it is slow from its start, and until
    /// when it is.
    pub fn set_cold_start(&mut self, rate: Option<ColdStartRate>, cold_until: Millis) {
        self.cold_start.set(rate, cold_until);
    }

    /// Whether it is known how many requests the target works on at once.
    pub fn is_sized(&self) -> bool {
        self.admission.is_sized()
    }

    /// Notes how many requests the target works on at once.
    pub fn set_slots(&mut self, slots: u32) {
        self.admission.set_slots(slots);
        self.service_time.set_slots(slots);
    }

    /// Decides about a client's packet that a balancer sent.
    pub fn delivery(&mut self, arrival: &Arrival<'_>, now: Millis) -> DeliveryDecision {
        if arrival.header.is_opening() {
            if arrival.service != self.service {
                return DeliveryDecision::Return(ReturnReason::OtherService);
            }
            let grant = self.use_grant(arrival, now);
            if self.leaving {
                return DeliveryDecision::Return(ReturnReason::Leaving);
            }
            if self.evacuated && !self.is_copy(&arrival.header.client_flow(), now) {
                return DeliveryDecision::Return(ReturnReason::Evacuated);
            }
            let is_new = !self.flows.contains_key(&arrival.header.client_flow());
            if is_new && self.is_turned_away(arrival, grant, now) {
                return DeliveryDecision::Return(ReturnReason::Failing);
            }
            if is_new && !self.has_room(arrival, grant, now) {
                return self.busy_opening(arrival, now);
            }
            // This may be a copy that found room before the packet that waits: its flow
            // must not be refused later.
            self.openings.remove(&arrival.header.client_flow());
        }
        let notice = self.search_notice(arrival);
        // A balancer that is told now need not be told when the target answers.
        let searched = arrival.search.is_some() && notice.is_none();
        self.follow(arrival.header, arrival.packet, arrival.balancer, searched, now);
        let echo = self.deliveries.remember(arrival);
        DeliveryDecision::Deliver { echo, notice }
    }

    /// The next waiting opening packet that has an outcome.
    pub fn next_outcome(&mut self, now: Millis) -> Option<WaitOutcome> {
        self.drop_expectations(now);
        self.grants.expire(now);
        if let Some(reason) = self.takes_nothing()
            && let Some(opening) = self.openings.take_newest()
        {
            return Some(WaitOutcome::Return(opening, reason));
        }
        if let Some(opening) = self.openings.take_expired(now) {
            return Some(WaitOutcome::Return(opening, ReturnReason::Busy));
        }
        if !self.cold_start_admits(now) || self.yields_to_grant(now) {
            return None;
        }
        let room = self.room();
        let opening = self.openings.take_next(|urgent| room.has(urgent))?;
        self.grants.own_turn = false;
        self.follow(&opening.header, &opening.packet, opening.balancer, false, now);
        let echo = self.deliveries.remember_waited(opening.balancer);
        Some(WaitOutcome::Deliver(opening, echo))
    }

    /// The next flow to ask a target about that started again: the packet to hand to it and
    /// the packet's label.
    pub fn next_check(&mut self) -> Option<RestartCheck> {
        let check = self.restart_checks.next()?;
        let sequence = check.latest.acknowledgment;
        let echo = self.deliveries.remember_check(check.balancer, sequence);
        Some(RestartCheck { flow: check.flow, packet: check.latest.bytes, echo })
    }

    /// Why no new flow is taken at all, if so.
    fn takes_nothing(&self) -> Option<ReturnReason> {
        match (self.leaving, self.evacuated) {
            (true, _) => Some(ReturnReason::Leaving),
            (false, true) => Some(ReturnReason::Evacuated),
            (false, false) => None,
        }
    }

    /// Whether an opening packet of this flow was handed to the target lately; the target
    /// takes a further one for the same flow.
    fn is_copy(&self, flow: &FlowKey, now: Millis) -> bool {
        let opened_at = self.flows.get(flow).map(|flow| flow.opened_at);
        opened_at.is_some_and(|at| now.saturating_sub(at) < OPENING_SPAN_MS)
    }

    fn busy_opening(&mut self, arrival: &Arrival<'_>, now: Millis) -> DeliveryDecision {
        if self.openings.contains(&arrival.header.client_flow()) {
            return DeliveryDecision::WaitsAlready;
        }
        if !arrival.may_wait || arrival.granted.is_some() {
            return DeliveryDecision::Return(ReturnReason::Busy);
        }
        let displaced = self.openings.add(arrival, now).map(Box::new);
        DeliveryDecision::Wait { displaced }
    }

    /// Takes in how the target answered a request, from the packet in which its answer
    /// begins; to be called before [`Self::output`] for the same packet.
    pub fn answer_begins(&mut self, flow: &FlowKey, status: AnswerStatus, now: Millis) {
        let waits = self.flows.get(flow).is_some_and(|flow| flow.waiting_since.is_some());
        if !waits {
            return;
        }
        if status != AnswerStatus::Good {
            // Most refusals and failures take less time than the work itself.
            self.service_time.advance(now);
            self.service_time.withdrawn(flow);
        }
        let change = match status {
            AnswerStatus::Good => self.breaker.succeeded(now),
            AnswerStatus::Failed => self.breaker.failed(now),
            AnswerStatus::NotRun => None,
        };
        self.breaker_change = change.or(self.breaker_change);
    }

    /// The latest change in whether the target gets new flows; given out once.
    pub fn take_breaker_change(&mut self) -> Option<BreakerChange> {
        self.breaker_change.take()
    }

    /// Decides about a packet that the target sent.
    pub fn output(&mut self, header: &PacketHeader, now: Millis) -> OutputDecision {
        self.wrote_at = Some(now);
        self.service_time.advance(now);
        if header.flags.bounced {
            return self.not_taken(&header.client_flow(), header.echo);
        }
        let flow = header.target_flow();
        let Some(entry) = self.flows.get_mut(&flow) else {
            return OutputDecision::ToClient { notice: None };
        };
        entry.used_at = now;
        let ends = header.flags.fin || header.flags.rst;
        let answered = if header.length > 0 || ends { entry.waiting_since.take() } else { None };
        if let Some(since) = answered {
            self.admission.answered(now.saturating_sub(since), self.waiting);
            if header.length > 0 {
                self.service_time.answered(&flow);
            } else {
                self.service_time.withdrawn(&flow);
            }
            self.waiting -= 1;
            if header.flags.rst {
                self.breaker_change = self.breaker.failed(now).or(self.breaker_change);
            }
        }
        let answers_opening = header.flags.syn && header.flags.ack;
        let notice = HoldsNotice { balancer: entry.balancer, flow, confirmed: !answers_opening };
        let is_due = answers_opening || entry.searched_since.is_some();
        if !answers_opening {
            entry.searched_since = None;
            entry.confirmed = true;
        }
        if header.flags.rst {
            self.forget(&flow);
        }
        OutputDecision::ToClient { notice: is_due.then_some(notice) }
    }

    /// Stops following flows that rested long.
    pub fn expire(&mut self, now: Millis) {
        self.drop_expectations(now);
        self.service_time.advance(now);
        let (waiting, service_time) = (&mut self.waiting, &mut self.service_time);
        let idle_ms = self.former.idle_ms();
        self.flows.retain(|key, flow| {
            let keep = now.saturating_sub(flow.used_at) < idle_ms;
            let waits = flow
                .waiting_since
                .take_if(|since| !keep || now.saturating_sub(*since) >= LONGEST_REQUEST_MS);
            if waits.is_some() {
                *waiting -= 1;
                service_time.withdrawn(key);
            }
            keep
        });
    }

    /// Decides about a packet that the target did not take: it bounced, or the
    /// target's port is closed.
    pub fn not_taken(&mut self, flow: &FlowKey, echo: u32) -> OutputDecision {
        self.forget(flow);
        let onward = self.deliveries.onward(echo);
        onward.unwrap_or(OutputDecision::Drop(OutputDrop::UnknownDelivery))
    }
}
