//! Load reports: how long a report counts, and which utilization is expected between reports.

use std::collections::VecDeque;
use std::ops::Range;

use arrayvec::ArrayVec;

use crate::types::{SEC, Time};

/// A server with a higher utilization is overloaded; this is T_H of docs/design.md.
pub const OVERLOAD_UTILIZATION: f64 = 0.8;
/// Age up to which a report may be used for placement, if health checks are made on demand.
pub const PLACEMENT_REPORT_AGE_MAX: Time = SEC;
/// Age up to which a report of a full server keeps flows off the server, if health checks are made
/// on demand. Later the server is checked again.
pub const EXCLUSION_REPORT_AGE_MAX: Time = 8 * SEC;
/// Time from the moment that a report describes until the report arrives.
pub(crate) const REPORT_DELAY: Time = SEC;
/// Minimum number of connections that a server is assumed to hold, so that its first connection
/// does not count for all of its load.
pub(crate) const SERVER_CONNECTIONS_MIN: f64 = 8.0;
/// Time for which a report still counts after the next health check is due.
const REPORT_GRACE_PERIOD: Time = 5 * SEC;
/// Number of reports kept for each server.
const REPORTS_KEPT_MAX: usize = 8;
/// Range of plausible utilizations: a report of any other value counts as broken.
const PLAUSIBLE_UTILIZATION: Range<f64> = 0.0..100.0;

/// A load report: when it arrived, and the server's load divided by its capacity.
#[derive(Clone, Copy)]
struct Sample {
    at: Time,
    utilization: f64,
}

/// The known load of one server.
#[derive(Default)]
pub(crate) struct ServerLoad {
    /// Own attempts that the last report does not reflect yet because of [`REPORT_DELAY`], oldest
    /// first.
    recent_attempts: VecDeque<Time>,
    /// Reports, newest first.
    reports: ArrayVec<Sample, REPORTS_KEPT_MAX>,
    /// When a health check last ended, whatever it brought.
    checked_at: Time,
}

impl ServerLoad {
    /// Returns the utilization according to the last report, if that report is younger than
    /// `lifetime` and the reports are not stuck.
    pub(crate) fn utilization(&self, now: Time, lifetime: Time) -> Option<f64> {
        let last = self.reports.first()?;
        // Live reports of a loaded server are noisy, so identical values mean that the reports are
        // stuck. Guards against stuck reports that would keep flows off a server, or off all
        // servers, indefinitely.
        let is_stuck = self.reports.is_full()
            && self
                .reports
                .iter()
                .all(|report| report.utilization == last.utilization);
        let is_current = now < last.at + lifetime;
        (is_current && (!is_stuck || last.utilization == 0.0)).then_some(last.utilization)
    }

    /// Returns the utilization according to the last report, however old.
    pub(crate) fn last_utilization(&self) -> Option<f64> {
        self.reports.first().map(|report| report.utilization)
    }

    /// Whether the last report is at least `age_max` old and no health check has ended within the
    /// last [`PLACEMENT_REPORT_AGE_MAX`].
    pub(crate) fn is_outdated(&self, now: Time, age_max: Time) -> bool {
        let is_recent = self
            .reports
            .first()
            .is_some_and(|report| now < report.at + age_max);
        !is_recent && self.checked_at + PLACEMENT_REPORT_AGE_MAX <= now
    }

    /// Returns the number of own attempts that the last report does not reflect yet.
    pub(crate) fn recent_attempts(&self) -> usize {
        self.recent_attempts.len()
    }

    /// When a health check last ended, whatever it brought.
    pub(crate) fn checked_at(&self) -> Time {
        self.checked_at
    }

    /// Counts an attempt that is sent now.
    pub(crate) fn record_attempt(&mut self, now: Time) {
        self.recent_attempts.push_back(now);
    }

    /// Removes the last attempt, which did not lead to a connection.
    pub(crate) fn withdraw_attempt(&mut self) {
        self.recent_attempts.pop_back();
    }

    /// Records that a health check has ended.
    pub(crate) fn record_check(&mut self, now: Time) {
        self.checked_at = now;
    }

    /// Records a load report.
    pub(crate) fn record_report(&mut self, now: Time, utilization: f64) {
        self.reports.truncate(REPORTS_KEPT_MAX - 1);
        let sample = Sample {
            at: now,
            utilization,
        };
        self.reports.insert(0, sample);
        self.recent_attempts.retain(|at| at + REPORT_DELAY > now);
    }
}

/// Returns how long a report counts if the next health check is due after `next_check`.
pub(crate) fn report_lifetime(next_check: Time) -> Time {
    next_check + REPORT_GRACE_PERIOD
}

/// Whether a report of this utilization is plausible.
pub(crate) fn is_plausible(utilization: f64) -> bool {
    PLAUSIBLE_UTILIZATION.contains(&utilization)
}

/// Estimates utilizations between reports: recent placements count at once.
pub(crate) struct ExpectedUtilization {
    /// Mean utilization of all servers that reported, assumed for servers that did not report.
    pub(crate) mean: f64,
    /// Utilization that one more connection adds.
    pub(crate) per_connection: f64,
    /// Estimated number of attempts that other balancers have made at each server since its last
    /// report. May be negative, to cancel own attempts out.
    pub(crate) peer_attempts: f64,
}

impl ExpectedUtilization {
    /// Returns the expected utilization of a server, given the attempts since its last report and
    /// the `utilization` of that report.
    pub(crate) fn estimate(&self, load: &ServerLoad, utilization: Option<f64>) -> f64 {
        utilization.map_or(self.mean, |utilization| {
            let attempts = load.recent_attempts.len() as f64 + self.peer_attempts;
            utilization + self.per_connection * attempts
        })
    }
}

#[cfg(test)]
mod tests;
