//! The networks: delay, loss, duplication, reordering and cuts, from a seed.

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

/// The place that callers are in, beside the scenario's zones.
pub const CLIENTS: &str = "clients";
/// Delay inside one zone.
const SAME_ZONE_DELAY: Duration = Duration::from_micros(200);
/// How long the delivery thread sleeps when nothing is under way.
const IDLE_SLEEP: Duration = Duration::from_millis(100);

/// Where a packet ends up.
#[derive(Clone, Debug)]
pub enum Destination {
    /// A process's UDP socket.
    Process {
        /// Socket to send from.
        socket: Arc<UdpSocket>,
        /// Address to send to.
        address: SocketAddr,
    },
    /// A caller inside this process.
    Caller(async_mpsc::Sender<Vec<u8>>),
}

impl Destination {
    fn deliver(self, packet: Vec<u8>) {
        // A full queue or a closed port loses the packet, as a network would.
        match self {
            Destination::Process { socket, address } => {
                let _ = socket.send_to(&packet, address);
            }
            Destination::Caller(queue) => {
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

/// The earliest delivery is the greatest, as the heap gives the greatest first.
impl Ord for Delivery {
    fn cmp(&self, other: &Self) -> Order {
        (other.due, other.order).cmp(&(self.due, self.order))
    }
}

struct Shape {
    random: ChaCha8Rng,
    cuts: HashSet<(String, String)>,
    order: u64,
}

/// Carries packets between places. Cheap to clone.
#[derive(Clone)]
pub struct Network {
    settings: NetworkSettings,
    shape: Arc<Mutex<Shape>>,
    deliveries: Sender<Delivery>,
}

impl Network {
    /// Starts the delivery thread, which ends with the last clone.
    pub fn start(settings: NetworkSettings, seed: u64) -> std::io::Result<Self> {
        let (deliveries, receiver) = channel();
        std::thread::Builder::new()
            .name("network".to_owned())
            .spawn(move || deliver_all(&receiver))?;
        let shape =
            Shape { random: ChaCha8Rng::seed_from_u64(seed), cuts: HashSet::new(), order: 0 };
        Ok(Self { settings, shape: Arc::new(Mutex::new(shape)), deliveries })
    }

    /// Sends one packet from one place to another.
    pub fn send(&self, from: &str, to: &str, destination: &Destination, packet: &[u8]) {
        let due = self.plan(from, to);
        for (due, order) in due {
            let delivery =
                Delivery { due, order, destination: destination.clone(), packet: packet.to_vec() };
            // The thread is gone only when the process is ending.
            let _ = self.deliveries.send(delivery);
        }
    }

    /// Cuts two places off from each other, or joins them again.
    pub fn set_cut(&self, one: &str, other: &str, cut: bool) {
        let mut shape = self.shape.lock().unwrap_or_else(PoisonError::into_inner);
        for pair in [(one, other), (other, one)] {
            let pair = (pair.0.to_owned(), pair.1.to_owned());
            if cut {
                shape.cuts.insert(pair);
            } else {
                shape.cuts.remove(&pair);
            }
        }
    }

    /// When the copies of one packet arrive; none if it is lost.
    fn plan(&self, from: &str, to: &str) -> Vec<(Instant, u64)> {
        let now = Instant::now();
        let mut shape = self.shape.lock().unwrap_or_else(PoisonError::into_inner);
        if !shape.cuts.is_empty() && shape.cuts.contains(&(from.to_owned(), to.to_owned())) {
            return Vec::new();
        }
        let client_side = from == CLIENTS || to == CLIENTS;
        let settings = &self.settings;
        let loss = if client_side { settings.client_loss } else { settings.zone_loss };
        if shape.random.random_bool(loss) {
            return Vec::new();
        }
        let copies = 1 + usize::from(shape.random.random_bool(settings.duplicate));
        let base = self.base_delay(from, to, client_side);
        let mut deliveries: Vec<(Instant, u64)> = (0..copies)
            .map(|_| {
                let mut delay = base;
                if shape.random.random_bool(settings.reorder) {
                    let further = settings.reorder_delay_ms * shape.random.random::<f64>();
                    delay += Duration::from_secs_f64(further / 1_000.0);
                }
                shape.order += 1;
                (now + delay, shape.order)
            })
            .collect();
        if shape.random.random_bool(settings.late_copy) {
            let late = settings.late_copy_delay_ms * shape.random.random::<f64>();
            shape.order += 1;
            let due = now + base + Duration::from_secs_f64(late / 1_000.0);
            deliveries.push((due, shape.order));
        }
        deliveries
    }

    fn base_delay(&self, from: &str, to: &str, client_side: bool) -> Duration {
        let milliseconds = if client_side {
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
            waiting.peek().map_or(IDLE_SLEEP, |next| next.due.saturating_duration_since(now));
        match receiver.recv_timeout(sleep) {
            Ok(delivery) => waiting.push(delivery),
            Err(RecvTimeoutError::Timeout) => {}
            Err(RecvTimeoutError::Disconnected) => return,
        }
        waiting.extend(receiver.try_iter());
    }
}

/// A place that processes send through: forwards every datagram that arrives
/// at its own address to one process, as the network sees fit.
pub struct LinkProxy {
    socket: Arc<UdpSocket>,
    address: SocketAddr,
    target: Arc<Mutex<Option<SocketAddr>>>,
}

/// Which zone each process's socket address is in; filled as processes start.
#[derive(Clone, Debug, Default)]
pub struct ZoneMap {
    zones: Arc<Mutex<std::collections::HashMap<SocketAddr, String>>>,
}

impl ZoneMap {
    /// Notes the zone of an address.
    pub fn set(&self, address: SocketAddr, zone: &str) {
        let mut zones = self.zones.lock().unwrap_or_else(PoisonError::into_inner);
        zones.insert(address, zone.to_owned());
    }

    /// The zone of an address, if known.
    pub fn get(&self, address: SocketAddr) -> Option<String> {
        let zones = self.zones.lock().unwrap_or_else(PoisonError::into_inner);
        zones.get(&address).cloned()
    }
}

impl LinkProxy {
    /// Binds a proxy on loopback.
    pub fn bind() -> std::io::Result<Self> {
        let socket = UdpSocket::bind("127.0.0.1:0")?;
        enlarge_receive_buffer(&socket);
        let address = socket.local_addr()?;
        Ok(Self { socket: Arc::new(socket), address, target: Arc::default() })
    }

    /// The address that others send to.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Forwards to another process from now on.
    pub fn set_target(&self, target: SocketAddr) {
        *self.target.lock().unwrap_or_else(PoisonError::into_inner) = Some(target);
    }

    /// Starts to forward to the process at `target` in `zone`.
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
                // A closed port of a dead agent surfaces as an error here.
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

/// Asks the kernel for a large receive buffer; it grants what its limit allows.
pub fn enlarge_receive_buffer(socket: &UdpSocket) {
    let _ = socket2::SockRef::from(socket).set_recv_buffer_size(8 << 20);
}
