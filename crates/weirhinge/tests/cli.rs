//! The command line: exit codes, help texts, and errors that name the field and the reason.

use std::path::PathBuf;
use std::process::{Command, Output};

use insta::assert_snapshot;

fn run_weirhinge(arguments: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_weirhinge")).args(arguments).output().expect("runs")
}

/// Runs a command that must fail with the usage exit code. Returns its standard error.
fn usage_error(arguments: &[&str]) -> String {
    let output = run_weirhinge(arguments);
    assert_eq!(output.status.code(), Some(2), "exit code of {arguments:?}");
    String::from_utf8(output.stderr).expect("text")
}

fn write_file(name: &str, text: &str) -> PathBuf {
    let path = std::env::temp_dir().join(format!("weirhinge-cli-{}-{name}", std::process::id()));
    std::fs::write(&path, text).expect("written");
    path
}

#[test]
fn help_and_version_succeed() {
    for arguments in [
        &["--help"][..],
        &["--version"],
        &["balancer", "--help"],
        &["agent", "--help"],
        &["check", "--help"],
        &["apply", "--help"],
        &["relay", "--help"],
        &["explain", "--help"],
    ] {
        let output = run_weirhinge(arguments);
        assert_eq!(output.status.code(), Some(0), "{arguments:?}");
        assert!(!output.stdout.is_empty(), "{arguments:?}");
    }
}

#[test]
fn invalid_command_lines_name_the_reason() {
    assert_snapshot!(usage_error(&["balance"]), @r#"weirhinge: command "balance": unknown, see --help"#);
    assert_snapshot!(usage_error(&["balancer", "--zonne", "a"]), @r#"weirhinge: argument "--zonne": unknown, see --help"#);
    assert_snapshot!(usage_error(&["agent", "--zone", "a", "--fabric", "127.0.0.1:1"]), @"weirhinge: command line: field target: found nothing, expected a target's id");
    assert_snapshot!(usage_error(&["agent", "--log-level", "loud"]), @r#"weirhinge: --log-level "loud": expected critical, error, warning, info, debug or trace"#);
    assert_snapshot!(usage_error(&["drain", "--api", "127.0.0.1:1x"]), @"weirhinge: --api: failed to parse '127.0.0.1:1x': invalid socket address syntax");
    assert_snapshot!(usage_error(&["agent", "--settings", "/does/not/exist"]), @"weirhinge: /does/not/exist: cannot be read: No such file or directory (os error 2)");
}

#[test]
fn check_accepts_valid_files_and_rejects_invalid_ones() {
    let document = write_file("document.toml", "revision = 1\nservices = []\n");
    let output = run_weirhinge(&["check", &document.display().to_string()]);
    assert_eq!(output.status.code(), Some(0));
    let text = String::from_utf8(output.stdout).expect("text");
    assert!(text.contains("valid configuration document, revision 1, 0 services, 0 targets"));
    let settings =
        write_file("agent.toml", "zone = \"a\"\ntarget = 1\nplatform = \"127.0.0.1:1\"\n");
    let error = usage_error(&["check", &settings.display().to_string()]);
    assert!(error.contains("field fabric: found nothing"), "{error}");
}

#[test]
fn missing_keys_file_is_a_runtime_failure() {
    let output = run_weirhinge(&[
        "balancer",
        "--zone",
        "a",
        "--platform",
        "127.0.0.1:1",
        "--keys-file",
        "/does/not/exist",
    ]);
    assert_eq!(output.status.code(), Some(1));
    let text = String::from_utf8(output.stderr).expect("text");
    assert!(text.contains("/does/not/exist: cannot be read"), "{text}");
}

/// Settings of a relay agent, as rendered from the platform's template.
const RELAY_AGENT: &str = "\
name = \"side-1\"
zone = \"a\"
address = \"10.1.0.12\"
packets = \"10.1.0.12:8172\"
readiness = \"10.1.0.12:8167\"
peer_port = 7720
seeds = [\"10.1.0.10:8166\"]
store = \"10.200.1.7:8169\"
stop_limit_s = 6
target_output = \"10.1.0.12:8162\"
target = \"10.1.0.12:8165\"
service = \"sheets\"
";

/// Returns the error of `check` for relay settings with one line replaced.
fn relay_check_error(line: &str, replacement: &str) -> String {
    let file = write_file("relay.toml", &RELAY_AGENT.replace(line, replacement));
    let error = usage_error(&["check", &file.display().to_string()]);
    error.replace(&file.display().to_string(), "FILE")
}

#[test]
fn relay_settings_errors_name_the_field() {
    let file = write_file("relay-good.toml", RELAY_AGENT);
    let output = run_weirhinge(&["check", &file.display().to_string()]);
    let text = String::from_utf8(output.stdout).expect("text");
    assert!(text.contains("valid relay agent settings for sheets"), "{text}");
    assert_snapshot!(relay_check_error("peer_port = 7720", "peer_port = 0"), @"weirhinge: FILE: field peer_port: found 0, expected 1 to 65535");
    assert_snapshot!(relay_check_error("\"10.1.0.10:8166\"", "\"10.1.0.10\""), @r#"weirhinge: FILE: field seeds[0]: found "10.1.0.10", expected an IPv4 address and port"#);
    assert_snapshot!(relay_check_error("stop_limit_s = 6", "stop_limit_s = -1"), @"weirhinge: FILE: field stop_limit_s: found -1, expected 0 to 3600 seconds");
    assert_snapshot!(relay_check_error("service = \"sheets\"", ""), @"weirhinge: FILE: field service: found nothing, expected some text");
    assert_snapshot!(relay_check_error("address = \"10.1.0.12\"", "address = \"here\""), @"weirhinge: FILE: field address: found here, expected an IPv4 address");
    assert_snapshot!(relay_check_error("zone = \"a\"", "zone = \"a\"\nevacuation_bound_ms = 0"), @"weirhinge: FILE: field evacuation_bound_ms: found 0, expected 1 to 600000 milliseconds");
    assert_snapshot!(relay_check_error("zone = \"a\"", "zone = \"a\"\nlink_mbps = -1"), @"weirhinge: FILE: field link_mbps: found -1, expected above 0, at most 1000000");
    assert_snapshot!(relay_check_error("zone = \"a\"", "zone = \"a\"\nprocessor_share = 0"), @"weirhinge: FILE: field processor_share: found 0, expected above 0, at most 1024");
    assert_snapshot!(relay_check_error("zone = \"a\"", "zone = \"a\"\nprocessors = -1"), @"weirhinge: FILE: field processors: found -1, expected above 0, at most 1024");
    let unknown = relay_check_error("zone = \"a\"", "zone = \"a\"\nzonne = 1");
    assert!(unknown.contains("unknown field `zonne`"), "{unknown}");
}

#[test]
fn invalid_relay_and_explain_command_lines_name_the_reason() {
    let unset = usage_error(&["relay", "balancer"]);
    let variable = weirhinge_platform::SETTINGS_VARIABLE;
    assert!(
        unset.contains(&format!("--settings: not given, and {variable} is not set")),
        "{unset}"
    );
    assert_snapshot!(usage_error(&["relay", "agent", "--log-level", "loud"]), @r#"weirhinge: --log-level "loud": expected critical, error, warning, info, debug or trace"#);
    assert!(usage_error(&["explain"]).contains("expected one of --request, --flow and --node"));
    assert_snapshot!(usage_error(&["explain", "--timeline", "--every", "0"]), @"weirhinge: argument --every: found 0, expected at least 1 millisecond");
    assert_snapshot!(usage_error(&["explain", "--node", "a", "--fast"]), @r#"weirhinge: argument "--fast": unknown, see --help"#);
}

#[test]
fn timeline_counts_served_waiting_and_refused_openings() {
    let line = |node: &str, event: &str, fields: &str| {
        format!(
            "{{\"ts\":\"2026-01-01T00:00:01.000Z\",\"node\":\"{node}\",\
             \"event\":\"{event}\",\"msg\":\"m\"{fields}}}\n"
        )
    };
    let flow = |client: &str| format!(",\"flow\":\"{client}:1050>198.18.0.1:443\"");
    let text = [
        line("b-1", "start", ",\"zone\":\"east\""),
        line("b-1", "queued", &flow("10.0.0.1")),
        line("b-1", "reset", &(flow("10.0.0.2") + ",\"outcome\":\"overloaded\"")),
        line("a-1", "start", ",\"zone\":\"east\",\"service\":\"sheets\""),
        line("a-1", "answered", &(flow("10.0.0.1") + ",\"confirmed\":false")),
    ];
    let path = write_file("timeline.log", &text.concat());
    let output = run_weirhinge(&["explain", "--timeline", &path.display().to_string()]);
    assert_eq!(output.status.code(), Some(0));
    let report = String::from_utf8(output.stdout).expect("text");
    let loads = report.lines().filter(|line| line.contains("route")).collect::<Vec<_>>().join("\n");
    assert_snapshot!(loads, @"
    openings: zone east, route 198.18.0.1:443: 1 served, 1 waited, 1 refused at once, 0 after a wait
    callers: route 198.18.0.1:443: 2, 1 refused at least once, 1 never served; most openings 10.0.0.2 (0 served, 0 waited, 1 refused at once, 0 after a wait); most refused 10.0.0.2 (0 served, 0 waited, 1 refused at once, 0 after a wait)
    ");
}
