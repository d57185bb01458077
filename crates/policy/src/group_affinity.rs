//! Group affinity: the servers that hold a flow's group, and the group's home server while no
//! server holds it.

use std::collections::BTreeMap;

use nettlemux_candidates::{hash, hash_name};

use crate::endpoints::Endpoints;
use crate::fleet_view::FleetView;
use crate::gossip::{Gossip, group_number};
use crate::types::{Flow, ServerId, Time};

/// The known holders and the home server of the flow's group.
///
/// Guards against servers that drop their connections because more and more flows are placed on
/// them. Holders of the group accept more of its flows than other servers do, which also guards
/// against paying for the group's common work on every server.
pub(crate) struct GroupAffinity<'a> {
    now: Time,
    hash: u64,
    gossip: &'a Gossip,
    endpoints: &'a Endpoints,
    own_holders: Option<&'a BTreeMap<ServerId, usize>>,
    /// Whether the flow has a group that no server is known to hold.
    is_unplaced: bool,
    /// Whether other balancers have announced placements of the group.
    is_announced: bool,
    home: Option<ServerId>,
}

impl<'a> GroupAffinity<'a> {
    pub(crate) fn new(view: &FleetView<'a>, flow: &Flow, gossip: &'a Gossip) -> Self {
        let group = flow.group.as_ref();
        let hash = group.map_or(0, |group| hash_name(group));
        let own_holders = view.connections.group_holders(flow);
        let is_announced =
            gossip.is_enabled() && group.is_some() && gossip.has_announced(group_number(hash));
        GroupAffinity {
            now: view.now,
            hash,
            gossip,
            endpoints: view.endpoints,
            own_holders,
            is_unplaced: group.is_some() && own_holders.is_none() && !is_announced,
            is_announced,
            home: None,
        }
    }

    /// Selects the home of a group that no server holds: the first of these servers in the group's
    /// order. Guards against many balancers that each hold few connections of a group and spread
    /// them over many servers: all balancers agree on the order.
    pub(crate) fn choose_home(&mut self, servers: impl Iterator<Item = ServerId>) {
        if self.is_unplaced {
            self.home = servers.min_by_key(|server_id| self.rank(*server_id));
        }
    }

    /// Whether the server is the group's home server.
    pub(crate) fn is_home(&self, server_id: ServerId) -> bool {
        self.home == Some(server_id)
    }

    /// Whether other balancers have announced placements of the group.
    pub(crate) fn is_announced(&self) -> bool {
        self.is_announced
    }

    /// Whether the server holds the group: according to announcements if balancers gossip,
    /// otherwise according to own connections.
    pub(crate) fn holds(&self, server_id: ServerId) -> bool {
        if self.gossip.is_enabled() {
            let group = group_number(self.hash);
            let endpoints = self.endpoints;
            self.is_announced && self.gossip.holds(self.now, group, server_id, endpoints)
        } else {
            self.own_holders
                .is_some_and(|holders| holders.contains_key(&server_id))
        }
    }

    /// Returns the server's rank in the group's order of servers, which is the same at all
    /// balancers (rendezvous hashing).
    pub(crate) fn rank(&self, server_id: ServerId) -> u64 {
        hash(self.hash ^ server_id)
    }
}
