//! Each promise's check notices when it is broken, and nothing else.

use std::time::{Duration, Instant};

use weirhinge_soak::plan::{Fault, Size, StoreTrouble, draw, draw_crowds, draw_series};
use weirhinge_soak::record::{Entry, Kind, Outcome};
use weirhinge_soak::verdict::{Drain, Evidence, Span, TargetHistory, Violation, excuse, judge};

const SIZE: Size = Size { balancers: 3, targets: 5 };

fn at(base: Instant, ms: u64) -> Instant {
    base + Duration::from_millis(ms)
}

fn entry(base: Instant, id: &str, outcome: Outcome) -> Entry {
    Entry {
        id: id.to_owned(),
        kind: Kind::Feed,
        holder: Some("one".to_owned()),
        opened_at: base,
        began_at: at(base, 100),
        ended_at: at(base, 200),
        outcome,
    }
}

fn answered() -> Outcome {
    Outcome::Answered("one".to_owned())
}

/// A target that ran the request `a`, and its caller who got the answer.
fn good(base: Instant) -> Evidence {
    let target = TargetHistory {
        name: "one".to_owned(),
        service: "dispatch".to_owned(),
        ran: vec!["a".to_owned()],
        ..TargetHistory::default()
    };
    Evidence {
        entries: vec![entry(base, "a", answered())],
        targets: vec![target],
        ..Evidence::default()
    }
}

#[test]
fn a_request_that_ran_and_was_answered_breaks_nothing() {
    assert_eq!(judge(&good(Instant::now())), Vec::new());
}

#[test]
fn runs_that_nobody_owes_are_noticed() {
    let base = Instant::now();
    let mut evidence = good(base);
    evidence.targets[0].ran.push("a".to_owned());
    evidence.targets[0].ran.push("x".to_owned());
    let found = judge(&evidence);
    assert!(found.contains(&Violation::RanTwice("a".to_owned())));
    assert!(found.contains(&Violation::Unasked("x".to_owned())));
    let mut evidence = good(base);
    evidence.targets[0].service = "sheets".to_owned();
    assert_eq!(judge(&evidence), vec![Violation::WrongService("a".to_owned())]);
    let mut evidence = good(base);
    evidence.targets[0].ran.clear();
    assert_eq!(judge(&evidence), vec![Violation::AnswerWithoutRun("a".to_owned())]);
    let mut evidence = good(base);
    evidence.entries[0].outcome = Outcome::NeverOpened;
    assert!(judge(&evidence).contains(&Violation::RanUnsent("a".to_owned())));
}

#[test]
fn failures_are_excused_around_unplanned_faults_alone() {
    let base = Instant::now();
    let mut evidence = good(base);
    evidence.entries.push(entry(base, "b", Outcome::TimedOut));
    let failed = Violation::Failed("b".to_owned(), Outcome::TimedOut);
    assert_eq!(judge(&evidence), vec![failed.clone()]);
    evidence.excused.push(excuse(at(base, 150), at(base, 160)));
    assert_eq!(judge(&evidence), Vec::new());
    evidence.excused = vec![excuse(at(base, 201), at(base, 260))];
    assert_eq!(judge(&evidence), vec![failed]);
}

#[test]
fn a_reset_of_a_held_flow_is_never_excused() {
    let base = Instant::now();
    let mut evidence = good(base);
    evidence.entries.push(entry(base, "b", Outcome::Reset));
    evidence.excused.push(excuse(base, at(base, 300)));
    assert_eq!(judge(&evidence), vec![Violation::ResetHeldFlow("b".to_owned())]);
    evidence.targets[0].crashed_at.push(at(base, 50));
    assert_eq!(judge(&evidence), Vec::new());
}

#[test]
fn late_flows_changed_packets_and_configurations_are_noticed() {
    let base = Instant::now();
    let mut evidence = good(base);
    let span = Span { from: at(base, 100), to: at(base, 200) };
    evidence.drains.push(Drain { target: 0, span });
    evidence.targets[0].taken_at = vec![at(base, 99), at(base, 201)];
    assert_eq!(judge(&evidence), Vec::new());
    evidence.targets[0].taken_at.push(at(base, 150));
    assert_eq!(judge(&evidence), vec![Violation::LateAtDrainingTarget("one".to_owned())]);
    let mut evidence = good(base);
    evidence.targets[0].forged = 1;
    evidence.forged_to_clients = 2;
    evidence.configurations.push(Violation::WentBack { balancer: 0, from: 6, to: 3 });
    let expected = vec![Violation::WentBack { balancer: 0, from: 6, to: 3 }, Violation::Forged(3)];
    assert_eq!(judge(&evidence), expected);
}

#[test]
fn a_seed_draws_the_same_faults_and_all_kinds_come() {
    assert_eq!(draw(7, 20, SIZE), draw(7, 20, SIZE));
    assert_ne!(draw(7, 20, SIZE), draw(8, 20, SIZE));
    let drawn: Vec<Fault> =
        draw(7, 400, SIZE).into_iter().flat_map(|episode| episode.faults).collect();
    let mut kinds: Vec<String> = drawn
        .iter()
        .map(|fault| format!("{fault:?}").split('(').next().unwrap_or_default().to_owned())
        .collect();
    kinds.sort();
    kinds.dedup();
    assert_eq!(kinds.len(), 14);
}

#[test]
fn series_overlap_and_hold_what_happens_to_the_store_and_the_targets() {
    let series = draw_series(7, 200, SIZE);
    assert_eq!(series, draw_series(7, 200, SIZE));
    assert!(series.iter().all(|one| (2..=4).contains(&one.faults.len())));
    assert!(series.iter().any(|one| !one.gap.is_zero()));
    let has = |fault: Fault| series.iter().any(|one| one.faults.contains(&fault));
    assert!(has(Fault::Store(StoreTrouble::Restored)));
    assert!(has(Fault::ForeignEntries) && has(Fault::RestartTarget(0)) && has(Fault::KillAll));
}

#[test]
fn in_a_crowd_openings_may_be_refused_and_nothing_else() {
    let base = Instant::now();
    let mut evidence = good(base);
    evidence.entries.push(entry(base, "b", Outcome::NeverOpened));
    let refused = Violation::Failed("b".to_owned(), Outcome::NeverOpened);
    assert_eq!(judge(&evidence), vec![refused.clone()]);
    evidence.crowded.push(Span { from: at(base, 150), to: at(base, 300) });
    assert_eq!(judge(&evidence), Vec::new());
    // A request that its caller counts as refused must not run.
    evidence.targets[0].ran.push("b".to_owned());
    assert_eq!(judge(&evidence), vec![Violation::RanUnsent("b".to_owned())]);
    evidence.targets[0].ran.pop();
    evidence.entries[1].outcome = Outcome::TimedOut;
    assert_eq!(judge(&evidence), vec![Violation::Failed("b".to_owned(), Outcome::TimedOut)]);
    // Once the crowd is over all are served.
    evidence.entries[1].outcome = Outcome::NeverOpened;
    evidence.crowded = vec![Span { from: base, to: at(base, 99) }];
    assert_eq!(judge(&evidence), vec![refused]);
}

#[test]
fn crowds_meet_slow_targets_and_other_faults() {
    let crowds = draw_crowds(7, 200, SIZE);
    assert_eq!(crowds, draw_crowds(7, 200, SIZE));
    assert!(crowds.iter().all(|one| one.faults[0] == Fault::Crowd && one.may_refuse()));
    let slow = |fault: &Fault| matches!(fault, Fault::SlowTarget(_));
    assert!(crowds.iter().any(|one| one.faults.iter().filter(|fault| slow(fault)).count() == 3));
    assert!(crowds.iter().any(|one| one.faults.len() == 1));
    assert!(crowds.iter().any(|one| !one.is_harmless()));
    let known = |one: &[Fault]| one.iter().any(|fault| matches!(fault, Fault::CrashTarget(_)));
    assert!(crowds.iter().any(|one| known(&one.faults)));
}
