//! Which balancers exist, learned from seeds and from each other. Agents are known
//! by the targets' records and by what they say; there may be very many of them.

use std::collections::BTreeMap;
use std::net::Ipv4Addr;

use crate::Millis;
use crate::message::{Digest, PeerRole};
use crate::model::ZoneId;

/// A peer that was silent for this long is taken for gone.
pub const PEER_LIFETIME_MS: Millis = 6_000;
/// A peer that was silent for this long is asked for a digest.
const ASK_AFTER_MS: Millis = 2_000;
/// Most balancers remembered; the rest are reached through others.
const MAXIMUM_PEERS: usize = 2_048;
/// Most addresses that one digest names.
const MAXIMUM_NAMED: usize = 12;

/// What is known of one peer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Peer {
    heard_at: Option<Millis>,
    named_at: Millis,
    reading_at: Option<Millis>,
    zone: ZoneId,
    capacity: Option<u32>,
    stopping: bool,
    /// Whether it cannot keep up with its packets.
    overloaded: bool,
    /// Whether it knows a configuration.
    configured: bool,
}

/// A balancer that takes packets.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ServingPeer {
    /// Its address.
    pub address: Ipv4Addr,
    /// Where it runs.
    pub zone: ZoneId,
    /// When it was last heard.
    pub heard_at: Millis,
    /// Whether it cannot keep up with its packets.
    pub overloaded: bool,
}

impl ServingPeer {
    /// Whether it was heard from within `window` milliseconds.
    pub fn was_heard_within(&self, window: Millis, now: Millis) -> bool {
        now.saturating_sub(self.heard_at) < window
    }
}

/// The peers of this daemon.
#[derive(Clone, Debug)]
pub struct PeerTable {
    own_address: Ipv4Addr,
    seeds: Vec<Ipv4Addr>,
    peers: BTreeMap<Ipv4Addr, Peer>,
}

impl PeerTable {
    /// A table that knows the seeds alone.
    pub fn new(own_address: Ipv4Addr, seeds: impl IntoIterator<Item = Ipv4Addr>) -> Self {
        let mut table = Self { own_address, seeds: Vec::new(), peers: BTreeMap::new() };
        table.set_seeds(seeds);
        table
    }

    /// Replaces the seeds.
    pub fn set_seeds(&mut self, seeds: impl IntoIterator<Item = Ipv4Addr>) {
        let own_address = self.own_address;
        self.seeds = seeds.into_iter().filter(|seed| *seed != own_address).collect();
    }

    /// Records a digest. Returns whether its sender is new here.
    pub fn heard(&mut self, digest: &Digest, now: Millis) -> bool {
        let sender = Ipv4Addr::from_bits(digest.sender);
        for named in digest.balancers.iter().take(MAXIMUM_NAMED) {
            self.named(Ipv4Addr::from_bits(*named), now);
        }
        let is_agent = digest.role == PeerRole::Agent;
        if is_agent || sender == self.own_address || self.is_full_for(sender) {
            return false;
        }
        let known = self.peers.get(&sender);
        let is_new = known.is_none_or(|peer| peer.heard_at.is_none());
        let reading_at = if digest.reading { Some(now) } else { None };
        let peer = Peer {
            heard_at: Some(now),
            named_at: now,
            reading_at,
            zone: digest.zone,
            capacity: digest.capacity,
            stopping: digest.stopping,
            overloaded: digest.overloaded,
            configured: digest.configuration.is_some(),
        };
        self.peers.insert(sender, peer);
        is_new
    }

    /// Whether a peer was silent so long that it is to be asked for a digest. Peers
    /// that have no news say nothing by themselves.
    pub fn is_due(&self, address: Ipv4Addr, now: Millis) -> bool {
        let heard_at = self.peers.get(&address).and_then(|peer| peer.heard_at);
        heard_at.is_none_or(|heard_at| now.saturating_sub(heard_at) >= ASK_AFTER_MS)
    }

    /// Drops peers that were silent too long.
    pub fn expire(&mut self, now: Millis) {
        self.peers.retain(|_, peer| {
            let latest = peer.heard_at.unwrap_or(peer.named_at);
            now.saturating_sub(latest) < PEER_LIFETIME_MS
        });
    }

    /// Balancers that were heard from, or of, lately, in order of address.
    pub fn balancers(&self) -> impl Iterator<Item = Ipv4Addr> {
        self.peers.keys().copied()
    }

    /// Seeds that were not heard from lately.
    pub fn silent_seeds(&self) -> impl Iterator<Item = Ipv4Addr> {
        let is_silent =
            |seed: &Ipv4Addr| self.peers.get(seed).is_none_or(|peer| peer.heard_at.is_none());
        self.seeds.iter().copied().filter(is_silent)
    }

    /// Balancers to name in a digest, beginning at a place that the caller draws
    /// at random so that all of them come round.
    pub fn named_in_digest(&self, start: usize) -> Vec<u32> {
        let heard: Vec<Ipv4Addr> = self
            .peers
            .iter()
            .filter(|(_, peer)| peer.heard_at.is_some())
            .map(|(address, _)| *address)
            .collect();
        let count = heard.len().min(MAXIMUM_NAMED);
        (0..count).map(|offset| heard[(start + offset) % heard.len()].to_bits()).collect()
    }

    /// How many living balancers have a lower address than this daemon.
    pub fn rank(&self) -> usize {
        self.balancers().filter(|address| *address < self.own_address).count()
    }

    /// Whether a balancer with a lower address said within `window` that it reads
    /// the store.
    pub fn lower_reader(&self, now: Millis, window: Millis) -> bool {
        self.peers
            .range(..self.own_address)
            .any(|(_, peer)| peer.reading_at.is_some_and(|at| now.saturating_sub(at) < window))
    }

    /// Balancers of a zone with at least this capacity that are not about to stop,
    /// each with the time at which it was last heard.
    pub fn capable(&self, zone: ZoneId, capacity: u32) -> impl Iterator<Item = (Ipv4Addr, Millis)> {
        self.peers.iter().filter_map(move |(address, peer)| {
            let is_capable = peer.capacity.is_some_and(|known| known >= capacity);
            let heard_at = peer.heard_at?;
            (is_capable && peer.zone == zone && !peer.stopping).then_some((*address, heard_at))
        })
    }

    /// Balancers that were heard from, know a configuration and are not about to stop.
    pub fn serving(&self) -> impl Iterator<Item = ServingPeer> {
        self.peers.iter().filter_map(|(address, peer)| {
            let serving = ServingPeer {
                address: *address,
                zone: peer.zone,
                heard_at: peer.heard_at?,
                overloaded: peer.overloaded,
            };
            (peer.configured && !peer.stopping).then_some(serving)
        })
    }

    /// Balancers that were heard from in a zone.
    pub fn in_zone(&self, zone: ZoneId) -> impl Iterator<Item = Ipv4Addr> {
        let heard = self.peers.iter().filter(|(_, peer)| peer.heard_at.is_some());
        heard.filter(move |(_, peer)| peer.zone == zone).map(|(address, _)| *address)
    }

    fn named(&mut self, address: Ipv4Addr, now: Millis) {
        if address == self.own_address || self.is_full_for(address) {
            return;
        }
        let peer = Peer {
            heard_at: None,
            named_at: now,
            reading_at: None,
            zone: ZoneId::default(),
            capacity: None,
            stopping: false,
            overloaded: false,
            configured: false,
        };
        self.peers.entry(address).or_insert(peer);
    }

    fn is_full_for(&self, address: Ipv4Addr) -> bool {
        self.peers.len() >= MAXIMUM_PEERS && !self.peers.contains_key(&address)
    }
}
