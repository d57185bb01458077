//! Our connections and attempts in flight: an index, which decides nothing.

use std::collections::{BTreeMap, BTreeSet};

use crate::types::{Flow, FlowId, ServerId, Time};

/// A connection of ours, or an attempt in flight.
pub(crate) struct OwnConnection {
    pub(crate) server_id: ServerId,
    pub(crate) class: usize,
    pub(crate) tenant: usize,
    pub(crate) group: Option<String>,
    pub(crate) connected: bool,
    /// Its client has been told to move.
    pub(crate) moved: bool,
    /// As told, where it is.
    pub(crate) load: Option<f64>,
    /// β over the server's connections, at the first probe after it was placed.
    pub(crate) estimate: Option<f64>,
}

/// Our connections and attempts in flight, with what is asked of them at each flow.
#[derive(Default)]
pub(crate) struct Book {
    pub(crate) own: BTreeMap<FlowId, OwnConnection>,
    pub(crate) by_server: BTreeMap<ServerId, BTreeSet<FlowId>>,
    pub(crate) by_group: BTreeMap<String, BTreeMap<ServerId, usize>>,
    pub(crate) by_tenant: BTreeMap<usize, usize>,
    /// For each traffic class how many loads were told and their sum.
    pub(crate) told: BTreeMap<usize, (f64, f64)>,
    /// Connects in flight: where, and since when.
    pub(crate) in_flight: BTreeMap<FlowId, (ServerId, Time)>,
}

impl Book {
    pub(crate) fn enter(&mut self, now: Time, flow: &Flow, server_id: ServerId, connected: bool) {
        self.strike(flow.id);
        let group = flow.group.clone();
        *self.by_tenant.entry(flow.tenant).or_default() += 1;
        self.by_server.entry(server_id).or_default().insert(flow.id);
        if let Some(group) = &group {
            *self
                .by_group
                .entry(group.clone())
                .or_default()
                .entry(server_id)
                .or_default() += 1;
        }
        if !connected {
            self.in_flight.insert(flow.id, (server_id, now));
        }
        let (&Flow { class, tenant, .. }, moved, load, estimate) = (flow, false, None, None);
        self.own.insert(
            flow.id,
            OwnConnection {
                server_id,
                class,
                tenant,
                group,
                connected,
                moved,
                load,
                estimate,
            },
        );
    }

    pub(crate) fn told(&mut self, flow: FlowId, load: f64) {
        let Some(own) = self.own.get_mut(&flow) else {
            return;
        };
        let (count, sum) = self.told.entry(own.class).or_default();
        *count += if own.load.is_none() { 1.0 } else { 0.0 };
        *sum += load - own.load.replace(load).unwrap_or(0.0);
    }

    pub(crate) fn connected(&mut self, flow: FlowId) -> Option<ServerId> {
        let own = self.own.get_mut(&flow).filter(|own| !own.connected)?;
        own.connected = true;
        self.in_flight.remove(&flow);
        Some(own.server_id)
    }

    pub(crate) fn strike(&mut self, flow: FlowId) -> Option<OwnConnection> {
        let own = self.own.remove(&flow)?;
        self.in_flight.remove(&flow);
        if self
            .by_server
            .get_mut(&own.server_id)
            .is_some_and(|here| here.remove(&flow) && here.is_empty())
        {
            self.by_server.remove(&own.server_id);
        }
        less(&mut self.by_tenant, &own.tenant);
        if let (Some(load), Some((count, sum))) = (own.load, self.told.get_mut(&own.class)) {
            (*count, *sum) = (*count - 1.0, *sum - load);
        }
        if let Some(group) = &own.group
            && let Some(holders) = self.by_group.get_mut(group)
        {
            less(holders, &own.server_id);
            if holders.is_empty() {
                self.by_group.remove(group);
            }
        }
        Some(own)
    }

    pub(crate) fn at(&self, server_id: ServerId) -> f64 {
        self.by_server.get(&server_id).map_or(0, BTreeSet::len) as f64
    }
}

/// One less, and none at all once the last is gone.
fn less<K: Ord>(counts: &mut BTreeMap<K, usize>, key: &K) {
    if let Some(count) = counts.get_mut(key) {
        *count -= 1;
        if *count == 0 {
            counts.remove(key);
        }
    }
}
