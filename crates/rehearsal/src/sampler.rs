//! Samples slots in use and computes load imbalance over windows of one second.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use tokio::time::interval;

use crate::standin::back_end::BackEnd;

/// Interval between two samples.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(10);
/// Number of samples in a window of one second.
const SAMPLES_PER_WINDOW: u32 = 100;

/// The back ends of one service.
#[derive(Clone)]
pub struct SampledService {
    /// Name of the service.
    pub name: String,
    /// The service's back ends with their target numbers.
    pub back_ends: Vec<(usize, BackEnd)>,
}

/// Mean number of slots in use per target over one window.
#[derive(Clone, Debug, PartialEq)]
pub struct Window {
    /// Mean per target, in the order of [`SampledService::back_ends`].
    pub means: Vec<f64>,
    /// Whether each target was active during the whole window.
    pub active: Vec<bool>,
}

impl Window {
    /// Returns the ratio of the busiest target's mean to the mean of the active
    /// targets, or `None` if those were idle.
    pub fn imbalance(&self) -> Option<f64> {
        let active: Vec<f64> = self
            .means
            .iter()
            .zip(&self.active)
            .filter_map(|(&mean, &active)| active.then_some(mean))
            .collect();
        let mean = active.iter().sum::<f64>() / active.len().max(1) as f64;
        let busiest = self.means.iter().copied().fold(0.0, f64::max);
        (mean > 0.0).then_some(busiest / mean)
    }
}

/// Imbalance of one service across all windows.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Imbalance {
    /// Median of the windows.
    pub median: f64,
    /// 99th percentile of the windows.
    pub p99: f64,
}

/// Computes the imbalance across windows; `None` if every window was idle.
pub fn imbalance(windows: &[Window]) -> Option<Imbalance> {
    let mut values: Vec<f64> = windows.iter().filter_map(Window::imbalance).collect();
    values.sort_by(f64::total_cmp);
    Some(Imbalance { median: percentile(&values, 0.5)?, p99: percentile(&values, 0.99)? })
}

/// Returns the value at `rank` (0 to 1) of sorted values, by the nearest-rank method.
pub fn percentile(sorted: &[f64], rank: f64) -> Option<f64> {
    let position = (rank * sorted.len() as f64).ceil() as usize;
    sorted.get(position.saturating_sub(1)).copied()
}

/// Samples one service until `stop` is set and returns its complete windows.
/// `is_active` returns whether a target currently accepts new flows.
pub async fn sample(
    service: SampledService,
    is_active: impl Fn(usize) -> bool,
    stop: Arc<AtomicBool>,
) -> Vec<Window> {
    let count = service.back_ends.len();
    let mut windows = Vec::new();
    let mut ticks = interval(SAMPLE_INTERVAL);
    let mut sums = vec![0.0; count];
    let mut active = vec![true; count];
    let mut samples = 0;
    while !stop.load(Ordering::Relaxed) {
        ticks.tick().await;
        for (index, (target, back_end)) in service.back_ends.iter().enumerate() {
            sums[index] += f64::from(back_end.slots_in_use());
            active[index] &= is_active(*target);
        }
        samples += 1;
        if samples == SAMPLES_PER_WINDOW {
            let means = sums.iter().map(|sum| sum / f64::from(samples)).collect();
            windows.push(Window { means, active: active.clone() });
            sums.fill(0.0);
            active.fill(true);
            samples = 0;
        }
    }
    windows
}
