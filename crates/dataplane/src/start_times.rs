//! When servers started, by the balancer's own clock. Discovery tells starts in Unix time, and a machine's wall clock may be
//! off, by an hour too, so it is believed only where there is nothing better: one that starts while we watch began, at the
//! latest, when we were told. Plain values; it must never read a clock.

use std::collections::HashMap;

use nettlemux_policy::{ServerId, Time};

/// Starts of servers that are no longer listed are kept for so many at least: one that is listed again by mistake has not
/// started anew.
const UNLISTED_MAX: usize = 1024;

/// A start as discovery told it, and by our clock.
#[derive(Clone, Copy)]
struct Start {
    told: Time,
    ours: Time,
}

/// The starts of all servers that we were told of.
#[derive(Default)]
pub struct StartTimes {
    start_times: HashMap<ServerId, Start>,
    /// We have had the list from discovery, so what it tells from now on has come to pass since.
    watching: bool,
}

impl StartTimes {
    /// When this server started, by our clock, for one that was told to have started then; 0 stays long ago.
    ///
    /// On the first list nothing but the wall clock tells how long ago a start was. What lies in its future shows that the
    /// clock is behind; such a server counts as started now. Of a clock that is ahead nothing shows.
    pub fn of(&mut self, now: Time, server_id: ServerId, told: Time) -> Time {
        if told == 0 {
            return 0;
        }
        if let Some(start) = self
            .start_times
            .get(&server_id)
            .filter(|start| start.told == told)
        {
            return start.ours;
        }
        let ours = if self.watching { now } else { told.min(now) };
        self.start_times.insert(server_id, Start { told, ours });
        ours
    }

    /// The list has come from discovery: what was not on it starts later.
    pub fn watch(&mut self) {
        self.watching = true;
    }

    /// Forgets servers that are no longer listed, once there are many of them.
    pub fn keep(&mut self, listed: usize, is_listed: impl Fn(ServerId) -> bool) {
        if self.start_times.len() > listed + UNLISTED_MAX {
            self.start_times
                .retain(|server_id, _| is_listed(*server_id));
        }
    }
}

#[cfg(test)]
mod tests;
