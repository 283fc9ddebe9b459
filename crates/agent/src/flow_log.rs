//! Debug log lines about decisions, by which a flow's path through the agents can be traced
//! afterwards. Packets of open flows are not logged. Packets are decoded only if debug lines are
//! written.

use std::fmt;

use slog::{Drain, Logger, debug};
use weirhinge_flow::RefusalReason;
use weirhinge_packet::{FlowKey, PacketView, decode_packet};
use weirhinge_stack::SpliceEnd;
use weirhinge_wire::{AgentMessage, HolderAnswer, HolderQuery};

use crate::dispatch::Decision;

/// Whether debug lines are written.
pub(crate) fn is_enabled(log: &Logger) -> bool {
    log.is_debug_enabled()
}

/// Logs that a packet was delivered to a half-open flow.
pub(crate) fn log_half_open_delivery(log: &Logger, key: &FlowKey, packet: &[u8]) {
    if let Ok(view) = decode_packet(packet) {
        debug!(log, "agent: Packet delivered to a half-open flow."; "flow" => %key,
            "packet" => %Flags(&view));
    }
}

/// Logs a message and the decision about it.
pub(crate) fn log_decision(log: &Logger, message: &AgentMessage<'_>, decision: &Decision) {
    if matches!(decision, Decision::Deliver(_)) || !is_enabled(log) {
        return;
    }
    match message {
        AgentMessage::Packet(envelope) => {
            // The dispatcher counts a packet that cannot be decoded, with the reason.
            let Ok(view) = decode_packet(envelope.packet) else {
                return;
            };
            debug!(log, "agent: Packet dispatched."; "flow" => %view.key,
                "packet" => %Flags(&view), "delivery" => ?envelope.delivery,
                "hops" => envelope.hops, "outcome" => %Outcome(decision));
        }
        AgentMessage::HolderQuery(HolderQuery { flow, from, .. }) => {
            debug!(log, "agent: Holder query received."; "flow" => %FlowKey::from(*flow),
                "from" => from, "outcome" => %Outcome(decision));
        }
        AgentMessage::HolderAnswer(HolderAnswer { flow, from, holding, .. }) => {
            debug!(log, "agent: Holder answer received."; "flow" => %FlowKey::from(*flow),
                "from" => from, "holding" => ?holding, "outcome" => %Outcome(decision));
        }
    }
}

/// Logs that a flow's handshake is complete.
pub(crate) fn log_opened(log: &Logger, key: &FlowKey) {
    debug!(log, "agent: Flow is open."; "flow" => %key);
}

/// Logs that the back end accepted no connection for a flow.
pub(crate) fn log_not_opened(log: &Logger, key: &FlowKey, reason: RefusalReason) {
    debug!(log, "agent: Flow could not be connected to the back end.";
        "flow" => %key, "reason" => reason.name());
}

/// Logs that a flow has ended.
pub(crate) fn log_ended(log: &Logger, key: &FlowKey, end: SpliceEnd) {
    debug!(log, "agent: Flow ended."; "flow" => %key, "end" => ?end);
}

/// Logs that a packet was dropped because its flow's queue was full or closed.
pub(crate) fn log_undelivered(log: &Logger, key: &FlowKey) {
    debug!(log, "agent: Packet not delivered: the flow's queue is full or closed."; "flow" => %key);
}

/// A packet's TCP flags, sequence numbers and payload length, or `udp`.
struct Flags<'a>(&'a PacketView<'a>);

impl fmt::Display for Flags<'_> {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Some(segment) = self.0.tcp() else {
            return formatter.write_str("udp");
        };
        let flags = [
            (segment.syn, "SYN "),
            (segment.ack, "ACK "),
            (segment.fin, "FIN "),
            (segment.reset, "RST "),
        ];
        for (_, name) in flags.iter().filter(|(is_set, _)| *is_set) {
            formatter.write_str(name)?;
        }
        write!(formatter, "seq {} ", segment.sequence)?;
        if segment.ack {
            write!(formatter, "ack {} ", segment.acknowledgment)?;
        }
        write!(formatter, "{} bytes", segment.payload_length)
    }
}

/// Formats a decision without its packets.
struct Outcome<'a>(&'a Decision);

impl fmt::Display for Outcome<'_> {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.0 {
            Decision::Deliver(_) => formatter.write_str("delivered"),
            Decision::Open { announce, .. } => {
                write!(formatter, "admitted, claimed with {} agents", announce.len())
            }
            Decision::PassOn(next_hops) => {
                let targets: Vec<_> = next_hops
                    .iter()
                    .map(|next_hop| (next_hop.target.0, next_hop.delivery))
                    .collect();
                write!(formatter, "passed on to {targets:?}")
            }
            Decision::Multiple(all) => {
                for decision in all {
                    write!(formatter, "{}; ", Outcome(decision))?;
                }
                Ok(())
            }
            Decision::Abandon(_) => formatter.write_str("given up"),
            Decision::Query { agents, .. } => write!(formatter, "{} agents asked", agents.len()),
            Decision::Answer { answer, .. } => write!(formatter, "answered {:?}", answer.holding),
            Decision::Reset { reason, .. } => write!(formatter, "reset: {reason}"),
            Decision::Recorded => formatter.write_str("noted"),
            Decision::ForwardBuffered { packets, next_hop } => {
                write!(formatter, "{} packets released to {}", packets.len(), next_hop.target.0)
            }
            Decision::Drop(reason) => write!(formatter, "dropped: {reason}"),
        }
    }
}
