//! Health checks of servers by balancers.

use nettlemux_fleet_model::server::ServerStatus;
use nettlemux_fleet_model::time::seconds;
use nettlemux_policy::{LoadReport, MS, Time};

use super::balancer::Incarnation;
use super::event::Event;
use super::simulation::Simulation;

/// A health check that is not answered within this time has failed.
const HEALTH_CHECK_TIMEOUT: Time = 500 * MS;
/// A server whose average message time is longer than this fails its health checks.
const PASSING_MESSAGE_TIME_MAX: Time = 3 * HEALTH_CHECK_TIMEOUT;

impl Simulation<'_> {
    /// A balancer sends a health check.
    pub(super) fn start_health_check(&mut self, balancer: usize, server: usize) {
        let zone = self.balancers[balancer].zone;
        self.figures.probes += 1;
        let latency = self.model.one_way_latency(zone, self.server_zone(server));
        let balancer = self.incarnation(balancer);
        self.schedule(
            self.now + latency,
            Event::HealthCheckReturns { balancer, server },
        );
    }

    /// A health check is answered or fails. The latency of the response and the health check's
    /// timeout are not simulated, since load reports are older than that in any case.
    pub(super) fn health_check_returns(&mut self, incarnation: Incarnation, server: usize) {
        let balancer = incarnation.balancer;
        if !self.is_current(incarnation) || !self.balancers[balancer].is_running() {
            return;
        }
        let zone = self.balancers[balancer].zone;
        let reachable = self.model.can_reach(zone, self.server_zone(server));
        let report = if reachable {
            self.load_report(server)
        } else {
            None
        };
        self.call_flow_table(balancer, |flow_table, now, actions| {
            let (passed, report) = (report.is_some(), report.unwrap_or_default());
            flow_table.health_checked(now, server as u64, passed, report, actions);
        });
    }

    /// A server's load report; `None` if the server does not answer in time.
    fn load_report(&mut self, server: usize) -> Option<LoadReport> {
        let fleet = &self.model.scenario.fleet;
        let state = &mut self.model.servers[server];
        let message_time = seconds(state.mean_message_seconds(fleet, self.now));
        if state.status == ServerStatus::Up && message_time > PASSING_MESSAGE_TIME_MAX {
            return None;
        }
        state.report(fleet, self.now, &mut self.rng)
    }
}
