//! What the stand-ins observed: the facts that the rules are checked by. It owns their form in a
//! record (JSON lines, one fact a line, the first a header with the version) and must never hold
//! anything that a balancer says of itself. The aliases read records of earlier versions.

use nettlemux_policy::Time;
use serde::{Deserialize, Serialize};

/// The version of the record's form. A reader rejects any other.
pub const VERSION: u32 = 1;

/// Whether a flow may be repeated, as the scenario says of its traffic class.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Idempotency {
    /// Repeats do no harm.
    #[serde(alias = "repeatable")]
    Idempotent,
    /// Servers drop repeats for a while.
    #[serde(alias = "referenced")]
    Deduplicated {
        /// The servers that drop each other's repeats.
        scope: DeduplicationScope,
        /// How long after the first attempt that may have run, in nanoseconds.
        window: Time,
    },
    /// A repeat has its effect again.
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
    /// None of its attempts has run.
    Rejected,
    /// An attempt may have run.
    #[serde(alias = "aborted")]
    Failed,
}

/// The side that ended a connection first.
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

/// One observed fact.
///
/// Times (`at`) are nanoseconds from the start of the run. Balancers and servers are named by their
/// index, flows by a number that is unique over all balancers.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "what", rename_all = "kebab-case")]
#[allow(
    missing_docs,
    reason = "the fields' meanings stand above and at each variant"
)]
pub enum Observation {
    /// The first line of a record: its version, and the run that it is of.
    Header {
        version: u32,
        scenario: String,
        seed: u64,
        program: String,
    },
    /// A server that is there from the start on, or joins.
    Server {
        at: Time,
        server: usize,
        #[serde(alias = "hall")]
        zone: usize,
        cell: usize,
        machine: usize,
    },
    /// A server has just started and begins its slow start.
    #[serde(alias = "started")]
    ServerStarted { at: Time, server: usize },
    /// A server in slow start got more attempts than it can bear, and crashed.
    #[serde(alias = "fell")]
    ServerCollapsed { at: Time, server: usize },
    /// A balancer was notified whether a server is ready.
    #[serde(alias = "told")]
    EndpointNotified {
        at: Time,
        balancer: usize,
        server: usize,
        ready: bool,
    },
    /// A balancer has accepted a flow, which has to be answered by its deadline.
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
    /// A flow's client has got an answer.
    Answered {
        at: Time,
        flow: u64,
        #[serde(alias = "with")]
        answer: FinalAnswer,
    },
    /// A flow's client left before it was answered.
    #[serde(alias = "left")]
    ClientLeft { at: Time, flow: u64 },
    /// The last byte of an attempt has come to a server.
    #[serde(alias = "connect")]
    Attempt {
        at: Time,
        balancer: usize,
        flow: u64,
        number: usize,
        server: usize,
    },
    /// An attempt is no longer in flight. `known_unexecuted`: its balancer could know that it had
    /// not run.
    #[serde(alias = "connect-ended")]
    AttemptEnded {
        at: Time,
        flow: u64,
        number: usize,
        #[serde(alias = "never_ran")]
        known_unexecuted: bool,
    },
    /// A connection has ended. `client_notified`: its client had been told to migrate;
    /// `server_healthy`: its server still answered.
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
    /// A balancer's process has ended, as planned or not. It owes no more answers.
    BalancerEnded {
        at: Time,
        balancer: usize,
        planned: bool,
    },
}

impl Observation {
    /// Returns when the fact was observed, or `None` for the header.
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
