//! The plain values that the policy is asked with and answers with.

pub use nettlemux_candidates::ServerId;

/// Whole nanoseconds: a moment on the caller's clock, or a span.
pub type Time = u64;
/// A flow, by the number that the caller gives it.
pub type FlowId = u64;

/// Nanoseconds in a millisecond.
pub const MS: Time = 1_000_000;
/// Nanoseconds in a second.
pub const SEC: Time = 1_000 * MS;

/// Which servers drop repeats of a deduplicated flow: those that share this with the first one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DeduplicationScope {
    /// All servers drop each other's repeats.
    All,
    /// Servers of one zone do.
    Zone,
    /// Servers of one cell do.
    Cell,
}

impl DeduplicationScope {
    /// Whether these two drop each other's repeats.
    pub fn same(self, one: &Endpoint, other: &Endpoint) -> bool {
        match self {
            DeduplicationScope::All => true,
            DeduplicationScope::Zone => one.zone == other.zone,
            DeduplicationScope::Cell => one.cell == other.cell,
        }
    }
}

/// What a repeated attempt of a flow does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Idempotency {
    /// It does no harm.
    Idempotent,
    /// Servers drop it, as long as they remember the first attempt.
    Deduplicated {
        /// The servers that remember it.
        scope: DeduplicationScope,
        /// How long they remember it, in nanoseconds from the attempt that may have run.
        window: Time,
    },
    /// It takes effect again.
    NonIdempotent,
}

/// What flows of one class are owed, and what may be done with them.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TrafficClass {
    /// Nanoseconds within which a flow should be connected.
    pub latency_objective: Time,
    /// Value of a flow, compared with that of other classes.
    pub priority_weight: f64,
    /// What a repeated attempt does.
    pub idempotency: Idempotency,
}

/// One attempt that was already made for a flow.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Attempt {
    /// Where it went.
    pub server_id: ServerId,
    /// When it was made.
    pub at: Time,
    /// Whether it is still in flight.
    pub in_flight: bool,
    /// Whether it is known not to have run.
    pub known_unexecuted: bool,
}

/// A flow that the caller holds and that awaits an answer.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Flow {
    /// The flow's number.
    pub id: FlowId,
    /// Index of its traffic class.
    pub class: usize,
    /// Index of its tenant.
    pub tenant: usize,
    /// Flows of one group cost a server their common work once.
    pub group: Option<String>,
    /// Whether the client's connection broke or was migrated: it returns with the load that it had.
    pub reconnecting: bool,
    /// When the balancer accepted it.
    pub accepted_at: Time,
    /// When it has to be answered.
    pub deadline: Time,
    /// Attempts already made, in their order.
    pub attempts: Vec<Attempt>,
}

impl Flow {
    /// Whether any of its attempts may have run.
    pub fn may_have_executed(&self) -> bool {
        self.attempts
            .iter()
            .any(|attempt| !attempt.known_unexecuted)
    }
}

/// What the endpoint list says of a server.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum EndpointState {
    /// It takes flows.
    Ready,
    /// It takes no new flows and will stop.
    Draining,
    /// It is not listed any more.
    #[default]
    Removed,
}

/// A server, as listed.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Endpoint {
    /// The server's number.
    pub server_id: ServerId,
    /// The zone in which it stands.
    pub zone: u64,
    /// Its kind of machine: servers of one kind have the same capacity.
    pub machine: u64,
    /// The cell that it belongs to.
    pub cell: u64,
    /// Whether it takes flows.
    pub state: EndpointState,
    /// Its part in the rotation, compared with other servers'.
    pub weight: f64,
    /// When it last started; 0 is long ago.
    pub started: Time,
}

/// What a server reports of its load.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LoadReport {
    /// Load over capacity; 1 is full.
    pub utilization: Option<f64>,
    /// Connections that it holds.
    pub connections: Option<f64>,
}

/// A gossip message: this server holds connections of the group with that number.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct GroupPlacement {
    /// The group's number: part of the hash of its name.
    pub group: u16,
    /// The server that holds connections of it.
    pub server_id: ServerId,
}

impl GroupPlacement {
    /// Encodes the message: the group, and the server without leading zeros. It is short, as every
    /// receiver pays for each byte.
    pub fn to_bytes(self) -> Vec<u8> {
        let server_id = self.server_id.to_be_bytes();
        let zeros = server_id.iter().take_while(|byte| **byte == 0).count();
        let group = self.group.to_be_bytes();
        [&group[..], &server_id[zeros..]].concat()
    }

    /// Decodes a message; none where these bytes are no such message.
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

/// How an attempt, or the connection that it became, has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptEnd {
    /// It ended in the ordinary way.
    Done,
    /// The server answered with an error.
    Error,
    /// The server answered that it is overloaded.
    Overloaded,
    /// The server's answer did not come in time.
    TimedOut,
    /// No connection to the server could be made.
    Unreachable,
    /// The connection broke after the attempt was sent.
    ConnectionLost,
    /// The balancer or the client ended it.
    Cancelled,
    /// It was not sent within its time.
    NotSent,
}

impl AttemptEnd {
    /// Whether an attempt that ends so counts as a failure of its server.
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

/// What has come of an earlier answer.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum PolicyEvent<'a> {
    /// A server has accepted the attempt.
    Connected {
        /// The flow that is connected now.
        flow: FlowId,
        /// Nanoseconds from the attempt to the server's answer.
        took: Time,
    },
    /// An attempt, or the connection that it became, has ended.
    AttemptEnded {
        /// The flow that it was made for.
        flow: FlowId,
        /// Where it went.
        server_id: ServerId,
        /// How it ended.
        end: AttemptEnd,
        /// The flow, where it still awaits an answer.
        unanswered: Option<&'a Flow>,
    },
    /// The client went away.
    ClientLeft {
        /// Its flow.
        flow: FlowId,
    },
    /// A health check has ended.
    HealthChecked {
        /// The server that was checked.
        server_id: ServerId,
        /// Whether the server answered as it should.
        passed: bool,
        /// What it reported; nothing where it did not answer.
        report: LoadReport,
    },
    /// The time that [`Policy::time_to_next_timer`](crate::Policy::time_to_next_timer) returned
    /// has passed.
    TimerExpired,
}

/// Where a flow goes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Placement {
    /// To this server.
    Forward {
        /// The server.
        server_id: ServerId,
        /// How long the server's answer is waited for, in nanoseconds.
        timeout: Time,
        /// The attempt is made only if its last byte is written within this span.
        send_within: Time,
    },
    /// The flow stays queued and is placed again when the policy's timer expires.
    Wait,
    /// The flow is rejected: a repeat can do no harm.
    Reject {
        /// How long the client has to wait before it tries again, where it may be sent one.
        retry_after: Option<Time>,
    },
    /// The flow fails: an attempt may have run.
    Fail,
}

/// What to do after an event.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Actions {
    /// Where the flow goes that the event left unanswered.
    pub placement: Option<Placement>,
    /// Servers whose health is to be checked.
    pub health_checks: Vec<ServerId>,
    /// Own connections whose clients are notified to move.
    pub migrate: Vec<FlowId>,
    /// Flows whose attempt in flight is to be cancelled.
    pub cancel: Vec<FlowId>,
    /// Whether the endpoint list is to be polled.
    pub poll_endpoints: bool,
    /// The message to send to the other balancers.
    pub gossip: Option<GroupPlacement>,
}
