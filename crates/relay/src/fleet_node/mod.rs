//! A daemon's replica of the store and its table of peers, kept up to date by the store, digests
//! and fetches.

mod change_log;
mod full_replica;
mod peer_selection;
mod reading;
mod removed_targets;

use std::cell::{Cell, RefCell};
use std::collections::BTreeSet;
use std::net::Ipv4Addr;

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use slog::{Logger, info};
use weirhinge_fleet::{
    Change, Digest, FetchRequest, FetchScope, Millis, PeerRole, PeerTable, Position, Replica,
    TargetStatus, Timing, Update, VersionedTarget, ZoneId, full_replica_agents,
    reader::{ConcurrentReads, VerificationSchedule},
};
use weirhinge_steering::{FleetView, Locality};

use self::full_replica::FullReplica;
use crate::settings::CommonSettings;

/// A digest that reduces the age of the known state by at least this much is propagated.
const MIN_FRESHNESS_GAIN_MS: Millis = 300;
/// Number of known balancers up to which each new one is logged. The total number of lines in a
/// fleet would otherwise grow with the square of its size.
const MAX_PEERS_LOGGED: usize = 32;
/// Maximum number of agents notified immediately of a new record of their target; the others
/// receive it in answer to their next digest.
const MAX_AGENTS_NOTIFIED: usize = 64;

/// The actions that follow from a digest.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct DigestActions {
    /// The daemon to fetch from, if the sender knows more: the sender itself, or another daemon
    /// that is likely to know as much.
    pub fetch_from: Option<Ipv4Addr>,
    /// Whether to reply with a digest, because the sender knows less or requests one.
    pub reply: bool,
    /// Whether to propagate a digest to other peers, because this one brought new information.
    pub propagate: bool,
    /// The record of the sender's target, if the sender is an agent that lacks it.
    pub record: Option<VersionedTarget>,
    /// Whether to request a full replica of the sender, an agent.
    pub requests_replica: bool,
    /// The position to announce in a [`PeerMessage::RemovedTargetsKnown`] to the sender, a balancer
    /// that may have started a short time ago.
    ///
    /// [`PeerMessage::RemovedTargetsKnown`]: weirhinge_fleet::PeerMessage::RemovedTargetsKnown
    pub removed_targets_known: Option<Position>,
}

/// A daemon's replica of the store and its table of peers, with the routes and targets compiled
/// from the replica.
pub struct FleetNode {
    address: Ipv4Addr,
    role: PeerRole,
    replica: Replica,
    peers: PeerTable,
    view: FleetView,
    /// Set when the known state becomes fresh, cleared when it becomes stale.
    is_view_fresh: bool,
    view_regained_at: Option<Millis>,
    timing: Timing,
    locality: Locality,
    random: RefCell<StdRng>,
    /// Records that changed in the store and of which the targets' agents were not notified yet.
    pending_records: Vec<VersionedTarget>,
    /// The agents that hold a full replica, as selected by this balancer.
    replica_agents: BTreeSet<Ipv4Addr>,
    /// This agent's full replica, if a balancer requested it.
    full_replica: Option<FullReplica>,
    /// A peer that knows the recently removed targets, with its position.
    removed_targets_source: Option<(Ipv4Addr, Position)>,
    /// When this balancer makes verification reads of the store.
    verification: Cell<VerificationSchedule>,
    /// Whether this daemon reads the store on behalf of the others.
    pub reading: bool,
    /// Whether other balancers read the store at the same time as this reader.
    concurrent_reads: Cell<ConcurrentReads>,
    /// Random number in [0, 1) that spreads the first reads of balancers that start together.
    confirmation_fraction: f64,
    zone: ZoneId,
    capacity: Option<u32>,
    /// Whether this daemon is shutting down.
    pub stopping: bool,
    /// Whether this balancer cannot keep up with its packets.
    pub overloaded: bool,
    /// The status that an agent reports of its target.
    pub target_status: Option<TargetStatus>,
    log: Logger,
}

impl FleetNode {
    /// Creates a daemon that knows only its seeds.
    pub fn new(settings: &CommonSettings, role: PeerRole, log: Logger) -> Self {
        Self::with_seed(settings, role, log, rand::random())
    }

    /// Like [`FleetNode::new`], with a fixed random seed for the choice of peers.
    pub fn with_seed(settings: &CommonSettings, role: PeerRole, log: Logger, seed: u64) -> Self {
        let address = settings.address;
        let mut random = StdRng::seed_from_u64(seed);
        let confirmation_fraction = random.random();
        Self {
            address,
            role,
            replica: Replica::with_hold(settings.timing.renewal_grace_ms),
            peers: PeerTable::new(address, settings.seeds.iter().copied()),
            view: FleetView::default(),
            is_view_fresh: false,
            view_regained_at: None,
            timing: settings.timing,
            locality: settings.locality.clone(),
            random: RefCell::new(random),
            pending_records: Vec::new(),
            replica_agents: BTreeSet::new(),
            full_replica: None,
            removed_targets_source: None,
            verification: Cell::default(),
            reading: false,
            concurrent_reads: Cell::default(),
            confirmation_fraction,
            zone: ZoneId::of(&settings.zone),
            capacity: settings.processor_permille,
            stopping: false,
            overloaded: false,
            target_status: None,
            log,
        }
    }

    /// Replaces the seeds, the addresses of balancers from the settings.
    pub fn set_seeds(&mut self, seeds: &[Ipv4Addr]) {
        self.peers.set_seeds(seeds.iter().copied());
    }

    /// Returns the routes and targets in effect.
    pub fn view(&self) -> &FleetView {
        &self.view
    }

    /// Returns the position up to which all changes are known.
    pub fn position(&self) -> Position {
        self.replica.position()
    }

    /// Returns the newest era of the store reported by any source.
    pub fn newest_era(&self) -> u64 {
        self.replica.newest_era()
    }

    /// Returns the milliseconds since the store confirmed the known state; none if it never did.
    pub fn age(&self, now: Millis) -> Option<Millis> {
        self.replica.age(now)
    }

    /// Whether the known state is recent enough to refuse flows based on it.
    pub fn is_fresh(&self, now: Millis) -> bool {
        self.age(now).is_some_and(|age| age < self.timing.fresh_ms)
    }

    /// Returns when the known state became fresh again after it was stale, or when a restore of the
    /// store was detected. Each such time is returned once.
    pub fn take_view_regained(&mut self) -> Option<Millis> {
        self.view_regained_at.take()
    }

    /// Answers a peer's fetch request. An agent without a full replica does not have all targets
    /// and returns only the configuration and the evacuated zones.
    pub fn answer(&self, request: FetchRequest, now: Millis) -> Update {
        match self.role {
            PeerRole::Agent => self.agent_answer(&request, now),
            PeerRole::Balancer => self.replica.update_for(&request, now),
        }
    }

    /// Returns this daemon's fetch request to a peer.
    pub fn request(&self) -> FetchRequest {
        let scope = match self.role {
            PeerRole::Balancer => FetchScope::All,
            PeerRole::Agent => FetchScope::Machine(self.address.to_bits()),
        };
        let (after, configuration) = (self.replica.position(), self.replica.version());
        FetchRequest { after, configuration, scope, with_removed: false }
    }

    /// Whether a peer's digest shows state that this daemon needs.
    fn needs_fetch(&self, digest: &Digest) -> bool {
        let has_newer_position = digest.position > self.replica.position();
        let has_newer_configuration = digest.configuration > self.replica.version();
        match (self.role, digest.role) {
            // A store that was restored from a backup may return an older configuration than peers
            // know, at a later position.
            (PeerRole::Balancer, PeerRole::Balancer) => {
                has_newer_position || has_newer_configuration
            }
            // Only daemons without a configuration fetch from agents.
            (PeerRole::Balancer, PeerRole::Agent) => {
                self.replica.version().is_none() && has_newer_configuration
            }
            // Balancers send agents the records of their targets. After a restore of the store,
            // agents also have to know which of the records may come from the backup.
            (PeerRole::Agent, PeerRole::Balancer) => {
                has_newer_configuration || digest.position.era > self.replica.position().era
            }
            (PeerRole::Agent, PeerRole::Agent) => has_newer_configuration,
        }
    }

    /// Returns this daemon's digest. `reply` requests one in return.
    pub fn digest(&self, reply: bool, now: Millis) -> Digest {
        Digest {
            sender: self.address.to_bits(),
            role: self.role,
            zone: self.zone,
            capacity: self.capacity,
            stopping: self.stopping,
            overloaded: self.overloaded,
            position: self.replica.position(),
            configuration: self.replica.version(),
            evacuated: self.replica.stored_zones().clone(),
            age_ms: self.replica.age(now),
            reading: self.reading,
            reply,
            balancers: self.peers.balancers_to_advertise(self.random.borrow_mut().random()),
            target: self.target_status.clone(),
        }
    }

    /// Processes a peer's digest. Returns the actions that follow from it.
    pub fn on_digest(&mut self, digest: &Digest, now: Millis) -> DigestActions {
        let is_new = self.peers.record_digest(digest, now);
        if is_new && self.known_balancers() <= MAX_PEERS_LOGGED {
            info!(self.log, "fleet: peer found"; "event" => "peer_found",
                "peer" => Ipv4Addr::from_bits(digest.sender).to_string(),
                "role" => ?digest.role, "revision" => digest.position.revision);
        }
        if digest.role == PeerRole::Balancer {
            self.discard_unrequested_replica(digest, now);
        }
        self.learn_era(digest.position.era, "peer", now);
        let known = self.replica.position();
        let age_before = self.replica.age(now);
        let age_ms = digest.age_ms.filter(|_| digest.position == known && !known.is_start());
        if let Some(age_ms) = age_ms {
            self.replica.confirm(known, age_ms, now);
        }
        let evacuations = self.replica.learn_evacuated(&digest.evacuated, now);
        self.handle_changes(&evacuations, "peer", now);
        self.update_freshness(now);
        let is_fresher = match (age_before, self.replica.age(now)) {
            (Some(before), Some(after)) => before >= after + MIN_FRESHNESS_GAIN_MS,
            (before, after) => before.is_none() && after.is_some(),
        };
        if is_fresher {
            self.note_concurrent_read();
        }
        DigestActions {
            fetch_from: self.needs_fetch(digest).then(|| self.fetch_source(digest, now)),
            reply: is_new || digest.reply || self.has_updates_for(digest),
            propagate: (is_fresher || !evacuations.is_empty()) && self.role == PeerRole::Balancer,
            record: self.record_for(digest),
            requests_replica: self.requests_replica_of(digest),
            removed_targets_known: self
                .removed_targets_position(now)
                .filter(|_| digest.role == PeerRole::Balancer && (is_new || digest.reply)),
        }
    }

    /// Returns the record of the sender's target if the digest reports that its agent does not have
    /// it.
    fn record_for(&self, digest: &Digest) -> Option<VersionedTarget> {
        digest.target.as_ref().filter(|status| !status.recorded)?;
        let is_own = |target: &&VersionedTarget| {
            let record = target.record.as_ref().filter(|_| target.present);
            record.is_some_and(|record| record.address == digest.sender)
        };
        self.replica.targets().map(|entry| &entry.target).find(is_own).cloned()
    }

    /// Applies a record of this agent's target that a balancer sent.
    pub fn apply_record(&mut self, target: VersionedTarget, now: Millis) {
        let update = Update { targets: vec![target], ..Update::default() };
        self.apply_from_peer(update, now);
    }

    /// Whether this daemon knows something that the sender of a digest needs.
    fn has_updates_for(&self, digest: &Digest) -> bool {
        match digest.role {
            PeerRole::Balancer => {
                digest.position < self.replica.position()
                    || digest.configuration < self.replica.version()
            }
            PeerRole::Agent => {
                digest.configuration < self.replica.version()
                    || self.replica.stored_zones().has_updates_for(&digest.evacuated)
            }
        }
    }

    /// Applies a peer's update. Returns whether anything changed.
    pub fn apply_from_peer(&mut self, update: Update, now: Millis) -> bool {
        let has_changed = self.apply(update, "peer", now);
        if has_changed {
            self.note_concurrent_read();
        }
        has_changed
    }

    /// Applies an update from the store or a peer. Returns whether anything changed.
    fn apply(&mut self, update: Update, source: &str, now: Millis) -> bool {
        let before = self.replica.position();
        let is_first_listing = before.is_start() && update.complete;
        self.learn_era(update.through.era, source, now);
        let mut changes = self.replica.apply(update, now);
        let has_changed = !changes.is_empty() || self.replica.position() > before;
        if !changes.is_empty() {
            self.update_view();
        }
        if is_first_listing {
            self.log_first_listing(&changes, source, now);
            changes.retain(|change| !matches!(change, Change::Target { .. }));
        }
        self.log_earlier_removals(&changes, source, now);
        if self.replica.position().era > before.era && !before.is_start() {
            self.log_hold();
        }
        self.log_changes(&changes, source, now);
        self.update_freshness(now);
        has_changed
    }

    /// Records the era that the store is in. In a new era, targets may be alive that the restored
    /// store lacks.
    fn learn_era(&mut self, era: u64, source: &str, now: Millis) {
        let known = self.replica.position();
        // To a daemon that has just started, the store's current era is not a restore.
        if !self.replica.learn_era(era, now) || known.is_start() {
            return;
        }
        self.view_regained_at = Some(now);
        info!(self.log, "fleet: the store was restored from a backup"; "event" => "store_restored",
            "era" => era, "known_era" => known.era, "revision" => known.revision,
            "configuration" => self.replica.version(), "source" => source);
    }

    /// Logs changes and updates the view.
    fn handle_changes(&mut self, changes: &[Change], source: &str, now: Millis) {
        self.log_changes(changes, source, now);
        if !changes.is_empty() {
            self.update_view();
        }
    }

    fn update_view(&mut self) {
        self.view = FleetView::compile(&self.replica, &self.locality);
        if self.role == PeerRole::Balancer {
            self.replica_agents = full_replica_agents(&self.replica);
        }
    }

    /// Whether this daemon's zone is evacuated.
    pub fn is_evacuated(&self) -> bool {
        self.view.is_evacuated(self.zone)
    }

    /// Applies an update from the store itself.
    pub fn apply_from_store(&mut self, update: Update, now: Millis) {
        let known = self.replica.position();
        self.apply(update, "store", now);
        if !self.reading {
            self.concurrent_reads.take();
        }
        let changed = self.replica.targets().filter(|entry| entry.target.position > known);
        let records = changed.map(|entry| &entry.target).filter(|target| target.record.is_some());
        self.pending_records = records.take(MAX_AGENTS_NOTIFIED).cloned().collect();
    }

    /// Takes the new records of which the targets' agents are to be notified.
    pub fn take_pending_records(&mut self) -> Vec<VersionedTarget> {
        std::mem::take(&mut self.pending_records)
    }

    /// Returns the number of known balancers, including this one.
    fn balancer_count(&self) -> usize {
        self.known_balancers() + 1
    }

    /// Returns the number of other balancers that this daemon knows.
    pub fn known_balancers(&self) -> usize {
        self.peers.balancers().count()
    }

    fn update_freshness(&mut self, now: Millis) {
        // Agents make no decisions based on the age of their state.
        if self.role == PeerRole::Agent {
            return;
        }
        let age = self.replica.age(now);
        let is_fresh = age.is_some_and(|age| age < self.timing.fresh_ms);
        let is_stale = age.is_none_or(|age| age >= self.timing.stale_ms);
        if is_fresh && !self.is_view_fresh {
            self.is_view_fresh = true;
            self.view_regained_at = Some(now);
            info!(self.log, "fleet: store view is fresh"; "event" => "store_view_fresh",
                "revision" => self.replica.position().revision, "age_ms" => age);
        } else if is_stale && self.is_view_fresh {
            self.is_view_fresh = false;
            info!(self.log, "fleet: store view is stale"; "event" => "store_view_old",
                "revision" => self.replica.position().revision, "age_ms" => age);
        }
    }

    /// Handles changes caused by the passage of time: the known state becomes stale, and the hold
    /// period after a restore of the store ends.
    pub fn check_freshness(&mut self, now: Millis) {
        let changes = self.replica.expire_hold(now);
        if let Some(full_replica) = &mut self.full_replica {
            full_replica.expire_hold(now);
        }
        self.handle_changes(&changes, "hold over", now);
        self.update_freshness(now);
    }
}
