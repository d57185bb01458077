//! Discovery as balancers see it: what it lists, when it answers, and the changes that the fleet
//! makes to the list.

use nettlemux_policy::{Endpoint, EndpointState, Time};

use super::{FleetEvent, FleetModel};
use crate::scenario::Weights;
use crate::server::{Server, ServerStatus};
use crate::time::seconds;

/// The number of connections at which a live weight has fallen to a half.
const HALF_WEIGHT_CONNECTIONS: f64 = 10.0;

impl FleetModel {
    /// How late discovery delivers a change that is made now; none while it does not answer.
    pub fn discovery(&mut self) -> Option<Time> {
        if self.list.outages > 0 {
            return None;
        }
        let delay = self.scenario.discovery.delay;
        Some(seconds(
            self.rng.uniform_between(delay / 2.0, delay) + self.list.extra_delay,
        ))
    }

    /// The version of the list.
    pub fn version(&self) -> u64 {
        self.list.version()
    }

    /// The entries that changed after a version, as they are now; after 0, all but those that are
    /// gone.
    pub fn since(&self, version: u64) -> Vec<Endpoint> {
        let mut entries = self.entries_between(version, self.list.version());
        if version == 0 {
            entries.retain(|entry| entry.state != EndpointState::Removed);
        }
        entries
    }

    /// The entries that changed after one version and up to another, as they are now.
    pub fn entries_between(&self, version: u64, upto: u64) -> Vec<Endpoint> {
        self.list
            .changed_between(version, upto)
            .map(|server| self.entry(server))
            .collect()
    }

    fn entry(&self, index: usize) -> Endpoint {
        let server = &self.servers[index];
        Endpoint {
            server_id: index as u64,
            zone: server.zone as u64,
            machine: server.machine as u64,
            cell: server.cell as u64,
            state: self.list.visible_state(index),
            weight: self.weight(server),
            started: server.started,
        }
    }

    /// A server's weight on the list; a live one falls with the connections that it holds.
    fn weight(&self, server: &Server) -> f64 {
        match self.scenario.discovery.weights {
            Weights::Nominal => 1.0,
            Weights::Live => {
                HALF_WEIGHT_CONNECTIONS
                    / (HALF_WEIGHT_CONNECTIONS + server.connections.len() as f64)
            }
        }
    }

    /// Lists a server in a state, where it is listed in another.
    pub(super) fn set_listed(&mut self, server: usize, state: EndpointState) {
        if self.list.set_state(server, state) {
            self.relist(server);
        }
    }

    /// Lists a server anew.
    pub(super) fn relist(&mut self, server: usize) {
        self.list.touch(server);
        self.events.push(FleetEvent::EndpointsChanged);
    }

    /// Discovery notices a server's death, unless the server runs again.
    pub(super) fn list_death(&mut self, server: usize) {
        if self.servers[server].status != ServerStatus::Up {
            self.set_listed(server, EndpointState::Removed);
        }
    }
}
