//! The loop of the watch: which call is made next, what becomes of its answer, and what is handed to the desk.

use std::time::Duration;

use nanorand::WyRand;
use nettlemux_policy::{MS, SEC, Time};
use tracing::{debug, info, warn};

use super::Context;
use super::agent::Location;
use super::backoff::{Failure, QUEUE_TIMEOUT, RETRY_MIN, pause, pause_limit};
use super::list::ListUpdate;
use super::poll::{AgentClient, CallError, Request};
use crate::clock;
use crate::connection::ConnectionError;
use crate::mailbox::Sender;
use crate::messages::DispatcherMessage;

/// How long one call is held. Short, since a silent agent shows only once a hold is over: what it should have
/// told counts as told 2 s after.
const WATCH_HOLD: Time = SEC;
/// How long past its hold a call is waited for.
const ANSWER_TIMEOUT: Time = 500 * MS;
/// Between the starts of two calls: guards against an agent that answers at once and without end, each time with nothing
/// new or with all that it has. Well inside the 200 ms, and the shortest time in which a drain has to be kept.
const CALL_INTERVAL_MIN: Time = 20 * MS;
/// Between two whole lists that are asked for since the agent may have been started anew: at least so long, and so long for
/// each entry of the last. An entry has some 164 bytes, so they take 1 KB a second at the most, half of what a balancer may
/// spend on control; 12,000 entries are 2 MB and 28 to 47 ms of work. One that is put off is asked for later.
const WHOLE_INTERVAL_MIN: Time = 60 * SEC;
const WHOLE_INTERVAL_PER_ENTRY: Time = 160 * MS;

/// Watches for as long as the desk listens, from the version that is known.
pub fn watch(known: Option<u64>, context: &Context, dispatcher: &Sender<DispatcherMessage>) {
    let mut watcher = Watcher {
        context,
        dispatcher,
        rng: WyRand::new_seed(context.seed),
        client: AgentClient::new(context),
        version: known,
        moves: 0,
        failed: 0,
        begins: true,
        answered: false,
        next_whole: 0,
    };
    loop {
        watcher.call_once();
    }
}

struct Watcher<'a> {
    context: &'a Context,
    dispatcher: &'a Sender<DispatcherMessage>,
    rng: WyRand,
    client: AgentClient<'a>,
    /// The version of the list that we have; none where all of it is to be asked for.
    version: Option<u64>,
    /// How often the agent had moved when it was last called.
    moves: u64,
    /// Calls that failed since the last that was answered.
    failed: u32,
    /// The next call begins a watch, or is the first.
    begins: bool,
    /// A call has been answered.
    answered: bool,
    /// Before that no whole list is asked for on that account.
    next_whole: Time,
}

impl Watcher<'_> {
    /// Makes one call, hands on what it brings and waits until the next may be made.
    fn call_once(&mut self) {
        let location = self.context.agent.location();
        self.follow(&location);
        let request = self.request();
        let result = self.client.call(&location, &request);
        self.begins = result.is_err();
        match result {
            Ok(update) => {
                self.updated(update, &request);
                if clock::now() < request.started + CALL_INTERVAL_MIN {
                    sleep(CALL_INTERVAL_MIN);
                }
            }
            Err(CallError::Moved) => {}
            Err(CallError::NoDescriptor) => {
                warn!("no descriptor left for a call to discovery");
                sleep(RETRY_MIN);
            }
            Err(CallError::Failed(error)) => {
                let pause = self.failed(&error, &request);
                sleep(pause);
            }
        }
    }

    /// Another agent has another count of versions: it is asked for all that it has. Till then the old list holds.
    fn follow(&mut self, location: &Location) {
        if location.moves == self.moves {
            return;
        }
        info!(agent = %location.address, "discovery has moved");
        self.moves = location.moves;
        self.version = None;
        self.client.disconnect();
        self.begins = true;
        self.failed = 0;
    }

    fn request(&self) -> Request {
        let started = clock::now();
        let ask_within = self.context.settings.current().endpoint_poll_interval_max;
        // Where one service is asked by all, a whole list for each after its failure would fill its queue.
        let after_restart =
            self.client.restarted && ask_within.is_none() && started >= self.next_whole;
        let from = self.version.filter(|_| !after_restart);
        // A call that begins a watch there isn't held, so that its wait in the queue is all that it takes.
        let queued = self.begins && ask_within.is_some();
        let hold = if queued || from.is_none() {
            0
        } else {
            WATCH_HOLD
        };
        let timeout = if queued {
            QUEUE_TIMEOUT
        } else {
            ANSWER_TIMEOUT
        };
        Request {
            started,
            from,
            hold,
            deadline: started + hold + timeout,
            after_restart,
            ask_within,
        }
    }

    /// Takes over what a call has brought.
    fn updated(&mut self, update: ListUpdate, request: &Request) {
        let ListUpdate {
            version,
            is_complete,
            entries,
        } = update;
        if self.failed > 0 {
            info!(failed = self.failed, "discovery answers again");
        }
        self.failed = 0;
        debug!(version, is_complete, entries = entries.len(), "list");
        // Guards against an agent that has begun to count anew: what it has told under numbers that we think are
        // past would never come.
        let counts_anew = !is_complete && request.from.is_some_and(|from| version < from);
        self.version = (!counts_anew).then_some(version);
        if is_complete {
            self.client.restarted = false;
            if request.after_restart {
                let interval = WHOLE_INTERVAL_PER_ENTRY * entries.len() as Time;
                self.next_whole = request.started + interval.max(WHOLE_INTERVAL_MIN);
            }
        }
        // The first answer is told even if nothing has changed: from then on the list is watched.
        let first = !std::mem::replace(&mut self.answered, true);
        if first || is_complete || !entries.is_empty() {
            self.dispatcher.send(DispatcherMessage::EndpointsUpdated {
                entries,
                is_complete,
            });
        }
    }

    /// Notes a call that failed; how long to wait before the next.
    fn failed(&mut self, error: &ConnectionError, request: &Request) -> Time {
        let malformed = matches!(error, ConnectionError::Malformed(_));
        let failure = if malformed {
            Failure::BadAnswer
        } else {
            Failure::NoAnswer
        };
        if self.failed == 0 {
            warn!(%error, "discovery fails");
            self.dispatcher.send(DispatcherMessage::EndpointPollFailed);
        }
        let took = clock::now() - request.started;
        let pause = request.ask_within.map_or(RETRY_MIN, |ask_within| {
            pause(
                took,
                self.failed,
                pause_limit(failure, took, ask_within),
                &mut self.rng,
            )
        });
        debug!(%error, path = request.path(), took_ms = took / MS, pause_ms = pause / MS, "no list");
        self.failed = self.failed.saturating_add(1);
        pause
    }
}

fn sleep(time: Time) {
    may::coroutine::sleep(Duration::from_nanos(time));
}
