//! Executes the dispatcher's decisions.

use std::net::SocketAddr;
use std::time::Instant;

use weirhinge_flow::FlowPhase;
use weirhinge_packet::FlowKey;
use weirhinge_stack::PacketSink;
use weirhinge_wire::{
    AgentMessage, Delivery, HolderAnswer, HolderQuery, PacketEnvelope, encode_into,
};

use crate::dispatch::{Announcement, Dispatch, PassOn};
use crate::flow_log;
use crate::run::Agent;

impl Agent {
    pub(crate) fn handle_message(&mut self, message: &AgentMessage<'_>) {
        let in_flight = self.in_flight.count();
        let dispatch = self.dispatcher.handle(message, in_flight, Instant::now());
        flow_log::decided(&self.log, message, &dispatch);
        self.carry_out(dispatch, message);
    }

    pub(crate) fn carry_out(&mut self, dispatch: Dispatch, message: &AgentMessage<'_>) {
        match (dispatch, message) {
            (Dispatch::Deliver(key), AgentMessage::Packet(envelope)) => {
                self.deliver(&key, envelope.packet);
            }
            (Dispatch::Open { key, announce }, AgentMessage::Packet(envelope)) => {
                self.open(key, envelope.packet.to_vec());
                for Announcement { agent, answer } in announce {
                    self.answer(agent, answer);
                }
            }
            (Dispatch::Release { packets, pass_on }, _) => self.release(&packets, &pass_on),
            (Dispatch::PassOn(ways), AgentMessage::Packet(envelope)) => {
                for way in &ways {
                    self.pass_on(way, envelope);
                }
            }
            (Dispatch::Several(all), _) => {
                for dispatch in all {
                    self.carry_out(dispatch, message);
                }
            }
            (Dispatch::Abandon(key), _) => {
                // The flow's task ends without a reset once its queue is closed.
                self.dispatcher.flows.release(&key);
            }
            (Dispatch::Ask { query, agents }, _) => self.ask(query, &agents),
            (Dispatch::Answer { agent, answer }, _) => self.answer(agent, answer),
            (Dispatch::Reset { packet, reason }, _) => {
                self.metrics.flows_refused.increment(reason);
                self.sink.send(&packet);
            }
            (Dispatch::Drop(reason), _) => self.metrics.packets_dropped.increment(reason),
            (
                Dispatch::Learned
                | Dispatch::Deliver(_)
                | Dispatch::Open { .. }
                | Dispatch::PassOn(_),
                _,
            ) => {}
        }
    }

    pub(crate) fn deliver(&mut self, key: &FlowKey, packet: &[u8]) {
        if flow_log::is_on(&self.log)
            && let Some((FlowPhase::Opening, _)) = self.dispatcher.flows.phase(key, Instant::now())
        {
            flow_log::delivered_half_open(&self.log, key, packet);
        }
        if let Some(handle) = self.dispatcher.flows.get(key)
            && handle.queue.try_send(packet.to_vec()).is_err()
        {
            flow_log::not_delivered(&self.log, key);
            self.metrics.packets_dropped.increment("flow_queue_full");
        }
    }

    pub(crate) fn pass_on(&mut self, pass_on: &PassOn, envelope: &PacketEnvelope<'_>) {
        let message = AgentMessage::Packet(PacketEnvelope {
            revision: self.dispatcher.view().table.revision(),
            target: pass_on.target.0,
            delivery: pass_on.delivery,
            hops: envelope.hops.saturating_add(1),
            ..*envelope
        });
        self.metrics.packets_passed_on.increment(match pass_on.delivery {
            Delivery::Offered(_) => "offered",
            Delivery::Assigned => "assigned",
            Delivery::Forwarded => "forwarded",
            Delivery::Owner | Delivery::Hinted | Delivery::Standby => "owner",
        });
        self.send(pass_on.agent, &message);
    }

    pub(crate) fn ask(&mut self, query: HolderQuery, agents: &[SocketAddr]) {
        for &agent in agents {
            let sent = self.send(agent, &AgentMessage::HolderQuery(query));
            self.metrics.control_bytes.inc_by(sent as u64);
        }
    }

    pub(crate) fn release(&mut self, packets: &[Vec<u8>], pass_on: &PassOn) {
        for packet in packets {
            if let Some(envelope) = self.own_envelope(Delivery::Forwarded, packet) {
                self.pass_on(pass_on, &envelope);
            }
        }
    }

    /// Wraps a packet in an envelope as if it had been sent to this agent with this delivery;
    /// `None` if the configuration does not contain the agent's target.
    pub(crate) fn own_envelope<'a>(
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
    pub(crate) fn act_on_standby(&mut self) {
        while let Some(due) = self.dispatcher.take_due_standby(Instant::now()) {
            self.metrics.standby_acted.inc();
            self.handle_own(Delivery::Forwarded, &due.packet);
        }
        while let Some(due) = self.dispatcher.take_due_offer(Instant::now()) {
            self.metrics.offers_unclaimed.inc();
            self.handle_own(Delivery::Assigned, &due.packet);
        }
    }

    /// Handles a packet that this agent has kept as if it had just arrived with this delivery.
    pub(crate) fn handle_own(&mut self, delivery: Delivery, packet: &[u8]) {
        if let Some(envelope) = self.own_envelope(delivery, packet) {
            self.handle_message(&AgentMessage::Packet(envelope));
        }
    }
}
