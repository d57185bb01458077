//! The address of the discovery agent, which a configuration reload may change at any time. This
//! module owns the address, the times of the recent reloads and the handle that wakes a coroutine
//! waiting for a response or for its next poll. It must never do I/O.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use nettlemux_policy::Time;

use super::reload_deadline::RecentReloads;
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
    /// The reloads by which the agent's list must be known soon.
    pub reloads: RecentReloads,
    notifier: Option<Notifier>,
}

/// Wakes the coroutine that polls the agent.
#[derive(Clone)]
pub(super) struct Notifier {
    /// Sends [`CoroutineEvent::Stop`] to the coroutine.
    pub sender: Sender<CoroutineEvent>,
    /// What the coroutine waits for.
    pub wait: WaitKind,
}

/// What the coroutine that polls the agent waits for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum WaitKind {
    /// A response. Only a change of the agent's address ends the wait.
    Response,
    /// The end of the backoff. Any reload ends the wait.
    Backoff,
}

impl Agent {
    /// Creates an agent with its first address.
    pub fn new(address: SocketAddr) -> Arc<Self> {
        Arc::new(Agent {
            current: Mutex::new(Location {
                address,
                revision: 0,
                reloads: RecentReloads::default(),
                notifier: None,
            }),
        })
    }

    /// Records a reload whose signal came at `signalled_at`. A new address stops a wait for a
    /// response from the previous one.
    pub fn reload(&self, address: SocketAddr, signalled_at: Time) {
        let mut current = self.current();
        let has_moved = address != current.address;
        current.address = address;
        current.revision += u64::from(has_moved);
        current.reloads.record(signalled_at);
        if let Some(notifier) = &current.notifier
            && (has_moved || notifier.wait == WaitKind::Backoff)
        {
            notifier.sender.send(CoroutineEvent::Stop);
        }
    }

    /// Returns the current address and its revision.
    pub(super) fn location(&self) -> Location {
        self.current().clone()
    }

    /// Registers `notifier`, which replaces the previous one and is sent [`CoroutineEvent::Stop`]
    /// at a reload that ends its wait. Returns false if the address has changed since `location`
    /// was read.
    pub(super) fn notify_on_reload(&self, notifier: Notifier, location: &Location) -> bool {
        let mut current = self.current();
        current.notifier = Some(notifier);
        current.revision == location.revision
    }

    fn current(&self) -> MutexGuard<'_, Location> {
        self.current.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
