//! Which servers of a long list have their health checked, within a budget of bytes.

use std::collections::{BTreeMap, BTreeSet};

use crate::token_bucket::TokenBucket;
use crate::zones::ServerId;

/// What control may cost a balancer.
const CONTROL_BYTES_PER_SECOND: u64 = 2_000;
/// What a check and its answer are taken to cost with all headers, see `docs/design/candidates.md`.
const HEALTH_CHECK_BYTES: u64 = 200;
/// Health checks a second on a long list; as many may be saved up.
pub const HEALTH_CHECKS_PER_SECOND: u64 = CONTROL_BYTES_PER_SECOND / HEALTH_CHECK_BYTES;
/// Half of them are for flows that wait for a report, half for servers with own connections: flows
/// alone would use up all, and no overloaded server would be found.
const CHECKS_PER_SECOND_OF_EACH_KIND: f64 = HEALTH_CHECKS_PER_SECOND as f64 / 2.0;
/// Servers that are looked at for each batch of checks.
const SERVERS_LOOKED_AT: usize = 48;
/// A server isn't checked again sooner, except for a flow; in nanoseconds.
const CHECK_INTERVAL_MIN: u64 = 2_000_000_000;

/// A server that may be checked.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct DueCheck {
    /// When it is due; 0 where it was not scheduled.
    at: u64,
    server: ServerId,
}

/// The health checks of one balancer. Times are nanoseconds of the caller's clock.
#[derive(Clone, Debug)]
pub struct HealthCheckQueue {
    flow_budget: TokenBucket,
    own_connection_budget: TokenBucket,
    /// Checks that flows wait for, taken from the budget already.
    requested: Vec<ServerId>,
    /// Servers that were overloaded or silent, to be checked again.
    urgent: BTreeSet<DueCheck>,
    /// The last server that was looked at for want of urgent ones.
    cursor: ServerId,
}

impl Default for HealthCheckQueue {
    fn default() -> Self {
        let budget = TokenBucket::new(
            CHECKS_PER_SECOND_OF_EACH_KIND,
            CHECKS_PER_SECOND_OF_EACH_KIND,
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
    /// Takes so many checks that a flow waits for from the budget. Returns whether the budget
    /// allows all of them; otherwise it takes none.
    pub fn reserve(&mut self, now: u64, checks: usize) -> bool {
        self.flow_budget.try_take(now, checks as f64)
    }

    /// Adds a check that a flow waits for, and that was reserved.
    pub fn request(&mut self, server: ServerId) {
        self.requested.push(server);
    }

    /// Checks a server again soon that was overloaded or silent just now.
    pub fn recheck_soon(&mut self, now: u64, server: ServerId) {
        let at = now + CHECK_INTERVAL_MIN;
        self.urgent.insert(DueCheck { at, server });
    }

    /// Returns the servers to check now: those that flows wait for; then those that were overloaded
    /// or silent; then, of the next few that hold own connections, those with most of them for the
    /// age of their report. `last_report_at` tells when a server last had one or was asked, or none
    /// where it is not to be checked.
    pub fn take_due<V>(
        &mut self,
        now: u64,
        own: &BTreeMap<ServerId, V>,
        connections: impl Fn(&V) -> usize,
        last_report_at: impl Fn(ServerId) -> Option<u64>,
    ) -> Vec<ServerId> {
        let mut due = std::mem::take(&mut self.requested);
        let until_now = DueCheck {
            at: now,
            server: ServerId::MAX,
        };
        let urgent = self.urgent.range(..=until_now).take(SERVERS_LOOKED_AT);
        let mut checks: Vec<DueCheck> = urgent.copied().collect();
        checks.extend(self.next_by_own_load(now, own, connections, &last_report_at));
        for check in checks {
            let last = last_report_at(check.server).filter(|_| !due.contains(&check.server));
            if last.is_some_and(|last| last + CHECK_INTERVAL_MIN <= now) {
                if !self.own_connection_budget.try_take(now, 1.0) {
                    break;
                }
                due.push(check.server);
            }
            self.urgent.remove(&check);
        }
        due
    }

    /// The next few servers, those first with most own connections for the age of their report.
    fn next_by_own_load<V>(
        &mut self,
        now: u64,
        own: &BTreeMap<ServerId, V>,
        connections: impl Fn(&V) -> usize,
        last_report_at: impl Fn(ServerId) -> Option<u64>,
    ) -> Vec<DueCheck> {
        let first = self.cursor.saturating_add(1);
        let circle = own.range(first..).chain(own.range(..first));
        let mut found: Vec<(f64, ServerId)> = Vec::new();
        for (server, held) in circle.take(SERVERS_LOOKED_AT) {
            let age = now.saturating_sub(last_report_at(*server).unwrap_or(now));
            found.push((connections(held) as f64 * age as f64, *server));
            self.cursor = *server;
        }
        found.sort_by(|a, b| b.0.total_cmp(&a.0).then(a.1.cmp(&b.1)));
        let check = |(_, server)| DueCheck { at: 0, server };
        found.into_iter().map(check).collect()
    }
}
