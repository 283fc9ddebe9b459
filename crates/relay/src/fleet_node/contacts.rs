//! Whom a daemon speaks to, and how often.

use std::net::Ipv4Addr;

use rand::RngExt;
use rand::seq::IndexedRandom;
use weirhinge_fleet::{Digest, Millis, PeerRole, ServingPeer};
use weirhinge_steering::PeerLoad;

use super::FleetNode;

/// Peers that get news at once.
const FAN_OUT: usize = 6;
/// Agents asked when the store's word became fresh.
const AGENTS_ASKED: usize = 64;
/// Most balancers that an agent tells that its target has ended, some 35 bytes each. Those
/// of a larger fleet that are not told find out by searches that it does not answer.
const MOST_FAREWELLS: usize = 256;
/// Agents probed at once by a balancer whose openings stay unanswered: one that answers is
/// enough, and some may be gone themselves.
const AGENTS_PROBED: usize = 4;
/// Balancers that an agent keeps in touch with, all of them in a small fleet.
const AGENT_CONTACTS: usize = 8;
/// Balancers, drawn anew, that an agent of a larger fleet speaks to at a tick.
const AGENT_CONTACTS_A_TICK: usize = 3;
/// Balancers that a daemon needs to know to be well connected.
const ENOUGH_BALANCERS: usize = 3;
/// A daemon that knows enough balancers asks a silent seed at one tick in so many,
/// which joins fleets that lost each other.
const SEED_EVERY: u32 = 60;
/// Time after the start in which seeds are asked at every tick.
const EAGER_MS: Millis = 3_000;
/// How many times this daemon's processor time a peer has to whom packets are
/// handed off.
const HELPER_CAPACITY: u32 = 3;
/// Most balancers that help one which knows no configuration or is overloaded.
const MOST_HELPERS: usize = 4;
/// A helper that was silent for this long gets no packets.
const HELPER_SILENCE_MS: Millis = 700;
/// How long a balancer's word of its load counts. It is asked every 300 ms, but the one
/// that asks is slow and may read the answers late.
const LOAD_WORD_MS: Millis = 1_500;
/// Balancers asked whether they keep up, when this one does not.
const LOADS_ASKED: usize = 16;

impl FleetNode {
    /// Peers that get news at once.
    pub fn news_receivers(&self) -> Vec<Ipv4Addr> {
        let balancers: Vec<Ipv4Addr> = self.peers.balancers().collect();
        self.choose(&balancers, FAN_OUT)
    }

    /// Agents of known targets, to be asked what stands beside them.
    pub fn agents_to_ask(&self) -> Vec<Ipv4Addr> {
        self.choose(&self.view.agents(), AGENTS_ASKED)
    }

    /// Balancers that are told when the target beside this agent has ended.
    pub fn farewell_receivers(&self) -> Vec<Ipv4Addr> {
        let balancers: Vec<Ipv4Addr> = self.peers.balancers().collect();
        self.choose(&balancers, MOST_FAREWELLS)
    }

    /// Some agents, to be asked whether they are reached.
    pub fn agents_to_probe(&self) -> Vec<Ipv4Addr> {
        self.choose(&self.view.agents(), AGENTS_PROBED)
    }

    /// Balancers of this zone with far more processor time than this one.
    pub fn helpers(&self) -> Vec<Ipv4Addr> {
        self.capable().map(|(address, _)| address).collect()
    }

    /// Balancers to whom packets of unknown flows are handed off: those that know a
    /// configuration while this daemon knows none; far stronger ones of the zone while it
    /// is pressed; and where there are none, any that keep up while it is overloaded.
    pub fn helpers_now(&self, pressed: bool, now: Millis) -> Vec<Ipv4Addr> {
        if self.knows_nothing() {
            return self.serving_helpers(|_| true, now);
        }
        if !pressed {
            return Vec::new();
        }
        let answers = |heard_at: Millis| now.saturating_sub(heard_at) < HELPER_SILENCE_MS;
        let capable = self.capable().filter(|(_, heard_at)| answers(*heard_at));
        let capable: Vec<Ipv4Addr> = capable.map(|(address, _)| address).collect();
        if capable.is_empty() && self.overloaded {
            return self.serving_helpers(|peer| !peer.overloaded, now);
        }
        capable
    }

    fn serving_helpers(&self, is_fit: impl Fn(&ServingPeer) -> bool, now: Millis) -> Vec<Ipv4Addr> {
        let answering = |peer: &ServingPeer| peer.was_heard_within(HELPER_SILENCE_MS, now);
        // Packets of some routes must not leave the region.
        let is_near = |peer: &ServingPeer| self.locality.shares_region(peer.zone);
        let fit = self.peers.serving();
        let fit = fit.filter(|peer| answering(peer) && is_near(peer) && is_fit(peer));
        fit.map(|peer| peer.address).take(MOST_HELPERS).collect()
    }

    /// Some balancers, to be asked whether they keep up with their packets.
    pub fn load_sample(&self) -> Vec<Ipv4Addr> {
        let balancers: Vec<Ipv4Addr> = self.peers.balancers().collect();
        self.choose(&balancers, LOADS_ASKED)
    }

    /// How the balancers heard from lately fare.
    pub fn peer_load(&self, now: Millis) -> PeerLoad {
        let mut load = PeerLoad::default();
        for peer in self.peers.serving().filter(|peer| peer.was_heard_within(LOAD_WORD_MS, now)) {
            let count = if peer.overloaded { &mut load.overloaded } else { &mut load.keeping_up };
            *count += 1;
        }
        load
    }

    /// Whether no configuration is known yet.
    pub fn knows_nothing(&self) -> bool {
        self.view.label().is_none()
    }

    /// All known balancers of this zone.
    pub fn zone_peers(&self) -> Vec<Ipv4Addr> {
        self.peers.in_zone(self.zone).collect()
    }

    fn capable(&self) -> impl Iterator<Item = (Ipv4Addr, Millis)> {
        // Without a capacity of its own a daemon has nothing to compare.
        let enough = self.capacity.map_or(u32::MAX, |own| own.saturating_mul(HELPER_CAPACITY));
        self.peers.capable(self.zone, enough)
    }

    /// Peers that get this daemon's digest at a tick, each with whether it is asked
    /// for its own.
    pub fn tick_receivers(&mut self, now: Millis) -> Vec<(Ipv4Addr, bool)> {
        self.peers.expire(now);
        let balancers: Vec<Ipv4Addr> = self.peers.balancers().collect();
        let contacts = match self.role {
            PeerRole::Agent if balancers.len() > AGENT_CONTACTS => AGENT_CONTACTS_A_TICK,
            PeerRole::Agent => AGENT_CONTACTS,
            PeerRole::Balancer => 2,
        };
        let mut receivers = self.choose(&balancers, contacts);
        let silent: Vec<Ipv4Addr> = self.peers.silent_seeds().collect();
        let is_lonely = now < EAGER_MS || balancers.is_empty();
        let is_connected = balancers.len() >= ENOUGH_BALANCERS;
        let asked = match (is_lonely, is_connected) {
            (true, _) => silent.len(),
            (false, true) => usize::from(self.random.borrow_mut().random_ratio(1, SEED_EVERY)),
            (false, false) => 1,
        };
        receivers.extend(self.choose(&silent, asked));
        receivers.sort();
        receivers.dedup();
        let knows_nothing = self.replica.position().is_start();
        let ask = |receiver| knows_nothing || self.peers.is_due(receiver, now);
        receivers.into_iter().map(|receiver| (receiver, ask(receiver))).collect()
    }

    /// Whom to fetch from what a digest tells of. Agents need the configuration only for
    /// balancers that know none, and ask any balancer for it: a start of the whole fleet
    /// brings all of them to the few that are in the settings.
    pub(super) fn fetch_source(&self, digest: &Digest) -> Ipv4Addr {
        let sender = Ipv4Addr::from_bits(digest.sender);
        if self.role == PeerRole::Balancer {
            return sender;
        }
        let balancers: Vec<Ipv4Addr> = self.peers.balancers().collect();
        self.choose(&balancers, 1).pop().unwrap_or(sender)
    }

    fn choose(&self, addresses: &[Ipv4Addr], count: usize) -> Vec<Ipv4Addr> {
        addresses.sample(&mut *self.random.borrow_mut(), count).copied().collect()
    }
}
