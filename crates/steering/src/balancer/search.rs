//! The search for the target that holds a flow which this balancer does not know.

use std::net::Ipv4Addr;

use weirhinge_fleet::Millis;

use super::decision::{Decision, DropReason, ResetReason};
use super::search_order::SearchPlace;
use super::{Balancer, ClientPacket, Context, service_of};
use crate::flow_table::{FlowEntry, FlowStage};
use crate::packet::{FlowKey, PacketHeader};

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
impl Balancer {
    /// Sends a packet of an unknown flow to the next targets that may hold it.
    pub(super) fn search(&mut self, context: &Context<'_>, header: &PacketHeader) -> Decision {
        let flow = header.client_flow();
        let Some(route) = context.view.route(header.destination) else {
            return Self::without_route(context.view, header);
        };
        let is_under_way =
            self.flows.get_mut(&flow).is_some_and(|entry| !entry.search_paths.is_empty());
        if is_under_way {
            return Decision::Drop(DropReason::SearchGoesOn);
        }
        self.route_history.note(context.view);
        let untried = self.untried_places(context, route, &flow);
        let Some(first) = untried.first() else {
            return self.search_failed(context, &flow, header);
        };
        let at_once = self.search_outcomes.are_mostly_unsuccessful(context.now);
        let rows = match self.flows.get_mut(&flow) {
            Some(entry) => next_rows(&untried, entry, at_once),
            None => next_rows(
                &untried,
                &FlowEntry::new(first.agent, FlowStage::NotFound, context.now),
                at_once,
            ),
        };
        if let Err(wait_ms) = self.search_budget.take(rows.len(), header.length, context.now) {
            self.go_to(flow, first.agent, FlowStage::NotFound, context.now);
            return Decision::Drop(DropReason::SearchWaits { wait_ms });
        }
        self.go_to(flow, first.agent, FlowStage::Searching, context.now);
        let decision = Decision::search(&rows, first.service);
        if let Some(entry) = self.flows.get_mut(&flow) {
            entry.search_paths = rows;
            entry.waves += 1;
        }
        decision
    }

    /// Sends a further packet of a flow the way of the search under way, while that is
    /// one row. With more rows its client sends it again when the target is found.
    pub(super) fn join_search(&mut self, context: &Context<'_>, header: &PacketHeader) -> Decision {
        let flow = &header.client_flow();
        let Some(entry) = self.flows.get_mut(flow).filter(|entry| entry.search_paths.len() == 1)
        else {
            return Decision::Drop(DropReason::SearchGoesOn);
        };
        if self.search_budget.take(entry.search_paths.len(), header.length, context.now).is_err() {
            return Decision::Drop(DropReason::SearchGoesOn);
        }
        let service = service_of(context.view, flow, entry.agent);
        Decision::search(&entry.search_paths, service)
    }

    /// Goes past targets that did not answer. Any of a row may be the one that does not:
    /// all of the row are asked again, in shorter rows.
    pub(super) fn search_past_silence(
        &mut self,
        context: &Context<'_>,
        header: &PacketHeader,
    ) -> Decision {
        let flow = header.client_flow();
        let search_paths =
            self.flows.get_mut(&flow).map(|entry| std::mem::take(&mut entry.search_paths));
        let (rows, alone): (Vec<_>, Vec<_>) =
            search_paths.unwrap_or_default().into_iter().partition(|row| row.len() > 1);
        let silent: Vec<Ipv4Addr> = alone.into_iter().flatten().collect();
        for agent in &silent {
            self.statuses.note_unanswered_search(*agent, context.now);
        }
        let route = context.view.route(flow.service);
        let may_hold = |agent: &&Ipv4Addr| {
            route.is_some_and(|route| !self.may_be_gone(context, route, **agent))
        };
        let unanswered: Vec<Ipv4Addr> = silent.iter().filter(may_hold).copied().collect();
        if let Some(entry) = self.flows.get_mut(&flow) {
            entry.tried.extend(silent);
            entry.unanswered.extend(unanswered);
            entry.possibly_unresponsive = rows.into_iter().flatten().collect();
        }
        self.search(context, header)
    }

    /// Keeps a copy of a packet that looks for its target, or drops the copy when
    /// the search has ended.
    pub(super) fn keep_for_search(
        &mut self,
        decision: &Decision,
        packet: ClientPacket<'_>,
        context: &Context<'_>,
    ) {
        let flow = packet.header.client_flow();
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
            self.searches.keep(flow, packet.header, packet.bytes, wait_ms, context.now);
        } else {
            self.searches.remove(&flow);
        }
    }

    /// How long a search rests before it goes on: for an answer of the agent asked,
    /// or, when all targets sent the packet back, until they are asked once more.
    fn wait_of_search(&mut self, context: &Context<'_>, flow: &FlowKey) -> Millis {
        let certain = self.knows_all_targets(context);
        let entry = self.flows.get_mut(flow).filter(|_| certain);
        let is_unheld = entry.is_some_and(|entry| {
            entry.stage == FlowStage::NotFound && entry.not_found_since.is_some()
        });
        if is_unheld { GIVE_UP_AFTER_MS } else { SEARCH_STEP_MS }
    }

    /// Whether no target can hold a flow that this balancer does not know of.
    pub(super) fn knows_all_targets(&self, context: &Context<'_>) -> bool {
        context.fresh && context.now >= self.regained_at + CLAIMS_KNOWN_MS
    }

    /// The packets whose search got no answer in time, for [`Self::search_again`].
    pub fn due_searches(&mut self, now: Millis) -> Vec<(PacketHeader, Vec<u8>)> {
        self.searches.take_due(now, SEARCH_STEP_MS)
    }

    /// Goes on with the search of a packet from [`Self::due_searches`].
    pub fn search_again(&mut self, context: &Context<'_>, packet: ClientPacket<'_>) -> Decision {
        let flow = packet.header.client_flow();
        let stage = self.flows.get_mut(&flow).map(|entry| entry.stage);
        if !matches!(stage, Some(FlowStage::Searching | FlowStage::NotFound)) {
            self.searches.remove(&flow);
            return Decision::Drop(DropReason::SearchEnded);
        }
        let decision = self.later_packet(context, packet.header);
        self.keep_for_search(&decision, packet, context);
        decision
    }

    /// No target that is known holds the flow.
    fn search_failed(
        &mut self,
        context: &Context<'_>,
        flow: &FlowKey,
        header: &PacketHeader,
    ) -> Decision {
        let now = context.now;
        let certain = self.knows_all_targets(context);
        let Some(entry) = self.flows.get_mut(flow) else {
            return Decision::Drop(DropReason::NobodyHoldsYet);
        };
        entry.reset_search();
        entry.stage = FlowStage::NotFound;
        // A target that did not answer may hold the flow, and is asked again. One that
        // sent its packet back does not, and never will.
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
        if certain && now.saturating_sub(first) >= GIVE_UP_AFTER_MS && !header.flags.rst {
            self.flows.remove(flow);
            let sequence = header.acknowledgment;
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
    let (possibly_unresponsive, fresh): (Vec<Ipv4Addr>, Vec<Ipv4Addr>) = answering
        .map(|place| place.agent)
        .partition(|agent| entry.possibly_unresponsive.contains(agent));
    if possibly_unresponsive.is_empty() && fresh.is_empty() {
        return untried.iter().take(MOST_ROWS).map(|place| vec![place.agent]).collect();
    }
    let shorter = possibly_unresponsive.len().div_ceil(ROWS_AFTER_SILENCE).clamp(1, ASKED_IN_TURN);
    let growing = ROWS_GROWTH.saturating_pow(entry.waves).min(MOST_ROWS);
    let most_fresh = if at_once { MOST_ROWS } else { growing };
    let rows =
        possibly_unresponsive.chunks(shorter).chain(fresh.chunks(ASKED_IN_TURN).take(most_fresh));
    rows.take(MOST_ROWS).map(<[Ipv4Addr]>::to_vec).collect()
}

/// Whether the target asked last has had its time to answer.
pub(super) fn is_stalled(entry: &FlowEntry, now: Millis) -> bool {
    now.saturating_sub(entry.tried_at) >= SEARCH_STEP_MS
}
