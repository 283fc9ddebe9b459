//! Messages between daemons about what they know.

use musli::{Decode, Encode};

use crate::evacuation::EvacuatedZones;
use crate::model::ZoneId;
use crate::position::Position;
use crate::succession::VersionedTarget;

/// First byte of every datagram between daemons.
const PROTOCOL_VERSION: u8 = 7;

/// Why a datagram from a peer was refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum MessageError {
    /// The datagram is of another protocol version or not ours at all.
    #[error("unknown protocol version")]
    UnknownVersion,
    /// The datagram's body cannot be decoded.
    #[error("malformed message")]
    Malformed,
    /// The message cannot be encoded.
    #[error("message cannot be encoded")]
    Encoding,
}

/// What a daemon does.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
pub enum PeerRole {
    /// Takes packets from clients and chooses targets.
    Balancer,
    /// Stands beside one target.
    Agent,
}

/// How busy a target is, as the agent beside it tells.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Encode, Decode)]
pub struct TargetLoad {
    /// Requests that wait for an answer of the target.
    pub waiting: u32,
    /// Milliseconds in which the target is expected to answer one more request, waiting
    /// time included; none if nothing was measured lately.
    pub expected_ms: Option<u32>,
    /// Milliseconds for which the target works on one request; none if nothing was measured
    /// lately.
    pub service_ms: Option<u32>,
}

impl From<u32> for TargetLoad {
    /// The load of a target of which only the number of waiting requests is known.
    fn from(waiting: u32) -> Self {
        Self { waiting, ..Self::default() }
    }
}

/// Opening packets of one class that wait at a balancer until any target has room.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Encode, Decode)]
pub struct WaitingOpenings {
    /// How many wait.
    pub count: u16,
    /// For how many milliseconds the first of them has waited.
    pub oldest_ms: u16,
}

/// What waits for room at a balancer, for one service.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Encode, Decode)]
pub struct OpeningDemand {
    /// Openings of urgent routes.
    pub urgent: WaitingOpenings,
    /// All others.
    pub others: WaitingOpenings,
}

impl OpeningDemand {
    /// Whether nothing waits.
    pub fn is_empty(&self) -> bool {
        self.urgent.count == 0 && self.others.count == 0
    }
}

/// What an agent says about the target beside it.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct TargetClaim {
    /// The service that the target belongs to.
    pub service: String,
    /// Whether the target was seen at work lately.
    pub alive: bool,
    /// How busy the target is.
    pub load: TargetLoad,
    /// Whether the agent is about to stop.
    pub leaving: bool,
    /// Whether the agent knows the target's record in the store.
    pub recorded: bool,
    /// The version of the configuration by which the target holds no flow of a route that
    /// does not name its service; none if it may hold one.
    pub without_former_flows: Option<u64>,
}

/// A daemon's summary of what it knows, sent often.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct Digest {
    /// IPv4 address of the sender, as a number.
    pub sender: u32,
    /// What the sender does.
    pub role: PeerRole,
    /// Where the sender runs.
    pub zone: ZoneId,
    /// Processor time that the sender may use, in thousandths of a processor; none
    /// if it does not know.
    pub capacity: Option<u32>,
    /// Whether the sender is about to stop.
    pub stopping: bool,
    /// Whether the sender, a balancer, cannot keep up with its packets.
    pub overloaded: bool,
    /// The position that the sender knows all changes of the store up to.
    pub position: Position,
    /// The version of the configuration that the sender knows; none before the first.
    pub configuration: Option<u64>,
    /// The evacuated zones as the store states them. They come with every digest, so
    /// that they reach all daemons without a fetch; nearly always there are none.
    pub evacuated: EvacuatedZones,
    /// Milliseconds since the store confirmed that position; none if never.
    pub age_ms: Option<u64>,
    /// Whether the sender reads the store for its peers.
    pub reading: bool,
    /// Whether the sender asks for a digest in return.
    pub reply: bool,
    /// Addresses of some balancers that the sender heard from lately.
    pub balancers: Vec<u32>,
    /// About the target beside the sender, if it is an agent.
    pub target: Option<TargetClaim>,
}

/// Asks a peer, over a stream, for all changes after a position.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
pub struct FetchRequest {
    /// The position that the asker knows all changes up to.
    pub after: Position,
    /// The version of the configuration that the asker knows; none before the first.
    pub configuration: Option<u64>,
    /// What the asker wants.
    pub scope: FetchScope,
}

/// How much a daemon wants to know.
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
    /// What the sender knows.
    Digest(Digest),
    /// The record of the target beside the agent that gets this.
    Record(VersionedTarget),
    /// Asks an agent whether it is reached; it answers with [`PeerMessage::ProbeAnswer`].
    Probe,
    /// Answers a probe.
    ProbeAnswer,
    /// An agent that stops has found that its target has ended: it holds no flow any more.
    TargetEnded,
    /// A client's packet on its way to a target.
    Forward {
        /// Hash of the service's name; the agent checks it.
        service: u64,
        /// Set if it is not known whether this target holds the flow.
        search: Option<SearchPath>,
        /// Whether an opening packet may wait at the agent until the target has
        /// room; otherwise it comes back at once from a busy target.
        may_wait: bool,
        /// Whether an opening packet goes before others of the service.
        urgent: bool,
        /// Set if the packet uses a [`PeerMessage::Grant`] of the agent: what still waits at
        /// the balancer.
        granted: Option<OpeningDemand>,
        /// The packet as the client wrote it.
        #[musli(bytes)]
        packet: &'a [u8],
    },
    /// A client's packet from a balancer that has no time to decide about it.
    HandOff {
        /// The packet as the client wrote it.
        #[musli(bytes)]
        packet: &'a [u8],
    },
    /// A packet that the target did not take, on its way back.
    Returned {
        /// Why the target did not take it.
        reason: ReturnReason,
        /// Whether the packet came with a [`PeerMessage::Grant`] of the agent. It tells the
        /// balancer which of a flow's deliveries came back, as messages may come late or twice.
        granted: bool,
        /// How busy the target is.
        load: TargetLoad,
        /// The packet as the client wrote it.
        #[musli(bytes)]
        packet: &'a [u8],
    },
    /// An opening packet waits at the agent until the target has room.
    Waits {
        /// How busy the target is.
        load: TargetLoad,
    },
    /// A balancer asks an agent for room: opening packets wait at it until any target of the
    /// service has room. Replaces what the balancer said before.
    Demand {
        /// Hash of the service's name; the agent checks it.
        service: u64,
        /// What waits.
        demand: OpeningDemand,
    },
    /// An agent answers a [`PeerMessage::Demand`]: its target has room for one opening packet,
    /// which is kept for a moment.
    Grant {
        /// Hash of the service's name.
        service: u64,
        /// Whether the room is for openings of urgent routes alone.
        urgent_only: bool,
        /// How busy the target is.
        load: TargetLoad,
    },
    /// A balancer has no use for an agent's grant, as nothing waits any more.
    Declined,
    /// The target answered an opening packet, or holds a flow that the balancer
    /// searched for.
    Holds {
        /// The client's address and port.
        client: (u32, u16),
        /// The address and port that the client connected to.
        service: (u32, u16),
        /// Whether the target sent more than an answer to an opening packet.
        confirmed: bool,
        /// How busy the target is.
        load: TargetLoad,
    },
}

/// The way of a packet that looks for the target which holds its flow.
#[derive(Clone, Debug, Default, PartialEq, Eq, Encode, Decode)]
pub struct SearchPath {
    /// IPv4 address of the balancer that searches and is told the outcome.
    pub balancer: u32,
    /// IPv4 addresses of the agents that get the packet in turn if this one's
    /// target sends it back. The last one returns it to the balancer.
    pub next: Vec<u32>,
}

/// Why a packet came back from a target's machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
pub enum ReturnReason {
    /// The target itself sent it back.
    Bounced,
    /// The agent stands beside a target of another service.
    OtherService,
    /// The agent is about to stop and takes no new flows.
    Leaving,
    /// The zone of the target is evacuated; it takes no new flows.
    Evacuated,
    /// The target fails requests; others are better off elsewhere for now.
    Failing,
    /// The target has no room now, or had none for as long as the opening packet
    /// could wait.
    Busy,
}

/// Encodes a message into `buffer`, behind the protocol version.
///
/// # Errors
/// [`MessageError::Encoding`].
pub fn encode<M>(message: &M, buffer: &mut Vec<u8>) -> Result<(), MessageError>
where
    M: ?Sized + Encode<musli::mode::Binary>,
{
    buffer.clear();
    buffer.push(PROTOCOL_VERSION);
    musli::storage::encode(&mut *buffer, message).map_err(|_| MessageError::Encoding)
}

/// Decodes a message.
///
/// # Errors
/// [`MessageError::UnknownVersion`] or [`MessageError::Malformed`].
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
