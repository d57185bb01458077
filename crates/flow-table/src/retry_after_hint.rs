//! The Retry-After in the answer to a rejected flow.

/// Whether the answer to a flow that admission control rejects has a Retry-After.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryAfterHint {
    /// The answer has one.
    Sent,
    /// The answer has none.
    Withheld,
}
