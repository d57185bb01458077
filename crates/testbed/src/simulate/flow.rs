//! The state of one flow between its client, its balancer and a server.

use nettlemux_policy::Time;

/// A client's number in the model.
pub(super) type ClientId = u64;

/// How far a flow has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum FlowPhase {
    /// The client waits for an answer.
    Waiting,
    /// The client was answered otherwise or has left; an attempt may still be in flight.
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

/// A flow that its balancer has accepted and not yet closed.
pub(super) struct FlowState {
    pub(super) client: ClientId,
    pub(super) balancer: usize,
    pub(super) accepted: Time,
    pub(super) phase: FlowPhase,
    /// The attempt in flight, or the one that led to the connection.
    pub(super) attempt: Option<Attempt>,
    /// The client is to be told to move as soon as it is connected.
    pub(super) moving: bool,
}

impl FlowState {
    /// A flow whose client waits for an answer.
    pub(super) fn waiting(client: ClientId, balancer: usize, accepted: Time) -> Self {
        FlowState {
            client,
            balancer,
            accepted,
            phase: FlowPhase::Waiting,
            attempt: None,
            moving: false,
        }
    }

    /// A connection that stands when the run starts.
    pub(super) fn standing(client: ClientId, balancer: usize, server: usize) -> Self {
        let attempt = Some(Attempt { number: 0, server });
        FlowState {
            client,
            balancer,
            accepted: 0,
            phase: FlowPhase::Connected,
            attempt,
            moving: false,
        }
    }

    /// The attempt of that number, where it is the current one.
    pub(super) fn current_attempt(&self, number: usize) -> Option<Attempt> {
        self.attempt.filter(|attempt| attempt.number == number)
    }
}
