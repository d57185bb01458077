//! Discovery: one coroutine that watches the endpoint list at the platform's agent over HTTP/1.1
//! and sends its updates to the dispatcher. It owns the connection to the agent and the version of
//! the list. It must never judge a server, and never stop polling: an agent that is silent, refuses
//! connections or sends what can't be read is polled again soon.
//!
//! [`watch`](fn@watch) is the loop. Each turn is one poll (`poll`) at the agent's present address
//! (`agent`), over HTTP (`http`); `list` reads the answer, and `backoff` says when the next poll
//! follows one that failed.

mod agent;
mod backoff;
mod context;
mod http;
mod list;
mod poll;
mod watch;

pub use self::agent::Agent;
pub use self::context::DiscoveryContext;
pub use self::list::{ListUpdate, ListUpdateError, parse_list_update};
pub use self::watch::watch;
