//! Health checks: a request to a server for its load report or, where load reports aren't sent on
//! request, for a sign of life.
//!
//! This module owns the connections that servers are checked on. Each has a coroutine of its own,
//! which tells the dispatcher what the server has answered and keeps the connection open for the
//! next check where it may, since a new one costs the server work. Servers that no descriptor is
//! left for wait in a queue. It must never check a server unasked, and never hold up a flow.

mod checker;
mod context;
mod exchange;
mod requests;
mod session;

pub use self::checker::HealthChecker;
pub use self::context::HealthCheckContext;

#[cfg(test)]
mod tests;
