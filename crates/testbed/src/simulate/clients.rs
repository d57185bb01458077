//! The actions of clients: they arrive, open flows, give up, disconnect and change their load.

use nettlemux_fleet_model::observation::{ClosedBy, Observation};
use nettlemux_fleet_model::population::Client;
use nettlemux_fleet_model::time::seconds;
use nettlemux_flow_table::AdmissionAttributes as Requester;
use nettlemux_policy::{AttemptEnd, Flow, FlowId, MS, Time};
use nettlemux_settings::operator::AdmissionKey;

use super::connections::ConnectionClose;
use super::event::{Ending, Event};
use super::flow::{ClientId, FlowPhase, FlowState};
use super::simulation::Simulation;

/// The time after its deadline at which a client gives up on a flow that was not answered.
pub(super) const CLIENT_GIVES_UP_AFTER_DEADLINE: Time = 100 * MS;

impl Simulation<'_> {
    /// A new client arrives and opens a flow at once. The next arrival is scheduled.
    pub(super) fn client_arrives(&mut self) {
        let client = self.clients.arrive(self.now, &self.model);
        self.schedule_client_done(client);
        self.client_tries(client);
        let wait = self.clients.next_arrival(&self.model);
        self.schedule(self.now + wait, Event::ClientArrives);
    }

    /// Schedules the time at which a client no longer needs its connection.
    pub(super) fn schedule_client_done(&mut self, client: ClientId) {
        let done = self
            .clients
            .get(client)
            .expect("the client has just arrived")
            .planned_end;
        self.schedule(done, Event::ClientDone { client });
    }

    /// A client without a flow tries to open one.
    pub(super) fn client_tries(&mut self, client: ClientId) {
        let Some(known) = self.clients.get(client).cloned() else {
            return;
        };
        if self.flow_of_client.contains_key(&client) || known.gave_up {
            return;
        }
        let picked = self.front_end.pick_balancer(self.now, known.zone);
        match picked.filter(|balancer| self.balancers[*balancer].is_running()) {
            Some(balancer) => self.accept(client, &known, balancer),
            None => {
                let wait = self.clients.refused_retry_delay();
                self.schedule(self.now + wait, Event::ClientTries { client });
            }
        }
    }

    /// A balancer accepts a client's flow and is asked to place it.
    fn accept(&mut self, client: ClientId, known: &Client, balancer: usize) {
        if known.reconnecting {
            self.figures.returned(self.now);
        }
        let class = &self.model.scenario.types[known.class];
        let deadline = self.now + seconds(class.wait);
        let target = self.now + seconds(class.target);
        let flow = self.new_flow(client, deadline);
        let id = flow.id;
        self.flows
            .insert(id, FlowState::waiting(client, balancer, self.now));
        self.flow_of_client.insert(client, id);
        self.figures.flows += 1;
        let idempotency = self.clients.idempotency(client, &self.model.scenario);
        self.observe(Observation::Accepted {
            at: self.now,
            balancer,
            flow: id,
            idempotency,
            deadline,
        });
        self.schedule(
            deadline + CLIENT_GIVES_UP_AFTER_DEADLINE,
            Event::ClientGivesUp { flow: id },
        );
        if known.follows_retry_after {
            self.figures.came_when_told(self.now);
        }
        let key = self.admission_key(client, known);
        let requester = Requester {
            key,
            client,
            is_retry: known.unsuccessful_tries > 0,
            latency_deadline: target,
        };
        self.call_flow_table(balancer, |flow_table, now, actions| {
            flow_table.accept(now, flow, requester, actions)
        });
    }

    /// Creates a flow of a client, with a unique number.
    pub(super) fn new_flow(&mut self, client: ClientId, deadline: Time) -> Flow {
        let id = self.next_flow;
        self.next_flow += 1;
        let known = self
            .clients
            .get(client)
            .expect("clients with a new flow are known");
        Flow {
            id,
            class: self.traffic_classes[known.class],
            tenant: known.tenant,
            group: known.group.map(|group| format!("g{group}")),
            reconnecting: known.reconnecting,
            accepted_at: self.now,
            deadline,
            attempts: Vec::new(),
        }
    }

    /// The key by which admission control counts a flow.
    fn admission_key(&self, id: ClientId, client: &Client) -> u64 {
        match self
            .model
            .scenario
            .admission
            .as_ref()
            .map(|admission| admission.by)
        {
            Some(AdmissionKey::Tenant) => client.tenant as u64,
            _ => id,
        }
    }

    /// A client that has still not been answered gives up on its flow.
    pub(super) fn client_gives_up(&mut self, flow: FlowId) {
        let Some(client) = self.waiting_flow(flow).map(|state| state.client) else {
            return;
        };
        self.figures.unanswered += 1;
        self.client_leaves(flow);
        let wait = self.clients.record_failed(client, &self.model.scenario);
        self.retry_after(client, wait);
    }

    /// The client of a flow disconnects before the flow is connected to a server.
    fn client_leaves(&mut self, flow: FlowId) {
        let Some(state) = self.flows.get_mut(&flow) else {
            return;
        };
        state.phase = FlowPhase::Settled;
        let (balancer, client, in_flight) = (state.balancer, state.client, state.attempt.is_some());
        self.flow_of_client.remove(&client);
        self.observe(Observation::ClientLeft { at: self.now, flow });
        self.call_flow_table(balancer, |flow_table, now, actions| {
            flow_table.client_left(now, flow, actions)
        });
        if !in_flight {
            self.close(flow);
        }
    }

    /// A client no longer needs its connection: it closes the connection, or stops waiting for one.
    pub(super) fn client_done(&mut self, client: ClientId) {
        if let Some(flow) = self.flow_of_client.get(&client).copied() {
            if self.connected_flow(flow).is_some() {
                let close = ConnectionClose {
                    by: ClosedBy::Client,
                    client_notified: false,
                    server_healthy: true,
                };
                self.close_connection(flow, close, Ending::may_have_run(AttemptEnd::Done));
            } else {
                self.client_leaves(flow);
            }
        }
        self.clients.remove(client);
    }

    /// The load of a connection changes. The next change is scheduled.
    pub(super) fn load_changes(&mut self, flow: FlowId) {
        let Some(state) = self.connected_flow(flow) else {
            return;
        };
        let (client, balancer, Some(attempt)) = (state.client, state.balancer, state.attempt)
        else {
            return;
        };
        let Some((load, wait)) = self.clients.change_load(client, &self.model.scenario) else {
            return;
        };
        self.model.servers[attempt.server].set_load(flow, load);
        if let Some(flow_table) = &mut self.balancers[balancer].flow_table {
            flow_table.update_connection_load(flow, load);
        }
        self.schedule(self.now + wait, Event::LoadChanges { flow });
    }

    /// A client retries after a wait; it has given up permanently if `wait` is `None`.
    pub(super) fn retry_after(&mut self, client: ClientId, wait: Option<Time>) {
        match wait {
            Some(wait) => self.schedule(self.now + wait, Event::ClientTries { client }),
            None => self.figures.clients_lost += 1,
        }
    }
}
