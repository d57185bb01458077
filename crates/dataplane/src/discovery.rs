//! Discovery: one coroutine that watches the list of servers over HTTP/1.1 and hands what it is told to the
//! desk. It owns the connection to the agent and the version of the list. It must never judge a server, and never stop
//! asking: an agent that is silent, refuses or talks nonsense is asked again soon.

mod agent;
mod backoff;
mod http;
mod list;
mod poll;
mod watch;

use std::sync::Arc;

pub use self::agent::Agent;
pub use self::list::{ListUpdate, update_of};
pub use self::watch::watch;
use crate::buffers::BufferPool;
use crate::descriptors::DescriptorBudget;
use crate::runtime_settings::SharedSettings;

/// What the watch needs.
pub struct Context {
    pub agent: Arc<Agent>,
    pub settings: Arc<SharedSettings>,
    /// For random draws.
    pub seed: u64,
    pub descriptors: Arc<DescriptorBudget>,
    pub buffers: Arc<BufferPool>,
}
