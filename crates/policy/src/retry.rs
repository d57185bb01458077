//! Retries: whether a further attempt can do harm, given idempotency, deduplication windows and
//! deadlines.

use crate::endpoints::Endpoints;
use crate::types::{
    Attempt, DeduplicationScope, Endpoint, EndpointState, Flow, Idempotency, MS, Time,
};

/// Longest time between a decision and the resulting write. An attempt that servers remember only
/// for a limited time has to be decided earlier by this time.
const SCHEDULING_DELAY_MAX: Time = 150 * MS;

/// How many attempts a flow may have, and under which conditions.
#[derive(Clone, Debug, PartialEq)]
pub struct RetryConfig {
    /// Maximum number of attempts of one flow; at least one is always allowed.
    pub attempts_max: usize,
    /// Time in nanoseconds before its deadline at which a flow has to be answered.
    pub deadline_margin: Time,
    /// Whether an attempt may be made while an earlier one is in flight.
    pub allow_hedging: bool,
    /// Whether an attempt in flight is cancelled when its client leaves.
    pub allow_cancellation: bool,
}

impl Default for RetryConfig {
    fn default() -> Self {
        RetryConfig {
            attempts_max: 1,
            deadline_margin: 10 * MS,
            allow_hedging: false,
            allow_cancellation: false,
        }
    }
}

/// Decides whether a flow may have a further attempt, and at which server.
pub(crate) struct RetryPolicy {
    config: RetryConfig,
}

impl RetryPolicy {
    pub(crate) fn new(config: RetryConfig) -> Self {
        RetryPolicy { config }
    }

    /// Whether an attempt in flight is cancelled when its client leaves.
    pub(crate) fn allows_cancellation(&self) -> bool {
        self.config.allow_cancellation
    }

    /// Whether the flow has used up the attempts that it may have now.
    pub(crate) fn is_exhausted(&self, flow: &Flow) -> bool {
        let is_in_flight = flow.attempts.iter().any(|attempt| attempt.in_flight);
        let attempts_max = self.config.attempts_max.max(1);
        flow.attempts.len() >= attempts_max || is_in_flight && !self.config.allow_hedging
    }

    /// Returns the time that is left for an attempt until the flow has to be answered.
    pub(crate) fn time_left(&self, now: Time, flow: &Flow) -> Time {
        flow.deadline
            .saturating_sub(now + self.config.deadline_margin)
    }

    /// Whether the flow has to be answered before `wait` has passed, so that it cannot be placed
    /// again after the wait.
    pub(crate) fn is_answer_due_within(&self, now: Time, flow: &Flow, wait: Time) -> bool {
        flow.deadline <= now + self.config.deadline_margin + wait
    }

    /// Whether an attempt may go to this server: the server has to be ready, and a repeat there
    /// must do no harm.
    pub(crate) fn may_attempt(
        &self,
        now: Time,
        flow: &Flow,
        endpoint: &Endpoint,
        endpoints: &Endpoints,
    ) -> bool {
        if endpoint.state != EndpointState::Ready {
            return false;
        }
        match flow.class.idempotency {
            Idempotency::Idempotent => true,
            Idempotency::NonIdempotent => !flow.may_have_executed(),
            Idempotency::Deduplicated { scope, .. } => {
                let is_deduplicated = |attempt: &Attempt| {
                    let earlier = endpoints.servers.get(&attempt.server_id);
                    scope == DeduplicationScope::All
                        || earlier.is_some_and(|earlier| {
                            scope.drops_repeats_between(&earlier.endpoint, endpoint)
                        })
                };
                self.resend_time_left(now, flow) > 0 && possibly_executed(flow).all(is_deduplicated)
            }
        }
    }

    /// Returns the time within which an attempt may still be sent, less the delay on the way to the
    /// server. Guards against a repeat that is placed in time but sent too late because its
    /// connection is established late.
    pub(crate) fn resend_time_left(&self, now: Time, flow: &Flow) -> Time {
        let delay = self.config.deadline_margin + SCHEDULING_DELAY_MAX;
        latest_send_time(flow).saturating_sub(now + delay)
    }
}

/// Returns the latest time at which an attempt may be sent. For a deduplicated flow this is the
/// time until which servers remember all attempts that may have been executed.
fn latest_send_time(flow: &Flow) -> Time {
    let Idempotency::Deduplicated { window, .. } = flow.class.idempotency else {
        return Time::MAX;
    };
    possibly_executed(flow)
        .map(|attempt| attempt.sent_at.saturating_add(window))
        .min()
        .unwrap_or(Time::MAX)
}

fn possibly_executed(flow: &Flow) -> impl Iterator<Item = &Attempt> {
    flow.attempts
        .iter()
        .filter(|attempt| !attempt.known_unexecuted)
}
