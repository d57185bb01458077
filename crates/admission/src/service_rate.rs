//! The rate at which flows are served.

#[cfg(test)]
mod tests;

use nettlemux_policy::{SEC, Time};

/// Time constants of the two averages, in seconds.
const TIME_CONSTANTS: [f64; 2] = [0.5, 4.0];
/// The rate before any flow was served, in flows a second.
const INITIAL_RATE: f64 = 10.0;
/// The least rate that is estimated, in flows a second: Retry-After times are bounded anyhow.
const RATE_MIN: f64 = 0.1;

/// An estimate of the rate at which flows are served: the lower of two exponentially weighted
/// moving averages, a quick and a slow one. A tenfold fall shows within a second and a rise only
/// after a while, since a Retry-After that follows from the estimate is a promise.
#[derive(Default)]
pub struct ServiceRate {
    averages: [f64; 2],
    updated_at: Time,
    has_samples: bool,
}

impl ServiceRate {
    /// Counts a flow that was served.
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

    /// Lets the averages decay over the time that has passed.
    pub fn decay(&mut self, now: Time) {
        let elapsed = now.saturating_sub(self.updated_at) as f64 / SEC as f64;
        self.updated_at = self.updated_at.max(now);
        for (average, time_constant) in self.averages.iter_mut().zip(TIME_CONSTANTS) {
            *average *= (-elapsed / time_constant).exp();
        }
    }

    /// Returns the estimate, in flows a second.
    pub fn per_second(&self) -> f64 {
        if !self.has_samples {
            return INITIAL_RATE;
        }
        self.averages[0].min(self.averages[1]).max(RATE_MIN)
    }
}
