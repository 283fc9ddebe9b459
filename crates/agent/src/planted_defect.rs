//! Deliberate defects, which show that a rehearsal detects faults of their kind.
//!
//! They can be enabled only in builds with the feature `planted-defects`, which releases never
//! have; other builds reject every defect's name.

use std::str::FromStr;

/// A deliberate defect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PlantedDefect {
    /// Resets unknown flows without querying the other agents. The sequence numbers of the agent's
    /// own flows carry no holder hint, so that their packets reach agents that do not hold them.
    ResetUnknown,
    /// Gives flows sequence numbers without a holder hint, like those of long flows. This alone
    /// breaks none of the guarantees.
    NoNumberHint,
    /// Resets the client when a segment does not fit the handshake, although another agent may have
    /// completed it.
    ResetEarly,
    /// Accepts envelopes that name any service and target.
    NoFence,
}

impl PlantedDefect {
    /// Whether the sequence numbers of the agent's flows carry no holder hint.
    pub(crate) fn hides_holder(planted_defect: Option<Self>) -> bool {
        matches!(planted_defect, Some(PlantedDefect::ResetUnknown | PlantedDefect::NoNumberHint))
    }
}

impl FromStr for PlantedDefect {
    type Err = String;

    fn from_str(name: &str) -> Result<Self, Self::Err> {
        if !cfg!(feature = "planted-defects") {
            return Err("this build has no planted defects".to_owned());
        }
        match name {
            "reset-unknown" => Ok(PlantedDefect::ResetUnknown),
            "reset-early" => Ok(PlantedDefect::ResetEarly),
            "no-fence" => Ok(PlantedDefect::NoFence),
            "no-number-hint" => Ok(PlantedDefect::NoNumberHint),
            _ => Err(format!(
                "{name:?}: expected reset-unknown, reset-early, no-fence or no-number-hint"
            )),
        }
    }
}
