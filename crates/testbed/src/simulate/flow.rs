//! The state of one flow between its client, its balancer and a server.

use nettlemux_policy::Time;

/// The number of a client in the model.
pub(super) type ClientId = u64;

/// The phase of a flow.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum FlowPhase {
    /// The client waits for an answer.
    Waiting,
    /// The client was rejected or failed, or has disconnected. An attempt may still be in flight.
    Settled,
    /// The client is connected to a server.
    Connected,
}

/// One attempt of a flow at a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Attempt {
    pub(super) number: usize,
    pub(super) server: usize,
}

/// A flow that its balancer has accepted and not closed yet.
pub(super) struct FlowState {
    pub(super) client: ClientId,
    pub(super) balancer: usize,
    pub(super) accepted: Time,
    pub(super) phase: FlowPhase,
    /// The attempt in flight, or the attempt that established the connection.
    pub(super) attempt: Option<Attempt>,
    /// The client is told to move to another server as soon as it is connected.
    pub(super) migrating: bool,
}

impl FlowState {
    /// Creates a flow whose client waits for an answer.
    pub(super) fn waiting(client: ClientId, balancer: usize, accepted: Time) -> Self {
        FlowState {
            client,
            balancer,
            accepted,
            phase: FlowPhase::Waiting,
            attempt: None,
            migrating: false,
        }
    }

    /// Creates the flow of a connection that exists when the run starts.
    pub(super) fn standing(client: ClientId, balancer: usize, server: usize) -> Self {
        let attempt = Some(Attempt { number: 0, server });
        FlowState {
            client,
            balancer,
            accepted: 0,
            phase: FlowPhase::Connected,
            attempt,
            migrating: false,
        }
    }

    /// The current attempt, if it has this number.
    pub(super) fn current_attempt(&self, number: usize) -> Option<Attempt> {
        self.attempt.filter(|attempt| attempt.number == number)
    }
}
