//! Configuration types: the document that describes services and targets, and the settings of
//! one process.
//!
//! [`document`] is what operators write and the platform serves; [`settings`] is what one process
//! reads at startup. Both are validated before use.

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
