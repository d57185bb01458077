//! The queue of waiting flows: how many may wait, and when they are placed again.

use crate::concurrency::ConcurrencyLimit;
use crate::load_reports::OVERLOAD_UTILIZATION;
use crate::types::{Flow, MS, Time};

/// Interval at which queued flows are placed again: well within latency objectives, and no shorter
/// because each placement walks all servers.
pub const QUEUE_RECHECK_INTERVAL: Time = 60 * MS;
/// Number of flows that may be queued for each attempt that may be in flight.
const QUEUED_PER_ATTEMPT_MAX: f64 = 4.0;
/// Time for which reports are gathered, in nanoseconds for each queued flow and server: a thousand
/// times the time to evaluate one server.
const REPORT_GATHERING_TIME_PER_EVALUATION: Time = 100_000;
/// The longest time for which reports are gathered.
const REPORT_GATHERING_TIME_MAX: Time = 2 * QUEUE_RECHECK_INTERVAL;

/// The lowest expected utilization that a scan of all servers found, and the time of the scan.
#[derive(Default)]
struct LeastUtilization {
    at: Time,
    utilization: f64,
}

/// Counts queued flows and schedules their next placement; the caller holds the flows.
#[derive(Default)]
pub(crate) struct FlowQueue {
    /// Number of flows told to wait since the timer last expired.
    queued: usize,
    /// When to place queued flows again because a report has arrived that they may be waiting for.
    recheck_after_report_at: Option<Time>,
    /// Time until which the reports that queued flows wait for count as on their way.
    reports_pending_until: Time,
    least: LeastUtilization,
}

impl FlowQueue {
    /// Takes over the state of the policy that had the previous settings.
    pub(crate) fn with_state_of(old: FlowQueue) -> Self {
        FlowQueue {
            reports_pending_until: 0,
            ..old
        }
    }

    /// Counts a flow as queued.
    pub(crate) fn add(&mut self) {
        self.queued += 1;
    }

    /// Whether no further flow may be queued.
    pub(crate) fn is_full(&self, concurrency: &ConcurrencyLimit) -> bool {
        self.queued as f64 >= QUEUED_PER_ATTEMPT_MAX * concurrency.at_least_one()
    }

    /// Whether a scan of all servers would find nothing new: an earlier scan at this same moment
    /// found no server with room, or the reports that queued flows wait for have not arrived.
    /// Guards against walking all servers for each waiting flow.
    pub(crate) fn is_placement_futile(&self, now: Time, flow: &Flow, utilization_max: f64) -> bool {
        let limit = OVERLOAD_UTILIZATION.min(utilization_max);
        let has_no_room =
            !flow.reconnecting && self.least.at == now && self.least.utilization >= limit;
        has_no_room || flow.accepted_at < now && now < self.reports_pending_until
    }

    /// Records the lowest expected utilization that a scan of all servers found.
    pub(crate) fn record_least_utilization(&mut self, now: Time, utilization: f64) {
        self.least = LeastUtilization {
            at: now,
            utilization,
        };
    }

    /// Records that reports were requested for a queued flow.
    pub(crate) fn await_reports(&mut self, now: Time) {
        self.reports_pending_until = now + QUEUE_RECHECK_INTERVAL;
    }

    /// Records that a report has arrived.
    pub(crate) fn report_received(&mut self) {
        self.reports_pending_until = 0;
    }

    /// Schedules an early placement of queued flows, because a report has arrived that they may be
    /// waiting for.
    pub(crate) fn recheck_soon(&mut self, now: Time, servers: usize) {
        if self.queued > 0 {
            let report_gathering_time = self
                .report_gathering_time(servers)
                .min(QUEUE_RECHECK_INTERVAL);
            self.recheck_after_report_at
                .get_or_insert(now + report_gathering_time);
        }
    }

    /// Records that the timer has expired: all queued flows are now placed again.
    pub(crate) fn timer_expired(&mut self, now: Time) {
        self.queued = 0;
        self.recheck_after_report_at = self.recheck_after_report_at.filter(|at| *at > now);
    }

    /// Returns when queued flows have to be placed again at the latest.
    pub(crate) fn next_recheck_at(&self, now: Time, servers: usize) -> Option<Time> {
        (self.queued > 0).then(|| now + self.recheck_interval(servers))
    }

    /// Returns when queued flows are placed again because a report has arrived.
    pub(crate) fn recheck_after_report_at(&self) -> Option<Time> {
        self.recheck_after_report_at
    }

    /// Returns how long a flow that is queued now waits until it is placed again.
    pub(crate) fn recheck_interval(&self, servers: usize) -> Time {
        QUEUE_RECHECK_INTERVAL.max(self.report_gathering_time(servers))
    }

    /// Returns how long reports are gathered before queued flows are placed again.
    fn report_gathering_time(&self, servers: usize) -> Time {
        (REPORT_GATHERING_TIME_PER_EVALUATION * (self.queued * servers) as Time)
            .min(REPORT_GATHERING_TIME_MAX)
    }
}

#[cfg(test)]
mod tests;
