//! What becomes of an attempt.

use nettlemux_policy::{AttemptEnd, FlowId, LoadReport, ServerId};

/// The end of an attempt, or of the connection that it became.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EndedAttempt {
    /// The flow that the attempt was made for.
    pub flow: FlowId,
    /// The attempt's number within its flow, from 0.
    pub number: usize,
    /// The server that the attempt went to.
    pub server_id: ServerId,
    /// How the attempt has ended.
    pub end: AttemptEnd,
    /// Whether the attempt is known not to have run.
    pub known_unexecuted: bool,
    /// The load report that came with the server's answer; empty where none came.
    pub report: LoadReport,
}
