//! The loop of the watch, which chooses the parameters of each poll and applies its result. It owns
//! the version of the endpoint list. It must never request changes since a version that another
//! agent has assigned.

use std::mem;
use std::time::Duration;

use nanorand::WyRand;
use nettlemux_policy::{MS, SEC, Time};
use tracing::{debug, info, warn};

use super::agent::{Location, Notifier, WaitKind};
use super::backoff::{
    BACKOFF_MIN, FailureKind, QUEUE_TIMEOUT, backoff_limit, backoff_span, draw_backoff,
};
use super::context::DiscoveryContext;
use super::list::ListUpdate;
use super::poll::{AgentClient, Poll, PollError, PollFailure};
use super::reload_deadline::ShortenedBackoffs;
use crate::clock;
use crate::mailbox::{Mailbox, Sender};
use crate::messages::DispatcherMessage;
use crate::timer;

/// How long the agent may hold a poll. Short, since a silent agent is noticed only when the hold is
/// over, and the changes that it withheld must be known within 2 s after that.
const WATCH_HOLD: Time = SEC;
/// How long the balancer waits for the response to a poll after its hold is over.
const ANSWER_TIMEOUT: Time = 500 * MS;
/// The shortest interval between the starts of two polls. Limits the poll rate if the agent always
/// responds at once. Well below the 200 ms after which a watch ends, and below the shortest time
/// within which a drain must be known.
const POLL_INTERVAL_MIN: Time = 20 * MS;
/// The shortest interval between two complete lists that are requested because the agent may have
/// been restarted. The interval is also at least [`COMPLETE_LIST_INTERVAL_PER_ENTRY`] for each
/// entry of the last complete list.
const COMPLETE_LIST_INTERVAL_MIN: Time = 60 * SEC;
/// The shortest interval between two such complete lists, for each entry. An entry has about 164
/// bytes, so complete lists take at most 1 KB/s, half of a balancer's budget for control traffic.
const COMPLETE_LIST_INTERVAL_PER_ENTRY: Time = 160 * MS;

/// Watches the endpoint list and sends its updates to the dispatcher. Starts with the changes since
/// `known_version`, or with the complete list if that is `None`. Never returns.
pub fn watch(
    known_version: Option<u64>,
    context: &DiscoveryContext,
    dispatcher: &Sender<DispatcherMessage>,
) {
    let mut watch = EndpointWatch::new(known_version, context, dispatcher);
    loop {
        watch.poll_once();
    }
}

struct EndpointWatch<'a> {
    context: &'a DiscoveryContext,
    dispatcher: &'a Sender<DispatcherMessage>,
    rng: WyRand,
    client: AgentClient<'a>,
    /// The known version of the list; `None` if the next poll requests the complete list.
    version: Option<u64>,
    /// The revision of the agent's address at the last poll.
    agent_revision: u64,
    /// The number of failed polls since the last successful one.
    failures: u32,
    shortened_backoffs: ShortenedBackoffs,
    /// Whether the next poll starts a watch: it is the first poll, or the previous one failed or
    /// was interrupted.
    begins_watch: bool,
    /// Whether any poll has succeeded.
    has_been_answered: bool,
    /// The earliest time at which a complete list may be requested because the agent may have been
    /// restarted.
    next_complete_list_at: Time,
}

impl<'a> EndpointWatch<'a> {
    fn new(
        known_version: Option<u64>,
        context: &'a DiscoveryContext,
        dispatcher: &'a Sender<DispatcherMessage>,
    ) -> Self {
        EndpointWatch {
            context,
            dispatcher,
            rng: WyRand::new_seed(context.seed),
            client: AgentClient::new(context),
            version: known_version,
            agent_revision: 0,
            failures: 0,
            shortened_backoffs: ShortenedBackoffs::default(),
            begins_watch: true,
            has_been_answered: false,
            next_complete_list_at: 0,
        }
    }

    /// Makes one poll, applies its result and sleeps until the next poll may start.
    fn poll_once(&mut self) {
        let location = self.context.agent.location();
        self.reset_on_address_change(&location);
        let poll = self.next_poll();
        let result = self.client.poll(&location, &poll);
        self.begins_watch = result.is_err();
        match result {
            Ok(update) => {
                self.apply_update(update, &poll);
                if clock::now() < poll.started_at + POLL_INTERVAL_MIN {
                    sleep(POLL_INTERVAL_MIN);
                }
            }
            Err(PollError::AddressChanged) => {}
            Err(PollError::NoDescriptor) => {
                warn!("no file descriptor available for a discovery poll");
                sleep(BACKOFF_MIN);
            }
            Err(PollError::Failed(failure)) => {
                let failed = self.record_failure(&failure, &poll);
                self.back_off(&failed, &location);
            }
        }
    }

    /// Restarts the watch if the agent's address has changed. Another agent has its own version
    /// numbers, so its complete list is requested. The old list stays in use until that arrives.
    fn reset_on_address_change(&mut self, location: &Location) {
        if location.revision == self.agent_revision {
            return;
        }
        info!(agent = %location.address, "discovery agent address changed");
        self.agent_revision = location.revision;
        self.version = None;
        self.client.disconnect();
        self.begins_watch = true;
        self.failures = 0;
    }

    fn next_poll(&self) -> Poll {
        let started_at = clock::now();
        let interval_max = self.context.settings.current().endpoint_poll_interval_max;
        let is_shared = interval_max.is_some();
        // A service that all balancers share is excluded: after it recovers, complete lists for all
        // balancers would fill its queue.
        let after_restart =
            self.client.restart_suspected && !is_shared && started_at >= self.next_complete_list_at;
        let from_version = self.version.filter(|_| !after_restart);
        // The first poll of a watch at a shared service isn't held, so that it takes no longer than
        // its wait in the service's queue.
        let is_queued = self.begins_watch && is_shared;
        let hold = if is_queued || from_version.is_none() {
            0
        } else {
            WATCH_HOLD
        };
        let timeout = if is_queued {
            QUEUE_TIMEOUT
        } else {
            ANSWER_TIMEOUT
        };
        Poll {
            started_at,
            from_version,
            hold,
            deadline: started_at + hold + timeout,
            after_restart,
            interval_max,
        }
    }

    fn apply_update(&mut self, update: ListUpdate, poll: &Poll) {
        if self.failures > 0 {
            info!(failures = self.failures, "discovery recovered");
        }
        self.failures = 0;
        self.record_version(&update, poll);
        // The first update goes to the dispatcher even if it is empty, since it shows that the list
        // is watched from then on.
        let is_first = !mem::replace(&mut self.has_been_answered, true);
        if is_first || update.is_complete || !update.entries.is_empty() {
            self.dispatcher.send(DispatcherMessage::EndpointsUpdated {
                entries: update.entries,
                is_complete: update.is_complete,
            });
        }
    }

    fn record_version(&mut self, update: &ListUpdate, poll: &Poll) {
        let version = update.version;
        let is_complete = update.is_complete;
        let entries = update.entries.len();
        debug!(version, is_complete, entries, "endpoint list update");
        // If the agent has restarted its version numbers, changes under numbers up to the known
        // version would never arrive. The complete list is requested instead.
        let has_restarted_versions =
            !is_complete && poll.from_version.is_some_and(|from| version < from);
        self.version = (!has_restarted_versions).then_some(version);
        if is_complete {
            self.client.restart_suspected = false;
        }
        if is_complete && poll.after_restart {
            let interval = COMPLETE_LIST_INTERVAL_PER_ENTRY * entries as Time;
            self.next_complete_list_at = poll.started_at + interval.max(COMPLETE_LIST_INTERVAL_MIN);
        }
    }

    /// Records a failed poll.
    fn record_failure(&mut self, failure: &PollFailure, poll: &Poll) -> FailedPoll {
        if self.failures == 0 {
            warn!(error = %failure, "discovery poll failed");
            self.dispatcher.send(DispatcherMessage::EndpointPollFailed);
        }
        let failed = FailedPoll {
            kind: failure.kind(),
            duration: clock::now() - poll.started_at,
            failures_before: self.failures,
            interval_max: poll.interval_max,
        };
        debug!(
            error = %failure,
            path = poll.path(),
            duration_ms = failed.duration / MS,
            "discovery poll will be retried"
        );
        self.failures = self.failures.saturating_add(1);
        failed
    }

    /// Waits until the next poll may start. A reload shortens the wait, and a new address of the
    /// agent ends it.
    fn back_off(&mut self, failed: &FailedPoll, location: &Location) {
        let mailbox = Mailbox::new();
        let notifier = Notifier {
            sender: mailbox.sender(),
            wait: WaitKind::Backoff,
        };
        let agent = &self.context.agent;
        let mut until = Time::MAX;
        while agent.notify_on_reload(notifier.clone(), location) {
            let now = clock::now();
            let backoff = self.draw_backoff(failed, now);
            debug!(backoff_ms = backoff / MS, "backoff of the discovery poll");
            until = until.min(now + backoff);
            if mailbox.next(until).is_none() {
                return;
            }
        }
    }

    /// Draws the backoff: random if one service answers the polls of all balancers, else
    /// [`BACKOFF_MIN`].
    fn draw_backoff(&mut self, failed: &FailedPoll, now: Time) -> Time {
        let Some(interval_max) = failed.interval_max else {
            return BACKOFF_MIN;
        };
        let limit = backoff_limit(failed.kind, failed.duration, interval_max)
            .min(backoff_span(failed.duration, failed.failures_before));
        let reloads = self.context.agent.location().reloads;
        let limit = self.shortened_backoffs.shorten(limit, &reloads, now);
        draw_backoff(
            failed.duration,
            failed.failures_before,
            limit,
            &mut self.rng,
        )
    }
}

/// A failed poll, as far as the backoff depends on it.
struct FailedPoll {
    kind: FailureKind,
    duration: Time,
    /// The number of failed polls in a row before this one.
    failures_before: u32,
    /// The longest interval between polls; `None` if the agent isn't shared.
    interval_max: Option<Time>,
}

fn sleep(time: Time) {
    timer::sleep(Duration::from_nanos(time));
}
