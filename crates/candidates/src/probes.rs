//! Which servers of a long list are probed, within a budget of bytes.

use std::collections::{BTreeMap, BTreeSet};

use crate::budget::Budget;
use crate::zones::ServerId;

/// What control may cost a balancer, in bytes a second.
const CONTROL_BYTES: u64 = 2_000;
/// What a probe and its answer are taken to cost with all headers: assumed, see `docs/design/candidates.md`.
const PROBE_BYTES: u64 = 200;
/// Probes a second on a long list; as many may be saved up.
pub const PROBES_A_SECOND: u64 = CONTROL_BYTES / PROBE_BYTES;
/// Half of them are for flows that wait for a figure, half for servers that hold own connections: flows alone
/// would use up all, and nothing hot would be found. As many may go at once as in a second.
const EACH_HALF: f64 = PROBES_A_SECOND as f64 / 2.0;
/// How many servers are looked at for each batch of probes.
const LOOKED_AT: usize = 48;
/// A server isn't probed again sooner, except for a flow.
const AGAIN: u64 = 2_000_000_000;

/// The probes of one balancer. Times are nanoseconds of the caller's clock.
#[derive(Clone, Debug)]
pub struct ProbeQueue {
    for_flows: Budget,
    for_own: Budget,
    /// Probes that flows wait for; they are paid for.
    wanted: Vec<ServerId>,
    /// When servers that were hot or silent are to be probed again.
    urgent: BTreeSet<(u64, ServerId)>,
    /// The last server that was looked at for want of urgent ones.
    cursor: ServerId,
}

impl Default for ProbeQueue {
    fn default() -> Self {
        let half = Budget::new(EACH_HALF, EACH_HALF);
        let (wanted, urgent) = (Vec::new(), BTreeSet::new());
        ProbeQueue {
            for_flows: half,
            for_own: half,
            wanted,
            urgent,
            cursor: 0,
        }
    }
}

impl ProbeQueue {
    /// Pays for probes that a flow waits for, if the budget allows all of them.
    pub fn pay(&mut self, now: u64, probes: usize) -> bool {
        self.for_flows.take(now, probes as f64)
    }

    /// A flow waits for this probe, which was paid for.
    pub fn want(&mut self, server: ServerId) {
        self.wanted.push(server);
    }

    /// This server was hot or silent just now: it is probed again soon.
    pub fn watch(&mut self, now: u64, server: ServerId) {
        self.urgent.insert((now + AGAIN, server));
    }

    /// The next probes: those that flows wait for; then servers that were hot or silent; then, of the next few
    /// servers that hold own connections, those with most of them for the age of their figure. `last_figure`
    /// tells when a server last had one or was asked, or none where it is not to be probed.
    pub fn next<V>(
        &mut self,
        now: u64,
        own: &BTreeMap<ServerId, V>,
        connections: impl Fn(&V) -> usize,
        last_figure: impl Fn(ServerId) -> Option<u64>,
    ) -> Vec<ServerId> {
        let mut probes = std::mem::take(&mut self.wanted);
        let urgent = self
            .urgent
            .range(..=(now, ServerId::MAX))
            .take(LOOKED_AT)
            .copied();
        let mut entries: Vec<(u64, ServerId)> = urgent.collect();
        entries.extend(self.by_own_load(now, own, connections, &last_figure));
        for entry in entries {
            let last = last_figure(entry.1).filter(|_| !probes.contains(&entry.1));
            if last.is_some_and(|last| last + AGAIN <= now) {
                if !self.for_own.take(now, 1.0) {
                    break;
                }
                probes.push(entry.1);
            }
            self.urgent.remove(&entry);
        }
        probes
    }

    /// The next few servers, those first with most own connections for the age of their figure.
    fn by_own_load<V>(
        &mut self,
        now: u64,
        own: &BTreeMap<ServerId, V>,
        connections: impl Fn(&V) -> usize,
        last_figure: impl Fn(ServerId) -> Option<u64>,
    ) -> Vec<(u64, ServerId)> {
        let after = self.cursor.saturating_add(1);
        let next = own.range(after..).chain(own.range(..after)).take(LOOKED_AT);
        let mut found: Vec<(f64, ServerId)> = Vec::new();
        for (server, held) in next {
            let age = now.saturating_sub(last_figure(*server).unwrap_or(now));
            found.push((connections(held) as f64 * age as f64, *server));
            self.cursor = *server;
        }
        found.sort_by(|a, b| b.0.total_cmp(&a.0).then(a.1.cmp(&b.1)));
        found.into_iter().map(|(_, server)| (0, server)).collect()
    }
}
