//! The task of one TCP flow.

use std::time::Duration;

use tokio::sync::mpsc;
use weirhinge_flow::RefusalReason;
use weirhinge_packet::FlowKey;
use weirhinge_stack::{BufferSizes, EndpointOptions, FlowObserver, SpliceEnd, TcpEndpoint, splice};

use crate::back_end;
use crate::fabric::FabricSink;
use crate::load::FlowInFlight;
use crate::run::FlowEvent;
use crate::timestamps;
use crate::view::OwnTarget;

/// Buffers of one flow, in bytes. Most flows are idle feeds: small buffers
/// keep 2,778 flows per target cheap.
const BUFFERS: BufferSizes = BufferSizes { receive: 4 << 10, send: 16 << 10 };
/// Longest time from the opening packet to the end of the handshake.
const HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(3);

/// What a flow's task needs.
pub(crate) struct TcpFlow {
    pub(crate) key: FlowKey,
    pub(crate) own: OwnTarget,
    pub(crate) opening_packet: Vec<u8>,
    pub(crate) packets: mpsc::Receiver<Vec<u8>>,
    pub(crate) sink: FabricSink,
    pub(crate) in_flight: FlowInFlight,
    pub(crate) events: mpsc::UnboundedSender<FlowEvent>,
    /// Seed of the initial sequence number, from the system's secure source.
    pub(crate) seed: u64,
}

struct Observer {
    key: FlowKey,
    in_flight: Option<FlowInFlight>,
    events: mpsc::UnboundedSender<FlowEvent>,
}

impl FlowObserver for Observer {
    fn established(&mut self) {
        // The main loop is gone only when the process is ending.
        let _ = self.events.send(FlowEvent::Opened(self.key));
    }

    fn peer_sent(&mut self) {
        if let Some(in_flight) = &mut self.in_flight {
            in_flight.caller_sent();
        }
    }

    fn stream_sent(&mut self) {
        if let Some(in_flight) = &mut self.in_flight {
            in_flight.back_end_sent();
        }
    }

    fn finished(&mut self) {
        self.in_flight = None;
    }
}

impl TcpFlow {
    /// Connects to the back end, then answers the caller and carries bytes
    /// until the flow ends. Reports the end as an event.
    pub(crate) async fn run(self) {
        let key = self.key;
        let events = self.events.clone();
        let event = match self.carry().await {
            Ok(end) => FlowEvent::Ended { key, end },
            Err(unopened) => unopened,
        };
        let _ = events.send(event);
    }

    async fn carry(mut self) -> Result<SpliceEnd, FlowEvent> {
        let stream = match back_end::connect_tcp(&self.own, &self.key).await {
            Ok(stream) => stream,
            Err(reason) => return Err(self.unopened(reason)),
        };
        let options =
            EndpointOptions { buffers: BUFFERS, seed: self.seed, timestamps: timestamps::now };
        let Ok(mut endpoint) = TcpEndpoint::listen(self.key.destination, options) else {
            return Err(self.unopened(RefusalReason::BackEndRefused));
        };
        endpoint.receive(self.opening_packet);
        let observer =
            Observer { key: self.key, in_flight: Some(self.in_flight), events: self.events };
        let packets = &mut self.packets;
        Ok(splice(endpoint, stream, packets, self.sink, observer, HANDSHAKE_TIMEOUT).await)
    }

    fn unopened(self, reason: RefusalReason) -> FlowEvent {
        FlowEvent::NotOpened { key: self.key, reason, opening_packet: self.opening_packet }
    }
}
