//! The events of the simulator, in the terms of the other crates.

use std::collections::BTreeMap;

use nettlemux_flow_table::EndedAttempt;
use nettlemux_policy::{
    Endpoint, Flow, FlowId, GroupPlacement, LoadReport, ServerId, Time, TrafficClass,
};
use nettlemux_settings::{LoadReportFormat, Settings};

/// The context that is needed to parse an event.
#[derive(Clone, Copy)]
pub struct EventContext<'a, 'c> {
    /// The time of the batch, in nanoseconds.
    pub now: Time,
    /// The format of the load reports of the balancer's servers.
    pub load_report_format: LoadReportFormat,
    /// The traffic classes of the balancer's settings, by number.
    pub traffic_classes: &'c [TrafficClass],
    /// The endpoint tables that the event may refer to.
    pub endpoint_tables: &'a EndpointTables,
}

/// Endpoint tables by number.
pub type EndpointTables = BTreeMap<u64, Vec<Endpoint>>;

/// The event that creates a balancer.
pub struct BalancerCreation {
    /// The seed of the balancer's random numbers.
    pub seed: u64,
    /// The settings of the platform.
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
    /// The flow had a connection before the balancer was created, and the balancer adopts it.
    ConnectionAdopted {
        /// The flow.
        flow: Flow,
        /// The server of the connection.
        server_id: ServerId,
    },
    /// An attempt has established a connection.
    Connected {
        /// The flow.
        flow: FlowId,
        /// The duration of the attempt, in nanoseconds.
        took: Time,
    },
    /// The load that a connection puts on its server was reported.
    ConnectionLoad {
        /// The flow.
        flow: FlowId,
        /// The load.
        load: f64,
    },
    /// A server has sent a signal that the adapter doesn't know.
    UnknownSignal,
    /// An attempt, or the connection that it established, has ended.
    AttemptEnded {
        /// How the attempt ended.
        outcome: EndedAttempt,
        /// Whether the client has been answered by it.
        is_answered: bool,
    },
    /// The client is gone and no longer waits for an answer.
    ClientLeft {
        /// The flow of the client.
        flow: FlowId,
    },
    /// A timer has expired.
    TimerExpired {
        /// The timer's number.
        number: u64,
    },
    /// A health check has ended, with or without an answer.
    HealthChecked {
        /// The server.
        server_id: ServerId,
        /// Whether the health check passed.
        passed: bool,
        /// The load report that came with the answer.
        report: LoadReport,
    },
    /// Another balancer has sent a gossip message.
    GossipReceived {
        /// The content of the message; `None` if it can't be decoded.
        placement: Option<GroupPlacement>,
    },
}

/// An update of the endpoint list.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum EndpointUpdate<'a> {
    /// The entries that have changed.
    Delta(&'a [Endpoint]),
    /// All entries.
    Snapshot(&'a [Endpoint]),
    /// The poll has failed.
    PollFailed,
}
