//! The messages between coroutines: to the dispatcher, its commands to flows, and the values in
//! them. It owns nothing but the flag that says whether a server takes new attempts, and must never
//! send, wait or decide. Times are nanoseconds of the balancer's clock ([`crate::clock`]).

use std::fmt;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use nettlemux_admission::AdmissionConfig;
use nettlemux_flow_table::{ClientIdentity, EndedAttempt};
use nettlemux_policy::{AttemptEnd, EndpointState, Flow, FlowId, LoadReport, ServerId, Time};
use nettlemux_settings::Settings;

use crate::mailbox::Sender;

/// What wakes a flow's coroutine.
pub enum FlowEvent {
    /// One of its sockets may be ready.
    SocketReady,
    /// The dispatcher commands something.
    Command(FlowCommand),
    /// What the coroutine waits for is to be given up.
    Stop,
}

/// A server as discovery lists it.
#[derive(Clone, Debug, PartialEq)]
pub struct DiscoveredEndpoint {
    /// The server's name, which no other server has.
    pub name: String,
    /// Where it listens; port 0 if the entry had no address.
    pub address: SocketAddr,
    /// The name of its zone; empty if unknown.
    pub zone: String,
    /// The name of its machine model; empty if unknown.
    pub machine: String,
    /// The name of its cell; empty if unknown.
    pub cell: String,
    /// Whether it takes new attempts, drains or is removed.
    pub state: EndpointState,
    /// Its share of attempts relative to other servers; 1 if the entry had none.
    pub weight: f64,
    /// When it started, by discovery's clock in nanoseconds of Unix time; 0 if long ago.
    pub started: Time,
}

/// A message between balancers: a server holds connections of a group. Names are those that all
/// balancers know.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct GossipMessage {
    /// The group's number.
    pub group: u16,
    /// The server's name.
    pub server: String,
}

/// A service that the balancer can't do without.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Service {
    /// Watches the endpoint list.
    Discovery,
    /// Accepts clients' connections.
    Listener,
    /// Passes messages to the policy and its commands back.
    Dispatcher,
}

impl Service {
    /// Returns the name that logs and errors have for the service.
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
    /// A new flow is to be placed.
    PlaceFlow {
        /// The flow, owed an answer from now on.
        flow: Flow,
        /// Its client, for admission control.
        client: ClientIdentity,
        /// Where its coroutine gets its commands.
        mailbox: Sender<FlowEvent>,
    },
    /// A connection that was open before the balancer started is to be opened again.
    AdoptConnection {
        /// The flow of that connection.
        flow: Flow,
        /// The name of the server that it was open at.
        server_name: String,
        /// Where its coroutine gets its commands.
        mailbox: Sender<FlowEvent>,
    },
    /// An attempt has succeeded.
    Connected {
        /// The attempt's flow.
        flow: FlowId,
        /// Time since the flow was accepted, in nanoseconds.
        elapsed: Time,
    },
    /// An attempt has failed, or the connection that it made has ended.
    AttemptEnded(EndedAttempt),
    /// A server has reported what load a connection causes.
    ConnectionLoad {
        /// The connection's flow.
        flow: FlowId,
        /// The load, as the server reports it.
        load: f64,
    },
    /// The client has left before its flow was answered.
    ClientLeft {
        /// The client's flow.
        flow: FlowId,
    },
    /// The flow's coroutine has ended: no message follows about this flow.
    FlowClosed {
        /// The flow that has ended.
        flow: FlowId,
    },
    /// A health check has ended.
    HealthChecked {
        /// The server that was checked.
        server_id: ServerId,
        /// Whether the server passed.
        passed: bool,
        /// The load report in its answer; empty where there was none.
        report: LoadReport,
    },
    /// The complete endpoint list of the balancer's configuration, which may be out of date.
    StoredEndpoints(Vec<DiscoveredEndpoint>),
    /// Discovery has answered with an endpoint list.
    EndpointsUpdated {
        /// The servers that the answer names.
        entries: Vec<DiscoveredEndpoint>,
        /// Whether the answer names all servers, in place of those that have changed.
        is_complete: bool,
    },
    /// Discovery has failed to answer after it had answered, or from the start.
    EndpointPollFailed,
    /// Another balancer has sent a gossip message.
    GossipReceived(GossipMessage),
    /// New settings apply from now on.
    ApplySettings(Box<Settings>),
    /// New limits and weights of admission control apply from now on.
    ApplyAdmission(AdmissionConfig),
    /// The balancer is to shut down gracefully.
    Terminate,
    /// A service has failed for good.
    ServiceFailed(Service),
}

/// A command to a flow's coroutine.
pub enum FlowCommand {
    /// Make an attempt.
    StartAttempt(AttemptTarget),
    /// Reject the flow.
    Reject {
        /// The time after which the client may retry, in nanoseconds, if any.
        retry_after: Option<Time>,
    },
    /// Answer that the flow has failed.
    Fail,
    /// The server that an adopted connection was open at is not listed.
    EndpointUnknown,
    /// Tell the client to reconnect elsewhere.
    Migrate {
        /// Until then the client is told between two lines of the server, from then on also within
        /// a line.
        line_deadline: Time,
    },
    /// Stop waiting for the attempt, as its client has left.
    CancelAttempt,
    /// Stop waiting for the attempt, as its time is over.
    AttemptTimedOut,
}

/// The server of an attempt and the attempt's limits.
pub struct AttemptTarget {
    /// The server's number.
    pub server_id: ServerId,
    /// The attempt's number within its flow, from 0.
    pub number: usize,
    /// The server as it is listed now.
    pub server: Arc<Server>,
    /// The time until which the server's answer is waited for.
    pub deadline: Time,
    /// The time by which the line has to be written whole; else the attempt is not made.
    pub send_by: Time,
}

/// How an attempt that brought no connection has ended.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AttemptOutcome {
    /// What ended it.
    pub end: AttemptEnd,
    /// Whether the server certainly did not run the request.
    pub known_unexecuted: bool,
    /// The load report that came with the end; empty where none did.
    pub report: LoadReport,
}

impl AttemptOutcome {
    /// The outcome of an attempt whose line was never written whole, without a load report.
    pub fn unsent(end: AttemptEnd) -> Self {
        AttemptOutcome {
            end,
            known_unexecuted: true,
            report: LoadReport::default(),
        }
    }

    /// The outcome of an attempt whose line was written, which the server may have run, without a
    /// load report.
    pub fn sent(end: AttemptEnd) -> Self {
        AttemptOutcome {
            end,
            known_unexecuted: false,
            report: LoadReport::default(),
        }
    }
}

/// A server as it is listed now. Shared with the coroutines that send to it, which read its state
/// just before they do.
pub struct Server {
    /// The server's name.
    pub name: String,
    /// Where it listens.
    pub address: SocketAddr,
    pub(crate) ready: AtomicBool,
}

impl Server {
    /// Returns whether the server takes new attempts.
    pub fn ready(&self) -> bool {
        self.ready.load(Ordering::Acquire)
    }
}
