//! The observations that the drivers record and that the rules are checked against. A record is
//! stored as JSON lines, one observation per line; the first line is a header with the version. A
//! record must not contain anything that a balancer states about itself. The serde aliases are the
//! names in records of earlier versions.

use nettlemux_policy::Time;
use serde::{Deserialize, Serialize};

/// The version of the record format. A reader rejects any other version.
pub const RECORD_FORMAT_VERSION: u32 = 1;

/// Whether a flow may be repeated, as the scenario specifies for its traffic class.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Idempotency {
    /// Repeats are harmless.
    #[serde(alias = "repeatable")]
    Idempotent,
    /// Servers drop repeats for a limited time.
    #[serde(alias = "referenced")]
    Deduplicated {
        /// The servers that drop repeats of each other's attempts.
        scope: DeduplicationScope,
        /// How long servers drop repeats, from the first attempt that may have run, in nanoseconds.
        window: Time,
    },
    /// A repeat takes effect again.
    #[serde(alias = "once-only")]
    NonIdempotent,
}

/// The servers that drop repeats of each other's attempts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum DeduplicationScope {
    /// All servers.
    All,
    /// The servers of the first attempt's zone.
    #[serde(alias = "hall")]
    Zone,
    /// The servers of the first attempt's cell.
    Cell,
}

/// The final answer to a flow.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum FinalAnswer {
    /// The flow is connected to a server.
    #[serde(alias = "established")]
    Connected,
    /// None of the flow's attempts has run.
    Rejected,
    /// One of the flow's attempts may have run.
    #[serde(alias = "aborted")]
    Failed,
}

/// The side that closed a connection first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ClosedBy {
    /// The client.
    Client,
    /// The server.
    Server,
    /// The balancer.
    Balancer,
}

/// An observation.
///
/// Times (`at`) are nanoseconds from the start of the run. Balancers and servers are identified by
/// their index, flows by a number that is unique across all balancers.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "what", rename_all = "kebab-case")]
#[allow(
    missing_docs,
    reason = "the fields are described above and at each variant"
)]
pub enum Observation {
    /// The first line of a record: the format version, and the run that was recorded.
    Header {
        version: u32,
        scenario: String,
        seed: u64,
        program: String,
    },
    /// A server exists from the start of the run, or joins.
    Server {
        at: Time,
        server: usize,
        #[serde(alias = "hall")]
        zone: usize,
        cell: usize,
        machine: usize,
    },
    /// A server has just started, and is in slow start.
    #[serde(alias = "started")]
    ServerStarted { at: Time, server: usize },
    /// A server in slow start got more attempts than it can handle, and crashed.
    #[serde(alias = "fell")]
    ServerCollapsed { at: Time, server: usize },
    /// A balancer was notified that a server is ready, or that it is not.
    #[serde(alias = "told")]
    EndpointNotified {
        at: Time,
        balancer: usize,
        server: usize,
        ready: bool,
    },
    /// A balancer has accepted a flow, which must be answered by its deadline.
    #[serde(alias = "taken")]
    Accepted {
        at: Time,
        balancer: usize,
        flow: u64,
        #[serde(alias = "kind")]
        idempotency: Idempotency,
        #[serde(alias = "give_up")]
        deadline: Time,
    },
    /// A flow's client has received the final answer.
    Answered {
        at: Time,
        flow: u64,
        #[serde(alias = "with")]
        answer: FinalAnswer,
    },
    /// A flow's client has disconnected before it was answered.
    #[serde(alias = "left")]
    ClientLeft { at: Time, flow: u64 },
    /// The last byte of an attempt has arrived at a server.
    #[serde(alias = "connect")]
    Attempt {
        at: Time,
        balancer: usize,
        flow: u64,
        number: usize,
        server: usize,
    },
    /// An attempt is no longer in flight. `known_unexecuted`: whether its balancer could know that the
    /// attempt had not run.
    #[serde(alias = "connect-ended")]
    AttemptEnded {
        at: Time,
        flow: u64,
        number: usize,
        #[serde(alias = "never_ran")]
        known_unexecuted: bool,
    },
    /// A connection has closed. `client_notified`: whether its client had been told to migrate.
    /// `server_healthy`: whether its server still answered.
    #[serde(alias = "ended")]
    ConnectionClosed {
        at: Time,
        flow: u64,
        by: ClosedBy,
        #[serde(alias = "told")]
        client_notified: bool,
        #[serde(alias = "sound")]
        server_healthy: bool,
    },
    /// A balancer's process has ended, as planned or not. Its flows no longer need an answer.
    BalancerEnded {
        at: Time,
        balancer: usize,
        planned: bool,
    },
}

impl Observation {
    /// Returns the time of the observation, or `None` for the header.
    pub fn at(&self) -> Option<Time> {
        match self {
            Observation::Header { .. } => None,
            Observation::Server { at, .. }
            | Observation::ServerStarted { at, .. }
            | Observation::ServerCollapsed { at, .. }
            | Observation::EndpointNotified { at, .. }
            | Observation::Accepted { at, .. }
            | Observation::Answered { at, .. }
            | Observation::ClientLeft { at, .. }
            | Observation::Attempt { at, .. }
            | Observation::AttemptEnded { at, .. }
            | Observation::ConnectionClosed { at, .. }
            | Observation::BalancerEnded { at, .. } => Some(*at),
        }
    }
}
