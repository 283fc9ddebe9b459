//! The command line: exit codes, help, and errors that name field and reason.

use std::path::PathBuf;
use std::process::{Command, Output};

use insta::assert_snapshot;

fn weirhinge(arguments: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_weirhinge")).args(arguments).output().expect("runs")
}

fn errors(arguments: &[&str]) -> String {
    let output = weirhinge(arguments);
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
    ] {
        let output = weirhinge(arguments);
        assert_eq!(output.status.code(), Some(0), "{arguments:?}");
        assert!(!output.stdout.is_empty(), "{arguments:?}");
    }
}

#[test]
fn unusable_command_lines_say_why() {
    assert_snapshot!(errors(&["balance"]), @r#"weirhinge: command "balance": not known, see --help"#);
    assert_snapshot!(errors(&["balancer", "--zonne", "a"]), @r#"weirhinge: argument "--zonne": not known, see --help"#);
    assert_snapshot!(errors(&["agent", "--zone", "a", "--fabric", "127.0.0.1:1"]), @"weirhinge: command line: field target: found nothing, expected a target's id");
    assert_snapshot!(errors(&["agent", "--log-level", "loud"]), @r#"weirhinge: --log-level "loud": expected critical, error, warning, info, debug or trace"#);
    assert_snapshot!(errors(&["drain", "--api", "127.0.0.1:1x"]), @"weirhinge: --api: failed to parse '127.0.0.1:1x': invalid socket address syntax");
    assert_snapshot!(errors(&["agent", "--settings", "/does/not/exist"]), @"weirhinge: /does/not/exist: cannot be read: No such file or directory (os error 2)");
}

#[test]
fn check_accepts_what_it_describes() {
    let document = write_file("document.toml", "revision = 1\nservices = []\n");
    let output = weirhinge(&["check", &document.display().to_string()]);
    assert_eq!(output.status.code(), Some(0));
    let text = String::from_utf8(output.stdout).expect("text");
    assert!(text.contains("valid configuration document, revision 1, 0 services, 0 targets"));
    let settings =
        write_file("agent.toml", "zone = \"a\"\ntarget = 1\nplatform = \"127.0.0.1:1\"\n");
    let refused = errors(&["check", &settings.display().to_string()]);
    assert!(refused.contains("field fabric: found nothing"), "{refused}");
}

#[test]
fn a_missing_keys_file_is_a_failure_while_running() {
    let output = weirhinge(&[
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
