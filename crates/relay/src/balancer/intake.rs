//! What a balancer reads from its sockets, and in which order.

use std::rc::Rc;

use super::Daemon;
use crate::platform::Platform;
use crate::receive::{DATAGRAM_ROOM, receive_ready};

/// Datagrams taken from a socket in one turn.
const DATAGRAMS_A_TURN: usize = 256;
/// Clients' packets decided about in one turn, before peers are heard again.
const PACKETS_A_TURN: usize = 8;

impl<P: Platform> Daemon<P> {
    /// Takes what peers say before clients' packets: it tells where those go, and
    /// unread it looks as if the peers were silent.
    pub(super) async fn take_datagrams(self: Rc<Self>) {
        let mut buffer = vec![0; DATAGRAM_ROOM];
        loop {
            if self.backlog.borrow().is_empty() {
                // An error here is one of an earlier send; receiving goes on.
                tokio::select! {
                    _ = self.link.socket().readable() => {}
                    _ = self.packets.readable() => {}
                }
            }
            let take = |datagram: &mut [u8], sender| self.peer_message(datagram, sender);
            receive_ready(self.link.socket(), &mut buffer, DATAGRAMS_A_TURN, take);
            self.take_client_packets(&mut buffer);
            tokio::task::yield_now().await;
        }
    }

    /// Decides about a few clients' packets and lets the others wait.
    fn take_client_packets(&self, buffer: &mut [u8]) {
        let now = self.clock.now();
        let mut left = PACKETS_A_TURN;
        while left > 0 {
            let Some(packet) = self.backlog.borrow_mut().next(now) else { break };
            left -= 1;
            self.handle_client_packet(&packet);
        }
        receive_ready(&self.packets, buffer, DATAGRAMS_A_TURN, |packet, _| {
            if left > 0 {
                left -= 1;
                self.handle_client_packet(packet);
            } else {
                self.backlog.borrow_mut().push(packet, now);
            }
        });
        let dropped = self.backlog.borrow_mut().take_dropped();
        self.metrics.dropped.add("waited_too_long", dropped);
    }
}
