//! Decisions of an agent about packets, with their reasons.

use std::net::Ipv4Addr;

use weirhinge_fleet::{ReturnReason, SearchPath};

use crate::packet::FlowKey;
use crate::pending_openings::PendingOpening;

/// What to do with an opening packet that waited for capacity.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WaitOutcome {
    /// Deliver it to the target with this echo label.
    Deliver(PendingOpening, u32),
    /// Return it to its balancer.
    Return(PendingOpening, ReturnReason),
}

/// What to do with a client's packet for the target.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum DeliveryDecision {
    /// Deliver it to the target with this echo label.
    Deliver {
        /// Echo label, which the packet carries back if the target bounces it.
        echo: u32,
        /// Notice to send to the balancer immediately, if it searches for a flow that the target is
        /// known to hold.
        notice: Option<HoldsNotice>,
    },
    /// Return it to the balancer.
    Return(ReturnReason),
    /// Queue it at the agent until the target has capacity.
    Wait {
        /// The waiting packet that was evicted to make space, to be returned to its balancer.
        displaced: Option<Box<PendingOpening>>,
    },
    /// Do nothing: a copy of it is already queued.
    AlreadyWaiting,
}

/// A packet that checks whether a restarted target still holds a flow.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RestartCheck {
    /// The flow.
    pub flow: FlowKey,
    /// The client's latest packet, to be delivered to the target again.
    pub packet: Vec<u8>,
    /// Echo label to deliver it with.
    pub echo: u32,
}

/// Informs a balancer that the target holds a flow.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HoldsNotice {
    /// The balancer that sent the flow's latest packet.
    pub balancer: Ipv4Addr,
    /// The flow.
    pub flow: FlowKey,
    /// Whether the target sent anything beyond its answer to the opening packet.
    pub confirmed: bool,
}

/// Why a packet of the target was dropped.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OutputDrop {
    /// A bounced packet whose delivery is no longer recorded.
    UnknownDelivery,
}

/// What to do with a packet that the target sent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OutputDecision {
    /// Send it to the client.
    ToClient {
        /// Notice to send to a balancer.
        notice: Option<HoldsNotice>,
    },
    /// Return it to the balancer that it came from.
    Return {
        /// The balancer.
        balancer: Ipv4Addr,
        /// Whether the packet came with a grant of this agent.
        granted: bool,
    },
    /// Forward it to the next agent on its search path.
    PassOn {
        /// The agent.
        agent: Ipv4Addr,
        /// The remaining search path.
        path: SearchPath,
    },
    /// Reset the client's flow, which the target has lost.
    Reset {
        /// Sequence number for the reset.
        sequence: u32,
    },
    /// Do nothing.
    Drop(OutputDrop),
}
