//! When discovery is called, how long each call may take, and when a second call is made beside one
//! that may be lost. This module owns the calls in flight, as far as their times go, and the random
//! draws of the backoff. It must never do I/O or read a clock, so that it can be tested in virtual
//! time.
//!
//! Usually one call follows another. A call without a response some time after its hold is overdue:
//! it may be lost, or discovery is slow. The next call is then made beside it, after the same
//! backoff as after a failure, and the first answer ends the other call. Of two calls to an agent
//! that are both overdue, the later one is replaced and the earlier one stays until it is given up,
//! so that an agent that was silent is heard soon after it answers again, and an agent that needs
//! the longest time for each call is heard too.

use nanorand::WyRand;
use nettlemux_policy::{MS, Time};

use super::backoff::{backoff_span, draw_backoff};
use super::list_deadline::{
    BACKOFF_MIN, Discovery, FailedCall, FailureKind, ListDeadline, OVERDUE_MIN, RecentReloads,
    WATCH_HOLD,
};

/// The most calls in flight.
const CALLS_MAX: usize = 2;
/// The shortest interval between the starts of two calls. Limits the rate of calls if the agent
/// always responds at once. Well below the 200 ms after which a watch ends, and below the shortest
/// time within which a drain must be known.
const CALL_INTERVAL_MIN: Time = 20 * MS;

/// Identifies a call of one watch.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallNumber(u64);

/// A call that is to be made now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NewCall {
    /// The call's number.
    pub number: CallNumber,
    /// How long discovery may hold the call until there is a change.
    pub hold: Time,
    /// When the call is given up.
    pub deadline: Time,
}

/// What is to be done about calls.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PollAction {
    /// Make a call.
    Start(NewCall),
    /// Stop waiting for a call that has had the longest time that discovery takes.
    GiveUp(CallNumber),
    /// Stop waiting for an overdue call, since another one takes its place.
    Replace(CallNumber),
}

/// What the schedule has to know when calls are due.
#[derive(Clone, Copy, Debug)]
pub struct PollContext {
    /// The present time.
    pub now: Time,
    /// Who answers the calls.
    pub discovery: Discovery,
    /// Whether the next call asks for the complete list, which is never held.
    pub needs_complete_list: bool,
}

/// A call in flight.
#[derive(Clone, Copy, Debug)]
struct Call {
    number: CallNumber,
    started_at: Time,
    hold: Time,
    /// When the call may be lost; not before `deadline` if no second call is made beside it.
    overdue_at: Time,
    deadline: Time,
    /// Whether the call after this one has been scheduled.
    has_successor: bool,
}

/// When the next call starts.
#[derive(Clone, Copy, Debug)]
struct NextStart {
    at: Time,
    /// The failed call whose backoff this is; `None` if the start isn't delayed by a backoff.
    after: Option<FailedCall>,
}

/// The schedule of the calls to discovery.
pub struct PollSchedule {
    rng: WyRand,
    deadline: ListDeadline,
    /// The calls in flight, oldest first.
    calls: Vec<Call>,
    next_start: Option<NextStart>,
    next_number: u64,
    /// Whether the last call was answered, so that the next one goes on with the watch.
    is_watching: bool,
    /// The time after its hold from which a call may be lost.
    overdue_after: Time,
    /// The number of calls in a row that have failed or are overdue.
    failures: u32,
}

impl PollSchedule {
    /// Returns a schedule whose first call starts at once.
    pub fn new(seed: u64, now: Time) -> Self {
        PollSchedule {
            rng: WyRand::new_seed(seed),
            deadline: ListDeadline::default(),
            calls: Vec::new(),
            next_start: Some(NextStart {
                at: now,
                after: None,
            }),
            next_number: 0,
            is_watching: false,
            overdue_after: OVERDUE_MIN,
            failures: 0,
        }
    }

    /// Forgets the calls in flight and what is known of their agent, since another agent is called
    /// from now on. The deadlines after reloads stay.
    pub fn change_agent(&mut self, now: Time) {
        self.calls.clear();
        self.deadline.end_silence();
        self.is_watching = false;
        self.overdue_after = OVERDUE_MIN;
        self.failures = 0;
        self.next_start = Some(NextStart {
            at: now,
            after: None,
        });
    }

    /// Sets the recent reloads. Another reload shortens a backoff if its deadline needs that.
    pub fn set_reloads(&mut self, reloads: RecentReloads, context: PollContext) {
        if !self.deadline.set_reloads(reloads) {
            return;
        }
        if let Some(NextStart {
            at,
            after: Some(failed),
        }) = self.next_start
        {
            let backoff = self.draw_backoff(&failed, context);
            self.next_start = Some(NextStart {
                at: at.min(context.now + backoff),
                after: Some(failed),
            });
        }
    }

    /// Returns what is to be done now. Has to be called at [`wake_at`](Self::wake_at) and after each
    /// event.
    pub fn advance(&mut self, context: PollContext) -> Vec<PollAction> {
        let mut actions = Vec::new();
        self.give_up_expired(context, &mut actions);
        self.follow_overdue(context, &mut actions);
        self.start_due(context, &mut actions);
        actions
    }

    /// Returns when [`advance`](Self::advance) has something to do unless there is an event before.
    pub fn wake_at(&self) -> Time {
        let overdue = self
            .calls
            .iter()
            .filter(|call| !call.has_successor)
            .map(|call| call.overdue_at);
        let deadlines = self.calls.iter().map(|call| call.deadline);
        let can_start = self.calls.len() < CALLS_MAX;
        let start = self.next_start.filter(|_| can_start).map(|next| next.at);
        overdue
            .chain(deadlines)
            .chain(start)
            .min()
            .unwrap_or(Time::MAX)
    }

    /// Records an answer, which ends all calls in flight. Returns the time that it took after its
    /// hold; `None` if the call was no longer waited for, so that its answer must not be used.
    pub fn record_answer(&mut self, number: CallNumber, context: PollContext) -> Option<Time> {
        let call = self.take_call(number)?;
        let now = context.now;
        let response_time = now.saturating_sub(call.started_at + call.hold);
        // The time that a shared service takes for a call that isn't held is mostly its queue's.
        if call.hold > 0 || context.discovery == Discovery::Agent {
            self.overdue_after = context.discovery.overdue_after(response_time);
        }
        self.calls.clear();
        self.deadline.end_silence();
        self.is_watching = true;
        self.failures = 0;
        self.next_start = Some(NextStart {
            at: now.max(call.started_at + CALL_INTERVAL_MIN),
            after: None,
        });
        Some(response_time)
    }

    /// Records that a call has failed. Returns false if the call was no longer waited for.
    pub fn record_failure(
        &mut self,
        number: CallNumber,
        kind: FailureKind,
        context: PollContext,
    ) -> bool {
        let Some(call) = self.take_call(number) else {
            return false;
        };
        self.end_failed(&call, kind, context);
        true
    }

    /// Records that a call could not be made because this machine lacks resources for it.
    pub fn record_not_started(&mut self, number: CallNumber, now: Time) {
        if self.take_call(number).is_some() {
            self.is_watching = false;
            self.next_start = Some(NextStart {
                at: now + BACKOFF_MIN,
                after: None,
            });
        }
    }

    fn take_call(&mut self, number: CallNumber) -> Option<Call> {
        let index = self.calls.iter().position(|call| call.number == number)?;
        Some(self.calls.remove(index))
    }

    fn give_up_expired(&mut self, context: PollContext, actions: &mut Vec<PollAction>) {
        while let Some(index) = self
            .calls
            .iter()
            .position(|call| call.deadline <= context.now)
        {
            let call = self.calls.remove(index);
            self.overdue_after = OVERDUE_MIN;
            self.end_failed(&call, FailureKind::NoResponse, context);
            actions.push(PollAction::GiveUp(call.number));
        }
    }

    /// Ends a call without an answer, and schedules the next one if that hasn't been done.
    fn end_failed(&mut self, call: &Call, kind: FailureKind, context: PollContext) {
        self.is_watching = false;
        let is_covered = call.has_successor && (self.next_start.is_some() || self.has_call());
        if !is_covered {
            self.schedule_after(call, kind, context);
        }
    }

    fn has_call(&self) -> bool {
        !self.calls.is_empty()
    }

    /// Schedules the call after each call that is overdue. The later of two calls is replaced by it.
    fn follow_overdue(&mut self, context: PollContext, actions: &mut Vec<PollAction>) {
        for index in 0..self.calls.len() {
            let call = self.calls[index];
            if call.has_successor || call.overdue_at > context.now {
                continue;
            }
            self.calls[index].has_successor = true;
            self.schedule_after(&call, FailureKind::NoResponse, context);
        }
        // After a reload the later call stays if its successor would come too late from a slow agent.
        let next_start = context.now + BACKOFF_MIN;
        if let [_, later] = self.calls[..]
            && later.has_successor
            && self.deadline.has_time_for_call(next_start)
        {
            self.calls.truncate(1);
            actions.push(PollAction::Replace(later.number));
        }
    }

    /// Schedules the next call after one that has failed or is overdue.
    fn schedule_after(&mut self, call: &Call, kind: FailureKind, context: PollContext) {
        if call.hold > 0 && kind != FailureKind::BadResponse {
            self.deadline.record_silence(call.started_at);
        }
        let failed = FailedCall {
            kind,
            duration: context.now - call.started_at,
            failures_before: self.failures,
        };
        self.failures = self.failures.saturating_add(1);
        let at = context.now + self.draw_backoff(&failed, context);
        if self.next_start.is_none_or(|next| at < next.at) {
            self.next_start = Some(NextStart {
                at,
                after: Some(failed),
            });
        }
    }

    /// Draws the backoff: random if one service answers the calls of all balancers, else
    /// [`BACKOFF_MIN`].
    fn draw_backoff(&mut self, failed: &FailedCall, context: PollContext) -> Time {
        let Discovery::SharedService { interval_max } = context.discovery else {
            return BACKOFF_MIN;
        };
        let longest = backoff_span(failed).min(interval_max);
        let limit = self.deadline.backoff_limit(failed, longest, context.now);
        draw_backoff(failed, limit, &mut self.rng)
    }

    fn start_due(&mut self, context: PollContext, actions: &mut Vec<PollAction>) {
        let is_due = self.next_start.is_some_and(|next| next.at <= context.now);
        if is_due && self.calls.len() < CALLS_MAX {
            self.next_start = None;
            actions.push(PollAction::Start(self.start_call(context)));
        }
    }

    fn start_call(&mut self, context: PollContext) -> NewCall {
        let PollContext { now, discovery, .. } = context;
        // A call that begins a watch isn't held, so that it takes no longer than its wait in the
        // queue of a shared service, and that an agent that answers again is heard at once.
        let is_held = self.is_watching && !self.has_call() && !context.needs_complete_list;
        let hold = if is_held { WATCH_HOLD } else { 0 };
        let deadline = now + hold + discovery.response_timeout();
        // A call that is queued at a shared service isn't doubled, since that would lengthen the
        // queue.
        let is_queued = !is_held && discovery != Discovery::Agent;
        let overdue_at = if is_queued {
            deadline
        } else {
            now + hold + self.overdue_after
        };
        let number = CallNumber(self.next_number);
        self.next_number += 1;
        self.calls.push(Call {
            number,
            started_at: now,
            hold,
            overdue_at,
            deadline,
            has_successor: false,
        });
        NewCall {
            number,
            hold,
            deadline,
        }
    }
}

#[cfg(test)]
mod tests;
