//! Checks which flows the target lost in a restart.
//!
//! A target restarts some time before its record shows it, and the agent cannot tell flows opened
//! since the restart from earlier ones. The target can: the latest packet of each flow's client is
//! delivered to it again. A target that holds the flow treats the packet as a retransmission. One
//! that does not bounces it, and the client's flow is reset. Without this check, a client that
//! waits for an answer sends nothing and would notice the loss only at its deadline.

use std::collections::{HashMap, VecDeque};
use std::net::Ipv4Addr;

use weirhinge_fleet::Millis;

use super::FLOW_CAPACITY;
use super::flow::Flow;
use crate::packet::FlowKey;

/// A flow to be checked.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct FlowCheck {
    pub(super) flow: FlowKey,
    /// The balancer that sent the flow's latest packet.
    pub(super) balancer: Ipv4Addr,
    pub(super) latest: LatestPacket,
    has_unanswered_request: bool,
    used_at: Millis,
}

/// The latest packet of a flow's client; empty if it must not be delivered again.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(super) struct LatestPacket {
    pub(super) bytes: Vec<u8>,
    /// The packet's acknowledgment number, which is the sequence number for a reset of the flow.
    pub(super) acknowledgment: u32,
}

impl LatestPacket {
    /// Replaces the packet. Frees an oversized buffer, so that idle flows do not keep memory for
    /// data sent earlier.
    pub(super) fn replace(&mut self, packet: &[u8], acknowledgment: u32) {
        if self.bytes.capacity() / 2 > packet.len() {
            self.bytes = Vec::new();
        }
        self.bytes.clear();
        self.bytes.extend_from_slice(packet);
        self.acknowledgment = acknowledgment;
    }
}

/// The flows still to be checked: those with unanswered requests first.
#[derive(Clone, Debug, Default)]
pub(super) struct RestartChecks {
    pending: VecDeque<FlowCheck>,
}

impl RestartChecks {
    /// Adds the flows that the previous incarnation is known to have held.
    pub(super) fn add(&mut self, flows: HashMap<FlowKey, Flow>) {
        let checks = flows.into_iter().filter(|(_, flow)| is_checkable(flow));
        self.pending.extend(checks.map(|(key, flow)| FlowCheck {
            flow: key,
            balancer: flow.balancer,
            latest: flow.latest,
            has_unanswered_request: flow.waiting_since.is_some(),
            used_at: flow.used_at,
        }));
        // Flows with unanswered requests first, then the others; the most recently used first in
        // each group.
        let order =
            |check: &FlowCheck| std::cmp::Reverse((check.has_unanswered_request, check.used_at));
        self.pending.make_contiguous().sort_by_key(order);
        self.pending.truncate(FLOW_CAPACITY);
    }

    pub(super) fn next(&mut self) -> Option<FlowCheck> {
        self.pending.pop_front()
    }
}

/// Whether a bounce proves that the target lost the flow. A flow may be held by another target if
/// this one sent no more than an answer to its opening packet.
fn is_checkable(flow: &Flow) -> bool {
    flow.confirmed && !flow.latest.bytes.is_empty()
}
