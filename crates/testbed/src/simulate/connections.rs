//! Established connections: how they begin, and how a client, a server or a balancer ends them.

use nettlemux_fleet_model::observation::{ClosedBy, Observation};
use nettlemux_policy::{AttemptEnd, FlowId};

use super::event::{Ending, Event, ServerResponse};
use super::flow::ClientId;
use super::simulation::Simulation;

/// How a connection was closed, as the record has it.
pub(super) struct Closure {
    pub(super) by: ClosedBy,
    /// The server or balancer sent the client away.
    pub(super) client_notified: bool,
    /// The server still answered.
    pub(super) server_healthy: bool,
}

impl Simulation<'_> {
    /// Puts a client's load on a server.
    pub(super) fn attach(&mut self, flow: FlowId, client: ClientId, server: usize) {
        let Some(known) = self.clients.get(client) else {
            return;
        };
        self.model.servers[server].attach(flow, known.connection());
    }

    /// Takes a flow's load off a server.
    pub(super) fn detach(&mut self, flow: FlowId, server: usize) {
        self.model.servers[server].detach(flow);
    }

    /// Schedules what happens to a new connection. A connection that stands when the run starts
    /// also gets its end here; other clients got theirs when they arrived.
    pub(super) fn connection_opened(&mut self, flow: FlowId, client: ClientId) {
        let known = self.clients.get(client);
        let first_try = known.is_some_and(|client| !client.reconnecting && client.tries == 0);
        if first_try && self.now == 0 {
            self.schedule_client_done(client);
        }
        if let Some(wait) = self.clients.first_change(&self.model.scenario) {
            self.schedule(self.now + wait, Event::LoadChanges { flow });
        }
    }

    /// A server has reset a connection or client_notified its client to move.
    pub(super) fn closed_by_server(&mut self, flow: FlowId, response: ServerResponse) {
        let client_notified = response == ServerResponse::Redirected;
        let closure = Closure {
            by: ClosedBy::Server,
            client_notified,
            server_healthy: false,
        };
        let Some(client) = self.close_connection(flow, closure, response.ending()) else {
            return;
        };
        self.figures.lost += u64::from(!client_notified);
        self.reconnect(client, client_notified);
    }

    /// The balancer tells a client to move to another server by connecting again, as soon as it is
    /// connected.
    pub(super) fn move_client(&mut self, flow: FlowId) {
        if self.connected_flow(flow).is_some() {
            let client_notified = self.announces_moves();
            self.closed_by_balancer(
                flow,
                Closure {
                    by: ClosedBy::Balancer,
                    client_notified,
                    server_healthy: true,
                },
                AttemptEnd::Cancelled,
            );
            self.figures.moves += 1;
        } else if let Some(state) = self.flows.get_mut(&flow) {
            state.moving = true;
        }
    }

    /// The balancer has heard nothing from a connection's server for too long.
    pub(super) fn server_silent(&mut self, flow: FlowId) {
        let Some(state) = self.connected_flow(flow) else {
            return;
        };
        let Some(attempt) = state.attempt else { return };
        let still_attached = self.model.servers[attempt.server]
            .connections
            .contains_key(&flow);
        if still_attached && self.is_reachable(flow, attempt.server) {
            // A zone was cut off and is back: the server was there all the time.
            return;
        }
        self.closed_by_balancer(
            flow,
            Closure {
                by: ClosedBy::Balancer,
                client_notified: true,
                server_healthy: false,
            },
            AttemptEnd::ConnectionLost,
        );
        self.figures.lost += 1;
    }

    fn closed_by_balancer(&mut self, flow: FlowId, closure: Closure, end: AttemptEnd) {
        if let Some(client) = self.close_connection(flow, closure, Ending::may_have_run(end)) {
            self.reconnect(client, true);
        }
    }

    /// Closes a connection: its server is released, the flow table is client_notified, the flow
    /// ends. Returns its client.
    pub(super) fn close_connection(
        &mut self,
        flow: FlowId,
        closure: Closure,
        ending: Ending,
    ) -> Option<ClientId> {
        let state = self.flows.get(&flow)?;
        let (client, attempt) = (state.client, state.attempt?);
        let Closure {
            by,
            client_notified,
            server_healthy,
        } = closure;
        self.observe(Observation::ConnectionClosed {
            at: self.now,
            flow,
            by,
            client_notified,
            server_healthy,
        });
        self.detach(flow, attempt.server);
        self.report_ended(flow, attempt, ending);
        self.close(flow);
        Some(client)
    }

    /// A client whose connection has ended comes again, the sooner where it was told to move.
    pub(super) fn reconnect(&mut self, client: ClientId, told_to_move: bool) {
        let wait = self.clients.reconnect_delay(self.now, client, told_to_move);
        self.retry_after(client, wait);
    }
}
