//! One poll of the agent, over a connection that is kept between polls. This module owns that
//! connection. It must never poll an address that is no longer the agent's, and never wait past the
//! deadline of a poll.

use std::io::ErrorKind;

use nettlemux_policy::Time;
use thiserror::Error;

use super::agent::{Location, Notifier, WaitKind};
use super::backoff::FailureKind;
use super::context::DiscoveryContext;
use super::http::{self, HttpError, ResponseError};
use super::list::{self, ListUpdate, ListUpdateError};
use crate::connection::{Connection, ConnectionError};
use crate::mailbox::Mailbox;

/// The parameters of one poll.
pub struct Poll {
    /// When the poll starts.
    pub started_at: Time,
    /// The version since which changes are requested; `None` requests the complete list.
    pub from_version: Option<u64>,
    /// How long the agent may hold the request until there is a change.
    pub hold: Time,
    /// When the poll times out.
    pub deadline: Time,
    /// Whether the poll requests the complete list because the agent may have been restarted.
    pub after_restart: bool,
    /// The longest interval between polls that the settings allow. `None` if the balancer watches
    /// an agent that it doesn't share with other balancers.
    pub interval_max: Option<Time>,
}

impl Poll {
    /// Returns the path of the request.
    pub fn path(&self) -> String {
        list::request_path(self.from_version, self.hold)
    }
}

/// Why a poll got no update.
pub enum PollError {
    /// The agent's address changed during the poll.
    AddressChanged,
    /// No file descriptor is available for a connection.
    NoDescriptor,
    /// The agent gave no usable response.
    Failed(PollFailure),
}

/// Why the agent gave no usable response.
#[derive(Debug, Error)]
pub enum PollFailure {
    /// The connection failed, or there was no response by the deadline.
    #[error(transparent)]
    Connection(ConnectionError),
    /// The response is not usable.
    #[error(transparent)]
    Response(ResponseError),
    /// The response body is not an update.
    #[error(transparent)]
    ListUpdate(ListUpdateError),
}

impl PollFailure {
    /// Returns the kind of the failure, which determines when the next poll may start.
    pub fn kind(&self) -> FailureKind {
        match self {
            PollFailure::Connection(_) => FailureKind::NoResponse,
            PollFailure::Response(_) | PollFailure::ListUpdate(_) => FailureKind::BadResponse,
        }
    }

    /// Returns whether the agent or its machine ended the connection or refused it. The agent may
    /// then be a new process when it responds again. The system reports the end of a connection by
    /// many errors, but a shortage of local resources by few, so only those few are excluded.
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
            // Only a change of the agent's address stops a wait for the agent.
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

/// Polls the agent and keeps the connection to it.
pub struct AgentClient<'a> {
    context: &'a DiscoveryContext,
    /// The connection of the last poll, if it may be reused.
    connection: Option<Connection>,
    /// Whether the agent may have been restarted. Its list may then differ under the same version
    /// number, which nothing in its responses shows.
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

    /// Closes the kept connection.
    pub fn disconnect(&mut self) {
        self.connection = None;
    }

    /// Polls the agent once.
    ///
    /// # Errors
    /// The poll got no update. The connection isn't kept then.
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

    /// Takes the kept connection if it is still usable, else opens a new one.
    fn take_connection(
        &mut self,
        location: &Location,
        deadline: Time,
    ) -> Result<Connection, PollError> {
        match self.connection.take() {
            Some(connection) if connection.is_idle() => Ok(connection),
            stale => {
                // An agent that restarted between two polls ended the kept connection. Only this
                // check detects it.
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
        let notifier = Notifier {
            sender: mailbox.sender(),
            wait: WaitKind::Response,
        };
        if !self.context.agent.notify_on_reload(notifier, location) {
            return Err(PollError::AddressChanged);
        }
        let connection = Connection::dial(mailbox, location.address, permit, deadline)?;
        Ok(connection)
    }
}
