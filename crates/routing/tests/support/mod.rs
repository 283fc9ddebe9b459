//! Parts of documents that routing tables are built from.

use weirhinge_config::{Service, ServiceId, Target, TargetId, TargetState, TransportProtocol};

/// A service at an address that ends in `last`.
pub fn service(id: u32, last: u8) -> Service {
    Service {
        id: ServiceId(id),
        name: format!("service-{id}"),
        address: [203, 0, 113, last].into(),
        port: 8_443,
        protocol: TransportProtocol::Tcp,
        proxy_protocol: false,
    }
}

/// A target of a service.
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
