//! What rejected clients are told.

/// Whether the clients that admission control rejects are told a Retry-After.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryAfterHint {
    /// The client is told how long to wait before it tries again.
    Sent,
    /// The client is told nothing.
    Withheld,
}
