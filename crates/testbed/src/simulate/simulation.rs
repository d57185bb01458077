//! The state of a run, its main loop, and the dispatch of each event to its handler.

use std::collections::BTreeMap;
use std::io;

use nettlemux_fleet_model::front_end::FrontEnd;
use nettlemux_fleet_model::model::FleetModel;
use nettlemux_fleet_model::observation::Observation;
use nettlemux_fleet_model::population::ClientPopulation;
use nettlemux_fleet_model::rng::Rng;
use nettlemux_fleet_model::scenario::Scenario;
use nettlemux_fleet_model::time::seconds;
use nettlemux_policy::{FlowId, MS, Time, TrafficClass};
use nettlemux_settings::Settings;
use serde_json::Value;

use super::balancer::{Balancer, Incarnation};
use super::event::Event;
use super::flow::{ClientId, FlowPhase, FlowState};
use super::queue::EventQueue;
use super::{Outcome, PolicyChoice};
use crate::figures::FigureCollector;
use crate::file;
use crate::record::Writer;
use crate::rules::RuleChecker;

/// The random stream of the simulation itself. The model and the clients have their own streams.
const RNG_STREAM: u64 = 3;

/// One run. Its methods are in the sibling modules, by the kind of event.
pub(super) struct Simulation<'a> {
    pub(super) now: Time,
    end: Time,
    queue: EventQueue,
    pub(super) model: FleetModel,
    pub(super) clients: ClientPopulation,
    pub(super) front_end: FrontEnd,
    pub(super) balancers: Vec<Balancer>,
    pub(super) flows: BTreeMap<FlowId, FlowState>,
    /// The flow of each client that has one.
    pub(super) flow_of_client: BTreeMap<ClientId, FlowId>,
    pub(super) next_flow: FlowId,
    /// The balancers' settings by zone.
    pub(super) settings: Vec<Value>,
    /// The traffic classes of these settings, by number.
    pub(super) traffic_classes: Vec<TrafficClass>,
    pub(super) policy: PolicyChoice,
    pub(super) seed: u64,
    pub(super) rng: Rng,
    rule_checker: RuleChecker,
    pub(super) figures: FigureCollector,
    record: Option<&'a mut Writer>,
    record_error: Option<io::Error>,
    /// The number of attempts that have arrived at servers, for mutants that misbehave on some
    /// attempts only.
    pub(super) attempts_arrived: u64,
}

impl<'a> Simulation<'a> {
    /// Creates a run that has not started.
    pub(super) fn new(
        scenario: Scenario,
        seed: u64,
        policy: PolicyChoice,
        record: Option<&'a mut Writer>,
    ) -> Self {
        let zones = scenario.zones.number;
        // Balancers act on updates that took this long to arrive; the rule checker allows for it.
        let tolerance = seconds(scenario.zones.between.max(scenario.zones.inside)) + MS;
        let settings: Vec<Value> = (0..zones)
            .map(|zone| file::settings(&scenario, zone))
            .collect();
        Simulation {
            now: 0,
            end: scenario.end(),
            queue: EventQueue::default(),
            clients: ClientPopulation::new(seed),
            front_end: FrontEnd::new(scenario.balancers.number, zones),
            balancers: (0..scenario.balancers.number)
                .map(|b| Balancer::new(b % zones))
                .collect(),
            flows: BTreeMap::new(),
            flow_of_client: BTreeMap::new(),
            next_flow: 1,
            traffic_classes: traffic_classes(&settings[0]),
            settings,
            policy,
            seed,
            rng: Rng::new(seed, RNG_STREAM),
            rule_checker: RuleChecker::new(&scenario, tolerance),
            figures: FigureCollector::new(seconds(scenario.settle)),
            record,
            record_error: None,
            attempts_arrived: 0,
            model: FleetModel::new(scenario, seed),
        }
    }

    /// Runs until the scenario's end.
    ///
    /// # Errors
    /// The record can't be written.
    pub(super) fn run(mut self) -> io::Result<Outcome> {
        self.begin();
        while let Some((at, event)) = self.queue.pop()
            && at <= self.end
        {
            self.now = at;
            self.figures.steps += 1;
            self.handle(event);
        }
        self.finish()
    }

    fn finish(self) -> io::Result<Outcome> {
        if let Some(error) = self.record_error {
            return Err(error);
        }
        let connected = self
            .flows
            .values()
            .filter(|flow| flow.phase == FlowPhase::Connected);
        let standing = connected.count();
        let verdict = self.rule_checker.finish(self.end);
        Ok(Outcome {
            figures: self.figures.finish(standing, &verdict),
            verdict,
        })
    }

    /// Schedules an event.
    pub(super) fn schedule(&mut self, at: Time, event: Event) {
        self.queue.schedule(at, event);
    }

    /// Passes a fact to the rule checker and writes it to the record. The first write error is kept
    /// and returned at the end of the run.
    pub(super) fn observe(&mut self, fact: Observation) {
        self.rule_checker.observe(&fact);
        if let Some(record) = &mut self.record
            && let Err(error) = record.write(&fact)
        {
            self.record_error.get_or_insert(error);
        }
    }

    /// The current run of a balancer's process.
    pub(super) fn incarnation(&self, balancer: usize) -> Incarnation {
        Incarnation {
            balancer,
            epoch: self.balancers[balancer].epoch,
        }
    }

    /// Whether this run of a balancer's process is still the current one.
    pub(super) fn is_current(&self, incarnation: Incarnation) -> bool {
        self.balancers[incarnation.balancer].epoch == incarnation.epoch
    }

    /// The state of a flow whose client waits for an answer.
    pub(super) fn waiting_flow(&self, flow: FlowId) -> Option<&FlowState> {
        self.flows
            .get(&flow)
            .filter(|state| state.phase == FlowPhase::Waiting)
    }

    /// The state of a flow whose client is connected.
    pub(super) fn connected_flow(&self, flow: FlowId) -> Option<&FlowState> {
        self.flows
            .get(&flow)
            .filter(|state| state.phase == FlowPhase::Connected)
    }

    /// The zone of a server.
    pub(super) fn server_zone(&self, server: usize) -> usize {
        self.model.servers[server].zone
    }

    /// How long a message takes between a flow's balancer and a server.
    pub(super) fn latency(&self, flow: FlowId, server: usize) -> Time {
        let zone = self
            .flows
            .get(&flow)
            .map_or(0, |state| self.balancers[state.balancer].zone);
        self.model.one_way_latency(zone, self.server_zone(server))
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::ModelTick => self.tick_model(),
            Event::Sample => self.sample(),
            Event::ClientArrives => self.client_arrives(),
            Event::ClientTries { client } => self.client_tries(client),
            Event::ClientDone { client } => self.client_done(client),
            Event::LoadChanges { flow } => self.load_changes(flow),
            Event::ClientGivesUp { flow } => self.client_gives_up(flow),
            Event::Wakeup { balancer } => self.wake_up(balancer),
            Event::AttemptArrives { flow, number } => self.attempt_arrives(flow, number),
            Event::ResponseArrives {
                flow,
                number,
                response,
            } => {
                self.response_arrives(flow, number, response);
            }
            Event::AttemptDeadline { flow, number } => self.attempt_deadline(flow, number),
            Event::ServerSilent { flow } => self.server_silent(flow),
            Event::HealthCheckReturns { balancer, server } => {
                self.health_check_returns(balancer, server)
            }
            Event::ListArrives { balancer } => self.list_arrives(balancer),
            Event::ShutdownBegins { balancer, downtime } => {
                self.shutdown_begins(balancer, downtime)
            }
            Event::DrainStep { balancer, since } => self.drain_step(balancer, since),
            Event::BalancerEnds {
                balancer,
                planned,
                downtime,
            } => {
                self.balancer_ends(balancer, planned, downtime);
            }
            Event::BalancerStarts { balancer } => self.restart_balancer(balancer),
            Event::DelayedAnswer {
                flow,
                answer,
                retry_after,
            } => {
                self.delayed_answer(flow, answer, retry_after);
            }
        }
    }
}

/// Returns the traffic classes of a balancer's settings, by number.
fn traffic_classes(settings: &Value) -> Vec<TrafficClass> {
    Settings::from_embedded(settings)
        .and_then(|settings| settings.traffic_classes())
        .expect("the testbed makes valid settings")
}
