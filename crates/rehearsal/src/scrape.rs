//! Reads the daemons' metrics at the end of a rehearsal.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use weirhinge_document_source::{Fetched, fetch};

/// Timeout of one daemon's response.
const SCRAPE_TIMEOUT: Duration = Duration::from_secs(2);
/// Prefix of every metric name.
const PREFIX: &str = "weirhinge_";

/// Counters summed over daemons, by name (without prefix and `_total`) and labels.
pub type Counters = BTreeMap<String, u64>;

/// Sums the counters of all daemons that respond; others are skipped.
pub async fn scrape_all(daemons: &[SocketAddr]) -> Counters {
    let mut sums = Counters::new();
    for &daemon in daemons {
        if let Ok(Fetched::Body { bytes, .. }) =
            fetch(daemon, "/metrics", None, SCRAPE_TIMEOUT).await
        {
            add_counters(&mut sums, &String::from_utf8_lossy(&bytes));
        }
    }
    sums
}

/// Adds the counters in one daemon's metrics text; gauges are skipped.
fn add_counters(sums: &mut Counters, text: &str) {
    for line in text.lines() {
        let Some((name, value)) = line.rsplit_once(' ') else {
            continue;
        };
        let Some(name) = name.strip_prefix(PREFIX) else {
            continue;
        };
        let is_counter = name.split('{').next().is_some_and(|name| name.ends_with("_total"));
        if let (true, Ok(value)) = (is_counter, value.parse::<u64>()) {
            *sums.entry(name.replace("_total", "")).or_default() += value;
        }
    }
}
