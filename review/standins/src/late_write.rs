//! Writes of targets that the store takes late.

use weirhinge_platform_standins::{Fleet, HOME_ZONE, Target};

use crate::SERVICE;

/// Port and start time of the first incarnation that the project's stand-in of a target writes.
const APP_PORT: u16 = 8_165;
const FIRST_INCARNATION: u64 = 1_775_390_000_000;
/// The sequence number of the late write: the incarnation's second one.
const LATE_SEQUENCE: u64 = 2;

/// Lets a write of a target's first incarnation take effect now.
pub fn write_late(fleet: &Fleet, target: &Target) {
    let record = format!(
        r#"{{"service":"{SERVICE}","address":"{}:{APP_PORT}","zone":"{HOME_ZONE}","version":"v1","slots":7,"state":"ready","cold_remaining_ms":0,"sequence":{LATE_SEQUENCE},"born":{FIRST_INCARNATION}}}"#,
        target.address
    );
    fleet.store.put_bytes(&target.key(), record.as_bytes());
}
