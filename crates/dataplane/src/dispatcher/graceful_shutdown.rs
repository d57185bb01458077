//! The schedule of a graceful shutdown: clients are migrated in batches, clients that have not been
//! answered get an answer by the answer deadline, then the balancer exits. This module only keeps
//! the times; the dispatcher sends the commands that are due.

use std::sync::Arc;

use nettlemux_policy::{FlowId, MS, Time};

use super::clients::ClientTable;
use crate::descriptors::DescriptorBudget;
use crate::shutdown::AnswerDeadline;

/// Time after the answer deadline in which the last clients are migrated. SIGKILL comes at the
/// earliest 0.7 s after that deadline.
const LAST_MIGRATIONS_TIMEOUT: Time = 200 * MS;
/// Time after the answer deadline at which the balancer exits even if connections are open.
const EXIT_TIMEOUT: Time = 500 * MS;
/// Shortest time from the last migrations to that exit. The clients' coroutines carry the migrations
/// out meanwhile, and the process may be held up for 0.15 s.
const LAST_MIGRATIONS_MARGIN: Time = 180 * MS;
/// Time after SIGTERM in which new clients are still sent to this balancer. Matters if deadlines
/// are short: guards against migrated clients that come straight back, and against an exit after
/// which new clients find the port closed.
const NEW_CLIENTS_TIMEOUT: Time = 400 * MS;
/// Time between two batches of migrations, and between two checks for flows past the deadline.
pub(super) const STEP_INTERVAL: Time = 50 * MS;

/// The progress of a shutdown at one point in time. Durations are counted from the shutdown's
/// start.
pub(super) struct Progress {
    now: Time,
    started_at: Time,
    elapsed: Time,
    answer_timeout: Time,
    migration_timeout: Time,
}

impl Progress {
    /// Returns the time to which this progress applies.
    pub fn now(&self) -> Time {
        self.now
    }

    /// Returns the time after which a migration no longer waits for the end of a line.
    pub fn migration_deadline(&self) -> Time {
        self.started_at + self.migration_timeout
    }
}

/// The state of a graceful shutdown, before and after its start.
pub(super) struct GracefulShutdown {
    answer_deadline: AnswerDeadline,
    /// The descriptors of connections that are not flows yet or are being closed.
    pending_connections: Arc<DescriptorBudget>,
    started_at: Option<Time>,
    next_migrations_at: Time,
    /// The lowest number of a flow that has not been told to migrate.
    next_flow: FlowId,
    next_answer_check_at: Time,
    answer_deadline_passed: bool,
}

impl GracefulShutdown {
    /// Returns the state of a balancer that is not shutting down.
    pub fn new(
        answer_deadline: AnswerDeadline,
        pending_connections: Arc<DescriptorBudget>,
    ) -> Self {
        GracefulShutdown {
            answer_deadline,
            pending_connections,
            started_at: None,
            next_migrations_at: 0,
            next_flow: 0,
            next_answer_check_at: 0,
            answer_deadline_passed: false,
        }
    }

    /// Starts the shutdown. Has no effect if it has already started.
    pub fn start(&mut self, now: Time) {
        self.started_at.get_or_insert(now);
        self.answer_deadline.terminate(now);
    }

    /// Returns whether the shutdown has started.
    pub fn is_started(&self) -> bool {
        self.started_at.is_some()
    }

    /// Applies the longest flow timeout of new settings. If that shortens a shutdown that has
    /// started, the flows that have been told to migrate are told again, with the new deadline for
    /// the ends of their lines.
    pub fn reload(&mut self, now: Time, flow_timeout_max: Time) {
        let timeout_before = self.answer_deadline.timeout_at(now);
        self.answer_deadline.reload(now, flow_timeout_max);
        let is_shortened = self.answer_deadline.timeout_at(now) < timeout_before;
        if self.is_started() && is_shortened {
            self.next_flow = 0;
            self.next_migrations_at = now;
        }
    }

    /// Returns whether the answer deadline has passed. From then on a waiting flow is failed.
    pub fn answer_deadline_passed(&self) -> bool {
        self.answer_deadline_passed
    }

    /// Returns the progress of the shutdown; `None` before its start.
    pub fn progress(&self, now: Time) -> Option<Progress> {
        let started_at = self.started_at?;
        let answer_timeout = self.answer_deadline.timeout_at(now);
        // Guards against migrations while new clients are still sent to this balancer: the migrated
        // clients would come straight back.
        let migration_timeout = (answer_timeout + LAST_MIGRATIONS_TIMEOUT)
            .max(NEW_CLIENTS_TIMEOUT + LAST_MIGRATIONS_TIMEOUT / 2);
        Some(Progress {
            now,
            started_at,
            elapsed: now.saturating_sub(started_at),
            answer_timeout,
            migration_timeout,
        })
    }

    /// Returns the flows to migrate now; empty between two batches. Each flow is returned once, in
    /// order, and once more after each reload that shortens the shutdown.
    ///
    /// Migrations begin late because the connections still work and other balancers may be
    /// restarting too. They are spread over the remaining time, so that the clients don't all
    /// connect to the other balancers at once.
    pub fn next_migrations(&mut self, progress: &Progress, clients: &ClientTable) -> Vec<FlowId> {
        let first_at = (progress.answer_timeout / 2).max(NEW_CLIENTS_TIMEOUT);
        if progress.elapsed < first_at || progress.now < self.next_migrations_at {
            return Vec::new();
        }
        // Guards against a batch for each message that the dispatcher handles: migrations cause
        // messages themselves, so all clients would be migrated within milliseconds.
        self.next_migrations_at = progress.now + STEP_INTERVAL;
        let time_left = progress.migration_timeout.saturating_sub(progress.elapsed);
        let batches_left = (time_left / STEP_INTERVAL).max(1) as usize;
        let clients_left = clients.flows_from(self.next_flow).count();
        let batch: Vec<FlowId> = clients
            .flows_from(self.next_flow)
            .take(clients_left.div_ceil(batches_left))
            .collect();
        if let Some(last) = batch.last() {
            self.next_flow = last + 1;
        }
        batch
    }

    /// Returns whether the flows that have not been answered have to be answered now.
    ///
    /// The check is due again at each step. Guards against a flow that arrives after the first check
    /// and is still unanswered when the balancer exits.
    pub fn answer_check_is_due(&mut self, progress: &Progress) -> bool {
        let is_due = progress.elapsed >= progress.answer_timeout
            && progress.now >= self.next_answer_check_at;
        if is_due {
            self.answer_deadline_passed = true;
            self.next_answer_check_at = progress.now + STEP_INTERVAL;
        }
        is_due
    }

    /// Returns whether the balancer may exit.
    pub fn is_complete(&self, progress: &Progress, clients: &ClientTable) -> bool {
        let exit_timeout = (progress.answer_timeout + EXIT_TIMEOUT)
            .max(progress.migration_timeout + LAST_MIGRATIONS_MARGIN);
        if progress.elapsed >= exit_timeout {
            return true;
        }
        let all_closed = clients.is_empty() && self.pending_connections.in_use() == 0;
        progress.elapsed >= progress.migration_timeout && all_closed
    }
}

#[cfg(test)]
mod tests;
