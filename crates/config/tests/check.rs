//! Invalid input is rejected with an error that names the file, the field, the value found and
//! the expected value.

use insta::assert_snapshot;
use proptest::prelude::*;
use weirhinge_config::settings::RawSettings;
use weirhinge_config::{ConfigDocument, Keys};

const DOCUMENT: &str = r#"
revision = 3

[[services]]
id = 1
name = "approvals"
address = "203.0.113.10"
port = 8443

[[targets]]
id = 1
name = "approvals-1"
service = 1
zone = "austin"
agent = "127.0.0.1:7001"
back_end = "127.0.0.1:9001"
slots = 7
connections = 2000
"#;

fn error_after_replacing(from: &str, to: &str) -> String {
    assert!(DOCUMENT.contains(from), "the document contains {from:?}");
    let text = DOCUMENT.replace(from, to);
    ConfigDocument::from_toml("fleet.toml", &text).expect_err("invalid input").to_string()
}

#[test]
fn valid_document_parses_with_defaults() {
    let document = ConfigDocument::from_toml("fleet.toml", DOCUMENT).expect("valid input");
    assert_eq!(document.revision, 3);
    assert_eq!(document.targets[0].weight, 100);
    let json = serde_json::to_vec(&document).expect("JSON");
    assert_eq!(ConfigDocument::from_json("platform", &json), Ok(document));
}

#[test]
fn errors_name_file_field_value_and_expectation() {
    assert_snapshot!(error_after_replacing("port = 8443", "port = 0"), @"fleet.toml: field services[0].port: found 0, expected a port from 1 to 65535");
    assert_snapshot!(error_after_replacing("service = 1", "service = 2"), @"fleet.toml: field targets[0].service: found 2, expected the id of a service in this document");
    assert_snapshot!(error_after_replacing("slots = 7", "slots = 0"), @"fleet.toml: field targets[0].slots: found 0, expected a number from 1 to 4294967295");
    assert_snapshot!(error_after_replacing("revision = 3", "revision = 0"), @"fleet.toml: field revision: found 0, expected a number of at least 1");
    assert_snapshot!(error_after_replacing("id = 1\nname = \"approvals-1\"", "id = 8192\nname = \"approvals-1\""), @"fleet.toml: field targets[0].id: found 8192, expected a number from 0 to 8191");
    assert_snapshot!(error_after_replacing("slots = 7", "slots = 7\nweight = 5000"), @"fleet.toml: field targets[0].weight: found 5000, expected a number from 1 to 1000");
    assert_snapshot!(error_after_replacing("name = \"approvals\"", "name = \"a b\""), @r#"fleet.toml: field services[0].name: found "a b", expected 1 to 64 letters, digits, '-', '_' or '.'"#);
}

#[test]
fn unknown_fields_and_wrong_types_are_rejected() {
    let unknown = error_after_replacing("slots = 7", "slotz = 7");
    assert!(unknown.contains("fleet.toml") && unknown.contains("slotz"), "{unknown}");
    let wrong_type = error_after_replacing("port = 8443", "port = \"x\"");
    assert!(wrong_type.contains("line 8"), "{wrong_type}");
}

#[test]
fn duplicate_agent_address_is_rejected() {
    let second = DOCUMENT.split("[[targets]]").nth(1).expect("target");
    let second = second.replace("id = 1", "id = 2").replace("approvals-1", "approvals-2");
    let text = format!("{DOCUMENT}\n[[targets]]{second}");
    let error = ConfigDocument::from_toml("fleet.toml", &text).expect_err("invalid input");
    assert_snapshot!(error, @"fleet.toml: field targets[1].agent: found 127.0.0.1:7001, expected an agent address that no other target has");
}

#[test]
fn changed_target_service_is_rejected() {
    let previous = ConfigDocument::from_toml("fleet.toml", DOCUMENT).expect("valid input");
    let mut next = previous.clone();
    next.revision = 4;
    let mut statements = previous.services[0].clone();
    statements.id = weirhinge_config::ServiceId(2);
    next.services.push(statements);
    next.targets[0].service = weirhinge_config::ServiceId(2);
    let error = next.check_successor("platform", &previous).expect_err("invalid input");
    assert_snapshot!(error, @"platform: field targets[0].service: found 2, expected 1, its current service; another service needs a new target id");
}

#[test]
fn keys_are_never_shown_in_errors_or_debug_output() {
    let secret = "00112233445566778899aabbccddeeffXX";
    for text in [
        format!("flow_hash = \"{secret}\""),
        format!("flow_hash = {secret}"),
        format!("other = \"{secret}\""),
    ] {
        let error = Keys::from_toml("keys.toml", &text).expect_err("invalid input").to_string();
        assert!(!error.contains("00112233"), "{error}");
        assert!(error.contains("keys.toml") && error.contains("flow_hash"), "{error}");
    }
    let flow_hash = format!("flow_hash = \"{}\"\n", "0f".repeat(16));
    let invalid = format!("{flow_hash}control = [\"{secret}\"]");
    let error = Keys::from_toml("keys.toml", &invalid).expect_err("invalid input").to_string();
    assert!(error.contains("field control") && !error.contains("00112233"), "{error}");
    let valid = format!("{flow_hash}control = [\"{}\", \"{}\"]", "1a".repeat(32), "2B".repeat(32));
    let keys = Keys::from_toml("keys.toml", &valid).expect("valid input");
    assert_eq!(keys.control.0, [[0x1a; 32], [0x2b; 32]]);
    let debug_output = format!("{keys:?}");
    assert!(
        debug_output.contains("HashKey(hidden)") && debug_output.contains("2 hidden"),
        "{debug_output}"
    );
}

#[test]
fn flags_override_settings_file() {
    let file: RawSettings =
        toml::from_str("zone = \"austin\"\nplatform = \"127.0.0.1:1\"\nkeys_file = \"k\"")
            .expect("valid input");
    let flags = RawSettings { zone: Some("dallas".to_owned()), ..RawSettings::default() };
    let settings = file.overridden_by(flags).into_balancer("b.toml").expect("valid input");
    assert_eq!(settings.common.zone, "dallas");
    assert_eq!(settings.common.platform.to_string(), "127.0.0.1:1");
}

#[test]
fn settings_errors_name_missing_and_invalid_fields() {
    let agent = |change: fn(&mut RawSettings)| {
        let mut settings = RawSettings {
            zone: Some("austin".to_owned()),
            platform: Some("127.0.0.1:1".to_owned()),
            keys_file: Some("keys.toml".to_owned()),
            fabric: Some("127.0.0.1:2".to_owned()),
            target: Some(3),
            ..RawSettings::default()
        };
        change(&mut settings);
        settings.into_agent("agent.toml").map(|_| ()).map_err(|error| error.to_string())
    };
    assert_eq!(agent(|_| {}), Ok(()));
    let rejected = |change| agent(change).expect_err("invalid input");
    assert_snapshot!(rejected(|settings| settings.target = None), @"agent.toml: field target: found nothing, expected a target's id");
    assert_snapshot!(rejected(|settings| settings.fabric = Some("fabric:1".to_owned())), @r#"agent.toml: field fabric: found "fabric:1", expected an IP address and port, such as 127.0.0.1:7000"#);
    assert_snapshot!(rejected(|settings| settings.candidates = Some(0)), @"agent.toml: field candidates: found 0, expected a number from 1 to 8");
    assert_snapshot!(rejected(|settings| settings.batch = Some(8)), @"agent.toml: field batch: found a value, expected no value, as this role has no such field");
}

proptest! {
    #[test]
    fn arbitrary_text_never_panics(text in ".{0,200}") {
        let _ = ConfigDocument::from_toml("x", &text);
        let _ = ConfigDocument::from_json("x", text.as_bytes());
        let _ = Keys::from_toml("x", &text);
    }
}
