//! The current state of the fleet: servers, their store, the endpoint list, the zones, and the
//! faults that act on them.
//!
//! A driver calls [`FleetModel::tick`] often (every 100 ms) and carries out the events that it
//! returns. The end of a fault reverts only the effect of that fault, so that faults may overlap.
//! The model never acts on clients or balancers itself.

mod degradation;
mod faults;
mod lifecycle;
mod list;
mod listing;
mod network;
mod schedule;

use nettlemux_policy::Time;

use crate::rng::Rng;
use crate::scenario::{Scenario, Weights};
use crate::server::{Server, ServerStatus};
use crate::store::Store;
use degradation::WEIGHT_REFRESH_INTERVAL;
use faults::ActiveFault;
use list::ServerList;
use schedule::{Schedule, Task};

/// The number of servers in a cell.
const SERVERS_PER_CELL: usize = 4;
/// The random stream of the fleet model.
const RNG_STREAM: u64 = 1;

/// An event in the fleet that a driver has to carry out.
///
/// Servers, balancers and zones are identified by their index, connections by the number of their
/// flow. Times are in nanoseconds.
#[derive(Clone, Debug, PartialEq)]
#[allow(
    missing_docs,
    reason = "the fields are described above and at each variant"
)]
pub enum FleetEvent {
    /// A server has reset these connections.
    ConnectionsReset { server: usize, ids: Vec<u64> },
    /// The machine of a server no longer responds. Its connections stay open without an answer.
    ConnectionsSilenced { server: usize, ids: Vec<u64> },
    /// A draining server has told the clients of these connections to migrate.
    ClientsMigrated { server: usize, ids: Vec<u64> },
    /// A server has joined or restarted, and is in slow start.
    ServerStarted { server: usize },
    /// A server in slow start has collapsed.
    ServerCollapsed { server: usize },
    /// The endpoint list has changed and must be delivered to the balancers.
    EndpointsChanged,
    /// Discovery answers again.
    DiscoveryRecovered,
    /// A zone has been partitioned from the others (`cut`), or is reachable again.
    ZoneConnectivityChanged { zone: usize, cut: bool },
    /// A balancer must be shut down gracefully, and restarted `downtime` after it has ended.
    BalancerRestartRequested { balancer: usize, downtime: Time },
    /// A balancer must be killed, and restarted after `downtime`.
    BalancerKilled { balancer: usize, downtime: Time },
}

/// The model of the fleet.
pub struct FleetModel {
    /// The scenario that the fleet was created from.
    pub scenario: Scenario,
    /// All servers that have ever existed, by index.
    pub servers: Vec<Server>,
    /// The store that all servers share.
    pub store: Store,
    /// The factor on the usual arrival rate of new clients.
    pub surge: f64,
    /// The factor on the usual arrival rate of the first tenant's clients.
    pub tenant_surge: f64,
    faults: Vec<ActiveFault>,
    schedule: Schedule,
    list: ServerList,
    /// The number of faults that partition each zone now.
    cuts_by_zone: Vec<usize>,
    rng: Rng,
    /// Events that have not been returned to the driver yet.
    events: Vec<FleetEvent>,
}

impl FleetModel {
    /// Creates the fleet at time 0, with the scenario's faults scheduled.
    pub fn new(scenario: Scenario, seed: u64) -> Self {
        let mut rng = Rng::new(seed, RNG_STREAM);
        let count = scenario.fleet.servers;
        let servers = (0..count)
            .map(|index| new_server(&scenario, index, &mut rng))
            .collect();
        let mut model = FleetModel {
            store: Store::new(scenario.store.rate, scenario.store.call_time),
            surge: 1.0,
            tenant_surge: 1.0,
            faults: Vec::new(),
            schedule: Schedule::default(),
            list: ServerList::new(count),
            cuts_by_zone: vec![0; scenario.zones.number],
            servers,
            rng,
            events: Vec::new(),
            scenario,
        };
        model.schedule_faults();
        if model.scenario.discovery.weights == Weights::Live {
            model
                .schedule
                .add(WEIGHT_REFRESH_INTERVAL, Task::RefreshWeights);
        }
        model
    }

    /// Advances the fleet to `now`. Returns the events that have not been returned yet.
    pub fn tick(&mut self, now: Time) -> Vec<FleetEvent> {
        while let Some(task) = self.schedule.pop_due(now) {
            self.run_task(now, task);
        }
        for server in 0..self.servers.len() {
            self.advance_server(now, server);
        }
        std::mem::take(&mut self.events)
    }

    fn run_task(&mut self, now: Time, task: Task) {
        match task {
            Task::BeginFault { fault } => self.begin_fault(now, fault),
            Task::EndFault { fault } => self.end_fault(now, fault),
            Task::Drain {
                server,
                drain_behavior,
                until,
            } => self.drain(now, server, drain_behavior, until),
            Task::MigrateClients { server, steps_left } => {
                self.migrate_clients(now, server, steps_left)
            }
            Task::StopDrained { server } => self.stop_drained(server),
            Task::Start { server } => self.start(now, server),
            Task::DelistDead { server } => self.delist_dead(server),
            Task::DecayStep { fault, step } => self.decay_step(now, fault, step),
            Task::ToggleNeighbour { fault, present } => self.set_neighbour(now, fault, present),
            Task::ToggleZoneCut { fault, cut } => self.toggle_zone_cut(now, fault, cut),
            Task::RefreshWeights => self.refresh_weights(now),
        }
    }

    /// Updates the backlog of a server. If the backlog is at its limit, the server resets some of its
    /// connections.
    fn advance_server(&mut self, now: Time, server: usize) {
        let state = &mut self.servers[server];
        let ids = state.advance(&self.scenario.fleet, now);
        if ids.is_empty() {
            return;
        }
        for id in &ids {
            state.detach(*id);
        }
        self.events
            .push(FleetEvent::ConnectionsReset { server, ids });
    }

    /// Chooses the server for a connection that is open when the run starts: the one with the lower
    /// utilization of two random servers in `zone`, or in all zones if `zone` has no servers.
    pub fn server_of_standing_connection(&self, zone: usize, rng: &mut Rng) -> usize {
        let all_servers = 0..self.servers.len();
        let local: Vec<usize> = all_servers
            .clone()
            .filter(|server| self.servers[*server].zone == zone)
            .collect();
        let candidates = if local.is_empty() {
            all_servers.collect()
        } else {
            local
        };
        let first = candidates[rng.index_below(candidates.len())];
        let second = candidates[rng.index_below(candidates.len())];
        let utilization = |server: usize| self.servers[server].utilization(&self.scenario.fleet, 0);
        if utilization(first) <= utilization(second) {
            first
        } else {
            second
        }
    }

    /// Returns the value per second of the messages that are answered within their latency objective
    /// now.
    pub fn served_value(&self, now: Time) -> f64 {
        self.servers
            .iter()
            .map(|server| self.server_served(server, now))
            .sum()
    }

    fn server_served(&self, server: &Server, now: Time) -> f64 {
        let types = &self.scenario.types;
        let value_by_class = server
            .value_by_class
            .iter()
            .zip(types)
            .filter(|(value, _)| **value > 0.0);
        value_by_class
            .map(|(value, class)| {
                value
                    * server.fraction_answered_within(
                        &self.scenario.fleet,
                        now,
                        class.message_target,
                    )
            })
            .sum()
    }

    /// Returns the utilization of each running server that is not draining.
    pub fn utilizations(&self, now: Time) -> impl Iterator<Item = f64> + '_ {
        let running = self
            .servers
            .iter()
            .filter(|server| server.status == ServerStatus::Up && !server.draining);
        running.map(move |server| server.utilization(&self.scenario.fleet, now))
    }
}

/// Creates a warm server. Indices are assigned to zones round-robin and to cells in blocks.
fn new_server(scenario: &Scenario, index: usize, rng: &mut Rng) -> Server {
    let zone = index % scenario.zones.number;
    let location = (zone, index / SERVERS_PER_CELL, 0);
    Server::new(&scenario.fleet, scenario.types.len(), location, rng)
}

#[cfg(test)]
mod tests;
