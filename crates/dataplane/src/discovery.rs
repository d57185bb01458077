//! Discovery: one coroutine that watches the list of servers over HTTP/1.1 and hands what it is told to the
//! desk. It owns the connection to the agent and the version of the list. It must never judge a server, and never stop
//! asking: an agent that is silent, refuses or talks nonsense is asked again soon.

mod agent;
mod backoff;
mod http;
mod list;

use std::io::ErrorKind;
use std::sync::Arc;
use std::time::Duration;

use nanorand::WyRand;
use nettlemux_policy::{MS, SEC, Time};
use tracing::{debug, info, warn};

pub use self::agent::Agent;
use self::agent::Location;
use self::backoff::{Failure, QUEUE_TIMEOUT, RETRY_MIN, pause, pause_limit};
pub use self::list::{ListUpdate, update_of};
use crate::buffers::BufferPool;
use crate::clock;
use crate::connection::{Connection, ConnectionError};
use crate::descriptors::DescriptorBudget;
use crate::mailbox::{Mailbox, Sender};
use crate::messages::DispatcherMessage;
use crate::runtime_settings::SharedSettings;

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

/// What the watch needs.
pub struct Context {
    pub agent: Arc<Agent>,
    pub settings: Arc<SharedSettings>,
    /// For random draws.
    pub seed: u64,
    pub descriptors: Arc<DescriptorBudget>,
    pub buffers: Arc<BufferPool>,
}

/// Watches for as long as the desk listens, from the version that is known.
pub fn watch(known: Option<u64>, context: &Context, dispatcher: &Sender<DispatcherMessage>) {
    let mut watcher = Watcher {
        context,
        dispatcher,
        rng: WyRand::new_seed(context.seed),
        connection: None,
        version: known,
        moves: 0,
        failed: 0,
        begins: true,
        answered: false,
        restarted: false,
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
    /// Kept from the last call.
    connection: Option<Connection>,
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
    /// The agent may have been started anew: its list may be another under the very number that we have, which nothing
    /// shows.
    restarted: bool,
    /// Before that no whole list is asked for on that account.
    next_whole: Time,
}

/// One call.
struct Request {
    started: Time,
    /// The version to ask from; none for the whole list.
    from: Option<u64>,
    hold: Time,
    deadline: Time,
    /// It asks for the whole list since the agent may have been started anew.
    after_restart: bool,
    /// Where one service is asked by all balancers: the longest pause that the settings allow.
    ask_within: Option<Time>,
}

impl Request {
    fn path(&self) -> String {
        match self.from {
            Some(version) => format!("/api/targets?from={version}&hold_ms={}", self.hold / MS),
            None => "/api/targets".to_string(),
        }
    }
}

/// Why a call brought no list.
enum CallError {
    /// The agent has moved while we waited.
    Moved,
    /// No descriptor is left for it.
    NoDescriptor,
    Failed(ConnectionError),
}

impl From<ConnectionError> for CallError {
    fn from(error: ConnectionError) -> Self {
        match error {
            // Whoever waits for the agent is told to stop only when that has moved.
            ConnectionError::Stopped => CallError::Moved,
            error => CallError::Failed(error),
        }
    }
}

impl Watcher<'_> {
    /// Makes one call, hands on what it brings and waits until the next may be made.
    fn call_once(&mut self) {
        let location = self.context.agent.location();
        self.follow(&location);
        let request = self.request();
        let result = self.call(&location, &request);
        self.begins = result.is_err();
        match result {
            Ok(update) => {
                self.updated(update, &request);
                if clock::now() < request.started + CALL_INTERVAL_MIN {
                    sleep(CALL_INTERVAL_MIN);
                }
            }
            Err(CallError::Moved) => self.connection = None,
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
        self.connection = None;
        self.begins = true;
        self.failed = 0;
    }

    fn request(&self) -> Request {
        let started = clock::now();
        let ask_within = self.context.settings.current().endpoint_poll_interval_max;
        // Where one service is asked by all, a whole list for each after its failure would fill its queue.
        let after_restart = self.restarted && ask_within.is_none() && started >= self.next_whole;
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

    fn call(&mut self, location: &Location, request: &Request) -> Result<ListUpdate, CallError> {
        let connection = match self.connection.take() {
            Some(connection) if connection.is_idle() => connection,
            kept => {
                // Guards against an agent that was started anew between two calls: its end shows here and nowhere else.
                self.restarted |= kept.is_some();
                drop(kept);
                self.connect(location, request.deadline)?
            }
        };
        let (path, host) = (request.path(), location.address);
        let text =
            format!("GET {path} HTTP/1.1\r\nHost: {host}\r\nAccept: application/json\r\n\r\n");
        connection.write(text.as_bytes(), request.deadline)?;
        let response = http::read_response(&connection, &self.context.buffers, request.deadline)?;
        let update = list::parse(&response.body).map_err(http::invalid)?;
        if response.keep_alive {
            self.connection = Some(connection);
        }
        Ok(update)
    }

    fn connect(&self, location: &Location, deadline: Time) -> Result<Connection, CallError> {
        let slot = self
            .context
            .descriptors
            .try_acquire()
            .ok_or(CallError::NoDescriptor)?;
        let mailbox = Mailbox::new();
        if !self.context.agent.notify(mailbox.sender(), location) {
            return Err(CallError::Moved);
        }
        Ok(Connection::dial(mailbox, location.address, slot, deadline)?)
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
            self.restarted = false;
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
        self.connection = None;
        if self.failed == 0 {
            warn!(%error, "discovery fails");
            self.dispatcher.send(DispatcherMessage::EndpointPollFailed);
        }
        self.restarted |= ended(error);
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

/// Whether the agent, or its machine, has ended the connection or takes none: it may be another process when it answers. The
/// system tells of a connection's end in many ways, and of our own trouble in few.
fn ended(error: &ConnectionError) -> bool {
    match error {
        ConnectionError::Closed => true,
        ConnectionError::System(error) => !matches!(
            error.kind(),
            ErrorKind::Interrupted | ErrorKind::OutOfMemory | ErrorKind::AddrNotAvailable
        ),
        _ => false,
    }
}

fn sleep(time: Time) {
    may::coroutine::sleep(Duration::from_nanos(time));
}
