//! Writes to the replicated configuration: preconditions, validation and repeats.

use weirhinge_config::{ConfigDocument, TargetId, TargetState};
use weirhinge_consensus::StateMachine;
use weirhinge_control::{ConfigChange, ConfigCommand, ConfigStateMachine, Outcome};

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

fn document() -> ConfigDocument {
    ConfigDocument::from_toml("test", DOCUMENT).expect("valid document")
}

fn apply_write(
    machine: &mut ConfigStateMachine,
    key: &str,
    expected: Option<u64>,
    change: ConfigChange,
) -> Outcome {
    let command = ConfigCommand { key: key.to_owned(), expected, change };
    machine.apply(&command);
    machine.outcome(key).cloned().expect("the write has an outcome")
}

fn drain_target() -> ConfigChange {
    let mut target = document().targets[0].clone();
    target.state = TargetState::Draining;
    ConfigChange::PutTarget(target)
}

#[test]
fn accepted_write_increments_revision() {
    let mut machine = ConfigStateMachine::new(document());
    let outcome = apply_write(&mut machine, "a", Some(3), drain_target());
    assert_eq!(outcome, Outcome::Accepted { revision: 4 });
    assert_eq!(machine.document().targets[0].state, TargetState::Draining);
}

#[test]
fn second_write_with_same_precondition_conflicts() {
    let mut machine = ConfigStateMachine::new(document());
    assert_eq!(
        apply_write(&mut machine, "a", Some(3), drain_target()),
        Outcome::Accepted { revision: 4 }
    );
    let second = apply_write(&mut machine, "b", Some(3), ConfigChange::DeleteTarget(TargetId(1)));
    assert_eq!(second, Outcome::Conflict { revision: 4 });
    assert_eq!(machine.document().targets.len(), 1);
}

#[test]
fn repeated_write_returns_first_outcome() {
    let mut machine = ConfigStateMachine::new(document());
    let first = apply_write(&mut machine, "a", None, drain_target());
    apply_write(&mut machine, "b", None, ConfigChange::DeleteTarget(TargetId(1)));
    assert_eq!(apply_write(&mut machine, "a", None, drain_target()), first);
    assert!(machine.document().targets.is_empty());
}

#[test]
fn invalid_write_is_rejected_and_names_the_field() {
    let mut machine = ConfigStateMachine::new(document());
    let mut target = document().targets[0].clone();
    target.weight = 0;
    let Outcome::Invalid { reason } =
        apply_write(&mut machine, "a", None, ConfigChange::PutTarget(target))
    else {
        panic!("expected the write to be rejected as invalid");
    };
    assert!(reason.contains("targets[0].weight"), "{reason}");
    assert_eq!(machine.document(), &document());
    let delete_service_in_use = ConfigChange::DeleteService(weirhinge_config::ServiceId(1));
    assert!(matches!(
        apply_write(&mut machine, "b", None, delete_service_in_use),
        Outcome::Invalid { .. }
    ));
    assert_eq!(machine.document(), &document());
}
