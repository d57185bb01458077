//! The order of a graceful shutdown: clients are migrated a batch at a time, those still owed an
//! answer get one by the answer deadline, then the balancer ends. Keeps times only; the dispatcher
//! sends what is due.

use std::sync::Arc;

use nettlemux_policy::{FlowId, MS, Time};

use super::clients::ClientTable;
use crate::descriptors::DescriptorBudget;
use crate::shutdown::AnswerDeadline;

/// Time after the answer deadline in which the last clients are migrated. SIGKILL comes 0.7 s after
/// that deadline at the earliest.
const LAST_MIGRATIONS_TIMEOUT: Time = 200 * MS;
/// Time after the answer deadline at which the balancer ends in any case.
const EXIT_TIMEOUT: Time = 500 * MS;
/// Time after SIGTERM in which the front still sends new clients. Guards, where deadlines are
/// short, against migrated clients that come straight back, and against an exit that leaves clients
/// to a closed port.
const NEW_CLIENTS_TIMEOUT: Time = 400 * MS;
/// Time between two batches of migrations, and between two checks for flows past the deadline.
pub(super) const STEP_INTERVAL: Time = 50 * MS;

/// How far a shutdown has come at one moment. Spans are counted from its start.
pub(super) struct Progress {
    now: Time,
    started_at: Time,
    elapsed: Time,
    answer_timeout: Time,
    migration_timeout: Time,
}

impl Progress {
    /// Returns the moment that this is the progress at.
    pub fn now(&self) -> Time {
        self.now
    }

    /// Returns the time from which on a migration doesn't wait for the end of a line.
    pub fn migration_deadline(&self) -> Time {
        self.started_at + self.migration_timeout
    }
}

/// The state of a graceful shutdown, before and after its start.
pub(super) struct GracefulShutdown {
    answer_deadline: AnswerDeadline,
    /// Connections that are no flow yet, or that are being closed.
    pending_connections: Arc<DescriptorBudget>,
    started_at: Option<Time>,
    next_migrations_at: Time,
    /// The first flow, in order, that has not been told to migrate.
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

    /// Starts the shutdown; one that has started goes on.
    pub fn start(&mut self, now: Time) {
        self.started_at.get_or_insert(now);
        self.answer_deadline.terminate(now);
    }

    /// Returns whether the shutdown has started.
    pub fn is_started(&self) -> bool {
        self.started_at.is_some()
    }

    /// Takes over the longest flow timeout of new settings.
    pub fn reload(&mut self, now: Time, flow_timeout_max: Time) {
        self.answer_deadline.reload(now, flow_timeout_max);
    }

    /// Returns whether all answers are due: a flow that waits is failed from then on.
    pub fn answer_deadline_passed(&self) -> bool {
        self.answer_deadline_passed
    }

    /// Returns how far the shutdown has come; none before its start.
    pub fn progress(&self, now: Time) -> Option<Progress> {
        let started_at = self.started_at?;
        let answer_timeout = self.answer_deadline.timeout_at(now);
        // Guards against clients that are migrated while the front still sends new ones, and would
        // come straight back.
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

    /// Returns the flows to migrate now, each of them once and in order; empty between two batches.
    ///
    /// Migrations begin late, since the connections work and other balancers may be restarting too,
    /// and are spread over the time left, so that clients don't reach the others all at once.
    pub fn next_migrations(&mut self, progress: &Progress, clients: &ClientTable) -> Vec<FlowId> {
        let first_at = (progress.answer_timeout / 2).max(NEW_CLIENTS_TIMEOUT);
        if progress.elapsed < first_at || progress.now < self.next_migrations_at {
            return Vec::new();
        }
        // Guards against a batch for each message that the dispatcher reads: a migration causes
        // messages, which would migrate all clients within milliseconds.
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

    /// Returns whether flows that are owed an answer are to get one now.
    ///
    /// It is due again at each step: guards against a flow that comes after the first check and is
    /// still owed its answer at the end.
    pub fn answer_check_is_due(&mut self, progress: &Progress) -> bool {
        let is_due = progress.elapsed >= progress.answer_timeout
            && progress.now >= self.next_answer_check_at;
        if is_due {
            self.answer_deadline_passed = true;
            self.next_answer_check_at = progress.now + STEP_INTERVAL;
        }
        is_due
    }

    /// Returns whether the balancer may end.
    pub fn is_complete(&self, progress: &Progress, clients: &ClientTable) -> bool {
        if progress.elapsed >= progress.answer_timeout + EXIT_TIMEOUT {
            return true;
        }
        let all_closed = clients.is_empty() && self.pending_connections.in_use() == 0;
        progress.elapsed >= progress.migration_timeout && all_closed
    }
}

#[cfg(test)]
mod tests;
