//! A balancer's decisions about packets.

use std::net::Ipv4Addr;

use weirhinge_fleet::{Millis, ReturnReason, ServiceId, TargetClaim};

use crate::agent_status::AgentStatuses;
use crate::flow_table::{FlowEntry, FlowStage, FlowTable};
use crate::packet::{FlowKey, PacketHead};
use crate::pending_search::PendingSearches;
use crate::selection::{least_loaded, load_permille, rendezvous_order};
use crate::view::{Candidate, FleetView, Standing};

/// Most flows that a balancer remembers.
const FLOW_CAPACITY: usize = 131_072;
/// Idle time after which a flow is forgotten when no configuration states one.
const DEFAULT_IDLE_MS: Millis = 60_000;
/// A search that got no answer from a target for this long tries the next one.
const SEARCH_STEP_MS: Millis = 120;
/// Opening packets of one flow come within this span; a later one opens another.
const OPENING_SPAN_MS: Millis = 2_000;
/// Busy targets that an opening packet passes before it waits at one.
const BUSY_RETURNS: u8 = 3;
/// How long targets without a record may still take flows after the store's
/// word became fresh again: living ones have renewed their records by then.
const SETTLE_MS: Millis = 2_500;
/// How long a target whose record left without a word may take flows when its
/// service has no other. Below the bound on work for a leaving target.
const VANISHED_GRACE_MS: Millis = 1_500;
/// A flow is given up when every target sent its packet back twice, at least this
/// far apart, so that a target that was not known the first time is.
const GIVE_UP_AFTER_MS: Millis = 100;
/// How long after the store's word became fresh an agent has had the time to say
/// what stands beside it.
const CLAIMS_KNOWN_MS: Millis = 250;
/// A target that left the store and whose agent was silent for this long does not
/// hold up the giving up of a flow.
const SILENT_LEAVER_MS: Millis = 2_500;

/// Why a packet was forwarded where it was.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ForwardReason {
    /// Opens a flow at the chosen target.
    Opened,
    /// A copy of an opening packet, for the target that answered the first.
    OpeningRepeated,
    /// A copy of an opening packet that nobody answered, for another target.
    OpeningMoved,
    /// The previous target sent the opening packet back.
    OpeningReturned,
    /// All targets compared are busy; the opening packet waits at this one.
    OpeningWaits,
    /// The flow's target is known.
    Held,
    /// The flow is not known; the packet looks for its target.
    Search,
}

impl ForwardReason {
    /// Label for logs and counters.
    pub fn label(self) -> &'static str {
        match self {
            ForwardReason::Opened => "opened",
            ForwardReason::OpeningRepeated => "opening_repeated",
            ForwardReason::OpeningMoved => "opening_moved",
            ForwardReason::OpeningReturned => "opening_returned",
            ForwardReason::OpeningWaits => "opening_waits",
            ForwardReason::Held => "held",
            ForwardReason::Search => "search",
        }
    }
}

/// Why a flow was reset.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ResetReason {
    /// No route has the packet's destination.
    NoRoute,
    /// The route's service has no target that takes new flows.
    NoTarget,
    /// Every target sent the opening packet back.
    Refused,
    /// Every target sent the flow's packet back, repeatedly.
    NobodyHolds,
}

impl ResetReason {
    /// Label for logs and counters.
    pub fn label(self) -> &'static str {
        match self {
            ResetReason::NoRoute => "no_route",
            ResetReason::NoTarget => "no_target",
            ResetReason::Refused => "refused",
            ResetReason::NobodyHolds => "nobody_holds",
        }
    }
}

/// Why a packet was dropped.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DropReason {
    /// No configuration is known yet.
    NoConfiguration,
    /// No target is known yet, or the store's word is too old to refuse by.
    NoTargetYet,
    /// A packet that claims to be sent back by a target came from a client.
    BouncedByClient,
    /// No target held the flow this time.
    NobodyHoldsYet,
    /// The kept copy of a packet is no longer needed.
    SearchEnded,
}

impl DropReason {
    /// Label for logs and counters.
    pub fn label(self) -> &'static str {
        match self {
            DropReason::NoConfiguration => "no_configuration",
            DropReason::NoTargetYet => "no_target_yet",
            DropReason::BouncedByClient => "bounced_by_client",
            DropReason::NobodyHoldsYet => "nobody_holds_yet",
            DropReason::SearchEnded => "search_ended",
        }
    }
}

/// What was weighed when a target was chosen.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SelectionInputs {
    /// Targets that could be chosen.
    pub eligible: usize,
    /// Believed load of the chosen target, in thousandths of its slots.
    pub load_permille: u64,
    /// Milliseconds since the chosen agent last spoke; none if never.
    pub load_age_ms: Option<Millis>,
}

/// A chosen target with what was weighed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Selection {
    /// The chosen target's agent.
    pub agent: Ipv4Addr,
    /// What was weighed.
    pub inputs: SelectionInputs,
}

/// What to do with a packet.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Decision {
    /// Send it to an agent.
    Forward {
        /// The agent.
        agent: Ipv4Addr,
        /// The service that the agent must stand for.
        service: ServiceId,
        /// Whether the target is only guessed to hold the flow.
        search: bool,
        /// Whether an opening packet may wait at the agent until there is room.
        may_wait: bool,
        /// Why this agent.
        reason: ForwardReason,
        /// What was weighed, if a target was chosen by load.
        inputs: Option<SelectionInputs>,
    },
    /// Tell the client at once that the flow will not go on.
    Reset {
        /// Sequence number of the reset.
        sequence: u32,
        /// Why.
        reason: ResetReason,
    },
    /// Do nothing.
    Drop(DropReason),
}

/// The state of a balancer that decisions need beside the view.
#[derive(Clone, Debug)]
pub struct Balancer {
    flows: FlowTable,
    statuses: AgentStatuses,
    /// Packets that look for their target, to be sent on without waiting for the
    /// client to send them again.
    searches: PendingSearches,
    /// When the store's word last became fresh.
    regained_at: Millis,
}

impl Balancer {
    /// A balancer that has seen nothing.
    pub fn new() -> Self {
        Self::with_capacity(FLOW_CAPACITY)
    }

    /// A balancer that remembers at most `capacity` flows.
    pub fn with_capacity(capacity: usize) -> Self {
        Self {
            flows: FlowTable::new(capacity),
            statuses: AgentStatuses::default(),
            searches: PendingSearches::default(),
            regained_at: 0,
        }
    }

    /// Number of flows remembered.
    pub fn flow_count(&self) -> usize {
        self.flows.len()
    }

    /// Notes that the store's word is fresh again after it was not.
    pub fn store_regained(&mut self, now: Millis) {
        self.regained_at = now;
    }

    /// Decides about a client's packet. `fresh` tells whether the store's word is
    /// recent enough to refuse by.
    pub fn client_packet(
        &mut self,
        view: &FleetView,
        head: &PacketHead,
        packet: &[u8],
        fresh: bool,
        now: Millis,
    ) -> Decision {
        if head.flags.bounced {
            return Decision::Drop(DropReason::BouncedByClient);
        }
        if head.is_opening() {
            return self.opening_packet(view, head, fresh, now);
        }
        let decision = self.later_packet(view, head, fresh, now);
        self.keep_for_search(&decision, head, packet, now);
        decision
    }

    /// Decides about a client's packet that an agent sent back.
    pub fn returned_packet(
        &mut self,
        view: &FleetView,
        head: &PacketHead,
        packet: &[u8],
        from: Ipv4Addr,
        reason: ReturnReason,
        fresh: bool,
        now: Millis,
    ) -> Decision {
        if reason == ReturnReason::Leaving {
            self.statuses.is_stopping(from);
        }
        let flow = head.client_flow();
        let stage = if head.is_opening() { FlowStage::Opening } else { FlowStage::Searching };
        match self.flows.get_mut(&flow) {
            Some(entry) if entry.stage == FlowStage::Held && entry.agent != from => {
                let agent = entry.agent;
                let service = service_of(view, &flow, agent);
                return forward(agent, service, false, ForwardReason::Held);
            }
            Some(entry) if entry.stage == FlowStage::Unheld => {
                return Decision::Drop(DropReason::NobodyHoldsYet);
            }
            Some(entry) => {
                entry.note_tried(from);
                entry.stage = stage;
            }
            None => {
                let mut entry = FlowEntry::new(from, stage, now);
                entry.note_tried(from);
                self.flows.insert(flow, entry);
            }
        }
        if head.is_opening() {
            let reason = self.next_opening_step(&flow, reason);
            return self.choose_target(view, head, reason, fresh, now);
        }
        let decision = self.search(view, head, fresh, now);
        self.keep_for_search(&decision, head, packet, now);
        decision
    }

    /// Takes in that an agent's target answered a flow. Returns for how many
    /// milliseconds the opening packet had waited, if this was its first answer.
    pub fn holds(
        &mut self,
        flow: FlowKey,
        from: Ipv4Addr,
        confirmed: bool,
        waiting: u32,
        now: Millis,
    ) -> Option<Millis> {
        self.statuses.heard(from, waiting, now);
        let entry = self.flows.get_mut(&flow)?;
        let was_opening = entry.stage == FlowStage::Opening;
        // Two targets may answer copies of one opening packet; the client goes on
        // with one of them, and only that one's later packets confirm.
        if confirmed || entry.stage != FlowStage::Held {
            entry.agent = from;
            entry.stage = FlowStage::Held;
            entry.tried.clear();
            entry.unheld_since = None;
            entry.search_met_silence = false;
            self.searches.remove(&flow);
        }
        was_opening.then(|| now.saturating_sub(entry.tried_at))
    }

    /// Takes in an agent's sign of life that came with a returned packet.
    pub fn heard(&mut self, agent: Ipv4Addr, waiting: u32, now: Millis) {
        self.statuses.heard(agent, waiting, now);
    }

    /// Takes in an agent's word about the target beside it.
    pub fn claimed(&mut self, agent: Ipv4Addr, claim: &TargetClaim, now: Millis) {
        self.statuses.claimed(agent, claim, now);
    }

    /// Whether this balancer seems to be cut off from all agents.
    pub fn is_isolated(&self, now: Millis) -> bool {
        self.statuses.is_isolated(now)
    }

    /// Forgets what is too old.
    pub fn expire(&mut self, view: &FleetView, now: Millis) {
        let idle_ms = view.idle_timeout_ms().unwrap_or(DEFAULT_IDLE_MS);
        self.flows.expire(now, idle_ms.max(OPENING_SPAN_MS));
        self.statuses.expire(now);
    }

    fn opening_packet(
        &mut self,
        view: &FleetView,
        head: &PacketHead,
        fresh: bool,
        now: Millis,
    ) -> Decision {
        let flow = head.client_flow();
        let is_copy = |entry: &FlowEntry| {
            matches!(entry.stage, FlowStage::Opening | FlowStage::Held)
                && now.saturating_sub(entry.tried_at) < OPENING_SPAN_MS
        };
        let Some(entry) = self.flows.get_mut(&flow).filter(|entry| is_copy(entry)) else {
            self.flows.remove(&flow);
            return self.choose_target(view, head, ForwardReason::Opened, fresh, now);
        };
        entry.used_at = now;
        if entry.stage == FlowStage::Held {
            let agent = entry.agent;
            let service = service_of(view, &flow, agent);
            return forward(agent, service, false, ForwardReason::OpeningRepeated);
        }
        let silent = entry.agent;
        entry.note_tried(silent);
        self.choose_target(view, head, ForwardReason::OpeningMoved, fresh, now)
    }

    fn later_packet(
        &mut self,
        view: &FleetView,
        head: &PacketHead,
        fresh: bool,
        now: Millis,
    ) -> Decision {
        let flow = head.client_flow();
        let Some(entry) = self.flows.get_mut(&flow) else {
            return self.search(view, head, fresh, now);
        };
        entry.used_at = now;
        if entry.stage == FlowStage::Unheld {
            return self.search(view, head, fresh, now);
        }
        let is_stalled = now.saturating_sub(entry.tried_at) >= SEARCH_STEP_MS;
        if entry.stage == FlowStage::Searching && is_stalled {
            let silent = entry.agent;
            entry.note_tried(silent);
            let may_hold = !self.may_be_gone(view, &flow, silent, now);
            if let Some(entry) = self.flows.get_mut(&flow) {
                entry.search_met_silence |= may_hold;
            }
            return self.search(view, head, fresh, now);
        }
        let agent = entry.agent;
        let search = entry.stage == FlowStage::Searching;
        let service = service_of(view, &flow, agent);
        let reason = if search { ForwardReason::Search } else { ForwardReason::Held };
        forward(agent, service, search, reason)
    }

    /// How an opening packet that came back goes on: past busy targets a few
    /// times, then it waits at the least loaded one.
    fn next_opening_step(&mut self, flow: &FlowKey, returned: ReturnReason) -> ForwardReason {
        let Some(entry) = self.flows.get_mut(flow) else { return ForwardReason::OpeningReturned };
        if returned != ReturnReason::Busy || entry.has_waited {
            return ForwardReason::OpeningReturned;
        }
        entry.busy_returns += 1;
        if entry.busy_returns < BUSY_RETURNS {
            return ForwardReason::OpeningReturned;
        }
        entry.has_waited = true;
        entry.tried.clear();
        ForwardReason::OpeningWaits
    }

    /// Chooses a target for an opening packet among those not tried yet.
    fn choose_target(
        &mut self,
        view: &FleetView,
        head: &PacketHead,
        reason: ForwardReason,
        fresh: bool,
        now: Millis,
    ) -> Decision {
        let flow = head.client_flow();
        let flow_hash = flow.hash();
        let Some(route) = view.route(head.destination) else {
            return self.without_route(view);
        };
        let Some(service) = route.pick(flow_hash) else {
            return Decision::Reset { sequence: 0, reason: ResetReason::NoTarget };
        };
        let eligible = self.eligible(view, service, flow_hash, now);
        let tried = self.flows.tried(&flow);
        let untried: Vec<Candidate> = eligible
            .iter()
            .filter(|candidate| !tried.contains(&candidate.agent))
            .copied()
            .collect();
        let Some(chosen) = least_loaded(&untried, &self.statuses, now) else {
            return self.nobody_takes(&flow, !eligible.is_empty(), reason, fresh, now);
        };
        let inputs = SelectionInputs {
            eligible: untried.len(),
            load_permille: load_permille(&chosen, &self.statuses, now),
            load_age_ms: self.statuses.age(chosen.agent, now),
        };
        self.statuses.sent_opening(chosen.agent, now);
        self.go_to(flow, chosen.agent, FlowStage::Opening, now);
        Decision::Forward {
            agent: chosen.agent,
            service,
            search: false,
            may_wait: reason == ForwardReason::OpeningWaits,
            reason,
            inputs: Some(inputs),
        }
    }

    /// The outcome for an opening packet that no untried target can get.
    fn nobody_takes(
        &mut self,
        flow: &FlowKey,
        any_eligible: bool,
        reason: ForwardReason,
        fresh: bool,
        now: Millis,
    ) -> Decision {
        // Silent targets may yet answer the next copy, those that sent the packet
        // back will not take it now.
        self.flows.remove(flow);
        let settled = fresh && !self.is_unsettled(now);
        match (any_eligible, reason) {
            (true, ForwardReason::OpeningReturned) => {
                Decision::Reset { sequence: 0, reason: ResetReason::Refused }
            }
            (false, _) if settled => Decision::Reset { sequence: 0, reason: ResetReason::NoTarget },
            _ => Decision::Drop(DropReason::NoTargetYet),
        }
    }

    fn without_route(&self, view: &FleetView) -> Decision {
        match view.label() {
            None => Decision::Drop(DropReason::NoConfiguration),
            Some(_) => Decision::Reset { sequence: 0, reason: ResetReason::NoRoute },
        }
    }

    /// Targets that may take a new flow, best first: ready ones, then those that
    /// lost their record but may well live, then ready ones that do not answer.
    fn eligible(
        &self,
        view: &FleetView,
        service: ServiceId,
        flow_hash: u64,
        now: Millis,
    ) -> Vec<Candidate> {
        let candidates = view.candidates(service);
        let ready = rendezvous_order(
            flow_hash,
            candidates.iter().filter(|candidate| candidate.standing == Standing::Ready),
        );
        let is_suspect = |candidate: &Candidate| self.statuses.is_suspect(candidate.agent, now);
        let (suspect, mut eligible): (Vec<_>, Vec<_>) = ready.into_iter().partition(is_suspect);
        if eligible.is_empty() {
            let unrecorded = self.unrecorded(candidates, service, now);
            eligible = rendezvous_order(flow_hash, unrecorded.iter());
            eligible.retain(|candidate| !is_suspect(candidate));
        }
        eligible.extend(suspect);
        eligible
    }

    /// Targets without a record that may take flows where no other does.
    fn unrecorded(
        &self,
        candidates: &[Candidate],
        service: ServiceId,
        now: Millis,
    ) -> Vec<Candidate> {
        let unsettled = self.is_unsettled(now);
        let may_live = |candidate: &&Candidate| match candidate.standing {
            Standing::Vanished(at) => unsettled || now.saturating_sub(at) < VANISHED_GRACE_MS,
            Standing::Ready | Standing::Leaving => false,
        };
        let mut unrecorded: Vec<Candidate> = candidates.iter().filter(may_live).copied().collect();
        if unsettled {
            for agent in self.statuses.claimants(service, now) {
                if candidates.iter().all(|candidate| candidate.agent != agent) {
                    unrecorded.push(claimed_candidate(agent, now));
                }
            }
        }
        unrecorded
    }

    /// Sends a packet of an unknown flow to the next target that may hold it.
    fn search(
        &mut self,
        view: &FleetView,
        head: &PacketHead,
        fresh: bool,
        now: Millis,
    ) -> Decision {
        let flow = head.client_flow();
        let Some(route) = view.route(head.destination) else {
            return match self.without_route(view) {
                Decision::Reset { reason, .. } => {
                    Decision::Reset { sequence: head.acknowledgment, reason }
                }
                other => other,
            };
        };
        let tried = self.flows.tried(&flow);
        let order = self.search_order(view, route.services(), flow.hash(), now);
        let next = order.into_iter().find(|place| !tried.contains(&place.agent));
        let Some(place) = next else {
            return self.search_failed(&flow, head, fresh, now);
        };
        self.go_to(flow, place.agent, FlowStage::Searching, now);
        forward(place.agent, place.service, true, ForwardReason::Search)
    }

    /// All targets that may hold a flow in the flow's order, those that do not
    /// answer last.
    fn search_order(
        &self,
        view: &FleetView,
        services: impl Iterator<Item = ServiceId>,
        flow_hash: u64,
        now: Millis,
    ) -> Vec<SearchPlace> {
        let mut order: Vec<SearchPlace> = Vec::new();
        for service in services {
            for candidate in rendezvous_order(flow_hash, view.candidates(service).iter()) {
                order.push(self.search_place(service, &candidate, now));
            }
            for agent in self.statuses.claimants(service, now) {
                if !order.iter().any(|place| place.agent == agent) {
                    order.push(SearchPlace { service, agent, is_silent: false });
                }
            }
        }
        // A stable sort: the flow's order stays within each half.
        order.sort_by_key(|place| place.is_silent);
        order
    }

    fn search_place(&self, service: ServiceId, candidate: &Candidate, now: Millis) -> SearchPlace {
        let agent = candidate.agent;
        let is_silent = self.has_left(candidate, now) || self.statuses.is_suspect(agent, now);
        SearchPlace { service, agent, is_silent }
    }

    /// Whether a target left the store and its agent is silent too.
    fn has_left(&self, candidate: &Candidate, now: Millis) -> bool {
        let age = self.statuses.age(candidate.agent, now);
        let is_silent = age.is_none_or(|age| age >= SILENT_LEAVER_MS);
        candidate.standing != Standing::Ready && is_silent
    }

    /// Whether an agent that does not answer most likely ended with its target.
    fn may_be_gone(&self, view: &FleetView, flow: &FlowKey, agent: Ipv4Addr, now: Millis) -> bool {
        let services = view.route(flow.service).into_iter().flat_map(|route| route.services());
        let mut candidates = services.flat_map(|service| view.candidates(service));
        let candidate = candidates.find(|candidate| candidate.agent == agent);
        candidate.is_none_or(|candidate| self.has_left(candidate, now))
    }

    /// No target that is known holds the flow.
    fn search_failed(
        &mut self,
        flow: &FlowKey,
        head: &PacketHead,
        fresh: bool,
        now: Millis,
    ) -> Decision {
        let certain = fresh && now >= self.regained_at + CLAIMS_KNOWN_MS;
        let Some(entry) = self.flows.get_mut(flow) else {
            return Decision::Drop(DropReason::NobodyHoldsYet);
        };
        entry.tried.clear();
        entry.stage = FlowStage::Unheld;
        // A target that did not answer may hold the flow.
        let answered = !std::mem::take(&mut entry.search_met_silence);
        if !answered {
            entry.unheld_since = None;
            return Decision::Drop(DropReason::NobodyHoldsYet);
        }
        let first = *entry.unheld_since.get_or_insert(now);
        if certain && now.saturating_sub(first) >= GIVE_UP_AFTER_MS && !head.flags.rst {
            self.flows.remove(flow);
            let sequence = head.acknowledgment;
            return Decision::Reset { sequence, reason: ResetReason::NobodyHolds };
        }
        Decision::Drop(DropReason::NobodyHoldsYet)
    }

    /// Keeps a copy of a packet that looks for its target, or drops the copy when
    /// the search has ended.
    fn keep_for_search(
        &mut self,
        decision: &Decision,
        head: &PacketHead,
        packet: &[u8],
        now: Millis,
    ) {
        let flow = head.client_flow();
        match decision {
            Decision::Forward { search: true, .. } | Decision::Drop(DropReason::NobodyHoldsYet) => {
                self.searches.keep(flow, head, packet, now);
            }
            _ => self.searches.remove(&flow),
        }
    }

    /// The packets whose search got no answer in time, for [`Self::search_again`].
    pub fn due_searches(&mut self, now: Millis) -> Vec<(PacketHead, Vec<u8>)> {
        self.searches.take_due(now, SEARCH_STEP_MS)
    }

    /// Goes on with the search of a packet from [`Self::due_searches`].
    pub fn search_again(
        &mut self,
        view: &FleetView,
        head: &PacketHead,
        packet: &[u8],
        fresh: bool,
        now: Millis,
    ) -> Decision {
        let flow = head.client_flow();
        let stage = self.flows.get_mut(&flow).map(|entry| entry.stage);
        if !matches!(stage, Some(FlowStage::Searching | FlowStage::Unheld)) {
            return Decision::Drop(DropReason::SearchEnded);
        }
        let decision = self.later_packet(view, head, fresh, now);
        self.keep_for_search(&decision, head, packet, now);
        decision
    }

    /// Whether targets may live that have no record yet.
    fn is_unsettled(&self, now: Millis) -> bool {
        now < self.regained_at + SETTLE_MS
    }

    fn go_to(&mut self, flow: FlowKey, agent: Ipv4Addr, stage: FlowStage, now: Millis) {
        match self.flows.get_mut(&flow) {
            Some(entry) => {
                entry.agent = agent;
                entry.stage = stage;
                entry.tried_at = now;
            }
            None => self.flows.insert(flow, FlowEntry::new(agent, stage, now)),
        }
    }
}

impl Default for Balancer {
    fn default() -> Self {
        Self::new()
    }
}

/// One target that may hold a flow.
struct SearchPlace {
    service: ServiceId,
    agent: Ipv4Addr,
    /// Its agent does not answer; it is asked last.
    is_silent: bool,
}

/// A target known by its agent's word alone.
fn claimed_candidate(agent: Ipv4Addr, now: Millis) -> Candidate {
    Candidate { agent, standing: Standing::Vanished(now), slots: 1, cold_until: 0 }
}

fn forward(agent: Ipv4Addr, service: ServiceId, search: bool, reason: ForwardReason) -> Decision {
    Decision::Forward { agent, service, search, may_wait: false, reason, inputs: None }
}

/// The service that an agent stands for in the view; for an agent that the view
/// no longer has, the route's. Only opening packets are refused for it.
fn service_of(view: &FleetView, flow: &FlowKey, agent: Ipv4Addr) -> ServiceId {
    let Some(route) = view.route(flow.service) else { return ServiceId(0) };
    let stands_for = |service: &ServiceId| {
        view.candidates(*service).iter().any(|candidate| candidate.agent == agent)
    };
    let by_agent = route.services().find(stands_for);
    by_agent.or_else(|| route.pick(flow.hash())).unwrap_or(ServiceId(0))
}
