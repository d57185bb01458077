//! What the coroutines tell one another: questions to the desk, its orders, and the plain values in them. It owns
//! nothing but the flag that says whether a server may be sent to, and must never send, wait or decide.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use nettlemux_admission::AdmissionConfig;
use nettlemux_flow_table::ClientIdentity;
use nettlemux_policy::{AttemptEnd, EndpointState, Flow, FlowId, LoadReport, ServerId, Time};
use nettlemux_settings::Settings;

use crate::mailbox::Sender;

/// What a flow's coroutine is woken by.
pub enum FlowEvent {
    /// Something may have happened on one of its sockets.
    SocketReady,
    Command(FlowCommand),
    /// Give up what is waited for.
    Stop,
}

/// A server as discovery tells of it.
#[derive(Clone, Debug, PartialEq)]
pub struct DiscoveredEndpoint {
    pub name: String,
    pub address: SocketAddr,
    pub zone: String,
    pub machine: String,
    pub cell: String,
    pub state: EndpointState,
    pub weight: f64,
    pub started: Time,
}

/// What balancers tell one another, by names that all of them know: a server holds connections of that group.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct GossipMessage {
    pub group: u16,
    pub server: String,
}

/// What the desk is asked or told.
pub enum DispatcherMessage {
    PlaceFlow {
        flow: Flow,
        who: ClientIdentity,
        mailbox: Sender<FlowEvent>,
    },
    /// A connection that was open at that server before the run.
    AdoptConnection {
        flow: Flow,
        at: String,
        mailbox: Sender<FlowEvent>,
    },
    Connected {
        flow: FlowId,
        took: Time,
    },
    AttemptEnded {
        flow: FlowId,
        server_id: ServerId,
        number: usize,
        end: AttemptEnd,
        known_unexecuted: bool,
        report: LoadReport,
    },
    ConnectionLoad {
        flow: FlowId,
        load: f64,
    },
    /// The client went away.
    ClientLeft {
        flow: FlowId,
    },
    /// Nothing more comes of this flow.
    FlowClosed {
        flow: FlowId,
    },
    HealthChecked {
        server_id: ServerId,
        passed: bool,
        report: LoadReport,
    },
    /// The list as the balancer's configuration has it, perhaps old.
    StoredEndpoints(Vec<DiscoveredEndpoint>),
    /// What discovery tells: the changes, or the whole list.
    EndpointsUpdated {
        entries: Vec<DiscoveredEndpoint>,
        is_complete: bool,
    },
    EndpointPollFailed,
    /// Another balancer's word.
    GossipReceived(GossipMessage),
    /// Other settings from now on.
    ApplySettings(Box<Settings>),
    /// New limits and weights for the door.
    ApplyAdmission(AdmissionConfig),
    /// The balancer is to end.
    Terminate,
    /// A part without which it is of no use has failed for good.
    ServiceFailed(&'static str),
}

/// What a flow's coroutine is told to do.
pub enum FlowCommand {
    StartAttempt(AttemptTarget),
    Reject(Option<Time>),
    Fail,
    /// The server that it was open at before the run isn't listed.
    EndpointUnknown,
    /// Send the client away: between two lines of the server while it is not yet that time, beside half a line from then on.
    Migrate(Time),
    /// Stop waiting for the attempt, as the client is gone.
    CancelAttempt,
    /// Stop waiting for the attempt: its time is up.
    AttemptTimedOut,
}

/// Where an attempt goes, how long it is waited for, and when its line has to be out or isn't sent at all.
pub struct AttemptTarget {
    pub server_id: ServerId,
    pub number: usize,
    pub server: Arc<Server>,
    pub until: Time,
    pub by: Time,
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

    /// The outcome of an attempt whose line was written, which the server may have run, without a load report.
    pub fn sent(end: AttemptEnd) -> Self {
        AttemptOutcome {
            end,
            known_unexecuted: false,
            report: LoadReport::default(),
        }
    }
}

/// A server as the list has it now. Shared with those that send, who look again just before they do.
pub struct Server {
    pub name: String,
    pub address: SocketAddr,
    pub(crate) ready: AtomicBool,
}

impl Server {
    pub fn ready(&self) -> bool {
        self.ready.load(Ordering::Acquire)
    }
}
