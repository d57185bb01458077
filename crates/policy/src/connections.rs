//! Own connections and attempts in flight: an index that makes no decisions.

use std::collections::{BTreeMap, BTreeSet};

use crate::types::{Flow, FlowId, ServerId, Time};

/// One own connection, or one attempt in flight.
pub(crate) struct OwnConnection {
    pub(crate) server_id: ServerId,
    /// The number of its traffic class.
    pub(crate) class: usize,
    /// The priority weight of its traffic class.
    pub(crate) priority_weight: f64,
    pub(crate) tenant: usize,
    pub(crate) group: Option<String>,
    /// Whether the server has accepted it; until then it is an attempt in flight.
    pub(crate) is_connected: bool,
    /// Whether its client has been notified to move.
    pub(crate) is_migrating: bool,
    /// The load that the client or server last reported for it.
    pub(crate) load: Option<f64>,
    /// The server's utilization divided by its number of connections, from the first report after
    /// the connection was placed.
    pub(crate) estimated_load: Option<f64>,
}

/// An attempt that the server has not answered yet.
pub(crate) struct InFlightAttempt {
    pub(crate) server_id: ServerId,
    pub(crate) since: Time,
}

/// The number of connections of one traffic class with a reported load, and the sum of these loads.
#[derive(Clone, Copy, Default)]
pub(crate) struct LoadTotal {
    /// The class's priority weight, as of the connection whose load was reported last.
    pub(crate) priority_weight: f64,
    pub(crate) count: f64,
    pub(crate) sum: f64,
}

/// Own connections and attempts in flight, indexed by the keys that placement needs.
#[derive(Default)]
pub(crate) struct ConnectionTable {
    pub(crate) own: BTreeMap<FlowId, OwnConnection>,
    pub(crate) by_server: BTreeMap<ServerId, BTreeSet<FlowId>>,
    pub(crate) by_group: BTreeMap<String, BTreeMap<ServerId, usize>>,
    pub(crate) by_tenant: BTreeMap<usize, usize>,
    /// Reported loads by the number of the traffic class.
    pub(crate) loads: BTreeMap<usize, LoadTotal>,
    pub(crate) in_flight: BTreeMap<FlowId, InFlightAttempt>,
}

impl ConnectionTable {
    /// Records an attempt that is sent now.
    pub(crate) fn record_attempt(&mut self, now: Time, flow: &Flow, server_id: ServerId) {
        self.insert(flow, server_id);
        let attempt = InFlightAttempt {
            server_id,
            since: now,
        };
        self.in_flight.insert(flow.id, attempt);
    }

    /// Records a connection that is already established.
    pub(crate) fn record_connection(&mut self, flow: &Flow, server_id: ServerId) {
        self.insert(flow, server_id);
        self.mark_connected(flow.id);
    }

    /// Inserts an entry that is not connected, replacing any earlier entry of the flow.
    fn insert(&mut self, flow: &Flow, server_id: ServerId) {
        self.remove(flow.id);
        *self.by_tenant.entry(flow.tenant).or_default() += 1;
        self.by_server.entry(server_id).or_default().insert(flow.id);
        if let Some(group) = &flow.group {
            let holders = self.by_group.entry(group.clone()).or_default();
            *holders.entry(server_id).or_default() += 1;
        }
        let own = OwnConnection {
            server_id,
            class: flow.class.number,
            priority_weight: flow.class.priority_weight,
            tenant: flow.tenant,
            group: flow.group.clone(),
            is_connected: false,
            is_migrating: false,
            load: None,
            estimated_load: None,
        };
        self.own.insert(flow.id, own);
    }

    /// Records the load that was reported for a connection.
    pub(crate) fn update_load(&mut self, flow: FlowId, load: f64) {
        let Some(own) = self.own.get_mut(&flow) else {
            return;
        };
        let total = self.loads.entry(own.class).or_default();
        total.priority_weight = own.priority_weight;
        total.count += if own.load.is_none() { 1.0 } else { 0.0 };
        total.sum += load - own.load.replace(load).unwrap_or(0.0);
    }

    /// Forgets the load totals of classes without any reported load.
    pub(crate) fn forget_unused_classes(&mut self) {
        self.loads.retain(|_, total| total.count > 0.0);
    }

    /// Sets this load estimate for the connections of a server that have none yet.
    pub(crate) fn estimate_loads(&mut self, server_id: ServerId, estimate: Option<f64>) {
        for flow in self.by_server.get(&server_id).into_iter().flatten() {
            let own = self.own.get_mut(flow).expect("by_server lists own flows");
            own.estimated_load = own.estimated_load.or(estimate);
        }
    }

    /// Marks an attempt as connected. Returns its server if the attempt was in flight.
    pub(crate) fn mark_connected(&mut self, flow: FlowId) -> Option<ServerId> {
        let own = self.own.get_mut(&flow).filter(|own| !own.is_connected)?;
        own.is_connected = true;
        self.in_flight.remove(&flow);
        Some(own.server_id)
    }

    /// Marks a connection whose client has been notified to move.
    pub(crate) fn mark_migrating(&mut self, flow: FlowId) {
        let own = self.own.get_mut(&flow);
        own.expect("only own connections migrate").is_migrating = true;
    }

    /// Removes a connection or attempt and returns it.
    pub(crate) fn remove(&mut self, flow: FlowId) -> Option<OwnConnection> {
        let own = self.own.remove(&flow)?;
        self.in_flight.remove(&flow);
        if let Some(flows) = self.by_server.get_mut(&own.server_id)
            && flows.remove(&flow)
            && flows.is_empty()
        {
            self.by_server.remove(&own.server_id);
        }
        decrement(&mut self.by_tenant, &own.tenant);
        if let (Some(load), Some(total)) = (own.load, self.loads.get_mut(&own.class)) {
            total.count -= 1.0;
            total.sum -= load;
        }
        if let Some(group) = &own.group
            && let Some(holders) = self.by_group.get_mut(group)
        {
            decrement(holders, &own.server_id);
            if holders.is_empty() {
                self.by_group.remove(group);
            }
        }
        Some(own)
    }

    /// Returns the number of own connections and attempts at this server.
    pub(crate) fn count_at(&self, server_id: ServerId) -> f64 {
        self.by_server.get(&server_id).map_or(0, BTreeSet::len) as f64
    }

    /// Returns the number of own connections and attempts of the flow's group at each server that
    /// has any.
    pub(crate) fn group_holders(&self, flow: &Flow) -> Option<&BTreeMap<ServerId, usize>> {
        self.by_group.get(flow.group.as_ref()?)
    }
}

/// Decrements the count, and removes the entry when it reaches 0.
pub(crate) fn decrement<K: Ord>(counts: &mut BTreeMap<K, usize>, key: &K) {
    if let Some(count) = counts.get_mut(key) {
        *count -= 1;
        if *count == 0 {
            counts.remove(key);
        }
    }
}

#[cfg(test)]
mod tests;
