//! The fleet as it is now: servers, their store, the list of servers, the zones, and the faults
//! that act on them.
//!
//! A driver calls [`FleetModel::tick`] often (each 100 ms) and carries out what has happened. Each
//! fault takes back what it did and nothing else, so that faults may overlap. The fleet never
//! touches a client or a balancer itself.

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
use degradation::WEIGHT_INTERVAL;
use faults::ActiveFault;
use list::ServerList;
use schedule::{Schedule, Task};

/// Servers to a cell.
const CELL_SIZE: usize = 4;
/// The random stream of the fleet.
const RNG_STREAM: u64 = 1;

/// Something that has happened in the fleet and that a driver has to carry out.
///
/// Servers, balancers and zones are named by their index, connections by their flow's number; times
/// are nanoseconds.
#[derive(Clone, Debug, PartialEq)]
#[allow(
    missing_docs,
    reason = "the fields' meanings stand above and at each variant"
)]
pub enum FleetEvent {
    /// A server has reset these connections.
    ConnectionsReset { server: usize, ids: Vec<u64> },
    /// These connections have fallen silent: their server's machine is gone.
    ConnectionsSilenced { server: usize, ids: Vec<u64> },
    /// A draining server has told the clients of these connections to migrate.
    ClientsMigrated { server: usize, ids: Vec<u64> },
    /// A server has joined or restarted, and begins its slow start.
    ServerStarted { server: usize },
    /// A server in slow start has collapsed.
    ServerCollapsed { server: usize },
    /// The list of servers has changed and is to be delivered to the balancers.
    EndpointsChanged,
    /// Discovery answers again.
    DiscoveryRecovered,
    /// A zone has been cut off from the others, or is reachable again.
    ZoneConnectivityChanged { zone: usize, cut: bool },
    /// A balancer is asked to shut down, and starts again after `away`.
    BalancerRestartRequested { balancer: usize, away: Time },
    /// A balancer is killed, and starts again after `away`.
    BalancerKilled { balancer: usize, away: Time },
}

/// The model of the fleet.
pub struct FleetModel {
    /// What the fleet was made from.
    pub scenario: Scenario,
    /// All servers that have ever been there, by index.
    pub servers: Vec<Server>,
    /// The store that all servers share.
    pub store: Store,
    /// The factor on the usual rate of new clients.
    pub surge: f64,
    /// The same for the first tenant's clients alone.
    pub tenant_surge: f64,
    faults: Vec<ActiveFault>,
    schedule: Schedule,
    list: ServerList,
    /// How many faults cut off each zone now.
    cuts: Vec<usize>,
    rng: Rng,
    /// What has happened and was not yet returned to the driver.
    events: Vec<FleetEvent>,
}

impl FleetModel {
    /// The fleet at time 0, with the scenario's faults scheduled.
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
            cuts: vec![0; scenario.zones.number],
            servers,
            rng,
            events: Vec::new(),
            scenario,
        };
        model.schedule_faults();
        if model.scenario.discovery.weights == Weights::Live {
            model.schedule.add(WEIGHT_INTERVAL, Task::RefreshWeights);
        }
        model
    }

    /// Advances to now and returns what has happened.
    pub fn tick(&mut self, now: Time) -> Vec<FleetEvent> {
        while let Some(task) = self.schedule.pop_due(now) {
            self.perform(now, task);
        }
        for server in 0..self.servers.len() {
            self.advance_server(now, server);
        }
        std::mem::take(&mut self.events)
    }

    fn perform(&mut self, now: Time, task: Task) {
        match task {
            Task::BeginFault { fault } => self.begin_fault(now, fault),
            Task::EndFault { fault } => self.end_fault(now, fault),
            Task::Drain {
                server,
                drain_behavior,
                until,
            } => self.drain(now, server, drain_behavior, until),
            Task::SendAway { server, steps_left } => self.send_away(now, server, steps_left),
            Task::Leave { server } => self.leave(server),
            Task::Start { server } => self.start(now, server),
            Task::ListDeath { server } => self.list_death(server),
            Task::Decay { fault, step } => self.decay(now, fault, step),
            Task::Neighbour { fault, present } => self.set_neighbour(now, fault, present),
            Task::FlapZone { fault, cut } => self.flap_zone(now, fault, cut),
            Task::RefreshWeights => self.refresh_weights(now),
        }
    }

    /// Lets work pile up at a server. One that is overloaded drops some of its connections.
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

    /// The server for a connection that stands when the run starts: of two random ones in that
    /// zone, or in all zones where it has none, the one with the lower utilization.
    pub fn stood_at(&self, zone: usize, rng: &mut Rng) -> usize {
        let all = 0..self.servers.len();
        let local: Vec<usize> = all
            .clone()
            .filter(|server| self.servers[*server].zone == zone)
            .collect();
        let candidates = if local.is_empty() {
            all.collect()
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

    /// The worth of the messages that are answered in time now, each second.
    pub fn served(&self, now: Time) -> f64 {
        self.servers
            .iter()
            .map(|server| self.served_by(server, now))
            .sum()
    }

    fn served_by(&self, server: &Server, now: Time) -> f64 {
        let types = &self.scenario.types;
        let worth = server
            .worth
            .iter()
            .zip(types)
            .filter(|(worth, _)| **worth > 0.0);
        worth
            .map(|(worth, class)| {
                worth * server.in_time(&self.scenario.fleet, now, class.message_target)
            })
            .sum()
    }

    /// The utilization of each running server that does not drain.
    pub fn utilizations(&self, now: Time) -> impl Iterator<Item = f64> + '_ {
        let up = self
            .servers
            .iter()
            .filter(|server| server.status == ServerStatus::Up && !server.draining);
        up.map(move |server| server.utilization(&self.scenario.fleet, now))
    }
}

/// A warm server; zones are filled in turn, cells one after another.
fn new_server(scenario: &Scenario, index: usize, rng: &mut Rng) -> Server {
    let zone = index % scenario.zones.number;
    let place = (zone, index / CELL_SIZE, 0);
    Server::new(&scenario.fleet, scenario.types.len(), place, rng)
}

#[cfg(test)]
mod tests;
