//! The configuration of admission control.

use std::collections::BTreeMap;

use nettlemux_policy::{SEC, Time};

/// The smallest weight of a key. Lower configured weights are raised to it.
pub(crate) const WEIGHT_MIN: f64 = 1e-3;

/// The limits and weights of an [`AdmissionController`](crate::AdmissionController).
#[derive(Clone, Debug, PartialEq)]
pub struct AdmissionConfig {
    /// The maximum number of queued flows.
    pub queue_limit: usize,
    /// The maximum number of queued flows of one key.
    pub queue_limit_per_key: usize,
    /// The length of the policy's queue from which on no flow is admitted.
    pub policy_queue_limit: usize,
    /// The rate limit of each key, in new flows per second; 0 means no limit.
    pub rate: f64,
    /// The burst size of each key, in new flows, if there is a rate limit.
    pub burst: f64,
    /// The maximum number of admitted flows of one key that are not closed; 0 means no limit.
    pub flow_limit_per_key: usize,
    /// How much each connected flow adds to the retry budget, in retries; 0 means that client
    /// retries are not limited by a budget.
    pub retry_budget_ratio: f64,
    /// The maximum of the retry budget, in retries.
    pub retry_budget_max: f64,
    /// The number of slots in the table of retry reservations and in each row of the token buckets.
    pub table_size: usize,
    /// The longest Retry-After, in nanoseconds.
    pub max_retry_after: Time,
    /// The weights of keys. A key that is not in the map has the weight 1.
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
