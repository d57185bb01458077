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
mod http;
mod list;
mod poll;
mod watch;

use std::sync::Arc;

pub use self::agent::Agent;
pub use self::list::{ListUpdate, ListUpdateError, parse_list_update};
pub use self::watch::watch;
use crate::buffers::BufferPool;
use crate::descriptors::DescriptorBudget;
use crate::runtime_settings::SharedSettings;

/// What [`watch`](fn@watch) needs of the rest of the program.
pub struct DiscoveryContext {
    /// The agent that is polled.
    pub agent: Arc<Agent>,
    /// The settings that hold now; the longest interval between polls is read before each.
    pub settings: Arc<SharedSettings>,
    /// The seed of the backoff's random draws.
    pub seed: u64,
    /// The budget that the connection to the agent is opened from.
    pub descriptors: Arc<DescriptorBudget>,
    /// The pool of buffers that answers are read into.
    pub buffers: Arc<BufferPool>,
}
