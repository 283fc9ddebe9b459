//! Searches for the target that holds a flow unknown to this balancer.

use std::net::Ipv4Addr;

use weirhinge_fleet::Millis;

use super::decision::{Decision, DropReason, ResetReason};
use super::search_order::SearchTarget;
use super::{Balancer, ClientPacket, Context, service_of_agent};
use crate::flow_table::{FlowEntry, FlowStage};
use crate::packet::{FlowKey, PacketHeader};

/// After this long without an answer, a search continues with the next targets.
const SEARCH_STEP_TIMEOUT_MS: Millis = 120;
/// Maximum number of agents that a search packet visits in turn before it is returned. Nearly all
/// flows are held near the front of their rendezvous order, within the first path.
const MAX_PATH_LENGTH: usize = 8;
/// Factor by which the number of paths grows with each wave of a search, so that the duration of a
/// search grows with the logarithm of the number of targets.
const PATH_GROWTH_FACTOR: usize = 4;
/// Maximum number of paths in one wave, which bounds the packets sent at once. Four waves reach all
/// of 680 targets.
const MAX_PATHS: usize = 64;
/// Number of paths over which the agents of unanswered paths are spread when they are asked again.
/// If each were asked separately, the packets of one flow would fill a link of 10 Mbit/s for 12 ms
/// with 41 targets, and thousands of flows may be lost at once. Up to this many agents are asked
/// separately right away.
const RETRY_PATHS: usize = 4;
/// How long after the last target returned its packet a flow is given up, so that a target unknown
/// until then is asked too: a change known to one balancer reaches the others within a few
/// milliseconds. The client waits meanwhile, and after a total loss of state every flow incurs this
/// wait.
const GIVE_UP_AFTER_MS: Millis = 25;
/// Time after the store's data became fresh within which every agent has reported its co-located
/// target.
const REPORTS_COMPLETE_AFTER_MS: Millis = 250;

impl Balancer {
    /// Sends a packet of an unknown flow to the next targets that may hold it.
    pub(super) fn search(&mut self, context: &Context<'_>, header: &PacketHeader) -> Decision {
        let flow = header.client_flow();
        let Some(route) = context.view.route(header.destination) else {
            return Self::decide_without_route(context.view, header);
        };
        let is_in_progress =
            self.flows.get_mut(&flow).is_some_and(|entry| !entry.search_paths.is_empty());
        if is_in_progress {
            return Decision::Drop(DropReason::SearchGoesOn);
        }
        self.route_history.note(context.view);
        let untried = self.untried_search_targets(context, route, &flow);
        let Some(first) = untried.first() else {
            return self.end_failed_search(context, &flow, header);
        };
        let at_once = self.search_outcomes.are_mostly_unsuccessful(context.now);
        let paths = match self.flows.get_mut(&flow) {
            Some(entry) => next_paths(&untried, entry, at_once),
            None => next_paths(
                &untried,
                &FlowEntry::new(first.agent, FlowStage::NotFound, context.now),
                at_once,
            ),
        };
        if let Err(wait_ms) = self.search_budget.take(paths.len(), header.length, context.now) {
            self.assign_agent(flow, first.agent, FlowStage::NotFound, context.now);
            return Decision::Drop(DropReason::SearchWaits { wait_ms });
        }
        self.assign_agent(flow, first.agent, FlowStage::Searching, context.now);
        let decision = Decision::search(&paths, first.service);
        if let Some(entry) = self.flows.get_mut(&flow) {
            entry.search_paths = paths;
            entry.waves += 1;
        }
        decision
    }

    /// Sends a further packet of a flow along the path of the search in progress, if there is only
    /// one path. With more paths the packet is dropped, and the client retransmits it after the
    /// target is found.
    pub(super) fn join_search(&mut self, context: &Context<'_>, header: &PacketHeader) -> Decision {
        let flow = &header.client_flow();
        let Some(entry) = self.flows.get_mut(flow).filter(|entry| entry.search_paths.len() == 1)
        else {
            return Decision::Drop(DropReason::SearchGoesOn);
        };
        if self.search_budget.take(entry.search_paths.len(), header.length, context.now).is_err() {
            return Decision::Drop(DropReason::SearchGoesOn);
        }
        let service = service_of_agent(context.view, flow, entry.agent);
        Decision::search(&entry.search_paths, service)
    }

    /// Continues a search past targets that did not answer. Any agent of an unanswered path may be
    /// the unresponsive one, so all of them are asked again, on shorter paths.
    pub(super) fn search_past_unanswered(
        &mut self,
        context: &Context<'_>,
        header: &PacketHeader,
    ) -> Decision {
        let flow = header.client_flow();
        let search_paths =
            self.flows.get_mut(&flow).map(|entry| std::mem::take(&mut entry.search_paths));
        let (paths, single): (Vec<_>, Vec<_>) =
            search_paths.unwrap_or_default().into_iter().partition(|path| path.len() > 1);
        let unresponsive: Vec<Ipv4Addr> = single.into_iter().flatten().collect();
        for agent in &unresponsive {
            self.statuses.note_unanswered_search(*agent, context.now);
        }
        let route = context.view.route(flow.service);
        let may_hold = |agent: &&Ipv4Addr| {
            route.is_some_and(|route| !self.has_probably_ended(context, route, **agent))
        };
        let unanswered: Vec<Ipv4Addr> = unresponsive.iter().filter(may_hold).copied().collect();
        if let Some(entry) = self.flows.get_mut(&flow) {
            entry.tried.extend(unresponsive);
            entry.unanswered.extend(unanswered);
            entry.possibly_unresponsive = paths.into_iter().flatten().collect();
        }
        self.search(context, header)
    }

    /// Keeps a copy of a packet that searches for its target, or drops the copy if the search has
    /// ended.
    pub(super) fn keep_for_search(
        &mut self,
        decision: &Decision,
        packet: ClientPacket<'_>,
        context: &Context<'_>,
    ) {
        let flow = packet.header.client_flow();
        if *decision == Decision::Drop(DropReason::SearchGoesOn) {
            // The agents asked last still have time to answer.
            return;
        }
        let is_searching = match decision {
            Decision::Forward(forward) => forward.is_search(),
            Decision::Drop(DropReason::NobodyHoldsYet | DropReason::SearchWaits { .. }) => true,
            Decision::Drop(_) => false,
            Decision::Reset { .. } | Decision::HandOff { .. } | Decision::Queue { .. } => false,
        };
        if is_searching {
            let wait_ms = match decision {
                Decision::Drop(DropReason::SearchWaits { wait_ms }) => *wait_ms,
                _ => self.search_pause_ms(context, &flow),
            };
            self.searches.keep(flow, packet.header, packet.bytes, wait_ms, context.now);
        } else {
            self.searches.remove(&flow);
        }
    }

    /// Returns how long a search pauses before it continues: until the agents asked should have
    /// answered or, if all targets returned the packet, until they are asked once more.
    fn search_pause_ms(&mut self, context: &Context<'_>, flow: &FlowKey) -> Millis {
        let knows_all = self.knows_all_targets(context);
        let entry = self.flows.get_mut(flow).filter(|_| knows_all);
        let is_unheld = entry.is_some_and(|entry| {
            entry.stage == FlowStage::NotFound && entry.not_found_since.is_some()
        });
        if is_unheld { GIVE_UP_AFTER_MS } else { SEARCH_STEP_TIMEOUT_MS }
    }

    /// Whether this balancer knows of every target that may hold a flow.
    pub(super) fn knows_all_targets(&self, context: &Context<'_>) -> bool {
        context.fresh
            && context.knows_removed_targets
            && context.now >= self.store_fresh_at + REPORTS_COMPLETE_AFTER_MS
    }

    /// Returns the packets whose search got no answer in time, for [`Self::continue_search`].
    pub fn due_searches(&mut self, now: Millis) -> Vec<(PacketHeader, Vec<u8>)> {
        self.searches.take_due(now, SEARCH_STEP_TIMEOUT_MS)
    }

    /// Continues the search of a packet from [`Self::due_searches`].
    pub fn continue_search(&mut self, context: &Context<'_>, packet: ClientPacket<'_>) -> Decision {
        let flow = packet.header.client_flow();
        let stage = self.flows.get_mut(&flow).map(|entry| entry.stage);
        if !matches!(stage, Some(FlowStage::Searching | FlowStage::NotFound)) {
            self.searches.remove(&flow);
            return Decision::Drop(DropReason::SearchEnded);
        }
        let decision = self.decide_later_packet(context, packet.header);
        self.keep_for_search(&decision, packet, context);
        decision
    }

    /// Ends a search in which no known target turned out to hold the flow.
    fn end_failed_search(
        &mut self,
        context: &Context<'_>,
        flow: &FlowKey,
        header: &PacketHeader,
    ) -> Decision {
        let now = context.now;
        let knows_all = self.knows_all_targets(context);
        let Some(entry) = self.flows.get_mut(flow) else {
            return Decision::Drop(DropReason::NobodyHoldsYet);
        };
        entry.reset_search();
        entry.stage = FlowStage::NotFound;
        // A target that did not answer may hold the flow and is asked again. One that returned its
        // packet does not hold the flow and never will.
        if !entry.unanswered.is_empty() {
            for agent in std::mem::take(&mut entry.unanswered) {
                entry.tried.remove(&agent);
            }
            entry.not_found_since = None;
            return Decision::Drop(DropReason::NobodyHoldsYet);
        }
        if entry.not_found_since.is_none() {
            self.search_outcomes.note(true, now);
        }
        let first = *entry.not_found_since.get_or_insert(now);
        if knows_all && now.saturating_sub(first) >= GIVE_UP_AFTER_MS && !header.flags.rst {
            self.flows.remove(flow);
            let sequence = header.acknowledgment;
            return Decision::Reset { sequence, reason: ResetReason::NobodyHolds };
        }
        Decision::Drop(DropReason::NobodyHoldsYet)
    }
}

/// Returns the paths to search next: first the agents of unanswered paths, on shorter paths; then
/// agents not asked yet, on more paths with each wave, or on as many as possible if `at_once`. Once
/// all of these are used up, the unresponsive ones follow, each on a path of its own.
fn next_paths(untried: &[SearchTarget], entry: &FlowEntry, at_once: bool) -> Vec<Vec<Ipv4Addr>> {
    let answering = untried.iter().take_while(|target| !target.is_unresponsive);
    let (possibly_unresponsive, not_asked): (Vec<Ipv4Addr>, Vec<Ipv4Addr>) = answering
        .map(|target| target.agent)
        .partition(|agent| entry.possibly_unresponsive.contains(agent));
    if possibly_unresponsive.is_empty() && not_asked.is_empty() {
        return untried.iter().take(MAX_PATHS).map(|target| vec![target.agent]).collect();
    }
    let retry_path_length =
        possibly_unresponsive.len().div_ceil(RETRY_PATHS).clamp(1, MAX_PATH_LENGTH);
    let path_limit = PATH_GROWTH_FACTOR.saturating_pow(entry.waves).min(MAX_PATHS);
    let max_not_asked = if at_once { MAX_PATHS } else { path_limit };
    let paths = possibly_unresponsive
        .chunks(retry_path_length)
        .chain(not_asked.chunks(MAX_PATH_LENGTH).take(max_not_asked));
    paths.take(MAX_PATHS).map(<[Ipv4Addr]>::to_vec).collect()
}

/// Whether the agents asked last have had enough time to answer.
pub(super) fn has_timed_out(entry: &FlowEntry, now: Millis) -> bool {
    now.saturating_sub(entry.tried_at) >= SEARCH_STEP_TIMEOUT_MS
}
