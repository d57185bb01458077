//! The table of flows, and the calls by which it learns what has happened.

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
use crate::identity::ClientIdentity;
use crate::policy::LoadBalancingPolicy;
use crate::retry_after_hint::RetryAfterHint;

struct FlowEntry {
    flow: Flow,
    /// The client still waits for its one answer.
    awaits_answer: bool,
}

/// The flows of one balancer, and the policy that decides what becomes of them.
///
/// Calls that lead to commands append them to `commands`; what it holds already is kept. All times
/// are nanoseconds of the caller's clock.
pub struct FlowTable<P = Policy> {
    policy: P,
    flows: BTreeMap<FlowId, FlowEntry>,
    /// Flows that the policy could not place yet, in the order in which it is asked again.
    queued: Vec<FlowId>,
    /// Admission control before the policy, where there is one.
    admission: Option<AdmissionController>,
    retry_after_hint: RetryAfterHint,
}

impl<P: LoadBalancingPolicy> FlowTable<P> {
    /// Returns an empty table without admission control.
    pub fn new(policy: P) -> Self {
        FlowTable {
            policy,
            flows: BTreeMap::new(),
            queued: Vec::new(),
            admission: None,
            retry_after_hint: RetryAfterHint::Sent,
        }
    }

    /// Lets the policy go on under the settings of `new`, with all flows that are in the table.
    pub fn apply_settings(&mut self, new: Policy) {
        self.policy.apply_settings(new);
    }

    /// Returns how long until [`FlowTable::timer_expired`] is to be called at the latest, `None`
    /// where nothing is scheduled.
    pub fn time_to_next_timer(&self, now: Time) -> Option<Time> {
        let admission = self.admission.as_ref();
        let admission_poll = admission.and_then(|admission| admission.time_to_next_poll(now));
        let policy_timer = self.policy.time_to_next_timer(now);
        policy_timer.into_iter().chain(admission_poll).min()
    }

    /// Takes a new flow, which awaits an answer from now on.
    pub fn accept(
        &mut self,
        now: Time,
        flow: Flow,
        identity: ClientIdentity,
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

    /// Takes over a connection that was open at that server before the balancer started.
    pub fn adopt_connection(&mut self, flow: Flow, server_id: ServerId) {
        self.policy.adopt_connection(&flow, server_id);
        let entry = FlowEntry {
            awaits_answer: false,
            flow,
        };
        self.flows.insert(entry.flow.id, entry);
    }

    /// Takes note that an attempt became a connection after `took` nanoseconds: the client has its
    /// answer.
    pub fn connected(
        &mut self,
        now: Time,
        flow: FlowId,
        took: Time,
        commands: &mut Vec<PolicyCommand>,
    ) {
        self.mark_answered(flow);
        if let Some(admission) = &mut self.admission {
            admission.flow_connected(now);
        }
        let event = PolicyEvent::Connected { flow, took };
        let actions = self.policy.on_event(now, event);
        self.apply_actions(actions, commands);
        self.admit_queued(now, commands);
    }

    /// Takes note that an attempt, or the connection that it became, has ended.
    pub fn attempt_ended(
        &mut self,
        now: Time,
        ended: EndedAttempt,
        commands: &mut Vec<PolicyCommand>,
    ) {
        let EndedAttempt {
            flow, server_id, ..
        } = ended;
        // A load report that came with an answer counts like that of a health check: it is the
        // server's own.
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

    /// Takes note that the client went away: it awaits no answer any more.
    pub fn client_left(&mut self, now: Time, flow: FlowId, commands: &mut Vec<PolicyCommand>) {
        self.mark_answered(flow);
        if let Some(admission) = &mut self.admission
            && admission.is_queued(flow)
        {
            // The policy has not been asked about it yet.
            return admission.flow_closed(flow);
        }
        let event = PolicyEvent::ClientLeft { flow };
        let actions = self.policy.on_event(now, event);
        self.apply_actions(actions, commands);
    }

    /// Takes the result of a health check, and the load report that came with it.
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

    /// Does what the timer was set for: queued flows are placed again, and waiting ones admitted.
    pub fn timer_expired(&mut self, now: Time, commands: &mut Vec<PolicyCommand>) {
        let actions = self.policy.on_event(now, PolicyEvent::TimerExpired);
        for id in std::mem::take(&mut self.queued) {
            self.place_unanswered(now, id, commands);
        }
        self.apply_actions(actions, commands);
        if let Some(admission) = &mut self.admission {
            admission.decay_service_rates(now);
        }
        self.admit_queued(now, commands);
    }

    /// Takes the load that a connection puts on its server.
    pub fn update_connection_load(&mut self, flow: FlowId, load: f64) {
        self.policy.update_connection_load(flow, load);
    }

    /// Takes entries of the endpoint list: all of them where `is_complete`, else the changed ones.
    pub fn update_endpoints(&mut self, now: Time, entries: &[Endpoint], is_complete: bool) {
        self.policy.update_endpoints(now, entries, is_complete);
    }

    /// Takes a gossip message of another balancer.
    pub fn receive_gossip(&mut self, now: Time, placement: GroupPlacement) {
        self.policy.receive_gossip(now, placement);
    }

    /// Takes note that a poll of the endpoint list has failed.
    pub fn endpoint_poll_failed(&mut self, now: Time) {
        self.policy.endpoint_poll_failed(now);
    }

    /// Takes note that the flow awaits no answer any more, without asking the policy.
    pub fn mark_answered(&mut self, flow: FlowId) {
        if let Some(entry) = self.flows.get_mut(&flow) {
            entry.awaits_answer = false;
        }
    }

    /// Fails a flow without asking the policy, which has failed on it.
    pub fn fail(&mut self, now: Time, flow: FlowId, commands: &mut Vec<PolicyCommand>) {
        self.apply_placement(now, flow, Placement::Fail, commands);
    }

    /// Limits the deadline of each unanswered flow to `at` and returns these flows. Admission
    /// control rejects all that wait in it, and all that come later.
    pub fn shorten_deadlines(
        &mut self,
        at: Time,
        commands: &mut Vec<PolicyCommand>,
    ) -> Vec<FlowId> {
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

    /// Removes a flow that nothing more comes of; every flow ends by this one call.
    pub fn remove(&mut self, now: Time, flow: FlowId, commands: &mut Vec<PolicyCommand>) {
        let entry = self.flows.remove(&flow);
        if let Some(admission) = &mut self.admission {
            admission.flow_closed(flow);
        }
        // Guards against an attempt that was started just as the client left, or whose flow has
        // panicked: nothing else reports its end, and the policy would count it as in flight.
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

    /// Returns whether the flow still awaits an answer.
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

    /// Returns the flow as it was accepted, with its attempts so far.
    pub fn flow(&self, flow: FlowId) -> Option<&Flow> {
        self.flows.get(&flow).map(|entry| &entry.flow)
    }
}
