//! The flows of one balancer that await an answer or hold a connection.
//!
//! A [`FlowTable`] owns one load balancing policy, the flows that the policy was asked about, the
//! admission control before it and the time of their next timer. It turns the policy's decisions
//! into [`PolicyCommand`]s, in the order in which they are to be carried out. The balancer on
//! sockets, the simulator's adapter and the testbed all keep their flows in one, so that none
//! treats them differently.
//!
//! The package has no I/O, clock, thread or randomness of its own. It must never decide anything:
//! where a flow goes, whether it is retried and what is rejected is up to the policy and to
//! admission control.

#![warn(missing_docs)]

mod attempt;
mod command;
mod identity;
mod policy;
mod retry_after_hint;
mod table;

pub use crate::attempt::EndedAttempt;
pub use crate::command::PolicyCommand;
pub use crate::identity::ClientIdentity;
pub use crate::policy::LoadBalancingPolicy;
pub use crate::retry_after_hint::RetryAfterHint;
pub use crate::table::FlowTable;
