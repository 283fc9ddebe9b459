//! Benchmarks of routing one packet and of building a routing table, at the design size of 3,100
//! services and 7,200 targets.

use std::hint::black_box;

use criterion::{BatchSize, Criterion, criterion_group, criterion_main};
use etherparse::PacketBuilder;
use weirhinge_config::{
    ConfigDocument, HashKey, Service, ServiceId, Target, TargetId, TargetState, TransportProtocol,
};
use weirhinge_packet::{PacketView, decode_packet};
use weirhinge_routing::{HolderHint, RoutingTable};

const SERVICES: u32 = 3_100;
const TARGETS: u16 = 7_200;
const KEY: HashKey = HashKey([7; 16]);
/// Distinct flows that a benchmark cycles through. Repeating a single flow would keep its entries
/// in the CPU caches and understate the cost.
const FLOWS: u16 = 4_096;

fn service_address(index: u32) -> [u8; 4] {
    (0x0A00_0000_u32 + index).to_be_bytes()
}

fn document() -> ConfigDocument {
    let service = |index: u32| Service {
        id: ServiceId(index),
        name: format!("service-{index}"),
        address: service_address(index).into(),
        port: 8_443,
        protocol: TransportProtocol::Tcp,
        proxy_protocol: false,
    };
    let target = |index: u16| Target {
        id: TargetId(index),
        name: format!("target-{index}"),
        service: ServiceId(u32::from(index) % SERVICES),
        zone: "zone".to_owned(),
        agent: ([127, 0, 0, 1], 10_000 + index).into(),
        back_end: ([127, 0, 0, 1], 30_000 + index).into(),
        weight: 100,
        state: TargetState::Active,
        slots: 7,
        connections: 2_000,
    };
    ConfigDocument {
        revision: 1,
        services: (0..SERVICES).map(service).collect(),
        targets: (0..TARGETS).map(target).collect(),
    }
}

fn packets(hinted: bool) -> Vec<Vec<u8>> {
    (0..FLOWS)
        .map(|flow| {
            let service = u32::from(flow) * 7 % SERVICES;
            let target = TargetId(service as u16);
            let echo = HolderHint(target).timestamp(u64::from(flow)).to_be_bytes();
            let mut options = vec![1, 1, 8, 10, 0, 0, 0, 1];
            options.extend(echo);
            let builder = PacketBuilder::ipv4([198, 18, 0, 1], service_address(service), 64)
                .tcp(flow, 8_443, 1, 4_000);
            let builder = if hinted { builder.ack(1) } else { builder.syn() };
            let mut packet = Vec::new();
            builder
                .options_raw(&options)
                .expect("valid TCP options")
                .write(&mut packet, &[])
                .expect("write packet");
            packet
        })
        .collect()
}

fn route(criterion: &mut Criterion) {
    let table = RoutingTable::build(&document(), &KEY);
    for (name, hinted) in [("by owner", false), ("by hint", true)] {
        let packets = packets(hinted);
        let views: Vec<PacketView<'_>> =
            packets.iter().map(|packet| decode_packet(packet).expect("valid packet")).collect();
        let mut next = 0;
        criterion.bench_function(&format!("route one packet {name}"), |bencher| {
            bencher.iter(|| {
                next = (next + 1) % views.len();
                black_box(table.route(black_box(&views[next])))
            });
        });
        criterion.bench_function(&format!("decode and route one packet {name}"), |bencher| {
            bencher.iter(|| {
                next = (next + 1) % packets.len();
                let view = decode_packet(black_box(&packets[next])).expect("valid packet");
                black_box(table.route(&view))
            });
        });
    }
}

fn build(criterion: &mut Criterion) {
    let document = document();
    let mut group = criterion.benchmark_group("table");
    group.sample_size(10);
    group.bench_function("build for 3,100 services and 7,200 targets", |bencher| {
        bencher.iter_batched(
            || document.clone(),
            |document| RoutingTable::build(&document, &KEY),
            BatchSize::PerIteration,
        );
    });
    let table = RoutingTable::build(&document, &KEY);
    let mut next = document.clone();
    next.targets[17].state = TargetState::Draining;
    group.bench_function("rebuild after a change of one target", |bencher| {
        bencher.iter(|| table.rebuild(&next));
    });
    group.finish();
}

criterion_group!(benches, route, build);
criterion_main!(benches);
