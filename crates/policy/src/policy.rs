//! The decisions of one balancer, in the order in which a flow meets them. The modules beside it
//! decide; [`Policy`] holds them and passes events on.

use std::mem;

use nanorand::{Rng, WyRand};
use nettlemux_candidates::ZoneReach;

use crate::concurrency::ConcurrencyLimit;
use crate::connections::ConnectionTable;
use crate::endpoints::{EndpointConfig, Endpoints, Server};
use crate::gossip::{Gossip, GossipConfig};
use crate::health_checks::{self, HealthCheckConfig, HealthChecks};
use crate::load_reports::{OVERLOAD_UTILIZATION, is_plausible};
use crate::migration::{self, Migration, MigrationConfig};
use crate::placement::{PLACEMENT_UTILIZATION_MAX, PlacementQuery, Selection};
use crate::queue::{FlowQueue, QUEUE_RECHECK_INTERVAL};
use crate::recent_connects::RecentConnects;
use crate::retry::{RetryConfig, RetryPolicy};
use crate::rotation;
use crate::shedding::{LoadShedding, SheddingConfig};
use crate::slow_start::{self, SlowStart, SlowStartConfig};
use crate::traffic_classes::TrafficClasses;
use crate::types::{
    Actions, AttemptEnd, Endpoint, Flow, FlowId, GroupPlacement, LoadReport, Placement,
    PolicyEvent, SEC, ServerId, Time, TrafficClass,
};

/// A poll of the endpoint list that failed is repeated after this time, and up to twice it.
const POLL_RETRY_INTERVAL: Time = SEC;

/// The settings of a [`Policy`], a part for each decision.
#[derive(Clone, Debug, PartialEq)]
pub struct PolicyConfig {
    /// Balancers that place on the same servers, this one included; at least one.
    pub balancers: f64,
    /// How the endpoint list is had.
    pub endpoints: EndpointConfig,
    /// How many attempts a flow may have.
    pub retry: RetryConfig,
    /// How flows that are given up are answered.
    pub shedding: SheddingConfig,
    /// Whether servers may be checked, and at what cost.
    pub health_checks: HealthCheckConfig,
    /// How servers warm up.
    pub slow_start: SlowStartConfig,
    /// Which connections may be migrated.
    pub migration: MigrationConfig,
    /// Whether balancers exchange messages.
    pub gossip: GossipConfig,
}

impl Default for PolicyConfig {
    fn default() -> Self {
        PolicyConfig {
            balancers: 1.0,
            endpoints: EndpointConfig::default(),
            retry: RetryConfig::default(),
            shedding: SheddingConfig::default(),
            health_checks: HealthCheckConfig::default(),
            slow_start: SlowStartConfig::default(),
            migration: MigrationConfig::default(),
            gossip: GossipConfig::default(),
        }
    }
}

/// The decisions of one balancer: a state machine asked with plain values and the caller's time.
///
/// [`Policy::place`] says where a flow goes, [`Policy::on_event`] what to do about an event,
/// [`Policy::time_to_next_timer`] how long to wait for the next one. The other calls bring news.
pub struct Policy {
    rng: WyRand,
    zone: u64,
    balancers: f64,
    classes: TrafficClasses,
    endpoints: Endpoints,
    connections: ConnectionTable,
    recent_connects: RecentConnects,
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
    /// Returns the policy of a balancer that knows no servers yet. The same seed and the same calls
    /// give the same decisions.
    pub fn new(seed: u64, zone: u64, classes: Vec<TrafficClass>, config: PolicyConfig) -> Self {
        let balancers = config.balancers.max(1.0);
        Policy {
            rng: WyRand::new_seed(seed),
            zone,
            balancers,
            classes: TrafficClasses::new(classes),
            endpoints: Endpoints::new(&config.endpoints, seed),
            connections: ConnectionTable::default(),
            recent_connects: RecentConnects::default(),
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

    /// Goes on under the settings of `new`, which has to keep the indices of traffic classes and
    /// tenants that flows in hand refer to.
    pub fn apply_settings(&mut self, new: Policy) {
        let old = mem::replace(self, new);
        self.rng = old.rng;
        self.connections = old.connections;
        self.recent_connects = old.recent_connects;
        self.concurrency.continue_from(old.concurrency);
        self.queue = FlowQueue::continue_from(old.queue);
        self.endpoints.continue_from(old.endpoints);
        self.slow_start.continue_from(&old.slow_start);
        self.health_checks.continue_from(&old.health_checks);
        self.migration.continue_from(&old.migration);
        self.gossip.continue_from(old.gossip);
    }

    /// Takes in a watch event of the endpoint list: changed entries, or all of them where the list
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
        self.migration.follow_list(
            now,
            self.health_checks.report_lifetime(),
            &self.endpoints,
            &self.connections,
        );
        self.health_checks.follow_list(now, &self.endpoints);
    }

    /// Notes that the endpoint list could not be had; it is polled again after a while.
    pub fn endpoint_poll_failed(&mut self, now: Time) {
        let jitter = self.rng.generate_range(0..POLL_RETRY_INTERVAL);
        self.endpoints.poll_at(now + POLL_RETRY_INTERVAL + jitter);
    }

    /// Adopts a connection that went through this balancer before it started.
    pub fn adopt_connection(&mut self, flow: &Flow, server_id: ServerId) {
        self.connections.record_connection(flow, server_id);
    }

    /// Notes a connection's present load, in any unit that is the same for all connections.
    pub fn update_connection_load(&mut self, flow: FlowId, load: f64) {
        if load.is_finite() && load >= 0.0 {
            self.connections.update_load(flow, load);
        }
    }

    /// Takes in another balancer's message that a server holds connections of a group.
    pub fn receive_gossip(&mut self, now: Time, placement: GroupPlacement) {
        self.gossip.receive(now, placement, &self.endpoints);
    }

    /// Decides where this flow goes.
    pub fn place(&mut self, now: Time, flow: &Flow) -> Placement {
        self.recent_connects.start(now);
        let time_left = self.retry.time_left(now, flow);
        // Guards against repeats while servers share a fault.
        let is_unsafe_now = self.concurrency.is_congested() && flow.may_have_executed();
        if time_left == 0 || is_unsafe_now || self.retry.is_exhausted(flow) {
            return self.reject_or_fail(now, flow);
        }
        // Guards against a storm of attempts that jams what all servers share (the store).
        let in_flight = self.connections.in_flight.len();
        if self.concurrency.is_reached(now, in_flight) {
            return self.queue_or_give_up(now, flow);
        }
        let priority_utilization =
            self.shedding
                .priority_utilization(flow, &self.classes, &self.connections);
        let utilization_max = priority_utilization + PLACEMENT_UTILIZATION_MAX;
        if self.queue.is_placement_futile(now, flow, utilization_max) {
            return self.queue_or_give_up(now, flow);
        }
        let selection = self.select(now, flow, priority_utilization);
        if self.request_reports(now, flow, time_left, &selection) {
            return Placement::Wait;
        }
        match rotation::take_turn(&mut self.endpoints, &selection.eligible) {
            Some(server_id) => self.forward(now, flow, server_id, time_left),
            None => self.queue_or_give_up(now, flow),
        }
    }

    /// Looks for servers: among the flow's candidates, then among further ones, then, within a
    /// budget, in the whole list. Guards against a flow whose candidates are all away or full.
    fn select(&mut self, now: Time, flow: &Flow, priority_utilization: f64) -> Selection {
        self.slow_start.update_ramp_rates(
            now,
            self.health_checks.report_lifetime(),
            &self.endpoints,
            &self.connections,
            &self.recent_connects,
        );
        let query = self.query(now, flow, priority_utilization);
        let zones = if self.gossip.is_enabled() {
            ZoneReach::AllZones
        } else {
            ZoneReach::OwnZone
        };
        let mut selection = query.select(self.candidates(flow, zones).as_deref());
        if selection.eligible.is_empty() && self.endpoints.is_long() {
            let further = self.candidates(flow, ZoneReach::AllZones);
            selection = query.select(further.as_deref());
        }
        let is_whole = selection.eligible.is_empty() && self.endpoints.may_walk_list(now);
        if is_whole {
            selection = self.query(now, flow, priority_utilization).select(None);
        }
        let is_returning = flow.reconnecting
            && self
                .recent_connects
                .has_started_empty(now, &self.connections);
        let is_first = flow.attempts.is_empty() && !is_returning;
        if is_first && (is_whole || !self.endpoints.is_long()) {
            self.queue
                .record_least_utilization(now, selection.least_utilization);
        }
        selection
    }

    fn query<'a>(
        &'a self,
        now: Time,
        flow: &'a Flow,
        priority_utilization: f64,
    ) -> PlacementQuery<'a> {
        PlacementQuery {
            now,
            flow,
            class: self.classes.of(flow),
            zone: self.zone,
            balancers: self.balancers,
            priority_utilization,
            endpoints: &self.endpoints,
            connections: &self.connections,
            recent_connects: &self.recent_connects,
            health_checks: &self.health_checks,
            slow_start: &self.slow_start,
            retry: &self.retry,
            gossip: &self.gossip,
        }
    }

    /// On a long list the servers that this flow may go to: candidates of its group and own
    /// holders of it, or its own candidates. None where the list is looked at whole.
    fn candidates(&self, flow: &Flow, zones: ZoneReach) -> Option<Vec<ServerId>> {
        let candidates = self.endpoints.candidates.as_ref()?;
        let holders = self.connections.group_holders(flow).into_iter().flatten();
        let key = self.endpoints.candidate_key(flow);
        Some(candidates.scope(key, self.zone, zones, holders))
    }

    /// Queues the flow until the servers that it may go to have reported, where their reports are
    /// too old and there is time. When many flows wait the reports that there are must do.
    fn request_reports(
        &mut self,
        now: Time,
        flow: &Flow,
        time_left: Time,
        selection: &Selection,
    ) -> bool {
        let servers = &selection.needs_report;
        let has_time = now < flow.accepted_at + self.classes.of(flow).latency_objective
            && time_left > 2 * QUEUE_RECHECK_INTERVAL;
        if servers.is_empty() || self.queue.is_full(&self.concurrency) || !has_time {
            return false;
        }
        if let Some(candidates) = &mut self.endpoints.candidates
            && !candidates.health_checks.reserve(now, servers.len())
        {
            return false;
        }
        if self
            .health_checks
            .request(now, servers, &mut self.endpoints)
        {
            self.queue.await_reports(now);
        }
        self.queue.add();
        true
    }

    /// Sends the flow to this server. It may take all the time that is left: an attempt that is
    /// given up has cost the store its call all the same.
    fn forward(
        &mut self,
        now: Time,
        flow: &Flow,
        server_id: ServerId,
        time_left: Time,
    ) -> Placement {
        let server = self.endpoints.servers.get_mut(&server_id);
        let server = server.expect("only listed servers are selected");
        slow_start::record_attempt(&mut server.slow_start, now);
        server.load.record_attempt(now);
        self.connections.record_attempt(now, flow, server_id);
        Placement::Forward {
            server_id,
            timeout: time_left,
            send_within: time_left.min(self.resend_time_left(now, flow)),
        }
    }

    /// Queues the flow while its latency objective may still be met and few wait, else gives it up.
    fn queue_or_give_up(&mut self, now: Time, flow: &Flow) -> Placement {
        let waited = now.saturating_sub(flow.accepted_at);
        // Guards against a flow that is placed again only when its time has run out.
        let recheck_interval = self.queue.recheck_interval(self.endpoints.looked_at_max());
        if self.retry.is_due_within(now, flow, recheck_interval)
            || waited >= self.classes.of(flow).latency_objective
            || self.queue.is_full(&self.concurrency)
        {
            return self.reject_or_fail(now, flow);
        }
        self.queue.add();
        Placement::Wait
    }

    fn reject_or_fail(&mut self, now: Time, flow: &Flow) -> Placement {
        let resend_time_left = self.resend_time_left(now, flow);
        self.shedding.reject_or_fail(
            flow,
            self.classes.of(flow).idempotency,
            resend_time_left,
            &self.concurrency,
            &mut self.rng,
        )
    }

    fn resend_time_left(&self, now: Time, flow: &Flow) -> Time {
        let idempotency = self.classes.of(flow).idempotency;
        self.retry.resend_time_left(now, flow, idempotency)
    }

    /// Returns what to do about this event.
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

    /// Adds what is due whatever the event was.
    fn add_due_actions(&mut self, now: Time, actions: &mut Actions) {
        actions.health_checks = self.health_checks.take_due(
            now,
            &mut self.endpoints,
            &self.connections,
            &self.recent_connects,
        );
        actions.migrate.extend(self.migration.migrate_off_draining(
            now,
            self.health_checks.report_lifetime(),
            &self.endpoints,
            &self.connections,
            &mut self.rng,
        ));
        for flow in &actions.migrate {
            self.connections.mark_migrating(*flow);
        }
        actions.poll_endpoints = self.endpoints.take_due_poll(now);
    }

    fn on_connected(&mut self, now: Time, flow: FlowId) -> Actions {
        let Some(server_id) = self.connections.mark_connected(flow) else {
            return Actions::default();
        };
        let gossip =
            self.gossip
                .announce(now, flow, server_id, &self.connections, &mut self.endpoints);
        self.concurrency.increase();
        if let Some(server) = self.endpoints.servers.get_mut(&server_id) {
            server.outlier.record_connected(now);
            if self.slow_start.is_warm(now, server) {
                self.recent_connects.record(now, server_id);
            }
        }
        self.recent_connects.expire(now);
        Actions {
            gossip,
            ..Actions::default()
        }
    }

    fn on_attempt_ended(&mut self, now: Time, flow: FlowId, server_id: ServerId, end: AttemptEnd) {
        let own = self.connections.remove(flow);
        let was_in_flight = own.as_ref().is_some_and(|own| !own.is_connected);
        let left_unasked = own.is_some_and(|own| own.is_connected && !own.is_migrating);
        if end == AttemptEnd::Cancelled && left_unasked {
            self.migration.stop_migrating_off_draining();
        }
        let Some(server) = self.endpoints.servers.get_mut(&server_id) else {
            return;
        };
        // Healthy servers that fail or are late are the sign of a fault that they share.
        let is_shared_fault = matches!(end, AttemptEnd::TimedOut | AttemptEnd::Error);
        if is_shared_fault && server.outlier.is_healthy(now) {
            self.concurrency.decrease(now);
        }
        if !was_in_flight {
            return;
        }
        server.load.withdraw_attempt();
        if end == AttemptEnd::Overloaded {
            server.overloaded_at = Some(now);
        }
        if end.is_server_failure() {
            server.outlier.record_failed_attempt(now);
        }
    }

    fn on_client_left(&self, flow: FlowId) -> Actions {
        let own = self.connections.own.get(&flow);
        let is_in_flight = own.is_some_and(|own| !own.is_connected);
        let is_cancelled = self.retry.allows_cancellation() && is_in_flight;
        Actions {
            cancel: is_cancelled.then_some(flow).into_iter().collect(),
            ..Actions::default()
        }
    }

    /// Takes in a health check's result, and returns the connections to migrate off the server.
    fn on_health_checked(
        &mut self,
        now: Time,
        server_id: ServerId,
        passed: bool,
        report: LoadReport,
    ) -> Vec<FlowId> {
        let is_on_demand = self.health_checks.is_on_demand();
        self.queue
            .report_came(now, is_on_demand, self.endpoints.looked_at_max());
        let Some(server) = self.endpoints.servers.get_mut(&server_id) else {
            return Vec::new();
        };
        server.load.record_check(now);
        if passed {
            server.outlier.record_passed_check();
        } else {
            server.outlier.record_failed_check(now);
            self.health_checks
                .retry_failed(now, &mut server.health_check);
        }
        let is_overloaded = report
            .utilization
            .is_some_and(|utilization| utilization > OVERLOAD_UTILIZATION);
        if let Some(candidates) = &mut self.endpoints.candidates
            && (is_overloaded || !passed)
        {
            candidates.health_checks.recheck_soon(now, server_id);
        }
        let plausible = report.utilization.filter(|value| is_plausible(*value));
        let Some(utilization) = plausible.filter(|_| passed) else {
            return Vec::new();
        };
        server.load.record_report(now, utilization);
        let connections = report.connections.filter(|count| *count >= 1.0);
        let per_connection = connections.map(|count| utilization / count);
        self.connections.estimate_loads(server_id, per_connection);
        migration::migrate_off_overloaded(
            now,
            self.health_checks.report_lifetime(),
            server,
            &self.connections,
            &mut self.rng,
        )
    }

    /// Returns how long to wait for the next event at most, until the timer expires; none where
    /// nothing is due.
    pub fn time_to_next_timer(&self, now: Time) -> Option<Time> {
        let timers = [
            self.health_checks.next_at(),
            self.endpoints.next_poll_at(),
            self.queue.recheck_at(now, self.endpoints.looked_at_max()),
            self.migration.next_drain_step_at(),
            self.queue.recheck_after_report_at(),
        ];
        timers
            .into_iter()
            .flatten()
            .min()
            .map(|at| at.saturating_sub(now))
    }
}
