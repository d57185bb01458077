//! The flow table and the methods that report events to it.

mod admission;
mod commands;
#[cfg(test)]
mod tests;

use std::collections::BTreeMap;

use nettlemux_admission::AdmissionController;
use nettlemux_policy::{
    Attempt, AttemptEnd, Endpoint, Flow, FlowId, GroupPlacement, LoadReport, Placement, Policy,
    PolicyEvent, ServerId, Time,
};

use crate::attempt::EndedAttempt;
use crate::command::PolicyCommand;
use crate::identity::AdmissionAttributes;
use crate::policy::LoadBalancingPolicy;
use crate::retry_after_hint::RetryAfterHint;

struct FlowEntry {
    flow: Flow,
    /// Whether the client is still waiting for an answer. A client gets exactly one.
    awaits_answer: bool,
}

/// The flows of one balancer and the policy that decides how they proceed.
///
/// Methods that issue commands append them to `commands` and keep the commands already in it. All
/// times are nanoseconds of the caller's clock.
pub struct FlowTable<P = Policy> {
    policy: P,
    flows: BTreeMap<FlowId, FlowEntry>,
    /// Flows that the policy could not place yet, in the order in which it is asked again.
    policy_queue: Vec<FlowId>,
    /// Admission control in front of the policy; `None` if it is disabled.
    admission: Option<AdmissionController>,
    retry_after_hint: RetryAfterHint,
}

impl<P: LoadBalancingPolicy> FlowTable<P> {
    /// Returns an empty table without admission control.
    pub fn new(policy: P) -> Self {
        FlowTable {
            policy,
            flows: BTreeMap::new(),
            policy_queue: Vec::new(),
            admission: None,
            retry_after_hint: RetryAfterHint::Sent,
        }
    }

    /// Replaces the settings of the policy by those of `new`. The flows in the table stay.
    pub fn apply_settings(&mut self, new: Policy) {
        self.policy.apply_settings(new);
    }

    /// Returns the time within which [`FlowTable::timer_expired`] must be called, `None` if nothing
    /// is scheduled.
    pub fn time_to_next_timer(&self, now: Time) -> Option<Time> {
        let admission = self.admission.as_ref();
        let admission_poll = admission.and_then(|admission| admission.time_to_next_poll(now));
        let policy_timer = self.policy.time_to_next_timer(now);
        policy_timer.into_iter().chain(admission_poll).min()
    }

    /// Adds a new flow, whose client is waiting for an answer, and starts to admit and place it.
    pub fn accept(
        &mut self,
        now: Time,
        flow: Flow,
        identity: AdmissionAttributes,
        commands: &mut Vec<PolicyCommand>,
    ) {
        let id = flow.id;
        let placement = match &self.admission {
            Some(_) => None,
            None => Some(commands::place_or_fail(&mut self.policy, now, &flow)),
        };
        let entry = FlowEntry {
            flow,
            awaits_answer: true,
        };
        self.flows.insert(id, entry);
        match placement {
            Some(placement) => self.apply_placement(now, id, placement, commands),
            None => self.request_admission(now, id, identity, commands),
        }
    }

    /// Adds a connection to `server_id` that was open before the balancer started.
    pub fn adopt_connection(&mut self, flow: Flow, server_id: ServerId) {
        self.policy.adopt_connection(&flow, server_id);
        let entry = FlowEntry {
            awaits_answer: false,
            flow,
        };
        self.flows.insert(entry.flow.id, entry);
    }

    /// Handles an attempt that established a connection after `connect_duration` nanoseconds, which
    /// answers the client.
    pub fn attempt_connected(
        &mut self,
        now: Time,
        flow: FlowId,
        connect_duration: Time,
        commands: &mut Vec<PolicyCommand>,
    ) {
        self.mark_answered(flow);
        if let Some(admission) = &mut self.admission {
            admission.flow_connected(now);
        }
        let event = PolicyEvent::Connected {
            flow,
            connect_duration,
        };
        let actions = self.policy.on_event(now, event);
        self.apply_actions(actions, commands);
        self.admit_queued(now, commands);
    }

    /// Handles the end of an attempt, or of the connection that it established.
    pub fn attempt_ended(
        &mut self,
        now: Time,
        ended: EndedAttempt,
        commands: &mut Vec<PolicyCommand>,
    ) {
        let EndedAttempt {
            flow, server_id, ..
        } = ended;
        // A load report in an answer comes from the server itself, so it is handled like the load
        // report of a health check.
        if ended.report.utilization.is_some() {
            self.health_checked(now, server_id, true, ended.report, commands);
        }
        let mut unanswered = None;
        if let Some(entry) = self.flows.get_mut(&flow) {
            if let Some(attempt) = entry.flow.attempts.get_mut(ended.number) {
                attempt.in_flight = false;
                attempt.known_unexecuted = ended.known_unexecuted;
            }
            unanswered = entry.awaits_answer.then_some(&entry.flow);
        }
        let event = PolicyEvent::AttemptEnded {
            flow,
            server_id,
            end: ended.end,
            unanswered,
        };
        let actions = self.policy.on_event(now, event);
        if let Some(placement) = actions.placement {
            self.apply_placement(now, flow, placement, commands);
        }
        self.apply_actions(actions, commands);
        self.admit_queued(now, commands);
    }

    /// Handles a client that has disconnected and so no longer waits for an answer.
    pub fn client_left(&mut self, now: Time, flow: FlowId, commands: &mut Vec<PolicyCommand>) {
        self.mark_answered(flow);
        if let Some(admission) = &mut self.admission
            && admission.is_queued(flow)
        {
            // The policy doesn't know the flow yet.
            return admission.flow_closed(flow);
        }
        let event = PolicyEvent::ClientLeft { flow };
        let actions = self.policy.on_event(now, event);
        self.apply_actions(actions, commands);
    }

    /// Handles the result of a health check and the load report that came with it.
    pub fn health_checked(
        &mut self,
        now: Time,
        server_id: ServerId,
        passed: bool,
        report: LoadReport,
        commands: &mut Vec<PolicyCommand>,
    ) {
        let event = PolicyEvent::HealthChecked {
            server_id,
            passed,
            report,
        };
        let actions = self.policy.on_event(now, event);
        self.apply_actions(actions, commands);
    }

    /// Handles the timer: asks the policy again about the flows that it could not place, then
    /// admits flows that wait in admission control.
    pub fn timer_expired(&mut self, now: Time, commands: &mut Vec<PolicyCommand>) {
        let actions = self.policy.on_event(now, PolicyEvent::TimerExpired);
        for id in std::mem::take(&mut self.policy_queue) {
            self.place_unanswered(now, id, commands);
        }
        self.apply_actions(actions, commands);
        if let Some(admission) = &mut self.admission {
            admission.decay_service_rates(now);
        }
        self.admit_queued(now, commands);
    }

    /// Updates the load that a connection puts on its server.
    pub fn update_connection_load(&mut self, flow: FlowId, load: f64) {
        self.policy.update_connection_load(flow, load);
    }

    /// Updates the endpoint list. `entries` is the whole list if `is_complete` is set, otherwise
    /// only the changed entries.
    pub fn update_endpoints(&mut self, now: Time, entries: &[Endpoint], is_complete: bool) {
        self.policy.update_endpoints(now, entries, is_complete);
    }

    /// Handles a gossip message from another balancer.
    pub fn receive_gossip(&mut self, now: Time, placement: GroupPlacement) {
        self.policy.receive_gossip(now, placement);
    }

    /// Handles a failed poll of the endpoint list.
    pub fn on_endpoint_poll_failed(&mut self, now: Time) {
        self.policy.on_endpoint_poll_failed(now);
    }

    /// Marks a flow as no longer waiting for an answer, without notifying the policy.
    pub fn mark_answered(&mut self, flow: FlowId) {
        if let Some(entry) = self.flows.get_mut(&flow) {
            entry.awaits_answer = false;
        }
    }

    /// Fails a flow without asking the policy, for a flow whose handling has panicked.
    pub fn fail(&mut self, now: Time, flow: FlowId, commands: &mut Vec<PolicyCommand>) {
        self.apply_placement(now, flow, Placement::Fail, commands);
    }

    /// Limits the deadline of each unanswered flow to `at` and returns these flows. Admission
    /// control rejects all flows that wait in it and all flows that arrive later.
    pub fn begin_shutdown(&mut self, at: Time, commands: &mut Vec<PolicyCommand>) -> Vec<FlowId> {
        if let Some(admission) = &mut self.admission {
            admission.shut_down();
            self.admit_queued(at, commands);
        }
        let unanswered = self
            .flows
            .iter_mut()
            .filter(|(_, entry)| entry.awaits_answer);
        unanswered
            .map(|(id, entry)| {
                entry.flow.deadline = entry.flow.deadline.min(at);
                *id
            })
            .collect()
    }

    /// Removes a flow for which no more events will be reported. Each flow must be removed by this
    /// method in the end.
    pub fn remove(&mut self, now: Time, flow: FlowId, commands: &mut Vec<PolicyCommand>) {
        let entry = self.flows.remove(&flow);
        if let Some(admission) = &mut self.admission {
            admission.flow_closed(flow);
        }
        // If an attempt was started just as the client disconnected, or the handling of the flow
        // has panicked, nothing else reports the attempt's end. The policy would count it as in
        // flight forever.
        let in_flight = entry.and_then(|entry| {
            let mut attempts = entry.flow.attempts.into_iter();
            attempts.find(|attempt| attempt.in_flight)
        });
        if let Some(Attempt { server_id, .. }) = in_flight {
            let event = PolicyEvent::AttemptEnded {
                flow,
                server_id,
                end: AttemptEnd::NotSent,
                unanswered: None,
            };
            let actions = self.policy.on_event(now, event);
            self.apply_actions(actions, commands);
        }
    }

    /// Returns whether the flow is still waiting for an answer.
    pub fn awaits_answer(&self, flow: FlowId) -> bool {
        self.flows
            .get(&flow)
            .is_some_and(|entry| entry.awaits_answer)
    }

    /// Returns whether an attempt of this flow is in flight.
    pub fn has_attempt_in_flight(&self, flow: FlowId) -> bool {
        self.flow(flow)
            .is_some_and(|flow| flow.attempts.iter().any(|attempt| attempt.in_flight))
    }

    /// Returns the flow with its attempts so far, `None` if it isn't in the table.
    pub fn flow(&self, flow: FlowId) -> Option<&Flow> {
        self.flows.get(&flow).map(|entry| &entry.flow)
    }
}
