//! Load shedding: decides which flows may use the last of the capacity, and how the others are
//! answered.

use std::collections::BTreeMap;

use nanorand::{Rng, WyRand};

use crate::concurrency::ConcurrencyLimit;
use crate::connections::{ConnectionTable, LoadTotal};
use crate::types::{DeduplicationScope, Flow, Idempotency, Placement, SEC, Time};

/// Utilization beyond the limits for all flows that only flows with priority may use.
const PRIORITY_UTILIZATION: f64 = 0.16;
/// A tenant is over its quota if it holds more than this multiple of the quota.
const QUOTA_TOLERANCE: f64 = 1.25;
/// The longest Retry-After while there is no congestion, i.e. while the limit of attempts in flight
/// is not below its initial value.
const UNCONGESTED_RETRY_AFTER_MAX: Time = SEC;
/// The longest Retry-After divided by this number is the shortest.
const RETRY_AFTER_MIN_DIVISOR: Time = 8;

/// Quotas of the tenants, and the Retry-After of rejected clients.
#[derive(Clone, Debug, PartialEq)]
pub struct SheddingConfig {
    /// Each tenant's quota as a fraction of all own connections, by the tenant's number. A tenant
    /// that is not in it has no quota.
    pub tenant_quotas: BTreeMap<usize, f64>,
    /// Fraction of its priority weight that a flow keeps if its tenant is over the quota.
    pub surplus_weight: f64,
    /// The longest Retry-After in nanoseconds; `None` if clients are not sent one.
    pub retry_after_max: Option<Time>,
}

impl Default for SheddingConfig {
    fn default() -> Self {
        SheddingConfig {
            tenant_quotas: BTreeMap::new(),
            surplus_weight: 1.0,
            retry_after_max: None,
        }
    }
}

/// Decides on the priority of flows, and answers flows that are given up.
pub(crate) struct LoadShedding {
    config: SheddingConfig,
}

impl LoadShedding {
    pub(crate) fn new(config: SheddingConfig) -> Self {
        LoadShedding { config }
    }

    /// Returns the utilization by which the flow may exceed the limits that apply to all flows.
    pub(crate) fn priority_utilization(&self, flow: &Flow, connections: &ConnectionTable) -> f64 {
        if self.has_priority(flow, connections) {
            PRIORITY_UTILIZATION
        } else {
            0.0
        }
    }

    /// Whether the flow brings at least as much priority weight for its load as own connections do
    /// on average. If no loads are reported, every flow has priority.
    fn has_priority(&self, flow: &Flow, connections: &ConnectionTable) -> bool {
        let (mut load, mut weight) = (0.0, 0.0);
        for total in connections.loads.values() {
            load += total.sum;
            weight += total.priority_weight * total.count;
        }
        let own_class = connections.loads.get(&flow.class.number).copied();
        let LoadTotal { count, sum, .. } = own_class.unwrap_or_default();
        let kept_fraction = if self.is_over_quota(flow, connections) {
            self.config.surplus_weight
        } else {
            1.0
        };
        let own_weight = flow.class.priority_weight * kept_fraction;
        // The ratios are compared by cross-multiplication: without reported loads both sides are 0.
        own_weight * count * load >= weight * sum
    }

    /// Whether the flow's tenant holds well over its quota of own connections.
    fn is_over_quota(&self, flow: &Flow, connections: &ConnectionTable) -> bool {
        let held = connections
            .by_tenant
            .get(&flow.tenant)
            .copied()
            .unwrap_or(0) as f64;
        let quotas = &self.config.tenant_quotas;
        let quota = quotas.get(&flow.tenant).copied().unwrap_or(1.0);
        held > QUOTA_TOLERANCE * quota * connections.own.len() as f64
    }

    /// Answers a flow that is given up: rejects it if the client may safely retry within
    /// `resend_time_left`, otherwise fails it. Guards against a client that is told to retry after
    /// servers have forgotten its first attempt.
    pub(crate) fn reject_or_fail(
        &self,
        flow: &Flow,
        resend_time_left: Time,
        concurrency: &ConcurrencyLimit,
        rng: &mut WyRand,
    ) -> Placement {
        let may_have_executed = flow.may_have_executed();
        match flow.class.idempotency {
            Idempotency::NonIdempotent if may_have_executed => return Placement::Fail,
            Idempotency::Deduplicated { scope, .. }
                if may_have_executed && scope != DeduplicationScope::All =>
            {
                return Placement::Fail;
            }
            Idempotency::Deduplicated { .. } if resend_time_left == 0 => return Placement::Fail,
            _ => {}
        }
        // Spread at random, so that clients that are rejected together do not retry together. Under
        // congestion the upper bound is the longest that the settings allow.
        let retry_after = self.config.retry_after_max.map(|longest| {
            let longest = if concurrency.is_congested() {
                longest
            } else {
                longest.min(UNCONGESTED_RETRY_AFTER_MAX)
            };
            let longest = longest.min(resend_time_left);
            rng.generate_range(longest / RETRY_AFTER_MIN_DIVISOR..=longest)
        });
        Placement::Reject { retry_after }
    }
}
