//! The configuration that balancers agree on: the replicated document, the
//! messages between balancers, and the task that runs one replica.

pub mod driver;
mod frame;
mod handle;
pub mod machine;
mod membership;
mod network;
mod seal;
mod writes;

pub use driver::{ControlOptions, start_control};
pub use handle::{ControlHandle, ControlStatus, WriteError};
pub use machine::{ConfigChange, ConfigCommand, ConfigMachine, Outcome};
