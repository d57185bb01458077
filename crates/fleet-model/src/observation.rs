//! What crossed the stand-ins: the facts that the rules are judged by. It owns their form in a record (JSON lines, one
//! fact a line, the first a header with the version). Nothing in here comes from a balancer's own word of itself.

use nettlemux_policy::Time;
use serde::{Deserialize, Serialize};

/// The version of the record's form; a reader refuses another.
pub const VERSION: u32 = 1;

/// How a flow may be repeated, as the scenario says of its traffic class.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Idempotency {
    #[serde(alias = "repeatable")]
    Idempotent,
    /// Repeats are dropped everywhere, in the first one's zone, or in its cell, for so long after the first may have run.
    #[serde(alias = "referenced")]
    Deduplicated {
        scope: DeduplicationScope,
        window: Time,
    },
    #[serde(alias = "once-only")]
    NonIdempotent,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum DeduplicationScope {
    All,
    #[serde(alias = "hall")]
    Zone,
    Cell,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum FinalAnswer {
    #[serde(alias = "established")]
    Connected,
    Rejected,
    #[serde(alias = "aborted")]
    Failed,
}

/// Who ended an established connection first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ClosedBy {
    Client,
    Server,
    Balancer,
}

/// One fact. Times are nanoseconds from the run's start; flows are numbered over all balancers.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "what", rename_all = "kebab-case")]
pub enum Observation {
    Header {
        version: u32,
        scenario: String,
        seed: u64,
        program: String,
    },
    /// A server as it is from the start on, or when it joins.
    Server {
        at: Time,
        server: usize,
        #[serde(alias = "hall")]
        zone: usize,
        cell: usize,
        machine: usize,
    },
    /// It has just started and is cold.
    #[serde(alias = "started")]
    ServerStarted { at: Time, server: usize },
    /// A server was asked for more than a cold one can bear, and fell over.
    #[serde(alias = "fell")]
    ServerCollapsed { at: Time, server: usize },
    /// A balancer has been told of a server: whether it is ready.
    #[serde(alias = "told")]
    EndpointNotified {
        at: Time,
        balancer: usize,
        server: usize,
        ready: bool,
    },
    /// A balancer has accepted a flow.
    #[serde(alias = "taken")]
    Accepted {
        at: Time,
        balancer: usize,
        flow: u64,
        kind: Idempotency,
        #[serde(alias = "give_up")]
        deadline: Time,
    },
    Answered {
        at: Time,
        flow: u64,
        with: FinalAnswer,
    },
    /// Its client left before it was answered.
    #[serde(alias = "left")]
    ClientLeft { at: Time, flow: u64 },
    /// An attempt whose last byte has come to a server.
    #[serde(alias = "connect")]
    Attempt {
        at: Time,
        balancer: usize,
        flow: u64,
        number: usize,
        server: usize,
    },
    /// The attempt is out no more. `known_unexecuted`: the balancer could know that it had not run.
    #[serde(alias = "connect-ended")]
    AttemptEnded {
        at: Time,
        flow: u64,
        number: usize,
        #[serde(alias = "never_ran")]
        known_unexecuted: bool,
    },
    /// An established connection has ended. `told`: its client had been told to move; `sound`: its server still answered.
    #[serde(alias = "ended")]
    ConnectionClosed {
        at: Time,
        flow: u64,
        by: ClosedBy,
        told: bool,
        sound: bool,
    },
    /// A balancer has died or was ended; what it held is not its to answer any more.
    BalancerEnded {
        at: Time,
        balancer: usize,
        planned: bool,
    },
}

impl Observation {
    /// When it was seen; none for the header.
    pub fn at(&self) -> Option<Time> {
        Some(*match self {
            Observation::Header { .. } => return None,
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
            | Observation::BalancerEnded { at, .. } => at,
        })
    }
}
