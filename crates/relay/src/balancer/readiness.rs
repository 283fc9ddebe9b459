//! Monitors whether a balancer should receive packets: isolation from agents, overload, and
//! the wait for routers at shutdown.

use std::net::Ipv4Addr;
use std::rc::Rc;
use std::time::Duration;

use slog::info;
use weirhinge_fleet::Millis;
use weirhinge_steering::OverloadMonitor;

use super::Daemon;
use crate::platform::Platform;
use crate::readiness::Readiness;

/// Interval at which the balancer checks whether it reaches agents.
const ISOLATION_POLL_INTERVAL: Duration = Duration::from_millis(100);
/// Time between two polls from which this process is considered to have been paused.
const PAUSE_THRESHOLD_MS: Millis = 300;
/// Time in which routers stop sending: they check readiness twice a second and withdraw the
/// balancer after two failed checks.
const ROUTER_WITHDRAWAL_MS: Millis = 1_300;
/// Time without a packet after which routers are assumed to have stopped sending.
const QUIET_PERIOD_MS: Millis = 250;
/// Part of the stop limit that is reserved for exiting.
const STOP_MARGIN_MS: Millis = 700;
/// Interval at which a stopping balancer checks whether packets still arrive.
const STOP_POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Interval at which a balancer checks whether it keeps up with its packets.
const PRESSURE_POLL_INTERVAL: Duration = Duration::from_millis(100);
/// A balancer under pressure queries its helpers once in so many pressure polls.
const HELPER_QUERY_POLLS: u32 = 2;
/// An overloaded balancer exchanges load reports with others once in so many pressure polls.
const LOAD_EXCHANGE_POLLS: u32 = 3;

/// Tracks this balancer's overload.
#[derive(Default)]
struct OverloadState {
    monitor: OverloadMonitor,
    /// Number of polls since the balancer has counted as overloaded.
    overloaded_polls: u32,
}

impl<P: Platform> Daemon<P> {
    /// Makes the balancer unready while it is cut off from all agents, so that routers use other
    /// balancers. Probes detect when the isolation ends; they take at most 40 small datagrams a
    /// second, independent of the fleet's size.
    pub(super) async fn monitor_isolation(self: Rc<Self>, readiness: Readiness) {
        let mut polled_at = self.clock.now();
        loop {
            tokio::time::sleep(ISOLATION_POLL_INTERVAL).await;
            let now = self.clock.now();
            let paused = now.saturating_sub(polled_at) >= PAUSE_THRESHOLD_MS;
            polled_at = now;
            if paused {
                // What arrived during the pause is still unread.
                continue;
            }
            if self.core.borrow().needs_probes(now) {
                self.link.probe_agents();
            }
            let isolated = self.core.borrow().is_isolated(now);
            if readiness.set_isolated(isolated) {
                info!(self.log, "balancer: isolation from agents changed"; "event" => "isolation",
                    "isolated" => isolated);
            }
        }
    }

    /// While the backlog is under pressure, selects helpers, which take packets of unknown
    /// flows: balancers of the zone with far more processor time. Also tracks overload.
    pub(super) async fn monitor_pressure(self: Rc<Self>, readiness: Readiness) {
        let mut polls_under_pressure = 0;
        let mut overload = OverloadState::default();
        loop {
            tokio::time::sleep(PRESSURE_POLL_INTERVAL).await;
            let now = self.clock.now();
            let under_pressure = self.backlog.borrow().is_under_pressure(now);
            if under_pressure && polls_under_pressure % HELPER_QUERY_POLLS == 0 {
                self.link.query_helpers();
            }
            polls_under_pressure = if under_pressure { polls_under_pressure + 1 } else { 0 };
            self.update_helpers(now);
            self.update_overload(&mut overload, &readiness, now);
        }
    }

    /// Makes the balancer unready while packets wait too long and other balancers keep up.
    fn update_overload(&self, overload: &mut OverloadState, readiness: &Readiness, now: Millis) {
        let longest_wait_ms = self.backlog.borrow_mut().take_longest_wait();
        let peers = self.node.borrow().peer_load(now);
        let withdrawn = overload.monitor.observe(longest_wait_ms, peers, now);
        let overloaded = overload.monitor.is_overloaded();
        overload.overloaded_polls = if overloaded { overload.overloaded_polls + 1 } else { 0 };
        let has_changed = self.node.borrow().overloaded != overloaded;
        if has_changed
            || (overloaded && overload.overloaded_polls.is_multiple_of(LOAD_EXCHANGE_POLLS))
        {
            self.link.exchange_load_reports(overloaded);
        }
        if readiness.set_withdrawn(withdrawn) {
            info!(self.log, "balancer: readiness changed with load"; "event" => "overload",
                "withdrawn" => withdrawn, "longest_wait_ms" => longest_wait_ms,
                "peers_keeping_up" => peers.keeping_up, "peers_overloaded" => peers.overloaded);
        }
    }

    /// Updates the balancers to which packets of unknown flows are handed off.
    pub(super) fn update_helpers(&self, now: Millis) {
        let under_pressure = self.backlog.borrow().is_under_pressure(now);
        let helpers = self.node.borrow().available_helpers(under_pressure, now);
        if *self.helpers.borrow() != helpers {
            let addresses: Vec<String> = helpers.iter().map(Ipv4Addr::to_string).collect();
            info!(self.log, "balancer: helpers changed"; "event" => "helpers",
                "helpers" => addresses.join(" "), "handed_off" => self.metrics.handed_off.get());
            self.helpers.replace(helpers);
        }
    }

    /// Continues to serve until routers have stopped sending to this balancer, which is no
    /// longer ready, or the stop limit is nearly reached.
    pub(super) async fn serve_until_routers_left(&self, stop_limit_ms: Millis) {
        let began = self.clock.now();
        let longest = stop_limit_ms.saturating_sub(STOP_MARGIN_MS);
        loop {
            let now = self.clock.now();
            let elapsed = now.saturating_sub(began);
            let quiet = now.saturating_sub(*self.last_packet_at.borrow()) >= QUIET_PERIOD_MS;
            if elapsed >= longest || (elapsed >= ROUTER_WITHDRAWAL_MS && quiet) {
                return;
            }
            tokio::time::sleep(STOP_POLL_INTERVAL).await;
        }
    }
}
