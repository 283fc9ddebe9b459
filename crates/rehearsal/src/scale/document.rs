//! Configuration documents of any size.

use std::net::{Ipv4Addr, SocketAddr};

use weirhinge_config::{
    ConfigDocument, Service, ServiceId, Target, TargetId, TargetState, TransportProtocol,
};

/// Addresses of the size aimed at.
pub const LETTER_SERVICES: u32 = 3_100;
/// Targets of the size aimed at.
pub const LETTER_TARGETS: u16 = 7_200;
/// First service address; 10.0.0.0/8 only inside packets, never on a socket.
const FIRST_SERVICE: u32 = 0x0A00_0000;

/// A document with this share of the services and targets of the size aimed at.
pub fn document_of_size(share: f64, revision: u64) -> ConfigDocument {
    let services = ((f64::from(LETTER_SERVICES) * share) as u32).max(1);
    let targets = ((f64::from(LETTER_TARGETS) * share) as u16).max(1);
    ConfigDocument {
        revision,
        services: (0..services).map(service).collect(),
        targets: (0..targets).map(|number| target(number, services)).collect(),
    }
}

fn service(number: u32) -> Service {
    Service {
        id: ServiceId(number + 1),
        name: format!("service-{number}"),
        address: Ipv4Addr::from_bits(FIRST_SERVICE + number).into(),
        port: 8_443,
        protocol: TransportProtocol::Tcp,
        proxy_protocol: false,
    }
}

fn target(number: u16, services: u32) -> Target {
    Target {
        id: TargetId(number),
        name: format!("target-{number}"),
        service: ServiceId(u32::from(number) % services + 1),
        zone: format!("zone-{}", number % 9),
        // Never sent to: the discard port of one loopback address each.
        agent: loopback(number, 9),
        back_end: loopback(number, 10),
        weight: 100,
        state: TargetState::Active,
        slots: 7,
        connections: 4_000,
    }
}

fn loopback(number: u16, port: u16) -> SocketAddr {
    let [high, low] = number.to_be_bytes();
    (Ipv4Addr::new(127, 1, high, low), port).into()
}
