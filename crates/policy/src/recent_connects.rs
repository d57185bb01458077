//! The attempts that connected lately, by which the usual rate is known.

use std::collections::VecDeque;

use crate::connections::ConnectionTable;
use crate::types::{SEC, ServerId, Time};

/// Span over which the usual rate is counted.
pub(crate) const RATE_WINDOW: Time = 20 * SEC;

/// An attempt that connected to a warm server.
struct Connect {
    at: Time,
    server_id: ServerId,
}

/// Attempts of the last [`RATE_WINDOW`] that connected to warm servers, and when counting began.
#[derive(Default)]
pub(crate) struct RecentConnects {
    connects: VecDeque<Connect>,
    started_at: Option<Time>,
}

impl RecentConnects {
    /// Begins counting, the first time it is called.
    pub(crate) fn start(&mut self, now: Time) {
        self.started_at.get_or_insert(now);
    }

    /// Counts an attempt that connected.
    pub(crate) fn record(&mut self, now: Time, server_id: ServerId) {
        self.connects.push_back(Connect { at: now, server_id });
    }

    /// Drops what is older than the window.
    pub(crate) fn expire(&mut self, now: Time) {
        let expired = self
            .connects
            .partition_point(|connect| connect.at + RATE_WINDOW < now);
        self.connects.drain(..expired);
    }

    /// Attempts kept, without a look at their age.
    pub(crate) fn len(&self) -> usize {
        self.connects.len()
    }

    /// The servers of attempts that connected within this span.
    pub(crate) fn servers_within(
        &self,
        now: Time,
        span: Time,
    ) -> impl Iterator<Item = ServerId> + '_ {
        self.connects
            .iter()
            .filter(move |connect| connect.at + span >= now)
            .map(|connect| connect.server_id)
    }

    /// The span over which connects have been counted.
    pub(crate) fn counted_span(&self, now: Time) -> Time {
        now.saturating_sub(self.started_at.unwrap_or(now))
            .clamp(SEC, RATE_WINDOW)
    }

    /// Whether the first window has not passed yet.
    pub(crate) fn is_starting(&self, now: Time) -> bool {
        self.started_at
            .is_none_or(|started_at| now < started_at + RATE_WINDOW)
    }

    /// Whether the balancer has started lately, and from nothing: all connections were made since.
    pub(crate) fn has_started_empty(&self, now: Time, connections: &ConnectionTable) -> bool {
        self.is_starting(now)
            && connections.own.len() <= self.connects.len() + connections.in_flight.len()
    }
}
