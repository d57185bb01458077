//! A consistent-hash ring of one zone's servers, with points by weight.

use std::collections::BTreeSet;

use crate::hash::{hash, usable_weight};
use crate::zones::ServerId;

/// Points of a server of weight 1. With so many, how often servers are candidates varies by a
/// tenth; they cost 270 to 560 bytes a server.
const POINTS_PER_WEIGHT: f64 = 16.0;
/// Points of a server at most, so that a list whose weights are all large stays in memory. Heavier
/// servers are told apart by the caller's weighted rotation only.
const POINTS_MAX: f64 = 64.0;

/// Where servers stand on the circle of 64-bit hashes.
#[derive(Clone, Debug, Default)]
pub(crate) struct Ring {
    /// Equal points of two servers are told apart by id, the same at all balancers.
    points: BTreeSet<(u64, ServerId)>,
    servers: BTreeSet<ServerId>,
}

impl Ring {
    /// Puts a server in and returns how many points came.
    pub(crate) fn insert(&mut self, server: ServerId, weight: f64) -> usize {
        self.servers.insert(server);
        points_of(server, weight)
            .filter(|point| self.points.insert(*point))
            .count()
    }

    /// Takes a server out and returns how many points went.
    pub(crate) fn remove(&mut self, server: ServerId, weight: f64) -> usize {
        self.servers.remove(&server);
        points_of(server, weight)
            .filter(|point| self.points.remove(point))
            .count()
    }

    /// The sum of weights, in points: an integer, so that it doesn't depend on the order of
    /// changes.
    pub(crate) fn weight(&self) -> usize {
        self.points.len()
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.servers.is_empty()
    }

    /// Distinct servers, clockwise from the key's point.
    pub(crate) fn clockwise(&self, key: u64) -> impl Iterator<Item = ServerId> + '_ {
        let start = (hash(key), 0);
        let circle = self.points.range(start..).chain(self.points.range(..start));
        let mut seen = Vec::new();
        let is_new = move |server: &ServerId| {
            let new = !seen.contains(server);
            seen.extend(new.then_some(*server));
            new
        };
        // Once all have been met, the rest of the circle is not walked.
        circle
            .map(|(_, server)| *server)
            .filter(is_new)
            .take(self.servers.len())
    }
}

/// The points of a server with this weight.
fn points_of(server: ServerId, weight: f64) -> impl Iterator<Item = (u64, ServerId)> {
    let count = (POINTS_PER_WEIGHT * usable_weight(weight))
        .round()
        .clamp(1.0, POINTS_MAX) as u64;
    let base = hash(server);
    (0..count).map(move |point| (hash(base.wrapping_add(point)), server))
}
