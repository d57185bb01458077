//! Which servers hold a group's connections, by what balancers tell one another, and what is due to be told. It is an
//! index with a token bucket, and chooses no server.

use std::collections::BTreeMap;

use crate::types::{GroupPlacement, SEC, ServerId, Time};

/// A message that a server holds a group is repeated after so long and holds for twice that: 10 s cost more.
const REPEAT_AFTER: Time = 20 * SEC;
/// Messages that a balancer receives in a second at most: guards against hundreds that tell of each in a storm.
const RECEIVED_PER_SECOND: f64 = 30.0;
/// Messages that may be saved up.
const TOKENS_MAX: f64 = 2.0;

/// The servers that hold each group, and when that was last told.
#[derive(Default)]
pub(crate) struct GroupHolders {
    told: BTreeMap<u16, BTreeMap<ServerId, Time>>,
    /// Messages that may go out now, as of the time beside it.
    tokens: (f64, Time),
}

impl GroupHolders {
    /// Whether anything was told of the group.
    pub(crate) fn knows(&self, group: u16) -> bool {
        self.told.contains_key(&group)
    }

    /// Whether the server holds the group, as last told.
    pub(crate) fn holds(&self, now: Time, group: u16, server_id: ServerId) -> bool {
        let at = self
            .told
            .get(&group)
            .and_then(|servers| servers.get(&server_id));
        at.is_some_and(|at| now < at + 2 * REPEAT_AFTER)
    }

    /// Notes that the server holds the group.
    pub(crate) fn note(&mut self, now: Time, placement: GroupPlacement) {
        self.told
            .entry(placement.group)
            .or_default()
            .insert(placement.server_id, now);
    }

    /// Drops what isn't told again, so that groups that are no more take no room.
    pub(crate) fn sweep(&mut self, now: Time) {
        self.told
            .values_mut()
            .for_each(|servers| servers.retain(|_, at| now < *at + 2 * REPEAT_AFTER));
        self.told.retain(|_, servers| !servers.is_empty());
    }

    /// Whether it was told so lately that it needn't be told again.
    pub(crate) fn fresh(&self, now: Time, placement: GroupPlacement) -> bool {
        let at = self
            .told
            .get(&placement.group)
            .and_then(|servers| servers.get(&placement.server_id));
        at.is_some_and(|at| now < at + REPEAT_AFTER)
    }

    /// Takes a token for one message, where one is left: all balancers together send no more than each can receive.
    pub(crate) fn may_send(&mut self, now: Time, balancers: f64) -> bool {
        let (left, at) = self.tokens;
        let elapsed = now.saturating_sub(at) as f64 / SEC as f64;
        let left = (left + RECEIVED_PER_SECOND / balancers * elapsed).min(TOKENS_MAX);
        let may_send = left >= 1.0;
        self.tokens = (if may_send { left - 1.0 } else { left }, now);
        may_send
    }
}
