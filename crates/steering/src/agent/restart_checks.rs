//! Flows that the target may have lost when it started again.
//!
//! A target starts some time before its record says so, and from here the flows that it opened
//! since cannot be told from those of before. The target itself can: each flow's latest packet
//! of its client is handed to it once more. A target that holds the flow takes the packet for
//! a repetition; one that does not sends it back, and the client's flow is reset. A client that
//! waits for an answer sends nothing, and would notice only at its deadline.

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
    waits: bool,
    used_at: Millis,
}

/// The latest packet of a flow's client; empty if it may not be handed over again.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(super) struct LatestPacket {
    pub(super) bytes: Vec<u8>,
    /// Its acknowledgment number: where a reset of the flow has to stand.
    pub(super) acknowledgment: u32,
}

impl LatestPacket {
    /// Replaces the bytes. Idle flows keep no room for data that they sent once.
    pub(super) fn set(&mut self, packet: &[u8], acknowledgment: u32) {
        if self.bytes.capacity() / 2 > packet.len() {
            self.bytes = Vec::new();
        }
        self.bytes.clear();
        self.bytes.extend_from_slice(packet);
        self.acknowledgment = acknowledgment;
    }
}

/// The flows still to be checked, those with waiting requests first.
#[derive(Clone, Debug, Default)]
pub(super) struct RestartChecks {
    waiting: VecDeque<FlowCheck>,
}

impl RestartChecks {
    /// Adds the flows that the target is known to have held.
    pub(super) fn add(&mut self, flows: HashMap<FlowKey, Flow>) {
        let checks = flows.into_iter().filter(|(_, flow)| is_checkable(flow));
        self.waiting.extend(checks.map(|(key, flow)| FlowCheck {
            flow: key,
            balancer: flow.balancer,
            latest: flow.latest,
            waits: flow.waiting_since.is_some(),
            used_at: flow.used_at,
        }));
        // The latest of those that wait, then the latest of the others.
        let order = |check: &FlowCheck| std::cmp::Reverse((check.waits, check.used_at));
        self.waiting.make_contiguous().sort_by_key(order);
        self.waiting.truncate(FLOW_CAPACITY);
    }

    pub(super) fn next(&mut self) -> Option<FlowCheck> {
        self.waiting.pop_front()
    }
}

/// Whether a packet that the target sends back proves that it lost the flow. Another target may
/// hold a flow on which this one wrote no more than an answer to the opening packet.
fn is_checkable(flow: &Flow) -> bool {
    flow.confirmed && !flow.latest.bytes.is_empty()
}
