//! Gossip: which servers hold a group's connections, as balancers announce to one another, and what
//! is due to be announced. It is an index with a token bucket, and chooses no server.

use std::collections::BTreeMap;

use nettlemux_candidates::hash_name;

use crate::connections::ConnectionTable;
use crate::endpoints::Endpoints;
use crate::types::{FlowId, GroupPlacement, SEC, ServerId, Time};

/// Time after which a placement is announced again.
const REPEAT_AFTER: Time = 20 * SEC;
/// Time for which an announced placement holds.
const LIFETIME: Time = 2 * REPEAT_AFTER;
/// Messages that a balancer receives in a second at most. Guards against hundreds of balancers
/// that announce each placement in a storm.
const RECEIVED_PER_SECOND: f64 = 30.0;
/// Messages that may be saved up.
const TOKENS_MAX: f64 = 2.0;

/// Whether balancers exchange messages.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct GossipConfig {
    /// Whether balancers announce to one another which servers hold a group.
    pub enabled: bool,
}

/// The servers that hold each group, and when that was last announced.
pub(crate) struct Gossip {
    enabled: bool,
    balancers: f64,
    announced: BTreeMap<u16, BTreeMap<ServerId, Time>>,
    /// Messages that may go out, as of `tokens_at`.
    tokens: f64,
    tokens_at: Time,
}

impl Gossip {
    /// Nothing is known yet; so many balancers share what each can receive.
    pub(crate) fn new(config: &GossipConfig, balancers: f64) -> Self {
        Gossip {
            enabled: config.enabled,
            balancers,
            announced: BTreeMap::new(),
            tokens: 0.0,
            tokens_at: 0,
        }
    }

    /// Keeps what was announced under other settings.
    pub(crate) fn continue_from(&mut self, old: Gossip) {
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
    pub(crate) fn knows(&self, group: u16) -> bool {
        self.announced.contains_key(&group)
    }

    /// Whether the server holds the group, as last announced.
    pub(crate) fn holds(&self, now: Time, group: u16, server_id: ServerId) -> bool {
        self.announced_at(group, server_id)
            .is_some_and(|at| now < at + LIFETIME)
    }

    /// Notes that the server holds the group, if it is listed and messages are exchanged.
    pub(crate) fn receive(&mut self, now: Time, placement: GroupPlacement, endpoints: &Endpoints) {
        if self.enabled && endpoints.servers.contains_key(&placement.server_id) {
            let servers = self.announced.entry(placement.group).or_default();
            servers.insert(placement.server_id, now);
        }
    }

    /// Returns what the other balancers should know of this connection, if anything.
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
        let announced_at = self.announced_at(group, server_id);
        if announced_at.is_some_and(|at| now < at + REPEAT_AFTER) {
            return None;
        }
        let may_send = self.take_token(now);
        let candidates = endpoints.candidates.as_mut();
        if candidates.is_none_or(|candidates| candidates.may_expire_gossip(now)) {
            self.expire(now);
        }
        if !may_send {
            return None;
        }
        self.receive(now, placement, endpoints);
        Some(placement)
    }

    fn announced_at(&self, group: u16, server_id: ServerId) -> Option<Time> {
        self.announced.get(&group)?.get(&server_id).copied()
    }

    /// Drops what isn't announced again, so that groups that are no more take no room.
    fn expire(&mut self, now: Time) {
        self.announced
            .values_mut()
            .for_each(|servers| servers.retain(|_, at| now < *at + LIFETIME));
        self.announced.retain(|_, servers| !servers.is_empty());
    }

    /// Takes a token for one message, where one is left: all balancers together send no more than
    /// each can receive.
    fn take_token(&mut self, now: Time) -> bool {
        let elapsed = now.saturating_sub(self.tokens_at) as f64 / SEC as f64;
        let tokens = self.tokens + RECEIVED_PER_SECOND / self.balancers * elapsed;
        let tokens = tokens.min(TOKENS_MAX);
        let may_send = tokens >= 1.0;
        self.tokens = if may_send { tokens - 1.0 } else { tokens };
        self.tokens_at = now;
        may_send
    }
}

/// The number by which messages name a group, from its hash.
pub(crate) fn group_number(hash: u64) -> u16 {
    hash as u16
}
