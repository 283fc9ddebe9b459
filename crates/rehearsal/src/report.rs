//! Formats a verdict as readable text.

use std::fmt::Write;

use crate::verdict::Verdict;

/// Formats a verdict as a short table.
pub fn table(name: &str, verdict: &Verdict) -> String {
    let mut text = String::new();
    let mut line = |label: &str, value: String| {
        // Writing to a string cannot fail.
        let _ = writeln!(text, "  {label:<52} {value}");
    };
    line("flows opened", verdict.flows_opened.to_string());
    line("flows refused (nothing was sent)", verdict.flows_refused.to_string());
    line("flows lost with a killed agent", verdict.flows_lost_with_machine.to_string());
    line("feed updates", verdict.feed_updates.to_string());
    line("requests answered", verdict.requests_answered.to_string());
    line("requests reported as not run", verdict.requests_not_run.to_string());
    line("latency p50 / p99", format!("{} / {} ms", verdict.p50_ms, verdict.p99_ms));
    for (service, median) in &verdict.imbalance {
        let p99 = verdict.imbalance_p99.get(service).copied().unwrap_or_default();
        line(&format!("imbalance of {service}, median / p99"), format!("{median} / {p99}"));
    }
    for promise in verdict.promises() {
        let label = format!("violations: {}", promise.promise);
        line(&label, promise.violations.to_string());
    }
    for broken in &verdict.first_breaks {
        line("broken", broken.clone());
    }
    for refused in &verdict.first_refusals {
        line("refused", refused.clone());
    }
    let outcome = if verdict.held { "every promise held" } else { "A PROMISE WAS BROKEN" };
    format!("rehearsal {name}: {outcome}\n{text}")
}
