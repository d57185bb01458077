//! The front for clients that speak the platform's protocol of lines. It accepts their connections,
//! reads their first lines and hands the flows that it admits to the data plane. It owns the
//! listener, the connections whose first line hasn't come, and the form of that line. It must never
//! choose a server, a retry or a limit on load.
//!
//! A connection is taken in by [`acceptor::accept`]; its first line is read by
//! [`first_line::parse`] and checked against the [`settings::FirstLineSettings`]; the flow that is
//! made of it goes to [`nettlemux_dataplane::pipeline::serve`].

#![warn(missing_docs)]

mod accepted;
pub mod acceptor;
mod admit;
pub mod first_line;
mod pending;
pub mod settings;
mod unanswered;
