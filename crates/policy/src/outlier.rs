//! Outlier ejection: which servers are avoided after failures, for how long, and what ends it.

use std::collections::VecDeque;

use crate::types::{MS, Time};

/// Half of the ejection time after the first failed attempt. The ejection time doubles with each
/// further failure.
const EJECTION_BACKOFF_BASE: Time = 500 * MS;
/// Number of failures after which the ejection time no longer grows.
const EJECTION_DOUBLINGS_MAX: usize = 4;
/// Number of consecutive failed health checks after which a server may count as unresponsive.
const UNRESPONSIVE_FAILED_CHECKS_MIN: usize = 2;
/// Maximum number of failures of each kind that are kept.
const FAILURES_KEPT_MAX: usize = 8;

/// The failures of one server.
#[derive(Default)]
pub(crate) struct OutlierState {
    /// Failed attempts since the last attempt that connected.
    failed_attempts: VecDeque<Time>,
    /// Failed health checks since the last one that passed.
    failed_checks: VecDeque<Time>,
    last_connected_at: Time,
}

impl OutlierState {
    /// Whether flows may be placed on the server: it is neither ejected nor unresponsive.
    pub(crate) fn is_healthy(&self, now: Time) -> bool {
        !self.is_ejected(now) && !self.is_unresponsive()
    }

    fn is_ejected(&self, now: Time) -> bool {
        self.failed_attempts.back().is_some_and(|last| {
            let doublings = self.failed_attempts.len().min(EJECTION_DOUBLINGS_MAX);
            now < last + (EJECTION_BACKOFF_BASE << doublings)
        })
    }

    /// Whether health checks fail and no flow has connected since the first of these failures.
    /// Guards against a broken network path of the health checks, which alone is no sign that the
    /// server is faulty.
    fn is_unresponsive(&self) -> bool {
        self.failed_checks.len() >= UNRESPONSIVE_FAILED_CHECKS_MIN
            && self.last_connected_at < self.failed_checks[0]
    }

    /// Records that an attempt connected, which ends an ejection.
    pub(crate) fn record_connected(&mut self, now: Time) {
        self.failed_attempts.clear();
        self.last_connected_at = now;
    }

    /// Records that an attempt failed.
    pub(crate) fn record_failed_attempt(&mut self, now: Time) {
        push_bounded(&mut self.failed_attempts, now);
    }

    /// Records that a health check passed.
    pub(crate) fn record_passed_check(&mut self) {
        self.failed_checks.clear();
    }

    /// Records that a health check failed.
    pub(crate) fn record_failed_check(&mut self, now: Time) {
        push_bounded(&mut self.failed_checks, now);
    }
}

fn push_bounded(failures: &mut VecDeque<Time>, at: Time) {
    failures.push_back(at);
    failures.drain(..failures.len().saturating_sub(FAILURES_KEPT_MAX));
}

#[cfg(test)]
mod tests;
