//! Settings of simulated daemons; nothing listens on their addresses.

use std::net::Ipv4Addr;

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
