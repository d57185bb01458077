//! Migration: which own connections leave an overloaded or a draining server.
//!
//! Off an overloaded server the largest connections go until they cover this balancer's part of
//! the excess, as in docs/design.md. Off a draining server connections go evenly while a
//! replacement warms up.

use nanorand::{Rng, WyRand};

use crate::connections::{ConnectionTable, OwnConnection};
use crate::endpoints::Server;
use crate::fleet_view::FleetView;
use crate::load_reports::OVERLOAD_UTILIZATION;
use crate::placement::NEW_GROUP_UTILIZATION_MAX;
use crate::types::{FlowId, MS, SEC, ServerId, Time};

/// Reports lag by their refresh and delay: one that comes sooner can't show the last migration.
const SETTLING_TIME: Time = 2 * SEC;
/// Time from the news of a drain to the first migration: servers that send their clients away
/// themselves have begun to by then.
const DRAIN_DELAY: Time = 2 * SEC;
/// Interval between two migrations off a draining server.
const DRAIN_STEP_INTERVAL: Time = 60 * MS;

/// Which connections may be migrated.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct MigrationConfig {
    /// Whether clients are migrated off a draining server before it goes. It ends once a draining
    /// server turns out to send its clients away itself.
    pub off_draining: bool,
}

/// A connection to migrate off a draining server.
pub(crate) struct DrainStep {
    flow: FlowId,
    /// The probability with which it goes now.
    probability: f64,
}

/// Decides migrations.
pub(crate) struct Migration {
    off_draining: bool,
    /// Time over which a draining server's connections are spread.
    drain_span: Time,
    /// When to migrate the next connections off draining servers.
    next_drain_step_at: Option<Time>,
}

impl Migration {
    pub(crate) fn new(config: &MigrationConfig, warm_up: Time) -> Self {
        Migration {
            off_draining: config.off_draining,
            drain_span: warm_up.max(2 * DRAIN_DELAY),
            next_drain_step_at: None,
        }
    }

    /// Keeps the schedule that stood under other settings.
    pub(crate) fn continue_from(&mut self, old: &Migration) {
        self.next_drain_step_at = old.next_drain_step_at;
    }

    /// When the next connections are to leave draining servers.
    pub(crate) fn next_drain_step_at(&self) -> Option<Time> {
        self.next_drain_step_at
    }

    /// Notes that a client of a connection left that was not notified: draining servers send their
    /// clients away themselves.
    pub(crate) fn stop_migrating_off_draining(&mut self) {
        self.off_draining = false;
    }

    /// Schedules the first of these steps, after the endpoint list has changed.
    pub(crate) fn schedule(&mut self, now: Time, steps: &[DrainStep]) {
        if !steps.is_empty() {
            self.next_drain_step_at.get_or_insert(now + DRAIN_DELAY);
        }
    }

    /// Whether the next step is due.
    pub(crate) fn is_drain_step_due(&self, now: Time) -> bool {
        self.next_drain_step_at.is_some_and(|at| at <= now)
    }

    /// Returns the connections of these steps that leave draining servers now.
    pub(crate) fn take_drain_step(
        &mut self,
        now: Time,
        mut steps: Vec<DrainStep>,
        rng: &mut WyRand,
    ) -> Vec<FlowId> {
        self.next_drain_step_at = (!steps.is_empty()).then_some(now + DRAIN_STEP_INTERVAL);
        steps.retain(|step| rng.generate::<f64>() < step.probability);
        steps.into_iter().map(|step| step.flow).collect()
    }

    /// The next connection to migrate off each draining server. Guards against clients whose
    /// server goes without notice, and against hundreds of balancers that migrate theirs at once.
    /// A server that is removed keeps its connections: it was listed wrongly.
    pub(crate) fn drain_steps(&self, view: &FleetView) -> Vec<DrainStep> {
        let endpoints = view.endpoints;
        if !self.off_draining || endpoints.draining.is_empty() {
            return Vec::new();
        }
        let has_room = endpoints.first_servers().any(|server| {
            let utilization = view.utilization(server);
            server.is_ready()
                && utilization.is_none_or(|utilization| utilization < NEW_GROUP_UTILIZATION_MAX)
        });
        let draining = endpoints.draining.iter();
        draining
            .filter_map(|server_id| endpoints.servers.get(server_id))
            .filter_map(|server| self.drain_step(view, server, has_room))
            .collect()
    }

    /// The next connection to migrate off this server, evenly spread over what is left of the
    /// drain.
    fn drain_step(&self, view: &FleetView, server: &Server, has_room: bool) -> Option<DrainStep> {
        let (now, connections) = (view.now, view.connections);
        let flows = connections.by_server.get(&server.endpoint.server_id)?;
        let stays = |flow: &&FlowId| {
            let own = &connections.own[flow];
            own.is_connected && !own.is_migrating
        };
        let mut staying = flows.iter().filter(stays);
        let flow = *staying.next()?;
        let count = staying.count() + 1;
        let time_left = (server.last_ready_at + self.drain_span)
            .saturating_sub(now)
            .max(DRAIN_STEP_INTERVAL);
        let is_due = has_room && now >= server.last_ready_at + DRAIN_DELAY;
        let probability = if is_due {
            count as f64 * DRAIN_STEP_INTERVAL as f64 / time_left as f64
        } else {
            0.0
        };
        Some(DrainStep { flow, probability })
    }
}

/// Returns the connections that leave this server because it is overloaded. Also when all servers
/// are: placement then admits nobody, so that this sheds load and doesn't shuffle clients. Guards
/// against a fleet held at full load that serves no message in time.
pub(crate) fn migrate_off_overloaded(
    now: Time,
    report_lifetime: Time,
    server: &mut Server,
    connections: &ConnectionTable,
    rng: &mut WyRand,
) -> Vec<FlowId> {
    let Some(utilization) = server.load.utilization(now, report_lifetime) else {
        return Vec::new();
    };
    let is_settling = server
        .migrated_at
        .is_some_and(|at| now < at + SETTLING_TIME);
    if utilization <= OVERLOAD_UTILIZATION || is_settling {
        return Vec::new();
    }
    let excess_fraction = (utilization - OVERLOAD_UTILIZATION) / utilization;
    let by_load = connections_by_load(server.endpoint.server_id, connections);
    let migrating = cover_excess(&by_load, excess_fraction, rng);
    if !migrating.is_empty() {
        server.migrated_at = Some(now);
    }
    migrating
}

/// A connection and what is taken for its load.
struct ConnectionLoad {
    flow: FlowId,
    load: f64,
}

/// The connections at this server, largest first: by reported loads where there are any, else by
/// estimates. One without takes the mean.
fn connections_by_load(server_id: ServerId, connections: &ConnectionTable) -> Vec<ConnectionLoad> {
    let flows = connections.by_server.get(&server_id).into_iter().flatten();
    let own: Vec<(FlowId, &OwnConnection)> = flows
        .map(|flow| (*flow, &connections.own[flow]))
        .filter(|(_, own)| own.is_connected)
        .collect();
    let is_reported = own.iter().any(|(_, own)| own.load.is_some());
    let known_load = |own: &OwnConnection| {
        if is_reported {
            own.load
        } else {
            own.estimated_load
        }
    };
    let known: Vec<f64> = own.iter().filter_map(|(_, own)| known_load(own)).collect();
    let mean = if known.is_empty() {
        1.0
    } else {
        known.iter().sum::<f64>() / known.len() as f64
    };
    let mut by_load: Vec<ConnectionLoad> = own
        .iter()
        .map(|(flow, own)| ConnectionLoad {
            flow: *flow,
            load: known_load(own).unwrap_or(mean),
        })
        .collect();
    by_load.sort_by(|a, b| b.load.total_cmp(&a.load).then(a.flow.cmp(&b.flow)));
    by_load
}

/// The first connections that together cover this fraction of all loads. The one that goes past
/// it migrates as often as it takes to meet it on average. Guards against several balancers that
/// each round up: together they would empty the server.
fn cover_excess(by_load: &[ConnectionLoad], excess_fraction: f64, rng: &mut WyRand) -> Vec<FlowId> {
    let goal = excess_fraction * by_load.iter().map(|own| own.load).sum::<f64>();
    let mut covered = 0.0;
    let mut migrating = Vec::new();
    for own in by_load {
        if covered + rng.generate::<f64>() * own.load >= goal {
            break;
        }
        covered += own.load;
        migrating.push(own.flow);
    }
    migrating
}
