//! A consistent-hash ring of one zone's servers. The weight of a server sets its number of points.

use std::collections::BTreeSet;

use crate::hash::{hash, usable_weight};
use crate::zones::ServerId;

/// Points of a server of weight 1. With this number the frequency with which servers are candidates
/// varies by a tenth, and the points take 270 to 560 bytes per server.
const POINTS_PER_WEIGHT: f64 = 16.0;
/// The highest number of points of a server, which bounds memory if all weights of a list are high.
/// Among heavier servers only the caller's weighted rotation accounts for the weights.
const POINTS_MAX: f64 = 64.0;

/// The points of servers on a ring of 64-bit hashes.
#[derive(Clone, Debug, Default)]
pub(crate) struct Ring {
    /// Hash and server of each point. If two servers have the same hash, their ids set the order,
    /// so that it is the same at all balancers.
    points: BTreeSet<(u64, ServerId)>,
    servers: BTreeSet<ServerId>,
}

impl Ring {
    /// Adds a server and returns the number of points added.
    pub(crate) fn insert(&mut self, server: ServerId, weight: f64) -> usize {
        self.servers.insert(server);
        points_of(server, weight)
            .filter(|point| self.points.insert(*point))
            .count()
    }

    /// Removes a server and returns the number of points removed.
    pub(crate) fn remove(&mut self, server: ServerId, weight: f64) -> usize {
        self.servers.remove(&server);
        points_of(server, weight)
            .filter(|point| self.points.remove(point))
            .count()
    }

    /// The number of points, which stands for the sum of weights. Unlike a sum of floats it does
    /// not depend on the order of changes.
    pub(crate) fn point_count(&self) -> usize {
        self.points.len()
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.servers.is_empty()
    }

    /// Yields each server once, clockwise from the hash of the key.
    pub(crate) fn clockwise(&self, key: u64) -> impl Iterator<Item = ServerId> + '_ {
        let start = (hash(key), 0);
        let from_start = self.points.range(start..).chain(self.points.range(..start));
        let mut seen = Vec::new();
        let is_new = move |server: &ServerId| {
            let new = !seen.contains(server);
            seen.extend(new.then_some(*server));
            new
        };
        // `take` ends the iteration as soon as all servers have been found.
        from_start
            .map(|(_, server)| *server)
            .filter(is_new)
            .take(self.servers.len())
    }
}

/// Yields the points of a server of this weight.
fn points_of(server: ServerId, weight: f64) -> impl Iterator<Item = (u64, ServerId)> {
    let count = (POINTS_PER_WEIGHT * usable_weight(weight))
        .round()
        .clamp(1.0, POINTS_MAX) as u64;
    let base = hash(server);
    (0..count).map(move |point| (hash(base.wrapping_add(point)), server))
}
