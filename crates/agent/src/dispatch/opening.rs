//! Decisions about opening packets: which agent admits a new TCP flow.

use std::time::{Duration, Instant};

use weirhinge_config::TargetId;
use weirhinge_flow::admission::{
    AdmissionStep, BackEndLoad, Candidates, RefusalReason, decide_admission,
};
use weirhinge_flow::{DuePacket, FlowTable, HolderDirectory};
use weirhinge_packet::FlowKey;
use weirhinge_wire::{Delivery, Holding};

use super::{Arrival, Decision, Dispatcher, reset};

/// Time after the agent's start until its back end counts as running at full speed.
const WARM_UP: Duration = Duration::from_secs(10);
/// How long a target is in the configuration before it accepts flows. By then the change is in
/// effect everywhere.
const JOIN_DELAY: Duration = Duration::from_secs(3);
/// Speed at which warming up starts, in thousandths of full speed.
const COLD_SPEED_PERMILLE: u32 = 100;
/// Speed of a warm back end, in thousandths of full speed.
const FULL_SPEED_PERMILLE: u32 = 1_000;

impl<H> Dispatcher<H> {
    /// Handles an opening packet of a TCP flow that is not held here.
    pub(super) fn handle_opening_tcp(&mut self, arrival: &Arrival<'_>) -> Decision {
        if arrival.envelope.delivery == Delivery::Standby {
            return self.queue_standby(arrival);
        }
        self.admit_or_pass_on(arrival)
    }

    /// Handles the copy of an opening packet that the balancer sends to the bucket's standby owner.
    /// The copy is dropped if the flow is claimed. It is queued otherwise, unless the owner is
    /// unresponsive or is this agent itself: then the flow is decided about at once.
    pub(super) fn queue_standby(&mut self, arrival: &Arrival<'_>) -> Decision {
        let key = arrival.view.key;
        let owner = self.owner(&key).filter(|&owner| owner != self.own_target);
        match owner {
            Some(_) if self.directory.has_claim(&key) => Decision::Drop("claimed"),
            Some(owner) if !self.standby.is_unresponsive(owner, arrival.now) => {
                self.standby.push(key, owner, arrival.envelope.packet, arrival.now);
                Decision::Recorded
            }
            // The owner is unresponsive, or this agent has become the owner.
            _ => self.admit_or_pass_on(arrival),
        }
    }

    /// Returns when the next queued opening packet (standby copy or offer) is due.
    pub fn next_due(&self) -> Option<Instant> {
        [self.standby.next_due(), self.offered_openings.next_due()].into_iter().flatten().min()
    }

    /// Takes the next due standby copy whose flow no agent has claimed.
    pub fn take_due_standby(&mut self, now: Instant) -> Option<DuePacket> {
        let (directory, flows) = (&self.directory, &mut self.flows);
        self.standby.take_due(now, |key| is_claimed(directory, flows, key, now))
    }

    /// Takes the next due opening packet that this agent has offered and whose flow no candidate
    /// has claimed. The caller must handle it as [`Delivery::Assigned`].
    pub fn take_due_offer(&mut self, now: Instant) -> Option<DuePacket> {
        let (directory, flows) = (&self.directory, &mut self.flows);
        self.offered_openings.take_due(now, |key| is_claimed(directory, flows, key, now))
    }

    /// Admits or refuses a new flow, or passes it on to a candidate.
    pub(super) fn admit_or_pass_on(&mut self, arrival: &Arrival<'_>) -> Decision {
        let first_hop = arrival.envelope.delivery == Delivery::Owner;
        let claim = self.directory.recent_claim(&arrival.view.key, arrival.now);
        if let (true, Some(claimant)) = (first_hop, claim) {
            return self.pass_on(arrival, claimant, Delivery::Assigned);
        }
        if let Err(error) = self.flows.check_insert(&arrival.view.key, arrival.now) {
            return Decision::Drop(error.name());
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
                if first_hop && !self.recently_passed_on.insert(arrival.view.key, arrival.now) {
                    return Decision::Drop("repeated_opening");
                }
                self.keep_offered_opening(arrival, to);
                self.pass_on(arrival, to, delivery)
            }
        }
    }

    /// Keeps the opening packet of a chain of offers that starts here, in case no candidate claims
    /// the flow.
    ///
    /// An unreachable agent in the chain loses the packet, and the standby owner's chain visits the
    /// same agents. Without this queue, the client's retransmissions, each after twice the previous
    /// delay, would be lost there too, and its first request would inherit their timeout of
    /// seconds. Only the owner and the standby owner receive claims; for flows offered by other
    /// agents, the client has to retransmit.
    fn keep_offered_opening(&mut self, arrival: &Arrival<'_>, first: TargetId) {
        let starts_here =
            !matches!(arrival.envelope.delivery, Delivery::Offered(_) | Delivery::Assigned);
        let key = arrival.view.key;
        let receives_claims =
            [self.owner(&key), self.standby_owner(&key)].contains(&Some(self.own_target));
        if starts_here && receives_claims {
            self.offered_openings.push(key, first, arrival.envelope.packet, arrival.now);
        }
    }

    /// Admits the flow and announces the claim to the owner and the standby owner of its bucket.
    /// Claims of other agents stay recorded: the client may take up another claimant's answer, and
    /// then its packets belong to that claimant.
    pub(super) fn admit(&self, arrival: &Arrival<'_>) -> Decision {
        let key = arrival.view.key;
        let (owner, standby_owner) = (self.owner(&key), self.standby_owner(&key));
        let announce = [owner, standby_owner]
            .into_iter()
            .filter_map(|target| self.announcement_to(target?, &key, Holding::Opening))
            .collect();
        Decision::Open { key, announce }
    }

    pub(super) fn refuse(&self, arrival: &Arrival<'_>, reason: RefusalReason) -> Decision {
        match arrival.view.tcp() {
            Some(segment) => reset(&arrival.view.key, segment, reason.name()),
            None => Decision::Drop(reason.name()),
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

    /// Whether the target has been in the configuration long enough for the service's other agents
    /// to know it. An agent that does not know it yet would treat this target's flows as unknown.
    pub(super) fn has_joined(&self, now: Instant) -> bool {
        self.configured_since
            .is_some_and(|since| now.saturating_duration_since(since) >= JOIN_DELAY)
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

/// Whether an agent has admitted the flow: another agent that has claimed it, or this one, where
/// the flow may have ended already.
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
        return FULL_SPEED_PERMILLE;
    }
    let gained_permille =
        (FULL_SPEED_PERMILLE - COLD_SPEED_PERMILLE) as u128 * age.as_millis() / WARM_UP.as_millis();
    COLD_SPEED_PERMILLE + gained_permille as u32
}
