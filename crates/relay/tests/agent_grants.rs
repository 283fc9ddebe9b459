//! An agent daemon's answers to a balancer that asks for room, over real sockets.

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
    AgentSettings, ListPage, Platform, ProcessLog, RawSettings, RejectedItem, Signals, WatchPage,
    run_agent,
};
use weirhinge_steering::{AnswerStatus, Flags, FlowKey, MalformedPacket, PacketHeader};

const CLIENTS_SERVICE: SocketAddrV4 = SocketAddrV4::new(Ipv4Addr::new(198, 18, 0, 1), 443);
const BALANCER: Ipv4Addr = Ipv4Addr::new(127, 0, 77, 2);
const SERVICE: &str = "sheets";
/// Room at a target whose size is not known.
const ROOM: u16 = 4;
/// Longest wait for a message on a busy machine.
const PATIENCE: Duration = Duration::from_secs(10);
/// Time from which agents tell of a request that runs.
const LONG_REQUEST: Duration = Duration::from_millis(200);

/// Packets are opening packets that consist of their client's port, or requests with one
/// byte more.
#[derive(Clone)]
struct PortsOnly;

impl Platform for PortsOnly {
    fn decode(&self, packet: &[u8]) -> Result<PacketHeader, MalformedPacket> {
        let (port, data) = packet.split_first_chunk().ok_or(MalformedPacket::WrongLength)?;
        Ok(PacketHeader {
            source: SocketAddrV4::new(BALANCER, u16::from_be_bytes(*port)),
            destination: CLIENTS_SERVICE,
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

    fn list_path(&self, _: Option<&str>) -> String {
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

/// The balancer's end of the conversation, and the target's input.
struct Peers {
    balancer: UdpSocket,
    agent: SocketAddrV4,
    target: UdpSocket,
}

impl Peers {
    async fn send(&self, message: &PeerMessage<'_>) {
        let mut buffer = Vec::new();
        encode(message, &mut buffer).expect("encodes");
        self.balancer.send_to(&buffer, self.agent).await.expect("sent");
    }

    async fn ask(&self, count: u16) {
        let demand = demand(count);
        self.send(&PeerMessage::Demand { service: ServiceId::of(SERVICE).0, demand }).await;
    }

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

    /// The next message of the agent that is about openings.
    async fn hear<T>(&self, read: impl Fn(PeerMessage<'_>) -> Option<T>) -> T {
        let mut buffer = [0; 2_000];
        let heard = async {
            loop {
                let length = self.balancer.recv(&mut buffer).await.expect("received");
                if let Some(told) = read(decode(&buffer[..length]).expect("decodes")) {
                    return told;
                }
            }
        };
        tokio::time::timeout(PATIENCE, heard).await.expect("a message of the agent")
    }

    async fn hear_grant(&self) {
        let service = ServiceId::of(SERVICE).0;
        let granted = |message: PeerMessage<'_>| match message {
            PeerMessage::Grant { service, urgent_only, .. } => Some((service, urgent_only)),
            PeerMessage::Returned { .. } => panic!("expected a grant, got {message:?}"),
            _ => None,
        };
        assert_eq!(self.hear(granted).await, (service, false));
    }

    /// Sends an opening packet until the target gets it.
    async fn open_in_the_end(&self, port: u16) {
        let busy = |message: PeerMessage<'_>| match message {
            PeerMessage::Returned { reason: ReturnReason::Busy, .. } => Some(()),
            PeerMessage::Returned { .. } => panic!("expected room, got {message:?}"),
            _ => None,
        };
        loop {
            self.open(port, None).await;
            tokio::select! {
                got = self.target_gets() => return assert_eq!(got, port),
                () = self.hear(busy) => tokio::time::sleep(Duration::from_millis(5)).await,
            }
        }
    }

    async fn target_gets(&self) -> u16 {
        let mut packet = [0; 2];
        let received = tokio::time::timeout(PATIENCE, self.target.recv(&mut packet)).await;
        received.expect("a packet for the target").expect("received");
        u16::from_be_bytes(packet)
    }
}

fn demand(count: u16) -> OpeningDemand {
    OpeningDemand { others: WaitingOpenings { count, oldest_ms: 10 }, ..OpeningDemand::default() }
}

/// The record of a target with eight slots.
fn recorded(agent: Ipv4Addr) -> VersionedTarget {
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
    let socket = std::net::TcpListener::bind((agent, 0)).expect("a free port");
    socket.local_addr().expect("bound").port()
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
    raw.into_agent("test").expect("settings")
}

/// Runs a conversation with an agent that has just started.
async fn beside_an_agent(address: Ipv4Addr, talk: impl AsyncFnOnce(Peers)) {
    let balancer = UdpSocket::bind((BALANCER, 0)).await.expect("bound");
    let peer_port = balancer.local_addr().expect("bound").port();
    let target = UdpSocket::bind((address, 0)).await.expect("bound");
    let settings = settings(address, peer_port, target.local_addr().expect("bound").port());
    let log = ProcessLog { log: Logger::root(Discard, o!()), lost: Default::default() };
    let (_stop, stop) = watch::channel(false);
    let (_reload, reload) = watch::channel(0);
    let agent = run_agent(PortsOnly, settings, "test".to_owned(), log, Signals { stop, reload });
    let peers = Peers { balancer, agent: SocketAddrV4::new(address, peer_port), target };
    let started = async {
        let answered =
            |message: PeerMessage<'_>| matches!(message, PeerMessage::ProbeAnswer).then_some(());
        let probe = async {
            loop {
                peers.send(&PeerMessage::Probe).await;
                tokio::time::sleep(Duration::from_millis(20)).await;
            }
        };
        tokio::select! {
            () = peers.hear(answered) => {}
            () = probe => {}
        }
        talk(peers).await;
    };
    LocalSet::new()
        .run_until(async {
            tokio::select! {
                ended = agent => panic!("the agent ended: {ended:?}"),
                () = started => {}
            }
        })
        .await;
}

#[tokio::test]
async fn a_balancer_that_asks_is_granted_room_and_uses_it() {
    let agent = Ipv4Addr::new(127, 0, 77, 11);
    beside_an_agent(agent, async |peers| {
        peers.ask(1).await;
        peers.hear_grant().await;
        peers.open(1_000, Some(demand(1))).await;
        assert_eq!(peers.target_gets().await, 1_000);
        // What still waits is told with the answer.
        peers.hear_grant().await;
    })
    .await;
}

/// On a busy machine the grant may have lapsed before, and is then given once more.
#[tokio::test]
async fn who_declined_holds_up_no_opening_that_comes_unasked() {
    let agent = Ipv4Addr::new(127, 0, 77, 12);
    beside_an_agent(agent, async |peers| {
        peers.ask(1).await;
        peers.hear_grant().await;
        peers.send(&PeerMessage::Declined).await;
        for port in 1_000..1_000 + ROOM {
            peers.open_in_the_end(port).await;
        }
    })
    .await;
}

/// What the agent told before must not be forgotten for a grant.
#[tokio::test]
async fn a_grant_tells_of_the_target_what_all_messages_do() {
    let agent = Ipv4Addr::new(127, 0, 77, 13);
    beside_an_agent(agent, async |peers| {
        peers.send(&PeerMessage::Record(recorded(agent))).await;
        let [high, low] = 1_000_u16.to_be_bytes();
        peers.forward(&[high, low, 0], None).await;
        tokio::time::sleep(LONG_REQUEST).await;
        peers.ask(1).await;
        let load = |message: PeerMessage<'_>| match message {
            PeerMessage::Grant { load, .. } => Some(load),
            _ => None,
        };
        let load = peers.hear(load).await;
        assert_eq!(load.waiting, 1);
        assert!(load.service_ms.is_some_and(|ms| u128::from(ms) >= LONG_REQUEST.as_millis()));
        assert!(load.expected_ms >= load.service_ms);
    })
    .await;
}

#[tokio::test]
async fn an_opening_that_goes_back_tells_whether_it_came_with_a_grant() {
    let agent = Ipv4Addr::new(127, 0, 77, 14);
    beside_an_agent(agent, async |peers| {
        for used in [None, Some(demand(1))] {
            peers.forward_for("another service", &1_000_u16.to_be_bytes(), used).await;
            let returned = |message: PeerMessage<'_>| match message {
                PeerMessage::Returned { reason, granted, .. } => Some((reason, granted)),
                _ => None,
            };
            let expected = (ReturnReason::OtherService, used.is_some());
            assert_eq!(peers.hear(returned).await, expected);
        }
    })
    .await;
}
