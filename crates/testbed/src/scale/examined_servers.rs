//! Counts the servers that the policy considers for one placement. The policy has no counter for
//! them, so the count is derived afterwards: endpoint list updates and own connections are recorded
//! while the policy is measured, then replayed to a [`CandidateSet`], the type that the policy uses as
//! well, which gives the candidates of each flow. This module owns the records and a copy of the rule
//! by which `Policy::place` extends its scan.

use std::collections::BTreeMap;

use nettlemux_candidates::{CandidateSet, FULL_SCAN_SERVERS_MAX, ZoneReach, hash_name};
use nettlemux_policy::{Endpoint, EndpointState, ServerId};

/// The zone of the measured balancer, as [`super::settings`] has it.
const OWN_ZONE: u64 = 0;

/// A recorded input or result of the policy, in the order in which they occurred.
pub enum PolicyRecord {
    /// The policy received new or changed entries of the endpoint list.
    EndpointsUpdated(Vec<Endpoint>),
    /// The policy adopted a connection of this group to this server.
    ConnectionAdopted(String, ServerId),
    /// A flow of this group was placed on this server.
    Placed(String, ServerId),
}

/// Returns the mean number of servers considered for a placement, or `None` if nothing was placed.
/// If `may_gossip` is set, balancers gossip the placements of groups to one another, and the first
/// scan includes candidates of all zones.
pub fn servers_per_placement(records: &[PolicyRecord], may_gossip: bool) -> Option<f64> {
    let mut state = ReplayedState {
        may_gossip,
        ..ReplayedState::default()
    };
    let (mut considered, mut placements) = (0, 0);
    for record in records {
        match record {
            PolicyRecord::EndpointsUpdated(entries) => state.update_endpoints(entries),
            PolicyRecord::ConnectionAdopted(group, server) => state.add_connection(group, *server),
            PolicyRecord::Placed(group, server) => {
                considered += state.considered_servers(group, *server);
                placements += 1;
                state.add_connection(group, *server);
            }
        }
    }
    (placements > 0).then(|| considered as f64 / placements as f64)
}

/// The policy's state as replayed from the records.
#[derive(Default)]
struct ReplayedState {
    may_gossip: bool,
    servers: BTreeMap<ServerId, Endpoint>,
    /// `None` while the endpoint list is so short that it is scanned in full.
    candidates: Option<CandidateSet>,
    /// Number of own connections of each group at each server.
    group_connections: BTreeMap<String, BTreeMap<ServerId, usize>>,
    /// Number of own connections at each server.
    server_connections: BTreeMap<ServerId, usize>,
}

impl ReplayedState {
    /// Applies an endpoint list update. As in the policy, a removed server is kept while it has
    /// own connections.
    fn update_endpoints(&mut self, entries: &[Endpoint]) {
        self.servers
            .extend(entries.iter().map(|entry| (entry.server_id, *entry)));
        if self.servers.len() > FULL_SCAN_SERVERS_MAX {
            let had_candidates = self.candidates.is_some();
            let candidates = self.candidates.get_or_insert_default();
            let all = || self.servers.values().copied().collect();
            let updates: Vec<Endpoint> = if had_candidates {
                entries.to_vec()
            } else {
                all()
            };
            for entry in updates {
                if entry.state == EndpointState::Ready {
                    candidates.insert(entry.server_id, entry.zone, entry.weight);
                } else {
                    candidates.remove(entry.server_id);
                }
            }
        } else {
            self.candidates = None;
        }
        let server_connections = &self.server_connections;
        self.servers.retain(|server, entry| {
            entry.state != EndpointState::Removed || server_connections.contains_key(server)
        });
    }

    fn add_connection(&mut self, group: &str, server: ServerId) {
        *self
            .group_connections
            .entry(group.to_owned())
            .or_default()
            .entry(server)
            .or_default() += 1;
        *self.server_connections.entry(server).or_default() += 1;
    }

    /// Returns the number of servers considered for a flow of this group that was placed on
    /// `placed_on`. The first scan covers the candidates of the own zone and the servers that hold
    /// connections of the group. If the flow was placed on none of them, the scan of candidates of all zones is counted as well.
    /// If it was placed on none of those either, the scan of the full list is counted as well.
    fn considered_servers(&self, group: &str, placed_on: ServerId) -> usize {
        let Some(candidates) = &self.candidates else {
            return self.servers.len();
        };
        let mut considered = 0;
        let first_reach = if self.may_gossip {
            ZoneReach::AllZones
        } else {
            ZoneReach::OwnZone
        };
        for reach in [first_reach, ZoneReach::AllZones] {
            let group_connections = self.group_connections.get(group).into_iter().flatten();
            let scope =
                candidates.servers_for_key(hash_name(group), OWN_ZONE, reach, group_connections);
            considered += scope.len();
            if scope.contains(&placed_on) {
                return considered;
            }
        }
        considered + self.servers.len()
    }
}
