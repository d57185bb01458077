//! What the coroutines tell one another: questions to the desk, its orders, and the plain values in them. It owns
//! nothing but the flag that says whether a server may be sent to, and must never send, wait or decide.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use nettlemux_admission::AdmissionConfig;
use nettlemux_flow_table::ClientIdentity;
use nettlemux_policy::{AttemptEnd, EndpointState, Flow, FlowId, LoadReport, ServerId, Time};
use nettlemux_settings::Settings;

use crate::mail::Sender;

/// What a flow's coroutine is woken by.
pub enum Event {
    /// Something may have happened on one of its sockets.
    Rung,
    Order(Order),
    /// Give up what is waited for.
    Stop,
}

/// A server as discovery tells of it.
#[derive(Clone, Debug, PartialEq)]
pub struct Entry {
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
pub enum Ask {
    Place {
        flow: Flow,
        who: ClientIdentity,
        mail: Sender<Event>,
    },
    /// A connection that was open at that server before the run.
    Inherit {
        flow: Flow,
        at: String,
        mail: Sender<Event>,
    },
    Connected {
        flow: FlowId,
        took: Time,
    },
    Ended {
        flow: FlowId,
        server_id: ServerId,
        number: usize,
        end: AttemptEnd,
        known_unexecuted: bool,
        report: LoadReport,
    },
    Load {
        flow: FlowId,
        load: f64,
    },
    /// The client went away.
    Left {
        flow: FlowId,
    },
    /// Nothing more comes of this flow.
    Over {
        flow: FlowId,
    },
    Probed {
        server_id: ServerId,
        passed: bool,
        report: LoadReport,
    },
    /// The list as the balancer's configuration has it, perhaps old.
    StoredList(Vec<Entry>),
    /// What discovery tells: the changes, or the whole list.
    List {
        entries: Vec<Entry>,
        is_complete: bool,
    },
    ListFailed,
    /// Another balancer's word.
    GossipReceived(GossipMessage),
    /// Other settings from now on.
    Change(Box<Settings>),
    /// New limits and weights for the door.
    AdmissionController(AdmissionConfig),
    /// The balancer is to end.
    Terminate,
    /// A part without which it is of no use has failed for good.
    Broken(&'static str),
}

/// What a flow's coroutine is told to do.
pub enum Order {
    Attempt(Target),
    Reject(Option<Time>),
    Fail,
    /// The server that it was open at before the run isn't listed.
    NotListed,
    /// Send the client away: between two lines of the server while it is not yet that time, beside half a line from then on.
    Move(Time),
    /// Stop waiting for the attempt, as the client is gone.
    CallOff,
    /// Stop waiting for the attempt: its time is up.
    TimeUp,
}

/// Where an attempt goes, how long it is waited for, and when its line has to be out or isn't sent at all.
pub struct Target {
    pub server_id: ServerId,
    pub number: usize,
    pub server: Arc<Server>,
    pub until: Time,
    pub by: Time,
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
