//! Attempts to connect a flow to a server, from the start of the connection to the attempt's end.

use nettlemux_fleet_model::observation::{FinalAnswer, Observation};
use nettlemux_fleet_model::server::AttemptResponse;
use nettlemux_fleet_model::time::seconds;
use nettlemux_flow_table::EndedAttempt;
use nettlemux_policy::{AttemptEnd, FlowId, LoadReport, Time};

use super::event::{Ending, Event, ServerResponse};
use super::flow::{Attempt, FlowPhase};
use super::simulation::Simulation;
use crate::file;

impl Simulation<'_> {
    /// A balancer starts an attempt at a server and waits for `timeout` at most.
    pub(super) fn start_attempt(&mut self, flow: FlowId, attempt: Attempt, timeout: Time) {
        let Some(state) = self.flows.get_mut(&flow) else {
            return;
        };
        state.attempt = Some(attempt);
        self.figures.attempts += 1;
        let number = attempt.number;
        let arrival = self.now + self.latency(flow, attempt.server);
        self.schedule(arrival, Event::AttemptArrives { flow, number });
        self.schedule(
            self.now + timeout.max(1),
            Event::AttemptDeadline { flow, number },
        );
    }

    /// An attempt arrives at its server, which accepts it, rejects it or does not respond.
    pub(super) fn attempt_arrives(&mut self, flow: FlowId, number: usize) {
        let Some(state) = self.flows.get(&flow) else {
            return;
        };
        let Some(attempt) = state.current_attempt(number) else {
            return;
        };
        if state.phase == FlowPhase::Connected {
            return;
        }
        let (balancer, client) = (state.balancer, state.client);
        let zone = self.balancers[balancer].zone;
        let (offer, events) = self.model.deliver_attempt(self.now, zone, attempt.server);
        let Some(response) = immediate_response(offer) else {
            return self.schedule_connect_timeout(flow, number);
        };
        if response != ServerResponse::Refused {
            self.observe_attempt(balancer, flow, attempt);
        }
        self.duplicate_attempt(balancer, flow, attempt);
        let mut answered = self.now + self.latency(flow, attempt.server);
        if let AttemptResponse::Accepted(setup) = offer {
            self.attach(flow, client, attempt.server);
            answered += seconds(setup);
        }
        self.schedule(
            answered,
            Event::ResponseArrives {
                flow,
                number,
                response,
            },
        );
        self.apply_fleet_events(events);
    }

    /// Nothing answers the connection attempt, so the balancer only learns it from its connect
    /// timeout.
    fn schedule_connect_timeout(&mut self, flow: FlowId, number: usize) {
        let response = ServerResponse::Unreachable;
        self.schedule(
            self.now + seconds(file::CONNECT_TIMEOUT_SECONDS),
            Event::ResponseArrives {
                flow,
                number,
                response,
            },
        );
    }

    /// Records an attempt whose last byte has reached a server.
    pub(super) fn observe_attempt(&mut self, balancer: usize, flow: FlowId, attempt: Attempt) {
        let Attempt { number, server } = attempt;
        self.observe(Observation::Attempt {
            at: self.now,
            balancer,
            flow,
            number,
            server,
        });
    }

    /// The balancer learns how a server responded to an attempt, or that the server has closed the
    /// connection that the attempt established.
    pub(super) fn response_arrives(
        &mut self,
        flow: FlowId,
        number: usize,
        response: ServerResponse,
    ) {
        let Some(state) = self.flows.get(&flow) else {
            return;
        };
        let Some(attempt) = state.current_attempt(number) else {
            return;
        };
        if state.phase == FlowPhase::Connected {
            if matches!(response, ServerResponse::Reset | ServerResponse::Redirected) {
                self.closed_by_server(flow, response);
            }
            return;
        }
        if self.is_response_lost(flow, attempt.server, response) {
            return;
        }
        match response {
            ServerResponse::Connected => self.attempt_succeeded(flow, attempt),
            _ => self.attempt_ended(flow, attempt, response.ending()),
        }
    }

    /// Whether a response never arrives, because its server has since died or the balancer's zone
    /// and the server's zone are disconnected.
    fn is_response_lost(&self, flow: FlowId, server: usize, response: ServerResponse) -> bool {
        let connected = response == ServerResponse::Connected;
        if connected && !self.model.servers[server].connections.contains_key(&flow) {
            return true;
        }
        let from_balancer = response == ServerResponse::Unreachable;
        !from_balancer && !self.is_reachable(flow, server)
    }

    /// Whether messages from a flow's balancer reach a server.
    pub(super) fn is_reachable(&self, flow: FlowId, server: usize) -> bool {
        let zone = self.balancers[self.flows[&flow].balancer].zone;
        self.model.can_reach(zone, self.server_zone(server))
    }

    fn attempt_succeeded(&mut self, flow: FlowId, attempt: Attempt) {
        let state = self.flows.get_mut(&flow).expect("looked up by the caller");
        if state.phase != FlowPhase::Waiting {
            // The client has disconnected in the meantime.
            return self.attempt_ended(flow, attempt, Ending::may_have_run(AttemptEnd::Cancelled));
        }
        state.phase = FlowPhase::Connected;
        let (client, migrating) = (state.client, state.migrating);
        let number = attempt.number;
        self.observe(Observation::AttemptEnded {
            at: self.now,
            flow,
            number,
            known_unexecuted: false,
        });
        self.observe_answer(flow, FinalAnswer::Connected);
        self.clients.record_connected(client);
        self.report_connected(flow);
        self.connection_opened(flow, client);
        if migrating {
            self.migrate_client(flow);
        }
    }

    /// Tells the flow table that a flow is connected, and the load of its connection.
    fn report_connected(&mut self, flow: FlowId) {
        let state = &self.flows[&flow];
        let (balancer, accepted) = (state.balancer, state.accepted);
        let load = self.clients.get(state.client).map(|known| known.load);
        self.call_flow_table(balancer, |flow_table, now, actions| {
            flow_table.attempt_connected(now, flow, now - accepted, actions);
            if let Some(load) = load {
                flow_table.update_connection_load(flow, load);
            }
        });
    }

    /// The balancer stops waiting for an attempt that is still in flight.
    pub(super) fn attempt_deadline(&mut self, flow: FlowId, number: usize) {
        let pending = self
            .flows
            .get(&flow)
            .filter(|state| state.phase != FlowPhase::Connected);
        if let Some(attempt) = pending.and_then(|state| state.current_attempt(number)) {
            self.attempt_ended(flow, attempt, Ending::may_have_run(AttemptEnd::TimedOut));
        }
    }

    /// The balancer cancels the attempt of a client that has disconnected.
    pub(super) fn cancel_attempt(&mut self, flow: FlowId) {
        let settled = self
            .flows
            .get(&flow)
            .filter(|state| state.phase == FlowPhase::Settled);
        if let Some(attempt) = settled.and_then(|state| state.attempt) {
            self.attempt_ended(flow, attempt, Ending::may_have_run(AttemptEnd::Cancelled));
        }
    }

    /// An attempt is no longer in flight. Its load is removed from the server before the flow table
    /// is told.
    fn attempt_ended(&mut self, flow: FlowId, attempt: Attempt, ending: Ending) {
        let Some(state) = self.flows.get_mut(&flow) else {
            return;
        };
        state.attempt = None;
        let settled = state.phase == FlowPhase::Settled;
        self.detach(flow, attempt.server);
        let (number, known_unexecuted) = (attempt.number, ending.known_unexecuted);
        self.observe(Observation::AttemptEnded {
            at: self.now,
            flow,
            number,
            known_unexecuted,
        });
        self.report_ended(flow, attempt, ending);
        if settled {
            self.close(flow);
        }
    }

    /// Tells the flow table that an attempt or a connection has ended.
    pub(super) fn report_ended(&mut self, flow: FlowId, attempt: Attempt, ending: Ending) {
        let Some(balancer) = self.flows.get(&flow).map(|state| state.balancer) else {
            return;
        };
        let Attempt { number, server } = attempt;
        let Ending {
            end,
            known_unexecuted,
        } = ending;
        self.call_flow_table(balancer, |flow_table, now, actions| {
            let outcome = EndedAttempt {
                flow,
                number,
                server_id: server as u64,
                end,
                known_unexecuted,
                report: LoadReport::default(),
            };
            flow_table.attempt_ended(now, outcome, actions);
        });
    }
}

/// The response of a server to an attempt; `None` if nothing responds.
fn immediate_response(offer: AttemptResponse) -> Option<ServerResponse> {
    match offer {
        AttemptResponse::NoResponse => None,
        AttemptResponse::Refused => Some(ServerResponse::Refused),
        AttemptResponse::Overloaded => Some(ServerResponse::Busy),
        AttemptResponse::Error => Some(ServerResponse::Error),
        AttemptResponse::Accepted(_) => Some(ServerResponse::Connected),
    }
}
