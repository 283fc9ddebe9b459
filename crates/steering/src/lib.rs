//! Steers the packets of flows to the targets of a service.
//!
//! The crate is pure logic: packets, messages and times are passed in, decisions are returned. Only
//! a target knows for certain which flows it holds; it bounces packets of any other flow. A
//! [`Balancer`] selects a target for an opening packet, remembers the choice, and searches the
//! other targets when a packet is returned. An [`Agent`] is co-located with one target, checks that
//! each packet is meant for it, and reports to balancers what the target holds. All state is in
//! memory and is rebuilt after a restart.

mod agent;
mod agent_status;
mod arrival;
mod balancer;
mod class_share;
mod client_rank;
mod expected_time;
mod flow_table;
mod overload;
mod packet;
mod pending_openings;
mod pending_packets;
mod route_history;
mod search_budget;
mod search_outcomes;
mod selection;
mod view;

pub use agent::{
    Agent, BreakerChange, ColdStartRate, DeliveryDecision, Grant, HoldsNotice, OutputDecision,
    OutputDrop, RestartCheck, WaitOutcome,
};
pub use agent_status::AgentStatuses;
pub use arrival::Arrival;
pub use balancer::{
    AdmissionRate, Balancer, BalancerLimits, CapacityGrant, CapacityRequest, ClientPacket,
    ClientShares, Context, Decision, DropReason, Forward, ForwardReason, GrantOutcome, QueueInputs,
    ResetReason, ResolvedOpening, SelectionInputs, may_wait,
};
pub use client_rank::{ClientRank, RANK_EPOCH_MS, client_rank};
pub use flow_table::{FlowEntry, FlowStage, FlowTable};
pub use overload::{OverloadMonitor, PeerLoad};
pub use packet::{AnswerStatus, Flags, FlowKey, MalformedPacket, PacketHeader};
pub use pending_openings::PendingOpening;
pub use view::{
    Availability, Candidate, CompiledRoute, Distance, FleetView, Locality, VersionLabel,
};
