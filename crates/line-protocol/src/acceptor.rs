//! The first stage: accepts connections and reads the first line of each. It owns the listener and
//! the pending connections. Connections that send nothing must never keep others out: the number of
//! pending connections is limited, and the oldest are evicted.

use std::io::{self, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
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
use crate::settings::{FirstLineSettings, SharedFirstLineSettings};

/// Number of clients that may wait to be accepted. All clients of a balancer that failed may connect
/// at once, and a client that finds the queue full retries only after a second.
const LISTEN_BACKLOG: i32 = 4096;
/// How long a connection may take to send its first line. A client that connects and sends nothing
/// must be answered within 3 s.
const FIRST_LINE_TIMEOUT: Time = 2500 * MS;
/// Number of connections that are accepted without a pause, or evicted at once. The worker polls
/// sockets only when no coroutine is ready to run, so that a flood of connections would keep it from
/// serving flows.
const ACCEPT_BATCH_MAX: usize = 8;
/// The pause after each batch, in which the worker polls the other sockets.
const ACCEPT_PAUSE: Duration = Duration::from_micros(100);
/// The pause until the next check for a free descriptor.
const DESCRIPTOR_RETRY_INTERVAL: Duration = Duration::from_millis(2);
/// The pause after `accept` has failed.
const ACCEPT_RETRY_INTERVAL: Duration = Duration::from_millis(20);

/// Starts to listen. Retries, so that a start doesn't fail because the sockets of the previous run
/// are not closed yet, the address is not up yet, or the system is briefly out of descriptors or
/// memory.
///
/// # Errors
/// If listening at the address still fails after a few seconds.
pub fn listen(address: SocketAddr) -> io::Result<CoIo<TcpListener>> {
    retry::retry_transient(|| {
        let socket = Socket::new(Domain::for_address(address), Type::STREAM, None)?;
        socket.set_reuse_address(true)?;
        socket.bind(&address.into())?;
        socket.listen(LISTEN_BACKLOG)?;
        Ok(CoIo::new(socket.into())?)
    })
}

/// The state that all connections of this frontend share.
pub struct Acceptor {
    dataplane: Arc<Dataplane>,
    settings: SharedFirstLineSettings,
    pending_connections: Arc<PendingConnections>,
}

impl Acceptor {
    /// Returns an acceptor that passes its flows to `dataplane`.
    pub fn new(dataplane: Arc<Dataplane>, settings: FirstLineSettings) -> Arc<Self> {
        Arc::new(Acceptor {
            dataplane,
            settings: SharedFirstLineSettings::new(settings),
            pending_connections: Arc::default(),
        })
    }

    /// Replaces the settings for first lines. The client keys of admission control are kept.
    pub fn replace_settings(&self, settings: FirstLineSettings) {
        self.settings.replace(clock::now(), settings);
    }

    /// Serves one client's connection until it ends.
    fn serve(&self, stream: TcpStream, permit: DescriptorPermit) {
        let Some(accepted) = self.read_first_line(stream, permit) else {
            return;
        };
        if let Some(admitted) = admit(&self.dataplane, &self.settings, accepted) {
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
            warn!(%error, "setting up an accepted connection failed; rejecting it");
            // The send buffer is empty, so this write doesn't block.
            let _ = (&stream).write_all(wire::rejection_line(None).as_bytes());
            return None;
        }
        let client = Connection::new(stream, permit);
        let pending = self.pending_connections.add(client.mailbox.sender());
        let buffer = self.dataplane.buffers.take();
        let accepted = AcceptedConnection::new(client, pending, buffer, deadline);
        accepted.next_line(&self.dataplane)
    }
}

/// Accepts connections for as long as the program runs.
pub fn accept(acceptor: &Arc<Acceptor>, listener: &CoIo<TcpListener>) {
    let mut accepted_in_batch = 0;
    loop {
        // The permit is acquired before a connection is accepted: without a permit, connections wait
        // in the listener's queue.
        let Some(permit) = acceptor.dataplane.descriptor_budgets.pending.try_acquire() else {
            let pending = &acceptor.pending_connections;
            pending.evict_oldest(clock::now(), ACCEPT_BATCH_MAX);
            timer::sleep(DESCRIPTOR_RETRY_INTERVAL);
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
                // This process or the machine is out of descriptors or memory, perhaps only briefly.
                warn!(%error, "accepting a connection failed; retrying");
                timer::sleep(ACCEPT_RETRY_INTERVAL);
            }
        }
    }
}

/// Whether the error concerns only one connection, so that accepting can continue at once.
fn concerns_one_connection(error: &io::Error) -> bool {
    use io::ErrorKind::{ConnectionAborted, Interrupted};
    matches!(error.kind(), Interrupted | ConnectionAborted)
}
