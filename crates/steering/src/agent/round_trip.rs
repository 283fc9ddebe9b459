//! How long admitted flows take until their first request comes.
//!
//! An admitted flow holds room at the target until then. Some never bring a request: their
//! clients gave up, or went on with another target. The shorter the wait for them, the
//! less room they take from others; too short, and a target gets more than it has room for.

use weirhinge_fleet::Millis;

/// Shortest wait: a journey on a fast network, with room for a client that is busy.
const SHORTEST_MS: Millis = 15;
/// Longest wait, and the one before anything was measured.
const LONGEST_MS: Millis = 60;
/// The smoothed mean and deviation take an eighth and a quarter of each new sample, and the
/// wait is the mean and four deviations: the retransmission timer of RFC 6298.
const MEAN_GAIN: i64 = 8;
const DEVIATION_GAIN: i64 = 4;
const DEVIATIONS: i64 = 4;
/// Values are kept in these parts of a millisecond.
const SCALE: i64 = 64;

/// Smoothed mean and deviation, in 64ths of a millisecond.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct RoundTrip {
    measured: Option<(i64, i64)>,
}

impl RoundTrip {
    /// Takes in the time from an admission to the flow's first request.
    pub(super) fn note(&mut self, took: Millis) {
        let sample = took.min(LONGEST_MS) as i64 * SCALE;
        self.measured = Some(match self.measured {
            None => (sample, sample / 2),
            Some((mean, deviation)) => {
                let error = sample - mean;
                let deviation = deviation + (error.abs() - deviation) / DEVIATION_GAIN;
                (mean + error / MEAN_GAIN, deviation)
            }
        });
    }

    /// Time in which the first request of an admitted flow is expected.
    pub(super) fn expected_within(&self) -> Millis {
        let Some((mean, deviation)) = self.measured else { return LONGEST_MS };
        let wait = (mean + DEVIATIONS * deviation) / SCALE;
        wait.unsigned_abs().clamp(SHORTEST_MS, LONGEST_MS)
    }
}
