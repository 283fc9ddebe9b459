//! Writes to the replicated configuration: preconditions, checks, and repeats.

use weirhinge_config::{ConfigDocument, TargetId, TargetState};
use weirhinge_consensus::StateMachine;
use weirhinge_control::{ConfigChange, ConfigCommand, ConfigMachine, Outcome};

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
    ConfigDocument::from_toml("test", DOCUMENT).expect("sound")
}

fn run(
    machine: &mut ConfigMachine,
    key: &str,
    expected: Option<u64>,
    change: ConfigChange,
) -> Outcome {
    let command = ConfigCommand { key: key.to_owned(), expected, change };
    machine.apply(&command);
    machine.outcome(key).cloned().expect("an outcome")
}

fn drained() -> ConfigChange {
    let mut target = document().targets[0].clone();
    target.state = TargetState::Draining;
    ConfigChange::PutTarget(target)
}

#[test]
fn an_accepted_write_raises_the_revision() {
    let mut machine = ConfigMachine::new(document());
    let outcome = run(&mut machine, "a", Some(3), drained());
    assert_eq!(outcome, Outcome::Accepted { revision: 4 });
    assert_eq!(machine.document().targets[0].state, TargetState::Draining);
}

#[test]
fn of_two_writers_with_one_precondition_one_succeeds() {
    let mut machine = ConfigMachine::new(document());
    assert_eq!(run(&mut machine, "a", Some(3), drained()), Outcome::Accepted { revision: 4 });
    let loser = run(&mut machine, "b", Some(3), ConfigChange::DeleteTarget(TargetId(1)));
    assert_eq!(loser, Outcome::Conflict { revision: 4 });
    assert_eq!(machine.document().targets.len(), 1);
}

#[test]
fn a_repeated_write_is_not_run_again() {
    let mut machine = ConfigMachine::new(document());
    let first = run(&mut machine, "a", None, drained());
    run(&mut machine, "b", None, ConfigChange::DeleteTarget(TargetId(1)));
    assert_eq!(run(&mut machine, "a", None, drained()), first);
    assert!(machine.document().targets.is_empty());
}

#[test]
fn an_invalid_write_changes_nothing_and_names_the_field() {
    let mut machine = ConfigMachine::new(document());
    let mut target = document().targets[0].clone();
    target.weight = 0;
    let Outcome::Invalid { reason } = run(&mut machine, "a", None, ConfigChange::PutTarget(target))
    else {
        panic!("refused");
    };
    assert!(reason.contains("targets[0].weight"), "{reason}");
    assert_eq!(machine.document(), &document());
    let orphaning = ConfigChange::DeleteService(weirhinge_config::ServiceId(1));
    assert!(matches!(run(&mut machine, "b", None, orphaning), Outcome::Invalid { .. }));
    assert_eq!(machine.document(), &document());
}
