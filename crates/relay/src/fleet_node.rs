//! What this daemon knows, and how it keeps in step with its peers.

use std::net::Ipv4Addr;

use rand::seq::IndexedRandom;
use slog::{Logger, info};
use weirhinge_fleet::{
    Change, Digest, Millis, PeerRole, PeerTable, Replica, TargetClaim, Timing, Update, reader,
};
use weirhinge_steering::{FleetView, Locality};

use crate::settings::CommonSettings;

/// A digest this much fresher than what was known is passed on.
const NEWS_MS: Millis = 300;
/// Peers that get news at once.
const FAN_OUT: usize = 6;
/// Agents asked when the store's word became fresh.
const AGENTS_ASKED: usize = 64;
/// Balancers that an agent keeps in touch with.
const AGENT_CONTACTS: usize = 8;
/// Time after the start in which seeds are asked at every tick.
const EAGER_MS: Millis = 3_000;

/// What a digest calls for.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Reaction {
    /// The sender knows more: fetch its changes.
    pub fetch: bool,
    /// The sender knows less, or asks.
    pub reply: bool,
    /// The digest brought news: pass it on.
    pub spread: bool,
}

/// A daemon's knowledge of the store and of its peers.
pub struct FleetNode {
    address: Ipv4Addr,
    role: PeerRole,
    replica: Replica,
    peers: PeerTable,
    view: FleetView,
    was_fresh: bool,
    regained_at: Option<Millis>,
    timing: Timing,
    locality: Locality,
    /// Whether this daemon reads the store for the others.
    pub reading: bool,
    /// What an agent says about its target.
    pub claim: Option<TargetClaim>,
    log: Logger,
}

impl FleetNode {
    /// A daemon that knows its seeds alone.
    pub fn new(settings: &CommonSettings, role: PeerRole, log: Logger) -> Self {
        let address = settings.address;
        Self {
            address,
            role,
            replica: Replica::new(),
            peers: PeerTable::new(address, settings.seeds.iter().copied()),
            view: FleetView::default(),
            was_fresh: false,
            regained_at: None,
            timing: settings.timing,
            locality: settings.locality.clone(),
            reading: false,
            claim: None,
            log,
        }
    }

    /// Replaces the seeds.
    pub fn set_seeds(&mut self, seeds: &[Ipv4Addr]) {
        self.peers.set_seeds(seeds.iter().copied());
    }

    /// Routes and targets in force.
    pub fn view(&self) -> &FleetView {
        &self.view
    }

    /// The revision up to which all changes are known.
    pub fn revision(&self) -> u64 {
        self.replica.revision()
    }

    /// Milliseconds since the store confirmed what is known.
    pub fn age(&self, now: Millis) -> Option<Millis> {
        self.replica.age(now)
    }

    /// Whether the store's word is recent enough to refuse by.
    pub fn is_fresh(&self, now: Millis) -> bool {
        self.age(now).is_some_and(|age| age < self.timing.fresh_ms)
    }

    /// When the store's word became fresh after it was lost; given out once.
    pub fn take_regained(&mut self) -> Option<Millis> {
        self.regained_at.take()
    }

    /// Everything that changed after a revision, for a peer.
    pub fn update_after(&self, after: u64, now: Millis) -> Update {
        self.replica.update_after(after, now)
    }

    /// What this daemon says of itself.
    pub fn digest(&self, reply: bool, now: Millis) -> Digest {
        Digest {
            sender: self.address.to_bits(),
            role: self.role,
            revision: self.replica.revision(),
            age_ms: self.replica.age(now),
            reading: self.reading,
            reply,
            balancers: self.peers.named_in_digest(rand::random_range(0..1_024)),
            target: self.claim.clone(),
        }
    }

    /// Takes in a peer's digest.
    pub fn on_digest(&mut self, digest: &Digest, now: Millis) -> Reaction {
        let is_new = self.peers.heard(digest, now);
        if is_new {
            info!(self.log, "fleet: peer found"; "event" => "peer_found",
                "peer" => Ipv4Addr::from_bits(digest.sender).to_string(),
                "role" => ?digest.role, "revision" => digest.revision);
        }
        let known = self.replica.revision();
        let age_before = self.replica.age(now);
        let age_ms = digest.age_ms.filter(|_| digest.revision == known && known > 0);
        if let Some(age_ms) = age_ms {
            self.replica.confirm(known, age_ms, now);
        }
        self.note_freshness(now);
        let fresher = match (age_before, self.replica.age(now)) {
            (Some(before), Some(after)) => before >= after + NEWS_MS,
            (before, after) => before.is_none() && after.is_some(),
        };
        Reaction {
            fetch: digest.revision > known,
            reply: is_new || digest.reply || digest.revision < known,
            spread: fresher && self.role == PeerRole::Balancer,
        }
    }

    /// Takes in what the store or a peer says. Returns whether anything changed.
    pub fn apply(&mut self, update: Update, source: &str, now: Millis) -> bool {
        let before = self.replica.revision();
        let changes = self.replica.apply(update, now);
        for change in &changes {
            self.log_change(change, source, now);
        }
        if !changes.is_empty() {
            self.view = FleetView::compile(&self.replica, &self.locality);
        }
        self.note_freshness(now);
        !changes.is_empty() || self.replica.revision() > before
    }

    /// Whether this balancer should make the next call to the store.
    pub fn should_read(&self, now: Millis) -> bool {
        let inputs = reader::ReaderInputs {
            uptime_ms: now,
            age_ms: self.replica.age(now),
            rank: self.peers.rank(),
            reading: self.reading,
            lower_reader: self.peers.lower_reader(now, self.timing.reader_word_ms),
        };
        reader::should_read(&inputs, &self.timing)
    }

    /// Peers that get news at once.
    pub fn news_receivers(&self) -> Vec<Ipv4Addr> {
        let balancers: Vec<Ipv4Addr> = self.peers.balancers().collect();
        choose(&balancers, FAN_OUT)
    }

    /// Agents of known targets, to be asked what stands beside them.
    pub fn agents_to_ask(&self) -> Vec<Ipv4Addr> {
        choose(&self.view.agents(), AGENTS_ASKED)
    }

    /// Peers that get this daemon's digest at a tick, each with whether it is asked
    /// for its own.
    pub fn tick_receivers(&mut self, now: Millis) -> Vec<(Ipv4Addr, bool)> {
        self.peers.expire(now);
        let balancers: Vec<Ipv4Addr> = self.peers.balancers().collect();
        let contacts = match self.role {
            PeerRole::Agent => AGENT_CONTACTS,
            PeerRole::Balancer => 2,
        };
        let mut receivers = choose(&balancers, contacts);
        let silent: Vec<Ipv4Addr> = self.peers.silent_seeds().collect();
        let asked = if now < EAGER_MS || balancers.is_empty() { silent.len() } else { 1 };
        receivers.extend(choose(&silent, asked));
        receivers.sort();
        receivers.dedup();
        let knows_nothing = self.replica.revision() == 0;
        let ask = |receiver| knows_nothing || self.peers.is_due(receiver, now);
        receivers.into_iter().map(|receiver| (receiver, ask(receiver))).collect()
    }

    fn note_freshness(&mut self, now: Millis) {
        let age = self.replica.age(now);
        let is_fresh = age.is_some_and(|age| age < self.timing.fresh_ms);
        let is_lost = age.is_none_or(|age| age >= self.timing.stale_ms);
        if is_fresh && !self.was_fresh {
            self.was_fresh = true;
            self.regained_at = Some(now);
            info!(self.log, "fleet: knowledge of the store is fresh"; "event" => "store_view_fresh",
                "revision" => self.replica.revision(), "age_ms" => age);
        } else if is_lost && self.was_fresh {
            self.was_fresh = false;
            info!(self.log, "fleet: knowledge of the store is old"; "event" => "store_view_old",
                "revision" => self.replica.revision(), "age_ms" => age);
        }
    }

    /// Notices that time alone made the knowledge old.
    pub fn check_freshness(&mut self, now: Millis) {
        self.note_freshness(now);
    }

    fn log_change(&self, change: &Change, source: &str, now: Millis) {
        let age_ms = self.replica.age(now);
        match change {
            Change::Configuration { version, revision } => {
                info!(self.log, "fleet: configuration in force"; "event" => "configuration",
                    "version" => version, "revision" => revision, "source" => source,
                    "age_ms" => age_ms);
            }
            Change::Target { id, record } => {
                info!(self.log, "fleet: target recorded"; "event" => "target", "target" => id,
                    "agent" => record.machine().to_string(), "state" => ?record.state,
                    "service" => &record.service, "cold_ms" => record.warm_up_ms,
                    "source" => source, "age_ms" => age_ms);
            }
            Change::Removed { id, record } => {
                let agent = record.as_ref().map(|record| record.machine().to_string());
                info!(self.log, "fleet: target removed"; "event" => "target_removed",
                    "target" => id, "agent" => agent, "source" => source, "age_ms" => age_ms);
            }
        }
    }
}

fn choose(addresses: &[Ipv4Addr], count: usize) -> Vec<Ipv4Addr> {
    addresses.sample(&mut rand::rng(), count).copied().collect()
}
