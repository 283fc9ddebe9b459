//! The replicated configuration that the balancers agree on: the state machine, the
//! messages between balancers, and the task that runs one replica.

pub mod driver;
mod frame;
mod frame_auth;
mod handle;
mod membership;
mod network;
pub mod state_machine;
mod writes;

pub use driver::{ControlOptions, start_control};
pub use handle::{ControlHandle, ControlStatus, WriteError};
pub use state_machine::{ConfigChange, ConfigCommand, ConfigStateMachine, Outcome};
