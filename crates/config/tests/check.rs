//! Bad input is refused with the file, the field, the value and what was expected.

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

fn refusal(from: &str, to: &str) -> String {
    assert!(DOCUMENT.contains(from), "the document has {from:?}");
    let text = DOCUMENT.replace(from, to);
    ConfigDocument::from_toml("fleet.toml", &text).expect_err("refused").to_string()
}

#[test]
fn sound_document_is_read_with_defaults() {
    let document = ConfigDocument::from_toml("fleet.toml", DOCUMENT).expect("sound");
    assert_eq!(document.revision, 3);
    assert_eq!(document.targets[0].weight, 100);
    let json = serde_json::to_vec(&document).expect("JSON");
    assert_eq!(ConfigDocument::from_json("platform", &json), Ok(document));
}

#[test]
fn refusals_name_file_field_value_and_expectation() {
    assert_snapshot!(refusal("port = 8443", "port = 0"), @"fleet.toml: field services[0].port: found 0, expected a port from 1 to 65535");
    assert_snapshot!(refusal("service = 1", "service = 2"), @"fleet.toml: field targets[0].service: found 2, expected the id of a service in this document");
    assert_snapshot!(refusal("slots = 7", "slots = 0"), @"fleet.toml: field targets[0].slots: found 0, expected a number from 1 to 4294967295");
    assert_snapshot!(refusal("revision = 3", "revision = 0"), @"fleet.toml: field revision: found 0, expected a number of at least 1");
    assert_snapshot!(refusal("id = 1\nname = \"approvals-1\"", "id = 8192\nname = \"approvals-1\""), @"fleet.toml: field targets[0].id: found 8192, expected a number from 0 to 8191");
    assert_snapshot!(refusal("slots = 7", "slots = 7\nweight = 5000"), @"fleet.toml: field targets[0].weight: found 5000, expected a number from 1 to 1000");
    assert_snapshot!(refusal("name = \"approvals\"", "name = \"a b\""), @r#"fleet.toml: field services[0].name: found "a b", expected 1 to 64 letters, digits, '-', '_' or '.'"#);
}

#[test]
fn unknown_fields_and_wrong_types_are_refused_with_their_line() {
    let unknown = refusal("slots = 7", "slotz = 7");
    assert!(unknown.contains("fleet.toml") && unknown.contains("slotz"), "{unknown}");
    let wrong_type = refusal("port = 8443", "port = \"x\"");
    assert!(wrong_type.contains("line 8"), "{wrong_type}");
}

#[test]
fn two_targets_never_share_an_agent() {
    let second = DOCUMENT.split("[[targets]]").nth(1).expect("target");
    let second = second.replace("id = 1", "id = 2").replace("approvals-1", "approvals-2");
    let text = format!("{DOCUMENT}\n[[targets]]{second}");
    let error = ConfigDocument::from_toml("fleet.toml", &text).expect_err("refused");
    assert_snapshot!(error, @"fleet.toml: field targets[1].agent: found 127.0.0.1:7001, expected an agent address that no other target has");
}

#[test]
fn a_target_never_changes_its_service() {
    let previous = ConfigDocument::from_toml("fleet.toml", DOCUMENT).expect("sound");
    let mut next = previous.clone();
    next.revision = 4;
    let mut statements = previous.services[0].clone();
    statements.id = weirhinge_config::ServiceId(2);
    next.services.push(statements);
    next.targets[0].service = weirhinge_config::ServiceId(2);
    let error = next.check_successor("platform", &previous).expect_err("refused");
    assert_snapshot!(error, @"platform: field targets[0].service: found 2, expected 1, as before; a new service needs a new target id");
}

#[test]
fn a_keys_file_is_never_quoted() {
    let secret = "00112233445566778899aabbccddeeffXX";
    for text in [
        format!("flow_hash = \"{secret}\""),
        format!("flow_hash = {secret}"),
        format!("other = \"{secret}\""),
    ] {
        let error = Keys::from_toml("keys.toml", &text).expect_err("refused").to_string();
        assert!(!error.contains("00112233"), "{error}");
        assert!(error.contains("keys.toml") && error.contains("flow_hash"), "{error}");
    }
    let flow_hash = format!("flow_hash = \"{}\"\n", "0f".repeat(16));
    let bad = format!("{flow_hash}control = [\"{secret}\"]");
    let error = Keys::from_toml("keys.toml", &bad).expect_err("refused").to_string();
    assert!(error.contains("field control") && !error.contains("00112233"), "{error}");
    let sound = format!("{flow_hash}control = [\"{}\", \"{}\"]", "1a".repeat(32), "2B".repeat(32));
    let keys = Keys::from_toml("keys.toml", &sound).expect("sound");
    assert_eq!(keys.control.0, [[0x1a; 32], [0x2b; 32]]);
    let shown = format!("{keys:?}");
    assert!(shown.contains("HashKey(hidden)") && shown.contains("2 hidden"), "{shown}");
}

#[test]
fn flags_win_over_the_settings_file() {
    let file: RawSettings =
        toml::from_str("zone = \"austin\"\nplatform = \"127.0.0.1:1\"\nkeys_file = \"k\"")
            .expect("sound");
    let flags = RawSettings { zone: Some("dallas".to_owned()), ..RawSettings::default() };
    let settings = file.overridden_by(flags).into_balancer("b.toml").expect("sound");
    assert_eq!(settings.common.zone, "dallas");
    assert_eq!(settings.common.platform.to_string(), "127.0.0.1:1");
}

#[test]
fn settings_name_what_is_missing_or_unusable() {
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
    let refused = |change| agent(change).expect_err("refused");
    assert_snapshot!(refused(|settings| settings.target = None), @"agent.toml: field target: found nothing, expected a target's id");
    assert_snapshot!(refused(|settings| settings.fabric = Some("fabric:1".to_owned())), @r#"agent.toml: field fabric: found "fabric:1", expected an IP address and port, such as 127.0.0.1:7000"#);
    assert_snapshot!(refused(|settings| settings.candidates = Some(0)), @"agent.toml: field candidates: found 0, expected a number from 1 to 8");
    assert_snapshot!(refused(|settings| settings.batch = Some(8)), @"agent.toml: field batch: found a value, expected no such field for this role");
}

proptest! {
    #[test]
    fn arbitrary_text_never_panics(text in ".{0,200}") {
        let _ = ConfigDocument::from_toml("x", &text);
        let _ = ConfigDocument::from_json("x", text.as_bytes());
        let _ = Keys::from_toml("x", &text);
    }
}
