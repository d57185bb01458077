//! What health checks share. It owns the health checks' part in the descriptor budget, and must
//! never open a connection.

use std::sync::Arc;

use crate::buffers::BufferPool;
use crate::descriptors::{DescriptorBudget, DescriptorPermit};
use crate::mailbox::Sender;
use crate::messages::DispatcherMessage;
use crate::runtime_settings::SharedSettings;

/// Descriptors that health checks leave to discovery: its call, and the next when that is dropped.
const DISCOVERY_DESCRIPTORS: usize = 2;
/// Descriptors, with those of discovery, that no connection is kept on between two checks.
const UNKEPT_DESCRIPTORS: usize = 6;

/// What all health checks use.
#[derive(Clone)]
pub struct HealthCheckContext {
    /// The way to the dispatcher, which gets the answers.
    pub dispatcher: Sender<DispatcherMessage>,
    /// Permits to open sockets, shared with discovery.
    pub descriptors: Arc<DescriptorBudget>,
    /// Line buffers.
    pub buffers: Arc<BufferPool>,
    /// The settings that hold now: what is requested, and the load reports' format.
    pub settings: Arc<SharedSettings>,
}

impl HealthCheckContext {
    /// Takes a permit for a connection; none where those left are discovery's.
    pub(super) fn acquire_permit(&self) -> Option<DescriptorPermit> {
        self.descriptors.try_acquire_leaving(DISCOVERY_DESCRIPTORS)
    }

    /// Returns whether a connection may stay open until the next check. Guards against more servers
    /// than descriptors: the last few are used in turn.
    pub(super) fn may_keep_connection(&self) -> bool {
        self.descriptors.has_more_than(UNKEPT_DESCRIPTORS)
    }
}
