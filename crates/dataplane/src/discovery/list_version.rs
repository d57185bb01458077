//! Which part of the endpoint list the next call asks for. This module owns the version of the known
//! list. It must never ask for changes since a version that another agent, or an earlier process of
//! the same agent, has assigned.

use nettlemux_policy::{MS, SEC, Time};

use super::list::ListUpdate;

/// The shortest interval between two complete lists that are requested because the agent may have
/// been restarted. The interval is also at least [`COMPLETE_LIST_INTERVAL_PER_ENTRY`] for each
/// entry of the last complete list.
const COMPLETE_LIST_INTERVAL_MIN: Time = 60 * SEC;
/// The shortest interval between two such complete lists, for each entry. An entry has about 164
/// bytes, so complete lists take at most 1 KB/s, half of a balancer's budget for control traffic.
const COMPLETE_LIST_INTERVAL_PER_ENTRY: Time = 160 * MS;

/// The part of the list that a call asks for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct ListRequest {
    /// The version since which changes are requested; `None` requests the complete list.
    pub from_version: Option<u64>,
    /// Whether the complete list is requested because the agent may have been restarted.
    pub after_restart: bool,
}

/// The known version of the list of one agent.
#[derive(Debug, Default)]
pub(super) struct ListVersion {
    /// `None` if the complete list has to be requested.
    known: Option<u64>,
    /// Whether the agent may have been restarted. Its list may then differ under the same version
    /// number, which nothing in its responses shows.
    restart_suspected: bool,
    /// The earliest time at which a complete list may be requested because the agent may have been
    /// restarted.
    next_complete_list_at: Time,
}

impl ListVersion {
    /// Returns the state at which the list of this version is known; `None` if no list is.
    pub fn new(known: Option<u64>) -> Self {
        ListVersion {
            known,
            ..ListVersion::default()
        }
    }

    /// Forgets all that is known of the list, since another agent is called from now on.
    pub fn change_agent(&mut self) {
        *self = ListVersion::default();
    }

    /// Records that the agent may have been restarted.
    pub fn suspect_restart(&mut self) {
        self.restart_suspected = true;
    }

    /// Returns what to ask for. A service that all balancers share isn't asked for complete lists
    /// because it may have been restarted: after it recovers, those for all balancers would fill its
    /// queue.
    pub fn request(&self, now: Time, is_shared: bool) -> ListRequest {
        let after_restart =
            self.restart_suspected && !is_shared && now >= self.next_complete_list_at;
        ListRequest {
            from_version: self.known.filter(|_| !after_restart),
            after_restart,
        }
    }

    /// Records the update that answers a request of `requested_at`.
    pub fn record_update(
        &mut self,
        update: &ListUpdate,
        request: &ListRequest,
        requested_at: Time,
    ) {
        // If the agent has restarted its version numbers, changes under numbers up to the known
        // version would never arrive. The complete list is requested instead.
        let has_restarted_versions = !update.is_complete
            && request
                .from_version
                .is_some_and(|from| update.version < from);
        self.known = (!has_restarted_versions).then_some(update.version);
        if update.is_complete {
            self.restart_suspected = false;
        }
        if update.is_complete && request.after_restart {
            let interval = COMPLETE_LIST_INTERVAL_PER_ENTRY * update.entries.len() as Time;
            self.next_complete_list_at = requested_at + interval.max(COMPLETE_LIST_INTERVAL_MIN);
        }
    }
}

#[cfg(test)]
mod tests;
