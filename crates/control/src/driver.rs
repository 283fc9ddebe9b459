//! The task that runs one replica: time, frames, writes and membership.

use std::collections::{BTreeSet, HashMap};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use eyre::WrapErr;
use serde::{Deserialize, Serialize};
use slog::{Logger, debug, info, warn};
use tokio::net::TcpListener;
use tokio::sync::{mpsc, oneshot, watch};
use weirhinge_config::{ConfigDocument, ControlKeys, MachineList};
use weirhinge_consensus::{Node, NodeOptions, Output, ReplicaId, Role, Snapshot};
use weirhinge_platform::{Fetched, MACHINES_PATH, fetch};

use crate::frame::{CONTROL_VERSION, Frame, FrameBody, Sender};
use crate::machine::{ConfigCommand, ConfigMachine, Outcome};
use crate::membership::Peers;
use crate::network::{Senders, accept_frames};
use crate::seal::ReplayGuard;

/// Time between two ticks of a replica.
const TICK: Duration = Duration::from_millis(20);
/// Time between two heartbeats of a leader.
const HEARTBEAT: Duration = Duration::from_millis(100);
/// Shortest time without a leader before an election.
const ELECTION_TIMEOUT: Duration = Duration::from_millis(500);
/// Entries kept behind a snapshot.
const COMPACT_AFTER: usize = 256;
/// Time between two rounds of hellos, and of reading the machine list.
const HELLO_INTERVAL: Duration = Duration::from_millis(500);
/// How long a founder looks for an existing group before it founds one.
const FOUNDING_DELAY: Duration = Duration::from_secs(2);
/// Longest that a write may wait for its commit, over all leaders.
const WRITE_TIMEOUT: Duration = Duration::from_secs(3);
/// Longest that reading the machine list may take.
const LIST_TIMEOUT: Duration = Duration::from_secs(1);
/// Frames that may wait to be handled.
const FRAME_QUEUE: usize = 1_024;
/// Index and term of a group's first snapshot: ahead of a newcomer's, which
/// therefore always takes it.
const FOUNDING_INDEX: u64 = 1;

/// Why a write has no outcome.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, thiserror::Error)]
pub enum WriteError {
    /// No group or no leader is known; nothing was applied.
    #[error("not applied: no leader is known here")]
    NoLeader,
    /// The write was not confirmed in time; it may or may not hold.
    #[error("unknown: not confirmed in time; repeat it with the same key")]
    Unknown,
}

/// How a replica takes part.
#[derive(Clone, Debug)]
pub struct ControlOptions {
    /// TCP address for other balancers.
    pub listen: SocketAddr,
    /// Zone of this balancer.
    pub zone: String,
    /// TCP address of the platform, for the machine list.
    pub platform: SocketAddr,
    /// Keys of frames. Without keys the control address must be loopback.
    pub keys: ControlKeys,
    /// Control addresses known beforehand.
    pub peers: Vec<SocketAddr>,
    /// Whether this balancer founds a group if it finds none. Given to one
    /// balancer of a deployment, once.
    pub founds: bool,
}

/// What a replica shows of itself.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct ControlStatus {
    /// The group; 0 if none.
    pub group: u64,
    /// This replica.
    pub replica: u64,
    /// Whether this replica leads.
    pub leads: bool,
    /// The leader, if known.
    pub leader: Option<u64>,
    /// The term.
    pub term: u64,
    /// The voters by this replica's log.
    pub voters: Vec<u64>,
    /// The revision in force here.
    pub revision: u64,
    /// On the leader: replicas that have all that is committed.
    pub caught_up: Vec<u64>,
    /// On the leader: replicas that have not.
    pub behind: Vec<u64>,
}

struct PendingWrite {
    command: ConfigCommand,
    answer: oneshot::Sender<Result<Outcome, WriteError>>,
}

/// Access to the running replica. Cheap to clone.
#[derive(Clone)]
pub struct ControlHandle {
    /// Address for other balancers.
    pub address: SocketAddr,
    writes: mpsc::Sender<PendingWrite>,
    status: Arc<Mutex<ControlStatus>>,
    document: watch::Receiver<Arc<ConfigDocument>>,
}

impl ControlHandle {
    /// Writes a change and waits until it is committed.
    ///
    /// # Errors
    /// Whether nothing was applied or the fate is unknown.
    pub async fn write(&self, command: ConfigCommand) -> Result<Outcome, WriteError> {
        let (answer, answered) = oneshot::channel();
        let pending = PendingWrite { command, answer };
        self.writes.send(pending).await.map_err(|_| WriteError::NoLeader)?;
        // The replica answers every write within its time-out.
        answered.await.unwrap_or(Err(WriteError::Unknown))
    }

    /// The replica's status.
    pub fn status(&self) -> ControlStatus {
        self.status.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Follows the agreed document; revision 0 until there is one.
    pub fn document(&self) -> watch::Receiver<Arc<ConfigDocument>> {
        self.document.clone()
    }
}

/// A write that waits for its commit at the leader.
struct Waiting {
    index: u64,
    key: String,
    since: Instant,
    reply: Reply,
}

/// Whom the leader answers.
enum Reply {
    Local { ticket: u64 },
    Remote { to: SocketAddr, ticket: u64 },
}

/// A write that came to this balancer's API, until it is answered. It goes to
/// whoever leads; its key keeps it from running twice when leaders change.
struct OwnWrite {
    command: ConfigCommand,
    answer: oneshot::Sender<Result<Outcome, WriteError>>,
    sent_to: Option<ReplicaId>,
    was_sent: bool,
    since: Instant,
}

struct Driver {
    options: ControlOptions,
    log: Logger,
    id: ReplicaId,
    group: u64,
    node: Option<Node<ConfigMachine>>,
    peers: Peers,
    listed: Vec<SocketAddr>,
    own: Sender,
    senders: Senders,
    frames_sent: u64,
    replays: ReplayGuard,
    started: Instant,
    waiting: Vec<Waiting>,
    own_writes: HashMap<u64, OwnWrite>,
    next_ticket: u64,
    base: watch::Receiver<Arc<ConfigDocument>>,
    document: watch::Sender<Arc<ConfigDocument>>,
    status: Arc<Mutex<ControlStatus>>,
    led: bool,
}

/// Starts a replica. `base` follows the platform's document, from which a
/// founder starts.
///
/// # Errors
/// When the address cannot be bound or the random source fails.
pub async fn start_control(
    options: ControlOptions,
    base: watch::Receiver<Arc<ConfigDocument>>,
    log: Logger,
) -> eyre::Result<ControlHandle> {
    if options.keys.0.is_empty() && !options.listen.ip().is_loopback() {
        let address = options.listen;
        return Err(eyre::eyre!("bind control address {address}: needs control keys off loopback"));
    }
    let listener = TcpListener::bind(options.listen)
        .await
        .wrap_err_with(|| format!("bind control address {}", options.listen))?;
    let address = listener.local_addr().wrap_err("read the control address")?;
    let id = ReplicaId(random()?);
    let (frames, new_frames) = mpsc::channel(FRAME_QUEUE);
    tokio::spawn(accept_frames(listener, options.keys.clone(), frames, log.clone()));
    let (writes, new_writes) = mpsc::channel(FRAME_QUEUE);
    let (document, followed) = watch::channel(Arc::new(ConfigDocument::default()));
    let status = Arc::new(Mutex::new(ControlStatus::default()));
    let own = Sender { id: id.0, zone: options.zone.clone(), control: address.into() };
    let keys = options.keys.clone();
    let driver = Driver {
        options,
        log,
        id,
        group: 0,
        node: None,
        peers: Peers::default(),
        listed: Vec::new(),
        own,
        senders: Senders::new(keys),
        frames_sent: 0,
        replays: ReplayGuard::default(),
        started: Instant::now(),
        waiting: Vec::new(),
        own_writes: HashMap::new(),
        next_ticket: 0,
        base,
        document,
        status: status.clone(),
        led: false,
    };
    tokio::spawn(driver.run(new_frames, new_writes));
    Ok(ControlHandle { address, writes, status, document: followed })
}

fn random() -> eyre::Result<u64> {
    getrandom::u64().map_err(|error| eyre::eyre!("read the system's random source: {error}"))
}

impl Driver {
    async fn run(
        mut self,
        mut frames: mpsc::Receiver<Frame>,
        mut writes: mpsc::Receiver<PendingWrite>,
    ) {
        let mut ticks = tokio::time::interval(TICK);
        ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        let (lists, mut new_lists) = mpsc::channel(1);
        tokio::spawn(follow_machine_list(self.options.platform, lists));
        let mut hello_due = Instant::now();
        loop {
            tokio::select! {
                _ = ticks.tick() => {
                    if Instant::now() >= hello_due {
                        hello_due = Instant::now() + HELLO_INTERVAL;
                        self.say_hello();
                    }
                    self.tick();
                    self.route_own_writes();
                }
                Some(frame) = frames.recv() => self.handle_frame(frame),
                Some(write) = writes.recv() => self.handle_write(write),
                Some(listed) = new_lists.recv() => self.listed = listed,
            }
            self.answer_writes();
            self.publish();
        }
    }

    fn frame(&mut self, body: FrameBody) -> Frame {
        self.frames_sent += 1;
        Frame {
            version: CONTROL_VERSION,
            number: self.frames_sent,
            group: self.group,
            sender: self.own.clone(),
            body,
        }
    }

    fn say_hello(&mut self) {
        let frame = self.frame(FrameBody::Hello);
        let mut addresses: BTreeSet<SocketAddr> = self.listed.iter().copied().collect();
        addresses.extend(&self.options.peers);
        addresses.remove(&self.own.address());
        for address in addresses {
            self.senders.send(address, &frame);
        }
        if self.node.is_none() && self.options.founds {
            self.found_group();
        }
    }

    /// Founds a group of one, which then takes up the other balancers.
    fn found_group(&mut self) {
        let base = self.base.borrow().clone();
        let group = getrandom::u64().unwrap_or(0);
        if self.started.elapsed() < FOUNDING_DELAY || base.revision == 0 || group == 0 {
            return;
        }
        info!(self.log, "control: Founded a group."; "revision" => base.revision);
        self.group = group;
        let machine = ConfigMachine::new((*base).clone());
        self.start_node(Snapshot {
            index: FOUNDING_INDEX,
            term: FOUNDING_INDEX,
            voters: vec![self.id],
            machine,
        });
    }

    fn start_node(&mut self, snapshot: Snapshot<ConfigMachine>) {
        let options = NodeOptions {
            heartbeat: HEARTBEAT,
            election_timeout: ELECTION_TIMEOUT,
            compact_after: COMPACT_AFTER,
            seed: self.id.0,
        };
        self.node = Some(Node::new(self.id, snapshot, options));
    }

    /// Follows the group of another balancer as a learner.
    fn join_group(&mut self, group: u64) {
        info!(self.log, "control: Joins a group.");
        self.group = group;
        let machine = ConfigMachine::default();
        self.start_node(Snapshot { index: 0, term: 0, voters: Vec::new(), machine });
    }

    fn now(&self) -> Duration {
        self.started.elapsed()
    }

    fn tick(&mut self) {
        let now = self.now();
        let Some(node) = &mut self.node else {
            return;
        };
        let mut outputs = node.tick(now);
        if node.role() == Role::Leader {
            let living = self.peers.living(Instant::now());
            for &id in &living {
                if node.voters().contains(&id) {
                    node.remove_learner(id);
                } else {
                    node.add_learner(id);
                }
            }
            node.keep_learners(&living);
            let wanted = self.peers.wanted_voters(node, &self.own.zone, Instant::now());
            if let Some(wanted) = wanted
                && let Ok((_, more)) = node.propose_voters(wanted)
            {
                outputs.extend(more);
            }
        }
        self.carry_out(outputs);
    }

    fn carry_out(&mut self, outputs: Vec<Output<ConfigMachine>>) {
        for output in outputs {
            // Committed commands are published from the machine as a whole.
            if let Output::Send(envelope) = output
                && let Some(address) = self.peers.address(envelope.to)
            {
                let frame = self.frame(FrameBody::Replica(envelope));
                self.senders.send(address, &frame);
            }
        }
    }

    fn handle_frame(&mut self, frame: Frame) {
        let Frame { number, group, sender, body, .. } = frame;
        if let Err(error) = self.replays.check(sender.id, number) {
            return debug!(self.log, "control: Frame dropped."; "reason" => %error);
        }
        let from = sender.address();
        if self.node.is_none() && group != 0 {
            self.join_group(group);
        }
        if group != self.group {
            // A newcomer learns the group from this hello; a foreign group's
            // frames are dropped.
            if group == 0 && self.node.is_some() {
                let hello = self.frame(FrameBody::Hello);
                self.senders.send(from, &hello);
            }
            return;
        }
        self.peers.heard(&sender, Instant::now());
        match body {
            FrameBody::Hello => {}
            FrameBody::Replica(envelope) => {
                let now = self.now();
                if envelope.to == self.id
                    && let Some(node) = &mut self.node
                {
                    let outputs = node.receive(envelope, now);
                    self.carry_out(outputs);
                }
            }
            FrameBody::Write { ticket, command } => {
                self.propose(command, Reply::Remote { to: from, ticket });
            }
            FrameBody::WriteAnswer { ticket, answer } => self.handle_write_answer(ticket, answer),
        }
    }

    fn handle_write(&mut self, write: PendingWrite) {
        let PendingWrite { command, answer } = write;
        self.next_ticket += 1;
        let own =
            OwnWrite { command, answer, sent_to: None, was_sent: false, since: Instant::now() };
        self.own_writes.insert(self.next_ticket, own);
        self.route_own_writes();
    }

    /// Sends every own write to the leader of the moment, unless it is there,
    /// and gives up on those that have waited too long.
    fn route_own_writes(&mut self) {
        let leader = self.node.as_ref().and_then(Node::leader);
        let tickets: Vec<u64> = self.own_writes.keys().copied().collect();
        for ticket in tickets {
            let Some(own) = self.own_writes.get_mut(&ticket) else {
                continue;
            };
            if own.since.elapsed() >= WRITE_TIMEOUT {
                // What was never sent has certainly not been applied.
                let error = if own.was_sent { WriteError::Unknown } else { WriteError::NoLeader };
                self.finish_own_write(ticket, Err(error));
                continue;
            }
            let Some(leader) = leader.filter(|&leader| own.sent_to != Some(leader)) else {
                continue;
            };
            own.sent_to = Some(leader);
            own.was_sent = true;
            let command = own.command.clone();
            if leader == self.id {
                self.propose(command, Reply::Local { ticket });
            } else if let Some(address) = self.peers.address(leader) {
                let frame = self.frame(FrameBody::Write { ticket, command });
                self.senders.send(address, &frame);
            }
        }
    }

    fn finish_own_write(&mut self, ticket: u64, result: Result<Outcome, WriteError>) {
        if let Some(own) = self.own_writes.remove(&ticket) {
            // The writer may have given up.
            let _ = own.answer.send(result);
        }
    }

    /// Takes in a leader's answer. One that led no more is asked no longer; the
    /// write goes to the next leader.
    fn handle_write_answer(&mut self, ticket: u64, answer: Result<Outcome, WriteError>) {
        match answer {
            Ok(outcome) => self.finish_own_write(ticket, Ok(outcome)),
            Err(_) => {
                if let Some(own) = self.own_writes.get_mut(&ticket) {
                    own.sent_to = None;
                }
            }
        }
    }

    fn propose(&mut self, command: ConfigCommand, reply: Reply) {
        let key = command.key.clone();
        let proposed = match &mut self.node {
            Some(node) => node.propose(command).ok(),
            None => None,
        };
        match proposed {
            Some((index, outputs)) => {
                self.waiting.push(Waiting { index, key, since: Instant::now(), reply });
                self.carry_out(outputs);
            }
            None => self.reply(reply, Err(WriteError::NoLeader)),
        }
    }

    /// Answers writes whose key has an outcome in the committed state, and
    /// gives up on those that have waited too long.
    fn answer_writes(&mut self) {
        let Some(node) = &self.node else {
            return;
        };
        let commit = node.commit();
        let mut answered = Vec::new();
        let mut still_waiting = Vec::new();
        for waiting in std::mem::take(&mut self.waiting) {
            let outcome = node.machine().outcome(&waiting.key).cloned();
            match outcome {
                Some(outcome) if waiting.index <= commit => {
                    answered.push((waiting.reply, Ok(outcome)))
                }
                _ if waiting.since.elapsed() >= WRITE_TIMEOUT => {
                    answered.push((waiting.reply, Err(WriteError::Unknown)));
                }
                _ => still_waiting.push(waiting),
            }
        }
        self.waiting = still_waiting;
        for (reply, result) in answered {
            self.reply(reply, result);
        }
    }

    fn reply(&mut self, reply: Reply, result: Result<Outcome, WriteError>) {
        match reply {
            Reply::Local { ticket } => self.handle_write_answer(ticket, result),
            Reply::Remote { to, ticket } => {
                let frame = self.frame(FrameBody::WriteAnswer { ticket, answer: result });
                self.senders.send(to, &frame);
            }
        }
    }

    fn publish(&mut self) {
        let Some(node) = &self.node else {
            return;
        };
        let document = node.machine().document();
        if document.revision > self.document.borrow().revision {
            self.document.send_replace(Arc::new(document.clone()));
        }
        let leads = node.role() == Role::Leader;
        if leads != self.led {
            self.led = leads;
            let message = if leads { "control: Leads." } else { "control: Leads no more." };
            warn!(self.log, "{}", message; "term" => node.term());
        }
        let status = status_of(node, self.group, &self.peers.living(Instant::now()));
        *self.status.lock().unwrap_or_else(PoisonError::into_inner) = status;
    }
}

fn status_of(node: &Node<ConfigMachine>, group: u64, living: &[ReplicaId]) -> ControlStatus {
    let leads = node.role() == Role::Leader;
    let others = living.iter().copied().filter(|&id| leads && id != node.id());
    let (caught_up, behind): (Vec<ReplicaId>, Vec<ReplicaId>) =
        others.partition(|&id| node.matched(id).is_some_and(|matched| matched >= node.commit()));
    let numbers = |ids: &[ReplicaId]| ids.iter().map(|id| id.0).collect();
    ControlStatus {
        group,
        replica: node.id().0,
        leads,
        leader: node.leader().map(|leader| leader.0),
        term: node.term(),
        voters: numbers(node.voters()),
        revision: node.machine().document().revision,
        caught_up: numbers(&caught_up),
        behind: numbers(&behind),
    }
}

/// Reads the platform's machine list again and again; keeps the last one while
/// the platform is away.
async fn follow_machine_list(platform: SocketAddr, lists: mpsc::Sender<Vec<SocketAddr>>) {
    loop {
        if let Ok(Fetched::Body { bytes, .. }) =
            fetch(platform, MACHINES_PATH, None, LIST_TIMEOUT).await
            && let Ok(list) = MachineList::from_json("machine list", &bytes)
        {
            let addresses = list.machines.iter().filter_map(|machine| machine.control).collect();
            if lists.send(addresses).await.is_err() {
                return;
            }
        }
        tokio::time::sleep(HELLO_INTERVAL).await;
    }
}
