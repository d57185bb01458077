//! Where the discovery agent is, which a new configuration may change at any time. It owns the address and the way to
//! whoever waits for an answer from there; it must never do I/O.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use crate::mailbox::Sender;
use crate::messages::FlowEvent;

/// Where the agent is now. It may move at any time, also several times in a row.
pub struct Agent {
    current: Mutex<Location>,
}

#[derive(Clone)]
pub(super) struct Location {
    pub address: SocketAddr,
    /// How often it has moved.
    pub moves: u64,
    /// Wakes whoever waits for the agent.
    notifier: Option<Sender<FlowEvent>>,
}

impl Agent {
    pub fn new(address: SocketAddr) -> Arc<Self> {
        Arc::new(Agent {
            current: Mutex::new(Location {
                address,
                moves: 0,
                notifier: None,
            }),
        })
    }

    /// From now on the agent is there: a call that is held elsewhere is dropped.
    pub fn moves_to(&self, address: SocketAddr) {
        let mut current = self.current();
        (current.address, current.moves) = (address, current.moves + 1);
        if let Some(notifier) = &current.notifier {
            notifier.send(FlowEvent::Stop);
        }
    }

    pub(super) fn location(&self) -> Location {
        self.current().clone()
    }

    /// Wakes this one when the agent moves; false where it has moved from there already.
    pub(super) fn notify(&self, notifier: Sender<FlowEvent>, location: &Location) -> bool {
        let mut current = self.current();
        current.notifier = Some(notifier);
        current.moves == location.moves
    }

    fn current(&self) -> MutexGuard<'_, Location> {
        self.current.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
