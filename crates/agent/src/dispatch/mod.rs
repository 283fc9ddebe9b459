//! Decides what to do with each message that reaches an agent.
//!
//! Pure logic: messages, loads and time are passed in, and every outcome is a
//! value of [`Dispatch`] that [`crate::run`] carries out.

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

use crate::plant::Plant;
use crate::view::{AgentView, OwnTarget};

pub use holders::UDP_IDLE_TIMEOUT;

/// How long a flow's key rests after its end: a packet of its last use has
/// arrived or been lost by then.
pub const QUARANTINE: Duration = Duration::from_secs(30);
/// How long a repeated opening packet is taken for a copy of the one that was
/// just passed on. Shorter than TCP's first retransmission (1 s), which must
/// start a new chain in case the first was lost.
const REPEATED_OFFER: Duration = Duration::from_millis(500);
/// Most opening packets remembered as passed on.
const REPEATED_OFFER_CAPACITY: usize = 8_192;
/// How long a back end that took no connection gets no new flow.
const SUSPECT_TIME: Duration = Duration::from_secs(1);
/// Most agents that one packet passes.
const MAXIMUM_HOPS: u8 = 12;

/// What to do with a message.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Dispatch {
    /// Hand the packet to the flow, which is held here.
    Deliver(FlowKey),
    /// Open the flow here with this packet.
    Open {
        /// The flow.
        key: FlowKey,
        /// Other agents to tell, which may meet the flow's packets.
        announce: Vec<Announcement>,
    },
    /// Send the packet to other agents: one, or all that claim its flow.
    PassOn(Vec<PassOn>),
    /// Do several of these with the packet.
    Several(Vec<Dispatch>),
    /// Give up the flow that is opening here: another agent has it.
    Abandon(FlowKey),
    /// Ask other agents who holds a flow; the packet is held back.
    Ask {
        /// The question.
        query: HolderQuery,
        /// Whom to ask.
        agents: Vec<SocketAddr>,
    },
    /// Answer another agent's question.
    Answer {
        /// Who asked.
        agent: SocketAddr,
        /// The answer.
        answer: HolderAnswer,
    },
    /// Refuse or end the flow by this packet to the caller.
    Reset {
        /// The reset packet.
        packet: Vec<u8>,
        /// Why, as it appears in metrics.
        reason: &'static str,
    },
    /// Nothing to do: an answer was taken in.
    Learned,
    /// Send packets that were held back on to the flow's holder.
    Release {
        /// The packets.
        packets: Vec<Vec<u8>>,
        /// The holder.
        pass_on: PassOn,
    },
    /// Drop the packet for this reason, as it appears in metrics.
    Drop(&'static str),
}

/// Tells the owner of a flow's bucket that the flow is held elsewhere.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Announcement {
    /// The owner's agent.
    pub agent: SocketAddr,
    /// What to tell.
    pub answer: HolderAnswer,
}

/// A packet's way to the next agent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PassOn {
    /// The next agent's address.
    pub agent: SocketAddr,
    /// The next agent's target.
    pub target: TargetId,
    /// How the packet is delivered there.
    pub delivery: Delivery,
}

/// One opening or unknown packet under decision.
struct Arrival<'a> {
    envelope: &'a PacketEnvelope<'a>,
    view: &'a PacketView<'a>,
    own: OwnTarget,
    in_flight: u32,
    now: Instant,
}

/// The agent's decisions and everything that they rest on. `H` is the handle
/// by which the caller reaches a flow.
#[derive(Debug)]
pub struct Dispatcher<H> {
    own_target: TargetId,
    candidates: u8,
    view: AgentView,
    /// Flows held here.
    pub flows: FlowTable<H>,
    directory: HolderDirectory,
    standby: StandbyQueue,
    /// Opening packets that this agent has offered to candidates.
    offered: StandbyQueue,
    passed_on: ExpiringSet<FlowKey>,
    started: Instant,
    last_change: Instant,
    suspect_until: Option<Instant>,
    stopping: bool,
    /// Highest revision that any message has shown.
    newest_seen: u64,
    /// When the configuration first knew this agent's target.
    known_since: Option<Instant>,
    plant: Option<Plant>,
}

impl<H> Dispatcher<H> {
    /// A dispatcher for the agent beside `own_target` that compares up to
    /// `candidates` targets for each new flow.
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
            offered: StandbyQueue::for_candidates(),
            passed_on: ExpiringSet::new(REPEATED_OFFER, REPEATED_OFFER_CAPACITY),
            started: now,
            last_change: now,
            suspect_until: None,
            stopping: false,
            newest_seen: 0,
            known_since: None,
            plant: None,
        }
    }

    /// The defect planted on purpose, if any.
    pub fn planted(&self) -> Option<Plant> {
        self.plant
    }

    /// Plants a defect on purpose.
    pub fn plant(&mut self, plant: Plant) {
        self.plant = Some(plant);
    }

    /// Puts a newer configuration in force. Returns what to tell the new owners
    /// of open flows whose packets carry no hint.
    pub fn apply(&mut self, view: AgentView, now: Instant) -> Vec<Announcement> {
        let previous = std::mem::replace(&mut self.view, view);
        self.last_change = now;
        if self.view.own.is_some() {
            self.known_since.get_or_insert(now);
        }
        self.flows
            .open_without_hint()
            .filter(|key| previous.owner(key) != self.view.owner(key))
            .filter_map(|key| self.announcement(key, Holding::Open))
            .collect()
    }

    /// The configuration in force.
    pub fn view(&self) -> &AgentView {
        &self.view
    }

    /// Begins a planned stop: nothing new is admitted from now on.
    pub fn begin_stop(&mut self) {
        self.stopping = true;
    }

    /// Notes that the back end took no connection: new flows go elsewhere for a
    /// while.
    pub fn suspect_back_end(&mut self, now: Instant) {
        self.suspect_until = Some(now + SUSPECT_TIME);
    }

    /// Forgets what has expired. To be called every few seconds.
    pub fn expire(&mut self, now: Instant) {
        self.directory.expire(now);
    }

    /// Decides about one message. `in_flight` is the number of flows that wait
    /// for an answer at this moment.
    pub fn handle(&mut self, message: &AgentMessage<'_>, in_flight: u32, now: Instant) -> Dispatch {
        self.newest_seen = self.newest_seen.max(message.revision());
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
    ) -> Dispatch {
        let view = match decode_packet(envelope.packet) {
            Ok(view) => view,
            Err(reason) => return Dispatch::Drop(reason.name()),
        };
        let Some(own) = self.view.own else {
            return Dispatch::Drop("not_configured");
        };
        let destination = self.view.table.service_for(&view).map(|service| service.id);
        if let Err(error) = own.fence.check(envelope, destination)
            && self.plant != Some(Plant::NoFence)
        {
            return Dispatch::Drop(error.name());
        }
        if let Err(reason) = verify_checksums(envelope.packet) {
            return Dispatch::Drop(reason.name());
        }
        let arrival = Arrival { envelope, view: &view, own, in_flight, now };
        match self.flows.phase(&view.key, now) {
            Some((FlowPhase::Open, _)) => return Dispatch::Deliver(view.key),
            Some((FlowPhase::Opening, age)) => return self.deliver_to_opening(&arrival, age),
            None => {}
        }
        match view.tcp() {
            Some(segment) if segment.opens_flow() => self.open_tcp(&arrival),
            Some(segment) => self.unknown_tcp(&arrival, segment),
            None => self.unknown_udp(&arrival),
        }
    }

    /// The owner of the flow's bucket under this agent's own revision.
    fn owner(&self, key: &FlowKey) -> Option<TargetId> {
        self.view.owner(key)
    }

    /// The deputy of the flow's bucket under this agent's own revision.
    fn standby_owner(&self, key: &FlowKey) -> Option<TargetId> {
        self.view.standby_owner(key)
    }

    fn pass_on(&self, arrival: &Arrival<'_>, to: TargetId, delivery: Delivery) -> Dispatch {
        if arrival.envelope.hops >= MAXIMUM_HOPS {
            return Dispatch::Drop("too_many_hops");
        }
        match self.view.table.target(to) {
            Some(target) => {
                Dispatch::PassOn(vec![PassOn { agent: target.agent, target: to, delivery }])
            }
            None => Dispatch::Drop("unknown_target"),
        }
    }
}

/// Resets a flow, unless the segment is a reset itself: that needs no answer.
fn reset(key: &FlowKey, segment: &TcpSegment, reason: &'static str) -> Dispatch {
    if segment.reset {
        return Dispatch::Drop("reset_of_unknown_flow");
    }
    match build_tcp_reset(key, segment) {
        Ok(packet) => Dispatch::Reset { packet, reason },
        Err(_) => Dispatch::Drop("reset_not_built"),
    }
}
