//! Discovery: one coroutine watches the endpoint list at the platform's discovery agent over
//! HTTP/1.1 and sends the updates to the dispatcher. This module owns the connection to the agent
//! and the version of the list. It must never judge a server and never stop polling: if the agent
//! is silent, refuses connections or sends an unreadable response, it is polled again soon.
//!
//! [`watch`](fn@watch) is the loop. `poll_schedule` decides when calls are made and how long they
//! may take, from the deadlines of `list_deadline` and the random draws of `backoff`. A `session`
//! makes the calls (`call`) over a connection to the agent's current address (`agent`) by HTTP
//! (`http`). `list` parses the response body, and `list_version` tells which part of the list the
//! next call asks for.

mod agent;
mod backoff;
mod call;
mod context;
mod http;
mod list;
mod list_deadline;
mod list_version;
mod poll_schedule;
mod session;
mod watch;
mod watch_event;

pub use self::agent::Agent;
pub use self::context::DiscoveryContext;
pub use self::list::{ListUpdate, ListUpdateError, parse_list_update};
pub use self::watch::watch;
