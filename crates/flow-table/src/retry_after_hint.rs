//! Whether rejected clients receive a Retry-After.

/// Whether the answer to a flow that admission control rejects contains a Retry-After.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryAfterHint {
    /// The answer contains a Retry-After.
    Sent,
    /// The answer contains no Retry-After.
    Withheld,
}
