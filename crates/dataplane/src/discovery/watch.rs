//! The loop of the watch: makes the calls that are due, and applies their responses. It owns the
//! calls in flight and the connection that is kept between two calls. It must never use the answer
//! to a call that it no longer waits for.

use std::mem;

use nettlemux_policy::{MS, Time};
use tracing::{debug, info, warn};

use super::agent::Location;
use super::call::{Call, CallError, CallFailure, CallResult};
use super::context::DiscoveryContext;
use super::list::{self, ListUpdate};
use super::list_deadline::{Discovery, OVERDUE_MIN};
use super::list_version::{ListRequest, ListVersion};
use super::poll_schedule::{CallNumber, NewCall, PollAction, PollContext, PollSchedule};
use super::session::AgentSession;
use super::watch_event::WatchEvent;
use crate::clock;
use crate::connection::ConnectionError;
use crate::mailbox::{Mailbox, Sender};
use crate::messages::DispatcherMessage;

/// Watches the endpoint list and sends its updates to the dispatcher. Starts with the changes since
/// `known_version`, or with the complete list if that is `None`. Never returns.
pub fn watch(
    known_version: Option<u64>,
    context: &DiscoveryContext,
    dispatcher: &Sender<DispatcherMessage>,
) {
    let mut watch = EndpointWatch::new(known_version, context, dispatcher);
    loop {
        watch.step();
    }
}

/// A call in flight. Dropping it stops the call.
struct PendingCall {
    call: Call,
    session: AgentSession,
    request: ListRequest,
    started_at: Time,
}

struct EndpointWatch<'a> {
    context: &'a DiscoveryContext,
    dispatcher: &'a Sender<DispatcherMessage>,
    events: Mailbox<WatchEvent>,
    location: Location,
    schedule: PollSchedule,
    list: ListVersion,
    calls: Vec<PendingCall>,
    /// The session of the last answered call, if its connection may be used again.
    idle_session: Option<AgentSession>,
    /// The number of failed calls since the last answered one.
    failures: u32,
    /// Whether the last answer came late after its hold.
    is_slow: bool,
    /// Whether any call has been answered.
    has_been_answered: bool,
}

impl<'a> EndpointWatch<'a> {
    fn new(
        known_version: Option<u64>,
        context: &'a DiscoveryContext,
        dispatcher: &'a Sender<DispatcherMessage>,
    ) -> Self {
        let events = Mailbox::new();
        context.agent.notify(events.sender());
        EndpointWatch {
            context,
            dispatcher,
            events,
            location: context.agent.location(),
            schedule: PollSchedule::new(context.seed, clock::now()),
            list: ListVersion::new(known_version),
            calls: Vec::new(),
            idle_session: None,
            failures: 0,
            is_slow: false,
            has_been_answered: false,
        }
    }

    /// Makes the calls that are due, and waits for the next event.
    fn step(&mut self) {
        self.follow_agent();
        for action in self.schedule.advance(self.poll_context()) {
            match action {
                PollAction::Start(call) => self.start(call),
                PollAction::GiveUp(number) => self.give_up(number),
                PollAction::Replace(number) => drop(self.take_call(number)),
            }
        }
        match self.events.next(self.schedule.wake_at()) {
            Some(WatchEvent::CallEnded { number, result }) => self.call_ended(number, result),
            // The agent's location is read before the next calls.
            Some(WatchEvent::Reloaded) | None => {}
        }
    }

    fn discovery(&self) -> Discovery {
        let settings = self.context.settings.current();
        match settings.endpoint_poll_interval_max {
            Some(interval_max) => Discovery::SharedService { interval_max },
            None => Discovery::Agent,
        }
    }

    fn poll_context(&self) -> PollContext {
        let now = clock::now();
        let discovery = self.discovery();
        let is_shared = discovery != Discovery::Agent;
        PollContext {
            now,
            discovery,
            needs_complete_list: self.list.request(now, is_shared).from_version.is_none(),
        }
    }

    /// Restarts the watch if the agent's address has changed. Another agent has its own version
    /// numbers, so its complete list is requested. The old list stays in use until that arrives.
    fn follow_agent(&mut self) {
        let location = self.context.agent.location();
        if location.revision != self.location.revision {
            info!(agent = %location.address, "discovery agent address changed");
            self.calls.clear();
            self.idle_session = None;
            self.list.change_agent();
            self.failures = 0;
            self.schedule.change_agent(clock::now());
        }
        self.location = location;
        self.schedule
            .set_reloads(location.reloads, self.poll_context());
    }

    fn start(&mut self, new_call: NewCall) {
        let is_shared = self.discovery() != Discovery::Agent;
        let started_at = clock::now();
        let request = self.list.request(started_at, is_shared);
        let call = Call {
            number: new_call.number,
            path: list::request_path(request.from_version, new_call.hold),
            deadline: new_call.deadline,
        };
        let Some(session) = self.idle_session.take().or_else(|| self.open_session()) else {
            return self.not_started(call.number);
        };
        session.call(call.clone());
        self.calls.push(PendingCall {
            call,
            session,
            request,
            started_at,
        });
    }

    fn open_session(&self) -> Option<AgentSession> {
        AgentSession::open(self.location.address, self.context, self.events.sender())
    }

    fn not_started(&mut self, number: CallNumber) {
        warn!("no file descriptor available for a discovery poll");
        self.schedule.record_not_started(number, clock::now());
    }

    fn take_call(&mut self, number: CallNumber) -> Option<PendingCall> {
        let is_it = |pending: &PendingCall| pending.call.number == number;
        let index = self.calls.iter().position(is_it)?;
        Some(self.calls.remove(index))
    }

    /// Applies the result of a call, unless the call has been replaced or its agent has changed.
    fn call_ended(&mut self, number: CallNumber, result: CallResult) {
        self.follow_agent();
        let Some(pending) = self.take_call(number) else {
            return;
        };
        match result {
            Ok(response) => match list::parse_body(&response.body) {
                Ok(update) => self.answered(pending, update, response.keep_alive),
                Err(error) => self.failed(&pending, &error.into()),
            },
            Err(CallError::StaleConnection) => self.repeat_on_new_connection(pending),
            Err(CallError::Failed(failure)) => self.failed(&pending, &failure),
        }
    }

    /// Makes a call again whose kept connection had ended. An agent that restarted between two calls
    /// ended that connection, and nothing else shows it.
    fn repeat_on_new_connection(&mut self, pending: PendingCall) {
        self.list.suspect_restart();
        let Some(session) = self.open_session() else {
            return self.not_started(pending.call.number);
        };
        session.call(pending.call.clone());
        self.calls.push(PendingCall { session, ..pending });
    }

    fn answered(&mut self, pending: PendingCall, update: ListUpdate, keep_alive: bool) {
        let context = self.poll_context();
        let number = pending.call.number;
        let Some(response_time) = self.schedule.record_answer(number, context) else {
            return;
        };
        self.calls.clear();
        self.idle_session = keep_alive.then_some(pending.session);
        if self.failures > 0 {
            info!(failures = self.failures, "discovery recovered");
        }
        self.failures = 0;
        self.report_slowness(response_time);
        let version = update.version;
        let is_complete = update.is_complete;
        let entries = update.entries.len();
        debug!(version, is_complete, entries, "endpoint list update");
        self.list
            .record_update(&update, &pending.request, pending.started_at);
        self.send_update(update);
    }

    fn report_slowness(&mut self, response_time: Time) {
        let is_slow = response_time >= OVERDUE_MIN;
        match (mem::replace(&mut self.is_slow, is_slow), is_slow) {
            (false, true) => {
                let response_time_ms = response_time / MS;
                warn!(response_time_ms, "discovery is slow");
            }
            (true, false) => info!("discovery is no longer slow"),
            _ => {}
        }
    }

    /// Sends an update to the dispatcher. The first one is sent even if it is empty, since it shows
    /// that the list is watched from then on.
    fn send_update(&mut self, update: ListUpdate) {
        let is_first = !mem::replace(&mut self.has_been_answered, true);
        if is_first || update.is_complete || !update.entries.is_empty() {
            self.dispatcher.send(DispatcherMessage::EndpointsUpdated {
                entries: update.entries,
                is_complete: update.is_complete,
            });
        }
    }

    /// Stops waiting for a call that the schedule has given up.
    fn give_up(&mut self, number: CallNumber) {
        if let Some(pending) = self.take_call(number) {
            self.report_failure(&pending, &ConnectionError::Deadline.into());
        }
    }

    fn failed(&mut self, pending: &PendingCall, failure: &CallFailure) {
        let kind = failure.kind();
        let context = self.poll_context();
        let number = pending.call.number;
        if self.schedule.record_failure(number, kind, context) {
            self.report_failure(pending, failure);
        }
    }

    fn report_failure(&mut self, pending: &PendingCall, failure: &CallFailure) {
        if failure.suggests_restart() {
            self.list.suspect_restart();
        }
        if self.failures == 0 {
            warn!(error = %failure, "discovery poll failed");
            self.dispatcher.send(DispatcherMessage::EndpointPollFailed);
        }
        debug!(
            error = %failure,
            path = pending.call.path,
            duration_ms = (clock::now() - pending.started_at) / MS,
            "discovery poll will be retried"
        );
        self.failures = self.failures.saturating_add(1);
    }
}
