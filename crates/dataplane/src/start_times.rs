//! Start times of servers by the balancer's own clock. This module owns the start times that
//! discovery has reported, and must never read a clock.
//!
//! Discovery reports start times in Unix time, and a machine's wall clock may be wrong, even by an
//! hour. So a reported start time is used only if nothing better is known. If a server starts while
//! the list is watched, the time of the report is used instead, since the server has started by
//! then.

use std::collections::HashMap;

use nettlemux_policy::{ServerId, Time};

/// The start times of up to this many unlisted servers are kept. A server that was unlisted by
/// mistake and is listed again has not been restarted.
const UNLISTED_SERVERS_MAX: usize = 1024;

/// The start time of a server.
#[derive(Clone, Copy)]
struct Start {
    /// The start time that discovery has reported.
    reported: Time,
    /// The start time by the balancer's clock.
    local: Time,
}

/// The start times of the servers that discovery has reported.
#[derive(Default)]
pub struct StartTimes {
    starts: HashMap<ServerId, Start>,
    /// Whether discovery has sent an update. A start time that is first reported after that belongs
    /// to a start that happened after that update.
    is_watching: bool,
}

impl StartTimes {
    /// Returns the start time of a server by the balancer's clock, from the start time that
    /// discovery reports for it; 0 means long ago.
    ///
    /// For servers on the first list, only the wall clock says how long ago they started. A start
    /// time in its future shows that the wall clock is behind; such a server counts as started now.
    /// A wall clock that is ahead can't be detected.
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

    /// Records that discovery has sent an update of the list. Starts that are first reported after
    /// this call happened after that update.
    pub fn record_first_update(&mut self) {
        self.is_watching = true;
    }

    /// Removes the start times of all unlisted servers if there are more than
    /// [`UNLISTED_SERVERS_MAX`] of them. `listed` is the number of servers on the list.
    pub fn forget_unlisted(&mut self, listed: usize, is_listed: impl Fn(ServerId) -> bool) {
        if self.starts.len() > listed + UNLISTED_SERVERS_MAX {
            self.starts.retain(|server_id, _| is_listed(*server_id));
        }
    }
}

#[cfg(test)]
mod tests;
