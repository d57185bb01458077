//! The dependencies of the discovery watch on the rest of the program. This module owns nothing
//! itself and must never make a decision.

use std::sync::Arc;

use super::agent::Agent;
use crate::buffers::BufferPool;
use crate::descriptors::DescriptorBudget;
use crate::runtime_settings::SharedSettings;

/// The dependencies of [`watch`](fn@super::watch).
pub struct DiscoveryContext {
    /// The discovery agent to poll.
    pub agent: Arc<Agent>,
    /// The current settings. The longest interval between polls is read before each poll.
    pub settings: Arc<SharedSettings>,
    /// The seed of the random backoff.
    pub seed: u64,
    /// The descriptor budget for the connection to the agent.
    pub descriptors: Arc<DescriptorBudget>,
    /// The pool of the buffers that responses are read into.
    pub buffers: Arc<BufferPool>,
}
