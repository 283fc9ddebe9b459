//! Log lines of machines with different clocks, merged and selected by request, flow or daemon.

use weirhinge_observe::{MergedLogs, Subject};

const FLOW: &str = "100.64.0.7:40001>198.18.0.1:443";

fn line(node: &str, second: u32, event: &str, fields: &str) -> String {
    format!(
        "{{\"ts\":\"2026-01-01T00:00:{second:02}.500Z\",\"node\":\"{node}\",\
         \"event\":\"{event}\",\"msg\":\"m\"{fields}}}"
    )
}

fn flow_field(flow: &str) -> String {
    format!(",\"flow\":\"{flow}\"")
}

/// Logs of a balancer, and of an agent whose clock is 20 seconds ahead.
fn merged_logs() -> MergedLogs {
    let flow = flow_field(FLOW);
    let agent = ",\"agent\":\"10.0.0.9\"";
    let balancer = [
        line("b", 1, "opening", &format!("{flow}{agent}")),
        line("b", 2, "request", &format!("{flow}{agent},\"request\":\"r-1\"")),
        line("b", 3, "request", &format!("{flow}{agent},\"request\":\"r-2\"")),
        line("b", 3, "opening", &flow_field("100.64.0.8:1>198.18.0.1:443")),
        line("b", 5, "reset", &format!("{flow},\"outcome\":\"nobody_holds\"")),
        line("b", 30, "search", &flow),
    ];
    let agent = [
        line("a", 19, "start", ",\"address\":\"10.0.0.9\""),
        line("a", 21, "answered", &flow),
        line("a", 24, "returned", &format!("{flow},\"outcome\":\"bounced\"")),
    ];
    let mut logs = MergedLogs::default();
    logs.read(&balancer.join("\n"));
    logs.read(&agent.join("\n"));
    logs
}

fn events(logs: &MergedLogs, subject: &Subject) -> Vec<String> {
    logs.lines_about(subject).into_iter().map(|selected| selected.line.event).collect()
}

#[test]
fn request_lines_are_ordered_by_corrected_time() {
    let logs = merged_logs();
    assert_eq!(logs.clock_offsets().get("a"), Some(&20_000));
    let selected = events(&logs, &Subject::Request("r-1".to_owned()));
    assert_eq!(selected, ["opening", "answered", "request", "returned", "reset"]);
}

#[test]
fn flow_and_daemon_select_all_their_lines() {
    let logs = merged_logs();
    let flow = events(&logs, &Subject::Flow(FLOW.to_owned()));
    assert_eq!(flow.len(), 7);
    assert_eq!(events(&logs, &Subject::Node("a".to_owned())).len(), 3);
    assert!(events(&logs, &Subject::Request("unknown".to_owned())).is_empty());
}

#[test]
fn leading_text_is_ignored_and_unreadable_lines_are_counted() {
    let mut logs = MergedLogs::default();
    logs.read(&format!("  12.5 machine-1 {}\n", line("b", 1, "start", "")));
    logs.read("no line at all\n{\"ts\":\"later\"}\n{broken\n\n");
    assert_eq!(logs.unreadable(), 3);
    assert_eq!(events(&logs, &Subject::Node("b".to_owned())), ["start"]);
}

/// Answers are logged later than openings even if clocks agree, because of the network delay and
/// the target's response time. Treating this delay as a clock offset would move the agent's lines
/// before the lines that caused them.
#[test]
fn small_delay_is_not_treated_as_clock_offset() {
    let flow = flow_field(FLOW);
    let mut logs = MergedLogs::default();
    logs.read(&line("b", 1, "opening", &format!("{flow},\"agent\":\"10.0.0.9\"")));
    logs.read(&line("a", 1, "start", ",\"address\":\"10.0.0.9\""));
    let answered = line("a", 1, "answered", &flow).replace("01.500Z", "01.512Z");
    logs.read(&answered);
    assert!(logs.clock_offsets().is_empty());
}
