//! A small fleet for tests of steering decisions.

#![allow(dead_code, unused_imports)]

pub mod agent_fixture;
mod fixture;
pub mod grant_requests;
pub mod queue;

use std::net::{Ipv4Addr, SocketAddrV4};

use weirhinge_fleet::{
    ColdStartPolicy, Configuration, EvacuatedZones, Position, RemovedTarget, Replica, Route,
    RoutePart, TargetLoad, TargetRecord, TargetState, TargetStatus, Update, VersionedConfiguration,
    VersionedTarget, ZoneUpdate,
};
use weirhinge_steering::{Decision, Flags, FleetView, FlowKey, Forward, Locality, PacketHeader};

pub use fixture::{Fixture, LATER, is_far, targets_in_two_zones};

pub const SERVICE: &str = "sheets";
pub const OTHER: &str = "dispatch";

pub fn endpoint() -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::new(198, 18, 0, 1), 443)
}

pub fn agent(number: u8) -> Ipv4Addr {
    Ipv4Addr::new(10, 0, 0, number)
}

/// An agent of a large fleet.
pub fn fleet_agent(number: u32) -> Ipv4Addr {
    Ipv4Addr::from_bits(Ipv4Addr::new(10, 1, 0, 0).to_bits() + number)
}

fn record(agent: Ipv4Addr, service: &str, zone: &str, state: TargetState) -> TargetRecord {
    TargetRecord {
        service: service.to_owned(),
        address: agent.to_bits(),
        zone: zone.to_owned(),
        slots: 4,
        state,
        warm_up_ms: 0,
        incarnation: None,
        sequence: 1,
    }
}

/// A route to one service.
pub fn route_to(endpoint: SocketAddrV4, service: &str, priority: u32) -> Route {
    Route {
        address: endpoint.ip().to_bits(),
        port: endpoint.port(),
        parts: vec![RoutePart { service: service.to_owned(), weight: 1 }],
        priority,
        ..Route::default()
    }
}

pub fn flow(port: u16) -> FlowKey {
    let client = SocketAddrV4::new(Ipv4Addr::new(100, 64, 0, 7), port);
    FlowKey { client, service: endpoint() }
}

pub fn packet(flow: FlowKey, flags: Flags, length: u16) -> PacketHeader {
    PacketHeader {
        source: flow.client,
        destination: flow.service,
        flags,
        sequence: 1_000,
        acknowledgment: 500,
        length,
        echo: 0,
    }
}

pub fn opening(flow: FlowKey) -> PacketHeader {
    PacketHeader { acknowledgment: 0, ..packet(flow, Flags { syn: true, ..Flags::default() }, 0) }
}

pub fn data(flow: FlowKey) -> PacketHeader {
    packet(flow, Flags { ack: true, ..Flags::default() }, 100)
}

pub fn forwarded(decision: &Decision) -> &Forward {
    match decision {
        Decision::Forward(forward) => forward,
        other => panic!("expected Decision::Forward, got {other:?}"),
    }
}

/// Returns the paths of agents that the search packets of a decision visit.
pub fn paths(decision: &Decision) -> Vec<Vec<Ipv4Addr>> {
    let forward = forwarded(decision);
    [vec![forward_path(forward)], forward.further_paths.clone()].concat()
}

/// Returns the first path of a decision's search packets, in order.
pub fn path(decision: &Decision) -> Vec<Ipv4Addr> {
    forward_path(forwarded(decision))
}

pub fn forward_path(forward: &Forward) -> Vec<Ipv4Addr> {
    [vec![forward.agent], forward.next.clone()].concat()
}

/// Builds the contents of the store, change by change.
#[derive(Default)]
pub struct Store {
    replica: Replica,
    revision: u64,
    /// The latest incarnation of any restarted target.
    incarnation: u64,
    /// Included in all configurations written from now on.
    pub cold_starts: Vec<ColdStartPolicy>,
    /// Included as well; 15 s if not set.
    pub idle_timeout_ms: Option<u64>,
}

impl Store {
    /// Creates a store with one route to a service with ready targets 1 to `targets`.
    pub fn with_targets(targets: u8) -> Self {
        let mut store = Self::default();
        store.route(&[(SERVICE, 1)]);
        for number in 1..=targets {
            store.target(number, SERVICE, Some(TargetState::Ready), 0);
        }
        store
    }

    pub fn route(&mut self, parts: &[(&str, u32)]) {
        let parts = parts.iter();
        let parts = parts
            .map(|(service, weight)| RoutePart { service: (*service).to_owned(), weight: *weight });
        let route = route_to(endpoint(), SERVICE, 2);
        self.configure(vec![Route { parts: parts.collect(), ..route }]);
    }

    pub fn configure(&mut self, routes: Vec<Route>) {
        self.revision += 1;
        let configuration = Configuration {
            version: self.revision,
            routes,
            idle_timeout_ms: self.idle_timeout_ms.unwrap_or(15_000),
            cold_starts: self.cold_starts.clone(),
        };
        let configuration =
            Some(VersionedConfiguration { position: self.position(), configuration });
        let update = Update { configuration, ..self.change() };
        self.replica.apply(update, 0);
    }

    /// Creates a store with one route to a service with many targets, all in zone `a`.
    pub fn with_many_targets(targets: u32) -> Self {
        let mut store = Self::default();
        store.route(&[(SERVICE, 1)]);
        for number in 0..targets {
            let record = record(fleet_agent(number), SERVICE, "a", TargetState::Ready);
            store.change_target(format!("many-{number}"), Some(record), 0);
        }
        store
    }

    /// Adds ready targets of a service in zone `a`, all in one change.
    pub fn many_targets(&mut self, service: &str, numbers: std::ops::Range<u32>) {
        self.revision += 1;
        let targets = numbers.map(|number| VersionedTarget {
            id: format!("many-{number}"),
            position: self.position(),
            present: true,
            record: Some(record(fleet_agent(number), service, "a", TargetState::Ready)),
        });
        let targets = targets.collect();
        self.replica.apply(Update { targets, ..self.change() }, 0);
    }

    pub fn target(&mut self, number: u8, service: &str, state: Option<TargetState>, now: u64) {
        let zone = if number < 50 { "a" } else { "b" };
        let record = state.map(|state| record(agent(number), service, zone, state));
        self.change_target(format!("{service}-{number}"), record, now);
    }

    /// Restarts a target under the same identifier.
    pub fn restart_target(&mut self, number: u8, service: &str, now: u64) {
        self.incarnation += 1;
        let zone = if number < 50 { "a" } else { "b" };
        let record = record(agent(number), service, zone, TargetState::Ready);
        let record = TargetRecord { incarnation: Some(self.incarnation), ..record };
        self.change_target(format!("{service}-{number}"), Some(record), now);
    }

    /// Adds a target of zone `a` that a peer reports as removed at an earlier time.
    pub fn target_removed_earlier(&mut self, number: u8, service: &str, now: u64) {
        let target = VersionedTarget {
            id: format!("{service}-{number}"),
            position: self.position(),
            present: false,
            record: Some(record(agent(number), service, "a", TargetState::Ready)),
        };
        let removed = vec![RemovedTarget { target, remaining_ms: 60_000 }];
        self.replica.apply(Update { removed, ..Update::default() }, now);
    }

    /// Adds an entry under another key with the address of a target.
    pub fn target_at(&mut self, number: u8, service: &str, id: &str, now: u64) {
        let record = record(agent(number), service, "a", TargetState::Ready);
        self.change_target(id.to_owned(), Some(record), now);
    }

    fn change_target(&mut self, id: String, record: Option<TargetRecord>, now: u64) {
        self.revision += 1;
        let target =
            VersionedTarget { id, position: self.position(), present: record.is_some(), record };
        let update = Update { targets: vec![target], ..self.change() };
        self.replica.apply(update, now);
    }

    /// Evacuates these zones, and ends the evacuation of all others.
    pub fn evacuate(&mut self, zones: &[&str], now: u64) {
        self.revision += 1;
        let zones = zones.iter().map(|zone| (*zone).to_owned());
        let zones = ZoneUpdate::Whole(EvacuatedZones::new(self.position(), zones));
        self.replica.apply(Update { zones, ..self.change() }, now);
    }

    pub fn view(&self) -> FleetView {
        self.view_from("near")
    }

    /// Compiles the view of a daemon in this region. Targets numbered 50 and above are in region
    /// `far`, the others in `near`.
    pub fn view_from(&self, region: &str) -> FleetView {
        let zones = [("a", "near"), ("b", "far")];
        let regions = zones.map(|(zone, region)| (zone.to_owned(), region.to_owned()));
        let locality = Locality::new("c".to_owned(), region.to_owned(), regions.into());
        FleetView::compile(&self.replica, &locality)
    }

    /// Compiles the view of a daemon in this zone. Targets numbered 50 and above are in zone `b`,
    /// the others in `a`, both in its region.
    pub fn view_in_zone(&self, zone: &str) -> FleetView {
        let regions = ["a", "b"].map(|zone| (zone.to_owned(), "near".to_owned()));
        let locality = Locality::new(zone.to_owned(), "near".to_owned(), regions.into());
        FleetView::compile(&self.replica, &locality)
    }

    fn change(&self) -> Update {
        let after = Position::new(0, self.revision - 1);
        Update { after, through: self.position(), ..Update::default() }
    }

    fn position(&self) -> Position {
        Position::new(0, self.revision)
    }
}

pub fn target_status(service: &str) -> TargetStatus {
    TargetStatus {
        service: service.to_owned(),
        alive: true,
        load: TargetLoad::default(),
        leaving: false,
        recorded: true,
        without_former_flows: None,
    }
}
