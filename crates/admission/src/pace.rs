//! The pace at which flows are really served. It owns two means of it, a quick and a slow one, and tells the lower: a pace that falls
//! tenfold within a second is believed at once, one that rises only after a while, since what is told of it is a promise.

use nettlemux_policy::{SEC, Time};

/// Spans of the two means, in seconds.
const SPANS: [f64; 2] = [0.5, 4.0];
/// Before anyone was served the pace is taken for this, and it never counts for less than a tenth: return times are bounded anyhow.
const UNKNOWN: f64 = 10.0;
const LEAST: f64 = 0.1;

#[derive(Default)]
pub struct ServiceRate {
    means: [f64; 2],
    at: Time,
    counted: bool,
}

impl ServiceRate {
    /// One was served.
    pub fn count(&mut self, now: Time) {
        if !self.counted {
            (self.counted, self.at, self.means) = (true, now, [UNKNOWN; 2]);
        }
        self.look(now);
        for (mean, span) in self.means.iter_mut().zip(SPANS) {
            *mean += 1.0 / span;
        }
    }

    /// Time has passed.
    pub fn look(&mut self, now: Time) {
        let passed = now.saturating_sub(self.at) as f64 / SEC as f64;
        self.at = self.at.max(now);
        for (mean, span) in self.means.iter_mut().zip(SPANS) {
            *mean *= (-passed / span).exp();
        }
    }

    /// Flows a second, the lower of the two means.
    pub fn slowest(&self) -> f64 {
        if !self.counted {
            return UNKNOWN;
        }
        self.means[0].min(self.means[1]).max(LEAST)
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use nettlemux_policy::MS;

    #[test]
    fn a_fall_is_believed_at_once_and_a_rise_later() {
        let mut pace = ServiceRate::default();
        assert_eq!(pace.slowest(), UNKNOWN);
        let serve = |pace: &mut ServiceRate, from: Time, seconds: u64, a_second: u64| {
            (0..seconds * a_second).for_each(|k| pace.count(from + k * SEC / a_second));
        };
        serve(&mut pace, 0, 20, 50);
        assert!((40.0..60.0).contains(&pace.slowest()), "{}", pace.slowest());
        serve(&mut pace, 20 * SEC, 1, 5);
        pace.look(21 * SEC);
        assert!(pace.slowest() < 15.0, "{}", pace.slowest());
        serve(&mut pace, 21 * SEC, 1, 50);
        pace.look(22 * SEC + MS);
        assert!(pace.slowest() < 45.0, "{}", pace.slowest());
        // Clocks that step back change nothing.
        let before = pace.slowest();
        pace.look(0);
        assert_eq!(pace.slowest(), before);
    }
}
