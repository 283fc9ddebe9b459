//! Defects planted on purpose, to show that a rehearsal notices them.
//!
//! They exist only in builds with the feature `planted-defects`, which no
//! release has; elsewhere a name given here is refused.

use std::str::FromStr;

/// A planted defect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Plant {
    /// Resets unknown flows without asking the other agents.
    ResetUnknown,
    /// Resets what does not fit a handshake that another agent may have won.
    ResetEarly,
    /// Accepts envelopes for any service and target.
    NoFence,
}

impl FromStr for Plant {
    type Err = String;

    fn from_str(name: &str) -> Result<Self, Self::Err> {
        if !cfg!(feature = "planted-defects") {
            return Err("this build has no planted defects".to_owned());
        }
        match name {
            "reset-unknown" => Ok(Plant::ResetUnknown),
            "reset-early" => Ok(Plant::ResetEarly),
            "no-fence" => Ok(Plant::NoFence),
            _ => Err(format!("{name:?}: expected reset-unknown, reset-early or no-fence")),
        }
    }
}
