//! Recently established connections, from which the usual connection rate is derived.

use std::collections::VecDeque;

use crate::connections::ConnectionTable;
use crate::types::{SEC, ServerId, Time};

/// Time window over which the usual connection rate is counted.
pub(crate) const RATE_WINDOW: Time = 20 * SEC;

/// A connection established with a warm server.
struct Established {
    at: Time,
    server_id: ServerId,
}

/// Connections established with warm servers within the last [`RATE_WINDOW`], and the time at which
/// counting began.
#[derive(Default)]
pub(crate) struct RecentConnections {
    established: VecDeque<Established>,
    started_at: Option<Time>,
}

impl RecentConnections {
    /// Begins counting on the first call.
    pub(crate) fn start(&mut self, now: Time) {
        self.started_at.get_or_insert(now);
    }

    /// Counts a connection that is established now.
    pub(crate) fn record(&mut self, now: Time, server_id: ServerId) {
        self.established
            .push_back(Established { at: now, server_id });
    }

    /// Removes connections that are older than the window.
    pub(crate) fn expire(&mut self, now: Time) {
        let expired = self
            .established
            .partition_point(|connection| connection.at + RATE_WINDOW < now);
        self.established.drain(..expired);
    }

    /// Returns the number of connections counted, including those that have expired since the last
    /// call of [`Self::expire`].
    pub(crate) fn len(&self) -> usize {
        self.established.len()
    }

    /// Returns the server of each connection established within this time span.
    pub(crate) fn servers_within(
        &self,
        now: Time,
        span: Time,
    ) -> impl Iterator<Item = ServerId> + '_ {
        self.established
            .iter()
            .filter(move |connection| connection.at + span >= now)
            .map(|connection| connection.server_id)
    }

    /// Returns the time span over which connections have been counted.
    pub(crate) fn counted_span(&self, now: Time) -> Time {
        now.saturating_sub(self.started_at.unwrap_or(now))
            .clamp(SEC, RATE_WINDOW)
    }

    /// Whether the balancer has counted for less than one window.
    pub(crate) fn is_in_first_window(&self, now: Time) -> bool {
        self.started_at
            .is_none_or(|started_at| now < started_at + RATE_WINDOW)
    }

    /// Whether the balancer started recently and without connections: all own connections were made
    /// since then.
    pub(crate) fn recently_started_empty(&self, now: Time, connections: &ConnectionTable) -> bool {
        self.is_in_first_window(now)
            && connections.own.len() <= self.established.len() + connections.in_flight.len()
    }
}
