//! The limit of concurrent attempts in flight: additive increase, multiplicative decrease (AIMD).

use crate::types::{MS, Time};

/// Upper bound of the limit with which a balancer starts.
const INITIAL_LIMIT_MAX: f64 = 8.0;
/// Initial limit of all balancers together.
const INITIAL_LIMIT_OF_ALL_BALANCERS: f64 = 600.0;
/// Lower bound of the limit. One attempt in sixteen intervals still notices a recovery before
/// clients give up for good.
const CONCURRENCY_LIMIT_MIN: f64 = 1.0 / 16.0;
/// The limit decreases at most once in this interval, because attempts that are made together fail
/// together.
const LIMIT_DECREASE_INTERVAL: Time = 250 * MS;

/// The limit of attempts in flight. It increases when attempts connect. It decreases when healthy
/// servers fail or answer late, which is the sign of a fault that the servers share.
#[derive(Clone, Copy)]
pub(crate) struct ConcurrencyLimit {
    initial: f64,
    limit: f64,
    /// Below this value the limit increases by one for each attempt that connects; from here on it
    /// increases by one per round of attempts, as in TCP congestion control.
    slow_start_threshold: f64,
    decreased_at: Time,
}

impl ConcurrencyLimit {
    /// Creates the limit of one of this many balancers.
    pub(crate) fn new(balancers: f64) -> Self {
        let initial = (INITIAL_LIMIT_OF_ALL_BALANCERS / balancers).clamp(1.0, INITIAL_LIMIT_MAX);
        ConcurrencyLimit {
            initial,
            limit: initial,
            slow_start_threshold: f64::INFINITY,
            decreased_at: 0,
        }
    }

    /// Takes over the limit of the policy that had the previous settings. A limit that was not below
    /// its initial value is raised to the new one: that there are fewer balancers now is not the
    /// sign of a fault.
    pub(crate) fn take_state_from(&mut self, old: ConcurrencyLimit) {
        let initial = self.initial;
        let limit = if old.is_congested() {
            old.limit
        } else {
            old.limit.max(initial)
        };
        *self = ConcurrencyLimit {
            initial,
            limit,
            ..old
        };
    }

    /// Whether no further attempt may be sent. A limit below one permits one attempt in `1 / limit`
    /// intervals.
    pub(crate) fn is_reached(&self, now: Time, in_flight: usize) -> bool {
        let pause = (LIMIT_DECREASE_INTERVAL as f64 / self.limit) as Time;
        in_flight as f64 >= self.at_least_one()
            || self.limit < 1.0 && now < self.decreased_at + pause
    }

    /// Returns the limit, but at least one.
    pub(crate) fn at_least_one(&self) -> f64 {
        self.limit.max(1.0)
    }

    /// Whether the limit is below its initial value, which means that the servers share a fault.
    pub(crate) fn is_congested(&self) -> bool {
        self.limit < self.initial
    }

    /// Increases the limit after an attempt has connected.
    pub(crate) fn increase(&mut self) {
        self.limit += if self.limit < self.slow_start_threshold {
            1.0
        } else {
            1.0 / self.limit
        };
    }

    /// Halves the limit, at most once in [`LIMIT_DECREASE_INTERVAL`].
    pub(crate) fn decrease(&mut self, now: Time) {
        if now >= self.decreased_at + LIMIT_DECREASE_INTERVAL {
            self.limit = (self.limit / 2.0).max(CONCURRENCY_LIMIT_MIN);
            (self.slow_start_threshold, self.decreased_at) = (self.limit, now);
        }
    }
}

#[cfg(test)]
mod tests;
