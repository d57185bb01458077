//! The first stage: accepts connections and has each one's first line read. It owns the listener
//! and the pending connections, and must never let those that send nothing keep others out: there
//! are only so many pending connections, and the oldest give way.

use std::io::{self, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use may::io::{CoIo, WaitIo};
use nettlemux_dataplane::clock;
use nettlemux_dataplane::connection::Connection;
use nettlemux_dataplane::dataplane::Dataplane;
use nettlemux_dataplane::descriptors::DescriptorPermit;
use nettlemux_dataplane::pipeline;
use nettlemux_dataplane::retry;
use nettlemux_dataplane::socket::set_nonblocking;
use nettlemux_dataplane::timer;
use nettlemux_dataplane::wire;
use nettlemux_policy::{MS, Time};
use socket2::{Domain, Socket, Type};
use tracing::warn;

use crate::accepted::AcceptedConnection;
use crate::admit::admit;
use crate::pending::PendingConnections;
use crate::settings::FirstLineSettings;

/// Clients that may wait to be accepted: all of a balancer that died may come at once, and one that
/// finds the queue full tries again only after a second.
const LISTEN_BACKLOG: i32 = 4096;
/// How long a connection may take to send its first line: whoever connects and sends nothing is
/// owed an answer within 3 s.
const FIRST_LINE_TIMEOUT: Time = 2500 * MS;
/// Connections that are accepted without a pause, or told to give way at once. Guards against a
/// flood that keeps the worker from flows, since the worker looks at sockets only once no coroutine
/// is ready to run.
const ACCEPT_BATCH_MAX: usize = 8;
/// The pause after each batch.
const ACCEPT_PAUSE: Duration = Duration::from_millis(2);
/// The pause after a failure to accept.
const ACCEPT_RETRY_INTERVAL: Duration = Duration::from_millis(20);

/// Begins to listen. Guards against a start that fails since the last run's sockets are not quite
/// gone, the address isn't up yet, or the system wants descriptors or memory at this moment.
///
/// # Errors
/// It can't listen there, now and a few seconds later.
pub fn listen(address: SocketAddr) -> io::Result<CoIo<TcpListener>> {
    retry::retry_transient(|| {
        let socket = Socket::new(Domain::for_address(address), Type::STREAM, None)?;
        socket.set_reuse_address(true)?;
        socket.bind(&address.into())?;
        socket.listen(LISTEN_BACKLOG)?;
        Ok(CoIo::new(socket.into())?)
    })
}

/// What all connections of this front share.
pub struct Acceptor {
    dataplane: Arc<Dataplane>,
    settings: Mutex<Arc<FirstLineSettings>>,
    pending_connections: Arc<PendingConnections>,
}

impl Acceptor {
    /// Returns an acceptor that hands its flows to a data plane.
    pub fn new(dataplane: Arc<Dataplane>, settings: FirstLineSettings) -> Arc<Self> {
        Arc::new(Acceptor {
            dataplane,
            settings: Mutex::new(Arc::new(settings)),
            pending_connections: Arc::default(),
        })
    }

    /// Sets how first lines are read from now on; how admission control tells clients apart stays.
    pub fn replace_settings(&self, settings: FirstLineSettings) {
        let mut current = self.lock_settings();
        *current = Arc::new(settings.with_client_keys(current.client_keys));
    }

    fn lock_settings(&self) -> MutexGuard<'_, Arc<FirstLineSettings>> {
        self.settings.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Serves one client's connection, from its first byte to its last.
    fn serve(&self, stream: TcpStream, permit: DescriptorPermit) {
        let Some(accepted) = self.read_first_line(stream, permit) else {
            return;
        };
        let settings = self.lock_settings().clone();
        if let Some(admitted) = admit(&self.dataplane, &settings, accepted) {
            pipeline::serve(&self.dataplane, admitted);
        }
    }

    fn read_first_line(
        &self,
        stream: TcpStream,
        permit: DescriptorPermit,
    ) -> Option<AcceptedConnection> {
        let deadline = clock::now() + FIRST_LINE_TIMEOUT;
        if let Err(error) = set_nonblocking(&stream, deadline) {
            warn!(%error, "can't set up a connection");
            // Its buffer is empty, so this doesn't block.
            let _ = (&stream).write_all(wire::rejection(None).as_bytes());
            return None;
        }
        let client = Connection::new(stream, permit);
        let pending = self.pending_connections.add(client.mailbox.sender());
        let buffer = self.dataplane.buffers.take();
        let accepted = AcceptedConnection::new(client, pending, buffer, deadline);
        accepted.next_line(&self.dataplane)
    }
}

/// Accepts for as long as the program runs.
pub fn accept(acceptor: &Arc<Acceptor>, listener: &CoIo<TcpListener>) {
    let mut accepted_in_batch = 0;
    loop {
        // Taken before a connection is: one that there is no place for waits in the listener's
        // queue.
        let Some(permit) = acceptor.dataplane.budgets.pending.try_acquire() else {
            let pending = &acceptor.pending_connections;
            pending.evict_oldest(clock::now(), ACCEPT_BATCH_MAX);
            timer::sleep(ACCEPT_PAUSE);
            continue;
        };
        match listener.inner().accept() {
            Ok((stream, _)) => {
                let acceptor = acceptor.clone();
                may::go!(move || acceptor.serve(stream, permit));
                accepted_in_batch += 1;
                if accepted_in_batch == ACCEPT_BATCH_MAX {
                    accepted_in_batch = 0;
                    timer::sleep(ACCEPT_PAUSE);
                }
            }
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => {
                drop(permit);
                accepted_in_batch = 0;
                listener.wait_io();
            }
            Err(error) if concerns_one_connection(&error) => {}
            Err(error) => {
                // Out of descriptors or memory, in this process or the whole machine: it may pass.
                warn!(%error, "can't accept");
                timer::sleep(ACCEPT_RETRY_INTERVAL);
            }
        }
    }
}

/// Whether accepting may go on at once.
fn concerns_one_connection(error: &io::Error) -> bool {
    use io::ErrorKind::{ConnectionAborted, Interrupted};
    matches!(error.kind(), Interrupted | ConnectionAborted)
}
