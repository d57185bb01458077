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

/// Admission control before the policy: fair queues, limits of each key, and a Retry-After that
/// is as long as the queue needs.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct AdmissionSettings {
    /// What the keys are that have a queue and limits each.
    pub by: AdmissionKey,
    /// Flows that may wait in all.
    #[schemars(range(min = 1, max = QUEUE_LIMIT_MAX))]
    pub waiting: usize,
    /// Flows of one key that may wait.
    #[schemars(range(min = 1, max = QUEUE_LIMIT_PER_KEY_MAX))]
    pub waiting_each: usize,
    /// Flows that the policy may have queued before no other is admitted.
    #[schemars(range(min = 1, max = POLICY_QUEUE_LIMIT_MAX))]
    pub held: usize,
    /// New flows a second of one key; 0: no limit.
    pub rate: f64,
    /// New flows of one key that may come at once, where there is a rate.
    pub burst: f64,
    /// Connections that one key may have; 0: no limit.
    pub open: usize,
    /// Retries of clients that each connected flow pays for; 0: no limit.
    pub retries: f64,
    /// Retries that may be saved up, where they are limited.
    pub saved: f64,
    /// Slots in the tables of rates and promises, 24 bytes each.
    #[schemars(range(min = TABLE_SIZE_MIN, max = TABLE_SIZE_MAX))]
    pub table: usize,
    /// Weights of tenants by name, where they aren't 1; only where the keys are tenants.
    pub weights: BTreeMap<String, f64>,
}

/// What the keys of admission control are.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize, Serialize, JsonSchema)]
#[serde(rename_all = "lowercase")]
#[schemars(rename = "By")]
pub enum AdmissionKey {
    /// The tenant that a first line names.
    #[default]
    #[serde(alias = "customer")]
    Tenant,
    /// The client: the group that a first line names, else the flow's key.
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
    /// Returns the configuration of admission control. `key_of` returns the key of a tenant by its
    /// name, or `None` where the tenant has no weight.
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

    /// Checks what the form alone can't. `table` is what the file calls this table.
    pub(super) fn check(&self, table: &str) -> Result<(), OperatorFileError> {
        let checks = self.check_counts().and_then(|()| self.check_numbers());
        let checks = checks.and_then(|()| self.check_weights());
        checks.map_err(|Fault { key, problem }| OperatorFileError {
            key: format!("{table}.{key}"),
            problem,
        })
    }

    fn check_counts(&self) -> Result<(), Fault> {
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
                return Err(Fault::new(key, problem));
            }
        }
        Ok(())
    }

    fn check_numbers(&self) -> Result<(), Fault> {
        for (key, number) in [
            ("rate", self.rate),
            ("burst", self.burst),
            ("retries", self.retries),
            ("saved", self.saved),
        ] {
            if !number.is_finite() || number < 0.0 {
                return Err(Fault::new(key, OperatorFileProblem::NotFromZeroUp(number)));
            }
        }
        Ok(())
    }

    fn check_weights(&self) -> Result<(), Fault> {
        let mut weights = self.weights.iter();
        if let Some((name, weight)) = weights.find(|(_, weight)| !WEIGHTS.contains(*weight)) {
            let problem = OperatorFileProblem::WeightOutOfRange {
                weight: *weight,
                min: *WEIGHTS.start(),
                max: *WEIGHTS.end(),
            };
            return Err(Fault::new(&format!("weights.{name}"), problem));
        }
        if !self.weights.is_empty() && self.by == AdmissionKey::Client {
            return Err(Fault::new("weights", OperatorFileProblem::WeightsByClient));
        }
        Ok(())
    }
}

/// A fault in this table.
struct Fault {
    /// The key without its table.
    key: String,
    problem: OperatorFileProblem,
}

impl Fault {
    fn new(key: &str, problem: OperatorFileProblem) -> Self {
        Fault {
            key: key.to_string(),
            problem,
        }
    }
}
