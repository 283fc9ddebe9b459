//! Evaluates each promise against what clients and back ends recorded.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::Serialize;

use crate::history::{BrokenFlow, Drain, Record};
use crate::sampler::{Imbalance, Window, imbalance};
use crate::scrape::Counters;

/// Time for which a draining target may still accept new flows.
const DRAIN_GRACE: Duration = Duration::from_secs(3);
/// Maximum number of broken or refused flows listed in a verdict.
const MAX_LISTED: usize = 5;

/// Slots in use at one service during the rehearsal.
#[derive(Clone, Debug)]
pub struct ServiceWindows {
    /// Name of the service.
    pub service: String,
    /// Its complete windows.
    pub windows: Vec<Window>,
}

/// The outcome of a rehearsal. Printed as a JSON object with these fields.
#[derive(Clone, Debug, Serialize)]
pub struct Verdict {
    /// Whether every promise held.
    pub held: bool,
    /// Flows that clients opened.
    pub flows_opened: u64,
    /// Flows that broke although no agent that held them was killed.
    pub flows_broken: u64,
    /// Flows that were lost with a killed agent.
    pub flows_lost_with_machine: u64,
    /// Flows that could not be opened, so that no request was sent on them.
    pub flows_refused: u64,
    /// Feed updates received in the correct order.
    pub feed_updates: u64,
    /// Requests with a complete answer.
    pub requests_answered: u64,
    /// Requests that were reported to their client as not run.
    pub requests_not_run: u64,
    /// Requests that ran more than once.
    pub requests_doubled: u64,
    /// Requests that arrived at a back end of another service.
    pub packets_misrouted: u64,
    /// Answers that belonged to another request or were corrupted.
    pub answers_crossed: u64,
    /// Requests that ran although they were reported as not run.
    pub refused_but_ran: u64,
    /// Connections that a draining target accepted more than 3 s after the drain.
    pub late_admissions: u64,
    /// Median imbalance of each service over windows of 1 s.
    pub imbalance: BTreeMap<String, f64>,
    /// 99th percentile of each service's imbalance over windows of 1 s.
    pub imbalance_p99: BTreeMap<String, f64>,
    /// Median latency of answered requests, in milliseconds.
    pub p50_ms: f64,
    /// 99th percentile of the latency of answered requests, in milliseconds.
    pub p99_ms: f64,
    /// The first broken flows, for diagnosis.
    pub first_breaks: Vec<String>,
    /// The first flows that could not be opened.
    pub first_refusals: Vec<String>,
    /// The injected faults.
    pub faults: Vec<String>,
    /// The daemons' counters, summed over the daemons still running at the end.
    pub counters: Counters,
}

/// Evaluates a record against every promise.
pub fn evaluate(record: &Record, services: &[ServiceWindows], counters: Counters) -> Verdict {
    let (lost, broken): (Vec<_>, Vec<_>) =
        record.broken.iter().partition(|broken| is_lost_with_machine(record, broken));
    let mut verdict = Verdict {
        held: false,
        flows_opened: record.flows_opened,
        flows_broken: broken.len() as u64,
        flows_lost_with_machine: lost.len() as u64,
        flows_refused: record.refused.len() as u64,
        feed_updates: record.feed_updates,
        requests_answered: record.answered,
        requests_not_run: record.reported_not_run.len() as u64,
        requests_doubled: record.runs.values().filter(|&&runs| runs > 1).count() as u64,
        packets_misrouted: record.misrouted,
        answers_crossed: record.wrong_answers,
        refused_but_ran: refused_but_ran(record),
        late_admissions: late_admissions(record),
        imbalance: BTreeMap::new(),
        imbalance_p99: BTreeMap::new(),
        p50_ms: milliseconds(record.latencies.value_at_quantile(0.5)),
        p99_ms: milliseconds(record.latencies.value_at_quantile(0.99)),
        first_breaks: broken
            .iter()
            .take(MAX_LISTED)
            .map(|broken| describe_broken_flow(record, broken))
            .collect(),
        first_refusals: record.refused.iter().take(MAX_LISTED).map(describe_event).collect(),
        faults: record.faults.iter().map(describe_event).collect(),
        counters,
    };
    for service in services {
        if let Some(Imbalance { median, p99 }) = imbalance(&service.windows) {
            verdict.imbalance.insert(service.service.clone(), round(median));
            verdict.imbalance_p99.insert(service.service.clone(), round(p99));
        }
    }
    verdict.held = verdict.promises().iter().all(|promise| promise.violations == 0)
        && verdict.requests_answered > 0;
    verdict
}

/// A promise and the number of its violations.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PromiseResult {
    /// Description of the promise.
    pub promise: &'static str,
    /// Number of violations.
    pub violations: u64,
}

impl Verdict {
    /// Returns the result of every promise that a rehearsal checks.
    pub fn promises(&self) -> [PromiseResult; 6] {
        let result = |promise, violations| PromiseResult { promise, violations };
        [
            result("open flows survive", self.flows_broken),
            result("no packet reaches another service", self.packets_misrouted),
            result("clients get complete answers to their own requests", self.answers_crossed),
            result("requests reported as not run did not run", self.refused_but_ran),
            result("no request runs twice", self.requests_doubled),
            result("a draining target accepts no new flows after 3 s", self.late_admissions),
        ]
    }
}

fn is_lost_with_machine(record: &Record, broken: &BrokenFlow) -> bool {
    let at = record.started + broken.at;
    record
        .killed_agents
        .iter()
        .any(|&(target, killed)| holders(record, broken).contains(&target) && at >= killed)
}

/// Returns the targets that accepted a connection of a broken flow's client.
fn holders<'a>(record: &'a Record, broken: &BrokenFlow) -> &'a [usize] {
    let holders = broken.client.and_then(|client| record.holders.get(&client));
    holders.map_or(&[], Vec::as_slice)
}

fn refused_but_ran(record: &Record) -> u64 {
    record.reported_not_run.iter().filter(|request| record.runs.contains_key(request)).count()
        as u64
}

fn late_admissions(record: &Record) -> u64 {
    let is_late = |drain: &Drain, at: std::time::Instant, target: usize| {
        drain.target == target
            && at > drain.from + DRAIN_GRACE
            && drain.until.is_none_or(|until| at < until)
    };
    record
        .accepted
        .iter()
        .filter(|&&(at, target)| record.drains.iter().any(|drain| is_late(drain, at, target)))
        .count() as u64
}

fn describe_broken_flow(record: &Record, broken: &BrokenFlow) -> String {
    let at = broken.at.as_secs_f64();
    let client = broken.client.map_or("unknown".to_owned(), |client| client.to_string());
    let holders = holders(record, broken);
    let BrokenFlow { kind, request, reason, .. } = broken;
    let ran = request.and_then(|request| record.runs.get(&request)).copied().unwrap_or(0);
    format!(
        "{at:.3} s: {kind:?} flow of {client}, request {request:?} ran {ran} times, \
         connections at targets {holders:?}: {reason}"
    )
}

fn describe_event((at, description): &(Duration, String)) -> String {
    format!("{:.3} s: {description}", at.as_secs_f64())
}

fn milliseconds(microseconds: u64) -> f64 {
    round(microseconds as f64 / 1_000.0)
}

fn round(value: f64) -> f64 {
    (value * 1_000.0).round() / 1_000.0
}
