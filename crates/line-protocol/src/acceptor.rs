//! The first stage: takes in connections and reads each one's first line. It owns the listener, the
//! lobby of those whose line hasn't come or who are on their way out, and, until it hands them on,
//! the connections' descriptors. It must never drop a whole line unanswered, and never let those
//! who say nothing keep others out: the lobby is bounded, and the oldest in it give way.

use std::collections::BTreeMap;
use std::io::{self, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use may::io::{CoIo, WaitIo};
use nettlemux_dataplane::buffers::Buffer;
use nettlemux_dataplane::clock;
use nettlemux_dataplane::connection::{Connection, ConnectionError, LINGER_TIMEOUT};
use nettlemux_dataplane::dataplane::Dataplane;
use nettlemux_dataplane::descriptors::DescriptorPermit;
use nettlemux_dataplane::mailbox::Sender;
use nettlemux_dataplane::messages::FlowEvent;
use nettlemux_dataplane::pipeline;
use nettlemux_dataplane::retry;
use nettlemux_dataplane::socket::set_nonblocking;
use nettlemux_dataplane::wire::{self, LineBounds};
use nettlemux_policy::{MS, Time};
use socket2::{Domain, Socket, Type};
use tracing::{debug, warn};

use crate::admit::admit;
use crate::first_line::FirstLineSettings;

/// Clients that may wait to be accepted: all of a balancer that died may come at once, and one that
/// finds the queue full tries again only after a second.
const WAITING: i32 = 4096;
/// What hasn't been asked by then won't be: whoever connects and says nothing is owed a word within
/// 3 s.
const FIRST_LINE: Time = 2500 * MS;
/// One that has been in the lobby for less isn't sent away: its line may be on its way.
const STAY: Time = 30 * MS;
/// Accepted at one go, and the pause before the next: guards against a flood that keeps the worker
/// from flows, since the worker looks at sockets only once nobody is ready to run.
const TURN: usize = 8;
const PAUSE: Duration = Duration::from_millis(2);

/// Those whose first line hasn't come, or who have had their answer, by their order of arrival.
#[derive(Default)]
pub struct PendingConnections {
    inside: Mutex<(u64, BTreeMap<u64, PendingEntry>)>,
}

struct PendingEntry {
    since: Time,
    bell: Sender<FlowEvent>,
    told: bool,
}

impl PendingConnections {
    fn inside(&self) -> MutexGuard<'_, (u64, BTreeMap<u64, PendingEntry>)> {
        self.inside.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn enter(self: &Arc<Self>, bell: Sender<FlowEvent>) -> PendingConnection {
        let mut inside = self.inside();
        inside.0 += 1;
        let number = inside.0;
        inside.1.insert(
            number,
            PendingEntry {
                since: clock::now(),
                bell,
                told: false,
            },
        );
        PendingConnection {
            pending_connections: self.clone(),
            number,
        }
    }

    /// Tells the oldest to give way, as many as come in at one go.
    fn make_room(&self, now: Time) {
        let mut inside = self.inside();
        let old = inside
            .1
            .values_mut()
            .filter(|seat| !seat.told && seat.since + STAY <= now);
        for seat in old.take(TURN) {
            seat.told = true;
            seat.bell.send(FlowEvent::Stop);
        }
    }
}

/// One in the lobby; it leaves when this is dropped.
pub struct PendingConnection {
    pending_connections: Arc<PendingConnections>,
    number: u64,
}

impl Drop for PendingConnection {
    fn drop(&mut self) {
        self.pending_connections.inside().1.remove(&self.number);
    }
}

/// A connection with its first line.
pub struct AcceptedConnection {
    pub caller: Connection,
    _guest: PendingConnection,
    pub bytes: Buffer,
    pub held: usize,
    /// The line's length without its end, and where the next begins.
    pub line: LineBounds,
    /// When the line was whole.
    pub at: Time,
    /// When all that comes before a flow must be over.
    pub until: Time,
}

impl AcceptedConnection {
    /// Answers what can't be used, and ends.
    pub fn refuse(self, answer: &[u8]) {
        self.refuse_within(answer, LINGER_TIMEOUT);
    }

    fn refuse_within(self, answer: &[u8], span: Time) {
        let until = clock::now() + span;
        let _ = self.caller.write(answer, until);
        self.caller.close_lingering(until);
    }

    /// Reads the next line; none once it has been refused for want of one.
    pub fn next_line(mut self, dataplane: &Dataplane) -> Option<Self> {
        // At the limit nobody is waited for.
        let full = dataplane.budgets.flows.in_use() >= dataplane.budgets.flows.limit();
        let until = if full { clock::now() } else { self.until };
        let mut read = self
            .caller
            .read_line(&mut self.bytes[..], &mut self.held, until);
        // Told to give way: guards against a whole line that has come and is dropped.
        let gives_way = matches!(read, Err(ConnectionError::Stopped));
        if gives_way {
            read = self
                .caller
                .read_line(&mut self.bytes[..], &mut self.held, 0);
        }
        match read {
            Ok(line) => {
                (self.line, self.at) = (line, clock::now());
                return Some(self);
            }
            Err(ConnectionError::LineTooLong) => {
                warn!("overlong first line");
                self.refuse(wire::REPLY_FAILED);
            }
            // Never whole, or its place is needed: nothing has run.
            Err(e @ (ConnectionError::Deadline | ConnectionError::Stopped)) => {
                debug!(error = %e, held = self.held, "no first line");
                // Guards against a line that comes just now: a close over it resets the connection,
                // and the answer goes with the reset. Not where its place is needed: a flood of
                // silent ones would keep the others out.
                let span = if full || gives_way { 0 } else { LINGER_TIMEOUT };
                self.refuse_within(wire::rejection(None).as_bytes(), span);
            }
            // Closed: there is nobody to answer.
            Err(e) => debug!(error = %e, held = self.held, "closed before a first line"),
        }
        None
    }
}

/// Begins to listen. Guards against a start that fails since the last run's sockets are not quite
/// gone, the address isn't up yet, or the system wants descriptors or memory at this moment.
///
/// # Errors
/// It can't listen there, now and a few seconds later.
pub fn listen(at: SocketAddr) -> io::Result<CoIo<TcpListener>> {
    retry::retry_transient(|| {
        let socket = Socket::new(Domain::for_address(at), Type::STREAM, None)?;
        socket.set_reuse_address(true)?;
        socket.bind(&at.into())?;
        socket.listen(WAITING)?;
        Ok(CoIo::new(socket.into())?)
    })
}

/// What all connections of this front share.
pub struct Acceptor {
    pub dataplane: Arc<Dataplane>,
    known: Mutex<Arc<FirstLineSettings>>,
    pub pending_connections: Arc<PendingConnections>,
}

impl Acceptor {
    pub fn new(dataplane: Arc<Dataplane>, known: FirstLineSettings) -> Arc<Self> {
        Arc::new(Acceptor {
            dataplane,
            known: Mutex::new(Arc::new(known)),
            pending_connections: Arc::default(),
        })
    }

    /// First lines that come from now on are read by this; how the door tells clients apart stays.
    pub fn change(&self, known: FirstLineSettings) {
        let mut now = self.known.lock().unwrap_or_else(PoisonError::into_inner);
        *now = Arc::new(FirstLineSettings {
            by: now.by,
            ..known
        });
    }

    fn known(&self) -> Arc<FirstLineSettings> {
        self.known
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone()
    }

    /// One client's connection, from its first byte to its last.
    fn serve(&self, stream: TcpStream, slot: DescriptorPermit) {
        let Some(taken) = self.first_line(stream, slot) else {
            return;
        };
        if let Some(admitted) = admit(&self.dataplane, &self.known(), taken) {
            pipeline::serve(&self.dataplane, admitted);
        }
    }

    fn first_line(&self, stream: TcpStream, slot: DescriptorPermit) -> Option<AcceptedConnection> {
        let at = clock::now();
        if let Err(e) = set_nonblocking(&stream, at + FIRST_LINE) {
            // Its buffer is empty, so this doesn't block.
            warn!(error = %e, "a connection can't be set up");
            let _ = (&stream).write_all(wire::rejection(None).as_bytes());
            return None;
        }
        let caller = Connection::new(stream, slot);
        let guest = self.pending_connections.enter(caller.mailbox.sender());
        let bytes = self.dataplane.buffers.take();
        let taken = AcceptedConnection {
            caller,
            _guest: guest,
            bytes,
            held: 0,
            line: LineBounds::default(),
            at,
            until: at + FIRST_LINE,
        };
        taken.next_line(&self.dataplane)
    }
}

/// Accepts for as long as the program runs.
pub fn accept(front: &Arc<Acceptor>, listener: &CoIo<TcpListener>) {
    let mut turn = 0;
    loop {
        // Taken before a connection is: one that there is no place for waits in the listener's
        // queue.
        let Some(slot) = front.dataplane.budgets.pending.try_acquire() else {
            front.pending_connections.make_room(clock::now());
            may::coroutine::sleep(PAUSE);
            continue;
        };
        match listener.inner().accept() {
            Ok((stream, _)) => {
                let front = front.clone();
                may::go!(move || front.serve(stream, slot));
                turn += 1;
                if turn == TURN {
                    turn = 0;
                    may::coroutine::sleep(PAUSE);
                }
            }
            Err(e) if e.kind() == io::ErrorKind::WouldBlock => {
                drop(slot);
                turn = 0;
                listener.wait_io();
            }
            Err(e)
                if matches!(
                    e.kind(),
                    io::ErrorKind::Interrupted | io::ErrorKind::ConnectionAborted
                ) => {}
            Err(e) => {
                // Out of descriptors or memory, in this process or the whole machine: it may pass.
                warn!(error = %e, "can't accept");
                may::coroutine::sleep(Duration::from_millis(20));
            }
        }
    }
}
