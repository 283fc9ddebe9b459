//! Summarizes the logs of a fleet over time: log lines counted per interval, waves of starts and
//! the events after them, daemons that served nothing while others did, durations of steps, and
//! served, waiting and refused openings.
//!
//! Lines are processed one by one and not kept, so that a day of logs of a large fleet needs little
//! memory. What is kept is bounded: intervals, and flows with an unfinished step.

use std::collections::{BTreeMap, BTreeSet, HashMap};

use serde::Serialize;
use serde_json::Value;

use crate::merged_logs::LogLine;
use crate::route_load::{RouteClients, RouteLoads, ZoneLoad};

/// Maximum distance of an interval from the first line, in intervals. Lines farther away are
/// counted as left out.
const MAX_INTERVALS: i64 = 100_000;
/// Maximum number of flows with an unfinished step, for each kind of step.
const MAX_FLOWS: usize = 200_000;
/// Maximum number of durations kept for each kind of step.
const MAX_DURATIONS: usize = 1_000_000;
/// Maximum duration of a step. An end that is seen later belongs to another flow, because clients
/// reuse ports.
const MAX_STEP_MS: i64 = 5_000;
/// Two consecutive starts that are further apart belong to different waves.
const WAVE_GAP_MS: i64 = 700;
/// Minimum number of starts that are reported as a wave.
const MIN_WAVE_STARTS: usize = 2;
/// Time from the first start of a wave in which events are attributed to the wave.
const WAVE_EFFECT_MS: i64 = 30_000;
/// Length of the spans in which the daemons' numbers of requests are compared.
const SPAN_MS: i64 = 1_000;
/// Minimum median of requests per daemon for a span to count as busy. Daemons that served nothing
/// are reported only in busy spans.
const MIN_BUSY_MEDIAN: u32 = 5;
/// Minimum number of consecutive spans without a request for a daemon to be reported as idle.
const MIN_IDLE_SPANS: i64 = 2;

/// Selects the log lines that a timeline covers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TimelineOptions {
    /// Length of an interval in milliseconds, at least 1.
    pub every_ms: i64,
    /// Prefix of the names of the daemons to include; empty for all daemons.
    pub node: String,
    /// Beginning of the covered time, in milliseconds from the first line.
    pub from_ms: i64,
    /// End of the covered time (exclusive), in milliseconds from the first line.
    pub to_ms: i64,
}

impl Default for TimelineOptions {
    fn default() -> Self {
        Self { every_ms: 1_000, node: String::new(), from_ms: 0, to_ms: i64::MAX }
    }
}

/// Daemons that started together, and the events after it. Times are in milliseconds from the first
/// line.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct StartWave {
    /// First and last start of balancers.
    pub balancers: Option<(i64, i64)>,
    /// First and last start of agents.
    pub agents: Option<(i64, i64)>,
    /// Number of starts.
    pub daemons: usize,
    /// The first time that a daemon put a configuration into effect.
    pub first_configuration: Option<i64>,
    /// The first reset of a flow because no target held it.
    pub first_reset: Option<i64>,
    /// The first answer of any target.
    pub first_answer: Option<i64>,
    /// The last refusal of an opening.
    pub last_refusal: Option<i64>,
}

/// A daemon that wrote log lines but served nothing while others did.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct IdleDaemon {
    /// Name of the daemon.
    pub node: String,
    /// Beginning of the idle time, in milliseconds from the first line.
    pub from_ms: i64,
    /// End of the idle time, in milliseconds from the first line.
    pub to_ms: i64,
}

/// Distribution of a step's durations.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct StepDurations {
    /// Name of the step: its first and its last event.
    pub step: &'static str,
    /// Number of completed steps.
    pub count: usize,
    /// Median of the durations, in milliseconds.
    pub p50_ms: i64,
    /// 99th percentile of the durations, in milliseconds.
    pub p99_ms: i64,
}

/// Number of log lines in one interval.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Interval {
    /// Beginning of the interval, in milliseconds from the first line.
    pub at_ms: i64,
    /// Number of lines by event, or `event:outcome`; includes lines that the daemons suppressed
    /// because of their number.
    pub counts: BTreeMap<String, u64>,
}

/// Result of a [`Timeline`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct TimelineReport {
    /// Intervals with at least one line, ordered by time.
    pub intervals: Vec<Interval>,
    /// Starts of several daemons at about the same time.
    pub waves: Vec<StartWave>,
    /// Times in which a daemon served nothing while others did.
    pub idle: Vec<IdleDaemon>,
    /// Durations of the steps that were seen.
    pub steps: Vec<StepDurations>,
    /// Outcomes of openings by zone and route.
    pub zones: Vec<ZoneLoad>,
    /// Summary of the clients of each route.
    pub callers: Vec<RouteClients>,
    /// Number of lines that could not be parsed.
    pub unreadable: u64,
    /// Number of lines that were left out because they are too many intervals away from the first
    /// line, or because of too many flows with unfinished steps or too many clients.
    pub left_out: u64,
}

/// Summarizes log lines that are read one by one.
#[derive(Clone, Debug, Default)]
pub struct Timeline {
    options: TimelineOptions,
    /// Time of the first line, in milliseconds since the Unix epoch.
    first_line_at: Option<i64>,
    /// Number of lines by interval and key.
    counts: BTreeMap<i64, BTreeMap<String, u64>>,
    /// Time of each start, and whether a balancer started.
    starts: Vec<(i64, bool)>,
    /// Times of the events that are reported for waves.
    wave_events: BTreeMap<WaveEvent, Vec<i64>>,
    /// Number of requests by daemon and span.
    served: BTreeMap<String, BTreeMap<i64, u32>>,
    /// Spans in which each daemon wrote lines.
    active_spans: BTreeMap<String, BTreeSet<i64>>,
    /// Steps from a search to the reset of its flow, by daemon and flow.
    searches: StepTimes,
    /// Steps from an opening that was sent to the target's answer, by flow.
    openings: StepTimes,
    route_loads: RouteLoads,
    unreadable: u64,
    left_out: u64,
}

/// An event that is reported for waves.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum WaveEvent {
    Configuration,
    Reset,
    Answer,
    Refusal,
}

/// Start times of unfinished steps, and durations in milliseconds of finished ones.
#[derive(Clone, Debug, Default)]
struct StepTimes {
    started_at: HashMap<String, i64>,
    durations_ms: Vec<i64>,
}

impl StepTimes {
    /// Starts a step, unless one is in progress for the flow. Returns false if [`MAX_FLOWS`] steps
    /// are unfinished.
    fn begin(&mut self, flow: &str, at_ms: i64) -> bool {
        let has_space = self.started_at.len() < MAX_FLOWS;
        let in_progress =
            self.started_at.get(flow).is_some_and(|started_at| at_ms - started_at < MAX_STEP_MS);
        if has_space && !in_progress {
            self.started_at.insert(flow.to_owned(), at_ms);
        }
        has_space
    }

    /// Ends a flow's step, if one is in progress.
    fn end(&mut self, flow: &str, at_ms: i64) {
        if let Some(started_at) = self.started_at.remove(flow)
            && at_ms - started_at < MAX_STEP_MS
            && self.durations_ms.len() < MAX_DURATIONS
        {
            self.durations_ms.push((at_ms - started_at).max(0));
        }
    }

    /// Returns the distribution of the durations; `None` if no step has ended.
    fn report(&self, step: &'static str) -> Option<StepDurations> {
        let mut sorted = self.durations_ms.clone();
        sorted.sort_unstable();
        let percentile =
            |percent: usize| sorted.get((sorted.len() * percent / 100).min(sorted.len() - 1));
        let (p50_ms, p99_ms) =
            if sorted.is_empty() { return None } else { (percentile(50), percentile(99)) };
        Some(StepDurations { step, count: sorted.len(), p50_ms: *p50_ms?, p99_ms: *p99_ms? })
    }
}

impl Timeline {
    /// Creates a timeline without lines.
    pub fn new(options: TimelineOptions) -> Self {
        Self { options, ..Self::default() }
    }

    /// Reads a log line. All times are relative to the first line that is read.
    pub fn read_line(&mut self, text: &str) {
        if text.trim().is_empty() {
            return;
        }
        match LogLine::parse(text) {
            Some(line) => self.record(&line),
            None => self.unreadable += 1,
        }
    }

    /// Adds a line to all summaries if the options include it. Zones are stored from all lines,
    /// because a daemon may have started before the covered time.
    fn record(&mut self, line: &LogLine) {
        let at_ms = line.at_ms - *self.first_line_at.get_or_insert(line.at_ms);
        self.route_loads.note_zone(line);
        let is_inside = (self.options.from_ms..self.options.to_ms).contains(&at_ms);
        if !is_inside || !line.node.starts_with(&self.options.node) {
            return;
        }
        self.count(line, at_ms);
        self.record_start_or_wave_event(line, at_ms);
        self.record_activity(line, at_ms);
        self.record_step(line, at_ms);
        self.left_out += u64::from(!self.route_loads.record(line));
    }

    /// Counts a line in its interval.
    fn count(&mut self, line: &LogLine, at_ms: i64) {
        let interval = at_ms.div_euclid(self.options.every_ms);
        if interval.abs() > MAX_INTERVALS {
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

    /// Stores starts, and the times of events that are reported for waves.
    fn record_start_or_wave_event(&mut self, line: &LogLine, at_ms: i64) {
        let wave_event = match (line.event.as_str(), line.text("outcome")) {
            ("start", _) => {
                let is_balancer = line.text("service").is_none();
                return self.starts.push((at_ms, is_balancer));
            }
            ("configuration", _) => WaveEvent::Configuration,
            ("answered", _) => WaveEvent::Answer,
            ("reset", Some("nobody_holds")) => WaveEvent::Reset,
            ("reset", Some("overloaded" | "refused" | "no_target" | "evacuated")) => {
                WaveEvent::Refusal
            }
            _ => return,
        };
        self.wave_events.entry(wave_event).or_default().push(at_ms);
    }

    /// Stores in which spans a daemon wrote lines and how many requests it served.
    fn record_activity(&mut self, line: &LogLine, at_ms: i64) {
        let span = at_ms.div_euclid(SPAN_MS);
        if line.event == "request" {
            let served = self.served.entry(line.node.clone()).or_default();
            *served.entry(span).or_default() += 1;
        }
        self.active_spans.entry(line.node.clone()).or_default().insert(span);
    }

    /// Starts or ends the step that a line belongs to.
    fn record_step(&mut self, line: &LogLine, at_ms: i64) {
        let Some(flow) = line.text("flow") else { return };
        let search_key = || format!("{} {flow}", line.node);
        let confirmed = line.fields.get("confirmed").and_then(Value::as_bool);
        let has_space = match (line.event.as_str(), line.text("outcome"), confirmed) {
            ("search", ..) => self.searches.begin(&search_key(), at_ms),
            ("reset", Some("nobody_holds"), _) => {
                self.searches.end(&search_key(), at_ms);
                true
            }
            ("opening", ..) => self.openings.begin(flow, at_ms),
            ("answered", _, Some(false)) => {
                self.openings.end(flow, at_ms);
                true
            }
            _ => true,
        };
        self.left_out += u64::from(!has_space);
    }

    /// Returns the summary of all lines read so far.
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
            callers: self.route_loads.clients(),
            unreadable: self.unreadable,
            left_out: self.left_out,
        }
    }

    /// Groups the starts into waves.
    fn waves(&self) -> Vec<StartWave> {
        let mut starts = self.starts.clone();
        starts.sort_unstable();
        let waves = starts.chunk_by(|previous, next| next.0 - previous.0 <= WAVE_GAP_MS);
        waves.filter(|wave| wave.len() >= MIN_WAVE_STARTS).map(|wave| self.wave(wave)).collect()
    }

    /// Builds the report of one wave from its starts.
    fn wave(&self, starts: &[(i64, bool)]) -> StartWave {
        let span = |balancers: bool| {
            let mut of_role =
                starts.iter().filter(|start| start.1 == balancers).map(|start| start.0);
            let first = of_role.next()?;
            Some((first, of_role.next_back().unwrap_or(first)))
        };
        let first_start = starts.first().map_or(0, |start| start.0);
        let after = |wave_event: WaveEvent| {
            let times = self.wave_events.get(&wave_event).into_iter().flatten().copied();
            times.filter(move |at| (first_start..first_start + WAVE_EFFECT_MS).contains(at))
        };
        StartWave {
            balancers: span(true),
            agents: span(false),
            daemons: starts.len(),
            first_configuration: after(WaveEvent::Configuration).min(),
            first_reset: after(WaveEvent::Reset).min(),
            first_answer: after(WaveEvent::Answer).min(),
            last_refusal: after(WaveEvent::Refusal).max(),
        }
    }

    /// Returns daemons that wrote lines but served nothing in consecutive busy spans. A span is
    /// busy if at least half of the started daemons that ever served a request served
    /// [`MIN_BUSY_MEDIAN`] requests or more in it.
    fn idle(&self) -> Vec<IdleDaemon> {
        let all: BTreeSet<i64> = self.served.values().flat_map(BTreeMap::keys).copied().collect();
        let busy: Vec<i64> =
            all.into_iter().filter(|span| self.median_requests(*span) >= MIN_BUSY_MEDIAN).collect();
        let mut idle = Vec::new();
        for (node, served) in &self.served {
            let Some(active_spans) = self.active_spans.get(node) else { continue };
            // A daemon may not have been running before its first line.
            let first_line_span = active_spans.first().copied().unwrap_or(i64::MAX);
            let is_unserved = |span: &i64| *span >= first_line_span && !served.contains_key(span);
            let unserved: Vec<i64> = busy.iter().copied().filter(is_unserved).collect();
            for run in unserved.chunk_by(|previous, next| next - previous == 1) {
                let (first, last) = (run[0], run[run.len() - 1]);
                let is_running = active_spans.range(first..=last).next().is_some();
                if is_running && last - first + 1 >= MIN_IDLE_SPANS {
                    idle.push(IdleDaemon {
                        node: node.clone(),
                        from_ms: first * SPAN_MS,
                        to_ms: (last + 1) * SPAN_MS,
                    });
                }
            }
        }
        idle
    }

    /// Returns the median number of requests in a span over the daemons that had started by then.
    fn median_requests(&self, span: i64) -> u32 {
        let had_started = |node: &str| {
            self.active_spans
                .get(node)
                .is_some_and(|active_spans| active_spans.first() <= Some(&span))
        };
        let running = self.served.iter().filter(|(node, _)| had_started(node));
        let mut served: Vec<u32> =
            running.map(|(_, spans)| spans.get(&span).copied().unwrap_or(0)).collect();
        served.sort_unstable();
        served.get(served.len() / 2).copied().unwrap_or(0)
    }
}

/// Returns the key that a line is counted by: its event, with its outcome if it has one.
fn key_of(line: &LogLine) -> String {
    match line.text("outcome") {
        Some(outcome) => format!("{}:{outcome}", line.event),
        None => line.event.clone(),
    }
}
