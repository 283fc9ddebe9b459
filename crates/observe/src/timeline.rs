//! What a fleet did over time: counts of its log lines in intervals, starts and what came
//! after them, daemons that served nothing while others did, how long steps took, and who
//! was served, waited and was refused.
//!
//! Lines are read one after the other and none is kept, so that the logs of a long day of
//! a large fleet need little memory. What is kept is bounded: intervals, and flows whose
//! step has not ended.

use std::collections::{BTreeMap, BTreeSet, HashMap};

use serde::Serialize;
use serde_json::Value;

use crate::route_load::{RouteCallers, RouteLoads, ZoneLoad};
use crate::story::LogLine;

/// Most intervals that are told; lines beyond them are counted as left out.
const MOST_INTERVALS: i64 = 100_000;
/// Most flows followed at a time for the length of their steps.
const MOST_FLOWS: usize = 200_000;
/// Most lengths kept of each step.
const MOST_LENGTHS: usize = 1_000_000;
/// A step that did not end for so long was another one's: ports are used again.
const LONGEST_STEP_MS: i64 = 5_000;
/// Starts with no other start for longer belong to different waves.
const WAVE_GAP_MS: i64 = 700;
/// Fewest daemons whose starts are told as a wave.
const SMALLEST_WAVE: usize = 2;
/// Time after a wave in which its consequences are looked for.
const AFTER_WAVE_MS: i64 = 30_000;
/// Daemons are compared by what they served in spans of this length.
const SERVED_SPAN_MS: i64 = 1_000;
/// Median of requests a span above which a daemon that served none stands out.
const BUSY_MEDIAN: u32 = 5;
/// Shortest time without a request that is told, in spans.
const SHORTEST_IDLE_SPANS: i64 = 2;

/// What is told of.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TimelineOptions {
    /// Length of an interval in milliseconds, at least 1.
    pub every_ms: i64,
    /// Daemons whose names begin so; all if empty.
    pub node: String,
    /// Milliseconds from the first line at which intervals begin.
    pub from_ms: i64,
    /// Milliseconds from the first line at which they end.
    pub to_ms: i64,
}

impl Default for TimelineOptions {
    fn default() -> Self {
        Self { every_ms: 1_000, node: String::new(), from_ms: 0, to_ms: i64::MAX }
    }
}

/// Daemons that started together and what came after; milliseconds from the first line.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct StartWave {
    /// First and last start of balancers.
    pub balancers: Option<(i64, i64)>,
    /// First and last start of agents.
    pub agents: Option<(i64, i64)>,
    /// Daemons that started.
    pub daemons: usize,
    /// The first configuration in force after it.
    pub first_configuration: Option<i64>,
    /// The first flow that was reset since no target held it.
    pub first_reset: Option<i64>,
    /// The first answer of a target.
    pub first_answer: Option<i64>,
    /// The last opening that was refused.
    pub last_refusal: Option<i64>,
}

/// A daemon that wrote lines but served nothing while others did.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct IdleDaemon {
    /// Its name.
    pub node: String,
    /// Milliseconds from the first line.
    pub from_ms: i64,
    /// Milliseconds from the first line.
    pub to_ms: i64,
}

/// How long a step took, in milliseconds.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct StepLength {
    /// What the step leads from and to.
    pub step: &'static str,
    /// How many were seen.
    pub count: usize,
    /// Half of them took no longer.
    pub p50_ms: i64,
    /// 99 of 100 took no longer.
    pub p99_ms: i64,
}

/// Counts in one interval, by event and outcome.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Interval {
    /// Milliseconds from the first line.
    pub at_ms: i64,
    /// Lines of each kind, those that were left out for their number included.
    pub counts: BTreeMap<String, u64>,
}

/// What a timeline tells.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct TimelineReport {
    /// Intervals with at least one line, in order.
    pub intervals: Vec<Interval>,
    /// Starts of several daemons.
    pub waves: Vec<StartWave>,
    /// Daemons that served nothing while others did.
    pub idle: Vec<IdleDaemon>,
    /// How long steps took.
    pub steps: Vec<StepLength>,
    /// What became of openings, by zone and route.
    pub zones: Vec<ZoneLoad>,
    /// How callers fared, by route.
    pub callers: Vec<RouteCallers>,
    /// Lines that could not be read.
    pub unreadable: u64,
    /// Lines of moments that are too many intervals away, or of too many flows at a time or
    /// callers.
    pub left_out: u64,
}

/// Collects lines.
#[derive(Clone, Debug, Default)]
pub struct Timeline {
    options: TimelineOptions,
    first_at: Option<i64>,
    counts: BTreeMap<i64, BTreeMap<String, u64>>,
    starts: Vec<(i64, bool)>,
    /// Times of the events that waves are judged by.
    marks: BTreeMap<Mark, Vec<i64>>,
    /// Requests of each balancer in each span, and the spans in which it wrote lines.
    served: BTreeMap<String, BTreeMap<i64, u32>>,
    spoke: BTreeMap<String, BTreeSet<i64>>,
    searches: Lengths,
    openings: Lengths,
    route_loads: RouteLoads,
    unreadable: u64,
    left_out: u64,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Mark {
    Configuration,
    Reset,
    Answer,
    Refusal,
}

/// Steps that began and the lengths of those that ended.
#[derive(Clone, Debug, Default)]
struct Lengths {
    begun: HashMap<String, i64>,
    ended: Vec<i64>,
}

impl Lengths {
    /// Returns whether there is room for one more.
    fn begin(&mut self, flow: &str, at_ms: i64) -> bool {
        let has_room = self.begun.len() < MOST_FLOWS;
        let under_way = self.begun.get(flow).is_some_and(|begun| at_ms - begun < LONGEST_STEP_MS);
        if has_room && !under_way {
            self.begun.insert(flow.to_owned(), at_ms);
        }
        has_room
    }

    fn end(&mut self, flow: &str, at_ms: i64) {
        if let Some(begun) = self.begun.remove(flow)
            && at_ms - begun < LONGEST_STEP_MS
            && self.ended.len() < MOST_LENGTHS
        {
            self.ended.push((at_ms - begun).max(0));
        }
    }

    fn report(&self, step: &'static str) -> Option<StepLength> {
        let mut sorted = self.ended.clone();
        sorted.sort_unstable();
        let at = |percent: usize| sorted.get((sorted.len() * percent / 100).min(sorted.len() - 1));
        let (p50_ms, p99_ms) = if sorted.is_empty() { return None } else { (at(50), at(99)) };
        Some(StepLength { step, count: sorted.len(), p50_ms: *p50_ms?, p99_ms: *p99_ms? })
    }
}

impl Timeline {
    /// Nothing read yet.
    pub fn new(options: TimelineOptions) -> Self {
        Self { options, ..Self::default() }
    }

    /// Reads a line of a log. The times of all lines count from that of the first one.
    pub fn read_line(&mut self, text: &str) {
        if text.trim().is_empty() {
            return;
        }
        match LogLine::parse(text) {
            Some(line) => self.take(&line),
            None => self.unreadable += 1,
        }
    }

    fn take(&mut self, line: &LogLine) {
        let at_ms = line.at_ms - *self.first_at.get_or_insert(line.at_ms);
        self.route_loads.learn_zone(line);
        let is_inside = (self.options.from_ms..self.options.to_ms).contains(&at_ms);
        if !is_inside || !line.node.starts_with(&self.options.node) {
            return;
        }
        self.count(line, at_ms);
        self.note_marks(line, at_ms);
        self.note_served(line, at_ms);
        self.note_steps(line, at_ms);
        self.left_out += u64::from(!self.route_loads.take(line));
    }

    fn count(&mut self, line: &LogLine, at_ms: i64) {
        let interval = at_ms.div_euclid(self.options.every_ms);
        if interval.abs() > MOST_INTERVALS {
            self.left_out += 1;
            return;
        }
        let suppressed = line.fields.get("count").and_then(Value::as_u64);
        let (key, count) = match (line.event.as_str(), line.text("kind"), suppressed) {
            ("lines_suppressed", Some(kind), Some(count)) => (kind.to_owned(), count),
            _ => (key_of(line), 1),
        };
        *self.counts.entry(interval).or_default().entry(key).or_default() += count;
    }

    fn note_marks(&mut self, line: &LogLine, at_ms: i64) {
        let mark = match (line.event.as_str(), line.text("outcome")) {
            ("start", _) => {
                let is_balancer = line.text("service").is_none();
                return self.starts.push((at_ms, is_balancer));
            }
            ("configuration", _) => Mark::Configuration,
            ("answered", _) => Mark::Answer,
            ("reset", Some("nobody_holds")) => Mark::Reset,
            ("reset", Some("overloaded" | "refused" | "no_target" | "evacuated")) => Mark::Refusal,
            _ => return,
        };
        self.marks.entry(mark).or_default().push(at_ms);
    }

    fn note_served(&mut self, line: &LogLine, at_ms: i64) {
        let span = at_ms.div_euclid(SERVED_SPAN_MS);
        if line.event == "request" {
            let served = self.served.entry(line.node.clone()).or_default();
            *served.entry(span).or_default() += 1;
        }
        self.spoke.entry(line.node.clone()).or_default().insert(span);
    }

    fn note_steps(&mut self, line: &LogLine, at_ms: i64) {
        let Some(flow) = line.text("flow") else { return };
        let searched = || format!("{} {flow}", line.node);
        let confirmed = line.fields.get("confirmed").and_then(Value::as_bool);
        let has_room = match (line.event.as_str(), line.text("outcome"), confirmed) {
            ("search", ..) => self.searches.begin(&searched(), at_ms),
            ("reset", Some("nobody_holds"), _) => {
                self.searches.end(&searched(), at_ms);
                true
            }
            ("opening", ..) => self.openings.begin(flow, at_ms),
            ("answered", _, Some(false)) => {
                self.openings.end(flow, at_ms);
                true
            }
            _ => true,
        };
        self.left_out += u64::from(!has_room);
    }

    /// What the lines read so far tell.
    pub fn report(&self) -> TimelineReport {
        let intervals = self.counts.iter().map(|(interval, counts)| Interval {
            at_ms: interval * self.options.every_ms,
            counts: counts.clone(),
        });
        let steps = [
            self.openings.report("opening sent to target's answer"),
            self.searches.report("search to reset"),
        ];
        TimelineReport {
            intervals: intervals.collect(),
            waves: self.waves(),
            idle: self.idle(),
            steps: steps.into_iter().flatten().collect(),
            zones: self.route_loads.zones(),
            callers: self.route_loads.callers(),
            unreadable: self.unreadable,
            left_out: self.left_out,
        }
    }

    fn waves(&self) -> Vec<StartWave> {
        let mut starts = self.starts.clone();
        starts.sort_unstable();
        let waves = starts.chunk_by(|one, next| next.0 - one.0 <= WAVE_GAP_MS);
        waves.filter(|wave| wave.len() >= SMALLEST_WAVE).map(|wave| self.wave(wave)).collect()
    }

    fn wave(&self, starts: &[(i64, bool)]) -> StartWave {
        let span = |balancers: bool| {
            let mut of_role =
                starts.iter().filter(|start| start.1 == balancers).map(|start| start.0);
            let first = of_role.next()?;
            Some((first, of_role.next_back().unwrap_or(first)))
        };
        let began = starts.first().map_or(0, |start| start.0);
        let after = |mark: Mark| {
            let times = self.marks.get(&mark).into_iter().flatten().copied();
            times.filter(move |at| (began..began + AFTER_WAVE_MS).contains(at))
        };
        StartWave {
            balancers: span(true),
            agents: span(false),
            daemons: starts.len(),
            first_configuration: after(Mark::Configuration).min(),
            first_reset: after(Mark::Reset).min(),
            first_answer: after(Mark::Answer).min(),
            last_refusal: after(Mark::Refusal).max(),
        }
    }

    /// Daemons that wrote lines in a stretch of spans and served nothing in it, while at
    /// least half of those that ever served something were busy.
    fn idle(&self) -> Vec<IdleDaemon> {
        let all: BTreeSet<i64> = self.served.values().flat_map(BTreeMap::keys).copied().collect();
        let busy: Vec<i64> =
            all.into_iter().filter(|span| self.median(*span) >= BUSY_MEDIAN).collect();
        let mut idle = Vec::new();
        for (node, served) in &self.served {
            let Some(spoke) = self.spoke.get(node) else { continue };
            // Before its first line a daemon may not have run.
            let first_line = spoke.first().copied().unwrap_or(i64::MAX);
            let is_unserved = |span: &i64| *span >= first_line && !served.contains_key(span);
            let unserved: Vec<i64> = busy.iter().copied().filter(is_unserved).collect();
            for stretch in unserved.chunk_by(|one, next| next - one == 1) {
                let (first, last) = (stretch[0], stretch[stretch.len() - 1]);
                let lives = spoke.range(first..=last).next().is_some();
                if lives && last - first + 1 >= SHORTEST_IDLE_SPANS {
                    idle.push(IdleDaemon {
                        node: node.clone(),
                        from_ms: first * SERVED_SPAN_MS,
                        to_ms: (last + 1) * SERVED_SPAN_MS,
                    });
                }
            }
        }
        idle
    }

    /// The median of what the daemons that ran by then served in a span.
    fn median(&self, span: i64) -> u32 {
        let ran =
            |node: &str| self.spoke.get(node).is_some_and(|spoke| spoke.first() <= Some(&span));
        let served = self.served.iter().filter(|(node, _)| ran(node));
        let mut served: Vec<u32> =
            served.map(|(_, spans)| spans.get(&span).copied().unwrap_or(0)).collect();
        served.sort_unstable();
        served.get(served.len() / 2).copied().unwrap_or(0)
    }
}

/// A line's event, with its outcome if it has one.
fn key_of(line: &LogLine) -> String {
    match line.text("outcome") {
        Some(outcome) => format!("{}:{outcome}", line.event),
        None => line.event.clone(),
    }
}
