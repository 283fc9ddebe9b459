//! Records of recent deliveries to the target, looked up by echo label.

use std::net::Ipv4Addr;

use weirhinge_fleet::SearchPath;

use super::decision::OutputDecision;
use crate::arrival::Arrival;

/// Number of deliveries kept, so that a bounced packet can be traced to its balancer. Bounces
/// arrive within about a millisecond.
const CAPACITY: usize = 2_048;

#[derive(Clone, Debug)]
struct Delivery {
    echo: u32,
    balancer: Ipv4Addr,
    /// Agents that a search packet visits next. Empty, and thus without an allocation, for all
    /// other packets.
    next: Vec<u32>,
    /// Whether the packet came with a grant of this agent.
    granted: bool,
    /// Sequence number of the client's reset, set if a bounce proves that the target lost the flow.
    reset: Option<u32>,
}

/// Ring buffer of the latest deliveries, indexed by echo label.
#[derive(Clone, Debug)]
pub(super) struct Deliveries {
    ring: Vec<Option<Delivery>>,
    next_echo: u32,
}

impl Deliveries {
    /// Records the delivery of a packet and returns its echo label.
    pub(super) fn record(&mut self, arrival: &Arrival<'_>) -> u32 {
        let balancer = arrival.balancer;
        let next = arrival.search.map(<[u32]>::to_vec).unwrap_or_default();
        let granted = arrival.granted.is_some();
        self.insert(|echo| Delivery { echo, balancer, next, granted, reset: None })
    }

    /// Records the delivery of an opening packet that waited at the agent, and returns its echo
    /// label. Such packets never use a grant.
    pub(super) fn record_waited(&mut self, balancer: Ipv4Addr) -> u32 {
        let next = Vec::new();
        self.insert(|echo| Delivery { echo, balancer, next, granted: false, reset: None })
    }

    /// Records the delivery of a restart check, whose bounce proves that the flow is lost, and
    /// returns its echo label.
    pub(super) fn record_check(&mut self, balancer: Ipv4Addr, sequence: u32) -> u32 {
        let reset = Some(sequence);
        self.insert(|echo| Delivery { echo, balancer, next: Vec::new(), granted: false, reset })
    }

    fn insert(&mut self, delivery: impl FnOnce(u32) -> Delivery) -> u32 {
        let echo = self.next_echo;
        // Clients and targets set 0 in packets of their own.
        self.next_echo = self.next_echo.checked_add(1).unwrap_or(1);
        self.ring[echo as usize % CAPACITY] = Some(delivery(echo));
        echo
    }

    /// Removes the delivery with this echo label and returns what to do with its packet, which the
    /// target did not accept. Returns `None` if no such delivery is recorded.
    pub(super) fn take_undelivered(&mut self, echo: u32) -> Option<OutputDecision> {
        let slot = &mut self.ring[echo as usize % CAPACITY];
        let delivery = slot.take_if(|delivery| delivery.echo == echo)?;
        if let Some(sequence) = delivery.reset {
            return Some(OutputDecision::Reset { sequence });
        }
        let (balancer, granted) = (delivery.balancer, delivery.granted);
        let Some((agent, rest)) = delivery.next.split_first() else {
            return Some(OutputDecision::Return { balancer, granted });
        };
        let path = SearchPath { balancer: balancer.to_bits(), next: rest.to_vec() };
        Some(OutputDecision::PassOn { agent: Ipv4Addr::from_bits(*agent), path })
    }
}

impl Default for Deliveries {
    fn default() -> Self {
        Self { ring: vec![None; CAPACITY], next_echo: 1 }
    }
}
