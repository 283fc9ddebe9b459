//! Simulates thousands of configuration changes with open flows, to compare
//! schemes for finding a flow's holder: the ones used here and minimal versions
//! of published ones.
//!
//! Packets are routed by the real routing table; only the forwarding between
//! targets is simulated.

use std::net::SocketAddr;

use etherparse::PacketBuilder;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde::Serialize;
use weirhinge_config::{
    ConfigDocument, HashKey, Service, ServiceId, Target, TargetId, TargetState, TransportProtocol,
};
use weirhinge_packet::decode_packet;
use weirhinge_routing::{HolderHint, Route, RouteBasis, RoutingTable};

/// Number of targets of the simulated service.
const TARGETS: u16 = 10;
/// Minimum number of targets that stay active.
const MIN_ACTIVE_TARGETS: usize = 5;
/// Number of open flows at any time.
const FLOWS: usize = 500;
/// Share of the flows that end and are replaced at each change.
const TURNOVER_SHARE: f64 = 0.05;
const SERVICE: ([u8; 4], u16) = ([203, 0, 113, 10], 8_443);
const KEY: HashKey = HashKey([9; 16]);

/// How a packet after the opening one finds the flow's holder.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub enum Scheme {
    /// Packets go to the bucket's owner in the latest table and no further.
    HashOnly,
    /// The owner forwards packets of unknown flows to the previous owner.
    OnePreviousOwner,
    /// The owner looks up the holder in its directory.
    Directory,
    /// The balancer follows the holder hint.
    Hint,
}

/// Results of one scheme across all changes.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct ChangeResult {
    /// The scheme.
    pub scheme: Scheme,
    /// Number of simulated changes.
    pub changes: u64,
    /// Broken flows per 10,000 changes.
    pub broken: f64,
    /// Share of packets on open flows that passed through an additional agent.
    pub extra_hops: f64,
}

/// Number of buckets that moved, compared with the minimum.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct MoveResult {
    /// Buckets whose owner changed.
    pub moved: u64,
    /// Buckets that had to move: those of the drained target, or those that the
    /// activated target owns afterwards.
    pub least: u64,
}

struct Flow {
    client: SocketAddr,
    holder: TargetId,
}

struct Simulator {
    scheme: Scheme,
    random: ChaCha8Rng,
    document: ConfigDocument,
    table: RoutingTable,
    previous: RoutingTable,
    flows: Vec<Flow>,
    next_client: u32,
    broken: u64,
    packets: u64,
    extra_hops: u64,
    moves: MoveResult,
}

/// Simulates `changes` configuration changes, each of which drains or activates
/// one target.
pub fn simulate_changes(scheme: Scheme, changes: u64, seed: u64) -> (ChangeResult, MoveResult) {
    let document = document();
    let table = RoutingTable::build(&document, &KEY);
    let mut simulator = Simulator {
        scheme,
        random: ChaCha8Rng::seed_from_u64(seed),
        document,
        previous: table.clone(),
        table,
        flows: Vec::new(),
        next_client: 0,
        broken: 0,
        packets: 0,
        extra_hops: 0,
        moves: MoveResult { moved: 0, least: 0 },
    };
    for _ in 0..FLOWS {
        let flow = simulator.open_flow();
        simulator.flows.push(flow);
    }
    for _ in 0..changes {
        simulator.apply_random_change();
        simulator.send_on_every_flow();
    }
    let result = ChangeResult {
        scheme,
        changes,
        broken: simulator.broken as f64 * 10_000.0 / changes as f64,
        extra_hops: simulator.extra_hops as f64 / simulator.packets as f64,
    };
    (result, simulator.moves)
}

impl Simulator {
    fn apply_random_change(&mut self) {
        let active = self
            .document
            .targets
            .iter()
            .filter(|target| target.state == TargetState::Active)
            .count();
        let chosen = loop {
            let chosen = self.random.random_range(0..self.document.targets.len());
            let drains = self.document.targets[chosen].state == TargetState::Active;
            if !drains || active > MIN_ACTIVE_TARGETS {
                break chosen;
            }
        };
        let target = &mut self.document.targets[chosen];
        target.state = match target.state {
            TargetState::Active => TargetState::Draining,
            TargetState::Draining => TargetState::Active,
        };
        let changed = target.id;
        self.document.revision += 1;
        let next = self.table.rebuild(&self.document);
        self.previous = std::mem::replace(&mut self.table, next);
        self.count_moves(changed);
    }

    fn count_moves(&mut self, changed: TargetId) {
        let owners = |table: &RoutingTable| {
            table.service(ServiceId(1)).map(|service| service.buckets.owners().to_vec())
        };
        let (Some(before), Some(after)) = (owners(&self.previous), owners(&self.table)) else {
            return;
        };
        for (old, new) in before.iter().zip(&after) {
            self.moves.moved += u64::from(old != new);
            self.moves.least += u64::from((*old == changed) != (*new == changed));
        }
    }

    fn send_on_every_flow(&mut self) {
        for index in 0..self.flows.len() {
            let Flow { client, holder } = self.flows[index];
            self.packets += 1;
            let ended = self.random.random_bool(TURNOVER_SHARE);
            if !self.reaches_holder(client, holder) {
                self.broken += 1;
                self.flows[index] = self.open_flow();
            } else if ended {
                self.flows[index] = self.open_flow();
            }
        }
    }

    /// Returns whether a packet of an open flow reaches its holder; counts extra
    /// hops.
    fn reaches_holder(&mut self, client: SocketAddr, holder: TargetId) -> bool {
        let hint = (self.scheme == Scheme::Hint).then_some(HolderHint(holder));
        let Some(route) = route(&self.table, client, hint) else {
            return false;
        };
        if route.target == holder {
            return true;
        }
        match self.scheme {
            Scheme::HashOnly | Scheme::Hint => false,
            Scheme::OnePreviousOwner => {
                self.extra_hops += 1;
                let previous = route_owner(&self.previous, client);
                previous == Some(holder)
            }
            Scheme::Directory => {
                self.extra_hops += 1;
                true
            }
        }
    }

    fn open_flow(&mut self) -> Flow {
        self.next_client += 1;
        let [_, high, middle, low] = self.next_client.to_be_bytes();
        let client = SocketAddr::from(([198, 18, high, middle], 1_024 + u16::from(low)));
        // Every simulated table has active targets, so the default is never used.
        let holder = route_owner(&self.table, client).unwrap_or(TargetId(0));
        Flow { client, holder }
    }
}

fn route_owner(table: &RoutingTable, client: SocketAddr) -> Option<TargetId> {
    let route = route(table, client, None)?;
    debug_assert_eq!(route.basis, RouteBasis::Owner);
    Some(route.target)
}

fn route(table: &RoutingTable, client: SocketAddr, hint: Option<HolderHint>) -> Option<Route> {
    let std::net::IpAddr::V4(ip) = client.ip() else {
        return None;
    };
    let mut options = Vec::new();
    if let Some(hint) = hint {
        options.extend([1, 1, 8, 10, 0, 0, 0, 1]);
        options.extend(hint.timestamp(77).to_be_bytes());
    }
    let step =
        PacketBuilder::ipv4(ip.octets(), SERVICE.0, 64).tcp(client.port(), SERVICE.1, 1, 4_000);
    // Only opening packets go to the owner regardless of sequence numbers.
    let step = if hint.is_some() { step.ack(1) } else { step.syn() };
    let mut packet = Vec::new();
    step.options_raw(&options).ok()?.write(&mut packet, &[]).ok()?;
    table.route(&decode_packet(&packet).ok()?).ok()
}

fn document() -> ConfigDocument {
    let target = |number: u16| Target {
        id: TargetId(number),
        name: format!("target-{number}"),
        service: ServiceId(1),
        zone: "zone".to_owned(),
        agent: ([127, 0, 0, 1], 1_000 + number).into(),
        back_end: ([127, 0, 0, 1], 2_000 + number).into(),
        weight: 100,
        state: TargetState::Active,
        slots: 7,
        connections: 2_000,
    };
    ConfigDocument {
        revision: 1,
        services: vec![Service {
            id: ServiceId(1),
            name: "service".to_owned(),
            address: SERVICE.0.into(),
            port: SERVICE.1,
            protocol: TransportProtocol::Tcp,
            proxy_protocol: false,
        }],
        targets: (0..TARGETS).map(target).collect(),
    }
}
