//! Decisions about later packets: who holds a flow that is not open here.

use std::time::{Duration, Instant};

use weirhinge_config::TargetId;
use weirhinge_flow::{FlowPhase, LookupStep, RefusalReason};
use weirhinge_packet::{FlowKey, TcpSegment};
use weirhinge_wire::{Delivery, HolderAnswer, HolderQuery, Holding};

use super::{Announcement, Arrival, Dispatch, Dispatcher, MAXIMUM_HOPS, PassOn, reset};
use crate::plant::Plant;

/// How long after a change of configuration a UDP flow may have another holder;
/// the idle time-out of UDP flows.
pub const UDP_IDLE_TIMEOUT: Duration = Duration::from_secs(60);
/// A flow that is still opening this long after its admission may have been won
/// by another agent: then the others are asked.
const SUSPICIOUS_OPENING: Duration = Duration::from_millis(500);

impl<H> Dispatcher<H> {
    /// A packet of a flow that is opening here. The caller may have taken up
    /// another agent's answer instead; then its packets belong there.
    pub(super) fn deliver_to_opening(&mut self, arrival: &Arrival<'_>, age: Duration) -> Dispatch {
        let key = arrival.view.key;
        let opens = arrival.view.tcp().is_some_and(TcpSegment::opens_flow);
        if opens || arrival.envelope.delivery == Delivery::Forwarded {
            return Dispatch::Deliver(key);
        }
        let suspicious = age >= SUSPICIOUS_OPENING || self.directory.has_claim(&key);
        if !suspicious {
            // Another agent's claim may still be on its way.
            self.directory.buffer_for_claimants(&key, arrival.envelope.packet, arrival.now);
            return Dispatch::Deliver(key);
        }
        let further = match self.locate(arrival) {
            LookupStep::Query => self.ask(arrival),
            LookupStep::Forward(holders) => self.forward(arrival, &holders),
            LookupStep::ForwardAndQuery(holders) => self.forward_and_ask(arrival, &holders),
            LookupStep::Wait | LookupStep::Absent => return Dispatch::Deliver(key),
        };
        Dispatch::Several(vec![Dispatch::Deliver(key), further])
    }

    /// Notes that the handshake of a flow held here is complete. Packets without
    /// timestamps carry no hint and go to the bucket's owner, which is told.
    pub fn opened(&mut self, key: &FlowKey, has_timestamps: bool) -> Option<Announcement> {
        self.flows.mark_open(key, has_timestamps);
        self.directory.forget(key);
        if has_timestamps {
            return None;
        }
        self.announcement(key, Holding::Open)
    }

    /// What to tell the owner of the flow's bucket, if that is another agent.
    pub(super) fn announcement(&self, key: &FlowKey, holding: Holding) -> Option<Announcement> {
        self.announcement_to(self.owner(key)?, key, holding)
    }

    pub(super) fn announcement_to(
        &self,
        target: TargetId,
        key: &FlowKey,
        holding: Holding,
    ) -> Option<Announcement> {
        if target == self.own_target {
            return None;
        }
        let agent = self.view.table.target(target)?.agent;
        Some(Announcement { agent, answer: self.holder_answer(key, holding)? })
    }

    pub(super) fn holder_answer(&self, key: &FlowKey, holding: Holding) -> Option<HolderAnswer> {
        let service = self.view.own?.fence.service.0;
        let revision = self.view.table.revision();
        let flow = (*key).into();
        Some(HolderAnswer { service, from: self.own_target.0, revision, flow, holding })
    }

    /// A later packet of a TCP flow that is not held here.
    pub(super) fn unknown_tcp(&mut self, arrival: &Arrival<'_>, segment: &TcpSegment) -> Dispatch {
        if self.flows.is_quarantined(&arrival.view.key, arrival.now) {
            return reset(&arrival.view.key, segment, "ended_flow");
        }
        if arrival.envelope.delivery == Delivery::Forwarded {
            return self.deny_forwarded(arrival);
        }
        if self.plant == Some(Plant::ResetUnknown) {
            return reset(&arrival.view.key, segment, "planted");
        }
        if let Some(owner) = self.owner_of_misnamed(arrival, segment) {
            return self.pass_on(arrival, owner, Delivery::Owner);
        }
        match self.locate(arrival) {
            LookupStep::Query => self.ask(arrival),
            LookupStep::Wait => Dispatch::Drop("awaiting_holder"),
            LookupStep::Forward(holders) => self.forward(arrival, &holders),
            LookupStep::ForwardAndQuery(holders) => self.forward_and_ask(arrival, &holders),
            LookupStep::Absent if self.is_stale() => Dispatch::Drop("stale_view"),
            LookupStep::Absent => reset(&arrival.view.key, segment, "unknown_flow"),
        }
    }

    /// The owner of a flow whose numbers name this agent though it does not hold the flow,
    /// as those of a long flow come to: the owner knows the holder, or asks.
    fn owner_of_misnamed(&self, arrival: &Arrival<'_>, segment: &TcpSegment) -> Option<TargetId> {
        let by_number =
            arrival.envelope.delivery == Delivery::Hinted && segment.timestamp_echo.is_none();
        self.owner(&arrival.view.key).filter(|&owner| by_number && owner != self.own_target)
    }

    /// Another agent believes that the flow is held here: the bucket's owner, as
    /// a rule, is told that it is not.
    pub(super) fn deny_forwarded(&self, arrival: &Arrival<'_>) -> Dispatch {
        match self.announcement(&arrival.view.key, Holding::Not) {
            Some(Announcement { agent, answer }) => Dispatch::Answer { agent, answer },
            None => Dispatch::Drop("not_held"),
        }
    }

    /// A packet of a UDP flow that is not held here, first or later.
    pub(super) fn unknown_udp(&mut self, arrival: &Arrival<'_>) -> Dispatch {
        if arrival.envelope.delivery == Delivery::Forwarded {
            return self.deny_forwarded(arrival);
        }
        let owner = self.owner(&arrival.view.key);
        if let Some(owner) = owner
            && owner != self.own_target
        {
            return self.pass_on(arrival, owner, Delivery::Owner);
        }
        let changed = arrival.now.saturating_duration_since(self.last_change);
        if changed < UDP_IDLE_TIMEOUT {
            match self.locate(arrival) {
                LookupStep::Query => return self.ask(arrival),
                LookupStep::Wait => return Dispatch::Drop("awaiting_holder"),
                LookupStep::Forward(holders) => return self.forward(arrival, &holders),
                LookupStep::ForwardAndQuery(holders) => {
                    return self.forward_and_ask(arrival, &holders);
                }
                LookupStep::Absent if self.is_stale() => return Dispatch::Drop("stale_view"),
                LookupStep::Absent => {}
            }
        }
        if !self.own_load(arrival).has_capacity() {
            return Dispatch::Drop(RefusalReason::NoCapacity.name());
        }
        match self.flows.check_insert(&arrival.view.key, arrival.now) {
            Ok(()) => self.admit(arrival),
            Err(error) => Dispatch::Drop(error.name()),
        }
    }

    pub(super) fn locate(&mut self, arrival: &Arrival<'_>) -> LookupStep {
        let others = self.others();
        self.directory.locate(&arrival.view.key, &others, arrival.envelope.packet, arrival.now)
    }

    /// The service's other targets, draining ones too.
    pub(super) fn others(&self) -> Vec<TargetId> {
        let members = self.view.own_service().map_or(&[][..], |service| &service.members);
        members.iter().copied().filter(|&member| member != self.own_target).collect()
    }

    pub(super) fn ask(&self, arrival: &Arrival<'_>) -> Dispatch {
        let agents = self
            .others()
            .into_iter()
            .filter_map(|target| Some(self.view.table.target(target)?.agent))
            .collect();
        let query = HolderQuery {
            service: arrival.own.fence.service.0,
            from: self.own_target.0,
            revision: self.view.table.revision(),
            flow: arrival.view.key.into(),
        };
        Dispatch::Ask { query, agents }
    }

    pub(super) fn forward(&self, arrival: &Arrival<'_>, holders: &[TargetId]) -> Dispatch {
        if arrival.envelope.hops >= MAXIMUM_HOPS {
            return Dispatch::Drop("too_many_hops");
        }
        let delivery = Delivery::Forwarded;
        let ways = holders.iter().filter_map(|&target| {
            let agent = self.view.table.target(target)?.agent;
            Some(PassOn { agent, target, delivery })
        });
        Dispatch::PassOn(ways.collect())
    }

    pub(super) fn forward_and_ask(&self, arrival: &Arrival<'_>, holders: &[TargetId]) -> Dispatch {
        Dispatch::Several(vec![self.forward(arrival, holders), self.ask(arrival)])
    }

    /// Whether somebody has shown a newer revision than the one in force here:
    /// then a target may exist that this agent does not know to ask.
    pub(super) fn is_stale(&self) -> bool {
        self.newest_seen > self.view.table.revision()
    }

    pub(super) fn handle_query(&self, query: &HolderQuery, now: Instant) -> Dispatch {
        let Some(own) = self.view.own else {
            return Dispatch::Drop("not_configured");
        };
        if query.service != own.fence.service.0 {
            return Dispatch::Drop("wrong_service");
        }
        let Some(asker) = self.view.table.target(TargetId(query.from)) else {
            return Dispatch::Drop("unknown_target");
        };
        let answer = HolderAnswer {
            service: query.service,
            from: self.own_target.0,
            revision: self.view.table.revision(),
            flow: query.flow,
            holding: match self.flows.phase(&query.flow.into(), now) {
                Some((FlowPhase::Open, _)) => Holding::Open,
                Some((FlowPhase::Opening, _)) => Holding::Opening,
                None => Holding::Not,
            },
        };
        Dispatch::Answer { agent: asker.agent, answer }
    }

    pub(super) fn handle_answer(&mut self, answer: &HolderAnswer, now: Instant) -> Dispatch {
        let own_service = self.view.own.map(|own| own.fence.service.0);
        if own_service != Some(answer.service) {
            return Dispatch::Drop("wrong_service");
        }
        let key = FlowKey::from(answer.flow);
        let holder = TargetId(answer.from);
        let packets = self.directory.record_answer(&key, holder, answer.holding, now);
        let own_phase = self.flows.phase(&key, now).map(|(phase, _)| phase);
        let gives_up = (own_phase, answer.holding) == (Some(FlowPhase::Opening), Holding::Open);
        match (gives_up, self.release(packets, holder)) {
            (true, Some(release)) => Dispatch::Several(vec![Dispatch::Abandon(key), release]),
            (true, None) => Dispatch::Abandon(key),
            (false, Some(release)) => release,
            (false, None) => Dispatch::Learned,
        }
    }

    /// Sends held packets on to the agent that has their flow, if there are any.
    fn release(&self, packets: Vec<Vec<u8>>, holder: TargetId) -> Option<Dispatch> {
        if packets.is_empty() {
            return None;
        }
        let agent = self.view.table.target(holder)?.agent;
        let delivery = Delivery::Forwarded;
        Some(Dispatch::Release { packets, pass_on: PassOn { agent, target: holder, delivery } })
    }
}
