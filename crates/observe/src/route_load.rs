//! Counts served, waiting and refused openings by zone and route, and by client.
//!
//! Distinguishes a lack of capacity from unfair shares: in a shortage, refusals are spread over
//! the clients, and each client is served at other times.

use std::collections::{BTreeMap, HashMap, HashSet};

use serde::Serialize;
use serde_json::Value;

use crate::merged_logs::LogLine;

/// Maximum number of (route, client) pairs that are counted.
const MAX_CLIENTS: usize = 100_000;
/// Maximum number of queued openings that are tracked at the same time.
const MAX_QUEUED: usize = 200_000;
/// Zone shown for daemons whose `start` line is not in the logs.
const UNKNOWN_ZONE: &str = "unknown";

/// Number of openings by outcome.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct OpeningCounts {
    /// Openings that a target answered.
    pub served: u64,
    /// Openings that waited for capacity.
    pub waited: u64,
    /// Openings that were refused for lack of capacity, at once or after a wait.
    pub refused: u64,
    /// Refused openings that had waited at the balancer that refused them.
    pub refused_after_wait: u64,
}

impl OpeningCounts {
    fn add(&mut self, outcome: OpeningOutcome) {
        let count = match outcome {
            OpeningOutcome::Served => &mut self.served,
            OpeningOutcome::Waited => &mut self.waited,
            OpeningOutcome::RefusedAtOnce => &mut self.refused,
            OpeningOutcome::RefusedAfterWait => {
                self.refused_after_wait += 1;
                &mut self.refused
            }
        };
        *count += 1;
    }

    /// Number of openings that were served or refused.
    fn finished(&self) -> u64 {
        self.served + self.refused
    }
}

/// Openings of a route as logged by the daemons of a zone: agents log answers of their target,
/// balancers log refusals, and both log openings that wait at them.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct ZoneLoad {
    /// Zone of the daemons that wrote the lines.
    pub zone: String,
    /// Address and port that clients connect to.
    pub route: String,
    /// Number of openings by outcome.
    pub openings: OpeningCounts,
}

/// Openings of one client on a route.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct ClientLoad {
    /// IP address of the client.
    pub caller: String,
    /// Number of openings by outcome.
    pub openings: OpeningCounts,
}

/// Summary of the clients of a route.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct RouteClients {
    /// Address and port that the clients connect to.
    pub route: String,
    /// Number of clients that were served or refused.
    pub callers: usize,
    /// Number of clients that were refused at least once.
    pub refused: usize,
    /// Number of clients that were refused and never served.
    pub never_served: usize,
    /// The client with the most served and refused openings.
    pub heaviest: ClientLoad,
    /// The client with the most refused openings.
    pub most_refused: ClientLoad,
}

/// What a log line reports about an opening.
#[derive(Clone, Copy)]
enum OpeningOutcome {
    Served,
    Waited,
    RefusedAtOnce,
    RefusedAfterWait,
}

/// Counts openings by zone and route, and by route and client, from log lines.
#[derive(Clone, Debug, Default)]
pub(crate) struct RouteLoads {
    /// Zone by daemon name.
    zones: HashMap<String, String>,
    /// By zone and route.
    loads: BTreeMap<(String, String), OpeningCounts>,
    /// By route and client address.
    clients: BTreeMap<(String, String), OpeningCounts>,
    /// Flows whose opening is queued at a balancer.
    queued: HashSet<String>,
}

impl RouteLoads {
    /// Stores a daemon's zone from its `start` line.
    pub(crate) fn note_zone(&mut self, line: &LogLine) {
        if let ("start", Some(zone)) = (line.event.as_str(), line.text("zone")) {
            self.zones.insert(line.node.clone(), zone.to_owned());
        }
    }

    /// Counts a line. Returns false if its client could not be counted because of
    /// [`MAX_CLIENTS`].
    pub(crate) fn record(&mut self, line: &LogLine) -> bool {
        let Some(outcome) = self.outcome_of(line) else { return true };
        let Some((client, route)) = line.text("flow").and_then(client_and_route) else {
            return true;
        };
        let zone = self.zones.get(&line.node).map_or(UNKNOWN_ZONE, String::as_str);
        self.loads.entry((zone.to_owned(), route.to_owned())).or_default().add(outcome);
        let key = (route.to_owned(), client.to_owned());
        let has_space = self.clients.len() < MAX_CLIENTS || self.clients.contains_key(&key);
        if has_space {
            self.clients.entry(key).or_default().add(outcome);
        }
        has_space
    }

    /// Returns what a line reports about an opening, and keeps track of queued openings.
    fn outcome_of(&mut self, line: &LogLine) -> Option<OpeningOutcome> {
        let flow = line.text("flow")?;
        let confirmed = line.fields.get("confirmed").and_then(Value::as_bool);
        match (line.event.as_str(), line.text("outcome"), confirmed) {
            ("answered", _, Some(false)) => {
                self.queued.remove(flow);
                Some(OpeningOutcome::Served)
            }
            ("queued", ..) => {
                if self.queued.len() < MAX_QUEUED {
                    self.queued.insert(flow.to_owned());
                }
                Some(OpeningOutcome::Waited)
            }
            ("opening_waits", ..) => Some(OpeningOutcome::Waited),
            ("reset", Some("overloaded" | "refused"), _) => {
                let waited = self.queued.remove(flow);
                Some(if waited {
                    OpeningOutcome::RefusedAfterWait
                } else {
                    OpeningOutcome::RefusedAtOnce
                })
            }
            _ => None,
        }
    }

    /// Returns the counts by zone and route.
    pub(crate) fn zones(&self) -> Vec<ZoneLoad> {
        let load = |((zone, route), openings): (&(String, String), &OpeningCounts)| ZoneLoad {
            zone: zone.clone(),
            route: route.clone(),
            openings: *openings,
        };
        self.loads.iter().map(load).collect()
    }

    /// Returns the summary of each route's clients.
    pub(crate) fn clients(&self) -> Vec<RouteClients> {
        let listed: Vec<_> =
            self.clients.iter().filter(|(_, counts)| counts.finished() > 0).collect();
        let by_route = listed.chunk_by(|left, right| left.0.0 == right.0.0);
        by_route.filter_map(summarize_clients).collect()
    }
}

/// Splits a flow `client:port>address:port` into the client's address and the route.
fn client_and_route(flow: &str) -> Option<(&str, &str)> {
    let (client_endpoint, route) = flow.split_once('>')?;
    let (client, _) = client_endpoint.rsplit_once(':')?;
    Some((client, route))
}

/// Summarizes the clients of one route; `None` if `clients` is empty.
fn summarize_clients(clients: &[(&(String, String), &OpeningCounts)]) -> Option<RouteClients> {
    let load = |((_, client), openings): &(&(String, String), &OpeningCounts)| ClientLoad {
        caller: client.clone(),
        openings: **openings,
    };
    let refused = || clients.iter().filter(|(_, openings)| openings.refused > 0);
    let client_with_most = |number: fn(&OpeningCounts) -> u64| {
        clients.iter().max_by_key(|(_, openings)| number(openings)).map(load)
    };
    Some(RouteClients {
        route: clients.first()?.0.0.clone(),
        callers: clients.len(),
        refused: refused().count(),
        never_served: refused().filter(|(_, openings)| openings.served == 0).count(),
        heaviest: client_with_most(OpeningCounts::finished)?,
        most_refused: client_with_most(|openings| openings.refused)?,
    })
}
