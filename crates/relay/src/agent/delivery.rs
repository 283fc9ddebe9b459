//! The way of packets from peers to the target.

use std::io::ErrorKind;
use std::net::Ipv4Addr;
use std::rc::Rc;

use slog::info;
use weirhinge_fleet::{Millis, PeerMessage, ReturnReason, ServiceId, VersionedTarget, decode};
use weirhinge_steering::{
    Arrival, DeliveryDecision, OutputDecision, PacketHeader, PendingOpening, RestartCheck,
    WaitOutcome,
};

use super::Daemon;
use crate::platform::Platform;
use crate::receive::receive;

/// Flows that a target which started again is asked about at once, so that its input does
/// not overflow: all of 2,000 within two seconds, those whose clients wait first.
const CHECKS_AT_ONCE: usize = 64;

impl<P: Platform> Daemon<P> {
    pub(super) async fn take_peer_messages(self: Rc<Self>) {
        let take = |datagram: &mut [u8], sender| self.peer_message(datagram, sender);
        receive(self.link.socket(), take, || {}).await;
    }

    fn peer_message(&self, datagram: &[u8], sender: Ipv4Addr) {
        match decode(datagram) {
            Ok(PeerMessage::Digest(digest)) => {
                self.link.on_digest(&digest, sender);
                self.note_evacuation();
            }
            Ok(PeerMessage::Record(target)) => self.take_record(target),
            Ok(PeerMessage::Probe) => self.link.send(sender, &PeerMessage::ProbeAnswer),
            Ok(PeerMessage::Forward { service, search, may_wait, urgent, granted, packet }) => {
                match self.platform.decode(packet) {
                    Ok(header) => self.deliver(&Arrival {
                        header: &header,
                        packet,
                        balancer: search
                            .as_ref()
                            .map_or(sender, |path| Ipv4Addr::from_bits(path.balancer)),
                        service: ServiceId(service),
                        search: search.as_ref().map(|path| path.next.as_slice()),
                        may_wait,
                        urgent,
                        granted,
                    }),
                    Err(malformed) => self.metrics.dropped.increment(malformed.label()),
                }
            }
            Ok(PeerMessage::Demand { service, demand }) => {
                self.take_demand(sender, ServiceId(service), demand);
            }
            Ok(PeerMessage::Declined) => self.take_declined(sender),
            Ok(_) => self.link.refuse_unexpected(),
            Err(error) => self.link.refuse(error),
        }
    }

    fn take_record(&self, target: VersionedTarget) {
        let is_own = target.record.as_ref().is_some_and(|known| known.machine() == self.address);
        if !is_own {
            return self.link.refuse_unexpected();
        }
        self.node.borrow_mut().apply_record(target, self.clock.now());
        self.learn_target();
    }

    pub(super) fn deliver(&self, arrival: &Arrival<'_>) {
        let now = self.clock.now();
        if arrival.header.is_opening() && !self.core.borrow().has_known_slots() {
            self.learn_target();
        }
        let decision = self.core.borrow_mut().delivery(arrival, now);
        match decision {
            DeliveryDecision::Deliver { echo, notice } => {
                self.hand_labelled(arrival.header, arrival.packet, echo, now);
                if let Some(notice) = notice {
                    self.send_notice(&notice, now);
                }
            }
            DeliveryDecision::Return(reason) => {
                let (header, packet, balancer) = (arrival.header, arrival.packet, arrival.balancer);
                let granted = arrival.granted.is_some();
                self.return_packet(header, packet, balancer, reason, granted, now);
            }
            DeliveryDecision::Wait { displaced } => {
                if let Some(opening) = displaced {
                    self.return_opening(&opening, ReturnReason::Busy, now);
                }
                let load = self.core.borrow().load(now);
                self.metrics.openings_waited.inc();
                self.decisions.waits(&arrival.header.client_flow(), load.waiting, now);
                self.link.send(arrival.balancer, &PeerMessage::Waits { load });
            }
            DeliveryDecision::AlreadyWaiting => {}
        }
        if arrival.granted.is_some() {
            self.settle_openings();
        }
    }

    /// Lets opening packets that wait go on as far as there is room, and gives room to
    /// balancers at which some wait.
    pub(super) fn settle_openings(&self) {
        let now = self.clock.now();
        loop {
            let settled = self.settle_outcome(now);
            let granted = self.grant_room(now);
            if !settled && !granted {
                break;
            }
        }
        self.report_lapsed(now);
    }

    /// Carries out the next outcome of an opening packet that waits here, if there is one.
    fn settle_outcome(&self, now: Millis) -> bool {
        let outcome = self.core.borrow_mut().next_outcome(now);
        match outcome {
            None => return false,
            Some(WaitOutcome::Deliver(opening, echo)) => {
                self.hand_labelled(&opening.header, &opening.packet, echo, now);
            }
            Some(WaitOutcome::Return(opening, reason)) => {
                self.return_opening(&opening, reason, now);
            }
        }
        true
    }

    /// Sends an opening packet back that waited here; none that came with a grant waits.
    fn return_opening(&self, opening: &PendingOpening, reason: ReturnReason, now: Millis) {
        let (header, packet) = (&opening.header, &opening.packet);
        self.return_packet(header, packet, opening.balancer, reason, false, now);
    }

    /// Asks a target that started again about some of the flows that it may have lost.
    pub(super) fn check_flows(&self) {
        let now = self.clock.now();
        for _ in 0..CHECKS_AT_ONCE {
            let Some(RestartCheck { flow, mut packet, echo }) =
                self.core.borrow_mut().next_restart_check()
            else {
                return;
            };
            self.platform.write_echo(&mut packet, echo);
            if !self.hand_to_target(&packet) {
                let decision = self.core.borrow_mut().handle_undelivered(&flow, echo);
                if let OutputDecision::Reset { sequence } = decision {
                    self.reset_lost(&flow, sequence, now);
                }
            }
        }
    }

    fn hand_labelled(&self, header: &PacketHeader, packet: &[u8], echo: u32, now: Millis) {
        let mut labelled = packet.to_vec();
        self.platform.write_echo(&mut labelled, echo);
        if !self.hand_to_target(&labelled) {
            // Its port is closed: the packet is as good for another target as one
            // that the target itself sends back.
            let decision = self.core.borrow_mut().handle_undelivered(&header.client_flow(), echo);
            self.carry_on(decision, header, packet, now);
        }
    }

    /// Whether the target's port is not known to be closed; an error is that of an
    /// earlier packet.
    fn hand_to_target(&self, packet: &[u8]) -> bool {
        match self.target.try_send(packet) {
            Ok(_) => {
                self.metrics.delivered.inc();
                if self.target_gone.replace(false) {
                    info!(self.log, "agent: target regained"; "event" => "target_regained");
                }
                true
            }
            Err(error) => {
                self.metrics.dropped.increment("target_gone");
                if !self.target_gone.replace(true) {
                    info!(self.log, "agent: target lost"; "event" => "target_lost",
                        "reason" => error.to_string());
                }
                error.kind() != ErrorKind::ConnectionRefused
            }
        }
    }

    pub(super) fn return_packet(
        &self,
        header: &PacketHeader,
        packet: &[u8],
        balancer: Ipv4Addr,
        reason: ReturnReason,
        granted: bool,
        now: Millis,
    ) {
        let label = match reason {
            ReturnReason::Bounced => "bounced",
            ReturnReason::OtherService => "other_service",
            ReturnReason::Leaving => "leaving",
            ReturnReason::Evacuated => "evacuated",
            ReturnReason::Failing => "failing",
            ReturnReason::Busy => "busy",
        };
        self.metrics.returned.increment(label);
        self.decisions.returned(&header.client_flow(), label, header.is_opening(), now);
        let load = self.core.borrow().load(now);
        self.link.send(balancer, &PeerMessage::Returned { reason, granted, load, packet });
    }
}
