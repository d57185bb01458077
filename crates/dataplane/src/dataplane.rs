//! The state that all flows share, whichever front admitted them. It owns the flows' numbers and
//! must never decide how a flow continues or ends.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use nettlemux_policy::FlowId;

use crate::buffers::BufferPool;
use crate::client_ids::ClientIds;
use crate::descriptors::DescriptorBudgets;
use crate::mailbox::Sender;
use crate::messages::DispatcherMessage;
use crate::runtime_settings::SharedSettings;

/// The state that the stages of all flows use.
pub struct Dataplane {
    /// Sends messages to the dispatcher.
    pub dispatcher: Sender<DispatcherMessage>,
    /// Line buffers.
    pub buffers: Arc<BufferPool>,
    /// Permits to open sockets.
    pub descriptor_budgets: DescriptorBudgets,
    /// The clients' own ids.
    pub client_ids: Arc<ClientIds>,
    /// The current settings.
    pub settings: Arc<SharedSettings>,
    /// The number of the next flow.
    pub next_flow: AtomicU64,
}

impl Dataplane {
    /// Returns a new flow's number.
    pub fn next_flow_id(&self) -> FlowId {
        self.next_flow.fetch_add(1, Ordering::Relaxed)
    }
}
