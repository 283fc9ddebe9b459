//! What this daemon knows, and how it keeps in step with its peers.

mod changes;
mod contacts;

use std::cell::{Cell, RefCell};
use std::net::Ipv4Addr;

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use slog::{Logger, info};
use weirhinge_fleet::{
    Change, Digest, FetchRequest, FetchScope, Millis, PeerRole, PeerTable, Position, Replica,
    TargetClaim, Timing, Update, VersionedTarget, ZoneId, reader,
};
use weirhinge_steering::{FleetView, Locality};

use crate::settings::CommonSettings;

/// A digest this much fresher than what was known is passed on.
const NEWS_MS: Millis = 300;
/// Agents told at once of a new record of their target; the others are told in answer to
/// their next digest.
const AGENTS_TOLD: usize = 64;

/// What a digest calls for.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Reaction {
    /// The sender knows more: fetch its changes, or those of another daemon that is
    /// likely to know them as well.
    pub fetch_from: Option<Ipv4Addr>,
    /// The sender knows less, or asks.
    pub reply: bool,
    /// The digest brought news: pass it on.
    pub spread: bool,
    /// The sender is an agent that lacks this record of its target.
    pub record: Option<VersionedTarget>,
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
    random: RefCell<StdRng>,
    /// Records that the store changed and that their targets' agents were not told yet.
    recorded: Vec<VersionedTarget>,
    /// When this balancer checks what the others say of the store.
    checks: Cell<reader::CheckSchedule>,
    /// Whether this daemon reads the store for the others.
    pub reading: bool,
    zone: ZoneId,
    capacity: Option<u32>,
    /// Whether this daemon is about to stop.
    pub stopping: bool,
    /// Whether this balancer cannot keep up with its packets.
    pub overloaded: bool,
    /// What an agent says about its target.
    pub claim: Option<TargetClaim>,
    log: Logger,
}

impl FleetNode {
    /// A daemon that knows its seeds alone.
    pub fn new(settings: &CommonSettings, role: PeerRole, log: Logger) -> Self {
        Self::with_seed(settings, role, log, rand::random())
    }

    /// The same with a fixed seed for the choice of peers.
    pub fn with_seed(settings: &CommonSettings, role: PeerRole, log: Logger, seed: u64) -> Self {
        let address = settings.address;
        Self {
            address,
            role,
            replica: Replica::with_hold(settings.timing.settle_ms),
            peers: PeerTable::new(address, settings.seeds.iter().copied()),
            view: FleetView::default(),
            was_fresh: false,
            regained_at: None,
            timing: settings.timing,
            locality: settings.locality.clone(),
            random: RefCell::new(StdRng::seed_from_u64(seed)),
            recorded: Vec::new(),
            checks: Cell::default(),
            reading: false,
            zone: ZoneId::of(&settings.zone),
            capacity: settings.processor_permille,
            stopping: false,
            overloaded: false,
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

    /// The position up to which all changes are known.
    pub fn position(&self) -> Position {
        self.replica.position()
    }

    /// The newest era of the store heard of.
    pub fn newest_era(&self) -> u64 {
        self.replica.newest_era()
    }

    /// Milliseconds since the store confirmed what is known.
    pub fn age(&self, now: Millis) -> Option<Millis> {
        self.replica.age(now)
    }

    /// Whether the store's word is recent enough to refuse by.
    pub fn is_fresh(&self, now: Millis) -> bool {
        self.age(now).is_some_and(|age| age < self.timing.fresh_ms)
    }

    /// When the store's word became fresh after it was lost, or the store came back from a
    /// copy; given out once.
    pub fn take_regained(&mut self) -> Option<Millis> {
        self.regained_at.take()
    }

    /// What a peer asks for. An agent does not have all targets and gives the
    /// configuration alone.
    pub fn answer(&self, request: FetchRequest, now: Millis) -> Update {
        match self.role {
            PeerRole::Agent => self.replica.configuration_only(),
            PeerRole::Balancer => self.replica.update_for(&request, now),
        }
    }

    /// What this daemon asks a peer for.
    pub fn request(&self) -> FetchRequest {
        let scope = match self.role {
            PeerRole::Balancer => FetchScope::All,
            PeerRole::Agent => FetchScope::Machine(self.address.to_bits()),
        };
        let (after, configuration) = (self.replica.position(), self.replica.version());
        FetchRequest { after, configuration, scope }
    }

    /// Whether a peer's digest tells of something that this daemon wants.
    fn wants(&self, digest: &Digest) -> bool {
        let newer = digest.position > self.replica.position();
        let newer_configuration = digest.configuration > self.replica.version();
        match (self.role, digest.role) {
            // A store that came back from a copy states an older configuration than peers
            // know, at a later position.
            (PeerRole::Balancer, PeerRole::Balancer) => newer || newer_configuration,
            // Agents are asked only by those who know nothing.
            (PeerRole::Balancer, PeerRole::Agent) => {
                self.replica.version().is_none() && newer_configuration
            }
            // Agents are told of their targets' records. In a new era of the store they have
            // to know which of those may be the copy's.
            (PeerRole::Agent, PeerRole::Balancer) => {
                newer_configuration || digest.position.era > self.replica.position().era
            }
            (PeerRole::Agent, PeerRole::Agent) => newer_configuration,
        }
    }

    /// What this daemon says of itself.
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
            balancers: self.peers.named_in_digest(self.random.borrow_mut().random_range(0..1_024)),
            target: self.claim.clone(),
        }
    }

    /// Takes in a peer's digest.
    pub fn on_digest(&mut self, digest: &Digest, now: Millis) -> Reaction {
        let is_new = self.peers.heard(digest, now);
        if is_new {
            info!(self.log, "fleet: peer found"; "event" => "peer_found",
                "peer" => Ipv4Addr::from_bits(digest.sender).to_string(),
                "role" => ?digest.role, "revision" => digest.position.revision);
        }
        self.learn_era(digest.position.era, "peer", now);
        let known = self.replica.position();
        let age_before = self.replica.age(now);
        let age_ms = digest.age_ms.filter(|_| digest.position == known && !known.is_start());
        if let Some(age_ms) = age_ms {
            self.replica.confirm(known, age_ms, now);
        }
        let evacuations = self.replica.learn_evacuated(&digest.evacuated, now);
        self.note_changes(&evacuations, "peer", now);
        self.note_freshness(now);
        let fresher = match (age_before, self.replica.age(now)) {
            (Some(before), Some(after)) => before >= after + NEWS_MS,
            (before, after) => before.is_none() && after.is_some(),
        };
        Reaction {
            fetch_from: self.wants(digest).then(|| self.fetch_source(digest)),
            reply: is_new || digest.reply || self.has_news_for(digest),
            spread: (fresher || !evacuations.is_empty()) && self.role == PeerRole::Balancer,
            record: self.record_for(digest),
        }
    }

    /// The record of a target whose agent says that it does not know it.
    fn record_for(&self, digest: &Digest) -> Option<VersionedTarget> {
        digest.target.as_ref().filter(|claim| !claim.recorded)?;
        let is_own = |target: &&VersionedTarget| {
            let record = target.record.as_ref().filter(|_| target.present);
            record.is_some_and(|record| record.address == digest.sender)
        };
        self.replica.targets().map(|entry| &entry.target).find(is_own).cloned()
    }

    /// Takes in what a balancer says of the target beside this agent.
    pub fn apply_record(&mut self, target: VersionedTarget, now: Millis) {
        let update = Update { targets: vec![target], ..Update::default() };
        self.apply(update, "peer", now);
    }

    /// Whether the sender of a digest would want what this daemon knows.
    fn has_news_for(&self, digest: &Digest) -> bool {
        match digest.role {
            PeerRole::Balancer => {
                digest.position < self.replica.position()
                    || digest.configuration < self.replica.version()
            }
            PeerRole::Agent => {
                digest.configuration < self.replica.version()
                    || self.replica.stored_zones().is_news_for(&digest.evacuated)
            }
        }
    }

    /// Takes in what the store or a peer says. Returns whether anything changed.
    pub fn apply(&mut self, update: Update, source: &str, now: Millis) -> bool {
        let before = self.replica.position();
        self.learn_era(update.through.era, source, now);
        let changes = self.replica.apply(update, now);
        if self.replica.position().era > before.era && !before.is_start() {
            self.log_kept();
        }
        self.note_changes(&changes, source, now);
        self.note_freshness(now);
        !changes.is_empty() || self.replica.position() > before
    }

    /// Takes in which era the store is in. In a new one targets may live that the store
    /// lacks.
    fn learn_era(&mut self, era: u64, source: &str, now: Millis) {
        let known = self.replica.position();
        // To a daemon that has just started the store's present era is no news.
        if !self.replica.learn_era(era, now) || known.is_start() {
            return;
        }
        self.regained_at = Some(now);
        info!(self.log, "fleet: the store came back from a copy"; "event" => "store_restored",
            "era" => era, "known_era" => known.era, "revision" => known.revision,
            "configuration" => self.replica.version(), "source" => source);
    }

    /// Logs changes and brings the view up to date.
    fn note_changes(&mut self, changes: &[Change], source: &str, now: Millis) {
        for change in changes {
            self.log_change(change, source, now);
        }
        if !changes.is_empty() {
            self.view = FleetView::compile(&self.replica, &self.locality);
        }
    }

    /// Whether this daemon's zone is evacuated.
    pub fn is_evacuated(&self) -> bool {
        self.view.is_evacuated(self.zone)
    }

    /// Takes in what the store itself says.
    pub fn apply_from_store(&mut self, update: Update, now: Millis) {
        let known = self.replica.position();
        self.apply(update, "store", now);
        let changed = self.replica.targets().filter(|entry| entry.target.position > known);
        let records = changed.map(|entry| &entry.target).filter(|target| target.record.is_some());
        self.recorded = records.take(AGENTS_TOLD).cloned().collect();
    }

    /// New records, to be told to their targets' agents; given out once.
    pub fn take_recorded(&mut self) -> Vec<VersionedTarget> {
        std::mem::take(&mut self.recorded)
    }

    /// Whether this balancer should make the next call to the store.
    pub fn should_read(&self, now: Millis) -> bool {
        let inputs = reader::ReaderInputs {
            uptime_ms: now,
            age_ms: self.replica.age(now),
            rank: self.peers.rank(),
            reading: self.reading,
            lower_reader: self.peers.lower_reader(now, self.timing.reader_word_ms),
            checks: self.is_due_to_check(now),
        };
        reader::should_read(&inputs, &self.timing)
    }

    /// Milliseconds to wait after so many failed calls to the store in a row.
    pub fn wait_after_failure(&self, failures: u32) -> Millis {
        let fraction = self.random.borrow_mut().random();
        reader::wait_after_failure(failures, self.balancer_count(), fraction)
    }

    /// Number of balancers known, this one among them.
    fn balancer_count(&self) -> usize {
        self.peers.balancers().count() + 1
    }

    fn is_due_to_check(&self, now: Millis) -> bool {
        let balancers = self.balancer_count();
        let fraction = self.random.borrow_mut().random();
        let mut checks = self.checks.get();
        let is_due = checks.is_due(now, balancers, fraction);
        self.checks.set(checks);
        is_due
    }

    fn note_freshness(&mut self, now: Millis) {
        // Agents decide nothing by the age of what they know.
        if self.role == PeerRole::Agent {
            return;
        }
        let age = self.replica.age(now);
        let is_fresh = age.is_some_and(|age| age < self.timing.fresh_ms);
        let is_lost = age.is_none_or(|age| age >= self.timing.stale_ms);
        if is_fresh && !self.was_fresh {
            self.was_fresh = true;
            self.regained_at = Some(now);
            info!(self.log, "fleet: knowledge of the store is fresh"; "event" => "store_view_fresh",
                "revision" => self.replica.position().revision, "age_ms" => age);
        } else if is_lost && self.was_fresh {
            self.was_fresh = false;
            info!(self.log, "fleet: knowledge of the store is old"; "event" => "store_view_old",
                "revision" => self.replica.position().revision, "age_ms" => age);
        }
    }

    /// Notices what time alone changes: knowledge becomes old, and a store that came back
    /// from a copy is believed in the end.
    pub fn check_freshness(&mut self, now: Millis) {
        let changes = self.replica.settle(now);
        self.note_changes(&changes, "hold over", now);
        self.note_freshness(now);
    }
}
