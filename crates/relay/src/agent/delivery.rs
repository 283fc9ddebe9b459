//! Receives messages from peers and delivers client packets to the target.

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

/// Restart checks sent per poll. The limit keeps the target's input from overflowing: 2,000
/// flows are checked within two seconds, those with waiting clients first.
const RESTART_CHECKS_PER_POLL: usize = 64;

impl<P: Platform> Daemon<P> {
    pub(super) async fn receive_peer_messages(self: Rc<Self>) {
        let handle = |datagram: &mut [u8], sender| self.handle_peer_message(datagram, sender);
        receive(self.link.socket(), handle, || {}).await;
    }

    fn handle_peer_message(&self, datagram: &[u8], sender: Ipv4Addr) {
        match decode(datagram) {
            Ok(PeerMessage::Digest(digest)) => {
                self.link.on_digest(&digest, sender);
                self.update_evacuation();
            }
            Ok(PeerMessage::Record(target)) => self.handle_record(target),
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
            Ok(PeerMessage::ReplicaRequest { position, age_ms }) => {
                self.link.on_replica_request(sender, position, age_ms);
            }
            Ok(PeerMessage::Demand { service, demand }) => {
                self.handle_demand(sender, ServiceId(service), demand);
            }
            Ok(PeerMessage::Declined) => self.handle_declined(sender),
            Ok(_) => self.link.count_unexpected(),
            Err(error) => self.link.count_undecodable(error),
        }
    }

    fn handle_record(&self, target: VersionedTarget) {
        let is_own = target.record.as_ref().is_some_and(|known| known.machine() == self.address);
        if !is_own {
            return self.link.count_unexpected();
        }
        self.node.borrow_mut().apply_record(target, self.clock.now());
        self.update_target();
    }

    pub(super) fn deliver(&self, arrival: &Arrival<'_>) {
        let now = self.clock.now();
        if arrival.header.is_opening() && !self.core.borrow().has_known_slots() {
            self.update_target();
        }
        let decision = self.core.borrow_mut().delivery(arrival, now);
        match decision {
            DeliveryDecision::Deliver { echo, notice } => {
                self.deliver_with_echo(arrival.header, arrival.packet, echo, now);
                if let Some(notice) = notice {
                    self.send_holds_notice(&notice, now);
                }
            }
            DeliveryDecision::Return(reason) => {
                let (header, packet, balancer) = (arrival.header, arrival.packet, arrival.balancer);
                let granted = arrival.granted.is_some();
                self.return_packet(header, packet, balancer, reason, granted, now);
            }
            DeliveryDecision::Wait { displaced } => {
                if let Some(opening) = displaced {
                    self.return_pending_opening(&opening, ReturnReason::Busy, now);
                }
                let load = self.core.borrow().load(now);
                self.metrics.openings_waited.inc();
                self.decisions.waits(&arrival.header.client_flow(), load.waiting, now);
                self.link.send(arrival.balancer, &PeerMessage::Waits { load });
            }
            DeliveryDecision::AlreadyWaiting => {}
        }
        if arrival.granted.is_some() {
            self.process_pending_openings();
        }
    }

    /// Delivers or returns pending opening packets as capacity permits, and grants capacity to
    /// balancers at which openings wait.
    pub(super) fn process_pending_openings(&self) {
        let now = self.clock.now();
        loop {
            let applied = self.apply_next_outcome(now);
            let granted = self.send_next_grant(now);
            if !applied && !granted {
                break;
            }
        }
        self.report_lapsed_grants(now);
    }

    /// Applies the next outcome of a pending opening packet. Returns whether there was one.
    fn apply_next_outcome(&self, now: Millis) -> bool {
        let outcome = self.core.borrow_mut().next_outcome(now);
        match outcome {
            None => return false,
            Some(WaitOutcome::Deliver(opening, echo)) => {
                self.deliver_with_echo(&opening.header, &opening.packet, echo, now);
            }
            Some(WaitOutcome::Return(opening, reason)) => {
                self.return_pending_opening(&opening, reason, now);
            }
        }
        true
    }

    /// Returns a pending opening packet to its balancer. An opening packet that came with a grant
    /// is never pending.
    fn return_pending_opening(&self, opening: &PendingOpening, reason: ReturnReason, now: Millis) {
        let (header, packet) = (&opening.header, &opening.packet);
        self.return_packet(header, packet, opening.balancer, reason, false, now);
    }

    /// After a restart of the target, sends it one packet of each of the next flows that it may
    /// have lost.
    pub(super) fn check_flows_after_restart(&self) {
        let now = self.clock.now();
        for _ in 0..RESTART_CHECKS_PER_POLL {
            let Some(RestartCheck { flow, mut packet, echo }) =
                self.core.borrow_mut().next_restart_check()
            else {
                return;
            };
            self.platform.write_echo(&mut packet, echo);
            if !self.send_to_target(&packet) {
                let decision = self.core.borrow_mut().handle_undelivered(&flow, echo);
                if let OutputDecision::Reset { sequence } = decision {
                    self.reset_lost_flow(&flow, sequence, now);
                }
            }
        }
    }

    fn deliver_with_echo(&self, header: &PacketHeader, packet: &[u8], echo: u32, now: Millis) {
        let mut labeled = packet.to_vec();
        self.platform.write_echo(&mut labeled, echo);
        if !self.send_to_target(&labeled) {
            // The target's port is closed, so that another target may take the packet just
            // like one that the target itself bounces.
            let decision = self.core.borrow_mut().handle_undelivered(&header.client_flow(), echo);
            self.execute_decision(decision, header, packet, now);
        }
    }

    /// Sends a packet to the target. Returns false if the target's port is known to be closed;
    /// the socket reports this for an earlier packet.
    fn send_to_target(&self, packet: &[u8]) -> bool {
        match self.target.try_send(packet) {
            Ok(_) => {
                self.metrics.delivered.inc();
                if self.target_unreachable.replace(false) {
                    info!(self.log, "agent: target regained"; "event" => "target_regained");
                }
                true
            }
            Err(error) => {
                self.metrics.dropped.increment("target_gone");
                if !self.target_unreachable.replace(true) {
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
