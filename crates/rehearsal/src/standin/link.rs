//! The simulated network: delay, loss, duplication, reordering and partitions,
//! with randomness from a seed.

use std::cmp::Ordering as Order;
use std::collections::{BinaryHeap, HashSet};
use std::net::{SocketAddr, UdpSocket};
use std::sync::mpsc::{Receiver, RecvTimeoutError, Sender, channel};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use tokio::sync::mpsc as async_mpsc;

use crate::scenario::Network as NetworkSettings;

/// Location of the clients, in addition to the scenario's zones.
pub const CLIENTS: &str = "clients";
/// One-way delay within a zone.
const SAME_ZONE_DELAY: Duration = Duration::from_micros(200);
/// How long the delivery thread waits if no packet is in transit.
const IDLE_WAIT: Duration = Duration::from_millis(100);

/// The receiver of a packet.
#[derive(Clone, Debug)]
pub enum Destination {
    /// A process's UDP socket.
    Process {
        /// Socket to send from.
        socket: Arc<UdpSocket>,
        /// Address to send to.
        address: SocketAddr,
    },
    /// Queue of a client in this process.
    Client(async_mpsc::Sender<Vec<u8>>),
}

impl Destination {
    fn deliver(self, packet: Vec<u8>) {
        // A packet to a full queue or a closed port is lost, as in a real network.
        match self {
            Destination::Process { socket, address } => {
                let _ = socket.send_to(&packet, address);
            }
            Destination::Client(queue) => {
                let _ = queue.try_send(packet);
            }
        }
    }
}

struct Delivery {
    due: Instant,
    order: u64,
    destination: Destination,
    packet: Vec<u8>,
}

impl PartialEq for Delivery {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other) == Order::Equal
    }
}

impl Eq for Delivery {}

impl PartialOrd for Delivery {
    fn partial_cmp(&self, other: &Self) -> Option<Order> {
        Some(self.cmp(other))
    }
}

/// Reverses the order, as the heap returns the greatest element first.
impl Ord for Delivery {
    fn cmp(&self, other: &Self) -> Order {
        (other.due, other.order).cmp(&(self.due, self.order))
    }
}

struct NetworkState {
    random: ChaCha8Rng,
    cuts: HashSet<(String, String)>,
    order: u64,
}

/// Carries packets between locations. Cheap to clone.
#[derive(Clone)]
pub struct Network {
    settings: NetworkSettings,
    state: Arc<Mutex<NetworkState>>,
    deliveries: Sender<Delivery>,
}

impl Network {
    /// Starts the delivery thread, which exits when the last clone is dropped.
    pub fn start(settings: NetworkSettings, seed: u64) -> std::io::Result<Self> {
        let (deliveries, receiver) = channel();
        std::thread::Builder::new()
            .name("network".to_owned())
            .spawn(move || deliver_all(&receiver))?;
        let state = NetworkState {
            random: ChaCha8Rng::seed_from_u64(seed),
            cuts: HashSet::new(),
            order: 0,
        };
        Ok(Self { settings, state: Arc::new(Mutex::new(state)), deliveries })
    }

    /// Sends a packet from one location to another.
    pub fn send(&self, from: &str, to: &str, destination: &Destination, packet: &[u8]) {
        let due = self.schedule(from, to);
        for (due, order) in due {
            let delivery =
                Delivery { due, order, destination: destination.clone(), packet: packet.to_vec() };
            // The thread lives as long as this handle, except at process exit.
            let _ = self.deliveries.send(delivery);
        }
    }

    /// Partitions two locations from each other, or reconnects them.
    pub fn set_cut(&self, one: &str, other: &str, cut: bool) {
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        for pair in [(one, other), (other, one)] {
            let pair = (pair.0.to_owned(), pair.1.to_owned());
            if cut {
                state.cuts.insert(pair);
            } else {
                state.cuts.remove(&pair);
            }
        }
    }

    /// Returns when each copy of a packet arrives, with a sequence number as a
    /// tie-breaker; empty if the packet is lost.
    fn schedule(&self, from: &str, to: &str) -> Vec<(Instant, u64)> {
        let now = Instant::now();
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        if !state.cuts.is_empty() && state.cuts.contains(&(from.to_owned(), to.to_owned())) {
            return Vec::new();
        }
        let involves_clients = from == CLIENTS || to == CLIENTS;
        let settings = &self.settings;
        let loss = if involves_clients { settings.client_loss } else { settings.zone_loss };
        if state.random.random_bool(loss) {
            return Vec::new();
        }
        let copies = 1 + usize::from(state.random.random_bool(settings.duplicate));
        let base = self.base_delay(from, to, involves_clients);
        let mut deliveries: Vec<(Instant, u64)> = (0..copies)
            .map(|_| {
                let mut delay = base;
                if state.random.random_bool(settings.reorder) {
                    let extra = settings.reorder_delay_ms * state.random.random::<f64>();
                    delay += Duration::from_secs_f64(extra / 1_000.0);
                }
                state.order += 1;
                (now + delay, state.order)
            })
            .collect();
        if state.random.random_bool(settings.late_copy) {
            let late = settings.late_copy_delay_ms * state.random.random::<f64>();
            state.order += 1;
            let due = now + base + Duration::from_secs_f64(late / 1_000.0);
            deliveries.push((due, state.order));
        }
        deliveries
    }

    fn base_delay(&self, from: &str, to: &str, involves_clients: bool) -> Duration {
        let milliseconds = if involves_clients {
            self.settings.client_delay_ms
        } else if from == to {
            return SAME_ZONE_DELAY;
        } else {
            self.settings.zone_delay_ms
        };
        Duration::from_secs_f64(milliseconds / 1_000.0)
    }
}

fn deliver_all(receiver: &Receiver<Delivery>) {
    let mut waiting: BinaryHeap<Delivery> = BinaryHeap::new();
    loop {
        let now = Instant::now();
        while waiting.peek().is_some_and(|next| next.due <= now) {
            if let Some(Delivery { destination, packet, .. }) = waiting.pop() {
                destination.deliver(packet);
            }
        }
        let sleep =
            waiting.peek().map_or(IDLE_WAIT, |next| next.due.saturating_duration_since(now));
        match receiver.recv_timeout(sleep) {
            Ok(delivery) => waiting.push(delivery),
            Err(RecvTimeoutError::Timeout) => {}
            Err(RecvTimeoutError::Disconnected) => return,
        }
        waiting.extend(receiver.try_iter());
    }
}

/// A UDP proxy in front of one process: forwards every datagram that arrives at
/// its own address through the simulated network.
pub struct LinkProxy {
    socket: Arc<UdpSocket>,
    address: SocketAddr,
    target: Arc<Mutex<Option<SocketAddr>>>,
}

/// The zone of each process's socket address; filled as processes start.
#[derive(Clone, Debug, Default)]
pub struct ZoneMap {
    zones: Arc<Mutex<std::collections::HashMap<SocketAddr, String>>>,
}

impl ZoneMap {
    /// Sets the zone of an address.
    pub fn set(&self, address: SocketAddr, zone: &str) {
        let mut zones = self.zones.lock().unwrap_or_else(PoisonError::into_inner);
        zones.insert(address, zone.to_owned());
    }

    /// Returns the zone of an address, if known.
    pub fn get(&self, address: SocketAddr) -> Option<String> {
        let zones = self.zones.lock().unwrap_or_else(PoisonError::into_inner);
        zones.get(&address).cloned()
    }
}

impl LinkProxy {
    /// Binds a proxy to a loopback port.
    pub fn bind() -> std::io::Result<Self> {
        let socket = UdpSocket::bind("127.0.0.1:0")?;
        enlarge_receive_buffer(&socket);
        let address = socket.local_addr()?;
        Ok(Self { socket: Arc::new(socket), address, target: Arc::default() })
    }

    /// Returns the address that other processes send to.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Forwards to the process at `target` from now on.
    pub fn set_target(&self, target: SocketAddr) {
        *self.target.lock().unwrap_or_else(PoisonError::into_inner) = Some(target);
    }

    /// Starts forwarding to the process at `target` in `zone`.
    pub fn forward_to(
        &self,
        target: SocketAddr,
        zone: String,
        zones: ZoneMap,
        network: Network,
    ) -> std::io::Result<()> {
        self.set_target(target);
        let socket = self.socket.clone();
        let target = self.target.clone();
        std::thread::Builder::new().name("link".to_owned()).spawn(move || {
            let mut datagram = [0; 2_048];
            loop {
                // A packet sent to a closed port of a dead agent causes an error here.
                let Ok((length, source)) = socket.recv_from(&mut datagram) else {
                    continue;
                };
                let address = *target.lock().unwrap_or_else(PoisonError::into_inner);
                if let (Some(from), Some(address)) = (zones.get(source), address) {
                    let destination = Destination::Process { socket: socket.clone(), address };
                    network.send(&from, &zone, &destination, &datagram[..length]);
                }
            }
        })?;
        Ok(())
    }
}

/// Requests a receive buffer of 8 MiB; the kernel may grant less.
pub fn enlarge_receive_buffer(socket: &UdpSocket) {
    let _ = socket2::SockRef::from(socket).set_recv_buffer_size(8 << 20);
}
