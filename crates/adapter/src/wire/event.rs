//! The events of the simulator, in the terms of the other packages.

use std::collections::BTreeMap;

use nettlemux_flow_table::EndedAttempt;
use nettlemux_policy::{Endpoint, Flow, FlowId, GroupPlacement, LoadReport, ServerId, Time};
use nettlemux_settings::{LoadReportFormat, Settings};

/// What an event is read with.
#[derive(Clone, Copy)]
pub struct EventContext<'a> {
    /// The time of the batch, in nanoseconds.
    pub now: Time,
    /// How the load reports of the balancer's servers are read.
    pub load_reports: LoadReportFormat,
    /// The endpoint tables that the event may refer to.
    pub endpoint_tables: &'a EndpointTables,
}

/// Endpoint tables, by their numbers.
pub type EndpointTables = BTreeMap<u64, Vec<Endpoint>>;

/// The event that creates a balancer.
pub struct BalancerCreation {
    /// The seed of the balancer's random draws.
    pub seed: u64,
    /// The platform's settings.
    pub settings: Settings,
}

/// An event for one balancer.
pub enum SimulatorEvent<'a> {
    /// The balancer is removed.
    Removed,
    /// The endpoint list has changed, or could not be polled.
    EndpointsUpdated(EndpointUpdate<'a>),
    /// A client has sent a flow.
    FlowArrived(Flow),
    /// The flow had a connection before the balancer was created.
    ConnectionAdopted {
        /// The flow.
        flow: Flow,
        /// The server of its connection.
        server_id: ServerId,
    },
    /// An attempt has become a connection.
    Connected {
        /// The flow.
        flow: FlowId,
        /// How long that took, in nanoseconds.
        took: Time,
    },
    /// A connection puts this load on its server.
    ConnectionLoad {
        /// The flow.
        flow: FlowId,
        /// The load.
        load: f64,
    },
    /// A server has signalled what isn't known here.
    UnknownSignal,
    /// An attempt, or the connection that it became, has ended.
    AttemptEnded {
        /// How it has ended.
        outcome: EndedAttempt,
        /// Whether the client has its answer by it.
        is_answered: bool,
    },
    /// The client went away.
    ClientLeft {
        /// Its flow.
        flow: FlowId,
    },
    /// A timer has expired.
    TimerExpired {
        /// The timer's number.
        number: u64,
    },
    /// A health check was answered, or was not.
    HealthChecked {
        /// The server.
        server_id: ServerId,
        /// Whether the server is healthy.
        passed: bool,
        /// The load report that came with the answer.
        report: LoadReport,
    },
    /// Another balancer has sent a gossip message.
    GossipReceived {
        /// What it says; `None` where it isn't understood.
        placement: Option<GroupPlacement>,
    },
}

/// A change of the endpoint list.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum EndpointUpdate<'a> {
    /// The entries that have changed.
    Delta(&'a [Endpoint]),
    /// All entries.
    Snapshot(&'a [Endpoint]),
    /// The poll has failed.
    PollFailed,
}
