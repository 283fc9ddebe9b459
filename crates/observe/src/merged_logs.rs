//! Merges the log lines of many machines and selects those about one request, flow or machine.
//!
//! The machines' clocks differ. An agent logs the answer to an opening packet after a balancer
//! logged that it sent the packet, so each pair of such lines bounds the offset between the two
//! clocks. The agent's times are corrected by the median over all its pairs if the median is
//! large.

use std::collections::{BTreeMap, BTreeSet, HashMap};

use serde_json::{Map, Value};

/// Event logged by a balancer that sends an opening packet to an agent.
const OPENING: &str = "opening";
/// Event logged by an agent whose target answered.
const ANSWERED: &str = "answered";
/// Event logged when a request begins on a flow.
const REQUEST: &str = "request";
/// Minimum median difference that is treated as a clock offset. Smaller differences are the delay
/// between machines and the target's response time.
const MIN_CLOCK_OFFSET_MS: i64 = 30;
/// Lines of a request's flow are included from this time before the request's first line.
const INCLUDED_BEFORE_MS: i64 = 2_000;
/// Lines of a request's flow are included up to this time after the request's last line.
const INCLUDED_AFTER_MS: i64 = 5_000;

/// A parsed log line.
#[derive(Clone, Debug, PartialEq)]
pub struct LogLine {
    /// Name of the daemon that wrote the line.
    pub node: String,
    /// Milliseconds since the Unix epoch, by the machine's own clock.
    pub at_ms: i64,
    /// Value of the key `event`.
    pub event: String,
    /// All keys and values of the line.
    pub fields: Map<String, Value>,
}

/// Selects the log lines to show.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Subject {
    /// Lines about the request with this identifier, and about its flow around that time.
    Request(String),
    /// Lines about the flow `client:port>address:port`.
    Flow(String),
    /// All lines of the daemon with this name.
    Node(String),
}

/// Log lines of any number of machines.
#[derive(Clone, Debug, Default)]
pub struct MergedLogs {
    lines: Vec<LogLine>,
    unreadable: usize,
}

/// A log line with its corrected time.
#[derive(Clone, Debug, PartialEq)]
pub struct MergedLine {
    /// Milliseconds since the Unix epoch, corrected by the offset of the machine's clock.
    pub at_ms: i64,
    /// The line as logged.
    pub line: LogLine,
}

impl MergedLogs {
    /// Adds the lines of a log. Lines that cannot be parsed are only counted.
    pub fn read(&mut self, text: &str) {
        for line in text.lines().filter(|line| !line.trim().is_empty()) {
            match LogLine::parse(line) {
                Some(line) => self.lines.push(line),
                None => self.unreadable += 1,
            }
        }
    }

    /// Returns the number of lines that could not be parsed.
    pub fn unreadable(&self) -> usize {
        self.unreadable
    }

    /// Returns the milliseconds by which an agent's clock is ahead of the balancers' clocks, by the
    /// agent's name. Agents with a small offset are left out.
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
        let large = medians.filter(|(_, median)| median.abs() >= MIN_CLOCK_OFFSET_MS);
        large.map(|(node, median)| (node.to_owned(), median)).collect()
    }

    /// Returns the lines about a subject, ordered by corrected time.
    pub fn lines_about(&self, subject: &Subject) -> Vec<MergedLine> {
        let offsets = self.clock_offsets();
        let corrected = |line: &LogLine| line.at_ms - offsets.get(&line.node).unwrap_or(&0);
        let matches: Box<dyn Fn(&LogLine) -> bool + '_> = match subject {
            Subject::Flow(flow) => Box::new(move |line| line.text("flow") == Some(flow)),
            Subject::Node(node) => Box::new(move |line| line.node == *node),
            Subject::Request(id) => {
                let (flows, from, to) = self.flows_and_span(id, &corrected);
                let corrected = &corrected;
                Box::new(move |line: &LogLine| {
                    let on_flow = line.text("flow").is_some_and(|flow| flows.contains(flow));
                    let is_other_request =
                        line.event == REQUEST && line.text("request") != Some(id);
                    on_flow && !is_other_request && (from..=to).contains(&corrected(line))
                })
            }
        };
        let matching = self.lines.iter().filter(|line| matches(line));
        let mut selected: Vec<MergedLine> = matching
            .map(|line| MergedLine { at_ms: corrected(line), line: line.clone() })
            .collect();
        selected.sort_by_key(|selected| selected.at_ms);
        selected
    }

    /// Returns the flows of a request, and the first and last time for which lines about these
    /// flows are included.
    fn flows_and_span(
        &self,
        id: &str,
        corrected: &impl Fn(&LogLine) -> i64,
    ) -> (BTreeSet<String>, i64, i64) {
        let of_request = self.lines.iter().filter(|line| line.text("request") == Some(id));
        let flows = of_request.clone().filter_map(|line| line.text("flow").map(str::to_owned));
        let first = of_request.clone().map(corrected).min().unwrap_or(0);
        let last = of_request.clone().map(corrected).max().unwrap_or(0);
        (flows.collect(), first - INCLUDED_BEFORE_MS, last + INCLUDED_AFTER_MS)
    }

    /// Returns each daemon's address by its name, from the `start` lines.
    fn addresses(&self) -> HashMap<&str, &str> {
        let starts = self.lines.iter().filter(|line| line.event == "start");
        starts.filter_map(|line| Some((line.node.as_str(), line.text("address")?))).collect()
    }
}

impl LogLine {
    /// Parses a line; text before the JSON object is ignored.
    pub(crate) fn parse(line: &str) -> Option<Self> {
        let object = &line[line.find('{')?..];
        let Ok(Value::Object(fields)) = serde_json::from_str(object) else { return None };
        let text = |field: &str| fields.get(field).and_then(Value::as_str).map(str::to_owned);
        let at_ms = humantime::parse_rfc3339(&text("ts")?).ok()?;
        let at_ms = at_ms.duration_since(std::time::UNIX_EPOCH).ok()?.as_millis();
        let at_ms = i64::try_from(at_ms).ok()?;
        Some(Self { node: text("node")?, event: text("event")?, at_ms, fields })
    }

    /// Returns the value of a field if it is a string.
    pub fn text(&self, field: &str) -> Option<&str> {
        self.fields.get(field).and_then(Value::as_str)
    }
}
