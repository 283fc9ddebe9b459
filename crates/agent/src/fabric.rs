//! Output to the fabric: packets for clients are sent as UDP datagrams, one inner packet in each.

use std::net::SocketAddr;
use std::sync::Arc;

use tokio::net::UdpSocket;
use weirhinge_observe::Counter;
use weirhinge_stack::PacketSink;

/// Sends packets to the fabric without blocking.
#[derive(Clone, Debug)]
pub(crate) struct FabricSink {
    pub(crate) socket: Arc<UdpSocket>,
    pub(crate) fabric: SocketAddr,
    /// Counts packets that the kernel did not accept.
    pub(crate) unsent: Counter,
}

impl PacketSink for FabricSink {
    fn send(&mut self, packet: &[u8]) {
        if self.socket.try_send_to(packet, self.fabric).is_err() {
            self.unsent.inc();
        }
    }
}
