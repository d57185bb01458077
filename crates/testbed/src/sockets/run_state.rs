//! The state of a run that its tasks share: the model, the clients, the rule checker, the figures and
//! the record. Whoever holds it never waits.

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

use super::{FOREVER, SLACK};
use crate::figures::{FigureCollector, Figures};
use crate::record::Writer;
use crate::rules::{RuleChecker, Verdict};

/// A signal to a connection's stand-in at its server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ServerSignal {
    /// Ends the connection with a reset.
    Reset,
    /// Writes and reads nothing any more.
    Silence,
    /// Sends the client away and ends the connection.
    Migrate,
}

/// What the stand-ins know of a flow.
pub struct FlowState {
    pub client: u64,
    pub balancer: usize,
    /// Where it is open, or an attempt is out.
    pub server: Option<usize>,
    /// Its server has ended it, and whether it had sent the client away.
    pub by_server: Option<bool>,
    /// Signals to the connection's stand-in at its server.
    pub signals: Option<mpsc::UnboundedSender<ServerSignal>>,
}

/// What all tasks of a run share behind one lock.
pub struct RunState {
    pub model: FleetModel,
    pub population: ClientPopulation,
    pub front: FrontEnd,
    pub figures: FigureCollector,
    pub rng: Rng,
    pub flows: HashMap<u64, FlowState>,
    /// By balancer: the version of the endpoint list that it may see, and whether it runs.
    pub visible: Vec<u64>,
    pub alive: Vec<bool>,
    pub standing: usize,
    /// Priority weight of messages answered in time since the last tick.
    pub served: f64,
    next_flow: u64,
    rules: Option<RuleChecker>,
    record: Option<Writer>,
    failed: Option<io::Error>,
    /// By server, for its listeners.
    pub statuses: Vec<watch::Sender<ServerStatus>>,
    /// When the figures that walk all servers were taken last.
    pub sampled: Time,
}

impl RunState {
    /// Returns the state before the run.
    pub fn new(scenario: &Scenario, seed: u64, record: Option<Writer>) -> Self {
        // A fact is judged when it arrives, which may be later by the way between two zones.
        let slack = SLACK + seconds(scenario.zones.between.max(scenario.zones.inside));
        RunState {
            population: ClientPopulation::new(seed),
            front: FrontEnd::new(scenario.balancers.number, scenario.zones.number),
            figures: FigureCollector::new(seconds(scenario.settle)),
            rng: Rng::new(seed, 3),
            flows: HashMap::new(),
            visible: vec![1; scenario.balancers.number],
            alive: vec![false; scenario.balancers.number],
            standing: 0,
            served: 0.0,
            next_flow: 0,
            rules: Some(RuleChecker::new(scenario, slack)),
            record,
            failed: None,
            statuses: Vec::new(),
            sampled: 0,
            model: FleetModel::new(scenario.clone(), seed),
        }
    }

    /// Shows a fact to the rule checker and writes it to the record.
    pub fn observe(&mut self, seen: Observation) {
        if let Some(rules) = &mut self.rules {
            rules.observe(&seen);
        }
        if let Some(record) = &mut self.record
            && let Err(e) = record.write(&seen)
        {
            self.failed.get_or_insert(e);
        }
    }

    /// Returns the number of the next flow.
    pub fn next_flow(&mut self) -> u64 {
        self.next_flow += 1;
        self.next_flow
    }

    /// Records that a connection ended without its client's doing.
    pub fn connection_broken(&mut self, at: Time, flow: u64, told: bool) {
        let Some(known) = self.flows.get(&flow) else {
            return;
        };
        let zone = known.balancer % self.model.scenario.zones.number;
        let server_healthy = known.server.is_some_and(|server| {
            let one = &self.model.servers[server];
            one.status == ServerStatus::Up && self.model.reaches(zone, one.zone)
        });
        let (by, told) = match known.by_server {
            Some(told) => (ClosedBy::Server, told),
            None => (ClosedBy::Balancer, told),
        };
        self.observe(Observation::ConnectionClosed {
            at,
            flow,
            by,
            client_notified: told,
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
        let verdict = self.rules.take().expect("finished once").finish(end);
        let figures = std::mem::replace(&mut self.figures, FigureCollector::new(FOREVER));
        let mut figures = figures.finish(standing, &verdict);
        let cpu = balancers.iter().map(|one| one.0).sum::<f64>() / balancers.len().max(1) as f64;
        figures.0.insert("balancer_cpu", cpu);
        figures.0.insert(
            "balancer_mb",
            balancers.iter().map(|one| one.1).fold(0.0, f64::max),
        );
        match (self.failed.take(), self.record.take()) {
            (Some(e), _) => Err(e),
            (None, Some(record)) => record.finish().map(|()| (figures, verdict)),
            (None, None) => Ok((figures, verdict)),
        }
    }
}
