//! Sockets and what wakes those that own them. A [`Socket`] owns one descriptor and gives it back when it is
//! dropped, here and nowhere else. Beside each stands an ear, a coroutine that waits for the socket and rings
//! its owner, so that one coroutine can own both sides of a flow and wait for orders and the time as well.
//! Nothing here reads a protocol. Only the calls of [`Caller`] wait.

use std::io::{self, ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use may::io::{CoIo, WaitIo};
use nettlemux_policy::{MS, SEC, Time};
use socket2::{Domain, SockRef, Type};

use crate::clock;
use crate::mail::{Mailbox, Sender};
use crate::orders::Event;
use crate::pool::Slot;

struct Inner {
    stream: Option<CoIo<TcpStream>>,
    slot: Mutex<Slot>,
    done: AtomicBool,
    rung: AtomicBool,
    reset: AtomicBool,
}

impl Inner {
    fn stream(&self) -> &CoIo<TcpStream> {
        self.stream.as_ref().expect("held until dropped")
    }
}

impl Drop for Inner {
    fn drop(&mut self) {
        // Left by the selector first, closed second, its slot free last. Guards against a descriptor that is
        // closed, opened again elsewhere under the same number, and only then taken out of the selector.
        drop(self.stream.take().map(CoIo::into_inner));
    }
}

pub struct Socket {
    inner: Arc<Inner>,
}

impl Socket {
    /// Takes over a stream; what happens on it rings at `bell`.
    pub fn new(stream: TcpStream, slot: Slot, bell: Sender<Event>) -> io::Result<Self> {
        // Small lines must not wait for one another.
        let _ = stream.set_nodelay(true);
        let stream = CoIo::new(stream).map_err(|e| io::Error::other(e.to_string()))?;
        let [done, rung, reset] = [const { AtomicBool::new(false) }; 3];
        let inner = Arc::new(Inner { stream: Some(stream), slot: Mutex::new(slot), done, rung, reset });
        let ear = inner.clone();
        may::go!(move || {
            loop {
                ear.stream().wait_io();
                if ear.done.load(Ordering::Acquire) {
                    break;
                }
                // Rung once until it is looked at: guards against a mailbox filled by a chatty peer.
                if !ear.rung.swap(true, Ordering::AcqRel) {
                    bell.send(Event::Rung);
                }
            }
        });
        Ok(Socket { inner })
    }

    /// Starts to connect, without waiting.
    pub fn dial(to: SocketAddr, slot: Slot, bell: Sender<Event>) -> io::Result<Self> {
        let socket = socket2::Socket::new(Domain::for_address(to), Type::STREAM, None)?;
        socket.set_nonblocking(true)?;
        match socket.connect(&to.into()) {
            Err(e) if e.raw_os_error() != Some(EINPROGRESS) => Err(e),
            _ => Socket::new(socket.into(), slot, bell),
        }
    }

    /// Holds its descriptor by another right from now on.
    pub fn hold(&self, slot: Slot) {
        *self.inner.slot.lock().unwrap_or_else(PoisonError::into_inner) = slot;
    }

    /// The right by which it holds its descriptor.
    pub fn slot(&self) -> Slot {
        self.inner.slot.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Whether a connection that was dialled is up by now.
    pub fn connected(&self) -> io::Result<bool> {
        let stream = self.inner.stream().inner();
        if let Some(e) = stream.take_error()? {
            return Err(e);
        }
        match stream.peer_addr() {
            Ok(_) => Ok(true),
            Err(e) if e.kind() == ErrorKind::NotConnected => Ok(false),
            Err(e) => Err(e),
        }
    }

    /// To be called before the socket is looked at, so that whatever comes later rings again.
    pub fn looked_at(&self) {
        self.inner.rung.store(false, Ordering::Release);
    }

    /// Reads what is there, without waiting: nothing yet, the end (0), or so many bytes.
    pub fn read(&self, into: &mut [u8]) -> io::Result<Option<usize>> {
        tried(|| self.inner.stream().inner().read(into))
    }

    /// Writes what goes, without waiting.
    pub fn write(&self, from: &[u8]) -> io::Result<usize> {
        tried(|| self.inner.stream().inner().write(from)).map(Option::unwrap_or_default)
    }

    /// Ends our sending.
    pub fn end_sending(&self) {
        let _ = self.inner.stream().inner().shutdown(Shutdown::Write);
    }

    /// Closes with a reset in place of an orderly end, once it is dropped.
    pub fn reset(&self) {
        let _ = SockRef::from(self.inner.stream().inner()).set_linger(Some(Duration::ZERO));
        self.inner.reset.store(true, Ordering::Release);
    }
}

impl Drop for Socket {
    fn drop(&mut self) {
        // Ended now, not when the ear has let go: guards against a connect that is given up but still out when
        // the next one is made.
        if !self.inner.reset.load(Ordering::Acquire) {
            self.end_sending();
        }
        self.inner.done.store(true, Ordering::Release);
        // The ear lets go of its half.
        self.inner.stream().waker().wakeup();
    }
}

/// How long one that has its answer may take to close.
pub const LINGER: Time = SEC;
/// So much of what a peer sends after its answer is read.
const DRAINED: usize = 64 << 10;
/// How long one that sends more may take to read its answer before the reset: it reads while it sends.
const UNREAD: Time = 200 * MS;
/// Connecting goes on.
const EINPROGRESS: i32 = 115;

fn tried(mut call: impl FnMut() -> io::Result<usize>) -> io::Result<Option<usize>> {
    loop {
        match call() {
            Ok(count) => return Ok(Some(count)),
            Err(e) if e.kind() == ErrorKind::WouldBlock => return Ok(None),
            Err(e) if e.kind() == ErrorKind::Interrupted => {}
            Err(e) => return Err(e),
        }
    }
}

/// One socket that a coroutine of its own talks over, one thing after another.
pub struct Caller {
    pub mailbox: Mailbox<Event>,
    pub socket: Socket,
}

impl Caller {
    pub fn new(stream: TcpStream, slot: Slot) -> io::Result<Self> {
        let mailbox = Mailbox::new();
        let socket = Socket::new(stream, slot, mailbox.sender())?;
        Ok(Caller { mailbox, socket })
    }

    pub fn dial(mailbox: Mailbox<Event>, to: SocketAddr, slot: Slot, until: Time) -> io::Result<Self> {
        let socket = Socket::dial(to, slot, mailbox.sender())?;
        let caller = Caller { mailbox, socket };
        while !caller.socket.connected()? {
            caller.wait(until)?;
        }
        Ok(caller)
    }

    fn wait(&self, until: Time) -> io::Result<()> {
        match self.mailbox.next(until) {
            None => Err(ErrorKind::TimedOut.into()),
            Some(Event::Stop) => Err(ErrorKind::Interrupted.into()),
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
    pub fn read(&self, into: &mut [u8], until: Time) -> io::Result<usize> {
        loop {
            self.socket.looked_at();
            match self.socket.read(into)? {
                Some(count) => return Ok(count),
                None => self.wait(until)?,
            }
        }
    }

    pub fn write(&self, mut bytes: &[u8], until: Time) -> io::Result<()> {
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
    pub fn line(&self, into: &mut [u8], held: &mut usize, until: Time) -> io::Result<(usize, usize)> {
        loop {
            if let Some(found) = crate::wire::line_end(&into[..*held]) {
                return Ok(found);
            }
            if *held == into.len() {
                return Err(ErrorKind::InvalidData.into());
            }
            match self.read(&mut into[*held..], until)? {
                0 => return Err(ErrorKind::UnexpectedEof.into()),
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
