//! Samples slots in use and works out imbalance over windows of one second.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use tokio::time::interval;

use crate::standin::back_end::BackEnd;

/// Time between two samples.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(10);
/// Samples in one window of a second.
const SAMPLES_PER_WINDOW: u32 = 100;

/// The targets of one service.
#[derive(Clone)]
pub struct SampledService {
    /// Name of the service.
    pub name: String,
    /// The service's back ends with their numbers over all services.
    pub back_ends: Vec<(usize, BackEnd)>,
}

/// Mean slots in use of each target over one window.
#[derive(Clone, Debug, PartialEq)]
pub struct Window {
    /// Mean per target, in the order of [`SampledService::back_ends`].
    pub means: Vec<f64>,
    /// Whether each target was active during the whole window.
    pub active: Vec<bool>,
}

impl Window {
    /// The busiest target's mean over the mean of the active targets; none when
    /// they were idle.
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

/// Imbalance of one service over all windows.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Imbalance {
    /// Median over the windows.
    pub median: f64,
    /// 99th percentile over the windows.
    pub p99: f64,
}

/// Works out imbalance over windows; none without a busy window.
pub fn imbalance(windows: &[Window]) -> Option<Imbalance> {
    let mut values: Vec<f64> = windows.iter().filter_map(Window::imbalance).collect();
    values.sort_by(f64::total_cmp);
    Some(Imbalance { median: percentile(&values, 0.5)?, p99: percentile(&values, 0.99)? })
}

/// The value below which the share `rank` of sorted values lies.
pub fn percentile(sorted: &[f64], rank: f64) -> Option<f64> {
    let place = (rank * sorted.len() as f64).ceil() as usize;
    sorted.get(place.saturating_sub(1)).copied()
}

/// Samples one service until `ending` is set, and returns its whole windows.
/// `is_active` tells whether a target takes new flows at this moment.
pub async fn sample(
    service: SampledService,
    is_active: impl Fn(usize) -> bool,
    ending: Arc<AtomicBool>,
) -> Vec<Window> {
    let count = service.back_ends.len();
    let mut windows = Vec::new();
    let mut ticks = interval(SAMPLE_INTERVAL);
    let mut sums = vec![0.0; count];
    let mut active = vec![true; count];
    let mut samples = 0;
    while !ending.load(Ordering::Relaxed) {
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
