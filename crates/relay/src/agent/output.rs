//! Handles packets from the target: those for clients, and bounced ones.

use std::net::SocketAddrV4;
use std::rc::Rc;

use slog::info;
use weirhinge_fleet::{Millis, PeerMessage, ReturnReason, ServiceId};
use weirhinge_steering::{BreakerChange, FlowKey, HoldsNotice, OutputDecision, PacketHeader};

use super::Daemon;
use crate::platform::Platform;
use crate::receive::receive;

impl<P: Platform> Daemon<P> {
    pub(super) async fn receive_output(self: Rc<Self>) {
        let handle = |packet: &mut [u8], _| self.handle_target_packet(packet);
        let after_batch = || {
            self.process_pending_openings();
            self.report_search_results();
        };
        receive(&self.output, handle, after_batch).await;
    }

    fn handle_target_packet(&self, packet: &mut [u8]) {
        let now = self.clock.now();
        let header = match self.platform.decode(packet) {
            Ok(header) => header,
            Err(malformed) => return self.metrics.dropped.increment(malformed.label()),
        };
        if let Some(status) = self.platform.answer_status(packet) {
            self.core.borrow_mut().record_answer_status(&header.target_flow(), status, now);
        }
        let decision = self.core.borrow_mut().output(&header, now);
        self.report_breaker_change();
        match decision {
            OutputDecision::ToClient { notice } => {
                let client = SocketAddrV4::new(*header.destination.ip(), self.client_port);
                // A datagram that is lost here is retransmitted by the target.
                let _ = self.output.try_send_to(packet, client.into());
                self.metrics.to_clients.inc();
                if let Some(notice) = notice {
                    self.send_holds_notice(&notice, now);
                }
            }
            undelivered => {
                self.platform.restore_bounced(packet);
                self.execute_decision(undelivered, &header, packet, now);
            }
        }
    }

    /// Logs and counts a change of the circuit breaker, which keeps new flows from a failing
    /// target.
    fn report_breaker_change(&self) {
        match self.core.borrow_mut().take_breaker_change() {
            None => {}
            Some(BreakerChange::Opened { consecutive, recent, span_ms }) => {
                self.metrics.ejections.inc();
                self.metrics.ejected.set(1);
                info!(self.log, "agent: target ejected"; "event" => "target_ejected",
                    "failures_in_a_row" => consecutive, "failures_of_16" => recent,
                    "span_ms" => span_ms);
            }
            Some(BreakerChange::Closed) => {
                self.metrics.ejected.set(0);
                info!(self.log, "agent: target readmitted"; "event" => "target_readmitted");
            }
        }
    }

    /// Executes the decision about a packet that the target did not take.
    pub(super) fn execute_decision(
        &self,
        decision: OutputDecision,
        header: &PacketHeader,
        packet: &[u8],
        now: Millis,
    ) {
        match decision {
            OutputDecision::Return { balancer, granted } => {
                let reason = ReturnReason::Bounced;
                self.return_packet(header, packet, balancer, reason, granted, now);
            }
            OutputDecision::PassOn { agent, path } => {
                self.metrics.returned.increment("passed_on");
                self.decisions.passed_on(&header.client_flow(), agent, path.next.len(), now);
                let message = PeerMessage::Forward {
                    service: ServiceId::of(&self.service).0,
                    search: Some(path),
                    may_wait: false,
                    urgent: false,
                    granted: None,
                    packet,
                };
                self.link.send(agent, &message);
            }
            OutputDecision::Reset { sequence } => {
                self.reset_lost_flow(&header.client_flow(), sequence, now)
            }
            OutputDecision::ToClient { .. } => {}
            OutputDecision::Drop(_) => self.metrics.dropped.increment("unknown_delivery"),
        }
    }

    /// Resets a flow that the target lost when it restarted.
    pub(super) fn reset_lost_flow(&self, flow: &FlowKey, sequence: u32, now: Millis) {
        self.metrics.flows_reset.inc();
        self.decisions.reset_lost(flow, now);
        let reset = self.platform.build_reset(flow, sequence);
        let client = SocketAddrV4::new(*flow.client.ip(), self.client_port);
        // If this datagram is lost, the search for the client's next packet finds no holder.
        let _ = self.output.try_send_to(&reset, client.into());
    }

    /// Notifies balancers of searched flows that the target was found to hold.
    pub(super) fn report_search_results(&self) {
        let now = self.clock.now();
        loop {
            let found = self.core.borrow_mut().next_search_notice(now);
            match found {
                Some(notice) => self.send_holds_notice(&notice, now),
                None => return,
            }
        }
    }

    /// Notifies a balancer that the target holds a flow.
    pub(super) fn send_holds_notice(&self, notice: &HoldsNotice, now: Millis) {
        let load = self.core.borrow().load(now);
        self.decisions.answered(&notice.flow, notice.confirmed, load.waiting, now);
        let flow = notice.flow;
        let message = PeerMessage::Holds {
            client: (flow.client.ip().to_bits(), flow.client.port()),
            service: (flow.service.ip().to_bits(), flow.service.port()),
            confirmed: notice.confirmed,
            load,
        };
        self.link.send(notice.balancer, &message);
    }
}
