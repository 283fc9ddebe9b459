//! Defects planted on purpose, to show that a rehearsal notices them.
//!
//! They exist only in builds with the feature `planted-defects`, which no
//! release has; elsewhere a name given here is refused.

use std::str::FromStr;

/// A planted defect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Plant {
    /// Resets unknown flows without asking the other agents. Its own flows' numbers name
    /// nobody, so that their packets meet agents that do not hold them.
    ResetUnknown,
    /// Gives flows numbers that name nobody, as those of long flows do; no promise breaks.
    NoNumberHint,
    /// Resets what does not fit a handshake that another agent may have won.
    ResetEarly,
    /// Accepts envelopes for any service and target.
    NoFence,
}

impl Plant {
    /// Whether the agent's sequence numbers do not name its target.
    pub(crate) fn hides_holder(plant: Option<Self>) -> bool {
        matches!(plant, Some(Plant::ResetUnknown | Plant::NoNumberHint))
    }
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
            "no-number-hint" => Ok(Plant::NoNumberHint),
            _ => Err(format!(
                "{name:?}: expected reset-unknown, reset-early, no-fence or no-number-hint"
            )),
        }
    }
}
