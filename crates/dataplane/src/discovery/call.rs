//! One call to the agent and its errors. This module owns no state and must never do I/O.

use std::io::ErrorKind;

use nettlemux_policy::Time;
use thiserror::Error;

use super::http::{HttpError, Response, ResponseError};
use super::list::ListUpdateError;
use super::list_deadline::FailureKind;
use super::poll_schedule::CallNumber;
use crate::connection::ConnectionError;

/// A call to the agent.
#[derive(Clone, Debug)]
pub(super) struct Call {
    /// The call's number.
    pub number: CallNumber,
    /// The path of the request.
    pub path: String,
    /// When the call is given up.
    pub deadline: Time,
}

/// The response to a call, or why there is none.
pub(super) type CallResult = Result<Response, CallError>;

/// Why a call got no response with status 200.
pub(super) enum CallError {
    /// The connection that was kept since the last call is no longer usable. Nothing was sent.
    StaleConnection,
    /// The call has failed.
    Failed(CallFailure),
}

/// Why a call has failed.
#[derive(Debug, Error)]
pub(super) enum CallFailure {
    /// The connection failed, or there was no response by the deadline.
    #[error(transparent)]
    Connection(#[from] ConnectionError),
    /// The response is not usable.
    #[error(transparent)]
    Response(#[from] ResponseError),
    /// The response body is not an update.
    #[error(transparent)]
    ListUpdate(#[from] ListUpdateError),
}

impl CallFailure {
    /// Returns the kind of the failure, which determines when the next call may start.
    pub fn kind(&self) -> FailureKind {
        match self {
            CallFailure::Connection(ConnectionError::Deadline) => FailureKind::NoResponse,
            CallFailure::Connection(_) => FailureKind::ConnectionLost,
            CallFailure::Response(_) | CallFailure::ListUpdate(_) => FailureKind::BadResponse,
        }
    }

    /// Returns whether the agent or its machine ended the connection or refused it. The agent may
    /// then be a new process when it responds again. The system reports the end of a connection by
    /// many errors, but a shortage of local resources by few, so only those few are excluded.
    pub fn suggests_restart(&self) -> bool {
        match self {
            CallFailure::Connection(ConnectionError::Closed) => true,
            CallFailure::Connection(ConnectionError::System(error)) => !matches!(
                error.kind(),
                ErrorKind::Interrupted | ErrorKind::OutOfMemory | ErrorKind::AddrNotAvailable
            ),
            _ => false,
        }
    }
}

impl From<HttpError> for CallFailure {
    fn from(error: HttpError) -> Self {
        match error {
            HttpError::Connection(error) => error.into(),
            HttpError::Response(error) => error.into(),
        }
    }
}
