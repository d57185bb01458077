//! Admission control: fair queues in bounded memory before the load balancing policy.
//!
//! An [`AdmissionController`] owns the flows that wait to be admitted, the limits of each key (a
//! tenant or a client, as the caller chooses), the budget of clients' retries, and the Retry-After
//! times that rejected clients were given. All of it is bounded by [`AdmissionConfig`], however
//! many distinct clients come. It has no I/O, clock, threads or hash order; its random draws and
//! its hashes come from one seed, which is new with each start.
//!
//! It must never choose a server, nor reject a flow for the fleet's load: both are the policy's.
//! While the policy has [`AdmissionConfig::policy_queue_limit`] flows that it can't place yet, none
//! is admitted: flows wait here, in fair order. So the policy's concurrency limit stays the one
//! adaptive limit towards the fleet.

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
