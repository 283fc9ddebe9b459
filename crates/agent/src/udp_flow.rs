//! The task of one UDP flow: copies datagrams between the client and the back end.

use tokio::sync::mpsc;
use weirhinge_packet::{Transport, build_udp_packet, decode_packet};
use weirhinge_stack::{INNER_MTU, PacketSink, SpliceEnd};

use crate::back_end;
use crate::dispatch::UDP_IDLE_TIMEOUT;
use crate::fabric::FabricSink;
use crate::flows::{FlowEvent, FlowId};
use crate::load::InFlightGuard;
use crate::view::OwnTarget;

/// State of a UDP flow's task.
pub(crate) struct UdpFlow {
    pub(crate) id: FlowId,
    pub(crate) own: OwnTarget,
    pub(crate) opening_packet: Vec<u8>,
    pub(crate) packets: mpsc::Receiver<Vec<u8>>,
    pub(crate) sink: FabricSink,
    pub(crate) in_flight: InFlightGuard,
    pub(crate) events: mpsc::UnboundedSender<FlowEvent>,
}

impl UdpFlow {
    /// Copies datagrams in both directions until the flow has been idle for [`UDP_IDLE_TIMEOUT`]
    /// or the back end refuses it.
    pub(crate) async fn run(mut self) {
        let _ = self.events.send(FlowEvent::Opened { key: self.id.key, has_timestamps: false });
        let end = self.copy_datagrams().await;
        let _ = self.events.send(FlowEvent::Ended { flow: self.id, end });
    }

    async fn copy_datagrams(&mut self) -> SpliceEnd {
        let Ok(socket) = back_end::connect_udp(self.own.back_end).await else {
            return SpliceEnd::StreamFailed;
        };
        let first = std::mem::take(&mut self.opening_packet);
        if send_payload(&socket, &first).await.is_err() {
            return SpliceEnd::StreamFailed;
        }
        let mut answer = vec![0; INNER_MTU];
        loop {
            tokio::select! {
                packet = self.packets.recv() => {
                    let Some(packet) = packet else { return SpliceEnd::Cancelled };
                    self.in_flight.note_client_data();
                    if send_payload(&socket, &packet).await.is_err() {
                        return SpliceEnd::StreamFailed;
                    }
                }
                received = socket.recv(&mut answer) => {
                    let Ok(length) = received else { return SpliceEnd::StreamFailed };
                    self.in_flight.note_answered();
                    if let Ok(packet) = build_udp_packet(&self.id.key, &answer[..length]) {
                        self.sink.send(&packet);
                    }
                }
                () = tokio::time::sleep(UDP_IDLE_TIMEOUT) => return SpliceEnd::Closed,
            }
        }
    }
}

async fn send_payload(socket: &tokio::net::UdpSocket, packet: &[u8]) -> std::io::Result<()> {
    if let Ok(view) = decode_packet(packet)
        && let Transport::Udp(payload) = view.transport
    {
        socket.send(payload).await?;
    }
    Ok(())
}
