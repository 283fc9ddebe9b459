//! The fabric: sends each client packet to a random balancer among those that it
//! considers live, and delivers replies to the clients.

use std::collections::HashMap;
use std::net::{SocketAddr, UdpSocket};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use tokio::sync::mpsc;
use weirhinge_packet::{PacketView, build_tcp_reset, decode_packet};

use crate::standin::link::{CLIENTS, Destination, Network, ZoneMap, enlarge_receive_buffer};

/// A balancer that the fabric sends packets to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FabricMember {
    /// The balancer's data address.
    pub address: SocketAddr,
    /// The balancer's zone.
    pub zone: String,
}

struct FabricState {
    members: Vec<FabricMember>,
    clients: HashMap<SocketAddr, mpsc::Sender<Vec<u8>>>,
    random: ChaCha8Rng,
}

/// Handle to the fabric. Cheap to clone.
#[derive(Clone)]
pub struct Fabric {
    socket: Arc<UdpSocket>,
    address: SocketAddr,
    network: Network,
    state: Arc<Mutex<FabricState>>,
    lag: Duration,
}

impl Fabric {
    /// Binds the fabric to a loopback port and starts the thread that delivers
    /// replies.
    pub fn start(
        network: Network,
        zones: ZoneMap,
        seed: u64,
        lag: Duration,
    ) -> std::io::Result<Self> {
        let socket = Arc::new(UdpSocket::bind("127.0.0.1:0")?);
        enlarge_receive_buffer(&socket);
        let address = socket.local_addr()?;
        let state = FabricState {
            members: Vec::new(),
            clients: HashMap::new(),
            random: ChaCha8Rng::seed_from_u64(seed),
        };
        let fabric = Self { socket, address, network, state: Arc::new(Mutex::new(state)), lag };
        let receiver = fabric.clone();
        std::thread::Builder::new()
            .name("fabric".to_owned())
            .spawn(move || receiver.deliver_replies(&zones))?;
        Ok(fabric)
    }

    /// Returns the address that agents send replies to.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Replaces the list of balancers after the fabric's lag.
    pub fn set_members(&self, members: Vec<FabricMember>) {
        let fabric = self.clone();
        tokio::spawn(async move {
            tokio::time::sleep(fabric.lag).await;
            fabric.lock().members = members;
        });
    }

    /// Registers a client's address; its packets arrive at the returned queue.
    pub fn add_client(&self, address: SocketAddr) -> mpsc::Receiver<Vec<u8>> {
        let (sender, receiver) = mpsc::channel(256);
        self.lock().clients.insert(address, sender);
        receiver
    }

    /// Unregisters a client's address.
    pub fn remove_client(&self, address: SocketAddr) {
        self.lock().clients.remove(&address);
    }

    /// Sends a client's packet to a random balancer.
    pub fn send(&self, packet: &[u8]) {
        let member = {
            let mut state = self.lock();
            if state.members.is_empty() {
                return;
            }
            let count = state.members.len();
            let choice = state.random.random_range(0..count);
            state.members[choice].clone()
        };
        let destination =
            Destination::Process { socket: self.socket.clone(), address: member.address };
        self.network.send(CLIENTS, &member.zone, &destination, packet);
    }

    fn deliver_replies(&self, zones: &ZoneMap) {
        let mut datagram = [0; 2_048];
        loop {
            // A packet sent to a closed port of a dead balancer causes an error here.
            let Ok((length, source)) = self.socket.recv_from(&mut datagram) else {
                continue;
            };
            let Some(zone) = zones.get(source) else {
                continue;
            };
            let Ok(view) = decode_packet(&datagram[..length]) else {
                continue;
            };
            let client = self.lock().clients.get(&view.key.destination).cloned();
            match client {
                Some(queue) => {
                    let destination = Destination::Client(queue);
                    self.network.send(&zone, CLIENTS, &destination, &datagram[..length]);
                }
                None => self.send_host_reset(&view),
            }
        }
    }

    /// Sends the reset with which a client's host answers a segment of an unknown
    /// connection.
    fn send_host_reset(&self, view: &PacketView<'_>) {
        let Some(segment) = view.tcp().filter(|segment| !segment.reset) else {
            return;
        };
        if let Ok(reset) = build_tcp_reset(&view.key, segment) {
            self.send(&reset);
        }
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, FabricState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
