//! The address of the discovery agent, which a configuration reload may change at any time. This
//! module owns the address and the handle that stops a coroutine waiting for a response from it. It
//! must never do I/O.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use crate::mailbox::Sender;
use crate::messages::CoroutineEvent;

/// The discovery agent's current address.
pub struct Agent {
    current: Mutex<Location>,
}

/// An address of the agent, with the revision that identifies it.
#[derive(Clone)]
pub(super) struct Location {
    /// The agent's socket address.
    pub address: SocketAddr,
    /// The number of address changes before this one was set. An address that is set again later
    /// gets another revision.
    pub revision: u64,
    /// Sends events to the coroutine that waits for the agent.
    notifier: Option<Sender<CoroutineEvent>>,
}

impl Agent {
    /// Creates an agent with its first address.
    pub fn new(address: SocketAddr) -> Arc<Self> {
        Arc::new(Agent {
            current: Mutex::new(Location {
                address,
                revision: 0,
                notifier: None,
            }),
        })
    }

    /// Sets a new address and stops a wait for a response from the previous one.
    pub fn set_address(&self, address: SocketAddr) {
        let mut current = self.current();
        current.address = address;
        current.revision += 1;
        if let Some(notifier) = &current.notifier {
            notifier.send(CoroutineEvent::Stop);
        }
    }

    /// Returns the current address and its revision.
    pub(super) fn location(&self) -> Location {
        self.current().clone()
    }

    /// Registers `notifier`, which replaces the previous one and is sent [`CoroutineEvent::Stop`]
    /// when the address changes. Returns false if the address has changed since `location` was
    /// read.
    pub(super) fn notify_on_change(
        &self,
        notifier: Sender<CoroutineEvent>,
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
