//! The search for the target that holds a flow which this balancer does not know.

use std::collections::HashSet;
use std::net::Ipv4Addr;

use weirhinge_fleet::{Millis, ServiceId};

use super::decision::{Decision, DropReason, ResetReason};
use super::{Balancer, ClientPacket, Context, service_of};
use crate::flow_table::{FlowEntry, FlowStage};
use crate::packet::{FlowKey, PacketHead};
use crate::selection::rendezvous_order;
use crate::view::{Candidate, Distance, RouteChoice, Standing};

/// A search that got no answer from a target for this long tries the next one.
const SEARCH_STEP_MS: Millis = 120;
/// Most agents that a searching packet visits in turn before it comes back. Nearly all
/// flows are held near the front of their order, within the first row.
const ASKED_IN_TURN: usize = 8;
/// How many times more rows each wave of a search has than the one before: the time of
/// a search grows with the logarithm of the number of targets.
const ROWS_GROWTH: usize = 4;
/// Most rows of one wave, which bounds the packets sent at once. All of 680 targets are
/// asked in four waves.
const MOST_ROWS: usize = 64;
/// Rows in which the agents of rows that did not come back are asked again. All of them
/// alone, the packets of one flow filled a link of 10 Mbit/s for 12 ms at 41 targets, and
/// thousands of flows are lost at once. Up to so many agents are asked alone right away.
const ROWS_AFTER_SILENCE: usize = 4;
/// A flow is given up this long after the last target sent its packet back, so that a
/// target that was not known by then is asked too: a change that one balancer knows
/// reaches the others in a few milliseconds. The client waits meanwhile, and after a
/// total loss every flow meets this wait.
const GIVE_UP_AFTER_MS: Millis = 25;
/// How long after the store's word became fresh an agent has had the time to say
/// what stands beside it.
const CLAIMS_KNOWN_MS: Millis = 250;
/// A target that left the store and whose agent was silent for this long does not
/// hold up the giving up of a flow.
const SILENT_LEAVER_MS: Millis = 2_500;

/// One target that may hold a flow.
struct SearchPlace {
    service: ServiceId,
    agent: Ipv4Addr,
    /// Its agent does not answer; it is asked last.
    is_silent: bool,
    /// It is in another region; it is asked after those in this one.
    is_far: bool,
}

impl Balancer {
    /// Sends a packet of an unknown flow to the next targets that may hold it.
    pub(super) fn search(&mut self, context: &Context<'_>, head: &PacketHead) -> Decision {
        let flow = head.client_flow();
        let Some(route) = context.view.route(head.destination) else {
            return Self::without_route(context.view, head);
        };
        let is_under_way = self.flows.get_mut(&flow).is_some_and(|entry| !entry.asked.is_empty());
        if is_under_way {
            return Decision::Drop(DropReason::SearchGoesOn);
        }
        let tried = self.flows.tried(&flow);
        let order = self.search_order(context, route, flow.hash());
        let untried = order.into_iter().filter(|place| !tried.contains(&place.agent));
        let untried: Vec<SearchPlace> = untried.collect();
        let Some(first) = untried.first() else {
            return self.search_failed(context, &flow, head);
        };
        let at_once = self.search_outcomes.are_mostly_in_vain(context.now);
        let rows = match self.flows.get_mut(&flow) {
            Some(entry) => next_rows(&untried, entry, at_once),
            None => next_rows(
                &untried,
                &FlowEntry::new(first.agent, FlowStage::Unheld, context.now),
                at_once,
            ),
        };
        if let Err(wait_ms) = self.search_budget.take(rows.len(), head.length, context.now) {
            self.go_to(flow, first.agent, FlowStage::Unheld, context.now);
            return Decision::Drop(DropReason::SearchWaits { wait_ms });
        }
        self.go_to(flow, first.agent, FlowStage::Searching, context.now);
        let decision = Decision::search(&rows, first.service);
        if let Some(entry) = self.flows.get_mut(&flow) {
            entry.asked = rows;
            entry.waves += 1;
        }
        decision
    }

    /// Sends a further packet of a flow the way of the search under way, while that is
    /// one row. With more rows its client sends it again when the target is found.
    pub(super) fn join_search(&mut self, context: &Context<'_>, head: &PacketHead) -> Decision {
        let flow = &head.client_flow();
        let Some(entry) = self.flows.get_mut(flow).filter(|entry| entry.asked.len() == 1) else {
            return Decision::Drop(DropReason::SearchGoesOn);
        };
        if self.search_budget.take(entry.asked.len(), head.length, context.now).is_err() {
            return Decision::Drop(DropReason::SearchGoesOn);
        }
        let service = service_of(context.view, flow, entry.agent);
        Decision::search(&entry.asked, service)
    }

    /// Goes past targets that did not answer. Any of a row may be the one that does not:
    /// all of the row are asked again, in shorter rows.
    pub(super) fn search_past_silence(
        &mut self,
        context: &Context<'_>,
        head: &PacketHead,
    ) -> Decision {
        let flow = head.client_flow();
        let asked = self.flows.get_mut(&flow).map(|entry| std::mem::take(&mut entry.asked));
        let (rows, alone): (Vec<_>, Vec<_>) =
            asked.unwrap_or_default().into_iter().partition(|row| row.len() > 1);
        let silent: Vec<Ipv4Addr> = alone.into_iter().flatten().collect();
        for agent in &silent {
            self.statuses.ignored_search(*agent, context.now);
        }
        let may_hold = |agent: &&Ipv4Addr| !self.may_be_gone(context, &flow, **agent);
        let unanswered: Vec<Ipv4Addr> = silent.iter().filter(may_hold).copied().collect();
        if let Some(entry) = self.flows.get_mut(&flow) {
            entry.tried.extend(silent);
            entry.unanswered.extend(unanswered);
            entry.doubtful = rows.into_iter().flatten().collect();
        }
        self.search(context, head)
    }

    /// Keeps a copy of a packet that looks for its target, or drops the copy when
    /// the search has ended.
    pub(super) fn keep_for_search(
        &mut self,
        decision: &Decision,
        packet: ClientPacket<'_>,
        context: &Context<'_>,
    ) {
        let flow = packet.head.client_flow();
        if *decision == Decision::Drop(DropReason::SearchGoesOn) {
            // Those asked still have the rest of their time to answer.
            return;
        }
        let goes_on = match decision {
            Decision::Forward(forward) => forward.is_search(),
            Decision::Drop(DropReason::NobodyHoldsYet | DropReason::SearchWaits { .. }) => true,
            Decision::Drop(_) => false,
            Decision::Reset { .. } | Decision::HandOff { .. } | Decision::Queue { .. } => false,
        };
        if goes_on {
            let wait_ms = match decision {
                Decision::Drop(DropReason::SearchWaits { wait_ms }) => *wait_ms,
                _ => self.wait_of_search(context, &flow),
            };
            self.searches.keep(flow, packet.head, packet.bytes, wait_ms, context.now);
        } else {
            self.searches.remove(&flow);
        }
    }

    /// How long a search rests before it goes on: for an answer of the agent asked,
    /// or, when all targets sent the packet back, until they are asked once more.
    fn wait_of_search(&mut self, context: &Context<'_>, flow: &FlowKey) -> Millis {
        let certain = self.knows_all_targets(context);
        let entry = self.flows.get_mut(flow).filter(|_| certain);
        let is_unheld = entry
            .is_some_and(|entry| entry.stage == FlowStage::Unheld && entry.unheld_since.is_some());
        if is_unheld { GIVE_UP_AFTER_MS } else { SEARCH_STEP_MS }
    }

    /// Whether no target can hold a flow that this balancer does not know of.
    fn knows_all_targets(&self, context: &Context<'_>) -> bool {
        context.fresh && context.now >= self.regained_at + CLAIMS_KNOWN_MS
    }

    /// The packets whose search got no answer in time, for [`Self::search_again`].
    pub fn due_searches(&mut self, now: Millis) -> Vec<(PacketHead, Vec<u8>)> {
        self.searches.take_due(now, SEARCH_STEP_MS)
    }

    /// Goes on with the search of a packet from [`Self::due_searches`].
    pub fn search_again(&mut self, context: &Context<'_>, packet: ClientPacket<'_>) -> Decision {
        let flow = packet.head.client_flow();
        let stage = self.flows.get_mut(&flow).map(|entry| entry.stage);
        if !matches!(stage, Some(FlowStage::Searching | FlowStage::Unheld)) {
            self.searches.remove(&flow);
            return Decision::Drop(DropReason::SearchEnded);
        }
        let decision = self.later_packet(context, packet.head);
        self.keep_for_search(&decision, packet, context);
        decision
    }

    /// All targets that may hold a flow in the flow's order, those that do not
    /// answer last.
    fn search_order(
        &self,
        context: &Context<'_>,
        route: &RouteChoice,
        flow_hash: u64,
    ) -> Vec<SearchPlace> {
        let mut order: Vec<SearchPlace> = Vec::new();
        let mut listed: HashSet<Ipv4Addr> = HashSet::new();
        for service in route.services() {
            let candidates = context.view.candidates(service).iter();
            let candidates = candidates.filter(|candidate| route.allows(candidate.region));
            for candidate in rendezvous_order(flow_hash, candidates) {
                listed.insert(candidate.agent);
                if self.is_gone_for_good(context, &candidate) {
                    continue;
                }
                order.push(self.search_place(service, &candidate, context.now));
            }
            let certain = self.knows_all_targets(context);
            for agent in self.statuses.claimants(service, context.now) {
                let is_mute = certain && self.statuses.is_mute(agent, context.now);
                let zone = self.statuses.claimed_zone(agent);
                let region = zone.and_then(|zone| context.view.region_of(zone));
                if !is_mute && route.allows(region) && listed.insert(agent) {
                    order.push(SearchPlace { service, agent, is_silent: false, is_far: false });
                }
            }
        }
        // A stable sort: the flow's order stays within each part.
        order.sort_by_key(|place| (place.is_silent, place.is_far));
        order
    }

    fn search_place(&self, service: ServiceId, candidate: &Candidate, now: Millis) -> SearchPlace {
        let agent = candidate.agent;
        let is_silent = self.has_left(candidate, now)
            || self.statuses.is_suspect(candidate, now)
            || self.statuses.is_mute(agent, now);
        SearchPlace { service, agent, is_silent, is_far: candidate.distance == Distance::Far }
    }

    /// Whether a target left the store and its agent is silent too.
    fn has_left(&self, candidate: &Candidate, now: Millis) -> bool {
        let age = self.statuses.age(candidate.agent, now);
        let is_silent = age.is_none_or(|age| age >= SILENT_LEAVER_MS);
        candidate.standing != Standing::Ready && is_silent
    }

    /// Whether a target has ended: its agent said so, or it left the store and answered
    /// none of several searching packets either, though its agent may live. A living one
    /// has renewed its record by then.
    fn is_gone_for_good(&self, context: &Context<'_>, candidate: &Candidate) -> bool {
        let is_settled = context.fresh && !self.is_unsettled(context.now);
        let agent = candidate.agent;
        let is_mute = self.statuses.is_persistently_mute(agent, context.now);
        self.statuses.has_ended(candidate) || (!candidate.recorded && is_settled && is_mute)
    }

    /// Whether a target that does not answer is most likely gone.
    fn may_be_gone(&self, context: &Context<'_>, flow: &FlowKey, agent: Ipv4Addr) -> bool {
        let (view, now) = (context.view, context.now);
        let services = view.route(flow.service).into_iter().flat_map(|route| route.services());
        let mut candidates = services.flat_map(|service| view.candidates(service));
        let Some(candidate) = candidates.find(|candidate| candidate.agent == agent) else {
            return true;
        };
        self.has_left(candidate, now) || self.is_gone_for_good(context, candidate)
    }

    /// No target that is known holds the flow.
    fn search_failed(
        &mut self,
        context: &Context<'_>,
        flow: &FlowKey,
        head: &PacketHead,
    ) -> Decision {
        let now = context.now;
        let certain = self.knows_all_targets(context);
        let Some(entry) = self.flows.get_mut(flow) else {
            return Decision::Drop(DropReason::NobodyHoldsYet);
        };
        entry.end_round();
        entry.stage = FlowStage::Unheld;
        // A target that did not answer may hold the flow, and is asked again. One that
        // sent its packet back does not, and never will.
        if !entry.unanswered.is_empty() {
            for agent in std::mem::take(&mut entry.unanswered) {
                entry.tried.remove(&agent);
            }
            entry.unheld_since = None;
            return Decision::Drop(DropReason::NobodyHoldsYet);
        }
        if entry.unheld_since.is_none() {
            self.search_outcomes.note(true, now);
        }
        let first = *entry.unheld_since.get_or_insert(now);
        if certain && now.saturating_sub(first) >= GIVE_UP_AFTER_MS && !head.flags.rst {
            self.flows.remove(flow);
            let sequence = head.acknowledgment;
            return Decision::Reset { sequence, reason: ResetReason::NobodyHolds };
        }
        Decision::Drop(DropReason::NobodyHoldsYet)
    }
}

/// The rows of agents to ask next: those of rows that did not come back in shorter ones,
/// then in each wave more of those not asked yet, or as many as possible `at_once`; after
/// them the silent ones, each alone.
fn next_rows(untried: &[SearchPlace], entry: &FlowEntry, at_once: bool) -> Vec<Vec<Ipv4Addr>> {
    let answering = untried.iter().take_while(|place| !place.is_silent);
    let (doubtful, fresh): (Vec<Ipv4Addr>, Vec<Ipv4Addr>) =
        answering.map(|place| place.agent).partition(|agent| entry.doubtful.contains(agent));
    if doubtful.is_empty() && fresh.is_empty() {
        return untried.iter().take(MOST_ROWS).map(|place| vec![place.agent]).collect();
    }
    let shorter = doubtful.len().div_ceil(ROWS_AFTER_SILENCE).clamp(1, ASKED_IN_TURN);
    let growing = ROWS_GROWTH.saturating_pow(entry.waves).min(MOST_ROWS);
    let most_fresh = if at_once { MOST_ROWS } else { growing };
    let rows = doubtful.chunks(shorter).chain(fresh.chunks(ASKED_IN_TURN).take(most_fresh));
    rows.take(MOST_ROWS).map(<[Ipv4Addr]>::to_vec).collect()
}

/// Whether the target asked last has had its time to answer.
pub(super) fn is_stalled(entry: &FlowEntry, now: Millis) -> bool {
    now.saturating_sub(entry.tried_at) >= SEARCH_STEP_MS
}
