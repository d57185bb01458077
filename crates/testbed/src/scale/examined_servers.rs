//! How many servers the policy looks at for one placement. The policy has no counter, so this is
//! worked out afterwards: news of the endpoint list and own connections are noted while the policy
//! is measured, then played to a [`CandidateSet`] of the same crate as the policy's, which gives the
//! servers that each flow could go to. It owns the notes and the rule of `Policy::place` on which
//! servers are looked at next.

use std::collections::BTreeMap;

use nettlemux_candidates::{CandidateSet, WHOLE_LIST_MAX, ZoneReach, hash_name};
use nettlemux_policy::{Endpoint, EndpointState, ServerId};

/// The zone of the measured balancer, as [`super::settings`] has it.
const OWN_ZONE: u64 = 0;

/// What came to the policy, in its order.
pub enum Note {
    /// Entries of the endpoint list, new or changed.
    List(Vec<Endpoint>),
    /// An own connection of a group, from before.
    Held(String, ServerId),
    /// A flow of a group was given this server.
    Placed(String, ServerId),
}

/// The mean of servers looked at for a placement, or none where nothing was placed. `tells` is
/// whether balancers tell one another what is held where: far candidates are looked at first then.
pub fn servers_per_placement(notes: &[Note], tells: bool) -> Option<f64> {
    let mut known = Known {
        tells,
        ..Known::default()
    };
    let (mut examined, mut placements) = (0, 0);
    for note in notes {
        match note {
            Note::List(entries) => known.list(entries),
            Note::Held(group, server) => known.hold(group, *server),
            Note::Placed(group, server) => {
                examined += known.examined(group, *server);
                placements += 1;
                known.hold(group, *server);
            }
        }
    }
    (placements > 0).then(|| examined as f64 / placements as f64)
}

/// What the policy knows by then.
#[derive(Default)]
struct Known {
    tells: bool,
    servers: BTreeMap<ServerId, Endpoint>,
    /// None while the endpoint list is looked at whole.
    long: Option<CandidateSet>,
    /// Own connections of each group, and of each server.
    holders: BTreeMap<String, BTreeMap<ServerId, usize>>,
    held: BTreeMap<ServerId, usize>,
}

impl Known {
    /// As the policy does: a server that has gone stays known while it holds own connections.
    fn list(&mut self, entries: &[Endpoint]) {
        self.servers
            .extend(entries.iter().map(|entry| (entry.server_id, *entry)));
        if self.servers.len() > WHOLE_LIST_MAX {
            let known = self.long.is_some();
            let long = self.long.get_or_insert_default();
            let all = || self.servers.values().copied().collect();
            let news: Vec<Endpoint> = if known { entries.to_vec() } else { all() };
            for entry in news {
                if entry.state == EndpointState::Ready {
                    long.insert(entry.server_id, entry.zone, entry.weight);
                } else {
                    long.remove(entry.server_id);
                }
            }
        } else {
            self.long = None;
        }
        let held = &self.held;
        self.servers.retain(|server, entry| {
            entry.state != EndpointState::Removed || held.contains_key(server)
        });
    }

    fn hold(&mut self, group: &str, server: ServerId) {
        *self
            .holders
            .entry(group.to_owned())
            .or_default()
            .entry(server)
            .or_default() += 1;
        *self.held.entry(server).or_default() += 1;
    }

    /// Servers looked at for a flow that went there: near candidates and holders; far ones as well
    /// where it went to none of those; and the whole list where it went to none of these either.
    fn examined(&self, group: &str, went_to: ServerId) -> usize {
        let Some(long) = &self.long else {
            return self.servers.len();
        };
        let mut examined = 0;
        let first = if self.tells {
            ZoneReach::AllZones
        } else {
            ZoneReach::OwnZone
        };
        for reach in [first, ZoneReach::AllZones] {
            let holders = self.holders.get(group).into_iter().flatten();
            let scope = long.scope(hash_name(group), OWN_ZONE, reach, holders);
            examined += scope.len();
            if scope.contains(&went_to) {
                return examined;
            }
        }
        examined + self.servers.len()
    }
}
