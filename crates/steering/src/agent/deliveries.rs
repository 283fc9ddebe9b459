//! The packets lately handed to the target, found again by their label.

use std::net::Ipv4Addr;

use weirhinge_fleet::SearchPath;

use super::decision::OutputDecision;
use crate::arrival::Arrival;

/// Deliveries remembered to find the balancer of a bounced packet. A bounce comes
/// back within a millisecond or so.
const REMEMBERED: usize = 2_048;

#[derive(Clone, Debug)]
struct Delivery {
    echo: u32,
    balancer: Ipv4Addr,
    /// Agents that a searching packet goes to next; empty for all others, and then
    /// without an allocation.
    next: Vec<u32>,
    /// Whether the packet came with a grant of this agent.
    granted: bool,
    /// Set if a bounce proves that the flow is lost: the sequence number of its reset.
    reset: Option<u32>,
}

/// The latest deliveries.
#[derive(Clone, Debug)]
pub(super) struct Deliveries {
    places: Vec<Option<Delivery>>,
    next_echo: u32,
}

impl Deliveries {
    /// Remembers a packet. Returns its label.
    pub(super) fn remember(&mut self, arrival: &Arrival<'_>) -> u32 {
        let balancer = arrival.balancer;
        let next = arrival.search.map(<[u32]>::to_vec).unwrap_or_default();
        let granted = arrival.granted.is_some();
        self.keep(|echo| Delivery { echo, balancer, next, granted, reset: None })
    }

    /// Remembers an opening packet that waited here, which none with a grant does. Returns
    /// its label.
    pub(super) fn remember_waited(&mut self, balancer: Ipv4Addr) -> u32 {
        let next = Vec::new();
        self.keep(|echo| Delivery { echo, balancer, next, granted: false, reset: None })
    }

    /// Remembers a packet whose bounce proves that its flow is lost. Returns its label.
    pub(super) fn remember_check(&mut self, balancer: Ipv4Addr, sequence: u32) -> u32 {
        let reset = Some(sequence);
        self.keep(|echo| Delivery { echo, balancer, next: Vec::new(), granted: false, reset })
    }

    fn keep(&mut self, delivery: impl FnOnce(u32) -> Delivery) -> u32 {
        let echo = self.next_echo;
        // 0 is what clients and targets write themselves.
        self.next_echo = self.next_echo.checked_add(1).unwrap_or(1);
        self.places[echo as usize % REMEMBERED] = Some(delivery(echo));
        echo
    }

    /// Where the packet with this label goes when the target did not take it; none
    /// if the label is not remembered.
    pub(super) fn onward(&mut self, echo: u32) -> Option<OutputDecision> {
        let place = &mut self.places[echo as usize % REMEMBERED];
        let delivery = place.take_if(|delivery| delivery.echo == echo)?;
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
        Self { places: vec![None; REMEMBERED], next_echo: 1 }
    }
}
