//! Probes: a coroutine for each server that is being asked for its load, or whose connection stays open for the next
//! time, since a new one costs the server work; it tells the desk what came of it. It owns that connection. Servers that no
//! descriptor is left for wait in a queue. It must never probe by itself and never hold up anyone but itself.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;

use may::sync::mpsc::{Receiver, Sender as Line, channel};
use nettlemux_policy::{LoadReport, MS, ServerId, Time};
use tracing::{debug, warn};

use crate::buffers::BufferPool;
use crate::clock;
use crate::connection::{Connection, ConnectionError};
use crate::descriptors::{DescriptorBudget, DescriptorPermit};
use crate::mailbox::{Mailbox, Sender};
use crate::messages::{DispatcherMessage, Server};
use crate::runtime_settings::SharedSettings;
use crate::wire::{self, HealthCheckAnswer};

/// A probe that has brought nothing by then has failed. Well inside the module's shortest probe interval, and
/// far above what a server that still serves messages takes to answer.
const LONGEST: Time = 500 * MS;

/// Descriptors that probes leave to discovery: its call, and the next when that is dropped.
const WATCH: usize = 2;
/// And those that no probe keeps between two of its own.
const IN_TURN: usize = 6;

#[derive(Clone)]
pub struct HealthCheckContext {
    pub dispatcher: Sender<DispatcherMessage>,
    pub descriptors: Arc<DescriptorBudget>,
    pub buffers: Arc<BufferPool>,
    pub settings: Arc<SharedSettings>,
}

pub struct HealthChecker {
    means: HealthCheckContext,
    /// Those that are being asked, or whose connection stays open.
    lines: BTreeMap<ServerId, Line<Arc<Server>>>,
    /// Those that no descriptor was left for, in order.
    queue: VecDeque<(ServerId, Arc<Server>)>,
}

impl HealthChecker {
    pub fn new(means: HealthCheckContext) -> Self {
        HealthChecker {
            means,
            lines: BTreeMap::new(),
            queue: VecDeque::new(),
        }
    }

    /// Asks it now, or once there is a descriptor.
    pub fn health_check(&mut self, server_id: ServerId, server: Arc<Server>) {
        if self
            .lines
            .get(&server_id)
            .is_some_and(|line| line.send(server.clone()).is_ok())
        {
            return;
        }
        match self
            .queue
            .iter_mut()
            .find(|(waiting, _)| *waiting == server_id)
        {
            Some((_, waiting)) => *waiting = server,
            None => self.queue.push_back((server_id, server)),
        }
        self.go_on();
    }

    /// Asks those that wait, as far as there are descriptors. Guards against more servers than descriptors, of which only
    /// the first would ever be asked, and against a stack for each of them: one is held only while there is a connection.
    pub fn go_on(&mut self) {
        while !self.queue.is_empty() {
            let Some(slot) = self.means.descriptors.try_acquire_leaving(WATCH) else {
                return;
            };
            let Some((server_id, server)) = self.queue.pop_front() else {
                return;
            };
            let (line, asked) = channel();
            let means = self.means.clone();
            may::go!(move || serve(server_id, server, slot, &asked, &means));
            self.lines.insert(server_id, line);
        }
    }

    /// Whether any waits for a descriptor.
    pub fn waits(&self) -> bool {
        !self.queue.is_empty()
    }

    /// Lets go of servers that are no longer listed, and of the connections to them.
    pub fn keep(&mut self, listed: impl Fn(ServerId) -> bool) {
        self.lines.retain(|server_id, _| listed(*server_id));
        self.queue.retain(|(server_id, _)| listed(*server_id));
    }
}

/// Asks one server, and again when told to, for as long as its connection may stay open.
fn serve(
    server_id: ServerId,
    mut server: Arc<Server>,
    slot: DescriptorPermit,
    asked: &Receiver<Arc<Server>>,
    means: &HealthCheckContext,
) {
    let mut slot = Some(slot);
    let mut open: Option<(Arc<Server>, Connection)> = None;
    loop {
        let until = clock::now() + LONGEST;
        // A connection that was left open may have ended meanwhile: one more try over a new one.
        let kept = open
            .take()
            .filter(|(to, caller)| Arc::ptr_eq(to, &server) && caller.is_idle());
        let again = kept.is_some();
        let mut result = health_check(kept.map(|k| k.1), slot.take(), &server, means, until);
        if again
            && result
                .as_ref()
                .is_err_and(|e| !matches!(e, ProbeError::Failed(ConnectionError::Deadline)))
        {
            result = health_check(None, None, &server, means, until);
        }
        match result {
            Ok((caller, passed, report)) => {
                // Guards against more servers than descriptors: the last few are used in turn.
                open = caller
                    .filter(|_| means.descriptors.has_more_than(IN_TURN))
                    .map(|caller| (server.clone(), caller));
                means.dispatcher.send(DispatcherMessage::HealthChecked {
                    server_id,
                    passed,
                    report,
                });
            }
            // Our own want must not count against the server: it is asked when it is due again.
            Err(ProbeError::NoDescriptor) => {
                warn!(server = server.name, "no descriptor left for a probe");
            }
            Err(ProbeError::Failed(e)) => {
                debug!(server = server.name, error = %e, "probe fails");
                means.dispatcher.send(DispatcherMessage::HealthChecked {
                    server_id,
                    passed: false,
                    report: LoadReport::default(),
                });
            }
        }
        // One that was asked for meanwhile isn't left out where the connection doesn't stay open.
        let next = if open.is_some() {
            asked.recv().ok()
        } else {
            asked.try_recv().ok()
        };
        match next {
            Some(next) => server = next,
            None => return,
        }
    }
}

/// Why a probe has brought nothing.
enum ProbeError {
    /// All of our descriptors are in use.
    NoDescriptor,
    Failed(ConnectionError),
}

impl From<ConnectionError> for ProbeError {
    fn from(error: ConnectionError) -> Self {
        ProbeError::Failed(error)
    }
}

/// One question: the connection, where nothing came after the answer, whether it passed, and the report.
fn health_check(
    kept: Option<Connection>,
    slot: Option<DescriptorPermit>,
    server: &Server,
    means: &HealthCheckContext,
    until: Time,
) -> Result<(Option<Connection>, bool, LoadReport), ProbeError> {
    let caller = match kept {
        Some(caller) => caller,
        None => {
            let slot = slot
                .or_else(|| means.descriptors.try_acquire_leaving(WATCH))
                .ok_or(ProbeError::NoDescriptor)?;
            Connection::dial(Mailbox::new(), server.address, slot, until)?
        }
    };
    let settings = means.settings.current();
    caller.write(
        if settings.load_reports_on_request {
            wire::REQUEST_LOAD_REPORT
        } else {
            wire::REQUEST_PING
        },
        until,
    )?;
    let mut bytes = means.buffers.take();
    let mut held = 0;
    let line = caller.read_line(&mut bytes[..], &mut held, until)?;
    let answer = HealthCheckAnswer::parse(&bytes[..line.length], &settings.report_format);
    debug!(server = server.name, answer = %String::from_utf8_lossy(&bytes[..line.length]), "probe");
    Ok((
        (line.next == held).then_some(caller),
        answer.passed,
        answer.report,
    ))
}
