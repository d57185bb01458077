//! The decisions of one balancer, in the order in which a flow meets them. The decisions are made
//! in the other modules; [`Policy`] holds their state and passes events on to them.

mod events;
mod placing;

use std::mem;

use nanorand::{Rng, WyRand};

use crate::concurrency::ConcurrencyLimit;
use crate::config::PolicyConfig;
use crate::connections::ConnectionTable;
use crate::endpoints::{Endpoints, Server};
use crate::fleet_view::FleetView;
use crate::gossip::Gossip;
use crate::health_checks::{self, HealthChecks};
use crate::migration::Migration;
use crate::placement::PLACEMENT_UTILIZATION_MAX;
use crate::queue::FlowQueue;
use crate::recent_connections::RecentConnections;
use crate::retry::RetryPolicy;
use crate::rotation;
use crate::shedding::LoadShedding;
use crate::slow_start::{self, SlowStart};
use crate::types::{
    Actions, Endpoint, Flow, FlowId, GroupPlacement, Placement, PolicyEvent, SEC, ServerId, Time,
};

/// Shortest time until a failed poll of the endpoint list is repeated; the longest is twice as
/// long.
const POLL_RETRY_INTERVAL_MIN: Time = SEC;

/// The decisions of one balancer: a state machine that is called with plain values and the caller's
/// time.
///
/// [`Policy::place`] decides where a flow goes, [`Policy::on_event`] returns the actions that
/// follow from an event, and [`Policy::time_to_next_timer`] tells how long to wait for the next
/// event. The other methods pass information in.
pub struct Policy {
    rng: WyRand,
    zone: u64,
    balancers: f64,
    endpoints: Endpoints,
    connections: ConnectionTable,
    recent_connections: RecentConnections,
    retry: RetryPolicy,
    concurrency: ConcurrencyLimit,
    queue: FlowQueue,
    shedding: LoadShedding,
    slow_start: SlowStart,
    health_checks: HealthChecks,
    migration: Migration,
    gossip: Gossip,
}

impl Policy {
    /// Creates the policy of a balancer that does not know any servers yet. The same seed and the
    /// same calls lead to the same decisions.
    pub fn new(seed: u64, zone: u64, config: PolicyConfig) -> Self {
        let balancers = config.balancers.max(1.0);
        Policy {
            rng: WyRand::new_seed(seed),
            zone,
            balancers,
            endpoints: Endpoints::new(&config.endpoints, seed),
            connections: ConnectionTable::default(),
            recent_connections: RecentConnections::default(),
            retry: RetryPolicy::new(config.retry),
            concurrency: ConcurrencyLimit::new(balancers),
            queue: FlowQueue::default(),
            shedding: LoadShedding::new(config.shedding),
            health_checks: HealthChecks::new(&config.health_checks, balancers),
            migration: Migration::new(&config.migration, config.slow_start.warm_up),
            slow_start: SlowStart::new(config.slow_start),
            gossip: Gossip::new(&config.gossip, balancers),
        }
    }

    /// Replaces the settings by those of `new`. Flows in progress keep the traffic class with which
    /// they were accepted. A tenant that `new` doesn't have has no quota.
    pub fn apply_settings(&mut self, new: Policy) {
        let old = mem::replace(self, new);
        self.rng = old.rng;
        self.connections = old.connections;
        self.connections.forget_unused_classes();
        self.recent_connections = old.recent_connections;
        self.concurrency.take_state_from(old.concurrency);
        self.queue = FlowQueue::with_state_of(old.queue);
        self.endpoints.take_state_from(old.endpoints);
        self.slow_start.take_state_from(&old.slow_start);
        self.health_checks.take_state_from(&old.health_checks);
        self.migration.take_state_from(&old.migration);
        self.gossip.take_state_from(old.gossip);
    }

    /// Applies a watch event of the endpoint list: the changed entries, or all entries if the list
    /// `is_complete`.
    pub fn update_endpoints(&mut self, now: Time, entries: &[Endpoint], is_complete: bool) {
        let (rng, slow_start) = (&mut self.rng, &mut self.slow_start);
        let new_server = |entry: &Endpoint| {
            slow_start.record_start(entry.started);
            Server {
                endpoint: *entry,
                rotation_credit: rotation::initial_credit(rng),
                last_ready_at: now,
                health_check: health_checks::initial_times(now, rng),
                slow_start: slow_start::initial_slots(rng),
                ..Server::default()
            }
        };
        self.endpoints
            .update(now, entries, is_complete, &self.connections, new_server);
        let drain_migrations = self.migration.drain_migrations(&self.view(now));
        self.migration.schedule(now, &drain_migrations);
        self.health_checks
            .on_endpoints_changed(now, &self.endpoints);
    }

    /// Records that the endpoint list could not be fetched, and schedules the next poll.
    pub fn on_endpoint_poll_failed(&mut self, now: Time) {
        let jitter = self.rng.generate_range(0..POLL_RETRY_INTERVAL_MIN);
        self.endpoints
            .poll_at(now + POLL_RETRY_INTERVAL_MIN + jitter);
    }

    /// Adopts a connection that existed before this balancer started.
    pub fn adopt_connection(&mut self, flow: &Flow, server_id: ServerId) {
        self.connections.record_connection(flow, server_id);
    }

    /// Records the current load of a connection, in any unit that is the same for all connections.
    pub fn update_connection_load(&mut self, flow: FlowId, load: f64) {
        if load.is_finite() && load >= 0.0 {
            self.connections.update_load(flow, load);
        }
    }

    /// Processes another balancer's message that a server holds connections of a group.
    pub fn receive_gossip(&mut self, now: Time, placement: GroupPlacement) {
        self.gossip.receive(now, placement, &self.endpoints);
    }

    /// Decides where this flow goes.
    pub fn place(&mut self, now: Time, flow: &Flow) -> Placement {
        self.recent_connections.start(now);
        let time_left = self.retry.time_left(now, flow);
        // Guards against repeated attempts while the servers share a fault.
        let is_unsafe_now = self.concurrency.is_congested() && flow.may_have_executed();
        if time_left == 0 || is_unsafe_now || self.retry.is_exhausted(flow) {
            return self.reject_or_fail(now, flow);
        }
        // Guards against a storm of attempts that overloads what all servers share (the store).
        let in_flight = self.connections.in_flight.len();
        if self.concurrency.is_reached(now, in_flight) {
            return self.queue_or_give_up(now, flow);
        }
        let priority_utilization = self.shedding.priority_utilization(flow, &self.connections);
        let utilization_max = priority_utilization + PLACEMENT_UTILIZATION_MAX;
        if self.queue.is_placement_futile(now, flow, utilization_max) {
            return self.queue_or_give_up(now, flow);
        }
        let selection = self.select_servers(now, flow, priority_utilization);
        if self.request_reports(now, flow, time_left, &selection) {
            return Placement::Wait;
        }
        match rotation::take_turn(&mut self.endpoints, &selection.eligible) {
            Some(server_id) => self.forward(now, flow, server_id, time_left),
            None => self.queue_or_give_up(now, flow),
        }
    }

    /// Returns the actions that follow from this event.
    pub fn on_event(&mut self, now: Time, event: PolicyEvent) -> Actions {
        let mut actions = match event {
            PolicyEvent::Connected { flow, .. } => self.on_connected(now, flow),
            PolicyEvent::AttemptEnded {
                flow,
                server_id,
                end,
                unanswered,
            } => {
                self.on_attempt_ended(now, flow, server_id, end);
                Actions {
                    placement: unanswered.map(|flow| self.place(now, flow)),
                    ..Actions::default()
                }
            }
            PolicyEvent::ClientLeft { flow } => self.on_client_left(flow),
            PolicyEvent::HealthChecked {
                server_id,
                passed,
                report,
            } => Actions {
                migrate: self.on_health_checked(now, server_id, passed, report),
                ..Actions::default()
            },
            PolicyEvent::TimerExpired => {
                self.queue.timer_expired(now);
                Actions::default()
            }
        };
        self.add_due_actions(now, &mut actions);
        actions
    }

    /// Returns how long to wait for the next event at most, until the timer expires; `None` if
    /// nothing is due.
    pub fn time_to_next_timer(&self, now: Time) -> Option<Time> {
        let timers = [
            self.health_checks.next_at(),
            self.endpoints.next_poll_at(),
            self.queue.next_recheck_at(now, self.endpoints.scan_size()),
            self.migration.next_drain_step_at(),
            self.queue.recheck_after_report_at(),
        ];
        timers
            .into_iter()
            .flatten()
            .min()
            .map(|at| at.saturating_sub(now))
    }

    /// Returns the servers and own connections as they are now.
    fn view(&self, now: Time) -> FleetView<'_> {
        FleetView {
            now,
            report_lifetime: self.health_checks.report_lifetime(),
            endpoints: &self.endpoints,
            connections: &self.connections,
            recent_connections: &self.recent_connections,
        }
    }
}
