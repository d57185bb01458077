//! The commands that a flow table issues to its caller, which does the I/O.

use nettlemux_policy::{FlowId, GroupPlacement, ServerId, Time};

/// A command for the caller of the flow table. Commands are executed in the order in which they
/// are issued.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PolicyCommand {
    /// Start an attempt of a flow.
    StartAttempt {
        /// The flow.
        flow: FlowId,
        /// The server that the attempt goes to.
        server_id: ServerId,
        /// The attempt's number within its flow, from 0.
        number: usize,
        /// How long to wait for the server's answer, in nanoseconds from now.
        timeout: Time,
        /// The time limit for writing the attempt's last byte, in nanoseconds from now. After it,
        /// the attempt is not made.
        send_within: Time,
    },
    /// Tell the client that its flow is rejected: no server can have executed any of its attempts.
    Reject {
        /// The flow.
        flow: FlowId,
        /// The Retry-After to send to the client, in nanoseconds; `None` if none is sent.
        retry_after: Option<Time>,
    },
    /// Tell the client that its flow has failed: a server may have executed an attempt.
    Fail {
        /// The flow.
        flow: FlowId,
    },
    /// Ask the client of a connection to move to another server.
    Migrate {
        /// The flow that the connection belongs to.
        flow: FlowId,
    },
    /// Stop waiting for an attempt whose client has disconnected.
    CancelAttempt {
        /// The flow.
        flow: FlowId,
        /// The attempt's number within its flow, from 0.
        number: usize,
    },
    /// Check the health of a server.
    CheckHealth {
        /// The server.
        server_id: ServerId,
    },
    /// Poll the endpoint list.
    PollEndpoints,
    /// Send a gossip message to the other balancers.
    Gossip(GroupPlacement),
}
