//! What admission control is asked, and what it answers.

use nettlemux_policy::{FlowId, Time};

/// A flow that asks to be admitted.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AdmissionRequest {
    /// The flow.
    pub flow: FlowId,
    /// The key in whose queue the flow waits.
    pub key: u64,
    /// The client, recognized when it comes back; it isn't trusted beyond that.
    pub client: u64,
    /// Whether the client says that it has tried before.
    pub is_retry: bool,
    /// When the flow's latency objective runs out, in nanoseconds of the caller's clock; it waits
    /// no longer.
    pub latency_deadline: Time,
}

/// Why a flow is rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum RejectReason {
    /// The queue is full, or that of its key.
    QueueFull,
    /// It can't be admitted, or wasn't, before its latency objective runs out.
    DeadlineExceeded,
    /// Its key sends more flows than its rate.
    RateLimited,
    /// Its key has as many admitted flows as it may.
    FlowLimit,
    /// The retry budget is used up.
    RetryBudgetExhausted,
    /// The balancer shuts down.
    ShuttingDown,
}

/// What becomes of a flow that asked to be admitted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AdmissionDecision {
    /// The flow goes on to the policy.
    Admit(FlowId),
    /// The flow is rejected; none of its attempts has been made.
    Reject {
        /// The flow.
        flow: FlowId,
        /// Why it is rejected.
        reason: RejectReason,
        /// The Retry-After for its client, in nanoseconds.
        retry_after: Time,
    },
}
