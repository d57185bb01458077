//! When servers started, by the balancer's own clock. It owns the starts that discovery has
//! reported, and must never read a clock.
//!
//! Discovery reports starts in Unix time, and a machine's wall clock may be off, by an hour too. So
//! a reported start is believed only where nothing better is known: a server that starts while the
//! list is watched has started, at the latest, when that was reported.

use std::collections::HashMap;

use nettlemux_policy::{ServerId, Time};

/// Servers that are no longer listed and whose starts are kept at least: a server that is listed
/// again after a mistake has not been restarted.
const UNLISTED_SERVERS_MAX: usize = 1024;

/// A server's start.
#[derive(Clone, Copy)]
struct Start {
    /// As discovery has reported it.
    reported: Time,
    /// By the balancer's clock.
    local: Time,
}

/// The starts of the servers that discovery has reported.
#[derive(Default)]
pub struct StartTimes {
    starts: HashMap<ServerId, Start>,
    /// Whether an update has come from discovery: a start that is new from then on has happened
    /// since.
    is_watching: bool,
}

impl StartTimes {
    /// Returns when a server started, by the balancer's clock, from the start that discovery
    /// reports for it; 0 stands for long ago.
    ///
    /// On the first list only the wall clock says how long ago a start was. A start in its future
    /// shows that the clock is behind; such a server counts as started now. Nothing shows a clock
    /// that is ahead.
    pub fn local_start(&mut self, now: Time, server_id: ServerId, reported: Time) -> Time {
        if reported == 0 {
            return 0;
        }
        let known = self.starts.get(&server_id);
        if let Some(start) = known.filter(|start| start.reported == reported) {
            return start.local;
        }
        let local = if self.is_watching {
            now
        } else {
            reported.min(now)
        };
        self.starts.insert(server_id, Start { reported, local });
        local
    }

    /// Notes that an update of the list has come from discovery: starts that are new after it have
    /// happened since.
    pub fn begin_watch(&mut self) {
        self.is_watching = true;
    }

    /// Forgets the servers that are no longer listed, once there are many of them. `listed` counts
    /// the servers on the list.
    pub fn forget_unlisted(&mut self, listed: usize, is_listed: impl Fn(ServerId) -> bool) {
        if self.starts.len() > listed + UNLISTED_SERVERS_MAX {
            self.starts.retain(|server_id, _| is_listed(*server_id));
        }
    }
}

#[cfg(test)]
mod tests;
