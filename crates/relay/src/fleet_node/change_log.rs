//! Log entries about changes of the known state.

use slog::info;
use weirhinge_fleet::{Change, Millis, TargetState};

use super::FleetNode;

impl FleetNode {
    /// Logs what is kept against a restored store during the hold period.
    pub(super) fn log_hold(&self) {
        let conflicts = self.replica.restore_conflicts();
        info!(self.log, "fleet: hold period after a store restore began"; "event" => "store_hold",
            "era" => self.replica.position().era, "unrenewed" => conflicts.unrenewed,
            "disputed" => conflicts.disputed, "zones" => conflicts.zones,
            "hold_ms" => self.timing.renewal_grace_ms);
    }

    /// Logs the targets of the first listing that a daemon applies, in one line.
    pub(super) fn log_first_listing(&self, changes: &[Change], source: &str, now: Millis) {
        let state_of = |change: &Change| match change {
            Change::Target { record, .. } => Some(record.state),
            _ => None,
        };
        let states: Vec<TargetState> = changes.iter().filter_map(state_of).collect();
        let count = |state| states.iter().filter(|known| **known == state).count();
        info!(self.log, "fleet: targets listed"; "event" => "targets_listed",
            "ready" => count(TargetState::Ready), "draining" => count(TargetState::Draining),
            "revision" => self.replica.position().revision, "source" => source,
            "age_ms" => self.replica.age(now));
    }

    /// Logs the targets that were removed before this daemon could learn of them, in one line.
    pub(super) fn log_earlier_removals(&self, changes: &[Change], source: &str, now: Millis) {
        let is_earlier = |change: &&Change| matches!(change, Change::RemovedEarlier { .. });
        let count = changes.iter().filter(is_earlier).count();
        if count > 0 {
            info!(self.log, "fleet: targets removed earlier"; "event" => "targets_removed_earlier",
                "count" => count, "revision" => self.replica.position().revision,
                "source" => source, "age_ms" => self.replica.age(now));
        }
    }

    pub(super) fn log_changes(&self, changes: &[Change], source: &str, now: Millis) {
        for change in changes {
            self.log_change(change, source, now);
        }
    }

    fn log_change(&self, change: &Change, source: &str, now: Millis) {
        let age_ms = self.replica.age(now);
        match change {
            Change::Configuration { version, position } => {
                info!(self.log, "fleet: configuration applied"; "event" => "configuration",
                    "version" => version, "era" => position.era, "revision" => position.revision,
                    "source" => source,
                    "age_ms" => age_ms);
            }
            Change::Target { id, record, restarted } => {
                info!(self.log, "fleet: target updated"; "event" => "target", "target" => id,
                    "agent" => record.machine().to_string(), "state" => ?record.state,
                    "service" => &record.service, "cold_ms" => record.warm_up_ms,
                    "restarted" => restarted,
                    "source" => source, "age_ms" => age_ms);
            }
            Change::ZoneEvacuated { zone } => {
                info!(self.log, "fleet: zone evacuated"; "event" => "zone_evacuated",
                    "zone" => zone, "revision" => self.replica.evacuated().as_of.revision,
                    "source" => source, "age_ms" => age_ms);
            }
            Change::ZoneReturned { zone } => {
                info!(self.log, "fleet: zone evacuation ended"; "event" => "zone_returned",
                    "zone" => zone, "revision" => self.replica.evacuated().as_of.revision,
                    "source" => source, "age_ms" => age_ms);
            }
            // They are logged in one line.
            Change::RemovedEarlier { .. } => {}
            Change::Removed { id, record } => {
                let agent = record.as_ref().map(|record| record.machine().to_string());
                info!(self.log, "fleet: target removed"; "event" => "target_removed",
                    "target" => id, "agent" => agent, "source" => source, "age_ms" => age_ms);
            }
        }
    }
}
