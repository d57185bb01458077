//! The queue of flows that wait: how many may, and when they are placed again.

use crate::concurrency::ConcurrencyLimit;
use crate::load_reports::OVERLOAD_UTILIZATION;
use crate::types::{Flow, MS, Time};

/// Interval at which queued flows are placed again: well inside latency objectives, as each
/// placement walks all servers.
pub const QUEUE_RECHECK_INTERVAL: Time = 60 * MS;
/// Flows that may be queued for each attempt that may be in flight.
const QUEUED_PER_ATTEMPT_MAX: f64 = 4.0;
/// Time for which reports are gathered, for each queued flow and server: a thousand times what a
/// look at one server takes.
const GATHER_TIME_PER_LOOK: Time = 100_000;
/// Reports are gathered no longer than this.
const GATHER_TIME_MAX: Time = 2 * QUEUE_RECHECK_INTERVAL;

/// The least utilization that a look at all servers found.
#[derive(Default)]
struct LeastUtilization {
    at: Time,
    utilization: f64,
}

/// Counts queued flows and times their next placement; the caller holds the flows.
#[derive(Default)]
pub(crate) struct FlowQueue {
    /// Flows answered with a wait since the last timer.
    queued: usize,
    /// When to place them again, where a report that they wait for has come.
    recheck_at: Option<Time>,
    /// Until then reports that they wait for are on their way.
    reports_pending_until: Time,
    least: LeastUtilization,
}

impl FlowQueue {
    /// Keeps what is queued under other settings.
    pub(crate) fn continue_from(old: FlowQueue) -> Self {
        FlowQueue {
            reports_pending_until: 0,
            ..old
        }
    }

    /// Queues a flow.
    pub(crate) fn add(&mut self) {
        self.queued += 1;
    }

    /// Whether no further flow may be queued.
    pub(crate) fn is_full(&self, concurrency: &ConcurrencyLimit) -> bool {
        self.queued as f64 >= QUEUED_PER_ATTEMPT_MAX * concurrency.at_least_one()
    }

    /// Whether a look at all servers would bring nothing new: no server had room at this moment,
    /// or the reports that queued flows wait for have not come. Guards against walking all servers
    /// for each of the flows that wait.
    pub(crate) fn is_placement_futile(&self, now: Time, flow: &Flow, utilization_max: f64) -> bool {
        let limit = OVERLOAD_UTILIZATION.min(utilization_max);
        let has_no_room =
            !flow.reconnecting && self.least.at == now && self.least.utilization >= limit;
        has_no_room || flow.accepted_at < now && now < self.reports_pending_until
    }

    /// Notes the least utilization that a look at all servers found.
    pub(crate) fn record_least_utilization(&mut self, now: Time, utilization: f64) {
        self.least = LeastUtilization {
            at: now,
            utilization,
        };
    }

    /// Notes that reports were requested for a queued flow.
    pub(crate) fn await_reports(&mut self, now: Time) {
        self.reports_pending_until = now + QUEUE_RECHECK_INTERVAL;
    }

    /// Notes that a report has come.
    pub(crate) fn report_came(&mut self) {
        self.reports_pending_until = 0;
    }

    /// Places queued flows again soon, as a report has come that they may wait for.
    pub(crate) fn recheck_soon(&mut self, now: Time, servers: usize) {
        if self.queued > 0 {
            let gather_time = self.gather_time(servers).min(QUEUE_RECHECK_INTERVAL);
            self.recheck_at.get_or_insert(now + gather_time);
        }
    }

    /// Notes that the timer has expired, at which all queued flows are placed again.
    pub(crate) fn timer_expired(&mut self, now: Time) {
        self.queued = 0;
        self.recheck_at = self.recheck_at.filter(|at| *at > now);
    }

    /// When queued flows are to be placed again at the latest.
    pub(crate) fn recheck_at(&self, now: Time, servers: usize) -> Option<Time> {
        (self.queued > 0).then(|| now + self.recheck_interval(servers))
    }

    /// When queued flows are to be placed again since a report has come.
    pub(crate) fn recheck_after_report_at(&self) -> Option<Time> {
        self.recheck_at
    }

    /// How long a flow that is queued now waits until it is placed again.
    pub(crate) fn recheck_interval(&self, servers: usize) -> Time {
        QUEUE_RECHECK_INTERVAL.max(self.gather_time(servers))
    }

    /// How long reports are gathered before queued flows are placed again.
    fn gather_time(&self, servers: usize) -> Time {
        (GATHER_TIME_PER_LOOK * (self.queued * servers) as Time).min(GATHER_TIME_MAX)
    }
}

#[cfg(test)]
mod tests;
