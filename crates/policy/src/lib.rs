//! Decisions of a balancer for long-lived connections, without I/O and without a clock.
//!
//! [`Policy`] decides; the plain types that go in and come out stand in [`types`].

pub mod policy;
pub mod types;

pub use policy::Policy;
pub use types::*;
