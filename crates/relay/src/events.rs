//! Rate-limited log lines of packet decisions.

use std::cell::Cell;
use std::net::Ipv4Addr;

use slog::{Logger, info};
use weirhinge_fleet::Millis;
use weirhinge_steering::{DropReason, FlowKey, QueueInputs, SelectionInputs, VersionLabel};

/// Most lines of one kind per interval.
const LINES_PER_INTERVAL: u32 = 300;
/// Length of the interval of a line budget.
const INTERVAL_MS: Millis = 1_000;

/// Limits the log lines of one kind. Suppressed lines are counted, and their number is logged
/// in a later interval.
#[derive(Debug, Default)]
struct LineBudget {
    interval_began_at: Cell<Millis>,
    written: Cell<u32>,
    suppressed: Cell<u32>,
}

impl LineBudget {
    /// Returns whether a line may be written now, and counts it as written or suppressed.
    fn allows(&self, kind: &'static str, log: &Logger, now: Millis) -> bool {
        if now.saturating_sub(self.interval_began_at.get()) >= INTERVAL_MS {
            let suppressed = self.suppressed.take();
            if suppressed > 0 {
                info!(log, "log: lines suppressed"; "event" => "lines_suppressed",
                    "kind" => kind, "count" => suppressed);
            }
            self.interval_began_at.set(now);
            self.written.set(0);
        }
        if self.written.get() >= LINES_PER_INTERVAL {
            self.suppressed.set(self.suppressed.get() + 1);
            return false;
        }
        self.written.set(self.written.get() + 1);
        true
    }
}

/// Where a packet was forwarded and why, as logged.
pub struct Forwarded<'a> {
    /// The packet's flow.
    pub flow: &'a FlowKey,
    /// The agent that the packet was sent to.
    pub agent: Ipv4Addr,
    /// Label of the reason for which the packet was sent there.
    pub reason: &'static str,
    /// Inputs of the decision, if the target was chosen by load.
    pub inputs: Option<&'a SelectionInputs>,
}

/// The state of the store that a decision was based on.
#[derive(Clone, Copy, Debug)]
pub struct KnownState {
    /// The configuration in effect.
    pub configuration: Option<VersionLabel>,
    /// The latest known store revision.
    pub revision: u64,
    /// Milliseconds since the store confirmed the known state; none if it never did.
    pub age_ms: Option<Millis>,
}

/// Logs packet decisions, with a line budget per kind.
pub struct DecisionLog {
    log: Logger,
    openings: LineBudget,
    requests: LineBudget,
    searches: LineBudget,
    resets: LineBudget,
    drops: LineBudget,
    returns: LineBudget,
    grants: LineBudget,
}

impl DecisionLog {
    /// Creates a log that writes to `log`.
    pub fn new(log: Logger) -> Self {
        Self {
            log,
            openings: LineBudget::default(),
            requests: LineBudget::default(),
            searches: LineBudget::default(),
            resets: LineBudget::default(),
            drops: LineBudget::default(),
            returns: LineBudget::default(),
            grants: LineBudget::default(),
        }
    }

    /// Logs that a flow's opening packet was sent to a target.
    pub fn opening(&self, forwarded: &Forwarded<'_>, known: KnownState, now: Millis) {
        if !self.openings.allows("opening", &self.log, now) {
            return;
        }
        let inputs = forwarded.inputs;
        info!(self.log, "balancer: opening packet forwarded"; "event" => "opening",
            "flow" => format_flow(forwarded.flow), "agent" => forwarded.agent.to_string(),
            "outcome" => forwarded.reason,
            "eligible" => inputs.map(|inputs| inputs.eligible),
            "load_permille" => inputs.map(|inputs| inputs.load_permille),
            "expected_ms" => inputs.and_then(|inputs| inputs.expected_ms),
            "load_age_ms" => inputs.and_then(|inputs| inputs.load_age_ms),
            "configuration" => known.configuration.map(|label| label.version),
            "revision" => known.revision, "age_ms" => known.age_ms);
    }

    /// Logs that a packet with the start of a request was sent to a target.
    pub fn request(&self, id: &str, forwarded: &Forwarded<'_>, now: Millis) {
        if self.requests.allows("request", &self.log, now) {
            info!(self.log, "balancer: request sent"; "event" => "request", "request" => id,
                "flow" => format_flow(forwarded.flow), "agent" => forwarded.agent.to_string(),
                "outcome" => forwarded.reason);
        }
    }

    /// Logs that a search for the target of an unknown flow began.
    pub fn search(&self, forwarded: &Forwarded<'_>, known: KnownState, now: Millis) {
        if self.searches.allows("search", &self.log, now) {
            info!(self.log, "balancer: target of flow searched"; "event" => "search",
                "flow" => format_flow(forwarded.flow), "agent" => forwarded.agent.to_string(),
                "revision" => known.revision, "age_ms" => known.age_ms);
        }
    }

    /// Logs that a flow was reset.
    pub fn reset(&self, flow: &FlowKey, reason: &'static str, known: KnownState, now: Millis) {
        if self.resets.allows("reset", &self.log, now) {
            info!(self.log, "balancer: flow reset"; "event" => "reset",
                "flow" => format_flow(flow), "outcome" => reason,
                "configuration" => known.configuration.map(|label| label.version),
                "revision" => known.revision, "age_ms" => known.age_ms);
        }
    }

    /// Logs that an opening packet was refused because no target will have capacity in time.
    pub fn refused(&self, flow: &FlowKey, inputs: QueueInputs, known: KnownState, now: Millis) {
        if self.resets.allows("reset", &self.log, now) {
            info!(self.log, "balancer: opening refused"; "event" => "reset",
                "flow" => format_flow(flow), "outcome" => "overloaded", "ahead" => inputs.ahead,
                "expected_wait_ms" => inputs.expected_wait_ms, "budget_ms" => inputs.budget_ms,
                "configuration" => known.configuration.map(|label| label.version),
                "revision" => known.revision, "age_ms" => known.age_ms);
        }
    }

    /// Logs that an opening packet waits at the balancer until a target has capacity.
    pub fn queued(&self, flow: &FlowKey, inputs: QueueInputs, now: Millis) {
        if self.openings.allows("queued", &self.log, now) {
            info!(self.log, "balancer: opening waits for capacity"; "event" => "queued",
                "flow" => format_flow(flow), "ahead" => inputs.ahead,
                "expected_wait_ms" => inputs.expected_wait_ms, "budget_ms" => inputs.budget_ms);
        }
    }

    /// Logs that a flow was reset because the target restarted and bounced its packet.
    pub fn reset_lost(&self, flow: &FlowKey, now: Millis) {
        if self.resets.allows("reset", &self.log, now) {
            info!(self.log, "agent: lost flow reset"; "event" => "reset",
                "flow" => format_flow(flow), "outcome" => "target_restarted");
        }
    }

    /// Logs that a packet was dropped.
    pub fn dropped(&self, flow: &FlowKey, reason: DropReason, known: KnownState, now: Millis) {
        if self.drops.allows("drop", &self.log, now) {
            info!(self.log, "balancer: packet dropped"; "event" => "drop",
                "flow" => format_flow(flow), "outcome" => reason.label(),
                "configuration" => known.configuration.map(|label| label.version),
                "revision" => known.revision, "age_ms" => known.age_ms);
        }
    }

    /// Logs that an agent returned a packet to its balancer.
    pub fn returned(&self, flow: &FlowKey, reason: &str, opening: bool, now: Millis) {
        if self.returns.allows("returned", &self.log, now) {
            info!(self.log, "agent: packet returned"; "event" => "returned",
                "flow" => format_flow(flow), "outcome" => reason, "opening" => opening);
        }
    }

    /// Logs that a search packet was passed on to the next agent; `left` agents remain after it.
    pub fn passed_on(&self, flow: &FlowKey, agent: Ipv4Addr, left: usize, now: Millis) {
        if self.returns.allows("passed_on", &self.log, now) {
            info!(self.log, "agent: search passed on"; "event" => "passed_on",
                "flow" => format_flow(flow), "agent" => agent.to_string(), "left" => left);
        }
    }

    /// Logs that an opening packet waits at the agent until the target has capacity.
    pub fn waits(&self, flow: &FlowKey, waiting: u32, now: Millis) {
        if self.returns.allows("waits", &self.log, now) {
            info!(self.log, "agent: opening waits for capacity"; "event" => "opening_waits",
                "flow" => format_flow(flow), "waiting" => waiting);
        }
    }

    /// Logs that capacity was granted to a balancer.
    pub fn granted(&self, balancer: Ipv4Addr, urgent_only: bool, waiting: u32, now: Millis) {
        if self.grants.allows("granted", &self.log, now) {
            info!(self.log, "agent: capacity granted"; "event" => "granted",
                "balancer" => balancer.to_string(), "urgent_only" => urgent_only,
                "waiting" => waiting);
        }
    }

    /// Logs that a balancer declined a grant, and whether it did so before the grant lapsed.
    pub fn declined(&self, balancer: Ipv4Addr, in_time: bool, now: Millis) {
        if self.grants.allows("declined", &self.log, now) {
            info!(self.log, "agent: grant declined"; "event" => "grant_declined",
                "balancer" => balancer.to_string(), "in_time" => in_time);
        }
    }

    /// Logs that a balancer did not answer a grant in time.
    pub fn lapsed(&self, balancer: Ipv4Addr, now: Millis) {
        if self.grants.allows("lapsed", &self.log, now) {
            info!(self.log, "agent: grant lapsed"; "event" => "grant_lapsed",
                "balancer" => balancer.to_string());
        }
    }

    /// Logs that the target answered an opening packet or was found to hold a flow.
    pub fn answered(&self, flow: &FlowKey, confirmed: bool, waiting: u32, now: Millis) {
        if self.openings.allows("answered", &self.log, now) {
            info!(self.log, "agent: target answered"; "event" => "answered",
                "flow" => format_flow(flow), "confirmed" => confirmed, "waiting" => waiting);
        }
    }
}

fn format_flow(flow: &FlowKey) -> String {
    format!("{}>{}", flow.client, flow.service)
}
