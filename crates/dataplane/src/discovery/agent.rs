//! The address of the discovery agent, which a configuration reload may change at any time. This
//! module owns the address, the times of the recent reloads and the sender that wakes the coroutine
//! that watches the endpoint list. It must never do I/O.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use nettlemux_policy::Time;

use super::list_deadline::RecentReloads;
use super::watch_event::WatchEvent;
use crate::mailbox::Sender;

/// The discovery agent's current address.
pub struct Agent {
    state: Mutex<AgentState>,
}

struct AgentState {
    location: Location,
    /// Wakes the coroutine that watches the list; `None` before it has started.
    watch: Option<Sender<WatchEvent>>,
}

/// An address of the agent, with the revision that identifies it.
#[derive(Clone, Copy)]
pub(super) struct Location {
    /// The agent's socket address.
    pub address: SocketAddr,
    /// The number of address changes before this one was set. An address that is set again later
    /// gets another revision.
    pub revision: u64,
    /// The reloads by which the agent's list must be known soon.
    pub reloads: RecentReloads,
}

impl Agent {
    /// Creates an agent with its first address.
    pub fn new(address: SocketAddr) -> Arc<Self> {
        let location = Location {
            address,
            revision: 0,
            reloads: RecentReloads::default(),
        };
        Arc::new(Agent {
            state: Mutex::new(AgentState {
                location,
                watch: None,
            }),
        })
    }

    /// Records a reload whose signal came at `signalled_at`, and wakes the watch.
    pub fn reload(&self, address: SocketAddr, signalled_at: Time) {
        let mut state = self.state();
        let location = &mut state.location;
        location.revision += u64::from(address != location.address);
        location.address = address;
        location.reloads.record(signalled_at);
        if let Some(watch) = &state.watch {
            watch.send(WatchEvent::Reloaded);
        }
    }

    /// Returns the current address and its revision.
    pub(super) fn location(&self) -> Location {
        self.state().location
    }

    /// Sends [`WatchEvent::Reloaded`] to `watch` from now on, in place of an earlier watch.
    pub(super) fn notify(&self, watch: Sender<WatchEvent>) {
        self.state().watch = Some(watch);
    }

    fn state(&self) -> MutexGuard<'_, AgentState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
