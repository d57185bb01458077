//! The listed servers: their numbers, addresses and states as the endpoint list has them.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use nettlemux_policy::{Endpoint, EndpointState, ServerId, Time};
use tracing::info;

use super::name_table::NameTable;
use crate::messages::{DiscoveredEndpoint, Server};
use crate::start_times::StartTimes;

/// Whether an endpoint list names all servers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ListScope {
    /// A full snapshot: a server that it doesn't name is removed.
    Complete,
    /// Changes since the last list.
    Changes,
}

/// The servers of the endpoint list and the numbers that the policy knows them by.
pub(super) struct ServerDirectory {
    servers: BTreeMap<ServerId, Arc<Server>>,
    server_ids: NameTable,
    zones: NameTable,
    machines: NameTable,
    cells: NameTable,
    start_times: StartTimes,
}

impl ServerDirectory {
    /// Returns an empty directory that numbers `zones` and `machines` as the settings do.
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

    /// Returns whether the server is listed.
    pub fn contains(&self, server_id: ServerId) -> bool {
        self.servers.contains_key(&server_id)
    }

    /// Returns the number of a server by its name, whether or not it is listed.
    pub fn server_id(&mut self, name: &str) -> ServerId {
        self.server_ids.number_by_hash(name)
    }

    /// Returns the number of a listed server by its name.
    pub fn listed_server_id(&self, name: &str) -> Option<ServerId> {
        self.server_ids
            .get(name)
            .filter(|server_id| self.contains(*server_id))
    }

    /// Returns the number of a zone by its name.
    pub fn zone_id(&mut self, name: &str) -> u64 {
        self.zones.number_by_arrival(name)
    }

    /// Notes that discovery has answered: a server that is new from now on started no earlier.
    pub fn discovery_answered(&mut self) {
        self.start_times.begin_watch();
    }

    /// Takes over an endpoint list and returns it with numbers in place of names.
    pub fn update(
        &mut self,
        now: Time,
        entries: Vec<DiscoveredEndpoint>,
        scope: ListScope,
    ) -> Vec<Endpoint> {
        let mut endpoints = Vec::new();
        for entry in entries {
            let endpoint = self.endpoint(now, &entry);
            self.update_server(endpoint.server_id, entry);
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

    /// Returns the entry as the policy reads it.
    fn endpoint(&mut self, now: Time, entry: &DiscoveredEndpoint) -> Endpoint {
        let server_id = self.server_id(&entry.name);
        Endpoint {
            server_id,
            zone: self.zones.number_by_arrival(&entry.zone),
            machine: self.machines.number_by_arrival(&entry.machine),
            cell: self.cells.number_by_arrival(&entry.cell),
            state: entry.state,
            weight: entry.weight,
            started: self.start_times.local_start(now, server_id, entry.started),
        }
    }

    /// Adds a server, or takes over its state and address.
    fn update_server(&mut self, server_id: ServerId, entry: DiscoveredEndpoint) {
        let is_ready = entry.state == EndpointState::Ready;
        match self.servers.get(&server_id) {
            // An entry without an address leaves the server where it was.
            Some(server) if server.address == entry.address || entry.address.port() == 0 => {
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
                };
                self.servers.insert(server_id, Arc::new(server));
            }
        }
    }

    /// Removes the servers that a complete list doesn't name.
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
