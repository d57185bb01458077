//! The state machine of admission control.

#[cfg(test)]
mod tests;

use std::collections::{BTreeMap, BTreeSet};

use nanorand::{Rng, WyRand};
use nettlemux_policy::{FlowId, MS, SEC, Time};

use crate::config::AdmissionConfig;
use crate::decision::{AdmissionDecision, AdmissionRequest, RejectReason};
use crate::fair_queue::{Arrival, FairQueues};
use crate::retry_after::{RetryAfterPromises, RetryAfterSchedule};
use crate::service_rate::ServiceRate;
use crate::token_buckets::{RateLimit, TokenBuckets};

/// How soon a controller with queued flows is asked again, whatever else happens.
const POLL_INTERVAL_MAX: Time = 20 * MS;

/// Admission control of one balancer. All times are nanoseconds of the caller's clock.
pub struct AdmissionController {
    config: AdmissionConfig,
    queues: FairQueues,
    queued: BTreeMap<FlowId, AdmissionRequest>,
    /// The queued flows by the end of their latency objective.
    deadlines: BTreeSet<(Time, FlowId)>,
    /// Flows that were admitted and aren't closed.
    admitted: BTreeMap<FlowId, AdmittedFlow>,
    admitted_by_key: BTreeMap<u64, usize>,
    /// Flows that the policy has queued, by key.
    policy_queue_by_key: BTreeMap<u64, usize>,
    token_buckets: TokenBuckets,
    promises: RetryAfterPromises,
    schedule: RetryAfterSchedule,
    /// The rate at which flows are admitted.
    admission_rate: ServiceRate,
    /// The rate at which flows are connected.
    connection_rate: ServiceRate,
    /// Retries that may be admitted.
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
    /// Returns a controller without flows. `seed` is that of its random draws and hashes.
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
            promises: RetryAfterPromises::new(config.table_size, hash_seed),
            schedule: RetryAfterSchedule::new(config.max_retry_after),
            admission_rate: ServiceRate::default(),
            connection_rate: ServiceRate::default(),
            retry_budget: config.retry_budget_max,
            is_shutting_down: false,
            rng,
            config,
        }
    }

    /// Changes the limits and weights, but not the sizes of tables and the longest Retry-After.
    /// Queued flows stay, also those over a lowered limit.
    pub fn apply_config(&mut self, config: AdmissionConfig) {
        self.queues.set_weights(|key| config.weight(key));
        self.retry_budget = self.retry_budget.min(config.retry_budget_max);
        self.config = AdmissionConfig {
            table_size: self.config.table_size,
            max_retry_after: self.config.max_retry_after,
            ..config
        };
    }

    /// Returns whether the flow waits to be admitted.
    pub fn is_queued(&self, flow: FlowId) -> bool {
        self.queued.contains_key(&flow)
    }

    /// Returns how many flows wait to be admitted.
    pub fn queue_length(&self) -> usize {
        self.queued.len()
    }

    /// Queues a flow, or rejects it at once by a decision that is appended to `decisions`.
    /// [`AdmissionController::next_decisions`] is to be called next.
    pub fn submit(
        &mut self,
        now: Time,
        request: AdmissionRequest,
        decisions: &mut Vec<AdmissionDecision>,
    ) {
        let arrival = if self.promises.redeem(now, request.client) {
            Arrival::AtRetryAfter
        } else {
            Arrival::New
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
        if arrival == Arrival::New && self.counts_as_retry(request) {
            self.retry_budget -= 1.0;
        }
        // Rejected at once where it can't be admitted in time: queued it would only be late.
        let needed = self.time_until_served(request.key, self.admission_rate.per_second());
        let is_late = self.queued.len() > self.config.policy_queue_limit
            && now + needed > request.latency_deadline;
        is_late.then_some(RejectReason::DeadlineExceeded)
    }

    /// The first limit that the flow exceeds. Takes a token of its key's rate where it comes to
    /// that.
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
        // A client that comes back at its Retry-After has paid already.
        if arrival == Arrival::New {
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

    /// Whether the flow is a retry, and retries have a budget.
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

    /// How long it takes until one more flow of the key is served, at that rate.
    fn time_until_served(&self, key: u64, flows_per_second: f64) -> Time {
        let flows = self.queues.flows_until_served(key, self.config.weight(key));
        (flows / flows_per_second * SEC as f64) as Time
    }

    /// Appends to `decisions` the rejection of each flow whose latency objective has run out, and
    /// the admission of at most one flow. The caller asks the policy about that one, passes its
    /// queue to [`AdmissionController::set_policy_queue`] and calls again, until nothing is
    /// decided.
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

    /// Rejects the flows whose latency objective has run out, and at a shutdown all of them.
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

    /// Takes the next flow out of the queue, if the policy's queue is short enough.
    fn pop_admissible(&mut self) -> Option<AdmissionRequest> {
        let limit = self.config.policy_queue_limit;
        let policy_queue = &self.policy_queue_by_key;
        if policy_queue.values().sum::<usize>() >= limit {
            return None;
        }
        // No key may have more than half of the policy's queue: guards against flows that can't be
        // placed and keep out others that could.
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

    /// Returns when the first latency objective of a queued flow runs out.
    pub fn next_deadline(&self) -> Option<Time> {
        self.deadlines.first().map(|(deadline, _)| *deadline)
    }

    /// Returns how long until [`AdmissionController::next_decisions`] is to be called at the
    /// latest, `None` where no flow is queued.
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
        // Beside what the queue needs: a key over its rate waits for its next token, one with as
        // many flows as it may for the end of one, of which nothing is known.
        let least = match reason {
            RejectReason::RateLimited => {
                self.token_buckets
                    .time_to_next_token(now, key, self.config.rate)
            }
            RejectReason::FlowLimit => self.config.max_retry_after,
            _ => 0,
        };
        let retry_after = self.schedule_retry_after(now, key, client, least);
        decisions.push(AdmissionDecision::Reject {
            flow,
            reason,
            retry_after,
        });
    }

    /// Returns a Retry-After for a client that is rejected, and remembers it: not shorter than the
    /// queue needs, at a time for which few others are scheduled.
    fn schedule_retry_after(&mut self, now: Time, key: u64, client: u64, least: Time) -> Time {
        // A flow that is admitted and finds no server is not served: the lower rate counts.
        let rate = self
            .connection_rate
            .per_second()
            .min(self.admission_rate.per_second());
        let needed = self.time_until_served(key, rate).max(least);
        let retry_after = self.schedule.schedule(now, needed, &mut self.rng);
        self.promises.record(now + retry_after, client);
        retry_after
    }

    /// Returns a Retry-After for a flow that was admitted and then rejected by the policy, `None`
    /// where the flow isn't known.
    pub fn retry_after_for(&mut self, now: Time, flow: FlowId) -> Option<Time> {
        let AdmittedFlow { key, client } = *self.admitted.get(&flow)?;
        Some(self.schedule_retry_after(now, key, client, 0))
    }

    /// Takes the flows that the policy has queued now.
    pub fn set_policy_queue(&mut self, flows: &[FlowId]) {
        self.policy_queue_by_key.clear();
        for flow in flows.iter().filter_map(|flow| self.admitted.get(flow)) {
            *self.policy_queue_by_key.entry(flow.key).or_default() += 1;
        }
    }

    /// Takes note that an admitted flow was connected.
    pub fn flow_connected(&mut self, now: Time) {
        self.connection_rate.record(now);
        let earned = self.retry_budget + self.config.retry_budget_ratio;
        self.retry_budget = earned.min(self.config.retry_budget_max);
    }

    /// Lets the service rates decay over the time that has passed.
    pub fn decay_service_rates(&mut self, now: Time) {
        self.admission_rate.decay(now);
        self.connection_rate.decay(now);
    }

    /// Forgets a flow whose client has left, or of which nothing more comes; every flow ends by
    /// this one call.
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

    /// Rejects from now on each flow that is queued or comes.
    pub fn shut_down(&mut self) {
        self.is_shutting_down = true;
    }
}
