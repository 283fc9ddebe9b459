//! The task of one TCP flow.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use tokio::sync::mpsc;
use weirhinge_flow::RefusalReason;
use weirhinge_packet::{FlowKey, decode_packet};
use weirhinge_stack::{BufferSizes, EndpointOptions, FlowObserver, SpliceEnd, TcpEndpoint, splice};

use crate::back_end;
use crate::fabric::FabricSink;
use crate::flows::{FlowEvent, FlowId};
use crate::load::FlowInFlight;
use crate::plant::Plant;
use crate::timestamps;
use crate::view::OwnTarget;

/// Buffers of one flow, in bytes. Most flows are idle feeds: small buffers
/// keep 2,778 flows per target cheap.
const BUFFERS: BufferSizes = BufferSizes { receive: 4 << 10, send: 16 << 10 };
/// Longest time from the opening packet to the end of the handshake. The caller
/// may take the flow for open while all its packets are lost, as when a dead
/// balancer still gets its share: giving up early would break that flow.
const HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(30);
/// A flow that is still opening after this long is not counted as in flight: its
/// caller has probably gone to another agent or away.
const EXPECTED_HANDSHAKE: Duration = Duration::from_secs(1);

/// What a flow's task needs.
pub(crate) struct TcpFlow {
    pub(crate) id: FlowId,
    pub(crate) own: OwnTarget,
    pub(crate) opening_packet: Vec<u8>,
    pub(crate) packets: mpsc::Receiver<Vec<u8>>,
    pub(crate) sink: FabricSink,
    pub(crate) in_flight: FlowInFlight,
    pub(crate) events: mpsc::UnboundedSender<FlowEvent>,
    /// Seed of what the stack draws, from the system's secure source.
    pub(crate) seed: u64,
    /// The first sequence number, which names this agent's target.
    pub(crate) initial_sequence: Option<u32>,
    /// A defect planted on purpose.
    pub(crate) plant: Option<Plant>,
}

struct Observer {
    key: FlowKey,
    has_timestamps: bool,
    established: Arc<AtomicBool>,
    in_flight: Arc<FlowInFlight>,
    events: mpsc::UnboundedSender<FlowEvent>,
}

impl FlowObserver for Observer {
    fn on_established(&mut self) {
        // The main loop is gone only when the process is ending.
        let _ = self
            .events
            .send(FlowEvent::Opened { key: self.key, has_timestamps: self.has_timestamps });
        self.established.store(true, Ordering::Relaxed);
        self.in_flight.caller_sent();
    }

    fn on_peer_data(&mut self) {
        self.in_flight.caller_sent();
    }

    fn on_stream_data(&mut self) {
        self.in_flight.back_end_sent();
    }

    fn on_finished(&mut self) {
        self.in_flight.back_end_sent();
    }
}

impl TcpFlow {
    /// Connects to the back end, then answers the caller and carries bytes
    /// until the flow ends. Reports the end as an event.
    pub(crate) async fn run(self) {
        let flow = self.id;
        let events = self.events.clone();
        let event = match self.carry().await {
            Ok(end) => FlowEvent::Ended { flow, end },
            Err(unopened) => unopened,
        };
        let _ = events.send(event);
    }

    async fn carry(mut self) -> Result<SpliceEnd, FlowEvent> {
        let stream = match back_end::connect_tcp(&self.own, &self.id.key).await {
            Ok(stream) => stream,
            Err(reason) => return Err(self.unopened(reason)),
        };
        let options = EndpointOptions {
            buffers: BUFFERS,
            seed: self.seed,
            timestamps: Some(timestamps::now),
            initial_sequence: self.initial_sequence,
            resets_early: self.plant == Some(Plant::ResetEarly),
        };
        let Ok(mut endpoint) = TcpEndpoint::listen(self.id.key.destination, options) else {
            return Err(self.unopened(RefusalReason::BackEndRefused));
        };
        let has_timestamps = has_timestamps(&self.opening_packet);
        endpoint.receive(self.opening_packet);
        let in_flight = Arc::new(self.in_flight);
        let established = Arc::new(AtomicBool::new(false));
        let observer = Observer {
            key: self.id.key,
            has_timestamps,
            established: established.clone(),
            in_flight: in_flight.clone(),
            events: self.events,
        };
        let packets = &mut self.packets;
        let carried = splice(endpoint, stream, packets, self.sink, observer, HANDSHAKE_TIMEOUT);
        tokio::pin!(carried);
        tokio::select! {
            end = &mut carried => return Ok(end),
            () = tokio::time::sleep(EXPECTED_HANDSHAKE) => {}
        }
        if !established.load(Ordering::Relaxed) {
            in_flight.back_end_sent();
        }
        Ok(carried.await)
    }

    fn unopened(self, reason: RefusalReason) -> FlowEvent {
        FlowEvent::NotOpened { flow: self.id, reason, opening_packet: self.opening_packet }
    }
}

/// Whether the caller offers TCP timestamps, by which its packets find home.
fn has_timestamps(opening_packet: &[u8]) -> bool {
    decode_packet(opening_packet)
        .is_ok_and(|view| view.tcp().is_some_and(|segment| segment.timestamp_echo.is_some()))
}
