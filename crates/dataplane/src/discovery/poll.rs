//! One poll of the agent, over a connection that is kept between polls. It owns that connection. It
//! must never poll an address that the agent has left, nor wait past a poll's deadline.

use std::io::ErrorKind;

use nettlemux_policy::Time;
use thiserror::Error;

use super::agent::Location;
use super::backoff::FailureKind;
use super::context::DiscoveryContext;
use super::http::{self, HttpError, ResponseError};
use super::list::{self, ListUpdate, ListUpdateError};
use crate::connection::{Connection, ConnectionError};
use crate::mailbox::Mailbox;

/// What is requested of the agent, and how long its answer may take.
pub struct Poll {
    /// When the poll begins.
    pub started_at: Time,
    /// The version since which changes are requested; none requests the complete list.
    pub from_version: Option<u64>,
    /// How long the agent may hold the request until there is a change.
    pub hold: Time,
    /// When the poll is given up.
    pub deadline: Time,
    /// Whether it requests the complete list because the agent may have been restarted.
    pub after_restart: bool,
    /// The longest interval between polls that the settings allow; none where the agent is watched.
    pub interval_max: Option<Time>,
}

impl Poll {
    /// Returns the path of the request.
    pub fn path(&self) -> String {
        list::request_path(self.from_version, self.hold)
    }
}

/// Why a poll brought no update.
pub enum PollError {
    /// The agent's address has changed meanwhile.
    AddressChanged,
    /// No descriptor is left for a connection.
    NoDescriptor,
    /// The agent gave no answer that can be used.
    Failed(PollFailure),
}

/// Why the agent gave no answer that can be used.
#[derive(Debug, Error)]
pub enum PollFailure {
    /// There is no connection, or no response on it in time.
    #[error(transparent)]
    Connection(ConnectionError),
    /// The response can't be used.
    #[error(transparent)]
    Response(ResponseError),
    /// The response's body is no update.
    #[error(transparent)]
    ListUpdate(ListUpdateError),
}

impl PollFailure {
    /// Returns what the failure means for the time of the next poll.
    pub fn kind(&self) -> FailureKind {
        match self {
            PollFailure::Connection(_) => FailureKind::NoResponse,
            PollFailure::Response(_) | PollFailure::ListUpdate(_) => FailureKind::BadResponse,
        }
    }

    /// Returns whether the agent or its machine has ended the connection, or takes none: it may be
    /// another process when it answers. The system reports a connection's end by many errors, and
    /// a want of its own by few, so only these few are excluded.
    fn suggests_restart(&self) -> bool {
        match self {
            PollFailure::Connection(ConnectionError::Closed) => true,
            PollFailure::Connection(ConnectionError::System(error)) => !matches!(
                error.kind(),
                ErrorKind::Interrupted | ErrorKind::OutOfMemory | ErrorKind::AddrNotAvailable
            ),
            _ => false,
        }
    }
}

impl From<ConnectionError> for PollError {
    fn from(error: ConnectionError) -> Self {
        match error {
            // Only a change of the agent's address stops a wait for it.
            ConnectionError::Stopped => PollError::AddressChanged,
            error => PollError::Failed(PollFailure::Connection(error)),
        }
    }
}

impl From<HttpError> for PollError {
    fn from(error: HttpError) -> Self {
        match error {
            HttpError::Connection(error) => error.into(),
            HttpError::Response(error) => PollError::Failed(PollFailure::Response(error)),
        }
    }
}

impl From<ListUpdateError> for PollError {
    fn from(error: ListUpdateError) -> Self {
        PollError::Failed(PollFailure::ListUpdate(error))
    }
}

/// Polls the agent.
pub struct AgentClient<'a> {
    context: &'a DiscoveryContext,
    /// Kept from the last poll.
    connection: Option<Connection>,
    /// Whether the agent may have been restarted: its list may then be another under the very
    /// version that is known, which nothing in its answers shows.
    pub restart_suspected: bool,
}

impl<'a> AgentClient<'a> {
    /// Creates a client without a connection.
    pub fn new(context: &'a DiscoveryContext) -> Self {
        AgentClient {
            context,
            connection: None,
            restart_suspected: false,
        }
    }

    /// Closes the connection that was kept.
    pub fn disconnect(&mut self) {
        self.connection = None;
    }

    /// Polls the agent once.
    ///
    /// # Errors
    /// There is no update; no connection is kept then.
    pub fn poll(&mut self, location: &Location, poll: &Poll) -> Result<ListUpdate, PollError> {
        let result = self.request_update(location, poll);
        if let Err(PollError::Failed(failure)) = &result {
            self.restart_suspected |= failure.suggests_restart();
        }
        result
    }

    fn request_update(
        &mut self,
        location: &Location,
        poll: &Poll,
    ) -> Result<ListUpdate, PollError> {
        let connection = self.take_connection(location, poll.deadline)?;
        let response = http::get(
            &connection,
            location.address,
            &poll.path(),
            &self.context.buffers,
            poll.deadline,
        )?;
        let update = list::parse_body(&response.body)?;
        if response.keep_alive {
            self.connection = Some(connection);
        }
        Ok(update)
    }

    /// Takes the connection that was kept if it is still of use, else opens another.
    fn take_connection(
        &mut self,
        location: &Location,
        deadline: Time,
    ) -> Result<Connection, PollError> {
        match self.connection.take() {
            Some(connection) if connection.is_idle() => Ok(connection),
            stale => {
                // Guards against an agent that was restarted between two polls: the end of its
                // connection shows here and nowhere else.
                self.restart_suspected |= stale.is_some();
                drop(stale);
                self.connect(location, deadline)
            }
        }
    }

    fn connect(&self, location: &Location, deadline: Time) -> Result<Connection, PollError> {
        let permit = self
            .context
            .descriptors
            .try_acquire()
            .ok_or(PollError::NoDescriptor)?;
        let mailbox = Mailbox::new();
        let agent = &self.context.agent;
        if !agent.notify_on_change(mailbox.sender(), location) {
            return Err(PollError::AddressChanged);
        }
        let connection = Connection::dial(mailbox, location.address, permit, deadline)?;
        Ok(connection)
    }
}
