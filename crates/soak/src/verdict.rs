//! Checks the evidence of a soak against the guarantees of the product.

use std::collections::HashMap;
use std::fmt;
use std::time::{Duration, Instant};

use crate::request_log::{Kind, Outcome, RequestRecord};

/// What one target observed.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct TargetHistory {
    /// Name of the target in its responses.
    pub name: String,
    /// Service that it belongs to.
    pub service: String,
    /// Identifiers of the requests that it ran.
    pub executed_requests: Vec<String>,
    /// When it accepted new flows.
    pub accepted_at: Vec<Instant>,
    /// Number of received packets that differ from what a client sent.
    pub corrupted_packets: u64,
    /// When it crashed and lost its flows.
    pub crashed_at: Vec<Instant>,
}

/// A time span, with both ends included.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Span {
    /// Start of the span.
    pub from: Instant,
    /// End of the span.
    pub to: Instant,
}

/// A period in which a draining target must not get new flows.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Drain {
    /// Index of the target.
    pub target: usize,
    /// The period, which starts when the bound on drains has passed.
    pub span: Span,
}

/// Everything that the checks of a soak are based on.
#[derive(Clone, Debug, Default)]
pub struct Evidence {
    /// Requests that clients finished.
    pub entries: Vec<RequestRecord>,
    /// History of each target.
    pub targets: Vec<TargetHistory>,
    /// Spans in which requests may fail.
    pub failures_allowed: Vec<Span>,
    /// Spans in which flows may be refused because capacity is short.
    pub refusals_allowed: Vec<Span>,
    /// Periods in which targets must not get new flows.
    pub drains: Vec<Drain>,
    /// Number of packets received by clients that differ from what a target sent.
    pub corrupted_to_clients: u64,
    /// Violations found while the versions of the configuration were polled.
    pub configuration_violations: Vec<Violation>,
}

impl Evidence {
    /// Returns the request with this identifier.
    pub fn entry(&self, id: &str) -> Option<&RequestRecord> {
        self.entries.iter().find(|entry| entry.id == id)
    }
}

/// A broken guarantee.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Violation {
    /// A request ran more than once.
    RanTwice(String),
    /// A target ran a request that is not in the clients' log.
    Unasked(String),
    /// A target of another service ran a request.
    WrongService(String),
    /// A client got a response from a target that did not run the request.
    AnswerWithoutRun(String),
    /// A request ran although its client could not open a flow to send it.
    RanUnsent(String),
    /// A request failed outside the spans in which this outcome is allowed.
    Failed(String, Outcome),
    /// A flow was reset although the target that held it had not crashed since it opened.
    ResetHeldFlow(String),
    /// A draining target got a new flow after the bound on drains.
    LateAtDrainingTarget(String),
    /// This number of packets were corrupted in transit.
    Forged(u64),
    /// A configuration was not in effect within its bound.
    NotInForce {
        /// Index of the balancer.
        balancer: usize,
        /// Version that was expected.
        version: u64,
    },
    /// A balancer reverted to an older configuration within one incarnation.
    WentBack {
        /// Index of the balancer.
        balancer: usize,
        /// Version seen before.
        from: u64,
        /// Older version seen afterwards.
        to: u64,
    },
}

impl Violation {
    /// Returns the identifier of the affected request, if the violation concerns one.
    pub fn request(&self) -> Option<&str> {
        match self {
            Violation::RanTwice(id)
            | Violation::Unasked(id)
            | Violation::WrongService(id)
            | Violation::AnswerWithoutRun(id)
            | Violation::RanUnsent(id)
            | Violation::Failed(id, _)
            | Violation::ResetHeldFlow(id) => Some(id),
            Violation::LateAtDrainingTarget(_)
            | Violation::Forged(_)
            | Violation::NotInForce { .. }
            | Violation::WentBack { .. } => None,
        }
    }
}

impl fmt::Display for Violation {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{self:?}")
    }
}

/// Returns all violations that the evidence shows.
pub fn find_violations(evidence: &Evidence) -> Vec<Violation> {
    let mut violations = evidence.configuration_violations.clone();
    check_runs(evidence, &mut violations);
    check_outcomes(evidence, &mut violations);
    check_drains(evidence, &mut violations);
    let corrupted_packets: u64 =
        evidence.targets.iter().map(|target| target.corrupted_packets).sum();
    let corrupted_packets = corrupted_packets + evidence.corrupted_to_clients;
    if corrupted_packets > 0 {
        violations.push(Violation::Forged(corrupted_packets));
    }
    violations
}

/// Checks the requests that targets ran against those that clients sent.
fn check_runs(evidence: &Evidence, violations: &mut Vec<Violation>) {
    let sent: HashMap<&str, &RequestRecord> =
        evidence.entries.iter().map(|entry| (entry.id.as_str(), entry)).collect();
    let mut runs: HashMap<&str, usize> = HashMap::new();
    for target in &evidence.targets {
        for id in &target.executed_requests {
            *runs.entry(id).or_default() += 1;
            let Some(entry) = sent.get(id.as_str()) else {
                violations.push(Violation::Unasked(id.clone()));
                continue;
            };
            if entry.outcome == Outcome::NeverOpened {
                violations.push(Violation::RanUnsent(id.clone()));
            }
            let is_sheets_target = target.service == "sheets";
            if is_sheets_target != (entry.kind == Kind::Sheet) {
                violations.push(Violation::WrongService(id.clone()));
            }
        }
    }
    let repeated = runs.iter().filter(|(_, count)| **count > 1);
    violations.extend(repeated.map(|(id, _)| Violation::RanTwice((*id).to_owned())));
}

/// Checks the outcome that clients saw for each request.
fn check_outcomes(evidence: &Evidence, violations: &mut Vec<Violation>) {
    let targets: HashMap<&str, &TargetHistory> =
        evidence.targets.iter().map(|target| (target.name.as_str(), target)).collect();
    for entry in &evidence.entries {
        let id = entry.id.clone();
        match &entry.outcome {
            Outcome::Answered(name) => {
                let ran = targets
                    .get(name.as_str())
                    .is_some_and(|history| history.executed_requests.contains(&id));
                if !ran {
                    violations.push(Violation::AnswerWithoutRun(id));
                }
                continue;
            }
            Outcome::Reset if is_holder_alive(entry, &targets) => {
                violations.push(Violation::ResetHeldFlow(id.clone()));
            }
            Outcome::Reset | Outcome::TimedOut | Outcome::NeverOpened => {}
        }
        let is_refused = entry.outcome == Outcome::NeverOpened;
        let may_be_refused = is_refused && overlaps_any(entry, &evidence.refusals_allowed);
        if !may_be_refused && !overlaps_any(entry, &evidence.failures_allowed) {
            violations.push(Violation::Failed(id, entry.outcome.clone()));
        }
    }
}

/// Whether the target that held the request's flow is known and has not crashed since the
/// flow was opened.
fn is_holder_alive(entry: &RequestRecord, targets: &HashMap<&str, &TargetHistory>) -> bool {
    let holder = entry.holder.as_deref().and_then(|name| targets.get(name));
    holder.is_some_and(|target| !target.crashed_at.iter().any(|at| *at >= entry.opened_at))
}

/// Whether the request overlaps one of the spans.
fn overlaps_any(entry: &RequestRecord, spans: &[Span]) -> bool {
    spans.iter().any(|span| entry.started_at <= span.to && entry.finished_at >= span.from)
}

/// Checks that draining targets got no new flows after the bound on drains.
fn check_drains(evidence: &Evidence, violations: &mut Vec<Violation>) {
    for drain in &evidence.drains {
        let Some(target) = evidence.targets.get(drain.target) else { continue };
        let is_late = |at: &&Instant| **at >= drain.span.from && **at <= drain.span.to;
        if target.accepted_at.iter().any(|at| is_late(&at)) {
            violations.push(Violation::LateAtDrainingTarget(target.name.clone()));
        }
    }
}

/// Returns the span in which requests may fail because of disruptive faults. It extends past
/// the end of the faults because the search for the holders of flows takes time.
pub fn disrupted_span(from: Instant, cleared_at: Instant) -> Span {
    /// Time after the end of the faults until all requests must succeed again.
    const RECOVERY: Duration = Duration::from_secs(4);
    Span { from, to: cleared_at + RECOVERY }
}
