//! Sockets and the notification of those that own them. A [`Socket`] owns one descriptor and gives
//! it back when it is dropped, here and nowhere else. Beside each stands a readiness watcher, a
//! coroutine that waits for the socket and notifies its owner, so that one coroutine can own both
//! sides of a flow and wait for commands and the time as well. Calls that the system refuses for a
//! moment are retried a little later. No call on a socket waits, and nothing here reads a protocol.

use std::io::{self, ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, OnceLock, PoisonError};
use std::time::Duration;

use may::io::{CoIo, WaitIo};
use nettlemux_policy::Time;
use socket2::{Domain, SockRef, Type};

use crate::clock;
use crate::descriptors::DescriptorPermit;
use crate::errno::{EALREADY, EINPROGRESS, EISCONN, ENOBUFS, ENOMEM};
use crate::mailbox::Sender;
use crate::messages::FlowEvent;
use crate::timer;

/// Until a call is retried that the system has refused for want of something that comes back.
const RETRY_INTERVAL: Duration = Duration::from_millis(10);
/// Immediate retries of a call that a signal has interrupted.
const INTERRUPTIONS_MAX: usize = 16;
/// Errors by which `connect` says that it goes on, or has gone on after an interruption.
const CONNECT_IN_PROGRESS: [i32; 3] = [EISCONN, EALREADY, EINPROGRESS];
/// Errors by which the system says that it has no room at this moment. They say nothing of the
/// connection.
const NO_ROOM: [i32; 2] = [ENOMEM, ENOBUFS];

/// What a socket, its watcher and its retries share.
struct Inner {
    /// None once it is dropped.
    stream: Option<Arc<TcpStream>>,
    /// The stream in the selector, once that has taken it.
    registered: OnceLock<CoIo<Arc<TcpStream>>>,
    notifier: Sender<FlowEvent>,
    permit: Mutex<DescriptorPermit>,
    /// The socket has been dropped.
    closed: AtomicBool,
    /// The owner has been notified and hasn't looked since.
    notified: AtomicBool,
    /// A coroutine waits to notify the owner once the system may have room.
    retrying: AtomicBool,
    /// The socket is closed with a reset.
    reset: AtomicBool,
}

impl Inner {
    fn stream(&self) -> &TcpStream {
        self.stream.as_ref().expect("held until dropped")
    }

    fn permit(&self) -> MutexGuard<'_, DescriptorPermit> {
        self.permit.lock().unwrap_or_else(PoisonError::into_inner)
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

    /// Notifies the owner, once until it looks at the socket: guards against a mailbox that a peer
    /// fills by sending much.
    fn notify(&self) {
        if !self.notified.swap(true, Ordering::AcqRel) {
            self.notifier.send(FlowEvent::SocketReady);
        }
    }

    /// Notifies the owner whenever something may have happened, until the socket is closed.
    fn watch(&self) {
        while !self.is_closed() {
            let was_registered = self.registered.get().is_some();
            match self.register() {
                // What came before may not have been notified.
                Some(_) if !was_registered => {}
                Some(registered) => drop(registered.wait_io()),
                // Guards against a connection that is dropped, with the line that has come on it,
                // since the selector has no room for it at this moment: until then the owner looks
                // at it at intervals.
                None => timer::sleep(RETRY_INTERVAL),
            }
            if !self.is_closed() {
                self.notify();
            }
        }
    }
}

impl Drop for Inner {
    fn drop(&mut self) {
        // Taken out of the selector first, closed second, its permit given back last. Guards
        // against a descriptor that is closed, opened again elsewhere under the same number, and
        // only then taken out of the selector.
        drop(self.registered.take().map(CoIo::into_inner));
        drop(self.stream.take());
    }
}

/// One socket.
pub struct Socket {
    inner: Arc<Inner>,
}

impl Socket {
    /// Takes over a stream that doesn't block; the owner is notified by `notifier` when something
    /// may have happened on it.
    pub fn new(stream: TcpStream, permit: DescriptorPermit, notifier: Sender<FlowEvent>) -> Self {
        // Small lines must not wait for one another.
        let _ = stream.set_nodelay(true);
        let inner = Arc::new(Inner {
            stream: Some(Arc::new(stream)),
            registered: OnceLock::new(),
            notifier,
            permit: Mutex::new(permit),
            closed: AtomicBool::new(false),
            notified: AtomicBool::new(false),
            retrying: AtomicBool::new(false),
            reset: AtomicBool::new(false),
        });
        // Before the owner looks for the first time, so that whatever comes after that look is
        // notified.
        let _ = inner.register();
        let watched = inner.clone();
        may::go!(move || watched.watch());
        Socket { inner }
    }

    /// Starts to connect, without waiting.
    ///
    /// # Errors
    /// The connection can't be begun: this machine has no means for it, or the peer is known not to
    /// be there.
    pub fn dial(
        address: SocketAddr,
        permit: DescriptorPermit,
        notifier: Sender<FlowEvent>,
    ) -> io::Result<Self> {
        let socket = socket2::Socket::new(Domain::for_address(address), Type::STREAM, None)?;
        retry_interrupted(|| socket.set_nonblocking(true))?;
        match retry_interrupted(|| socket.connect(&address.into())) {
            Err(error) if !is_any_of(&error, &CONNECT_IN_PROGRESS) => Err(error),
            _ => Ok(Socket::new(socket.into(), permit, notifier)),
        }
    }

    /// Holds its descriptor by another permit from now on.
    pub fn replace_permit(&self, permit: DescriptorPermit) {
        *self.inner.permit() = permit;
    }

    /// Returns a copy of the permit by which it holds its descriptor.
    pub fn permit(&self) -> DescriptorPermit {
        self.inner.permit().clone()
    }

    /// Returns whether a connection that was dialled is up by now.
    ///
    /// # Errors
    /// It won't come up.
    pub fn is_connected(&self) -> io::Result<bool> {
        let stream = self.inner.stream();
        if let Some(error) = stream.take_error()? {
            return Err(error);
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

    /// Has the owner notified of whatever comes later. To be called before each look at the socket.
    pub fn rearm_notification(&self) {
        self.inner.notified.store(false, Ordering::Release);
    }

    /// Reads what is there, without waiting, and returns how many bytes: none where nothing has
    /// come yet, 0 at the end.
    ///
    /// # Errors
    /// The connection has broken.
    pub fn read(&self, buffer: &mut [u8]) -> io::Result<Option<usize>> {
        self.transfer(|| self.inner.stream().read(buffer))
    }

    /// Writes as much as there is room for, without waiting, and returns how many bytes. Goes on
    /// after a short write: the selector doesn't report room that was there all the time.
    ///
    /// # Errors
    /// The connection has broken.
    pub fn write(&self, bytes: &[u8]) -> io::Result<usize> {
        let mut written = 0;
        while written < bytes.len() {
            match self.transfer(|| self.inner.stream().write(&bytes[written..]))? {
                Some(count) if count > 0 => written += count,
                _ => break,
            }
        }
        Ok(written)
    }

    /// Makes one call and returns how many bytes it moved; none where it can move none yet.
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

    /// Has the owner look again in a moment, which the selector won't report.
    fn retry_later(&self) {
        if self.inner.retrying.swap(true, Ordering::AcqRel) {
            return;
        }
        let inner = self.inner.clone();
        may::go!(move || {
            timer::sleep(RETRY_INTERVAL);
            inner.retrying.store(false, Ordering::Release);
            inner.notify();
        });
    }

    /// Ends the sending; the peer reads the end after all that was written.
    pub fn end_sending(&self) {
        let _ = self.inner.stream().shutdown(Shutdown::Write);
    }

    /// Has the socket closed with a reset in place of an orderly end once it is dropped.
    pub fn reset(&self) {
        let _ = SockRef::from(self.inner.stream()).set_linger(Some(Duration::ZERO));
        self.inner.reset.store(true, Ordering::Release);
    }
}

impl Drop for Socket {
    fn drop(&mut self) {
        // Ended now, not when the watcher has let go: guards against an attempt that is given up
        // but still in flight when the next one is made.
        if !self.inner.reset.load(Ordering::Acquire) {
            self.end_sending();
        }
        self.inner.closed.store(true, Ordering::Release);
        // The watcher gives up its share.
        if let Some(registered) = self.inner.registered.get() {
            registered.waker().wakeup();
        }
    }
}

/// Sets an accepted stream to never block, which the system may refuse for a moment; retries until
/// a deadline.
///
/// # Errors
/// The system still refuses.
pub fn set_nonblocking(stream: &TcpStream, deadline: Time) -> io::Result<()> {
    while let Err(error) = stream.set_nonblocking(true) {
        if clock::now() >= deadline {
            return Err(error);
        }
        timer::sleep(RETRY_INTERVAL);
    }
    Ok(())
}

/// Retries a call that a signal has interrupted.
fn retry_interrupted(mut call: impl FnMut() -> io::Result<()>) -> io::Result<()> {
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
    is_any_of(error, &NO_ROOM)
}

fn is_any_of(error: &io::Error, errors: &[i32]) -> bool {
    error
        .raw_os_error()
        .is_some_and(|error| errors.contains(&error))
}
