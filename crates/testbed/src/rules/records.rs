//! The state that the rule checker keeps of flows, attempts and servers.

use std::collections::VecDeque;

use nettlemux_fleet_model::observation::{DeduplicationScope, FinalAnswer, Idempotency};
use nettlemux_fleet_model::server::BUDGET_TOLERANCE_ATTEMPTS;
use nettlemux_policy::{SEC, Time};

/// The state of an attempt.
pub(super) struct AttemptRecord {
    pub(super) number: usize,
    pub(super) server: usize,
    pub(super) at: Time,
    /// Whether it is certain that the attempt was not executed; `None` while it is in flight.
    pub(super) known_unexecuted: Option<bool>,
}

impl AttemptRecord {
    pub(super) fn new(number: usize, server: usize, at: Time) -> Self {
        AttemptRecord {
            number,
            server,
            at,
            known_unexecuted: None,
        }
    }

    pub(super) fn may_have_run(&self) -> bool {
        self.known_unexecuted != Some(true)
    }
}

/// The state of a flow.
pub(super) struct FlowRecord {
    pub(super) balancer: usize,
    pub(super) idempotency: Idempotency,
    pub(super) deadline: Time,
    pub(super) answer: Option<FinalAnswer>,
    pub(super) closed_at: Option<Time>,
    pub(super) attempts: Vec<AttemptRecord>,
}

impl FlowRecord {
    pub(super) fn new(balancer: usize, idempotency: Idempotency, deadline: Time) -> Self {
        FlowRecord {
            balancer,
            idempotency,
            deadline,
            answer: None,
            closed_at: None,
            attempts: Vec::new(),
        }
    }

    pub(super) fn awaits_answer(&self) -> bool {
        self.answer.is_none() && self.closed_at.is_none()
    }

    pub(super) fn may_have_run(&self) -> bool {
        self.attempts.iter().any(AttemptRecord::may_have_run)
    }

    /// Whether a rejection, which tells the client that a retry is safe, would be wrong.
    pub(super) fn must_not_be_rejected(&self) -> bool {
        self.may_have_run()
            && match self.idempotency {
                Idempotency::Idempotent => false,
                // Any server drops the retry while the deduplication window lasts.
                Idempotency::Deduplicated { scope, .. } => scope != DeduplicationScope::All,
                Idempotency::NonIdempotent => true,
            }
    }
}

/// The state of a server.
#[derive(Default)]
pub(super) struct ServerRecord {
    pub(super) zone: usize,
    pub(super) cell: usize,
    pub(super) started: Option<Time>,
    /// The times of the attempts that the server received within the collapse window, while it is
    /// in slow start.
    pub(super) sent: VecDeque<Time>,
}

impl ServerRecord {
    /// Whether this server drops repeats of attempts that were sent to the other server.
    pub(super) fn shares_scope(&self, other: &ServerRecord, scope: DeduplicationScope) -> bool {
        match scope {
            DeduplicationScope::All => true,
            DeduplicationScope::Zone => self.zone == other.zone,
            DeduplicationScope::Cell => self.cell == other.cell,
        }
    }
}

/// The scenario's values for the rule on servers in slow start.
pub(super) struct SlowStart {
    pub(super) initial_capacity: f64,
    pub(super) warm_up: Time,
    pub(super) collapse_multiple: f64,
    pub(super) collapse_window: Time,
    pub(super) connection_rate: f64,
}

impl SlowStart {
    /// Returns how many attempts a server may get within the collapse window, at this time after its
    /// start.
    pub(super) fn budget(&self, age: Time) -> f64 {
        let warmth = self.initial_capacity
            + (1.0 - self.initial_capacity) * age as f64 / self.warm_up as f64;
        self.collapse_multiple
            * warmth
            * self.connection_rate
            * (self.collapse_window as f64 / SEC as f64)
            + BUDGET_TOLERANCE_ATTEMPTS
    }
}
