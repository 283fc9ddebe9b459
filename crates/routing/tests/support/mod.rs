//! Builders for the services and targets of test configuration documents.

use weirhinge_config::{Service, ServiceId, Target, TargetId, TargetState, TransportProtocol};

/// Builds a TCP service with the address `203.0.113.{last_octet}`.
pub fn service(id: u32, last_octet: u8) -> Service {
    Service {
        id: ServiceId(id),
        name: format!("service-{id}"),
        address: [203, 0, 113, last_octet].into(),
        port: 8_443,
        protocol: TransportProtocol::Tcp,
        proxy_protocol: false,
    }
}

/// Builds a target of the service with the identifier `service`.
pub fn target(id: u16, service: u32, state: TargetState) -> Target {
    Target {
        id: TargetId(id),
        name: format!("target-{id}"),
        service: ServiceId(service),
        zone: "austin".to_owned(),
        agent: ([127, 0, 0, 1], 7_000 + id).into(),
        back_end: ([127, 0, 0, 1], 9_000 + id).into(),
        weight: 100,
        state,
        slots: 7,
        connections: 2_000,
    }
}
