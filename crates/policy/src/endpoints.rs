//! The endpoint list with the known state of each server, and the candidates of a long list. This
//! module holds state and makes no decisions.

use std::collections::{BTreeMap, BTreeSet};

use nettlemux_candidates::{CandidateSet, FULL_SCAN_SERVERS_MAX, hash, hash_name};

use crate::connections::ConnectionTable;
use crate::load_reports::ServerLoad;
use crate::outlier::OutlierState;
use crate::types::{Endpoint, EndpointState, Flow, ServerId, Time};

/// How the endpoint list is obtained, and up to which length it is considered as a whole.
#[derive(Clone, Debug, PartialEq)]
pub struct EndpointConfig {
    /// Whether the list has to be polled; otherwise it is pushed.
    pub is_polled: bool,
    /// Number of servers up to which the whole list is considered for each flow. On a longer list
    /// only candidates are considered.
    pub full_scan_servers_max: usize,
}

impl Default for EndpointConfig {
    fn default() -> Self {
        EndpointConfig {
            is_polled: false,
            full_scan_servers_max: FULL_SCAN_SERVERS_MAX,
        }
    }
}

/// The health check times of one server.
#[derive(Default)]
pub(crate) struct HealthCheckTimes {
    pub(crate) next_at: Time,
    /// When a flow, or the budget of a long list, last requested a check.
    pub(crate) requested_at: Time,
}

/// The slots by which the slow start of one server is budgeted.
#[derive(Default)]
pub(crate) struct SlowStartSlots {
    /// The last slot in which an attempt was sent, and the number of attempts in that slot.
    pub(crate) last_slot: u64,
    pub(crate) attempts: u64,
    /// Shifts the beginning of the slots.
    pub(crate) offset: Time,
}

/// One server: its endpoint and its known state. The fields that are read for every flow come
/// first, next to each other in memory.
#[repr(C)]
#[derive(Default)]
pub(crate) struct Server {
    pub(crate) endpoint: Endpoint,
    pub(crate) load: ServerLoad,
    pub(crate) outlier: OutlierState,
    /// Its credit in the weighted round robin.
    pub(crate) rotation_credit: f64,
    pub(crate) health_check: HealthCheckTimes,
    /// When own connections were last migrated off it because it was overloaded.
    pub(crate) migrated_at: Option<Time>,
    /// When it was last listed as ready: the time of the update that ended this state.
    pub(crate) last_ready_at: Time,
    pub(crate) slow_start: SlowStartSlots,
    /// When it last refused an attempt because it was overloaded.
    pub(crate) overloaded_at: Option<Time>,
}

impl Server {
    pub(crate) fn is_ready(&self) -> bool {
        self.endpoint.state == EndpointState::Ready
    }
}

/// The listed servers, and unlisted servers that still have own connections.
pub(crate) struct Endpoints {
    pub(crate) servers: BTreeMap<ServerId, Server>,
    pub(crate) draining: BTreeSet<ServerId>,
    /// Candidates and budgets, if the list is too long to be considered as a whole.
    pub(crate) candidates: Option<CandidateSet>,
    full_scan_servers_max: usize,
    /// Makes the candidates of this balancer's flows without a group differ from those of other
    /// balancers.
    salt: u64,
    next_poll_at: Option<Time>,
}

impl Endpoints {
    /// Creates an empty list.
    pub(crate) fn new(config: &EndpointConfig, seed: u64) -> Self {
        Endpoints {
            servers: BTreeMap::new(),
            draining: BTreeSet::new(),
            candidates: None,
            full_scan_servers_max: config.full_scan_servers_max,
            salt: hash(seed),
            next_poll_at: config.is_polled.then_some(0),
        }
    }

    /// Takes over the state of the policy that had the previous settings.
    pub(crate) fn take_state_from(&mut self, old: Endpoints) {
        *self = Endpoints {
            full_scan_servers_max: self.full_scan_servers_max,
            next_poll_at: self.next_poll_at,
            ..old
        };
    }

    /// Applies a watch event: changed entries, or all entries. `new_server` creates the state of a
    /// server that is not known yet; it is called once for each entry.
    pub(crate) fn update(
        &mut self,
        now: Time,
        entries: &[Endpoint],
        is_complete: bool,
        connections: &ConnectionTable,
        mut new_server: impl FnMut(&Endpoint) -> Server,
    ) {
        self.begin_update(now, is_complete);
        for entry in entries {
            let new = new_server(entry);
            match self.servers.get_mut(&entry.server_id) {
                Some(known) if known.endpoint.started == entry.started => known.endpoint = *entry,
                // The server has restarted with the same id: no measurement is valid any more.
                _ => drop(self.servers.insert(entry.server_id, new)),
            }
        }
        self.update_candidates(entries, is_complete);
        self.servers.retain(|server_id, server| {
            server.endpoint.state != EndpointState::Removed
                || connections.count_at(*server_id) > 0.0
        });
        let draining = self
            .servers
            .values()
            .filter(|server| server.endpoint.state == EndpointState::Draining);
        self.draining = draining.map(|server| server.endpoint.server_id).collect();
    }

    /// Records which servers were ready until now, including those whose drain is learned from a
    /// complete list.
    fn begin_update(&mut self, now: Time, is_complete: bool) {
        for server in self.servers.values_mut() {
            if server.is_ready() {
                server.last_ready_at = now;
            }
            if is_complete {
                server.endpoint.state = EndpointState::Removed;
            }
        }
    }

    /// Updates the candidates of a long list; a short list has none.
    fn update_candidates(&mut self, entries: &[Endpoint], is_complete: bool) {
        let known = self.candidates.take();
        if self.servers.len() <= self.full_scan_servers_max {
            return;
        }
        let updates_all = is_complete || known.is_none();
        let mut candidates = known.unwrap_or_default();
        let mut update = |entry: &Endpoint| {
            if entry.state == EndpointState::Ready {
                candidates.insert(entry.server_id, entry.zone, entry.weight);
            } else {
                candidates.remove(entry.server_id);
            }
        };
        if updates_all {
            let servers = self.servers.values();
            servers.for_each(|server| update(&server.endpoint));
        } else {
            entries.iter().for_each(update);
        }
        self.candidates = Some(candidates);
    }

    /// Whether the list is too long to be considered as a whole.
    pub(crate) fn is_long(&self) -> bool {
        self.candidates.is_some()
    }

    /// Returns the number of servers that a scan of all servers visits at most.
    pub(crate) fn scan_size(&self) -> usize {
        self.servers.len().min(self.full_scan_servers_max)
    }

    /// Returns the first servers of the list, as many as a scan visits.
    pub(crate) fn first_servers(&self) -> impl Iterator<Item = &Server> {
        self.servers.values().take(self.full_scan_servers_max)
    }

    /// Returns the key that selects this flow's candidates on a long list.
    pub(crate) fn candidate_key(&self, flow: &Flow) -> u64 {
        flow.group
            .as_ref()
            .map_or_else(|| hash(self.salt ^ flow.id), |group| hash_name(group))
    }

    /// Whether the whole of a long list may be walked now. A permitted walk is charged to the
    /// budget.
    pub(crate) fn try_begin_list_scan(&mut self, now: Time) -> bool {
        self.candidates
            .as_mut()
            .is_some_and(|candidates| candidates.try_begin_list_scan(now))
    }

    /// Schedules the next poll of the list.
    pub(crate) fn poll_at(&mut self, at: Time) {
        self.next_poll_at = Some(at);
    }

    /// When the list has to be polled next.
    pub(crate) fn next_poll_at(&self) -> Option<Time> {
        self.next_poll_at
    }

    /// Whether the list has to be polled now. A poll that is due is marked as done.
    pub(crate) fn take_due_poll(&mut self, now: Time) -> bool {
        self.next_poll_at.take_if(|at| *at <= now).is_some()
    }
}
