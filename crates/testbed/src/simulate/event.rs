//! The events of the simulation and their data.

use nettlemux_fleet_model::observation::FinalAnswer;
use nettlemux_policy::{AttemptEnd, FlowId, Time};

use super::balancer::Incarnation;
use super::flow::ClientId;

/// Something that takes effect at a scheduled time.
#[derive(Clone, Debug)]
pub(super) enum Event {
    /// The model advances by one step.
    ModelTick,
    /// The figures over all servers are sampled.
    Sample,
    /// A new client arrives.
    ClientArrives,
    /// A client tries to open a flow, for the first time or again.
    ClientTries { client: ClientId },
    /// A client no longer needs its connection.
    ClientDone { client: ClientId },
    /// The load of a connection changes.
    LoadChanges { flow: FlowId },
    /// The client of a flow gives up waiting for an answer.
    ClientGivesUp { flow: FlowId },
    /// A timer of a balancer's flow table expires.
    Wakeup { balancer: Incarnation },
    /// An attempt arrives at its server.
    AttemptArrives { flow: FlowId, number: usize },
    /// The balancer learns how the server responded to an attempt, or that the server has closed
    /// its connection.
    ResponseArrives {
        flow: FlowId,
        number: usize,
        response: ServerResponse,
    },
    /// The balancer stops waiting for an attempt.
    AttemptDeadline { flow: FlowId, number: usize },
    /// The balancer notices that the server of a connection no longer responds.
    ServerSilent { flow: FlowId },
    /// A health check is answered, or fails.
    HealthCheckReturns {
        balancer: Incarnation,
        server: usize,
    },
    /// A change of the endpoint list arrives at a balancer.
    ListArrives { balancer: Incarnation },
    /// A balancer is asked to shut down.
    ShutdownBegins { balancer: usize, downtime: Time },
    /// A balancer that shuts down migrates another part of its clients.
    DrainStep { balancer: Incarnation, since: Time },
    /// A balancer's process ends.
    BalancerEnds {
        balancer: Incarnation,
        planned: bool,
        downtime: Time,
    },
    /// A balancer's process starts again.
    BalancerStarts { balancer: usize },
    /// A mutant sends an answer that it has delayed or repeats.
    DelayedAnswer {
        flow: FlowId,
        answer: FinalAnswer,
        retry_after: Option<Time>,
    },
}

/// The response of a server to an attempt, or what the balancer learned about the server instead.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ServerResponse {
    Connected,
    Busy,
    Error,
    Refused,
    Unreachable,
    /// The connection was reset.
    Reset,
    /// The server told the client to move to another server.
    Redirected,
}

impl ServerResponse {
    /// How this response ends the attempt or connection.
    pub(super) fn ending(self) -> Ending {
        let (end, known_unexecuted) = match self {
            ServerResponse::Connected => (AttemptEnd::Done, false),
            ServerResponse::Busy => (AttemptEnd::Overloaded, true),
            ServerResponse::Error => (AttemptEnd::Error, false),
            ServerResponse::Refused | ServerResponse::Unreachable => {
                (AttemptEnd::Unreachable, true)
            }
            ServerResponse::Reset => (AttemptEnd::ConnectionLost, false),
            ServerResponse::Redirected => (AttemptEnd::Cancelled, false),
        };
        Ending {
            end,
            known_unexecuted,
        }
    }
}

/// How an attempt or a connection ended.
#[derive(Clone, Copy, Debug)]
pub(super) struct Ending {
    pub(super) end: AttemptEnd,
    /// It is certain that the server has not executed the request.
    pub(super) known_unexecuted: bool,
}

impl Ending {
    /// An ending after which the server may have executed the request.
    pub(super) fn may_have_run(end: AttemptEnd) -> Self {
        Ending {
            end,
            known_unexecuted: false,
        }
    }
}
