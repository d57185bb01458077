//! The state machine of admission control.

#[cfg(test)]
mod tests;

use std::collections::{BTreeMap, BTreeSet};

use nanorand::{Rng, WyRand};
use nettlemux_policy::{FlowId, MS, SEC, Time};

use crate::config::AdmissionConfig;
use crate::decision::{AdmissionDecision, AdmissionRequest, RejectReason};
use crate::fair_queue::{Arrival, FairQueues};
use crate::retry_after::{RetryAfterSchedule, RetryReservations};
use crate::service_rate::ServiceRate;
use crate::token_buckets::{RateLimit, TokenBuckets};

/// The longest interval between two polls of a controller that has queued flows.
const POLL_INTERVAL_MAX: Time = 20 * MS;

/// The admission control of one balancer. All times are nanoseconds of the caller's clock.
pub struct AdmissionController {
    config: AdmissionConfig,
    queues: FairQueues,
    queued: BTreeMap<FlowId, AdmissionRequest>,
    /// The queued flows in the order in which their latency objectives expire.
    deadlines: BTreeSet<(Time, FlowId)>,
    /// Admitted flows that are not closed.
    admitted: BTreeMap<FlowId, AdmittedFlow>,
    /// The number of admitted flows of each key.
    admitted_by_key: BTreeMap<u64, usize>,
    /// The number of flows of each key that the policy has queued.
    policy_queue_by_key: BTreeMap<u64, usize>,
    token_buckets: TokenBuckets,
    retry_reservations: RetryReservations,
    retry_schedule: RetryAfterSchedule,
    /// The rate at which flows are admitted.
    admission_rate: ServiceRate,
    /// The rate at which admitted flows are connected.
    connection_rate: ServiceRate,
    /// The number of client retries that may be admitted.
    retry_budget: f64,
    is_shutting_down: bool,
    rng: WyRand,
}

#[derive(Clone, Copy)]
struct AdmittedFlow {
    key: u64,
    client: u64,
}

impl AdmissionController {
    /// Returns a controller without flows. `seed` determines its random numbers and hashes.
    pub fn new(config: AdmissionConfig, seed: u64) -> Self {
        let mut rng = WyRand::new_seed(seed);
        let hash_seed = rng.generate::<u64>();
        AdmissionController {
            queues: FairQueues::default(),
            queued: BTreeMap::new(),
            deadlines: BTreeSet::new(),
            admitted: BTreeMap::new(),
            admitted_by_key: BTreeMap::new(),
            policy_queue_by_key: BTreeMap::new(),
            token_buckets: TokenBuckets::new(config.table_size, hash_seed),
            retry_reservations: RetryReservations::new(config.table_size, hash_seed),
            retry_schedule: RetryAfterSchedule::new(config.max_retry_after),
            admission_rate: ServiceRate::default(),
            connection_rate: ServiceRate::default(),
            retry_budget: config.retry_budget_max,
            is_shutting_down: false,
            rng,
            config,
        }
    }

    /// Changes the limits and weights, but not the table sizes and the longest Retry-After. Queued
    /// flows stay queued, even if they exceed a lowered limit.
    pub fn apply_config(&mut self, config: AdmissionConfig) {
        self.queues.set_weights(|key| config.weight(key));
        self.retry_budget = self.retry_budget.min(config.retry_budget_max);
        self.config = AdmissionConfig {
            table_size: self.config.table_size,
            max_retry_after: self.config.max_retry_after,
            ..config
        };
    }

    /// Returns whether the flow is waiting to be admitted.
    pub fn is_queued(&self, flow: FlowId) -> bool {
        self.queued.contains_key(&flow)
    }

    /// Returns the number of flows that are waiting to be admitted.
    pub fn queue_length(&self) -> usize {
        self.queued.len()
    }

    /// Queues a flow, or rejects it at once by appending a decision to `decisions`. The caller must
    /// call [`AdmissionController::next_decisions`] next.
    pub fn submit(
        &mut self,
        now: Time,
        request: AdmissionRequest,
        decisions: &mut Vec<AdmissionDecision>,
    ) {
        let arrival = if self.retry_reservations.claim(now, request.client) {
            Arrival::AtRetryAfter
        } else {
            Arrival::Regular
        };
        match self.reject_reason(now, &request, arrival) {
            Some(reason) => self.reject(now, request, reason, decisions),
            None => self.enqueue(request, arrival),
        }
    }

    fn reject_reason(
        &mut self,
        now: Time,
        request: &AdmissionRequest,
        arrival: Arrival,
    ) -> Option<RejectReason> {
        let exceeded = self.exceeded_limit(now, request, arrival);
        if exceeded.is_some() {
            return exceeded;
        }
        if arrival == Arrival::Regular && self.counts_as_retry(request) {
            self.retry_budget -= 1.0;
        }
        // A flow that can't be admitted in time is rejected at once. If it were queued, it would
        // only be rejected later.
        let needed = self.time_until_served(request.key, self.admission_rate.per_second());
        let would_be_late = self.queued.len() > self.config.policy_queue_limit
            && now + needed > request.latency_deadline;
        would_be_late.then_some(RejectReason::DeadlineExceeded)
    }

    /// Returns the first limit that the flow exceeds. If the rate limit is checked, this takes a
    /// token of the key.
    fn exceeded_limit(
        &mut self,
        now: Time,
        request: &AdmissionRequest,
        arrival: Arrival,
    ) -> Option<RejectReason> {
        if self.is_shutting_down {
            return Some(RejectReason::ShuttingDown);
        }
        let flow_limit = self.config.flow_limit_per_key;
        let admitted = self.admitted_by_key.get(&request.key).copied().unwrap_or(0);
        if flow_limit > 0 && admitted >= flow_limit {
            return Some(RejectReason::FlowLimit);
        }
        // A client that retries at the end of its Retry-After has already waited. Neither the rate
        // limit nor the retry budget applies to it.
        if arrival == Arrival::Regular {
            let limit = RateLimit {
                rate: self.config.rate,
                burst: self.config.burst,
            };
            if !self.token_buckets.take(now, request.key, limit) {
                return Some(RejectReason::RateLimited);
            }
            if self.counts_as_retry(request) && self.retry_budget < 1.0 {
                return Some(RejectReason::RetryBudgetExhausted);
            }
        }
        let is_full = self.queued.len() >= self.config.queue_limit
            || self.queues.length(request.key) >= self.config.queue_limit_per_key;
        is_full.then_some(RejectReason::QueueFull)
    }

    /// Returns whether the flow is a retry and there is a retry budget.
    fn counts_as_retry(&self, request: &AdmissionRequest) -> bool {
        request.is_retry && self.config.retry_budget_ratio > 0.0
    }

    fn enqueue(&mut self, request: AdmissionRequest, arrival: Arrival) {
        let AdmissionRequest { flow, key, .. } = request;
        self.queues
            .push(key, flow, self.config.weight(key), arrival);
        self.deadlines.insert((request.latency_deadline, flow));
        self.queued.insert(flow, request);
    }

    /// Returns the time until one more flow of the key is served if flows are served at this rate.
    fn time_until_served(&self, key: u64, flows_per_second: f64) -> Time {
        let flows = self.queues.flows_until_served(key, self.config.weight(key));
        (flows / flows_per_second * SEC as f64) as Time
    }

    /// Appends to `decisions` the rejection of each flow whose latency objective has expired, and
    /// the admission of at most one flow. The caller asks the policy to place the admitted flow,
    /// passes the policy's queue to [`AdmissionController::set_policy_queue`] and calls this method
    /// again, until it makes no decision.
    pub fn next_decisions(&mut self, now: Time, decisions: &mut Vec<AdmissionDecision>) {
        self.reject_expired(now, decisions);
        if let Some(request) = self.pop_admissible() {
            self.admission_rate.record(now);
            *self.admitted_by_key.entry(request.key).or_default() += 1;
            let admitted = AdmittedFlow {
                key: request.key,
                client: request.client,
            };
            self.admitted.insert(request.flow, admitted);
            decisions.push(AdmissionDecision::Admit(request.flow));
        }
    }

    /// Rejects the flows whose latency objective has expired, or all flows during a shutdown.
    fn reject_expired(&mut self, now: Time, decisions: &mut Vec<AdmissionDecision>) {
        let reason = if self.is_shutting_down {
            RejectReason::ShuttingDown
        } else {
            RejectReason::DeadlineExceeded
        };
        while let Some((deadline, flow)) = self.deadlines.first().copied()
            && (self.is_shutting_down || deadline <= now)
        {
            if let Some(request) = self.dequeue(flow) {
                self.reject(now, request, reason, decisions);
            }
        }
    }

    /// Removes and returns the next flow that may be admitted, `None` if there is none or the
    /// policy's queue is full.
    fn pop_admissible(&mut self) -> Option<AdmissionRequest> {
        let limit = self.config.policy_queue_limit;
        let policy_queue = &self.policy_queue_by_key;
        if policy_queue.values().sum::<usize>() >= limit {
            return None;
        }
        // No key may take more than half of the policy's queue. Otherwise flows of one key that
        // can't be placed would keep out flows of other keys that could be placed.
        let limit_per_key = limit.div_ceil(2);
        let eligible = |key: u64| {
            policy_queue
                .get(&key)
                .is_none_or(|count| *count < limit_per_key)
        };
        let flow = self.queues.pop(eligible)?;
        let request = self.queued.remove(&flow)?;
        self.deadlines.remove(&(request.latency_deadline, flow));
        Some(request)
    }

    /// Returns the time when the first latency objective of a queued flow expires, `None` if no
    /// flow is queued.
    pub fn next_deadline(&self) -> Option<Time> {
        self.deadlines.first().map(|(deadline, _)| *deadline)
    }

    /// Returns the time within which [`AdmissionController::next_decisions`] must be called, `None`
    /// if no flow is queued.
    pub fn time_to_next_poll(&self, now: Time) -> Option<Time> {
        let deadline = self.next_deadline()?;
        Some(deadline.saturating_sub(now).min(POLL_INTERVAL_MAX))
    }

    fn dequeue(&mut self, flow: FlowId) -> Option<AdmissionRequest> {
        let request = self.queued.remove(&flow)?;
        self.deadlines.remove(&(request.latency_deadline, flow));
        self.queues.remove(request.key, flow);
        Some(request)
    }

    fn reject(
        &mut self,
        now: Time,
        request: AdmissionRequest,
        reason: RejectReason,
        decisions: &mut Vec<AdmissionDecision>,
    ) {
        let AdmissionRequest {
            flow, key, client, ..
        } = request;
        // The lower bound of the Retry-After, even if the waiting time in the queue is shorter. A
        // key over its rate limit waits for its next token. A key at its flow limit waits until one
        // of its flows is closed. When that happens is unknown, so it gets the longest Retry-After.
        let minimum = match reason {
            RejectReason::RateLimited => {
                self.token_buckets
                    .time_to_next_token(now, key, self.config.rate)
            }
            RejectReason::FlowLimit => self.config.max_retry_after,
            _ => 0,
        };
        let retry_after = self.schedule_retry_after(now, key, client, minimum);
        decisions.push(AdmissionDecision::Reject {
            flow,
            reason,
            retry_after,
        });
    }

    /// Returns a Retry-After for a rejected client and records a reservation for it. It covers the
    /// waiting time in the queue, up to the limits of the schedule, and ends when few other retries
    /// are scheduled.
    fn schedule_retry_after(&mut self, now: Time, key: u64, client: u64, minimum: Time) -> Time {
        // An admitted flow for which there is no server is not served, so the lower of the two
        // rates is used.
        let rate = self
            .connection_rate
            .per_second()
            .min(self.admission_rate.per_second());
        let needed = self.time_until_served(key, rate).max(minimum);
        let retry_after = self.retry_schedule.schedule(now, needed, &mut self.rng);
        self.retry_reservations.record(now + retry_after, client);
        retry_after
    }

    /// Returns a Retry-After for a flow that was admitted and then rejected by the policy, `None`
    /// if the flow is not an admitted flow.
    pub fn schedule_rejection_retry_after(&mut self, now: Time, flow: FlowId) -> Option<Time> {
        let AdmittedFlow { key, client } = *self.admitted.get(&flow)?;
        Some(self.schedule_retry_after(now, key, client, 0))
    }

    /// Sets the flows that are in the policy's queue.
    pub fn set_policy_queue(&mut self, flows: &[FlowId]) {
        self.policy_queue_by_key.clear();
        for flow in flows.iter().filter_map(|flow| self.admitted.get(flow)) {
            *self.policy_queue_by_key.entry(flow.key).or_default() += 1;
        }
    }

    /// Records that an admitted flow was connected.
    pub fn flow_connected(&mut self, now: Time) {
        self.connection_rate.record(now);
        let replenished = self.retry_budget + self.config.retry_budget_ratio;
        self.retry_budget = replenished.min(self.config.retry_budget_max);
    }

    /// Applies the decay of the service rates since the last update.
    pub fn decay_service_rates(&mut self, now: Time) {
        self.admission_rate.decay(now);
        self.connection_rate.decay(now);
    }

    /// Removes a flow whose client has disconnected or that has ended. Each flow must be removed by
    /// this method in the end.
    pub fn flow_closed(&mut self, flow: FlowId) {
        self.dequeue(flow);
        if let Some(AdmittedFlow { key, .. }) = self.admitted.remove(&flow)
            && let Some(count) = self.admitted_by_key.get_mut(&key)
        {
            *count -= 1;
            if *count == 0 {
                self.admitted_by_key.remove(&key);
            }
        }
    }

    /// Starts the shutdown: from now on all queued flows and all new flows are rejected.
    pub fn shut_down(&mut self) {
        self.is_shutting_down = true;
    }
}
