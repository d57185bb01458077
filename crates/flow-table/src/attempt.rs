//! The end of an attempt, as reported to the flow table.

use nettlemux_policy::{AttemptEnd, FlowId, LoadReport, ServerId};

/// The end of an attempt, or of the connection that the attempt established.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EndedAttempt {
    /// The flow that the attempt was made for.
    pub flow: FlowId,
    /// The attempt's number within its flow, from 0.
    pub number: usize,
    /// The server that the attempt went to.
    pub server_id: ServerId,
    /// How the attempt ended.
    pub end: AttemptEnd,
    /// Whether it is known that the server did not execute the attempt.
    pub known_unexecuted: bool,
    /// The load report in the server's answer; empty if there was none.
    pub report: LoadReport,
}
