//! Sockets and what wakes those that own them. A [`Socket`] owns one descriptor and gives it back when it is
//! dropped, here and nowhere else. Beside each stands a readiness watcher, a coroutine that waits for the socket and
//! notifies its owner, so that one coroutine can own both sides of a flow and wait for orders and the time as well. Calls
//! that the system refuses for a moment are made again a little later. Nothing here reads a protocol. Only the calls of
//! [`Caller`] wait.

use std::fmt;
use std::io::{self, ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, OnceLock, PoisonError};
use std::time::Duration;

use may::io::{CoIo, WaitIo};
use nettlemux_policy::{MS, SEC, Time};
use socket2::{Domain, SockRef, Type};

use crate::clock;
use crate::mailbox::{Mailbox, Sender};
use crate::messages::FlowEvent;
use crate::pool::Slot;

/// How long a peer that has its answer may take to close.
pub const LINGER: Time = SEC;
/// So much of what a peer sends after its answer is read.
const DRAINED: usize = 64 << 10;
/// How long one that sends more may take to read its answer before the reset: it reads while it sends.
const UNREAD: Time = 200 * MS;
/// Until a call is made again that the system has refused for want of something that comes back.
const RETRY_INTERVAL: Duration = Duration::from_millis(10);
/// So often a call is made again at once that a signal has interrupted.
const INTERRUPTIONS_MAX: usize = 16;
/// Errors by which `connect` says that it goes on, or has gone on after an interruption: EISCONN, EALREADY, EINPROGRESS.
const CONNECT_GOES_ON: [i32; 3] = [106, 114, 115];
/// Errors by which the system says that it has no room now: ENOMEM, ENOBUFS. They tell nothing of the connection.
const NO_ROOM_NOW: [i32; 2] = [12, 105];

/// Why a call on a connection has ended without a result.
#[derive(Debug)]
pub enum ConnectionError {
    /// The caller's own deadline has passed.
    Deadline,
    /// The caller was told to stop waiting.
    Stopped,
    /// The peer has ended the connection.
    Closed,
    /// What came can't be used: why.
    Malformed(String),
    /// The system's error; of a connection that stood, it has broken.
    System(io::Error),
}

impl From<io::Error> for ConnectionError {
    fn from(error: io::Error) -> Self {
        ConnectionError::System(error)
    }
}

impl fmt::Display for ConnectionError {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            ConnectionError::Deadline => f.write_str("nothing came in time"),
            ConnectionError::Stopped => f.write_str("told to stop waiting"),
            ConnectionError::Closed => f.write_str("the peer has ended the connection"),
            ConnectionError::Malformed(why) => f.write_str(why),
            ConnectionError::System(error) => error.fmt(f),
        }
    }
}

struct Inner {
    stream: Option<Arc<TcpStream>>,
    /// The stream in the selector, once that has taken it.
    registered: OnceLock<CoIo<Arc<TcpStream>>>,
    notifier: Sender<FlowEvent>,
    slot: Mutex<Slot>,
    closed: AtomicBool,
    notified: AtomicBool,
    /// Somebody waits to notify the owner once the system may have room.
    retrying: AtomicBool,
    reset: AtomicBool,
}

impl Inner {
    fn stream(&self) -> &TcpStream {
        self.stream.as_ref().expect("held until dropped")
    }

    /// The stream in the selector; none where that has no room now.
    fn register(&self) -> Option<&CoIo<Arc<TcpStream>>> {
        if self.registered.get().is_none() {
            let stream = self.stream.clone().expect("held until dropped");
            let registered = CoIo::new(stream).ok()?;
            let _ = self.registered.set(registered);
        }
        self.registered.get()
    }

    fn is_closed(&self) -> bool {
        self.closed.load(Ordering::Acquire)
    }

    /// Once until the socket is looked at: guards against a mailbox filled by a chatty peer.
    fn notify(&self) {
        if !self.notified.swap(true, Ordering::AcqRel) {
            self.notifier.send(FlowEvent::SocketReady);
        }
    }

    /// Notifies the owner whenever something may have happened, until the socket is closed.
    fn watch(&self) {
        while !self.is_closed() {
            let is_late = self.registered.get().is_none();
            match self.register() {
                Some(_) if is_late => {}
                Some(registered) => drop(registered.wait_io()),
                // Guards against a connection that is dropped, with the line that has come on it, since the selector has
                // no room for it at this moment: it is looked at by the clock until then.
                None => may::coroutine::sleep(RETRY_INTERVAL),
            }
            if !self.is_closed() {
                self.notify();
            }
        }
    }
}

impl Drop for Inner {
    fn drop(&mut self) {
        // Left by the selector first, closed second, its slot free last. Guards against a descriptor that is
        // closed, opened again elsewhere under the same number, and only then taken out of the selector.
        drop(self.registered.take().map(CoIo::into_inner));
        drop(self.stream.take());
    }
}

/// One socket.
pub struct Socket {
    inner: Arc<Inner>,
}

impl Socket {
    /// Takes over a stream that doesn't block; `notifier` is told of what happens on it.
    pub fn new(stream: TcpStream, slot: Slot, notifier: Sender<FlowEvent>) -> Self {
        // Small lines must not wait for one another.
        let _ = stream.set_nodelay(true);
        let [closed, notified, retrying, reset] = [const { AtomicBool::new(false) }; 4];
        let (stream, registered, slot) =
            (Some(Arc::new(stream)), OnceLock::new(), Mutex::new(slot));
        let inner = Inner {
            stream,
            registered,
            notifier,
            slot,
            closed,
            notified,
            retrying,
            reset,
        };
        let inner = Arc::new(inner);
        // Before the owner looks for the first time, so that whatever comes after that look is told.
        let _ = inner.register();
        let watched = inner.clone();
        may::go!(move || watched.watch());
        Socket { inner }
    }

    /// Starts to connect, without waiting.
    ///
    /// # Errors
    /// The connection can't be begun: this machine has no means for it, or the peer is known not to be there.
    pub fn dial(to: SocketAddr, slot: Slot, notifier: Sender<FlowEvent>) -> io::Result<Self> {
        let socket = socket2::Socket::new(Domain::for_address(to), Type::STREAM, None)?;
        uninterrupted(|| socket.set_nonblocking(true))?;
        match uninterrupted(|| socket.connect(&to.into())) {
            Err(e)
                if !e
                    .raw_os_error()
                    .is_some_and(|e| CONNECT_GOES_ON.contains(&e)) =>
            {
                Err(e)
            }
            _ => Ok(Socket::new(socket.into(), slot, notifier)),
        }
    }

    /// Holds its descriptor by another right from now on.
    pub fn hold(&self, slot: Slot) {
        *self
            .inner
            .slot
            .lock()
            .unwrap_or_else(PoisonError::into_inner) = slot;
    }

    /// The right by which it holds its descriptor.
    pub fn slot(&self) -> Slot {
        self.inner
            .slot
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone()
    }

    /// Whether a connection that was dialled is up by now.
    ///
    /// # Errors
    /// It won't come up.
    pub fn connected(&self) -> io::Result<bool> {
        let stream = self.inner.stream();
        if let Some(e) = stream.take_error()? {
            return Err(e);
        }
        match stream.peer_addr() {
            Ok(_) => Ok(true),
            Err(e) if e.kind() == ErrorKind::NotConnected => Ok(false),
            Err(e) if has_no_room(&e) => {
                self.retry_later();
                Ok(false)
            }
            Err(e) => Err(e),
        }
    }

    /// To be called before the socket is looked at, so that the owner is notified of whatever comes later.
    pub fn looked_at(&self) {
        self.inner.notified.store(false, Ordering::Release);
    }

    /// Reads what is there, without waiting: nothing yet, the end (0), or so many bytes.
    ///
    /// # Errors
    /// The connection has broken.
    pub fn read(&self, into: &mut [u8]) -> io::Result<Option<usize>> {
        self.transfer(|| self.inner.stream().read(into))
    }

    /// Writes as much as there is room for, without waiting. A short write is gone on with: the selector tells nothing of
    /// room that was there all the time.
    ///
    /// # Errors
    /// The connection has broken.
    pub fn write(&self, from: &[u8]) -> io::Result<usize> {
        let mut written = 0;
        while written < from.len() {
            match self.transfer(|| self.inner.stream().write(&from[written..]))? {
                Some(count) if count > 0 => written += count,
                _ => break,
            }
        }
        Ok(written)
    }

    /// Makes one call; none where there is nothing to do yet.
    fn transfer(&self, mut call: impl FnMut() -> io::Result<usize>) -> io::Result<Option<usize>> {
        loop {
            match call() {
                Ok(count) => return Ok(Some(count)),
                Err(e) if e.kind() == ErrorKind::WouldBlock => return Ok(None),
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(e) if has_no_room(&e) => {
                    self.retry_later();
                    return Ok(None);
                }
                Err(e) => return Err(e),
            }
        }
    }

    /// Has the owner look again in a moment, of which the selector will tell nothing.
    fn retry_later(&self) {
        if self.inner.retrying.swap(true, Ordering::AcqRel) {
            return;
        }
        let inner = self.inner.clone();
        may::go!(move || {
            may::coroutine::sleep(RETRY_INTERVAL);
            inner.retrying.store(false, Ordering::Release);
            inner.notify();
        });
    }

    /// Ends our sending.
    pub fn end_sending(&self) {
        let _ = self.inner.stream().shutdown(Shutdown::Write);
    }

    /// Closes with a reset in place of an orderly end, once it is dropped.
    pub fn reset(&self) {
        let _ = SockRef::from(self.inner.stream()).set_linger(Some(Duration::ZERO));
        self.inner.reset.store(true, Ordering::Release);
    }
}

impl Drop for Socket {
    fn drop(&mut self) {
        // Ended now, not when the watcher has let go: guards against an attempt that is given up but still out when
        // the next one is made.
        if !self.inner.reset.load(Ordering::Acquire) {
            self.end_sending();
        }
        self.inner.closed.store(true, Ordering::Release);
        // The watcher lets go of its half.
        if let Some(registered) = self.inner.registered.get() {
            registered.waker().wakeup();
        }
    }
}

/// Has an accepted stream never block, which the system may refuse for a moment; waits until then.
///
/// # Errors
/// The system still refuses.
pub fn set_nonblocking(stream: &TcpStream, until: Time) -> io::Result<()> {
    while let Err(e) = stream.set_nonblocking(true) {
        if clock::now() >= until {
            return Err(e);
        }
        may::coroutine::sleep(RETRY_INTERVAL);
    }
    Ok(())
}

/// Makes a call again that a signal has interrupted.
fn uninterrupted(mut call: impl FnMut() -> io::Result<()>) -> io::Result<()> {
    let mut result = call();
    for _ in 0..INTERRUPTIONS_MAX {
        match result {
            Err(ref e) if e.kind() == ErrorKind::Interrupted => result = call(),
            _ => break,
        }
    }
    result
}

/// Whether the system only lacks room at this moment.
fn has_no_room(error: &io::Error) -> bool {
    error
        .raw_os_error()
        .is_some_and(|error| NO_ROOM_NOW.contains(&error))
}

/// One socket that a coroutine of its own talks over, one thing after another.
pub struct Caller {
    pub mailbox: Mailbox<FlowEvent>,
    pub socket: Socket,
}

impl Caller {
    /// Talks over a stream that doesn't block.
    pub fn new(stream: TcpStream, slot: Slot) -> Self {
        let mailbox = Mailbox::new();
        let socket = Socket::new(stream, slot, mailbox.sender());
        Caller { mailbox, socket }
    }

    /// Connects, and waits until the connection is up.
    ///
    /// # Errors
    /// It isn't up in time, or won't be.
    pub fn dial(
        mailbox: Mailbox<FlowEvent>,
        to: SocketAddr,
        slot: Slot,
        until: Time,
    ) -> Result<Self, ConnectionError> {
        let socket = Socket::dial(to, slot, mailbox.sender())?;
        let caller = Caller { mailbox, socket };
        while !caller.socket.connected()? {
            caller.wait(until)?;
        }
        Ok(caller)
    }

    fn wait(&self, until: Time) -> Result<(), ConnectionError> {
        match self.mailbox.next(until) {
            None => Err(ConnectionError::Deadline),
            Some(FlowEvent::Stop) => Err(ConnectionError::Stopped),
            Some(_) => Ok(()),
        }
    }

    /// Whether nothing has come that nobody waits for. Guards against what comes late on a connection that is kept, a
    /// second answer or the answer to what was given up, and is read as the answer to the next question.
    pub fn quiet(&self) -> bool {
        self.socket.looked_at();
        matches!(self.socket.read(&mut [0; 1]), Ok(None))
    }

    /// The next bytes; 0 at the end.
    ///
    /// # Errors
    /// Nothing came in time, or the connection has broken.
    pub fn read(&self, into: &mut [u8], until: Time) -> Result<usize, ConnectionError> {
        loop {
            self.socket.looked_at();
            match self.socket.read(into)? {
                Some(count) => return Ok(count),
                None => self.wait(until)?,
            }
        }
    }

    /// Writes all of it.
    ///
    /// # Errors
    /// There was no room for it in time, or the connection has broken.
    pub fn write(&self, mut bytes: &[u8], until: Time) -> Result<(), ConnectionError> {
        loop {
            self.socket.looked_at();
            bytes = &bytes[self.socket.write(bytes)?..];
            if bytes.is_empty() {
                return Ok(());
            }
            self.wait(until)?;
        }
    }

    /// Reads up to the end of a line; returns its length without the end and where the next one begins.
    ///
    /// # Errors
    /// It wasn't whole in time or is too long, or the connection has ended.
    pub fn line(
        &self,
        into: &mut [u8],
        held: &mut usize,
        until: Time,
    ) -> Result<(usize, usize), ConnectionError> {
        loop {
            if let Some(found) = crate::wire::line_end(&into[..*held]) {
                return Ok(found);
            }
            if *held == into.len() {
                return Err(ConnectionError::Malformed("an overlong line".into()));
            }
            match self.read(&mut into[*held..], until)? {
                0 => return Err(ConnectionError::Closed),
                count => *held += count,
            }
        }
    }

    /// Ends orderly: what was written must not be lost to a reset, which a close with unread bytes causes. Guards
    /// against a peer that never stops sending, too: so much is read and no more; then it has a moment to read
    /// the answer.
    pub fn finish(&self, until: Time) {
        self.socket.end_sending();
        let mut rest = [0; 1024];
        let mut drained = 0;
        while drained < DRAINED {
            match self.read(&mut rest, until) {
                Ok(count) if count > 0 => drained += count,
                _ => return,
            }
        }
        let until = until.min(clock::now() + UNREAD);
        while self.wait(until).is_ok() {}
    }
}
