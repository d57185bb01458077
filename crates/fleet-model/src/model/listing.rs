//! Discovery as balancers see it: what it lists and when it answers, and how the fleet changes the
//! list.

use nettlemux_policy::{Endpoint, EndpointState, Time};

use super::{FleetEvent, FleetModel};
use crate::scenario::Weights;
use crate::server::{Server, ServerStatus};
use crate::time::seconds;

/// The number of connections at which a live weight is a half.
const HALF_WEIGHT_CONNECTIONS: f64 = 10.0;

impl FleetModel {
    /// Draws the delivery delay of a change that is made now. Returns `None` while discovery does not
    /// answer.
    pub fn discovery_delay(&mut self) -> Option<Time> {
        if self.list.outages > 0 {
            return None;
        }
        let delay = self.scenario.discovery.delay;
        Some(seconds(
            self.rng.uniform_between(delay / 2.0, delay) + self.list.extra_delay,
        ))
    }

    /// Returns the current version of the endpoint list.
    pub fn list_version(&self) -> u64 {
        self.list.version()
    }

    /// Returns the current entries of the servers that changed after `version`. If `version` is 0,
    /// returns all entries except those of removed servers.
    pub fn entries_since(&self, version: u64) -> Vec<Endpoint> {
        let mut entries = self.entries_between(version, self.list.version());
        if version == 0 {
            entries.retain(|entry| entry.state != EndpointState::Removed);
        }
        entries
    }

    /// Returns the current entries of the servers that changed after `version`, up to and including
    /// `up_to`.
    pub fn entries_between(&self, version: u64, up_to: u64) -> Vec<Endpoint> {
        self.list
            .changed_between(version, up_to)
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

    /// Returns a server's weight in the list. A live weight decreases with the number of connections
    /// on the server.
    fn weight(&self, server: &Server) -> f64 {
        match self.scenario.discovery.weights {
            Weights::Nominal => 1.0,
            Weights::Live => {
                HALF_WEIGHT_CONNECTIONS
                    / (HALF_WEIGHT_CONNECTIONS + server.connections.len() as f64)
            }
        }
    }

    /// Sets the listed state of a server, and publishes its entry if the state has changed.
    pub(super) fn set_listed_state(&mut self, server: usize, state: EndpointState) {
        if self.list.set_state(server, state) {
            self.publish_entry(server);
        }
    }

    /// Publishes a new version of a server's entry.
    pub(super) fn publish_entry(&mut self, server: usize) {
        self.list.bump_version(server);
        self.events.push(FleetEvent::EndpointsChanged);
    }

    /// Lists a server as removed when discovery detects its death, unless the server is running again.
    pub(super) fn delist_dead(&mut self, server: usize) {
        if self.servers[server].status != ServerStatus::Up {
            self.set_listed_state(server, EndpointState::Removed);
        }
    }
}
