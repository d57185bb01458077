//! The messages between coroutines: the messages to the dispatcher, its commands to flows, and the
//! values in them. This module owns only the flag that says whether a server accepts new attempts.
//! It must never send, wait or decide. Times are nanoseconds of the balancer's clock
//! ([`crate::clock`]).

use std::fmt;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};

use nettlemux_admission::AdmissionConfig;
use nettlemux_flow_table::{AdmissionAttributes, EndedAttempt};
use nettlemux_policy::{AttemptEnd, EndpointState, Flow, FlowId, LoadReport, ServerId, Time};
use nettlemux_settings::Settings;

use crate::mailbox::Sender;

/// An event that wakes a flow's coroutine.
pub enum CoroutineEvent {
    /// One of its sockets may be ready.
    SocketReady,
    /// The dispatcher has sent a command.
    Command(FlowCommand),
    /// The coroutine must give up its current wait.
    Stop,
}

/// A server as discovery lists it.
#[derive(Clone, Debug, PartialEq)]
pub struct DiscoveredEndpoint {
    /// The server's unique name.
    pub name: String,
    /// The address that it listens on; port 0 if the entry had no address.
    pub address: SocketAddr,
    /// The name of its zone; empty if unknown.
    pub zone: String,
    /// The name of its machine model; empty if unknown.
    pub machine: String,
    /// The name of its cell; empty if unknown.
    pub cell: String,
    /// Whether it accepts new attempts, drains or is removed.
    pub state: EndpointState,
    /// Its share of attempts relative to other servers; 1 if the entry had none.
    pub weight: f64,
    /// When it started, in nanoseconds of Unix time by discovery's clock; 0 if long ago.
    pub started_at: Time,
}

/// A message between balancers: a server holds connections of a group. The group and the server are
/// identified as on all balancers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct GossipMessage {
    /// The group's number.
    pub group: u16,
    /// The server's name.
    pub server: String,
}

/// A service that the balancer can't run without.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Service {
    /// Watches the endpoint list.
    Discovery,
    /// Accepts clients' connections.
    Listener,
    /// Passes messages to the policy and the policy's commands to flows.
    Dispatcher,
}

impl Service {
    /// Returns the service's name in logs and errors.
    pub fn name(self) -> &'static str {
        match self {
            Service::Discovery => "discovery",
            Service::Listener => "the listener",
            Service::Dispatcher => "the dispatcher",
        }
    }
}

impl fmt::Display for Service {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(self.name())
    }
}

/// A message to the dispatcher.
pub enum DispatcherMessage {
    /// A new flow has to be placed.
    PlaceFlow {
        /// The flow. It must be answered by its deadline.
        flow: Flow,
        /// Its client, for admission control.
        client: AdmissionAttributes,
        /// Receives the commands to its coroutine.
        mailbox: Sender<CoroutineEvent>,
    },
    /// A connection that was open before the balancer started has to be reopened.
    AdoptConnection {
        /// The flow of that connection.
        flow: Flow,
        /// The name of the server at which it was open.
        server_name: String,
        /// Receives the commands to its coroutine.
        mailbox: Sender<CoroutineEvent>,
    },
    /// An attempt has succeeded.
    Connected {
        /// The attempt's flow.
        flow: FlowId,
        /// Time since the flow was accepted, in nanoseconds.
        elapsed: Time,
    },
    /// An attempt has failed, or the connection that it opened has ended.
    AttemptEnded(EndedAttempt),
    /// A server has reported the load that a connection causes.
    ConnectionLoad {
        /// The connection's flow.
        flow: FlowId,
        /// The load as reported by the server.
        load: f64,
    },
    /// The client has left before its flow was answered.
    ClientLeft {
        /// The client's flow.
        flow: FlowId,
    },
    /// The flow's coroutine has ended. No further message about this flow follows.
    FlowClosed {
        /// The flow that has ended.
        flow: FlowId,
    },
    /// A health check has ended.
    HealthChecked(HealthCheckResult),
    /// The complete endpoint list of the balancer's configuration, which may be out of date.
    StoredEndpoints(Vec<DiscoveredEndpoint>),
    /// Discovery has answered with an endpoint list.
    EndpointsUpdated {
        /// The servers that the answer names.
        entries: Vec<DiscoveredEndpoint>,
        /// Whether the answer names all servers; otherwise it names only those that have changed.
        is_complete: bool,
    },
    /// Discovery has failed to answer: after an earlier answer, or without any answer since the
    /// start.
    EndpointPollFailed,
    /// Another balancer has sent a gossip message.
    GossipReceived(GossipMessage),
    /// Replaces the settings.
    ApplySettings(Box<Settings>),
    /// Replaces the limits and weights of admission control.
    ApplyAdmission(AdmissionConfig),
    /// The balancer has to shut down gracefully.
    Terminate,
    /// A service has failed permanently.
    ServiceFailed(Service),
}

/// The result of a health check.
pub struct HealthCheckResult {
    /// The server that was checked.
    pub server_id: ServerId,
    /// The incarnation of the server that was checked.
    pub incarnation: ServerIncarnation,
    /// Whether the server passed.
    pub passed: bool,
    /// The load report in its answer; empty if there was none.
    pub report: LoadReport,
}

/// A command to a flow's coroutine.
pub enum FlowCommand {
    /// Make an attempt.
    StartAttempt(AttemptTarget),
    /// Reject the flow.
    Reject {
        /// The time after which the client may retry, in nanoseconds; `None` if no time is given.
        retry_after: Option<Time>,
    },
    /// Answer that the flow has failed.
    Fail,
    /// The server at which an adopted connection was open is not listed.
    EndpointUnknown,
    /// Tell the client to reconnect elsewhere.
    Migrate {
        /// Until this time the client is told only between two lines of the server; afterwards the
        /// rest of a line that the server has begun is no longer waited for.
        line_deadline: Time,
    },
    /// Stop waiting for the attempt because its client has left.
    CancelAttempt,
    /// Stop waiting for the attempt because its time is over.
    AttemptTimedOut,
}

/// The server of an attempt and the attempt's deadlines.
pub struct AttemptTarget {
    /// The server's number.
    pub server_id: ServerId,
    /// The attempt's number within its flow, from 0.
    pub number: usize,
    /// The server as listed.
    pub server: Arc<Server>,
    /// The deadline for the server's answer.
    pub deadline: Time,
    /// The deadline for writing the whole line. An attempt that misses it counts as not sent.
    pub send_by: Time,
}

/// How an attempt or its connection has ended.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AttemptOutcome {
    /// The reason for the end.
    pub end: AttemptEnd,
    /// Whether it is certain that the server did not execute the request.
    pub known_unexecuted: bool,
    /// The load report that came with the end; empty if there was none.
    pub report: LoadReport,
}

impl AttemptOutcome {
    /// Returns the outcome of an attempt whose line was not completely written, without a load
    /// report.
    pub fn unsent(end: AttemptEnd) -> Self {
        AttemptOutcome {
            end,
            known_unexecuted: true,
            report: LoadReport::default(),
        }
    }

    /// Returns the outcome of an attempt whose line was written, so that the server may have
    /// executed the request, without a load report.
    pub fn sent(end: AttemptEnd) -> Self {
        AttemptOutcome {
            end,
            known_unexecuted: false,
            report: LoadReport::default(),
        }
    }
}

/// A listed server. It is shared with the coroutines that send to it, which check its state just
/// before they send.
pub struct Server {
    /// The server's name.
    pub name: String,
    /// The address that it listens on.
    pub address: SocketAddr,
    pub(crate) ready: AtomicBool,
    /// The server's last start by the balancer's clock; 0 means long ago.
    pub(crate) started: AtomicU64,
}

impl Server {
    /// Returns whether the server accepts new attempts.
    pub fn is_ready(&self) -> bool {
        self.ready.load(Ordering::Acquire)
    }
}

/// One run of a listed server. A server that was unlisted and is listed again, or that was restarted
/// or moved to another address, is another incarnation.
#[derive(Clone)]
pub struct ServerIncarnation {
    server: Arc<Server>,
    started: Time,
}

impl ServerIncarnation {
    /// Returns the present incarnation of a server.
    pub fn of(server: &Arc<Server>) -> Self {
        ServerIncarnation {
            server: server.clone(),
            started: server.started.load(Ordering::Acquire),
        }
    }

    /// Returns whether this is the present incarnation of a listed server.
    pub fn is_present(&self, listed: &Arc<Server>) -> bool {
        Arc::ptr_eq(&self.server, listed) && self.started == listed.started.load(Ordering::Acquire)
    }
}
