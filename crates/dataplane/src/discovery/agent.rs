//! The address of the discovery agent, which a reload may change at any time. It owns the address
//! and the way to the coroutine that waits for an answer from there. It must never do I/O.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use crate::mailbox::Sender;
use crate::messages::FlowEvent;

/// The discovery agent, by its present address.
pub struct Agent {
    current: Mutex<Location>,
}

/// An address of the agent, and which of its addresses it is.
#[derive(Clone)]
pub(super) struct Location {
    /// The address.
    pub address: SocketAddr,
    /// How often the address had been changed. An address that comes back has another revision.
    pub revision: u64,
    /// Notifies the coroutine that waits for the agent.
    notifier: Option<Sender<FlowEvent>>,
}

impl Agent {
    /// Creates an agent at an address.
    pub fn new(address: SocketAddr) -> Arc<Self> {
        Arc::new(Agent {
            current: Mutex::new(Location {
                address,
                revision: 0,
                notifier: None,
            }),
        })
    }

    /// Sets another address, and stops a wait for an answer from the one before.
    pub fn set_address(&self, address: SocketAddr) {
        let mut current = self.current();
        current.address = address;
        current.revision += 1;
        if let Some(notifier) = &current.notifier {
            notifier.send(FlowEvent::Stop);
        }
    }

    /// Returns the present address.
    pub(super) fn location(&self) -> Location {
        self.current().clone()
    }

    /// Has `notifier` sent a stop when the address changes, in place of the one before. Returns
    /// false if the address has changed since `location` was read.
    pub(super) fn notify_on_change(
        &self,
        notifier: Sender<FlowEvent>,
        location: &Location,
    ) -> bool {
        let mut current = self.current();
        current.notifier = Some(notifier);
        current.revision == location.revision
    }

    fn current(&self) -> MutexGuard<'_, Location> {
        self.current.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
