//! Reloads the settings file on SIGHUP, and when its modification time changes.
//!
//! New seeds take effect immediately. All other settings are addresses and identities that stay
//! the same as long as the process runs, so changes to them take effect at the next start. An
//! invalid file changes nothing.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::{Duration, SystemTime};

use slog::{Logger, info, warn};
use weirhinge_config::parse::ConfigError;

use crate::fleet_node::FleetNode;
use crate::process::Signals;
use crate::settings::CommonSettings;

/// How often the file's modification time is checked.
const POLL_INTERVAL: Duration = Duration::from_secs(5);

/// The settings read from a changed file.
pub struct ReloadedSettings {
    /// The settings of both roles.
    pub common: CommonSettings,
    /// Whether the settings that only this role has are unchanged.
    pub is_role_unchanged: bool,
}

/// Watches the settings file of one process.
pub struct SettingsWatcher<R> {
    /// The file's path.
    pub file: String,
    /// The settings in effect.
    pub current: CommonSettings,
    /// Reads and validates the file.
    pub read: R,
    /// The fleet state that new seeds are passed to.
    pub node: Rc<RefCell<FleetNode>>,
    /// The log for the outcome of each reload.
    pub log: Logger,
}

impl<R: Fn(&str) -> Result<ReloadedSettings, ConfigError>> SettingsWatcher<R> {
    /// Watches the file until the process ends.
    pub async fn run(mut self, mut signals: Signals) {
        let mut modified_at = self.modified_at();
        loop {
            let signalled =
                tokio::time::timeout(POLL_INTERVAL, signals.reload.changed()).await.is_ok();
            let now_modified_at = self.modified_at();
            if signalled || now_modified_at != modified_at {
                modified_at = now_modified_at;
                self.reload();
            }
        }
    }

    fn modified_at(&self) -> Option<SystemTime> {
        std::fs::metadata(&self.file).and_then(|metadata| metadata.modified()).ok()
    }

    fn reload(&mut self) {
        let reloaded = match (self.read)(&self.file) {
            Ok(reloaded) => reloaded,
            Err(error) => {
                warn!(self.log, "settings: reload failed, settings stay unchanged";
                    "event" => "reload", "outcome" => "refused", "reason" => error.to_string());
                return;
            }
        };
        let seeds = reloaded.common.seeds.clone();
        let has_new_seeds = seeds != self.current.seeds;
        if has_new_seeds {
            self.node.borrow_mut().set_seeds(&seeds);
            self.current.seeds = seeds;
        }
        let is_fully_applied = reloaded.is_role_unchanged && reloaded.common == self.current;
        let outcome = match (is_fully_applied, has_new_seeds) {
            (true, true) => "applied",
            (true, false) => "unchanged",
            (false, _) => "at_next_start",
        };
        info!(self.log, "settings: reloaded"; "event" => "reload", "outcome" => outcome,
            "seeds" => self.current.seeds.len());
    }
}
