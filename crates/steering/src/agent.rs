//! An agent's decisions about packets to and from the target beside it.

use std::collections::HashMap;
use std::net::Ipv4Addr;

use weirhinge_fleet::{Millis, ReturnReason, ServiceId};

use crate::packet::{FlowKey, PacketHead};

/// Deliveries remembered to find the balancer of a bounced packet. A bounce comes
/// back within a millisecond or so.
const REMEMBERED_DELIVERIES: usize = 2_048;
/// Most flows that an agent follows; the target itself holds fewer.
const FLOW_CAPACITY: usize = 8_192;
/// A flow that rested for this long is no longer followed.
const FLOW_IDLE_MS: Millis = 60_000;

/// What to do with a packet for the target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DeliveryDecision {
    /// Hand it to the target under this label.
    Deliver {
        /// The label, which a bounced packet brings back.
        echo: u32,
    },
    /// Send it back to the balancer.
    Return(ReturnReason),
}

/// Tells a balancer that the target holds a flow.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HoldsNotice {
    /// The balancer that sent the flow's latest packet.
    pub balancer: Ipv4Addr,
    /// The flow.
    pub flow: FlowKey,
    /// Whether the target sent more than an answer to an opening packet.
    pub confirmed: bool,
}

/// Why a packet of the target was dropped.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OutputDrop {
    /// A bounced packet whose delivery is not remembered.
    UnknownDelivery,
}

/// What to do with a packet that the target sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OutputDecision {
    /// Send it to the client.
    ToClient {
        /// What to tell a balancer.
        notice: Option<HoldsNotice>,
    },
    /// Send it back to the balancer that it came from.
    Return {
        /// The balancer.
        balancer: Ipv4Addr,
    },
    /// Do nothing.
    Drop(OutputDrop),
}

#[derive(Clone, Copy, Debug)]
struct Delivery {
    echo: u32,
    balancer: Ipv4Addr,
}

#[derive(Clone, Copy, Debug)]
struct Flow {
    balancer: Ipv4Addr,
    /// A request was delivered and nothing was answered yet.
    waiting: bool,
    /// The balancer does not know yet that the target holds the flow.
    report: bool,
    used_at: Millis,
}

/// The state of an agent.
#[derive(Clone, Debug)]
pub struct Agent {
    service: ServiceId,
    deliveries: Vec<Option<Delivery>>,
    next_echo: u32,
    flows: HashMap<FlowKey, Flow>,
    waiting: u32,
    leaving: bool,
}

impl Agent {
    /// An agent beside a target of this service.
    pub fn new(service: ServiceId) -> Self {
        Self {
            service,
            deliveries: vec![None; REMEMBERED_DELIVERIES],
            next_echo: 1,
            flows: HashMap::new(),
            waiting: 0,
            leaving: false,
        }
    }

    /// Requests that wait for an answer of the target.
    pub fn waiting(&self) -> u32 {
        self.waiting
    }

    /// Number of flows followed.
    pub fn flow_count(&self) -> usize {
        self.flows.len()
    }

    /// Takes no new flows from now on.
    pub fn leave(&mut self) {
        self.leaving = true;
    }

    /// Decides about a client's packet that a balancer sent.
    pub fn delivery(
        &mut self,
        head: &PacketHead,
        balancer: Ipv4Addr,
        service: ServiceId,
        search: bool,
        now: Millis,
    ) -> DeliveryDecision {
        if head.is_opening() {
            if service != self.service {
                return DeliveryDecision::Return(ReturnReason::OtherService);
            }
            if self.leaving {
                return DeliveryDecision::Return(ReturnReason::Leaving);
            }
        }
        self.follow(head, balancer, search, now);
        DeliveryDecision::Deliver { echo: self.remember(balancer) }
    }

    /// Decides about a packet that the target sent.
    pub fn output(&mut self, head: &PacketHead, now: Millis) -> OutputDecision {
        if head.flags.bounced {
            return self.bounced(head);
        }
        let flow = head.target_flow();
        let Some(entry) = self.flows.get_mut(&flow) else {
            return OutputDecision::ToClient { notice: None };
        };
        entry.used_at = now;
        if head.length > 0 && entry.waiting {
            entry.waiting = false;
            self.waiting -= 1;
        }
        let answers_opening = head.flags.syn && head.flags.ack;
        let notice = HoldsNotice { balancer: entry.balancer, flow, confirmed: !answers_opening };
        let is_due = answers_opening || entry.report;
        entry.report &= answers_opening;
        if head.flags.rst {
            self.forget(&flow);
        }
        OutputDecision::ToClient { notice: is_due.then_some(notice) }
    }

    /// Stops following flows that rested long.
    pub fn expire(&mut self, now: Millis) {
        let waiting = &mut self.waiting;
        self.flows.retain(|_, flow| {
            let keep = now.saturating_sub(flow.used_at) < FLOW_IDLE_MS;
            if !keep && flow.waiting {
                *waiting -= 1;
            }
            keep
        });
    }

    fn bounced(&mut self, head: &PacketHead) -> OutputDecision {
        self.forget(&head.client_flow());
        let place = head.echo as usize % REMEMBERED_DELIVERIES;
        match self.deliveries[place].filter(|delivery| delivery.echo == head.echo) {
            Some(delivery) => OutputDecision::Return { balancer: delivery.balancer },
            None => OutputDecision::Drop(OutputDrop::UnknownDelivery),
        }
    }

    fn remember(&mut self, balancer: Ipv4Addr) -> u32 {
        let echo = self.next_echo;
        // 0 is what clients and targets write themselves.
        self.next_echo = self.next_echo.checked_add(1).unwrap_or(1);
        self.deliveries[echo as usize % REMEMBERED_DELIVERIES] = Some(Delivery { echo, balancer });
        echo
    }

    fn follow(&mut self, head: &PacketHead, balancer: Ipv4Addr, search: bool, now: Millis) {
        let flow = head.client_flow();
        if self.flows.len() >= FLOW_CAPACITY && !self.flows.contains_key(&flow) {
            return;
        }
        let fresh = Flow { balancer, waiting: false, report: search, used_at: now };
        let entry = self.flows.entry(flow).or_insert(fresh);
        entry.balancer = balancer;
        entry.used_at = now;
        entry.report |= search;
        if head.length > 0 && !entry.waiting {
            entry.waiting = true;
            self.waiting += 1;
        }
        if head.flags.rst {
            self.forget(&flow);
        }
    }

    fn forget(&mut self, flow: &FlowKey) {
        if self.flows.remove(flow).is_some_and(|flow| flow.waiting) {
            self.waiting -= 1;
        }
    }
}
