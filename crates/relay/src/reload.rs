//! Looks at the settings file again after SIGHUP.
//!
//! All settings are addresses and identities that a process has for life, so a
//! change is checked and logged, and takes effect at the next start. A file that
//! cannot be used changes nothing either.

use slog::{Logger, info, warn};
use weirhinge_config::parse::ConfigError;

use crate::process::Signals;

/// Checks the file at every SIGHUP; `recheck` says whether it is unchanged.
pub async fn watch(
    mut signals: Signals,
    log: Logger,
    recheck: impl Fn() -> Result<bool, ConfigError>,
) {
    while signals.reload.changed().await.is_ok() {
        match recheck() {
            Ok(true) => {
                info!(log, "settings: unchanged"; "event" => "reload", "outcome" => "unchanged");
            }
            Ok(false) => {
                info!(log, "settings: changed, in force at the next start";
                    "event" => "reload", "outcome" => "at_next_start");
            }
            Err(error) => {
                warn!(log, "settings: refused"; "event" => "reload", "outcome" => "refused",
                    "reason" => error.to_string());
            }
        }
    }
}
