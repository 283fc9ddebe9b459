//! Executes the dispatcher's decisions.

use std::net::SocketAddr;
use std::time::Instant;

use weirhinge_flow::FlowPhase;
use weirhinge_packet::FlowKey;
use weirhinge_stack::PacketSink;
use weirhinge_wire::{
    AgentMessage, Delivery, HolderAnswer, HolderQuery, PacketEnvelope, encode_into,
};

use crate::dispatch::{Announcement, Decision, NextHop};
use crate::flow_log;
use crate::run::Agent;

impl Agent {
    pub(crate) fn handle_message(&mut self, message: &AgentMessage<'_>) {
        let in_flight = self.in_flight.count();
        let decision = self.dispatcher.handle(message, in_flight, Instant::now());
        flow_log::log_decision(&self.log, message, &decision);
        self.execute(decision, message);
    }

    pub(crate) fn execute(&mut self, decision: Decision, message: &AgentMessage<'_>) {
        match (decision, message) {
            (Decision::Deliver(key), AgentMessage::Packet(envelope)) => {
                self.deliver(&key, envelope.packet);
            }
            (Decision::Open { key, announce }, AgentMessage::Packet(envelope)) => {
                self.start_flow(key, envelope.packet.to_vec());
                for Announcement { agent, answer } in announce {
                    self.answer(agent, answer);
                }
            }
            (Decision::ForwardBuffered { packets, next_hop }, _) => {
                self.forward_buffered(&packets, &next_hop)
            }
            (Decision::PassOn(next_hops), AgentMessage::Packet(envelope)) => {
                for next_hop in &next_hops {
                    self.pass_on(next_hop, envelope);
                }
            }
            (Decision::Multiple(all), _) => {
                for decision in all {
                    self.execute(decision, message);
                }
            }
            (Decision::Abandon(key), _) => {
                // The task of a half-open flow ends without a reset once its queue is closed.
                self.dispatcher.flows.release(&key);
            }
            (Decision::Query { query, agents }, _) => self.query_holders(query, &agents),
            (Decision::Answer { agent, answer }, _) => self.answer(agent, answer),
            (Decision::Reset { packet, reason }, _) => {
                self.metrics.flows_refused.increment(reason);
                self.sink.send(&packet);
            }
            (Decision::Drop(reason), _) => self.metrics.packets_dropped.increment(reason),
            (
                Decision::Recorded
                | Decision::Deliver(_)
                | Decision::Open { .. }
                | Decision::PassOn(_),
                _,
            ) => {}
        }
    }

    pub(crate) fn deliver(&mut self, key: &FlowKey, packet: &[u8]) {
        if flow_log::is_enabled(&self.log)
            && let Some((FlowPhase::Opening, _)) = self.dispatcher.flows.phase(key, Instant::now())
        {
            flow_log::log_half_open_delivery(&self.log, key, packet);
        }
        if let Some(handle) = self.dispatcher.flows.get(key)
            && handle.queue.try_send(packet.to_vec()).is_err()
        {
            flow_log::log_undelivered(&self.log, key);
            self.metrics.packets_dropped.increment("flow_queue_full");
        }
    }

    pub(crate) fn pass_on(&mut self, next_hop: &NextHop, envelope: &PacketEnvelope<'_>) {
        let message = AgentMessage::Packet(PacketEnvelope {
            revision: self.dispatcher.view().table.revision(),
            target: next_hop.target.0,
            delivery: next_hop.delivery,
            hops: envelope.hops.saturating_add(1),
            ..*envelope
        });
        self.metrics.packets_passed_on.increment(match next_hop.delivery {
            Delivery::Offered(_) => "offered",
            Delivery::Assigned => "assigned",
            Delivery::Forwarded => "forwarded",
            Delivery::Owner | Delivery::Hinted | Delivery::Standby => "owner",
        });
        self.send(next_hop.agent, &message);
    }

    pub(crate) fn query_holders(&mut self, query: HolderQuery, agents: &[SocketAddr]) {
        for &agent in agents {
            let sent = self.send(agent, &AgentMessage::HolderQuery(query));
            self.metrics.control_bytes.inc_by(sent as u64);
        }
    }

    pub(crate) fn forward_buffered(&mut self, packets: &[Vec<u8>], next_hop: &NextHop) {
        for packet in packets {
            if let Some(envelope) = self.local_envelope(Delivery::Forwarded, packet) {
                self.pass_on(next_hop, &envelope);
            }
        }
    }

    /// Wraps a packet in an envelope as if it had been sent to this agent with this delivery;
    /// `None` if the configuration does not contain the agent's target.
    pub(crate) fn local_envelope<'a>(
        &self,
        delivery: Delivery,
        packet: &'a [u8],
    ) -> Option<PacketEnvelope<'a>> {
        let view = self.dispatcher.view();
        let own = view.own?;
        Some(PacketEnvelope {
            revision: view.table.revision(),
            service: own.fence.service.0,
            target: own.fence.target.0,
            delivery,
            hops: 0,
            packet,
        })
    }

    pub(crate) fn answer(&mut self, agent: SocketAddr, answer: HolderAnswer) {
        let sent = self.send(agent, &AgentMessage::HolderAnswer(answer));
        self.metrics.control_bytes.inc_by(sent as u64);
    }

    /// Sends a message to another agent and returns the number of bytes sent. A message that the
    /// kernel does not accept is lost, as any datagram may be.
    pub(crate) fn send(&mut self, agent: SocketAddr, message: &AgentMessage<'_>) -> usize {
        if encode_into(message, &mut self.envelope).is_err() {
            self.metrics.packets_dropped.increment("encoding");
            return 0;
        }
        match self.socket.try_send_to(&self.envelope, agent) {
            Ok(length) => length,
            Err(_) => {
                self.metrics.packets_unsent.inc();
                0
            }
        }
    }

    /// Handles opening packets that their owners or candidates have not claimed in time.
    pub(crate) fn handle_due_openings(&mut self) {
        while let Some(due) = self.dispatcher.take_due_standby(Instant::now()) {
            self.metrics.standby_acted.inc();
            self.handle_kept_packet(Delivery::Forwarded, &due.packet);
        }
        while let Some(due) = self.dispatcher.take_due_offer(Instant::now()) {
            self.metrics.offers_unclaimed.inc();
            self.handle_kept_packet(Delivery::Assigned, &due.packet);
        }
    }

    /// Handles a packet that this agent has kept as if it had just arrived with this delivery.
    pub(crate) fn handle_kept_packet(&mut self, delivery: Delivery, packet: &[u8]) {
        if let Some(envelope) = self.local_envelope(delivery, packet) {
            self.handle_message(&AgentMessage::Packet(envelope));
        }
    }
}
