//! Messages between daemons and their binary encoding.

use musli::{Decode, Encode};

use crate::evacuation::EvacuatedZones;
use crate::model::ZoneId;
use crate::position::Position;
use crate::target_entry::VersionedTarget;

/// Version of the protocol between daemons, the first byte of every datagram.
const PROTOCOL_VERSION: u8 = 7;

/// Why a datagram from a peer was rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum MessageError {
    /// The datagram has another protocol version or is not of this protocol.
    #[error("unknown protocol version")]
    UnknownVersion,
    /// The datagram's body cannot be decoded.
    #[error("malformed message body")]
    Malformed,
    /// The message cannot be encoded.
    #[error("message cannot be encoded")]
    Encoding,
}

/// The role of a daemon.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
pub enum PeerRole {
    /// Takes packets from clients and chooses targets.
    Balancer,
    /// Runs co-located with one target and delivers packets to it.
    Agent,
}

/// The load of a target, as its agent reports it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Encode, Decode)]
pub struct TargetLoad {
    /// Requests that the target has not answered yet.
    pub waiting: u32,
    /// Expected milliseconds until the target answers one more request, queueing time included;
    /// none without a recent measurement.
    pub expected_ms: Option<u32>,
    /// Milliseconds that the target takes to process one request; none without a recent
    /// measurement.
    pub service_ms: Option<u32>,
}

impl From<u32> for TargetLoad {
    /// Creates the load of a target for which only the number of waiting requests is known.
    fn from(waiting: u32) -> Self {
        Self { waiting, ..Self::default() }
    }
}

/// Opening packets of one priority class that are queued at a balancer until a target has capacity.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Encode, Decode)]
pub struct WaitingOpenings {
    /// Number of queued packets.
    pub count: u16,
    /// Milliseconds for which the oldest of them has been queued.
    pub oldest_ms: u16,
}

/// Opening packets of one service that are queued at a balancer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Encode, Decode)]
pub struct OpeningDemand {
    /// Urgent opening packets, those of urgent routes.
    pub urgent: WaitingOpenings,
    /// Non-urgent opening packets.
    pub others: WaitingOpenings,
}

impl OpeningDemand {
    /// Whether no opening packet is queued.
    pub fn is_empty(&self) -> bool {
        self.urgent.count == 0 && self.others.count == 0
    }
}

/// Status of a target as reported by its agent.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct TargetStatus {
    /// The service that the target belongs to.
    pub service: String,
    /// Whether the target has shown activity recently.
    pub alive: bool,
    /// The current load of the target.
    pub load: TargetLoad,
    /// Whether the agent is shutting down.
    pub leaving: bool,
    /// Whether the agent knows the target's record in the store.
    pub recorded: bool,
    /// The configuration version under which the target holds no flow of a route that does not list
    /// its service; none if it may hold one.
    pub without_former_flows: Option<u64>,
}

/// A daemon's periodic summary of its own state and of how much it knows.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct Digest {
    /// IPv4 address of the sender, as a number.
    pub sender: u32,
    /// The role of the sender.
    pub role: PeerRole,
    /// The zone that the sender runs in.
    pub zone: ZoneId,
    /// Processor time available to the sender, in thousandths of a processor; none if unknown.
    pub capacity: Option<u32>,
    /// Whether the sender is shutting down.
    pub stopping: bool,
    /// Whether the sender is a balancer that cannot keep up with its packets.
    pub overloaded: bool,
    /// The store position up to which the sender knows all changes.
    pub position: Position,
    /// The version of the configuration that the sender knows; none if it has none yet.
    pub configuration: Option<u64>,
    /// The evacuated zones as recorded in the store. Every digest carries them, so that they reach
    /// all daemons without a fetch; the set is almost always empty.
    pub evacuated: EvacuatedZones,
    /// Milliseconds since the store confirmed `position`; none if it never did.
    pub age_ms: Option<u64>,
    /// Whether the sender reads the store on behalf of its peers.
    pub reading: bool,
    /// Whether the sender requests a digest in return.
    pub reply: bool,
    /// Addresses of some balancers from which the sender recently received a digest.
    pub balancers: Vec<u32>,
    /// Status of the sender's target, if the sender is an agent.
    pub target: Option<TargetStatus>,
}

/// A request to a peer, over a stream, for all changes after a position.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
pub struct FetchRequest {
    /// The position up to which the requester knows all changes.
    pub after: Position,
    /// The version of the configuration that the requester knows; none if it has none yet.
    pub configuration: Option<u64>,
    /// The part of the state that the requester needs.
    pub scope: FetchScope,
    /// Whether the requester also needs the targets that were removed before it knew any state.
    /// Requested only after a [`PeerMessage::RemovedTargetsKnown`], as earlier releases do not know
    /// this field.
    #[musli(default, skip_encoding_if = is_false)]
    pub with_removed: bool,
}

/// The part of the state that a fetch covers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
pub enum FetchScope {
    /// Everything.
    All,
    /// The configuration, and the targets of the machine with this IPv4 address.
    Machine(u32),
}

/// A datagram between daemons.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub enum PeerMessage<'a> {
    /// The sender's digest.
    Digest(Digest),
    /// The record of the target of the agent that receives this message.
    Record(VersionedTarget),
    /// Asks an agent for a [`PeerMessage::ProbeAnswer`], to find out whether it is reachable.
    Probe,
    /// Answers a probe.
    ProbeAnswer,
    /// Sent by an agent that is shutting down: its target has ended and holds no flow any more.
    TargetEnded,
    /// A client's packet on its way to a target.
    Forward {
        /// Hash of the service's name, verified by the agent.
        service: u64,
        /// Set if it is unknown whether this target holds the flow.
        search: Option<SearchPath>,
        /// Whether an opening packet may be queued at the agent until the target has capacity;
        /// otherwise a busy target's agent returns it at once.
        may_wait: bool,
        /// Whether an opening packet takes precedence over others of the service.
        urgent: bool,
        /// Set if the packet uses a [`PeerMessage::Grant`] of the agent: the demand that remains at
        /// the balancer.
        granted: Option<OpeningDemand>,
        /// The packet as the client sent it.
        #[musli(bytes)]
        packet: &'a [u8],
    },
    /// A client's packet from a balancer that has no processor time to route it.
    HandOff {
        /// The packet as the client sent it.
        #[musli(bytes)]
        packet: &'a [u8],
    },
    /// A packet that the target did not accept, on its way back to the balancer.
    Returned {
        /// Why the target did not accept it.
        reason: ReturnReason,
        /// Whether the packet used a [`PeerMessage::Grant`] of the agent. By this the balancer
        /// recognizes which delivery of a flow was returned, as messages may arrive late or twice.
        granted: bool,
        /// The current load of the target.
        load: TargetLoad,
        /// The packet as the client sent it.
        #[musli(bytes)]
        packet: &'a [u8],
    },
    /// An opening packet is queued at the agent until the target has capacity.
    Waits {
        /// The current load of the target.
        load: TargetLoad,
    },
    /// A balancer requests capacity from an agent: it has queued opening packets that any target of
    /// the service may take. Replaces the balancer's previous demand.
    Demand {
        /// Hash of the service's name, verified by the agent.
        service: u64,
        /// The queued opening packets.
        demand: OpeningDemand,
    },
    /// An agent answers a [`PeerMessage::Demand`]: its target has capacity for one opening packet
    /// and reserves it for a short time.
    Grant {
        /// Hash of the service's name.
        service: u64,
        /// Whether only opening packets of urgent routes may use the grant.
        urgent_only: bool,
        /// The current load of the target.
        load: TargetLoad,
    },
    /// A balancer declines an agent's grant because it has no queued packets left.
    Declined,
    /// The target answered an opening packet, or holds a flow that the balancer searched for.
    Holds {
        /// The client's address and port.
        client: (u32, u16),
        /// The address and port that the client connected to.
        service: (u32, u16),
        /// Whether the target sent anything beyond the answer to an opening packet.
        confirmed: bool,
        /// The current load of the target.
        load: TargetLoad,
    },
    /// A balancer requests that an agent keep a full replica, and states what it can be fetched up
    /// to. It repeats the request in answer to the agent's digests.
    ReplicaRequest {
        /// The position up to which the balancer knows all changes.
        position: Position,
        /// Milliseconds since the store confirmed `position`; none if it never did.
        age_ms: Option<u64>,
    },
    /// An agent holds a full replica, which can be fetched from it.
    ReplicaHeld {
        /// The position up to which the replica contains all changes.
        position: Position,
    },
    /// Sent to a balancer that may have started a short time ago: the sender knows the targets that
    /// were removed from the store recently, and they can be fetched from it.
    RemovedTargetsKnown {
        /// The position up to which the sender knows all changes.
        position: Position,
    },
}

/// The path of a packet that searches for the target that holds its flow.
#[derive(Clone, Debug, Default, PartialEq, Eq, Encode, Decode)]
pub struct SearchPath {
    /// IPv4 address of the balancer that searches and receives the result.
    pub balancer: u32,
    /// IPv4 addresses of the agents that receive the packet in turn if this agent's target does not
    /// hold the flow. The last one returns the packet to the balancer.
    pub next: Vec<u32>,
}

/// Why a target's machine returned a packet.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
pub enum ReturnReason {
    /// The target itself rejected it.
    Bounced,
    /// The target belongs to another service.
    OtherService,
    /// The agent is shutting down and accepts no new flows.
    Leaving,
    /// The target's zone is evacuated and accepts no new flows.
    Evacuated,
    /// The target is failing requests; other targets are preferred for now.
    Failing,
    /// The target has no capacity, or had none for as long as the opening packet could wait.
    Busy,
}

fn is_false(value: &bool) -> bool {
    !value
}

/// Encodes a message into `buffer`, after the protocol version. Previous contents of `buffer` are
/// discarded.
///
/// # Errors
/// [`MessageError::Encoding`] if the message cannot be encoded.
pub fn encode<M>(message: &M, buffer: &mut Vec<u8>) -> Result<(), MessageError>
where
    M: ?Sized + Encode<musli::mode::Binary>,
{
    buffer.clear();
    buffer.push(PROTOCOL_VERSION);
    musli::storage::encode(&mut *buffer, message).map_err(|_| MessageError::Encoding)
}

/// Decodes an encoded message.
///
/// # Errors
/// [`MessageError::UnknownVersion`] if the first byte is not this protocol version, or
/// [`MessageError::Malformed`] if the rest cannot be decoded.
pub fn decode<'a, M>(datagram: &'a [u8]) -> Result<M, MessageError>
where
    M: Decode<'a, musli::mode::Binary, musli::alloc::Global>,
{
    match datagram.split_first() {
        Some((&PROTOCOL_VERSION, body)) => {
            musli::storage::from_slice(body).map_err(|_| MessageError::Malformed)
        }
        _ => Err(MessageError::UnknownVersion),
    }
}
