//! The front for clients that speak the platform's lines: it takes in their connections, reads
//! their first lines and hands the flows that it admits to the core. It must never choose a server,
//! a retry or a limit on load.

pub mod acceptor;
mod admit;
pub mod first_line;
