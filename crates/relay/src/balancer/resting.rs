//! Packets that rest here: their way is not known yet, their search goes on, or they wait
//! for room.

use std::rc::Rc;
use std::time::Duration;

use weirhinge_fleet::Millis;
use weirhinge_steering::{Balancer, ClientPacket, Context};

use super::Daemon;
use crate::platform::Platform;

/// Longest rest between two looks at the packets.
const LONGEST_REST_MS: Millis = 50;
/// Shortest such rest, so that many packets share a wake-up.
const SHORTEST_REST_MS: Millis = 4;

impl<P: Platform> Daemon<P> {
    /// Goes on with searches that a silent target holds up, with packets that came before
    /// it was known where they could go, and with openings that wait for room.
    pub(super) async fn continue_resting(self: Rc<Self>) {
        loop {
            self.rest_until_due().await;
            let now = self.clock.now();
            self.continue_searches(now);
            self.decide_undecided(now);
            self.continue_queue(now);
        }
    }

    fn continue_searches(&self, now: Millis) {
        let due = self.core.borrow_mut().due_searches(now);
        for (header, packet) in due {
            let decision = self.decide(now, |core, context| {
                core.continue_search(context, ClientPacket { header: &header, bytes: &packet })
            });
            self.carry_out(decision, &header, &packet, now);
        }
    }

    fn decide_undecided(&self, now: Millis) {
        let due = self.decide_with_helpers(now, |core, context| core.due_undecided(context));
        for (header, packet) in due {
            let decision = self.decide_with_helpers(now, |core, context| {
                core.retry_undecided(context, ClientPacket { header: &header, bytes: &packet })
            });
            if let Some(decision) = decision {
                self.carry_out(decision, &header, &packet, now);
            }
        }
    }

    /// Decides with helpers at hand while this balancer knows no configuration. Later,
    /// packets that rest here may have been handed off to it.
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

    /// Waits for the next packet that is due, also for one that comes meanwhile.
    async fn rest_until_due(&self) {
        let began = self.clock.now();
        let earliest = began + SHORTEST_REST_MS;
        let latest = began + LONGEST_REST_MS;
        loop {
            let due_at = self.core.borrow().next_due().unwrap_or(latest);
            let rest = due_at.clamp(earliest, latest).saturating_sub(self.clock.now());
            tokio::select! {
                () = tokio::time::sleep(Duration::from_millis(rest)) => return,
                () = self.packet_rests.notified() => {}
            }
        }
    }
}
