//! The resources that all health checks share. This module decides how much of the descriptor
//! budget health checks may use, and must never open a connection.

use std::sync::Arc;

use crate::buffers::BufferPool;
use crate::descriptors::{DescriptorBudget, DescriptorPermit};
use crate::mailbox::Sender;
use crate::messages::DispatcherMessage;
use crate::runtime_settings::SharedSettings;

/// Descriptors that health checks leave to discovery: one for each of its two calls in flight, and
/// one for the next connection while an earlier one is being closed.
const DISCOVERY_RESERVED_DESCRIPTORS: usize = 3;
/// Free descriptors, including those for discovery, up to which no connection is kept between two
/// checks.
const KEEP_ALIVE_RESERVED_DESCRIPTORS: usize = 7;

/// The resources that all health checks share.
#[derive(Clone)]
pub struct HealthCheckContext {
    /// Sends the results to the dispatcher.
    pub dispatcher: Sender<DispatcherMessage>,
    /// Permits to open sockets, shared with discovery.
    pub descriptors: Arc<DescriptorBudget>,
    /// Line buffers.
    pub buffers: Arc<BufferPool>,
    /// The current settings, which select the request and the format of load reports.
    pub settings: Arc<SharedSettings>,
}

impl HealthCheckContext {
    /// Takes a permit for a connection; `None` if only the descriptors for discovery are left.
    pub(super) fn acquire_permit(&self) -> Option<DescriptorPermit> {
        self.descriptors
            .try_acquire_with_reserve(DISCOVERY_RESERVED_DESCRIPTORS)
    }

    /// Returns whether a connection may stay open until the next check. The last few descriptors
    /// are used in turn, since there may be more servers than descriptors.
    pub(super) fn may_keep_connection(&self) -> bool {
        self.descriptors
            .has_more_than(KEEP_ALIVE_RESERVED_DESCRIPTORS)
    }
}
