//! Reads a balancer's sockets: messages of peers first, then clients' packets.

use std::rc::Rc;

use super::Daemon;
use crate::platform::Platform;
use crate::receive::{DATAGRAM_BUFFER_BYTES, receive_ready};

/// Most datagrams read from a socket in one turn.
const DATAGRAMS_PER_TURN: usize = 256;
/// Most clients' packets decided about in one turn before peers' messages are read again.
const PACKETS_PER_TURN: usize = 8;

impl<P: Platform> Daemon<P> {
    /// Reads peers' messages before clients' packets. The messages determine where packets go,
    /// and as long as they are unread the peers seem unresponsive.
    pub(super) async fn receive_datagrams(self: Rc<Self>) {
        let mut buffer = vec![0; DATAGRAM_BUFFER_BYTES];
        loop {
            if self.backlog.borrow().is_empty() {
                // An error here stems from an earlier send and does not affect receiving.
                tokio::select! {
                    _ = self.link.socket().readable() => {}
                    _ = self.packets.readable() => {}
                }
            }
            let handle = |datagram: &mut [u8], sender| self.handle_peer_message(datagram, sender);
            receive_ready(self.link.socket(), &mut buffer, DATAGRAMS_PER_TURN, handle);
            self.process_client_packets(&mut buffer);
            tokio::task::yield_now().await;
        }
    }

    /// Decides about a few clients' packets and moves the others to the backlog.
    fn process_client_packets(&self, buffer: &mut [u8]) {
        let now = self.clock.now();
        let mut remaining = PACKETS_PER_TURN;
        while remaining > 0 {
            let Some(packet) = self.backlog.borrow_mut().next(now) else { break };
            remaining -= 1;
            self.handle_client_packet(&packet);
        }
        receive_ready(&self.packets, buffer, DATAGRAMS_PER_TURN, |packet, _| {
            if remaining > 0 {
                remaining -= 1;
                self.handle_client_packet(packet);
            } else {
                self.backlog.borrow_mut().push(packet, now);
            }
        });
        let dropped = self.backlog.borrow_mut().take_dropped();
        self.metrics.dropped.add("waited_too_long", dropped);
    }
}
