//! Selection of the servers of a long list whose health is checked, within a budget of bytes.

use std::collections::{BTreeMap, BTreeSet};

use crate::token_bucket::TokenBucket;
use crate::zones::ServerId;

/// The budget for the control traffic of a balancer.
const CONTROL_BYTES_PER_SECOND: u64 = 2_000;
/// The assumed size of a health check and its answer with all headers, see
/// `docs/design/candidates.md`.
const HEALTH_CHECK_BYTES: u64 = 200;
/// The rate limit of health checks on a long list, and the largest burst.
pub const HEALTH_CHECKS_PER_SECOND: u64 = CONTROL_BYTES_PER_SECOND / HEALTH_CHECK_BYTES;
/// One half of the budget is for flows that wait for a report, the other half for servers with own
/// connections. With one common budget, flows would use up all of it, and overloaded servers would
/// not be found.
const CHECKS_PER_SECOND_OF_EACH_BUDGET: f64 = HEALTH_CHECKS_PER_SECOND as f64 / 2.0;
/// Servers of each kind (scheduled again, or with own connections) that are considered for one batch.
const SERVERS_CONSIDERED_PER_BATCH: usize = 48;
/// The shortest time between two checks of a server, except for checks that flows wait for.
const CHECK_INTERVAL_MIN_NANOSECONDS: u64 = 2_000_000_000;

/// A server that may be checked.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct DueCheck {
    /// When the check is due; 0 if it was not scheduled.
    at: u64,
    server: ServerId,
}

/// The health checks of one balancer that are due. Times are nanoseconds of the caller's clock.
#[derive(Clone, Debug)]
pub struct HealthCheckQueue {
    flow_budget: TokenBucket,
    own_connection_budget: TokenBucket,
    /// Servers whose reports flows wait for. Their checks are already charged to the budget.
    requested: Vec<ServerId>,
    /// Servers that were overloaded or did not answer, to be checked again.
    urgent: BTreeSet<DueCheck>,
    /// The last server that was considered for its own connections.
    cursor: ServerId,
}

impl Default for HealthCheckQueue {
    fn default() -> Self {
        let budget = TokenBucket::new(
            CHECKS_PER_SECOND_OF_EACH_BUDGET,
            CHECKS_PER_SECOND_OF_EACH_BUDGET,
        );
        HealthCheckQueue {
            flow_budget: budget,
            own_connection_budget: budget,
            requested: Vec::new(),
            urgent: BTreeSet::new(),
            cursor: 0,
        }
    }
}

impl HealthCheckQueue {
    /// Reserves this many checks that a flow waits for. Returns whether the budget allows all of
    /// them; if not, none is charged.
    pub fn reserve(&mut self, now: u64, checks: usize) -> bool {
        self.flow_budget.try_take(now, checks as f64)
    }

    /// Adds a check that a flow waits for. The check must have been reserved.
    pub fn request(&mut self, server: ServerId) {
        self.requested.push(server);
    }

    /// Schedules another check, after the shortest interval, of a server that was overloaded or did
    /// not answer.
    pub fn recheck_soon(&mut self, now: u64, server: ServerId) {
        let at = now + CHECK_INTERVAL_MIN_NANOSECONDS;
        self.urgent.insert(DueCheck { at, server });
    }

    /// Returns the servers to check now, in this order:
    ///
    /// 1. servers whose reports flows wait for;
    /// 2. servers that were overloaded or did not answer;
    /// 3. of the next few servers with own connections, those with the highest product of own
    ///    connections and report age.
    ///
    /// `connections` returns the number of own connections from an entry of `own`.
    /// `last_report_at` returns when a server last reported or was last asked for a report, or
    /// `None` if the server must not be checked.
    pub fn take_due<V>(
        &mut self,
        now: u64,
        own: &BTreeMap<ServerId, V>,
        connections: impl Fn(&V) -> usize,
        last_report_at: impl Fn(ServerId) -> Option<u64>,
    ) -> Vec<ServerId> {
        let mut due = std::mem::take(&mut self.requested);
        let last_due = DueCheck {
            at: now,
            server: ServerId::MAX,
        };
        let urgent = self
            .urgent
            .range(..=last_due)
            .take(SERVERS_CONSIDERED_PER_BATCH);
        let mut checks: Vec<DueCheck> = urgent.copied().collect();
        checks.extend(self.next_by_own_load(now, own, connections, &last_report_at));
        for check in checks {
            let last = last_report_at(check.server).filter(|_| !due.contains(&check.server));
            if last.is_some_and(|last| last + CHECK_INTERVAL_MIN_NANOSECONDS <= now) {
                if !self.own_connection_budget.try_take(now, 1.0) {
                    break;
                }
                due.push(check.server);
            }
            self.urgent.remove(&check);
        }
        due
    }

    /// Returns the next few servers with own connections, in descending order of the product of own
    /// connections and report age.
    fn next_by_own_load<V>(
        &mut self,
        now: u64,
        own: &BTreeMap<ServerId, V>,
        connections: impl Fn(&V) -> usize,
        last_report_at: impl Fn(ServerId) -> Option<u64>,
    ) -> Vec<DueCheck> {
        let first = self.cursor.saturating_add(1);
        let from_cursor = own.range(first..).chain(own.range(..first));
        let mut found: Vec<(f64, ServerId)> = Vec::new();
        for (server, held) in from_cursor.take(SERVERS_CONSIDERED_PER_BATCH) {
            let age = now.saturating_sub(last_report_at(*server).unwrap_or(now));
            found.push((connections(held) as f64 * age as f64, *server));
            self.cursor = *server;
        }
        found.sort_by(|a, b| b.0.total_cmp(&a.0).then(a.1.cmp(&b.1)));
        let check = |(_, server)| DueCheck { at: 0, server };
        found.into_iter().map(check).collect()
    }
}
