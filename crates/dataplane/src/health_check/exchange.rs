//! One health check on a connection: the request and the server's answer. This module must never
//! open a connection or retry.

use nettlemux_policy::Time;
use tracing::debug;

use super::context::HealthCheckContext;
use crate::connection::{Connection, ConnectionError};
use crate::messages::Server;
use crate::runtime_settings::RuntimeSettings;
use crate::wire::{self, HealthCheckAnswer};

/// The result of one check.
pub(super) struct Exchange {
    /// The server's answer.
    pub(super) answer: HealthCheckAnswer,
    /// The connection; `None` if the server sent more than the answer.
    pub(super) connection: Option<Connection>,
}

/// Sends the health check request to a server and reads the answer.
///
/// # Errors
/// No line arrived by the deadline, or the connection failed.
pub(super) fn run(
    connection: Connection,
    server: &Server,
    context: &HealthCheckContext,
    deadline: Time,
) -> Result<Exchange, ConnectionError> {
    let settings = context.settings.current();
    connection.write(request(&settings), deadline)?;
    let mut buffer = context.buffers.take();
    let mut filled = 0;
    let line = connection.read_line(&mut buffer[..], &mut filled, deadline)?;
    let text = &buffer[..line.length];
    debug!(server = server.name, answer = %String::from_utf8_lossy(text), "health check answered");
    let is_last_line = line.next_start == filled;
    Ok(Exchange {
        answer: HealthCheckAnswer::parse(text, &settings.report_format),
        connection: is_last_line.then_some(connection),
    })
}

/// Returns the request line, which depends on whether servers send load reports on request.
fn request(settings: &RuntimeSettings) -> &'static [u8] {
    if settings.load_reports_on_request {
        wire::REQUEST_LOAD_REPORT
    } else {
        wire::REQUEST_PING
    }
}
