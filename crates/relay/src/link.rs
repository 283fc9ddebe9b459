//! The socket between daemons, and the exchange of knowledge over it.

use std::cell::{Cell, RefCell};
use std::net::{Ipv4Addr, SocketAddrV4};
use std::rc::Rc;

use eyre::WrapErr;
use slog::{Logger, warn};
use tokio::net::UdpSocket;
use weirhinge_fleet::{Digest, MessageError, Millis, PeerMessage, Position, TargetRecord, encode};

use crate::clock::Clock;
use crate::fleet_node::FleetNode;
use crate::metrics::FleetMetrics;
use crate::peer_stream;
use crate::settings::CommonSettings;

/// A fetch that has not brought its position for this long is tried elsewhere.
const FETCH_PATIENCE_MS: Millis = 150;

/// This daemon's end of the conversation with its peers.
pub struct PeerLink {
    socket: UdpSocket,
    port: u16,
    node: Rc<RefCell<FleetNode>>,
    clock: Clock,
    metrics: FleetMetrics,
    log: Logger,
    buffer: RefCell<Vec<u8>>,
    /// The position last fetched for, and since when.
    wanted: Cell<(Position, Millis)>,
}

impl PeerLink {
    /// Opens the socket and begins to answer fetches.
    ///
    /// # Errors
    /// When the port cannot be bound.
    pub async fn start(
        settings: &CommonSettings,
        node: Rc<RefCell<FleetNode>>,
        clock: Clock,
        metrics: FleetMetrics,
        log: Logger,
    ) -> eyre::Result<Rc<Self>> {
        let address = SocketAddrV4::new(settings.address, settings.peer_port);
        let socket = UdpSocket::bind(address)
            .await
            .wrap_err_with(|| format!("bind for peers at {address}"))?;
        let known = Rc::clone(&node);
        peer_stream::serve(settings.address, settings.peer_port, move |request| {
            known.borrow().answer(request, clock.now())
        })
        .await
        .wrap_err_with(|| format!("listen for peers at {address}"))?;
        Ok(Rc::new(Self {
            socket,
            port: settings.peer_port,
            node,
            clock,
            metrics,
            log,
            buffer: RefCell::new(Vec::new()),
            wanted: Cell::default(),
        }))
    }

    /// The socket, to receive from.
    pub fn socket(&self) -> &UdpSocket {
        &self.socket
    }

    /// Sends a message; like any datagram it may be lost.
    pub fn send(&self, peer: Ipv4Addr, message: &PeerMessage<'_>) {
        let mut buffer = self.buffer.borrow_mut();
        if encode(message, &mut buffer).is_err() {
            return self.metrics.refused.increment("not_encoded");
        }
        let address = SocketAddrV4::new(peer, self.port);
        if self.socket.try_send_to(&buffer, address.into()).is_err() {
            self.metrics.refused.increment("not_sent");
        }
    }

    /// Counts a datagram that cannot be decoded.
    pub fn refuse(&self, error: MessageError) {
        self.metrics.refused.increment(match error {
            MessageError::UnknownVersion => "unknown_version",
            MessageError::Malformed => "malformed",
            MessageError::Encoding => "not_encoded",
        });
    }

    /// Counts a message that this role does not take.
    pub fn refuse_unexpected(&self) {
        self.metrics.refused.increment("unexpected");
    }

    /// Takes in a digest and does what it calls for.
    pub fn on_digest(self: &Rc<Self>, digest: &Digest, sender: Ipv4Addr) {
        if digest.sender != sender.to_bits() {
            return self.metrics.refused.increment("wrong_sender");
        }
        let now = self.clock.now();
        let reaction = self.node.borrow_mut().on_digest(digest, now);
        if reaction.reply {
            self.send_digest(sender, false);
        }
        if let Some(source) = reaction.fetch_from {
            self.fetch(source, digest.position, now);
        }
        if let Some(record) = reaction.record {
            self.send(sender, &PeerMessage::Record(record));
        }
        if reaction.spread {
            self.spread_news();
        }
    }

    /// Tells some peers what this daemon knows, and agents of new records.
    pub fn spread_news(&self) {
        let (receivers, records) = {
            let mut node = self.node.borrow_mut();
            (node.news_receivers(), node.take_recorded())
        };
        for receiver in receivers {
            self.send_digest(receiver, false);
        }
        for target in records {
            if let Some(agent) = target.record.as_ref().map(TargetRecord::machine) {
                self.send(agent, &PeerMessage::Record(target));
            }
        }
    }

    /// Asks the balancers to whom packets may be handed off whether they are there.
    pub fn ask_helpers(&self) {
        let helpers = self.node.borrow().helpers();
        for helper in helpers {
            self.send_digest(helper, true);
        }
    }

    /// Tells some balancers whether this one keeps up, and asks whether they do.
    pub fn compare_loads(&self, overloaded: bool) {
        let peers = {
            let mut node = self.node.borrow_mut();
            node.overloaded = overloaded;
            node.load_sample()
        };
        for peer in peers {
            self.send_digest(peer, true);
        }
    }

    /// Tells all known balancers that this one is about to stop.
    pub fn announce_stop(&self) {
        let balancers = {
            let mut node = self.node.borrow_mut();
            node.stopping = true;
            node.zone_peers()
        };
        for balancer in balancers {
            self.send_digest(balancer, false);
        }
    }

    /// Tells balancers that the target beside this agent has ended.
    pub fn announce_end(&self) {
        let balancers = self.node.borrow().farewell_receivers();
        for balancer in balancers {
            self.send(balancer, &PeerMessage::TargetEnded);
        }
    }

    /// Asks some agents whether they are reached.
    pub fn probe_agents(&self) {
        let agents = self.node.borrow().agents_to_probe();
        for agent in agents {
            self.send(agent, &PeerMessage::Probe);
        }
    }

    /// Asks the agents of known targets what stands beside them.
    pub fn ask_agents(&self) {
        let agents = self.node.borrow().agents_to_ask();
        for agent in agents {
            self.send_digest(agent, true);
        }
    }

    /// Keeps in touch with peers; to be called regularly.
    pub fn tick(&self) {
        let now = self.clock.now();
        let receivers = {
            let mut node = self.node.borrow_mut();
            node.check_freshness(now);
            node.tick_receivers(now)
        };
        for (receiver, ask) in receivers {
            self.send_digest(receiver, ask);
        }
        self.update_gauges();
    }

    fn send_digest(&self, peer: Ipv4Addr, reply: bool) {
        let digest = self.node.borrow().digest(reply, self.clock.now());
        self.send(peer, &PeerMessage::Digest(digest));
    }

    /// Fetches what a peer knows, unless the same is on its way from another.
    fn fetch(self: &Rc<Self>, peer: Ipv4Addr, position: Position, now: Millis) {
        let (wanted, since) = self.wanted.get();
        if position <= wanted && now.saturating_sub(since) < FETCH_PATIENCE_MS {
            return;
        }
        self.wanted.set((position, now));
        let link = Rc::clone(self);
        tokio::task::spawn_local(async move { link.fetch_from(peer).await });
    }

    async fn fetch_from(&self, peer: Ipv4Addr) {
        let began = self.clock.now();
        let request = self.node.borrow().request();
        let result = peer_stream::fetch(SocketAddrV4::new(peer, self.port), request).await;
        let now = self.clock.now();
        self.metrics.fetch_seconds.observe((now - began) as f64 / 1_000.0);
        match result {
            Ok(update) => {
                self.metrics.fetches.increment("done");
                // It is not known how much of the time was the answer's way.
                let update = update.delayed_by(now.saturating_sub(began));
                let changed = self.node.borrow_mut().apply(update, "peer", now);
                if changed {
                    self.spread_news();
                }
            }
            Err(error) => {
                self.metrics.fetches.increment("failed");
                warn!(self.log, "fleet: fetch failed"; "event" => "fetch_failed",
                    "peer" => peer.to_string(), "reason" => error.to_string());
            }
        }
    }

    fn update_gauges(&self) {
        let node = self.node.borrow();
        let age = node.age(self.clock.now());
        let version = node.view().label().map_or(0, |label| label.version);
        self.metrics.revision.set(node.position().revision as i64);
        self.metrics.era.set(node.newest_era() as i64);
        self.metrics.configuration.set(version as i64);
        self.metrics.zones_evacuated.set(node.view().evacuated_zone_count() as i64);
        self.metrics.age_ms.set(age.map_or(-1, |age| age as i64));
    }
}
