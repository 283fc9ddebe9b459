//! Timeline of the logs of a small fleet.

use std::fmt::Write;

use weirhinge_observe::{Timeline, TimelineOptions};

/// Returns a log line of a daemon at `at_ms`.
fn line(node: &str, at_ms: u32, event: &str, fields: &str) -> String {
    let (second, milli) = (at_ms / 1_000, at_ms % 1_000);
    format!(
        "{{\"ts\":\"2026-01-01T00:00:{second:02}.{milli:03}Z\",\"node\":\"{node}\",\
         \"event\":\"{event}\",\"msg\":\"m\"{fields}}}\n"
    )
}

/// Two balancers and an agent that start, lose power at 4 s and restart at 4.5 s; then balancer b-2
/// serves nothing until 9 s.
fn log() -> String {
    let mut log = String::new();
    for (node, service) in [("b-1", ""), ("b-2", ""), ("a-1", ",\"service\":\"sheets\"")] {
        log += &line(node, 0, "start", service);
        log += &line(node, 4_500, "start", service);
    }
    log += &line("b-1", 30, "configuration", "");
    log += &line("b-1", 4_530, "configuration", "");
    let flow = ",\"flow\":\"c:1>s:443\"";
    log += &line("b-1", 4_600, "search", flow);
    log += &line("b-1", 4_655, "reset", &format!("{flow},\"outcome\":\"nobody_holds\""));
    log += &line("b-1", 4_700, "opening", &format!("{flow},\"outcome\":\"opened\""));
    log += &line("a-1", 4_702, "answered", &format!("{flow},\"confirmed\":false"));
    log += &line("b-1", 4_900, "reset", ",\"flow\":\"c:2>s:443\",\"outcome\":\"refused\"");
    log += &line("b-1", 5_000, "lines_suppressed", ",\"kind\":\"search\",\"count\":61");
    // A balancer that is added while the others serve requests.
    log += &line("b-3", 9_000, "start", "");
    log += &line("b-3", 9_100, "request", "");
    for request in 0..60 {
        let at_ms = 5_000 + request * 100;
        log += &line("b-1", at_ms, "request", "");
        let serves_again = at_ms >= 9_000;
        log += &line("b-2", at_ms, if serves_again { "request" } else { "tick" }, "");
    }
    log + "no line at all\n"
}

fn report(options: TimelineOptions) -> weirhinge_observe::TimelineReport {
    let mut timeline = Timeline::new(options);
    log().lines().for_each(|line| timeline.read_line(line));
    timeline.report()
}

#[test]
fn intervals_count_lines_by_kind_and_suppressed_lines() {
    let report = report(TimelineOptions { every_ms: 2_000, to_ms: 6_000, ..Default::default() });
    let mut text = String::new();
    for interval in &report.intervals {
        writeln!(text, "{} {:?}", interval.at_ms, interval.counts).expect("text");
    }
    insta::assert_snapshot!(text, @r#"
    0 {"configuration": 1, "start": 3}
    4000 {"answered": 1, "configuration": 1, "opening:opened": 1, "request": 10, "reset:nobody_holds": 1, "reset:refused": 1, "search": 62, "start": 3, "tick": 10}
    "#);
    assert_eq!(report.unreadable, 1);
}

#[test]
fn wave_reports_starts_and_following_events() {
    let waves = report(TimelineOptions::default()).waves;
    insta::assert_debug_snapshot!(waves[1], @"
    StartWave {
        balancers: Some(
            (
                4500,
                4500,
            ),
        ),
        agents: Some(
            (
                4500,
                4500,
            ),
        ),
        daemons: 3,
        first_configuration: Some(
            4530,
        ),
        first_reset: Some(
            4655,
        ),
        first_answer: Some(
            4702,
        ),
        last_refusal: Some(
            4900,
        ),
    }
    ");
    assert_eq!(waves.len(), 2, "a single start is not a wave");
}

#[test]
fn daemon_without_requests_in_busy_spans_is_idle() {
    let idle = report(TimelineOptions::default()).idle;
    let reported: Vec<_> =
        idle.iter().map(|idle| (idle.node.as_str(), idle.from_ms, idle.to_ms)).collect();
    assert_eq!(reported, [("b-2", 5_000, 9_000)]);
}

#[test]
fn step_durations_are_reported() {
    let steps = report(TimelineOptions::default()).steps;
    let reported: Vec<_> = steps.iter().map(|step| (step.step, step.count, step.p50_ms)).collect();
    assert_eq!(reported, [("opening sent to target's answer", 1, 2), ("search to reset", 1, 55)]);
}

#[test]
fn node_option_selects_daemons_by_name_prefix() {
    let options = TimelineOptions { node: "a-".to_owned(), ..Default::default() };
    let lines: u64 = report(options).intervals.iter().flat_map(|at| at.counts.values()).sum();
    assert_eq!(lines, 3);
}
