//! The state changes and actions that follow from each event.

use super::Policy;
use crate::load_reports::{OVERLOAD_UTILIZATION, is_plausible};
use crate::migration;
use crate::types::{Actions, AttemptEnd, FlowId, LoadReport, ServerId, Time};

impl Policy {
    /// Adds the actions that are due, whichever event occurred.
    pub(super) fn add_due_actions(&mut self, now: Time, actions: &mut Actions) {
        self.recent_connections.count_window(now);
        actions.health_checks = self.health_checks.take_due(
            now,
            &mut self.endpoints,
            &self.connections,
            &self.recent_connections,
        );
        if self.migration.is_drain_step_due(now) {
            let migrations = self.migration.drain_migrations(&self.view(now));
            let leaving = self
                .migration
                .run_drain_step(now, migrations, &mut self.rng);
            actions.migrate.extend(leaving);
        }
        for flow in &actions.migrate {
            self.connections.mark_migrating(*flow);
        }
        actions.poll_endpoints = self.endpoints.take_due_poll(now);
    }

    /// Handles an attempt that a server has accepted. Everything that depends on the attempt's
    /// success is updated here.
    pub(super) fn on_connected(&mut self, now: Time, flow: FlowId) -> Actions {
        let Some(server_id) = self.connections.mark_connected(flow) else {
            return Actions::default();
        };
        let gossip =
            self.gossip
                .announce(now, flow, server_id, &self.connections, &mut self.endpoints);
        self.concurrency.increase();
        if let Some(server) = self.endpoints.servers.get_mut(&server_id) {
            server.outlier.record_connected(now);
            if self.slow_start.is_warm(now, server) {
                self.recent_connections.record(now, server_id);
            }
        }
        self.recent_connections.expire(now);
        Actions {
            gossip,
            ..Actions::default()
        }
    }

    /// Handles the end of an attempt or connection. A failure counts against the server. If it is
    /// the sign of a fault that servers share, it also lowers the limit of attempts in flight.
    pub(super) fn on_attempt_ended(
        &mut self,
        now: Time,
        flow: FlowId,
        server_id: ServerId,
        end: AttemptEnd,
    ) {
        let own = self.connections.remove(flow);
        let was_in_flight = own.as_ref().is_some_and(|own| !own.is_connected);
        let left_without_notice = own.is_some_and(|own| own.is_connected && !own.is_migrating);
        if end == AttemptEnd::Cancelled && left_without_notice {
            self.migration.stop_drain_migrations();
        }
        let Some(server) = self.endpoints.servers.get_mut(&server_id) else {
            return;
        };
        // A healthy server that fails or answers late is the sign of a fault that the servers
        // share.
        let is_shared_fault = matches!(end, AttemptEnd::TimedOut | AttemptEnd::Error);
        if is_shared_fault && server.outlier.is_healthy(now) {
            self.concurrency.decrease(now);
        }
        if !was_in_flight {
            return;
        }
        server.load.withdraw_attempt();
        if end == AttemptEnd::Overloaded {
            server.overloaded_at = Some(now);
        }
        if end.is_server_failure() {
            server.outlier.record_failed_attempt(now);
        }
    }

    /// Handles a client that has left: its attempt in flight is cancelled if that is allowed.
    pub(super) fn on_client_left(&self, flow: FlowId) -> Actions {
        let own = self.connections.own.get(&flow);
        let is_in_flight = own.is_some_and(|own| !own.is_connected);
        let is_cancelled = self.retry.allows_cancellation() && is_in_flight;
        Actions {
            cancel: is_cancelled.then_some(flow).into_iter().collect(),
            ..Actions::default()
        }
    }

    /// Processes the result of a health check, and returns the connections to migrate off the
    /// server.
    pub(super) fn on_health_checked(
        &mut self,
        now: Time,
        server_id: ServerId,
        passed: bool,
        report: LoadReport,
    ) -> Vec<FlowId> {
        self.queue.report_received();
        if self.health_checks.is_on_demand() {
            self.queue.recheck_soon(now, self.endpoints.scan_size());
        }
        let Some(server) = self.endpoints.servers.get_mut(&server_id) else {
            return Vec::new();
        };
        server.load.record_check(now);
        if passed {
            server.outlier.record_passed_check();
        } else {
            server.outlier.record_failed_check(now);
            self.health_checks
                .retry_failed(now, &mut server.health_check);
        }
        let is_overloaded = report
            .utilization
            .is_some_and(|utilization| utilization > OVERLOAD_UTILIZATION);
        if let Some(candidates) = &mut self.endpoints.candidates
            && (is_overloaded || !passed)
        {
            candidates.health_checks.recheck_soon(now, server_id);
        }
        let plausible = report.utilization.filter(|value| is_plausible(*value));
        let Some(utilization) = plausible.filter(|_| passed) else {
            return Vec::new();
        };
        server.load.record_report(now, utilization);
        let connections = report.connections.filter(|count| *count >= 1.0);
        let per_connection = connections.map(|count| utilization / count);
        self.connections.estimate_loads(server_id, per_connection);
        migration::migrate_off_overloaded(
            now,
            self.health_checks.report_lifetime(),
            server,
            &self.connections,
            &mut self.rng,
        )
    }
}
