//! Capacity grants of an agent daemon to a balancer, over real sockets.

use std::net::{Ipv4Addr, SocketAddrV4};
use std::time::Duration;

use slog::{Discard, Logger, o};
use tokio::net::UdpSocket;
use tokio::sync::watch;
use tokio::task::LocalSet;
use weirhinge_fleet::{
    Millis, OpeningDemand, PeerMessage, Position, ReturnReason, ServiceId, TargetRecord,
    TargetState, VersionedTarget, WaitingOpenings, decode, encode,
};
use weirhinge_relay::{
    AgentSettings, ListPage, Platform, ProcessLog, RawSettings, ReadConsistency, RejectedItem,
    Signals, WatchPage, run_agent,
};
use weirhinge_steering::{AnswerStatus, Flags, FlowKey, MalformedPacket, PacketHeader};

const SERVICE_ADDRESS: SocketAddrV4 = SocketAddrV4::new(Ipv4Addr::new(198, 18, 0, 1), 443);
const BALANCER: Ipv4Addr = Ipv4Addr::new(127, 0, 77, 2);
const SERVICE: &str = "sheets";
/// Capacity of a target whose slots are not known.
const CAPACITY: u16 = 4;
/// Timeout for a message; long enough for a busy machine.
const TIMEOUT: Duration = Duration::from_secs(10);
/// Time that a request runs before the agent reports its duration as service time.
const LONG_REQUEST: Duration = Duration::from_millis(200);

/// A platform with a minimal packet format: an opening packet consists of the client's port, and
/// a request has one more byte.
#[derive(Clone)]
struct PortPlatform;

impl Platform for PortPlatform {
    fn decode(&self, packet: &[u8]) -> Result<PacketHeader, MalformedPacket> {
        let (port, data) = packet.split_first_chunk().ok_or(MalformedPacket::WrongLength)?;
        Ok(PacketHeader {
            source: SocketAddrV4::new(BALANCER, u16::from_be_bytes(*port)),
            destination: SERVICE_ADDRESS,
            flags: Flags { syn: data.is_empty(), ..Flags::default() },
            sequence: 0,
            acknowledgment: 0,
            length: data.len() as u16,
            echo: 0,
        })
    }

    fn write_echo(&self, _: &mut [u8], _: u32) {}

    fn restore_bounced(&self, _: &mut [u8]) {}

    fn build_reset(&self, _: &FlowKey, _: u32) -> Vec<u8> {
        Vec::new()
    }

    fn request_id<'a>(&self, _: &'a [u8]) -> Option<&'a str> {
        None
    }

    fn answer_status(&self, _: &[u8]) -> Option<AnswerStatus> {
        None
    }

    fn store_era(&self, _: &http::HeaderMap) -> Result<u64, RejectedItem> {
        Ok(0)
    }

    fn list_path(&self, _: Option<&str>, _: ReadConsistency) -> String {
        String::new()
    }

    fn watch_path(&self, _: u64, _: Millis) -> String {
        String::new()
    }

    fn read_list(&self, _: u64, _: &[u8]) -> Result<ListPage, RejectedItem> {
        Ok(ListPage::default())
    }

    fn read_watch(&self, _: u64, _: &[u8]) -> Result<WatchPage, RejectedItem> {
        Ok(WatchPage::default())
    }

    fn readiness_path(&self) -> &'static str {
        "/ready"
    }
}

/// The peers of the agent under test: a balancer's socket and the target's input socket.
struct Peers {
    balancer: UdpSocket,
    agent: SocketAddrV4,
    target: UdpSocket,
}

impl Peers {
    async fn send(&self, message: &PeerMessage<'_>) {
        let mut buffer = Vec::new();
        encode(message, &mut buffer).expect("encode the message");
        self.balancer.send_to(&buffer, self.agent).await.expect("send to the agent");
    }

    /// Requests capacity for `count` waiting openings.
    async fn request_capacity(&self, count: u16) {
        let demand = demand(count);
        self.send(&PeerMessage::Demand { service: ServiceId::of(SERVICE).0, demand }).await;
    }

    /// Sends an opening packet, with or without a grant.
    async fn open(&self, port: u16, granted: Option<OpeningDemand>) {
        self.forward(&port.to_be_bytes(), granted).await;
    }

    async fn forward(&self, packet: &[u8], granted: Option<OpeningDemand>) {
        self.forward_for(SERVICE, packet, granted).await;
    }

    async fn forward_for(&self, service: &str, packet: &[u8], granted: Option<OpeningDemand>) {
        let service = ServiceId::of(service).0;
        let (search, may_wait, urgent) = (None, false, false);
        let forward = PeerMessage::Forward { service, search, may_wait, urgent, granted, packet };
        self.send(&forward).await;
    }

    /// Receives messages from the agent until `read` accepts one.
    async fn receive<T>(&self, read: impl Fn(PeerMessage<'_>) -> Option<T>) -> T {
        let mut buffer = [0; 2_000];
        let received = async {
            loop {
                let length = self.balancer.recv(&mut buffer).await.expect("receive from the agent");
                if let Some(value) = read(decode(&buffer[..length]).expect("valid message")) {
                    return value;
                }
            }
        };
        tokio::time::timeout(TIMEOUT, received).await.expect("message from the agent in time")
    }

    async fn expect_grant(&self) {
        let service = ServiceId::of(SERVICE).0;
        let grant = |message: PeerMessage<'_>| match message {
            PeerMessage::Grant { service, urgent_only, .. } => Some((service, urgent_only)),
            PeerMessage::Returned { .. } => panic!("expected a grant, received {message:?}"),
            _ => None,
        };
        assert_eq!(self.receive(grant).await, (service, false));
    }

    /// Sends an opening packet until the target receives it.
    async fn open_with_retries(&self, port: u16) {
        let busy = |message: PeerMessage<'_>| match message {
            PeerMessage::Returned { reason: ReturnReason::Busy, .. } => Some(()),
            PeerMessage::Returned { .. } => {
                panic!("expected delivery or a busy target, received {message:?}")
            }
            _ => None,
        };
        loop {
            self.open(port, None).await;
            tokio::select! {
                received = self.receive_at_target() => return assert_eq!(received, port),
                () = self.receive(busy) => tokio::time::sleep(Duration::from_millis(5)).await,
            }
        }
    }

    async fn receive_at_target(&self) -> u16 {
        let mut packet = [0; 2];
        let received = tokio::time::timeout(TIMEOUT, self.target.recv(&mut packet)).await;
        received.expect("packet at the target in time").expect("receive at the target");
        u16::from_be_bytes(packet)
    }
}

fn demand(count: u16) -> OpeningDemand {
    OpeningDemand { others: WaitingOpenings { count, oldest_ms: 10 }, ..OpeningDemand::default() }
}

/// Returns the record of a target with eight slots.
fn target_record(agent: Ipv4Addr) -> VersionedTarget {
    let record = TargetRecord {
        service: SERVICE.to_owned(),
        address: agent.to_bits(),
        zone: "a".to_owned(),
        slots: 8,
        state: TargetState::Ready,
        warm_up_ms: 0,
        incarnation: None,
        sequence: 1,
    };
    let (id, position) = ("target".to_owned(), Position::new(0, 1));
    VersionedTarget { id, position, present: true, record: Some(record) }
}

fn free_port(agent: Ipv4Addr) -> u16 {
    let socket = std::net::TcpListener::bind((agent, 0)).expect("bind a free port");
    socket.local_addr().expect("local address").port()
}

fn settings(agent: Ipv4Addr, peer_port: u16, target: u16) -> AgentSettings {
    let text = |port: u16| Some(format!("{agent}:{port}"));
    let raw = RawSettings {
        name: Some("agent".to_owned()),
        zone: Some("a".to_owned()),
        address: Some(agent.to_string()),
        packets: text(1),
        readiness: text(free_port(agent)),
        peer_port: Some(peer_port),
        store: text(4),
        target: text(target),
        target_output: text(free_port(agent)),
        service: Some(SERVICE.to_owned()),
        ..RawSettings::default()
    };
    raw.into_agent("test").expect("valid settings")
}

/// Starts an agent and runs `test` with its peers once it answers probes.
async fn with_agent(address: Ipv4Addr, test: impl AsyncFnOnce(Peers)) {
    let balancer = UdpSocket::bind((BALANCER, 0)).await.expect("bind the balancer");
    let peer_port = balancer.local_addr().expect("local address").port();
    let target = UdpSocket::bind((address, 0)).await.expect("bind the target");
    let settings = settings(address, peer_port, target.local_addr().expect("local address").port());
    let log = ProcessLog { log: Logger::root(Discard, o!()), lost: Default::default() };
    let (_stop, stop) = watch::channel(false);
    let (_reload, reload) = watch::channel(0);
    let agent = run_agent(PortPlatform, settings, "test".to_owned(), log, Signals { stop, reload });
    let peers = Peers { balancer, agent: SocketAddrV4::new(address, peer_port), target };
    let scenario = async {
        let probe_answer =
            |message: PeerMessage<'_>| matches!(message, PeerMessage::ProbeAnswer).then_some(());
        let probe = async {
            loop {
                peers.send(&PeerMessage::Probe).await;
                tokio::time::sleep(Duration::from_millis(20)).await;
            }
        };
        tokio::select! {
            () = peers.receive(probe_answer) => {}
            () = probe => {}
        }
        test(peers).await;
    };
    LocalSet::new()
        .run_until(async {
            tokio::select! {
                ended = agent => panic!("the agent ended unexpectedly: {ended:?}"),
                () = scenario => {}
            }
        })
        .await;
}

#[tokio::test]
async fn requesting_balancer_gets_a_grant_and_uses_it() {
    let agent = Ipv4Addr::new(127, 0, 77, 11);
    with_agent(agent, async |peers| {
        peers.request_capacity(1).await;
        peers.expect_grant().await;
        peers.open(1_000, Some(demand(1))).await;
        assert_eq!(peers.receive_at_target().await, 1_000);
        // The opening reports what still waits at the balancer, which leads to another grant.
        peers.expect_grant().await;
    })
    .await;
}

/// A declined grant must not keep its capacity reserved. On a busy machine the grant may have
/// lapsed before it is declined; the agent then grants once more.
#[tokio::test]
async fn declined_grant_does_not_block_openings_without_grant() {
    let agent = Ipv4Addr::new(127, 0, 77, 12);
    with_agent(agent, async |peers| {
        peers.request_capacity(1).await;
        peers.expect_grant().await;
        peers.send(&PeerMessage::Declined).await;
        for port in 1_000..1_000 + CAPACITY {
            peers.open_with_retries(port).await;
        }
    })
    .await;
}

/// Guards against a grant that lacks parts of the target's load that the agent reported before,
/// such as the service time.
#[tokio::test]
async fn grant_reports_complete_target_load() {
    let agent = Ipv4Addr::new(127, 0, 77, 13);
    with_agent(agent, async |peers| {
        peers.send(&PeerMessage::Record(target_record(agent))).await;
        let [high, low] = 1_000_u16.to_be_bytes();
        peers.forward(&[high, low, 0], None).await;
        tokio::time::sleep(LONG_REQUEST).await;
        peers.request_capacity(1).await;
        let load = |message: PeerMessage<'_>| match message {
            PeerMessage::Grant { load, .. } => Some(load),
            _ => None,
        };
        let load = peers.receive(load).await;
        assert_eq!(load.waiting, 1);
        assert!(load.service_ms.is_some_and(|ms| u128::from(ms) >= LONG_REQUEST.as_millis()));
        assert!(load.expected_ms >= load.service_ms);
    })
    .await;
}

#[tokio::test]
async fn returned_opening_states_whether_it_came_with_a_grant() {
    let agent = Ipv4Addr::new(127, 0, 77, 14);
    with_agent(agent, async |peers| {
        for granted in [None, Some(demand(1))] {
            peers.forward_for("another service", &1_000_u16.to_be_bytes(), granted).await;
            let returned = |message: PeerMessage<'_>| match message {
                PeerMessage::Returned { reason, granted, .. } => Some((reason, granted)),
                _ => None,
            };
            let expected = (ReturnReason::OtherService, granted.is_some());
            assert_eq!(peers.receive(returned).await, expected);
        }
    })
    .await;
}
