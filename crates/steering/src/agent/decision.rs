//! What an agent decides about packets, and why.

use std::net::Ipv4Addr;

use weirhinge_fleet::{ReturnReason, SearchPath};

use crate::packet::FlowKey;
use crate::pending_openings::PendingOpening;

/// What to do with a packet that waited.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WaitOutcome {
    /// Hand it to the target under this label.
    Deliver(PendingOpening, u32),
    /// Send it back to its balancer.
    Return(PendingOpening, ReturnReason),
}

/// What to do with a packet for the target.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum DeliveryDecision {
    /// Hand it to the target under this label.
    Deliver {
        /// The label, which a bounced packet brings back.
        echo: u32,
        /// What to tell the balancer at once, if it searches for a flow that the
        /// target is known to hold.
        notice: Option<HoldsNotice>,
    },
    /// Send it back to the balancer.
    Return(ReturnReason),
    /// It waits here until the target has room.
    Wait {
        /// The opening packet that made room for it and goes back to its balancer.
        displaced: Option<Box<PendingOpening>>,
    },
    /// A copy of it waits here already.
    WaitsAlready,
}

/// A packet that asks a target which started again whether it holds a flow.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RestartCheck {
    /// The flow.
    pub flow: FlowKey,
    /// The latest packet of its client, to be handed to the target once more.
    pub packet: Vec<u8>,
    /// The label to hand it over under.
    pub echo: u32,
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
#[derive(Clone, Debug, PartialEq, Eq)]
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
        /// Whether the packet came with a grant of this agent.
        granted: bool,
    },
    /// Send it on to the next agent whose target may hold its flow.
    PassOn {
        /// The agent.
        agent: Ipv4Addr,
        /// The rest of the packet's way.
        path: SearchPath,
    },
    /// Reset the client's flow: the target has lost it.
    Reset {
        /// Sequence number of the reset.
        sequence: u32,
    },
    /// Do nothing.
    Drop(OutputDrop),
}
