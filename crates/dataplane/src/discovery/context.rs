//! What the watch needs of the rest of the program. It owns nothing by itself, and must never
//! decide anything.

use std::sync::Arc;

use super::agent::Agent;
use crate::buffers::BufferPool;
use crate::descriptors::DescriptorBudget;
use crate::runtime_settings::SharedSettings;

/// What [`watch`](fn@super::watch) needs of the rest of the program.
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
