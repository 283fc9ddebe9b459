//! Deferred packets: no destination is known for them yet, their search continues, or they
//! wait for capacity.

use std::rc::Rc;
use std::time::Duration;

use weirhinge_fleet::Millis;
use weirhinge_steering::{Balancer, ClientPacket, Context};

use super::Daemon;
use crate::platform::Platform;

/// Longest time between two passes over the deferred packets.
const MAX_POLL_INTERVAL_MS: Millis = 50;
/// Shortest time between two passes, so that many packets share a wake-up.
const MIN_POLL_INTERVAL_MS: Millis = 4;

impl<P: Platform> Daemon<P> {
    /// Resumes searches that an unresponsive target delays, retries packets that came before
    /// their destination was known, and processes openings that wait for capacity.
    pub(super) async fn process_deferred(self: Rc<Self>) {
        loop {
            self.wait_until_due().await;
            let now = self.clock.now();
            self.continue_searches(now);
            self.retry_undecided_packets(now);
            self.process_queue(now);
        }
    }

    fn continue_searches(&self, now: Millis) {
        let due = self.core.borrow_mut().due_searches(now);
        for (header, packet) in due {
            let decision = self.decide(now, |core, context| {
                core.continue_search(context, ClientPacket { header: &header, bytes: &packet })
            });
            self.execute_decision(decision, &header, &packet, now);
        }
    }

    fn retry_undecided_packets(&self, now: Millis) {
        let due = self.decide_with_helpers(now, |core, context| core.due_undecided(context));
        for (header, packet) in due {
            let decision = self.decide_with_helpers(now, |core, context| {
                core.retry_undecided(context, ClientPacket { header: &header, bytes: &packet })
            });
            if let Some(decision) = decision {
                self.execute_decision(decision, &header, &packet, now);
            }
        }
    }

    /// Decides with the helpers in the context as long as this balancer knows no configuration.
    /// Later, deferred packets may themselves have been handed off to this balancer, and must
    /// not be handed off again.
    fn decide_with_helpers<T>(
        &self,
        now: Millis,
        decide: impl FnOnce(&mut Balancer, &Context<'_>) -> T,
    ) -> T {
        let helpers = self.helpers.borrow();
        self.decide(now, |core, context| {
            let helpers = if context.view.label().is_none() { &helpers[..] } else { &[] };
            decide(core, &Context { helpers, ..*context })
        })
    }

    /// Waits until the next deferred packet is due, including packets deferred meanwhile.
    async fn wait_until_due(&self) {
        let began = self.clock.now();
        let earliest = began + MIN_POLL_INTERVAL_MS;
        let latest = began + MAX_POLL_INTERVAL_MS;
        loop {
            let due_at = self.core.borrow().next_due().unwrap_or(latest);
            let delay = due_at.clamp(earliest, latest).saturating_sub(self.clock.now());
            tokio::select! {
                () = tokio::time::sleep(Duration::from_millis(delay)) => return,
                () = self.packet_deferred.notified() => {}
            }
        }
    }
}
