//! Delivery of the endpoint list from discovery to the balancers.

use nettlemux_fleet_model::observation::Observation;
use nettlemux_policy::EndpointState;

use super::balancer::Incarnation;
use super::event::Event;
use super::simulation::Simulation;

impl Simulation<'_> {
    /// Schedules the delivery of a changed list to every running balancer, each with its own delay.
    pub(super) fn schedule_list_delivery(&mut self) {
        for balancer in 0..self.balancers.len() {
            if self.balancers[balancer].is_running()
                && let Some(delay) = self.model.discovery_delay()
            {
                let balancer = self.incarnation(balancer);
                self.schedule(self.now + delay, Event::ListArrives { balancer });
            }
        }
    }

    /// Delivers a changed list, unless the balancer has restarted or discovery is down now.
    pub(super) fn list_arrives(&mut self, balancer: Incarnation) {
        if self.is_current(balancer) && self.model.discovery_delay().is_some() {
            self.deliver_list(balancer.balancer);
        }
    }

    /// Sends a balancer the changes since the version that it has, or the complete list if it has
    /// none.
    pub(super) fn deliver_list(&mut self, balancer: usize) {
        let known_version = self.balancers[balancer].list_version;
        let entries = self.model.entries_since(known_version);
        let nothing_new = known_version > 0 && entries.is_empty();
        if !self.balancers[balancer].is_running() || nothing_new {
            return;
        }
        self.balancers[balancer].list_version = self.model.list_version();
        for entry in &entries {
            let (server, ready) = (
                entry.server_id as usize,
                entry.state == EndpointState::Ready,
            );
            self.observe(Observation::EndpointNotified {
                at: self.now,
                balancer,
                server,
                ready,
            });
        }
        let is_complete = known_version == 0;
        self.call_flow_table(balancer, |flow_table, now, _| {
            flow_table.update_endpoints(now, &entries, is_complete)
        });
    }
}
