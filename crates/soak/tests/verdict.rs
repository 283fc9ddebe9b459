//! Each check reports violations of its guarantee and nothing else; the generated episodes
//! are reproducible and cover all faults.

use std::time::{Duration, Instant};

use weirhinge_soak::plan::{
    Fault, Size, StoreTrouble, generate_crowds, generate_episodes, generate_series,
};
use weirhinge_soak::request_log::{Kind, Outcome, RequestRecord};
use weirhinge_soak::verdict::{
    Drain, Evidence, Span, TargetHistory, Violation, disrupted_span, find_violations,
};

const SIZE: Size = Size { balancers: 3, targets: 5 };

fn at(base: Instant, ms: u64) -> Instant {
    base + Duration::from_millis(ms)
}

fn entry(base: Instant, id: &str, outcome: Outcome) -> RequestRecord {
    RequestRecord {
        id: id.to_owned(),
        kind: Kind::Feed,
        holder: Some("one".to_owned()),
        opened_at: base,
        started_at: at(base, 100),
        finished_at: at(base, 200),
        outcome,
    }
}

fn answered() -> Outcome {
    Outcome::Answered("one".to_owned())
}

/// Evidence without violations: a target ran the request `a`, and its client got the response.
fn valid_evidence(base: Instant) -> Evidence {
    let target = TargetHistory {
        name: "one".to_owned(),
        service: "dispatch".to_owned(),
        executed_requests: vec!["a".to_owned()],
        ..TargetHistory::default()
    };
    Evidence {
        entries: vec![entry(base, "a", answered())],
        targets: vec![target],
        ..Evidence::default()
    }
}

#[test]
fn answered_request_is_no_violation() {
    assert_eq!(find_violations(&valid_evidence(Instant::now())), Vec::new());
}

#[test]
fn unexpected_runs_are_violations() {
    let base = Instant::now();
    let mut evidence = valid_evidence(base);
    evidence.targets[0].executed_requests.push("a".to_owned());
    evidence.targets[0].executed_requests.push("x".to_owned());
    let found = find_violations(&evidence);
    assert!(found.contains(&Violation::RanTwice("a".to_owned())));
    assert!(found.contains(&Violation::Unasked("x".to_owned())));
    let mut evidence = valid_evidence(base);
    evidence.targets[0].service = "sheets".to_owned();
    assert_eq!(find_violations(&evidence), vec![Violation::WrongService("a".to_owned())]);
    let mut evidence = valid_evidence(base);
    evidence.targets[0].executed_requests.clear();
    assert_eq!(find_violations(&evidence), vec![Violation::AnswerWithoutRun("a".to_owned())]);
    let mut evidence = valid_evidence(base);
    evidence.entries[0].outcome = Outcome::NeverOpened;
    assert!(find_violations(&evidence).contains(&Violation::RanUnsent("a".to_owned())));
}

#[test]
fn failures_are_allowed_only_in_disrupted_spans() {
    let base = Instant::now();
    let mut evidence = valid_evidence(base);
    evidence.entries.push(entry(base, "b", Outcome::TimedOut));
    let failed = Violation::Failed("b".to_owned(), Outcome::TimedOut);
    assert_eq!(find_violations(&evidence), vec![failed.clone()]);
    evidence.failures_allowed.push(disrupted_span(at(base, 150), at(base, 160)));
    assert_eq!(find_violations(&evidence), Vec::new());
    evidence.failures_allowed = vec![disrupted_span(at(base, 201), at(base, 260))];
    assert_eq!(find_violations(&evidence), vec![failed]);
}

#[test]
fn reset_of_held_flow_is_never_allowed() {
    let base = Instant::now();
    let mut evidence = valid_evidence(base);
    evidence.entries.push(entry(base, "b", Outcome::Reset));
    evidence.failures_allowed.push(disrupted_span(base, at(base, 300)));
    assert_eq!(find_violations(&evidence), vec![Violation::ResetHeldFlow("b".to_owned())]);
    evidence.targets[0].crashed_at.push(at(base, 50));
    assert_eq!(find_violations(&evidence), Vec::new());
}

#[test]
fn late_flows_corruption_and_reverted_configuration_are_violations() {
    let base = Instant::now();
    let mut evidence = valid_evidence(base);
    let span = Span { from: at(base, 100), to: at(base, 200) };
    evidence.drains.push(Drain { target: 0, span });
    evidence.targets[0].accepted_at = vec![at(base, 99), at(base, 201)];
    assert_eq!(find_violations(&evidence), Vec::new());
    evidence.targets[0].accepted_at.push(at(base, 150));
    assert_eq!(find_violations(&evidence), vec![Violation::LateAtDrainingTarget("one".to_owned())]);
    let mut evidence = valid_evidence(base);
    evidence.targets[0].corrupted_packets = 1;
    evidence.corrupted_to_clients = 2;
    evidence.configuration_violations.push(Violation::WentBack { balancer: 0, from: 6, to: 3 });
    let expected = vec![Violation::WentBack { balancer: 0, from: 6, to: 3 }, Violation::Forged(3)];
    assert_eq!(find_violations(&evidence), expected);
}

#[test]
fn episodes_are_reproducible_and_cover_all_faults() {
    assert_eq!(generate_episodes(7, 20, SIZE), generate_episodes(7, 20, SIZE));
    assert_ne!(generate_episodes(7, 20, SIZE), generate_episodes(8, 20, SIZE));
    let drawn: Vec<Fault> =
        generate_episodes(7, 400, SIZE).into_iter().flat_map(|episode| episode.faults).collect();
    let mut kinds: Vec<String> = drawn
        .iter()
        .map(|fault| format!("{fault:?}").split('(').next().unwrap_or_default().to_owned())
        .collect();
    kinds.sort();
    kinds.dedup();
    assert_eq!(kinds.len(), 14);
}

#[test]
fn series_overlap_and_include_store_and_target_faults() {
    let series = generate_series(7, 200, SIZE);
    assert_eq!(series, generate_series(7, 200, SIZE));
    assert!(series.iter().all(|episode| (2..=4).contains(&episode.faults.len())));
    assert!(series.iter().any(|episode| !episode.gap.is_zero()));
    let has = |fault: Fault| series.iter().any(|episode| episode.faults.contains(&fault));
    assert!(has(Fault::Store(StoreTrouble::Restored)));
    assert!(has(Fault::ForeignEntries) && has(Fault::RestartTarget(0)) && has(Fault::KillAll));
}

#[test]
fn crowd_allows_only_refused_flows() {
    let base = Instant::now();
    let mut evidence = valid_evidence(base);
    evidence.entries.push(entry(base, "b", Outcome::NeverOpened));
    let refused = Violation::Failed("b".to_owned(), Outcome::NeverOpened);
    assert_eq!(find_violations(&evidence), vec![refused.clone()]);
    evidence.refusals_allowed.push(Span { from: at(base, 150), to: at(base, 300) });
    assert_eq!(find_violations(&evidence), Vec::new());
    // A request that its client counts as refused must not run.
    evidence.targets[0].executed_requests.push("b".to_owned());
    assert_eq!(find_violations(&evidence), vec![Violation::RanUnsent("b".to_owned())]);
    evidence.targets[0].executed_requests.pop();
    evidence.entries[1].outcome = Outcome::TimedOut;
    assert_eq!(
        find_violations(&evidence),
        vec![Violation::Failed("b".to_owned(), Outcome::TimedOut)]
    );
    // After the crowd, refusals are violations again.
    evidence.entries[1].outcome = Outcome::NeverOpened;
    evidence.refusals_allowed = vec![Span { from: base, to: at(base, 99) }];
    assert_eq!(find_violations(&evidence), vec![refused]);
}

#[test]
fn crowds_include_slow_targets_and_other_faults() {
    let crowds = generate_crowds(7, 200, SIZE);
    assert_eq!(crowds, generate_crowds(7, 200, SIZE));
    assert!(crowds.iter().all(|episode| episode.faults[0] == Fault::Crowd && episode.may_refuse()));
    let is_slow = |fault: &Fault| matches!(fault, Fault::SlowTarget(_));
    assert!(
        crowds
            .iter()
            .any(|episode| episode.faults.iter().filter(|fault| is_slow(fault)).count() == 3)
    );
    assert!(crowds.iter().any(|episode| episode.faults.len() == 1));
    assert!(crowds.iter().any(|episode| !episode.is_harmless()));
    let has_crash =
        |episode: &[Fault]| episode.iter().any(|fault| matches!(fault, Fault::CrashTarget(_)));
    assert!(crowds.iter().any(|episode| has_crash(&episode.faults)));
}
