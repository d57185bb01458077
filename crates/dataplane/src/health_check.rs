//! Health checks: a request to a server for its load report, or a ping if servers don't send load
//! reports on request.
//!
//! This module owns the connections for health checks. Each connection has its own coroutine, which
//! sends the result of a check to the dispatcher. It keeps the connection open for the next check
//! if enough descriptors are available, since a new connection costs the server work. If no
//! descriptor is available for a check, the check waits in a queue. This module must never check a
//! server without a request from the dispatcher, and never delay a flow.

mod checker;
mod context;
mod exchange;
mod requests;
mod session;

pub use self::checker::HealthChecker;
pub use self::context::HealthCheckContext;

#[cfg(test)]
mod tests;
