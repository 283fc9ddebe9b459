//! Settings of simulated daemons, at whose addresses nothing listens, and records of targets.

use std::net::Ipv4Addr;

use weirhinge_fleet::{TargetRecord, TargetState};
use weirhinge_relay::{CommonSettings, RawSettings};

/// Returns the settings of a daemon at `address` with these seeds.
pub fn settings(address: Ipv4Addr, seeds: impl Iterator<Item = Ipv4Addr>) -> CommonSettings {
    let text = |port: u16| Some(format!("{address}:{port}"));
    let raw = RawSettings {
        name: Some(address.to_string()),
        zone: Some("a".to_owned()),
        address: Some(address.to_string()),
        packets: text(1),
        readiness: text(2),
        peer_port: Some(3),
        store: text(4),
        seeds: Some(seeds.map(|seed| format!("{seed}:3")).collect()),
        ..RawSettings::default()
    };
    raw.into_balancer("test").expect("settings").common
}

/// Returns the record of a ready target on the machine with this address.
pub fn ready_record(address: Ipv4Addr) -> TargetRecord {
    TargetRecord {
        service: "sheets".to_owned(),
        address: address.to_bits(),
        zone: "a".to_owned(),
        slots: 5,
        state: TargetState::Ready,
        warm_up_ms: 0,
        incarnation: None,
        sequence: 1,
    }
}
