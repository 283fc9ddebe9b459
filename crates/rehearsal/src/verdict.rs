//! Judges each promise by what was recorded on both sides.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::Serialize;

use crate::history::{BrokenFlow, Drain, Record};
use crate::sampler::{Imbalance, Window, imbalance};
use crate::scrape::Counters;

/// A leaving target may still take new flows for this long.
const DRAIN_GRACE: Duration = Duration::from_secs(3);
/// Broken or refused flows listed in a verdict at most.
const LISTED: usize = 5;

/// Slots in use of one service over the rehearsal.
#[derive(Clone, Debug)]
pub struct ServiceWindows {
    /// Name of the service.
    pub service: String,
    /// Its whole windows.
    pub windows: Vec<Window>,
}

/// The outcome of a rehearsal; one JSON object, field by field.
#[derive(Clone, Debug, Serialize)]
pub struct Verdict {
    /// Whether every promise held.
    pub held: bool,
    /// Flows that callers opened.
    pub flows_opened: u64,
    /// Flows that broke although no machine that held them died.
    pub flows_broken: u64,
    /// Flows that were lost with a killed agent.
    pub flows_lost_with_machine: u64,
    /// Flows that could not be opened; nothing was sent on them.
    pub flows_refused: u64,
    /// Feed updates received, each in its place.
    pub feed_updates: u64,
    /// Requests answered whole.
    pub requests_answered: u64,
    /// Requests that a caller was told did not run.
    pub requests_not_run: u64,
    /// Requests that ran more than once.
    pub requests_doubled: u64,
    /// Requests that arrived at another service.
    pub packets_misrouted: u64,
    /// Answers that belonged to another request or were damaged.
    pub answers_crossed: u64,
    /// Requests that ran although their caller was told otherwise.
    pub refused_but_ran: u64,
    /// Connections that a leaving target accepted after 3 s.
    pub late_admissions: u64,
    /// Median imbalance of each service over windows of 1 s.
    pub imbalance: BTreeMap<String, f64>,
    /// 99th percentile of the same.
    pub imbalance_p99: BTreeMap<String, f64>,
    /// Median latency of answered requests, in milliseconds.
    pub p50_ms: f64,
    /// 99th percentile of the same.
    pub p99_ms: f64,
    /// The first broken flows, for finding the cause.
    pub first_breaks: Vec<String>,
    /// The first flows that could not be opened.
    pub first_refusals: Vec<String>,
    /// The faults that were carried out.
    pub faults: Vec<String>,
    /// The daemons' own counters, summed over those that live at the end.
    pub counters: Counters,
}

/// Judges a record.
pub fn judge(record: &Record, services: &[ServiceWindows], counters: Counters) -> Verdict {
    let (lost, broken): (Vec<_>, Vec<_>) =
        record.broken.iter().partition(|broken| lost_with_machine(record, broken));
    let mut verdict = Verdict {
        held: false,
        flows_opened: record.flows_opened,
        flows_broken: broken.len() as u64,
        flows_lost_with_machine: lost.len() as u64,
        flows_refused: record.refused.len() as u64,
        feed_updates: record.feed_updates,
        requests_answered: record.answered,
        requests_not_run: record.told_not_run.len() as u64,
        requests_doubled: record.runs.values().filter(|&&runs| runs > 1).count() as u64,
        packets_misrouted: record.misrouted,
        answers_crossed: record.crossed,
        refused_but_ran: refused_but_ran(record),
        late_admissions: late_admissions(record),
        imbalance: BTreeMap::new(),
        imbalance_p99: BTreeMap::new(),
        p50_ms: milliseconds(record.latencies.value_at_quantile(0.5)),
        p99_ms: milliseconds(record.latencies.value_at_quantile(0.99)),
        first_breaks: broken.iter().take(LISTED).map(|broken| describe(record, broken)).collect(),
        first_refusals: record.refused.iter().take(LISTED).map(describe_event).collect(),
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

/// One promise and how often it was violated.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PromiseResult {
    /// The promise.
    pub promise: &'static str,
    /// Violations seen.
    pub violations: u64,
}

impl Verdict {
    /// Every promise that a rehearsal checks.
    pub fn promises(&self) -> [PromiseResult; 6] {
        let result = |promise, violations| PromiseResult { promise, violations };
        [
            result("open flows survive", self.flows_broken),
            result("no packet reaches another service", self.packets_misrouted),
            result("callers get whole answers to their own requests", self.answers_crossed),
            result("told not run means not run", self.refused_but_ran),
            result("nothing runs twice", self.requests_doubled),
            result("a leaving target takes nothing new after 3 s", self.late_admissions),
        ]
    }
}

fn lost_with_machine(record: &Record, broken: &BrokenFlow) -> bool {
    let at = record.started + broken.at;
    record
        .killed_agents
        .iter()
        .any(|&(target, killed)| holders(record, broken).contains(&target) && at >= killed)
}

/// The targets that accepted a connection for a broken flow's caller.
fn holders<'a>(record: &'a Record, broken: &BrokenFlow) -> &'a [usize] {
    let holders = broken.caller.and_then(|caller| record.holders.get(&caller));
    holders.map_or(&[], Vec::as_slice)
}

fn refused_but_ran(record: &Record) -> u64 {
    record.told_not_run.iter().filter(|request| record.runs.contains_key(request)).count() as u64
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

fn describe(record: &Record, broken: &BrokenFlow) -> String {
    let at = broken.at.as_secs_f64();
    let caller = broken.caller.map_or("unknown".to_owned(), |caller| caller.to_string());
    let holders = holders(record, broken);
    let BrokenFlow { kind, request, reason, .. } = broken;
    let ran = request.and_then(|request| record.runs.get(&request)).copied().unwrap_or(0);
    format!(
        "{at:.3} s: {kind:?} flow of {caller}, request {request:?} ran {ran} times, \
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
