//! Migration: selects the own connections that leave an overloaded or a draining server.
//!
//! Off an overloaded server the largest connections are migrated until they cover this balancer's
//! part of the excess load, as in docs/design.md. Off a draining server connections are migrated at
//! an even rate while a replacement warms up.

use nanorand::{Rng, WyRand};

use crate::connections::{ConnectionTable, OwnConnection};
use crate::endpoints::Server;
use crate::fleet_view::FleetView;
use crate::load_reports::OVERLOAD_UTILIZATION;
use crate::placement::NEW_GROUP_UTILIZATION_MAX;
use crate::types::{FlowId, MS, SEC, ServerId, Time};

/// Time after a migration off an overloaded server in which no further one off the same server
/// starts. Reports lag by their refresh interval and delay, so a report that arrives earlier does
/// not show the effect of the last migration.
const MIGRATION_SETTLING_TIME: Time = 2 * SEC;
/// Time from the notice of a drain to the first migration. Servers that disconnect their clients
/// themselves have begun to do so by then.
const DRAIN_DELAY: Time = 2 * SEC;
/// Interval between two migrations off a draining server.
const DRAIN_STEP_INTERVAL: Time = 60 * MS;

/// Which own connections may be migrated.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct MigrationConfig {
    /// Whether clients are migrated off a draining server before it stops. This ends as soon as a
    /// draining server turns out to disconnect its clients itself.
    pub migrate_off_draining: bool,
}

/// The next connection to migrate off one draining server.
pub(crate) struct DrainMigration {
    flow: FlowId,
    /// Probability that the connection is migrated in this step.
    probability: f64,
}

/// Decides on migrations off draining servers.
pub(crate) struct Migration {
    migrate_off_draining: bool,
    /// Time over which the migrations off a draining server are spread.
    drain_duration: Time,
    /// When the next migrations off draining servers are due.
    next_drain_step_at: Option<Time>,
}

impl Migration {
    pub(crate) fn new(config: &MigrationConfig, warm_up: Time) -> Self {
        Migration {
            migrate_off_draining: config.migrate_off_draining,
            drain_duration: warm_up.max(2 * DRAIN_DELAY),
            next_drain_step_at: None,
        }
    }

    /// Takes over the schedule of the policy that had the previous settings.
    pub(crate) fn take_state_from(&mut self, old: &Migration) {
        self.next_drain_step_at = old.next_drain_step_at;
    }

    /// When the next migrations off draining servers are due.
    pub(crate) fn next_drain_step_at(&self) -> Option<Time> {
        self.next_drain_step_at
    }

    /// Ends migrations off draining servers: a client left without being notified, so draining
    /// servers disconnect their clients themselves.
    pub(crate) fn stop_drain_migrations(&mut self) {
        self.migrate_off_draining = false;
    }

    /// Schedules the first of these migrations after the endpoint list has changed.
    pub(crate) fn schedule(&mut self, now: Time, migrations: &[DrainMigration]) {
        if !migrations.is_empty() {
            self.next_drain_step_at.get_or_insert(now + DRAIN_DELAY);
        }
    }

    /// Whether the next step of migrations off draining servers is due.
    pub(crate) fn is_drain_step_due(&self, now: Time) -> bool {
        self.next_drain_step_at.is_some_and(|at| at <= now)
    }

    /// Schedules the next step and returns the connections that leave draining servers in this one.
    pub(crate) fn run_drain_step(
        &mut self,
        now: Time,
        mut migrations: Vec<DrainMigration>,
        rng: &mut WyRand,
    ) -> Vec<FlowId> {
        self.next_drain_step_at = (!migrations.is_empty()).then_some(now + DRAIN_STEP_INTERVAL);
        migrations.retain(|migration| rng.generate::<f64>() < migration.probability);
        migrations
            .into_iter()
            .map(|migration| migration.flow)
            .collect()
    }

    /// Returns the next connection to migrate off each draining server. Guards against clients
    /// whose server stops without notice, and against hundreds of balancers that migrate their
    /// clients at once. A server that is removed from the list keeps its connections, because it
    /// may have been delisted by mistake.
    pub(crate) fn drain_migrations(&self, view: &FleetView) -> Vec<DrainMigration> {
        let endpoints = view.endpoints;
        if !self.migrate_off_draining || endpoints.draining.is_empty() {
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
            .filter_map(|server| self.next_drain_migration(view, server, has_room))
            .collect()
    }

    /// Returns the next connection to migrate off this server. Its probability spreads the
    /// migrations evenly over the rest of the drain; it is 0 before [`DRAIN_DELAY`] has passed, and
    /// while no server has room.
    fn next_drain_migration(
        &self,
        view: &FleetView,
        server: &Server,
        has_room: bool,
    ) -> Option<DrainMigration> {
        let (now, connections) = (view.now, view.connections);
        let flows = connections.by_server.get(&server.endpoint.server_id)?;
        let stays = |flow: &&FlowId| {
            let own = &connections.own[flow];
            own.is_connected && !own.is_migrating
        };
        let mut staying = flows.iter().filter(stays);
        let flow = *staying.next()?;
        let count = staying.count() + 1;
        let time_left = (server.last_ready_at + self.drain_duration)
            .saturating_sub(now)
            .max(DRAIN_STEP_INTERVAL);
        let is_due = has_room && now >= server.last_ready_at + DRAIN_DELAY;
        let probability = if is_due {
            count as f64 * DRAIN_STEP_INTERVAL as f64 / time_left as f64
        } else {
            0.0
        };
        Some(DrainMigration { flow, probability })
    }
}

/// Returns the connections to migrate off this server because it is overloaded. They are migrated
/// even if all servers are overloaded: placement then admits no client, so load is shed and clients
/// are not moved in circles. Guards against a fleet at full load that serves no message in time.
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
        .is_some_and(|at| now < at + MIGRATION_SETTLING_TIME);
    if utilization <= OVERLOAD_UTILIZATION || is_settling {
        return Vec::new();
    }
    let excess_fraction = (utilization - OVERLOAD_UTILIZATION) / utilization;
    let by_load = connections_by_load(server.endpoint.server_id, connections);
    let migrating = select_for_excess(&by_load, excess_fraction, rng);
    if !migrating.is_empty() {
        server.migrated_at = Some(now);
    }
    migrating
}

/// A connection and the load that it is assumed to cause.
struct ConnectionLoad {
    flow: FlowId,
    load: f64,
}

/// Returns the connections at this server, the largest load first. If any connection has a reported
/// load, only reported loads count; otherwise estimated loads count. A connection without a load is
/// assumed to have the mean of the others.
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

/// Returns the first connections that together cover this fraction of the total load. The
/// connection that exceeds the fraction is included at random, with the probability that meets the
/// fraction on average. Guards against several balancers that each round up and together empty the
/// server.
fn select_for_excess(
    by_load: &[ConnectionLoad],
    excess_fraction: f64,
    rng: &mut WyRand,
) -> Vec<FlowId> {
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
