//! The replicated state: the configuration document and the outcomes of the
//! latest writes.

use std::collections::VecDeque;

use serde::{Deserialize, Serialize};
use weirhinge_config::{ConfigDocument, Service, ServiceId, Target, TargetId};
use weirhinge_consensus::StateMachine;

/// Outcomes remembered, so that a repeated write finds its first outcome.
const REMEMBERED_OUTCOMES: usize = 1_024;
/// Origin named in errors about a written document.
const ORIGIN: &str = "write";

/// One change of the configuration.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ConfigChange {
    /// Replaces all services and targets.
    Replace(ConfigDocument),
    /// Creates or replaces a service.
    PutService(Service),
    /// Deletes a service.
    DeleteService(ServiceId),
    /// Creates or replaces a target.
    PutTarget(Target),
    /// Deletes a target.
    DeleteTarget(TargetId),
}

/// A change with its precondition.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigCommand {
    /// The writer's key: a repeated write with the same key is not run again.
    pub key: String,
    /// The revision that must be in force, if the writer named one.
    pub expected: Option<u64>,
    /// The change.
    pub change: ConfigChange,
}

/// What became of a command.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    /// The change is accepted as this revision.
    Accepted {
        /// The new revision.
        revision: u64,
    },
    /// Another revision was in force; nothing was applied.
    Conflict {
        /// The revision in force.
        revision: u64,
    },
    /// The result would fail its checks; nothing was applied.
    Invalid {
        /// The field and the reason.
        reason: String,
    },
}

/// The replicated state.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigMachine {
    document: ConfigDocument,
    outcomes: VecDeque<(String, Outcome)>,
}

impl ConfigMachine {
    /// A state that starts from a checked document.
    pub fn new(document: ConfigDocument) -> Self {
        Self { document, outcomes: VecDeque::new() }
    }

    /// The document in force.
    pub fn document(&self) -> &ConfigDocument {
        &self.document
    }

    /// The outcome of the write with this key, if it is remembered.
    pub fn outcome(&self, key: &str) -> Option<&Outcome> {
        self.outcomes.iter().find(|(known, _)| known == key).map(|(_, outcome)| outcome)
    }

    fn run(&mut self, command: &ConfigCommand) -> Outcome {
        let revision = self.document.revision;
        if command.expected.is_some_and(|expected| expected != revision) {
            return Outcome::Conflict { revision };
        }
        let next = self.changed(&command.change);
        let checked =
            next.check(ORIGIN).and_then(|()| next.check_successor(ORIGIN, &self.document));
        match checked {
            Ok(()) => {
                let revision = next.revision;
                self.document = next;
                Outcome::Accepted { revision }
            }
            Err(error) => Outcome::Invalid { reason: error.to_string() },
        }
    }

    fn changed(&self, change: &ConfigChange) -> ConfigDocument {
        let mut next = self.document.clone();
        match change {
            ConfigChange::Replace(document) => next = document.clone(),
            ConfigChange::PutService(service) => {
                put(&mut next.services, service, |one| one.id == service.id);
            }
            ConfigChange::DeleteService(id) => next.services.retain(|service| service.id != *id),
            ConfigChange::PutTarget(target) => {
                put(&mut next.targets, target, |one| one.id == target.id);
            }
            ConfigChange::DeleteTarget(id) => next.targets.retain(|target| target.id != *id),
        }
        next.revision = self.document.revision + 1;
        next
    }
}

fn put<T: Clone>(entries: &mut Vec<T>, entry: &T, is_same: impl Fn(&T) -> bool) {
    match entries.iter_mut().find(|one| is_same(one)) {
        Some(known) => *known = entry.clone(),
        None => entries.push(entry.clone()),
    }
}

impl StateMachine for ConfigMachine {
    type Command = ConfigCommand;

    fn apply(&mut self, command: &ConfigCommand) {
        if self.outcome(&command.key).is_some() {
            return;
        }
        let outcome = self.run(command);
        if self.outcomes.len() >= REMEMBERED_OUTCOMES {
            self.outcomes.pop_front();
        }
        self.outcomes.push_back((command.key.clone(), outcome));
    }
}
