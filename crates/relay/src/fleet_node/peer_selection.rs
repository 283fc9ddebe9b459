//! Selection of the peers that a daemon sends messages to, and how often.

use std::net::Ipv4Addr;

use rand::RngExt;
use rand::seq::IndexedRandom;
use weirhinge_fleet::{Digest, Millis, PeerRole, ServingPeer};
use weirhinge_steering::PeerLoad;

use super::FleetNode;

/// Number of peers to which new information is propagated immediately.
const GOSSIP_FANOUT: usize = 6;
/// Number of agents queried when the known state became fresh again.
const AGENTS_QUERIED: usize = 64;
/// Maximum number of balancers that an agent notifies of the end of its target, about 35 bytes
/// each. In a larger fleet the others detect it by searches that the agent does not answer.
const MAX_TARGET_ENDED_RECIPIENTS: usize = 256;
/// Number of agents probed at once by a balancer whose opening packets stay unanswered. One answer
/// is enough, and some of the agents may be gone themselves.
const AGENTS_PROBED: usize = 4;
/// Number of balancers that an agent stays in contact with; all of them in a small fleet.
const AGENT_CONTACTS: usize = 8;
/// Number of balancers, drawn at random for each tick, that an agent of a larger fleet contacts.
const AGENT_CONTACTS_PER_TICK: usize = 3;
/// Maximum number of these balancers that an agent asks for a digest in return. They advertise
/// further balancers.
const AGENT_DIGEST_REQUESTS_PER_TICK: usize = 1;
/// Number of balancers from which a daemon counts as well connected.
const WELL_CONNECTED_BALANCERS: usize = 3;
/// A well connected balancer contacts a silent seed on average once in this many ticks, or in as
/// many as there are balancers if those are more. This rejoins fleets that were partitioned.
const MIN_SEED_CONTACT_INTERVAL_TICKS: usize = 60;
/// Time after the start during which all silent seeds are contacted at every tick.
const STARTUP_PERIOD_MS: Millis = 3_000;
/// Minimum ratio of a peer's processor time to this daemon's for packets to be handed off to it.
const HELPER_CAPACITY_RATIO: u32 = 3;
/// Maximum number of helpers of a balancer that has no configuration or is overloaded.
const MAX_HELPERS: usize = 4;
/// Milliseconds without a digest after which a helper gets no more packets.
const HELPER_TIMEOUT_MS: Millis = 700;
/// How long a balancer's load report is valid. It is requested every 300 ms, but the requester is
/// slow and may read the answers late.
const LOAD_REPORT_LIFETIME_MS: Millis = 1_500;
/// Number of balancers queried for their load when this one is overloaded.
const LOAD_QUERY_PEERS: usize = 16;

impl FleetNode {
    /// Returns the peers to which new information is propagated immediately.
    pub fn gossip_peers(&self) -> Vec<Ipv4Addr> {
        let balancers: Vec<Ipv4Addr> = self.peers.balancers().collect();
        self.choose(&balancers, GOSSIP_FANOUT)
    }

    /// Returns agents of known targets to be queried for the state of their targets.
    pub fn agents_to_query(&self) -> Vec<Ipv4Addr> {
        self.choose(&self.view.agents(), AGENTS_QUERIED)
    }

    /// Returns the balancers to be notified when this agent's target has ended.
    pub fn target_ended_recipients(&self) -> Vec<Ipv4Addr> {
        let balancers: Vec<Ipv4Addr> = self.peers.balancers().collect();
        self.choose(&balancers, MAX_TARGET_ENDED_RECIPIENTS)
    }

    /// Returns some agents to be probed for reachability.
    pub fn agents_to_probe(&self) -> Vec<Ipv4Addr> {
        self.choose(&self.view.agents(), AGENTS_PROBED)
    }

    /// Returns the balancers of this zone with far more processor time than this one.
    pub fn helpers(&self) -> Vec<Ipv4Addr> {
        self.capable_helpers().map(|(address, _)| address).collect()
    }

    /// Returns the balancers to which packets of unknown flows are handed off: those that have a
    /// configuration while this daemon has none; far stronger ones of the zone while this daemon is
    /// under pressure; and if there are none of those, any that keep up while this daemon is
    /// overloaded.
    pub fn available_helpers(&self, is_under_pressure: bool, now: Millis) -> Vec<Ipv4Addr> {
        if self.has_no_configuration() {
            return self.serving_helpers(|_| true, now);
        }
        if !is_under_pressure {
            return Vec::new();
        }
        let is_recent = |last_seen_at: Millis| now.saturating_sub(last_seen_at) < HELPER_TIMEOUT_MS;
        let capable = self.capable_helpers().filter(|(_, last_seen_at)| is_recent(*last_seen_at));
        let capable: Vec<Ipv4Addr> = capable.map(|(address, _)| address).collect();
        if capable.is_empty() && self.overloaded {
            return self.serving_helpers(|peer| !peer.overloaded, now);
        }
        capable
    }

    fn serving_helpers(
        &self,
        is_eligible: impl Fn(&ServingPeer) -> bool,
        now: Millis,
    ) -> Vec<Ipv4Addr> {
        let is_responsive = |peer: &ServingPeer| peer.was_seen_within(HELPER_TIMEOUT_MS, now);
        // Packets of some routes must not leave the region.
        let shares_region = |peer: &ServingPeer| self.locality.shares_region(peer.zone);
        let eligible = self.peers.serving();
        let eligible =
            eligible.filter(|peer| is_responsive(peer) && shares_region(peer) && is_eligible(peer));
        eligible.map(|peer| peer.address).take(MAX_HELPERS).collect()
    }

    /// Returns some balancers to be queried whether they keep up with their packets.
    pub fn load_query_peers(&self) -> Vec<Ipv4Addr> {
        let balancers: Vec<Ipv4Addr> = self.peers.balancers().collect();
        self.choose(&balancers, LOAD_QUERY_PEERS)
    }

    /// Returns how many of the balancers that recently sent a digest keep up with their packets and
    /// how many are overloaded.
    pub fn peer_load(&self, now: Millis) -> PeerLoad {
        let mut load = PeerLoad::default();
        for peer in
            self.peers.serving().filter(|peer| peer.was_seen_within(LOAD_REPORT_LIFETIME_MS, now))
        {
            let count = if peer.overloaded { &mut load.overloaded } else { &mut load.keeping_up };
            *count += 1;
        }
        load
    }

    /// Whether no configuration is known yet.
    pub fn has_no_configuration(&self) -> bool {
        self.view.label().is_none()
    }

    /// Returns all known balancers of this zone.
    pub fn zone_peers(&self) -> Vec<Ipv4Addr> {
        self.peers.in_zone(self.zone).collect()
    }

    fn capable_helpers(&self) -> impl Iterator<Item = (Ipv4Addr, Millis)> {
        // Without its own capacity a daemon has nothing to compare with.
        let min_capacity =
            self.capacity.map_or(u32::MAX, |own| own.saturating_mul(HELPER_CAPACITY_RATIO));
        self.peers.capable_in_zone(self.zone, min_capacity)
    }

    /// Returns the peers to send a digest to at this tick, each with whether a digest is requested
    /// in return.
    pub fn digest_recipients(&mut self, now: Millis) -> Vec<(Ipv4Addr, bool)> {
        self.peers.expire(now);
        let balancers: Vec<Ipv4Addr> = self.peers.balancers().collect();
        let contacts = match self.role {
            PeerRole::Agent if balancers.len() > AGENT_CONTACTS => AGENT_CONTACTS_PER_TICK,
            PeerRole::Agent => AGENT_CONTACTS,
            PeerRole::Balancer => 2,
        };
        let mut receivers = self.choose(&balancers, contacts);
        let asked = self.digest_request_recipients(&receivers, now);
        let silent: Vec<Ipv4Addr> = self.peers.silent_seeds().collect();
        let is_joining = now < STARTUP_PERIOD_MS || balancers.is_empty();
        let is_well_connected = balancers.len() >= WELL_CONNECTED_BALANCERS;
        let seed_count = match (is_joining, is_well_connected) {
            (true, _) => silent.len(),
            (false, true) => usize::from(self.draws_seed_contact(balancers.len())),
            (false, false) => 1,
        };
        receivers.extend(self.choose(&silent, seed_count));
        receivers.sort();
        receivers.dedup();
        let is_silent = |receiver: &Ipv4Addr| silent.contains(receiver);
        let requests_digest = |receiver| asked.contains(&receiver) || is_silent(&receiver);
        receivers.into_iter().map(|receiver| (receiver, requests_digest(receiver))).collect()
    }

    /// Whether this well connected daemon contacts a silent seed at this tick. One contact rejoins
    /// all balancers of a partition, and agents learn of balancers from those.
    fn draws_seed_contact(&self, balancers: usize) -> bool {
        let interval_ticks = balancers.max(MIN_SEED_CONTACT_INTERVAL_TICKS);
        self.role == PeerRole::Balancer
            && self.random.borrow_mut().random_ratio(1, interval_ticks as u32)
    }

    /// Returns those of the peers drawn for a tick that are asked for a digest in return: those from
    /// which none arrived recently, or all if this daemon may have missed news or does not know the
    /// recently removed targets, which peers announce with a requested digest. An agent of a large
    /// fleet hears from each balancer so rarely that it would ask all of them, and asks only one.
    fn digest_request_recipients(&self, drawn: &[Ipv4Addr], now: Millis) -> Vec<Ipv4Addr> {
        if self.has_missed_confirmation(now) || self.needs_removed_targets(now) {
            return drawn.to_vec();
        }
        let silent = drawn.iter().filter(|peer| self.peers.needs_digest_request(**peer, now));
        let limit = match self.role {
            PeerRole::Agent => AGENT_DIGEST_REQUESTS_PER_TICK,
            PeerRole::Balancer => drawn.len(),
        };
        silent.take(limit).copied().collect()
    }

    /// Whether this balancer has no state yet, or the latest confirmation of its state by the store
    /// is so old that it must have missed one. A message that balancers propagate misses some of
    /// them, one in four hundred with six receivers each, and these learn what they missed from
    /// their peers before they read the store themselves.
    fn has_missed_confirmation(&self, now: Millis) -> bool {
        if self.role == PeerRole::Agent {
            return self.replica.position().is_start();
        }
        self.age(now).is_none_or(|age| age >= self.timing.read_after_ms)
    }

    /// Returns the daemon to fetch from after a digest. When a whole fleet starts, all daemons would
    /// connect to the few balancers in the settings if they fetched from the sender, so those that
    /// have no state choose another source at random. Agents need the configuration only to pass it
    /// on to balancers that have none, so to them any balancer will do.
    pub(super) fn fetch_source(&self, digest: &Digest, now: Millis) -> Ipv4Addr {
        let sender = Ipv4Addr::from_bits(digest.sender);
        let position = self.replica.position();
        let sources: Vec<Ipv4Addr> = match (self.role, digest.role) {
            (PeerRole::Agent, _) => self.peers.balancers().collect(),
            (PeerRole::Balancer, PeerRole::Balancer) if position.is_start() => {
                self.peers.ahead_of(position, now).collect()
            }
            (PeerRole::Balancer, _) => Vec::new(),
        };
        self.choose(&sources, 1).pop().unwrap_or(sender)
    }

    fn choose(&self, addresses: &[Ipv4Addr], count: usize) -> Vec<Ipv4Addr> {
        addresses.sample(&mut *self.random.borrow_mut(), count).copied().collect()
    }
}
