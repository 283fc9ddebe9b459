//! UDP flows through a real balancer and real agents: each flow gets complete
//! answers from a single back end, including across a drain.

use std::net::{SocketAddr, UdpSocket};
use std::time::Duration;

use weirhinge_config::{
    ConfigDocument, Service, ServiceId, Target, TargetId, TargetState, TransportProtocol,
};
use weirhinge_packet::{FlowKey, Protocol, Transport, build_udp_packet, decode_packet};
use weirhinge_rehearsal::processes::{Process, Program};
use weirhinge_rehearsal::standin::link::{LinkProxy, Network, ZoneMap};
use weirhinge_rehearsal::standin::platform::Platform;

const SERVICE: &str = "203.0.113.50:5300";
const FLOWS: u16 = 20;
/// Attempts per answer, as the first packets of a flow may be lost during a lookup.
const MAX_ATTEMPTS: usize = 20;

/// Starts a server that answers every datagram with its name followed by the
/// datagram.
fn start_echo(name: u8) -> SocketAddr {
    let socket = UdpSocket::bind("127.0.0.1:0").expect("bind");
    let address = socket.local_addr().expect("address");
    std::thread::spawn(move || {
        let mut datagram = [0; 2_000];
        while let Ok((length, from)) = socket.recv_from(&mut datagram) {
            let mut answer = vec![name];
            answer.extend_from_slice(&datagram[..length]);
            let _ = socket.send_to(&answer, from);
        }
    });
    address
}

/// Starts a network without loss and with a delay of 0.1 ms.
fn network() -> Network {
    let settings = toml::from_str("client_delay_ms = 0.1\nzone_delay_ms = 0.1\nfabric_lag_ms = 0")
        .expect("valid settings");
    Network::start(settings, 1).expect("network")
}

fn document(agents: &[SocketAddr], back_ends: &[SocketAddr]) -> ConfigDocument {
    let address: SocketAddr = SERVICE.parse().expect("address");
    let target = |number: usize| Target {
        id: TargetId(number as u16),
        name: format!("echo-{number}"),
        service: ServiceId(1),
        zone: "one".to_owned(),
        agent: agents[number],
        back_end: back_ends[number],
        weight: 100,
        state: TargetState::Active,
        slots: 10,
        connections: 100,
    };
    ConfigDocument {
        revision: 1,
        services: vec![Service {
            id: ServiceId(1),
            name: "echo".to_owned(),
            address: address.ip(),
            port: address.port(),
            protocol: TransportProtocol::Udp,
            proxy_protocol: false,
        }],
        targets: (0..agents.len()).map(target).collect(),
    }
}

struct Client {
    socket: UdpSocket,
    balancer: SocketAddr,
}

impl Client {
    /// Sends a question on one flow until it is answered; returns the answering
    /// back end.
    fn request(&self, port: u16, question: &[u8]) -> u8 {
        // The builder creates reply packets, from destination to source.
        let reversed = FlowKey {
            protocol: Protocol::Udp,
            source: SERVICE.parse().expect("address"),
            destination: ([198, 18, 0, 1], port).into(),
        };
        let packet = build_udp_packet(&reversed, question).expect("packet");
        let mut answer = [0; 2_000];
        for _ in 0..MAX_ATTEMPTS {
            self.socket.send_to(&packet, self.balancer).expect("send");
            let Ok((length, _)) = self.socket.recv_from(&mut answer) else {
                continue;
            };
            let view = decode_packet(&answer[..length]).expect("valid answer");
            let Transport::Udp(payload) = view.transport else {
                panic!("answer is not a UDP packet");
            };
            // An answer to an earlier attempt on another flow may still arrive.
            if view.key.destination.port() == port && &payload[1..] == question {
                return payload[0];
            }
        }
        panic!("no answer on port {port} after {MAX_ATTEMPTS} attempts");
    }
}

async fn start(role: &str, extra: &[String], platform: &Platform, keys: &str) -> Process {
    let mut arguments: Vec<String> =
        [role, "--zone", "one", "--platform", &platform.address().to_string(), "--keys-file", keys]
            .map(str::to_owned)
            .to_vec();
    arguments.extend_from_slice(extra);
    let program = Program::find(None).expect("program");
    program.start(role, &arguments).await.expect("start process")
}

#[tokio::test(flavor = "multi_thread")]
async fn udp_flows_keep_their_back_end_across_a_drain() {
    let keys = std::env::temp_dir().join(format!("weirhinge-udp-{}.toml", std::process::id()));
    std::fs::write(&keys, "flow_hash = \"000102030405060708090a0b0c0d0e0f\"\n")
        .expect("write keys");
    let keys = keys.display().to_string();
    let platform = Platform::start().await.expect("platform");
    let (network, zones) = (network(), ZoneMap::default());
    // The configuration names the proxies' addresses, so agents can bind any port.
    let proxies = [(); 3].map(|()| LinkProxy::bind().expect("bind"));
    let agents = proxies.each_ref().map(LinkProxy::address);
    let back_ends = [start_echo(0), start_echo(1), start_echo(2)];
    let first = document(&agents, &back_ends);
    platform.publish(first.clone());
    let socket = UdpSocket::bind("127.0.0.1:0").expect("bind");
    socket.set_read_timeout(Some(Duration::from_millis(250))).expect("receive timeout");
    let fabric = socket.local_addr().expect("address");
    let mut processes = Vec::new();
    for (number, proxy) in proxies.iter().enumerate() {
        let extra =
            ["--target", &number.to_string(), "--fabric", &fabric.to_string()].map(str::to_owned);
        let agent = start("agent", &extra, &platform, &keys).await;
        let data = agent.addresses.data;
        zones.set(data, "one");
        proxy.forward_to(data, "one".to_owned(), zones.clone(), network.clone()).expect("proxy");
        processes.push(agent);
    }
    let balancer = start("balancer", &[], &platform, &keys).await;
    zones.set(balancer.addresses.data, "one");
    // Agents accept flows once all processes know them.
    tokio::time::sleep(Duration::from_millis(4_500)).await;
    let client = Client { socket, balancer: balancer.addresses.data };

    let before: Vec<u8> = (0..FLOWS).map(|flow| client.request(1_000 + flow, b"before")).collect();
    assert!(before.contains(&0) && before.contains(&1) && before.contains(&2), "{before:?}");

    let mut draining = first;
    draining.revision = 2;
    draining.targets[0].state = TargetState::Draining;
    platform.publish(draining);
    tokio::time::sleep(Duration::from_millis(1_500)).await;
    let after: Vec<u8> = (0..FLOWS).map(|flow| client.request(1_000 + flow, b"after")).collect();
    assert_eq!(before, after, "open flows keep their back end");
    let new: Vec<u8> = (0..FLOWS).map(|flow| client.request(2_000 + flow, b"new")).collect();
    assert!(!new.contains(&0), "a draining target accepts no new flow: {new:?}");
}
