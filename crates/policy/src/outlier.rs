//! Outlier ejection: which servers are passed over after failures, for how long, and the way back.

use std::collections::VecDeque;

use crate::types::{MS, Time};

/// Ejection after the first failed attempt is twice this; it doubles with each further failure.
const EJECTION_BACKOFF_BASE: Time = 500 * MS;
/// Failures after which the ejection time grows no further.
const EJECTION_DOUBLINGS_MAX: usize = 4;
/// Failed health checks in a row after which a server counts as unresponsive.
const FAILED_CHECKS_MIN: usize = 2;
/// Failures of each kind that are kept.
const FAILURES_MAX: usize = 8;

/// The failures of one server.
#[derive(Default)]
pub(crate) struct OutlierState {
    /// Failed attempts since the last that connected.
    failed_attempts: VecDeque<Time>,
    /// Failed health checks since the last that passed.
    failed_checks: VecDeque<Time>,
    last_connected_at: Time,
}

impl OutlierState {
    /// Whether the server may be placed on: neither ejected nor unresponsive.
    pub(crate) fn is_healthy(&self, now: Time) -> bool {
        !self.is_ejected(now) && !self.is_unresponsive()
    }

    fn is_ejected(&self, now: Time) -> bool {
        self.failed_attempts.back().is_some_and(|last| {
            let doublings = self.failed_attempts.len().min(EJECTION_DOUBLINGS_MAX);
            now < last + (EJECTION_BACKOFF_BASE << doublings)
        })
    }

    /// Whether health checks fail and no flow connects. Guards against a broken path of health
    /// checks, which alone is no sign of a fault.
    fn is_unresponsive(&self) -> bool {
        self.failed_checks.len() >= FAILED_CHECKS_MIN
            && self.last_connected_at < self.failed_checks[0]
    }

    /// Notes that an attempt connected, which ends an ejection.
    pub(crate) fn record_connected(&mut self, now: Time) {
        self.failed_attempts.clear();
        self.last_connected_at = now;
    }

    /// Notes that an attempt failed.
    pub(crate) fn record_failed_attempt(&mut self, now: Time) {
        push_bounded(&mut self.failed_attempts, now);
    }

    /// Notes that a health check passed.
    pub(crate) fn record_passed_check(&mut self) {
        self.failed_checks.clear();
    }

    /// Notes that a health check failed.
    pub(crate) fn record_failed_check(&mut self, now: Time) {
        push_bounded(&mut self.failed_checks, now);
    }
}

fn push_bounded(failures: &mut VecDeque<Time>, at: Time) {
    failures.push_back(at);
    failures.drain(..failures.len().saturating_sub(FAILURES_MAX));
}

#[cfg(test)]
mod tests;
