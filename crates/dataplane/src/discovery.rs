//! Discovery: one coroutine watches the endpoint list at the platform's discovery agent over
//! HTTP/1.1 and sends the updates to the dispatcher. This module owns the connection to the agent
//! and the version of the list. It must never judge a server and never stop polling: if the agent
//! is silent, refuses connections or sends an unreadable response, it is polled again soon.
//!
//! [`watch`](fn@watch) is the loop. Each iteration makes one poll (`poll`) of the agent's current
//! address (`agent`) over HTTP (`http`). `list` parses the response body, `backoff` computes the
//! delay after a failed poll, and `reload_deadline` tells how much time is left after a reload.

mod agent;
mod backoff;
mod context;
mod http;
mod list;
mod poll;
mod reload_deadline;
mod watch;

pub use self::agent::Agent;
pub use self::context::DiscoveryContext;
pub use self::list::{ListUpdate, ListUpdateError, parse_list_update};
pub use self::watch::watch;
