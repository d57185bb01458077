//! The state at time 0, and the start of a balancer's process.

use nettlemux_admission::AdmissionController;
use nettlemux_fleet_model::observation::{Observation, RECORD_FORMAT_VERSION};
use nettlemux_fleet_model::time::seconds;
use nettlemux_flow_table::{FlowTable, LoadBalancingPolicy, RetryAfterHint};
use nettlemux_policy::Time;
use nettlemux_settings::Settings;

use super::PolicyChoice;
use super::balancer::SimulatedFlowTable;
use super::event::Event;
use super::flow::FlowState;
use super::sampling::{SAMPLE_INTERVAL, TICK_INTERVAL};
use super::simulation::Simulation;
use crate::file;

/// Multiplied with a balancer's number, so that each balancer draws different random numbers (the
/// golden ratio in 64 bits).
const BALANCER_SEED: u64 = 0x9e37_79b9_7f4a_7c15;

impl Simulation<'_> {
    /// Initializes the run and schedules the first events.
    pub(super) fn begin(&mut self) {
        self.observe_header();
        for server in 0..self.model.servers.len() {
            self.observe_server(server);
        }
        for balancer in 0..self.balancers.len() {
            self.start_balancer(balancer);
        }
        for _ in 0..self.model.scenario.clients.standing {
            self.add_standing_connection();
        }
        self.schedule(TICK_INTERVAL, Event::ModelTick);
        self.schedule(SAMPLE_INTERVAL, Event::Sample);
        let wait = self.clients.next_arrival(&self.model);
        self.schedule(wait, Event::ClientArrives);
    }

    fn observe_header(&mut self) {
        let scenario = self.model.scenario.name.clone();
        let program = format!("{} in virtual time", self.policy.name());
        self.observe(Observation::Header {
            version: RECORD_FORMAT_VERSION,
            scenario,
            seed: self.seed,
            program,
        });
    }

    /// Records the zone, cell and machine of a server.
    pub(super) fn observe_server(&mut self, server: usize) {
        let state = &self.model.servers[server];
        let (zone, cell, machine) = (state.zone, state.cell, state.machine);
        self.observe(Observation::Server {
            at: self.now,
            server,
            zone,
            cell,
            machine,
        });
    }

    /// Starts a balancer's process without any state and gives it the current list.
    pub(super) fn start_balancer(&mut self, balancer: usize) {
        let flow_table = self.new_flow_table(balancer);
        let state = &mut self.balancers[balancer];
        state.flow_table = Some(flow_table);
        state.list_version = 0;
        state.wakeup = None;
        self.deliver_list(balancer);
    }

    fn new_flow_table(&self, balancer: usize) -> SimulatedFlowTable {
        let seed = self.balancer_seed(balancer);
        let flow_table = FlowTable::new(self.new_policy(balancer, seed));
        match &self.model.scenario.admission {
            None => flow_table,
            Some(keys) => {
                let retry_after_max = seconds(self.model.scenario.limits.retry_after);
                let admission =
                    AdmissionController::new(file::admission(keys, retry_after_max), seed);
                let hint = match retry_after_max {
                    0 => RetryAfterHint::Withheld,
                    _ => RetryAfterHint::Sent,
                };
                flow_table.with_admission(admission, hint)
            }
        }
    }

    fn new_policy(&self, balancer: usize, seed: u64) -> Box<dyn LoadBalancingPolicy> {
        let settings = &self.settings[self.balancers[balancer].zone];
        match self.policy {
            PolicyChoice::Policy(kind) => kind.policy(
                &Settings::from_embedded(settings).expect("the testbed makes valid settings"),
                seed,
            ),
            PolicyChoice::Mutant(mutant) => mutant.policy(settings, seed),
        }
    }

    /// A seed that differs between balancers and between runs of a balancer's process.
    fn balancer_seed(&self, balancer: usize) -> u64 {
        let epoch = self.balancers[balancer].epoch;
        self.seed ^ (balancer as u64 + 1).wrapping_mul(BALANCER_SEED) ^ u64::from(epoch)
    }

    /// Adds a connection that exists when the run starts.
    fn add_standing_connection(&mut self) {
        let client = self.clients.arrive(0, &self.model);
        let known = self
            .clients
            .get(client)
            .expect("the client has just arrived");
        let (client_zone, load) = (known.zone, known.load);
        let Some(balancer) = self.front_end.pick_balancer(0, client_zone) else {
            return;
        };
        let server = self
            .model
            .server_of_standing_connection(self.balancers[balancer].zone, &mut self.rng);
        let flow = self.new_flow(client, Time::MAX);
        let id = flow.id;
        if let Some(flow_table) = &mut self.balancers[balancer].flow_table {
            flow_table.adopt_connection(flow, server as u64);
            flow_table.update_connection_load(id, load);
        }
        self.flows
            .insert(id, FlowState::standing(client, balancer, server));
        self.flow_of_client.insert(client, id);
        self.attach(id, client, server);
        self.connection_opened(id, client);
    }
}
