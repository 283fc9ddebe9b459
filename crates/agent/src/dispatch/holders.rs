//! Decisions about packets of flows that are not open here: which agent holds the flow.

use std::time::{Duration, Instant};

use weirhinge_config::TargetId;
use weirhinge_flow::{FlowPhase, LookupStep, RefusalReason};
use weirhinge_packet::{FlowKey, TcpSegment};
use weirhinge_wire::{Delivery, HolderAnswer, HolderQuery, Holding};

use super::{Announcement, Arrival, Decision, Dispatcher, MAX_HOPS, NextHop, reset};
use crate::planted_defect::PlantedDefect;

/// Idle timeout of UDP flows, and thus how long after a configuration change a UDP flow may still
/// have its previous holder.
pub const UDP_IDLE_TIMEOUT: Duration = Duration::from_secs(60);
/// A flow that is still half-open this long after its admission may be open at another agent, so
/// the other agents are queried.
const SUSPICIOUS_OPENING_AGE: Duration = Duration::from_millis(500);

impl<H> Dispatcher<H> {
    /// Handles a packet of a flow that is half-open here. The client may have taken up another
    /// agent's answer instead; then its packets belong to that agent.
    pub(super) fn deliver_to_opening(&mut self, arrival: &Arrival<'_>, age: Duration) -> Decision {
        let key = arrival.view.key;
        let opens = arrival.view.tcp().is_some_and(TcpSegment::opens_flow);
        if opens || arrival.envelope.delivery == Delivery::Forwarded {
            return Decision::Deliver(key);
        }
        let suspicious = age >= SUSPICIOUS_OPENING_AGE || self.directory.has_claim(&key);
        if !suspicious {
            // Another agent's claim may still arrive.
            self.directory.buffer_for_claimants(&key, arrival.envelope.packet, arrival.now);
            return Decision::Deliver(key);
        }
        let further = match self.locate(arrival) {
            LookupStep::Query => self.query_holders(arrival),
            LookupStep::Forward(holders) => self.forward(arrival, &holders),
            LookupStep::ForwardAndQuery(holders) => self.forward_and_query(arrival, &holders),
            LookupStep::Wait | LookupStep::Absent => return Decision::Deliver(key),
        };
        Decision::Multiple(vec![Decision::Deliver(key), further])
    }

    /// Notes that the handshake of a flow held here is complete. Packets without timestamps may
    /// carry no holder hint and go to the bucket's owner, so the owner is notified.
    pub fn note_opened(&mut self, key: &FlowKey, has_timestamps: bool) -> Option<Announcement> {
        self.flows.mark_open(key, has_timestamps);
        self.directory.forget(key);
        if has_timestamps {
            return None;
        }
        self.announcement(key, Holding::Open)
    }

    /// Returns the announcement for the owner of the flow's bucket, if that is another agent.
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

    /// Handles a packet, not an opening one, of a TCP flow that is not held here.
    pub(super) fn handle_unknown_tcp(
        &mut self,
        arrival: &Arrival<'_>,
        segment: &TcpSegment,
    ) -> Decision {
        if self.flows.is_quarantined(&arrival.view.key, arrival.now) {
            return reset(&arrival.view.key, segment, "ended_flow");
        }
        if arrival.envelope.delivery == Delivery::Forwarded {
            return self.deny_forwarded(arrival);
        }
        if self.planted_defect == Some(PlantedDefect::ResetUnknown) {
            return reset(&arrival.view.key, segment, "planted");
        }
        if let Some(owner) = self.owner_of_misdirected(arrival, segment) {
            return self.pass_on(arrival, owner, Delivery::Owner);
        }
        match self.locate(arrival) {
            LookupStep::Query => self.query_holders(arrival),
            LookupStep::Wait => Decision::Drop("awaiting_holder"),
            LookupStep::Forward(holders) => self.forward(arrival, &holders),
            LookupStep::ForwardAndQuery(holders) => self.forward_and_query(arrival, &holders),
            LookupStep::Absent if self.is_stale() => Decision::Drop("stale_view"),
            LookupStep::Absent => reset(&arrival.view.key, segment, "unknown_flow"),
        }
    }

    /// Returns the owner of a flow whose sequence numbers name this agent although it does not hold
    /// the flow. The numbers of a long flow advance until they name another target. The owner knows
    /// the holder or queries for it.
    fn owner_of_misdirected(
        &self,
        arrival: &Arrival<'_>,
        segment: &TcpSegment,
    ) -> Option<TargetId> {
        let hinted_by_sequence =
            arrival.envelope.delivery == Delivery::Hinted && segment.timestamp_echo.is_none();
        self.owner(&arrival.view.key)
            .filter(|&owner| hinted_by_sequence && owner != self.own_target)
    }

    /// Answers a forwarded packet whose flow is not held here. Another agent, usually the bucket's
    /// owner, assumes that it is; the owner is notified that it is not.
    pub(super) fn deny_forwarded(&self, arrival: &Arrival<'_>) -> Decision {
        match self.announcement(&arrival.view.key, Holding::Not) {
            Some(Announcement { agent, answer }) => Decision::Answer { agent, answer },
            None => Decision::Drop("not_held"),
        }
    }

    /// Handles a packet of a UDP flow that is not held here, whether the flow is new or not.
    pub(super) fn handle_unknown_udp(&mut self, arrival: &Arrival<'_>) -> Decision {
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
                LookupStep::Query => return self.query_holders(arrival),
                LookupStep::Wait => return Decision::Drop("awaiting_holder"),
                LookupStep::Forward(holders) => return self.forward(arrival, &holders),
                LookupStep::ForwardAndQuery(holders) => {
                    return self.forward_and_query(arrival, &holders);
                }
                LookupStep::Absent if self.is_stale() => return Decision::Drop("stale_view"),
                LookupStep::Absent => {}
            }
        }
        if !self.own_load(arrival).has_capacity() {
            return Decision::Drop(RefusalReason::NoCapacity.name());
        }
        match self.flows.check_insert(&arrival.view.key, arrival.now) {
            Ok(()) => self.admit(arrival),
            Err(error) => Decision::Drop(error.name()),
        }
    }

    /// Looks up which agents may hold the packet's flow. The directory buffers the packet while the
    /// holder is unknown.
    pub(super) fn locate(&mut self, arrival: &Arrival<'_>) -> LookupStep {
        let other_targets = self.other_targets();
        self.directory.locate(
            &arrival.view.key,
            &other_targets,
            arrival.envelope.packet,
            arrival.now,
        )
    }

    /// Returns the service's other targets, including draining ones.
    pub(super) fn other_targets(&self) -> Vec<TargetId> {
        let members = self.view.own_service().map_or(&[][..], |service| &service.members);
        members.iter().copied().filter(|&member| member != self.own_target).collect()
    }

    pub(super) fn query_holders(&self, arrival: &Arrival<'_>) -> Decision {
        let agents = self
            .other_targets()
            .into_iter()
            .filter_map(|target| Some(self.view.table.target(target)?.agent))
            .collect();
        let query = HolderQuery {
            service: arrival.own.fence.service.0,
            from: self.own_target.0,
            revision: self.view.table.revision(),
            flow: arrival.view.key.into(),
        };
        Decision::Query { query, agents }
    }

    pub(super) fn forward(&self, arrival: &Arrival<'_>, holders: &[TargetId]) -> Decision {
        if arrival.envelope.hops >= MAX_HOPS {
            return Decision::Drop("too_many_hops");
        }
        let delivery = Delivery::Forwarded;
        let next_hops = holders.iter().filter_map(|&target| {
            let agent = self.view.table.target(target)?.agent;
            Some(NextHop { agent, target, delivery })
        });
        Decision::PassOn(next_hops.collect())
    }

    pub(super) fn forward_and_query(
        &self,
        arrival: &Arrival<'_>,
        holders: &[TargetId],
    ) -> Decision {
        Decision::Multiple(vec![self.forward(arrival, holders), self.query_holders(arrival)])
    }

    /// Whether a message has shown a newer revision than the one in effect here. Then a target may
    /// exist that this agent does not know and therefore cannot query.
    pub(super) fn is_stale(&self) -> bool {
        self.newest_revision_seen > self.view.table.revision()
    }

    pub(super) fn handle_query(&self, query: &HolderQuery, now: Instant) -> Decision {
        let Some(own) = self.view.own else {
            return Decision::Drop("not_configured");
        };
        if query.service != own.fence.service.0 {
            return Decision::Drop("wrong_service");
        }
        let Some(requester) = self.view.table.target(TargetId(query.from)) else {
            return Decision::Drop("unknown_target");
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
        Decision::Answer { agent: requester.agent, answer }
    }

    pub(super) fn handle_answer(&mut self, answer: &HolderAnswer, now: Instant) -> Decision {
        let own_service = self.view.own.map(|own| own.fence.service.0);
        if own_service != Some(answer.service) {
            return Decision::Drop("wrong_service");
        }
        let key = FlowKey::from(answer.flow);
        let holder = TargetId(answer.from);
        let packets = self.directory.record_answer(&key, holder, answer.holding, now);
        let own_phase = self.flows.phase(&key, now).map(|(phase, _)| phase);
        let abandons = (own_phase, answer.holding) == (Some(FlowPhase::Opening), Holding::Open);
        match (abandons, self.forward_buffered(packets, holder)) {
            (true, Some(forwarding)) => {
                Decision::Multiple(vec![Decision::Abandon(key), forwarding])
            }
            (true, None) => Decision::Abandon(key),
            (false, Some(forwarding)) => forwarding,
            (false, None) => Decision::Recorded,
        }
    }

    /// Decides to send buffered packets, if there are any, to the agent that holds their flow.
    fn forward_buffered(&self, packets: Vec<Vec<u8>>, holder: TargetId) -> Option<Decision> {
        if packets.is_empty() {
            return None;
        }
        let agent = self.view.table.target(holder)?.agent;
        let delivery = Delivery::Forwarded;
        Some(Decision::ForwardBuffered {
            packets,
            next_hop: NextHop { agent, target: holder, delivery },
        })
    }
}
