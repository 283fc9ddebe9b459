//! Measures the time from the admission of a flow to its first request.
//!
//! An admitted flow occupies capacity of the target until then. Some flows never send a request,
//! because their clients gave up or continued with another target. A shorter timeout frees their
//! capacity sooner; one that is too short overloads the target.

use weirhinge_fleet::Millis;

/// Lower bound of the timeout: a round trip on a fast network, with allowance for a busy client.
const MIN_TIMEOUT_MS: Millis = 15;
/// Upper bound of the timeout, and its value before the first measurement.
const MAX_TIMEOUT_MS: Millis = 60;
/// Each sample contributes an eighth to the smoothed mean and a quarter to the smoothed deviation.
/// The timeout is the mean plus four deviations, like the retransmission timer of RFC 6298.
const MEAN_GAIN: i64 = 8;
const DEVIATION_GAIN: i64 = 4;
const DEVIATIONS: i64 = 4;
/// Fixed-point scale of the stored values, in units per millisecond.
const SCALE: i64 = 64;

/// Estimates the timeout for first requests from the smoothed mean and deviation, in 64ths of a
/// millisecond.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct RoundTrip {
    measured: Option<(i64, i64)>,
}

impl RoundTrip {
    /// Records the time from an admission to the flow's first request.
    pub(super) fn record(&mut self, took: Millis) {
        let sample = took.min(MAX_TIMEOUT_MS) as i64 * SCALE;
        self.measured = Some(match self.measured {
            None => (sample, sample / 2),
            Some((mean, deviation)) => {
                let error = sample - mean;
                let deviation = deviation + (error.abs() - deviation) / DEVIATION_GAIN;
                (mean + error / MEAN_GAIN, deviation)
            }
        });
    }

    /// Returns how long to expect the first request of an admitted flow.
    pub(super) fn timeout(&self) -> Millis {
        let Some((mean, deviation)) = self.measured else { return MAX_TIMEOUT_MS };
        let timeout = (mean + DEVIATIONS * deviation) / SCALE;
        timeout.unsigned_abs().clamp(MIN_TIMEOUT_MS, MAX_TIMEOUT_MS)
    }
}
