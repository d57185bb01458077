//! Candidates over zones: the caller's own first, the further ones in an order of each key's own.

use std::collections::BTreeMap;

use crate::hash::hash;
use crate::ring::Ring;

/// A server, by the number that the endpoint list gives it.
pub type ServerId = u64;
/// A zone, by number.
pub type ZoneId = u64;

/// One candidate in so many is in another zone, for when the own zone has no room.
const CANDIDATES_PER_REMOTE_ONE: usize = 4;

/// The servers that may be candidates: one consistent-hash ring for each zone.
#[derive(Clone, Debug, Default)]
pub struct Candidates {
    zones: BTreeMap<ZoneId, Ring>,
    /// In which zone, and with which weight, each server stands.
    members: BTreeMap<ServerId, (ZoneId, f64)>,
}

impl Candidates {
    /// Puts a server in. One that is known moves to this zone and weight. Returns how many points
    /// of rings changed, which is what an update costs.
    pub fn insert(&mut self, server: ServerId, zone: ZoneId, weight: f64) -> usize {
        let known = self.members.get(&server);
        if known.is_some_and(|(at, of)| *at == zone && of.to_bits() == weight.to_bits()) {
            return 0;
        }
        let removed = self.remove(server);
        self.members.insert(server, (zone, weight));
        removed + self.zones.entry(zone).or_default().insert(server, weight)
    }

    /// Takes a server out, if it is known, and returns how many points of rings changed.
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

    /// Returns how many servers there are.
    pub fn len(&self) -> usize {
        self.members.len()
    }

    /// Returns whether there are none.
    pub fn is_empty(&self) -> bool {
        self.members.is_empty()
    }

    /// Returns up to `count` distinct servers for this key, the own zone's first. A larger count
    /// only adds servers, so that balancers that ask for different counts agree on those that the
    /// smallest count gives.
    pub fn candidates(&self, key: u64, zone: ZoneId, count: usize) -> Vec<ServerId> {
        let mut found = self.candidates_in_zone(key, zone, count);
        if found.len() < count {
            self.add_remote(&mut found, key, zone, count);
        }
        found
    }

    /// Returns the first of [`Self::candidates`]: those in the own zone.
    pub fn candidates_in_zone(&self, key: u64, zone: ZoneId, count: usize) -> Vec<ServerId> {
        let in_zone = if self.zones.len() > 1 {
            count - count / CANDIDATES_PER_REMOTE_ONE
        } else {
            count
        };
        self.zones
            .get(&zone)
            .map(|ring| ring.clockwise(key).take(in_zone).collect())
            .unwrap_or_default()
    }

    /// Adds servers of other zones, up to `count` in all: one of each zone in the key's order of
    /// zones, then the second of each, and so on.
    fn add_remote(&self, found: &mut Vec<ServerId>, key: u64, own: ZoneId, count: usize) {
        let others = self.zones.iter().filter(|(zone, _)| **zone != own);
        let mut ranked: Vec<(f64, &Ring)> = others
            .map(|(zone, ring)| (distance(key, *zone, ring.weight()), ring))
            .collect();
        ranked.sort_by(|a, b| a.0.total_cmp(&b.0));
        // A walk begins only where its first server is needed.
        let mut walks = Vec::new();
        for (_, ring) in ranked.iter().take(count - found.len()) {
            let mut walk = ring.clockwise(key);
            found.extend(walk.next());
            walks.push(walk);
        }
        while found.len() < count {
            let before = found.len();
            found.extend(
                walks
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

/// The zone's distance in weighted rendezvous hashing: the zone with the least comes first, as
/// often as its weight asks.
fn distance(key: u64, zone: ZoneId, weight: usize) -> f64 {
    // From above 0 to 1, as the logarithm of 0 is none.
    let uniform = (hash(key ^ hash(zone)) as f64 + 1.0) / (u64::MAX as f64 + 1.0);
    -uniform.ln() / weight as f64
}
