//! A balancer's answers to clients, and the closing of a flow.

use nettlemux_fleet_model::observation::{FinalAnswer, Observation};
use nettlemux_fleet_model::time::seconds;
use nettlemux_policy::{FlowId, Time};

use super::flow::FlowPhase;
use super::simulation::Simulation;

impl Simulation<'_> {
    /// Answers a waiting client whose flow was rejected or has failed. The client then decides
    /// whether to retry.
    pub(super) fn answer(&mut self, flow: FlowId, answer: FinalAnswer, retry_after: Option<Time>) {
        if self.waiting_flow(flow).is_none() {
            return;
        }
        let state = self
            .flows
            .get_mut(&flow)
            .expect("the flow was found waiting");
        state.phase = FlowPhase::Settled;
        let (client, in_flight) = (state.client, state.attempt.is_some());
        self.flow_of_client.remove(&client);
        self.observe_answer(flow, answer);
        let wait = match answer {
            FinalAnswer::Rejected => {
                self.clients
                    .record_rejected(client, retry_after, &self.model.scenario)
            }
            _ => self.clients.record_failed(client, &self.model.scenario),
        };
        self.retry_after(client, wait);
        if !in_flight {
            self.close(flow);
        }
    }

    /// Records an answer and counts it in the figures.
    pub(super) fn observe_answer(&mut self, flow: FlowId, answer: FinalAnswer) {
        let Some(state) = self.flows.get(&flow) else {
            return;
        };
        let took = self.now - state.accepted;
        let known = self.clients.get(state.client);
        if let Some(client) = known {
            self.figures.of_client(self.now, client, answer);
        }
        let target = known.map_or(0.0, |client| self.model.scenario.types[client.class].target);
        self.figures
            .answered(self.now, answer, took, seconds(target));
        self.observe(Observation::Answered {
            at: self.now,
            flow,
            answer,
        });
    }

    /// Removes a flow for which no further event is expected. Every flow is removed here, except
    /// the flows that are still open when the run ends.
    pub(super) fn close(&mut self, flow: FlowId) {
        let Some(state) = self.flows.remove(&flow) else {
            return;
        };
        if self.flow_of_client.get(&state.client) == Some(&flow) {
            self.flow_of_client.remove(&state.client);
        }
        let mut actions = Vec::new();
        if let Some(flow_table) = &mut self.balancers[state.balancer].flow_table {
            flow_table.remove(self.now, flow, &mut actions);
        }
        self.execute_all(state.balancer, actions);
    }
}
