//! Decisions about opening packets: who admits a new TCP flow.

use std::time::{Duration, Instant};

use weirhinge_config::TargetId;
use weirhinge_flow::admission::{
    AdmissionStep, BackEndLoad, Candidates, RefusalReason, decide_admission,
};
use weirhinge_flow::{DuePacket, FlowTable, HolderDirectory};
use weirhinge_packet::FlowKey;
use weirhinge_wire::{Delivery, Holding};

use super::{Arrival, Dispatch, Dispatcher, reset};

/// How long a fresh agent's back end takes to reach full speed.
const WARM_UP: Duration = Duration::from_secs(10);
/// How long a target is in the configuration before it takes flows: a change is
/// in force everywhere by then.
const JOIN_DELAY: Duration = Duration::from_secs(3);
/// Thousandths of full speed at which warming up starts.
const COLD_WARMTH: u32 = 100;
/// Thousandths of full speed of a warm back end.
const FULL_WARMTH: u32 = 1_000;

impl<H> Dispatcher<H> {
    /// An opening packet of a TCP flow that is not held here.
    pub(super) fn open_tcp(&mut self, arrival: &Arrival<'_>) -> Dispatch {
        if arrival.envelope.delivery == Delivery::Standby {
            return self.stand_by(arrival);
        }
        self.offer_tcp(arrival)
    }

    /// The balancer's copy of an opening packet for the bucket's deputy.
    pub(super) fn stand_by(&mut self, arrival: &Arrival<'_>) -> Dispatch {
        let key = arrival.view.key;
        let owner = self.owner(&key).filter(|&owner| owner != self.own_target);
        match owner {
            Some(_) if self.directory.has_claim(&key) => Dispatch::Drop("claimed"),
            Some(owner) if !self.standby.is_unresponsive(owner, arrival.now) => {
                self.standby.push(key, owner, arrival.envelope.packet, arrival.now);
                Dispatch::Learned
            }
            // The owner is silent, or this agent is the owner by now.
            _ => self.offer_tcp(arrival),
        }
    }

    /// When the next packet that this agent stands by for falls due.
    pub fn next_standby(&self) -> Option<Instant> {
        [self.standby.next_due(), self.offered.next_due()].into_iter().flatten().min()
    }

    /// Takes the next opening packet that its owner has left unclaimed.
    pub fn take_due_standby(&mut self, now: Instant) -> Option<DuePacket> {
        let (directory, flows) = (&self.directory, &mut self.flows);
        self.standby.take_due(now, |key| is_claimed(directory, flows, key, now))
    }

    /// Takes the next opening packet that this agent has offered and that none of
    /// the candidates has claimed. It is to be handled as [`Delivery::Assigned`].
    pub fn take_due_offer(&mut self, now: Instant) -> Option<DuePacket> {
        let (directory, flows) = (&self.directory, &mut self.flows);
        self.offered.take_due(now, |key| is_claimed(directory, flows, key, now))
    }

    /// Offers a new flow to its candidates, or admits it.
    pub(super) fn offer_tcp(&mut self, arrival: &Arrival<'_>) -> Dispatch {
        let first_hop = arrival.envelope.delivery == Delivery::Owner;
        let claim = self.directory.recent_claim(&arrival.view.key, arrival.now);
        if let (true, Some(claimant)) = (first_hop, claim) {
            return self.pass_on(arrival, claimant, Delivery::Assigned);
        }
        if let Err(error) = self.flows.check_insert(&arrival.view.key, arrival.now) {
            return Dispatch::Drop(error.name());
        }
        let step = decide_admission(
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
                self.await_candidates(arrival, to);
                self.pass_on(arrival, to, delivery)
            }
        }
    }

    /// Stands by for the candidates of a chain that starts here. An agent on the
    /// way that cannot be reached swallows the packet, and the deputy's chain
    /// meets the same agents: without this, the caller's own repetitions, each
    /// after twice the time, would be lost there too, and its first request would
    /// inherit their time-out of seconds. Only the owner and the deputy are told
    /// of claims; what others offer is left to the caller.
    fn await_candidates(&mut self, arrival: &Arrival<'_>, first: TargetId) {
        let starts_here =
            !matches!(arrival.envelope.delivery, Delivery::Offered(_) | Delivery::Assigned);
        let key = arrival.view.key;
        let is_told = [self.owner(&key), self.standby_owner(&key)].contains(&Some(self.own_target));
        if starts_here && is_told {
            self.offered.push(key, first, arrival.envelope.packet, arrival.now);
        }
    }

    /// Admits the flow, and claims it with the owner and the deputy of its bucket.
    /// Claims of others stay known: the caller may take up their answer, and its
    /// packets then belong to them.
    pub(super) fn admit(&self, arrival: &Arrival<'_>) -> Dispatch {
        let key = arrival.view.key;
        let (owner, standby_owner) = (self.owner(&key), self.standby_owner(&key));
        let announce = [owner, standby_owner]
            .into_iter()
            .filter_map(|target| self.announcement_to(target?, &key, Holding::Opening))
            .collect();
        Dispatch::Open { key, announce }
    }

    pub(super) fn refuse(&self, arrival: &Arrival<'_>, reason: RefusalReason) -> Dispatch {
        match arrival.view.tcp() {
            Some(segment) => reset(&arrival.view.key, segment, reason.name()),
            None => Dispatch::Drop(reason.name()),
        }
    }

    pub(super) fn own_load(&self, arrival: &Arrival<'_>) -> BackEndLoad {
        let suspect = self.suspect_until.is_some_and(|until| until > arrival.now);
        BackEndLoad {
            in_flight: arrival.in_flight,
            slots: arrival.own.slots,
            flows: u32::try_from(self.flows.len()).unwrap_or(u32::MAX),
            connections: arrival.own.connections,
            accepts: arrival.own.active
                && !self.stopping
                && !suspect
                && self.has_joined(arrival.now),
            speed_permille: speed_permille(arrival.now.saturating_duration_since(self.started)),
        }
    }

    /// Whether the target has been in the configuration for long enough that the
    /// service's other agents know it: one that does not would take this agent's
    /// flows for unknown.
    pub(super) fn has_joined(&self, now: Instant) -> bool {
        self.known_since.is_some_and(|since| now.saturating_duration_since(since) >= JOIN_DELAY)
    }

    pub(super) fn candidates_for(&self, arrival: &Arrival<'_>, limit: u8) -> Candidates<'_> {
        let service = self.view.own_service();
        Candidates {
            own: self.own_target,
            owner: self.owner(&arrival.view.key),
            active: service.map_or(&[], |service| &service.active),
            flow_hash: self.view.table.hasher().hash(&arrival.view.key),
            limit,
        }
    }
}

/// Whether somebody has admitted the flow: another agent, which has said so, or
/// this one, where it may have come to its end already.
fn is_claimed<H>(
    directory: &HolderDirectory,
    flows: &mut FlowTable<H>,
    key: &FlowKey,
    now: Instant,
) -> bool {
    directory.has_claim(key) || flows.get(key).is_some() || flows.is_quarantined(key, now)
}

fn speed_permille(age: Duration) -> u32 {
    if age >= WARM_UP {
        return FULL_WARMTH;
    }
    let gained = (FULL_WARMTH - COLD_WARMTH) as u128 * age.as_millis() / WARM_UP.as_millis();
    COLD_WARMTH + gained as u32
}
