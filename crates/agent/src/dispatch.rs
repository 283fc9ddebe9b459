//! Decides what to do with each message that reaches an agent.
//!
//! Pure logic: messages, loads and time are passed in, and every outcome is a
//! value of [`Dispatch`] that [`crate::run`] carries out.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use weirhinge_config::TargetId;
use weirhinge_flow::admission::{AdmissionStep, Candidates, OwnLoad, RefusalReason, consider};
use weirhinge_flow::{
    Directory, DuePacket, FlowPhase, FlowTable, LookupStep, RecentSet, StandbyQueue,
};
use weirhinge_packet::{
    FlowKey, PacketView, TcpSegment, build_tcp_reset, decode_packet, verify_checksums,
};
use weirhinge_wire::{AgentMessage, Delivery, HolderAnswer, HolderQuery, Holding, PacketEnvelope};

use crate::plant::Plant;
use crate::view::{AgentView, OwnTarget};

/// How long a flow's key rests after its end: a packet of its last use has
/// arrived or been lost by then.
pub const QUARANTINE: Duration = Duration::from_secs(30);
/// How long a repeated opening packet is taken for a copy of the one that was
/// just passed on. Shorter than TCP's first retransmission (1 s), which must
/// start a new chain in case the first was lost.
const REPEATED_OFFER: Duration = Duration::from_millis(500);
/// Most opening packets remembered as passed on.
const REPEATED_OFFER_CAPACITY: usize = 8_192;
/// Most agents that one packet passes.
const MAXIMUM_HOPS: u8 = 12;
/// How long after a change of configuration a UDP flow may have another holder;
/// the idle time-out of UDP flows.
pub const UDP_IDLE_TIMEOUT: Duration = Duration::from_secs(60);
/// How long a back end that took no connection gets no new flow.
const SUSPECT_TIME: Duration = Duration::from_secs(1);
/// How long a fresh agent's back end takes to reach full speed.
const WARM_UP: Duration = Duration::from_secs(10);
/// How long a target is in the configuration before it takes flows: a change is
/// in force everywhere by then.
const JOIN_DELAY: Duration = Duration::from_secs(3);
/// Thousandths of full speed at which warming up starts.
const COLD_WARMTH: u32 = 100;
/// Thousandths of full speed of a warm back end.
const FULL_WARMTH: u32 = 1_000;

/// A flow that is still opening this long after its admission may have been won
/// by another agent: then the others are asked.
const SUSPICIOUS_OPENING: Duration = Duration::from_millis(500);

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
    directory: Directory,
    standby: StandbyQueue,
    passed_on: RecentSet<FlowKey>,
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
            directory: Directory::default(),
            standby: StandbyQueue::default(),
            passed_on: RecentSet::new(REPEATED_OFFER, REPEATED_OFFER_CAPACITY),
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

    /// A packet of a flow that is opening here. The caller may have taken up
    /// another agent's answer instead; then its packets belong there.
    fn deliver_to_opening(&mut self, arrival: &Arrival<'_>, age: Duration) -> Dispatch {
        let key = arrival.view.key;
        let opens = arrival.view.tcp().is_some_and(TcpSegment::opens_flow);
        let forwarded = arrival.envelope.delivery == Delivery::Forwarded;
        let suspicious = age >= SUSPICIOUS_OPENING || self.directory.knows_claim(&key);
        if opens || forwarded || !suspicious {
            return Dispatch::Deliver(key);
        }
        let further = match self.locate(arrival) {
            LookupStep::Ask => self.ask(arrival),
            LookupStep::Forward(holders) => self.forward(arrival, &holders),
            LookupStep::ForwardAndAsk(holders) => self.forward_and_ask(arrival, &holders),
            LookupStep::Wait | LookupStep::Absent => return Dispatch::Deliver(key),
        };
        Dispatch::Several(vec![Dispatch::Deliver(key), further])
    }

    /// An opening packet of a TCP flow that is not held here.
    fn open_tcp(&mut self, arrival: &Arrival<'_>) -> Dispatch {
        if arrival.envelope.delivery == Delivery::Standby {
            return self.stand_by(arrival);
        }
        self.offer_tcp(arrival)
    }

    /// The balancer's copy of an opening packet for the bucket's deputy.
    fn stand_by(&mut self, arrival: &Arrival<'_>) -> Dispatch {
        let key = arrival.view.key;
        let owner = self.owner(&key).filter(|&owner| owner != self.own_target);
        match owner {
            Some(_) if self.directory.knows_claim(&key) => Dispatch::Drop("claimed"),
            Some(owner) if !self.standby.is_silent(owner, arrival.now) => {
                self.standby.push(key, owner, arrival.envelope.packet, arrival.now);
                Dispatch::Learned
            }
            // The owner is silent, or this agent is the owner by now.
            _ => self.offer_tcp(arrival),
        }
    }

    /// When the next packet that this agent stands by for falls due.
    pub fn next_standby(&self) -> Option<Instant> {
        self.standby.next_due()
    }

    /// Takes the next opening packet that nobody has claimed in time.
    pub fn take_due_standby(&mut self, now: Instant) -> Option<DuePacket> {
        let (directory, flows) = (&self.directory, &mut self.flows);
        // A flow that this agent admitted may have come to its end already.
        self.standby.take_due(now, |key| {
            directory.knows_claim(key) || flows.get(key).is_some() || flows.is_quarantined(key, now)
        })
    }

    /// Offers a new flow to its candidates, or admits it.
    fn offer_tcp(&mut self, arrival: &Arrival<'_>) -> Dispatch {
        let first_hop = arrival.envelope.delivery == Delivery::Owner;
        let claim = self.directory.recent_claim(&arrival.view.key, arrival.now);
        if let (true, Some(claimant)) = (first_hop, claim) {
            return self.pass_on(arrival, claimant, Delivery::Assigned);
        }
        if let Err(error) = self.flows.check_insert(&arrival.view.key, arrival.now) {
            return Dispatch::Drop(error.name());
        }
        let step = consider(
            arrival.envelope.delivery,
            &self.own_load(arrival),
            &self.candidates_for(arrival, self.candidates),
        );
        match step {
            AdmissionStep::Admit => self.admit(arrival),
            AdmissionStep::Refuse(reason) => self.refuse(arrival, reason),
            AdmissionStep::PassOn { to, delivery } => {
                if first_hop && !self.passed_on.insert(arrival.view.key, arrival.now) {
                    return Dispatch::Drop("repeated_opening");
                }
                self.pass_on(arrival, to, delivery)
            }
        }
    }

    /// Admits the flow, and claims it with the owner and the deputy of its bucket.
    fn admit(&mut self, arrival: &Arrival<'_>) -> Dispatch {
        let key = arrival.view.key;
        self.directory.forget(&key);
        let (owner, deputy) = (self.owner(&key), self.deputy(&key));
        let announce = [owner, deputy]
            .into_iter()
            .filter_map(|target| self.announcement_to(target?, &key, Holding::Opening))
            .collect();
        Dispatch::Open { key, announce }
    }

    /// Notes that the handshake of a flow held here is complete. Packets without
    /// timestamps carry no hint and go to the bucket's owner, which is told.
    pub fn opened(&mut self, key: &FlowKey, has_timestamps: bool) -> Option<Announcement> {
        self.flows.opened(key, has_timestamps);
        self.directory.forget(key);
        if has_timestamps {
            return None;
        }
        self.announcement(key, Holding::Open)
    }

    /// What to tell the owner of the flow's bucket, if that is another agent.
    fn announcement(&self, key: &FlowKey, holding: Holding) -> Option<Announcement> {
        self.announcement_to(self.owner(key)?, key, holding)
    }

    fn announcement_to(
        &self,
        target: TargetId,
        key: &FlowKey,
        holding: Holding,
    ) -> Option<Announcement> {
        if target == self.own_target {
            return None;
        }
        let agent = self.view.table.target(target)?.agent;
        Some(Announcement { agent, answer: self.holder_answer(key, holding)? })
    }

    fn holder_answer(&self, key: &FlowKey, holding: Holding) -> Option<HolderAnswer> {
        let service = self.view.own?.fence.service.0;
        let revision = self.view.table.revision();
        let flow = (*key).into();
        Some(HolderAnswer { service, from: self.own_target.0, revision, flow, holding })
    }

    fn refuse(&self, arrival: &Arrival<'_>, reason: RefusalReason) -> Dispatch {
        match arrival.view.tcp() {
            Some(segment) => reset(&arrival.view.key, segment, reason.name()),
            None => Dispatch::Drop(reason.name()),
        }
    }

    /// A later packet of a TCP flow that is not held here.
    fn unknown_tcp(&mut self, arrival: &Arrival<'_>, segment: &TcpSegment) -> Dispatch {
        if self.flows.is_quarantined(&arrival.view.key, arrival.now) {
            return reset(&arrival.view.key, segment, "ended_flow");
        }
        if arrival.envelope.delivery == Delivery::Forwarded {
            return self.deny_forwarded(arrival);
        }
        if self.plant == Some(Plant::ResetUnknown) {
            return reset(&arrival.view.key, segment, "planted");
        }
        match self.locate(arrival) {
            LookupStep::Ask => self.ask(arrival),
            LookupStep::Wait => Dispatch::Drop("awaiting_holder"),
            LookupStep::Forward(holders) => self.forward(arrival, &holders),
            LookupStep::ForwardAndAsk(holders) => self.forward_and_ask(arrival, &holders),
            LookupStep::Absent if self.is_stale() => Dispatch::Drop("stale_view"),
            LookupStep::Absent => reset(&arrival.view.key, segment, "unknown_flow"),
        }
    }

    /// Another agent believes that the flow is held here: the bucket's owner, as
    /// a rule, is told that it is not.
    fn deny_forwarded(&self, arrival: &Arrival<'_>) -> Dispatch {
        match self.announcement(&arrival.view.key, Holding::Not) {
            Some(Announcement { agent, answer }) => Dispatch::Answer { agent, answer },
            None => Dispatch::Drop("not_held"),
        }
    }

    /// A packet of a UDP flow that is not held here, first or later.
    fn unknown_udp(&mut self, arrival: &Arrival<'_>) -> Dispatch {
        if arrival.envelope.delivery == Delivery::Forwarded {
            return self.deny_forwarded(arrival);
        }
        let owner = self.owner(&arrival.view.key);
        if let Some(owner) = owner
            && owner != self.own_target
        {
            return self.pass_on(arrival, owner, Delivery::Owner);
        }
        let changed = arrival.now.saturating_duration_since(self.last_change);
        if changed < UDP_IDLE_TIMEOUT {
            match self.locate(arrival) {
                LookupStep::Ask => return self.ask(arrival),
                LookupStep::Wait => return Dispatch::Drop("awaiting_holder"),
                LookupStep::Forward(holders) => return self.forward(arrival, &holders),
                LookupStep::ForwardAndAsk(holders) => {
                    return self.forward_and_ask(arrival, &holders);
                }
                LookupStep::Absent if self.is_stale() => return Dispatch::Drop("stale_view"),
                LookupStep::Absent => {}
            }
        }
        if !self.own_load(arrival).has_room() {
            return Dispatch::Drop(RefusalReason::NoRoom.name());
        }
        match self.flows.check_insert(&arrival.view.key, arrival.now) {
            Ok(()) => self.admit(arrival),
            Err(error) => Dispatch::Drop(error.name()),
        }
    }

    fn own_load(&self, arrival: &Arrival<'_>) -> OwnLoad {
        let suspect = self.suspect_until.is_some_and(|until| until > arrival.now);
        OwnLoad {
            in_flight: arrival.in_flight,
            slots: arrival.own.slots,
            flows: u32::try_from(self.flows.len()).unwrap_or(u32::MAX),
            connections: arrival.own.connections,
            accepts: arrival.own.active
                && !self.stopping
                && !suspect
                && self.has_joined(arrival.now),
            warmth: warmth(arrival.now.saturating_duration_since(self.started)),
        }
    }

    /// Whether the target has been in the configuration for long enough that the
    /// service's other agents know it: one that does not would take this agent's
    /// flows for unknown.
    fn has_joined(&self, now: Instant) -> bool {
        self.known_since.is_some_and(|since| now.saturating_duration_since(since) >= JOIN_DELAY)
    }

    fn candidates_for(&self, arrival: &Arrival<'_>, limit: u8) -> Candidates<'_> {
        let service = self.view.own_service();
        Candidates {
            own: self.own_target,
            owner: self.owner(&arrival.view.key),
            active: service.map_or(&[], |service| &service.active),
            flow_hash: self.view.table.hasher().hash(&arrival.view.key),
            limit,
        }
    }

    /// The owner of the flow's bucket under this agent's own revision.
    fn owner(&self, key: &FlowKey) -> Option<TargetId> {
        self.view.owner(key)
    }

    /// The deputy of the flow's bucket under this agent's own revision.
    fn deputy(&self, key: &FlowKey) -> Option<TargetId> {
        self.view.deputy(key)
    }

    fn locate(&mut self, arrival: &Arrival<'_>) -> LookupStep {
        let others = self.others();
        self.directory.locate(&arrival.view.key, &others, arrival.envelope.packet, arrival.now)
    }

    /// The service's other targets, draining ones too.
    fn others(&self) -> Vec<TargetId> {
        let members = self.view.own_service().map_or(&[][..], |service| &service.members);
        members.iter().copied().filter(|&member| member != self.own_target).collect()
    }

    fn ask(&self, arrival: &Arrival<'_>) -> Dispatch {
        let agents = self
            .others()
            .into_iter()
            .filter_map(|target| Some(self.view.table.target(target)?.agent))
            .collect();
        let query = HolderQuery {
            service: arrival.own.fence.service.0,
            from: self.own_target.0,
            revision: self.view.table.revision(),
            flow: arrival.view.key.into(),
        };
        Dispatch::Ask { query, agents }
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

    fn forward(&self, arrival: &Arrival<'_>, holders: &[TargetId]) -> Dispatch {
        if arrival.envelope.hops >= MAXIMUM_HOPS {
            return Dispatch::Drop("too_many_hops");
        }
        let delivery = Delivery::Forwarded;
        let ways = holders.iter().filter_map(|&target| {
            let agent = self.view.table.target(target)?.agent;
            Some(PassOn { agent, target, delivery })
        });
        Dispatch::PassOn(ways.collect())
    }

    fn forward_and_ask(&self, arrival: &Arrival<'_>, holders: &[TargetId]) -> Dispatch {
        Dispatch::Several(vec![self.forward(arrival, holders), self.ask(arrival)])
    }

    /// Whether somebody has shown a newer revision than the one in force here:
    /// then a target may exist that this agent does not know to ask.
    fn is_stale(&self) -> bool {
        self.newest_seen > self.view.table.revision()
    }

    fn handle_query(&self, query: &HolderQuery, now: Instant) -> Dispatch {
        let Some(own) = self.view.own else {
            return Dispatch::Drop("not_configured");
        };
        if query.service != own.fence.service.0 {
            return Dispatch::Drop("wrong_service");
        }
        let Some(asker) = self.view.table.target(TargetId(query.from)) else {
            return Dispatch::Drop("unknown_target");
        };
        let answer = HolderAnswer {
            service: query.service,
            from: self.own_target.0,
            revision: self.view.table.revision(),
            flow: query.flow,
            holding: match self.flows.phase(&query.flow.into(), now) {
                Some((FlowPhase::Open, _)) => Holding::Open,
                Some((FlowPhase::Opening, _)) => Holding::Opening,
                None => Holding::Not,
            },
        };
        Dispatch::Answer { agent: asker.agent, answer }
    }

    fn handle_answer(&mut self, answer: &HolderAnswer, now: Instant) -> Dispatch {
        let own_service = self.view.own.map(|own| own.fence.service.0);
        if own_service != Some(answer.service) {
            return Dispatch::Drop("wrong_service");
        }
        let key = FlowKey::from(answer.flow);
        let holder = TargetId(answer.from);
        let packets = self.directory.answered(&key, holder, answer.holding, now);
        let own_phase = self.flows.phase(&key, now).map(|(phase, _)| phase);
        if (own_phase, answer.holding) == (Some(FlowPhase::Opening), Holding::Open) {
            return Dispatch::Abandon(key);
        }
        match self.view.table.target(holder) {
            Some(target) if !packets.is_empty() => Dispatch::Release {
                packets,
                pass_on: PassOn {
                    agent: target.agent,
                    target: holder,
                    delivery: Delivery::Forwarded,
                },
            },
            _ => Dispatch::Learned,
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

fn warmth(age: Duration) -> u32 {
    if age >= WARM_UP {
        return FULL_WARMTH;
    }
    let gained = (FULL_WARMTH - COLD_WARMTH) as u128 * age.as_millis() / WARM_UP.as_millis();
    COLD_WARMTH + gained as u32
}
