//! The commands that a flow table gives to whatever carries flows out.

use nettlemux_policy::{FlowId, GroupPlacement, ServerId, Time};

/// A command to carry out. Commands are carried out in the order in which they are given.
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
        /// The span from now, in nanoseconds, within which the attempt's last byte is written; past
        /// it the attempt is not made.
        send_within: Time,
    },
    /// Answer the client that its flow is rejected: none of its attempts can have run.
    Reject {
        /// The flow.
        flow: FlowId,
        /// The Retry-After that is sent to the client, in nanoseconds; `None` where none is.
        retry_after: Option<Time>,
    },
    /// Answer the client that its flow has failed: an attempt may have run.
    Fail {
        /// The flow.
        flow: FlowId,
    },
    /// Ask the client of a connection to move to another server.
    Migrate {
        /// The flow that the connection belongs to.
        flow: FlowId,
    },
    /// Stop waiting for an attempt whose client has left.
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
