//! The servers of the endpoint list: their numbers, addresses and states.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};

use nettlemux_policy::{Endpoint, EndpointState, ServerId, Time};
use tracing::info;

use super::name_table::NameTable;
use crate::messages::{DiscoveredEndpoint, Server, ServerIncarnation};
use crate::start_times::StartTimes;

/// Whether an update of the endpoint list names all servers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ListScope {
    /// A full snapshot: servers that it doesn't name are removed.
    Complete,
    /// Only the changes since the last update.
    Changes,
}

/// The servers of the endpoint list and the numbers by which the policy identifies them.
pub(super) struct ServerDirectory {
    servers: BTreeMap<ServerId, Arc<Server>>,
    server_ids: NameTable,
    zones: NameTable,
    machines: NameTable,
    cells: NameTable,
    start_times: StartTimes,
}

impl ServerDirectory {
    /// Returns an empty directory. Zones and machine models get their numbers in the order of
    /// `zones` and `machines`, as in the settings.
    pub fn new(zones: Vec<String>, machines: Vec<String>) -> Self {
        ServerDirectory {
            servers: BTreeMap::new(),
            server_ids: NameTable::default(),
            zones: NameTable::from_names(zones),
            machines: NameTable::from_names(machines),
            cells: NameTable::default(),
            start_times: StartTimes::default(),
        }
    }

    /// Returns a listed server.
    pub fn get(&self, server_id: ServerId) -> Option<&Arc<Server>> {
        self.servers.get(&server_id)
    }

    /// Returns whether this is the present incarnation of a listed server.
    pub fn is_present(&self, server_id: ServerId, incarnation: &ServerIncarnation) -> bool {
        self.get(server_id)
            .is_some_and(|listed| incarnation.is_present(listed))
    }

    /// Returns whether the server is listed.
    pub fn contains(&self, server_id: ServerId) -> bool {
        self.servers.contains_key(&server_id)
    }

    /// Returns the number of a server by its name, whether or not it is listed.
    pub fn server_id(&mut self, name: &str) -> ServerId {
        self.server_ids.number_by_hash(name)
    }

    /// Returns the number of a server by its name; `None` if the server isn't listed.
    pub fn listed_server_id(&self, name: &str) -> Option<ServerId> {
        self.server_ids
            .get(name)
            .filter(|server_id| self.contains(*server_id))
    }

    /// Returns the number of a zone by its name.
    pub fn zone_id(&mut self, name: &str) -> u64 {
        self.zones.number_by_arrival(name)
    }

    /// Records that discovery has answered. A server that is first listed after this call can't have
    /// started before it.
    pub fn discovery_answered(&mut self) {
        self.start_times.record_first_update();
    }

    /// Applies an update of the endpoint list. Returns it with numbers in place of names.
    pub fn update(
        &mut self,
        now: Time,
        entries: Vec<DiscoveredEndpoint>,
        scope: ListScope,
    ) -> Vec<Endpoint> {
        let mut endpoints = Vec::new();
        for entry in entries {
            let endpoint = self.endpoint(now, &entry);
            self.update_server(&endpoint, entry);
            endpoints.push(endpoint);
        }
        if scope == ListScope::Complete {
            self.remove_unlisted(&endpoints);
        }
        for endpoint in &endpoints {
            if endpoint.state == EndpointState::Removed {
                self.servers.remove(&endpoint.server_id);
            }
        }
        let servers = &self.servers;
        self.start_times
            .forget_unlisted(servers.len(), |server_id| servers.contains_key(&server_id));
        endpoints
    }

    /// Converts an entry to the policy's form.
    fn endpoint(&mut self, now: Time, entry: &DiscoveredEndpoint) -> Endpoint {
        let server_id = self.server_id(&entry.name);
        Endpoint {
            server_id,
            zone: self.zones.number_by_arrival(&entry.zone),
            machine: self.machines.number_by_arrival(&entry.machine),
            cell: self.cells.number_by_arrival(&entry.cell),
            state: entry.state,
            weight: entry.weight,
            started: self
                .start_times
                .local_start(now, server_id, entry.started_at),
        }
    }

    /// Adds a server or updates its state, address and start.
    fn update_server(&mut self, endpoint: &Endpoint, entry: DiscoveredEndpoint) {
        let server_id = endpoint.server_id;
        let is_ready = entry.state == EndpointState::Ready;
        match self.servers.get(&server_id) {
            // An entry without an address doesn't change the server's address.
            Some(server) if server.address == entry.address || entry.address.port() == 0 => {
                server.started.store(endpoint.started, Ordering::Release);
                if server.ready.swap(is_ready, Ordering::AcqRel) != is_ready {
                    info!(server = server.name, state = ?entry.state, "endpoint state changed");
                }
            }
            previous => {
                if let Some(previous) = previous {
                    previous.ready.store(false, Ordering::Release);
                }
                info!(
                    server = entry.name,
                    address = %entry.address,
                    state = ?entry.state,
                    zone = entry.zone,
                    "endpoint added"
                );
                let server = Server {
                    name: entry.name,
                    address: entry.address,
                    ready: AtomicBool::new(is_ready),
                    started: AtomicU64::new(endpoint.started),
                };
                self.servers.insert(server_id, Arc::new(server));
            }
        }
    }

    /// Removes the servers that are not in a complete list.
    fn remove_unlisted(&mut self, listed: &[Endpoint]) {
        self.servers.retain(|server_id, server| {
            let is_listed = listed
                .iter()
                .any(|endpoint| endpoint.server_id == *server_id);
            if !is_listed {
                info!(server = server.name, "endpoint removed");
                server.ready.store(false, Ordering::Release);
            }
            is_listed
        });
    }
}

#[cfg(test)]
mod tests;
