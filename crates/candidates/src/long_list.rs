//! What a balancer keeps of a list that is too long to be looked at whole.

use crate::budget::Budget;
use crate::probes::{PROBES_A_SECOND, ProbeQueue};
use crate::zones::{Candidates, ServerId, ZoneId};

/// Lists up to here are looked at whole: twice what the budget probes within 10 s, the longest interval of
/// probes, as those without connections of ours are asked only when a flow may go there.
pub const WHOLE_LIST: usize = (2 * PROBES_A_SECOND * 10) as usize;
/// Candidates of a key at least.
const CANDIDATES: usize = 16;
/// Candidates of a key at most, and own holders that are looked at beside them.
pub const MOST_CANDIDATES: usize = 48;
/// One more candidate for so many own connections of the key.
const ONE_MORE_FOR: usize = 8;
/// Walks over the whole list a second: one takes some 2 ms at 12,000 servers.
const WALKS: f64 = 2.0;
/// Sweeps a second of what was heard from others: what is kept for 40 s needn't go at once.
const SWEEPS: f64 = 0.1;

/// Candidates and budgets for a long list.
#[derive(Clone, Debug)]
pub struct LongList {
    candidates: Candidates,
    walks: Budget,
    sweeps: Budget,
    /// Which servers are probed.
    pub probes: ProbeQueue,
}

impl Default for LongList {
    fn default() -> Self {
        let (walks, sweeps) = (Budget::new(WALKS, WALKS), Budget::new(SWEEPS, 1.0));
        LongList {
            candidates: Candidates::default(),
            walks,
            sweeps,
            probes: ProbeQueue::default(),
        }
    }
}

impl LongList {
    /// News of a server: one that isn't ready is no candidate.
    pub fn update(&mut self, server: ServerId, zone: ZoneId, weight: f64, ready: bool) {
        if ready {
            self.candidates.insert(server, zone, weight);
        } else {
            self.candidates.remove(server);
        }
    }

    /// The servers for this key, in order of their ids: its candidates, more of them the more own connections
    /// of the key there are, and those that hold these. Of very many holders some are left out, and of the
    /// candidates, unless `far` ones are wanted as well, those in other zones.
    pub fn scope<'a>(
        &self,
        key: u64,
        zone: ZoneId,
        far: bool,
        holders: impl Iterator<Item = (&'a ServerId, &'a usize)>,
    ) -> Vec<ServerId> {
        let (mut scope, mut own) = (Vec::new(), 0);
        for (server, held) in holders.take(MOST_CANDIDATES) {
            scope.push(*server);
            own += held;
        }
        let count = MOST_CANDIDATES.min(CANDIDATES + own / ONE_MORE_FOR);
        let candidates = &self.candidates;
        scope.extend(if far {
            candidates.candidates(key, zone, count)
        } else {
            candidates.near(key, zone, count)
        });
        scope.sort_unstable();
        scope.dedup();
        scope
    }

    /// Whether the whole list may be walked now, which is then taken as done.
    pub fn may_walk(&mut self, now: u64) -> bool {
        self.walks.take(now, 1.0)
    }

    /// Whether what others told may be swept now, which is then taken as done.
    pub fn may_sweep(&mut self, now: u64) -> bool {
        self.sweeps.take(now, 1.0)
    }
}
