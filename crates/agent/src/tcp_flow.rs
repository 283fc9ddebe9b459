//! The task of one TCP flow: splices the client's packets with a connection to the back end.

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
use crate::load::InFlightGuard;
use crate::planted_defect::PlantedDefect;
use crate::timestamps;
use crate::view::OwnTarget;

/// Buffer sizes of one flow, in bytes. Most flows are idle feeds, and a target holds up to 2,778
/// of them, so the buffers are small.
const BUFFERS: BufferSizes = BufferSizes { receive: 4 << 10, send: 16 << 10 };
/// Maximum time from the opening packet to the end of the handshake. The client may consider the
/// flow open while all its packets are lost, for example while a dead balancer still receives its
/// share of the traffic. A shorter timeout would break such a flow.
const HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(30);
/// A flow that is still half-open after this time is no longer counted as in flight: its client
/// has probably taken up another agent's answer or given up.
const EXPECTED_HANDSHAKE_TIME: Duration = Duration::from_secs(1);

/// State of a TCP flow's task.
pub(crate) struct TcpFlow {
    pub(crate) id: FlowId,
    pub(crate) own: OwnTarget,
    pub(crate) opening_packet: Vec<u8>,
    pub(crate) packets: mpsc::Receiver<Vec<u8>>,
    pub(crate) sink: FabricSink,
    pub(crate) in_flight: InFlightGuard,
    pub(crate) events: mpsc::UnboundedSender<FlowEvent>,
    /// Seed of the stack's random numbers, from the system's secure random source.
    pub(crate) seed: u64,
    /// The initial sequence number, which encodes this agent's target; random if `None`.
    pub(crate) initial_sequence: Option<u32>,
    /// The deliberate defect, if any.
    pub(crate) planted_defect: Option<PlantedDefect>,
}

struct Observer {
    key: FlowKey,
    has_timestamps: bool,
    established: Arc<AtomicBool>,
    in_flight: Arc<InFlightGuard>,
    events: mpsc::UnboundedSender<FlowEvent>,
}

impl FlowObserver for Observer {
    fn on_established(&mut self) {
        // The main loop is gone only while the process exits.
        let _ = self
            .events
            .send(FlowEvent::Opened { key: self.key, has_timestamps: self.has_timestamps });
        self.established.store(true, Ordering::Relaxed);
        self.in_flight.note_client_data();
    }

    fn on_peer_data(&mut self) {
        self.in_flight.note_client_data();
    }

    fn on_stream_data(&mut self) {
        self.in_flight.note_answered();
    }

    fn on_finished(&mut self) {
        self.in_flight.note_answered();
    }
}

impl TcpFlow {
    /// Connects to the back end, then answers the client and copies bytes in both directions until
    /// the flow ends. Reports the end as an event.
    pub(crate) async fn run(self) {
        let flow = self.id;
        let events = self.events.clone();
        let event = match self.connect_and_splice().await {
            Ok(end) => FlowEvent::Ended { flow, end },
            Err(not_opened) => not_opened,
        };
        let _ = events.send(event);
    }

    async fn connect_and_splice(mut self) -> Result<SpliceEnd, FlowEvent> {
        let stream = match back_end::connect_tcp(&self.own, &self.id.key).await {
            Ok(stream) => stream,
            Err(reason) => return Err(self.not_opened(reason)),
        };
        let options = EndpointOptions {
            buffers: BUFFERS,
            seed: self.seed,
            timestamps: Some(timestamps::now),
            initial_sequence: self.initial_sequence,
            resets_early: self.planted_defect == Some(PlantedDefect::ResetEarly),
        };
        let Ok(mut endpoint) = TcpEndpoint::listen(self.id.key.destination, options) else {
            return Err(self.not_opened(RefusalReason::BackEndRefused));
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
        let splicing = splice(endpoint, stream, packets, self.sink, observer, HANDSHAKE_TIMEOUT);
        tokio::pin!(splicing);
        tokio::select! {
            end = &mut splicing => return Ok(end),
            () = tokio::time::sleep(EXPECTED_HANDSHAKE_TIME) => {}
        }
        if !established.load(Ordering::Relaxed) {
            in_flight.note_answered();
        }
        Ok(splicing.await)
    }

    fn not_opened(self, reason: RefusalReason) -> FlowEvent {
        FlowEvent::NotOpened { flow: self.id, reason, opening_packet: self.opening_packet }
    }
}

/// Whether the client offers TCP timestamps. Their echoes carry the holder hint, by which the
/// flow's later packets are routed to this agent.
fn has_timestamps(opening_packet: &[u8]) -> bool {
    decode_packet(opening_packet)
        .is_ok_and(|view| view.tcp().is_some_and(|segment| segment.timestamp_echo.is_some()))
}
