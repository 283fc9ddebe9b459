//! What a balancer watches about itself: its reach, its time, its stop.

use std::net::Ipv4Addr;
use std::rc::Rc;
use std::time::Duration;

use slog::info;
use weirhinge_fleet::Millis;
use weirhinge_steering::OverloadMonitor;

use super::Daemon;
use crate::platform::Platform;
use crate::status::Status;

/// How often the reach of agents is looked at.
const ISOLATION_POLL: Duration = Duration::from_millis(100);
/// A poll this late means that this process itself stood still.
const PAUSED_MS: Millis = 300;
/// Routers ask twice a second and stop sending after two misses.
const ROUTERS_LEAVE_MS: Millis = 1_300;
/// Silence after which routers are believed to have stopped sending.
const QUIET_MS: Millis = 250;
/// Left of the stop limit for ending.
const STOP_MARGIN_MS: Millis = 700;
/// How often a stopping balancer looks whether packets still come.
const STOP_POLL: Duration = Duration::from_millis(50);
/// How often a balancer looks whether it has the time for all packets.
const PRESSURE_POLL: Duration = Duration::from_millis(100);
/// How many of these looks after which the helpers are asked again.
const ASK_EVERY: u32 = 2;
/// The same for the load of other balancers, while this one is overloaded.
const COMPARE_EVERY: u32 = 3;

/// What is followed of this balancer's overload.
#[derive(Default)]
struct OverloadWatch {
    monitor: OverloadMonitor,
    /// Looks since it counts as overloaded.
    looks: u32,
}

impl<P: Platform> Daemon<P> {
    /// Is not ready while cut off from all agents, so that routers use others. Probes find
    /// out when that ends: 40 small datagrams a second at most, whatever the fleet's size.
    pub(super) async fn watch_isolation(self: Rc<Self>, status: Status) {
        let mut polled_at = self.clock.now();
        loop {
            tokio::time::sleep(ISOLATION_POLL).await;
            let now = self.clock.now();
            let paused = now.saturating_sub(polled_at) >= PAUSED_MS;
            polled_at = now;
            if paused {
                // What arrived during the pause is still unread.
                continue;
            }
            if self.core.borrow().needs_probes(now) {
                self.link.probe_agents();
            }
            let isolated = self.core.borrow().is_isolated(now);
            if status.set_isolated(isolated) {
                info!(self.log, "balancer: reach of agents changed"; "event" => "isolation",
                    "isolated" => isolated);
            }
        }
    }

    /// While packets have to wait, leaves those of unknown flows to balancers of the
    /// zone that have far more processor time.
    pub(super) async fn watch_pressure(self: Rc<Self>, status: Status) {
        let mut pressed_polls = 0;
        let mut overload = OverloadWatch::default();
        loop {
            tokio::time::sleep(PRESSURE_POLL).await;
            let now = self.clock.now();
            let pressed = self.backlog.borrow().is_pressed(now);
            if pressed && pressed_polls % ASK_EVERY == 0 {
                self.link.ask_helpers();
            }
            pressed_polls = if pressed { pressed_polls + 1 } else { 0 };
            self.choose_helpers(now);
            self.watch_overload(&mut overload, &status, now);
        }
    }

    /// Is not ready while packets wait for too long and other balancers keep up.
    fn watch_overload(&self, watch: &mut OverloadWatch, status: &Status, now: Millis) {
        let longest_wait_ms = self.backlog.borrow_mut().take_longest_wait();
        let peers = self.node.borrow().peer_load(now);
        let withdrawn = watch.monitor.observe(longest_wait_ms, peers, now);
        let overloaded = watch.monitor.is_overloaded();
        watch.looks = if overloaded { watch.looks + 1 } else { 0 };
        let has_changed = self.node.borrow().overloaded != overloaded;
        if has_changed || (overloaded && watch.looks.is_multiple_of(COMPARE_EVERY)) {
            self.link.compare_loads(overloaded);
        }
        if status.set_withdrawn(withdrawn) {
            info!(self.log, "balancer: readiness changed with load"; "event" => "overload",
                "withdrawn" => withdrawn, "longest_wait_ms" => longest_wait_ms,
                "peers_keeping_up" => peers.keeping_up, "peers_overloaded" => peers.overloaded);
        }
    }

    /// Brings the helpers up to date.
    pub(super) fn choose_helpers(&self, now: Millis) {
        let pressed = self.backlog.borrow().is_pressed(now);
        let helpers = self.node.borrow().helpers_now(pressed, now);
        if *self.helpers.borrow() != helpers {
            let names: Vec<String> = helpers.iter().map(Ipv4Addr::to_string).collect();
            info!(self.log, "balancer: helpers changed"; "event" => "helpers",
                "helpers" => names.join(" "), "handed_off" => self.metrics.handed_off.get());
            self.helpers.replace(helpers);
        }
    }

    /// Serves on until routers have noticed that this balancer is not ready.
    pub(super) async fn serve_until_routers_left(&self, stop_limit_ms: Millis) {
        let began = self.clock.now();
        let longest = stop_limit_ms.saturating_sub(STOP_MARGIN_MS);
        loop {
            let now = self.clock.now();
            let elapsed = now.saturating_sub(began);
            let quiet = now.saturating_sub(*self.last_packet_at.borrow()) >= QUIET_MS;
            if elapsed >= longest || (elapsed >= ROUTERS_LEAVE_MS && quiet) {
                return;
            }
            tokio::time::sleep(STOP_POLL).await;
        }
    }
}
