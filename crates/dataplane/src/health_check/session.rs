//! The consecutive health checks of one server. A [`Session`] owns the connection that is kept
//! between two checks.

use std::sync::Arc;

use nettlemux_policy::{LoadReport, MS, ServerId, Time};
use thiserror::Error;
use tracing::{debug, warn};

use super::context::HealthCheckContext;
use super::exchange::{self, Exchange};
use super::requests::RequestReceiver;
use crate::clock;
use crate::connection::{Connection, ConnectionError};
use crate::descriptors::DescriptorPermit;
use crate::mailbox::Mailbox;
use crate::messages::{DispatcherMessage, HealthCheckResult, Server, ServerIncarnation};
use crate::wire::HealthCheckAnswer;

/// The time without an answer after which a check has failed. Well below the policy's shortest
/// check interval, and far above the time in which a server that still serves messages answers.
const CHECK_TIMEOUT: Time = 500 * MS;

/// Why a health check got no answer.
#[derive(Debug, Error)]
enum HealthCheckError {
    /// All descriptors for health checks are in use.
    #[error("no file descriptor available for a health check")]
    NoDescriptor,
    /// The server did not answer.
    #[error(transparent)]
    Connection(#[from] ConnectionError),
}

/// Checks one server. Ends when the server is no longer listed, or when no connection is kept and
/// no check is requested.
pub(super) struct Session {
    server_id: ServerId,
    requests: RequestReceiver,
    /// The permit for the first connection; `None` after that connection has been opened.
    first_permit: Option<DescriptorPermit>,
    kept: Option<KeptConnection>,
    context: HealthCheckContext,
}

/// A connection that stays open between two checks.
struct KeptConnection {
    server: Arc<Server>,
    connection: Connection,
}

impl Session {
    /// Returns a session that uses `permit` for its first connection.
    pub(super) fn new(
        server_id: ServerId,
        requests: RequestReceiver,
        permit: DescriptorPermit,
        context: HealthCheckContext,
    ) -> Self {
        Session {
            server_id,
            requests,
            first_permit: Some(permit),
            kept: None,
            context,
        }
    }

    /// Checks the server once, and then once for each request.
    pub(super) fn run(mut self, server: Arc<Server>) {
        let mut next = Some(server);
        while let Some(server) = next {
            let incarnation = ServerIncarnation::of(&server);
            let result = self.check(&server);
            self.report(incarnation, &server, result);
            next = self.next_request();
        }
    }

    fn check(&mut self, server: &Arc<Server>) -> Result<HealthCheckAnswer, HealthCheckError> {
        let deadline = clock::now() + CHECK_TIMEOUT;
        let exchange = self.exchange(server, deadline)?;
        if self.context.may_keep_connection() {
            self.kept = exchange.connection.map(|connection| KeptConnection {
                server: server.clone(),
                connection,
            });
        }
        Ok(exchange.answer)
    }

    /// Sends the request over the kept connection, or over a new one if the kept one has failed.
    fn exchange(
        &mut self,
        server: &Arc<Server>,
        deadline: Time,
    ) -> Result<Exchange, HealthCheckError> {
        if let Some(connection) = self.take_kept(server) {
            match exchange::run(connection, server, &self.context, deadline) {
                Ok(exchange) => return Ok(exchange),
                Err(ConnectionError::Deadline) => return Err(ConnectionError::Deadline.into()),
                Err(_) => {}
            }
        }
        let connection = self.connect(server, deadline)?;
        Ok(exchange::run(connection, server, &self.context, deadline)?)
    }

    /// Takes the kept connection if the server's entry is unchanged and the connection is idle.
    fn take_kept(&mut self, server: &Arc<Server>) -> Option<Connection> {
        self.kept
            .take()
            .filter(|kept| Arc::ptr_eq(&kept.server, server) && kept.connection.is_idle())
            .map(|kept| kept.connection)
    }

    fn connect(&mut self, server: &Server, deadline: Time) -> Result<Connection, HealthCheckError> {
        let permit = self
            .first_permit
            .take()
            .or_else(|| self.context.acquire_permit())
            .ok_or(HealthCheckError::NoDescriptor)?;
        let connection = Connection::dial(Mailbox::new(), server.address, permit, deadline)?;
        Ok(connection)
    }

    /// Sends the result of a check to the dispatcher.
    fn report(
        &self,
        incarnation: ServerIncarnation,
        server: &Server,
        result: Result<HealthCheckAnswer, HealthCheckError>,
    ) {
        let answer = match result {
            Ok(answer) => answer,
            // The balancer's own lack of descriptors must not count against the server. The server
            // is checked again when its next check is due.
            Err(HealthCheckError::NoDescriptor) => {
                warn!(
                    server = server.name,
                    "no file descriptor available for a health check"
                );
                return;
            }
            Err(HealthCheckError::Connection(e)) => {
                debug!(server = server.name, error = %e, "health check failed");
                HealthCheckAnswer {
                    passed: false,
                    report: LoadReport::default(),
                }
            }
        };
        let result = HealthCheckResult {
            server_id: self.server_id,
            incarnation,
            passed: answer.passed,
            report: answer.report,
        };
        self.context
            .dispatcher
            .send(DispatcherMessage::HealthChecked(result));
    }

    /// Returns the next request, or `None` if the session is to end. Waits for it if a connection
    /// is kept. Else takes only a request that came during the last check, which would otherwise be
    /// lost with the session.
    pub(super) fn next_request(&self) -> Option<Arc<Server>> {
        if self.kept.is_some() {
            self.requests.next()
        } else {
            self.requests.next_or_close()
        }
    }
}
