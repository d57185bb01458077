//! Admission control in front of the policy.

use nettlemux_admission::{
    AdmissionConfig, AdmissionController, AdmissionDecision, AdmissionRequest,
};
use nettlemux_policy::{FlowId, Time};

use super::FlowTable;
use crate::command::PolicyCommand;
use crate::identity::AdmissionAttributes;
use crate::policy::LoadBalancingPolicy;
use crate::retry_after_hint::RetryAfterHint;

impl<P: LoadBalancingPolicy> FlowTable<P> {
    /// Adds admission control in front of the policy. `hint` says whether rejected clients receive
    /// a Retry-After.
    pub fn with_admission(mut self, admission: AdmissionController, hint: RetryAfterHint) -> Self {
        self.admission = Some(admission);
        self.retry_after_hint = hint;
        self
    }

    /// Changes the limits and weights of admission control, if there is one. Flows that wait in it
    /// stay queued.
    pub fn apply_admission_config(&mut self, config: AdmissionConfig) {
        if let Some(admission) = &mut self.admission {
            admission.apply_config(config);
        }
    }

    /// Returns the admission control in front of the policy, `None` if it is disabled.
    pub fn admission(&self) -> Option<&AdmissionController> {
        self.admission.as_ref()
    }

    /// Submits a flow that is in the table to admission control.
    pub(super) fn request_admission(
        &mut self,
        now: Time,
        flow: FlowId,
        identity: AdmissionAttributes,
        commands: &mut Vec<PolicyCommand>,
    ) {
        let Some(admission) = &mut self.admission else {
            return;
        };
        let request = AdmissionRequest {
            flow,
            key: identity.key,
            client: identity.client,
            is_retry: identity.is_retry,
            latency_deadline: identity.latency_deadline,
        };
        let mut decisions = Vec::new();
        admission.submit(now, request, &mut decisions);
        self.apply_decisions(now, decisions, commands);
        self.admit_queued(now, commands);
    }

    /// Admits flows until the policy's queue is full or no flow can be admitted.
    pub(super) fn admit_queued(&mut self, now: Time, commands: &mut Vec<PolicyCommand>) {
        while let Some(admission) = &mut self.admission {
            admission.set_policy_queue(&self.policy_queue);
            let mut decisions = Vec::new();
            admission.next_decisions(now, &mut decisions);
            if decisions.is_empty() {
                return;
            }
            self.apply_decisions(now, decisions, commands);
        }
    }

    fn apply_decisions(
        &mut self,
        now: Time,
        decisions: Vec<AdmissionDecision>,
        commands: &mut Vec<PolicyCommand>,
    ) {
        for decision in decisions {
            match decision {
                AdmissionDecision::Admit(flow) => self.place_unanswered(now, flow, commands),
                // No attempt was made, so the client can safely retry a flow of any traffic class.
                AdmissionDecision::Reject {
                    flow, retry_after, ..
                } => {
                    self.mark_answered(flow);
                    let is_sent = self.retry_after_hint == RetryAfterHint::Sent;
                    commands.push(PolicyCommand::Reject {
                        flow,
                        retry_after: is_sent.then_some(retry_after),
                    });
                }
            }
        }
    }

    /// Returns the Retry-After for a flow that the policy rejects, `None` if `from_policy` is
    /// `None`. If admission control knows the flow, its estimate, which includes the waiting time
    /// in its queue, replaces that of the policy.
    pub(super) fn rejection_retry_after(
        &mut self,
        now: Time,
        flow: FlowId,
        from_policy: Option<Time>,
    ) -> Option<Time> {
        let admission = self.admission.as_mut().filter(|_| from_policy.is_some());
        let from_queue =
            admission.and_then(|admission| admission.schedule_rejection_retry_after(now, flow));
        from_queue.or(from_policy)
    }
}
