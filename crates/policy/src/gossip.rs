//! Gossip: which servers hold a group's connections according to the announcements of other
//! balancers, and which placements have to be announced. An index with a token bucket, which
//! selects no server.

use std::collections::BTreeMap;

use nettlemux_candidates::hash_name;

use crate::connections::ConnectionTable;
use crate::endpoints::Endpoints;
use crate::types::{FlowId, GroupPlacement, SEC, ServerId, Time};

/// Time after which a placement is announced again.
const REPEAT_AFTER: Time = 20 * SEC;
/// Time for which an announced placement remains valid.
const ANNOUNCEMENT_LIFETIME: Time = 2 * REPEAT_AFTER;
/// Maximum number of messages that a balancer receives per second. Guards against a message storm
/// when hundreds of balancers announce each placement.
const RECEIVED_PER_SECOND: f64 = 30.0;
/// Maximum number of messages that may be saved up.
const MESSAGE_TOKENS_MAX: f64 = 2.0;

/// Whether balancers exchange messages.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct GossipConfig {
    /// Whether balancers announce to one another which servers hold a group.
    pub enabled: bool,
}

/// The servers that hold each group, and when each was last announced.
pub(crate) struct Gossip {
    enabled: bool,
    balancers: f64,
    announced: BTreeMap<u16, BTreeMap<ServerId, Time>>,
    /// Number of messages that may be sent, as of `tokens_at`.
    tokens: f64,
    tokens_at: Time,
}

impl Gossip {
    /// Creates an empty index. All `balancers` together share the rate of messages that each of
    /// them can receive.
    pub(crate) fn new(config: &GossipConfig, balancers: f64) -> Self {
        Gossip {
            enabled: config.enabled,
            balancers,
            announced: BTreeMap::new(),
            tokens: 0.0,
            tokens_at: 0,
        }
    }

    /// Takes over the announcements of the policy that had the previous settings.
    pub(crate) fn take_state_from(&mut self, old: Gossip) {
        *self = Gossip {
            enabled: self.enabled,
            balancers: self.balancers,
            ..old
        };
    }

    /// Whether balancers exchange messages.
    pub(crate) fn is_enabled(&self) -> bool {
        self.enabled
    }

    /// Whether any placement of the group was announced.
    pub(crate) fn has_announced(&self, group: u16) -> bool {
        self.announced.contains_key(&group)
    }

    /// Whether the server holds the group according to its last announcement.
    pub(crate) fn holds(
        &self,
        now: Time,
        group: u16,
        server_id: ServerId,
        endpoints: &Endpoints,
    ) -> bool {
        self.announced_at(group, server_id, endpoints)
            .is_some_and(|at| now < at + ANNOUNCEMENT_LIFETIME)
    }

    /// Records that the server holds the group, if the server is listed and gossip is enabled.
    pub(crate) fn receive(&mut self, now: Time, placement: GroupPlacement, endpoints: &Endpoints) {
        if self.enabled && endpoints.servers.contains_key(&placement.server_id) {
            let servers = self.announced.entry(placement.group).or_default();
            servers.insert(placement.server_id, now);
        }
    }

    /// Returns the message that tells the other balancers of this connection, if one has to be
    /// sent.
    pub(crate) fn announce(
        &mut self,
        now: Time,
        flow: FlowId,
        server_id: ServerId,
        connections: &ConnectionTable,
        endpoints: &mut Endpoints,
    ) -> Option<GroupPlacement> {
        let group = connections.own.get(&flow)?.group.as_ref();
        let group = group_number(hash_name(group.filter(|_| self.enabled)?));
        let placement = GroupPlacement { group, server_id };
        let announced_at = self.announced_at(group, server_id, endpoints);
        if announced_at.is_some_and(|at| now < at + REPEAT_AFTER) {
            return None;
        }
        let may_send = self.take_token(now);
        let candidates = endpoints.candidates.as_mut();
        if candidates.is_none_or(|candidates| candidates.try_begin_gossip_expiry(now)) {
            self.expire(now);
        }
        if !may_send {
            return None;
        }
        self.receive(now, placement, endpoints);
        Some(placement)
    }

    /// Returns when the server was last announced as a holder of the group; `None` if that was before
    /// the server's last start, at which it lost its connections.
    fn announced_at(&self, group: u16, server_id: ServerId, endpoints: &Endpoints) -> Option<Time> {
        let announced_at = *self.announced.get(&group)?.get(&server_id)?;
        let started = endpoints.servers.get(&server_id)?.endpoint.started;
        (announced_at >= started).then_some(announced_at)
    }

    /// Removes announcements that were not repeated, so that groups that no longer exist take no
    /// memory.
    fn expire(&mut self, now: Time) {
        self.announced
            .values_mut()
            .for_each(|servers| servers.retain(|_, at| now < *at + ANNOUNCEMENT_LIFETIME));
        self.announced.retain(|_, servers| !servers.is_empty());
    }

    /// Takes a token for one message if there is one. The tokens keep all balancers together from
    /// sending more than each of them can receive.
    fn take_token(&mut self, now: Time) -> bool {
        let elapsed = now.saturating_sub(self.tokens_at) as f64 / SEC as f64;
        let tokens = self.tokens + RECEIVED_PER_SECOND / self.balancers * elapsed;
        let tokens = tokens.min(MESSAGE_TOKENS_MAX);
        let may_send = tokens >= 1.0;
        self.tokens = if may_send { tokens - 1.0 } else { tokens };
        self.tokens_at = now;
        may_send
    }
}

/// The number that identifies a group in messages, derived from the hash of the group's name.
pub(crate) fn group_number(hash: u64) -> u16 {
    hash as u16
}
