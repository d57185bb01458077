//! The endpoint list with what is known of each server, and the candidates of a long list: state,
//! which decides nothing.

use std::collections::{BTreeMap, BTreeSet};

use nettlemux_candidates::{CandidateSet, WHOLE_LIST_MAX, hash, hash_name};

use crate::connections::ConnectionTable;
use crate::load_reports::ServerLoad;
use crate::outlier::OutlierState;
use crate::types::{Endpoint, EndpointState, Flow, ServerId, Time};

/// How the endpoint list is had, and how much of it is looked at.
#[derive(Clone, Debug, PartialEq)]
pub struct EndpointConfig {
    /// Whether the list has to be polled; otherwise it is pushed.
    pub is_polled: bool,
    /// Servers up to which the whole list is looked at for each flow; beyond, only candidates.
    pub whole_list_max: usize,
}

impl Default for EndpointConfig {
    fn default() -> Self {
        EndpointConfig {
            is_polled: false,
            whole_list_max: WHOLE_LIST_MAX,
        }
    }
}

/// When one server's health is checked.
#[derive(Default)]
pub(crate) struct HealthCheckTimes {
    pub(crate) next_at: Time,
    /// When a flow, or the budget of a long list, last asked for a check.
    pub(crate) requested_at: Time,
}

/// The slots in which one server's slow start is budgeted.
#[derive(Default)]
pub(crate) struct SlowStartSlots {
    /// The last slot in which an attempt went out, and how many did.
    pub(crate) last_slot: u64,
    pub(crate) attempts: u64,
    /// Shifts where slots begin.
    pub(crate) offset: Time,
}

/// One server: its endpoint and what is known of it. What every flow looks at stands first and
/// together.
#[repr(C)]
#[derive(Default)]
pub(crate) struct Server {
    pub(crate) endpoint: Endpoint,
    pub(crate) load: ServerLoad,
    pub(crate) outlier: OutlierState,
    /// Its credit in the weighted round robin.
    pub(crate) rotation_credit: f64,
    pub(crate) health_check: HealthCheckTimes,
    /// When own connections were last migrated off it because of its load.
    pub(crate) migrated_at: Option<Time>,
    /// When it was last listed as ready, as of the update that says that it isn't.
    pub(crate) last_ready_at: Time,
    pub(crate) slow_start: SlowStartSlots,
    /// When it last answered an attempt that it is overloaded.
    pub(crate) overloaded_at: Option<Time>,
}

impl Server {
    pub(crate) fn is_ready(&self) -> bool {
        self.endpoint.state == EndpointState::Ready
    }
}

/// The servers listed, and those of which connections are left.
pub(crate) struct Endpoints {
    pub(crate) servers: BTreeMap<ServerId, Server>,
    pub(crate) draining: BTreeSet<ServerId>,
    /// Candidates and budgets, where the list is too long to be looked at whole.
    pub(crate) candidates: Option<CandidateSet>,
    whole_list_max: usize,
    /// Sets this balancer's flows without a group apart from others'.
    salt: u64,
    next_poll_at: Option<Time>,
}

impl Endpoints {
    /// An empty list.
    pub(crate) fn new(config: &EndpointConfig, seed: u64) -> Self {
        Endpoints {
            servers: BTreeMap::new(),
            draining: BTreeSet::new(),
            candidates: None,
            whole_list_max: config.whole_list_max,
            salt: hash(seed),
            next_poll_at: config.is_polled.then_some(0),
        }
    }

    /// Keeps what was known under other settings.
    pub(crate) fn continue_from(&mut self, old: Endpoints) {
        *self = Endpoints {
            whole_list_max: self.whole_list_max,
            next_poll_at: self.next_poll_at,
            ..old
        };
    }

    /// Takes in a watch event: changed entries, or all of them. `new_server` makes the state of a
    /// server that was not known, and is called once for each entry.
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
                // A restart under the same id: nothing measured holds any more.
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

    /// Notes which servers were ready until now, also where a complete list tells of a drain.
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

    /// Keeps the candidates of a long list; a short one has none.
    fn update_candidates(&mut self, entries: &[Endpoint], is_complete: bool) {
        let known = self.candidates.take();
        if self.servers.len() <= self.whole_list_max {
            return;
        }
        let is_whole = is_complete || known.is_none();
        let mut candidates = known.unwrap_or_default();
        let mut update = |entry: &Endpoint| {
            if entry.state == EndpointState::Ready {
                candidates.insert(entry.server_id, entry.zone, entry.weight);
            } else {
                candidates.remove(entry.server_id);
            }
        };
        if is_whole {
            let servers = self.servers.values();
            servers.for_each(|server| update(&server.endpoint));
        } else {
            entries.iter().for_each(update);
        }
        self.candidates = Some(candidates);
    }

    /// Whether the list is too long to be looked at whole.
    pub(crate) fn is_long(&self) -> bool {
        self.candidates.is_some()
    }

    /// Servers that a look at all of them meets at most.
    pub(crate) fn looked_at_max(&self) -> usize {
        self.servers.len().min(self.whole_list_max)
    }

    /// The first servers of the list, as many as are looked at whole.
    pub(crate) fn first_servers(&self) -> impl Iterator<Item = &Server> {
        self.servers.values().take(self.whole_list_max)
    }

    /// Returns, on a long list, the key by which this flow's candidates are chosen.
    pub(crate) fn candidate_key(&self, flow: &Flow) -> u64 {
        flow.group
            .as_ref()
            .map_or_else(|| hash(self.salt ^ flow.id), |group| hash_name(group))
    }

    /// Whether the whole of a long list may be walked now, which then counts as done.
    pub(crate) fn may_walk_list(&mut self, now: Time) -> bool {
        self.candidates
            .as_mut()
            .is_some_and(|candidates| candidates.may_walk_list(now))
    }

    /// Polls the list again at this time.
    pub(crate) fn poll_at(&mut self, at: Time) {
        self.next_poll_at = Some(at);
    }

    /// When the list is to be polled.
    pub(crate) fn next_poll_at(&self) -> Option<Time> {
        self.next_poll_at
    }

    /// Whether the list is to be polled now, which then counts as done.
    pub(crate) fn take_due_poll(&mut self, now: Time) -> bool {
        self.next_poll_at.take_if(|at| *at <= now).is_some()
    }
}
