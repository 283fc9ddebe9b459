//! The replicated state: the configuration document and the outcomes of recent
//! writes.

use std::collections::VecDeque;

use serde::{Deserialize, Serialize};
use weirhinge_config::{ConfigDocument, Service, ServiceId, Target, TargetId};
use weirhinge_consensus::StateMachine;

/// Number of outcomes kept, so that a repeated write returns its first outcome.
const MAX_OUTCOMES: usize = 1_024;
/// Origin named in errors about a document that results from a write.
const WRITE_ORIGIN: &str = "write";

/// A change of the configuration.
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

/// A change with its idempotency key and precondition.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigCommand {
    /// Idempotency key, chosen by the writer. A repeated write with the same key is
    /// not executed again.
    pub key: String,
    /// The revision that has to be in effect, if the writer requires one.
    pub expected: Option<u64>,
    /// The change.
    pub change: ConfigChange,
}

/// The result of a command.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    /// The change was applied and produced a new revision.
    Accepted {
        /// The new revision.
        revision: u64,
    },
    /// A revision other than the expected one was in effect. Nothing was applied.
    Conflict {
        /// The revision in effect.
        revision: u64,
    },
    /// The changed document would be invalid. Nothing was applied.
    Invalid {
        /// The invalid field and the reason.
        reason: String,
    },
}

/// The replicated configuration document, with the outcomes of recent writes.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigStateMachine {
    document: ConfigDocument,
    outcomes: VecDeque<(String, Outcome)>,
}

impl ConfigStateMachine {
    /// Creates a state that starts from a valid document.
    pub fn new(document: ConfigDocument) -> Self {
        Self { document, outcomes: VecDeque::new() }
    }

    /// Returns the document in effect.
    pub fn document(&self) -> &ConfigDocument {
        &self.document
    }

    /// Returns the outcome of the write with this key, if it is still kept.
    pub fn outcome(&self, key: &str) -> Option<&Outcome> {
        self.outcomes.iter().find(|(kept_key, _)| kept_key == key).map(|(_, outcome)| outcome)
    }

    fn execute(&mut self, command: &ConfigCommand) -> Outcome {
        let revision = self.document.revision;
        if command.expected.is_some_and(|expected| expected != revision) {
            return Outcome::Conflict { revision };
        }
        let next = self.changed_document(&command.change);
        let checked = next
            .check(WRITE_ORIGIN)
            .and_then(|()| next.check_successor(WRITE_ORIGIN, &self.document));
        match checked {
            Ok(()) => {
                let revision = next.revision;
                self.document = next;
                Outcome::Accepted { revision }
            }
            Err(error) => Outcome::Invalid { reason: error.to_string() },
        }
    }

    fn changed_document(&self, change: &ConfigChange) -> ConfigDocument {
        let mut next = self.document.clone();
        match change {
            ConfigChange::Replace(document) => next = document.clone(),
            ConfigChange::PutService(service) => {
                insert_or_replace(&mut next.services, service, |existing| {
                    existing.id == service.id
                });
            }
            ConfigChange::DeleteService(id) => next.services.retain(|service| service.id != *id),
            ConfigChange::PutTarget(target) => {
                insert_or_replace(&mut next.targets, target, |existing| existing.id == target.id);
            }
            ConfigChange::DeleteTarget(id) => next.targets.retain(|target| target.id != *id),
        }
        next.revision = self.document.revision + 1;
        next
    }
}

fn insert_or_replace<T: Clone>(entries: &mut Vec<T>, entry: &T, is_same: impl Fn(&T) -> bool) {
    match entries.iter_mut().find(|existing| is_same(existing)) {
        Some(existing) => *existing = entry.clone(),
        None => entries.push(entry.clone()),
    }
}

impl StateMachine for ConfigStateMachine {
    type Command = ConfigCommand;

    fn apply(&mut self, command: &ConfigCommand) {
        if self.outcome(&command.key).is_some() {
            return;
        }
        let outcome = self.execute(command);
        if self.outcomes.len() >= MAX_OUTCOMES {
            self.outcomes.pop_front();
        }
        self.outcomes.push_back((command.key.clone(), outcome));
    }
}
