//! The limits of admission control.

use std::collections::BTreeMap;

use nettlemux_policy::{SEC, Time};

/// The least weight of a key, whatever the configuration says.
pub(crate) const WEIGHT_MIN: f64 = 1e-3;

/// The limits and weights of an [`AdmissionController`](crate::AdmissionController).
#[derive(Clone, Debug, PartialEq)]
pub struct AdmissionConfig {
    /// Flows that may wait at once.
    pub queue_limit: usize,
    /// Flows of one key that may wait at once.
    pub queue_limit_per_key: usize,
    /// Flows that the policy may have queued before no other is admitted.
    pub policy_queue_limit: usize,
    /// New flows a second of one key; 0 is no limit.
    pub rate: f64,
    /// New flows of one key that may come at once, where there is a rate.
    pub burst: f64,
    /// Admitted flows of one key at once; 0 is no limit.
    pub flow_limit_per_key: usize,
    /// Retries of clients that each connected flow pays for; 0 is no retry budget.
    pub retry_budget_ratio: f64,
    /// Retries that the retry budget saves up at most.
    pub retry_budget_max: f64,
    /// Slots in each of the fixed tables of rates and promises.
    pub table_size: usize,
    /// The longest Retry-After, in nanoseconds.
    pub max_retry_after: Time,
    /// Weights of keys, where they aren't 1.
    pub weights: BTreeMap<u64, f64>,
}

impl AdmissionConfig {
    /// Returns the weight of a key.
    pub(crate) fn weight(&self, key: u64) -> f64 {
        let weight = self.weights.get(&key).copied().unwrap_or(1.0);
        weight.max(WEIGHT_MIN)
    }
}

impl Default for AdmissionConfig {
    fn default() -> Self {
        AdmissionConfig {
            queue_limit: 1024,
            queue_limit_per_key: 64,
            policy_queue_limit: 4,
            rate: 0.0,
            burst: 20.0,
            flow_limit_per_key: 0,
            retry_budget_ratio: 0.0,
            retry_budget_max: 100.0,
            table_size: 4096,
            max_retry_after: 2 * SEC,
            weights: BTreeMap::new(),
        }
    }
}
