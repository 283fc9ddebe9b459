//! Who was served, waited and was refused, by zone and route and among callers.
//!
//! Tells too little room from an unfair share: in a shortage refusals spread over callers,
//! and each of them is served in other moments.

use std::collections::{BTreeMap, HashMap, HashSet};

use serde::Serialize;
use serde_json::Value;

use crate::story::LogLine;

/// Most pairs of a route and a caller that are told apart.
const MOST_CALLERS: usize = 100_000;
/// Most waiting openings that are followed at a time.
const MOST_QUEUED: usize = 200_000;
/// The zone of daemons whose start is not in the logs.
const UNKNOWN_ZONE: &str = "unknown";

/// What became of openings.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct OpeningCounts {
    /// A target answered them.
    pub served: u64,
    /// They waited for room.
    pub waited: u64,
    /// They were refused for want of room, at once or after a wait.
    pub refused: u64,
    /// Those of them that had waited at the balancer that refused them.
    pub refused_after_wait: u64,
}

impl OpeningCounts {
    fn add(&mut self, fate: Fate) {
        let count = match fate {
            Fate::Served => &mut self.served,
            Fate::Waited => &mut self.waited,
            Fate::RefusedAtOnce => &mut self.refused,
            Fate::RefusedAfterWait => {
                self.refused_after_wait += 1;
                &mut self.refused
            }
        };
        *count += 1;
    }

    fn ended(&self) -> u64 {
        self.served + self.refused
    }
}

/// Openings of a route as the daemons of a zone saw them: agents write that their target
/// answered, balancers that they refused, and both that openings wait with them.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct ZoneLoad {
    /// The zone of the daemons that wrote the lines.
    pub zone: String,
    /// The address and port that clients connect to.
    pub route: String,
    /// Their number.
    pub openings: OpeningCounts,
}

/// A caller's openings on a route.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct CallerLoad {
    /// Its address.
    pub caller: String,
    /// Their number.
    pub openings: OpeningCounts,
}

/// How the callers of a route fared.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct RouteCallers {
    /// The address and port that they connect to.
    pub route: String,
    /// Callers that were served or refused.
    pub callers: usize,
    /// Callers that were refused at least once.
    pub refused: usize,
    /// Callers that were refused and never served.
    pub never_served: usize,
    /// The caller with the most openings.
    pub heaviest: CallerLoad,
    /// The caller that was refused most often.
    pub most_refused: CallerLoad,
}

#[derive(Clone, Copy)]
enum Fate {
    Served,
    Waited,
    RefusedAtOnce,
    RefusedAfterWait,
}

/// Collects lines.
#[derive(Clone, Debug, Default)]
pub(crate) struct RouteLoads {
    zones: HashMap<String, String>,
    /// By zone and route.
    loads: BTreeMap<(String, String), OpeningCounts>,
    /// By route and caller.
    callers: BTreeMap<(String, String), OpeningCounts>,
    /// Flows whose opening waits at a balancer.
    queued: HashSet<String>,
}

impl RouteLoads {
    /// Learns from a daemon's start in which zone it is.
    pub(crate) fn learn_zone(&mut self, line: &LogLine) {
        if let ("start", Some(zone)) = (line.event.as_str(), line.text("zone")) {
            self.zones.insert(line.node.clone(), zone.to_owned());
        }
    }

    /// Returns whether there was room for the line's caller.
    pub(crate) fn take(&mut self, line: &LogLine) -> bool {
        let Some(fate) = self.fate_of(line) else { return true };
        let Some((caller, route)) = line.text("flow").and_then(ends) else { return true };
        let zone = self.zones.get(&line.node).map_or(UNKNOWN_ZONE, String::as_str);
        self.loads.entry((zone.to_owned(), route.to_owned())).or_default().add(fate);
        let key = (route.to_owned(), caller.to_owned());
        let has_room = self.callers.len() < MOST_CALLERS || self.callers.contains_key(&key);
        if has_room {
            self.callers.entry(key).or_default().add(fate);
        }
        has_room
    }

    /// What a line says about an opening.
    fn fate_of(&mut self, line: &LogLine) -> Option<Fate> {
        let flow = line.text("flow")?;
        let confirmed = line.fields.get("confirmed").and_then(Value::as_bool);
        match (line.event.as_str(), line.text("outcome"), confirmed) {
            ("answered", _, Some(false)) => {
                self.queued.remove(flow);
                Some(Fate::Served)
            }
            ("queued", ..) => {
                if self.queued.len() < MOST_QUEUED {
                    self.queued.insert(flow.to_owned());
                }
                Some(Fate::Waited)
            }
            ("opening_waits", ..) => Some(Fate::Waited),
            ("reset", Some("overloaded" | "refused"), _) => {
                let waited = self.queued.remove(flow);
                Some(if waited { Fate::RefusedAfterWait } else { Fate::RefusedAtOnce })
            }
            _ => None,
        }
    }

    pub(crate) fn zones(&self) -> Vec<ZoneLoad> {
        let load = |((zone, route), openings): (&(String, String), &OpeningCounts)| ZoneLoad {
            zone: zone.clone(),
            route: route.clone(),
            openings: *openings,
        };
        self.loads.iter().map(load).collect()
    }

    pub(crate) fn callers(&self) -> Vec<RouteCallers> {
        let all: Vec<_> = self.callers.iter().filter(|(_, counts)| counts.ended() > 0).collect();
        let by_route = all.chunk_by(|one, next| one.0.0 == next.0.0);
        by_route.filter_map(callers_of_route).collect()
    }
}

/// The caller's address and the route of `client:port>address:port`.
fn ends(flow: &str) -> Option<(&str, &str)> {
    let (client, route) = flow.split_once('>')?;
    let (caller, _) = client.rsplit_once(':')?;
    Some((caller, route))
}

/// Sums up the callers of one route; none if there are none.
fn callers_of_route(callers: &[(&(String, String), &OpeningCounts)]) -> Option<RouteCallers> {
    let load = |((_, caller), openings): &(&(String, String), &OpeningCounts)| CallerLoad {
        caller: caller.clone(),
        openings: **openings,
    };
    let refused = || callers.iter().filter(|(_, openings)| openings.refused > 0);
    let most = |number: fn(&OpeningCounts) -> u64| {
        callers.iter().max_by_key(|(_, openings)| number(openings)).map(load)
    };
    Some(RouteCallers {
        route: callers.first()?.0.0.clone(),
        callers: callers.len(),
        refused: refused().count(),
        never_served: refused().filter(|(_, openings)| openings.served == 0).count(),
        heaviest: most(OpeningCounts::ended)?,
        most_refused: most(|openings| openings.refused)?,
    })
}
