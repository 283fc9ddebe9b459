//! Decides what to do with each message that reaches an agent.
//!
//! The decisions are pure logic: messages, loads and time are arguments, and each outcome is a
//! [`Decision`] value that [`crate::run`] executes.

mod holders;
mod opening;

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use weirhinge_config::TargetId;
use weirhinge_flow::{ExpiringSet, FlowPhase, FlowTable, HolderDirectory, StandbyQueue};
use weirhinge_packet::{
    FlowKey, PacketView, TcpSegment, build_tcp_reset, decode_packet, verify_checksums,
};
use weirhinge_wire::{AgentMessage, Delivery, HolderAnswer, HolderQuery, Holding, PacketEnvelope};

use crate::planted_defect::PlantedDefect;
use crate::view::{AgentView, OwnTarget};

pub use holders::UDP_IDLE_TIMEOUT;

/// How long a flow's key stays quarantined after the flow has ended. By then every packet of the
/// flow has arrived or is lost.
pub const QUARANTINE: Duration = Duration::from_secs(30);
/// Time within which a second opening packet counts as a duplicate of the one just passed on.
/// Shorter than TCP's first retransmission timeout (1 s): a retransmission must start a new chain
/// of offers, as the first chain may be lost.
const DUPLICATE_OPENING_WINDOW: Duration = Duration::from_millis(500);
/// Maximum number of opening packets remembered as passed on.
const DUPLICATE_OPENING_CAPACITY: usize = 8_192;
/// How long a back end that accepted no connection gets no new flows.
const BACK_END_SUSPECT_TIME: Duration = Duration::from_secs(1);
/// Maximum number of times that a packet is passed on between agents.
const MAX_HOPS: u8 = 12;

/// The decision about a message.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Decision {
    /// Deliver the packet to its flow, which this agent holds.
    Deliver(FlowKey),
    /// Open the flow here with this packet.
    Open {
        /// The flow.
        key: FlowKey,
        /// Claims for the owner and the standby owner, which may receive the flow's packets.
        announce: Vec<Announcement>,
    },
    /// Send the packet to another agent, or to all agents that claim its flow.
    PassOn(Vec<NextHop>),
    /// Execute several decisions about the same packet.
    Multiple(Vec<Decision>),
    /// Abandon the flow that is half-open here: another agent has it open.
    Abandon(FlowKey),
    /// Ask other agents which of them holds a flow; the packet is buffered meanwhile.
    Query {
        /// The query.
        query: HolderQuery,
        /// Addresses of the agents to query.
        agents: Vec<SocketAddr>,
    },
    /// Send a holder answer to another agent.
    Answer {
        /// Address of the agent that receives the answer.
        agent: SocketAddr,
        /// The answer.
        answer: HolderAnswer,
    },
    /// Refuse or end the flow by sending a reset to the client.
    Reset {
        /// The reset packet for the client.
        packet: Vec<u8>,
        /// The reason's name in metrics.
        reason: &'static str,
    },
    /// Nothing to do: the message has been recorded or queued.
    Recorded,
    /// Send buffered packets to the flow's holder.
    ForwardBuffered {
        /// The buffered packets, oldest first.
        packets: Vec<Vec<u8>>,
        /// The holder's agent.
        next_hop: NextHop,
    },
    /// Drop the message; the value is the reason's name in metrics.
    Drop(&'static str),
}

/// Tells another agent, usually the owner of a flow's bucket, whether this agent holds the flow.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Announcement {
    /// Address of the agent to notify.
    pub agent: SocketAddr,
    /// The answer to send.
    pub answer: HolderAnswer,
}

/// The agent that a packet is passed on to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NextHop {
    /// The next agent's address.
    pub agent: SocketAddr,
    /// The next agent's target.
    pub target: TargetId,
    /// Why the packet is sent there.
    pub delivery: Delivery,
}

/// A packet to decide about, with the state that the decision depends on.
struct Arrival<'a> {
    envelope: &'a PacketEnvelope<'a>,
    view: &'a PacketView<'a>,
    own: OwnTarget,
    in_flight: u32,
    now: Instant,
}

/// Decides about messages; holds all state that the decisions depend on. `H` is the caller's handle
/// of a flow.
#[derive(Debug)]
pub struct Dispatcher<H> {
    own_target: TargetId,
    candidates: u8,
    view: AgentView,
    /// Flows that this agent holds.
    pub flows: FlowTable<H>,
    directory: HolderDirectory,
    standby: StandbyQueue,
    /// Opening packets that this agent has offered to candidates and that may stay unclaimed.
    offered_openings: StandbyQueue,
    recently_passed_on: ExpiringSet<FlowKey>,
    started: Instant,
    last_change: Instant,
    suspect_until: Option<Instant>,
    stopping: bool,
    /// Highest configuration revision seen in any message.
    newest_revision_seen: u64,
    /// When the configuration first contained this agent's target.
    configured_since: Option<Instant>,
    planted_defect: Option<PlantedDefect>,
}

impl<H> Dispatcher<H> {
    /// Creates the dispatcher of the agent of `own_target`, which compares up to `candidates`
    /// targets for each new flow and holds at most `half_open_limit` half-open flows.
    pub fn new(
        own_target: TargetId,
        candidates: u8,
        half_open_limit: usize,
        view: AgentView,
        now: Instant,
    ) -> Self {
        Self {
            own_target,
            candidates,
            view,
            flows: FlowTable::new(half_open_limit, QUARANTINE),
            directory: HolderDirectory::default(),
            standby: StandbyQueue::for_owners(),
            offered_openings: StandbyQueue::for_candidates(),
            recently_passed_on: ExpiringSet::new(
                DUPLICATE_OPENING_WINDOW,
                DUPLICATE_OPENING_CAPACITY,
            ),
            started: now,
            last_change: now,
            suspect_until: None,
            stopping: false,
            newest_revision_seen: 0,
            configured_since: None,
            planted_defect: None,
        }
    }

    /// Returns the deliberate defect, if any.
    pub fn planted_defect(&self) -> Option<PlantedDefect> {
        self.planted_defect
    }

    /// Enables a deliberate defect.
    pub fn enable_defect(&mut self, planted_defect: PlantedDefect) {
        self.planted_defect = Some(planted_defect);
    }

    /// Applies a newer configuration. Returns announcements for the new owners of open flows whose
    /// packets carry no holder hint.
    pub fn apply(&mut self, view: AgentView, now: Instant) -> Vec<Announcement> {
        let previous = std::mem::replace(&mut self.view, view);
        self.last_change = now;
        if self.view.own.is_some() {
            self.configured_since.get_or_insert(now);
        }
        self.flows
            .open_without_hint()
            .filter(|key| previous.owner(key) != self.view.owner(key))
            .filter_map(|key| self.announcement(key, Holding::Open))
            .collect()
    }

    /// Returns the configuration in effect.
    pub fn view(&self) -> &AgentView {
        &self.view
    }

    /// Begins a graceful shutdown: no new flow is admitted from now on.
    pub fn begin_shutdown(&mut self) {
        self.stopping = true;
    }

    /// Notes that the back end accepted no connection: new flows are passed on to other targets for
    /// a short time.
    pub fn suspect_back_end(&mut self, now: Instant) {
        self.suspect_until = Some(now + BACK_END_SUSPECT_TIME);
    }

    /// Removes expired entries. Must be called every few seconds.
    pub fn expire(&mut self, now: Instant) {
        self.directory.expire(now);
    }

    /// Decides about one message. `in_flight` is the current number of flows that wait for an
    /// answer of the back end.
    pub fn handle(&mut self, message: &AgentMessage<'_>, in_flight: u32, now: Instant) -> Decision {
        self.newest_revision_seen = self.newest_revision_seen.max(message.revision());
        match message {
            AgentMessage::Packet(envelope) => self.handle_packet(envelope, in_flight, now),
            AgentMessage::HolderQuery(query) => self.handle_query(query, now),
            AgentMessage::HolderAnswer(answer) => self.handle_answer(answer, now),
        }
    }

    fn handle_packet(
        &mut self,
        envelope: &PacketEnvelope<'_>,
        in_flight: u32,
        now: Instant,
    ) -> Decision {
        let view = match decode_packet(envelope.packet) {
            Ok(view) => view,
            Err(reason) => return Decision::Drop(reason.name()),
        };
        let Some(own) = self.view.own else {
            return Decision::Drop("not_configured");
        };
        let destination = self.view.table.service_for(&view).map(|service| service.id);
        if let Err(error) = own.fence.check(envelope, destination)
            && self.planted_defect != Some(PlantedDefect::NoFence)
        {
            return Decision::Drop(error.name());
        }
        if let Err(reason) = verify_checksums(envelope.packet) {
            return Decision::Drop(reason.name());
        }
        let arrival = Arrival { envelope, view: &view, own, in_flight, now };
        match self.flows.phase(&view.key, now) {
            Some((FlowPhase::Open, _)) => return Decision::Deliver(view.key),
            Some((FlowPhase::Opening, age)) => return self.deliver_to_opening(&arrival, age),
            None => {}
        }
        match view.tcp() {
            Some(segment) if segment.opens_flow() => self.handle_opening_tcp(&arrival),
            Some(segment) => self.handle_unknown_tcp(&arrival, segment),
            None => self.handle_unknown_udp(&arrival),
        }
    }

    /// Returns the owner of the flow's bucket under this agent's own revision.
    fn owner(&self, key: &FlowKey) -> Option<TargetId> {
        self.view.owner(key)
    }

    /// Returns the standby owner of the flow's bucket under this agent's own revision.
    fn standby_owner(&self, key: &FlowKey) -> Option<TargetId> {
        self.view.standby_owner(key)
    }

    fn pass_on(&self, arrival: &Arrival<'_>, to: TargetId, delivery: Delivery) -> Decision {
        if arrival.envelope.hops >= MAX_HOPS {
            return Decision::Drop("too_many_hops");
        }
        match self.view.table.target(to) {
            Some(target) => {
                Decision::PassOn(vec![NextHop { agent: target.agent, target: to, delivery }])
            }
            None => Decision::Drop("unknown_target"),
        }
    }
}

/// Resets a flow, unless the segment is itself a reset, which must not be answered.
fn reset(key: &FlowKey, segment: &TcpSegment, reason: &'static str) -> Decision {
    if segment.reset {
        return Decision::Drop("reset_of_unknown_flow");
    }
    match build_tcp_reset(key, segment) {
        Ok(packet) => Decision::Reset { packet, reason },
        Err(_) => Decision::Drop("reset_not_built"),
    }
}
