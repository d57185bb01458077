//! How long a load report counts, and what utilization is expected between reports.

use std::collections::VecDeque;
use std::ops::Range;

use arrayvec::ArrayVec;

use crate::types::{SEC, Time};

/// A server with a higher utilization is overloaded: T_H of docs/design.md.
pub const OVERLOAD_UTILIZATION: f64 = 0.8;
/// Age up to which a report is good enough to place by, where health checks are made on demand.
pub const PLACEMENT_REPORT_AGE_MAX: Time = SEC;
/// Age up to which a report of a full server keeps flows off it, where health checks are made on
/// demand: later the server is asked again.
pub const EXCLUDING_REPORT_AGE_MAX: Time = 8 * SEC;
/// Time from the moment that a report describes to its arrival.
pub(crate) const REPORT_DELAY: Time = SEC;
/// Connections that a server is taken to hold at least: the first one must not count for all of
/// its load.
pub(crate) const SERVER_CONNECTIONS_MIN: f64 = 8.0;
/// Time past the next health check that is due for which a report still counts.
const REPORT_GRACE_PERIOD: Time = 5 * SEC;
/// Reports kept of each server.
const REPORTS_MAX: usize = 8;
/// Utilizations outside of this range are taken for broken reports.
const PLAUSIBLE_UTILIZATION: Range<f64> = 0.0..100.0;

/// One load report: when it came, and the server's load over its capacity.
#[derive(Clone, Copy)]
struct Sample {
    at: Time,
    utilization: f64,
}

/// What is known of one server's load.
#[derive(Default)]
pub(crate) struct ServerLoad {
    /// Own attempts that the last report can't show yet, oldest first.
    recent_attempts: VecDeque<Time>,
    /// Reports, newest first.
    reports: ArrayVec<Sample, REPORTS_MAX>,
    /// When a health check last ended, whatever it brought.
    checked_at: Time,
}

impl ServerLoad {
    /// Returns the utilization by the last report, where that is at most `lifetime` old.
    pub(crate) fn utilization(&self, now: Time, lifetime: Time) -> Option<f64> {
        let last = self.reports.first()?;
        // Guards against reports that are stuck, which would shut a server, or all of them, for
        // good: live ones are noisy.
        let is_stuck = self.reports.is_full()
            && self
                .reports
                .iter()
                .all(|report| report.utilization == last.utilization);
        let is_alive = now < last.at + lifetime;
        (is_alive && (!is_stuck || last.utilization == 0.0)).then_some(last.utilization)
    }

    /// The utilization by the last report, however old.
    pub(crate) fn last_utilization(&self) -> Option<f64> {
        self.reports.first().map(|report| report.utilization)
    }

    /// Whether the last report is older than `age_max`, and none was asked for in vain just now.
    pub(crate) fn is_outdated(&self, now: Time, age_max: Time) -> bool {
        let is_recent = self
            .reports
            .first()
            .is_some_and(|report| now < report.at + age_max);
        !is_recent && self.checked_at + PLACEMENT_REPORT_AGE_MAX <= now
    }

    /// Own attempts that the last report can't show yet.
    pub(crate) fn recent_attempts(&self) -> usize {
        self.recent_attempts.len()
    }

    /// When a health check last ended, whatever it brought.
    pub(crate) fn checked_at(&self) -> Time {
        self.checked_at
    }

    /// Counts an attempt that goes out now.
    pub(crate) fn record_attempt(&mut self, now: Time) {
        self.recent_attempts.push_back(now);
    }

    /// Takes back the last attempt, which brought no connection.
    pub(crate) fn withdraw_attempt(&mut self) {
        self.recent_attempts.pop_back();
    }

    /// Notes that a health check has ended.
    pub(crate) fn record_check(&mut self, now: Time) {
        self.checked_at = now;
    }

    /// Takes in a report.
    pub(crate) fn record_report(&mut self, now: Time, utilization: f64) {
        self.reports.truncate(REPORTS_MAX - 1);
        let sample = Sample {
            at: now,
            utilization,
        };
        self.reports.insert(0, sample);
        self.recent_attempts.retain(|at| at + REPORT_DELAY > now);
    }
}

/// Returns how long a report counts, if the next health check is due after `next_check`.
pub(crate) fn report_lifetime(next_check: Time) -> Time {
    next_check + REPORT_GRACE_PERIOD
}

/// Whether a report of this utilization can be true.
pub(crate) fn is_plausible(utilization: f64) -> bool {
    PLAUSIBLE_UTILIZATION.contains(&utilization)
}

/// Estimates utilizations between reports: what was placed lately counts at once.
pub(crate) struct ExpectedUtilization {
    /// Mean of all that reported, taken for a server that did not.
    pub(crate) mean: f64,
    /// What one more connection adds.
    pub(crate) per_connection: f64,
    /// Attempts that other balancers have made at each server since its report.
    pub(crate) peer_attempts: f64,
}

impl ExpectedUtilization {
    /// Returns the expected utilization of a server with this load report.
    pub(crate) fn of(&self, load: &ServerLoad, utilization: Option<f64>) -> f64 {
        utilization.map_or(self.mean, |utilization| {
            let attempts = load.recent_attempts.len() as f64 + self.peer_attempts;
            utilization + self.per_connection * attempts
        })
    }
}

#[cfg(test)]
mod tests;
