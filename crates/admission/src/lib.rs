//! Admission control: fair queues in bounded memory in front of the load balancing policy.
//!
//! An [`AdmissionController`] owns the flows that wait to be admitted, the limits of each key (a
//! tenant or a client, as the caller chooses), the budget for client retries, and the Retry-After
//! times that rejected clients were given. [`AdmissionConfig`] bounds the memory for all of them,
//! regardless of the number of distinct clients. The controller does no I/O, has no clock or
//! threads and doesn't depend on the iteration order of hash maps. Its random numbers and its
//! hashes are derived from one seed, which differs for each start.
//!
//! Admission control must not choose servers or reject flows because of the load on the fleet: the
//! policy does both. While the policy has [`AdmissionConfig::policy_queue_limit`] flows that it
//! can't place yet, no further flow is admitted, and flows wait here in fair order. So the policy's
//! concurrency limit remains the only adaptive limit on the load of the fleet.

#![warn(missing_docs)]

mod config;
mod controller;
mod decision;
mod fair_queue;
mod hashing;
mod retry_after;
mod service_rate;
mod token_buckets;

pub use crate::config::AdmissionConfig;
pub use crate::controller::AdmissionController;
pub use crate::decision::{AdmissionDecision, AdmissionRequest, RejectReason};
pub use crate::hashing::hash_key;
