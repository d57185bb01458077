//! One call to the agent, over a connection that is kept between calls.

use std::io::ErrorKind;

use nettlemux_policy::{MS, Time};

use super::agent::Location;
use super::list::{self, ListUpdate};
use super::{Context, http};
use crate::connection::{Connection, ConnectionError};
use crate::mailbox::Mailbox;

/// One call.
pub struct Request {
    pub started: Time,
    /// The version to ask from; none for the whole list.
    pub from: Option<u64>,
    pub hold: Time,
    pub deadline: Time,
    /// It asks for the whole list since the agent may have been started anew.
    pub after_restart: bool,
    /// Where one service is asked by all balancers: the longest pause that the settings allow.
    pub ask_within: Option<Time>,
}

impl Request {
    pub fn path(&self) -> String {
        match self.from {
            Some(version) => format!("/api/targets?from={version}&hold_ms={}", self.hold / MS),
            None => "/api/targets".to_string(),
        }
    }
}

/// Why a call brought no list.
pub enum CallError {
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

/// Calls the agent.
pub struct AgentClient<'a> {
    context: &'a Context,
    /// Kept from the last call.
    connection: Option<Connection>,
    /// The agent may have been started anew: its list may be another under the very number that we have, which nothing
    /// shows.
    pub restarted: bool,
}

impl<'a> AgentClient<'a> {
    pub fn new(context: &'a Context) -> Self {
        AgentClient {
            context,
            connection: None,
            restarted: false,
        }
    }

    /// Closes the connection that was kept.
    pub fn disconnect(&mut self) {
        self.connection = None;
    }

    /// Makes one call. After an error no connection is kept.
    pub fn call(
        &mut self,
        location: &Location,
        request: &Request,
    ) -> Result<ListUpdate, CallError> {
        let result = self.exchange(location, request);
        if let Err(CallError::Failed(error)) = &result {
            self.restarted |= ended(error);
        }
        result
    }

    fn exchange(
        &mut self,
        location: &Location,
        request: &Request,
    ) -> Result<ListUpdate, CallError> {
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
