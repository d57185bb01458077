//! A token bucket.

const NANOSECONDS: f64 = 1e9;

/// So many a second, and so many at once. Times are nanoseconds of the caller's clock.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Budget {
    per_second: f64,
    burst: f64,
    left: f64,
    as_of: u64,
}

impl Budget {
    /// A full budget.
    pub fn new(per_second: f64, burst: f64) -> Self {
        Budget {
            per_second,
            burst,
            left: burst,
            as_of: 0,
        }
    }

    /// What may be taken now. A clock that goes back brings nothing.
    pub fn left(&self, now: u64) -> f64 {
        let grown = self.per_second * now.saturating_sub(self.as_of) as f64 / NANOSECONDS;
        (self.left + grown).min(self.burst)
    }

    /// Takes so much, or nothing where not all of it is left.
    pub fn take(&mut self, now: u64, cost: f64) -> bool {
        let left = self.left(now) - cost;
        if left < 0.0 {
            return false;
        }
        (self.left, self.as_of) = (left, now.max(self.as_of));
        true
    }
}
