//! Judges a soak by the product's promises.

use std::collections::HashMap;
use std::fmt;
use std::time::{Duration, Instant};

use crate::record::{Entry, Kind, Outcome};

/// What one target saw.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct TargetHistory {
    /// By what its answers name it.
    pub name: String,
    /// Its service.
    pub service: String,
    /// Identifiers of the requests that it ran.
    pub ran: Vec<String>,
    /// When it took new flows.
    pub taken_at: Vec<Instant>,
    /// Packets that are not what a client wrote.
    pub forged: u64,
    /// When it lost its flows.
    pub crashed_at: Vec<Instant>,
}

/// A stretch of time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Span {
    /// Its begin.
    pub from: Instant,
    /// Its end.
    pub to: Instant,
}

/// A target that was not to get new flows.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Drain {
    /// Its place among the targets.
    pub target: usize,
    /// The time from the bound on.
    pub span: Span,
}

/// What is judged.
#[derive(Clone, Debug, Default)]
pub struct Evidence {
    /// What callers saw.
    pub entries: Vec<Entry>,
    /// What targets saw.
    pub targets: Vec<TargetHistory>,
    /// When requests may fail.
    pub excused: Vec<Span>,
    /// When openings may be refused, as there is too little room.
    pub crowded: Vec<Span>,
    /// Targets that were not to get new flows.
    pub drains: Vec<Drain>,
    /// Packets that reached clients and are not what a target wrote.
    pub forged_to_clients: u64,
    /// What was seen of configurations.
    pub configurations: Vec<Violation>,
}

impl Evidence {
    /// The request with this identifier.
    pub fn entry(&self, id: &str) -> Option<&Entry> {
        self.entries.iter().find(|entry| entry.id == id)
    }
}

/// A broken promise.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Violation {
    /// A request ran more than once.
    RanTwice(String),
    /// A target ran what no caller sent.
    Unasked(String),
    /// A target of another service ran a request.
    WrongService(String),
    /// A caller got an answer of a target that did not run the request.
    AnswerWithoutRun(String),
    /// A request ran though its caller never sent it.
    RanUnsent(String),
    /// A request failed while nothing unplanned happened.
    Failed(String, Outcome),
    /// An open flow was reset while its target held it.
    ResetHeldFlow(String),
    /// A target got a new flow past the bound on drains.
    LateAtDrainingTarget(String),
    /// A packet was changed on its way.
    Forged(u64),
    /// A configuration was not in force within its bound.
    NotInForce {
        /// Place of the balancer.
        balancer: usize,
        /// The version.
        version: u64,
    },
    /// A balancer went back to an older configuration.
    WentBack {
        /// Place of the balancer.
        balancer: usize,
        /// The newer version.
        from: u64,
        /// The older one.
        to: u64,
    },
}

impl Violation {
    /// The request that it is about, if it is about one.
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

/// All broken promises.
pub fn judge(evidence: &Evidence) -> Vec<Violation> {
    let mut violations = evidence.configurations.clone();
    judge_runs(evidence, &mut violations);
    judge_requests(evidence, &mut violations);
    judge_drains(evidence, &mut violations);
    let forged: u64 = evidence.targets.iter().map(|target| target.forged).sum();
    let forged = forged + evidence.forged_to_clients;
    if forged > 0 {
        violations.push(Violation::Forged(forged));
    }
    violations
}

/// What targets ran against what callers sent.
fn judge_runs(evidence: &Evidence, violations: &mut Vec<Violation>) {
    let sent: HashMap<&str, &Entry> =
        evidence.entries.iter().map(|entry| (entry.id.as_str(), entry)).collect();
    let mut runs: HashMap<&str, usize> = HashMap::new();
    for target in &evidence.targets {
        for id in &target.ran {
            *runs.entry(id).or_default() += 1;
            let Some(entry) = sent.get(id.as_str()) else {
                violations.push(Violation::Unasked(id.clone()));
                continue;
            };
            if entry.outcome == Outcome::NeverOpened {
                violations.push(Violation::RanUnsent(id.clone()));
            }
            let is_sheet = target.service == "sheets";
            if is_sheet != (entry.kind == Kind::Sheet) {
                violations.push(Violation::WrongService(id.clone()));
            }
        }
    }
    let doubled = runs.iter().filter(|(_, count)| **count > 1);
    violations.extend(doubled.map(|(id, _)| Violation::RanTwice((*id).to_owned())));
}

/// What callers got.
fn judge_requests(evidence: &Evidence, violations: &mut Vec<Violation>) {
    let targets: HashMap<&str, &TargetHistory> =
        evidence.targets.iter().map(|target| (target.name.as_str(), target)).collect();
    for entry in &evidence.entries {
        let id = entry.id.clone();
        match &entry.outcome {
            Outcome::Answered(name) => {
                let ran = targets.get(name.as_str()).is_some_and(|known| known.ran.contains(&id));
                if !ran {
                    violations.push(Violation::AnswerWithoutRun(id));
                }
                continue;
            }
            Outcome::Reset if holds_still(entry, &targets) => {
                violations.push(Violation::ResetHeldFlow(id.clone()));
            }
            Outcome::Reset | Outcome::TimedOut | Outcome::NeverOpened => {}
        }
        let is_refused = entry.outcome == Outcome::NeverOpened;
        let may_be_refused = is_refused && is_excused(entry, &evidence.crowded);
        if !may_be_refused && !is_excused(entry, &evidence.excused) {
            violations.push(Violation::Failed(id, entry.outcome.clone()));
        }
    }
}

/// Whether the target that held a flow did so to the end.
fn holds_still(entry: &Entry, targets: &HashMap<&str, &TargetHistory>) -> bool {
    let holder = entry.holder.as_deref().and_then(|name| targets.get(name));
    holder.is_some_and(|target| !target.crashed_at.iter().any(|at| *at >= entry.opened_at))
}

fn is_excused(entry: &Entry, excused: &[Span]) -> bool {
    excused.iter().any(|span| entry.began_at <= span.to && entry.ended_at >= span.from)
}

fn judge_drains(evidence: &Evidence, violations: &mut Vec<Violation>) {
    for drain in &evidence.drains {
        let Some(target) = evidence.targets.get(drain.target) else { continue };
        let is_late = |at: &&Instant| **at >= drain.span.from && **at <= drain.span.to;
        if target.taken_at.iter().any(|at| is_late(&at)) {
            violations.push(Violation::LateAtDrainingTarget(target.name.clone()));
        }
    }
}

/// A span around an unplanned episode in which requests may fail: flows take some
/// time to be found again.
pub fn excuse(from: Instant, mended_at: Instant) -> Span {
    /// Time after which everything is served again.
    const RECOVERY: Duration = Duration::from_secs(4);
    Span { from, to: mended_at + RECOVERY }
}
