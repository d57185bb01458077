//! The steps of placing a flow, in their order.

use nettlemux_candidates::ZoneReach;

use super::Policy;
use crate::placement::{PlacementQuery, Selection};
use crate::queue::QUEUE_RECHECK_INTERVAL;
use crate::slow_start;
use crate::types::{Flow, Placement, ServerId, Time};

impl Policy {
    /// Selects servers among the flow's candidates, then among further candidates, then, within a
    /// budget, in the whole list. Guards against a flow whose candidates are all gone or full.
    pub(super) fn select_servers(
        &mut self,
        now: Time,
        flow: &Flow,
        priority_utilization: f64,
    ) -> Selection {
        self.recent_connections.count_window(now);
        if let Some(ramp_rates) = self.slow_start.due_ramp_rates(&self.view(now)) {
            self.slow_start.set_ramp_rates(now, ramp_rates);
        }
        let select = |scope: Option<&[ServerId]>| {
            self.query(now, flow, priority_utilization, scope).select()
        };
        let zones = if self.gossip.is_enabled() {
            ZoneReach::AllZones
        } else {
            ZoneReach::OwnZone
        };
        let mut selection = select(self.candidates(flow, zones).as_deref());
        if selection.eligible.is_empty() && self.endpoints.is_long() {
            let further = self.candidates(flow, ZoneReach::AllZones);
            selection = select(further.as_deref());
        }
        let walks_list = selection.eligible.is_empty() && self.endpoints.try_begin_list_scan(now);
        if walks_list {
            selection = self.query(now, flow, priority_utilization, None).select();
        }
        let is_returning = flow.reconnecting && self.view(now).recently_started_empty();
        let is_first_attempt = flow.attempts.is_empty() && !is_returning;
        if is_first_attempt && (walks_list || !self.endpoints.is_long()) {
            self.queue
                .record_least_utilization(now, selection.least_utilization);
        }
        selection
    }

    /// Returns the inputs for placing this flow.
    fn query<'a>(
        &'a self,
        now: Time,
        flow: &'a Flow,
        priority_utilization: f64,
        scope: Option<&'a [ServerId]>,
    ) -> PlacementQuery<'a> {
        PlacementQuery {
            view: self.view(now),
            flow,
            scope,
            zone: self.zone,
            balancers: self.balancers,
            priority_utilization,
            health_checks: &self.health_checks,
            slow_start: &self.slow_start,
            retry: &self.retry,
            gossip: &self.gossip,
        }
    }

    /// Returns the servers of a long list that this flow may go to: the candidates of its group and
    /// the servers with own connections of the group, or, without a group, the flow's own
    /// candidates. Returns `None` if the whole list is considered.
    fn candidates(&self, flow: &Flow, zones: ZoneReach) -> Option<Vec<ServerId>> {
        let candidates = self.endpoints.candidates.as_ref()?;
        let holders = self.connections.group_holders(flow).into_iter().flatten();
        let key = self.endpoints.candidate_key(flow);
        Some(candidates.servers_for_key(key, self.zone, zones, holders))
    }

    /// Queues the flow until the servers that it may go to have reported, if their reports are too
    /// old and there is time. Returns whether the flow was queued. If too many flows are waiting,
    /// the flow is placed by the reports at hand.
    pub(super) fn request_reports(
        &mut self,
        now: Time,
        flow: &Flow,
        time_left: Time,
        selection: &Selection,
    ) -> bool {
        let servers = &selection.needs_report;
        let has_time = now < flow.accepted_at + flow.class.latency_objective
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

    /// Sends the flow to this server. The attempt may use all the time that is left, because giving
    /// it up early saves nothing: it has cost the store a call all the same.
    pub(super) fn forward(
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
            send_within: time_left.min(self.retry.resend_time_left(now, flow)),
        }
    }

    /// Queues the flow while its latency objective can still be met and few flows wait; otherwise
    /// gives the flow up.
    pub(super) fn queue_or_give_up(&mut self, now: Time, flow: &Flow) -> Placement {
        let waited = now.saturating_sub(flow.accepted_at);
        // Guards against a flow that is placed again only after its deadline.
        let recheck_interval = self.queue.recheck_interval(self.endpoints.scan_size());
        if self.retry.is_answer_due_within(now, flow, recheck_interval)
            || waited >= flow.class.latency_objective
            || self.queue.is_full(&self.concurrency)
        {
            return self.reject_or_fail(now, flow);
        }
        self.queue.add();
        Placement::Wait
    }

    /// Gives the flow up: rejects or fails it.
    pub(super) fn reject_or_fail(&mut self, now: Time, flow: &Flow) -> Placement {
        let resend_time_left = self.retry.resend_time_left(now, flow);
        self.shedding
            .reject_or_fail(flow, resend_time_left, &self.concurrency, &mut self.rng)
    }
}
