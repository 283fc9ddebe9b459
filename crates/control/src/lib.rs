//! The configuration that balancers agree on: the replicated document, the
//! messages between balancers, and the task that runs one replica.

pub mod driver;
mod frame;
pub mod machine;
mod membership;
mod network;
mod seal;

pub use driver::{ControlHandle, ControlOptions, ControlStatus, WriteError, start_control};
pub use machine::{ConfigChange, ConfigCommand, ConfigMachine, Outcome};
