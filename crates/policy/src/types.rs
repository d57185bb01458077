//! The plain values that go into and come out of the policy.

pub use nettlemux_candidates::ServerId;

/// A point in time on the caller's clock, or a duration, in whole nanoseconds.
pub type Time = u64;
/// Identifies a flow; the number is assigned by the caller.
pub type FlowId = u64;

/// Nanoseconds in a millisecond.
pub const MS: Time = 1_000_000;
/// Nanoseconds in a second.
pub const SEC: Time = 1_000 * MS;

/// The servers that drop repeats of a deduplicated flow: those that have this in common with the
/// server of the first attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DeduplicationScope {
    /// All servers drop each other's repeats.
    All,
    /// Servers of the same zone drop each other's repeats.
    Zone,
    /// Servers of the same cell drop each other's repeats.
    Cell,
}

impl DeduplicationScope {
    /// Whether these two servers drop each other's repeats.
    pub fn drops_repeats_between(self, one: &Endpoint, other: &Endpoint) -> bool {
        match self {
            DeduplicationScope::All => true,
            DeduplicationScope::Zone => one.zone == other.zone,
            DeduplicationScope::Cell => one.cell == other.cell,
        }
    }
}

/// The effect of a repeated attempt of a flow.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Idempotency {
    /// A repeat does no harm.
    Idempotent,
    /// Servers drop a repeat for as long as they remember the first attempt.
    Deduplicated {
        /// The servers that remember the first attempt.
        scope: DeduplicationScope,
        /// How long these servers remember it, in nanoseconds from the attempt that may have been
        /// executed.
        window: Time,
    },
    /// A repeat takes effect again.
    #[default]
    NonIdempotent,
}

/// The objective, priority and idempotency of the flows of one class. The default is assumed for
/// flows of an unknown class: no objective, no priority, and attempts that are not repeated.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct TrafficClass {
    /// The class's number, by which the loads of its connections are added up. A class keeps it
    /// when settings change.
    pub number: usize,
    /// Nanoseconds within which a flow should be connected.
    pub latency_objective: Time,
    /// Value of a flow relative to flows of other classes.
    pub priority_weight: f64,
    /// The effect of a repeated attempt.
    pub idempotency: Idempotency,
}

/// An attempt that was already made for a flow.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Attempt {
    /// Where it went.
    pub server_id: ServerId,
    /// When it was made.
    pub sent_at: Time,
    /// Whether it is still in flight.
    pub in_flight: bool,
    /// Whether it is known that the server did not execute the attempt.
    pub known_unexecuted: bool,
}

/// A flow that the caller holds and that has not been answered yet.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Flow {
    /// The flow's number.
    pub id: FlowId,
    /// Its traffic class, by the settings under which the flow was accepted. Later settings don't
    /// change it: an attempt that was made of a non-idempotent flow must never be repeated.
    pub class: TrafficClass,
    /// The number of its tenant, by which the tenant's connections are counted. A tenant keeps it
    /// when settings change.
    pub tenant: usize,
    /// The flow's group: a server does the common work of a group once, however many of its flows
    /// it serves.
    pub group: Option<String>,
    /// Whether the client's connection broke or was migrated. Such a client returns with the load
    /// that it had before.
    pub reconnecting: bool,
    /// When the balancer accepted it.
    pub accepted_at: Time,
    /// Time by which it has to be answered.
    pub deadline: Time,
    /// Attempts made so far, in their order.
    pub attempts: Vec<Attempt>,
}

impl Flow {
    /// Whether any of the flow's attempts may have been executed.
    pub fn may_have_executed(&self) -> bool {
        self.attempts
            .iter()
            .any(|attempt| !attempt.known_unexecuted)
    }
}

/// State of a server in the endpoint list.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum EndpointState {
    /// The server accepts flows.
    Ready,
    /// The server accepts no new flows and will stop.
    Draining,
    /// The server is no longer listed.
    #[default]
    Removed,
}

/// A server as described in the endpoint list.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Endpoint {
    /// The server's number.
    pub server_id: ServerId,
    /// The zone in which it runs.
    pub zone: u64,
    /// Its kind of machine; servers of the same kind have the same capacity.
    pub machine: u64,
    /// The cell to which it belongs.
    pub cell: u64,
    /// Whether it accepts flows.
    pub state: EndpointState,
    /// Its weight in the rotation, relative to the other servers.
    pub weight: f64,
    /// When it last started; 0 means long ago.
    pub started: Time,
}

/// A server's report of its load.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LoadReport {
    /// Load divided by capacity; 1 means full.
    pub utilization: Option<f64>,
    /// Number of connections that it holds.
    pub connections: Option<f64>,
}

/// A gossip message: the server holds connections of the group.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct GroupPlacement {
    /// The group's number: part of the hash of the group's name.
    pub group: u16,
    /// The server that holds connections of the group.
    pub server_id: ServerId,
}

impl GroupPlacement {
    /// Encodes the message as the group number followed by the server's number without leading
    /// zeros. The encoding is short because every receiver pays for each byte.
    pub fn to_bytes(self) -> Vec<u8> {
        let server_id = self.server_id.to_be_bytes();
        let zeros = server_id.iter().take_while(|byte| **byte == 0).count();
        let group = self.group.to_be_bytes();
        [&group[..], &server_id[zeros..]].concat()
    }

    /// Decodes a message; returns `None` if the bytes are not a valid message.
    pub fn from_bytes(bytes: &[u8]) -> Option<Self> {
        let (group, server_id) = bytes.split_first_chunk::<2>()?;
        if server_id.len() > size_of::<ServerId>() || server_id.first() == Some(&0) {
            return None;
        }
        let append = |value, byte: &u8| value << 8 | ServerId::from(*byte);
        Some(GroupPlacement {
            group: u16::from_be_bytes(*group),
            server_id: server_id.iter().fold(0, append),
        })
    }
}

/// How an attempt, or the connection that it became, ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptEnd {
    /// It ended normally.
    Done,
    /// The server answered with an error.
    Error,
    /// The server answered that it is overloaded.
    Overloaded,
    /// The server did not answer in time.
    TimedOut,
    /// No connection to the server could be established.
    Unreachable,
    /// The connection broke after the attempt was sent.
    ConnectionLost,
    /// The balancer or the client cancelled it.
    Cancelled,
    /// It was not sent within the time allowed for sending.
    NotSent,
}

impl AttemptEnd {
    /// Whether an attempt that ends in this way counts as a failure of its server.
    pub fn is_server_failure(self) -> bool {
        match self {
            AttemptEnd::Error
            | AttemptEnd::Overloaded
            | AttemptEnd::TimedOut
            | AttemptEnd::Unreachable
            | AttemptEnd::ConnectionLost => true,
            AttemptEnd::Done | AttemptEnd::Cancelled | AttemptEnd::NotSent => false,
        }
    }
}

/// An event that the caller reports to the policy.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum PolicyEvent<'a> {
    /// A server has accepted the attempt.
    Connected {
        /// The flow that is now connected.
        flow: FlowId,
        /// Nanoseconds from the attempt to the server's answer.
        connect_duration: Time,
    },
    /// An attempt, or the connection that it became, has ended.
    AttemptEnded {
        /// The flow for which the attempt was made.
        flow: FlowId,
        /// Where it went.
        server_id: ServerId,
        /// How it ended.
        end: AttemptEnd,
        /// The flow, if it has not been answered yet.
        unanswered: Option<&'a Flow>,
    },
    /// The client left.
    ClientLeft {
        /// Its flow.
        flow: FlowId,
    },
    /// A health check has ended.
    HealthChecked {
        /// The server that was checked.
        server_id: ServerId,
        /// Whether the server answered as expected.
        passed: bool,
        /// The load that the server reported; empty if the server did not answer.
        report: LoadReport,
    },
    /// The time that [`Policy::time_to_next_timer`](crate::Policy::time_to_next_timer) returned
    /// has passed.
    TimerExpired,
}

/// The decision about a flow.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Placement {
    /// The flow goes to this server.
    Forward {
        /// The server.
        server_id: ServerId,
        /// How long to wait for the server's answer, in nanoseconds.
        timeout: Time,
        /// The attempt is made only if its last byte is written within this time, in nanoseconds.
        send_within: Time,
    },
    /// The flow stays queued and is placed again when the policy's timer expires.
    Wait,
    /// The flow is rejected; the client can repeat it without harm.
    Reject {
        /// How long the client has to wait before it retries; `None` if clients are not sent a
        /// Retry-After.
        retry_after: Option<Time>,
    },
    /// The flow fails: an attempt may have been executed.
    Fail,
}

/// The actions that follow from an event.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Actions {
    /// Where the flow goes that the event left without an answer.
    pub placement: Option<Placement>,
    /// Servers to check.
    pub health_checks: Vec<ServerId>,
    /// Own connections whose clients are to be notified to move.
    pub migrate: Vec<FlowId>,
    /// Flows whose attempt in flight is to be cancelled.
    pub cancel: Vec<FlowId>,
    /// Whether the endpoint list is to be polled.
    pub poll_endpoints: bool,
    /// The message to send to the other balancers.
    pub gossip: Option<GroupPlacement>,
}
