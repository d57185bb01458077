//! The settings of admission control.

use std::collections::BTreeMap;
use std::ops::RangeInclusive;

use nettlemux_admission::AdmissionConfig;
use nettlemux_policy::Time;
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

use super::error::{OperatorFileError, OperatorFileProblem};

const QUEUE_LIMIT_MAX: usize = 1_000_000;
const QUEUE_LIMIT_PER_KEY_MAX: usize = 10_000;
const POLICY_QUEUE_LIMIT_MAX: usize = 10_000;
const TABLE_SIZE_MIN: usize = 16;
const TABLE_SIZE_MAX: usize = 1_000_000;
const WEIGHTS: RangeInclusive<f64> = 0.001..=1000.0;

/// Admission control in front of the load balancing policy: fair queues, limits for each
/// key, and a Retry-After as long as the queue needs to empty.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct AdmissionSettings {
    /// What identifies a key. Each key has its own queue and limits.
    pub by: AdmissionKey,
    /// Maximum number of waiting flows of all keys together.
    #[schemars(range(min = 1, max = QUEUE_LIMIT_MAX))]
    pub waiting: usize,
    /// Maximum number of waiting flows of one key.
    #[schemars(range(min = 1, max = QUEUE_LIMIT_PER_KEY_MAX))]
    pub waiting_each: usize,
    /// Number of flows queued by the policy at which no further flow is admitted.
    #[schemars(range(min = 1, max = POLICY_QUEUE_LIMIT_MAX))]
    pub held: usize,
    /// Maximum number of new flows per second of one key. 0 means no limit.
    pub rate: f64,
    /// Maximum number of new flows of one key at once. Only used if `rate` is not 0.
    pub burst: f64,
    /// Maximum number of connections of one key. 0 means no limit.
    pub open: usize,
    /// Number of client retries that each connected flow adds to the retry budget. 0 means no limit
    /// on retries.
    pub retries: f64,
    /// Maximum number of retries in the retry budget. Only used if `retries` is not 0.
    pub saved: f64,
    /// Number of slots in each of the tables of rates and of retry reservations. A slot takes 24
    /// bytes.
    #[schemars(range(min = TABLE_SIZE_MIN, max = TABLE_SIZE_MAX))]
    pub table: usize,
    /// Weights of tenants, by tenant name. A tenant that is not listed has weight 1. Only allowed if
    /// `by` is `tenant`.
    pub weights: BTreeMap<String, f64>,
}

/// What identifies a key of admission control.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize, Serialize, JsonSchema)]
#[serde(rename_all = "lowercase")]
#[schemars(rename = "By")]
pub enum AdmissionKey {
    /// The tenant named in the first line.
    #[default]
    #[serde(alias = "customer")]
    Tenant,
    /// The client: the group named in the first line, or the flow's key if no group is named.
    Client,
}

impl Default for AdmissionSettings {
    fn default() -> Self {
        let config = AdmissionConfig::default();
        AdmissionSettings {
            by: AdmissionKey::default(),
            waiting: config.queue_limit,
            waiting_each: config.queue_limit_per_key,
            held: config.policy_queue_limit,
            rate: config.rate,
            burst: config.burst,
            open: config.flow_limit_per_key,
            retries: config.retry_budget_ratio,
            saved: config.retry_budget_max,
            table: config.table_size,
            weights: BTreeMap::new(),
        }
    }
}

impl AdmissionSettings {
    /// Returns the configuration of admission control. `key_of` maps a tenant's name to its key, or
    /// to `None` if the tenant's weight is to be ignored.
    pub fn config(
        &self,
        max_retry_after: Time,
        key_of: impl Fn(&str) -> Option<u64>,
    ) -> AdmissionConfig {
        let weights = self.weights.iter();
        AdmissionConfig {
            queue_limit: self.waiting,
            queue_limit_per_key: self.waiting_each,
            policy_queue_limit: self.held,
            rate: self.rate,
            burst: self.burst,
            flow_limit_per_key: self.open,
            retry_budget_ratio: self.retries,
            retry_budget_max: self.saved,
            table_size: self.table,
            max_retry_after,
            weights: weights
                .filter_map(|(name, weight)| Some((key_of(name)?, *weight)))
                .collect(),
        }
    }

    /// Checks the values, which deserialization doesn't. `table` is this table's name in the file.
    pub(super) fn check(&self, table: &str) -> Result<(), OperatorFileError> {
        let checks = self.check_counts().and_then(|()| self.check_numbers());
        let checks = checks.and_then(|()| self.check_weights());
        checks.map_err(|InvalidKey { key, problem }| OperatorFileError {
            key: format!("{table}.{key}"),
            problem,
        })
    }

    fn check_counts(&self) -> Result<(), InvalidKey> {
        for (key, count, range) in [
            ("waiting", self.waiting, 1..=QUEUE_LIMIT_MAX),
            (
                "waiting_each",
                self.waiting_each,
                1..=QUEUE_LIMIT_PER_KEY_MAX,
            ),
            ("held", self.held, 1..=POLICY_QUEUE_LIMIT_MAX),
            ("table", self.table, TABLE_SIZE_MIN..=TABLE_SIZE_MAX),
        ] {
            if !range.contains(&count) {
                let (min, max) = range.into_inner();
                let problem = OperatorFileProblem::CountOutOfRange { count, min, max };
                return Err(InvalidKey::new(key, problem));
            }
        }
        Ok(())
    }

    fn check_numbers(&self) -> Result<(), InvalidKey> {
        for (key, number) in [
            ("rate", self.rate),
            ("burst", self.burst),
            ("retries", self.retries),
            ("saved", self.saved),
        ] {
            if !number.is_finite() || number < 0.0 {
                return Err(InvalidKey::new(
                    key,
                    OperatorFileProblem::NegativeOrNotFinite(number),
                ));
            }
        }
        Ok(())
    }

    fn check_weights(&self) -> Result<(), InvalidKey> {
        let mut weights = self.weights.iter();
        if let Some((name, weight)) = weights.find(|(_, weight)| !WEIGHTS.contains(*weight)) {
            let problem = OperatorFileProblem::WeightOutOfRange {
                weight: *weight,
                min: *WEIGHTS.start(),
                max: *WEIGHTS.end(),
            };
            return Err(InvalidKey::new(&format!("weights.{name}"), problem));
        }
        if !self.weights.is_empty() && self.by == AdmissionKey::Client {
            return Err(InvalidKey::new(
                "weights",
                OperatorFileProblem::WeightsByClient,
            ));
        }
        Ok(())
    }
}

/// An invalid key in this table.
struct InvalidKey {
    /// The key, without the table's name.
    key: String,
    problem: OperatorFileProblem,
}

impl InvalidKey {
    fn new(key: &str, problem: OperatorFileProblem) -> Self {
        InvalidKey {
            key: key.to_string(),
            problem,
        }
    }
}
