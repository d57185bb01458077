//! Non-blocking sockets that notify their owners. A [`Socket`] owns one descriptor, which is
//! released when the socket is dropped, here and nowhere else. Each socket has a readiness watcher,
//! a coroutine that waits for events on the socket and notifies the owner. So one coroutine can own
//! both sides of a flow and also wait for commands and deadlines. Calls that the system refuses
//! temporarily are retried a little later. No call on a socket blocks, and this module reads no
//! protocol.

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
use crate::messages::CoroutineEvent;
use crate::timer;

/// The interval until the retry of a call that the system has refused for a temporary lack of
/// resources.
const RETRY_INTERVAL: Duration = Duration::from_millis(10);
/// The most immediate retries of a call that a signal has interrupted.
const INTERRUPTED_RETRIES_MAX: usize = 16;
/// Errors of `connect` that mean that the connection is in progress, or established after an
/// interrupted call.
const CONNECT_IN_PROGRESS: [i32; 3] = [EISCONN, EALREADY, EINPROGRESS];
/// Errors that mean a temporary lack of kernel memory. They don't mean that the connection has
/// failed.
const OUT_OF_MEMORY: [i32; 2] = [ENOMEM, ENOBUFS];

/// The state that a socket shares with its watcher and its retries.
struct Inner {
    /// `None` only while this state is being dropped.
    stream: Option<Arc<TcpStream>>,
    /// The stream as registered with the selector; empty until registration succeeds.
    registered: OnceLock<CoIo<Arc<TcpStream>>>,
    notifier: Sender<CoroutineEvent>,
    permit: Mutex<DescriptorPermit>,
    /// The socket has been dropped.
    closed: AtomicBool,
    /// The owner has been notified and hasn't called [`Socket::rearm_notification`] since.
    notified: AtomicBool,
    /// A coroutine is waiting to notify the owner so that it retries a refused call.
    retrying: AtomicBool,
    /// The connection will be closed with a reset.
    reset: AtomicBool,
}

impl Inner {
    fn stream(&self) -> &TcpStream {
        self.stream.as_ref().expect("held until dropped")
    }

    fn permit(&self) -> MutexGuard<'_, DescriptorPermit> {
        self.permit.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the registered stream; `None` if the selector can't register it now.
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

    /// Notifies the owner, at most once until the owner rearms the notification. Prevents a peer
    /// that sends much from filling the owner's mailbox.
    fn notify(&self) {
        if !self.notified.swap(true, Ordering::AcqRel) {
            self.notifier.send(CoroutineEvent::SocketReady);
        }
    }

    /// Notifies the owner of every possible event on the socket, until the socket is closed.
    fn watch(&self) {
        while !self.is_closed() {
            let was_registered = self.registered.get().is_some();
            match self.register() {
                // Just registered: the owner may have missed earlier events.
                Some(_) if !was_registered => {}
                Some(registered) => drop(registered.wait_io()),
                // The selector can't register the stream now. The owner polls the socket at
                // intervals until it can, so that the connection and the data received on it aren't
                // lost.
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
        // The order is: deregister, close, release the permit. Otherwise the descriptor could be
        // closed and reopened elsewhere under the same number, and the selector would then
        // deregister the new one.
        drop(self.registered.take().map(CoIo::into_inner));
        drop(self.stream.take());
    }
}

/// A non-blocking socket that notifies its owner.
pub struct Socket {
    inner: Arc<Inner>,
}

impl Socket {
    /// Takes over a non-blocking stream. `notifier` notifies the owner of possible events on the
    /// stream.
    pub fn new(
        stream: TcpStream,
        permit: DescriptorPermit,
        notifier: Sender<CoroutineEvent>,
    ) -> Self {
        // Without this, Nagle's algorithm would delay small lines.
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
        // Registered before the owner first checks the socket, so that the owner is notified of
        // everything that happens after that check.
        let _ = inner.register();
        let watched = inner.clone();
        may::go!(move || watched.watch());
        Socket { inner }
    }

    /// Starts to connect, without blocking.
    ///
    /// # Errors
    /// The connection attempt can't be started: this machine lacks resources for it, or the peer is
    /// known to be unreachable.
    pub fn dial(
        address: SocketAddr,
        permit: DescriptorPermit,
        notifier: Sender<CoroutineEvent>,
    ) -> io::Result<Self> {
        let socket = socket2::Socket::new(Domain::for_address(address), Type::STREAM, None)?;
        retry_interrupted(|| socket.set_nonblocking(true))?;
        match retry_interrupted(|| socket.connect(&address.into())) {
            Err(error) if !is_any_of(&error, &CONNECT_IN_PROGRESS) => Err(error),
            _ => Ok(Socket::new(socket.into(), permit, notifier)),
        }
    }

    /// Replaces the permit by which the socket holds its descriptor.
    pub fn replace_permit(&self, permit: DescriptorPermit) {
        *self.inner.permit() = permit;
    }

    /// Returns a copy of the permit by which the socket holds its descriptor.
    pub fn permit(&self) -> DescriptorPermit {
        self.inner.permit().clone()
    }

    /// Returns whether a dialed connection is established.
    ///
    /// # Errors
    /// The connection has failed.
    pub fn is_connected(&self) -> io::Result<bool> {
        let stream = self.inner.stream();
        if let Some(error) = stream.take_error()? {
            return Err(error);
        }
        match stream.peer_addr() {
            Ok(_) => Ok(true),
            Err(e) if e.kind() == ErrorKind::NotConnected => Ok(false),
            Err(e) if is_out_of_memory(&e) => {
                self.retry_later();
                Ok(false)
            }
            Err(e) => Err(e),
        }
    }

    /// Lets the owner be notified of later events. The owner must call this before each check of
    /// the socket.
    pub fn rearm_notification(&self) {
        self.inner.notified.store(false, Ordering::Release);
    }

    /// Reads available bytes without blocking and returns their number: `None` if nothing has
    /// arrived yet, 0 at the end of the stream.
    ///
    /// # Errors
    /// The connection has failed.
    pub fn read(&self, buffer: &mut [u8]) -> io::Result<Option<usize>> {
        self.transfer(|| self.inner.stream().read(buffer))
    }

    /// Writes as much as the send buffer takes, without blocking, and returns the number of bytes.
    /// Continues after a short write, since the selector doesn't report buffer space that was free
    /// all the time.
    ///
    /// # Errors
    /// The connection has failed.
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

    /// Makes one call and returns the number of bytes that it transferred; `None` if it would
    /// block.
    fn transfer(&self, mut call: impl FnMut() -> io::Result<usize>) -> io::Result<Option<usize>> {
        loop {
            match call() {
                Ok(count) => return Ok(Some(count)),
                Err(e) if e.kind() == ErrorKind::WouldBlock => return Ok(None),
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(e) if is_out_of_memory(&e) => {
                    self.retry_later();
                    return Ok(None);
                }
                Err(e) => return Err(e),
            }
        }
    }

    /// Notifies the owner after [`RETRY_INTERVAL`], since the selector won't report when the
    /// refused call can succeed.
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

    /// Shuts down the sending side. The peer reads all written bytes and then the end of the
    /// stream.
    pub fn shutdown_write(&self) {
        let _ = self.inner.stream().shutdown(Shutdown::Write);
    }

    /// Makes the drop of the socket close the connection with a reset instead of an orderly end.
    pub fn reset(&self) {
        let _ = SockRef::from(self.inner.stream()).set_linger(Some(Duration::ZERO));
        self.inner.reset.store(true, Ordering::Release);
    }
}

impl Drop for Socket {
    fn drop(&mut self) {
        // Shut down now and not when the watcher releases the stream. Otherwise an abandoned
        // attempt could still be in flight when the next one is made.
        if !self.inner.reset.load(Ordering::Acquire) {
            self.shutdown_write();
        }
        self.inner.closed.store(true, Ordering::Release);
        // Wakes the watcher, which then releases its reference to the stream.
        if let Some(registered) = self.inner.registered.get() {
            registered.waker().wakeup();
        }
    }
}

/// Makes an accepted stream non-blocking. Retries until the deadline, since the system may refuse
/// this temporarily.
///
/// # Errors
/// The system still refuses at the deadline.
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
    for _ in 0..INTERRUPTED_RETRIES_MAX {
        match result {
            Err(ref e) if e.kind() == ErrorKind::Interrupted => result = call(),
            _ => break,
        }
    }
    result
}

/// Returns whether the error is a temporary lack of kernel memory.
fn is_out_of_memory(error: &io::Error) -> bool {
    is_any_of(error, &OUT_OF_MEMORY)
}

fn is_any_of(error: &io::Error, errors: &[i32]) -> bool {
    error
        .raw_os_error()
        .is_some_and(|error| errors.contains(&error))
}
