//! The state that a balancer keeps for an endpoint list that is too long to be scanned in full.

use crate::health_checks::{HEALTH_CHECKS_PER_SECOND, HealthCheckQueue};
use crate::token_bucket::TokenBucket;
use crate::zones::{Candidates, ServerId, ZoneId};

/// The longest interval between two health checks of a server, in seconds.
const CHECK_INTERVAL_MAX_SECONDS: u64 = 10;
/// The longest list that is scanned in full. It is twice the number of servers that the health
/// check budget covers within the longest interval, because servers without own connections are
/// checked only when a flow may go there.
pub const FULL_SCAN_SERVERS_MAX: usize =
    (2 * HEALTH_CHECKS_PER_SECOND * CHECK_INTERVAL_MAX_SECONDS) as usize;
/// The lowest number of candidates of a key.
const CANDIDATES_MIN: usize = 16;
/// The highest number of candidates of a key, and of holders that are considered in addition.
pub const CANDIDATES_MAX: usize = 48;
/// Own connections of a key per additional candidate.
const CONNECTIONS_PER_CANDIDATE: usize = 8;
/// Limit on scans of the whole list: one scan takes about 2 ms at 12,000 servers.
const LIST_SCANS_PER_SECOND: f64 = 2.0;
/// Limit on scans that drop expired gossip: entries are valid for 40 s and may be dropped late.
const GOSSIP_EXPIRIES_PER_SECOND: f64 = 0.1;

/// The zones that are searched for candidates.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ZoneReach {
    /// The caller's own zone.
    OwnZone,
    /// The caller's own zone and, for part of the candidates, other zones.
    AllZones,
}

/// The candidates of a long list, and the budgets for work on it.
#[derive(Clone, Debug)]
pub struct CandidateSet {
    candidates: Candidates,
    list_scans: TokenBucket,
    gossip_expiries: TokenBucket,
    /// Chooses the servers whose health is checked.
    pub health_checks: HealthCheckQueue,
}

impl Default for CandidateSet {
    fn default() -> Self {
        CandidateSet {
            candidates: Candidates::default(),
            list_scans: TokenBucket::new(LIST_SCANS_PER_SECOND, LIST_SCANS_PER_SECOND),
            gossip_expiries: TokenBucket::new(GOSSIP_EXPIRIES_PER_SECOND, 1.0),
            health_checks: HealthCheckQueue::default(),
        }
    }
}

impl CandidateSet {
    /// Adds a server that is ready, or changes its zone and weight.
    pub fn insert(&mut self, server: ServerId, zone: ZoneId, weight: f64) {
        self.candidates.insert(server, zone, weight);
    }

    /// Removes a server that is no longer ready. Does nothing if the server is unknown.
    pub fn remove(&mut self, server: ServerId) {
        self.candidates.remove(server);
    }

    /// Returns the servers to consider for this key, in order of their ids: the key's candidates
    /// and its `holders`.
    ///
    /// `holders` yields each server that holds own connections of the key, with their number. The
    /// number of candidates grows with the number of these connections. Holders beyond
    /// [`CANDIDATES_MAX`] are left out.
    pub fn servers_for_key<'a>(
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

    /// Returns whether the whole list may be scanned now. If so, the scan is charged to the budget.
    pub fn try_begin_list_scan(&mut self, now: u64) -> bool {
        self.list_scans.try_take(now, 1.0)
    }

    /// Returns whether the entries received by gossip may be scanned now to drop the expired ones.
    /// If so, the scan is charged to the budget.
    pub fn try_begin_gossip_expiry(&mut self, now: u64) -> bool {
        self.gossip_expiries.try_take(now, 1.0)
    }
}
