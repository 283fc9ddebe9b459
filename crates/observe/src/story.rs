//! Puts the log lines of many machines together into the story of one request,
//! flow or machine.
//!
//! Machines' clocks differ. An agent answers an opening packet after a balancer
//! sent it, so that each pair of such lines bounds the difference of two clocks;
//! the median over all pairs corrects the agent's times where it is large.

use std::collections::{BTreeMap, BTreeSet, HashMap};

use serde_json::{Map, Value};

/// Event of a balancer that sends an opening packet to an agent.
const OPENING: &str = "opening";
/// Event of an agent whose target answered.
const ANSWERED: &str = "answered";
/// Event of a request that begins on a flow.
const REQUEST: &str = "request";
/// Smallest difference that is taken for one of clocks.
const SMALLEST_DIFFERENCE_MS: i64 = 30;
/// Time before a request's first line from which its flow's lines are told.
const BEFORE_MS: i64 = 2_000;
/// Time after a request's last line up to which its flow's lines are told.
const AFTER_MS: i64 = 5_000;

/// One line of a log.
#[derive(Clone, Debug, PartialEq)]
pub struct LogLine {
    /// The machine that wrote it.
    pub node: String,
    /// Time of day in milliseconds, by the machine's own clock.
    pub at_ms: i64,
    /// What happened.
    pub event: String,
    /// All fields.
    pub fields: Map<String, Value>,
}

/// What a story is about.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Subject {
    /// The request with this identifier.
    Request(String),
    /// The flow `client:port>address:port`.
    Flow(String),
    /// All lines of one machine.
    Node(String),
}

/// Lines of all machines.
#[derive(Clone, Debug, Default)]
pub struct Story {
    lines: Vec<LogLine>,
    unreadable: usize,
}

/// One line of a story with its corrected time.
#[derive(Clone, Debug, PartialEq)]
pub struct StoryLine {
    /// Corrected time of day in milliseconds.
    pub at_ms: i64,
    /// The line.
    pub line: LogLine,
}

impl Story {
    /// Reads the lines of one log. Lines that cannot be read are counted.
    pub fn read(&mut self, text: &str) {
        for line in text.lines().filter(|line| !line.trim().is_empty()) {
            match LogLine::parse(line) {
                Some(line) => self.lines.push(line),
                None => self.unreadable += 1,
            }
        }
    }

    /// Lines that could not be read.
    pub fn unreadable(&self) -> usize {
        self.unreadable
    }

    /// Milliseconds by which each machine's clock is ahead of the balancers'.
    pub fn clock_offsets(&self) -> BTreeMap<String, i64> {
        let mut sent: HashMap<(&str, &str), (&str, i64)> = HashMap::new();
        for line in self.lines.iter().filter(|line| line.event == OPENING) {
            if let (Some(flow), Some(agent)) = (line.text("flow"), line.text("agent")) {
                sent.insert((flow, agent), (&line.node, line.at_ms));
            }
        }
        let addresses = self.addresses();
        let mut differences: BTreeMap<&str, Vec<i64>> = BTreeMap::new();
        for line in self.lines.iter().filter(|line| line.event == ANSWERED) {
            let address = addresses.get(line.node.as_str());
            let (Some(flow), Some(address)) = (line.text("flow"), address) else { continue };
            if let Some((_, sent_at)) = sent.get(&(flow, *address)) {
                differences.entry(&line.node).or_default().push(line.at_ms - sent_at);
            }
        }
        let median = |mut values: Vec<i64>| {
            values.sort_unstable();
            values[values.len() / 2]
        };
        let medians = differences.into_iter().map(|(node, values)| (node, median(values)));
        // Less than this is the journey between machines and a target's answer.
        let differing = medians.filter(|(_, median)| median.abs() >= SMALLEST_DIFFERENCE_MS);
        differing.map(|(node, median)| (node.to_owned(), median)).collect()
    }

    /// The lines about a subject in the order of their corrected times.
    pub fn tell(&self, subject: &Subject) -> Vec<StoryLine> {
        let offsets = self.clock_offsets();
        let corrected = |line: &LogLine| line.at_ms - offsets.get(&line.node).unwrap_or(&0);
        let is_wanted: Box<dyn Fn(&LogLine) -> bool + '_> = match subject {
            Subject::Flow(flow) => Box::new(move |line| line.text("flow") == Some(flow)),
            Subject::Node(node) => Box::new(move |line| line.node == *node),
            Subject::Request(id) => {
                let (flows, from, to) = self.span_of(id, &corrected);
                let corrected = &corrected;
                Box::new(move |line: &LogLine| {
                    let on_flow = line.text("flow").is_some_and(|flow| flows.contains(flow));
                    let other = line.event == REQUEST && line.text("request") != Some(id);
                    on_flow && !other && (from..=to).contains(&corrected(line))
                })
            }
        };
        let wanted = self.lines.iter().filter(|line| is_wanted(line));
        let mut told: Vec<StoryLine> =
            wanted.map(|line| StoryLine { at_ms: corrected(line), line: line.clone() }).collect();
        told.sort_by_key(|told| told.at_ms);
        told
    }

    /// The flows of a request and the time around its lines.
    fn span_of(
        &self,
        id: &str,
        corrected: &impl Fn(&LogLine) -> i64,
    ) -> (BTreeSet<String>, i64, i64) {
        let about = self.lines.iter().filter(|line| line.text("request") == Some(id));
        let flows = about.clone().filter_map(|line| line.text("flow").map(str::to_owned));
        let first = about.clone().map(corrected).min().unwrap_or(0);
        let last = about.clone().map(corrected).max().unwrap_or(0);
        (flows.collect(), first - BEFORE_MS, last + AFTER_MS)
    }

    /// Each machine's address, from its start line or its name in others' lines.
    fn addresses(&self) -> HashMap<&str, &str> {
        let starts = self.lines.iter().filter(|line| line.event == "start");
        starts.filter_map(|line| Some((line.node.as_str(), line.text("address")?))).collect()
    }
}

impl LogLine {
    /// Reads a line; text before the JSON object is passed over.
    pub(crate) fn parse(line: &str) -> Option<Self> {
        let object = &line[line.find('{')?..];
        let Ok(Value::Object(fields)) = serde_json::from_str(object) else { return None };
        let text = |field: &str| fields.get(field).and_then(Value::as_str).map(str::to_owned);
        let at_ms = humantime::parse_rfc3339(&text("ts")?).ok()?;
        let at_ms = at_ms.duration_since(std::time::UNIX_EPOCH).ok()?.as_millis();
        let at_ms = i64::try_from(at_ms).ok()?;
        Some(Self { node: text("node")?, event: text("event")?, at_ms, fields })
    }

    /// A field's text.
    pub fn text(&self, field: &str) -> Option<&str> {
        self.fields.get(field).and_then(Value::as_str)
    }
}
