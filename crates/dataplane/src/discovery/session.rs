//! A connection to the agent and the coroutine that makes the calls over it, one after another. A
//! session that is dropped stops its call, closes its connection and sends no further event, so
//! that nothing of it is heard later. It must never call another address than that it was opened
//! for, and never wait past the deadline of a call.

use std::net::SocketAddr;
use std::sync::Arc;

use may::sync::mpsc::{self, Receiver};

use super::call::{Call, CallError, CallFailure, CallResult};
use super::context::DiscoveryContext;
use super::http;
use super::watch_event::WatchEvent;
use crate::buffers::BufferPool;
use crate::connection::{Connection, ConnectionError};
use crate::descriptors::DescriptorPermit;
use crate::mailbox::{Mailbox, Sender};
use crate::messages::CoroutineEvent;

/// The owner's end of a session.
pub(super) struct AgentSession {
    calls: mpsc::Sender<Call>,
    /// Stops the coroutine's wait for the agent.
    stop: Sender<CoroutineEvent>,
}

impl AgentSession {
    /// Opens a session with the agent at `address`, whose results go to `events`. Returns `None` if
    /// no file descriptor is available.
    pub fn open(
        address: SocketAddr,
        context: &DiscoveryContext,
        events: Sender<WatchEvent>,
    ) -> Option<Self> {
        let permit = context.descriptors.try_acquire()?;
        let mailbox = Mailbox::new();
        let stop = mailbox.sender();
        let (calls, receiver) = mpsc::channel();
        let session = SessionCoroutine {
            address,
            buffers: context.buffers.clone(),
            calls: receiver,
            events,
        };
        may::go!(move || session.run(mailbox, permit));
        Some(AgentSession { calls, stop })
    }

    /// Makes a call. The result comes as an event.
    pub fn call(&self, call: Call) {
        // A coroutine that has ended has failed, so that the call is given up at its deadline.
        let _ = self.calls.send(call);
    }
}

impl Drop for AgentSession {
    fn drop(&mut self) {
        self.stop.send(CoroutineEvent::Stop);
    }
}

/// The coroutine's end of a session.
struct SessionCoroutine {
    address: SocketAddr,
    buffers: Arc<BufferPool>,
    calls: Receiver<Call>,
    events: Sender<WatchEvent>,
}

impl SessionCoroutine {
    /// Makes calls until one fails, the connection can't be used for another one, or the session is
    /// dropped.
    fn run(self, mailbox: Mailbox<CoroutineEvent>, permit: DescriptorPermit) {
        let Ok(first) = self.calls.recv() else {
            return;
        };
        let dialed = Connection::dial(mailbox, self.address, permit, first.deadline);
        let connection = match dialed {
            Ok(connection) => connection,
            Err(error) => return self.report_failure(&first, error.into()),
        };
        let mut may_continue = self.make_call(&connection, &first);
        while may_continue {
            let Ok(call) = self.calls.recv() else {
                return;
            };
            may_continue = self.make_next_call(&connection, &call);
        }
    }

    /// Makes a call over the connection of an earlier one. Returns whether the connection can be
    /// used again.
    fn make_next_call(&self, connection: &Connection, call: &Call) -> bool {
        if !connection.is_idle() {
            self.report(call, Err(CallError::StaleConnection));
            return false;
        }
        self.make_call(connection, call)
    }

    /// Makes a call and reports its result. Returns whether the connection can be used again.
    fn make_call(&self, connection: &Connection, call: &Call) -> bool {
        match self.exchange(connection, call) {
            Ok(response) => {
                let keep_alive = response.keep_alive;
                self.report(call, Ok(response));
                keep_alive
            }
            Err(failure) => {
                self.report_failure(call, failure);
                false
            }
        }
    }

    fn exchange(
        &self,
        connection: &Connection,
        call: &Call,
    ) -> Result<http::Response, CallFailure> {
        let response = http::get(
            connection,
            self.address,
            &call.path,
            &self.buffers,
            call.deadline,
        )?;
        Ok(response)
    }

    fn report_failure(&self, call: &Call, failure: CallFailure) {
        let is_dropped = matches!(failure, CallFailure::Connection(ConnectionError::Stopped));
        if !is_dropped {
            self.report(call, Err(CallError::Failed(failure)));
        }
    }

    fn report(&self, call: &Call, result: CallResult) {
        self.events.send(WatchEvent::CallEnded {
            number: call.number,
            result,
        });
    }
}
