//! The fabric: sprays each packet of each caller over the balancers that it
//! believes to be live, and brings answers home.

use std::collections::HashMap;
use std::net::{SocketAddr, UdpSocket};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use tokio::sync::mpsc;
use weirhinge_packet::{PacketView, build_tcp_reset, decode_packet};

use crate::standin::link::{CLIENTS, Destination, Network, ZoneMap, enlarge_receive_buffer};

/// One balancer as the fabric knows it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FabricMember {
    /// The balancer's data address.
    pub address: SocketAddr,
    /// The balancer's zone.
    pub zone: String,
}

struct FabricState {
    members: Vec<FabricMember>,
    callers: HashMap<SocketAddr, mpsc::Sender<Vec<u8>>>,
    random: ChaCha8Rng,
}

/// The fabric. Cheap to clone.
#[derive(Clone)]
pub struct Fabric {
    socket: Arc<UdpSocket>,
    address: SocketAddr,
    network: Network,
    state: Arc<Mutex<FabricState>>,
    lag: Duration,
}

impl Fabric {
    /// Binds the fabric on loopback and starts to bring answers home.
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
            callers: HashMap::new(),
            random: ChaCha8Rng::seed_from_u64(seed),
        };
        let fabric = Self { socket, address, network, state: Arc::new(Mutex::new(state)), lag };
        let receiver = fabric.clone();
        std::thread::Builder::new()
            .name("fabric".to_owned())
            .spawn(move || receiver.receive_answers(&zones))?;
        Ok(fabric)
    }

    /// The address that agents send answers to.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Changes the balancers after the fabric's lag.
    pub fn set_members(&self, members: Vec<FabricMember>) {
        let fabric = self.clone();
        tokio::spawn(async move {
            tokio::time::sleep(fabric.lag).await;
            fabric.lock().members = members;
        });
    }

    /// Opens a caller's address; its packets arrive at the returned queue.
    pub fn add_caller(&self, address: SocketAddr) -> mpsc::Receiver<Vec<u8>> {
        let (sender, receiver) = mpsc::channel(256);
        self.lock().callers.insert(address, sender);
        receiver
    }

    /// Closes a caller's address.
    pub fn remove_caller(&self, address: SocketAddr) {
        self.lock().callers.remove(&address);
    }

    /// Sends a caller's packet to any balancer.
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

    fn receive_answers(&self, zones: &ZoneMap) {
        let mut datagram = [0; 2_048];
        loop {
            // A closed port of a dead balancer surfaces as an error here.
            let Ok((length, source)) = self.socket.recv_from(&mut datagram) else {
                continue;
            };
            let Some(zone) = zones.get(source) else {
                continue;
            };
            let Ok(view) = decode_packet(&datagram[..length]) else {
                continue;
            };
            let caller = self.lock().callers.get(&view.key.destination).cloned();
            match caller {
                Some(queue) => {
                    let destination = Destination::Caller(queue);
                    self.network.send(&zone, CLIENTS, &destination, &datagram[..length]);
                }
                None => self.answer_for_host(&view),
            }
        }
    }

    /// A caller's host resets what belongs to no connection of its own.
    fn answer_for_host(&self, view: &PacketView<'_>) {
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
