//! The balancers known to this daemon, learned from the configured seeds and from other daemons.
//! Agents are not tracked here, as there may be very many of them: they are known by the records of
//! their targets and by their own messages.

use std::collections::BTreeMap;
use std::net::Ipv4Addr;

use crate::Millis;
use crate::message::{Digest, PeerRole};
use crate::model::ZoneId;
use crate::position::Position;

/// Milliseconds without a message after which a peer is considered gone.
pub const PEER_TIMEOUT_MS: Millis = 6_000;
/// Milliseconds without a message after which a digest is requested from a peer.
const DIGEST_REQUEST_AFTER_MS: Millis = 2_000;
/// Milliseconds for which a digest shows that its sender answers fetches.
const RECENT_DIGEST_MS: Millis = 1_000;
/// Maximum number of balancers remembered; the others are reached indirectly.
const MAX_PEERS: usize = 2_048;
/// Maximum number of balancer addresses in a digest.
const MAX_ADVERTISED_BALANCERS: usize = 12;

/// The state of one peer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Peer {
    last_seen_at: Option<Millis>,
    advertised_at: Millis,
    reported_reading_at: Option<Millis>,
    /// The position up to which it knows all changes.
    position: Position,
    zone: ZoneId,
    capacity: Option<u32>,
    stopping: bool,
    /// Whether it reported that it cannot keep up with its packets.
    overloaded: bool,
    /// Whether it has a configuration.
    configured: bool,
}

/// A balancer that has a configuration and is not shutting down.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ServingPeer {
    /// IPv4 address of the balancer.
    pub address: Ipv4Addr,
    /// The zone that the balancer runs in.
    pub zone: ZoneId,
    /// Time of the last digest from the balancer.
    pub last_seen_at: Millis,
    /// Whether it reported that it cannot keep up with its packets.
    pub overloaded: bool,
}

impl ServingPeer {
    /// Whether a digest arrived from it within the last `window` milliseconds.
    pub fn was_seen_within(&self, window: Millis, now: Millis) -> bool {
        now.saturating_sub(self.last_seen_at) < window
    }
}

/// The balancers known to this daemon, by address.
#[derive(Clone, Debug)]
pub struct PeerTable {
    own_address: Ipv4Addr,
    seeds: Vec<Ipv4Addr>,
    peers: BTreeMap<Ipv4Addr, Peer>,
}

impl PeerTable {
    /// Creates a table that knows only the seeds, addresses of balancers from the settings.
    pub fn new(own_address: Ipv4Addr, seeds: impl IntoIterator<Item = Ipv4Addr>) -> Self {
        let mut table = Self { own_address, seeds: Vec::new(), peers: BTreeMap::new() };
        table.set_seeds(seeds);
        table
    }

    /// Replaces the seeds. The daemon's own address is ignored.
    pub fn set_seeds(&mut self, seeds: impl IntoIterator<Item = Ipv4Addr>) {
        let own_address = self.own_address;
        self.seeds = seeds.into_iter().filter(|seed| *seed != own_address).collect();
    }

    /// Records a received digest. Returns whether this is the first one from its sender, if that is
    /// a balancer.
    pub fn record_digest(&mut self, digest: &Digest, now: Millis) -> bool {
        let sender = Ipv4Addr::from_bits(digest.sender);
        for advertised in digest.balancers.iter().take(MAX_ADVERTISED_BALANCERS) {
            self.record_advertised(Ipv4Addr::from_bits(*advertised), now);
        }
        let is_agent = digest.role == PeerRole::Agent;
        if is_agent || sender == self.own_address || self.is_full_for(sender) {
            return false;
        }
        let known = self.peers.get(&sender);
        let is_new = known.is_none_or(|peer| peer.last_seen_at.is_none());
        let reported_reading_at = if digest.reading { Some(now) } else { None };
        let peer = Peer {
            last_seen_at: Some(now),
            advertised_at: now,
            reported_reading_at,
            position: digest.position,
            zone: digest.zone,
            capacity: digest.capacity,
            stopping: digest.stopping,
            overloaded: digest.overloaded,
            configured: digest.configuration.is_some(),
        };
        self.peers.insert(sender, peer);
        is_new
    }

    /// Whether nothing was received from a peer for so long that a digest should be requested from
    /// it. Peers without changes do not send one of their own accord.
    pub fn needs_digest_request(&self, address: Ipv4Addr, now: Millis) -> bool {
        let last_seen_at = self.peers.get(&address).and_then(|peer| peer.last_seen_at);
        last_seen_at
            .is_none_or(|last_seen_at| now.saturating_sub(last_seen_at) >= DIGEST_REQUEST_AFTER_MS)
    }

    /// Removes peers from which no digest arrived for [`PEER_TIMEOUT_MS`], or none at all within
    /// that time after they were first advertised.
    pub fn expire(&mut self, now: Millis) {
        self.peers.retain(|_, peer| {
            let known_at = peer.last_seen_at.unwrap_or(peer.advertised_at);
            now.saturating_sub(known_at) < PEER_TIMEOUT_MS
        });
    }

    /// Iterates over the known balancers, seen or only advertised by others, in order of address.
    pub fn balancers(&self) -> impl Iterator<Item = Ipv4Addr> {
        self.peers.keys().copied()
    }

    /// Iterates over the seeds from which no digest arrived recently.
    pub fn silent_seeds(&self) -> impl Iterator<Item = Ipv4Addr> {
        let is_silent =
            |seed: &Ipv4Addr| self.peers.get(seed).is_none_or(|peer| peer.last_seen_at.is_none());
        self.seeds.iter().copied().filter(is_silent)
    }

    /// Returns the addresses of balancers to advertise in a digest, beginning at a part `fraction` of
    /// all. The caller draws it at random from [0, 1) so that all balancers are advertised over time.
    pub fn balancers_to_advertise(&self, fraction: f64) -> Vec<u32> {
        let seen: Vec<Ipv4Addr> = self
            .peers
            .iter()
            .filter(|(_, peer)| peer.last_seen_at.is_some())
            .map(|(address, _)| *address)
            .collect();
        let count = seen.len().min(MAX_ADVERTISED_BALANCERS);
        let start = (fraction * seen.len() as f64) as usize;
        (0..count).map(|offset| seen[(start + offset) % seen.len()].to_bits()).collect()
    }

    /// Returns the number of known balancers with a lower address than this daemon.
    pub fn rank(&self) -> usize {
        self.balancers().filter(|address| *address < self.own_address).count()
    }

    /// Whether a balancer with a lower address reported within the last `window` milliseconds that
    /// it reads the store.
    pub fn has_lower_reader(&self, now: Millis, window: Millis) -> bool {
        self.peers.range(..self.own_address).any(|(_, peer)| {
            peer.reported_reading_at.is_some_and(|at| now.saturating_sub(at) < window)
        })
    }

    /// Iterates over the balancers of a zone that have at least this capacity and are not shutting
    /// down, each with the time of its last digest.
    pub fn capable_in_zone(
        &self,
        zone: ZoneId,
        capacity: u32,
    ) -> impl Iterator<Item = (Ipv4Addr, Millis)> {
        self.peers.iter().filter_map(move |(address, peer)| {
            let has_capacity = peer.capacity.is_some_and(|known| known >= capacity);
            let last_seen_at = peer.last_seen_at?;
            (has_capacity && peer.zone == zone && !peer.stopping)
                .then_some((*address, last_seen_at))
        })
    }

    /// Iterates over the balancers from which a digest arrived, that have a configuration and are
    /// not shutting down.
    pub fn serving(&self) -> impl Iterator<Item = ServingPeer> {
        self.peers.iter().filter_map(|(address, peer)| {
            let serving = ServingPeer {
                address: *address,
                zone: peer.zone,
                last_seen_at: peer.last_seen_at?,
                overloaded: peer.overloaded,
            };
            (peer.configured && !peer.stopping).then_some(serving)
        })
    }

    /// Iterates over the balancers that recently reported a position later than this one.
    pub fn ahead_of(&self, position: Position, now: Millis) -> impl Iterator<Item = Ipv4Addr> {
        let is_recent = move |peer: &Peer| {
            let last_seen_at = peer.last_seen_at;
            last_seen_at.is_some_and(|at| now.saturating_sub(at) < RECENT_DIGEST_MS)
        };
        let ahead = self.peers.iter();
        let ahead = ahead.filter(move |(_, peer)| peer.position > position && is_recent(peer));
        ahead.map(|(address, _)| *address)
    }

    /// Iterates over the balancers of a zone from which a digest arrived.
    pub fn in_zone(&self, zone: ZoneId) -> impl Iterator<Item = Ipv4Addr> {
        let seen = self.peers.iter().filter(|(_, peer)| peer.last_seen_at.is_some());
        seen.filter(move |(_, peer)| peer.zone == zone).map(|(address, _)| *address)
    }

    fn record_advertised(&mut self, address: Ipv4Addr, now: Millis) {
        if address == self.own_address || self.is_full_for(address) {
            return;
        }
        let peer = Peer {
            last_seen_at: None,
            advertised_at: now,
            reported_reading_at: None,
            position: Position::default(),
            zone: ZoneId::default(),
            capacity: None,
            stopping: false,
            overloaded: false,
            configured: false,
        };
        self.peers.entry(address).or_insert(peer);
    }

    fn is_full_for(&self, address: Ipv4Addr) -> bool {
        self.peers.len() >= MAX_PEERS && !self.peers.contains_key(&address)
    }
}
