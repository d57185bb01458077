//! The limit of attempts in flight at once: additive increase, multiplicative decrease (AIMD).

use crate::types::{MS, Time};

/// Attempts in flight at once with which a balancer starts, at most.
const INITIAL_LIMIT_MAX: f64 = 8.0;
/// Attempts in flight at once of all balancers together, as long as nothing is known.
const INITIAL_LIMIT_OF_ALL_BALANCERS: f64 = 600.0;
/// One attempt in sixteen intervals still notices recovery before clients give up for good.
const LIMIT_MIN: f64 = 1.0 / 16.0;
/// Attempts that are made together fail together: the limit decreases once in this interval.
const DECREASE_INTERVAL: Time = 250 * MS;

/// How many attempts may be in flight at once: increased by those that connect, decreased when
/// servers that answer fail or are late, which is the sign of a fault that they share.
#[derive(Clone, Copy)]
pub(crate) struct ConcurrencyLimit {
    initial: f64,
    limit: f64,
    /// Increases by one for each attempt that connects up to here, then by one a round.
    slow_start_threshold: f64,
    decreased_at: Time,
}

impl ConcurrencyLimit {
    /// The limit of one of so many balancers.
    pub(crate) fn new(balancers: f64) -> Self {
        let initial = (INITIAL_LIMIT_OF_ALL_BALANCERS / balancers).clamp(1.0, INITIAL_LIMIT_MAX);
        ConcurrencyLimit {
            initial,
            limit: initial,
            slow_start_threshold: f64::INFINITY,
            decreased_at: 0,
        }
    }

    /// Goes on from the limit that stood under other settings.
    pub(crate) fn continue_from(&mut self, old: ConcurrencyLimit) {
        let initial = self.initial;
        *self = ConcurrencyLimit { initial, ..old };
    }

    /// Whether no further attempt may go out. A limit under one is one attempt in so many
    /// intervals.
    pub(crate) fn is_reached(&self, now: Time, in_flight: usize) -> bool {
        let pause = (DECREASE_INTERVAL as f64 / self.limit) as Time;
        in_flight as f64 >= self.at_least_one()
            || self.limit < 1.0 && now < self.decreased_at + pause
    }

    /// The limit, or one where it is lower.
    pub(crate) fn at_least_one(&self) -> f64 {
        self.limit.max(1.0)
    }

    /// Whether the limit is below its start: servers share a fault.
    pub(crate) fn is_congested(&self) -> bool {
        self.limit < self.initial
    }

    /// Increases the limit for an attempt that connected.
    pub(crate) fn increase(&mut self) {
        self.limit += if self.limit < self.slow_start_threshold {
            1.0
        } else {
            1.0 / self.limit
        };
    }

    /// Halves the limit, once in an interval at most.
    pub(crate) fn decrease(&mut self, now: Time) {
        if now >= self.decreased_at + DECREASE_INTERVAL {
            self.limit = (self.limit / 2.0).max(LIMIT_MIN);
            (self.slow_start_threshold, self.decreased_at) = (self.limit, now);
        }
    }
}

#[cfg(test)]
mod tests;
