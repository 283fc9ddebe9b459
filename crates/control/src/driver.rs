//! The task that runs one replica: time, frames, writes and membership.

use std::collections::{BTreeSet, HashMap};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use eyre::WrapErr;
use slog::{Logger, debug, info, warn};
use tokio::net::TcpListener;
use tokio::sync::{mpsc, watch};
use weirhinge_config::{ConfigDocument, ControlKeys, MachineList};
use weirhinge_consensus::{Node, NodeOptions, Output, ReplicaId, Role, Snapshot};
use weirhinge_document_source::{Fetched, MACHINES_PATH, fetch};

use crate::frame::{CONTROL_VERSION, Frame, FrameBody, Sender};
use crate::frame_auth::ReplayGuard;
use crate::handle::{ControlHandle, ControlStatus, PendingWrite, status_of};
use crate::membership::Peers;
use crate::network::{Senders, accept_frames};
use crate::state_machine::ConfigMachine;
use crate::writes::{OwnWrite, Reply, Waiting};

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
/// Longest that reading the machine list may take.
const LIST_TIMEOUT: Duration = Duration::from_secs(1);
/// Frames that may wait to be handled.
const FRAME_QUEUE: usize = 1_024;
/// Index and term of a group's first snapshot: ahead of a newcomer's, which
/// therefore always takes it.
const FOUNDING_INDEX: u64 = 1;

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

/// The task's state.
pub(crate) struct Driver {
    pub(crate) options: ControlOptions,
    pub(crate) log: Logger,
    pub(crate) id: ReplicaId,
    pub(crate) group: u64,
    pub(crate) node: Option<Node<ConfigMachine>>,
    pub(crate) peers: Peers,
    pub(crate) listed: Vec<SocketAddr>,
    pub(crate) own: Sender,
    pub(crate) senders: Senders,
    pub(crate) frames_sent: u64,
    pub(crate) replays: ReplayGuard,
    pub(crate) started: Instant,
    pub(crate) waiting: Vec<Waiting>,
    pub(crate) own_writes: HashMap<u64, OwnWrite>,
    pub(crate) next_ticket: u64,
    pub(crate) base: watch::Receiver<Arc<ConfigDocument>>,
    pub(crate) document: watch::Sender<Arc<ConfigDocument>>,
    pub(crate) status: Arc<Mutex<ControlStatus>>,
    pub(crate) led: bool,
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

    pub(crate) fn frame(&mut self, body: FrameBody) -> Frame {
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
            heartbeat_interval: HEARTBEAT,
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

    pub(crate) fn carry_out(&mut self, outputs: Vec<Output<ConfigMachine>>) {
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
