//! Log lines of packet decisions, bounded in number.

use std::cell::Cell;
use std::net::Ipv4Addr;

use slog::{Logger, info};
use weirhinge_fleet::Millis;
use weirhinge_steering::{DropReason, FlowKey, QueueInputs, SelectionInputs, VersionLabel};

/// Most lines of one kind in each interval.
const LINES_PER_INTERVAL: u32 = 300;
/// Length of the interval.
const INTERVAL_MS: Millis = 1_000;

/// Bounds the lines of one kind; what is left out is counted and reported.
#[derive(Debug, Default)]
struct Budget {
    began_at: Cell<Millis>,
    written: Cell<u32>,
    suppressed: Cell<u32>,
}

impl Budget {
    /// Whether a line may be written now.
    fn allows(&self, kind: &'static str, log: &Logger, now: Millis) -> bool {
        if now.saturating_sub(self.began_at.get()) >= INTERVAL_MS {
            let suppressed = self.suppressed.take();
            if suppressed > 0 {
                info!(log, "log: lines left out"; "event" => "lines_suppressed",
                    "kind" => kind, "count" => suppressed);
            }
            self.began_at.set(now);
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

/// Where a packet was sent and why, for its line.
pub struct Forwarded<'a> {
    /// The flow.
    pub flow: &'a FlowKey,
    /// The agent.
    pub agent: Ipv4Addr,
    /// Why.
    pub reason: &'static str,
    /// What was weighed, if a target was chosen by load.
    pub inputs: Option<&'a SelectionInputs>,
}

/// The state of knowledge behind a decision.
#[derive(Clone, Copy, Debug)]
pub struct Basis {
    /// The configuration in force.
    pub configuration: Option<VersionLabel>,
    /// The store revision known.
    pub revision: u64,
    /// Milliseconds since the store confirmed it.
    pub age_ms: Option<Millis>,
}

/// Writes the lines of packet decisions.
pub struct DecisionLog {
    log: Logger,
    openings: Budget,
    requests: Budget,
    searches: Budget,
    resets: Budget,
    drops: Budget,
    returns: Budget,
    grants: Budget,
}

impl DecisionLog {
    /// Lines go to this logger.
    pub fn new(log: Logger) -> Self {
        Self {
            log,
            openings: Budget::default(),
            requests: Budget::default(),
            searches: Budget::default(),
            resets: Budget::default(),
            drops: Budget::default(),
            returns: Budget::default(),
            grants: Budget::default(),
        }
    }

    /// A flow's opening packet was sent to a target.
    pub fn opening(&self, forwarded: &Forwarded<'_>, basis: Basis, now: Millis) {
        if !self.openings.allows("opening", &self.log, now) {
            return;
        }
        let inputs = forwarded.inputs;
        info!(self.log, "balancer: flow opens"; "event" => "opening",
            "flow" => flow_text(forwarded.flow), "agent" => forwarded.agent.to_string(),
            "outcome" => forwarded.reason,
            "eligible" => inputs.map(|inputs| inputs.eligible),
            "load_permille" => inputs.map(|inputs| inputs.load_permille),
            "expected_ms" => inputs.and_then(|inputs| inputs.expected_ms),
            "load_age_ms" => inputs.and_then(|inputs| inputs.load_age_ms),
            "configuration" => basis.configuration.map(|label| label.version),
            "revision" => basis.revision, "age_ms" => basis.age_ms);
    }

    /// A request began in a packet that was sent to a target.
    pub fn request(&self, id: &str, forwarded: &Forwarded<'_>, now: Millis) {
        if self.requests.allows("request", &self.log, now) {
            info!(self.log, "balancer: request sent"; "event" => "request", "request" => id,
                "flow" => flow_text(forwarded.flow), "agent" => forwarded.agent.to_string(),
                "outcome" => forwarded.reason);
        }
    }

    /// A packet of an unknown flow looks for its target.
    pub fn search(&self, forwarded: &Forwarded<'_>, basis: Basis, now: Millis) {
        if self.searches.allows("search", &self.log, now) {
            info!(self.log, "balancer: flow searched"; "event" => "search",
                "flow" => flow_text(forwarded.flow), "agent" => forwarded.agent.to_string(),
                "revision" => basis.revision, "age_ms" => basis.age_ms);
        }
    }

    /// A flow was reset.
    pub fn reset(&self, flow: &FlowKey, reason: &'static str, basis: Basis, now: Millis) {
        if self.resets.allows("reset", &self.log, now) {
            info!(self.log, "balancer: flow reset"; "event" => "reset",
                "flow" => flow_text(flow), "outcome" => reason,
                "configuration" => basis.configuration.map(|label| label.version),
                "revision" => basis.revision, "age_ms" => basis.age_ms);
        }
    }

    /// A flow's opening packet was refused, as no target has room in time.
    pub fn refused(&self, flow: &FlowKey, inputs: QueueInputs, basis: Basis, now: Millis) {
        if self.resets.allows("reset", &self.log, now) {
            info!(self.log, "balancer: opening refused"; "event" => "reset",
                "flow" => flow_text(flow), "outcome" => "overloaded", "ahead" => inputs.ahead,
                "expected_wait_ms" => inputs.expected_wait_ms, "budget_ms" => inputs.budget_ms,
                "configuration" => basis.configuration.map(|label| label.version),
                "revision" => basis.revision, "age_ms" => basis.age_ms);
        }
    }

    /// A flow's opening packet waits until a target has room.
    pub fn queued(&self, flow: &FlowKey, inputs: QueueInputs, now: Millis) {
        if self.openings.allows("queued", &self.log, now) {
            info!(self.log, "balancer: opening waits for room"; "event" => "queued",
                "flow" => flow_text(flow), "ahead" => inputs.ahead,
                "expected_wait_ms" => inputs.expected_wait_ms, "budget_ms" => inputs.budget_ms);
        }
    }

    /// A flow was reset, as the target started again and sent its packet back.
    pub fn reset_lost(&self, flow: &FlowKey, now: Millis) {
        if self.resets.allows("reset", &self.log, now) {
            info!(self.log, "agent: lost flow reset"; "event" => "reset",
                "flow" => flow_text(flow), "outcome" => "target_restarted");
        }
    }

    /// A packet was dropped.
    pub fn dropped(&self, flow: &FlowKey, reason: DropReason, basis: Basis, now: Millis) {
        if self.drops.allows("drop", &self.log, now) {
            info!(self.log, "balancer: packet dropped"; "event" => "drop",
                "flow" => flow_text(flow), "outcome" => reason.label(),
                "configuration" => basis.configuration.map(|label| label.version),
                "revision" => basis.revision, "age_ms" => basis.age_ms);
        }
    }

    /// A packet did not stay at a target.
    pub fn returned(&self, flow: &FlowKey, reason: &str, opening: bool, now: Millis) {
        if self.returns.allows("returned", &self.log, now) {
            info!(self.log, "agent: packet returned"; "event" => "returned",
                "flow" => flow_text(flow), "outcome" => reason, "opening" => opening);
        }
    }

    /// A packet that looks for its target went on to the next agent.
    pub fn passed_on(&self, flow: &FlowKey, agent: Ipv4Addr, left: usize, now: Millis) {
        if self.returns.allows("passed_on", &self.log, now) {
            info!(self.log, "agent: search passed on"; "event" => "passed_on",
                "flow" => flow_text(flow), "agent" => agent.to_string(), "left" => left);
        }
    }

    /// An opening packet waits for room at the target.
    pub fn waits(&self, flow: &FlowKey, waiting: u32, now: Millis) {
        if self.returns.allows("waits", &self.log, now) {
            info!(self.log, "agent: opening waits for room"; "event" => "opening_waits",
                "flow" => flow_text(flow), "waiting" => waiting);
        }
    }

    /// Room was granted to a balancer.
    pub fn granted(&self, balancer: Ipv4Addr, urgent_only: bool, waiting: u32, now: Millis) {
        if self.grants.allows("granted", &self.log, now) {
            info!(self.log, "agent: room granted"; "event" => "granted",
                "balancer" => balancer.to_string(), "urgent_only" => urgent_only,
                "waiting" => waiting);
        }
    }

    /// A balancer had no use for a grant.
    pub fn declined(&self, balancer: Ipv4Addr, was_kept: bool, now: Millis) {
        if self.grants.allows("declined", &self.log, now) {
            info!(self.log, "agent: grant declined"; "event" => "grant_declined",
                "balancer" => balancer.to_string(), "in_time" => was_kept);
        }
    }

    /// A balancer did not answer a grant in time.
    pub fn lapsed(&self, balancer: Ipv4Addr, now: Millis) {
        if self.grants.allows("lapsed", &self.log, now) {
            info!(self.log, "agent: grant lapsed"; "event" => "grant_lapsed",
                "balancer" => balancer.to_string());
        }
    }

    /// The target answered an opening packet, or was found to hold a flow.
    pub fn answered(&self, flow: &FlowKey, confirmed: bool, waiting: u32, now: Millis) {
        if self.openings.allows("answered", &self.log, now) {
            info!(self.log, "agent: target answered"; "event" => "answered",
                "flow" => flow_text(flow), "confirmed" => confirmed, "waiting" => waiting);
        }
    }
}

fn flow_text(flow: &FlowKey) -> String {
    format!("{}>{}", flow.client, flow.service)
}
