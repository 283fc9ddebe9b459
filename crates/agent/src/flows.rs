//! Starts the tasks of flows and handles the events that they report.

use std::time::Instant;

use slog::warn;
use tokio::sync::mpsc;
use weirhinge_flow::RefusalReason;
use weirhinge_packet::{FlowKey, Protocol};
use weirhinge_routing::HolderHint;
use weirhinge_stack::SpliceEnd;
use weirhinge_wire::Delivery;

use crate::dispatch::Announcement;
use crate::flow_log;
use crate::planted_defect::PlantedDefect;
use crate::run::{Agent, random_u64};
use crate::tcp_flow::TcpFlow;
use crate::udp_flow::UdpFlow;

/// Maximum number of packets queued for a flow's task; further packets are dropped.
const FLOW_QUEUE_CAPACITY: usize = 64;

/// Event that a flow's task reports to the main loop.
#[derive(Debug)]
pub(crate) enum FlowEvent {
    /// The handshake is complete.
    Opened { key: FlowKey, has_timestamps: bool },
    /// The back end accepted no connection; the client has not been answered yet.
    NotOpened { flow: FlowId, reason: RefusalReason, opening_packet: Vec<u8> },
    /// The flow has ended.
    Ended { flow: FlowId, end: SpliceEnd },
}

/// Distinguishes successive flows with the same key: an event of an earlier flow must not affect a
/// later one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct FlowId {
    pub(crate) key: FlowKey,
    pub(crate) number: u64,
}

/// The main loop's handle of a flow's task.
#[derive(Debug)]
pub(crate) struct FlowHandle {
    pub(crate) queue: mpsc::Sender<Vec<u8>>,
    pub(crate) number: u64,
}

impl Agent {
    pub(crate) fn start_flow(&mut self, key: FlowKey, opening_packet: Vec<u8>) {
        let Some(own) = self.dispatcher.view().own else {
            return;
        };
        let planted_defect = self.dispatcher.planted_defect();
        let (Ok(seed), Ok(random)) = (random_u64(), random_u64()) else {
            return self.metrics.packets_dropped.increment("no_random_source");
        };
        let (queue, packets) = mpsc::channel(FLOW_QUEUE_CAPACITY);
        self.next_flow += 1;
        let id = FlowId { key, number: self.next_flow };
        let handle = FlowHandle { queue, number: id.number };
        if let Err(error) = self.dispatcher.flows.insert(key, handle, Instant::now()) {
            return self.metrics.packets_dropped.increment(error.name());
        }
        let sink = self.sink.clone();
        let in_flight = self.in_flight.begin();
        let events = self.events.clone();
        match key.protocol {
            Protocol::Tcp => {
                let flow_hash = self.dispatcher.view().table.hasher().hash(&key);
                let hint = HolderHint(own.fence.target);
                let initial_sequence = hint.initial_sequence(flow_hash, random as u32);
                let flow = TcpFlow {
                    id,
                    own,
                    opening_packet,
                    packets,
                    sink,
                    in_flight,
                    events,
                    seed,
                    initial_sequence: (!PlantedDefect::hides_holder(planted_defect))
                        .then_some(initial_sequence),
                    planted_defect,
                };
                tokio::spawn(flow.run());
            }
            Protocol::Udp => {
                let flow = UdpFlow { id, own, opening_packet, packets, sink, in_flight, events };
                tokio::spawn(flow.run());
            }
        }
    }

    pub(crate) fn handle_event(&mut self, event: FlowEvent) {
        match event {
            FlowEvent::Opened { key, has_timestamps } => {
                flow_log::log_opened(&self.log, &key);
                self.metrics.flows_opened.inc();
                let announcement = self.dispatcher.note_opened(&key, has_timestamps);
                if let Some(Announcement { agent, answer }) = announcement {
                    self.answer(agent, answer);
                }
            }
            FlowEvent::NotOpened { flow, reason, opening_packet } => {
                self.handle_not_opened(&flow, reason, &opening_packet);
            }
            FlowEvent::Ended { flow, end } => self.handle_ended(&flow, end),
        }
    }

    /// Whether the table still holds this flow rather than a later one with the same key.
    pub(crate) fn is_current(&self, flow: &FlowId) -> bool {
        let handle = self.dispatcher.flows.get(&flow.key);
        handle.is_some_and(|handle| handle.number == flow.number)
    }

    /// Handles a flow whose back end accepted no connection. No request has run, so another agent
    /// may still open the flow: the opening packet is decided about again, while this agent counts
    /// as having no capacity.
    pub(crate) fn handle_not_opened(
        &mut self,
        flow: &FlowId,
        reason: RefusalReason,
        packet: &[u8],
    ) {
        flow_log::log_not_opened(&self.log, &flow.key, reason);
        if !self.is_current(flow) {
            return;
        }
        self.dispatcher.flows.release(&flow.key);
        self.dispatcher.suspect_back_end(Instant::now());
        warn!(self.log, "agent: Back end accepts no connections; new flows go to other targets.";
            "reason" => reason.name());
        self.handle_kept_packet(Delivery::Forwarded, packet);
    }

    pub(crate) fn handle_ended(&mut self, flow: &FlowId, end: SpliceEnd) {
        let key = &flow.key;
        flow_log::log_ended(&self.log, key, end);
        if self.is_current(flow) {
            // The client of a flow that never opened may retry at once, so its key is not
            // quarantined.
            if key.protocol == Protocol::Tcp && end != SpliceEnd::NeverOpened {
                self.dispatcher.flows.remove(key, Instant::now());
            } else {
                self.dispatcher.flows.release(key);
            }
        }
        self.metrics.flows_ended.increment(match end {
            SpliceEnd::Closed => "closed",
            SpliceEnd::PeerReset => "caller_reset",
            SpliceEnd::StreamFailed => "back_end_failed",
            SpliceEnd::Cancelled => "cancelled",
            SpliceEnd::NeverOpened => "never_opened",
        });
        if end == SpliceEnd::StreamFailed {
            self.metrics.flows_broken.inc();
        }
    }
}
