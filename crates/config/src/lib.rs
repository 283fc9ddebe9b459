//! Configuration: the document that describes services and targets, and the
//! settings of one process.
//!
//! Types here carry serde derives and doc comments; [`document`] is what the
//! platform serves and operators write, [`settings`] is what one process reads
//! at its start. Both are checked before anything acts on them.

pub mod document;
pub mod keys;
pub mod machines;
pub mod parse;
pub mod settings;
mod validate;

pub use document::{
    ConfigDocument, Service, ServiceId, Target, TargetId, TargetState, TransportProtocol,
};
pub use keys::{ControlKeys, HashKey, Keys};
pub use machines::{Machine, MachineList, MachineState};
pub use parse::ConfigError;
pub use settings::{AgentSettings, BalancerSettings, CommonSettings};
