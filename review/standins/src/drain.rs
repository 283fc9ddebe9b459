//! Traffic of short flows, and the check that a leaving target gets no new ones.

use std::net::SocketAddrV4;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use tokio::task::JoinHandle;
use weirhinge_platform_standins::{Client, Fleet, FlowError, Routers};

use crate::{CONTACT, DRAIN, ROUTE_PORT, Record, require};

/// Time between two new flows; each carries one request.
const FLOW_INTERVAL: Duration = Duration::from_millis(8);
const REQUEST_TIMEOUT: Duration = Duration::from_millis(2_500);

/// One flow.
pub struct Opened {
    at: Instant,
    /// The balancer that the routers picked.
    balancer: Option<SocketAddrV4>,
    /// The target that answered.
    outcome: Result<String, FlowError>,
}

impl Opened {
    /// When the client began to open it.
    pub fn at(&self) -> Instant {
        self.at
    }

    /// Whether its request was answered.
    pub fn is_served(&self) -> bool {
        self.outcome.is_ok()
    }
}

/// A target that leaves.
pub struct Leave<'a> {
    /// Its name.
    pub target: &'a str,
    /// When the store took that it leaves.
    pub at: Instant,
    /// When the last disruption of the store ended.
    pub store_calm_at: Instant,
}

/// A balancer that is started while traffic runs.
pub struct Added {
    /// Where it receives packets.
    pub address: SocketAddrV4,
    /// When it was started.
    pub at: Instant,
}

/// Clients that open a flow after each interval.
pub struct Traffic {
    opened: Arc<Mutex<Vec<Opened>>>,
    task: JoinHandle<()>,
}

impl Traffic {
    /// Starts the clients.
    pub fn start(fleet: &Fleet, record: &Record) -> Self {
        let opened: Arc<Mutex<Vec<Opened>>> = Arc::default();
        let (client, routers) = (fleet.client.clone(), fleet.routers.clone());
        let task = tokio::spawn(open_flows(client, routers, Arc::clone(&opened), record.clone()));
        Self { opened, task }
    }

    /// Stops the clients and returns the flows that have ended.
    pub fn stop(self) -> Vec<Opened> {
        self.task.abort();
        std::mem::take(&mut self.opened.lock().unwrap_or_else(PoisonError::into_inner))
    }
}

/// Whether machines in touch sent new flows to the leaving target later than `drain_ms` after the
/// store took that it leaves.
pub fn check_drain(
    opened: &[Opened],
    leave: &Leave<'_>,
    added: &Added,
    record: &Record,
) -> eyre::Result<bool> {
    require(opened.len(), 500, "flows")?;
    let (mut late, mut late_elsewhere) = (0, 0);
    for flow in opened {
        let is_late = flow.at > leave.at + DRAIN;
        let through_added = flow.balancer == Some(added.address);
        // The other machines run undisturbed from before the traffic on.
        let is_in_touch = flow.at >= leave.store_calm_at + CONTACT
            && (!through_added || flow.at >= added.at + CONTACT);
        let at_leaver = flow.outcome.as_ref().is_ok_and(|target| target == leave.target);
        if is_late && is_in_touch && at_leaver {
            late += usize::from(through_added);
            late_elsewhere += usize::from(!through_added);
            record.line(&format!(
                "late: a flow opened {:.3} s after the store took that the target leaves was \
                 taken by {}, through {:?}",
                (flow.at - leave.at).as_secs_f64(),
                leave.target,
                flow.balancer
            ));
        }
    }
    record.say(&format!(
        "{} flows; taken by the target later than {} ms after the store took that it leaves, from \
         machines in touch: {late} through the started balancer, {late_elsewhere} through the \
         others",
        opened.len(),
        DRAIN.as_millis()
    ));
    let is_broken = late + late_elsewhere > 0;
    record.say(if is_broken { "DRAIN broken" } else { "DRAIN held" });
    Ok(is_broken)
}

async fn open_flows(
    client: Client,
    routers: Routers,
    opened: Arc<Mutex<Vec<Opened>>>,
    record: Record,
) {
    for number in 0_u64.. {
        let (client, routers, opened) = (client.clone(), routers.clone(), Arc::clone(&opened));
        let record = record.clone();
        tokio::spawn(async move {
            let at = Instant::now();
            let service = Fleet::route(ROUTE_PORT);
            let (balancer, outcome) = match client.open(service).await {
                Err(error) => (None, Err(error)),
                Ok(mut flow) => {
                    let balancer = routers.pick(flow.source(), service);
                    let outcome = flow.request(&format!("n{number}"), REQUEST_TIMEOUT).await;
                    flow.close().await;
                    (balancer, outcome)
                }
            };
            record.line(&format!("n{number} through {balancer:?}: {outcome:?}"));
            let mut opened = opened.lock().unwrap_or_else(PoisonError::into_inner);
            opened.push(Opened { at, balancer, outcome });
        });
        tokio::time::sleep(FLOW_INTERVAL).await;
    }
}
