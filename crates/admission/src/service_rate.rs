//! The rate at which flows are served.

#[cfg(test)]
mod tests;

use nettlemux_policy::{SEC, Time};

/// The time constants of the two moving averages, in seconds.
const TIME_CONSTANTS: [f64; 2] = [0.5, 4.0];
/// The estimate before any flow was served, in flows per second.
const INITIAL_RATE: f64 = 10.0;
/// The lowest estimate, in flows per second. A lower one makes no difference, as Retry-After times
/// are bounded.
const RATE_MIN: f64 = 0.1;

/// An estimate of the rate at which flows are served: the lower of a fast and a slow exponentially
/// weighted moving average. The estimate follows a tenfold fall within a second but a rise only
/// slowly, because clients rely on the Retry-After derived from it, which is too short if the
/// estimate is too high.
#[derive(Default)]
pub struct ServiceRate {
    averages: [f64; 2],
    updated_at: Time,
    has_samples: bool,
}

impl ServiceRate {
    /// Records a served flow.
    pub fn record(&mut self, now: Time) {
        if !self.has_samples {
            self.has_samples = true;
            self.updated_at = now;
            self.averages = [INITIAL_RATE; 2];
        }
        self.decay(now);
        for (average, time_constant) in self.averages.iter_mut().zip(TIME_CONSTANTS) {
            *average += 1.0 / time_constant;
        }
    }

    /// Applies the decay of the averages since the last update.
    pub fn decay(&mut self, now: Time) {
        let elapsed = now.saturating_sub(self.updated_at) as f64 / SEC as f64;
        self.updated_at = self.updated_at.max(now);
        for (average, time_constant) in self.averages.iter_mut().zip(TIME_CONSTANTS) {
            *average *= (-elapsed / time_constant).exp();
        }
    }

    /// Returns the estimate, in flows per second.
    pub fn per_second(&self) -> f64 {
        if !self.has_samples {
            return INITIAL_RATE;
        }
        self.averages[0].min(self.averages[1]).max(RATE_MIN)
    }
}
