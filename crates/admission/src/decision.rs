//! Admission requests and decisions.

use nettlemux_policy::{FlowId, Time};

/// A flow submitted to admission control.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AdmissionRequest {
    /// The flow.
    pub flow: FlowId,
    /// The key in whose fair queue the flow waits.
    pub key: u64,
    /// Identifies the client, so that it is recognized when it retries. The value is not trusted
    /// for anything else.
    pub client: u64,
    /// Whether the client marks the flow as a retry.
    pub is_retry: bool,
    /// When the flow's latency objective expires, in nanoseconds of the caller's clock. A flow that
    /// is still queued then is rejected.
    pub latency_deadline: Time,
}

/// Why a flow is rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum RejectReason {
    /// The total queue or the key's queue is full.
    QueueFull,
    /// The flow's latency objective has expired, or is expected to expire before the flow is
    /// admitted.
    DeadlineExceeded,
    /// The key is over its rate limit.
    RateLimited,
    /// The key has reached its limit of admitted flows.
    FlowLimit,
    /// The flow is a retry and the retry budget is exhausted.
    RetryBudgetExhausted,
    /// The balancer is shutting down.
    ShuttingDown,
}

/// The decision about a submitted flow.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AdmissionDecision {
    /// The flow is passed to the policy.
    Admit(FlowId),
    /// The flow is rejected, and no attempt was made.
    Reject {
        /// The flow.
        flow: FlowId,
        /// Why it is rejected.
        reason: RejectReason,
        /// The Retry-After for the client, in nanoseconds.
        retry_after: Time,
    },
}
