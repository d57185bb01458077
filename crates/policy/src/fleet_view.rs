//! A snapshot of all servers and own connections at one moment, which most decisions are based on.

use crate::connections::ConnectionTable;
use crate::endpoints::{Endpoints, Server};
use crate::recent_connections::RecentConnections;
use crate::types::Time;

/// The servers and own connections at one moment.
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
    /// Returns the server's utilization, or `None` if its last report no longer counts.
    pub(crate) fn utilization(&self, server: &Server) -> Option<f64> {
        server.load.utilization(self.now, self.report_lifetime)
    }

    /// Returns the number of own connections and attempts at this server.
    pub(crate) fn own_connections(&self, server: &Server) -> f64 {
        self.connections.count_at(server.endpoint.server_id)
    }

    /// Whether the balancer started recently and without connections.
    pub(crate) fn recently_started_empty(&self) -> bool {
        self.recent_connections
            .recently_started_empty(self.now, self.connections)
    }
}
