//! Looks at the settings file again after SIGHUP, and now and then without one.
//!
//! Seeds are taken at once. All other settings are addresses and identities that a
//! process has for life, so that a change of them takes effect at the next start. A
//! file that cannot be used changes nothing.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::{Duration, SystemTime};

use slog::{Logger, info, warn};
use weirhinge_config::parse::ConfigError;

use crate::fleet_node::FleetNode;
use crate::process::Signals;
use crate::settings::CommonSettings;

/// How often the file's time of change is looked at.
const POLL: Duration = Duration::from_secs(5);

/// What a settings file says after a change.
pub struct Reloaded {
    /// The settings that both roles have.
    pub common: CommonSettings,
    /// Whether those of the role alone are as before.
    pub role_unchanged: bool,
}

/// Watches the settings file of one process.
pub struct SettingsWatch<R> {
    /// The file's path.
    pub file: String,
    /// The settings in force.
    pub current: CommonSettings,
    /// Reads and checks the file.
    pub read: R,
    /// Takes new seeds.
    pub node: Rc<RefCell<FleetNode>>,
    /// Where outcomes are logged.
    pub log: Logger,
}

impl<R: Fn(&str) -> Result<Reloaded, ConfigError>> SettingsWatch<R> {
    /// Watches for as long as the process lives.
    pub async fn run(mut self, mut signals: Signals) {
        let mut changed_at = self.changed_at();
        loop {
            let told = tokio::time::timeout(POLL, signals.reload.changed()).await.is_ok();
            let now_changed_at = self.changed_at();
            if told || now_changed_at != changed_at {
                changed_at = now_changed_at;
                self.reload();
            }
        }
    }

    fn changed_at(&self) -> Option<SystemTime> {
        std::fs::metadata(&self.file).and_then(|metadata| metadata.modified()).ok()
    }

    fn reload(&mut self) {
        let reloaded = match (self.read)(&self.file) {
            Ok(reloaded) => reloaded,
            Err(error) => {
                warn!(self.log, "settings: refused"; "event" => "reload", "outcome" => "refused",
                    "reason" => error.to_string());
                return;
            }
        };
        let seeds = reloaded.common.seeds.clone();
        let takes_seeds = seeds != self.current.seeds;
        if takes_seeds {
            self.node.borrow_mut().set_seeds(&seeds);
            self.current.seeds = seeds;
        }
        let is_whole = reloaded.role_unchanged && reloaded.common == self.current;
        let outcome = match (is_whole, takes_seeds) {
            (true, true) => "applied",
            (true, false) => "unchanged",
            (false, _) => "at_next_start",
        };
        info!(self.log, "settings: read again"; "event" => "reload", "outcome" => outcome,
            "seeds" => self.current.seeds.len());
    }
}
