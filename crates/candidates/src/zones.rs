//! Candidates across zones: the caller's own zone first, then the other zones in an order that
//! depends on the key.

use std::collections::BTreeMap;

use crate::hash::hash;
use crate::ring::Ring;

/// A server, by the number that the endpoint list gives it.
pub type ServerId = u64;
/// A zone, by number.
pub type ZoneId = u64;

/// One candidate in this many is in another zone, in case the own zone has no room.
const CANDIDATES_PER_REMOTE_CANDIDATE: usize = 4;

/// The servers that may be candidates, in one consistent-hash ring per zone.
#[derive(Clone, Debug, Default)]
pub struct Candidates {
    zones: BTreeMap<ZoneId, Ring>,
    /// The zone and the weight of each server.
    members: BTreeMap<ServerId, (ZoneId, f64)>,
}

impl Candidates {
    /// Adds a server, or moves a known server to this zone and weight. Returns the number of ring
    /// points that changed, which is the cost of the update.
    pub fn insert(&mut self, server: ServerId, zone: ZoneId, weight: f64) -> usize {
        let known = self.members.get(&server);
        if known.is_some_and(|(at, of)| *at == zone && of.to_bits() == weight.to_bits()) {
            return 0;
        }
        let removed = self.remove(server);
        self.members.insert(server, (zone, weight));
        removed + self.zones.entry(zone).or_default().insert(server, weight)
    }

    /// Removes a server, if it is known, and returns the number of ring points that changed.
    pub fn remove(&mut self, server: ServerId) -> usize {
        let Some((zone, weight)) = self.members.remove(&server) else {
            return 0;
        };
        let Some(ring) = self.zones.get_mut(&zone) else {
            return 0;
        };
        let removed = ring.remove(server, weight);
        if ring.is_empty() {
            self.zones.remove(&zone);
        }
        removed
    }

    /// Returns the number of servers.
    pub fn len(&self) -> usize {
        self.members.len()
    }

    /// Returns whether there are no servers.
    pub fn is_empty(&self) -> bool {
        self.members.is_empty()
    }

    /// Returns up to `count` distinct servers for this key, those of the own zone first. A larger
    /// count only adds servers. Thus balancers that ask for different counts agree on the servers
    /// returned for the smallest count.
    pub fn candidates(&self, key: u64, zone: ZoneId, count: usize) -> Vec<ServerId> {
        let mut found = self.candidates_in_zone(key, zone, count);
        if found.len() < count {
            self.add_remote(&mut found, key, zone, count);
        }
        found
    }

    /// Returns the servers of [`Self::candidates`] that are in the own zone, in the same order.
    pub fn candidates_in_zone(&self, key: u64, zone: ZoneId, count: usize) -> Vec<ServerId> {
        let in_zone = if self.zones.len() > 1 {
            count - count / CANDIDATES_PER_REMOTE_CANDIDATE
        } else {
            count
        };
        self.zones
            .get(&zone)
            .map(|ring| ring.clockwise(key).take(in_zone).collect())
            .unwrap_or_default()
    }

    /// Adds servers of other zones until `found` holds `count`: the first server of each zone, in
    /// the key's order of zones, then the second server of each, and so on.
    fn add_remote(&self, found: &mut Vec<ServerId>, key: u64, own: ZoneId, count: usize) {
        let others = self.zones.iter().filter(|(zone, _)| **zone != own);
        let mut ranked: Vec<(f64, &Ring)> = others
            .map(|(zone, ring)| (rendezvous_distance(key, *zone, ring.point_count()), ring))
            .collect();
        ranked.sort_by(|a, b| a.0.total_cmp(&b.0));
        // A zone's ring is searched only if at least its first server is needed.
        let mut rings_clockwise = Vec::new();
        for (_, ring) in ranked.iter().take(count - found.len()) {
            let mut clockwise = ring.clockwise(key);
            found.extend(clockwise.next());
            rings_clockwise.push(clockwise);
        }
        while found.len() < count {
            let before = found.len();
            found.extend(
                rings_clockwise
                    .iter_mut()
                    .filter_map(Iterator::next)
                    .take(count - before),
            );
            if found.len() == before {
                break;
            }
        }
    }
}

/// Returns the zone's distance in weighted rendezvous hashing. The zone with the lowest distance
/// comes first, which for each zone happens in proportion to its weight.
fn rendezvous_distance(key: u64, zone: ZoneId, weight: usize) -> f64 {
    // In (0, 1]: 0 is excluded because its logarithm is infinite.
    let uniform = (hash(key ^ hash(zone)) as f64 + 1.0) / (u64::MAX as f64 + 1.0);
    -uniform.ln() / weight as f64
}
