//! By when the balancer must know what discovery has to tell after a reload. It counts from the
//! signal, however long the files took to be read and whatever earlier polls met. This module owns
//! the times of the recent reloads and the number of backoffs that they shorten. It must never do I/O
//! or read a clock.

use nettlemux_policy::{SEC, Time};

use super::backoff::{CHANGE_DEADLINE, SCHEDULING_MARGIN, backoff_limit_after_reload};

/// The time after a reload within which the balancer must know what discovery has to tell.
pub const RELOAD_DEADLINE: Time = 4 * SEC;
/// The deadlines after a reload. A balancer that has missed the first one, because its polls were
/// rejected again and again, still has to know a change within [`CHANGE_DEADLINE`].
const DEADLINES_AFTER_RELOAD: [Time; 2] = [RELOAD_DEADLINE, CHANGE_DEADLINE];

/// The times of the reloads whose deadlines have not passed. Of a series of reloads, the first and
/// the last are remembered: a new reload doesn't extend the deadline of an earlier one.
#[derive(Clone, Copy, Debug, Default)]
pub struct RecentReloads {
    first: Option<Time>,
    last: Option<Time>,
}

impl RecentReloads {
    /// Records a reload whose signal came at `signalled_at`.
    pub fn record(&mut self, signalled_at: Time) {
        let is_recent = |reload: &Time| signalled_at < reload + CHANGE_DEADLINE;
        self.first = self
            .first
            .filter(is_recent)
            .or(self.last.filter(is_recent))
            .or(Some(signalled_at));
        self.last = Some(signalled_at);
    }

    /// Returns the time left until the next of these deadlines, less a margin for late timers;
    /// `None` if all have passed.
    pub fn time_left(&self, now: Time) -> Option<Time> {
        [self.first, self.last]
            .into_iter()
            .flatten()
            .flat_map(|reload| DEADLINES_AFTER_RELOAD.map(|deadline| reload + deadline))
            .filter_map(|deadline| deadline.checked_sub(now + SCHEDULING_MARGIN))
            .filter(|left| *left > 0)
            .min()
    }
}

/// Limits how many backoffs a reload shortens: as many as there are deadlines. Guards against a
/// balancer that polls more and more often as a deadline approaches, while the service rejects its
/// polls at once.
#[derive(Clone, Debug, Default)]
pub struct ShortenedBackoffs {
    last_reload: Option<Time>,
    count: usize,
}

impl ShortenedBackoffs {
    /// Returns the longest backoff: `limit`, or a shorter one if the next deadline after a reload
    /// needs it.
    pub fn shorten(&mut self, limit: Time, reloads: &RecentReloads, now: Time) -> Time {
        if self.last_reload != reloads.last {
            self.last_reload = reloads.last;
            self.count = 0;
        }
        let shorter = reloads
            .time_left(now)
            .map(backoff_limit_after_reload)
            .filter(|shorter| *shorter < limit && self.count < DEADLINES_AFTER_RELOAD.len());
        self.count += usize::from(shorter.is_some());
        shorter.unwrap_or(limit)
    }
}

#[cfg(test)]
mod tests;
