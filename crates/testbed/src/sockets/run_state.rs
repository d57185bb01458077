//! The state that the tasks of a run share: the model, the clients, the rule checker, the figures
//! and the record. A task never awaits while it holds the lock of this state.

use std::collections::HashMap;
use std::io;

use nettlemux_fleet_model::front_end::FrontEnd;
use nettlemux_fleet_model::model::FleetModel;
use nettlemux_fleet_model::observation::{ClosedBy, Observation};
use nettlemux_fleet_model::population::ClientPopulation;
use nettlemux_fleet_model::rng::Rng;
use nettlemux_fleet_model::scenario::Scenario;
use nettlemux_fleet_model::server::ServerStatus;
use nettlemux_fleet_model::time::seconds;
use nettlemux_policy::Time;
use tokio::sync::{mpsc, watch};

use super::{LONGER_THAN_ANY_RUN, TIME_LIMIT_TOLERANCE};
use crate::figures::{FigureCollector, Figures};
use crate::record::Writer;
use crate::rules::{RuleChecker, Verdict};

/// A signal to the server's side of a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ServerSignal {
    /// Resets the connection.
    Reset,
    /// Stops answering on the connection.
    Silence,
    /// Tells the client to migrate and closes the connection.
    Migrate,
}

/// The state of a flow that the stand-ins share.
pub struct FlowState {
    pub client: u64,
    pub balancer: usize,
    /// The server at which the flow is open or has an attempt in progress.
    pub server: Option<usize>,
    /// `Some` if the server has closed the connection: whether it told the client to migrate.
    pub closed_by_server: Option<bool>,
    /// Sends signals to the server's side of the connection.
    pub signals: Option<mpsc::UnboundedSender<ServerSignal>>,
}

/// The state that all tasks of a run share behind one lock.
pub struct RunState {
    pub model: FleetModel,
    pub population: ClientPopulation,
    pub front_end: FrontEnd,
    pub figures: FigureCollector,
    pub rng: Rng,
    pub flows: HashMap<u64, FlowState>,
    /// For each balancer, the version of the endpoint list that discovery shows it.
    pub visible_versions: Vec<u64>,
    /// For each balancer, whether its process is running.
    pub alive: Vec<bool>,
    /// Number of standing connections that are established.
    pub standing: usize,
    /// Priority weight of messages answered in time since the last tick.
    pub served: f64,
    next_flow: u64,
    rules: Option<RuleChecker>,
    record: Option<Writer>,
    record_error: Option<io::Error>,
    /// For each server, its status, which its listeners follow.
    pub statuses: Vec<watch::Sender<ServerStatus>>,
    /// Time of the last sample of the utilization of all servers.
    pub load_sampled_at: Time,
}

impl RunState {
    /// Returns the state at the beginning of a run.
    pub fn new(scenario: &Scenario, seed: u64, record: Option<Writer>) -> Self {
        // An observation is checked when it is received, which may be later than the event by the
        // network latency between two zones.
        let tolerance =
            TIME_LIMIT_TOLERANCE + seconds(scenario.zones.between.max(scenario.zones.inside));
        RunState {
            population: ClientPopulation::new(seed),
            front_end: FrontEnd::new(scenario.balancers.number, scenario.zones.number),
            figures: FigureCollector::new(seconds(scenario.settle)),
            rng: Rng::new(seed, 3),
            flows: HashMap::new(),
            visible_versions: vec![1; scenario.balancers.number],
            alive: vec![false; scenario.balancers.number],
            standing: 0,
            served: 0.0,
            next_flow: 0,
            rules: Some(RuleChecker::new(scenario, tolerance)),
            record,
            record_error: None,
            statuses: Vec::new(),
            load_sampled_at: 0,
            model: FleetModel::new(scenario.clone(), seed),
        }
    }

    /// Passes an observation to the rule checker and writes it to the record.
    pub fn observe(&mut self, observation: Observation) {
        if let Some(rules) = &mut self.rules {
            rules.observe(&observation);
        }
        if let Some(record) = &mut self.record
            && let Err(e) = record.write(&observation)
        {
            self.record_error.get_or_insert(e);
        }
    }

    /// Returns the number of the next flow.
    pub fn next_flow(&mut self) -> u64 {
        self.next_flow += 1;
        self.next_flow
    }

    /// Records that a connection was closed by its server or its balancer.
    pub fn record_connection_closed(&mut self, at: Time, flow: u64, client_notified: bool) {
        let Some(state) = self.flows.get(&flow) else {
            return;
        };
        let zone = state.balancer % self.model.scenario.zones.number;
        let server_healthy = state.server.is_some_and(|server| {
            let server = &self.model.servers[server];
            server.status == ServerStatus::Up && self.model.can_reach(zone, server.zone)
        });
        let (by, client_notified) = match state.closed_by_server {
            Some(client_notified) => (ClosedBy::Server, client_notified),
            None => (ClosedBy::Balancer, client_notified),
        };
        self.observe(Observation::ConnectionClosed {
            at,
            flow,
            by,
            client_notified,
            server_healthy,
        });
    }

    /// Ends the run and returns its figures and verdict.
    pub fn finish(
        &mut self,
        end: Time,
        balancers: &[(f64, f64)],
    ) -> io::Result<(Figures, Verdict)> {
        let standing = self
            .model
            .servers
            .iter()
            .map(|server| server.connections.len())
            .sum();
        let verdict = self
            .rules
            .take()
            .expect("a run is finished only once")
            .finish(end);
        let figures =
            std::mem::replace(&mut self.figures, FigureCollector::new(LONGER_THAN_ANY_RUN));
        let mut figures = figures.finish(standing, &verdict);
        let cpu =
            balancers.iter().map(|usage| usage.0).sum::<f64>() / balancers.len().max(1) as f64;
        figures.0.insert("balancer_cpu", cpu);
        figures.0.insert(
            "balancer_mb",
            balancers.iter().map(|usage| usage.1).fold(0.0, f64::max),
        );
        match (self.record_error.take(), self.record.take()) {
            (Some(e), _) => Err(e),
            (None, Some(record)) => record.finish().map(|()| (figures, verdict)),
            (None, None) => Ok((figures, verdict)),
        }
    }
}
