//! What a balancer keeps of a list that is too long to be looked at whole.

use crate::health_checks::{HEALTH_CHECKS_PER_SECOND, HealthCheckQueue};
use crate::token_bucket::TokenBucket;
use crate::zones::{Candidates, ServerId, ZoneId};

/// The longest interval between two health checks of a server, in seconds.
const CHECK_INTERVAL_MAX_SECONDS: u64 = 10;
/// Servers up to which a list is looked at whole: twice what the budget checks within the longest
/// interval, as servers without own connections are checked only when a flow may go there.
pub const WHOLE_LIST_MAX: usize =
    (2 * HEALTH_CHECKS_PER_SECOND * CHECK_INTERVAL_MAX_SECONDS) as usize;
/// Candidates of a key at least.
const CANDIDATES_MIN: usize = 16;
/// Candidates of a key at most, and own holders that are looked at beside them.
pub const CANDIDATES_MAX: usize = 48;
/// Own connections of a key for which there is one more candidate.
const CONNECTIONS_PER_CANDIDATE: usize = 8;
/// Walks over the whole list: one takes some 2 ms at 12,000 servers.
const LIST_WALKS_PER_SECOND: f64 = 2.0;
/// Walks over what other balancers announced: what holds for 40 s needn't go at once.
const GOSSIP_EXPIRIES_PER_SECOND: f64 = 0.1;

/// The zones in which candidates are looked for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ZoneReach {
    /// The caller's own zone.
    OwnZone,
    /// The own zone and, for part of the candidates, others.
    AllZones,
}

/// Candidates and budgets for a long list.
#[derive(Clone, Debug)]
pub struct CandidateSet {
    candidates: Candidates,
    list_walks: TokenBucket,
    gossip_expiries: TokenBucket,
    /// Decides which servers' health is checked.
    pub health_checks: HealthCheckQueue,
}

impl Default for CandidateSet {
    fn default() -> Self {
        CandidateSet {
            candidates: Candidates::default(),
            list_walks: TokenBucket::new(LIST_WALKS_PER_SECOND, LIST_WALKS_PER_SECOND),
            gossip_expiries: TokenBucket::new(GOSSIP_EXPIRIES_PER_SECOND, 1.0),
            health_checks: HealthCheckQueue::default(),
        }
    }
}

impl CandidateSet {
    /// Puts in a server that is ready, or changes its zone and weight.
    pub fn insert(&mut self, server: ServerId, zone: ZoneId, weight: f64) {
        self.candidates.insert(server, zone, weight);
    }

    /// Takes out a server that isn't ready any more, if it is known.
    pub fn remove(&mut self, server: ServerId) {
        self.candidates.remove(server);
    }

    /// Returns the servers for this key, in order of their ids: its candidates, more of them the
    /// more own connections of the key there are, and `holders`, the servers with the number of
    /// these connections. Of very many holders some are left out.
    pub fn scope<'a>(
        &self,
        key: u64,
        zone: ZoneId,
        reach: ZoneReach,
        holders: impl Iterator<Item = (&'a ServerId, &'a usize)>,
    ) -> Vec<ServerId> {
        let (mut scope, mut connections) = (Vec::new(), 0);
        for (server, held) in holders.take(CANDIDATES_MAX) {
            scope.push(*server);
            connections += held;
        }
        let count = CANDIDATES_MAX.min(CANDIDATES_MIN + connections / CONNECTIONS_PER_CANDIDATE);
        scope.extend(match reach {
            ZoneReach::OwnZone => self.candidates.candidates_in_zone(key, zone, count),
            ZoneReach::AllZones => self.candidates.candidates(key, zone, count),
        });
        scope.sort_unstable();
        scope.dedup();
        scope
    }

    /// Returns whether the whole list may be walked now, which then counts as done.
    pub fn may_walk_list(&mut self, now: u64) -> bool {
        self.list_walks.try_take(now, 1.0)
    }

    /// Returns whether what other balancers announced may be walked now to drop what has expired,
    /// which then counts as done.
    pub fn may_expire_gossip(&mut self, now: u64) -> bool {
        self.gossip_expiries.try_take(now, 1.0)
    }
}
