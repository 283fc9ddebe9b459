//! Cost of forwarding one packet without system calls: decoding, routing and encoding the envelope.

use std::hint::black_box;

use criterion::{Criterion, Throughput, criterion_group, criterion_main};
use etherparse::PacketBuilder;
use weirhinge_balancer::Forwarder;
use weirhinge_config::{ConfigDocument, HashKey};
use weirhinge_routing::RoutingTable;

const DOCUMENT: &str = r#"
revision = 1
[[services]]
id = 1
name = "approvals"
address = "203.0.113.10"
port = 8443
[[targets]]
id = 1
name = "approvals-1"
service = 1
zone = "austin"
agent = "127.0.0.1:7001"
back_end = "127.0.0.1:9001"
slots = 7
connections = 2000
"#;

fn forward(criterion: &mut Criterion) {
    let document = ConfigDocument::from_toml("bench", DOCUMENT).expect("valid document");
    let table = RoutingTable::build(&document, &HashKey([7; 16]));
    let forwarder = Forwarder::new(&table);
    let mut group = criterion.benchmark_group("forward one packet");
    for payload in [0_usize, 1_300] {
        let mut packet = Vec::new();
        PacketBuilder::ipv4([198, 18, 0, 1], [203, 0, 113, 10], 64)
            .tcp(40_000, 8_443, 1, 4_000)
            .ack(1)
            .write(&mut packet, &vec![7; payload])
            .expect("packet");
        let mut envelope = Vec::with_capacity(2_048);
        group.throughput(Throughput::Elements(1));
        group.bench_function(format!("{payload} bytes of payload"), |bencher| {
            bencher.iter(|| black_box(forwarder.forward(black_box(&packet), &mut envelope)));
        });
    }
    group.finish();
}

criterion_group!(benches, forward);
criterion_main!(benches);
