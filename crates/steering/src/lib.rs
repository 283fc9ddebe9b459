//! Decides where each packet goes when the targets end the flows themselves.
//!
//! Pure logic: packets, messages and times are passed in, decisions come out.
//! The target is the truth about its flows: it sends back what it does not hold.
//! A [`Balancer`] picks a target for an opening packet, remembers it, and walks
//! through the other targets when a packet comes back; an [`Agent`] stands beside
//! one target, checks that a packet is meant for it, and tells balancers what its
//! target holds. Nothing here outlives the process, and nothing needs to.

mod agent;
mod agent_status;
mod arrival;
mod balancer;
mod caller_rank;
mod class_share;
mod expected_time;
mod flow_table;
mod overload;
mod packet;
mod pending_packets;
mod route_history;
mod search_budget;
mod search_outcomes;
mod selection;
mod view;
mod waiting_room;

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
pub use caller_rank::{CallerRank, RANK_EPOCH_MS, caller_rank};
pub use flow_table::{FlowEntry, FlowStage, FlowTable};
pub use overload::{OverloadMonitor, PeerLoad};
pub use packet::{AnswerStatus, Flags, FlowKey, MalformedPacket, PacketHead};
pub use view::{Candidate, Distance, FleetView, Locality, RouteChoice, Standing, VersionLabel};
pub use waiting_room::WaitedOpening;
