//! Decisions of an agent about packets to and from its target.
//!
//! An agent is co-located with one target. It delivers the packets that balancers forward to the
//! target, and queues or returns opening packets (SYN) for which the target has no capacity. It
//! grants capacity to balancers at which openings wait, and notifies balancers of flows that the
//! target holds. A target bounces packets of flows that it does not hold: it sends them back marked
//! as bounced, with the echo label of their delivery.

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
use admission::AdmissionLimit;
use breaker::CircuitBreaker;
use cold_start::ColdStart;
use deliveries::Deliveries;
use flow::Flow;
use former_flows::FormerFlows;
use grants::Grants;
use restart_checks::RestartChecks;
use round_trip::RoundTrip;
use service_time::ServiceTime;

/// Most flows that an agent tracks; the target itself holds fewer.
const FLOW_CAPACITY: usize = 8_192;
/// Idle time after which a flow is no longer tracked, unless the configured idle timeout is longer.
const FLOW_IDLE_MS: Millis = 60_000;

/// A request that has no answer after this time no longer counts: its client gave up, or the agent
/// did not see the answer.
const REQUEST_TIMEOUT_MS: Millis = 3_000;
/// Most searches tracked at a time.
const SEARCH_CAPACITY: usize = 1_024;

/// Tracks the flows of one target and decides about its packets.
#[derive(Clone, Debug)]
pub struct Agent {
    service: ServiceId,
    deliveries: Deliveries,
    flows: HashMap<FlowKey, Flow>,
    waiting: u32,
    /// Number of admitted flows whose first request has not arrived yet.
    expected: u32,
    /// These flows in the order of admission, each with the time until which it counts.
    expected_until: VecDeque<(Millis, FlowKey)>,
    round_trip: RoundTrip,
    openings: PendingOpenings,
    grants: Grants,
    /// Searches that the target has not answered yet, in the order of delivery.
    searches: VecDeque<(Millis, FlowKey)>,
    /// When the target last sent a packet.
    last_output_at: Option<Millis>,
    admission: AdmissionLimit,
    service_time: ServiceTime,
    breaker: CircuitBreaker,
    cold_start: ColdStart,
    /// The latest state change of the breaker, not reported yet.
    breaker_change: Option<BreakerChange>,
    leaving: bool,
    /// Whether the target's zone is evacuated.
    evacuated: bool,
    restart_checks: RestartChecks,
    former: FormerFlows,
}

impl Agent {
    /// Creates the agent of a target of this service.
    pub fn new(service: ServiceId) -> Self {
        Self {
            service,
            deliveries: Deliveries::default(),
            flows: HashMap::new(),
            waiting: 0,
            expected: 0,
            expected_until: VecDeque::new(),
            round_trip: RoundTrip::default(),
            openings: PendingOpenings::default(),
            grants: Grants::default(),
            searches: VecDeque::new(),
            last_output_at: None,
            admission: AdmissionLimit::default(),
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

    /// Number of requests that the target has not answered yet.
    pub fn waiting(&self) -> u32 {
        self.waiting
    }

    /// Number of tracked flows.
    pub fn flow_count(&self) -> usize {
        self.flows.len()
    }

    /// Whether the target sent a packet at or after `time`.
    pub fn has_output_since(&self, time: Millis) -> bool {
        self.last_output_at.is_some_and(|at| at >= time)
    }

    /// Stops admitting new flows, because the agent is shutting down.
    pub fn leave(&mut self) {
        self.leaving = true;
    }

    /// Handles a restart of the target. The new incarnation holds no earlier flow, and what was
    /// measured of the previous one does not apply to it. Waiting openings stay queued, and new
    /// flows of the last second still count towards the cold-start limit.
    /// [`Self::next_restart_check`] returns the checks to send for the flows tracked so far.
    pub fn target_restarted(&mut self) {
        let was_ejected = self.breaker.is_open();
        self.grants.revoke_outstanding();
        // Some of these flows may have been opened since the restart.
        self.former.record_all_untracked(&self.flows);
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

    /// Sets whether the target's zone is evacuated. While it is, no new flows are admitted, not
    /// even from balancers that have not received the evacuation yet.
    pub fn set_evacuated(&mut self, evacuated: bool) {
        self.evacuated = evacuated;
    }

    /// Sets the rate of new flows that the target can take while it is cold, and the time until
    /// which it is cold.
    pub fn set_cold_start(&mut self, rate: Option<ColdStartRate>, cold_until: Millis) {
        self.cold_start.configure(rate, cold_until);
    }

    /// Whether the number of requests that the target processes concurrently is known.
    pub fn has_known_slots(&self) -> bool {
        self.admission.has_known_slots()
    }

    /// Sets the number of requests that the target processes concurrently.
    pub fn set_slots(&mut self, slots: u32) {
        self.admission.set_slots(slots);
        self.service_time.set_slots(slots);
    }

    /// Decides what to do with a client's packet that a balancer forwarded.
    pub fn delivery(&mut self, arrival: &Arrival<'_>, now: Millis) -> DeliveryDecision {
        if arrival.header.is_opening() {
            if arrival.service != self.service {
                return DeliveryDecision::Return(ReturnReason::OtherService);
            }
            let grant = self.use_grant(arrival, now);
            if self.leaving {
                return DeliveryDecision::Return(ReturnReason::Leaving);
            }
            if self.evacuated && !self.is_duplicate_opening(&arrival.header.client_flow(), now) {
                return DeliveryDecision::Return(ReturnReason::Evacuated);
            }
            let is_new = !self.flows.contains_key(&arrival.header.client_flow());
            if is_new && self.breaker_refuses(arrival, grant, now) {
                return DeliveryDecision::Return(ReturnReason::Failing);
            }
            if is_new && !self.has_capacity(arrival, grant, now) {
                return self.queue_or_return(arrival, now);
            }
            // This may be a copy that is admitted while the original packet still waits. Returning
            // the original later would make its balancer reset the open flow.
            self.openings.remove(&arrival.header.client_flow());
        }
        let notice = self.search_notice(arrival);
        // A balancer that gets a notice now needs none when the target answers.
        let searched = arrival.search.is_some() && notice.is_none();
        self.track(arrival.header, arrival.packet, arrival.balancer, searched, now);
        let echo = self.deliveries.record(arrival);
        DeliveryDecision::Deliver { echo, notice }
    }

    /// Returns the next waiting opening packet that is due, with its outcome.
    pub fn next_outcome(&mut self, now: Millis) -> Option<WaitOutcome> {
        self.expire_expected(now);
        self.grants.expire(now);
        if let Some(reason) = self.refusal_reason()
            && let Some(opening) = self.openings.take_newest()
        {
            return Some(WaitOutcome::Return(opening, reason));
        }
        if let Some(opening) = self.openings.take_expired(now) {
            return Some(WaitOutcome::Return(opening, ReturnReason::Busy));
        }
        if !self.cold_start_allows(now) || self.yields_to_grant(now) {
            return None;
        }
        let capacity = self.available_capacity();
        let opening = self.openings.take_next(|urgent| capacity.allows(urgent))?;
        self.grants.local_turn = false;
        self.track(&opening.header, &opening.packet, opening.balancer, false, now);
        let echo = self.deliveries.record_waited(opening.balancer);
        Some(WaitOutcome::Deliver(opening, echo))
    }

    /// Returns the next flow to check at a restarted target, with the packet to deliver and its
    /// echo label.
    pub fn next_restart_check(&mut self) -> Option<RestartCheck> {
        let check = self.restart_checks.next()?;
        let sequence = check.latest.acknowledgment;
        let echo = self.deliveries.record_check(check.balancer, sequence);
        Some(RestartCheck { flow: check.flow, packet: check.latest.bytes, echo })
    }

    /// Why new flows are refused regardless of load, if they are.
    fn refusal_reason(&self) -> Option<ReturnReason> {
        match (self.leaving, self.evacuated) {
            (true, _) => Some(ReturnReason::Leaving),
            (false, true) => Some(ReturnReason::Evacuated),
            (false, false) => None,
        }
    }

    /// Whether an opening packet of this flow was delivered recently. The target accepts further
    /// copies.
    fn is_duplicate_opening(&self, flow: &FlowKey, now: Millis) -> bool {
        let opened_at = self.flows.get(flow).map(|flow| flow.opened_at);
        opened_at.is_some_and(|at| now.saturating_sub(at) < OPENING_SPAN_MS)
    }

    fn queue_or_return(&mut self, arrival: &Arrival<'_>, now: Millis) -> DeliveryDecision {
        if self.openings.contains(&arrival.header.client_flow()) {
            return DeliveryDecision::AlreadyWaiting;
        }
        if !arrival.may_wait || arrival.granted.is_some() {
            return DeliveryDecision::Return(ReturnReason::Busy);
        }
        let displaced = self.openings.add(arrival, now).map(Box::new);
        DeliveryDecision::Wait { displaced }
    }

    /// Records the status of an answer, from the packet in which the answer begins. To be called
    /// before [`Self::output`] for the same packet.
    pub fn record_answer_status(&mut self, flow: &FlowKey, status: AnswerStatus, now: Millis) {
        let is_waiting = self.flows.get(flow).is_some_and(|flow| flow.waiting_since.is_some());
        if !is_waiting {
            return;
        }
        if status != AnswerStatus::Good {
            // Most refusals and failures take less time than the work itself.
            self.service_time.advance(now);
            self.service_time.record_abandoned(flow);
        }
        let change = match status {
            AnswerStatus::Good => self.breaker.record_success(now),
            AnswerStatus::Failed => self.breaker.record_failure(now),
            AnswerStatus::NotRun => None,
        };
        self.breaker_change = change.or(self.breaker_change);
    }

    /// Takes the latest state change of the breaker.
    pub fn take_breaker_change(&mut self) -> Option<BreakerChange> {
        self.breaker_change.take()
    }

    /// Decides what to do with a packet that the target sent.
    pub fn output(&mut self, header: &PacketHeader, now: Millis) -> OutputDecision {
        self.last_output_at = Some(now);
        self.service_time.advance(now);
        if header.flags.bounced {
            return self.handle_undelivered(&header.client_flow(), header.echo);
        }
        let flow = header.target_flow();
        let Some(entry) = self.flows.get_mut(&flow) else {
            return OutputDecision::ToClient { notice: None };
        };
        entry.used_at = now;
        let ends_flow = header.flags.fin || header.flags.rst;
        let answered =
            if header.length > 0 || ends_flow { entry.waiting_since.take() } else { None };
        if let Some(since) = answered {
            self.admission.record_answer(now.saturating_sub(since), self.waiting);
            if header.length > 0 {
                self.service_time.record_answer(&flow);
            } else {
                self.service_time.record_abandoned(&flow);
            }
            self.waiting -= 1;
            if header.flags.rst {
                self.breaker_change = self.breaker.record_failure(now).or(self.breaker_change);
            }
        }
        let answers_opening = header.flags.syn && header.flags.ack;
        let notice = HoldsNotice { balancer: entry.balancer, flow, confirmed: !answers_opening };
        let needs_notice = answers_opening || entry.searched_since.is_some();
        if !answers_opening {
            entry.searched_since = None;
            entry.confirmed = true;
        }
        if header.flags.rst {
            self.untrack(&flow);
        }
        OutputDecision::ToClient { notice: needs_notice.then_some(notice) }
    }

    /// Stops tracking idle flows, and stops counting requests that have waited too long for an
    /// answer.
    pub fn expire(&mut self, now: Millis) {
        self.expire_expected(now);
        self.service_time.advance(now);
        let (waiting, service_time) = (&mut self.waiting, &mut self.service_time);
        let idle_ms = self.former.idle_ms();
        self.flows.retain(|key, flow| {
            let keep = now.saturating_sub(flow.used_at) < idle_ms;
            let timed_out = flow
                .waiting_since
                .take_if(|since| !keep || now.saturating_sub(*since) >= REQUEST_TIMEOUT_MS);
            if timed_out.is_some() {
                *waiting -= 1;
                service_time.record_abandoned(key);
            }
            keep
        });
    }

    /// Decides what to do with a packet that the target did not accept: it bounced, or the target's
    /// port is closed.
    pub fn handle_undelivered(&mut self, flow: &FlowKey, echo: u32) -> OutputDecision {
        self.untrack(flow);
        let decision = self.deliveries.take_undelivered(echo);
        decision.unwrap_or(OutputDecision::Drop(OutputDrop::UnknownDelivery))
    }
}
