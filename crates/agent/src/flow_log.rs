//! Debug lines of the decisions about flows, so that a flow's way through the
//! agents can be followed afterwards. Packets of open flows leave no line, and
//! no packet is read for a line that is not written.

use std::fmt;

use slog::{Drain, Logger, debug};
use weirhinge_flow::RefusalReason;
use weirhinge_packet::{FlowKey, PacketView, decode_packet};
use weirhinge_stack::SpliceEnd;
use weirhinge_wire::{AgentMessage, HolderAnswer, HolderQuery};

use crate::dispatch::Dispatch;

/// Whether the lines are written at all.
pub(crate) fn is_on(log: &Logger) -> bool {
    log.is_debug_enabled()
}

/// Writes that a packet was handed to a flow that is not open yet.
pub(crate) fn delivered_half_open(log: &Logger, key: &FlowKey, packet: &[u8]) {
    if let Ok(view) = decode_packet(packet) {
        debug!(log, "agent: Packet for a half-open flow."; "flow" => %key,
            "packet" => %Flags(&view));
    }
}

/// Writes the line of one message and what was decided about it.
pub(crate) fn decided(log: &Logger, message: &AgentMessage<'_>, dispatch: &Dispatch) {
    if matches!(dispatch, Dispatch::Deliver(_)) || !is_on(log) {
        return;
    }
    match message {
        AgentMessage::Packet(envelope) => {
            // The dispatcher names the reason of a packet that cannot be decoded.
            let Ok(view) = decode_packet(envelope.packet) else {
                return;
            };
            debug!(log, "agent: Packet decided."; "flow" => %view.key,
                "packet" => %Flags(&view), "delivery" => ?envelope.delivery,
                "hops" => envelope.hops, "outcome" => %Outcome(dispatch));
        }
        AgentMessage::HolderQuery(HolderQuery { flow, from, .. }) => {
            debug!(log, "agent: Holder asked for."; "flow" => %FlowKey::from(*flow),
                "from" => from, "outcome" => %Outcome(dispatch));
        }
        AgentMessage::HolderAnswer(HolderAnswer { flow, from, holding, .. }) => {
            debug!(log, "agent: Holder answered."; "flow" => %FlowKey::from(*flow),
                "from" => from, "holding" => ?holding, "outcome" => %Outcome(dispatch));
        }
    }
}

/// Writes that a flow's handshake is complete.
pub(crate) fn opened(log: &Logger, key: &FlowKey) {
    debug!(log, "agent: Flow is open."; "flow" => %key);
}

/// Writes that the back end took no connection for a flow.
pub(crate) fn not_opened(log: &Logger, key: &FlowKey, reason: RefusalReason) {
    debug!(log, "agent: Flow found no back end."; "flow" => %key, "reason" => reason.name());
}

/// Writes that a flow has ended.
pub(crate) fn ended(log: &Logger, key: &FlowKey, end: SpliceEnd) {
    debug!(log, "agent: Flow ended."; "flow" => %key, "end" => ?end);
}

/// Writes that a packet found no room in its flow's queue.
pub(crate) fn not_delivered(log: &Logger, key: &FlowKey) {
    debug!(log, "agent: Packet not delivered."; "flow" => %key);
}

/// What a packet says, in a few letters.
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

/// A decision without the packets that it carries.
struct Outcome<'a>(&'a Dispatch);

impl fmt::Display for Outcome<'_> {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.0 {
            Dispatch::Deliver(_) => formatter.write_str("delivered"),
            Dispatch::Open { announce, .. } => {
                write!(formatter, "admitted, claimed with {} agents", announce.len())
            }
            Dispatch::PassOn(ways) => {
                let targets: Vec<_> = ways.iter().map(|way| (way.target.0, way.delivery)).collect();
                write!(formatter, "passed on to {targets:?}")
            }
            Dispatch::Several(all) => {
                for dispatch in all {
                    write!(formatter, "{}; ", Outcome(dispatch))?;
                }
                Ok(())
            }
            Dispatch::Abandon(_) => formatter.write_str("given up"),
            Dispatch::Ask { agents, .. } => write!(formatter, "{} agents asked", agents.len()),
            Dispatch::Answer { answer, .. } => write!(formatter, "answered {:?}", answer.holding),
            Dispatch::Reset { reason, .. } => write!(formatter, "reset: {reason}"),
            Dispatch::Learned => formatter.write_str("noted"),
            Dispatch::Release { packets, pass_on } => {
                write!(formatter, "{} packets released to {}", packets.len(), pass_on.target.0)
            }
            Dispatch::Drop(reason) => write!(formatter, "dropped: {reason}"),
        }
    }
}
