//! Tests of the evaluation itself: each promise's check detects a violation, and
//! invalid scenarios are rejected with the field and the reason.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use insta::assert_snapshot;
use weirhinge_rehearsal::history::{Drain, FlowKind, History};
use weirhinge_rehearsal::sampler::{Window, imbalance};
use weirhinge_rehearsal::scenario::Scenario;
use weirhinge_rehearsal::scrape::Counters;
use weirhinge_rehearsal::verdict::{Verdict, evaluate};

fn verdict(add_events: impl FnOnce(&History)) -> Verdict {
    let history = History::new().expect("history");
    for request in 1..=3 {
        history.record_run(request);
        history.record_answer(Duration::from_millis(10));
    }
    add_events(&history);
    let record = history.lock();
    evaluate(&record, &[], Counters::new())
}

#[test]
fn record_without_violations_holds() {
    assert!(verdict(|_| {}).held);
}

#[test]
fn empty_record_does_not_hold() {
    let history = History::new().expect("history");
    assert!(!evaluate(&history.lock(), &[], Counters::new()).held);
}

#[test]
fn each_violation_is_detected() {
    let doubled = verdict(|history| history.record_run(2));
    assert_eq!((doubled.held, doubled.requests_doubled), (false, 1));
    let ran_though_reported = verdict(|history| history.record_not_run(3));
    assert_eq!((ran_though_reported.held, ran_though_reported.refused_but_ran), (false, 1));
    let reported_correctly = verdict(|history| history.record_not_run(4));
    assert_eq!((reported_correctly.held, reported_correctly.requests_not_run), (true, 1));
    let wrong_answers = verdict(|history| history.lock().wrong_answers = 1);
    assert_eq!((wrong_answers.held, wrong_answers.answers_crossed), (false, 1));
    let misrouted = verdict(|history| history.lock().misrouted = 1);
    assert_eq!((misrouted.held, misrouted.packets_misrouted), (false, 1));
    let broken = verdict(|history| history.record_broken_flow(FlowKind::Feed, None, None, "reset"));
    assert_eq!((broken.held, broken.flows_broken), (false, 1));
}

#[test]
fn only_killed_agents_flows_count_as_lost() {
    let verdict = verdict(|history| {
        let client = |port| SocketAddr::from(([198, 18, 0, 1], port));
        history.record_accepted(1, client(1));
        history.record_accepted(2, client(2));
        history.lock().killed_agents.push((1, Instant::now()));
        std::thread::sleep(Duration::from_millis(2));
        history.record_broken_flow(
            FlowKind::Feed,
            Some(client(1)),
            None,
            "held by the killed agent",
        );
        history.record_broken_flow(FlowKind::Feed, Some(client(2)), None, "held by another agent");
    });
    assert_eq!((verdict.flows_lost_with_machine, verdict.flows_broken), (1, 1));
}

#[test]
fn admissions_are_late_between_grace_and_drain_end() {
    let late = |seconds_after: u64, until: Option<u64>| {
        verdict(|history| {
            let now = Instant::now();
            let from = now - Duration::from_secs(seconds_after);
            let until = until.map(|seconds| from + Duration::from_secs(seconds));
            history.lock().drains.push(Drain { target: 4, from, until });
            history.lock().accepted.push((now, 4));
            history.lock().accepted.push((now, 5));
        })
        .late_admissions
    };
    assert_eq!(late(2, None), 0);
    assert_eq!(late(4, None), 1);
    assert_eq!(late(9, Some(5)), 0);
    assert_eq!(late(4, Some(5)), 1);
}

#[test]
fn imbalance_mean_excludes_draining_targets() {
    let window = Window { means: vec![4.0, 2.0, 0.0], active: vec![true, true, false] };
    assert_eq!(window.imbalance(), Some(4.0 / 3.0));
    let idle = Window { means: vec![0.0, 0.0], active: vec![true, true] };
    assert_eq!(idle.imbalance(), None);
    let values = imbalance(&[window.clone(), window, idle]).expect("busy windows");
    assert_eq!((values.median, values.p99), (4.0 / 3.0, 4.0 / 3.0));
}

#[test]
fn shipped_scenarios_are_valid() {
    assert!(Scenario::shipped().count() >= 2);
    for name in Scenario::shipped() {
        Scenario::load(name).expect("valid scenario");
    }
}

#[test]
fn invalid_scenarios_are_rejected_with_field_and_reason() {
    let text = include_str!("../scenarios/bluebonnet.toml");
    let rejection = |from: &str, to: &str| {
        assert!(text.contains(from));
        Scenario::from_toml("mine.toml", &text.replace(from, to))
            .expect_err("invalid scenario")
            .to_string()
    };
    assert_snapshot!(rejection("client_loss = 0.01", "client_loss = 1.5"), @"mine.toml: field network.client_loss: found 1.5, expected a share from 0 to 1");
    assert_snapshot!(rejection("drain-target = 2", "drain-target = 10"), @"mine.toml: field faults[2].action: found 10, expected a number below 10");
    assert_snapshot!(rejection("service_ms = 200.0", "service_ms = 0.0"), @"mine.toml: field services[0].service_ms: found 0, expected a number above 0");
    assert_snapshot!(rejection("balancers = 6", "balancers = 0"), @"mine.toml: field balancers: found 0, expected at least 1");
    assert!(rejection("drain-target", "drane-target").contains("drane-target"));
}
