//! The plain values that the decision module is asked with and answers with.

pub use nettlemux_candidates::ServerId;

/// Whole nanoseconds: a moment on the caller's clock, or a span.
pub type Time = u64;
pub type FlowId = u64;

pub const MS: Time = 1_000_000;
pub const SEC: Time = 1_000 * MS;

/// Which servers drop repeats of a deduplicated flow: those that share this with the first one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DeduplicationScope {
    All,
    Zone,
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

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Idempotency {
    Idempotent,
    /// Repeats are dropped by the servers in scope for so long after the attempt that may have run.
    Deduplicated {
        scope: DeduplicationScope,
        window: Time,
    },
    NonIdempotent,
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TrafficClass {
    pub latency_objective: Time,
    pub priority_weight: f64,
    pub idempotency: Idempotency,
}

/// One attempt that was already made for a flow.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Attempt {
    pub server_id: ServerId,
    pub at: Time,
    /// Still in flight.
    pub in_flight: bool,
    /// Known not to have run.
    pub known_unexecuted: bool,
}

/// A flow in the caller's hands that awaits an answer.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Flow {
    pub id: FlowId,
    pub class: usize,
    pub tenant: usize,
    /// Flows of one group cost a server their common work once.
    pub group: Option<String>,
    /// The client's connection broke or was moved: it comes back with the load that it had.
    pub reconnecting: bool,
    pub accepted_at: Time,
    /// When the deadline runs out.
    pub deadline: Time,
    pub attempts: Vec<Attempt>,
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum EndpointState {
    Ready,
    Draining,
    #[default]
    Removed,
}

/// A server as the list tells of it.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Endpoint {
    pub server_id: ServerId,
    pub zone: u64,
    pub machine: u64,
    pub cell: u64,
    pub state: EndpointState,
    pub weight: f64,
    /// When it last started; 0 is long ago.
    pub started: Time,
}

/// What a server tells of itself.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LoadReport {
    /// Load over capacity.
    pub utilization: Option<f64>,
    /// Connections that it holds.
    pub connections: Option<f64>,
}

/// What balancers tell one another: this server holds connections of the group with that number.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct GroupPlacement {
    pub group: u16,
    pub server_id: ServerId,
}

impl GroupPlacement {
    /// Short, as each byte is paid for by every receiver: the group, and the server without leading zeros.
    pub fn to_bytes(self) -> Vec<u8> {
        let server_id = self.server_id.to_be_bytes();
        let zeros = server_id.iter().take_while(|byte| **byte == 0).count();
        self.group
            .to_be_bytes()
            .into_iter()
            .chain(server_id[zeros..].iter().copied())
            .collect()
    }

    /// None where these bytes are no such message.
    pub fn from_bytes(bytes: &[u8]) -> Option<Self> {
        let (group, server_id) = bytes.split_first_chunk::<2>()?;
        let short = server_id.len() <= 8 && server_id.first() != Some(&0);
        let server_id = server_id
            .iter()
            .fold(0, |server_id, byte| server_id << 8 | ServerId::from(*byte));
        short.then_some(GroupPlacement {
            group: u16::from_be_bytes(*group),
            server_id,
        })
    }
}

/// How an attempt, or the connection it became, has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptEnd {
    Done,
    Error,
    Overloaded,
    TimedOut,
    Unreachable,
    ConnectionLost,
    Cancelled,
    NotSent,
}

/// What has come of an earlier answer.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum PolicyEvent<'a> {
    Connected {
        flow: FlowId,
        took: Time,
    },
    /// `unanswered` is the flow, where it still waits for an answer.
    AttemptEnded {
        flow: FlowId,
        server_id: ServerId,
        end: AttemptEnd,
        unanswered: Option<&'a Flow>,
    },
    /// The client went away.
    ClientLeft {
        flow: FlowId,
    },
    HealthChecked {
        server_id: ServerId,
        passed: bool,
        report: LoadReport,
    },
    /// The wait has passed.
    TimerExpired,
}

/// Where a flow goes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Placement {
    /// To this server.
    Forward {
        server_id: ServerId,
        /// How long the server's answer is waited for.
        timeout: Time,
        /// The attempt is made only if its last byte is written within this span.
        send_within: Time,
    },
    /// The flow stays queued and is placed again when the policy's timer expires.
    Wait,
    /// The flow is rejected: none of its attempts can have run.
    Reject {
        /// How long the client is told to wait before it tries again, where it may be told.
        retry_after: Option<Time>,
    },
    /// The flow fails: an attempt may have run.
    Fail,
}

/// What to do after an outcome.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Actions {
    /// The flow that was still awaits an answer.
    pub placement: Option<Placement>,
    /// Servers to probe.
    pub health_checks: Vec<ServerId>,
    /// Own connections to move.
    pub migrate: Vec<FlowId>,
    /// Flows whose attempt is to be called off.
    pub cancel: Vec<FlowId>,
    /// Ask for the list.
    pub poll_endpoints: bool,
    /// Tell the other balancers.
    pub gossip: Option<GroupPlacement>,
}
