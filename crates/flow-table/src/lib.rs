//! The flows of one balancer that are waiting for an answer or have an open connection.
//!
//! A [`FlowTable`] owns one load balancing policy, optional admission control in front of the
//! policy, and the flows that either of them is handling. It reports when their next timer is due.
//! It translates the policy's decisions into [`PolicyCommand`]s, in the order in which they must be
//! executed. The balancer on sockets, the simulator's adapter and the testbed all use it, so that
//! they all handle flows in the same way.
//!
//! This crate does no I/O and has no clock, threads or randomness of its own. It must not make
//! decisions: the policy and admission control decide which server a flow is sent to, whether it is
//! retried and whether it is rejected.

#![warn(missing_docs)]

mod attempt;
mod command;
mod identity;
mod policy;
mod retry_after_hint;
mod table;

pub use crate::attempt::EndedAttempt;
pub use crate::command::PolicyCommand;
pub use crate::identity::AdmissionAttributes;
pub use crate::policy::LoadBalancingPolicy;
pub use crate::retry_after_hint::RetryAfterHint;
pub use crate::table::FlowTable;
