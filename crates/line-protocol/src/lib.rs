//! The frontend for clients that use the platform's line protocol. It accepts their connections,
//! reads their first lines and passes the admitted flows to the data plane. It owns the listener,
//! the connections whose first line has not been received, and the format of first lines. It must
//! never choose a server, decide on a retry or limit the load.
//!
//! [`acceptor::accept`] accepts a connection. [`first_line::parse`] parses its first line, which is
//! then checked against the [`settings::FirstLineSettings`]. The resulting flow is passed to
//! [`nettlemux_dataplane::pipeline::serve`].

#![warn(missing_docs)]

mod accepted;
pub mod acceptor;
mod admit;
pub mod first_line;
mod pending;
pub mod settings;
mod unanswered;
