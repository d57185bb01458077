//! Admission control before the policy.

use nettlemux_admission::{
    AdmissionConfig, AdmissionController, AdmissionDecision, AdmissionRequest,
};
use nettlemux_policy::{FlowId, Time};

use super::FlowTable;
use crate::command::PolicyCommand;
use crate::identity::ClientIdentity;
use crate::policy::LoadBalancingPolicy;
use crate::retry_after_hint::RetryAfterHint;

impl<P: LoadBalancingPolicy> FlowTable<P> {
    /// Returns the table with admission control before the policy.
    pub fn with_admission(mut self, admission: AdmissionController, hint: RetryAfterHint) -> Self {
        self.admission = Some(admission);
        self.retry_after_hint = hint;
        self
    }

    /// Changes the limits and weights of admission control, where there is one. Flows that wait in
    /// it stay.
    pub fn apply_admission_config(&mut self, config: AdmissionConfig) {
        if let Some(admission) = &mut self.admission {
            admission.apply_config(config);
        }
    }

    /// Returns the admission control before the policy, `None` where there is none.
    pub fn admission(&self) -> Option<&AdmissionController> {
        self.admission.as_ref()
    }

    /// Submits a flow that is in the table to admission control.
    pub(super) fn request_admission(
        &mut self,
        now: Time,
        flow: FlowId,
        identity: ClientIdentity,
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

    /// Admits flows until the policy has queued as many as it may or none waits.
    pub(super) fn admit_queued(&mut self, now: Time, commands: &mut Vec<PolicyCommand>) {
        while let Some(admission) = &mut self.admission {
            admission.set_policy_queue(&self.queued);
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
                // No attempt was made, so a retry is safe whatever the traffic class.
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

    /// Returns the Retry-After for a flow that the policy rejects: where the client may be sent one
    /// and admission control knows the flow, the time that the queue needs.
    pub(super) fn rejection_retry_after(
        &mut self,
        now: Time,
        flow: FlowId,
        from_policy: Option<Time>,
    ) -> Option<Time> {
        let admission = self.admission.as_mut().filter(|_| from_policy.is_some());
        let from_queue = admission.and_then(|admission| admission.retry_after_for(now, flow));
        from_queue.or(from_policy)
    }
}
