//! The task that runs one replica: drives time, frames, writes and membership.

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

use crate::frame::{CONTROL_VERSION, Frame, FrameBody, FrameSender};
use crate::frame_auth::ReplayGuard;
use crate::handle::{ControlHandle, ControlStatus, PendingWrite, replica_status};
use crate::membership::Peers;
use crate::network::{PeerConnections, accept_frames};
use crate::state_machine::ConfigStateMachine;
use crate::writes::{LocalWrite, PendingCommit, ReplyTo};

/// Interval between ticks of the replica.
const TICK_INTERVAL: Duration = Duration::from_millis(20);
/// Interval between a leader's heartbeats.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(100);
/// Minimum time without contact to a leader before an election.
const ELECTION_TIMEOUT: Duration = Duration::from_millis(500);
/// Number of applied log entries after which the log is compacted.
const COMPACT_AFTER_ENTRIES: usize = 256;
/// Interval between hellos, and between readings of the machine list.
const HELLO_INTERVAL: Duration = Duration::from_millis(500);
/// How long a balancer that may found a group looks for an existing one first.
const FOUNDING_DELAY: Duration = Duration::from_secs(2);
/// Timeout for reading the machine list.
const LIST_TIMEOUT: Duration = Duration::from_secs(1);
/// Capacity of the queues of received frames and of local writes.
const QUEUE_CAPACITY: usize = 1_024;
/// Index and term of a new group's first snapshot. Higher than the 0 of a joining
/// replica, which therefore always installs the snapshot.
const FOUNDING_INDEX: u64 = 1;

/// Settings of a replica.
#[derive(Clone, Debug)]
pub struct ControlOptions {
    /// TCP address on which to accept frames of other balancers.
    pub listen: SocketAddr,
    /// Zone of this balancer.
    pub zone: String,
    /// TCP address of the platform, which serves the machine list.
    pub platform: SocketAddr,
    /// Keys that authenticate frames. Without keys, `listen` has to be a loopback
    /// address.
    pub keys: ControlKeys,
    /// Control addresses of balancers to contact besides those on the machine list.
    pub peers: Vec<SocketAddr>,
    /// Whether this balancer founds a group if it finds none. To be set on one balancer
    /// of a deployment, and only for its first start.
    pub may_found_group: bool,
}

/// The state of the replica's task.
pub(crate) struct Driver {
    pub(crate) options: ControlOptions,
    pub(crate) log: Logger,
    pub(crate) id: ReplicaId,
    pub(crate) group: u64,
    pub(crate) node: Option<Node<ConfigStateMachine>>,
    pub(crate) peers: Peers,
    pub(crate) listed_addresses: Vec<SocketAddr>,
    pub(crate) own_sender: FrameSender,
    pub(crate) peer_connections: PeerConnections,
    pub(crate) frames_sent: u64,
    pub(crate) replay_guard: ReplayGuard,
    pub(crate) started: Instant,
    pub(crate) pending_commits: Vec<PendingCommit>,
    pub(crate) local_writes: HashMap<u64, LocalWrite>,
    pub(crate) next_ticket: u64,
    pub(crate) base_document: watch::Receiver<Arc<ConfigDocument>>,
    pub(crate) document: watch::Sender<Arc<ConfigDocument>>,
    pub(crate) status: Arc<Mutex<ControlStatus>>,
    pub(crate) was_leader: bool,
}

/// Starts a replica. `base_document` receives the platform's document, from which a new
/// group starts.
///
/// # Errors
/// When the control address is not loopback and there are no keys, when it cannot be
/// bound, or when the system's random source fails.
pub async fn start_control(
    options: ControlOptions,
    base_document: watch::Receiver<Arc<ConfigDocument>>,
    log: Logger,
) -> eyre::Result<ControlHandle> {
    if options.keys.0.is_empty() && !options.listen.ip().is_loopback() {
        let address = options.listen;
        return Err(eyre::eyre!(
            "bind control address {address}: control keys are required off loopback"
        ));
    }
    let listener = TcpListener::bind(options.listen)
        .await
        .wrap_err_with(|| format!("bind control address {}", options.listen))?;
    let address = listener.local_addr().wrap_err("read the control address")?;
    let id = ReplicaId(random_u64()?);
    let (frames, new_frames) = mpsc::channel(QUEUE_CAPACITY);
    tokio::spawn(accept_frames(listener, options.keys.clone(), frames, log.clone()));
    let (writes, new_writes) = mpsc::channel(QUEUE_CAPACITY);
    let (document, agreed_document) = watch::channel(Arc::new(ConfigDocument::default()));
    let status = Arc::new(Mutex::new(ControlStatus::default()));
    let own_sender = FrameSender { id: id.0, zone: options.zone.clone(), control: address.into() };
    let keys = options.keys.clone();
    let driver = Driver {
        options,
        log,
        id,
        group: 0,
        node: None,
        peers: Peers::default(),
        listed_addresses: Vec::new(),
        own_sender,
        peer_connections: PeerConnections::new(keys),
        frames_sent: 0,
        replay_guard: ReplayGuard::default(),
        started: Instant::now(),
        pending_commits: Vec::new(),
        local_writes: HashMap::new(),
        next_ticket: 0,
        base_document,
        document,
        status: status.clone(),
        was_leader: false,
    };
    tokio::spawn(driver.run(new_frames, new_writes));
    Ok(ControlHandle { address, writes, status, document: agreed_document })
}

fn random_u64() -> eyre::Result<u64> {
    getrandom::u64().map_err(|error| eyre::eyre!("read the system's random source: {error}"))
}

impl Driver {
    async fn run(
        mut self,
        mut frames: mpsc::Receiver<Frame>,
        mut writes: mpsc::Receiver<PendingWrite>,
    ) {
        let mut ticks = tokio::time::interval(TICK_INTERVAL);
        ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        let (lists, mut new_lists) = mpsc::channel(1);
        tokio::spawn(poll_machine_list(self.options.platform, lists));
        let mut hello_due = Instant::now();
        loop {
            tokio::select! {
                _ = ticks.tick() => {
                    if Instant::now() >= hello_due {
                        hello_due = Instant::now() + HELLO_INTERVAL;
                        self.send_hellos();
                    }
                    self.tick();
                    self.route_local_writes();
                }
                Some(frame) = frames.recv() => self.handle_frame(frame),
                Some(write) = writes.recv() => self.handle_write(write),
                Some(addresses) = new_lists.recv() => self.listed_addresses = addresses,
            }
            self.answer_committed_writes();
            self.publish();
        }
    }

    pub(crate) fn frame(&mut self, body: FrameBody) -> Frame {
        self.frames_sent += 1;
        Frame {
            version: CONTROL_VERSION,
            number: self.frames_sent,
            group: self.group,
            sender: self.own_sender.clone(),
            body,
        }
    }

    fn send_hellos(&mut self) {
        let frame = self.frame(FrameBody::Hello);
        let mut addresses: BTreeSet<SocketAddr> = self.listed_addresses.iter().copied().collect();
        addresses.extend(&self.options.peers);
        addresses.remove(&self.own_sender.address());
        for address in addresses {
            self.peer_connections.send(address, &frame);
        }
        if self.node.is_none() && self.options.may_found_group {
            self.found_group();
        }
    }

    /// Founds a group with this replica as the only voter. The other balancers join it
    /// later.
    fn found_group(&mut self) {
        let base_document = self.base_document.borrow().clone();
        let group = getrandom::u64().unwrap_or(0);
        if self.started.elapsed() < FOUNDING_DELAY || base_document.revision == 0 || group == 0 {
            return;
        }
        info!(self.log, "control: Founded a new group."; "revision" => base_document.revision);
        self.group = group;
        let machine = ConfigStateMachine::new((*base_document).clone());
        self.start_node(Snapshot {
            index: FOUNDING_INDEX,
            term: FOUNDING_INDEX,
            voters: vec![self.id],
            machine,
        });
    }

    fn start_node(&mut self, snapshot: Snapshot<ConfigStateMachine>) {
        let options = NodeOptions {
            heartbeat_interval: HEARTBEAT_INTERVAL,
            election_timeout: ELECTION_TIMEOUT,
            compact_after: COMPACT_AFTER_ENTRIES,
            seed: self.id.0,
        };
        self.node = Some(Node::new(self.id, snapshot, options));
    }

    /// Joins the group of another balancer as a learner.
    fn join_group(&mut self, group: u64) {
        info!(self.log, "control: Joined a group as a learner.");
        self.group = group;
        let machine = ConfigStateMachine::default();
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
            let live = self.peers.live(Instant::now());
            for &id in &live {
                if node.voters().contains(&id) {
                    node.remove_learner(id);
                } else {
                    node.add_learner(id);
                }
            }
            node.keep_learners(&live);
            let next_voters = self.peers.next_voters(node, &self.own_sender.zone, Instant::now());
            if let Some(next_voters) = next_voters
                && let Ok((_, more)) = node.propose_voters(next_voters)
            {
                outputs.extend(more);
            }
        }
        self.execute_outputs(outputs);
    }

    pub(crate) fn execute_outputs(&mut self, outputs: Vec<Output<ConfigStateMachine>>) {
        for output in outputs {
            // Committed commands need no action: `publish` reads the whole state.
            if let Output::Send(envelope) = output
                && let Some(address) = self.peers.control_address(envelope.to)
            {
                let frame = self.frame(FrameBody::Replica(envelope));
                self.peer_connections.send(address, &frame);
            }
        }
    }

    fn handle_frame(&mut self, frame: Frame) {
        let Frame { number, group, sender, body, .. } = frame;
        if let Err(error) = self.replay_guard.check(sender.id, number) {
            return debug!(self.log, "control: Dropped a frame."; "reason" => %error);
        }
        let from = sender.address();
        if self.node.is_none() && group != 0 {
            self.join_group(group);
        }
        if group != self.group {
            // A balancer without a group learns of this one from the hello. Frames of
            // other groups are dropped.
            if group == 0 && self.node.is_some() {
                let hello = self.frame(FrameBody::Hello);
                self.peer_connections.send(from, &hello);
            }
            return;
        }
        self.peers.note_seen(&sender, Instant::now());
        match body {
            FrameBody::Hello => {}
            FrameBody::Replica(envelope) => {
                let now = self.now();
                if envelope.to == self.id
                    && let Some(node) = &mut self.node
                {
                    let outputs = node.receive(envelope, now);
                    self.execute_outputs(outputs);
                }
            }
            FrameBody::Write { ticket, command } => {
                self.propose(command, ReplyTo::Remote { to: from, ticket });
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
        if leads != self.was_leader {
            self.was_leader = leads;
            let message = if leads {
                "control: Became the leader."
            } else {
                "control: Stopped being the leader."
            };
            warn!(self.log, "{}", message; "term" => node.term());
        }
        let status = replica_status(node, self.group, &self.peers.live(Instant::now()));
        *self.status.lock().unwrap_or_else(PoisonError::into_inner) = status;
    }
}

/// Polls the platform's machine list. The last list stays in use while the platform is
/// unavailable.
async fn poll_machine_list(platform: SocketAddr, lists: mpsc::Sender<Vec<SocketAddr>>) {
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
