//! Established connections: how they start, and how a client, a server or a balancer closes them.

use nettlemux_fleet_model::observation::{ClosedBy, Observation};
use nettlemux_policy::{AttemptEnd, FlowId};

use super::event::{Ending, Event, ServerResponse};
use super::flow::ClientId;
use super::simulation::Simulation;

/// How a connection was closed, as it is written to the record.
pub(super) struct ConnectionClose {
    pub(super) by: ClosedBy,
    /// The server or balancer told the client to reconnect before closing the connection.
    pub(super) client_notified: bool,
    /// The server was still responding.
    pub(super) server_healthy: bool,
}

impl Simulation<'_> {
    /// Adds a client's load to a server.
    pub(super) fn attach(&mut self, flow: FlowId, client: ClientId, server: usize) {
        let Some(known) = self.clients.get(client) else {
            return;
        };
        self.model.servers[server].attach(flow, known.connection());
    }

    /// Removes a flow's load from a server.
    pub(super) fn detach(&mut self, flow: FlowId, server: usize) {
        self.model.servers[server].detach(flow);
    }

    /// Schedules the events of a new connection. If the connection exists when the run starts, the
    /// end of its client is scheduled here as well; for other clients it is scheduled when they
    /// arrive.
    pub(super) fn connection_opened(&mut self, flow: FlowId, client: ClientId) {
        let known = self.clients.get(client);
        let first_try =
            known.is_some_and(|client| !client.reconnecting && client.unsuccessful_tries == 0);
        if first_try && self.now == 0 {
            self.schedule_client_done(client);
        }
        if let Some(wait) = self.clients.first_load_change(&self.model.scenario) {
            self.schedule(self.now + wait, Event::LoadChanges { flow });
        }
    }

    /// A server has reset a connection or told its client to move to another server.
    pub(super) fn closed_by_server(&mut self, flow: FlowId, response: ServerResponse) {
        let client_notified = response == ServerResponse::Redirected;
        let close = ConnectionClose {
            by: ClosedBy::Server,
            client_notified,
            server_healthy: false,
        };
        let Some(client) = self.close_connection(flow, close, response.ending()) else {
            return;
        };
        self.figures.lost += u64::from(!client_notified);
        self.reconnect(client, client_notified);
    }

    /// The balancer tells a client to move to another server by reconnecting. If the client is not
    /// connected yet, this happens as soon as it is.
    pub(super) fn migrate_client(&mut self, flow: FlowId) {
        if self.connected_flow(flow).is_some() {
            let client_notified = self.announces_migrations();
            self.closed_by_balancer(
                flow,
                ConnectionClose {
                    by: ClosedBy::Balancer,
                    client_notified,
                    server_healthy: true,
                },
                AttemptEnd::Cancelled,
            );
            self.figures.moves += 1;
        } else if let Some(state) = self.flows.get_mut(&flow) {
            state.migrating = true;
        }
    }

    /// The server of a connection has sent nothing to the balancer for too long.
    pub(super) fn server_silent(&mut self, flow: FlowId) {
        let Some(state) = self.connected_flow(flow) else {
            return;
        };
        let Some(attempt) = state.attempt else { return };
        let still_attached = self.model.servers[attempt.server]
            .connections
            .contains_key(&flow);
        if still_attached && self.is_reachable(flow, attempt.server) {
            // A zone was disconnected and has recovered: the server was alive throughout.
            return;
        }
        self.closed_by_balancer(
            flow,
            ConnectionClose {
                by: ClosedBy::Balancer,
                client_notified: true,
                server_healthy: false,
            },
            AttemptEnd::ConnectionLost,
        );
        self.figures.lost += 1;
    }

    fn closed_by_balancer(&mut self, flow: FlowId, close: ConnectionClose, end: AttemptEnd) {
        if let Some(client) = self.close_connection(flow, close, Ending::may_have_run(end)) {
            self.reconnect(client, true);
        }
    }

    /// Closes a connection: removes its load from the server, notifies the flow table and closes
    /// the flow. Returns the client.
    pub(super) fn close_connection(
        &mut self,
        flow: FlowId,
        close: ConnectionClose,
        ending: Ending,
    ) -> Option<ClientId> {
        let state = self.flows.get(&flow)?;
        let (client, attempt) = (state.client, state.attempt?);
        let ConnectionClose {
            by,
            client_notified,
            server_healthy,
        } = close;
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

    /// A client whose connection was closed reconnects, sooner if it was told to move.
    pub(super) fn reconnect(&mut self, client: ClientId, told_to_migrate: bool) {
        let wait = self
            .clients
            .reconnect_delay(self.now, client, told_to_migrate);
        self.retry_after(client, wait);
    }
}
