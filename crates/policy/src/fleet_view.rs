//! What is known of all servers and own connections at one moment: what most decisions look at.

use crate::connections::ConnectionTable;
use crate::endpoints::{Endpoints, Server};
use crate::recent_connections::RecentConnections;
use crate::types::Time;

/// The servers and own connections as they are at a moment.
#[derive(Clone, Copy)]
pub(crate) struct FleetView<'a> {
    pub(crate) now: Time,
    /// How long a load report counts.
    pub(crate) report_lifetime: Time,
    pub(crate) endpoints: &'a Endpoints,
    pub(crate) connections: &'a ConnectionTable,
    pub(crate) recent_connections: &'a RecentConnections,
}

impl FleetView<'_> {
    /// The server's utilization, where its last report still counts.
    pub(crate) fn utilization(&self, server: &Server) -> Option<f64> {
        server.load.utilization(self.now, self.report_lifetime)
    }

    /// Own connections and attempts at this server.
    pub(crate) fn own_connections(&self, server: &Server) -> f64 {
        self.connections.count_at(server.endpoint.server_id)
    }

    /// Whether the balancer has started lately, and from nothing.
    pub(crate) fn has_started_empty(&self) -> bool {
        self.recent_connections
            .has_started_empty(self.now, self.connections)
    }
}
