//! Recently established connections, from which the usual connection rate is derived. They are
//! counted by server as they come and go, so that a decision takes no longer after many of them.

use std::collections::{BTreeMap, VecDeque};

use crate::connections::{ConnectionTable, decrement};
use crate::types::{SEC, ServerId, Time};

/// Time window over which the usual connection rate is counted.
pub(crate) const RATE_WINDOW: Time = 20 * SEC;

/// Largest number of connections that are remembered. At a higher rate than this number in a
/// [`RATE_WINDOW`] the oldest are forgotten early, and the rate counts as this one.
const RECENT_CONNECTIONS_MAX: usize = 1 << 16;

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
    /// Number of the oldest connections that have left the window and are no longer counted.
    uncounted: usize,
    /// The counted connections of each server that has any.
    by_server: BTreeMap<ServerId, usize>,
    started_at: Option<Time>,
}

impl RecentConnections {
    /// Begins counting on the first call.
    pub(crate) fn start(&mut self, now: Time) {
        self.started_at.get_or_insert(now);
    }

    /// Counts a connection that is established now.
    pub(crate) fn record(&mut self, now: Time, server_id: ServerId) {
        if self.established.len() == RECENT_CONNECTIONS_MAX {
            if self.uncounted == 0 {
                self.uncount_oldest();
            }
            self.remove_uncounted(1);
        }
        self.established
            .push_back(Established { at: now, server_id });
        *self.by_server.entry(server_id).or_default() += 1;
    }

    /// Removes connections that are older than the window.
    pub(crate) fn expire(&mut self, now: Time) {
        self.count_window(now);
        self.remove_uncounted(self.uncounted);
    }

    /// Stops counting connections that are older than the window, without removing them. Must be
    /// called before the counts are used.
    pub(crate) fn count_window(&mut self, now: Time) {
        while let Some(oldest) = self.established.get(self.uncounted)
            && oldest.at + RATE_WINDOW < now
        {
            self.uncount_oldest();
        }
    }

    /// Stops counting the oldest counted connection.
    fn uncount_oldest(&mut self) {
        let server_id = self.established[self.uncounted].server_id;
        self.uncounted += 1;
        decrement(&mut self.by_server, &server_id);
    }

    fn remove_uncounted(&mut self, count: usize) {
        self.established.drain(..count);
        self.uncounted -= count;
    }

    /// Returns the number of connections counted, including those that have expired since the last
    /// call of [`Self::expire`].
    pub(crate) fn len(&self) -> usize {
        self.established.len()
    }

    /// Returns the number of connections established within the window.
    pub(crate) fn count_in_window(&self) -> usize {
        self.established.len() - self.uncounted
    }

    /// Returns each server with the number of its connections established within the window.
    pub(crate) fn by_server(&self) -> impl Iterator<Item = (ServerId, usize)> + '_ {
        self.by_server
            .iter()
            .map(|(server_id, count)| (*server_id, *count))
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

#[cfg(test)]
mod tests;
