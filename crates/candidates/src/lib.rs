//! A bounded number of candidate servers for each key.
//!
//! This crate selects the few servers of a long endpoint list that are considered for a flow or have
//! their health checked:
//!
//! - [`Candidates`] returns the servers that a key may go to. Balancers with the same list get the
//!   same servers; balancers whose lists differ by a few entries get nearly the same.
//! - [`TokenBucket`] limits how often an operation is done.
//! - [`HealthCheckQueue`] selects the servers to check within such a limit.
//! - [`CandidateSet`] holds all that a balancer keeps for a long list.
//!
//! The crate must never do I/O, read a clock or choose the server of a flow. The design and its
//! alternatives: `docs/design/candidates.md`.
//!
//! ```
//! use nettlemux_candidates::Candidates;
//!
//! let mut candidates = Candidates::default();
//! for id in 0..1000 {
//!     candidates.insert(id, id % 4, 1.0);
//! }
//! let found = candidates.candidates(7, 2, 16);
//! assert_eq!(found.len(), 16);
//! // Three quarters of them are in the caller's zone.
//! assert_eq!(found.iter().filter(|id| **id % 4 == 2).count(), 12);
//! ```

#![warn(missing_docs)]

mod candidate_set;
mod hash;
mod health_checks;
mod ring;
mod token_bucket;
mod zones;

pub use candidate_set::{CANDIDATES_MAX, CandidateSet, FULL_SCAN_SERVERS_MAX, ZoneReach};
pub use hash::{hash, hash_name, usable_weight};
pub use health_checks::{HEALTH_CHECKS_PER_SECOND, HealthCheckQueue};
pub use token_bucket::TokenBucket;
pub use zones::{Candidates, ServerId, ZoneId};
