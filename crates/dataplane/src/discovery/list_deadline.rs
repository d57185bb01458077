//! By when the balancer must know the endpoint list, and the time-outs and pauses of calls to
//! discovery that follow from it. This module owns the times from which the deadlines count and the
//! number of backoffs that they have shortened. It must never do I/O, read a clock or draw a random
//! number.
//!
//! A change of the list must be known by the earliest of these times, whatever the calls meet:
//! - [`RELOAD_DEADLINE`] after a reload, or [`CHANGE_DEADLINE`] if that was missed;
//! - [`CHANGE_DEADLINE`] after a watch has fallen silent;
//! - [`CHANGE_DEADLINE`] after discovery has the change and is reachable;
//! - at once, if discovery is an agent that answers at once.
//!
//! Discovery may take [`CALL_TIME_MAX`] for a call. So a call is given up only after that, and a
//! call that may be lost is followed by a second one beside it before it is given up.

use nettlemux_policy::{MS, SEC, Time};

/// The time after a reload within which the balancer must know what discovery has to tell.
pub const RELOAD_DEADLINE: Time = 4 * SEC;
/// The time within which the balancer must know a change, from when discovery has the change and is
/// reachable, or from when a watch has fallen silent.
pub const CHANGE_DEADLINE: Time = 6 * SEC;
/// The longest time that discovery takes to answer a call, after its hold.
pub const CALL_TIME_MAX: Time = 2 * SEC;
/// The part of each deadline that is reserved for late timers and a busy processor.
pub const SCHEDULING_MARGIN: Time = 250 * MS;
/// The shortest backoff. A watch ends if the next call doesn't come within 200 ms.
pub const BACKOFF_MIN: Time = 50 * MS;
/// How long discovery may hold a call until there is a change. Short, since a silent watch is
/// noticed only when the hold is over.
pub const WATCH_HOLD: Time = SEC;
/// The time after its hold from which a call may be lost, for an agent that hasn't been slow. Short
/// enough for three more calls before the first one is given up, the last of which may still take
/// [`CALL_TIME_MAX`] within [`RELOAD_DEADLINE`].
pub const OVERDUE_MIN: Time = 500 * MS;
/// The time after its hold at which a call to an agent is given up.
const AGENT_TIMEOUT: Time = CALL_TIME_MAX + 150 * MS;
/// The time after its hold at which a call to a shared service is given up. Prevents the balancer
/// from abandoning a call that is still queued and that the service will still answer: services
/// reject queued calls after 1 to 2.5 s.
const SERVICE_TIMEOUT: Time = CALL_TIME_MAX + 650 * MS;
/// The part of the time left in which the next call starts if it may take too long anyway, as a
/// divisor. Large enough that balancers that were rejected at the same time don't all call again at
/// the same time.
const TIME_LEFT_DIVISOR: Time = 10;
/// The most backoffs that the deadlines after one reload, or after one silence, shorten. Guards
/// against a balancer that calls more and more often as a deadline approaches, while the service
/// rejects its calls at once.
const SHORTENED_BACKOFFS_MAX: usize = 2;

/// Who answers the calls for the endpoint list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Discovery {
    /// An agent on the balancer's own machine, which a call costs nothing.
    Agent,
    /// One service that answers the calls of all balancers in turn.
    SharedService {
        /// The longest interval between calls that the settings allow.
        interval_max: Time,
    },
}

impl Discovery {
    /// Returns the time after its hold at which a call is given up.
    pub fn response_timeout(self) -> Time {
        match self {
            Discovery::Agent => AGENT_TIMEOUT,
            Discovery::SharedService { .. } => SERVICE_TIMEOUT,
        }
    }

    /// Returns the time after its hold from which a call may be lost, if the last answered call took
    /// `response_time` after its hold.
    pub fn overdue_after(self, response_time: Time) -> Time {
        (response_time + SCHEDULING_MARGIN).clamp(OVERDUE_MIN, self.response_timeout())
    }
}

/// How a call failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FailureKind {
    /// There was no response: discovery is silent so far.
    NoResponse,
    /// The connection was refused or reset.
    ConnectionLost,
    /// There was a response, but it was a rejection or unreadable.
    BadResponse,
}

/// A failed call, as far as the backoff depends on it.
#[derive(Clone, Copy, Debug)]
pub struct FailedCall {
    /// How the call failed.
    pub kind: FailureKind,
    /// The time from the call's start to its failure.
    pub duration: Time,
    /// The number of failed calls in a row before this one.
    pub failures_before: u32,
}

/// The times of the reloads whose deadlines have not passed. Of a series of reloads, the first and
/// the last are remembered: a new reload doesn't extend the deadline of an earlier one.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct RecentReloads {
    first: Option<Time>,
    last: Option<Time>,
}

impl RecentReloads {
    /// Records a reload whose signal came at `signalled_at`.
    pub fn record(&mut self, signalled_at: Time) {
        let is_recent = |reload: &Time| signalled_at < reload + CHANGE_DEADLINE;
        self.first = self
            .first
            .filter(is_recent)
            .or(self.last.filter(is_recent))
            .or(Some(signalled_at));
        self.last = Some(signalled_at);
    }

    /// Returns the times of the reloads.
    fn times(self) -> impl Iterator<Item = Time> {
        [self.first, self.last].into_iter().flatten()
    }

    /// Returns the deadlines after these reloads. A balancer that has missed the first one, because
    /// its calls were rejected again and again, still has to know a change by the second.
    fn deadlines(self) -> impl Iterator<Item = Time> {
        self.times()
            .flat_map(|reload| [reload + RELOAD_DEADLINE, reload + CHANGE_DEADLINE])
    }
}

/// By when the balancer must know the endpoint list.
#[derive(Clone, Debug, Default)]
pub struct ListDeadline {
    reloads: RecentReloads,
    /// The earliest time at which the watch may have fallen silent; `None` if it hasn't.
    silent_since: Option<Time>,
    shortened_backoffs: usize,
}

impl ListDeadline {
    /// Sets the recent reloads. Returns whether there has been another one.
    pub fn set_reloads(&mut self, reloads: RecentReloads) -> bool {
        let is_new = reloads.last != self.reloads.last;
        if is_new {
            self.reloads = reloads;
            self.shortened_backoffs = 0;
        }
        is_new
    }

    /// Records that a call of a watch, started at `started_at`, has no response yet.
    pub fn record_silence(&mut self, started_at: Time) {
        self.silent_since.get_or_insert(started_at);
    }

    /// Records an answer, or that another agent is called.
    pub fn end_silence(&mut self) {
        self.silent_since = None;
        self.shortened_backoffs = 0;
    }

    /// Returns the time left until the next deadline after a reload or a silence, less a margin for
    /// late timers; `None` if all have passed.
    pub fn time_left(&self, now: Time) -> Option<Time> {
        let after_silence = self.silent_since.map(|since| since + CHANGE_DEADLINE);
        let deadlines = self.reloads.deadlines().chain(after_silence);
        earliest_time_left(deadlines, now)
    }

    /// Returns whether a call that starts now is answered by the next [`RELOAD_DEADLINE`] even if it
    /// takes [`CALL_TIME_MAX`], or there is no such deadline.
    pub fn has_time_for_call(&self, now: Time) -> bool {
        self.reloads
            .times()
            .map(|reload| reload + RELOAD_DEADLINE)
            .filter(|deadline| *deadline > now)
            .all(|deadline| now + CALL_TIME_MAX + SCHEDULING_MARGIN <= deadline)
    }

    /// Returns the longest backoff after a call to a shared service that has failed now: `longest`,
    /// or a shorter one that the deadlines need.
    pub fn backoff_limit(&mut self, failed: &FailedCall, longest: Time, now: Time) -> Time {
        let limit = reachable_limit(failed).min(longest).max(BACKOFF_MIN);
        // While discovery is silent no earlier call would help, and balancers whose watches fell
        // silent at the same time would call at the same time.
        let time_left = match failed.kind {
            FailureKind::NoResponse => earliest_time_left(self.reloads.deadlines(), now),
            FailureKind::ConnectionLost | FailureKind::BadResponse => self.time_left(now),
        };
        let shorter = time_left
            .map(limit_before_deadline)
            .filter(|shorter| *shorter < limit && self.shortened_backoffs < SHORTENED_BACKOFFS_MAX);
        self.shortened_backoffs += usize::from(shorter.is_some());
        shorter.unwrap_or(limit)
    }
}

/// Returns the time left until the next of these deadlines, less [`SCHEDULING_MARGIN`].
fn earliest_time_left(deadlines: impl Iterator<Item = Time>, now: Time) -> Option<Time> {
    deadlines
        .filter_map(|deadline| deadline.checked_sub(now + SCHEDULING_MARGIN))
        .filter(|left| *left > 0)
        .min()
}

/// Returns the longest backoff after which a change is known within [`CHANGE_DEADLINE`] of the time
/// from which discovery may be reachable. If there was a response, even a rejection, that is the
/// time of the response. Else it is the start of the failed call, since discovery may have become
/// reachable at any moment after that.
fn reachable_limit(failed: &FailedCall) -> Time {
    let reachable_for = match failed.kind {
        FailureKind::NoResponse | FailureKind::ConnectionLost => failed.duration,
        FailureKind::BadResponse => 0,
    };
    (CHANGE_DEADLINE - SCHEDULING_MARGIN - SERVICE_TIMEOUT).saturating_sub(reachable_for)
}

/// Returns the longest backoff if `time_left` is left until a deadline. As long as there is time for
/// a call that is queued for the longest time, the call may start at any moment that leaves this
/// time; then soon.
fn limit_before_deadline(time_left: Time) -> Time {
    time_left
        .saturating_sub(SERVICE_TIMEOUT)
        .max(time_left / TIME_LEFT_DIVISOR)
        .max(BACKOFF_MIN)
}

#[cfg(test)]
mod tests;
